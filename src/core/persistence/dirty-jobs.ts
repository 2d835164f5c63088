/**
 * Jobs of which something may have to be written, by what their next write is for, so that
 * drafting a transaction looks at what is to go into it and not at all that will be some day.
 */
import { isComplete } from '../jobs/jobs.js';
import { WRITE_REASONS, type Chunk, type JobState, type WriteReason } from '../model.js';
import type { CoreState } from '../state.js';

/** Whether a chunk holds a claim whose start waits for its commit. */
export const holdsStart = (chunk: Chunk): boolean => chunk.claimed > chunk.committed;

function writeReasonOf(state: CoreState, job: JobState): WriteReason {
  if (job.over !== null) return 'clean';
  if (isComplete(job) || state.doomed.has(job)) return 'end';
  for (const chunk of job.chunks.values()) if (holdsStart(chunk)) return 'start';
  // Records of another width go when what replaces them is there.
  return job.older.size > 0 ? 'clean' : 'exit';
}

/** Something of a job has changed: puts it where its next write belongs. */
export function markDirty(state: CoreState, job: JobState): void {
  const rank = writeReasonOf(state, job);
  if (rank === job.rank) return;
  markClean(state, job);
  job.rank = rank;
  state.dirtyJobs[rank].add(job);
  if (rank === 'exit') job.exitsSince = state.mono;
}

/** Nothing of a job is left to be written. */
export function markClean(state: CoreState, job: JobState): void {
  if (job.rank === null) return;
  state.dirtyJobs[job.rank].delete(job);
  job.rank = null;
}

export const hasDirtyJobs = ({ dirtyJobs }: CoreState): boolean =>
  WRITE_REASONS.some((rank) => dirtyJobs[rank].size > 0);

/**
 * Jobs that have something to write, in the order in which it is written. Exits wait a
 * little for others to share their write, those that have waited longest first.
 */
export function* toWrite(state: CoreState): Generator<JobState> {
  const { dirtyJobs, rules } = state;
  yield* [...dirtyJobs.start].sort((a, b) => a.priority - b.priority);
  yield* [...dirtyJobs.end];
  for (const job of [...dirtyJobs.exit]) {
    if (state.mono - job.exitsSince < rules.timing.exitHold) break;
    yield job;
  }
  yield* [...dirtyJobs.clean];
}
