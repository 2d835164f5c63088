/** A clock that moves only when everything due has been done. */
import type { Clock } from '../../src/adapters/clock.js';

interface Due {
  readonly at: number;
  readonly order: number;
  readonly call: () => void;
}

export class VirtualClock {
  now = 0;
  #order = 0;
  readonly #due: Due[] = [];

  at(at: number, call: () => void): void {
    const due = { at: Math.max(at, this.now), order: this.#order++, call };
    let low = 0;
    let high = this.#due.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#due[middle];
      // Latest first, so that the next one is popped off the end.
      if (other !== undefined && (other.at > due.at || (other.at === due.at && other.order > due.order))) {
        low = middle + 1;
      } else high = middle;
    }
    this.#due.splice(low, 0, due);
  }

  in(ms: number, call: () => void): void {
    this.at(this.now + ms, call);
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.in(ms, resolve);
    });
  }

  async runUntil(end: number): Promise<void> {
    for (;;) {
      const next = this.#due.at(-1);
      if (next === undefined || next.at > end) break;
      this.#due.pop();
      this.now = next.at;
      next.call();
      // Lets every promise that this has settled run on before time moves.
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.now = end;
  }
}

/** One process's view of time: with its life, all that it waits for ends. */
export class ProcessClock implements Clock {
  alive = true;
  /** Delay of each of its timers, in milliseconds. */
  lateMs = 0;
  /** The process is paused until then. */
  pausedUntil = 0;

  constructor(
    private readonly world: VirtualClock,
    private readonly drift: number,
    private readonly wallError: number,
  ) {}

  monotonicMs(): number {
    return this.world.now * this.drift;
  }

  epochMs(): number {
    return 1_000_000_000_000 + this.world.now + this.wallError;
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.world.in(ms / this.drift + this.lateMs, () => this.awake(resolve));
    });
  }

  /** Work takes no time here, but for a process that is slow. */
  startMeasuring(): () => { elapsedMs: number; cpuMs: number } {
    return () => ({ elapsedMs: this.lateMs > 0 ? 20 : 5, cpuMs: 1 });
  }

  defer(call: () => void): void {
    this.world.in(0, () => {
      this.awake(call);
    });
  }

  /** Calls back once the process runs; never if it has ended. */
  awake(call: () => void): void {
    if (this.pausedUntil > this.world.now) this.world.at(this.pausedUntil, () => this.awake(call));
    else if (this.alive) call();
  }
}
