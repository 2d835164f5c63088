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

  /** Takes `cost` tokens if that many are available; otherwise returns false and takes none. */
  tryAcquire(cost = 1): boolean {
    this.#refill();
    if (this.#tokens < cost) return false;
    this.#tokens -= cost;
    return true;
  }

  /**
   * Takes `cost` tokens even if that makes the balance negative, down to minus one burst. For requests that must
   * not wait.
   */
  forceAcquire(cost = 1): void {
    this.#refill();
    this.#tokens = Math.max(-this.burst, this.#tokens - cost);
  }

  /**
   * Takes `cost` tokens, waiting up to `maxWaitMs` milliseconds for them. Returns false if they would not be available
   * in time, or if another caller took them during the wait.
   */
  async acquire(cost: number, maxWaitMs: number): Promise<boolean> {
    if (this.tryAcquire(cost)) return true;
    const waitMs = ((cost - this.#tokens) / this.perSecond) * 1000;
    if (waitMs > maxWaitMs) return false;
    await this.clock.sleep(Math.ceil(waitMs));
    return this.tryAcquire(cost);
  }
}

/** Share of a service's request rate that may be used while the service fails. */
const RETRY_SHARE = 0.05;

/**
 * Limits the requests to a service after one was not answered, until another is. Without this limit all waiting
 * requests would be retried at the same time and overload the service as it recovers.
 */
export class RetryBudget {
  readonly #retries: RateLimiter;
  #isFailing = false;

  constructor(clock: Clock, rps: number) {
    const perSecond = Math.max(1, RETRY_SHARE * rps);
    this.#retries = new RateLimiter(clock, perSecond, perSecond);
  }

  /** Whether a request may be sent now; while the service fails, each permitted request uses up budget. */
  allowsRequest(): boolean {
    return !this.#isFailing || this.#retries.tryAcquire();
  }

  /** Records whether the latest request was answered. */
  observeOutcome(answered: boolean): void {
    this.#isFailing = !answered;
  }
}
