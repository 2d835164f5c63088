/**
 * Who is to blame for a task that failed: its machine, or its job. The evidence goes both ways. A
 * machine on which tasks of several jobs fail, and none completes, is faulty; a job that completes
 * nowhere and fails on several machines was submitted with a mistake. Nothing of this is written down:
 * a new leader learns it from the next few errors.
 */
import { updateTaskCounts } from '../jobs/jobs.js';
import { isFaultyJob } from '../placement/resources.js';
import type { JobState, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { TerminationReason } from './termination-reasons.js';

/** One that fails on so many is no witness against any of them. */
const DOUBTFUL_WITNESS = 2;
/** A machine on which so many jobs fail that fail nowhere else is faulty. */
const WITNESSES = 2;
/** Pauses between tries double so many times at most, and last so many leases of a worker at most. */
const MOST_DOUBLINGS = 8;
const LONGEST_PAUSE = 30;

const FAILS = TerminationReason.failsTasks;

/** A task has failed on a machine; its claim is still there. */
export function recordTaskFailure(state: CoreState, machine: Machine, job: JobState, now: Now): void {
  job.failedMachines.add(machine.name);
  const doubtful = job.doneCount === 0 && job.failedMachines.size >= DOUBTFUL_WITNESS;
  if (!doubtful) {
    machine.failedJobs.add(job.spec.id);
    if (machine.failedJobs.size >= WITNESSES) machine.terminationReason ??= FAILS;
    return;
  }
  // Two jobs with a mistake cost a sound machine its place, and all that ran on it.
  for (const name of job.failedMachines) clear(state, name, job);
  if (!isFaultyJob(job)) return;
  // All that was out when the first of them failed is one try.
  if (job.claims.size <= 1) job.failedAttempts += 1;
  const { maxHeartbeatIntervalMs, workerLeaseMs } = state.config.timing;
  const pause = maxHeartbeatIntervalMs * 2 ** Math.min(MOST_DOUBLINGS, job.failedAttempts);
  job.retryAt = now.monotonicMs + Math.min(pause, LONGEST_PAUSE * workerLeaseMs);
  updateTaskCounts(state, job);
}

function clear(state: CoreState, name: string, job: JobState): void {
  const machine = state.machines.get(name);
  if (machine?.failedJobs.delete(job.spec.id) !== true) return;
  if (
    machine.terminationReason === FAILS &&
    machine.terminationRequestedAt === null &&
    machine.failedJobs.size < WITNESSES
  )
    machine.terminationReason = null;
}

/** A task has completed on a machine: neither it nor the job is at fault. */
export function recordTaskSuccess(state: CoreState, machine: Machine, job: JobState): void {
  machine.failedJobs.clear();
  if (machine.terminationReason === FAILS && machine.terminationRequestedAt === null)
    machine.terminationReason = null;
  if (job.failedMachines.size === 0) return;
  job.failedMachines.clear();
  job.failedAttempts = 0;
  job.retryAt = 0;
  updateTaskCounts(state, job);
}
