/** A virtual clock: time advances only after all calls that are due have run. */
import type { Clock } from '../../src/adapters/clock.js';

interface ScheduledCall {
  readonly at: number;
  readonly order: number;
  readonly call: () => void;
}

export class VirtualClock {
  now = 0;
  #order = 0;
  readonly #scheduled: ScheduledCall[] = [];

  at(at: number, call: () => void): void {
    const scheduled = { at: Math.max(at, this.now), order: this.#order++, call };
    let low = 0;
    let high = this.#scheduled.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#scheduled[middle];
      // Sorted latest first, so that the next call is popped off the end.
      if (
        other !== undefined &&
        (other.at > scheduled.at || (other.at === scheduled.at && other.order > scheduled.order))
      ) {
        low = middle + 1;
      } else high = middle;
    }
    this.#scheduled.splice(low, 0, scheduled);
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
      const next = this.#scheduled.at(-1);
      if (next === undefined || next.at > end) break;
      this.#scheduled.pop();
      this.now = next.at;
      next.call();
      // Lets the continuations of all settled promises run before time advances.
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.now = end;
  }
}

/** The clock of one process; calls that are pending when the process ends never run. */
export class ProcessClock implements Clock {
  alive = true;
  /** Additional delay of each of its sleeps, in milliseconds. */
  lateMs = 0;
  /** The process is paused until this virtual time, in milliseconds. */
  pausedUntil = 0;

  constructor(
    private readonly virtualClock: VirtualClock,
    private readonly rate: number,
    private readonly wallClockErrorMs: number,
  ) {}

  monotonicMs(): number {
    return this.virtualClock.now * this.rate;
  }

  epochMs(): number {
    return 1_000_000_000_000 + this.virtualClock.now + this.wallClockErrorMs;
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.virtualClock.in(ms / this.rate + this.lateMs, () => this.awake(resolve));
    });
  }

  /** Work takes no virtual time: measurements are constant, with a longer elapsed time if timers are late. */
  startMeasuring(): () => { elapsedMs: number; cpuMs: number } {
    return () => ({ elapsedMs: this.lateMs > 0 ? 20 : 5, cpuMs: 1 });
  }

  defer(call: () => void): void {
    this.virtualClock.in(0, () => {
      this.awake(call);
    });
  }

  /** Calls back immediately, or when a paused process resumes; never after the process has ended. */
  awake(call: () => void): void {
    if (this.pausedUntil > this.virtualClock.now)
      this.virtualClock.at(this.pausedUntil, () => this.awake(call));
    else if (this.alive) call();
  }
}
