/** Updates the machine registry from the cloud's list of instances and its confirmations of terminations. */
import type { Effect } from '../effects.js';
import { MAX_TRACKED_MACHINES } from '../limits.js';
import { log } from '../log.js';
import type { Now } from '../model.js';
import { releaseClaim } from '../persistence/claims.js';
import type { CoreState } from '../state.js';
import type { ListedMachine } from '../types.js';
import { dropAllImages } from './image-cache.js';
import { getOrCreateMachine, markForTermination } from './machines.js';
import { takePendingHeartbeat } from './pending-heartbeats.js';
import { TerminationReason } from './termination-reasons.js';

/** Maximum number of new machines named in the log line about a listing. */
const MAX_LOGGED_NAMES = 5;

/** Removes machines whose termination the cloud has confirmed, and releases all claims on them. */
export function removeTerminated(state: CoreState, names: readonly string[], effects: Effect[]): void {
  for (const name of names) {
    state.terminatedMachines.add(name);
    const machine = state.machines.get(name);
    if (machine === undefined) continue;
    for (const claim of [...machine.claims.values()]) releaseClaim(state, claim, false);
    const pending = takePendingHeartbeat(state, machine);
    if (pending !== null) effects.push({ kind: 'reply', reply: pending.reply, body: { kind: 'unable' } });
    dropAllImages(state, machine);
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

function applyListedMachine(state: CoreState, entry: ListedMachine, now: Now): void {
  const machine = getOrCreateMachine(state, entry.name, now);
  // A new leader may receive heartbeats of a machine before the cloud's list, and only the list states its age.
  machine.provisionedAt = Math.min(machine.provisionedAt, now.monotonicMs - entry.ageS * 1000);
  if (machine.type === '') {
    machine.type = entry.type;
    machine.zone = entry.zone;
    machine.spot = entry.spot;
    state.isPlacementDue = true;
  }
  if (machine.address === '') machine.address = entry.address;
  machine.cloudStage = entry.stage;
  if (entry.stage === 'failed') markForTermination(machine, TerminationReason.instanceFailed);
}

/** Applies the cloud's list of instances: registers new ones, and ignores those whose termination is confirmed. */
export function applyListing(
  state: CoreState,
  listed: readonly ListedMachine[],
  now: Now,
  effects: Effect[],
): void {
  const added: string[] = [];
  for (const entry of listed) {
    if (state.terminatedMachines.has(entry.name)) continue;
    if (!state.machines.has(entry.name)) added.push(entry.name);
    applyListedMachine(state, entry, now);
  }
  // One log line covers all new machines, because a new leader registers the whole fleet from one list.
  if (added.length > 0)
    log(effects, 'machines adopted', {
      machines: added.length,
      first: added.slice(0, MAX_LOGGED_NAMES),
    });
}
