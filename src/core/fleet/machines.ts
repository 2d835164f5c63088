/** Machines: what their reports prove, what they are told, and when they are given up. */
import { losesObjectiveWithin } from '../jobs/objectives.js';
import { needAttention, settleAttention } from '../attention.js';
import type { Effect } from '../effects.js';
import { recordTaskFailure, recordTaskSuccess } from './fault-attribution.js';
import {
  isUnresponsive,
  isMassUnresponsive,
  isSignOfLife,
  recordResponse,
  observeResponse,
} from './response-tracking.js';
import { expectedRun } from '../jobs/jobs.js';
import { isDurable, recordUnclaimedCompletion, releaseClaim } from '../persistence/claims.js';
import { MAX_TRACKED_MACHINES } from '../limits.js';
import { log } from '../log.js';
import { isHanging, isUnreachable, probeIfOverdue } from './probes.js';
import { summarizeHealth } from './health-summary.js';
import { noResources } from '../placement/resources.js';
import {
  isDone,
  isExitDurable,
  taskKey,
  type Leadership,
  type LiveClaim,
  type Machine,
  type Now,
} from '../model.js';
import { hasFreshView, type CoreState } from '../state.js';
import type { ListedMachine, Heartbeat, ReportedTask, WorkerCommand } from '../types.js';

export function getOrCreateMachine(state: CoreState, name: string, now: Now): Machine {
  const known = state.machines.get(name);
  if (known !== undefined) return known;
  const machine: Machine = {
    name,
    address: '',
    type: '',
    zone: '',
    spot: true,
    provisionedAt: now.monotonicMs,
    agentEpoch: 0,
    heartbeatSequence: 0,
    lastHeartbeatAt: null,
    firstHeartbeatAt: null,
    lastAnsweredAt: null,
    unacknowledgedStarts: [],
    unresponsiveSince: null,
    missedResponses: 0,
    lastRelayedAt: null,
    leaseExpired: false,
    discoveredAt: now.monotonicMs,
    isReconciled: false,
    reclaimedAt: null,
    cloudStage: null,
    claims: new Map(),
    allocated: noResources(),
    discoveryOrder: state.nextMachine++,
    exits: new Map(),
    reportedTasks: [],
    cachedImages: new Map(),
    idleSince: now.monotonicMs,
    failedJobs: new Set(),
    terminationReason: null,
    terminationRequestedAt: null,
    pendingHeartbeat: null,
    tokenSentAt: null,
    isProbing: false,
    failedProbes: 0,
    lastReachableAt: null,
  };
  state.machines.set(name, machine);
  return machine;
}

/** Keeps a report until it is answered. */
export function holdHeartbeat(state: CoreState, machine: Machine, reply: number, now: Now): void {
  machine.pendingHeartbeat = { reply, since: now.monotonicMs };
  state.pendingHeartbeats.add(machine);
  state.answerable.push(machine);
}

/** The report that waits for an answer, which the caller gives now; null if there is none. */
export function takePendingHeartbeat(state: CoreState, machine: Machine): Machine['pendingHeartbeat'] {
  const { pendingHeartbeat } = machine;
  machine.pendingHeartbeat = null;
  state.pendingHeartbeats.delete(machine);
  return pendingHeartbeat;
}

export function markForTermination(machine: Machine, reason: string): void {
  machine.terminationReason ??= reason;
}

/** Whether new tasks may be put on a machine now. */
export function isSchedulable(state: CoreState, machine: Machine, now: Now): boolean {
  return (
    machine.isReconciled &&
    machine.terminationReason === null &&
    machine.unresponsiveSince === null &&
    machine.reclaimedAt === null &&
    machine.lastHeartbeatAt !== null &&
    now.monotonicMs - machine.lastHeartbeatAt < 2 * state.config.timing.maxHeartbeatIntervalMs &&
    state.machineTypes.has(machine.type)
  );
}

function dropImage(state: CoreState, machine: Machine, image: string): void {
  machine.cachedImages.delete(image);
  const holders = state.machinesByImage.get(image);
  holders?.delete(machine);
  if (holders?.size === 0) state.machinesByImage.delete(image);
}

function dropImages(state: CoreState, machine: Machine): void {
  for (const image of [...machine.cachedImages.keys()]) dropImage(state, machine, image);
}

/** Remembers that a machine holds an image, dropping the least recently used. */
function useImage(state: CoreState, machine: Machine, image: string, gb: number): void {
  machine.cachedImages.delete(image);
  machine.cachedImages.set(image, gb);
  const holders = state.machinesByImage.get(image);
  if (holders === undefined) state.machinesByImage.set(image, new Set([machine]));
  else holders.add(machine);
  const room = state.machineTypes.get(machine.type)?.cacheGb ?? 0;
  let held = 0;
  for (const size of machine.cachedImages.values()) held += size;
  for (const [oldest, size] of machine.cachedImages) {
    if (held <= room || oldest === image) break;
    dropImage(state, machine, oldest);
    held -= size;
  }
}

function noteExit(state: CoreState, machine: Machine, claim: LiveClaim, task: ReportedTask, now: Now): void {
  const { job } = claim;
  switch (task.exit) {
    case 'done': {
      recordTaskSuccess(state, machine, job);
      if (claim.runningSince !== null && job.spec.estimateS > 0) {
        const ratio = (now.monotonicMs - claim.runningSince) / (job.spec.estimateS * 1000);
        const seen = state.runTimeRatio.get(job.spec.jobClass) ?? 1;
        state.runTimeRatio.set(job.spec.jobClass, seen + (Math.min(4, ratio) - seen) / 16);
      }
      break;
    }
    case 'error':
      recordTaskFailure(state, machine, job, now);
      break;
    case 'no_room':
    case 'busy':
    case 'unknown':
      job.retryAt = Math.max(job.retryAt, now.monotonicMs + state.config.timing.maxHeartbeatIntervalMs);
      break;
    default:
      break;
  }
}

function takeExit(state: CoreState, machine: Machine, task: ReportedTask, now: Now): void {
  const key = taskKey(task.job, task.task);
  const name = `${key}#${task.attempt}`;
  if (machine.exits.has(name)) return;
  const claim = machine.claims.get(key);
  const job = state.jobs.get(task.job) ?? null;
  if (claim !== undefined && claim.attempt === task.attempt) {
    noteExit(state, machine, claim, task, now);
    const chunk = releaseClaim(state, claim, task.exit === 'done');
    machine.exits.set(name, { job, chunk, version: chunk.version });
  } else if (job !== null && job.finalStage === null && task.exit === 'done' && !isDone(job, task.task)) {
    // Its result is kept, whoever started it.
    const chunk = recordUnclaimedCompletion(state, job, task.task);
    machine.exits.set(name, { job, chunk, version: chunk.version });
  } else {
    machine.exits.set(name, { job: null, chunk: null, version: 0 });
  }
}

function noteStage(state: CoreState, machine: Machine, claim: LiveClaim, task: ReportedTask, now: Now): void {
  const { spec } = claim.job;
  if (claim.stage !== task.stage) {
    if (claim.stage === 'running') claim.job.runningCount -= 1;
    if (task.stage === 'running') claim.job.runningCount += 1;
    claim.stage = task.stage;
    if (task.stage === 'running' && claim.runningSince === null) {
      claim.runningSince = now.monotonicMs;
      claim.expectedEnd = now.monotonicMs + expectedRun(state, spec);
      useImage(state, machine, spec.image, spec.imageGb);
    }
  }
  claim.startSent = true;
}

/** Drops from a machine every claim of which there is proof that it is not there. */
function applyProof(state: CoreState, machine: Machine, report: Heartbeat, whole: boolean): void {
  const listed = new Set<string>();
  for (const task of report.tasks) listed.add(`${taskKey(task.job, task.task)}#${task.attempt}`);
  for (const [key, claim] of [...machine.claims]) {
    if (claim.agentEpoch < report.agentEpoch) {
      // A new session: the worker has killed and forgotten all of the one before.
      releaseClaim(state, claim, false);
    } else if (whole && !listed.has(`${key}#${claim.attempt}`)) {
      // This report is newer than any start sent, and no older leader's response can
      // still be accepted: the task is not on the machine.
      const pointless = claim.job.finalStage !== null || claim.stopRequested || isDone(claim.job, claim.task);
      if (claim.stage !== null || pointless) releaseClaim(state, claim, false);
    }
  }
  for (const name of [...machine.exits.keys()]) if (!listed.has(name)) machine.exits.delete(name);
}

/** Takes in a report. False: it is not newer than what is known and changes nothing. */
export function applyHeartbeat(
  state: CoreState,
  report: Heartbeat,
  now: Now,
  effects: Effect[],
  direct: boolean,
): boolean {
  if (state.terminatedMachines.has(report.machine)) return false;
  const known = state.machines.has(report.machine);
  const machine = getOrCreateMachine(state, report.machine, now);
  if (report.agentEpoch < machine.agentEpoch) return false;
  if (report.agentEpoch === machine.agentEpoch && report.sequence <= machine.heartbeatSequence) return false;
  if (!known) state.unexpected.push(report.machine);
  if (machine.lastHeartbeatAt === null || machine.type === '') {
    machine.type = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
    machine.idleSince = now.monotonicMs;
    state.isPlacementDue = true;
  }
  if (!direct) observeResponse(state, machine, report, now);
  const expired = report.agentEpoch > machine.agentEpoch && machine.agentEpoch > 0;
  if (expired) dropImages(state, machine);
  machine.address = report.address;
  machine.agentEpoch = report.agentEpoch;
  machine.heartbeatSequence = report.sequence;
  const token = state.leadership?.term ?? 0;
  // The answer to a direct command may overtake a start that is still on its way in
  // the response to a report, so only reports prove that something is absent.
  const whole = !direct && report.token === token;
  // It answers us, whoever hears its reports: another controller may be holding it, unless its lease
  // runs out. One that reached no controller was kept for as long as it answered.
  if (direct) {
    machine.leaseExpired ||= expired;
    if (!machine.leaseExpired) machine.lastRelayedAt = now.monotonicMs;
  } else {
    machine.leaseExpired = false;
    machine.firstHeartbeatAt ??= now.monotonicMs;
    if (isSignOfLife(state, machine, whole, now)) {
      machine.lastHeartbeatAt = now.monotonicMs;
      machine.failedProbes = 0;
    }
    if (whole && !machine.isReconciled) state.isPlacementDue = true;
    machine.isReconciled = whole;
  }
  // Of an old report, a notice may be old as well.
  if (report.terminationNoticeS !== null && machine.reclaimedAt === null && (whole || direct)) {
    machine.reclaimedAt = now.monotonicMs + report.terminationNoticeS * 1000;
    state.isPlacementDue = true;
    log(effects, 'machine will be taken', { machine: machine.name, inS: report.terminationNoticeS });
  }
  for (const task of report.tasks) {
    if (task.stage === 'exited') {
      takeExit(state, machine, task, now);
      continue;
    }
    const claim = machine.claims.get(taskKey(task.job, task.task));
    if (claim !== undefined && claim.attempt === task.attempt) noteStage(state, machine, claim, task, now);
  }
  applyProof(state, machine, report, whole);
  machine.reportedTasks = report.tasks;
  state.changedMachines.add(machine);
  if (machine.claims.size > 0) machine.idleSince = now.monotonicMs;
  return true;
}

/** Whether some start for this machine is still waiting to be committed. */
export function awaitsCommit(state: CoreState, machine: Machine): boolean {
  for (const claim of machine.claims.values()) {
    if (!claim.startSent && claim.job.finalStage === null && !isDurable(state, claim)) return true;
  }
  return false;
}

/** What a worker is told in answer to the report just taken in. */
export function commandsFor(state: CoreState, machine: Machine): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  const listed = new Set<string>();
  for (const { job, task, attempt, stage } of machine.reportedTasks) {
    const key = taskKey(job, task);
    listed.add(key);
    if (stage === 'exited') {
      const exit = machine.exits.get(`${key}#${attempt}`);
      if (exit !== undefined && isExitDurable(exit)) commands.push({ op: 'forget', job, task, attempt });
      continue;
    }
    const claim = machine.claims.get(key);
    if (
      claim === undefined ||
      claim.attempt !== attempt ||
      claim.job.finalStage !== null ||
      isDone(claim.job, task)
    ) {
      commands.push({ op: 'stop', job, task, attempt, graceS: 0 });
    } else if (claim.stopRequested && stage !== 'saving') {
      commands.push({ op: 'stop', job, task, attempt, graceS: claim.job.spec.saveS });
    }
  }
  // A job of the view may have been cancelled since: nothing is started by one that is not fresh.
  if (!machine.isReconciled || !hasFreshView(state)) return commands;
  for (const [key, claim] of [...machine.claims]) {
    if (claim.agentEpoch !== machine.agentEpoch) continue;
    const { job, task, attempt } = claim;
    if (job.finalStage !== null || claim.stopRequested || isDone(job, task)) {
      // Never sent by anyone, and now never to be.
      if (!claim.startSent) releaseClaim(state, claim, false);
    } else if (!listed.has(key) && isDurable(state, claim)) {
      claim.startSent = true;
      commands.push({ op: 'start', job: job.spec.id, task, attempt });
    }
  }
  return commands;
}

export function answerHeartbeat(state: CoreState, machine: Machine, effects: Effect[]): void {
  const lead = state.leadership;
  const held = takePendingHeartbeat(state, machine);
  if (held === null || lead === null) return;
  const commands = commandsFor(state, machine);
  settleAttention(state, machine);
  const starts = commands.filter(({ op }) => op === 'start');
  recordResponse(
    state,
    machine,
    starts.map(({ job, task, attempt }) => `${taskKey(job, task)}#${attempt}`),
  );
  effects.push({
    kind: 'reply',
    reply: held.reply,
    body: { kind: 'commands', token: lead.term, commands },
  });
}

/** The cloud has confirmed that these machines, and all that was on them, are gone. */
export function removeTerminated(state: CoreState, names: readonly string[], effects: Effect[]): void {
  for (const name of names) {
    state.terminatedMachines.add(name);
    const machine = state.machines.get(name);
    if (machine === undefined) continue;
    for (const claim of [...machine.claims.values()]) releaseClaim(state, claim, false);
    const held = takePendingHeartbeat(state, machine);
    if (held !== null) effects.push({ kind: 'reply', reply: held.reply, body: { kind: 'unable' } });
    dropImages(state, machine);
    state.machines.delete(name);
    state.attention.delete(machine);
    state.changedMachines.add(machine);
    state.isPlacementDue = true;
  }
  for (const oldest of state.terminatedMachines) {
    if (state.terminatedMachines.size <= MAX_TRACKED_MACHINES) break;
    state.terminatedMachines.delete(oldest);
  }
}

/** Machines in the cloud's list that nobody here knew are taken on. */
export function applyListing(
  state: CoreState,
  listed: readonly ListedMachine[],
  now: Now,
  effects: Effect[],
): void {
  const taken: string[] = [];
  for (const entry of listed) {
    if (state.terminatedMachines.has(entry.name)) continue;
    const known = state.machines.has(entry.name);
    const machine = getOrCreateMachine(state, entry.name, now);
    // A new leader hears machines before it sees them listed, and their age with them.
    machine.provisionedAt = Math.min(machine.provisionedAt, now.monotonicMs - entry.ageS * 1000);
    if (!known) taken.push(entry.name);
    if (machine.type === '') {
      machine.type = entry.type;
      machine.zone = entry.zone;
      machine.spot = entry.spot;
      state.isPlacementDue = true;
    }
    if (machine.address === '') machine.address = entry.address;
    machine.cloudStage = entry.stage;
    if (entry.stage === 'failed') markForTermination(machine, 'failed');
  }
  // One line an event: a takeover wrote hundreds.
  if (taken.length > 0)
    log(effects, 'machines taken on from the list', { machines: taken.length, first: taken.slice(0, 5) });
}

/** The session to show a machine this leader's token in; a wrong guess is answered with the right one. */
function sessionOf(machine: Machine): number {
  if (machine.agentEpoch > 0) return machine.agentEpoch;
  for (const { agentEpoch } of machine.claims.values()) return agentEpoch;
  return 1;
}

/** Of the calls within a report's time, so many go out at once after a leader that may be alive still. */
const SCOUTS = 0.25;

/** How many machines may be called now: a few at a time, for each costs a connection. */
function callsLeft(state: CoreState, lead: Leadership, now: Now): Leadership['directCallBudget'] {
  const { timing, maxDirectCallsPerInterval } = state.config;
  const { directCallBudget } = lead;
  const settled = now.monotonicMs - lead.since > timing.maxHeartbeatIntervalMs;
  if (!settled) {
    if (lead.previousLeaderMayBeAlive === true && directCallBudget.at === lead.since) {
      directCallBudget.left = Math.ceil(SCOUTS * maxDirectCallsPerInterval);
      directCallBudget.at = now.monotonicMs;
    }
    return directCallBudget;
  }
  directCallBudget.left = Math.min(
    maxDirectCallsPerInterval,
    directCallBudget.left +
      (maxDirectCallsPerInterval * (now.monotonicMs - directCallBudget.at)) / timing.maxHeartbeatIntervalMs,
  );
  directCallBudget.at = now.monotonicMs;
  return directCallBudget;
}

/**
 * Workers that have not seen this leader's token are shown it, so that they report at once. A few are
 * called right after a takeover from a leader that is not known to be gone: blind, it goes on answering
 * them, and the token that they carry back to it is what tells it of its successor. It held 317
 * machines for 25 s. The others have a report's time to come by themselves: called all at once, they
 * cost a leader on a small processor what it needed to hear them, and 190 tasks their lease.
 */
export function announceToken(state: CoreState, now: Now, effects: Effect[]): void {
  const lead = state.leadership;
  if (lead === null) return;
  const { timing } = state.config;
  const calls = callsLeft(state, lead, now);
  if (calls.left < 1) return;
  for (const machine of state.machines.values()) {
    if (calls.left < 1) return;
    if (machine.isReconciled || machine.address === '' || machine.terminationReason !== null) continue;
    // Whoever claims to be a machine is connected to only once the cloud, or a claim, knows it:
    // a flood of reports under invented names would otherwise take every socket.
    if (machine.cloudStage !== 'running' && machine.claims.size === 0) continue;
    // The answer to its report raises the token by itself.
    if (
      machine.lastHeartbeatAt !== null &&
      now.monotonicMs - machine.lastHeartbeatAt < 2 * timing.maxHeartbeatIntervalMs
    )
      continue;
    if (
      machine.tokenSentAt !== null &&
      now.monotonicMs - machine.tokenSentAt < 2 * timing.maxHeartbeatIntervalMs
    )
      continue;
    machine.tokenSentAt = now.monotonicMs;
    calls.left -= 1;
    effects.push({
      kind: 'sendCommands',
      machine: machine.name,
      address: machine.address,
      token: lead.term,
      agentEpoch: sessionOf(machine),
      commands: [],
    });
  }
}

/** When a task on a machine is expected to be gone; one past its end, an allowance from now. */
export function expectedEnd(state: CoreState, claim: LiveClaim, now: Now): number {
  const { spec } = claim.job;
  if (spec.form === 'service') return Infinity;
  if (claim.expectedEnd > now.monotonicMs) return claim.expectedEnd;
  return now.monotonicMs + state.config.policy.overrunAllowanceMs(spec);
}

/**
 * Takes off a machine that the cloud will take what is not expected to end there: it runs
 * again the sooner. What can save does so, as late as it safely can.
 */
function drain(state: CoreState, machine: Machine, takenAt: number, now: Now): void {
  const { maxHeartbeatIntervalMs } = state.config.timing;
  for (const claim of machine.claims.values()) {
    const { spec } = claim.job;
    if (claim.stopRequested || expectedEnd(state, claim, now) <= takenAt) continue;
    const saves =
      spec.checkpointS > 0 && spec.saveS * 1000 + 2 * maxHeartbeatIntervalMs < takenAt - now.monotonicMs;
    if (saves) continue;
    claim.stopRequested = true;
    needAttention(state, machine.name);
  }
}

/** Whether something on a machine that may be of use only much later should rather run again now. */
function isMissed(state: CoreState, machine: Machine, wait: number, now: Now): boolean {
  for (const { job } of machine.claims.values())
    if (job.finalStage === null && losesObjectiveWithin(state, job, wait, now)) return true;
  return false;
}

/**
 * Whether what hangs on a machine gains more by waiting than by running again now. Its host takes
 * connections, so it may go on at any moment within its lease; 149 machines were given back with 640
 * tasks one to three seconds before they did.
 */
function isWorthWaiting(state: CoreState, machine: Machine, wait: number, now: Now): boolean {
  let loses = 0;
  let keeps = 0;
  for (const { job } of machine.claims.values()) {
    if (job.finalStage === null && losesObjectiveWithin(state, job, wait, now)) loses += 1;
    else keeps += 1;
  }
  return loses <= keeps;
}

function hasEndedWork({ claims }: Machine): boolean {
  for (const { job } of claims.values()) if (job.finalStage !== null) return true;
  return false;
}

/** Gives up machines that are silent, never came up, or hold cancelled work out of reach. */
export function detectFailures(state: CoreState, now: Now, effects: Effect[]): void {
  const { timing } = state.config;
  const { reachableZones, partitionedZones, hearsNobody, isMassSilence, isMassNeverReported } =
    summarizeHealth(state, now);
  const deafTogether = isMassUnresponsive(state);
  const usual = isMassSilence ? timing.silenceTimeoutMs : timing.shortSilenceTimeoutMs;
  // Many that a new leader never heard are one event, not many: the leader before, blind but within
  // its authority, may hold them alive. It gave back 200 of them with 773 tasks. One without tasks
  // loses nothing, and is as likely gone from a list that lags.
  const heldElsewhere = timing.authorityWindowMs + timing.workerLeaseMs + timing.maxHeartbeatIntervalMs;
  // How long a machine of a zone that is apart may be silent. It may well come back, but once its
  // lease must be over, and not even a deputy has told of it, what its tasks would miss by waiting
  // they need not. Sooner, 236 machines at work behind a cut of 20 s were given back with 1601
  // tasks; and a leader that hears nobody at all has its own fault to wait for.
  const patienceApart = (machine: Machine, silent: number): number => {
    const longest = 3 * timing.workerLeaseMs;
    return !hearsNobody && silent > timing.silenceTimeoutMs && isMissed(state, machine, longest - silent, now)
      ? timing.silenceTimeoutMs
      : longest;
  };
  for (const machine of state.machines.values()) {
    if (machine.terminationReason !== null) continue;
    probeIfOverdue(state, machine, reachableZones, now, effects);
    if (isUnreachable(machine)) {
      markForTermination(machine, 'out of reach');
      continue;
    }
    const type = state.machineTypes.get(machine.type);
    const boot = (type?.bootS ?? 60) * 1000;
    if (machine.lastHeartbeatAt === null) {
      if (machine.lastRelayedAt !== null && now.monotonicMs - machine.lastRelayedAt < timing.silenceTimeoutMs)
        continue;
      const expected = machine.cloudStage === 'running' || machine.claims.size > 0;
      const since = partitionedZones.has(machine.zone) ? state.silentZones.get(machine.zone) : undefined;
      const unheard = now.monotonicMs - Math.min(machine.discoveredAt, since ?? Infinity);
      const patience = partitionedZones.has(machine.zone)
        ? patienceApart(machine, unheard)
        : isMassNeverReported && machine.cloudStage === 'running' && machine.claims.size > 0
          ? heldElsewhere
          : timing.silenceTimeoutMs;
      // Where leaders change often each begins the wait anew, and cancelled work keeps its limit meanwhile.
      const holdsEnded =
        !partitionedZones.has(machine.zone) &&
        !isMassNeverReported &&
        unheard > timing.shortSilenceTimeoutMs &&
        hasEndedWork(machine);
      if (expected) {
        if (unheard > patience || holdsEnded) markForTermination(machine, 'never heard');
      } else if (now.monotonicMs - machine.provisionedAt > 3 * boot && unheard > timing.silenceTimeoutMs) {
        markForTermination(machine, 'never came up');
      }
      continue;
    }
    const silent = now.monotonicMs - Math.max(machine.lastHeartbeatAt, machine.lastRelayedAt ?? 0);
    if (machine.reclaimedAt !== null) {
      if (now.monotonicMs > machine.reclaimedAt && silent > 1.5 * timing.maxHeartbeatIntervalMs)
        markForTermination(machine, 'taken');
      else drain(state, machine, machine.reclaimedAt, now);
    }
    if (!deafTogether && isUnresponsive(state, machine, now)) {
      markForTermination(machine, 'deaf');
      continue;
    }
    const hangs = isHanging(state, machine, now);
    const patience = partitionedZones.has(machine.zone)
      ? patienceApart(machine, silent)
      : hangs && isWorthWaiting(state, machine, timing.silenceTimeoutMs - silent, now)
        ? timing.silenceTimeoutMs
        : usual;
    if (silent > patience) markForTermination(machine, hangs ? 'hanging' : 'silent');
    else if (silent > 0.5 * timing.silenceTimeoutMs && hasEndedWork(machine))
      markForTermination(machine, 'silent with ended work');
  }
}
