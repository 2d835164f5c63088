/**
 * Fault attribution: whether a failed task is evidence against its machine or against its job. A machine is
 * faulty if tasks of several jobs fail on it and none completes. A job is faulty, because of a mistake in its
 * submission, if it completes nowhere and fails on several machines. The evidence is not stored: a new leader
 * collects it again from the next few failures.
 */
import { updateTaskCounts } from '../jobs/jobs.js';
import { isFaultyJob } from '../placement/resources.js';
import type { JobState, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { markForTermination } from './machines.js';
import { TerminationReason } from './termination-reasons.js';

/** A job that completes nowhere and fails on this many machines is no evidence against any of them. */
const MIN_MACHINES_FOR_SUSPECT_JOB = 2;
/** Number of jobs whose failures must count against a machine for it to be faulty. */
const MIN_FAILED_JOBS = 2;
/** Maximum number of times that the backoff between attempts of a faulty job doubles. */
const MAX_BACKOFF_DOUBLINGS = 8;
/** Longest backoff, in worker leases. */
const MAX_BACKOFF_LEASES = 30;

/** Records that a task of a job has failed on a machine; called before its claim is released. */
export function recordTaskFailure(state: CoreState, machine: Machine, job: JobState, now: Now): void {
  job.failedMachines.add(machine.name);
  const isSuspectJob = job.doneCount === 0 && job.failedMachines.size >= MIN_MACHINES_FOR_SUSPECT_JOB;
  if (!isSuspectJob) {
    machine.failedJobs.add(job.spec.id);
    if (machine.failedJobs.size >= MIN_FAILED_JOBS) markForTermination(machine, TerminationReason.failsTasks);
    return;
  }
  // Otherwise two faulty jobs would get a healthy machine terminated, together with all tasks that run on it.
  for (const name of job.failedMachines) withdrawEvidence(state, name, job);
  if (isFaultyJob(job)) delayRetry(state, job, now);
}

/** Delays the next attempt of a faulty job, with exponential backoff. */
function delayRetry(state: CoreState, job: JobState, now: Now): void {
  // Tasks that were on machines when the first of them failed are one attempt, counted when the last one fails.
  if (job.claims.size <= 1) job.failedAttempts += 1;
  const { maxHeartbeatIntervalMs, workerLeaseMs } = state.config.timing;
  const backoffMs = maxHeartbeatIntervalMs * 2 ** Math.min(MAX_BACKOFF_DOUBLINGS, job.failedAttempts);
  job.retryAt = now.monotonicMs + Math.min(backoffMs, MAX_BACKOFF_LEASES * workerLeaseMs);
  updateTaskCounts(state, job);
}

/** Cancels the termination of a machine that fails its tasks, unless it has been requested from the cloud. */
function cancelTermination(machine: Machine): void {
  if (machine.terminationReason === TerminationReason.failsTasks && machine.terminationRequestedAt === null)
    machine.terminationReason = null;
}

/** Removes a job's failure from the evidence against a machine. */
function withdrawEvidence(state: CoreState, name: string, job: JobState): void {
  const machine = state.machines.get(name);
  if (machine?.failedJobs.delete(job.spec.id) !== true) return;
  if (machine.failedJobs.size < MIN_FAILED_JOBS) cancelTermination(machine);
}

/** Records that a task of a job has completed on a machine: neither of them is faulty. */
export function recordTaskSuccess(state: CoreState, machine: Machine, job: JobState): void {
  machine.failedJobs.clear();
  cancelTermination(machine);
  if (job.failedMachines.size === 0) return;
  job.failedMachines.clear();
  job.failedAttempts = 0;
  job.retryAt = 0;
  updateTaskCounts(state, job);
}
