/**
 * Whether a machine hears what it is told. Its reports alone do not show that: where they arrive and
 * nothing comes back, it looks alive for ever, and takes task after task that it never learns of. And a
 * report may be a late copy of one that was sent long ago. Doubt costs a machine new work, nothing else;
 * what is on it is free on proof alone, as ever.
 */
import { taskKey, type Machine, type Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { Report } from '../types.js';

/** One that got its answer speaks again within so many of the longest times between two reports. */
const IN_RHYTHM = 1.25;
/** More doubted machines than this share are one event: the path to them, or this node. */
const MOST_DEAF = 0.3;

/** So many answers in a row that were missed are no chance. */
const MISSES = 2;

/** Remembers an answer. One that was given late may have been dropped for that: it says nothing. */
export function recordResponse(state: CoreState, machine: Machine, starts: readonly string[]): void {
  machine.answeredAt = state.busy ? null : state.mono;
  machine.told = state.busy ? [] : starts;
}

/** Whether a machine has not heard what it is told for so long that it is of no use. */
export const isUnresponsive = (
  state: CoreState,
  { unresponsiveSince, missedResponses }: Machine,
  now: Now,
): boolean =>
  !state.busy &&
  unresponsiveSince !== null &&
  missedResponses >= MISSES &&
  now.mono - unresponsiveSince > state.rules.timing.silence;

/** What a report that is newer than the latest says of the answers before it. */
export function observeResponse(state: CoreState, machine: Machine, report: Report, now: Now): void {
  const { longestReport, workerLease } = state.rules.timing;
  const { answeredAt, session, told } = machine;
  if (answeredAt === null) return;
  const since = now.mono - answeredAt;
  const listed = new Set(report.tasks.map(({ job, task, attempt }) => `${taskKey(job, task)}#${attempt}`));
  // It has one report under way at a time: this one was sent after the answer came, or was given up.
  const missed = report.session === session && told.some((start) => !listed.has(start));
  const heard = told.some((start) => listed.has(start));
  const expired = report.session > session && session > 0 && since < workerLease;
  if (heard || (!missed && !expired && since <= IN_RHYTHM * longestReport)) {
    machine.unresponsiveSince = null;
    machine.missedResponses = 0;
  } else if (missed || expired) {
    machine.unresponsiveSince ??= now.mono;
    machine.missedResponses += 1;
  }
  machine.told = [];
}

/**
 * Whether a report is a sign of life. One that carries an earlier token still, a whole lease after this
 * leader first heard the machine and answered it, is none: copies of old reports go on for as long as they
 * were late, and a worker that drops every answer has lost its tasks by now.
 */
export function isSignOfLife(state: CoreState, machine: Machine, whole: boolean, now: Now): boolean {
  const { metSince, answeredAt } = machine;
  return (
    whole || answeredAt === null || metSince === null || now.mono - metSince < state.rules.timing.workerLease
  );
}

/** Whether so many machines do not hear that it is no fault of theirs. */
export function isMassUnresponsive(state: CoreState): boolean {
  let known = 0;
  let deaf = 0;
  for (const { heardAt, leaving, unresponsiveSince } of state.machines.values()) {
    if (heardAt === null || leaving !== null) continue;
    known += 1;
    if (unresponsiveSince !== null) deaf += 1;
  }
  return deaf > 1 && deaf > MOST_DEAF * known;
}
