/**
 * Who is to blame for a task that failed: its machine, or its job. The evidence goes both ways. A
 * machine on which tasks of several jobs fail, and none completes, is faulty; a job that completes
 * nowhere and fails on several machines was submitted with a mistake. Nothing of this is written down:
 * a new leader learns it from the next few errors.
 */
import { recount } from '../jobs/jobs.js';
import { isAtFault } from '../placement/resources.js';
import type { JobState, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';

/** One that fails on so many is no witness against any of them. */
const DOUBTFUL_WITNESS = 2;
/** A machine on which so many jobs fail that fail nowhere else is faulty. */
const WITNESSES = 2;
/** Pauses between tries double so many times at most, and last so many leases of a worker at most. */
const MOST_DOUBLINGS = 8;
const LONGEST_PAUSE = 30;

const FAILS = 'fails its tasks';

/** A task has failed on a machine; its claim is still there. */
export function noteError(state: CoreState, machine: Machine, job: JobState, now: Now): void {
  job.failedOn.add(machine.name);
  const doubtful = job.doneCount === 0 && job.failedOn.size >= DOUBTFUL_WITNESS;
  if (!doubtful) {
    machine.erredJobs.add(job.spec.id);
    if (machine.erredJobs.size >= WITNESSES) machine.leaving ??= FAILS;
    return;
  }
  // Two jobs with a mistake cost a sound machine its place, and all that ran on it.
  for (const name of job.failedOn) clear(state, name, job);
  if (!isAtFault(job)) return;
  // All that was out when the first of them failed is one try.
  if (job.claims.size <= 1) job.tries += 1;
  const { longestReport, workerLease } = state.rules.timing;
  const pause = longestReport * 2 ** Math.min(MOST_DOUBLINGS, job.tries);
  job.retryAt = now.mono + Math.min(pause, LONGEST_PAUSE * workerLease);
  recount(state, job);
}

function clear(state: CoreState, name: string, job: JobState): void {
  const machine = state.machines.get(name);
  if (machine?.erredJobs.delete(job.spec.id) !== true) return;
  if (machine.leaving === FAILS && machine.returnAskedAt === null && machine.erredJobs.size < WITNESSES)
    machine.leaving = null;
}

/** A task has completed on a machine: neither it nor the job is at fault. */
export function noteSuccess(state: CoreState, machine: Machine, job: JobState): void {
  machine.erredJobs.clear();
  if (machine.leaving === FAILS && machine.returnAskedAt === null) machine.leaving = null;
  if (job.failedOn.size === 0) return;
  job.failedOn.clear();
  job.tries = 0;
  job.retryAt = 0;
  recount(state, job);
}
