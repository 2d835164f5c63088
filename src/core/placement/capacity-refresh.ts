/** Keeps the capacity index in line with the machines. */
import { expectedEnd } from '../fleet/expected-end.js';
import { isSchedulable } from '../fleet/machines.js';
import type { LiveClaim, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { NodeCapacity } from './capacity-index.js';

/** Whether tasks may be placed on a machine, apart from its free resources and the constraints of jobs. */
function isPlaceable(state: CoreState, machine: Machine, now: Now): boolean {
  if (!isSchedulable(state, machine, now)) return false;
  // Once there is a capacity plan, on-demand machines that it does not use are drained.
  return machine.spot || state.nextPlanAt === 0 || state.plannedMachines.has(machine.name);
}

/**
 * Applies the changes on machines since the last call. With `isFull`, all machines are read again
 * and the shadow times cleared, because expected ends move with time. Returns the nodes that have
 * changed; null: any node may have changed.
 */
export function refreshCapacity(state: CoreState, now: Now, isFull: boolean): NodeCapacity[] | null {
  const { capacityIndex, changedMachines } = state;
  const endOf = (claim: LiveClaim): number => expectedEnd(state, claim, now);
  const changed: NodeCapacity[] = [];
  const refresh = (machine: Machine): void => {
    const type = state.machineTypes.get(machine.type);
    if (type === undefined || !state.machines.has(machine.name) || !isPlaceable(state, machine, now))
      capacityIndex.remove(machine);
    else changed.push(capacityIndex.update(machine, type, endOf));
  };
  for (const machine of changedMachines) refresh(machine);
  changedMachines.clear();
  if (!isFull) return changed;
  capacityIndex.clearShadowTimes();
  for (const machine of state.machines.values()) refresh(machine);
  return null;
}
