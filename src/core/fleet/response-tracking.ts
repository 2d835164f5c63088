/**
 * Whether a machine hears what it is told. Its reports alone do not show that: where they arrive and
 * nothing comes back, it looks alive for ever, and takes task after task that it never learns of. And a
 * report may be a late copy of one that was sent long ago. Doubt costs a machine new work, nothing else;
 * what is on it is free on proof alone, as ever.
 */
import { taskKey, type Machine, type Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { Heartbeat } from '../types.js';

/** One that got its answer speaks again within so many of the longest times between two reports. */
const IN_RHYTHM = 1.25;
/** More doubted machines than this share are one event: the path to them, or this node. */
const MOST_DEAF = 0.3;

/** So many answers in a row that were missed are no chance. */
const MISSES = 2;

/** Remembers an answer. One that was given late may have been dropped for that: it says nothing. */
export function recordResponse(state: CoreState, machine: Machine, starts: readonly string[]): void {
  machine.lastAnsweredAt = state.isOverloaded ? null : state.monotonicMs;
  machine.unacknowledgedStarts = state.isOverloaded ? [] : starts;
}

/** Whether a machine has not heard what it is told for so long that it is of no use. */
export const isUnresponsive = (
  state: CoreState,
  { unresponsiveSince, missedResponses }: Machine,
  now: Now,
): boolean =>
  !state.isOverloaded &&
  unresponsiveSince !== null &&
  missedResponses >= MISSES &&
  now.monotonicMs - unresponsiveSince > state.config.timing.silenceTimeoutMs;

/** What a report that is newer than the latest says of the answers before it. */
export function observeResponse(state: CoreState, machine: Machine, report: Heartbeat, now: Now): void {
  const { maxHeartbeatIntervalMs, workerLeaseMs } = state.config.timing;
  const { lastAnsweredAt, agentEpoch, unacknowledgedStarts } = machine;
  if (lastAnsweredAt === null) return;
  const since = now.monotonicMs - lastAnsweredAt;
  const listed = new Set(report.tasks.map(({ job, task, attempt }) => `${taskKey(job, task)}#${attempt}`));
  // It has one report under way at a time: this one was sent after the answer came, or was given up.
  const missed = report.agentEpoch === agentEpoch && unacknowledgedStarts.some((start) => !listed.has(start));
  const heard = unacknowledgedStarts.some((start) => listed.has(start));
  const expired = report.agentEpoch > agentEpoch && agentEpoch > 0 && since < workerLeaseMs;
  if (heard || (!missed && !expired && since <= IN_RHYTHM * maxHeartbeatIntervalMs)) {
    machine.unresponsiveSince = null;
    machine.missedResponses = 0;
  } else if (missed || expired) {
    machine.unresponsiveSince ??= now.monotonicMs;
    machine.missedResponses += 1;
  }
  machine.unacknowledgedStarts = [];
}

/**
 * Whether a report is a sign of life. One that carries an earlier token still, a whole lease after this
 * leader first heard the machine and answered it, is none: copies of old reports go on for as long as they
 * were late, and a worker that drops every answer has lost its tasks by now.
 */
export function isSignOfLife(state: CoreState, machine: Machine, whole: boolean, now: Now): boolean {
  const { firstHeartbeatAt, lastAnsweredAt } = machine;
  return (
    whole ||
    lastAnsweredAt === null ||
    firstHeartbeatAt === null ||
    now.monotonicMs - firstHeartbeatAt < state.config.timing.workerLeaseMs
  );
}

/** Whether so many machines do not hear that it is no fault of theirs. */
export function isMassUnresponsive(state: CoreState): boolean {
  let known = 0;
  let deaf = 0;
  for (const { lastHeartbeatAt, terminationReason, unresponsiveSince } of state.machines.values()) {
    if (lastHeartbeatAt === null || terminationReason !== null) continue;
    known += 1;
    if (unresponsiveSince !== null) deaf += 1;
  }
  return deaf > 1 && deaf > MOST_DEAF * known;
}
