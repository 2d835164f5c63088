/** Applies what a heartbeat reports about individual tasks: their stages and exits. */
import { expectedRunMs } from '../jobs/jobs.js';
import { isDone, taskKey, type LiveClaim, type Machine, type Now } from '../model.js';
import { recordUnclaimedCompletion, releaseClaim } from '../persistence/claims.js';
import type { CoreState } from '../state.js';
import type { ReportedTask } from '../types.js';
import { recordTaskFailure, recordTaskSuccess } from './fault-attribution.js';
import { recordImageUse } from './image-cache.js';

/** Upper limit of a run's ratio of run time to estimate, so that one outlier does not distort the average. */
const MAX_RUN_TIME_RATIO = 4;
/** Weight of the latest run in a class's moving average of run time over estimate. */
const RUN_TIME_RATIO_WEIGHT = 1 / 16;

/** Identifies one attempt among all attempts of all tasks: `job/task#attempt`. */
export const attemptKey = (job: string, task: number, attempt: number): string =>
  `${taskKey(job, task)}#${attempt}`;

/** Adds a completed run to its class's moving average of run time over estimate. */
function updateRunTimeRatio(state: CoreState, { job, runningSince }: LiveClaim, now: Now): void {
  const { estimateS, jobClass } = job.spec;
  if (runningSince === null || estimateS <= 0) return;
  const ratio = (now.monotonicMs - runningSince) / (estimateS * 1000);
  const average = state.runTimeRatio.get(jobClass) ?? 1;
  state.runTimeRatio.set(
    jobClass,
    average + (Math.min(MAX_RUN_TIME_RATIO, ratio) - average) * RUN_TIME_RATIO_WEIGHT,
  );
}

/** Updates fault attribution, run time statistics and retry delay from a task's exit, before its claim is released. */
function evaluateExit(
  state: CoreState,
  machine: Machine,
  claim: LiveClaim,
  task: ReportedTask,
  now: Now,
): void {
  const { job } = claim;
  switch (task.exit) {
    case 'done':
      recordTaskSuccess(state, machine, job);
      updateRunTimeRatio(state, claim, now);
      break;
    case 'error':
      recordTaskFailure(state, machine, job, now);
      break;
    case 'no_room':
    case 'busy':
    case 'unknown':
      job.retryAt = Math.max(job.retryAt, now.monotonicMs + state.config.timing.maxHeartbeatIntervalMs);
      break;
    default:
      break;
  }
}

/** Records a task's exit once: releases its claim, and marks its result to be written to the store. */
export function recordTaskExit(state: CoreState, machine: Machine, task: ReportedTask, now: Now): void {
  const key = taskKey(task.job, task.task);
  const exitKey = attemptKey(task.job, task.task, task.attempt);
  if (machine.exits.has(exitKey)) return;
  const claim = machine.claims.get(key);
  const job = state.jobs.get(task.job) ?? null;
  if (claim !== undefined && claim.attempt === task.attempt) {
    evaluateExit(state, machine, claim, task, now);
    const chunk = releaseClaim(state, claim, task.exit === 'done');
    machine.exits.set(exitKey, { job, chunk, version: chunk.version });
  } else if (job !== null && job.finalStage === null && task.exit === 'done' && !isDone(job, task.task)) {
    // A completed task's result counts even if this leader holds no claim of it.
    const chunk = recordUnclaimedCompletion(state, job, task.task);
    machine.exits.set(exitKey, { job, chunk, version: chunk.version });
  } else {
    machine.exits.set(exitKey, { job: null, chunk: null, version: 0 });
  }
}

/** Records the stage that a worker reports for a claimed task. */
export function recordTaskStage(
  state: CoreState,
  machine: Machine,
  claim: LiveClaim,
  task: ReportedTask,
  now: Now,
): void {
  const { spec } = claim.job;
  claim.startSent = true;
  if (claim.stage === task.stage) return;
  if (claim.stage === 'running') claim.job.runningCount -= 1;
  if (task.stage === 'running') claim.job.runningCount += 1;
  claim.stage = task.stage;
  if (task.stage !== 'running' || claim.runningSince !== null) return;
  claim.runningSince = now.monotonicMs;
  claim.expectedEnd = now.monotonicMs + expectedRunMs(state, spec);
  recordImageUse(state, machine, spec.image, spec.imageGb);
}
