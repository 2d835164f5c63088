/** Applies a batch of commands to the scheduling state and returns the resulting effects. */
import { saveDemandHistory } from './autoscaling/demand-history.js';
import { scaleIn } from './autoscaling/scale-in.js';
import { scaleOut } from './autoscaling/scale-out.js';
import { applyCommand } from './command-handlers.js';
import type { Command, Effect } from './effects.js';
import { announceToken } from './fleet/token-announcement.js';
import { answerHeartbeats } from './heartbeat-answers.js';
import { nextDependencyQuery } from './jobs/dependencies.js';
import { log } from './log.js';
import type { Leadership, Now } from './model.js';
import { nextCommit } from './persistence/commit.js';
import { place } from './placement/easy.js';
import { sortQueue } from './placement/job-queue.js';
import { chooseGuaranteed } from './placement/team-quota.js';
import { chooseReserved } from './placement/starvation.js';
import { hasFreshView, type CoreState } from './state.js';

/** A new leader places tasks once this share of the machines that should be up has reported to it. */
const MIN_REPORTING_SHARE = 0.5;

/** Maximum number of machines named in the log line about unexpected machines. */
const MAX_LOGGED_MACHINES = 5;

/**
 * Whether enough machines have reported to a new leader for it to place tasks. If it used the first few alone, waiting
 * tasks would be placed on machines that neither hold their images nor suit their requests, and each pass would delay
 * the processing of further heartbeats. It places tasks in any case once `maxPlacementDelayMs` have passed.
 */
function hasEnoughHeartbeats(state: CoreState, { since }: Leadership, now: Now): boolean {
  if (now.monotonicMs >= since + state.config.policy.maxPlacementDelayMs) return true;
  const { health } = state;
  return (
    !state.isOverloaded &&
    health !== null &&
    health.running > 0 &&
    health.neverReported <= (1 - MIN_REPORTING_SHARE) * health.running
  );
}

/** Whether this step makes a pass over the queue. Each pass delays heartbeats, so an overloaded leader makes fewer. */
function isPassDue(state: CoreState, isTick: boolean, now: Now): boolean {
  if (isTick) return true;
  if (!state.isPlacementDue) return false;
  return !state.isOverloaded || now.monotonicMs - state.lastPlacementAt >= state.config.timing.tickMs / 2;
}

function placeWaitingJobs(state: CoreState, isTick: boolean, now: Now): void {
  state.isPlacementDue = false;
  state.lastPlacementAt = now.monotonicMs;
  if (isTick) {
    chooseGuaranteed(state);
    chooseReserved(state, now);
    sortQueue(state, now);
  }
  place(state, now, isTick);
}

/** Adds the next transaction and the next dependency query, if they are due. */
function requestStoreAccess(state: CoreState, now: Now, effects: Effect[]): void {
  const commit = nextCommit(state, now);
  if (commit !== null) effects.push(commit);
  const ids = nextDependencyQuery(state, now);
  if (ids !== null) effects.push({ kind: 'resolveDependencies', ids });
}

/** Announces to followers the machines that have come to need a command and were not sent it in this step. */
function announceAttention(state: CoreState, effects: Effect[]): void {
  if (state.newAttentionNames.length === 0) return;
  const machines = state.newAttentionNames.splice(0).filter((name) => {
    const machine = state.machines.get(name);
    return machine !== undefined && state.attention.has(machine);
  });
  if (machines.length > 0) effects.push({ kind: 'attention', machines });
}

function scale(state: CoreState, mayScaleOut: boolean, now: Now, effects: Effect[]): void {
  if (!hasFreshView(state) || state.leadership?.isTransferring === true) return;
  if (mayScaleOut && now.monotonicMs >= state.nextPlanAt) {
    state.nextPlanAt = now.monotonicMs + state.config.timing.maxHeartbeatIntervalMs;
    scaleOut(state, now, effects);
  }
  scaleIn(state, now, effects);
}

function logUnexpectedMachines(state: CoreState, effects: Effect[]): void {
  const unexpected = state.unexpectedMachines.splice(0);
  if (unexpected.length === 0) return;
  log(effects, 'unexpected machines reported', {
    machines: unexpected.length,
    first: unexpected.slice(0, MAX_LOGGED_MACHINES),
  });
}

/**
 * Applies a batch of commands, then does the work that is due: placing tasks, committing, answering heartbeats and, at
 * a tick, scaling. Changes `state` in place and returns the effects to be carried out, in order. Throws only on a bug
 * in the program; the caller then has to drop the state with the command `resign`.
 */
export function step(state: CoreState, commands: readonly Command[], now: Now): Effect[] {
  const effects: Effect[] = [];
  state.monotonicMs = now.monotonicMs;
  for (const command of commands) applyCommand(state, command, now, effects);
  const { leadership } = state;
  if (leadership === null) return effects;
  const isTick = commands.some(({ kind }) => kind === 'tick');
  const isReconciled = commands.some(({ kind }) => kind === 'reconciled');
  const mayPlace = leadership.isTransferring !== true && hasEnoughHeartbeats(state, leadership, now);
  if (mayPlace && isPassDue(state, isTick, now)) placeWaitingJobs(state, isTick, now);
  requestStoreAccess(state, now, effects);
  answerHeartbeats(state, now, isTick || isReconciled, effects);
  announceAttention(state, effects);
  if (!isTick) return effects;
  if (!state.isOverloaded) announceToken(state, now, effects);
  // Placement uses each machine as soon as it reports. A plan waits until every machine has had time to report: if
  // only half of them had, it would provision replacements for the others.
  const hadTimeToReport = now.monotonicMs >= leadership.since + state.config.timing.maxHeartbeatIntervalMs;
  scale(state, mayPlace && hadTimeToReport, now, effects);
  saveDemandHistory(state, now, effects);
  logUnexpectedMachines(state, effects);
  return effects;
}
