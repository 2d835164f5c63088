/**
 * Answers the heartbeats that workers, or followers in their place, wait for.
 *
 * A heartbeat of which the answer would carry a start waits for the commit of that start's claim. It is considered
 * again when a commit of its machine's tasks is settled, at a tick, and once it has waited the longest time
 * allowed; so the cost follows what has happened, not how many wait.
 */
import type { Effect } from './effects.js';
import { answerHeartbeat, awaitsCommit } from './fleet/worker-commands.js';
import { takePendingHeartbeat } from './fleet/pending-heartbeats.js';
import type { LiveClaim, Machine, Now } from './model.js';
import { chunkRange } from './persistence/chunks.js';
import { hasAuthority, type CoreState } from './state.js';

/** Answers the heartbeat that a machine waits with, if any, by "unable": the worker asks another controller. */
export function refuseHeartbeat(state: CoreState, machine: Machine, effects: Effect[]): void {
  const pending = takePendingHeartbeat(state, machine);
  if (pending !== null) effects.push({ kind: 'reply', reply: pending.reply, body: { kind: 'unable' } });
}

/** Has the pending heartbeat of a claim's machine considered again in this step. */
function reconsider(state: CoreState, claim: LiveClaim | undefined): void {
  const machine = claim && state.machines.get(claim.machine);
  if (machine !== undefined && machine.pendingHeartbeat !== null) state.answerable.push(machine);
}

/**
 * Has the heartbeats considered again that may wait for the commit under way: those of machines with tasks that it
 * tells of. Considering all that wait at every commit would cost commits times machines.
 */
export function reconsiderAwaitingCommit(state: CoreState): void {
  const { chunks = [], completing = [], cancelling = [] } = state.commit ?? {};
  for (const { job, chunk } of chunks) {
    const [first, end] = chunkRange(state, job, chunk);
    for (let task = first; task < end; task += 1) reconsider(state, job.claims.get(task));
  }
  for (const job of [...completing, ...cancelling])
    for (const claim of job.claims.values()) reconsider(state, claim);
}

/** Answers a machine's pending heartbeat unless it is better to wait for a commit. `isOverdue`: waits no longer. */
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

/** Answers the heartbeats that nothing holds up any more. `all`: every one that waits is considered. */
export function answerHeartbeats(state: CoreState, now: Now, all: boolean, effects: Effect[]): void {
  const toConsider = state.answerable.splice(0);
  for (const machine of all ? [...state.pendingHeartbeats] : toConsider)
    answerIfReady(state, machine, false, now, effects);
  // Pending heartbeats stand in the order of arrival: the first that may wait on ends the pass.
  for (const machine of state.pendingHeartbeats) {
    const { pendingHeartbeat } = machine;
    const waitedMs = pendingHeartbeat === null ? Infinity : now.monotonicMs - pendingHeartbeat.since;
    if (waitedMs < state.config.timing.maxReplyDelayMs) break;
    answerIfReady(state, machine, true, now, effects);
  }
}
