/** Adaptive timeouts of requests, as TCP's retransmission timer (RFC 6298). */

/**
 * Derives a timeout from the response times observed: their smoothed mean plus four times their mean deviation,
 * doubled after each timeout. A fast service is thus waited for less long than a slow one.
 */
export class RetransmissionTimer {
  #smoothedMs: number | null = null;
  #deviationMs = 0;
  #backoff = 1;

  /** Bounds of the timeout in milliseconds; it is the upper one before the first response. */
  constructor(
    private readonly minMs: number,
    private readonly maxMs: number,
  ) {}

  /** Time after which the next response is overdue, in milliseconds. */
  get timeoutMs(): number {
    if (this.#smoothedMs === null) return this.maxMs;
    const usual = Math.max(this.minMs, this.#smoothedMs + 4 * this.#deviationMs);
    return Math.min(this.maxMs, this.#backoff * usual);
  }

  /** Records a response that took so many milliseconds. */
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

  /** Records that no response came in time. */
  observeTimeout(): void {
    this.#backoff = Math.min(2 * this.#backoff, this.maxMs / this.minMs);
  }
}
