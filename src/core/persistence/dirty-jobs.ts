/**
 * Jobs of which something may have to be written, by what their next write is for, so that
 * drafting a transaction looks at what is to go into it and not at all that will be some day.
 */
import { isComplete } from '../jobs/jobs.js';
import { WRITE_REASONS, type Chunk, type JobState, type WriteReason } from '../model.js';
import type { CoreState } from '../state.js';

/** Whether a chunk holds a claim whose start waits for its commit. */
export const hasUncommittedStart = (chunk: Chunk): boolean => chunk.claimedVersion > chunk.committedVersion;

function writeReasonOf(state: CoreState, job: JobState): WriteReason {
  if (job.finalStage !== null) return 'clean';
  if (isComplete(job) || state.cancelPending.has(job)) return 'end';
  for (const chunk of job.chunks.values()) if (hasUncommittedStart(chunk)) return 'start';
  // Records of another width go when what replaces them is there.
  return job.supersededChunks.size > 0 ? 'clean' : 'exit';
}

/** Something of a job has changed: puts it where its next write belongs. */
export function markDirty(state: CoreState, job: JobState): void {
  const rank = writeReasonOf(state, job);
  if (rank === job.writeReason) return;
  markClean(state, job);
  job.writeReason = rank;
  state.dirtyJobs[rank].add(job);
  if (rank === 'exit') job.exitsSince = state.monotonicMs;
}

/** Nothing of a job is left to be written. */
export function markClean(state: CoreState, job: JobState): void {
  if (job.writeReason === null) return;
  state.dirtyJobs[job.writeReason].delete(job);
  job.writeReason = null;
}

export const hasDirtyJobs = ({ dirtyJobs }: CoreState): boolean =>
  WRITE_REASONS.some((rank) => dirtyJobs[rank].size > 0);

/**
 * Jobs that have something to write, in the order in which it is written. Exits wait a
 * little for others to share their write, those that have waited longest first.
 */
export function* jobsToWrite(state: CoreState): Generator<JobState> {
  const { dirtyJobs, config } = state;
  yield* [...dirtyJobs.start].sort((a, b) => a.priority - b.priority);
  yield* [...dirtyJobs.end];
  for (const job of [...dirtyJobs.exit]) {
    if (state.monotonicMs - job.exitsSince < config.timing.exitBatchDelayMs) break;
    yield job;
  }
  yield* [...dirtyJobs.clean];
}
