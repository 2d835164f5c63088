/** Pending heartbeats: a worker's request stays open until the commands that answer it are ready. */
import type { Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';

/** Holds a heartbeat as pending until it is answered. `reply`: the id under which the answer is sent. */
export function holdHeartbeat(state: CoreState, machine: Machine, reply: number, now: Now): void {
  machine.pendingHeartbeat = { reply, since: now.monotonicMs };
  state.pendingHeartbeats.add(machine);
  state.answerCandidates.push(machine);
}

/** Removes and returns a machine's pending heartbeat, which the caller must answer; null if there is none. */
export function takePendingHeartbeat(state: CoreState, machine: Machine): Machine['pendingHeartbeat'] {
  const { pendingHeartbeat } = machine;
  machine.pendingHeartbeat = null;
  state.pendingHeartbeats.delete(machine);
  return pendingHeartbeat;
}
