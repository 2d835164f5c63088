/**
 * The capacity plan: the machines that there are and will be, with their free resources over time, and the
 * instances to request. It is made anew for each scale-out decision.
 */
import { expectedEnd } from '../fleet/expected-end.js';
import { isBestEffort } from '../jobs/best-effort.js';
import type { JobState, Machine, Now } from '../model.js';
import { constrainedTypesInDemand } from '../placement/constrained-types.js';
import { freeResources, isExcluded, resourcesOf, satisfiesConstraints } from '../placement/resources.js';
import type { CoreState } from '../state.js';
import type { JobSpec, MachineType } from '../types.js';
import { instanceKindKey, type InstanceKind } from './instance-kinds.js';
import { newPlannedMachine, type PlannedMachine } from './planned-machine.js';
import { StartQueue } from './start-queue.js';

/** A machine late to boot is expected within this share of its boot time from now. */
const LATE_BOOT_SHARE = 0.5;
/** Heartbeat intervals that a stop command and the report of a saved checkpoint take together, at most. */
const PREEMPTION_INTERVALS = 2;

/** Planned machines that jobs of one shape may use, by their earliest start. */
export interface Candidates {
  readonly spot: StartQueue;
  readonly onDemand: StartQueue;
}

/** The candidates of one job shape, with a job of that shape as the pattern. */
export interface ShapeCandidates {
  readonly spec: JobSpec;
  /** Jobs of this shape can use several types, and leave the constrained ones to others. */
  readonly isFlexible: boolean;
  readonly candidates: Candidates;
}

/** Machines of one kind that the plan asks for. */
export interface RequestedKind {
  readonly kind: InstanceKind;
  count: number;
}

/** One plan: all machines with what is planned on them, and the instances that are missing. */
export interface CapacityPlan {
  readonly state: CoreState;
  readonly now: Now;
  readonly machines: PlannedMachine[];
  /** Types that some class in demand can use nothing but. */
  readonly constrainedTypes: ReadonlySet<string>;
  /** Instances to request, by the kind's key. */
  readonly requested: Map<string, RequestedKind>;
  /** Machines of each kind that are up, booting or requested, by the kind's key. */
  readonly counts: Map<string, number>;
  /** Candidates of the job shapes planned so far, by the shape's key. */
  readonly shapes: Map<string, ShapeCandidates>;
}

/**
 * Whether a machine is known only from heartbeats that do not carry this leader's token: they may be late
 * copies of those of a machine that is gone.
 */
const isUnconfirmed = ({
  lastHeartbeatAt,
  isReconciled,
  provisionedAt,
  discoveredAt,
  claims,
}: Machine): boolean =>
  lastHeartbeatAt !== null && !isReconciled && provisionedAt >= discoveredAt && claims.size === 0;

/** Whether the plan may count on a machine. */
const isPlannable = (machine: Machine): boolean =>
  machine.terminationReason === null &&
  machine.reclaimedAt === null &&
  machine.unresponsiveSince === null &&
  !isUnconfirmed(machine);

/**
 * Monotonic time in milliseconds at which a best-effort task's resources can be had for other work, at the
 * cost of saving a checkpoint; Infinity: the task is not preempted. The plan finds such a task another place.
 */
function preemptibleAt(state: CoreState, { spec }: JobState, now: Now): number {
  if (spec.checkpointS === 0 || !isBestEffort(state, spec)) return Infinity;
  return (
    now.monotonicMs + spec.saveS * 1000 + PREEMPTION_INTERVALS * state.config.timing.maxHeartbeatIntervalMs
  );
}

/** Monotonic time in milliseconds from which tasks can start on a machine. */
function readyTime(machine: Machine, type: MachineType, now: Now): number {
  if (machine.lastHeartbeatAt !== null) return now.monotonicMs;
  const bootMs = type.bootS * 1000;
  return Math.max(machine.provisionedAt + bootMs, now.monotonicMs + LATE_BOOT_SHARE * bootMs);
}

function planExistingMachine(
  state: CoreState,
  machine: Machine,
  type: MachineType,
  now: Now,
): PlannedMachine {
  const ends = [...machine.claims.values()].map((claim) => ({
    at: Math.min(expectedEnd(state, claim, now), preemptibleAt(state, claim.job, now)),
    resources: resourcesOf(claim.job.spec),
  }));
  ends.sort((a, b) => a.at - b.at);
  return {
    machine: machine.name,
    type,
    zone: machine.zone,
    spot: machine.spot,
    readyAt: readyTime(machine, type, now),
    free: freeResources(machine, type),
    ends,
    isBusy: ends.length > 0,
    isUsed: false,
    version: 0,
  };
}

/** The machines that there are and that have been requested, in the order in which the plan fills them. */
function planMachines(state: CoreState, now: Now): PlannedMachine[] {
  const planned: PlannedMachine[] = [];
  for (const machine of state.machines.values()) {
    const type = state.machineTypes.get(machine.type);
    if (type === undefined || !isPlannable(machine)) continue;
    planned.push(planExistingMachine(state, machine, type, now));
  }
  for (const request of state.provisioningRequests.values()) {
    const type = state.machineTypes.get(request.type);
    if (type === undefined) continue;
    for (let i = 0; i < request.count; i += 1)
      planned.push(newPlannedMachine(type, request.zone, request.spot, now));
  }
  // Busy machines come first, then those with most cached images: the idle ones with the
  // fewest fall out of use.
  const imageCount = ({ machine }: PlannedMachine): number =>
    state.machines.get(machine ?? '')?.cachedImages.size ?? 0;
  return planned.sort((a, b) => Number(b.isBusy) - Number(a.isBusy) || imageCount(b) - imageCount(a));
}

/** A plan of the present machines, with nothing planned on them yet. */
export function createCapacityPlan(state: CoreState, now: Now): CapacityPlan {
  const machines = planMachines(state, now);
  const counts = new Map<string, number>();
  for (const { type, zone, spot } of machines) {
    const key = instanceKindKey(type.name, zone, spot);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return {
    state,
    now,
    machines,
    constrainedTypes: constrainedTypesInDemand(state),
    requested: new Map(),
    counts,
    shapes: new Map(),
  };
}

/** Asks for one more instance of a kind. */
export function requestInstance(plan: CapacityPlan, kind: InstanceKind): void {
  const key = instanceKindKey(kind.type.name, kind.zone, kind.spot);
  const requested = plan.requested.get(key) ?? { kind, count: 0 };
  requested.count += 1;
  plan.requested.set(key, requested);
  plan.counts.set(key, (plan.counts.get(key) ?? 0) + 1);
}

/** Whether jobs like this one may use a planned machine, and do not leave it to others. */
export function mayUse(
  plan: CapacityPlan,
  spec: JobSpec,
  isFlexible: boolean,
  { type, zone, spot }: PlannedMachine,
): boolean {
  return (
    satisfiesConstraints(spec, type.name, zone, spot) && !(isFlexible && plan.constrainedTypes.has(type.name))
  );
}

/** The planned machines that a job may use. */
export function findCandidates(plan: CapacityPlan, job: JobState, isFlexible: boolean): Candidates {
  const { spec } = job;
  const spot: PlannedMachine[] = [];
  const onDemand: PlannedMachine[] = [];
  for (const planned of plan.machines) {
    if (!mayUse(plan, spec, isFlexible, planned)) continue;
    if (planned.machine !== null && isExcluded(job, planned.machine)) continue;
    (planned.spot ? spot : onDemand).push(planned);
  }
  return { spot: new StartQueue(spot, spec), onDemand: new StartQueue(onDemand, spec) };
}

/**
 * Adds an instance that is requested for the jobs with candidates `own` to the plan, as a candidate of every
 * shape that may use it.
 */
export function addCandidate(plan: CapacityPlan, planned: PlannedMachine, own: Candidates): void {
  plan.machines.push(planned);
  for (const { spec, isFlexible, candidates } of plan.shapes.values()) {
    if (candidates !== own && !mayUse(plan, spec, isFlexible, planned)) continue;
    (planned.spot ? candidates.spot : candidates.onDemand).add(planned);
  }
}
