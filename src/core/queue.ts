/** The queue: jobs with waiting tasks, in the order in which they are served. */
import { waitingTasks } from './ledger.js';
import type { CoreState, JobState, Now } from './state.js';
import type { JobSpec } from './types.js';

/**
 * From being placed to running: the write, the wait for the machine's next report, the
 * start itself. What is left less than that is lost already; counting on all of it, a
 * queue under overload serves everyone just too late.
 */
export const startLatency = (state: CoreState): number => 1.5 * state.rules.timing.longestReport;

/** How old a job may be when its tasks are placed for them to start in time. */
function placedBy(state: CoreState, spec: JobSpec): number {
  const start = state.rules.startWithin.get(spec.jobClass);
  return start === undefined ? Infinity : start - Math.min(startLatency(state), start / 2);
}

/** Expected run time of a task: its owner's estimate, corrected by what its class has shown. */
export function expectedRun(state: CoreState, spec: JobSpec): number {
  return state.rules.policy.expectedRun(spec) * (state.runRatio.get(spec.jobClass) ?? 1);
}

/** Whether there is a time by which a job should be done, for itself or for those that need it. */
export const hasDeadline = (job: JobState): boolean => job.spec.deadlineS !== null || job.dueAt < Infinity;

/**
 * Milliseconds from now until the deadline, `times` its length after the submission; what
 * those that need the job leave it counts once.
 */
export function timeLeft({ spec, dueAt }: JobState, times: number, now: Now): number {
  const own = spec.deadlineS === null ? Infinity : spec.submittedAt + spec.deadlineS * 1000 * times;
  return (times === 1 ? Math.min(own, dueAt) : own) - now.wall;
}

/** How many of its aims, to start in time and to be done in time, a job can no longer meet. */
export function aimsLost(state: CoreState, job: JobState, now: Now): { lost: number; all: number } {
  const { spec } = job;
  const needs = expectedRun(state, spec) + startLatency(state);
  let lost = now.wall - job.readyAt > placedBy(state, spec) ? 1 : 0;
  let all = state.rules.startWithin.has(spec.jobClass) ? 1 : 0;
  if (!hasDeadline(job)) return { lost, all };
  for (const times of state.rules.deadlineTimes.get(spec.jobClass) ?? [1]) {
    all += 1;
    if (timeLeft(job, times, now) < needs) lost += 1;
  }
  return { lost, all };
}

/**
 * Whether a job still can, but soon no longer will, meet one of its aims. Each counts by
 * itself: one that missed its start is pressed again when its deadline comes near.
 */
export function isPressed(state: CoreState, job: JobState, now: Now): boolean {
  const { spec } = job;
  const by = placedBy(state, spec);
  const age = now.wall - job.readyAt;
  if (age > by / 2 && age <= by) return true;
  if (!hasDeadline(job)) return false;
  const run = expectedRun(state, spec);
  const needs = run + startLatency(state);
  return (state.rules.deadlineTimes.get(spec.jobClass) ?? [1]).some((times) => {
    const left = timeLeft(job, times, now);
    return left >= needs && left < needs + 0.5 * run;
  });
}

/** Where a job stands within its priority: by group, then by `key`. */
function standing(state: CoreState, job: JobState, now: Now): { group: number; key: number } {
  const { lost } = aimsLost(state, job, now);
  const run = expectedRun(state, job.spec);
  const slack = timeLeft(job, 1, now) - run;
  // Pressed: it has to start within a run time from now to be in time.
  if (lost === 0 && slack < run) return { group: 0, key: waitingTasks(job) * run * job.spec.cpus };
  return { group: 1 + lost, key: job.stamp };
}

/**
 * Jobs with waiting tasks that may be tried now: higher priority first, then order of
 * arrival (the order of the stamps). Under overload, arrival order alone would make
 * every job late by the same delay. So a job of which some aim can no longer be met stands
 * behind those of its priority that can still meet theirs, and one that must start soon
 * to be in time stands before those that need not. Of those, the one with the least work
 * waiting comes first: when not all can be in time, a large job takes the room of many.
 */
export function waitingJobs(state: CoreState, now: Now): JobState[] {
  const waiting: { job: JobState; group: number; key: number }[] = [];
  for (const job of state.jobs.values()) {
    if (waitingTasks(job) > 0 && job.retryAt <= now.mono) waiting.push({ job, ...standing(state, job, now) });
  }
  waiting.sort((a, b) => a.job.priority - b.job.priority || a.group - b.group || a.key - b.key);
  return waiting.map(({ job }) => job);
}

/** What every team's tasks use that are not proven gone, by team. */
export function teamUse(state: CoreState): Map<string, { cpus: number; gpus: number }> {
  const use = new Map<string, { cpus: number; gpus: number }>();
  for (const { spec, claims } of state.jobs.values()) {
    if (claims.size === 0) continue;
    const sum = use.get(spec.team) ?? { cpus: 0, gpus: 0 };
    sum.cpus += spec.cpus * claims.size;
    sum.gpus += spec.gpus * claims.size;
    use.set(spec.team, sum);
  }
  return use;
}
