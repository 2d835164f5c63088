/**
 * Heartbeat processing: what a worker's heartbeat with status proves about its machine. A heartbeat ends a claim
 * only if it proves that the task is gone: it reports the task's exit, it begins a new agent epoch, or it is
 * authoritative (it carries this leader's token and does not answer a direct call) and does not list the task.
 */
import type { Effect } from '../effects.js';
import { log } from '../log.js';
import { isDone, taskKey, type LiveClaim, type Machine, type Now } from '../model.js';
import { reportedTaskBytes } from '../message-sizes.js';
import { releaseClaim } from '../persistence/claims.js';
import type { CoreState } from '../state.js';
import type { Heartbeat } from '../types.js';
import { dropAllImages } from './image-cache.js';
import { getOrCreateMachine } from './machines.js';
import { observeResponse, provesLiveness } from './response-tracking.js';
import { attemptKey, recordTaskExit, recordTaskStage } from './task-reports.js';

/** Whether a task no longer needs to run, regardless of what its worker reports. */
const isObsolete = ({ job, task, stopRequested }: LiveClaim): boolean =>
  job.finalStage !== null || stopRequested || isDone(job, task);

/**
 * Releases every claim of a machine whose task the heartbeat proves absent, and drops the exits that the worker no
 * longer lists. Within an agent epoch, only an authoritative heartbeat proves absence.
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
      // A worker begins a new agent epoch without any task of the previous one: it has killed them.
      releaseClaim(state, claim, false);
    } else if (isAuthoritative && !listed.has(`${key}#${claim.attempt}`)) {
      // This heartbeat is newer than any start sent, and no earlier leader's answer can
      // still be accepted: the task is not on the machine.
      if (claim.stage !== null || isObsolete(claim)) releaseClaim(state, claim, false);
    }
  }
  for (const name of [...machine.exits.keys()]) if (!listed.has(name)) machine.exits.delete(name);
}

/** Whether a heartbeat is newer than the latest one that was applied. */
const isNewer = (machine: Machine, { agentEpoch, sequence }: Heartbeat): boolean =>
  agentEpoch > machine.agentEpoch ||
  (agentEpoch === machine.agentEpoch && sequence > machine.heartbeatSequence);

/** Copies the machine's description from its first heartbeat; a record made from claims has no type or zone. */
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
  if (provesLiveness(state, machine, isAuthoritative, now)) {
    machine.lastHeartbeatAt = now.monotonicMs;
    machine.failedProbes = 0;
  }
  if (isAuthoritative && !machine.isReconciled) state.isPlacementDue = true;
  machine.isReconciled = isAuthoritative;
}

/**
 * Records that a machine has answered a direct call. Unless its lease has expired, another controller may be
 * answering its heartbeats, so it counts as relayed. Without this exception, a machine whose heartbeats reach no
 * controller would count as relayed for as long as it answers direct calls.
 */
function recordDirectAnswer(machine: Machine, hasNewEpoch: boolean, now: Now): void {
  machine.leaseExpired ||= hasNewEpoch;
  if (!machine.leaseExpired) machine.lastContactElsewhereAt = now.monotonicMs;
}

/** Records the cloud's notice that it will reclaim the machine. */
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

/** Bytes that the reported tasks without a claim take in the machine's heartbeat. */
function unclaimedHeartbeatBytes({ reportedTasks, claims }: Machine): number {
  let bytes = 0;
  for (const reported of reportedTasks)
    if (claims.get(taskKey(reported.job, reported.task))?.attempt !== reported.attempt)
      bytes += reportedTaskBytes(reported);
  return bytes;
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
 * Applies a heartbeat. `isDirectAnswer`: it is the answer to a direct call, and was not sent by the worker on
 * its own. Returns false, without any effect on the machine's state, if the machine has been terminated or the
 * heartbeat is not newer than the latest one.
 */
export function applyHeartbeat(
  state: CoreState,
  heartbeat: Heartbeat,
  now: Now,
  effects: Effect[],
  isDirectAnswer: boolean,
): boolean {
  if (state.terminatedMachines.has(heartbeat.machine)) return false;
  const isKnown = state.machines.has(heartbeat.machine);
  const machine = getOrCreateMachine(state, heartbeat.machine, now);
  if (!isNewer(machine, heartbeat)) return false;
  if (!isKnown) state.unexpectedMachines.push(heartbeat.machine);
  adoptDescription(state, machine, heartbeat, now);
  if (!isDirectAnswer) observeResponse(state, machine, heartbeat, now);
  const hasNewEpoch = heartbeat.agentEpoch > machine.agentEpoch && machine.agentEpoch > 0;
  if (hasNewEpoch) dropAllImages(state, machine);
  machine.address = heartbeat.address;
  machine.agentEpoch = heartbeat.agentEpoch;
  machine.heartbeatSequence = heartbeat.sequence;
  // The answer to a direct call may overtake a start that is still in flight in the
  // answer to a heartbeat, so only heartbeats prove that a task is absent.
  const isAuthoritative = !isDirectAnswer && heartbeat.token === (state.leadership?.term ?? 0);
  if (isDirectAnswer) recordDirectAnswer(machine, hasNewEpoch, now);
  else recordContact(state, machine, isAuthoritative, now);
  // A heartbeat with an earlier token may be a late duplicate with an outdated termination notice.
  if (
    heartbeat.terminationNoticeS !== null &&
    machine.reclaimedAt === null &&
    (isAuthoritative || isDirectAnswer)
  )
    recordTerminationNotice(state, machine, heartbeat.terminationNoticeS, now, effects);
  applyTaskReports(state, machine, heartbeat, now);
  releaseAbsentClaims(state, machine, heartbeat, isAuthoritative);
  machine.reportedTasks = heartbeat.tasks;
  machine.unclaimedHeartbeatBytes = unclaimedHeartbeatBytes(machine);
  state.changedMachines.add(machine);
  if (machine.claims.size > 0) machine.idleSince = now.monotonicMs;
  return true;
}
