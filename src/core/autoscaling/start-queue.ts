/** A priority queue of planned machines by the earliest start that each offers to tasks of one request. */
import TinyQueue from 'tinyqueue';
import type { ResourceRequest } from '../types.js';
import { earliestStart, occupy, type PlannedMachine } from './planned-machine.js';

interface QueueEntry {
  /** Position in the queue's list of machines. */
  readonly index: number;
  /** Monotonic time of the earliest start, in milliseconds. */
  readonly at: number;
  /** The machine's version when `at` was worked out. */
  readonly version: number;
}

/**
 * Planned machines by their earliest start. What is put on a machine only ever makes its starts later, so an
 * entry that was worked out before its machine changed is renewed when it comes to the front: a plan's cost
 * follows the sum of tasks and machines, not their product.
 */
export class StartQueue {
  readonly #byStart = new TinyQueue<QueueEntry>([], (a, b) => a.at - b.at || a.index - b.index);

  /** `machines`: the machines to choose from; the queue adds to this list. */
  constructor(
    readonly machines: PlannedMachine[],
    private readonly request: ResourceRequest,
  ) {
    for (let i = 0; i < machines.length; i += 1) this.#enqueue(i);
  }

  #enqueue(index: number): void {
    const planned = this.machines[index];
    if (planned === undefined) return;
    const at = earliestStart(planned, this.request);
    if (at < Infinity) this.#byStart.push({ index, at, version: planned.version });
  }

  /** Adds a machine and returns its index. */
  add(planned: PlannedMachine): number {
    const index = this.machines.length;
    this.machines.push(planned);
    this.#enqueue(index);
    return index;
  }

  /** The machine with the earliest start, the first of several, and that start; null: none has one. */
  first(): { readonly index: number; readonly at: number } | null {
    for (;;) {
      const front = this.#byStart.peek();
      if (front === undefined) return null;
      if (this.machines[front.index]?.version === front.version) return front;
      this.#byStart.pop();
      this.#enqueue(front.index);
    }
  }

  /** Puts a task on the machine at this index, from and until a monotonic time in milliseconds. */
  occupy(index: number, from: number, until: number): void {
    const planned = this.machines[index];
    if (planned !== undefined) occupy(planned, this.request, from, until);
  }
}
