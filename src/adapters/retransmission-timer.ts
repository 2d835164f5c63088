/**
 * When an answer is overdue, worked out from those that came, as TCP works out its retransmission timer
 * (RFC 6298): the smoothed time of an answer and four times its spread, doubled after each that did not
 * come. A service that answers in milliseconds is not waited for as long as one that is slow.
 */
export class RetransmissionTimer {
  #smoothedMs: number | null = null;
  #deviationMs = 0;
  #backoff = 1;

  /** Never shorter, and never longer, than so many milliseconds; as long as that before the first answer. */
  constructor(
    private readonly least: number,
    private readonly most: number,
  ) {}

  get timeoutMs(): number {
    if (this.#smoothedMs === null) return this.most;
    const usual = Math.max(this.least, this.#smoothedMs + 4 * this.#deviationMs);
    return Math.min(this.most, this.#backoff * usual);
  }

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

  /** No answer came in time. */
  observeTimeout(): void {
    this.#backoff = Math.min(2 * this.#backoff, this.most / this.least);
  }
}
