/**
 * How unusual a silence is, as an accrual detector tells it (Hayashibara, Défago, Yared and Katayama,
 * "The phi accrual failure detector", SRDS 2004): not whether a peer is down, but minus the logarithm
 * of the chance that its next word is still to come, given the gaps between its words so far.
 */
import { errorFunction, mean, sampleStandardDeviation } from 'simple-statistics';

const MAX_SAMPLES = 24;
/** Fewer gaps than this say little of their spread. */
const MIN_SAMPLES = 4;
/** The spread is taken for at least this part of the usual gap. */
const MIN_DEVIATION_SHARE = 0.25;
/** What the approximation of the normal distribution's tail still tells apart. */
const MIN_PROBABILITY = 1e-6;

/** The intervals between a peer's messages, and how unusual the present silence is. */
export class InterArrivalTracker {
  readonly #gaps: number[] = [];
  #last: number | null = null;

  /** `usual`: the gap between two words that nothing has held up, in milliseconds. */
  constructor(private readonly usual: number) {}

  /** A message has arrived at this steady time. */
  record(at: number): void {
    if (this.#last !== null) this.#gaps.push(Math.max(0, at - this.#last));
    if (this.#gaps.length > MAX_SAMPLES) this.#gaps.shift();
    this.#last = at;
  }

  /** Another life, or one that was away: what its gaps were before says nothing. */
  restart(at: number): void {
    this.#gaps.length = 0;
    this.#last = at;
  }

  /** 1: one silence in ten is as long; 3: one in a thousand; 0 before the first word. */
  phi(now: number): number {
    if (this.#last === null) return 0;
    // Words that are sent early, on a change, make no later one due sooner.
    const centre = Math.max(this.usual, this.#gaps.length < MIN_SAMPLES ? 0 : mean(this.#gaps));
    const seen = this.#gaps.length < MIN_SAMPLES ? 0 : sampleStandardDeviation(this.#gaps);
    const spread = Math.max(MIN_DEVIATION_SHARE * centre, seen);
    const z = (now - this.#last - centre) / spread;
    const chance = 0.5 * (1 - errorFunction(z / Math.SQRT2));
    return -Math.log10(Math.max(MIN_PROBABILITY, Math.min(1, chance)));
  }
}
