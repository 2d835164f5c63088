/**
 * Keepalives: heartbeats without changes that a follower has answered in the leader's place. They prove only that
 * a machine is up and receives its answers: they do not prove any task absent, and release no claim.
 */
import type { Now } from '../model.js';
import type { CoreState } from '../state.js';

/** The latest heartbeat without changes of one machine, as relayed by a follower. */
export interface Keepalive {
  /** Name of the machine. */
  readonly machine: string;
  readonly agentEpoch: number;
  /** The heartbeat's number within the agent epoch. */
  readonly sequence: number;
  /** Milliseconds from its arrival at the follower until now. */
  readonly ageMs: number;
}

/** Applies a keepalive of a machine that this leader has reconciled, if it is newer than the latest heartbeat. */
export function applyKeepalive(state: CoreState, keepalive: Keepalive, now: Now): void {
  const machine = state.machines.get(keepalive.machine);
  if (machine === undefined || !machine.isReconciled || machine.lastHeartbeatAt === null) return;
  if (keepalive.agentEpoch !== machine.agentEpoch || keepalive.sequence <= machine.heartbeatSequence) return;
  machine.heartbeatSequence = keepalive.sequence;
  machine.lastHeartbeatAt = Math.max(machine.lastHeartbeatAt, now.monotonicMs - keepalive.ageMs);
  machine.failedProbes = 0;
  machine.leaseExpired = false;
  // The follower has answered the heartbeat itself, so its arrival time counts as the time of the answer, too.
  machine.lastAnsweredAt = machine.lastHeartbeatAt;
  machine.unacknowledgedStarts = [];
  machine.unresponsiveSince = null;
  machine.missedResponses = 0;
}
