/** Handles the outcome of provisioning requests. */
import type { Effect } from '../effects.js';
import { log } from '../log.js';
import type { Machine, Now, ProvisioningRequest } from '../model.js';
import type { CoreState } from '../state.js';
import { instanceKindKey } from './instance-kinds.js';

/** Boot time of a machine of unknown type, in seconds. */
const DEFAULT_BOOT_S = 30;
/** A kind that the cloud could not provide in full is not requested again for this share of its boot time. */
const BLOCKED_BOOT_SHARE = 0.5;

/** The names of the provisioned instances, or why there are none; `unknown`: the answer was lost. */
export type ProvisioningOutcome = readonly string[] | 'refused' | 'malformed' | 'unknown';

function registerInstance(machine: Machine, request: ProvisioningRequest): void {
  machine.type = request.type;
  machine.zone = request.zone;
  machine.spot = request.spot;
  machine.provisionedAt = Math.min(machine.provisionedAt, request.requestedAt);
}

/** Blocks requests for a kind for some time, and makes the next plan due now: other kinds may be available. */
function blockKind(state: CoreState, { type, zone, spot }: ProvisioningRequest, now: Now): void {
  if (state.nextPlanAt > 0) state.nextPlanAt = 1;
  const bootMs = (state.machineTypes.get(type)?.bootS ?? DEFAULT_BOOT_S) * 1000;
  state.provisioningBlockedUntil.set(
    instanceKindKey(type, zone, spot),
    now.monotonicMs + BLOCKED_BOOT_SHARE * bootMs,
  );
}

/**
 * Handles the outcome of a provisioning request: registers its machines, and blocks a kind that the cloud could
 * not provide in full. A request of unknown outcome is sent again: its id is an idempotency key.
 */
export function settleProvisioning(
  state: CoreState,
  requestId: string,
  outcome: ProvisioningOutcome,
  now: Now,
  effects: Effect[],
  machineOf: (name: string) => Machine,
): void {
  const request = state.provisioningRequests.get(requestId);
  if (request === undefined) return;
  if (outcome === 'unknown') {
    const { type, zone, spot, count } = request;
    effects.push({ kind: 'provision', requestId, type, zone, spot, count });
    return;
  }
  state.provisioningRequests.delete(requestId);
  const names = typeof outcome === 'string' ? [] : outcome;
  for (const name of names)
    if (!state.terminatedMachines.has(name)) registerInstance(machineOf(name), request);
  if (names.length < request.count) blockKind(state, request, now);
  log(effects, 'machines provisioned', { request: requestId, got: names.length, of: request.count });
}
