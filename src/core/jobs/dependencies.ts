/**
 * Jobs that wait for others. A job is ready once every job it awaits is known, from the
 * committed record, to be done; it is withdrawn once one of them is known, from there, to
 * be withdrawn. Both are final, so what was once learned stays true. Jobs that need others
 * are indexed by those, so that an end costs no more than what it sets free.
 */
import { expectedRun, isReady, updateTaskCounts, startLatency } from './jobs.js';
import type { FinalOutcome, JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { markDirty } from '../persistence/dirty-jobs.js';
import type { EndedRecord, FinalStage } from '../types.js';

/** Ends of jobs that are remembered at least; with more live jobs, twice their number is. */
const MIN_REMEMBERED_OUTCOMES = 4000;
const MAX_QUERIED_OUTCOMES = 16;
/** A pipeline longer than this passes its wishes back no further. */
const MAX_PROPAGATION_DEPTH = 200;
/** The last task of an array ends later than the usual one. */
const LAST_TASK_RUN_FACTOR = 1.3;

/** What the view held at its latest proof had been settled: what is learned now came after. */
const viewConfirmedAt = (state: CoreState): number => state.leadership?.viewConfirmedAt ?? 0;

function requestOutcome(state: CoreState, id: string, since = viewConfirmedAt(state)): void {
  if (!state.unresolvedDependencies.has(id)) state.unresolvedDependencies.set(id, { since, notBefore: 0 });
}

/** To be withdrawn: one that it needs is. It cannot have a task out, for that one was never done. */
function scheduleCancellation(state: CoreState, job: JobState, since: number): void {
  if (job.finalStage !== null || state.cancelPending.has(job)) return;
  state.cancelPending.set(job, since);
  markDirty(state, job);
}

function resolveDependency(
  state: CoreState,
  job: JobState,
  final: FinalOutcome,
  id: string,
  since: number,
): void {
  if (final.stage === 'withdrawn') {
    scheduleCancellation(state, job, since);
    return;
  }
  job.pendingDependencies.delete(id);
  job.readyAt = Math.max(job.readyAt, final.at);
  if (!isReady(job)) return;
  updateTaskCounts(state, job);
  state.isPlacementDue = true;
  // At the next tick; 0 would say that there is no plan yet.
  if (state.nextPlanAt > 0) state.nextPlanAt = 1;
}

/** Enters a new job into the index, and asks for the ends of what it awaits. */
export function registerDependencies(state: CoreState, job: JobState): void {
  for (const id of job.spec.awaits ?? []) {
    job.pendingDependencies.add(id);
    const final = state.finalOutcomes.get(id);
    if (final !== undefined) {
      resolveDependency(state, job, final, id, viewConfirmedAt(state));
      continue;
    }
    const others = state.dependents.get(id);
    if (others === undefined) state.dependents.set(id, new Set([job]));
    else others.add(job);
    if (state.jobs.get(id)?.finalStage !== null) requestOutcome(state, id);
  }
  propagateToDependencies(state, job, MAX_PROPAGATION_DEPTH);
}

/**
 * What a job needs has its priority, and has to be done early enough for what remains: the
 * users set both on the last job of a pipeline only.
 */
function propagateToDependencies(state: CoreState, job: JobState, depth: number): void {
  if (depth === 0) return;
  const { spec } = job;
  const own = spec.deadlineS === null ? Infinity : spec.submittedAt + spec.deadlineS * 1000;
  const by = Math.min(own, job.inheritedDeadline) - expectedCompletionMs(state, job);
  for (const id of spec.awaits ?? []) {
    const needed = state.jobs.get(id);
    if (needed === undefined || needed.finalStage !== null) continue;
    if (needed.priority <= job.priority && needed.inheritedDeadline <= by) continue;
    needed.priority = job.priority < needed.priority ? job.priority : needed.priority;
    needed.inheritedDeadline = Math.min(needed.inheritedDeadline, by);
    propagateToDependencies(state, needed, depth - 1);
  }
}

/** How long a job is expected to take from being ready to being done. */
const expectedCompletionMs = (state: CoreState, { spec }: JobState): number =>
  startLatency(state) + LAST_TASK_RUN_FACTOR * expectedRun(state, spec);

/** A job has left the queue. Without its committed record, what waits for it learns only from that. */
export function unregisterDependencies(state: CoreState, job: JobState, final: FinalOutcome | null): void {
  const { id, awaits } = job.spec;
  const since = state.cancelPending.get(job);
  state.cancelPending.delete(job);
  for (const needed of awaits ?? []) {
    const others = state.dependents.get(needed);
    others?.delete(job);
    if (others?.size !== 0) continue;
    state.dependents.delete(needed);
    state.unresolvedDependencies.delete(needed);
  }
  if (final !== null) recordFinalOutcome(state, id, final, since);
  else if (state.dependents.has(id)) requestOutcome(state, id, since);
}

/** What the committed record of a job says of its end. */
function recordFinalOutcome(
  state: CoreState,
  id: string,
  final: FinalOutcome,
  since = viewConfirmedAt(state),
): void {
  state.finalOutcomes.delete(id);
  state.finalOutcomes.set(id, final);
  const remembered = Math.max(MIN_REMEMBERED_OUTCOMES, 2 * state.jobs.size);
  for (const oldest of state.finalOutcomes.keys()) {
    if (state.finalOutcomes.size <= remembered) break;
    state.finalOutcomes.delete(oldest);
  }
  const from = Math.min(since, state.unresolvedDependencies.get(id)?.since ?? Infinity);
  state.unresolvedDependencies.delete(id);
  const waiting = state.dependents.get(id);
  if (waiting === undefined) return;
  state.dependents.delete(id);
  for (const job of waiting) resolveDependency(state, job, final, id, from);
}

export const finalOutcomeOf = (record: EndedRecord, now: Now): FinalOutcome => ({
  stage: record.stage,
  at: Math.min(record.at ?? now.epochMs, now.epochMs),
});

export const finalOutcomeNow = (stage: FinalStage, now: Now): FinalOutcome => ({ stage, at: now.epochMs });

/** Awaited jobs whose records are to be read now; some at a time. */
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

export function settleDependencyQuery(
  state: CoreState,
  found: ReadonlyMap<string, EndedRecord | 'live' | 'none' | 'unknown'>,
  now: Now,
): void {
  state.pendingDependencyQuery = null;
  const { tickMs, workerLeaseMs } = state.config.timing;
  for (const [id, answer] of found) {
    if (typeof answer !== 'string') {
      recordFinalOutcome(state, id, finalOutcomeOf(answer, now));
      continue;
    }
    const question = state.unresolvedDependencies.get(id);
    if (question === undefined) continue;
    // One that the view shows by now tells of its end by itself.
    if (answer === 'live' && state.jobs.get(id)?.finalStage === null) state.unresolvedDependencies.delete(id);
    else question.notBefore = now.monotonicMs + (answer === 'none' ? workerLeaseMs : tickMs);
  }
}

/** Steady time up to which every cancellation has gone through its pipeline, as this leader sees it. */
export function resolvedUntil(state: CoreState): number {
  let until = state.leadership?.viewConfirmedAt ?? 0;
  for (const { since } of state.unresolvedDependencies.values()) until = Math.min(until, since);
  for (const since of state.cancelPending.values()) until = Math.min(until, since);
  return until;
}
