/** Applies each kind of command to the state. Work that follows from a whole batch of commands is done in `step`. */
import { settleProvisioning } from './autoscaling/provisioning.js';
import type { Command, CommandOf, Effect } from './effects.js';
import { applyKeepalive } from './fleet/keepalives.js';
import { getOrCreateMachine } from './fleet/machines.js';
import { applyListing, removeTerminated } from './fleet/cloud-listing.js';
import { detectFailures } from './fleet/failure-detection.js';
import { settleProbe } from './fleet/probes.js';
import { recheckAwaitingCommit } from './heartbeat-answers.js';
import { receiveDirectAnswer, receiveHeartbeat } from './heartbeat-intake.js';
import { settleDependencyQuery } from './jobs/dependencies.js';
import { becomeLeader, confirmView, fenceStarts, resign, resignIfSuperseded } from './leadership.js';
import type { MachineType } from './types.js';
import type { Now } from './model.js';
import { settleCommit } from './persistence/commit.js';
import { addJob, removeJob } from './persistence/job-lifecycle.js';
import { settleReconciliation } from './persistence/reconciliation.js';
import { hasFreshView, type CoreState } from './state.js';

type Handler<Kind extends Command['kind']> = (
  state: CoreState,
  command: CommandOf<Kind>,
  now: Now,
  effects: Effect[],
) => void;

function applyTick(state: CoreState, command: CommandOf<'tick'>, now: Now, effects: Effect[]): void {
  state.isOverloaded = command.isOverloaded === true;
  const isTransferring = state.leadership?.isTransferring === true;
  if (!isTransferring && command.isStalled !== true && hasFreshView(state))
    detectFailures(state, now, effects);
}

function replaceJobs(state: CoreState, { jobs, revision }: CommandOf<'jobsReplaced'>): void {
  if (state.leadership === null) return;
  const liveIds = new Set(jobs.map((job) => job.value.id));
  for (const job of jobs) addJob(state, job);
  // A job accepted after the read is missing from the list, but its revision is higher.
  for (const [id, job] of state.jobs)
    if (job.modRevision <= revision && !liveIds.has(id)) removeJob(state, id);
}

function applyCommitOutcome(
  state: CoreState,
  { id, outcome }: CommandOf<'committed'>,
  now: Now,
  effects: Effect[],
): void {
  recheckAwaitingCommit(state);
  if (settleCommit(state, id, outcome, now, effects) === 'superseded')
    resign(state, 'the term has been raised', effects);
}

function recordRelayedMachines(
  state: CoreState,
  { machines, ageMs }: CommandOf<'machinesRelayed'>,
  now: Now,
): void {
  for (const name of machines) {
    const machine = state.machines.get(name);
    if (machine !== undefined)
      machine.lastContactElsewhereAt = Math.max(machine.lastContactElsewhereAt ?? 0, now.monotonicMs - ageMs);
  }
}

function replaceCatalog(state: CoreState, types: readonly MachineType[]): void {
  state.machineTypes = new Map(types.map((type) => [type.name, type]));
  for (const machine of state.machines.values()) state.changedMachines.add(machine);
  state.isPlacementDue = true;
}

function settleTermination(state: CoreState, command: CommandOf<'terminated'>, effects: Effect[]): void {
  if (state.leadership === null) return;
  if (command.ok) {
    removeTerminated(state, command.machines, effects);
    return;
  }
  for (const name of command.machines) {
    const machine = state.machines.get(name);
    if (machine !== undefined) machine.terminationRequestedAt = null;
  }
}

const HANDLERS: { readonly [Kind in Command['kind']]: Handler<Kind> } = {
  tick: applyTick,
  heartbeat: receiveHeartbeat,
  directAnswer: receiveDirectAnswer,
  becomeLeader,
  transferLeadership: (state) => {
    if (state.leadership !== null) state.leadership.isTransferring = true;
  },
  resign: (state, { reason }, _now, effects) => resign(state, reason, effects),
  higherTokenSeen: (state, { token }, _now, effects) => resignIfSuperseded(state, 'a peer', token, effects),
  viewConfirmed: (state, { sentAt, revision }) => confirmView(state, sentAt, revision ?? 0),
  fenceStarts: (state, { revision }, _now, effects) => fenceStarts(state, revision, effects),
  dependenciesResolved: (state, { found }, now) => settleDependencyQuery(state, found, now),
  adoptLayout: (state, { layout }) => {
    if (state.leadership !== null) state.pendingLayout = layout;
  },
  jobAdded: (state, { job }, now) => {
    if (state.leadership === null) return;
    addJob(state, job);
    state.nextPlanAt = Math.min(state.nextPlanAt, now.monotonicMs);
  },
  jobRemoved: (state, { id }) => removeJob(state, id),
  jobsReplaced: replaceJobs,
  committed: applyCommitOutcome,
  reconciled: (state, { id, found }, now, effects) => settleReconciliation(state, id, found, now, effects),
  machinesRelayed: recordRelayedMachines,
  keepalives: (state, { keepalives }, now) => {
    for (const keepalive of keepalives) applyKeepalive(state, keepalive, now);
  },
  probed: (state, { machine, isReachable }, now) => settleProbe(state, machine, isReachable, now),
  catalog: (state, { types }) => replaceCatalog(state, types),
  machinesListed: (state, { machines }, now, effects) => {
    if (state.leadership !== null) applyListing(state, machines, now, effects);
  },
  provisioned: (state, { requestId, outcome }, now, effects) =>
    settleProvisioning(state, requestId, outcome, now, effects, (name) =>
      getOrCreateMachine(state, name, now),
    ),
  terminated: (state, command, _now, effects) => settleTermination(state, command, effects),
};

/** Applies one command to the state and appends its immediate effects to `effects`. */
export function applyCommand(state: CoreState, command: Command, now: Now, effects: Effect[]): void {
  // TypeScript cannot relate `command.kind` to its handler here; the type of the table ensures that they match.
  const handle = HANDLERS[command.kind] as Handler<Command['kind']>;
  handle(state, command, now, effects);
}
