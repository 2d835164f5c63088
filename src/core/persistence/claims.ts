/**
 * Claims: a claim records that a task is placed on a machine, until the task is proven to be gone from there.
 * A start is sent only after its claim is committed, so that no later leader can place the task a second time.
 */
import { addClaim, markDone, removeClaim } from '../jobs/jobs.js';
import { isDone, type Chunk, type JobState, type LiveClaim, type Machine, type Now } from '../model.js';
import type { CoreState } from '../state.js';
import { getOrCreateChunk, markTaskDirty } from './chunks.js';
import { markDirty } from './dirty-jobs.js';

/** Whether a claim is committed to the key-value store, so that its start may be sent. */
export function isClaimDurable(state: CoreState, claim: LiveClaim): boolean {
  return claim.version <= getOrCreateChunk(state, claim.job, claim.task).committedVersion;
}

/**
 * Claims a machine for a task. The start is not sent before the claim is committed.
 * `expectedEnd`: monotonic time in milliseconds at which the task is expected to be done.
 */
export function claimTask(
  state: CoreState,
  job: JobState,
  task: number,
  machine: Machine,
  now: Now,
  expectedEnd: number,
): void {
  const attempt = (job.attempts.get(task) ?? 0) + 1;
  job.attempts.set(task, attempt);
  const chunk = markTaskDirty(state, job, task);
  chunk.claimedVersion = chunk.version;
  // `claimedVersion` is set only now, so the write reason has to be updated for the uncommitted start.
  markDirty(state, job);
  const claim: LiveClaim = {
    job,
    task,
    attempt,
    machine: machine.name,
    agentEpoch: machine.agentEpoch,
    createdAt: now.epochMs,
    version: chunk.version,
    startSent: false,
    stage: null,
    runningSince: null,
    expectedEnd,
    isReserved: state.reservedJobs.includes(job),
    stopRequested: false,
  };
  job.lastPlacedAt = now.monotonicMs;
  addClaim(state, claim, machine);
}

/** Inserts a task into the tasks to be placed again, which are kept in ascending order. */
function insertRetryTask(job: JobState, task: number): void {
  const following = job.retryTasks.findIndex((other) => other > task);
  job.retryTasks.splice(following < 0 ? job.retryTasks.length : following, 0, task);
}

/**
 * Removes a task's claim. The caller holds the proof that the task is gone from the machine.
 * `done`: the task has completed; otherwise it waits to be placed again.
 */
export function releaseClaim(state: CoreState, claim: LiveClaim, done: boolean): Chunk {
  const { job, task } = claim;
  removeClaim(state, claim);
  if (done) markDone(state, job, task);
  else if (!isDone(job, task)) insertRetryTask(job, task);
  state.isPlacementDue = true;
  return markTaskDirty(state, job, task);
}

/** Records a completion that was reported for an attempt without a claim. */
export function recordUnclaimedCompletion(state: CoreState, job: JobState, task: number): Chunk {
  markDone(state, job, task);
  return markTaskDirty(state, job, task);
}
