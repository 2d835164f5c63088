/**
 * Which incarnation of a peer is the current one, from the order in which their statuses arrive. A restarted peer is
 * another incarnation, and messages of the earlier one may still arrive, delayed by the network.
 */

/** Maximum number of earlier incarnations that are remembered. */
const MAX_EARLIER_INCARNATIONS = 50;

/** The incarnations of one peer. */
export class Incarnations {
  #current: string | null = null;
  readonly #earlier: string[] = [];
  #currentHeardAt = -Infinity;
  /** An earlier incarnation that has been heard again, and since when (monotonic time in ms). */
  #heardAgain: { readonly incarnation: string; readonly since: number } | null = null;

  /** `silenceMs`: after this silence the current incarnation may have been mistaken for one. */
  constructor(private readonly silenceMs: number) {}

  /** Whether an incarnation is known to be an earlier one than the current. */
  isEarlier(incarnation: string): boolean {
    return this.#earlier.includes(incarnation);
  }

  /** Records a status of an incarnation at `now` (monotonic time in ms); false: it is of an earlier one. */
  accept(incarnation: string, now: number): boolean {
    if (this.isEarlier(incarnation) && !this.#isBack(incarnation, now)) return false;
    if (this.#current !== null && this.#current !== incarnation) this.#earlier.push(this.#current);
    if (this.#earlier.length > MAX_EARLIER_INCARNATIONS) this.#earlier.shift();
    this.#current = incarnation;
    this.#currentHeardAt = now;
    return true;
  }

  /**
   * Whether an incarnation that is taken for an earlier one proves to be the current one. If the first message of an
   * incarnation is delayed until after those of its successor, the two are taken for each other. Delayed messages
   * arrive together; only an incarnation that is running is heard for longer than the silence of the other.
   */
  #isBack(incarnation: string, now: number): boolean {
    if (now - this.#currentHeardAt <= this.silenceMs) {
      this.#heardAgain = null;
      return false;
    }
    if (this.#heardAgain?.incarnation !== incarnation) this.#heardAgain = { incarnation, since: now };
    if (now - this.#heardAgain.since <= this.silenceMs) return false;
    this.#heardAgain = null;
    this.#earlier.splice(this.#earlier.indexOf(incarnation), 1);
    return true;
  }
}
