/** Receives heartbeats, both those that workers send by themselves and those that answer a direct call. */
import type { CommandOf, Effect } from './effects.js';
import { getOrCreateMachine } from './fleet/machines.js';
import { applyHeartbeat } from './fleet/heartbeats.js';
import { holdHeartbeat } from './fleet/pending-heartbeats.js';
import { refuseHeartbeat } from './heartbeat-answers.js';
import { resignIfSuperseded } from './leadership.js';
import type { Now } from './model.js';
import { hasAuthority, type CoreState } from './state.js';

/** Dates a forwarded heartbeat from its arrival at the follower, not from its processing by the leader. */
function accountForDelay(state: CoreState, machineName: string, ageMs: number): void {
  const machine = state.machines.get(machineName);
  if (machine?.lastHeartbeatAt != null) machine.lastHeartbeatAt -= ageMs;
}

/**
 * Processes a heartbeat whose sender waits for an answer. It is either refused immediately or held as pending, to be
 * answered at the end of this step or later.
 */
export function receiveHeartbeat(
  state: CoreState,
  command: CommandOf<'heartbeat'>,
  now: Now,
  effects: Effect[],
): void {
  const { heartbeat, reply, ageMs = 0 } = command;
  resignIfSuperseded(state, `worker ${heartbeat.machine}`, heartbeat.token, effects);
  // Its status is valid whether or not this leader has the authority to answer. It is also applied during an outage
  // of the key-value store: otherwise the whole fleet would seem silent when the outage ends.
  const isNew = state.leadership !== null && applyHeartbeat(state, heartbeat, now, effects, false);
  if (isNew) accountForDelay(state, heartbeat.machine, ageMs);
  if (!isNew || !hasAuthority(state, now)) {
    effects.push({ kind: 'reply', reply, body: { kind: 'unable' } });
    return;
  }
  const machine = getOrCreateMachine(state, heartbeat.machine, now);
  // The worker has abandoned its previous heartbeat, and discards an answer to it.
  refuseHeartbeat(state, machine, effects);
  holdHeartbeat(state, machine, reply, now);
}

/** Processes the heartbeat with which a worker answered a direct call. */
export function receiveDirectAnswer(
  state: CoreState,
  { heartbeat }: CommandOf<'directAnswer'>,
  now: Now,
  effects: Effect[],
): void {
  resignIfSuperseded(state, `worker ${heartbeat.machine}`, heartbeat.token, effects);
  if (state.leadership !== null) applyHeartbeat(state, heartbeat, now, effects, true);
}
