/** For how long this process has known revisions of the key-value store. */
interface KnownRevision {
  readonly revision: number;
  /** Monotonic time at which it was first known, in milliseconds. */
  readonly knownAt: number;
}

/** Tells which revisions are known to have been committed a given time ago. */
export class RevisionAges {
  /** In ascending order of both fields. */
  readonly #known: KnownRevision[] = [];

  /**
   * Records that a revision has been committed by now, a monotonic time in milliseconds that never decreases. Of the
   * revisions that were known at `keptFrom`, only the highest is kept.
   */
  observe(revision: number, now: number, keptFrom: number): void {
    if (revision > (this.#known.at(-1)?.revision ?? 0)) this.#known.push({ revision, knownAt: now });
    const last = this.#lastKnownAt(keptFrom);
    if (last > 0) this.#known.splice(0, last);
  }

  /** The highest revision that was known at `time`; 0: none that is still kept. */
  knownAt(time: number): number {
    return this.#known[this.#lastKnownAt(time)]?.revision ?? 0;
  }

  /** Index of the latest entry that was known at `time`; -1: none was. */
  #lastKnownAt(time: number): number {
    const next = this.#known.findIndex(({ knownAt }) => knownAt > time);
    return (next === -1 ? this.#known.length : next) - 1;
  }

  /** Monotonic time (ms) at which a revision, or a later one, was first known; null: it is not known. */
  firstKnownAt(revision: number): number | null {
    return this.#known.find((one) => one.revision >= revision)?.knownAt ?? null;
  }
}
