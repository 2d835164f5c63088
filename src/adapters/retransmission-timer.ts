/** Adaptive request timeouts, computed like those of TCP's retransmission timer (RFC 6298). */

/**
 * Derives a timeout from the response times observed: their smoothed mean plus four times their mean deviation,
 * doubled after each timeout. The timeout is thus shorter for a fast service than for a slow one.
 */
export class RetransmissionTimer {
  #smoothedMs: number | null = null;
  #deviationMs = 0;
  #backoff = 1;

  /** Sets the bounds of the timeout, in milliseconds. Before the first response the timeout is the upper bound. */
  constructor(
    private readonly minMs: number,
    private readonly maxMs: number,
  ) {}

  /** Time after which the next response is overdue, in milliseconds. */
  get timeoutMs(): number {
    if (this.#smoothedMs === null) return this.maxMs;
    const baseMs = Math.max(this.minMs, this.#smoothedMs + 4 * this.#deviationMs);
    return Math.min(this.maxMs, this.#backoff * baseMs);
  }

  /** Records a response that took `ms` milliseconds. */
  observeResponse(ms: number): void {
    this.#backoff = 1;
    if (this.#smoothedMs === null) {
      this.#smoothedMs = ms;
      this.#deviationMs = ms / 2;
      return;
    }
    this.#deviationMs += (Math.abs(this.#smoothedMs - ms) - this.#deviationMs) / 4;
    this.#smoothedMs += (ms - this.#smoothedMs) / 8;
  }

  /** Records a request that timed out. */
  observeTimeout(): void {
    this.#backoff = Math.min(2 * this.#backoff, this.maxMs / this.minMs);
  }
}
