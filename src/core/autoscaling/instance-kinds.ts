/** Kinds of instance that the cloud offers, and which of them is the cheapest for a job's tasks. */
import { fitsType, satisfiesConstraints, tasksPerMachine } from '../placement/resources.js';
import type { Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec, MachineType } from '../types.js';

/**
 * Price factor of a constrained type, which is the only type that some class can use, for jobs that can use others.
 */
const CONSTRAINED_TYPE_PRICE_FACTOR = 4;
/** Prices within this ratio of each other count as equal. */
const SAME_PRICE_RATIO = 1.001;

/** What one provisioning request is for: a machine type in a zone, spot or on-demand. */
export interface InstanceKind {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Price of the share of an instance that one task takes, times the factor for constrained types. */
  readonly pricePerTask: number;
}

/** Key of a kind in maps. */
export const instanceKindKey = (type: string, zone: string, spot: boolean): string =>
  `${type}/${zone}/${spot ? 'spot' : 'on-demand'}`;

/** Whether the cloud has recently failed to provide instances of a kind. */
function isBlocked(state: CoreState, type: string, zone: string, spot: boolean, now: Now): boolean {
  const blockedUntil = state.provisioningBlockedUntil.get(instanceKindKey(type, zone, spot)) ?? 0;
  return blockedUntil > now.monotonicMs;
}

/**
 * Kinds of instance that may be requested for a job now, cheapest per task first. `isFlexible`: the job can
 * use several machine types, and constrained types are rated more expensive for it.
 */
export function availableKinds(
  state: CoreState,
  spec: JobSpec,
  constrainedTypes: ReadonlySet<string>,
  isFlexible: boolean,
  now: Now,
): InstanceKind[] {
  const kinds: InstanceKind[] = [];
  for (const type of state.machineTypes.values()) {
    if (!fitsType(spec, type)) continue;
    const isLeftToOthers = isFlexible && constrainedTypes.has(type.name);
    const factor =
      (isLeftToOthers ? CONSTRAINED_TYPE_PRICE_FACTOR : 1) / Math.max(1, tasksPerMachine(spec, type));
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        if (!satisfiesConstraints(spec, type.name, zone, spot)) continue;
        if (isBlocked(state, type.name, zone, spot, now)) continue;
        kinds.push({ type, zone, spot, pricePerTask: (spot ? type.spotPrice : type.price) * factor });
      }
    }
  }
  return kinds.sort((a, b) => a.pricePerTask - b.pricePerTask);
}

/**
 * The kind to request next: of the cheapest kinds, the one with the fewest machines so far. More machines are then
 * left after a partition of a zone or a wave of spot reclamations. `counts`: machines by the kind's key.
 * `kinds`: cheapest first.
 */
export function cheapestBalancedKind(
  counts: ReadonlyMap<string, number>,
  kinds: readonly InstanceKind[],
): InstanceKind | undefined {
  const maxPrice = (kinds[0]?.pricePerTask ?? 0) * SAME_PRICE_RATIO;
  let best: InstanceKind | undefined;
  let fewest = Infinity;
  for (const kind of kinds) {
    if (kind.pricePerTask > maxPrice) break;
    const count = counts.get(instanceKindKey(kind.type.name, kind.zone, kind.spot)) ?? 0;
    if (count >= fewest) continue;
    best = kind;
    fewest = count;
  }
  return best;
}
