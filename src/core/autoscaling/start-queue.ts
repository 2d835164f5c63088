/** Priority queue of planned machines, ordered by the earliest start of tasks with one resource request. */
import TinyQueue from 'tinyqueue';
import type { ResourceRequest } from '../types.js';
import { earliestStart, occupy, type PlannedMachine } from './planned-machine.js';

interface QueueEntry {
  /** Position in the queue's list of machines. */
  readonly index: number;
  /** Monotonic time of the earliest start, in milliseconds. */
  readonly at: number;
  /** The machine's version when `at` was computed. */
  readonly version: number;
}

/**
 * Planned machines, ordered by their earliest start. A task put on a machine can only delay the starts on it, so an
 * entry that is out of date is recomputed only when it reaches the front: the cost of a plan grows with the sum of
 * tasks and machines, not with their product.
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

  /** The machine with the earliest start (the first added of several), and that start; null: no task ever fits. */
  first(): { readonly index: number; readonly at: number } | null {
    for (;;) {
      const front = this.#byStart.peek();
      if (front === undefined) return null;
      if (this.machines[front.index]?.version === front.version) return front;
      this.#byStart.pop();
      this.#enqueue(front.index);
    }
  }

  /** Puts a task on the machine at this index; `from` and `until` are monotonic times in milliseconds. */
  occupy(index: number, from: number, until: number): void {
    const planned = this.machines[index];
    if (planned !== undefined) occupy(planned, this.request, from, until);
  }
}
