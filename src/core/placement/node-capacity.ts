/**
 * Capacity of one machine for placement, and the groups of machines of one kind that the
 * capacity index sorts into buckets of free CPUs.
 */
import type { Machine } from '../model.js';
import { MIN_TASK_HEARTBEAT_BYTES } from '../message-sizes.js';
import type { MachineType, ResourceRequest, Resources } from '../types.js';
import { RESOURCE_EPSILON } from './resources.js';

/** Number of equal steps into which a machine type's CPUs are divided for the buckets. */
const CPU_BUCKETS = 32;

/** A node of the capacity index: a machine that tasks may be placed on, with the resources that they may use. */
export interface NodeCapacity {
  readonly machine: Machine;
  readonly type: MachineType;
  /** Resources neither allocated to a claim nor held as headroom. */
  readonly unreserved: Resources;
  /** Resources held for start-sensitive tasks that are expected to arrive. */
  readonly headroom: Resources;
  /** Monotonic time in milliseconds at which the last of its tasks is expected to end. */
  busyUntil: number;
  /** Incremented whenever its free resources, its tasks or its headroom change. */
  version: number;
  readonly group: NodeGroup;
  /** Indexes of its buckets in the group's `byUnreservedCpus` and `byFreeCpus`. */
  buckets: { unreserved: number; free: number };
}

/** Nodes of one machine type, zone and price class, in buckets of ascending CPUs. */
export interface NodeGroup {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Nodes by unreserved CPUs: headroom counts as taken. */
  readonly byUnreservedCpus: readonly Set<NodeCapacity>[];
  /** Nodes by free CPUs: headroom counts as free. */
  readonly byFreeCpus: readonly Set<NodeCapacity>[];
  /** Number of nodes. */
  size: number;
}

/** An empty group. */
export const createNodeGroup = (type: MachineType, zone: string, spot: boolean): NodeGroup => ({
  type,
  zone,
  spot,
  byUnreservedCpus: createBuckets(),
  byFreeCpus: createBuckets(),
  size: 0,
});

const createBuckets = (): Set<NodeCapacity>[] =>
  Array.from({ length: CPU_BUCKETS + 1 }, () => new Set<NodeCapacity>());

function bucketOfCpus(type: MachineType, cpus: number): number {
  const bucket = Math.floor((cpus / Math.max(RESOURCE_EPSILON, type.cpus)) * CPU_BUCKETS + RESOURCE_EPSILON);
  return Math.max(0, Math.min(CPU_BUCKETS, bucket));
}

/** Index of the bucket for a node of this type; one whose heartbeat has no room for another task counts as full. */
export const bucketOf = (type: MachineType, { cpus, heartbeatBytes }: ResourceRequest): number =>
  bucketOfCpus(type, heartbeatBytes < MIN_TASK_HEARTBEAT_BYTES ? 0 : cpus);

/** Index of the first bucket whose nodes may have room for a request. */
export const firstBucketFor = (type: MachineType, { cpus }: ResourceRequest): number =>
  bucketOfCpus(type, cpus - RESOURCE_EPSILON);
