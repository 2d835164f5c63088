/** The answer to a heartbeat: which tasks its worker is to start, stop and forget. */
import { settleAttention } from '../attention.js';
import type { Effect } from '../effects.js';
import { isDone, isExitDurable, taskKey, type Machine } from '../model.js';
import { isDurable, releaseClaim } from '../persistence/claims.js';
import { hasFreshView, type CoreState } from '../state.js';
import type { ReportedTask, WorkerCommand } from '../types.js';
import { takePendingHeartbeat } from './pending-heartbeats.js';
import { recordResponse } from './response-tracking.js';
import { attemptKey } from './task-reports.js';

/** Whether some start for this machine is still waiting to be committed. */
export function awaitsCommit(state: CoreState, machine: Machine): boolean {
  for (const claim of machine.claims.values()) {
    if (!claim.startSent && claim.job.finalStage === null && !isDurable(state, claim)) return true;
  }
  return false;
}

/** The command about a task that the worker lists; null: there is none. */
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

/** Adds the starts of claims that are durable and not listed yet; drops unsent claims that are obsolete. */
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
      // No leader has sent its start, and none will.
      if (!claim.startSent) releaseClaim(state, claim, false);
    } else if (!listed.has(key) && isDurable(state, claim)) {
      claim.startSent = true;
      commands.push({ op: 'start', job: job.spec.id, task, attempt });
    }
  }
}

/** The commands for a worker in answer to the heartbeat last taken in. */
function commandsFor(state: CoreState, machine: Machine): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  const listed = new Set<string>();
  for (const reported of machine.reportedTasks) {
    listed.add(taskKey(reported.job, reported.task));
    const command = commandForListed(machine, reported);
    if (command !== null) commands.push(command);
  }
  // A job may have been cancelled since a view that is not fresh was read: nothing is started from one.
  if (machine.isReconciled && hasFreshView(state)) addStarts(state, machine, listed, commands);
  return commands;
}

/** Answers a machine's open heartbeat with its commands; does nothing if there is none, or no leadership. */
export function answerHeartbeat(state: CoreState, machine: Machine, effects: Effect[]): void {
  const lead = state.leadership;
  const pending = takePendingHeartbeat(state, machine);
  if (pending === null || lead === null) return;
  const commands = commandsFor(state, machine);
  settleAttention(state, machine);
  const starts = commands.filter(({ op }) => op === 'start');
  recordResponse(
    state,
    machine,
    starts.map(({ job, task, attempt }) => attemptKey(job, task, attempt)),
  );
  effects.push({
    kind: 'reply',
    reply: pending.reply,
    body: { kind: 'commands', token: lead.term, commands },
  });
}
