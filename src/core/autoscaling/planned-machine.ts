/**
 * A machine in the capacity plan, with its free resources over time. The plan only estimates where tasks could
 * start; placement decides where they do.
 */
import type { ExpectedRelease } from '../fleet/expected-end.js';
import { allocate, fits, machineCapacity, release, resourcesOf } from '../placement/resources.js';
import type { Now } from '../model.js';
import type { MachineType, ResourceRequest, Resources } from '../types.js';

/** A machine that is up, booting, requested or only planned, with its free resources over time. */
export interface PlannedMachine {
  /** Name of the machine; null: it is not provisioned yet. */
  readonly machine: string | null;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Monotonic time in milliseconds from which tasks can start on it. */
  readonly readyAt: number;
  /** Resources that are free before the first of `ends`. */
  readonly free: Resources;
  /** When resources become free, in ascending order of the monotonic time in milliseconds. */
  readonly ends: ExpectedRelease[];
  /** The machine holds claims now. */
  readonly isBusy: boolean;
  /** The plan uses the machine for tasks or headroom. */
  isUsed: boolean;
  /** Incremented with each task that the plan puts on the machine. */
  version: number;
}

/** An empty machine of this type, as if it were provisioned now. */
export function newPlannedMachine(type: MachineType, zone: string, spot: boolean, now: Now): PlannedMachine {
  return {
    machine: null,
    type,
    zone,
    spot,
    readyAt: now.monotonicMs + type.bootS * 1000,
    free: machineCapacity(type),
    ends: [],
    isBusy: false,
    isUsed: false,
    version: 0,
  };
}

/**
 * Monotonic time in milliseconds at which a task with this request could start on a planned machine; Infinity:
 * it never could.
 */
export function earliestStart(planned: PlannedMachine, request: ResourceRequest): number {
  if (!fits(request, machineCapacity(planned.type))) return Infinity;
  if (fits(request, planned.free)) return planned.readyAt;
  const free = { ...planned.free };
  for (const { at, resources } of planned.ends) {
    release(free, resources);
    if (fits(request, free)) return Math.max(planned.readyAt, at);
  }
  return Infinity;
}

/** Puts a task on a planned machine from its earliest start until a monotonic time, in milliseconds. */
export function occupy(planned: PlannedMachine, request: ResourceRequest, from: number, until: number): void {
  while ((planned.ends[0]?.at ?? Infinity) <= from) {
    const first = planned.ends.shift();
    if (first !== undefined) release(planned.free, first.resources);
  }
  allocate(planned.free, request);
  const index = planned.ends.findIndex((end) => end.at > until);
  const end = { at: until, resources: resourcesOf(request) };
  planned.ends.splice(index < 0 ? planned.ends.length : index, 0, end);
  planned.isUsed = true;
  planned.version += 1;
}
