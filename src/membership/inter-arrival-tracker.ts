/**
 * Accrual failure detection (Hayashibara, Défago, Yared and Katayama, "The phi accrual failure detector",
 * SRDS 2004). The detector does not decide whether a peer is down, but yields phi: minus the decimal logarithm
 * of the probability that the peer's next message is still to come, given the intervals between its messages
 * so far.
 */
import { errorFunction, mean, sampleStandardDeviation } from 'simple-statistics';

const MAX_SAMPLES = 24;
/** Fewer intervals give no reliable mean or deviation, and are not used. */
const MIN_SAMPLES = 4;
/** Lower bound of the deviation, as a share of the expected interval. */
const MIN_DEVIATION_SHARE = 0.25;
/** Smallest tail probability that the approximation of the normal distribution resolves. */
const MIN_PROBABILITY = 1e-6;

/** The intervals between a peer's messages, and how unusual the current silence is. */
export class InterArrivalTracker {
  readonly #intervals: number[] = [];
  #lastArrivalAt: number | null = null;

  /** `usualIntervalMs`: the interval between two messages that are not delayed, in milliseconds. */
  constructor(private readonly usualIntervalMs: number) {}

  /** Records a message that arrived at this monotonic time (ms). */
  record(at: number): void {
    if (this.#lastArrivalAt !== null) this.#intervals.push(Math.max(0, at - this.#lastArrivalAt));
    if (this.#intervals.length > MAX_SAMPLES) this.#intervals.shift();
    this.#lastArrivalAt = at;
  }

  /** Starts over for a peer that has restarted or was out of contact: its earlier intervals no longer apply. */
  restart(at: number): void {
    this.#intervals.length = 0;
    this.#lastArrivalAt = at;
  }

  /** How unusual the silence is. 1: one silence in 10 lasts this long; 3: one in 1000; 0 before the first message. */
  phi(now: number): number {
    if (this.#lastArrivalAt === null) return 0;
    // Messages that are sent early, on a change, do not make the next one due sooner.
    const expected = Math.max(
      this.usualIntervalMs,
      this.#intervals.length < MIN_SAMPLES ? 0 : mean(this.#intervals),
    );
    const deviation = this.#intervals.length < MIN_SAMPLES ? 0 : sampleStandardDeviation(this.#intervals);
    const spread = Math.max(MIN_DEVIATION_SHARE * expected, deviation);
    const z = (now - this.#lastArrivalAt - expected) / spread;
    const probability = 0.5 * (1 - errorFunction(z / Math.SQRT2));
    return -Math.log10(Math.max(MIN_PROBABILITY, Math.min(1, probability)));
  }
}
