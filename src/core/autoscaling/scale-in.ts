/** Scaling in: requests the termination of machines that are idle or marked for termination. */
import type { Effect } from '../effects.js';
import { markForTermination } from '../fleet/machines.js';
import { TerminationReason } from '../fleet/termination-reasons.js';
import { log } from '../log.js';
import { countWithin, listedNameBytes, MAX_LIST_BYTES } from '../message-sizes.js';
import { isExitDurable, type Machine, type Now } from '../model.js';
import type { CoreState } from '../state.js';

/** Maximum number of machines in one termination request. */
const MAX_TERMINATIONS_PER_REQUEST = 100;
/** The cloud bills at least this much time of a machine, in milliseconds: terminating it sooner saves nothing. */
const MIN_BILLED_MS = 60_000;

/** Whether a machine has no use and has been idle for longer than the policy's idle timeout. */
function hasIdledTooLong(state: CoreState, machine: Machine, now: Now): boolean {
  const type = state.machineTypes.get(machine.type);
  if (type === undefined || machine.claims.size > 0 || machine.lastHeartbeatAt === null) return false;
  if (state.plannedMachines.has(machine.name)) return false;
  if (now.monotonicMs - machine.provisionedAt < MIN_BILLED_MS) return false;
  if (now.monotonicMs - machine.idleSince <= state.config.policy.idleTimeoutMs(type, machine.spot))
    return false;
  // Completed tasks would run again if both the machine and this leader were gone before
  // their exits are written.
  for (const exit of machine.exits.values()) if (!isExitDurable(exit)) return false;
  return true;
}

/** Whether the termination of a machine was requested so recently that the cloud may still answer. */
function isTerminationPending(state: CoreState, { terminationRequestedAt }: Machine, now: Now): boolean {
  return (
    terminationRequestedAt !== null &&
    now.monotonicMs - terminationRequestedAt < state.config.timing.workerLeaseMs
  );
}

/** Requests the termination of machines that are marked for it, or have been idle for too long. */
export function scaleIn(state: CoreState, now: Now, effects: Effect[]): void {
  const due: Machine[] = [];
  for (const machine of state.machines.values()) {
    if (machine.terminationReason === null && hasIdledTooLong(state, machine, now))
      markForTermination(machine, TerminationReason.idle);
    if (machine.terminationReason === null || isTerminationPending(state, machine, now)) continue;
    due.push(machine);
    if (due.length === MAX_TERMINATIONS_PER_REQUEST) break;
  }
  const terminated = due.slice(
    0,
    countWithin(due, ({ name }) => listedNameBytes(name), MAX_LIST_BYTES),
  );
  for (const machine of terminated) {
    machine.terminationRequestedAt = now.monotonicMs;
    log(effects, 'machine terminated', {
      machine: machine.name,
      reason: machine.terminationReason,
      tasks: machine.claims.size,
    });
  }
  if (terminated.length > 0)
    effects.push({ kind: 'terminate', machines: terminated.map(({ name }) => name) });
}
