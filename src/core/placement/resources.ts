/** Room on machines, counted per resource, and which machines a job allows. */
import type { JobState, Machine, Now } from '../model.js';
import type { JobSpec, MachineType, ResourceRequest, Resources } from '../types.js';

export type { ResourceRequest as Need, Resources as Room };

const EPSILON = 1e-6;

export function fits(need: ResourceRequest, room: ResourceRequest): boolean {
  return (
    need.cpus <= room.cpus + EPSILON &&
    need.gpus <= room.gpus + EPSILON &&
    need.memoryGb <= room.memoryGb + EPSILON
  );
}

export function allocate(room: Resources, need: ResourceRequest): void {
  room.cpus -= need.cpus;
  room.gpus -= need.gpus;
  room.memoryGb -= need.memoryGb;
}

export function release(room: Resources, need: ResourceRequest): void {
  room.cpus += need.cpus;
  room.gpus += need.gpus;
  room.memoryGb += need.memoryGb;
}

export const addResources = (a: ResourceRequest, b: ResourceRequest): Resources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  memoryGb: a.memoryGb + b.memoryGb,
});

/** A copy of just the amounts, whatever else the object holds. */
export const resourcesOf = ({ cpus, gpus, memoryGb }: ResourceRequest): Resources => ({
  cpus,
  gpus,
  memoryGb,
});

export const noResources = (): Resources => ({ cpus: 0, gpus: 0, memoryGb: 0 });

export function freeResources(machine: Machine, type: MachineType): Resources {
  const free = resourcesOf(type);
  allocate(free, machine.allocated);
  return free;
}

/** How long a task put on a machine now waits for its image, in milliseconds. */
export function imageFetchMs(machine: Machine, type: MachineType, spec: JobSpec, now: Now): number {
  if (machine.cachedImages.has(spec.image) || type.fetchGbPerS <= 0) return 0;
  const whole = (spec.imageGb / type.fetchGbPerS) * 1000;
  let left = whole;
  for (const claim of machine.claims.values()) {
    if (claim.job.spec.image !== spec.image) continue;
    if (claim.runningSince !== null) return 0;
    // On its way for another task: the rest of it.
    left = Math.min(left, Math.max(0, whole - (now.epochMs - claim.createdAt)));
  }
  return left;
}

/** A job that fails on so many machines, and completes nowhere, is at fault itself. */
const FAULTY_ANYWHERE = 3;

/** Whether a job was submitted with a mistake, as far as is known; it may be tried anywhere. */
export const isFaultyJob = (job: JobState): boolean =>
  job.doneCount === 0 && job.failedMachines.size >= FAULTY_ANYWHERE;

/**
 * Whether a job has failed on a machine that may be to blame for it. Placing and planning must agree on
 * this: a machine that the plan counts on and the placing avoids would keep the job waiting for ever.
 */
export const isExcluded = (job: JobState, machine: string): boolean =>
  job.failedMachines.has(machine) && !isFaultyJob(job);

/** Whether a job's own wishes allow a kind of machine, apart from what its other tasks take. */
export function satisfiesConstraints(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}
