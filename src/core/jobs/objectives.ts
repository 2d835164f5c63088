/**
 * What a class is to reach, as moments in the life of a job: the latest time at which its
 * tasks can be placed for an aim to hold still. Each aim counts by itself, any number of
 * them; one that is lost no longer hurries a job, and the next one does in its time.
 */
import { expectedRun, startLatency } from './jobs.js';
import { satisfiesConstraints, fits } from '../placement/resources.js';
import type { ClassObjectives, JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec } from '../types.js';

const NO_OBJECTIVES: ClassObjectives = { startTargetsMs: [], deadlineMultiples: [], finishTargetsMs: [] };
/** What a deadline means to a class of which no aim speaks of it. */
const DEFAULT_DEADLINE_MULTIPLES: readonly number[] = [1];
/** A job that should be done by a time is pressed once it has so much of a run left to wait. */
const AT_RISK_RUN_SHARE = 0.5;

export const objectivesOf = (state: CoreState, spec: JobSpec): ClassObjectives =>
  state.config.objectives.get(spec.jobClass) ?? NO_OBJECTIVES;

/** Idle-time work: of the lowest priority, with no aim that it could miss but the bound on waiting. */
export const isBestEffort = (state: CoreState, spec: JobSpec): boolean =>
  spec.priority === 3 && spec.deadlineS === null && !state.config.objectives.has(spec.jobClass);

/** An idle-time class may take so many bounds on waiting if it had all cheap machines; beyond, dear ones serve too. */
const MAX_BEST_EFFORT_WAITS = 2.5;

/** Tasks of a kind that all cheap machines up now could hold at once. */
export function spotSlots(state: CoreState, spec: JobSpec): number {
  let slots = 0;
  for (const { type, zone, spot, size } of state.capacityIndex.groups) {
    if (!spot || !satisfiesConstraints(spec, type.name, zone, spot) || !fits(spec, type)) continue;
    slots += size * Math.floor(Math.min(type.cpus / spec.cpus, type.memoryGb / spec.memoryGb, Infinity));
  }
  return slots;
}

/** Whether a job keeps off dear machines: idle-time work that cheap ones could serve in bearable time. */
export function isCostSensitive(state: CoreState, { spec, readyAt }: JobState, now: Now): boolean {
  if (!spec.spot || !isBestEffort(state, spec)) return false;
  const bound = state.config.policy.maxWaitMs(spec);
  if (now.epochMs - readyAt < bound) return true;
  const rounds = (state.outstandingByClass.get(spec.jobClass) ?? 0) / Math.max(1, spotSlots(state, spec));
  return rounds * expectedRun(state, spec) < MAX_BEST_EFFORT_WAITS * bound;
}

/** Part of the bound on waiting after which room is rented for a job that nothing else hurries. */
const SCALE_OUT_WAIT_SHARE = 0.5;

/** The strictest start aim of a class, in milliseconds from being ready; undefined: none. */
export const strictestStartTarget = (state: CoreState, spec: JobSpec): number | undefined =>
  objectivesOf(state, spec).startTargetsMs[0];

/** Whether there is a time by which a job should be done, for itself or for those that need it. */
export const hasDeadline = (job: JobState): boolean =>
  job.spec.deadlineS !== null || job.inheritedDeadline < Infinity;

/**
 * Milliseconds from now until the deadline, `times` its length after the submission; what
 * those that need the job leave it counts once.
 */
export function timeToDeadlineMs({ spec, inheritedDeadline }: JobState, times: number, now: Now): number {
  const own = spec.deadlineS === null ? Infinity : spec.submittedAt + spec.deadlineS * 1000 * times;
  return (times === 1 ? Math.min(own, inheritedDeadline) : own) - now.epochMs;
}

/** An aim of one job: how long its tasks may still wait to be placed, and when that becomes pressing. */
interface ObjectiveSlack {
  readonly slackMs: number;
  readonly atRiskBelowMs: number;
}

/** Calls back with each aim of a job. */
function forEachObjective(
  state: CoreState,
  job: JobState,
  now: Now,
  call: (chance: ObjectiveSlack) => void,
): void {
  const { startTargetsMs, deadlineMultiples, finishTargetsMs } = objectivesOf(state, job.spec);
  const latency = startLatency(state);
  const age = now.epochMs - job.readyAt;
  for (const within of startTargetsMs) {
    const by = within - Math.min(latency, within / 2);
    call({ slackMs: by - age, atRiskBelowMs: by / 2 });
  }
  if (finishTargetsMs.length === 0 && !hasDeadline(job)) return;
  const run = expectedRun(state, job.spec);
  const needs = run + latency;
  for (const within of finishTargetsMs)
    call({ slackMs: within - age - needs, atRiskBelowMs: AT_RISK_RUN_SHARE * run });
  if (!hasDeadline(job)) return;
  for (const times of deadlineMultiples.length > 0 ? deadlineMultiples : DEFAULT_DEADLINE_MULTIPLES)
    call({ slackMs: timeToDeadlineMs(job, times, now) - needs, atRiskBelowMs: AT_RISK_RUN_SHARE * run });
}

/** How many of its aims a job can no longer meet. */
export function countLostObjectives(
  state: CoreState,
  job: JobState,
  now: Now,
): { lost: number; all: number } {
  let lost = 0;
  let all = 0;
  forEachObjective(state, job, now, ({ slackMs: slackMs }) => {
    all += 1;
    if (slackMs < 0) lost += 1;
  });
  return { lost, all };
}

/** Whether a job still can, but soon no longer will, meet one of its aims. */
export function isDeadlineAtRisk(state: CoreState, job: JobState, now: Now): boolean {
  let pressed = false;
  forEachObjective(state, job, now, ({ slackMs: slackMs, atRiskBelowMs: atRiskBelowMs }) => {
    pressed ||= slackMs >= 0 && slackMs < atRiskBelowMs;
  });
  return pressed;
}

/** Whether a job loses an aim that it could still meet if its tasks wait for so long. */
export function losesObjectiveWithin(state: CoreState, job: JobState, wait: number, now: Now): boolean {
  let loses = false;
  forEachObjective(state, job, now, ({ slackMs: slackMs }) => {
    loses ||= slackMs >= 0 && slackMs < wait;
  });
  return loses;
}

/** Whether a class cannot wait for a machine to boot: its tasks are to start sooner. */
export function isStartSensitive(state: CoreState, spec: JobSpec): boolean {
  const within = strictestStartTarget(state, spec);
  if (within === undefined) return false;
  for (const type of state.machineTypes.values())
    if (fits(spec, type) && within > type.bootS * 1000) return false;
  return true;
}

/** Steady time by which a job's tasks are to start for the next start aim that is not lost; Infinity: none. */
export function startDeadline(state: CoreState, job: JobState, now: Now): number {
  const age = now.epochMs - job.readyAt;
  for (const within of objectivesOf(state, job.spec).startTargetsMs)
    if (within > age) return now.monotonicMs - age + within;
  return Infinity;
}

/** The part of the time until an end that a job may wait, its run taken off, with slack to spare. */
function spendableSlackMs(state: CoreState, spec: JobSpec, until: number): number {
  return (until - expectedRun(state, spec)) * state.config.policy.deadlineSlackShare(spec);
}

/** How long after being ready a job's task may start for all of its aims to hold, with slack to spare. */
export function allowedWait(state: CoreState, spec: JobSpec): number {
  const { startTargetsMs, finishTargetsMs } = objectivesOf(state, spec);
  let wait = startTargetsMs[0] ?? Infinity;
  if (finishTargetsMs[0] !== undefined)
    wait = Math.min(wait, spendableSlackMs(state, spec, finishTargetsMs[0]));
  if (spec.deadlineS !== null) return Math.min(wait, spendableSlackMs(state, spec, spec.deadlineS * 1000));
  return Math.min(wait, expectedRun(state, spec), SCALE_OUT_WAIT_SHARE * state.config.policy.maxWaitMs(spec));
}

/** The latest start, on the steady clock, that a job's aims still allow. */
export function latestStart(state: CoreState, job: JobState, now: Now): number {
  const { spec } = job;
  const { lost, all } = countLostObjectives(state, job, now);
  const left = timeToDeadlineMs(job, 1, now);
  // Late whatever is rented now: no hurry that dear machines would be worth.
  if (spec.deadlineS !== null && lost >= all) {
    return now.monotonicMs + Math.max(0, spec.deadlineS * 1000 + Math.min(0, left));
  }
  const own = now.monotonicMs - (now.epochMs - job.readyAt) + allowedWait(state, spec);
  if (!hasDeadline(job) || spec.deadlineS !== null) return own;
  // Others need it: half of what is left beyond its own run is theirs.
  const slack = state.config.policy.deadlineSlackShare(spec) * (left - expectedRun(state, spec));
  return now.monotonicMs + Math.max(0, Math.min(slack, own - now.monotonicMs));
}
