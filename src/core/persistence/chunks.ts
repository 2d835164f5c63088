/**
 * Chunks: runs of consecutive tasks of a job, each stored as one record of the key-value store.
 * Here is what a chunk covers, under which key it is stored and what its record holds.
 */
import { isDone, type Chunk, type JobState } from '../model.js';
import type { CoreState } from '../state.js';
import type { ChunkRecord, Claim } from '../types.js';
import { markDirty } from './dirty-jobs.js';
import { chunkKey } from './records.js';

/** Tasks from `first` up to, but not including, `end`. */
export type TaskRange = readonly [first: number, end: number];

/** A chunk of which nothing is to be written. `modRevision`: that of its record, 0 when there is none. */
export function createChunk(index: number, modRevision: number): Chunk {
  return {
    index,
    modRevision,
    version: 0,
    committedVersion: 0,
    claimedVersion: 0,
    dirtySince: null,
    blockedUntil: 0,
  };
}

/** The index of the chunk that holds a task in the layout now in use. */
export const chunkIndexOf = (state: CoreState, task: number): number =>
  Math.floor(task / state.layout.tasksPerChunk);

/** The chunk that holds a task; it is created when there is none yet. */
export function getOrCreateChunk(state: CoreState, job: JobState, task: number): Chunk {
  const index = chunkIndexOf(state, task);
  const known = job.chunks.get(index);
  if (known !== undefined) return known;
  const created = createChunk(index, 0);
  job.chunks.set(index, created);
  return created;
}

/** Notes that the record of a task has changed and has to be written; returns the task's chunk. */
export function markTaskDirty(state: CoreState, job: JobState, task: number): Chunk {
  const chunk = getOrCreateChunk(state, job, task);
  chunk.version += 1;
  chunk.dirtySince ??= state.monotonicMs;
  markDirty(state, job);
  return chunk;
}

/** The tasks that a chunk covers in the layout now in use. */
export function chunkRange(state: CoreState, job: JobState, chunk: Chunk): [first: number, end: number] {
  const first = chunk.index * state.layout.tasksPerChunk;
  return [first, Math.min(first + state.layout.tasksPerChunk, job.spec.tasks)];
}

/** The key under which a chunk is stored in the layout now in use. */
export const storedChunkKey = (state: CoreState, job: JobState, { index }: Chunk): string =>
  chunkKey(job.spec.id, { index, width: state.layout.keyWidth });

/** Whether some task of a range may still be on a machine. */
export function hasClaimIn(job: JobState, [first, end]: TaskRange): boolean {
  for (const task of job.claims.keys()) if (task >= first && task < end) return true;
  return false;
}

/** What is to be stored of a chunk now. */
export function buildChunkRecord(state: CoreState, job: JobState, chunk: Chunk): ChunkRecord {
  const [first, end] = chunkRange(state, job, chunk);
  const claims: Record<string, Claim> = {};
  const attempts: Record<string, number> = {};
  for (let task = first; task < end; task += 1) {
    const claim = job.claims.get(task);
    if (claim !== undefined) {
      const { attempt, machine, agentEpoch, createdAt } = claim;
      claims[task] = { attempt, machine, agentEpoch, createdAt };
    } else if (!isDone(job, task)) {
      const attempt = job.attempts.get(task);
      if (attempt !== undefined) attempts[task] = attempt;
    }
  }
  const { team, cpus, gpus, memoryGb } = job.spec;
  const done = Buffer.from(job.doneBits.subarray(first >> 3, (end + 7) >> 3)).toString('base64');
  return { team, cpus, gpus, memoryGb, done, attempts, claims };
}
