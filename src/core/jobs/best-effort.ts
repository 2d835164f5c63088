/** Best-effort work, done in idle time, and whether it may use on-demand machines. */
import { fits, satisfiesConstraints } from '../placement/resources.js';
import type { JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec } from '../types.js';
import { expectedRun } from './jobs.js';

/** The lowest priority of a submission. */
export const LOW_PRIORITY = 3;

/**
 * Number of its longest waits that a best-effort class may take if it had all spot machines;
 * beyond that it uses on-demand machines too.
 */
const MAX_BEST_EFFORT_WAITS = 2.5;

/** Whether a job is best effort: of the lowest priority, with no objective but the longest wait. */
export const isBestEffort = (state: CoreState, spec: JobSpec): boolean =>
  spec.priority === LOW_PRIORITY && spec.deadlineS === null && !state.config.objectives.has(spec.jobClass);

/** Number of a job's tasks that all spot machines in the index could hold at once, were they empty. */
export function spotSlots(state: CoreState, spec: JobSpec): number {
  let slots = 0;
  for (const { type, zone, spot, size } of state.capacityIndex.groups) {
    if (!spot || !satisfiesConstraints(spec, type.name, zone, spot) || !fits(spec, type)) continue;
    slots += size * Math.floor(Math.min(type.cpus / spec.cpus, type.memoryGb / spec.memoryGb, Infinity));
  }
  return slots;
}

/** Whether a job keeps off on-demand machines: best-effort work that spot machines can serve in time. */
export function isCostSensitive(state: CoreState, { spec, readyAt }: JobState, now: Now): boolean {
  if (!spec.spot || !isBestEffort(state, spec)) return false;
  const maxWaitMs = state.config.policy.maxWaitMs(spec);
  if (now.epochMs - readyAt < maxWaitMs) return true;
  const outstanding = state.outstandingByClass.get(spec.jobClass) ?? 0;
  const rounds = outstanding / Math.max(1, spotSlots(state, spec));
  return rounds * expectedRun(state, spec) < MAX_BEST_EFFORT_WAITS * maxWaitMs;
}
