/**
 * Dirty jobs, of which something may have to be written, by what their next write is for. Drafting a transaction
 * so looks at what is to go into it, and not at all that will be some day.
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
  // Superseded records are removed once what replaces them is committed.
  return job.supersededChunks.size > 0 ? 'clean' : 'exit';
}

/** Notes that something of a job has changed: it takes its place among the jobs of its write reason. */
export function markDirty(state: CoreState, job: JobState): void {
  const reason = writeReasonOf(state, job);
  if (reason === job.writeReason) return;
  markClean(state, job);
  job.writeReason = reason;
  state.dirtyJobs[reason].add(job);
  if (reason === 'exit') job.exitsSince = state.monotonicMs;
}

/** Notes that nothing of a job is left to be written. */
export function markClean(state: CoreState, job: JobState): void {
  if (job.writeReason === null) return;
  state.dirtyJobs[job.writeReason].delete(job);
  job.writeReason = null;
}

/** Whether something of some job may have to be written. */
export const hasDirtyJobs = ({ dirtyJobs }: CoreState): boolean =>
  WRITE_REASONS.some((reason) => dirtyJobs[reason].size > 0);

/**
 * Jobs that have something to write, in the order in which it is written: starts by priority, then ends, exits and
 * removals. Exits wait a little for others to share their write, those that have waited longest first.
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
