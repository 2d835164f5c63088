/**
 * Jobs of which something may have to be written, by what their next write is for, so that
 * drafting a transaction looks at what is to go into it and not at all that will be some day.
 */
import { isComplete } from './jobs.js';
import type { Chunk, CoreState, JobState } from './state.js';

/** What a job's next write is for; the first is written first when not all fit. */
export const RANKS = ['start', 'end', 'exit', 'clean'] as const;
export type Rank = (typeof RANKS)[number];

/** Whether a chunk holds a claim whose start waits for its commit. */
export const holdsStart = (chunk: Chunk): boolean => chunk.claimed > chunk.committed;

function rankOf(state: CoreState, job: JobState): Rank {
  if (job.over !== null) return 'clean';
  if (isComplete(job) || state.doomed.has(job)) return 'end';
  for (const chunk of job.chunks.values()) if (holdsStart(chunk)) return 'start';
  // Records of another width go when what replaces them is there.
  return job.older.size > 0 ? 'clean' : 'exit';
}

/** Something of a job has changed: puts it where its next write belongs. */
export function enlist(state: CoreState, job: JobState): void {
  const rank = rankOf(state, job);
  if (rank === job.rank) return;
  delist(state, job);
  job.rank = rank;
  state.unsaved[rank].add(job);
  if (rank === 'exit') job.exitsSince = state.mono;
}

/** Nothing of a job is left to be written. */
export function delist(state: CoreState, job: JobState): void {
  if (job.rank === null) return;
  state.unsaved[job.rank].delete(job);
  job.rank = null;
}

export const hasUnsaved = ({ unsaved }: CoreState): boolean => RANKS.some((rank) => unsaved[rank].size > 0);

/**
 * Jobs that have something to write, in the order in which it is written. Exits wait a
 * little for others to share their write, those that have waited longest first.
 */
export function* toWrite(state: CoreState): Generator<JobState> {
  const { unsaved, rules } = state;
  yield* [...unsaved.start].sort((a, b) => a.priority - b.priority);
  yield* [...unsaved.end];
  for (const job of [...unsaved.exit]) {
    if (state.mono - job.exitsSince < rules.timing.exitHold) break;
    yield job;
  }
  yield* [...unsaved.clean];
}
