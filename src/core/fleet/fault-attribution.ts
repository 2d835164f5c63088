/**
 * Fault attribution: whether a failed task speaks against its machine or its job. A machine on which tasks of
 * several jobs fail, and none completes, is faulty; a job that completes nowhere and fails on several machines
 * was submitted with a mistake. None of it is stored: a new leader learns it from the next few failures.
 */
import { updateTaskCounts } from '../jobs/jobs.js';
import { isFaultyJob } from '../placement/resources.js';
import type { JobState, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { markForTermination } from './machines.js';
import { TerminationReason } from './termination-reasons.js';

/** A job that completes nowhere and fails on so many machines is no evidence against any of them. */
const MIN_MACHINES_FOR_DOUBT = 2;
/** Jobs that must fail on a machine, and nowhere else, for it to be faulty. */
const MIN_FAILED_JOBS = 2;
/** The backoff between tries of a faulty job doubles at most so many times. */
const MAX_BACKOFF_DOUBLINGS = 8;
/** The backoff lasts at most so many worker leases. */
const MAX_BACKOFF_LEASES = 30;

/** A task of a job has failed on a machine; its claim is still there. */
export function recordTaskFailure(state: CoreState, machine: Machine, job: JobState, now: Now): void {
  job.failedMachines.add(machine.name);
  const isJobDoubtful = job.doneCount === 0 && job.failedMachines.size >= MIN_MACHINES_FOR_DOUBT;
  if (!isJobDoubtful) {
    machine.failedJobs.add(job.spec.id);
    if (machine.failedJobs.size >= MIN_FAILED_JOBS) markForTermination(machine, TerminationReason.failsTasks);
    return;
  }
  // Otherwise two faulty jobs would cost a sound machine, and all that runs on it.
  for (const name of job.failedMachines) withdrawEvidence(state, name, job);
  if (isFaultyJob(job)) delayRetry(state, job, now);
}

/** Puts off the next try of a faulty job, for longer with each failed one. */
function delayRetry(state: CoreState, job: JobState, now: Now): void {
  // All tasks that were out when the first of them failed are one try.
  if (job.claims.size <= 1) job.failedAttempts += 1;
  const { maxHeartbeatIntervalMs, workerLeaseMs } = state.config.timing;
  const backoffMs = maxHeartbeatIntervalMs * 2 ** Math.min(MAX_BACKOFF_DOUBLINGS, job.failedAttempts);
  job.retryAt = now.monotonicMs + Math.min(backoffMs, MAX_BACKOFF_LEASES * workerLeaseMs);
  updateTaskCounts(state, job);
}

/** Takes back the termination of a machine for failing its tasks, unless the cloud has been asked for it. */
function cancelTermination(machine: Machine): void {
  if (machine.terminationReason === TerminationReason.failsTasks && machine.terminationRequestedAt === null)
    machine.terminationReason = null;
}

/** A job's failure no longer counts against a machine. */
function withdrawEvidence(state: CoreState, name: string, job: JobState): void {
  const machine = state.machines.get(name);
  if (machine?.failedJobs.delete(job.spec.id) !== true) return;
  if (machine.failedJobs.size < MIN_FAILED_JOBS) cancelTermination(machine);
}

/** A task of a job has completed on a machine: neither of them is at fault. */
export function recordTaskSuccess(state: CoreState, machine: Machine, job: JobState): void {
  machine.failedJobs.clear();
  cancelTermination(machine);
  if (job.failedMachines.size === 0) return;
  job.failedMachines.clear();
  job.failedAttempts = 0;
  job.retryAt = 0;
  updateTaskCounts(state, job);
}
