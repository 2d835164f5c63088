/** Arithmetic on resources, and which machines a job may use. */
import type { JobState, Machine, Now } from '../model.js';
import { heartbeatBytesPerTask, MAX_LIST_BYTES } from '../message-sizes.js';
import type { JobSpec, MachineType, ResourceRequest, Resources } from '../types.js';

/** Tolerance for rounding errors in sums of resources. */
export const RESOURCE_EPSILON = 1e-6;

/** Whether a request fits into free resources, with a tolerance for rounding errors. */
export function fits(request: ResourceRequest, free: ResourceRequest): boolean {
  return (
    request.cpus <= free.cpus + RESOURCE_EPSILON &&
    request.gpus <= free.gpus + RESOURCE_EPSILON &&
    request.memoryGb <= free.memoryGb + RESOURCE_EPSILON &&
    request.heartbeatBytes <= free.heartbeatBytes
  );
}

/** Subtracts a request from free resources, in place. */
export function allocate(free: Resources, request: ResourceRequest): void {
  free.cpus -= request.cpus;
  free.gpus -= request.gpus;
  free.memoryGb -= request.memoryGb;
  free.heartbeatBytes -= request.heartbeatBytes;
}

/** Adds a request to free resources, in place. */
export function release(free: Resources, request: ResourceRequest): void {
  free.cpus += request.cpus;
  free.gpus += request.gpus;
  free.memoryGb += request.memoryGb;
  free.heartbeatBytes += request.heartbeatBytes;
}

/** The sum of two amounts of resources. */
export const addResources = (a: ResourceRequest, b: ResourceRequest): Resources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  memoryGb: a.memoryGb + b.memoryGb,
  heartbeatBytes: a.heartbeatBytes + b.heartbeatBytes,
});

/** A copy of an object's resources, without its other properties. */
export const resourcesOf = ({ cpus, gpus, memoryGb, heartbeatBytes }: ResourceRequest): Resources => ({
  cpus,
  gpus,
  memoryGb,
  heartbeatBytes,
});

/** What one task of a job takes of its machine. */
export const taskRequest = (spec: JobSpec): ResourceRequest => ({
  cpus: spec.cpus,
  gpus: spec.gpus,
  memoryGb: spec.memoryGb,
  heartbeatBytes: heartbeatBytesPerTask(spec),
});

/** The resources of an empty machine. */
export const machineCapacity = ({ cpus, gpus, memoryGb }: MachineType): Resources => ({
  cpus,
  gpus,
  memoryGb,
  heartbeatBytes: MAX_LIST_BYTES,
});

/** Whether a task of a job fits an empty machine. */
export const fitsType = (spec: JobSpec, type: MachineType): boolean =>
  fits(taskRequest(spec), machineCapacity(type));

/** How many tasks of a job fit an empty machine, by the resources that nearly every task takes. */
export function tasksPerMachine(spec: JobSpec, type: MachineType): number {
  const request = taskRequest(spec);
  const capacity = machineCapacity(type);
  const counts = (['cpus', 'memoryGb', 'heartbeatBytes'] as const).map(
    (resource) => capacity[resource] / Math.max(RESOURCE_EPSILON, request[resource]),
  );
  return Math.floor(Math.min(...counts));
}

/** Zero of each resource. */
export const noResources = (): Resources => ({ cpus: 0, gpus: 0, memoryGb: 0, heartbeatBytes: 0 });

/** The resources of a machine that its claims leave free, and the other tasks that it still reports. */
export function freeResources(machine: Machine, type: MachineType): Resources {
  const free = machineCapacity(type);
  allocate(free, machine.allocated);
  free.heartbeatBytes -= machine.unclaimedHeartbeatBytes;
  return free;
}

/** Milliseconds that a task placed on a machine now waits for its image. */
export function imageFetchMs(machine: Machine, type: MachineType, spec: JobSpec, now: Now): number {
  if (machine.cachedImages.has(spec.image) || type.fetchGbPerS <= 0) return 0;
  const fetchMs = (spec.imageGb / type.fetchGbPerS) * 1000;
  let remainingMs = fetchMs;
  for (const claim of machine.claims.values()) {
    if (claim.job.spec.image !== spec.image) continue;
    if (claim.runningSince !== null) return 0;
    // The image is already being fetched for this claim.
    remainingMs = Math.min(remainingMs, Math.max(0, fetchMs - (now.epochMs - claim.createdAt)));
  }
  return remainingMs;
}

/** Number of machines that a job without a completed task must have failed on to count as faulty itself. */
const MIN_FAILED_MACHINES_OF_FAULTY_JOB = 3;

/** Whether a job's failures are attributed to the job itself, not to machines; any machine may then run it. */
export const isFaultyJob = (job: JobState): boolean =>
  job.doneCount === 0 && job.failedMachines.size >= MIN_FAILED_MACHINES_OF_FAULTY_JOB;

/**
 * Whether a job avoids a machine because it has failed there and the machine may be at fault. Placement
 * and autoscaling must agree on this: if the plan counts on a machine that placement avoids, the job
 * waits forever.
 */
export const isExcluded = (job: JobState, machine: string): boolean =>
  job.failedMachines.has(machine) && !isFaultyJob(job);

/**
 * Whether a job's constraints on type, zone and spot allow a kind of machine. Constraints on the zones
 * of its tasks relative to each other (`oneZone`, `spread`) are not checked here.
 */
export function satisfiesConstraints(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}
