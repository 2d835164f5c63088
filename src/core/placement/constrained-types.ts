/** Constrained machine types: those that are the only suitable type for some job. */
import type { JobState } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec } from '../types.js';
import { fitsType } from './resources.js';

/** Types that are the only suitable one for some job in the queue, each with the first such job. */
export function constrainedTypes(state: CoreState, queue: readonly JobState[]): Map<string, JobState> {
  const firstJobs = new Map<string, JobState>();
  if (state.machineTypes.size < 2) return firstJobs;
  for (const job of queue) {
    const type = soleType(state, job.spec);
    if (type !== null && !firstJobs.has(type)) firstJobs.set(type, job);
  }
  return firstJobs;
}

/** Types that are the only suitable one for some class with recent arrivals. */
export function constrainedTypesInDemand(state: CoreState): Set<string> {
  const types = new Set<string>();
  if (state.machineTypes.size < 2) return types;
  for (const { spec } of state.demand.values()) {
    const type = soleType(state, spec);
    if (type !== null) types.add(type);
  }
  return types;
}

/** The only machine type that a job's tasks can run on; null: there is none, or more than one. */
export function soleType(state: CoreState, spec: JobSpec): string | null {
  let sole: string | null = null;
  for (const type of state.machineTypes.values()) {
    const isSuitable = fitsType(spec, type) && (spec.types?.includes(type.name) ?? true);
    if (!isSuitable) continue;
    if (sole !== null) return null;
    sole = type.name;
  }
  return sole;
}
