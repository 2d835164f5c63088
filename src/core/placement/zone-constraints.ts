/** Zone constraints of a job: all tasks in one zone, or at most half of them, rounded up, in any one zone. */
import type { JobState } from '../model.js';
import type { CoreState } from '../state.js';
import type { NodeCapacity } from './capacity-index.js';

/** Returns whether a job's next task may be placed in a zone. */
export type ZoneFilter = (zone: string) => boolean;

const anyZone: ZoneFilter = () => true;

/**
 * Returns a filter for the zones that a job's next task may be placed in, given the zones of all its
 * tasks that may be on a machine, and of `placed`: nodes that this pass has chosen without a claim yet.
 */
export function zoneFilter(
  state: CoreState,
  job: JobState,
  placed: readonly NodeCapacity[] = [],
): ZoneFilter {
  const { spec } = job;
  if (!spec.oneZone && !spec.spread) return anyZone;
  const tasksByZone = new Map<string, number>();
  // A machine that is known only from a claim may be in any zone, so its tasks count in every zone.
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
