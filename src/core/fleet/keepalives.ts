/**
 * Heartbeats: reports without news that a follower has answered in the leader's place. They say that a machine
 * lives and hears its answers, and nothing else. They prove no task absent and free nothing.
 */
import type { Now } from '../model.js';
import type { CoreState } from '../state.js';

/** One machine's latest report without news, as a follower tells of it. */
export interface Keepalive {
  readonly machine: string;
  readonly agentEpoch: number;
  readonly sequence: number;
  /** Milliseconds from its arrival at the follower until now. */
  readonly ageMs: number;
}

/** Takes in a heartbeat of a machine whose reports this leader has taken in itself; others change nothing. */
export function applyKeepalive(state: CoreState, heartbeat: Keepalive, now: Now): void {
  const machine = state.machines.get(heartbeat.machine);
  if (machine === undefined || !machine.isReconciled || machine.lastHeartbeatAt === null) return;
  if (heartbeat.agentEpoch !== machine.agentEpoch || heartbeat.sequence <= machine.heartbeatSequence) return;
  const at = now.monotonicMs - heartbeat.ageMs;
  machine.heartbeatSequence = heartbeat.sequence;
  machine.lastHeartbeatAt = Math.max(machine.lastHeartbeatAt, at);
  machine.failedProbes = 0;
  machine.leaseExpired = false;
  // The follower answers at once, and forwards the next report if it does not come in its time.
  machine.lastAnsweredAt = machine.lastHeartbeatAt;
  machine.unacknowledgedStarts = [];
  machine.unresponsiveSince = null;
  machine.missedResponses = 0;
}
