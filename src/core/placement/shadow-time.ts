/**
 * Shadow time and extra nodes of EASY backfilling (Mu'alem & Feitelson). The shadow time is the
 * earliest time at which a blocked job fits, as running tasks end; the extra nodes are the
 * resources left free beside the job at that time. Both are counted per machine and resource.
 */
import { expectedReleases, type ExpectedRelease } from '../fleet/expected-end.js';
import type { Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { ResourceRequest, Resources } from '../types.js';
import type { NodeCapacity } from './capacity-index.js';
import { allocate, fits, machineCapacity, release, resourcesOf } from './resources.js';
import type { NodeShadow } from './shadow-time-cache.js';

/** Capacity of one node that is reserved for a blocked job. */
export interface ReservedCapacity {
  /** Monotonic time in milliseconds until which all of the node may be used. */
  readonly shadowTime: number;
  /** The paper's extra nodes: the resources that may also be used beyond the shadow time. */
  readonly extra: Resources;
}

/** What is reserved for a blocked job. */
export interface Reservation {
  /** Monotonic time in milliseconds at which the job is expected to start. */
  readonly shadowTime: number;
  /** The nodes that its tasks are expected to start on. */
  readonly capacity: ReadonlyMap<NodeCapacity, ReservedCapacity>;
}

/** Capacity to reserve on a node for a task that starts there at its shadow time; what is left is extra. */
export function reservedCapacity({ at, free }: NodeShadow, request: ResourceRequest): ReservedCapacity {
  const extra = { ...free };
  allocate(extra, request);
  return { shadowTime: at, extra };
}

/**
 * The paper's two tests, on a node with reserved capacity: a task may be backfilled if it ends
 * before the shadow time, or if it fits the extra nodes.
 */
export function mayBackfill(reserved: ReservedCapacity, request: ResourceRequest, end: number): boolean {
  return end <= reserved.shadowTime || fits(request, reserved.extra);
}

/** The earliest time at which one task with this request fits a node, and what is free there at that time. */
export function shadowOn(
  state: CoreState,
  node: NodeCapacity,
  request: ResourceRequest,
  now: Now,
): NodeShadow {
  const free = resourcesOf(node.unreserved);
  if (fits(request, free)) return { at: now.monotonicMs, free };
  if (!fits(request, machineCapacity(node.type))) return { at: Infinity, free };
  for (const { at, resources } of expectedReleases(state, node.machine, now)) {
    if (at === Infinity) break;
    release(free, resources);
    if (fits(request, free)) return { at, free };
  }
  return { at: Infinity, free };
}

/**
 * Reserves capacity for a single task, on the eligible node where it can start first; null if it
 * never fits any. The index keeps shadow times in order, so that only nodes that have changed are
 * computed again.
 */
export function earliestShadow(
  state: CoreState,
  request: ResourceRequest,
  now: Now,
  isEligible: (node: NodeCapacity) => boolean,
): Reservation | null {
  const shadowTimes = state.capacityIndex.shadowTimes(request, (node) => shadowOn(state, node, request, now));
  const found = shadowTimes.earliest(isEligible);
  if (found === null) return null;
  const { node, shadow } = found;
  return { shadowTime: shadow.at, capacity: new Map([[node, reservedCapacity(shadow, request)]]) };
}

/** Number of tasks with one request that fit each of several nodes, updated as running tasks end. */
class FittingTasks {
  /** Free resources of each node, including those that ended tasks have released. */
  readonly #free: Map<NodeCapacity, Resources>;
  readonly #counts: Map<NodeCapacity, number>;
  /** Number of tasks that fit on all nodes together. */
  total = 0;

  /** At most `limit` tasks are counted on each node. */
  constructor(
    nodes: readonly NodeCapacity[],
    private readonly request: ResourceRequest,
    private readonly limit: number,
  ) {
    this.#free = new Map(nodes.map((node) => [node, { ...node.unreserved }]));
    this.#counts = new Map(nodes.map((node) => [node, this.#countOn(node)]));
    for (const count of this.#counts.values()) this.total += count;
  }

  #countOn(node: NodeCapacity): number {
    const free = this.freeOn(node);
    let count = 0;
    for (; count < this.limit && fits(this.request, free); count += 1) allocate(free, this.request);
    return count;
  }

  countOn(node: NodeCapacity): number {
    return this.#counts.get(node) ?? 0;
  }

  /** A copy of the free resources of a node. */
  freeOn(node: NodeCapacity): Resources {
    return { ...(this.#free.get(node) ?? node.unreserved) };
  }

  /** Releases the resources of a running task that has ended, and updates the counts. */
  release(node: NodeCapacity, ended: ResourceRequest): void {
    const free = this.#free.get(node);
    if (free !== undefined) release(free, ended);
    const count = this.#countOn(node);
    this.total += count - this.countOn(node);
    this.#counts.set(node, count);
  }
}

/** What some nodes are expected to free, earliest first. */
function releasesOn(
  state: CoreState,
  nodes: readonly NodeCapacity[],
  now: Now,
): (ExpectedRelease & { readonly node: NodeCapacity })[] {
  return nodes
    .flatMap((node) => expectedReleases(state, node.machine, now).map((released) => ({ ...released, node })))
    .sort((a, b) => a.at - b.at);
}

/**
 * Reserves capacity for tasks that start together: adds up the resources that running tasks free, in
 * the order of their expected ends, until enough tasks fit. Null if that never happens.
 */
export function reserveAcrossMachines(
  state: CoreState,
  nodes: readonly NodeCapacity[],
  request: ResourceRequest,
  count: number,
  now: Now,
): Reservation | null {
  const fitting = new FittingTasks(nodes, request, count);
  let shadowTime = now.monotonicMs;
  for (const { node, resources, at } of releasesOn(state, nodes, now)) {
    if (fitting.total >= count || at === Infinity) break;
    shadowTime = at;
    fitting.release(node, resources);
  }
  if (fitting.total < count) return null;
  const capacity = new Map<NodeCapacity, ReservedCapacity>();
  let remaining = count;
  for (const node of [...nodes].sort((a, b) => fitting.countOn(b) - fitting.countOn(a))) {
    const taken = Math.min(remaining, fitting.countOn(node));
    if (taken === 0) break;
    const extra = fitting.freeOn(node);
    for (let i = 0; i < taken; i += 1) allocate(extra, request);
    capacity.set(node, { shadowTime, extra });
    remaining -= taken;
  }
  return { shadowTime, capacity };
}
