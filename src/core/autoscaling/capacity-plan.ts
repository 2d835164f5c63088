/**
 * The capacity plan: existing and expected machines, with their free resources over time, and the instances to
 * request. A new plan is made for each scale-out decision.
 */
import { expectedEnd, expectedReleases } from '../fleet/expected-end.js';
import { isBestEffort } from '../jobs/best-effort.js';
import type { JobState, LiveClaim, Machine, Now } from '../model.js';
import { constrainedTypesInDemand } from '../placement/constrained-types.js';
import { freeResources, isExcluded, satisfiesConstraints } from '../placement/resources.js';
import type { CoreState } from '../state.js';
import type { JobSpec, MachineType } from '../types.js';
import { instanceKindKey, type InstanceKind } from './instance-kinds.js';
import { newPlannedMachine, type PlannedMachine } from './planned-machine.js';
import { StartQueue } from './start-queue.js';

/** The remaining boot time of a machine is estimated as at least this share of its full boot time. */
const LATE_BOOT_SHARE = 0.5;
/**
 * Time for a stop command to reach the worker, and for the heartbeat that reports the saved checkpoint to arrive, in
 * maximum heartbeat intervals.
 */
const PREEMPTION_INTERVALS = 2;

/** Planned machines that jobs of one shape may use, ordered by their earliest start. */
export interface Candidates {
  readonly spot: StartQueue;
  readonly onDemand: StartQueue;
}

/** The candidates of one job shape: of jobs with the same resource requests and constraints. */
export interface ShapeCandidates {
  readonly spec: JobSpec;
  /** Jobs of this shape can use several machine types, and leave constrained types to jobs that need them. */
  readonly isFlexible: boolean;
  readonly candidates: Candidates;
}

/** The number of instances of one kind that the plan requests. */
export interface RequestedKind {
  readonly kind: InstanceKind;
  count: number;
}

/** One plan: all machines with the tasks planned on them, and the instances to request. */
export interface CapacityPlan {
  readonly state: CoreState;
  readonly now: Now;
  readonly machines: PlannedMachine[];
  /** Types that are the only machine type that some class with recent arrivals can use. */
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
 * duplicates from a machine that no longer exists.
 */
const isUnconfirmed = ({
  lastHeartbeatAt,
  isReconciled,
  provisionedAt,
  discoveredAt,
  claims,
}: Machine): boolean =>
  lastHeartbeatAt !== null && !isReconciled && provisionedAt >= discoveredAt && claims.size === 0;

/** Whether the plan may use a machine. */
const isPlannable = (machine: Machine): boolean =>
  machine.terminationReason === null &&
  machine.reclaimedAt === null &&
  machine.unresponsiveSince === null &&
  !isUnconfirmed(machine);

/**
 * Monotonic time in milliseconds at which a best-effort task's resources become free for other tasks if it is
 * preempted now and saves a checkpoint; Infinity: the task is not preempted. The plan places the preempted task
 * again.
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
  const endOf = (claim: LiveClaim): number =>
    Math.min(expectedEnd(state, claim, now), preemptibleAt(state, claim.job, now));
  return {
    machine: machine.name,
    type,
    zone: machine.zone,
    spot: machine.spot,
    readyAt: readyTime(machine, type, now),
    free: freeResources(machine, type),
    ends: expectedReleases(state, machine, now, endOf),
    isBusy: machine.claims.size > 0,
    isUsed: false,
    version: 0,
  };
}

/** Existing and requested machines, in the order in which the plan fills them. */
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
  // Busy machines come first, then those with the most cached images, so that the idle machines
  // with the fewest cached images remain unused.
  const imageCount = ({ machine }: PlannedMachine): number =>
    state.machines.get(machine ?? '')?.cachedImages.size ?? 0;
  return planned.sort((a, b) => Number(b.isBusy) - Number(a.isBusy) || imageCount(b) - imageCount(a));
}

/** Creates a plan of the existing and requested machines, with no tasks planned on them yet. */
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

/** Adds one more instance of a kind to the plan's requests. */
export function requestInstance(plan: CapacityPlan, kind: InstanceKind): void {
  const key = instanceKindKey(kind.type.name, kind.zone, kind.spot);
  const requested = plan.requested.get(key) ?? { kind, count: 0 };
  requested.count += 1;
  plan.requested.set(key, requested);
  plan.counts.set(key, (plan.counts.get(key) ?? 0) + 1);
}

/** Whether jobs with this spec may use a planned machine, and need not leave it to jobs that can use no other type. */
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
  const { spec, request } = job;
  const spot: PlannedMachine[] = [];
  const onDemand: PlannedMachine[] = [];
  for (const planned of plan.machines) {
    if (!mayUse(plan, spec, isFlexible, planned)) continue;
    if (planned.machine !== null && isExcluded(job, planned.machine)) continue;
    (planned.spot ? spot : onDemand).push(planned);
  }
  return { spot: new StartQueue(spot, request), onDemand: new StartQueue(onDemand, request) };
}

/**
 * Adds a requested instance to the plan, as a candidate of every shape that may use it.
 * `requesterCandidates`: the candidates of the job that it is requested for.
 */
export function addCandidate(
  plan: CapacityPlan,
  planned: PlannedMachine,
  requesterCandidates: Candidates,
): void {
  plan.machines.push(planned);
  for (const { spec, isFlexible, candidates } of plan.shapes.values()) {
    if (candidates !== requesterCandidates && !mayUse(plan, spec, isFlexible, planned)) continue;
    (planned.spot ? candidates.spot : candidates.onDemand).add(planned);
  }
}
