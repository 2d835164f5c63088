/**
 * Headroom: resources held free for start-sensitive classes, whose tasks cannot wait for a machine
 * to boot. It is a reservation for tasks that are expected to arrive.
 */
import { isStartSensitive } from '../jobs/objectives.js';
import type { Demand, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { NodeCapacity } from './capacity-index.js';
import { constrainedTypesInDemand, soleType } from './constrained-types.js';
import { fits, satisfiesConstraints, taskRequest } from './resources.js';

/** Number of mean arrival gaps without an arrival after which a class counts as inactive. */
export const MAX_ARRIVAL_GAPS = 8;

/**
 * Share of the peak demand that headroom is held for while provisioning is blocked, because other
 * classes then wait for the same resources and many of their tasks will be late.
 */
const BLOCKED_PROVISIONING_SHARE = 0.6;

/** Number of tasks of a class that headroom is needed for, beyond those on machines or waiting. */
function headroomNeed(state: CoreState, demand: Demand, now: Now): number {
  const { spec, peak, lastArrivalAt, meanArrivalGapMs } = demand;
  if (now.monotonicMs - lastArrivalAt > MAX_ARRIVAL_GAPS * meanArrivalGapMs) return 0;
  const isBlocked = [...state.provisioningBlockedUntil.values()].some((until) => until > now.monotonicMs);
  const share = isBlocked ? BLOCKED_PROVISIONING_SHARE : 1;
  return Math.ceil(share * peak) - (state.outstandingByClass.get(spec.jobClass) ?? 0);
}

/**
 * Holds headroom for start-sensitive classes up to their recent peak, first on the machines that
 * cache the most images, because other machines have to fetch each image. If `changed` is null, all
 * headroom is recomputed; otherwise missing headroom is reserved on the changed nodes only.
 */
export function reserveHeadroom(state: CoreState, now: Now, changed: Iterable<NodeCapacity> | null): void {
  const { capacityIndex } = state;
  if (changed === null) capacityIndex.releaseAllHeadroom();
  const demands = [...state.demand.values()].filter(({ spec }) => isStartSensitive(state, spec));
  const missing = demands.map(
    (demand) => headroomNeed(state, demand, now) - capacityIndex.headroomTasks(demand.spec),
  );
  if (!missing.some((count) => count > 0)) return;
  const constrained = constrainedTypesInDemand(state);
  const byCachedImages = [...(changed ?? capacityIndex.nodes)].sort(
    (a, b) => b.machine.cachedImages.size - a.machine.cachedImages.size,
  );
  demands.forEach(({ spec }, index) => {
    const request = taskRequest(spec);
    const hasChoice = soleType(state, spec) === null;
    let remaining = missing[index] ?? 0;
    for (const node of byCachedImages) {
      if (remaining <= 0) break;
      const { type, zone, spot } = node.machine;
      // A class with a choice of types leaves a constrained type to the classes that can run on no other.
      if (hasChoice && constrained.has(type)) continue;
      if (!satisfiesConstraints(spec, type, zone, spot)) continue;
      for (; remaining > 0 && fits(request, node.unreserved); remaining -= 1)
        capacityIndex.reserveHeadroom(node, spec);
    }
  });
}
