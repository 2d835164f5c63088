/** Reservations for blocked jobs: the nodes that a job may reserve, and the choice among them. */
import { isSchedulable } from '../fleet/machines.js';
import type { JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { NodeCapacity } from './capacity-index.js';
import { avoidsConstrainedTypes, startTogetherCount, type PlacementPass } from './placement-pass.js';
import { isExcluded, satisfiesConstraints } from './resources.js';
import {
  earliestShadow,
  reserveAcrossMachines,
  reservedCapacity,
  shadowOn,
  type Reservation,
  type ReservedCapacity,
} from './shadow-time.js';
import { zoneFilter } from './zone-constraints.js';

const noConstrainedCapacity: ReadonlyMap<NodeCapacity, ReservedCapacity> = new Map();

/** Returns a filter for the nodes that a job may reserve, or that may be freed for it by preemption. */
export function nodeFilter(pass: PlacementPass, job: JobState): (node: NodeCapacity) => boolean {
  const { state, now } = pass;
  const { spec } = job;
  const isZoneOpen = zoneFilter(state, job);
  // A job that avoids a node must not reserve it either, or no job could use the node.
  const avoided = avoidsConstrainedTypes(pass, job) ? pass.constrainedCapacity : noConstrainedCapacity;
  return (node) => {
    const { machine } = node;
    return (
      !avoided.has(node) &&
      !pass.reservations.some(({ job: owner, capacity }) => owner !== job && capacity.has(node)) &&
      isSchedulable(state, machine, now) &&
      satisfiesConstraints(spec, machine.type, machine.zone, machine.spot) &&
      !isExcluded(job, machine.name) &&
      isZoneOpen(machine.zone)
    );
  };
}

/** The earliest reservation for a job's tasks that start together; null: they never fit. */
export function reserveFor(pass: PlacementPass, job: JobState): Reservation | null {
  const { state, now } = pass;
  const { spec, request } = job;
  const isEligible = nodeFilter(pass, job);
  const count = startTogetherCount(job);
  if (count === 1) return earliestShadow(state, request, now, isEligible);
  const nodes = [...state.capacityIndex.nodes].filter(isEligible);
  if (!spec.oneZone) return reserveAcrossMachines(state, nodes, request, count, now);
  let earliest: Reservation | null = null;
  for (const zone of new Set(nodes.map(({ machine }) => machine.zone))) {
    const inZone = nodes.filter(({ machine }) => machine.zone === zone);
    const found = reserveAcrossMachines(state, inZone, request, count, now);
    if (found === null) continue;
    if (earliest === null || found.shadowTime < earliest.shadowTime) earliest = found;
  }
  return earliest;
}

/** Capacity reserved on all nodes of constrained machine types, each for the first job that needs its type. */
export function reserveConstrainedTypes(
  state: CoreState,
  jobsByType: ReadonlyMap<string, JobState>,
  now: Now,
): Map<NodeCapacity, ReservedCapacity> {
  const reserved = new Map<NodeCapacity, ReservedCapacity>();
  for (const [type, { request }] of jobsByType) {
    const shadowTimes = state.capacityIndex.shadowTimes(request, (node) =>
      shadowOn(state, node, request, now),
    );
    for (const node of state.capacityIndex.ofType(type)) {
      const shadow = shadowTimes.of(node);
      if (shadow.at < Infinity) reserved.set(node, reservedCapacity(shadow, request));
    }
  }
  return reserved;
}
