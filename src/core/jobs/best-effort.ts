/** Best-effort work, which runs on idle capacity, and whether it may use on-demand machines. */
import { fitsType, satisfiesConstraints, tasksPerMachine } from '../placement/resources.js';
import type { JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec } from '../types.js';
import { expectedRunMs } from './jobs.js';

/** The lowest priority that a job can be submitted with. */
export const LOW_PRIORITY = 3;

/**
 * Time in which all spot machines together must be able to run the outstanding tasks of a best-effort
 * class, as a multiple of its maximum wait; if they cannot, the class uses on-demand machines too.
 */
const MAX_BEST_EFFORT_WAITS = 2.5;

/** Whether a job is best effort: of the lowest priority, with no objective except the maximum wait. */
export const isBestEffort = (state: CoreState, spec: JobSpec): boolean =>
  spec.priority === LOW_PRIORITY && spec.deadlineS === null && !state.config.objectives.has(spec.jobClass);

/** Number of a job's tasks that all spot machines in the index could run concurrently if they were empty. */
export function spotSlots(state: CoreState, spec: JobSpec): number {
  let slots = 0;
  for (const { type, zone, spot, size } of state.capacityIndex.groups) {
    if (!spot || !satisfiesConstraints(spec, type.name, zone, spot) || !fitsType(spec, type)) continue;
    slots += size * tasksPerMachine(spec, type);
  }
  return slots;
}

/** Whether a job avoids on-demand machines: it is best-effort work that spot machines can serve in time. */
export function isCostSensitive(state: CoreState, { spec, readyAt }: JobState, now: Now): boolean {
  if (!spec.spot || !isBestEffort(state, spec)) return false;
  const maxWaitMs = state.config.policy.maxWaitMs(spec);
  if (now.epochMs - readyAt < maxWaitMs) return true;
  const outstanding = state.outstandingByClass.get(spec.jobClass) ?? 0;
  const rounds = outstanding / Math.max(1, spotSlots(state, spec));
  return rounds * expectedRunMs(state, spec) < MAX_BEST_EFFORT_WAITS * maxWaitMs;
}
