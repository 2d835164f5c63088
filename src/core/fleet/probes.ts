/**
 * Machines that owe a report are knocked at. One whose host takes no connection, while most
 * machines around it are heard, is dead: what ran on it need not wait for as long as a
 * worker that has lost its controller may take to find another.
 */
import type { Effect } from '../effects.js';
import type { Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';

/** So many knocks in a row that met nobody are no chance. */
const KNOCKS = 2;

const isOverdue = (state: CoreState, machine: Machine, now: Now): boolean =>
  now.monotonicMs - Math.max(machine.lastHeartbeatAt ?? machine.discoveredAt, machine.lastRelayedAt ?? 0) >
  1.25 * state.config.timing.maxHeartbeatIntervalMs;

/** Whether a machine should be up and speaking: it was heard, or has been at work for a leader before. */
export const isExpectedToReport = ({ terminationReason, lastHeartbeatAt, claims }: Machine): boolean =>
  terminationReason === null && (lastHeartbeatAt !== null || claims.size > 0);

/** Knocks at a machine that owes a report, if its zone is one of these. */
export function probeIfOverdue(
  state: CoreState,
  machine: Machine,
  awake: ReadonlySet<string>,
  now: Now,
  effects: Effect[],
): void {
  // A cut explains what was met until now, and its end must not be taken for deaths.
  if (!awake.has(machine.zone)) machine.failedProbes = 0;
  else if (
    !machine.isProbing &&
    (machine.lastReachableAt === null ||
      now.monotonicMs - machine.lastReachableAt > state.config.timing.maxHeartbeatIntervalMs) &&
    machine.address !== '' &&
    isExpectedToReport(machine) &&
    isOverdue(state, machine, now)
  ) {
    machine.isProbing = true;
    effects.push({ kind: 'probe', machine: machine.name, address: machine.address });
  }
}

/** Takes in what a knock met: somebody, nobody, or no word of either. */
export function settleProbe(state: CoreState, name: string, met: boolean | null, now: Now): void {
  const machine = state.machines.get(name);
  if (machine === undefined) return;
  machine.isProbing = false;
  if (met === true) {
    machine.failedProbes = 0;
    machine.lastReachableAt = now.monotonicMs;
  }
  // It may have been heard, here or by a deputy, since the knock.
  else if (met === false && isOverdue(state, machine, now)) machine.failedProbes += 1;
}

/** Whether somebody was met there of late, though it owes a report: it hangs, or another controller hears it. */
export const isHanging = (state: CoreState, { lastReachableAt }: Machine, now: Now): boolean =>
  lastReachableAt !== null &&
  now.monotonicMs - lastReachableAt < 2 * state.config.timing.maxHeartbeatIntervalMs;

export const isUnreachable = (machine: Machine): boolean => machine.failedProbes >= KNOCKS;
