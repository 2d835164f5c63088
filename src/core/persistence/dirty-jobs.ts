/**
 * Dirty jobs: jobs that may have unwritten changes, grouped by the reason for their next write. With the groups, a
 * transaction is drafted from the jobs that it should contain, without looking at all jobs that need a write later.
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
  // Superseded records are removed once the records that replace them are committed.
  return job.supersededChunks.size > 0 ? 'clean' : 'exit';
}

/** Marks a job as changed: it is added to the dirty jobs of its write reason. */
export function markDirty(state: CoreState, job: JobState): void {
  const reason = writeReasonOf(state, job);
  if (reason === job.writeReason) return;
  markClean(state, job);
  job.writeReason = reason;
  state.dirtyJobs[reason].add(job);
  if (reason === 'exit') job.exitsPendingSince = state.monotonicMs;
}

/** Marks a job as having nothing left to write. */
export function markClean(state: CoreState, job: JobState): void {
  if (job.writeReason === null) return;
  state.dirtyJobs[job.writeReason].delete(job);
  job.writeReason = null;
}

/** Whether any job may have unwritten changes. */
export const hasDirtyJobs = ({ dirtyJobs }: CoreState): boolean =>
  WRITE_REASONS.some((reason) => dirtyJobs[reason].size > 0);

/**
 * Yields the dirty jobs in the order in which they are written: starts by priority, then ends, exits and removals.
 * Exits wait for `exitBatchDelayMs` so that others can share their write; the longest waiting come first.
 */
export function* jobsToWrite(state: CoreState): Generator<JobState> {
  const { dirtyJobs, config } = state;
  yield* [...dirtyJobs.start].sort((a, b) => a.priority - b.priority);
  yield* [...dirtyJobs.end];
  for (const job of [...dirtyJobs.exit]) {
    if (state.monotonicMs - job.exitsPendingSince < config.timing.exitBatchDelayMs) break;
    yield job;
  }
  yield* [...dirtyJobs.clean];
}
