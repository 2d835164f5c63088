/**
 * Service-level objectives of jobs, expressed as the latest times at which their tasks can be placed
 * so that each is met. A job may have any number of objectives, and each counts separately: a lost
 * objective no longer makes the job urgent, but the next one does when its time approaches.
 */
import { fitsType } from '../placement/resources.js';
import type { ClassObjectives, JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec } from '../types.js';
import { expectedRunMs, startLatency } from './jobs.js';

const NO_OBJECTIVES: ClassObjectives = { startTargetsMs: [], deadlineMultiples: [], finishTargetsMs: [] };
/** Multiples of the deadline to be met by a class whose objectives define none: the deadline itself. */
const DEFAULT_DEADLINE_MULTIPLES: readonly number[] = [1];
/** An objective to complete by some time is at risk if its slack is below this share of the run time. */
const AT_RISK_RUN_SHARE = 0.5;
/** Share of a job's maximum wait after which machines are provisioned for it even if it is not urgent. */
const SCALE_OUT_WAIT_SHARE = 0.5;

/** The objectives of a job's class; all lists are empty if it has none. */
const objectivesOf = (state: CoreState, spec: JobSpec): ClassObjectives =>
  state.config.objectives.get(spec.jobClass) ?? NO_OBJECTIVES;

/** The strictest start objective of a class, in milliseconds from being ready; undefined: none. */
const strictestStartTarget = (state: CoreState, spec: JobSpec): number | undefined =>
  objectivesOf(state, spec).startTargetsMs[0];

/** Whether a job has a deadline, either its own or one inherited from its dependents. */
export const hasDeadline = (job: JobState): boolean =>
  job.spec.deadlineS !== null || job.inheritedDeadline < Infinity;

/**
 * Milliseconds from now until `multiple` times the deadline has passed since the submission. The
 * deadline inherited from dependents counts only for a multiple of 1. Infinity: no deadline.
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

/** Calls `callback` with the slack of each objective. Builds no list, because it runs per job and tick. */
function forEachObjective(
  state: CoreState,
  job: JobState,
  now: Now,
  callback: (objective: ObjectiveSlack) => void,
): void {
  const { startTargetsMs, deadlineMultiples, finishTargetsMs } = objectivesOf(state, job.spec);
  const latencyMs = startLatency(state);
  const ageMs = now.epochMs - job.readyAt;
  for (const targetMs of startTargetsMs) {
    const placeWithinMs = targetMs - Math.min(latencyMs, targetMs / 2);
    callback({ slackMs: placeWithinMs - ageMs, atRiskBelowMs: placeWithinMs / 2 });
  }
  if (finishTargetsMs.length === 0 && !hasDeadline(job)) return;
  const runMs = expectedRunMs(state, job.spec);
  const completionMs = runMs + latencyMs;
  const atRiskBelowMs = AT_RISK_RUN_SHARE * runMs;
  for (const targetMs of finishTargetsMs)
    callback({ slackMs: targetMs - ageMs - completionMs, atRiskBelowMs });
  if (!hasDeadline(job)) return;
  for (const multiple of deadlineMultiples.length > 0 ? deadlineMultiples : DEFAULT_DEADLINE_MULTIPLES)
    callback({ slackMs: timeToDeadlineMs(job, multiple, now) - completionMs, atRiskBelowMs });
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

/** Whether a job has an objective that it can still meet but will soon lose. */
export function isDeadlineAtRisk(state: CoreState, job: JobState, now: Now): boolean {
  let isAtRisk = false;
  forEachObjective(state, job, now, ({ slackMs, atRiskBelowMs }) => {
    isAtRisk ||= slackMs >= 0 && slackMs < atRiskBelowMs;
  });
  return isAtRisk;
}

/** Whether a job has an objective that it can still meet, but not if its tasks wait for `waitMs`. */
export function losesObjectiveWithin(state: CoreState, job: JobState, waitMs: number, now: Now): boolean {
  let isLost = false;
  forEachObjective(state, job, now, ({ slackMs }) => {
    isLost ||= slackMs >= 0 && slackMs < waitMs;
  });
  return isLost;
}

/** Whether a class has a start objective that leaves no time to boot any machine that fits its tasks. */
export function isStartSensitive(state: CoreState, spec: JobSpec): boolean {
  const targetMs = strictestStartTarget(state, spec);
  if (targetMs === undefined) return false;
  for (const type of state.machineTypes.values())
    if (fitsType(spec, type) && targetMs > type.bootS * 1000) return false;
  return true;
}

/**
 * Monotonic time in milliseconds by which a job's tasks must start to meet its next start objective
 * that is not lost; Infinity: there is none.
 */
export function startDeadline(state: CoreState, job: JobState, now: Now): number {
  const ageMs = now.epochMs - job.readyAt;
  for (const targetMs of objectivesOf(state, job.spec).startTargetsMs)
    if (targetMs > ageMs) return now.monotonicMs - ageMs + targetMs;
  return Infinity;
}

/** Milliseconds that a job may wait and still be done within `targetMs`: the configured share of its slack. */
function spendableSlackMs(state: CoreState, spec: JobSpec, targetMs: number): number {
  return (targetMs - expectedRunMs(state, spec)) * state.config.policy.deadlineSlackShare(spec);
}

/** Milliseconds from being ready within which a job's tasks should start to meet all objectives, with slack to spare. */
export function allowedWait(state: CoreState, spec: JobSpec): number {
  const { startTargetsMs, finishTargetsMs } = objectivesOf(state, spec);
  const finishTargetMs = finishTargetsMs[0];
  let waitMs = startTargetsMs[0] ?? Infinity;
  if (finishTargetMs !== undefined) waitMs = Math.min(waitMs, spendableSlackMs(state, spec, finishTargetMs));
  if (spec.deadlineS !== null) return Math.min(waitMs, spendableSlackMs(state, spec, spec.deadlineS * 1000));
  const scaleOutWaitMs = SCALE_OUT_WAIT_SHARE * state.config.policy.maxWaitMs(spec);
  return Math.min(waitMs, expectedRunMs(state, spec), scaleOutWaitMs);
}

/** Monotonic time in milliseconds of the latest start that a job's objectives still allow. */
export function latestStart(state: CoreState, job: JobState, now: Now): number {
  const { spec } = job;
  const { lost, all } = countLostObjectives(state, job, now);
  const timeLeftMs = timeToDeadlineMs(job, 1, now);
  // The job will be late whatever is provisioned now, so it is not worth on-demand machines.
  if (spec.deadlineS !== null && lost >= all) {
    return now.monotonicMs + Math.max(0, spec.deadlineS * 1000 + Math.min(0, timeLeftMs));
  }
  const ownLatestStart = now.monotonicMs - (now.epochMs - job.readyAt) + allowedWait(state, spec);
  if (!hasDeadline(job) || spec.deadlineS !== null) return ownLatestStart;
  // Dependents set the deadline: the job may use only a share of the slack beyond its own run.
  const slackShare = state.config.policy.deadlineSlackShare(spec);
  const slackMs = slackShare * (timeLeftMs - expectedRunMs(state, spec));
  return now.monotonicMs + Math.max(0, Math.min(slackMs, ownLatestStart - now.monotonicMs));
}
