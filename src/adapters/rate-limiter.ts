/** How much may be asked of a service: its rate, and a budget for when it is in trouble. */
import type { Clock } from './clock.js';

/** A bucket of tokens that keeps this node within its share of a service's rate. */
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

  /** Takes `cost` now, or says false. */
  tryAcquire(cost = 1): boolean {
    this.#refill();
    if (this.#tokens < cost) return false;
    this.#tokens -= cost;
    return true;
  }

  /** Takes `cost` whatever the level: for what must not wait, at the expense of the rest. */
  forceAcquire(cost = 1): void {
    this.#refill();
    this.#tokens = Math.max(-this.burst, this.#tokens - cost);
  }

  /** Waits for `cost`, at most `withinMs`; false if that is not long enough. */
  async acquire(cost: number, withinMs: number): Promise<boolean> {
    if (this.tryAcquire(cost)) return true;
    const wait = ((cost - this.#tokens) / this.perSecond) * 1000;
    if (wait > withinMs) return false;
    await this.clock.sleep(Math.ceil(wait));
    return this.tryAcquire(cost);
  }
}

/** The part of a service's rate that is spent on asking it anew while it is in trouble. */
const RETRY_SHARE = 0.05;

/**
 * What may be asked of a service since it last failed to answer. All that waits would be asked
 * anew at once otherwise, again and again, and meet the service as it comes back: one answer is
 * enough to know that it has.
 */
export class RetryBudget {
  readonly #retries: RateLimiter;
  #isFailing = false;

  constructor(clock: Clock, rps: number) {
    const perSecond = Math.max(1, RETRY_SHARE * rps);
    this.#retries = new RateLimiter(clock, perSecond, perSecond);
  }

  allowsRequest(): boolean {
    return !this.#isFailing || this.#retries.tryAcquire();
  }

  observeOutcome(answered: boolean): void {
    this.#isFailing = !answered;
  }
}
