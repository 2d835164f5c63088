/** One batch of commands into the state, and the effects that follow. */
import {
  scaleIn,
  restoreDemandHistory,
  saveDemandHistory,
  scaleOut,
  settleProvisioning,
} from './autoscaling/autoscaler.js';
import { place } from './placement/easy.js';
import type { Command, Effect } from './effects.js';
import {
  answerHeartbeat,
  awaitsCommit,
  removeTerminated,
  holdHeartbeat,
  detectFailures,
  getOrCreateMachine,
  announceToken,
  takePendingHeartbeat,
  applyListing,
  applyHeartbeat,
} from './fleet/machines.js';
import { chunkRange } from './persistence/chunks.js';
import { nextCommit, settleCommit } from './persistence/commit.js';
import { addJob, removeJob } from './persistence/job-lifecycle.js';
import { loadChunks } from './persistence/load-chunks.js';
import { settleReconciliation } from './persistence/reconciliation.js';
import { applyKeepalive } from './fleet/keepalives.js';
import { log } from './log.js';
import { nextDependencyQuery, settleDependencyQuery } from './jobs/dependencies.js';
import { settleProbe } from './fleet/probes.js';
import { chooseGuaranteed, chooseReserved } from './placement/reservations.js';
import { sortQueue } from './placement/job-queue.js';
import type { LiveClaim, Machine, Now } from './model.js';
import { hasFreshView, type CoreState } from './state.js';
import { forgetLeadership } from './create-state.js';

function resign(state: CoreState, reason: string, effects: Effect[]): void {
  if (state.leadership === null) return;
  for (const machine of [...state.pendingHeartbeats]) refuse(state, machine, effects);
  forgetLeadership(state);
  effects.push({ kind: 'steppedDown', reason });
}

function refuse(state: CoreState, machine: Machine, effects: Effect[]): void {
  const held = takePendingHeartbeat(state, machine);
  if (held !== null) effects.push({ kind: 'reply', reply: held.reply, body: { kind: 'unable' } });
}

function hasAuthority(state: CoreState, now: Now): boolean {
  return state.leadership !== null && now.monotonicMs < state.leadership.authorityUntil;
}

/** A machine was heard when its report came to a controller, not when the leader has read it. */
function noteAge(state: CoreState, name: string, ageMs: number): void {
  const machine = state.machines.get(name);
  if (machine?.lastHeartbeatAt != null) machine.lastHeartbeatAt -= ageMs;
}

function onReport(
  state: CoreState,
  command: Extract<Command, { kind: 'heartbeat' }>,
  now: Now,
  effects: Effect[],
): void {
  const { heartbeat, reply } = command;
  const unable = (): void => {
    effects.push({ kind: 'reply', reply, body: { kind: 'unable' } });
  };
  const lead = state.leadership;
  if (lead !== null && heartbeat.token > lead.term) {
    resign(state, `worker ${heartbeat.machine} has seen token ${heartbeat.token}`, effects);
  }
  // What it tells is as true without authority to answer. Passed over through a whole outage, a fleet
  // looked silent at its end: 550 live machines were given back within three seconds.
  const isNews = state.leadership !== null && applyHeartbeat(state, heartbeat, now, effects, false);
  if (isNews) noteAge(state, heartbeat.machine, command.ageMs ?? 0);
  if (!isNews || !hasAuthority(state, now)) {
    unable();
    return;
  }
  const machine = getOrCreateMachine(state, heartbeat.machine, now);
  // The worker has given up on its earlier report, and drops what would answer it.
  refuse(state, machine, effects);
  holdHeartbeat(state, machine, reply, now);
}

function apply(state: CoreState, command: Command, now: Now, effects: Effect[]): void {
  const machineOf = (name: string): Machine => getOrCreateMachine(state, name, now);
  switch (command.kind) {
    case 'tick':
      state.isOverloaded = command.isOverloaded === true;
      if (state.leadership?.isTransferring !== true && command.isStalled !== true && hasFreshView(state))
        detectFailures(state, now, effects);
      break;
    case 'heartbeat':
      onReport(state, command, now, effects);
      break;
    case 'directAnswer':
      if (state.leadership === null) break;
      if (command.heartbeat.token > state.leadership.term) {
        resign(
          state,
          `worker ${command.heartbeat.machine} has seen token ${command.heartbeat.token}`,
          effects,
        );
      } else applyHeartbeat(state, command.heartbeat, now, effects, true);
      break;
    case 'becomeLeader': {
      forgetLeadership(state);
      state.leadership = {
        term: command.term,
        modRevision: command.modRevision,
        since: now.monotonicMs,
        authorityUntil: command.viewConfirmedAt + state.config.timing.authorityWindowMs,
        viewConfirmedAt: command.viewConfirmedAt,
        previousLeaderMayBeAlive: command.previousLeaderMayBeAlive ?? false,
        directCallBudget: { left: 0, at: now.monotonicMs },
      };
      state.layout = command.layout;
      state.legacyChunkTasks = command.legacyChunkTasks;
      for (const [zone, since] of command.silentZones ?? []) state.silentZones.set(zone, since);
      state.writeBudget.at = now.monotonicMs;
      state.nextRequest = 1;
      // The list may not show yet what the leader before has rented; the very first has none before it.
      state.provisionNotBefore =
        command.term === 1
          ? now.monotonicMs
          : now.monotonicMs + 2 * state.config.timing.maxHeartbeatIntervalMs;
      // In the order of arrival, so that those that wait find what they wait for.
      for (const job of [...command.jobs].sort((a, b) => a.modRevision - b.modRevision)) addJob(state, job);
      loadChunks(state, command.chunks, now, machineOf);
      restoreDemandHistory(state, command.demandHistory, now);
      state.isPlacementDue = true;
      log(effects, 'leading', {
        term: command.term,
        jobs: command.jobs.length,
        chunks: command.chunks.length,
      });
      break;
    }
    case 'transferLeadership':
      if (state.leadership !== null) state.leadership.isTransferring = true;
      break;
    case 'resign':
      resign(state, command.reason, effects);
      break;
    case 'higherTokenSeen':
      if (state.leadership !== null && command.token > state.leadership.term) {
        resign(state, `a peer has seen token ${command.token}`, effects);
      }
      break;
    case 'viewConfirmed':
      if (state.leadership !== null) {
        state.leadership.authorityUntil = Math.max(
          state.leadership.authorityUntil,
          command.sentAt + state.config.timing.authorityWindowMs,
        );
        state.leadership.viewConfirmedAt = Math.max(state.leadership.viewConfirmedAt, command.sentAt);
      }
      break;
    case 'dependenciesResolved':
      settleDependencyQuery(state, command.found, now);
      break;
    case 'adoptLayout':
      if (state.leadership !== null) state.pendingLayout = command.layout;
      break;
    case 'jobAdded':
      if (state.leadership === null) break;
      addJob(state, command.job);
      state.nextPlanAt = Math.min(state.nextPlanAt, now.monotonicMs);
      break;
    case 'jobRemoved':
      removeJob(state, command.id);
      break;
    case 'jobsReplaced': {
      if (state.leadership === null) break;
      const live = new Set(command.jobs.map((job) => job.value.id));
      for (const job of command.jobs) addJob(state, job);
      for (const [id, job] of state.jobs) {
        if (job.modRevision <= command.revision && !live.has(id)) removeJob(state, id);
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
    case 'reconciled':
      settleReconciliation(state, command.found, now, effects);
      break;
    case 'machinesRelayed':
      for (const name of command.machines) {
        const machine = state.machines.get(name);
        if (machine !== undefined)
          machine.lastRelayedAt = Math.max(machine.lastRelayedAt ?? 0, now.monotonicMs - command.ageMs);
      }
      break;
    case 'keepalives':
      for (const heartbeat of command.keepalives) applyKeepalive(state, heartbeat, now);
      break;
    case 'probed':
      settleProbe(state, command.machine, command.isReachable, now);
      break;
    case 'catalog':
      state.machineTypes = new Map(command.types.map((type) => [type.name, type]));
      for (const machine of state.machines.values()) state.changedMachines.add(machine);
      state.isPlacementDue = true;
      break;
    case 'machinesListed':
      if (state.leadership !== null) applyListing(state, command.machines, now, effects);
      break;
    case 'provisioned':
      settleProvisioning(state, command.requestId, command.outcome, now, effects, machineOf);
      break;
    case 'terminated':
      if (state.leadership === null) break;
      if (command.ok) removeTerminated(state, command.machines, effects);
      else for (const name of command.machines) allowRetry(state, name);
      break;
  }
}

function allowRetry(state: CoreState, name: string): void {
  const machine = state.machines.get(name);
  if (machine !== undefined) machine.terminationRequestedAt = null;
}

/** Looks again at the reports that may wait for the commit under way: of machines with tasks that it tells of. */
function lookAgain(state: CoreState): void {
  const { chunks = [], completing = [], cancelling = [] } = state.commit ?? {};
  const look = (claim: LiveClaim | undefined): void => {
    const machine = claim && state.machines.get(claim.machine);
    if (machine !== undefined && machine.pendingHeartbeat !== null) state.answerable.push(machine);
  };
  for (const { job, chunk } of chunks) {
    const [first, end] = chunkRange(state, job, chunk);
    for (let task = first; task < end; task += 1) look(job.claims.get(task));
  }
  for (const job of [...completing, ...cancelling]) for (const claim of job.claims.values()) look(claim);
}

/**
 * Answers the reports that nothing holds up any more. One that waits for a commit is looked
 * at again when a commit of its tasks is settled, at a tick, and once it has waited long enough;
 * so what this costs follows what has happened, not how many wait.
 */
function answerReports(state: CoreState, now: Now, all: boolean, effects: Effect[]): void {
  const look = (machine: Machine, anyway: boolean): void => {
    if (machine.pendingHeartbeat === null) return;
    if (!hasAuthority(state, now)) refuse(state, machine, effects);
    else if (anyway || !awaitsCommit(state, machine)) answerHeartbeat(state, machine, effects);
  };
  const fresh = state.answerable.splice(0);
  for (const machine of all ? [...state.pendingHeartbeats] : fresh) look(machine, false);
  // In the order in which they came.
  for (const machine of state.pendingHeartbeats) {
    if (
      machine.pendingHeartbeat !== null &&
      now.monotonicMs - machine.pendingHeartbeat.since < state.config.timing.maxReplyDelayMs
    )
      break;
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
  if (now.monotonicMs >= since + state.config.policy.maxPlacementDelayMs) return true;
  const { health } = state;
  // One that can hardly hear its workers in time hears them first.
  return (
    !state.isOverloaded &&
    health !== null &&
    health.running > 0 &&
    health.neverReported <= (1 - ENOUGH) * health.running
  );
}

/** Whether there still is something to say to a machine at the end of a step. */
function isStillOwed(state: CoreState, name: string): boolean {
  const machine = state.machines.get(name);
  return machine !== undefined && state.attention.has(machine);
}

export function step(state: CoreState, commands: readonly Command[], now: Now): Effect[] {
  const effects: Effect[] = [];
  state.monotonicMs = now.monotonicMs;
  let ticked = false;
  let settled = false;
  for (const command of commands) {
    ticked ||= command.kind === 'tick';
    settled ||= command.kind === 'reconciled';
    apply(state, command, now, effects);
  }
  const lead = state.leadership;
  if (lead === null) return effects;
  const begins = lead.isTransferring !== true;
  const placing = begins && hasHeardEnough(state, lead.since, now);
  // What the fleet has is known once every machine had the time to report: placing goes by each as
  // it comes, but a plan by half of them would rent the rest anew.
  const planning = placing && now.monotonicMs >= lead.since + state.config.timing.maxHeartbeatIntervalMs;
  // One that is behind its timers goes through the queue only so often: each pass holds up reports.
  const due =
    !state.isOverloaded || now.monotonicMs - state.lastPlacementAt >= state.config.timing.tickMs / 2;
  if (placing && (ticked || (state.isPlacementDue && due))) {
    state.isPlacementDue = false;
    state.lastPlacementAt = now.monotonicMs;
    if (ticked) {
      chooseGuaranteed(state);
      chooseReserved(state, now);
      sortQueue(state, now);
    }
    place(state, now, ticked);
  }
  const commit = nextCommit(state, now);
  if (commit !== null) effects.push(commit);
  const ids = nextDependencyQuery(state, now);
  if (ids !== null) effects.push({ kind: 'resolveDependencies', ids });
  answerReports(state, now, ticked || settled, effects);
  if (state.newAttention.length > 0) {
    // What was answered in this step has been told; of the rest the followers learn.
    const machines = state.newAttention.splice(0).filter((name) => isStillOwed(state, name));
    if (machines.length > 0) effects.push({ kind: 'attention', machines });
  }
  if (ticked) {
    if (!state.isOverloaded) announceToken(state, now, effects);
    if (planning && hasFreshView(state) && now.monotonicMs >= state.nextPlanAt) {
      state.nextPlanAt = now.monotonicMs + state.config.timing.maxHeartbeatIntervalMs;
      scaleOut(state, now, effects);
    }
    if (begins && hasFreshView(state)) scaleIn(state, now, effects);
    saveDemandHistory(state, now, effects);
    const unexpected = state.unexpected.splice(0);
    if (unexpected.length > 0)
      log(effects, 'machines report unexpectedly', {
        machines: unexpected.length,
        first: unexpected.slice(0, 5),
      });
  }
  return effects;
}
