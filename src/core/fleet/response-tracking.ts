/**
 * Response tracking: whether a machine receives the answers to its heartbeats. In a one-way partition its
 * heartbeats arrive and nothing gets back: it looks alive, and would be given task after task that it never
 * starts. A heartbeat may also be a late copy of one sent long ago. An unresponsive machine only gets no new
 * work; its claims still end on proof alone.
 */
import type { Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { Heartbeat } from '../types.js';
import { attemptKey } from './task-reports.js';

/** A worker that got its answer sends the next heartbeat within so many of the longest heartbeat intervals. */
const MAX_ANSWERED_INTERVALS = 1.25;
/** If more than this share of machines is unresponsive, the network or this node is at fault. */
const MAX_UNRESPONSIVE_SHARE = 0.3;
/** Answers in a row that must be missed before a machine is given up; a single one may be lost by chance. */
const MIN_MISSED_RESPONSES = 2;

/**
 * Records an answer to a machine, with the keys of the attempts that it starts. An answer of an overloaded
 * leader may come after the worker's timeout: whether it is received says nothing.
 */
export function recordResponse(state: CoreState, machine: Machine, starts: readonly string[]): void {
  machine.lastAnsweredAt = state.isOverloaded ? null : state.monotonicMs;
  machine.unacknowledgedStarts = state.isOverloaded ? [] : starts;
}

/** Whether a machine has missed its answers for longer than the silence timeout. */
export const isUnresponsive = (
  state: CoreState,
  { unresponsiveSince, missedResponses }: Machine,
  now: Now,
): boolean =>
  !state.isOverloaded &&
  unresponsiveSince !== null &&
  missedResponses >= MIN_MISSED_RESPONSES &&
  now.monotonicMs - unresponsiveSince > state.config.timing.silenceTimeoutMs;

/** Concludes from a heartbeat newer than the latest one whether the answer before it was received. */
export function observeResponse(state: CoreState, machine: Machine, heartbeat: Heartbeat, now: Now): void {
  const { maxHeartbeatIntervalMs, workerLeaseMs } = state.config.timing;
  const { lastAnsweredAt, agentEpoch, unacknowledgedStarts } = machine;
  if (lastAnsweredAt === null) return;
  const sinceAnswerMs = now.monotonicMs - lastAnsweredAt;
  const listed = new Set(heartbeat.tasks.map(({ job, task, attempt }) => attemptKey(job, task, attempt)));
  // A worker has one heartbeat under way at a time: this one was sent after the answer came, or was given up.
  const hasMissedStart =
    heartbeat.agentEpoch === agentEpoch && unacknowledgedStarts.some((start) => !listed.has(start));
  const hasReceivedStart = unacknowledgedStarts.some((start) => listed.has(start));
  const hasLostLease = heartbeat.agentEpoch > agentEpoch && agentEpoch > 0 && sinceAnswerMs < workerLeaseMs;
  const isOnTime = sinceAnswerMs <= MAX_ANSWERED_INTERVALS * maxHeartbeatIntervalMs;
  if (hasReceivedStart || (!hasMissedStart && !hasLostLease && isOnTime)) {
    machine.unresponsiveSince = null;
    machine.missedResponses = 0;
  } else if (hasMissedStart || hasLostLease) {
    machine.unresponsiveSince ??= now.monotonicMs;
    machine.missedResponses += 1;
  }
  machine.unacknowledgedStarts = [];
}

/**
 * Whether a heartbeat is a sign of life. One that still carries an earlier token, a whole lease after this
 * leader first answered the machine, is none: it is a late copy, or its worker receives no answers and has
 * stopped its tasks by now.
 */
export function isSignOfLife(
  state: CoreState,
  machine: Machine,
  isAuthoritative: boolean,
  now: Now,
): boolean {
  const { firstHeartbeatAt, lastAnsweredAt } = machine;
  return (
    isAuthoritative ||
    lastAnsweredAt === null ||
    firstHeartbeatAt === null ||
    now.monotonicMs - firstHeartbeatAt < state.config.timing.workerLeaseMs
  );
}

/** Whether so many machines miss their answers that the fault is not theirs. */
export function isMassUnresponsive(state: CoreState): boolean {
  let known = 0;
  let unresponsive = 0;
  for (const { lastHeartbeatAt, terminationReason, unresponsiveSince } of state.machines.values()) {
    if (lastHeartbeatAt === null || terminationReason !== null) continue;
    known += 1;
    if (unresponsiveSince !== null) unresponsive += 1;
  }
  return unresponsive > 1 && unresponsive > MAX_UNRESPONSIVE_SHARE * known;
}
