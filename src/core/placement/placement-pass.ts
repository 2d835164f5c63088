/** State of one pass over the queue: its reservations, and the requests found unplaceable so far. */
import { isDeadlineAtRisk } from '../jobs/objectives.js';
import { waitingTasks } from '../jobs/jobs.js';
import type { JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { ResourceRequest } from '../types.js';
import type { NodeCapacity } from './capacity-index.js';
import { soleType } from './constrained-types.js';
import { addResources, allocate, fits, noResources } from './resources.js';
import type { Reservation, ReservedCapacity } from './shadow-time.js';

/** The reservation of one job; all other jobs must respect it. */
interface JobReservation extends Reservation {
  readonly job: JobState;
}

/** A request that no node has room for in this pass, with the headroom counted as free or not. */
interface UnplaceableRequest {
  readonly request: ResourceRequest;
  readonly includesHeadroom: boolean;
}

/** One pass over the queue. */
export interface PlacementPass {
  readonly state: CoreState;
  readonly now: Now;
  /** CPUs of the largest machine. */
  readonly maxCpus: number;
  /** Starvation reservations, and the reservation of the head job. */
  readonly reservations: JobReservation[];
  /** Capacity reserved on constrained machine types, against jobs that could use another type. */
  readonly constrainedCapacity: ReadonlyMap<NodeCapacity, ReservedCapacity>;
  /** The highest priority (the lowest number) among the jobs that need a constrained type. */
  readonly constrainedPriority: number;
  readonly unplaceable: UnplaceableRequest[];
}

/** Number of a job's tasks that have to start together: all of a gang's, one of any other job. */
export function startTogetherCount(job: JobState): number {
  return job.spec.form === 'gang' ? waitingTasks(job) : 1;
}

/** Whether a job must respect the capacity reserved on constrained machine types. */
export function avoidsConstrainedTypes(pass: PlacementPass, job: JobState): boolean {
  const { state, now, constrainedCapacity, constrainedPriority } = pass;
  if (constrainedCapacity.size === 0 || soleType(state, job.spec) !== null) return false;
  // A job of higher priority that is about to miss an objective takes precedence.
  return !(job.priority < constrainedPriority && isDeadlineAtRisk(state, job, now));
}

/** Capacity reserved on a node for other jobs, and as capacity of a constrained machine type. */
export function reservedForOthers(
  pass: PlacementPass,
  job: JobState,
  node: NodeCapacity,
): ReservedCapacity[] {
  const reserved = pass.reservations.map((one) => (one.job === job ? undefined : one.capacity.get(node)));
  return [...reserved, pass.constrainedCapacity.get(node)].filter((one) => one !== undefined);
}

/** Allocates a node's resources to one task of a job that is expected to end at `end`. */
export function allocateOnNode(pass: PlacementPass, job: JobState, node: NodeCapacity, end: number): void {
  const { capacityIndex } = pass.state;
  const { spec, request } = job;
  if (fits(request, node.unreserved)) allocate(node.unreserved, request);
  else {
    capacityIndex.consumeHeadroom(spec);
    allocateFromHeadroom(node, request);
  }
  node.busyUntil = Math.max(node.busyUntil, end);
  capacityIndex.recordChange(node);
  for (const { shadowTime, extra } of reservedForOthers(pass, job, node))
    if (end > shadowTime) allocate(extra, request);
}

/** Allocates from the unreserved resources first, and takes the remainder from the headroom. */
function allocateFromHeadroom(node: NodeCapacity, request: ResourceRequest): void {
  const free = addResources(node.unreserved, node.headroom);
  allocate(free, request);
  const headroom = noResources();
  for (const resource of ['cpus', 'gpus', 'memoryGb', 'heartbeatBytes'] as const) {
    headroom[resource] = Math.min(node.headroom[resource], free[resource]);
    free[resource] -= headroom[resource];
  }
  Object.assign(node.headroom, headroom);
  Object.assign(node.unreserved, free);
}
