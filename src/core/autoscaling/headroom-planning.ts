/**
 * Headroom: capacity for classes that cannot wait for a machine to boot, provisioned before their jobs arrive.
 * Planning their waiting tasks alone would not request it: they would be placed, too late, on existing machines
 * before a new one could be up.
 */
import { expectedEnd } from '../fleet/expected-end.js';
import { allowedWait } from '../jobs/objectives.js';
import type { Demand, Now } from '../model.js';
import { soleType } from '../placement/constrained-types.js';
import { MAX_ARRIVAL_GAPS } from '../placement/headroom.js';
import { allocate, fits, fitsType, machineCapacity, taskRequest } from '../placement/resources.js';
import type { CoreState } from '../state.js';
import type { JobSpec, ResourceRequest, Resources } from '../types.js';
import { mayUse, requestInstance, type CapacityPlan } from './capacity-plan.js';
import { availableKinds, cheapestBalancedKind, type InstanceKind } from './instance-kinds.js';
import type { PlannedMachine } from './planned-machine.js';

/** Number of boot times without an arrival after which no more arrivals of a class are expected. */
const MAX_ARRIVAL_GAP_BOOTS = 2;

/** The part of a class's headroom that is not covered yet. */
interface HeadroomGap {
  readonly spec: JobSpec;
  /** The class can use several machine types, and leaves constrained types to jobs that need them. */
  readonly isFlexible: boolean;
  /** How long its tasks may wait, in milliseconds. */
  readonly allowedWaitMs: number;
  /** Tasks for which instances have to be requested. */
  missing: number;
  /** Tasks for which no machine is up now. */
  missingNow: number;
}

/** How many tasks with this request fit into resources. */
function countFitting(request: ResourceRequest, resources: Resources): number {
  const left = { ...resources };
  let count = 0;
  while (fits(request, left)) {
    allocate(left, request);
    count += 1;
  }
  return count;
}

/** Shortest boot time of the machine types that can hold a class's tasks, in seconds; Infinity if none can. */
function shortestBootS(state: CoreState, spec: JobSpec): number {
  let shortest = Infinity;
  for (const type of state.machineTypes.values())
    if (fitsType(spec, type)) shortest = Math.min(shortest, type.bootS);
  return shortest;
}

/** Whether no more arrivals of a class are expected: none has come for several mean gaps, or several boot times. */
function hasEnded({ lastArrivalAt, meanArrivalGapMs }: Demand, bootS: number, now: Now): boolean {
  const maxGapMs = Math.min(MAX_ARRIVAL_GAPS * meanArrivalGapMs, MAX_ARRIVAL_GAP_BOOTS * 1000 * bootS);
  return now.monotonicMs - lastArrivalAt > maxGapMs;
}

/** How many tasks of a class fit on a machine within their allowed wait, next to longer tasks of other classes. */
function countTasksOn({ state, now }: CapacityPlan, gap: HeadroomGap, planned: PlannedMachine): number {
  const { spec, allowedWaitMs } = gap;
  const resources = machineCapacity(planned.type);
  const machine = planned.machine === null ? undefined : state.machines.get(planned.machine);
  for (const claim of machine?.claims.values() ?? []) {
    const stays = expectedEnd(state, claim, now) > now.monotonicMs + allowedWaitMs;
    if (stays && claim.job.spec.jobClass !== spec.jobClass) allocate(resources, claim.job.request);
  }
  return countFitting(taskRequest(spec), resources);
}

/**
 * Covers a gap with the plan's spot or on-demand machines. `isLasting`: they replace instances that would be
 * requested otherwise; if false, they only cover the time until those instances are up.
 */
function coverWithMachines(plan: CapacityPlan, gap: HeadroomGap, spot: boolean, isLasting: boolean): void {
  for (const planned of plan.machines) {
    if ((isLasting ? gap.missing : gap.missingNow) <= 0) break;
    if (planned.spot !== spot || !mayUse(plan, gap.spec, gap.isFlexible, planned)) continue;
    const found = countTasksOn(plan, gap, planned);
    if (found > 0) planned.isUsed = true;
    if (planned.readyAt <= plan.now.monotonicMs) gap.missingNow -= found;
    if (isLasting) gap.missing -= found;
  }
}

/** Requests instances for the tasks that are not covered yet. */
function coverWithInstances(plan: CapacityPlan, gap: HeadroomGap, kinds: readonly InstanceKind[]): void {
  while (gap.missing > 0) {
    const kind = cheapestBalancedKind(plan.counts, kinds);
    const found = kind === undefined ? 0 : countFitting(taskRequest(gap.spec), machineCapacity(kind.type));
    if (kind === undefined || found === 0) return;
    requestInstance(plan, kind);
    gap.missing -= found;
  }
}

/**
 * Plans headroom for a class that cannot wait for a machine to boot: capacity for its recent peak of concurrent
 * tasks, multiplied by the policy's headroom factor.
 */
export function planHeadroom(plan: CapacityPlan, demand: Demand): void {
  const { state, now, constrainedTypes } = plan;
  const { spec, peak } = demand;
  const allowedWaitMs = allowedWait(state, spec);
  const bootS = shortestBootS(state, spec);
  if (allowedWaitMs > bootS * 1000 || hasEnded(demand, bootS, now)) return;
  const isFlexible = soleType(state, spec) === null;
  const needed = Math.ceil(peak * state.config.policy.headroomFactor(spec));
  const gap: HeadroomGap = { spec, isFlexible, allowedWaitMs, missing: needed, missingNow: needed };
  const spotKinds = availableKinds(state, spec, constrainedTypes, isFlexible, now).filter(({ spot }) => spot);
  coverWithMachines(plan, gap, true, true);
  // On-demand machines cover the time until spot machines are up, or replace them if none can be requested.
  coverWithMachines(plan, gap, false, spotKinds.length === 0);
  coverWithInstances(plan, gap, spotKinds);
}
