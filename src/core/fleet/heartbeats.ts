/**
 * Heartbeat processing: what a worker's heartbeat with status proves about its machine. A claim ends on proof
 * alone: the worker reports the task's exit, or an authoritative heartbeat does not list it.
 */
import type { Effect } from '../effects.js';
import { log } from '../log.js';
import { isDone, taskKey, type LiveClaim, type Machine, type Now } from '../model.js';
import { releaseClaim } from '../persistence/claims.js';
import type { CoreState } from '../state.js';
import type { Heartbeat } from '../types.js';
import { dropAllImages } from './image-cache.js';
import { getOrCreateMachine } from './machines.js';
import { isSignOfLife, observeResponse } from './response-tracking.js';
import { attemptKey, recordTaskExit, recordTaskStage } from './task-reports.js';

/** Whether a task need not run any more, whatever its worker reports. */
const isObsolete = ({ job, task, stopRequested }: LiveClaim): boolean =>
  job.finalStage !== null || stopRequested || isDone(job, task);

/**
 * Releases every claim of a machine that the heartbeat proves absent, and forgets the exits that the worker
 * no longer lists. Only an authoritative heartbeat proves absence.
 */
function releaseAbsentClaims(
  state: CoreState,
  machine: Machine,
  heartbeat: Heartbeat,
  isAuthoritative: boolean,
): void {
  const listed = new Set<string>();
  for (const { job, task, attempt } of heartbeat.tasks) listed.add(attemptKey(job, task, attempt));
  for (const [key, claim] of [...machine.claims]) {
    if (claim.agentEpoch < heartbeat.agentEpoch) {
      // In a new epoch the worker has killed and forgotten all tasks of the one before.
      releaseClaim(state, claim, false);
    } else if (isAuthoritative && !listed.has(`${key}#${claim.attempt}`)) {
      // This heartbeat is newer than any start sent, and no earlier leader's response can
      // still be accepted: the task is not on the machine.
      if (claim.stage !== null || isObsolete(claim)) releaseClaim(state, claim, false);
    }
  }
  for (const name of [...machine.exits.keys()]) if (!listed.has(name)) machine.exits.delete(name);
}

/** Whether a heartbeat is newer than the latest one taken in. */
const isNewer = (machine: Machine, { agentEpoch, sequence }: Heartbeat): boolean =>
  agentEpoch > machine.agentEpoch ||
  (agentEpoch === machine.agentEpoch && sequence > machine.heartbeatSequence);

/** The first heartbeat describes its machine; a record made from claims alone has no type or zone. */
function adoptDescription(state: CoreState, machine: Machine, heartbeat: Heartbeat, now: Now): void {
  if (machine.lastHeartbeatAt !== null && machine.type !== '') return;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  machine.idleSince = now.monotonicMs;
  state.isPlacementDue = true;
}

/** Records that a machine has sent a heartbeat to this leader. */
function recordContact(state: CoreState, machine: Machine, isAuthoritative: boolean, now: Now): void {
  machine.leaseExpired = false;
  machine.firstHeartbeatAt ??= now.monotonicMs;
  if (isSignOfLife(state, machine, isAuthoritative, now)) {
    machine.lastHeartbeatAt = now.monotonicMs;
    machine.failedProbes = 0;
  }
  if (isAuthoritative && !machine.isReconciled) state.isPlacementDue = true;
  machine.isReconciled = isAuthoritative;
}

/**
 * Records that a machine has answered a direct command. It may be held by another controller then, unless
 * its lease has expired; one whose heartbeats reach no controller stays held for as long as it answers.
 */
function recordDirectAnswer(machine: Machine, hasRestarted: boolean, now: Now): void {
  machine.leaseExpired ||= hasRestarted;
  if (!machine.leaseExpired) machine.lastRelayedAt = now.monotonicMs;
}

/** Records the cloud's notice that it reclaims the machine. */
function recordTerminationNotice(
  state: CoreState,
  machine: Machine,
  noticeS: number,
  now: Now,
  effects: Effect[],
): void {
  machine.reclaimedAt = now.monotonicMs + noticeS * 1000;
  state.isPlacementDue = true;
  log(effects, 'machine reclaim announced', { machine: machine.name, inS: noticeS });
}

function applyTaskReports(state: CoreState, machine: Machine, heartbeat: Heartbeat, now: Now): void {
  for (const task of heartbeat.tasks) {
    if (task.stage === 'exited') {
      recordTaskExit(state, machine, task, now);
      continue;
    }
    const claim = machine.claims.get(taskKey(task.job, task.task));
    if (claim !== undefined && claim.attempt === task.attempt)
      recordTaskStage(state, machine, claim, task, now);
  }
}

/**
 * Takes in a heartbeat. `direct`: it came as the answer to a direct command, not from the worker itself.
 * Returns false if it is not newer than what is known; then it changes nothing.
 */
export function applyHeartbeat(
  state: CoreState,
  heartbeat: Heartbeat,
  now: Now,
  effects: Effect[],
  direct: boolean,
): boolean {
  if (state.terminatedMachines.has(heartbeat.machine)) return false;
  const isKnown = state.machines.has(heartbeat.machine);
  const machine = getOrCreateMachine(state, heartbeat.machine, now);
  if (!isNewer(machine, heartbeat)) return false;
  if (!isKnown) state.unexpected.push(heartbeat.machine);
  adoptDescription(state, machine, heartbeat, now);
  if (!direct) observeResponse(state, machine, heartbeat, now);
  const hasRestarted = heartbeat.agentEpoch > machine.agentEpoch && machine.agentEpoch > 0;
  if (hasRestarted) dropAllImages(state, machine);
  machine.address = heartbeat.address;
  machine.agentEpoch = heartbeat.agentEpoch;
  machine.heartbeatSequence = heartbeat.sequence;
  // The answer to a direct command may overtake a start that is still on its way in the
  // response to a heartbeat, so only heartbeats prove that something is absent.
  const isAuthoritative = !direct && heartbeat.token === (state.leadership?.term ?? 0);
  if (direct) recordDirectAnswer(machine, hasRestarted, now);
  else recordContact(state, machine, isAuthoritative, now);
  // A notice in a heartbeat with an earlier token may be as old as the heartbeat.
  if (heartbeat.terminationNoticeS !== null && machine.reclaimedAt === null && (isAuthoritative || direct))
    recordTerminationNotice(state, machine, heartbeat.terminationNoticeS, now, effects);
  applyTaskReports(state, machine, heartbeat, now);
  releaseAbsentClaims(state, machine, heartbeat, isAuthoritative);
  machine.reportedTasks = heartbeat.tasks;
  state.changedMachines.add(machine);
  if (machine.claims.size > 0) machine.idleSince = now.monotonicMs;
  return true;
}
