/** Constrained machine types: those that some job can use nothing but. */
import type { JobState } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec } from '../types.js';
import { fits } from './resources.js';

/** Types that some waiting job can use nothing but, with the first such job of each. */
export function constrainedTypes(state: CoreState, queue: readonly JobState[]): Map<string, JobState> {
  const firstJobs = new Map<string, JobState>();
  if (state.machineTypes.size < 2) return firstJobs;
  for (const job of queue) {
    const type = soleType(state, job.spec);
    if (type !== null && !firstJobs.has(type)) firstJobs.set(type, job);
  }
  return firstJobs;
}

/** Types that some class with recent arrivals can use nothing but. */
export function constrainedTypesInDemand(state: CoreState): Set<string> {
  const types = new Set<string>();
  if (state.machineTypes.size < 2) return types;
  for (const { spec } of state.demand.values()) {
    const type = soleType(state, spec);
    if (type !== null) types.add(type);
  }
  return types;
}

/** The one machine type that can take a job's tasks; null: none or several can. */
export function soleType(state: CoreState, spec: JobSpec): string | null {
  let sole: string | null = null;
  for (const type of state.machineTypes.values()) {
    const isSuitable = fits(spec, type) && (spec.types?.includes(type.name) ?? true);
    if (!isSuitable) continue;
    if (sole !== null) return null;
    sole = type.name;
  }
  return sole;
}
