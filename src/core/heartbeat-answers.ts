/**
 * Answers pending heartbeats, which workers have sent or followers have forwarded.
 *
 * A heartbeat whose answer would carry a start waits for the commit of that start's claim. It is checked again when
 * a commit of its machine's tasks is settled, at a tick, after a reconciliation, and once it has waited for the
 * maximum reply delay. Between ticks the cost thus depends on the number of changes, not of pending heartbeats.
 */
import type { Effect } from './effects.js';
import { answerHeartbeat, awaitsCommit } from './fleet/worker-commands.js';
import { takePendingHeartbeat } from './fleet/pending-heartbeats.js';
import type { LiveClaim, Machine, Now } from './model.js';
import { chunkRange } from './persistence/chunks.js';
import { hasAuthority, type CoreState } from './state.js';

/** Answers a machine's pending heartbeat, if any, with `unable`: the worker has to try another controller. */
export function refuseHeartbeat(state: CoreState, machine: Machine, effects: Effect[]): void {
  const pending = takePendingHeartbeat(state, machine);
  if (pending !== null) effects.push({ kind: 'reply', reply: pending.reply, body: { kind: 'unable' } });
}

/** Schedules the pending heartbeat of a claim's machine to be checked again in this step. */
function scheduleRecheck(state: CoreState, claim: LiveClaim | undefined): void {
  const machine = claim && state.machines.get(claim.machine);
  if (machine !== undefined && machine.pendingHeartbeat !== null) state.answerCandidates.push(machine);
}

/**
 * Schedules a check of the heartbeats that may wait for the commit in flight: those of machines with tasks that the
 * commit covers. The cost of checking every pending heartbeat at every commit would grow with
 * commits times machines.
 */
export function recheckAwaitingCommit(state: CoreState): void {
  const { chunks = [], completing = [], cancelling = [] } = state.commit ?? {};
  for (const { job, chunk } of chunks) {
    const [first, end] = chunkRange(state, job, chunk);
    for (let task = first; task < end; task += 1) scheduleRecheck(state, job.claims.get(task));
  }
  for (const job of [...completing, ...cancelling])
    for (const claim of job.claims.values()) scheduleRecheck(state, claim);
}

/**
 * Answers a machine's pending heartbeat unless it should wait for a commit. `isOverdue`: it has waited for the maximum
 * reply delay, and is answered in any case.
 */
function answerIfReady(
  state: CoreState,
  machine: Machine,
  isOverdue: boolean,
  now: Now,
  effects: Effect[],
): void {
  if (machine.pendingHeartbeat === null) return;
  if (!hasAuthority(state, now)) refuseHeartbeat(state, machine, effects);
  else if (isOverdue || !awaitsCommit(state, machine)) answerHeartbeat(state, machine, effects);
}

/**
 * Answers the pending heartbeats that need not wait any longer. `checkAll`: all of them are checked, not only those
 * scheduled for this step.
 */
export function answerHeartbeats(state: CoreState, now: Now, checkAll: boolean, effects: Effect[]): void {
  const toConsider = state.answerCandidates.splice(0);
  for (const machine of checkAll ? [...state.pendingHeartbeats] : toConsider)
    answerIfReady(state, machine, false, now, effects);
  // Pending heartbeats are in the order of arrival: the loop ends at the first that may wait longer.
  for (const machine of state.pendingHeartbeats) {
    const { pendingHeartbeat } = machine;
    const waitedMs = pendingHeartbeat === null ? Infinity : now.monotonicMs - pendingHeartbeat.since;
    if (waitedMs < state.config.timing.maxReplyDelayMs) break;
    answerIfReady(state, machine, true, now, effects);
  }
}
