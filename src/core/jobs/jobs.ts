/**
 * Tasks of jobs: which of them wait, which are claimed for a machine, and the resources they use. The
 * counts that placement and autoscaling read are updated with each change, so that neither has to
 * iterate over all jobs or all machines.
 */
import { markForAttention } from '../attention.js';
import { allocate, isFaultyJob, noResources, release } from '../placement/resources.js';
import { isDone, taskKey, type JobState, type LiveClaim, type Machine } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec } from '../types.js';

/** Time from the placement of a task until it runs, in maximum heartbeat intervals. */
const START_INTERVALS = 1.5;

/** Whether all jobs that a job depends on are done. */
export const isReady = (job: JobState): boolean => job.pendingDependencies.size === 0;

/** Whether all tasks of a job are done and its final record is still to be written; never for a service. */
export const isComplete = (job: JobState): boolean =>
  job.finalStage === null && job.spec.form !== 'service' && job.doneCount === job.spec.tasks;

/** Number of a job's tasks that wait for a machine. */
export function waitingTasks(job: JobState): number {
  if (job.finalStage !== null || !isReady(job)) return 0;
  return job.spec.tasks - job.doneCount - job.claims.size;
}

/**
 * Expected run time of a task in milliseconds: the submitted estimate as adjusted by the policy, corrected by
 * the ratio of run time to estimate observed in its class.
 */
export function expectedRunMs(state: CoreState, spec: JobSpec): number {
  return state.config.policy.expectedRunMs(spec) * (state.runTimeRatio.get(spec.jobClass) ?? 1);
}

/**
 * Milliseconds from a task's placement until it runs: the write, the wait for the machine's next
 * heartbeat, and the start itself. An objective with less time left counts as lost; otherwise a
 * queue under overload would serve every job just too late.
 */
export const startLatency = (state: CoreState): number =>
  START_INTERVALS * state.config.timing.maxHeartbeatIntervalMs;

/** Updates the task counts after a change to a job. */
export function updateTaskCounts(state: CoreState, job: JobState): void {
  const waiting = waitingTasks(job);
  // No capacity is held or planned for the waiting tasks of a faulty job.
  const outstanding = job.claims.size + (isFaultyJob(job) ? 0 : waiting);
  if (outstanding !== job.outstandingCount) {
    const { jobClass } = job.spec;
    const classOutstanding = state.outstandingByClass.get(jobClass) ?? 0;
    state.outstandingByClass.set(jobClass, classOutstanding + outstanding - job.outstandingCount);
    job.outstandingCount = outstanding;
  }
  if (waiting > 0 && job.waitingCount === 0) {
    state.waitingJobs.add(job);
    if (!job.isQueued) state.newlyWaitingJobs.push(job);
  } else if (waiting === 0 && job.waitingCount > 0) state.waitingJobs.delete(job);
  job.waitingCount = waiting;
}

/** Whether a task is neither done nor claimed. */
const isPlaceable = (job: JobState, task: number): boolean => !isDone(job, task) && !job.claims.has(task);

/** The next task of a job that waits for a machine, tasks to be retried first; null: there is none. */
export function nextTask(job: JobState): number | null {
  for (;;) {
    const retry = job.retryTasks[0];
    if (retry === undefined) break;
    if (isPlaceable(job, retry)) return retry;
    job.retryTasks.shift();
  }
  for (; job.nextNewTask < job.spec.tasks; job.nextNewTask += 1)
    if (isPlaceable(job, job.nextNewTask)) return job.nextNewTask;
  return null;
}

/** Adds a claim to its job, its machine and its team's usage. */
export function addClaim(state: CoreState, claim: LiveClaim, machine: Machine): void {
  const { job, task } = claim;
  const { spec } = job;
  job.claims.set(task, claim);
  machine.claims.set(taskKey(spec.id, task), claim);
  release(machine.allocated, job.request);
  state.claimsByPriority.get(spec.priority)?.add(claim);
  state.changedMachines.add(machine);
  markForAttention(state, machine.name);
  addUsage(state, spec);
  updateTaskCounts(state, job);
}

/** Removes a claim. The caller holds the proof that the task is gone from its machine. */
export function removeClaim(state: CoreState, claim: LiveClaim): void {
  const { job, task } = claim;
  const { spec } = job;
  const machine = state.machines.get(claim.machine);
  markForAttention(state, claim.machine);
  job.claims.delete(task);
  state.claimsByPriority.get(spec.priority)?.delete(claim);
  state.preemptedClaims.delete(claim);
  if (claim.stage === 'running') job.runningCount -= 1;
  if (machine?.claims.delete(taskKey(spec.id, task)) === true) {
    allocate(machine.allocated, job.request);
    machine.unclaimedHeartbeatBytes += job.request.heartbeatBytes;
    // Sums of fractions accumulate rounding errors, so an empty machine is reset to exactly zero.
    if (machine.claims.size === 0) Object.assign(machine.allocated, noResources());
    state.changedMachines.add(machine);
  }
  removeUsage(state, spec);
  updateTaskCounts(state, job);
}

/** Counts one more task in its team's usage. */
function addUsage({ usageByTeam }: CoreState, { team, cpus, gpus }: JobSpec): void {
  const usage = usageByTeam.get(team) ?? { cpus: 0, gpus: 0, tasks: 0 };
  usage.cpus += cpus;
  usage.gpus += gpus;
  usage.tasks += 1;
  usageByTeam.set(team, usage);
}

/** Counts one task less in its team's usage. */
function removeUsage({ usageByTeam }: CoreState, { team, cpus, gpus }: JobSpec): void {
  const usage = usageByTeam.get(team);
  if (usage === undefined) return;
  usage.tasks -= 1;
  // Rounding errors accumulate here too, so a team without tasks is removed from the map.
  if (usage.tasks === 0) usageByTeam.delete(team);
  else {
    usage.cpus -= cpus;
    usage.gpus -= gpus;
  }
}

/** Marks a task as done; no effect if it is already. */
export function markDone(state: CoreState, job: JobState, task: number): void {
  if (isDone(job, task)) return;
  job.doneBits[task >> 3] = (job.doneBits[task >> 3] ?? 0) | (1 << (task & 7));
  job.doneCount += 1;
  // A done task is never started again, so its attempt count is dropped: memory use grows with the number of
  // tasks that are on machines or were lost, not the job's size.
  job.attempts.delete(task);
  const claim = job.claims.get(task);
  if (claim !== undefined) markForAttention(state, claim.machine);
  updateTaskCounts(state, job);
}
