/**
 * Who is where: the one owner of which tasks wait, which are out and what they take. The
 * counts that placing and planning go by are kept with each change, so that neither has to
 * walk over all jobs or all machines for them.
 */
import { needAttention } from '../attention.js';
import { release, isFaultyJob, noResources, allocate } from '../placement/resources.js';
import { isDone, taskKey, type JobState, type LiveClaim, type Machine } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec } from '../types.js';

/** Whether nothing that a job awaits is still to be done. */
export const isReady = (job: JobState): boolean => job.pendingDependencies.size === 0;

export const isComplete = (job: JobState): boolean =>
  job.finalStage === null && job.spec.form !== 'service' && job.doneCount === job.spec.tasks;

export function waitingTasks(job: JobState): number {
  return job.finalStage === null && isReady(job) ? job.spec.tasks - job.doneCount - job.claims.size : 0;
}

/** Expected run time of a task: its owner's estimate, corrected by what its class has shown. */
export function expectedRun(state: CoreState, spec: JobSpec): number {
  return state.config.policy.expectedRunMs(spec) * (state.runTimeRatio.get(spec.jobClass) ?? 1);
}

/**
 * From being placed to running: the write, the wait for the machine's next report, the
 * start itself. What is left less than that is lost already; counting on all of it, a
 * queue under overload serves everyone just too late.
 */
export const startLatency = (state: CoreState): number => 1.5 * state.config.timing.maxHeartbeatIntervalMs;

/** Brings the counts up to date with a job of which something has changed. */
export function updateTaskCounts(state: CoreState, job: JobState): void {
  const waiting = waitingTasks(job);
  // Nobody keeps room, or counts on it, for one that was submitted with a mistake.
  const present = job.claims.size + (isFaultyJob(job) ? 0 : waiting);
  const { jobClass } = job.spec;
  if (present !== job.outstanding) {
    state.outstandingByClass.set(
      jobClass,
      (state.outstandingByClass.get(jobClass) ?? 0) + present - job.outstanding,
    );
    job.outstanding = present;
  }
  if (waiting > 0 && job.waitingCount === 0) {
    state.waitingJobs.add(job);
    if (!job.isQueued) state.newlyWaitingJobs.push(job);
  } else if (waiting === 0 && job.waitingCount > 0) state.waitingJobs.delete(job);
  job.waitingCount = waiting;
}

/** The next task of a job that waits for a machine, or null. */
export function nextTask(job: JobState): number | null {
  for (;;) {
    const again = job.retryTasks[0];
    if (again !== undefined) {
      if (!isDone(job, again) && !job.claims.has(again)) return again;
      job.retryTasks.shift();
    } else if (job.nextNewTask < job.spec.tasks) {
      if (!isDone(job, job.nextNewTask) && !job.claims.has(job.nextNewTask)) return job.nextNewTask;
      job.nextNewTask += 1;
    } else {
      return null;
    }
  }
}

/** Enters a claim: with its job, on its machine, in its team's use. */
export function addClaim(state: CoreState, claim: LiveClaim, machine: Machine): void {
  const { job, task } = claim;
  const { spec } = job;
  job.claims.set(task, claim);
  machine.claims.set(taskKey(spec.id, task), claim);
  release(machine.allocated, spec);
  state.claimsByPriority.get(spec.priority)?.add(claim);
  state.changedMachines.add(machine);
  needAttention(state, machine.name);
  const use = state.usageByTeam.get(spec.team) ?? { cpus: 0, gpus: 0, tasks: 0 };
  use.cpus += spec.cpus;
  use.gpus += spec.gpus;
  use.tasks += 1;
  state.usageByTeam.set(spec.team, use);
  updateTaskCounts(state, job);
}

/** Takes a claim off again. The caller holds the proof that the task is gone. */
export function removeClaim(state: CoreState, claim: LiveClaim): void {
  const { job, task } = claim;
  const { spec } = job;
  const machine = state.machines.get(claim.machine);
  needAttention(state, claim.machine);
  job.claims.delete(task);
  state.claimsByPriority.get(spec.priority)?.delete(claim);
  state.preemptedClaims.delete(claim);
  if (claim.stage === 'running') job.runningCount -= 1;
  if (machine?.claims.delete(taskKey(spec.id, task)) === true) {
    allocate(machine.allocated, spec);
    // Sums of fractions drift; an empty machine is empty.
    if (machine.claims.size === 0) Object.assign(machine.allocated, noResources());
    state.changedMachines.add(machine);
  }
  const use = state.usageByTeam.get(spec.team);
  if (use !== undefined) {
    use.tasks -= 1;
    if (use.tasks === 0) state.usageByTeam.delete(spec.team);
    else {
      use.cpus -= spec.cpus;
      use.gpus -= spec.gpus;
    }
  }
  updateTaskCounts(state, job);
}

export function markDone(state: CoreState, job: JobState, task: number): void {
  if (isDone(job, task)) return;
  job.doneBits[task >> 3] = (job.doneBits[task >> 3] ?? 0) | (1 << (task & 7));
  job.doneCount += 1;
  // Never started again: what is kept of a job follows what is out or was lost, not its size.
  job.attempts.delete(task);
  const claim = job.claims.get(task);
  if (claim !== undefined) needAttention(state, claim.machine);
  updateTaskCounts(state, job);
}
