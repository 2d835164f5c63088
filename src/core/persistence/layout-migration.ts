/**
 * Changes the record layout, that is the width of chunks and the format of their keys. The change itself needs no
 * write: committed state stays in the records of the previous layout, and each of these is replaced as its tasks
 * change.
 */
import {
  DURABLE_EXIT,
  isExitDurable,
  type Chunk,
  type JobState,
  type Machine,
  type RecordLayout,
} from '../model.js';
import type { CoreState } from '../state.js';
import { chunkIndexOf, chunkRange, markTaskDirty, storedChunkKey } from './chunks.js';
import { markDirty } from './dirty-jobs.js';

/** Index of the task in the key of an exit, `job/task#attempt`. */
const taskOfExitKey = (key: string): number => Number(/\/(\d+)#\d+$/.exec(key)?.[1] ?? 0);

/** A chunk of the previous layout, and the tasks that it covered there. */
interface FormerChunk {
  readonly chunk: Chunk;
  readonly first: number;
  readonly end: number;
}

/** Removes the chunks of the previous layout from a job; their stored records become superseded chunks. */
function supersedeChunks(state: CoreState, job: JobState): FormerChunk[] {
  const former = [...job.chunks.values()].map((chunk) => {
    const [first, end] = chunkRange(state, job, chunk);
    return { chunk, first, end };
  });
  for (const { chunk, first, end } of former) {
    const { modRevision } = chunk;
    if (modRevision !== 0)
      job.supersededChunks.set(storedChunkKey(state, job, chunk), { modRevision, first, end });
  }
  job.chunks.clear();
  return former;
}

/** Moves a job's claims to its new chunks; claims that are not committed yet have to be written there. */
function migrateClaims(
  state: CoreState,
  job: JobState,
  former: readonly FormerChunk[],
  formerTasksPerChunk: number,
): void {
  for (const claim of job.claims.values()) {
    const formerIndex = Math.floor(claim.task / formerTasksPerChunk);
    const chunk = former.find((candidate) => candidate.chunk.index === formerIndex)?.chunk;
    if (chunk === undefined || claim.version <= chunk.committedVersion) {
      claim.version = 0;
      continue;
    }
    const target = markTaskDirty(state, job, claim.task);
    target.claimedVersion = target.version;
    claim.version = target.version;
    markDirty(state, job);
  }
}

/** Moves the recorded exits of a machine to the new chunks of their jobs. */
function migrateExits(state: CoreState, machine: Machine): void {
  for (const [key, exit] of machine.exits) {
    if (exit.job === null || isExitDurable(exit)) {
      machine.exits.set(key, DURABLE_EXIT);
      continue;
    }
    const chunk = exit.job.chunks.get(chunkIndexOf(state, taskOfExitKey(key))) ?? null;
    machine.exits.set(key, { job: exit.job, chunk, version: chunk?.version ?? 0 });
  }
}

/** Changes to another layout. No commit may be in flight: its chunks would be gone when its outcome arrives. */
export function adoptLayout(state: CoreState, layout: RecordLayout): void {
  const before = state.layout;
  if (before.tasksPerChunk === layout.tasksPerChunk && before.keyWidth === layout.keyWidth) {
    state.layout = layout;
    return;
  }
  for (const job of state.jobs.values()) {
    state.layout = before;
    const former = supersedeChunks(state, job);
    state.layout = layout;
    for (const { chunk, first, end } of former) {
      if (chunk.version === chunk.committedVersion) continue;
      for (let task = first; task < end; task += layout.tasksPerChunk) markTaskDirty(state, job, task);
    }
    migrateClaims(state, job, former, before.tasksPerChunk);
    if (job.supersededChunks.size > 0) markDirty(state, job);
  }
  state.layout = layout;
  for (const machine of state.machines.values()) migrateExits(state, machine);
}
