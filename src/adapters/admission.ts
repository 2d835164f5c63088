/**
 * How many users' requests are under way at once. A node that waits for the state service, or
 * for its own processor, says so at once rather than pile up what it cannot serve; polls
 * give way before submissions and cancellations. Who is refused is told when to come back,
 * the later the more were refused of late, and not all at the same time; and when it asks about the
 * same job again, it goes before those that were not refused.
 */
import type { Clock } from './clock.js';

export type RequestKind = 'submit' | 'withdraw' | 'show';

/** Share of the requests under way that polls may be. */
const POLL_SHARE = 0.75;
/** Nobody is told to stay away for longer, in seconds. */
const MAX_RETRY_AFTER_S = 10;
const MIN_IN_FLIGHT = 16;
/**
 * Jobs of which it is remembered that a question about them was refused; the oldest are forgotten first. A
 * bound on bad input: it stands far above the live jobs of 8,000 machines.
 */
const MAX_REMEMBERED_REFUSALS = 64_000;

export class Admission {
  #inFlight = 0;
  readonly #refusedJobs = new Set<string>();
  #refused = 0;
  #countedSince: number;

  constructor(
    private readonly clock: Clock,
    /** Requests under way at once, at most. */
    private readonly most: number,
  ) {
    this.most = Math.max(MIN_IN_FLIGHT, Math.floor(most));
    this.#countedSince = clock.monotonicMs();
  }

  /** Takes a request in (null), or says in how many seconds it may be made again. */
  admit(kind: RequestKind, job?: string): number | null {
    const preferred = job !== undefined && this.#refusedJobs.has(job);
    const most = kind === 'show' && !preferred ? POLL_SHARE * this.most : this.most;
    if (this.#inFlight < most) {
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

  release(): void {
    this.#inFlight -= 1;
  }

  /** When one that cannot be served now is to come back, in seconds. */
  retryAfterS(): number {
    const now = this.clock.monotonicMs();
    if (now - this.#countedSince > 1000) {
      this.#refused = 0;
      this.#countedSince = now;
    }
    this.#refused += 1;
    const spread = Math.min(MAX_RETRY_AFTER_S, 1 + Math.floor(this.#refused / this.most));
    return 1 + (this.#refused % spread);
  }
}
