/**
 * Index of the machines that tasks may be placed on, by their free resources, so that a machine
 * with room for a task is found without visiting the full ones.
 */
import type { LiveClaim, Machine } from '../model.js';
import type { JobSpec, MachineType, ResourceRequest } from '../types.js';
import {
  bucketOf,
  createNodeGroup,
  firstBucketFor,
  type NodeCapacity,
  type NodeGroup,
} from './node-capacity.js';
import { allocate, fits, freeResources, noResources, release, taskRequest } from './resources.js';
import { ShadowTimeCache, type NodeShadow } from './shadow-time-cache.js';

export type { NodeCapacity, NodeGroup } from './node-capacity.js';

/** The nodes that tasks may be placed on, with the headroom held on them and their shadow times. */
export class CapacityIndex {
  readonly #nodes = new Map<Machine, NodeCapacity>();
  readonly #groups = new Map<string, NodeGroup>();
  /** Number of tasks that headroom is held for, by job class. */
  readonly #headroomTasks = new Map<string, number>();
  /** Shadow times by resource request. */
  readonly #shadowTimes = new Map<string, ShadowTimeCache>();
  /** Nodes in the order of their changes since the shadow times were last cleared. */
  readonly changeLog: NodeCapacity[] = [];

  /** Number of nodes. */
  get size(): number {
    return this.#nodes.size;
  }

  /** All nodes, in the order in which they were added. */
  get nodes(): Iterable<NodeCapacity> {
    return this.#nodes.values();
  }

  /** Groups that have nodes; spot groups first. */
  get groups(): NodeGroup[] {
    return [...this.#groups.values()]
      .filter(({ size }) => size > 0)
      .sort((a, b) => Number(b.spot) - Number(a.spot));
  }

  /** Removes all nodes, headroom and shadow times. */
  clear(): void {
    this.#nodes.clear();
    this.#groups.clear();
    this.#headroomTasks.clear();
    this.clearShadowTimes();
  }

  /** The node of a machine; undefined: no task may be placed on it. */
  of(machine: Machine): NodeCapacity | undefined {
    return this.#nodes.get(machine);
  }

  /** Nodes of one machine type. */
  *ofType(name: string): Generator<NodeCapacity> {
    for (const { type, byFreeCpus } of this.#groups.values()) {
      if (type.name === name) for (const nodes of byFreeCpus) yield* nodes;
    }
  }

  /** The largest number of CPUs of any machine in the index; 0: there is none. */
  maxCpus(): number {
    let maxCpus = 0;
    for (const { type, size } of this.#groups.values()) if (size > 0) maxCpus = Math.max(maxCpus, type.cpus);
    return maxCpus;
  }

  /** Shadow times of a resource request on each node, as of the latest `clearShadowTimes`. */
  shadowTimes(request: ResourceRequest, compute: (node: NodeCapacity) => NodeShadow): ShadowTimeCache {
    const key = `${request.cpus}/${request.gpus}/${request.memoryGb}/${request.heartbeatBytes}`;
    let cache = this.#shadowTimes.get(key);
    if (cache === undefined) {
      cache = new ShadowTimeCache(this, compute);
      this.#shadowTimes.set(key, cache);
    }
    return cache;
  }

  /** Drops all shadow times, as expected ends move with time; they are computed again when next needed. */
  clearShadowTimes(): void {
    this.#shadowTimes.clear();
    this.changeLog.length = 0;
  }

  /** Removes a machine; no effect if it is not in the index. */
  remove(machine: Machine): void {
    const node = this.#nodes.get(machine);
    if (node === undefined) return;
    this.#nodes.delete(machine);
    removeFromBuckets(node);
    node.group.size -= 1;
  }

  /** Adds a machine, or updates its node from the machine's present type and claims. */
  update(machine: Machine, type: MachineType, endOf: (claim: LiveClaim) => number): NodeCapacity {
    let node = this.#nodes.get(machine);
    if (node !== undefined && node.type !== type) {
      this.remove(machine);
      node = undefined;
    }
    node ??= this.#add(machine, type);
    node.busyUntil = 0;
    for (const claim of machine.claims.values()) node.busyUntil = Math.max(node.busyUntil, endOf(claim));
    this.reindex(node);
    return node;
  }

  #add(machine: Machine, type: MachineType): NodeCapacity {
    const group = this.#groupOf(machine, type);
    const node = {
      machine,
      type,
      unreserved: noResources(),
      headroom: noResources(),
      busyUntil: 0,
      version: 0,
      group,
      buckets: { unreserved: 0, free: 0 },
    };
    group.size += 1;
    this.#nodes.set(machine, node);
    return node;
  }

  #groupOf(machine: Machine, type: MachineType): NodeGroup {
    const { zone, spot } = machine;
    const key = `${type.name}/${zone}/${spot ? 'spot' : 'on-demand'}`;
    const known = this.#groups.get(key);
    if (known !== undefined && known.type === type) return known;
    const group = createNodeGroup(type, zone, spot);
    this.#groups.set(key, group);
    return group;
  }

  /** Recomputes the unreserved resources of a node, and moves it to the matching buckets. */
  reindex(node: NodeCapacity): void {
    const { machine, type, unreserved, headroom, group } = node;
    Object.assign(unreserved, freeResources(machine, type));
    // Claims take precedence: headroom that no longer fits beside them is released as a whole.
    if (!fits(headroom, unreserved)) Object.assign(headroom, noResources());
    const freeBucket = bucketOf(type, unreserved);
    allocate(unreserved, headroom);
    const unreservedBucket = bucketOf(type, unreserved);
    removeFromBuckets(node);
    node.buckets = { unreserved: unreservedBucket, free: freeBucket };
    group.byUnreservedCpus[unreservedBucket]?.add(node);
    group.byFreeCpus[freeBucket]?.add(node);
    this.recordChange(node);
  }

  /** Records that a node has changed, so that its cached shadow times are computed again. */
  recordChange(node: NodeCapacity): void {
    node.version += 1;
    this.changeLog.push(node);
  }

  /** Holds headroom on a node for one more task of a job's class. */
  reserveHeadroom(node: NodeCapacity, spec: JobSpec): void {
    release(node.headroom, taskRequest(spec));
    this.#headroomTasks.set(spec.jobClass, this.headroomTasks(spec) + 1);
    this.reindex(node);
  }

  /** Number of tasks of a job's class that headroom is held for. */
  headroomTasks(spec: JobSpec): number {
    return this.#headroomTasks.get(spec.jobClass) ?? 0;
  }

  /** Counts one task less that headroom is held for: a task of the class has been placed on it. */
  consumeHeadroom(spec: JobSpec): void {
    this.#headroomTasks.set(spec.jobClass, Math.max(0, this.headroomTasks(spec) - 1));
  }

  /** Releases all headroom on every node. */
  releaseAllHeadroom(): void {
    this.#headroomTasks.clear();
    for (const node of this.#nodes.values()) {
      if (Object.values(node.headroom).every((amount) => amount === 0)) continue;
      Object.assign(node.headroom, noResources());
      this.reindex(node);
    }
  }
}

function removeFromBuckets(node: NodeCapacity): void {
  const { group, buckets } = node;
  group.byUnreservedCpus[buckets.unreserved]?.delete(node);
  group.byFreeCpus[buckets.free]?.delete(node);
}

/**
 * Nodes of a group that may have room for a request, tightest fit first. With `includesHeadroom`
 * headroom counts as free.
 */
export function* tightestFirst(
  group: NodeGroup,
  request: ResourceRequest,
  includesHeadroom: boolean,
): Generator<NodeCapacity> {
  const buckets = includesHeadroom ? group.byFreeCpus : group.byUnreservedCpus;
  for (let bucket = firstBucketFor(group.type, request); bucket < buckets.length; bucket += 1) {
    const nodes = buckets[bucket];
    // A copy: nodes move between buckets while the caller iterates.
    if (nodes !== undefined && nodes.size > 0) yield* [...nodes];
  }
}
