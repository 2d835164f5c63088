/**
 * How fast this node computes: steady time over processor time of its own work. It is the same for a
 * little load and for much, and rises when the processor is taken away or runs slower; so it tells a
 * slow node from a busy one, which another would be in its place as well.
 */
import { median } from 'simple-statistics';
import type { Timing } from '../core/timing.js';

/** Windows that are remembered, and needed before anything is judged by them. */
const MAX_WINDOWS = 64;
const MIN_WINDOWS = 8;
/** A window holds at least this part of the longest report as processor time. */
const MIN_PROCESSOR_SHARE = 0.002;
/** So many times the usual is slow, and so many windows in a row are no chance. */
const SLOWDOWN_THRESHOLD = 1.5;
const MIN_SLOW_WINDOWS = 3;

/** Compares the present processing rate with the usual one. */
export class ProcessingRateMonitor {
  readonly #windows: number[] = [];
  #steadyMs = 0;
  #processorMs = 0;
  #from = -Infinity;
  #latest: number | null = null;

  #slowFor = 0;

  constructor(
    private readonly timing: Timing,
    /** Of one processor: whoever uses up its share is that slow, and no slower for it. */
    private readonly share: number,
  ) {}

  /** A batch of work: its steady time and its processor time, in milliseconds. */
  record(steadyMs: number, processorMs: number, now: number): void {
    const { maxHeartbeatIntervalMs } = this.timing;
    if (this.#from === -Infinity) this.#from = now;
    this.#steadyMs += steadyMs;
    this.#processorMs += processorMs;
    if (
      now - this.#from < maxHeartbeatIntervalMs ||
      this.#processorMs < MIN_PROCESSOR_SHARE * maxHeartbeatIntervalMs
    )
      return;
    if (this.#latest !== null) this.#windows.push(this.#latest);
    if (this.#windows.length > MAX_WINDOWS) this.#windows.shift();
    this.#latest = this.#steadyMs / this.#processorMs;
    this.#slowFor = this.slowness >= SLOWDOWN_THRESHOLD ? this.#slowFor + 1 : 0;
    this.#steadyMs = 0;
    this.#processorMs = 0;
    this.#from = now;
  }

  /** How many times the usual a piece of work takes now; 1 while little is known. */
  get slowness(): number {
    if (this.#latest === null || this.#windows.length < MIN_WINDOWS) return 1;
    return this.#latest / Math.max(1 / this.share, median(this.#windows));
  }

  /** Whether this node has computed far slower than usual for several windows. */
  get isSlow(): boolean {
    return this.#slowFor >= MIN_SLOW_WINDOWS;
  }
}
