/** Why a job's tasks wait, in the words shown to users. */
import type { JobState } from '../model.js';
import type { CoreState } from '../state.js';
import { isFaultyJob } from './resources.js';

/** All reasons. Their order is fixed, because peers exchange indexes into this list. */
export const WAIT_REASONS = [
  'fails wherever it is tried',
  'stopped for more urgent work',
  'its room is reserved',
  'first in the queue',
  'waits for room',
] as const;

/** One of `WAIT_REASONS`. */
export type WaitReason = (typeof WAIT_REASONS)[number];

/** Why tasks of a job wait; null: no task waits. */
export function waitReason(state: CoreState, job: JobState): WaitReason | null {
  if (job.finalStage !== null) return null;
  if (isFaultyJob(job)) return 'fails wherever it is tried';
  if (job.waitingCount === 0) return null;
  if (state.reservedJobs.includes(job)) return 'its room is reserved';
  if (state.headReservation?.job === job.spec.id) return 'first in the queue';
  return job.lastPreemptedAt > job.lastPlacedAt ? 'stopped for more urgent work' : 'waits for room';
}
