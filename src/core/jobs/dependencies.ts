/**
 * DAG dependencies between jobs. A job is ready once the committed record of every job it depends on
 * shows that job as done; it is cancelled once the committed record of one of them shows that job as
 * cancelled. Both outcomes are final, so an outcome that has been read stays valid. Jobs are indexed
 * by those they depend on, so that the cost of applying an outcome grows only with the number of dependents.
 */
import { markDirty } from '../persistence/dirty-jobs.js';
import type { FinalOutcome, JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { EndedRecord, FinalStage } from '../types.js';
import { expectedRunMs, isReady, startLatency, updateTaskCounts } from './jobs.js';

/** Outcomes are kept up to this number, or up to twice the number of jobs if that is more. */
const MIN_REMEMBERED_OUTCOMES = 4000;
/** Maximum number of job records that one query reads. */
const MAX_QUERIED_OUTCOMES = 16;
/** Length of a dependency chain beyond which priority and deadline are propagated no further. */
const MAX_PROPAGATION_DEPTH = 200;
/** Expected run time of a job's last task to end, as a multiple of the expected run time of a task. */
const LAST_TASK_RUN_FACTOR = 1.3;

/**
 * Monotonic time in milliseconds of the latest read that confirmed the leader's view; a change that
 * the leader learns of now happened after it.
 */
const viewConfirmedAt = (state: CoreState): number => state.leadership?.viewConfirmedAt ?? 0;

/**
 * Requests a read of a job's record for its outcome. `since`: monotonic time in milliseconds at which
 * that became necessary.
 */
function requestOutcome(state: CoreState, id: string, since = viewConfirmedAt(state)): void {
  if (!state.unresolvedDependencies.has(id)) state.unresolvedDependencies.set(id, { since, notBefore: 0 });
}

/**
 * Schedules the cancellation of a job because one that it depends on was cancelled. The job has no
 * task on a machine, because it was never ready.
 */
function scheduleCancellation(state: CoreState, job: JobState, since: number): void {
  if (job.finalStage !== null || state.cancelPending.has(job)) return;
  state.cancelPending.set(job, since);
  markDirty(state, job);
}

/** Applies the outcome of the job `id` to one of its dependents. */
function resolveDependency(
  state: CoreState,
  dependent: JobState,
  id: string,
  outcome: FinalOutcome,
  since: number,
): void {
  if (outcome.stage === 'withdrawn') {
    scheduleCancellation(state, dependent, since);
    return;
  }
  dependent.pendingDependencies.delete(id);
  dependent.readyAt = Math.max(dependent.readyAt, outcome.at);
  if (!isReady(dependent)) return;
  updateTaskCounts(state, dependent);
  state.isPlacementDue = true;
  // Makes a new plan due at the next tick; 0 would mean that there has been no plan yet.
  if (state.nextPlanAt > 0) state.nextPlanAt = 1;
}

/** Adds a new job to the index, and requests the missing outcomes of jobs it depends on that are not live. */
export function registerDependencies(state: CoreState, job: JobState): void {
  for (const id of job.spec.awaits ?? []) {
    job.pendingDependencies.add(id);
    const outcome = state.finalOutcomes.get(id);
    if (outcome !== undefined) {
      resolveDependency(state, job, id, outcome, viewConfirmedAt(state));
      continue;
    }
    const dependents = state.dependents.get(id);
    if (dependents === undefined) state.dependents.set(id, new Set([job]));
    else dependents.add(job);
    if (state.jobs.get(id)?.finalStage !== null) requestOutcome(state, id);
  }
  propagateToDependencies(state, job, MAX_PROPAGATION_DEPTH);
}

/**
 * Propagates a job's priority to the jobs it depends on, and a deadline that leaves time for the job
 * itself, because users set both on the last job of a DAG only.
 */
function propagateToDependencies(state: CoreState, job: JobState, depth: number): void {
  if (depth === 0) return;
  const { spec } = job;
  const ownDeadline = spec.deadlineS === null ? Infinity : spec.submittedAt + spec.deadlineS * 1000;
  const deadline = Math.min(ownDeadline, job.inheritedDeadline) - expectedCompletionMs(state, job);
  for (const id of spec.awaits ?? []) {
    const dependency = state.jobs.get(id);
    if (dependency === undefined || dependency.finalStage !== null) continue;
    if (dependency.priority <= job.priority && dependency.inheritedDeadline <= deadline) continue;
    dependency.priority = job.priority < dependency.priority ? job.priority : dependency.priority;
    dependency.inheritedDeadline = Math.min(dependency.inheritedDeadline, deadline);
    propagateToDependencies(state, dependency, depth - 1);
  }
}

/** Expected time in milliseconds from when a job is ready until it is done. */
const expectedCompletionMs = (state: CoreState, { spec }: JobState): number =>
  startLatency(state) + LAST_TASK_RUN_FACTOR * expectedRunMs(state, spec);

/**
 * Removes an ended job from the index. If `outcome` is null, the committed record is not available,
 * so it is requested if other jobs depend on this one.
 */
export function unregisterDependencies(state: CoreState, job: JobState, outcome: FinalOutcome | null): void {
  const { id, awaits } = job.spec;
  const since = state.cancelPending.get(job);
  state.cancelPending.delete(job);
  for (const dependency of awaits ?? []) {
    const dependents = state.dependents.get(dependency);
    dependents?.delete(job);
    if (dependents?.size !== 0) continue;
    state.dependents.delete(dependency);
    state.unresolvedDependencies.delete(dependency);
  }
  if (outcome !== null) recordFinalOutcome(state, id, outcome, since);
  else if (state.dependents.has(id)) requestOutcome(state, id, since);
}

/** Stores a job's outcome from its committed record, and applies it to the jobs that depend on it. */
function recordFinalOutcome(
  state: CoreState,
  id: string,
  outcome: FinalOutcome,
  since = viewConfirmedAt(state),
): void {
  rememberOutcome(state, id, outcome);
  const requestedSince = state.unresolvedDependencies.get(id)?.since ?? Infinity;
  state.unresolvedDependencies.delete(id);
  const dependents = state.dependents.get(id);
  if (dependents === undefined) return;
  state.dependents.delete(id);
  for (const job of dependents) resolveDependency(state, job, id, outcome, Math.min(since, requestedSince));
}

/** Stores an outcome as the newest, and drops the oldest ones beyond the limit. */
function rememberOutcome({ finalOutcomes, jobs }: CoreState, id: string, outcome: FinalOutcome): void {
  finalOutcomes.delete(id);
  finalOutcomes.set(id, outcome);
  const maxOutcomes = Math.max(MIN_REMEMBERED_OUTCOMES, 2 * jobs.size);
  for (const oldest of finalOutcomes.keys()) {
    if (finalOutcomes.size <= maxOutcomes) break;
    finalOutcomes.delete(oldest);
  }
}

/** The outcome in a committed record; a time in the future is replaced by the present time. */
export const finalOutcomeOf = (record: EndedRecord, now: Now): FinalOutcome => ({
  stage: record.stage,
  at: Math.min(record.at ?? now.epochMs, now.epochMs),
});

/** An outcome as of now. */
export const finalOutcomeNow = (stage: FinalStage, now: Now): FinalOutcome => ({ stage, at: now.epochMs });

/**
 * Ids of the jobs whose records are to be read now, at most `MAX_QUERIED_OUTCOMES`; null: there are
 * none, or a query is in flight. The result of the query has to be passed to `settleDependencyQuery`.
 */
export function nextDependencyQuery(state: CoreState, now: Now): readonly string[] | null {
  if (state.pendingDependencyQuery !== null || state.unresolvedDependencies.size === 0) return null;
  const ids: string[] = [];
  for (const [id, { notBefore }] of state.unresolvedDependencies) {
    if (notBefore > now.monotonicMs) continue;
    ids.push(id);
    if (ids.length === MAX_QUERIED_OUTCOMES) break;
  }
  if (ids.length === 0) return null;
  state.pendingDependencyQuery = ids;
  return ids;
}

/** Applies the results of a query; jobs without an outcome are queried again later. */
export function settleDependencyQuery(
  state: CoreState,
  answers: ReadonlyMap<string, EndedRecord | 'live' | 'none' | 'unknown'>,
  now: Now,
): void {
  state.pendingDependencyQuery = null;
  const { tickMs, workerLeaseMs } = state.config.timing;
  for (const [id, answer] of answers) {
    if (typeof answer !== 'string') {
      recordFinalOutcome(state, id, finalOutcomeOf(answer, now));
      continue;
    }
    const query = state.unresolvedDependencies.get(id);
    if (query === undefined) continue;
    // A job that the leader's view shows as live needs no query: its outcome will arrive with that view.
    if (answer === 'live' && state.jobs.get(id)?.finalStage === null) state.unresolvedDependencies.delete(id);
    else query.notBefore = now.monotonicMs + (answer === 'none' ? workerLeaseMs : tickMs);
  }
}

/**
 * Monotonic time in milliseconds up to which, in this leader's view, every cancellation has been
 * propagated to all dependents.
 */
export function resolvedUntil(state: CoreState): number {
  let until = state.leadership?.viewConfirmedAt ?? 0;
  for (const { since } of state.unresolvedDependencies.values()) until = Math.min(until, since);
  for (const since of state.cancelPending.values()) until = Math.min(until, since);
  return until;
}
