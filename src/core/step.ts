/** One batch of commands into the state, and the effects that follow. */
import { giveBack, recallDemand, rememberDemand, rent, settleRental } from './autoscaling/autoscaler.js';
import { place } from './placement/easy.js';
import type { Command, Effect } from './effects.js';
import {
  answer,
  awaitsCommit,
  dropReturned,
  hold,
  judgeMachines,
  machineNamed,
  raiseTokens,
  release,
  takeList,
  takeReport,
} from './fleet/machines.js';
import {
  addJob,
  chunkRange,
  endJob,
  loadChunks,
  nextCommit,
  settleCommit,
  settleRecheck,
} from './persistence/write-back.js';
import { takeHeartbeat } from './fleet/heartbeats.js';
import { log } from './log.js';
import { nextQuestion, settleQuestion } from './jobs/pipelines.js';
import { settleProbe } from './fleet/probing.js';
import { chooseGuaranteed, choosePromised } from './placement/reservations.js';
import { sortQueue } from './placement/queue.js';
import type { LiveClaim, Machine, Now } from './model.js';
import { mayAct, type CoreState } from './state.js';
import { forgetLeadership } from './create-state.js';

function resign(state: CoreState, reason: string, effects: Effect[]): void {
  if (state.leadership === null) return;
  for (const machine of [...state.held]) refuse(state, machine, effects);
  forgetLeadership(state);
  effects.push({ kind: 'steppedDown', reason });
}

function refuse(state: CoreState, machine: Machine, effects: Effect[]): void {
  const held = release(state, machine);
  if (held !== null) effects.push({ kind: 'reply', reply: held.reply, body: { kind: 'unable' } });
}

function removeJob(state: CoreState, id: string): void {
  const job = state.jobs.get(id);
  // One that is being ended by us is settled by the answer to that. One of which a write is looked up is
  // not waited for: while the look-up went unanswered, each later proof kept its tasks alive.
  const { ending = [], withdrawing = [] } = state.commit ?? {};
  const ours = [...ending, ...withdrawing].some(({ spec }) => spec.id === id);
  if (job !== undefined && job.over === null && !ours) endJob(state, job, 'withdrawn', null);
}

function hasAuthority(state: CoreState, now: Now): boolean {
  return state.leadership !== null && now.mono < state.leadership.authorityUntil;
}

/** A machine was heard when its report came to a controller, not when the leader has read it. */
function noteAge(state: CoreState, name: string, ageMs: number): void {
  const machine = state.machines.get(name);
  if (machine?.heardAt != null) machine.heardAt -= ageMs;
}

function onReport(
  state: CoreState,
  command: Extract<Command, { kind: 'report' }>,
  now: Now,
  effects: Effect[],
): void {
  const { report, reply } = command;
  const unable = (): void => {
    effects.push({ kind: 'reply', reply, body: { kind: 'unable' } });
  };
  const lead = state.leadership;
  if (lead !== null && report.token > lead.term) {
    resign(state, `worker ${report.machine} has seen token ${report.token}`, effects);
  }
  // What it tells is as true without authority to answer. Passed over through a whole outage, a fleet
  // looked silent at its end: 550 live machines were given back within three seconds.
  const isNews = state.leadership !== null && takeReport(state, report, now, effects, false);
  if (isNews) noteAge(state, report.machine, command.ageMs ?? 0);
  if (!isNews || !hasAuthority(state, now)) {
    unable();
    return;
  }
  const machine = machineNamed(state, report.machine, now);
  // The worker has given up on its earlier report, and drops what would answer it.
  refuse(state, machine, effects);
  hold(state, machine, reply, now);
}

function apply(state: CoreState, command: Command, now: Now, effects: Effect[]): void {
  const machineOf = (name: string): Machine => machineNamed(state, name, now);
  switch (command.kind) {
    case 'tick':
      state.busy = command.busy === true;
      if (state.leadership?.closing !== true && command.doubt !== true && mayAct(state))
        judgeMachines(state, now, effects);
      break;
    case 'report':
      onReport(state, command, now, effects);
      break;
    case 'direct':
      if (state.leadership === null) break;
      if (command.report.token > state.leadership.term) {
        resign(state, `worker ${command.report.machine} has seen token ${command.report.token}`, effects);
      } else takeReport(state, command.report, now, effects, true);
      break;
    case 'lead': {
      forgetLeadership(state);
      state.leadership = {
        term: command.term,
        stamp: command.stamp,
        since: now.mono,
        authorityUntil: command.provenAt + state.rules.timing.authority,
        provenAt: command.provenAt,
        haunted: command.haunted ?? false,
        calls: { left: 0, at: now.mono },
      };
      state.layout = command.layout;
      state.wide = command.wide;
      for (const [zone, since] of command.quiet ?? []) state.quiet.set(zone, since);
      state.budget.at = now.mono;
      state.nextRequest = 1;
      // The list may not show yet what the leader before has rented; the very first has none before it.
      state.rentNotBefore = command.term === 1 ? now.mono : now.mono + 2 * state.rules.timing.longestReport;
      // In the order of arrival, so that those that wait find what they wait for.
      for (const job of [...command.jobs].sort((a, b) => a.stamp - b.stamp)) addJob(state, job);
      loadChunks(state, command.chunks, now, machineOf);
      recallDemand(state, command.memory, now);
      state.placeDirty = true;
      log(effects, 'leading', {
        term: command.term,
        jobs: command.jobs.length,
        chunks: command.chunks.length,
      });
      break;
    }
    case 'yield':
      if (state.leadership !== null) state.leadership.closing = true;
      break;
    case 'resign':
      resign(state, command.reason, effects);
      break;
    case 'tokenSeen':
      if (state.leadership !== null && command.token > state.leadership.term) {
        resign(state, `a peer has seen token ${command.token}`, effects);
      }
      break;
    case 'proof':
      if (state.leadership !== null) {
        state.leadership.authorityUntil = Math.max(
          state.leadership.authorityUntil,
          command.sentAt + state.rules.timing.authority,
        );
        state.leadership.provenAt = Math.max(state.leadership.provenAt, command.sentAt);
      }
      break;
    case 'resolved':
      settleQuestion(state, command.found, now);
      break;
    case 'adopt':
      if (state.leadership !== null) state.adopting = command.layout;
      break;
    case 'jobAdded':
      if (state.leadership === null) break;
      addJob(state, command.job);
      state.planAt = Math.min(state.planAt, now.mono);
      break;
    case 'jobRemoved':
      removeJob(state, command.id);
      break;
    case 'jobsReplaced': {
      if (state.leadership === null) break;
      const live = new Set(command.jobs.map((job) => job.value.id));
      for (const job of command.jobs) addJob(state, job);
      for (const [id, job] of state.jobs) {
        if (job.stamp <= command.revision && !live.has(id)) removeJob(state, id);
      }
      break;
    }
    case 'committed':
      // Looking at all that wait at every commit cost commits times machines in a large fleet.
      lookAgain(state);
      if (settleCommit(state, command.id, command.outcome, now, effects) === 'deposed') {
        resign(state, 'the term has been raised', effects);
      }
      break;
    case 'rechecked':
      settleRecheck(state, command.found, now, effects);
      break;
    case 'relayed':
      for (const name of command.machines) {
        const machine = state.machines.get(name);
        if (machine !== undefined)
          machine.relayedAt = Math.max(machine.relayedAt ?? 0, now.mono - command.ageMs);
      }
      break;
    case 'heartbeats':
      for (const heartbeat of command.heartbeats) takeHeartbeat(state, heartbeat, now);
      break;
    case 'probed':
      settleProbe(state, command.machine, command.met, now);
      break;
    case 'catalog':
      state.types = new Map(command.types.map((type) => [type.name, type]));
      for (const machine of state.machines.values()) state.touched.add(machine);
      state.placeDirty = true;
      break;
    case 'listed':
      if (state.leadership !== null) takeList(state, command.machines, now, effects);
      break;
    case 'rented':
      settleRental(state, command.request, command.outcome, now, effects, machineOf);
      break;
    case 'returned':
      if (state.leadership === null) break;
      if (command.ok) dropReturned(state, command.machines, effects);
      else for (const name of command.machines) allowRetry(state, name);
      break;
  }
}

function allowRetry(state: CoreState, name: string): void {
  const machine = state.machines.get(name);
  if (machine !== undefined) machine.returnAskedAt = null;
}

/** Looks again at the reports that may wait for the commit under way: of machines with tasks that it tells of. */
function lookAgain(state: CoreState): void {
  const { chunks = [], ending = [], withdrawing = [] } = state.commit ?? {};
  const look = (claim: LiveClaim | undefined): void => {
    const machine = claim && state.machines.get(claim.machine);
    if (machine !== undefined && machine.held !== null) state.answerable.push(machine);
  };
  for (const { job, chunk } of chunks) {
    const [first, end] = chunkRange(state, job, chunk);
    for (let task = first; task < end; task += 1) look(job.claims.get(task));
  }
  for (const job of [...ending, ...withdrawing]) for (const claim of job.claims.values()) look(claim);
}

/**
 * Answers the reports that nothing holds up any more. One that waits for a commit is looked
 * at again when a commit of its tasks is settled, at a tick, and once it has waited long enough;
 * so what this costs follows what has happened, not how many wait.
 */
function answerReports(state: CoreState, now: Now, all: boolean, effects: Effect[]): void {
  const look = (machine: Machine, anyway: boolean): void => {
    if (machine.held === null) return;
    if (!hasAuthority(state, now)) refuse(state, machine, effects);
    else if (anyway || !awaitsCommit(state, machine)) answer(state, machine, effects);
  };
  const fresh = state.answerable.splice(0);
  for (const machine of all ? [...state.held] : fresh) look(machine, false);
  // In the order in which they came.
  for (const machine of state.held) {
    if (machine.held !== null && now.mono - machine.held.since < state.rules.timing.replyHold) break;
    look(machine, true);
  }
}

/** Of the machines that should be up, this share is enough to place by. */
const ENOUGH = 0.5;

/**
 * Whether a new leader has heard enough of its machines to place on them. By the first few alone,
 * what waits would go where neither its image nor the room for it is, and on a small processor each
 * placement holds up the reports that are still to come: sadaa-amman-grown 0.68 to 0.60.
 */
function hasHeardEnough(state: CoreState, since: number, now: Now): boolean {
  if (now.mono >= since + state.rules.policy.placingWait) return true;
  const { hearing } = state;
  // One that can hardly hear its workers in time hears them first.
  return !state.busy && hearing !== null && hearing.up > 0 && hearing.unheard <= (1 - ENOUGH) * hearing.up;
}

/** Whether there still is something to say to a machine at the end of a step. */
function isStillOwed(state: CoreState, name: string): boolean {
  const machine = state.machines.get(name);
  return machine !== undefined && state.attention.has(machine);
}

export function step(state: CoreState, commands: readonly Command[], now: Now): Effect[] {
  const effects: Effect[] = [];
  state.mono = now.mono;
  let ticked = false;
  let settled = false;
  for (const command of commands) {
    ticked ||= command.kind === 'tick';
    settled ||= command.kind === 'rechecked';
    apply(state, command, now, effects);
  }
  const lead = state.leadership;
  if (lead === null) return effects;
  const begins = lead.closing !== true;
  const placing = begins && hasHeardEnough(state, lead.since, now);
  // What the fleet has is known once every machine had the time to report: placing goes by each as
  // it comes, but a plan by half of them would rent the rest anew.
  const planning = placing && now.mono >= lead.since + state.rules.timing.longestReport;
  // One that is behind its timers goes through the queue only so often: each pass holds up reports.
  const due = !state.busy || now.mono - state.placedAt >= state.rules.timing.tick / 2;
  if (placing && (ticked || (state.placeDirty && due))) {
    state.placeDirty = false;
    state.placedAt = now.mono;
    if (ticked) {
      chooseGuaranteed(state);
      choosePromised(state, now);
      sortQueue(state, now);
    }
    place(state, now, ticked);
  }
  const commit = nextCommit(state, now);
  if (commit !== null) effects.push(commit);
  const ids = nextQuestion(state, now);
  if (ids !== null) effects.push({ kind: 'resolve', ids });
  answerReports(state, now, ticked || settled, effects);
  if (state.newAttention.length > 0) {
    // What was answered in this step has been told; of the rest the followers learn.
    const machines = state.newAttention.splice(0).filter((name) => isStillOwed(state, name));
    if (machines.length > 0) effects.push({ kind: 'attention', machines });
  }
  if (ticked) {
    if (!state.busy) raiseTokens(state, now, effects);
    if (planning && mayAct(state) && now.mono >= state.planAt) {
      state.planAt = now.mono + state.rules.timing.longestReport;
      rent(state, now, effects);
    }
    if (begins && mayAct(state)) giveBack(state, now, effects);
    rememberDemand(state, now, effects);
    const unexpected = state.unexpected.splice(0);
    if (unexpected.length > 0)
      log(effects, 'machines report unexpectedly', {
        machines: unexpected.length,
        first: unexpected.slice(0, 5),
      });
  }
  return effects;
}
