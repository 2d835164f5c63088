/**
 * Shadow times of one resource request on every node, cached between passes over the
 * queue: only nodes that have changed are computed again.
 */
import TinyQueue from 'tinyqueue';
import type { Machine } from '../model.js';
import type { Resources } from '../types.js';
import type { NodeCapacity } from './node-capacity.js';

/** When a blocked task would fit one node, and what is free on it then. */
export interface NodeShadow {
  /** Monotonic time in milliseconds; Infinity: never. */
  readonly at: number;
  /** Resources free on the node at that time, before the task is placed. */
  readonly free: Resources;
}

/** The nodes that a cache covers, with a log of their changes. */
export interface ChangingNodes {
  readonly nodes: Iterable<NodeCapacity>;
  /** Nodes in the order of their changes; a cache reads on from where it last stopped. */
  readonly changeLog: readonly NodeCapacity[];
  of(machine: Machine): NodeCapacity | undefined;
}

/** The shadow time of a node, with the version of the node that it was computed from. */
interface CachedShadow {
  readonly node: NodeCapacity;
  readonly version: number;
  readonly shadow: NodeShadow;
}

/** Earliest shadow time first; of equal times, the node discovered first. */
const byShadowTime = (a: CachedShadow, b: CachedShadow): number =>
  a.shadow.at - b.shadow.at || a.node.machine.discoveryOrder - b.node.machine.discoveryOrder;

/** Shadow times of one resource request, with the nodes ordered by shadow time. */
export class ShadowTimeCache {
  readonly #byNode = new Map<NodeCapacity, CachedShadow>();
  readonly #queue = new TinyQueue<CachedShadow>([], byShadowTime);
  /** Number of entries of the change log that have been read. */
  #logPosition: number;

  /** `compute` returns the shadow time of one node in its present state. */
  constructor(
    private readonly source: ChangingNodes,
    private readonly compute: (node: NodeCapacity) => NodeShadow,
  ) {
    this.#logPosition = source.changeLog.length;
    for (const node of source.nodes) this.#update(node);
  }

  #update(node: NodeCapacity): CachedShadow {
    const cached = { node, version: node.version, shadow: this.compute(node) };
    this.#byNode.set(node, cached);
    if (cached.shadow.at < Infinity) this.#queue.push(cached);
    return cached;
  }

  /** The shadow time of a node, for its present version. */
  of(node: NodeCapacity): NodeShadow {
    const cached = this.#byNode.get(node);
    return (cached?.version === node.version ? cached : this.#update(node)).shadow;
  }

  /** The node with the earliest shadow time among the eligible ones, or null. */
  earliest(isEligible: (node: NodeCapacity) => boolean): CachedShadow | null {
    this.#readChangeLog();
    const ineligible: CachedShadow[] = [];
    let found: CachedShadow | null = null;
    for (let front = this.#queue.peek(); front !== undefined; front = this.#queue.peek()) {
      const isCurrent = this.#isCurrent(front);
      if (isCurrent && isEligible(front.node)) {
        found = front;
        break;
      }
      this.#queue.pop();
      if (isCurrent) ineligible.push(front);
    }
    for (const cached of ineligible) this.#queue.push(cached);
    return found;
  }

  #readChangeLog(): void {
    const { changeLog } = this.source;
    for (; this.#logPosition < changeLog.length; this.#logPosition += 1) {
      const node = changeLog[this.#logPosition];
      if (node !== undefined && this.source.of(node.machine) === node) this.of(node);
    }
  }

  #isCurrent({ node, version }: CachedShadow): boolean {
    return this.source.of(node.machine) === node && node.version === version;
  }
}
