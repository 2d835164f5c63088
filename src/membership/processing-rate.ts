/**
 * How slowly this node computes: the ratio of elapsed monotonic time to processor time of its own work. The ratio
 * does not depend on the load, and rises when the process is denied processor time. So it distinguishes a slow node
 * from a busy one, in whose place any other node would be busy as well.
 */
import { median } from 'simple-statistics';
import type { Timing } from '../core/timing.js';

/** Earlier windows that are kept to derive the usual ratio. */
const MAX_WINDOWS = 64;
/** Earlier windows that are needed before the latest one is compared with them. */
const MIN_WINDOWS = 8;
/** Processor time that a window must contain, as a share of the longest heartbeat interval. */
const MIN_PROCESSOR_SHARE = 0.002;
/** A window is slow if its ratio is at least this many times the usual one. */
const SLOWDOWN_THRESHOLD = 1.5;
/** Consecutive slow windows after which the node counts as slow; fewer may be a coincidence. */
const MIN_SLOW_WINDOWS = 3;

/** Compares the current processing rate with the usual one. */
export class ProcessingRateMonitor {
  readonly #earlierRatios: number[] = [];
  #elapsedMs = 0;
  #processorMs = 0;
  #windowStart = -Infinity;
  #latestRatio: number | null = null;

  #slowWindows = 0;

  constructor(
    private readonly timing: Timing,
    /** This node's share of one processor. Using up the share gives a ratio of 1 / share, which is not a slowdown. */
    private readonly share: number,
  ) {}

  /** Records the elapsed monotonic time and the processor time of a batch of work, in milliseconds. */
  record(elapsedMs: number, processorMs: number, now: number): void {
    const { maxHeartbeatIntervalMs } = this.timing;
    if (this.#windowStart === -Infinity) this.#windowStart = now;
    this.#elapsedMs += elapsedMs;
    this.#processorMs += processorMs;
    if (
      now - this.#windowStart < maxHeartbeatIntervalMs ||
      this.#processorMs < MIN_PROCESSOR_SHARE * maxHeartbeatIntervalMs
    )
      return;
    if (this.#latestRatio !== null) this.#earlierRatios.push(this.#latestRatio);
    if (this.#earlierRatios.length > MAX_WINDOWS) this.#earlierRatios.shift();
    this.#latestRatio = this.#elapsedMs / this.#processorMs;
    this.#slowWindows = this.slowness >= SLOWDOWN_THRESHOLD ? this.#slowWindows + 1 : 0;
    this.#elapsedMs = 0;
    this.#processorMs = 0;
    this.#windowStart = now;
  }

  /** The latest ratio as a multiple of the usual one; 1 until enough windows are recorded. */
  get slowness(): number {
    if (this.#latestRatio === null || this.#earlierRatios.length < MIN_WINDOWS) return 1;
    return this.#latestRatio / Math.max(1 / this.share, median(this.#earlierRatios));
  }

  /** Whether this node has computed far slower than usual for several windows. */
  get isSlow(): boolean {
    return this.#slowWindows >= MIN_SLOW_WINDOWS;
  }
}
