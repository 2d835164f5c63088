/**
 * Chunks: runs of consecutive tasks of a job, each stored as one record of the key-value store.
 * This module determines the tasks that a chunk covers, its key and the contents of its record.
 */
import { isDone, type Chunk, type JobState } from '../model.js';
import type { CoreState } from '../state.js';
import type { ChunkRecord, Claim } from '../types.js';
import { markDirty } from './dirty-jobs.js';
import { chunkKey } from './records.js';

/** Tasks from `first` up to, but not including, `end`. */
export type TaskRange = readonly [first: number, end: number];

/** Creates a chunk without unwritten changes. `modRevision`: revision of its record; 0: there is no record. */
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

/** Index of the chunk that holds a task in the current layout. */
export const chunkIndexOf = (state: CoreState, task: number): number =>
  Math.floor(task / state.layout.tasksPerChunk);

/** Returns the chunk that holds a task; it is created if there is none yet. */
export function getOrCreateChunk(state: CoreState, job: JobState, task: number): Chunk {
  const index = chunkIndexOf(state, task);
  const known = job.chunks.get(index);
  if (known !== undefined) return known;
  const created = createChunk(index, 0);
  job.chunks.set(index, created);
  return created;
}

/** Marks the stored state of a task as changed, so that it is written; returns the task's chunk. */
export function markTaskDirty(state: CoreState, job: JobState, task: number): Chunk {
  const chunk = getOrCreateChunk(state, job, task);
  chunk.version += 1;
  chunk.dirtySince ??= state.monotonicMs;
  markDirty(state, job);
  return chunk;
}

/** The tasks that a chunk covers in the current layout. */
export function chunkRange(state: CoreState, job: JobState, chunk: Chunk): [first: number, end: number] {
  const first = chunk.index * state.layout.tasksPerChunk;
  return [first, Math.min(first + state.layout.tasksPerChunk, job.spec.tasks)];
}

/** The key under which a chunk is stored in the current layout. */
export const storedChunkKey = (state: CoreState, job: JobState, { index }: Chunk): string =>
  chunkKey(job.spec.id, { index, width: state.layout.keyWidth });

/** Whether some task of a range may still be on a machine. */
export function hasClaimIn(job: JobState, [first, end]: TaskRange): boolean {
  for (const task of job.claims.keys()) if (task >= first && task < end) return true;
  return false;
}

/** Builds a chunk's record from the current state. */
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
