/** For how long this process has known revisions of the key-value store. */
interface KnownRevision {
  readonly revision: number;
  /** Monotonic time at which it was first known, in milliseconds. */
  readonly knownAt: number;
}

/** Tells which revisions are known to have been committed a given time ago. Old entries are dropped on reading. */
export class RevisionAges {
  /** In ascending order of both fields. */
  readonly #known: KnownRevision[] = [];

  /** Records that a revision has been committed by now, a monotonic time in milliseconds that never decreases. */
  observe(revision: number, now: number): void {
    if (revision > (this.#known.at(-1)?.revision ?? 0)) this.#known.push({ revision, knownAt: now });
  }

  /**
   * The highest revision that was known at `time`; 0: none. Entries before it are dropped, so `time` should not
   * decrease from call to call: for an earlier one, 0 may be returned instead of an older revision.
   */
  knownAt(time: number): number {
    const next = this.#known.findIndex(({ knownAt }) => knownAt > time);
    const last = (next === -1 ? this.#known.length : next) - 1;
    if (last > 0) this.#known.splice(0, last);
    return last < 0 ? 0 : (this.#known[0]?.revision ?? 0);
  }

  /** Monotonic time (ms) at which a revision, or a later one, was first known; null: it is not known. */
  firstKnownAt(revision: number): number | null {
    return this.#known.find((one) => one.revision >= revision)?.knownAt ?? null;
  }
}
