/** Machine types that some can use nothing but. */
import { fits } from './resources.js';
import type { JobState } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec } from '../types.js';

/** Types that some waiting job needs for want of any other, with the first such job of each. */
export function constrainedTypes(state: CoreState, queue: readonly JobState[]): Map<string, JobState> {
  const scarce = new Map<string, JobState>();
  if (state.machineTypes.size < 2) return scarce;
  for (const job of queue) {
    const only = soleType(state, job.spec);
    if (only !== null && !scarce.has(only)) scarce.set(only, job);
  }
  return scarce;
}

/** Types that some class that came of late needs for want of any other. */
export function constrainedTypesInDemand(state: CoreState): Set<string> {
  const scarce = new Set<string>();
  if (state.machineTypes.size < 2) return scarce;
  for (const { spec } of state.demand.values()) {
    const only = soleType(state, spec);
    if (only !== null) scarce.add(only);
  }
  return scarce;
}

/** The one type that can take a job's tasks, or null if several can. */
export function soleType(state: CoreState, spec: JobSpec): string | null {
  let only: string | null = null;
  for (const type of state.machineTypes.values()) {
    const able = fits(spec, type) && (spec.types?.includes(type.name) ?? true);
    if (!able) continue;
    if (only !== null) return null;
    only = type.name;
  }
  return only;
}
