/** Machines: what their reports prove, what they are told, and when they are given up. */
import { losesBy } from '../jobs/aims.js';
import { needAttention, settleAttention } from '../attention.js';
import type { Effect } from '../effects.js';
import { noteError, noteSuccess } from './faults.js';
import {
  isUnresponsive,
  isMassUnresponsive,
  isSignOfLife,
  recordResponse,
  observeResponse,
} from './response-tracking.js';
import { expectedRun } from '../jobs/jobs.js';
import { isDurable, recordStrayDone, releaseClaim } from '../persistence/write-back.js';
import { MAX_TRACKED_MACHINES } from '../limits.js';
import { log } from '../log.js';
import { isHanging, isUnmet, probe } from './probing.js';
import { summarizeHealth } from './health-summary.js';
import { noRoom } from '../placement/resources.js';
import {
  isDone,
  isExitKept,
  taskKey,
  type Leadership,
  type LiveClaim,
  type Machine,
  type Now,
} from '../model.js';
import { mayAct, type CoreState } from '../state.js';
import type { ListedMachine, Report, ReportedTask, WorkerCommand } from '../types.js';

export function machineNamed(state: CoreState, name: string, now: Now): Machine {
  const known = state.machines.get(name);
  if (known !== undefined) return known;
  const machine: Machine = {
    name,
    address: '',
    type: '',
    zone: '',
    spot: true,
    rentedAt: now.mono,
    session: 0,
    seq: 0,
    heardAt: null,
    metSince: null,
    answeredAt: null,
    told: [],
    unresponsiveSince: null,
    missedResponses: 0,
    relayedAt: null,
    lapsed: false,
    knownAt: now.mono,
    whole: false,
    takenAt: null,
    listed: null,
    claims: new Map(),
    used: noRoom(),
    order: state.nextMachine++,
    exits: new Map(),
    reported: [],
    images: new Map(),
    idleSince: now.mono,
    erredJobs: new Set(),
    leaving: null,
    returnAskedAt: null,
    held: null,
    raisedAt: null,
    knocking: false,
    unmet: 0,
    metAt: null,
  };
  state.machines.set(name, machine);
  return machine;
}

/** Keeps a report until it is answered. */
export function hold(state: CoreState, machine: Machine, reply: number, now: Now): void {
  machine.held = { reply, since: now.mono };
  state.held.add(machine);
  state.answerable.push(machine);
}

/** The report that waits for an answer, which the caller gives now; null if there is none. */
export function release(state: CoreState, machine: Machine): Machine['held'] {
  const { held } = machine;
  machine.held = null;
  state.held.delete(machine);
  return held;
}

export function leave(machine: Machine, reason: string): void {
  machine.leaving ??= reason;
}

/** Whether new tasks may be put on a machine now. */
export function isUsable(state: CoreState, machine: Machine, now: Now): boolean {
  return (
    machine.whole &&
    machine.leaving === null &&
    machine.unresponsiveSince === null &&
    machine.takenAt === null &&
    machine.heardAt !== null &&
    now.mono - machine.heardAt < 2 * state.rules.timing.longestReport &&
    state.types.has(machine.type)
  );
}

function dropImage(state: CoreState, machine: Machine, image: string): void {
  machine.images.delete(image);
  const holders = state.holders.get(image);
  holders?.delete(machine);
  if (holders?.size === 0) state.holders.delete(image);
}

function dropImages(state: CoreState, machine: Machine): void {
  for (const image of [...machine.images.keys()]) dropImage(state, machine, image);
}

/** Remembers that a machine holds an image, dropping the least recently used. */
function useImage(state: CoreState, machine: Machine, image: string, gb: number): void {
  machine.images.delete(image);
  machine.images.set(image, gb);
  const holders = state.holders.get(image);
  if (holders === undefined) state.holders.set(image, new Set([machine]));
  else holders.add(machine);
  const room = state.types.get(machine.type)?.cacheGb ?? 0;
  let held = 0;
  for (const size of machine.images.values()) held += size;
  for (const [oldest, size] of machine.images) {
    if (held <= room || oldest === image) break;
    dropImage(state, machine, oldest);
    held -= size;
  }
}

function noteExit(state: CoreState, machine: Machine, claim: LiveClaim, task: ReportedTask, now: Now): void {
  const { job } = claim;
  switch (task.exit) {
    case 'done': {
      noteSuccess(state, machine, job);
      if (claim.runningSince !== null && job.spec.estimateS > 0) {
        const ratio = (now.mono - claim.runningSince) / (job.spec.estimateS * 1000);
        const seen = state.runRatio.get(job.spec.jobClass) ?? 1;
        state.runRatio.set(job.spec.jobClass, seen + (Math.min(4, ratio) - seen) / 16);
      }
      break;
    }
    case 'error':
      noteError(state, machine, job, now);
      break;
    case 'no_room':
    case 'busy':
    case 'unknown':
      job.retryAt = Math.max(job.retryAt, now.mono + state.rules.timing.longestReport);
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
  } else if (job !== null && job.over === null && task.exit === 'done' && !isDone(job, task.task)) {
    // Its result is kept, whoever started it.
    const chunk = recordStrayDone(state, job, task.task);
    machine.exits.set(name, { job, chunk, version: chunk.version });
  } else {
    machine.exits.set(name, { job: null, chunk: null, version: 0 });
  }
}

function noteStage(state: CoreState, machine: Machine, claim: LiveClaim, task: ReportedTask, now: Now): void {
  const { spec } = claim.job;
  if (claim.stage !== task.stage) {
    if (claim.stage === 'running') claim.job.running -= 1;
    if (task.stage === 'running') claim.job.running += 1;
    claim.stage = task.stage;
    if (task.stage === 'running' && claim.runningSince === null) {
      claim.runningSince = now.mono;
      claim.expectedEnd = now.mono + expectedRun(state, spec);
      useImage(state, machine, spec.image, spec.imageGb);
    }
  }
  claim.sent = true;
}

/** Drops from a machine every claim of which there is proof that it is not there. */
function applyProof(state: CoreState, machine: Machine, report: Report, whole: boolean): void {
  const listed = new Set<string>();
  for (const task of report.tasks) listed.add(`${taskKey(task.job, task.task)}#${task.attempt}`);
  for (const [key, claim] of [...machine.claims]) {
    if (claim.session < report.session) {
      // A new session: the worker has killed and forgotten all of the one before.
      releaseClaim(state, claim, false);
    } else if (whole && !listed.has(`${key}#${claim.attempt}`)) {
      // This report is newer than any start sent, and no older leader's response can
      // still be accepted: the task is not on the machine.
      const pointless = claim.job.over !== null || claim.unwanted || isDone(claim.job, claim.task);
      if (claim.stage !== null || pointless) releaseClaim(state, claim, false);
    }
  }
  for (const name of [...machine.exits.keys()]) if (!listed.has(name)) machine.exits.delete(name);
}

/** Takes in a report. False: it is not newer than what is known and changes nothing. */
export function takeReport(
  state: CoreState,
  report: Report,
  now: Now,
  effects: Effect[],
  direct: boolean,
): boolean {
  if (state.gone.has(report.machine)) return false;
  const known = state.machines.has(report.machine);
  const machine = machineNamed(state, report.machine, now);
  if (report.session < machine.session) return false;
  if (report.session === machine.session && report.seq <= machine.seq) return false;
  if (!known) state.unexpected.push(report.machine);
  if (machine.heardAt === null || machine.type === '') {
    machine.type = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
    machine.idleSince = now.mono;
    state.placeDirty = true;
  }
  if (!direct) observeResponse(state, machine, report, now);
  const expired = report.session > machine.session && machine.session > 0;
  if (expired) dropImages(state, machine);
  machine.address = report.address;
  machine.session = report.session;
  machine.seq = report.seq;
  const token = state.leadership?.term ?? 0;
  // The answer to a direct command may overtake a start that is still on its way in
  // the response to a report, so only reports prove that something is absent.
  const whole = !direct && report.token === token;
  // It answers us, whoever hears its reports: another controller may be holding it, unless its lease
  // runs out. One that reached no controller was kept for as long as it answered.
  if (direct) {
    machine.lapsed ||= expired;
    if (!machine.lapsed) machine.relayedAt = now.mono;
  } else {
    machine.lapsed = false;
    machine.metSince ??= now.mono;
    if (isSignOfLife(state, machine, whole, now)) {
      machine.heardAt = now.mono;
      machine.unmet = 0;
    }
    if (whole && !machine.whole) state.placeDirty = true;
    machine.whole = whole;
  }
  // Of an old report, a notice may be old as well.
  if (report.noticeS !== null && machine.takenAt === null && (whole || direct)) {
    machine.takenAt = now.mono + report.noticeS * 1000;
    state.placeDirty = true;
    log(effects, 'machine will be taken', { machine: machine.name, inS: report.noticeS });
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
  machine.reported = report.tasks;
  state.touched.add(machine);
  if (machine.claims.size > 0) machine.idleSince = now.mono;
  return true;
}

/** Whether some start for this machine is still waiting to be committed. */
export function awaitsCommit(state: CoreState, machine: Machine): boolean {
  for (const claim of machine.claims.values()) {
    if (!claim.sent && claim.job.over === null && !isDurable(state, claim)) return true;
  }
  return false;
}

/** What a worker is told in answer to the report just taken in. */
export function commandsFor(state: CoreState, machine: Machine): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  const listed = new Set<string>();
  for (const { job, task, attempt, stage } of machine.reported) {
    const key = taskKey(job, task);
    listed.add(key);
    if (stage === 'exited') {
      const exit = machine.exits.get(`${key}#${attempt}`);
      if (exit !== undefined && isExitKept(exit)) commands.push({ op: 'forget', job, task, attempt });
      continue;
    }
    const claim = machine.claims.get(key);
    if (
      claim === undefined ||
      claim.attempt !== attempt ||
      claim.job.over !== null ||
      isDone(claim.job, task)
    ) {
      commands.push({ op: 'stop', job, task, attempt, graceS: 0 });
    } else if (claim.unwanted && stage !== 'saving') {
      commands.push({ op: 'stop', job, task, attempt, graceS: claim.job.spec.saveS });
    }
  }
  // A job of the view may have been cancelled since: nothing is started by one that is not fresh.
  if (!machine.whole || !mayAct(state)) return commands;
  for (const [key, claim] of [...machine.claims]) {
    if (claim.session !== machine.session) continue;
    const { job, task, attempt } = claim;
    if (job.over !== null || claim.unwanted || isDone(job, task)) {
      // Never sent by anyone, and now never to be.
      if (!claim.sent) releaseClaim(state, claim, false);
    } else if (!listed.has(key) && isDurable(state, claim)) {
      claim.sent = true;
      commands.push({ op: 'start', job: job.spec.id, task, attempt });
    }
  }
  return commands;
}

export function answer(state: CoreState, machine: Machine, effects: Effect[]): void {
  const lead = state.leadership;
  const held = release(state, machine);
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
export function dropReturned(state: CoreState, names: readonly string[], effects: Effect[]): void {
  for (const name of names) {
    state.gone.add(name);
    const machine = state.machines.get(name);
    if (machine === undefined) continue;
    for (const claim of [...machine.claims.values()]) releaseClaim(state, claim, false);
    const held = release(state, machine);
    if (held !== null) effects.push({ kind: 'reply', reply: held.reply, body: { kind: 'unable' } });
    dropImages(state, machine);
    state.machines.delete(name);
    state.attention.delete(machine);
    state.touched.add(machine);
    state.placeDirty = true;
  }
  for (const oldest of state.gone) {
    if (state.gone.size <= MAX_TRACKED_MACHINES) break;
    state.gone.delete(oldest);
  }
}

/** Machines in the cloud's list that nobody here knew are taken on. */
export function takeList(
  state: CoreState,
  listed: readonly ListedMachine[],
  now: Now,
  effects: Effect[],
): void {
  const taken: string[] = [];
  for (const entry of listed) {
    if (state.gone.has(entry.name)) continue;
    const known = state.machines.has(entry.name);
    const machine = machineNamed(state, entry.name, now);
    // A new leader hears machines before it sees them listed, and their age with them.
    machine.rentedAt = Math.min(machine.rentedAt, now.mono - entry.ageS * 1000);
    if (!known) taken.push(entry.name);
    if (machine.type === '') {
      machine.type = entry.type;
      machine.zone = entry.zone;
      machine.spot = entry.spot;
      state.placeDirty = true;
    }
    if (machine.address === '') machine.address = entry.address;
    machine.listed = entry.stage;
    if (entry.stage === 'failed') leave(machine, 'failed');
  }
  // One line an event: a takeover wrote hundreds.
  if (taken.length > 0)
    log(effects, 'machines taken on from the list', { machines: taken.length, first: taken.slice(0, 5) });
}

/** The session to show a machine this leader's token in; a wrong guess is answered with the right one. */
function sessionOf(machine: Machine): number {
  if (machine.session > 0) return machine.session;
  for (const { session } of machine.claims.values()) return session;
  return 1;
}

/** Of the calls within a report's time, so many go out at once after a leader that may be alive still. */
const SCOUTS = 0.25;

/** How many machines may be called now: a few at a time, for each costs a connection. */
function callsLeft(state: CoreState, lead: Leadership, now: Now): Leadership['calls'] {
  const { timing, mostCalls } = state.rules;
  const { calls } = lead;
  const settled = now.mono - lead.since > timing.longestReport;
  if (!settled) {
    if (lead.haunted === true && calls.at === lead.since) {
      calls.left = Math.ceil(SCOUTS * mostCalls);
      calls.at = now.mono;
    }
    return calls;
  }
  calls.left = Math.min(mostCalls, calls.left + (mostCalls * (now.mono - calls.at)) / timing.longestReport);
  calls.at = now.mono;
  return calls;
}

/**
 * Workers that have not seen this leader's token are shown it, so that they report at once. A few are
 * called right after a takeover from a leader that is not known to be gone: blind, it goes on answering
 * them, and the token that they carry back to it is what tells it of its successor. It held 317
 * machines for 25 s. The others have a report's time to come by themselves: called all at once, they
 * cost a leader on a small processor what it needed to hear them, and 190 tasks their lease.
 */
export function raiseTokens(state: CoreState, now: Now, effects: Effect[]): void {
  const lead = state.leadership;
  if (lead === null) return;
  const { timing } = state.rules;
  const calls = callsLeft(state, lead, now);
  if (calls.left < 1) return;
  for (const machine of state.machines.values()) {
    if (calls.left < 1) return;
    if (machine.whole || machine.address === '' || machine.leaving !== null) continue;
    // Whoever claims to be a machine is connected to only once the cloud, or a claim, knows it:
    // a flood of reports under invented names would otherwise take every socket.
    if (machine.listed !== 'running' && machine.claims.size === 0) continue;
    // The answer to its report raises the token by itself.
    if (machine.heardAt !== null && now.mono - machine.heardAt < 2 * timing.longestReport) continue;
    if (machine.raisedAt !== null && now.mono - machine.raisedAt < 2 * timing.longestReport) continue;
    machine.raisedAt = now.mono;
    calls.left -= 1;
    effects.push({
      kind: 'direct',
      machine: machine.name,
      address: machine.address,
      token: lead.term,
      session: sessionOf(machine),
      commands: [],
    });
  }
}

/** When a task on a machine is expected to be gone; one past its end, an allowance from now. */
export function expectedEnd(state: CoreState, claim: LiveClaim, now: Now): number {
  const { spec } = claim.job;
  if (spec.form === 'service') return Infinity;
  if (claim.expectedEnd > now.mono) return claim.expectedEnd;
  return now.mono + state.rules.policy.overrunAllowance(spec);
}

/**
 * Takes off a machine that the cloud will take what is not expected to end there: it runs
 * again the sooner. What can save does so, as late as it safely can.
 */
function drain(state: CoreState, machine: Machine, takenAt: number, now: Now): void {
  const { longestReport } = state.rules.timing;
  for (const claim of machine.claims.values()) {
    const { spec } = claim.job;
    if (claim.unwanted || expectedEnd(state, claim, now) <= takenAt) continue;
    const saves = spec.checkpointS > 0 && spec.saveS * 1000 + 2 * longestReport < takenAt - now.mono;
    if (saves) continue;
    claim.unwanted = true;
    needAttention(state, machine.name);
  }
}

/** Whether something on a machine that may be of use only much later should rather run again now. */
function isMissed(state: CoreState, machine: Machine, wait: number, now: Now): boolean {
  for (const { job } of machine.claims.values())
    if (job.over === null && losesBy(state, job, wait, now)) return true;
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
    if (job.over === null && losesBy(state, job, wait, now)) loses += 1;
    else keeps += 1;
  }
  return loses <= keeps;
}

function hasEndedWork({ claims }: Machine): boolean {
  for (const { job } of claims.values()) if (job.over !== null) return true;
  return false;
}

/** Gives up machines that are silent, never came up, or hold cancelled work out of reach. */
export function judgeMachines(state: CoreState, now: Now, effects: Effect[]): void {
  const { timing } = state.rules;
  const { awake, apart, deaf, mostSilent, mostUnheard } = summarizeHealth(state, now);
  const deafTogether = isMassUnresponsive(state);
  const usual = mostSilent ? timing.silence : timing.shortSilence;
  // Many that a new leader never heard are one event, not many: the leader before, blind but within
  // its authority, may hold them alive. It gave back 200 of them with 773 tasks. One without tasks
  // loses nothing, and is as likely gone from a list that lags.
  const heldElsewhere = timing.authority + timing.workerLease + timing.longestReport;
  // How long a machine of a zone that is apart may be silent. It may well come back, but once its
  // lease must be over, and not even a deputy has told of it, what its tasks would miss by waiting
  // they need not. Sooner, 236 machines at work behind a cut of 20 s were given back with 1601
  // tasks; and a leader that hears nobody at all has its own fault to wait for.
  const patienceApart = (machine: Machine, silent: number): number => {
    const longest = 3 * timing.workerLease;
    return !deaf && silent > timing.silence && isMissed(state, machine, longest - silent, now)
      ? timing.silence
      : longest;
  };
  for (const machine of state.machines.values()) {
    if (machine.leaving !== null) continue;
    probe(state, machine, awake, now, effects);
    if (isUnmet(machine)) {
      leave(machine, 'out of reach');
      continue;
    }
    const type = state.types.get(machine.type);
    const boot = (type?.bootS ?? 60) * 1000;
    if (machine.heardAt === null) {
      if (machine.relayedAt !== null && now.mono - machine.relayedAt < timing.silence) continue;
      const expected = machine.listed === 'running' || machine.claims.size > 0;
      const since = apart.has(machine.zone) ? state.quiet.get(machine.zone) : undefined;
      const unheard = now.mono - Math.min(machine.knownAt, since ?? Infinity);
      const patience = apart.has(machine.zone)
        ? patienceApart(machine, unheard)
        : mostUnheard && machine.listed === 'running' && machine.claims.size > 0
          ? heldElsewhere
          : timing.silence;
      // Where leaders change often each begins the wait anew, and cancelled work keeps its limit meanwhile.
      const holdsEnded =
        !apart.has(machine.zone) && !mostUnheard && unheard > timing.shortSilence && hasEndedWork(machine);
      if (expected) {
        if (unheard > patience || holdsEnded) leave(machine, 'never heard');
      } else if (now.mono - machine.rentedAt > 3 * boot && unheard > timing.silence) {
        leave(machine, 'never came up');
      }
      continue;
    }
    const silent = now.mono - Math.max(machine.heardAt, machine.relayedAt ?? 0);
    if (machine.takenAt !== null) {
      if (now.mono > machine.takenAt && silent > 1.5 * timing.longestReport) leave(machine, 'taken');
      else drain(state, machine, machine.takenAt, now);
    }
    if (!deafTogether && isUnresponsive(state, machine, now)) {
      leave(machine, 'deaf');
      continue;
    }
    const hangs = isHanging(state, machine, now);
    const patience = apart.has(machine.zone)
      ? patienceApart(machine, silent)
      : hangs && isWorthWaiting(state, machine, timing.silence - silent, now)
        ? timing.silence
        : usual;
    if (silent > patience) leave(machine, hangs ? 'hanging' : 'silent');
    else if (silent > 0.5 * timing.silence && hasEndedWork(machine)) leave(machine, 'silent with ended work');
  }
}
