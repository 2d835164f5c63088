/** Scaling in: the termination of machines that are idle or have been given up. */
import type { Effect } from '../effects.js';
import { markForTermination } from '../fleet/machines.js';
import { TerminationReason } from '../fleet/termination-reasons.js';
import { log } from '../log.js';
import { isExitDurable, type Machine, type Now } from '../model.js';
import type { CoreState } from '../state.js';

/** Machines terminated in one request, at most. */
const MAX_TERMINATIONS_PER_REQUEST = 100;
/** The cloud bills at least so much of a machine's time: ending it sooner saves nothing. */
const MIN_BILLED_MS = 60_000;

/** Whether a machine has had no use for longer than the policy keeps such a machine. */
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

/** Whether the cloud has been asked to terminate a machine so lately that its answer may still come. */
function isTerminationPending(state: CoreState, { terminationRequestedAt }: Machine, now: Now): boolean {
  return (
    terminationRequestedAt !== null &&
    now.monotonicMs - terminationRequestedAt < state.config.timing.workerLeaseMs
  );
}

/** Requests the termination of machines that are marked for it, or have been idle for too long. */
export function scaleIn(state: CoreState, now: Now, effects: Effect[]): void {
  const names: string[] = [];
  for (const machine of state.machines.values()) {
    if (machine.terminationReason === null && hasIdledTooLong(state, machine, now))
      markForTermination(machine, TerminationReason.idle);
    if (machine.terminationReason === null || isTerminationPending(state, machine, now)) continue;
    machine.terminationRequestedAt = now.monotonicMs;
    names.push(machine.name);
    log(effects, 'machine terminated', {
      machine: machine.name,
      reason: machine.terminationReason,
      tasks: machine.claims.size,
    });
    if (names.length === MAX_TERMINATIONS_PER_REQUEST) break;
  }
  if (names.length > 0) effects.push({ kind: 'terminate', machines: names });
}
