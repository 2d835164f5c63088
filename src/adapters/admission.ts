/**
 * Admission control of user requests. A node whose key-value store or processor falls behind refuses requests at
 * once instead of queueing them; polls are refused before submissions and cancellations. A refusal tells when to
 * retry: later the more were refused recently, and spread over time. A retry about a job whose poll was refused
 * is preferred to other polls.
 */
import type { Clock } from './clock.js';

/** Kinds of user requests, by their names on the status page; `withdraw` is a cancellation. */
export type RequestKind = 'submit' | 'withdraw' | 'show';

/** Share of the requests in flight that polls may be. */
const POLL_SHARE = 0.75;
/** Upper bound of the time after which to retry, in seconds. */
const MAX_RETRY_AFTER_S = 10;
/** Requests in flight that are always admitted. */
const MIN_IN_FLIGHT = 16;
/**
 * Jobs whose refused polls are remembered at most; the oldest are forgotten first. It bounds what bad input
 * costs, and is far above the live jobs of the largest planned fleet.
 */
const MAX_REMEMBERED_REFUSALS = 64_000;

/** Bounds the user requests in flight. Each admitted request must be released. */
export class Admission {
  #inFlight = 0;
  readonly #refusedJobs = new Set<string>();
  #refused = 0;
  #countedSince: number;

  constructor(
    private readonly clock: Clock,
    /** Requests in flight at once, at most; raised to a minimum. */
    private readonly maxInFlight: number,
  ) {
    this.maxInFlight = Math.max(MIN_IN_FLIGHT, Math.floor(maxInFlight));
    this.#countedSince = clock.monotonicMs();
  }

  /** Admits a request (`null`), or returns the seconds after which to retry. */
  admit(kind: RequestKind, job?: string): number | null {
    const preferred = job !== undefined && this.#refusedJobs.has(job);
    const limit = kind === 'show' && !preferred ? POLL_SHARE * this.maxInFlight : this.maxInFlight;
    if (this.#inFlight < limit) {
      this.#inFlight += 1;
      if (preferred) this.#refusedJobs.delete(job);
      return null;
    }
    if (job !== undefined) this.#rememberRefusal(job);
    return this.retryAfterS();
  }

  #rememberRefusal(job: string): void {
    this.#refusedJobs.add(job);
    if (this.#refusedJobs.size <= MAX_REMEMBERED_REFUSALS) return;
    const [oldest] = this.#refusedJobs;
    if (oldest !== undefined) this.#refusedJobs.delete(oldest);
  }

  /** Ends an admitted request. */
  release(): void {
    this.#inFlight -= 1;
  }

  /** Counts a request that cannot be served now; the result is when to retry, in seconds. */
  retryAfterS(): number {
    const now = this.clock.monotonicMs();
    if (now - this.#countedSince > 1000) {
      this.#refused = 0;
      this.#countedSince = now;
    }
    this.#refused += 1;
    const spread = Math.min(MAX_RETRY_AFTER_S, 1 + Math.floor(this.#refused / this.maxInFlight));
    return 1 + (this.#refused % spread);
  }
}
