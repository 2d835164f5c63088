/** Zone constraints of a job: all tasks in one zone, or no more than half of them in any. */
import type { JobState } from '../model.js';
import type { CoreState } from '../state.js';
import type { NodeCapacity } from './capacity-index.js';

/** Tells whether a job's next task may be placed in a zone. */
export type ZoneFilter = (zone: string) => boolean;

const anyZone: ZoneFilter = () => true;

/**
 * The zones open to a job's next task, given every task of it that may be on a machine, and those
 * that this pass has put on `placed` without a claim so far.
 */
export function zoneFilter(
  state: CoreState,
  job: JobState,
  placed: readonly NodeCapacity[] = [],
): ZoneFilter {
  const { spec } = job;
  if (!spec.oneZone && !spec.spread) return anyZone;
  const tasksByZone = new Map<string, number>();
  // A machine known from a claim alone may be in any zone, so its tasks count in each.
  let inUnknownZone = 0;
  const count = (zone: string): void => {
    if (zone === '') inUnknownZone += 1;
    else tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + 1);
  };
  for (const claim of job.claims.values()) count(state.machines.get(claim.machine)?.zone ?? '');
  for (const node of placed) count(node.machine.zone);
  const isOnlyZone = (zone: string): boolean =>
    inUnknownZone === 0 && (tasksByZone.size === 0 || (tasksByZone.size === 1 && tasksByZone.has(zone)));
  const maxPerZone = Math.ceil(spec.tasks / 2);
  return (zone) => {
    if (spec.oneZone && !isOnlyZone(zone)) return false;
    return !spec.spread || (tasksByZone.get(zone) ?? 0) + inUnknownZone < maxPerZone;
  };
}
