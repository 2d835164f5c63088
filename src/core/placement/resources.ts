/** Arithmetic on resources, and which machines a job may use. */
import type { JobState, Machine, Now } from '../model.js';
import type { JobSpec, MachineType, ResourceRequest, Resources } from '../types.js';

/** Tolerance for rounding errors in sums of resources. */
export const RESOURCE_EPSILON = 1e-6;

/** Whether a request fits into free resources, but for rounding errors. */
export function fits(request: ResourceRequest, free: ResourceRequest): boolean {
  return (
    request.cpus <= free.cpus + RESOURCE_EPSILON &&
    request.gpus <= free.gpus + RESOURCE_EPSILON &&
    request.memoryGb <= free.memoryGb + RESOURCE_EPSILON
  );
}

/** Subtracts a request from free resources, in place. */
export function allocate(free: Resources, request: ResourceRequest): void {
  free.cpus -= request.cpus;
  free.gpus -= request.gpus;
  free.memoryGb -= request.memoryGb;
}

/** Adds a request to free resources, in place. */
export function release(free: Resources, request: ResourceRequest): void {
  free.cpus += request.cpus;
  free.gpus += request.gpus;
  free.memoryGb += request.memoryGb;
}

/** The sum of two amounts of resources. */
export const addResources = (a: ResourceRequest, b: ResourceRequest): Resources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  memoryGb: a.memoryGb + b.memoryGb,
});

/** A copy of the resources alone, whatever else the object holds. */
export const resourcesOf = ({ cpus, gpus, memoryGb }: ResourceRequest): Resources => ({
  cpus,
  gpus,
  memoryGb,
});

/** Zero of each resource. */
export const noResources = (): Resources => ({ cpus: 0, gpus: 0, memoryGb: 0 });

/** What a machine's claims leave free of it. */
export function freeResources(machine: Machine, type: MachineType): Resources {
  const free = resourcesOf(type);
  allocate(free, machine.allocated);
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
    // Being fetched for another task already.
    remainingMs = Math.min(remainingMs, Math.max(0, fetchMs - (now.epochMs - claim.createdAt)));
  }
  return remainingMs;
}

/** Number of machines with failures, and no completed task, from which on a job itself is at fault. */
const MIN_FAILED_MACHINES_OF_FAULTY_JOB = 3;

/** Whether a job was submitted with a mistake, as far as is known; it may be tried on any machine. */
export const isFaultyJob = (job: JobState): boolean =>
  job.doneCount === 0 && job.failedMachines.size >= MIN_FAILED_MACHINES_OF_FAULTY_JOB;

/**
 * Whether a job has failed on a machine that may be to blame for it. Placement and autoscaling must
 * agree on this: a machine that the plan counts on and placement avoids keeps the job waiting for ever.
 */
export const isExcluded = (job: JobState, machine: string): boolean =>
  job.failedMachines.has(machine) && !isFaultyJob(job);

/** Whether a job's own constraints allow a kind of machine, whatever its zone constraints say of its other tasks. */
export function satisfiesConstraints(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}
