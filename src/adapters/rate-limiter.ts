/** Limits on the requests sent to a service: a token bucket, and a retry budget while the service fails. */
import type { Clock } from './clock.js';

/** A token bucket that keeps this node within its share of a service's rate. */
export class RateLimiter {
  #tokens: number;
  #refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.#tokens = burst;
    this.#refilledAt = clock.monotonicMs();
  }

  #refill(): void {
    const now = this.clock.monotonicMs();
    this.#tokens = Math.min(this.burst, this.#tokens + ((now - this.#refilledAt) / 1000) * this.perSecond);
    this.#refilledAt = now;
  }

  /** Takes `cost` tokens now; false: there are too few, and none is taken. */
  tryAcquire(cost = 1): boolean {
    this.#refill();
    if (this.#tokens < cost) return false;
    this.#tokens -= cost;
    return true;
  }

  /** Takes `cost` tokens whatever the level, into debt of at most one burst: for requests that must not wait. */
  forceAcquire(cost = 1): void {
    this.#refill();
    this.#tokens = Math.max(-this.burst, this.#tokens - cost);
  }

  /** Waits up to `withinMs` milliseconds for `cost` tokens; false: that is not long enough. */
  async acquire(cost: number, withinMs: number): Promise<boolean> {
    if (this.tryAcquire(cost)) return true;
    const wait = ((cost - this.#tokens) / this.perSecond) * 1000;
    if (wait > withinMs) return false;
    await this.clock.sleep(Math.ceil(wait));
    return this.tryAcquire(cost);
  }
}

/** Share of a service's rate that is spent on requests while it fails. */
const RETRY_SHARE = 0.05;

/**
 * Limits the requests to a service that failed to answer, until one is answered: without it all that waits
 * would be sent again at once, and overload the service as it recovers.
 */
export class RetryBudget {
  readonly #retries: RateLimiter;
  #isFailing = false;

  constructor(clock: Clock, rps: number) {
    const perSecond = Math.max(1, RETRY_SHARE * rps);
    this.#retries = new RateLimiter(clock, perSecond, perSecond);
  }

  /** Whether a request may be sent now; while the service fails, this takes from the budget. */
  allowsRequest(): boolean {
    return !this.#isFailing || this.#retries.tryAcquire();
  }

  /** Records whether the latest request was answered. */
  observeOutcome(answered: boolean): void {
    this.#isFailing = !answered;
  }
}
