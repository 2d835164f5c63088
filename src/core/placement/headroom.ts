/**
 * Room kept free for classes that cannot wait for a boot: the head's reservation, turned to
 * arrivals to come.
 */
import { isStartSensitive } from '../jobs/objectives.js';
import { satisfiesConstraints, fits } from './resources.js';
import { soleType, constrainedTypesInDemand } from './constrained-types.js';
import type { NodeCapacity } from './capacity-index.js';
import type { Demand, Now } from '../model.js';
import type { CoreState } from '../state.js';

/** So many usual gaps without an arrival mean that a class has ended for now. */
export const ARRIVALS_OVER = 8;

/** While no more machines can be had, room is kept for this share of the most tasks at once of late. */
const KEPT_WHEN_SHORT = 0.6;

/** How many tasks of a class room is to be kept for, beside those that are there. */
function missingOf(state: CoreState, demand: Demand, now: Now): number {
  const { spec, peak, lastArrivalAt, meanArrivalGap } = demand;
  if (now.monotonicMs - lastArrivalAt > ARRIVALS_OVER * meanArrivalGap) return 0;
  // Others wait for the same room then, and many of them will be late.
  const short = [...state.provisioningBlockedUntil.values()].some((until) => until > now.monotonicMs);
  const share = short ? KEPT_WHEN_SHORT : 1;
  return Math.ceil(share * peak) - (state.outstandingByClass.get(spec.jobClass) ?? 0);
}

/**
 * Keeps room for tasks of hurried classes that are likely to come: up to the most that were
 * there at once of late, on the machines with most images, for elsewhere each image would
 * have to be fetched first. Now and then among all capacityIndex; in between, for what is missing
 * still, among those on which something has changed.
 */
export function reserveHeadroom(state: CoreState, now: Now, changed: Iterable<NodeCapacity> | null): void {
  if (changed === null) state.capacityIndex.letGoAll();
  const hurried = [...state.demand.values()].filter(({ spec }) => isStartSensitive(state, spec));
  const missing = hurried.map(
    (demand) => missingOf(state, demand, now) - state.capacityIndex.keptFor(demand.spec),
  );
  if (!missing.some((count) => count > 0)) return;
  const only = constrainedTypesInDemand(state);
  const rich = [...(changed ?? state.capacityIndex.all)].sort(
    (a, b) => b.machine.cachedImages.size - a.machine.cachedImages.size,
  );
  hurried.forEach(({ spec }, index) => {
    const choosy = soleType(state, spec) === null;
    let left = missing[index] ?? 0;
    for (const site of rich) {
      if (left <= 0) break;
      // What others can run on nothing else is not kept from them.
      if (choosy && only.has(site.machine.type)) continue;
      if (!satisfiesConstraints(spec, site.machine.type, site.machine.zone, site.machine.spot)) continue;
      for (; left > 0 && fits(spec, site.free); left -= 1) state.capacityIndex.keep(site, spec);
    }
  });
}
