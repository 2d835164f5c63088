/**
 * Response tracking: whether a machine receives the answers to its heartbeats. In a one-way partition its
 * heartbeats arrive but the answers are lost: it looks alive, and would be assigned one task after another without
 * starting any. A heartbeat may also be a late duplicate of one sent long ago. An unresponsive machine gets no new
 * tasks, but its claims are still released only on proof that their tasks are gone.
 */
import type { Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { Heartbeat } from '../types.js';
import { attemptKey } from './task-reports.js';

/** A worker that received its answer sends its next heartbeat within this many maximum heartbeat intervals. */
const MAX_ANSWERED_INTERVALS = 1.25;
/** If more than this share of machines is unresponsive, the network or this node is at fault. */
const MAX_UNRESPONSIVE_SHARE = 0.3;
/** Consecutive missed answers before a machine is terminated; a single answer may be lost by chance. */
const MIN_MISSED_RESPONSES = 2;

/**
 * Records an answer to a machine, with the keys of the attempts that it starts. Answers of an overloaded leader are
 * not tracked: they may arrive after the worker's timeout, so a missed one is no evidence against the machine.
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

/** Determines from a new heartbeat whether the machine received the answer to its previous one. */
export function observeResponse(state: CoreState, machine: Machine, heartbeat: Heartbeat, now: Now): void {
  const { maxHeartbeatIntervalMs, workerLeaseMs } = state.config.timing;
  const { lastAnsweredAt, agentEpoch, unacknowledgedStarts } = machine;
  if (lastAnsweredAt === null) return;
  const sinceAnswerMs = now.monotonicMs - lastAnsweredAt;
  const listed = new Set(heartbeat.tasks.map(({ job, task, attempt }) => attemptKey(job, task, attempt)));
  // A worker sends one heartbeat at a time: it sent this one after it received that answer, or timed out.
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
 * Whether a heartbeat proves that its machine is alive. It does not if it still carries an earlier token although
 * this leader has answered the machine and received its first heartbeat a whole worker lease ago: it is a late
 * duplicate, or its worker receives no answers and has stopped its tasks by now.
 */
export function provesLiveness(
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

/** Whether so many machines are unresponsive that the fault is not theirs. */
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
