/** Adds jobs to the leader's state, and ends them. */
import { markForAttention } from '../attention.js';
import { registerDependencies, unregisterDependencies } from '../jobs/dependencies.js';
import { updateTaskCounts } from '../jobs/jobs.js';
import type { FinalOutcome, JobState } from '../model.js';
import { taskRequest } from '../placement/resources.js';
import type { CoreState } from '../state.js';
import type { FinalStage, JobSpec, Versioned } from '../types.js';
import { markDirty } from './dirty-jobs.js';

/** Creates the state of a job without placed tasks and without unwritten changes. */
function createJobState(job: Versioned<JobSpec>, finalStage: FinalStage | null): JobState {
  return {
    spec: job.value,
    request: taskRequest(job.value),
    modRevision: job.modRevision,
    finalStage,
    pendingDependencies: new Set(),
    readyAt: job.value.submittedAt,
    priority: job.value.priority,
    inheritedDeadline: Infinity,
    waitingCount: 0,
    outstandingCount: 0,
    runningCount: 0,
    writeReason: null,
    exitsPendingSince: 0,
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
 * Adds a job to the state; a job that is already there is left unchanged. `finalStage` is given for a job that ended
 * before this leader was elected and still has records.
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
 * Ends a job: its tasks are stopped, and its records are removed once none of the tasks can be on a machine.
 * `outcome` is the committed outcome; null: its record has not been read.
 */
export function endJob(
  state: CoreState,
  job: JobState,
  stage: FinalStage,
  outcome: FinalOutcome | null,
): void {
  job.finalStage = stage;
  for (const { machine } of job.claims.values()) markForAttention(state, machine);
  updateTaskCounts(state, job);
  unregisterDependencies(state, job, outcome);
  markDirty(state, job);
  state.isPlacementDue = true;
}

/**
 * Ends a job whose record is gone from the key-value store. A job that the commit in flight ends is left to the
 * outcome of that commit. A pending reconciliation is not waited for: until it is answered, the tasks of a cancelled
 * job would stay on their machines.
 */
export function removeJob(state: CoreState, id: string): void {
  const job = state.jobs.get(id);
  const { completing = [], cancelling = [] } = state.commit ?? {};
  const isBeingEnded = [...completing, ...cancelling].some(({ spec }) => spec.id === id);
  if (job !== undefined && job.finalStage === null && !isBeingEnded) endJob(state, job, 'withdrawn', null);
}
