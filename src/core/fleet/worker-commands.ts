/** Answers to heartbeats: the commands to start, stop and forget tasks. */
import { refreshAttention } from '../attention.js';
import type { Effect } from '../effects.js';
import { isDone, isExitDurable, taskKey, type Leadership, type Machine } from '../model.js';
import { commandsWithinLimit } from '../message-sizes.js';
import { isClaimDurable, releaseClaim } from '../persistence/claims.js';
import { maySendStarts, type CoreState } from '../state.js';
import type { ReportedTask, WorkerCommand } from '../types.js';
import { takePendingHeartbeat } from './pending-heartbeats.js';
import { recordResponse } from './response-tracking.js';
import type { StartLease } from './start-lease.js';
import { attemptKey } from './task-reports.js';

/** Whether a start for this machine is still waiting for the commit of its claim. */
export function awaitsCommit(state: CoreState, machine: Machine): boolean {
  for (const claim of machine.claims.values()) {
    if (!claim.startSent && claim.job.finalStage === null && !isClaimDurable(state, claim)) return true;
  }
  return false;
}

/** The command for a task that the worker lists; null if it needs none. */
function commandForListed(machine: Machine, listed: ReportedTask): WorkerCommand | null {
  const { job, task, attempt, stage } = listed;
  if (stage === 'exited') {
    const exit = machine.exits.get(attemptKey(job, task, attempt));
    return exit !== undefined && isExitDurable(exit) ? { op: 'forget', job, task, attempt } : null;
  }
  const claim = machine.claims.get(taskKey(job, task));
  const isWanted =
    claim !== undefined &&
    claim.attempt === attempt &&
    claim.job.finalStage === null &&
    !isDone(claim.job, task);
  if (!isWanted) return { op: 'stop', job, task, attempt, graceS: 0 };
  if (claim.stopRequested && stage !== 'saving')
    return { op: 'stop', job, task, attempt, graceS: claim.job.spec.saveS };
  return null;
}

/** Adds starts for durable claims that are not listed yet; releases obsolete claims whose start was never sent. */
function addStarts(
  state: CoreState,
  machine: Machine,
  listed: ReadonlySet<string>,
  commands: WorkerCommand[],
): void {
  for (const [key, claim] of [...machine.claims]) {
    if (claim.agentEpoch !== machine.agentEpoch) continue;
    const { job, task, attempt } = claim;
    if (job.finalStage !== null || claim.stopRequested || isDone(job, task)) {
      // No leader has sent this start or will send it, so the task cannot be on the machine.
      if (!claim.startSent) releaseClaim(state, claim, false);
    } else if (!listed.has(key) && isClaimDurable(state, claim)) {
      commands.push({ op: 'start', job: job.spec.id, task, attempt });
    }
  }
}

/** The commands that the tasks of a machine's latest heartbeat and its claims require. */
function commandsFor(state: CoreState, machine: Machine): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  const listed = new Set<string>();
  for (const reported of machine.reportedTasks) {
    listed.add(taskKey(reported.job, reported.task));
    const command = commandForListed(machine, reported);
    if (command !== null) commands.push(command);
  }
  // A job may have been cancelled since the view of the jobs was read.
  if (machine.isReconciled && maySendStarts(state)) addStarts(state, machine, listed, commands);
  return commands;
}

/** Records that these commands are sent, before they leave the core. */
function recordSentStarts(machine: Machine, commands: readonly WorkerCommand[]): void {
  for (const { op, job, task } of commands) {
    const claim = op === 'start' ? machine.claims.get(taskKey(job, task)) : undefined;
    if (claim !== undefined) claim.startSent = true;
  }
}

/** The lease of starts that are decided on the leader's present view. */
const startLease = (state: CoreState, { viewConfirmedAt, viewRevision }: Leadership): StartLease => ({
  validUntil: viewConfirmedAt + state.config.timing.leaderLeaseMs,
  viewRevision,
});

/**
 * Answers a machine's pending heartbeat with its commands, as far as they fit into one message; the others are sent
 * with the answers to later heartbeats. Sends nothing if no heartbeat is pending, or without leadership.
 */
export function answerHeartbeat(state: CoreState, machine: Machine, effects: Effect[]): void {
  const leadership = state.leadership;
  const pending = takePendingHeartbeat(state, machine);
  if (pending === null || leadership === null) return;
  const required = commandsFor(state, machine);
  const commands = commandsWithinLimit(required);
  recordSentStarts(machine, commands);
  refreshAttention(state, machine, commands.length < required.length);
  const starts = commands.filter(({ op }) => op === 'start');
  recordResponse(
    state,
    machine,
    starts.map(({ job, task, attempt }) => attemptKey(job, task, attempt)),
  );
  effects.push({
    kind: 'reply',
    reply: pending.reply,
    body: {
      kind: 'commands',
      token: leadership.term,
      commands,
      ...(starts.length === 0 ? {} : { startLease: startLease(state, leadership) }),
    },
  });
}
