/**
 * Admission control of user requests. A node whose key-value store or processor falls behind refuses requests
 * immediately instead of queueing them, and polls sooner than submissions and cancellations. A refusal carries a retry
 * delay; the more requests were refused recently, the longer the interval over which the delays are spread. A repeated
 * poll of a job whose earlier poll was refused takes precedence over other polls.
 */
import type { Clock } from './clock.js';

/** Kinds of user requests, by their names on the status page; `withdraw` is a cancellation. */
export type RequestKind = 'submit' | 'withdraw' | 'show';

/** Share of the maximum number of requests in flight below which polls are admitted. */
const POLL_SHARE = 0.75;
/** Upper bound of the retry delay, in seconds. */
const MAX_RETRY_AFTER_S = 10;
/** Lower bound of the maximum number of requests in flight. */
const MIN_IN_FLIGHT = 16;
/**
 * Maximum number of jobs whose refused polls are remembered; the oldest are removed first. It bounds the memory that
 * polls of made-up job ids can take, and is far above the number of live jobs in the largest planned fleet.
 */
const MAX_REMEMBERED_REFUSALS = 64_000;

/** Bounds the user requests in flight. Each admitted request must be released. */
export class Admission {
  #inFlight = 0;
  readonly #refusedJobs = new Set<string>();
  #refusedCount = 0;
  #countingSince: number;

  constructor(
    private readonly clock: Clock,
    /** Maximum number of requests in flight; smaller values are raised to {@link MIN_IN_FLIGHT}. */
    private readonly maxInFlight: number,
  ) {
    this.maxInFlight = Math.max(MIN_IN_FLIGHT, Math.floor(maxInFlight));
    this.#countingSince = clock.monotonicMs();
  }

  /** Returns `null` if the request is admitted, otherwise the retry delay in seconds. */
  admit(kind: RequestKind, job?: string): number | null {
    const isRepeatedPoll = job !== undefined && this.#refusedJobs.has(job);
    const limit = kind === 'show' && !isRepeatedPoll ? POLL_SHARE * this.maxInFlight : this.maxInFlight;
    if (this.#inFlight < limit) {
      this.#inFlight += 1;
      if (isRepeatedPoll) this.#refusedJobs.delete(job);
      return null;
    }
    if (job !== undefined) this.#rememberRefusal(job);
    return this.countRefusal();
  }

  #rememberRefusal(job: string): void {
    this.#refusedJobs.add(job);
    if (this.#refusedJobs.size <= MAX_REMEMBERED_REFUSALS) return;
    const [oldest] = this.#refusedJobs;
    if (oldest !== undefined) this.#refusedJobs.delete(oldest);
  }

  /** Marks an admitted request as finished. */
  release(): void {
    this.#inFlight -= 1;
  }

  /** Counts a request that is refused or cannot be served now; returns the delay before its retry, in seconds. */
  countRefusal(): number {
    const now = this.clock.monotonicMs();
    if (now - this.#countingSince > 1000) {
      this.#refusedCount = 0;
      this.#countingSince = now;
    }
    this.#refusedCount += 1;
    const maxDelayS = Math.min(MAX_RETRY_AFTER_S, 1 + Math.floor(this.#refusedCount / this.maxInFlight));
    return 1 + (this.#refusedCount % maxDelayS);
  }
}
