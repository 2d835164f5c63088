/** Begins, confirms and ends this controller's leadership in its scheduling state. */
import { restoreDemandHistory } from './autoscaling/demand-history.js';
import { forgetLeadership } from './create-state.js';
import type { CommandOf, Effect } from './effects.js';
import { getOrCreateMachine } from './fleet/machines.js';
import { refuseHeartbeat } from './heartbeat-answers.js';
import { log } from './log.js';
import type { Leadership, Now } from './model.js';
import { addJob } from './persistence/job-lifecycle.js';
import { loadChunks } from './persistence/load-chunks.js';
import type { CoreState } from './state.js';

function createLeadership(state: CoreState, command: CommandOf<'becomeLeader'>, now: Now): Leadership {
  return {
    term: command.term,
    modRevision: command.modRevision,
    since: now.monotonicMs,
    authorityUntil: command.viewConfirmedAt + state.config.timing.authorityWindowMs,
    viewConfirmedAt: command.viewConfirmedAt,
    viewRevision: command.viewRevision ?? 0,
    previousLeaderMayBeAlive: command.previousLeaderMayBeAlive ?? false,
    directCallBudget: { left: 0, at: now.monotonicMs },
  };
}

/**
 * Monotonic time, in milliseconds, from which a new leader may provision: the cloud's list may not show yet the
 * machines that the previous leader has provisioned. The leader of term 1 has no predecessor, so it need not wait.
 */
function firstProvisioningAt(state: CoreState, term: number, now: Now): number {
  const waitMs = term === 1 ? 0 : 2 * state.config.timing.maxHeartbeatIntervalMs;
  return now.monotonicMs + waitMs;
}

/** Begins a leadership with the records of the key-value store; the state of any earlier leadership is dropped. */
export function becomeLeader(
  state: CoreState,
  command: CommandOf<'becomeLeader'>,
  now: Now,
  effects: Effect[],
): void {
  forgetLeadership(state);
  state.leadership = createLeadership(state, command, now);
  state.layout = command.layout;
  state.legacyChunkTasks = command.legacyChunkTasks;
  for (const [zone, since] of command.silentZones ?? []) state.silentZones.set(zone, since);
  state.writeBudget.at = now.monotonicMs;
  state.nextRequestNumber = 1;
  state.provisionNotBefore = firstProvisioningAt(state, command.term, now);
  // Jobs are added in the order of arrival, so that each comes after the jobs that it depends on.
  const byArrival = [...command.jobs].sort((a, b) => a.modRevision - b.modRevision);
  for (const job of byArrival) addJob(state, job);
  loadChunks(state, command.chunks, now, (name) => getOrCreateMachine(state, name, now));
  restoreDemandHistory(state, command.demandHistory, now);
  state.isPlacementDue = true;
  log(effects, 'leader state loaded', {
    term: command.term,
    jobs: command.jobs.length,
    chunks: command.chunks.length,
  });
}

/**
 * Applies a read, sent at `sentAt` (monotonic time in milliseconds), that confirmed the leader's view of the jobs up to
 * a revision of the key-value store.
 */
export function confirmView(state: CoreState, sentAt: number, revision: number): void {
  const { leadership } = state;
  if (leadership === null) return;
  const authorityUntil = sentAt + state.config.timing.authorityWindowMs;
  leadership.authorityUntil = Math.max(leadership.authorityUntil, authorityUntil);
  leadership.viewConfirmedAt = Math.max(leadership.viewConfirmedAt, sentAt);
  leadership.viewRevision = Math.max(leadership.viewRevision, revision);
}

/** Promises that no start leaves this controller on a view that does not cover a revision of the key-value store. */
export function fenceStarts(state: CoreState, revision: number, effects: Effect[]): void {
  state.startFence = Math.max(state.startFence, revision);
  effects.push({ kind: 'startsFenced', revision: state.startFence });
}

/** Ends the leadership, if there is one: pending heartbeats are refused, and the leader's state is dropped. */
export function resign(state: CoreState, reason: string, effects: Effect[]): void {
  if (state.leadership === null) return;
  for (const machine of [...state.pendingHeartbeats]) refuseHeartbeat(state, machine, effects);
  forgetLeadership(state);
  effects.push({ kind: 'steppedDown', reason });
}

/** Resigns if `observer` has seen a higher fencing token than this leader's: a later leader has been elected. */
export function resignIfSuperseded(
  state: CoreState,
  observer: string,
  token: number,
  effects: Effect[],
): void {
  if (state.leadership !== null && token > state.leadership.term)
    resign(state, `${observer} has seen token ${token}`, effects);
}
