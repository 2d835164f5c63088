/**
 * Machines that owe a report are knocked at. One whose host takes no connection, while most
 * machines around it are heard, is dead: what ran on it need not wait for as long as a
 * worker that has lost its controller may take to find another.
 */
import type { Effect } from './effects.js';
import type { CoreState, Machine, Now } from './state.js';

/** So many knocks in a row that met nobody are no chance. */
const KNOCKS = 2;

/** A zone of which a smaller share is heard may be cut off, or this node be. */
const LEAST_HEARD = 0.5;

const isOverdue = (state: CoreState, machine: Machine, now: Now): boolean =>
  now.mono - Math.max(machine.heardAt ?? machine.knownAt, machine.relayedAt ?? 0) >
  1.25 * state.rules.timing.longestReport;

/** Whether a machine should be up and speaking: it was heard, or has been at work for a leader before. */
const shouldSpeak = ({ leaving, heardAt, claims }: Machine): boolean =>
  leaving === null && (heardAt !== null || claims.size > 0);

/** Zones most of whose machines have been heard within one report's time. */
export function zonesAwake(state: CoreState, now: Now): Set<string> {
  const from = now.mono - 1.1 * state.rules.timing.longestReport;
  const zones = new Map<string, { all: number; heard: number }>();
  for (const machine of state.machines.values()) {
    if (!shouldSpeak(machine)) continue;
    const counts = zones.get(machine.zone) ?? { all: 0, heard: 0 };
    counts.all += 1;
    if (machine.heardAt !== null && machine.heardAt > from) counts.heard += 1;
    zones.set(machine.zone, counts);
  }
  const awake = new Set<string>();
  for (const [zone, { all, heard }] of zones) if (heard >= LEAST_HEARD * all) awake.add(zone);
  return awake;
}

/** Knocks at a machine that owes a report, if its zone is one of these. */
export function probe(
  state: CoreState,
  machine: Machine,
  awake: ReadonlySet<string>,
  now: Now,
  effects: Effect[],
): void {
  // A cut explains what was met until now, and its end must not be taken for deaths.
  if (!awake.has(machine.zone)) machine.unmet = 0;
  else if (
    !machine.knocking &&
    machine.address !== '' &&
    shouldSpeak(machine) &&
    isOverdue(state, machine, now)
  ) {
    machine.knocking = true;
    effects.push({ kind: 'probe', machine: machine.name, address: machine.address });
  }
}

/** Takes in what a knock met: somebody, nobody, or no word of either. */
export function settleProbe(state: CoreState, name: string, met: boolean | null, now: Now): void {
  const machine = state.machines.get(name);
  if (machine === undefined) return;
  machine.knocking = false;
  if (met === true) machine.unmet = 0;
  // It may have been heard, here or by a deputy, since the knock.
  else if (met === false && isOverdue(state, machine, now)) machine.unmet += 1;
}

export const isUnmet = (machine: Machine): boolean => machine.unmet >= KNOCKS;
