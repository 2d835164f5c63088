/**
 * Heartbeats: reports without news that a follower has answered in the leader's place. They say that a machine
 * lives and hears its answers, and nothing else. They prove no task absent and free nothing.
 */
import type { Now } from '../model.js';
import type { CoreState } from '../state.js';

/** One machine's latest report without news, as a follower tells of it. */
export interface Heartbeat {
  readonly machine: string;
  readonly session: number;
  readonly seq: number;
  /** Milliseconds from its arrival at the follower until now. */
  readonly ageMs: number;
}

/** Takes in a heartbeat of a machine whose reports this leader has taken in itself; others change nothing. */
export function takeHeartbeat(state: CoreState, heartbeat: Heartbeat, now: Now): void {
  const machine = state.machines.get(heartbeat.machine);
  if (machine === undefined || !machine.whole || machine.heardAt === null) return;
  if (heartbeat.session !== machine.session || heartbeat.seq <= machine.seq) return;
  const at = now.mono - heartbeat.ageMs;
  machine.seq = heartbeat.seq;
  machine.heardAt = Math.max(machine.heardAt, at);
  machine.unmet = 0;
  machine.lapsed = false;
  // The follower answers at once, and forwards the next report if it does not come in its time.
  machine.answeredAt = machine.heardAt;
  machine.told = [];
  machine.unresponsiveSince = null;
  machine.missedResponses = 0;
}
