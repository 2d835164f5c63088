/** Takes in heartbeats, whether a worker sent them of itself or as the answer to a direct call. */
import type { CommandOf, Effect } from './effects.js';
import { getOrCreateMachine } from './fleet/machines.js';
import { applyHeartbeat } from './fleet/heartbeats.js';
import { holdHeartbeat } from './fleet/pending-heartbeats.js';
import { refuseHeartbeat } from './heartbeat-answers.js';
import { resignIfSuperseded } from './leadership.js';
import type { Now } from './model.js';
import { hasAuthority, type CoreState } from './state.js';

/** A heartbeat counts from its arrival at a controller, not from when the leader takes it in. */
function accountForDelay(state: CoreState, machineName: string, ageMs: number): void {
  const machine = state.machines.get(machineName);
  if (machine?.lastHeartbeatAt != null) machine.lastHeartbeatAt -= ageMs;
}

/** Takes in a heartbeat that waits for an answer; it is refused at once or held until the end of the step. */
export function receiveHeartbeat(
  state: CoreState,
  command: CommandOf<'heartbeat'>,
  now: Now,
  effects: Effect[],
): void {
  const { heartbeat, reply, ageMs = 0 } = command;
  resignIfSuperseded(state, `worker ${heartbeat.machine}`, heartbeat.token, effects);
  // Its status is true whether or not this leader has the authority to answer. It is taken in also through an
  // outage of the key-value store, at whose end the whole fleet would seem silent otherwise.
  const isNews = state.leadership !== null && applyHeartbeat(state, heartbeat, now, effects, false);
  if (isNews) accountForDelay(state, heartbeat.machine, ageMs);
  if (!isNews || !hasAuthority(state, now)) {
    effects.push({ kind: 'reply', reply, body: { kind: 'unable' } });
    return;
  }
  const machine = getOrCreateMachine(state, heartbeat.machine, now);
  // The worker has given up on its earlier heartbeat, and drops what would answer it.
  refuseHeartbeat(state, machine, effects);
  holdHeartbeat(state, machine, reply, now);
}

/** Takes in the heartbeat with which a worker answered a direct call. */
export function receiveDirectAnswer(
  state: CoreState,
  { heartbeat }: CommandOf<'directAnswer'>,
  now: Now,
  effects: Effect[],
): void {
  resignIfSuperseded(state, `worker ${heartbeat.machine}`, heartbeat.token, effects);
  if (state.leadership !== null) applyHeartbeat(state, heartbeat, now, effects, true);
}
