/**
 * Service-level objectives of jobs, as the latest times at which their tasks can be placed for
 * each to be met. Each objective counts by itself, any number of them: one that is lost no
 * longer makes a job urgent, and the next one does in its time.
 */
import { fits } from '../placement/resources.js';
import type { ClassObjectives, JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec } from '../types.js';
import { expectedRun, startLatency } from './jobs.js';

const NO_OBJECTIVES: ClassObjectives = { startTargetsMs: [], deadlineMultiples: [], finishTargetsMs: [] };
/** What a deadline means to a class whose objectives do not speak of it. */
const DEFAULT_DEADLINE_MULTIPLES: readonly number[] = [1];
/** Share of its run time below which the slack of a job that should be done by a time is at risk. */
const AT_RISK_RUN_SHARE = 0.5;
/** Share of a job's longest wait after which machines are provisioned for one without any urgency. */
const SCALE_OUT_WAIT_SHARE = 0.5;

/** The objectives of a job's class; all lists are empty if it has none. */
const objectivesOf = (state: CoreState, spec: JobSpec): ClassObjectives =>
  state.config.objectives.get(spec.jobClass) ?? NO_OBJECTIVES;

/** The strictest start objective of a class, in milliseconds from being ready; undefined: none. */
const strictestStartTarget = (state: CoreState, spec: JobSpec): number | undefined =>
  objectivesOf(state, spec).startTargetsMs[0];

/** Whether there is a time by which a job should be done, for itself or for its dependents. */
export const hasDeadline = (job: JobState): boolean =>
  job.spec.deadlineS !== null || job.inheritedDeadline < Infinity;

/**
 * Milliseconds from now until `multiple` times the deadline has passed since the submission. The
 * deadline inherited from dependents counts for a multiple of 1 alone. Infinity: no deadline.
 */
export function timeToDeadlineMs({ spec, inheritedDeadline }: JobState, multiple: number, now: Now): number {
  const own = spec.deadlineS === null ? Infinity : spec.submittedAt + spec.deadlineS * 1000 * multiple;
  return (multiple === 1 ? Math.min(own, inheritedDeadline) : own) - now.epochMs;
}

/** How far one objective of a job is from being lost. */
interface ObjectiveSlack {
  /** Milliseconds that the job's tasks may still wait to be placed; negative: the objective is lost. */
  readonly slackMs: number;
  /** The objective is at risk with less slack than this. */
  readonly atRiskBelowMs: number;
}

/** Calls back with the slack of each objective of a job; without allocating a list, for it runs per job and tick. */
function forEachObjective(
  state: CoreState,
  job: JobState,
  now: Now,
  call: (objective: ObjectiveSlack) => void,
): void {
  const { startTargetsMs, deadlineMultiples, finishTargetsMs } = objectivesOf(state, job.spec);
  const latencyMs = startLatency(state);
  const ageMs = now.epochMs - job.readyAt;
  for (const targetMs of startTargetsMs) {
    const placeWithinMs = targetMs - Math.min(latencyMs, targetMs / 2);
    call({ slackMs: placeWithinMs - ageMs, atRiskBelowMs: placeWithinMs / 2 });
  }
  if (finishTargetsMs.length === 0 && !hasDeadline(job)) return;
  const runMs = expectedRun(state, job.spec);
  const completionMs = runMs + latencyMs;
  const atRiskBelowMs = AT_RISK_RUN_SHARE * runMs;
  for (const targetMs of finishTargetsMs) call({ slackMs: targetMs - ageMs - completionMs, atRiskBelowMs });
  if (!hasDeadline(job)) return;
  for (const multiple of deadlineMultiples.length > 0 ? deadlineMultiples : DEFAULT_DEADLINE_MULTIPLES)
    call({ slackMs: timeToDeadlineMs(job, multiple, now) - completionMs, atRiskBelowMs });
}

/** The number of a job's objectives, and of those that it can no longer meet. */
export function countLostObjectives(
  state: CoreState,
  job: JobState,
  now: Now,
): { lost: number; all: number } {
  let lost = 0;
  let all = 0;
  forEachObjective(state, job, now, ({ slackMs }) => {
    all += 1;
    if (slackMs < 0) lost += 1;
  });
  return { lost, all };
}

/** Whether a job still can, but soon no longer will, meet one of its objectives. */
export function isDeadlineAtRisk(state: CoreState, job: JobState, now: Now): boolean {
  let isAtRisk = false;
  forEachObjective(state, job, now, ({ slackMs, atRiskBelowMs }) => {
    isAtRisk ||= slackMs >= 0 && slackMs < atRiskBelowMs;
  });
  return isAtRisk;
}

/** Whether a job loses an objective that it could still meet if its tasks wait for `waitMs`. */
export function losesObjectiveWithin(state: CoreState, job: JobState, waitMs: number, now: Now): boolean {
  let isLost = false;
  forEachObjective(state, job, now, ({ slackMs }) => {
    isLost ||= slackMs >= 0 && slackMs < waitMs;
  });
  return isLost;
}

/** Whether a class's tasks are to start sooner than any suitable machine boots. */
export function isStartSensitive(state: CoreState, spec: JobSpec): boolean {
  const targetMs = strictestStartTarget(state, spec);
  if (targetMs === undefined) return false;
  for (const type of state.machineTypes.values())
    if (fits(spec, type) && targetMs > type.bootS * 1000) return false;
  return true;
}

/**
 * Monotonic time in milliseconds by which a job's tasks are to start for its next start objective
 * that is not lost; Infinity: none.
 */
export function startDeadline(state: CoreState, job: JobState, now: Now): number {
  const ageMs = now.epochMs - job.readyAt;
  for (const targetMs of objectivesOf(state, job.spec).startTargetsMs)
    if (targetMs > ageMs) return now.monotonicMs - ageMs + targetMs;
  return Infinity;
}

/** Milliseconds that a job may wait to be done within `targetMs`: the configured share of its slack. */
function spendableSlackMs(state: CoreState, spec: JobSpec, targetMs: number): number {
  return (targetMs - expectedRun(state, spec)) * state.config.policy.deadlineSlackShare(spec);
}

/** Milliseconds from being ready within which a job's tasks should start to meet all objectives, with slack to spare. */
export function allowedWait(state: CoreState, spec: JobSpec): number {
  const { startTargetsMs, finishTargetsMs } = objectivesOf(state, spec);
  const finishTargetMs = finishTargetsMs[0];
  let waitMs = startTargetsMs[0] ?? Infinity;
  if (finishTargetMs !== undefined) waitMs = Math.min(waitMs, spendableSlackMs(state, spec, finishTargetMs));
  if (spec.deadlineS !== null) return Math.min(waitMs, spendableSlackMs(state, spec, spec.deadlineS * 1000));
  const patienceMs = SCALE_OUT_WAIT_SHARE * state.config.policy.maxWaitMs(spec);
  return Math.min(waitMs, expectedRun(state, spec), patienceMs);
}

/** Monotonic time in milliseconds of the latest start that a job's objectives still allow. */
export function latestStart(state: CoreState, job: JobState, now: Now): number {
  const { spec } = job;
  const { lost, all } = countLostObjectives(state, job, now);
  const timeLeftMs = timeToDeadlineMs(job, 1, now);
  // Late whatever is provisioned now: not worth on-demand machines.
  if (spec.deadlineS !== null && lost >= all) {
    return now.monotonicMs + Math.max(0, spec.deadlineS * 1000 + Math.min(0, timeLeftMs));
  }
  const ownLatestStart = now.monotonicMs - (now.epochMs - job.readyAt) + allowedWait(state, spec);
  if (!hasDeadline(job) || spec.deadlineS !== null) return ownLatestStart;
  // Dependents set the deadline: part of the slack beyond the job's own run is theirs.
  const slackShare = state.config.policy.deadlineSlackShare(spec);
  const slackMs = slackShare * (timeLeftMs - expectedRun(state, spec));
  return now.monotonicMs + Math.max(0, Math.min(slackMs, ownLatestStart - now.monotonicMs));
}
