/** How a job becomes known to the leader and how it ends. */
import { needAttention } from '../attention.js';
import { registerDependencies, unregisterDependencies } from '../jobs/dependencies.js';
import { updateTaskCounts } from '../jobs/jobs.js';
import type { FinalOutcome, JobState } from '../model.js';
import type { CoreState } from '../state.js';
import type { FinalStage, JobSpec, Versioned } from '../types.js';
import { markDirty } from './dirty-jobs.js';

/** A job of which no task has been placed and nothing is to be written. */
function createJobState(job: Versioned<JobSpec>, finalStage: FinalStage | null): JobState {
  return {
    spec: job.value,
    modRevision: job.modRevision,
    finalStage,
    pendingDependencies: new Set(),
    readyAt: job.value.submittedAt,
    priority: job.value.priority,
    inheritedDeadline: Infinity,
    waitingCount: 0,
    outstanding: 0,
    runningCount: 0,
    writeReason: null,
    exitsSince: 0,
    lastPlacedAt: -Infinity,
    lastPreemptedAt: -Infinity,
    isQueued: false,
    isCountedInDemand: false,
    doneBits: new Uint8Array(Math.ceil(job.value.tasks / 8)),
    doneCount: 0,
    attempts: new Map(),
    claims: new Map(),
    retryTasks: [],
    nextNewTask: 0,
    chunks: new Map(),
    supersededChunks: new Map(),
    failedAttempts: 0,
    retryAt: 0,
    failedMachines: new Set(),
  };
}

/**
 * Makes a job known; one that is known already stays as it is. `finalStage` is given for a job that ended
 * before this leader came, of which records are still there.
 */
export function addJob(
  state: CoreState,
  job: Versioned<JobSpec>,
  finalStage: FinalStage | null = null,
): JobState {
  const known = state.jobs.get(job.value.id);
  if (known !== undefined) return known;
  const added = createJobState(job, finalStage);
  state.jobs.set(job.value.id, added);
  if (finalStage !== null) markDirty(state, added);
  else registerDependencies(state, added);
  updateTaskCounts(state, added);
  state.isPlacementDue = true;
  return added;
}

/**
 * Ends a job: its tasks are stopped, and its records are removed once none can be on a machine.
 * `outcome` is its committed record, null where that has not been read.
 */
export function endJob(
  state: CoreState,
  job: JobState,
  stage: FinalStage,
  outcome: FinalOutcome | null,
): void {
  job.finalStage = stage;
  for (const { machine } of job.claims.values()) needAttention(state, machine);
  updateTaskCounts(state, job);
  unregisterDependencies(state, job, outcome);
  markDirty(state, job);
  state.isPlacementDue = true;
}

/**
 * Ends a job whose record is gone from the key-value store. One that this leader is ending itself is settled by
 * the answer to that commit. A reconciliation under way is not waited for: while it goes unanswered, the tasks of
 * a cancelled job would stay on their machines.
 */
export function removeJob(state: CoreState, id: string): void {
  const job = state.jobs.get(id);
  const { completing = [], cancelling = [] } = state.commit ?? {};
  const isBeingEnded = [...completing, ...cancelling].some(({ spec }) => spec.id === id);
  if (job !== undefined && job.finalStage === null && !isBeingEnded) endJob(state, job, 'withdrawn', null);
}
