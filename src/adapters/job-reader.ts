/**
 * Linearizable reads of jobs, batched: a few requests to the key-value store answer any number of lookups. A mirror
 * of the live jobs is refreshed by one request for all lookups that arrived before it, so each result is as fresh as
 * a read made after its lookup. Ended jobs never change and are cached. Alternatives: docs/reads.md.
 */
import {
  decodeEnded,
  decodeJob,
  endedKey,
  JOB_PREFIX,
  jobKey,
  jobIdOfKey,
} from '../core/persistence/index.js';
import type { EndedRecord, JobSpec } from '../core/types.js';
import type { KeyChange } from '../wire/key-value-store.js';
import type { Clock } from './clock.js';
import type { KeyValueStore } from './key-value-store.js';

/**
 * The stored record of a job; `none`: there is no record; `unknown`: the store did not answer, or the record of the
 * ended job cannot be decoded.
 */
export type JobLookup =
  | { readonly kind: 'live'; readonly spec: JobSpec; readonly modRevision: number }
  /** The job was accepted and has not ended, but its description cannot be decoded. */
  | { readonly kind: 'damaged'; readonly modRevision: number }
  | EndedJob
  | { readonly kind: 'none' }
  | { readonly kind: 'unknown' };

/** An ended job, and the revision at which its record was written. */
export interface EndedJob {
  readonly kind: 'ended';
  readonly record: EndedRecord;
  readonly modRevision: number;
}

const UNKNOWN: JobLookup = { kind: 'unknown' };
/** Minimum capacity of the cache of ended jobs; it is twice the number of live jobs if that is more. */
const MIN_REMEMBERED_ENDED = 5000;
/** Maximum number of jobs read individually in one round; the others wait for the next round. */
const MAX_SINGLE_READS = 32;
/** Maximum rate of a node's rounds, as a share of the store's request rate; a round takes at least one request. */
const ROUND_SHARE = 0.05;

const decodeLiveJob = (value: unknown, modRevision: number): JobLookup => {
  const spec = decodeJob(value);
  return spec === null ? { kind: 'damaged', modRevision } : { kind: 'live', spec, modRevision };
};

/** Reads one job from the store, outside the batched rounds. */
export async function readJob(store: KeyValueStore, id: string): Promise<JobLookup> {
  // The live key is read first: a job that ends moves from the live key to the ended key, and never back.
  const live = await store.read(jobKey(id));
  if (live === 'unknown') return UNKNOWN;
  if (live.entry !== null) return decodeLiveJob(live.entry.value, live.entry.modRevision);
  return readEnded(store, id);
}

async function readEnded(store: KeyValueStore, id: string): Promise<JobLookup> {
  const ended = await store.read(endedKey(id));
  if (ended === 'unknown') return UNKNOWN;
  if (ended.entry === null) return { kind: 'none' };
  const record = decodeEnded(ended.entry.value);
  return record === null ? UNKNOWN : { kind: 'ended', record, modRevision: ended.entry.modRevision };
}

interface PendingLookup {
  readonly id: string;
  readonly resolve: (found: JobLookup) => void;
}

/** Answers lookups in rounds, at a bounded rate. */
export class JobReader {
  /** Ended jobs. Their records never change, so a cached one need not be read again. */
  readonly #ended = new Map<string, EndedJob>();
  readonly #live = new Map<string, JobLookup>();
  /** Revision as of which the mirror is complete; `null`: it has to be loaded. */
  #revision: number | null = null;
  #pending: PendingLookup[] = [];
  #isRunning = false;
  readonly #roundIntervalMs: number;

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    rps: number,
    /** Maximum number of preconditions in one transaction. */
    private readonly maxPreconditions: number,
    /** Called with each revision that the store is known to have reached. */
    private readonly onRevision: (revision: number) => void = () => undefined,
  ) {
    this.#roundIntervalMs = 1000 / (ROUND_SHARE * rps);
  }

  /** Whether the job is known to have ended. */
  hasEnded(id: string): boolean {
    return this.#ended.has(id);
  }

  /** Returns a job that was live as of the latest round, which may be long ago; otherwise `undefined`. */
  cachedLiveJob(id: string): JobLookup | undefined {
    return this.#live.get(id);
  }

  /** Caches the committed record of an ended job. */
  rememberEnded(id: string, ended: EndedJob): void {
    this.#ended.set(id, ended);
    if (this.#ended.size <= Math.max(MIN_REMEMBERED_ENDED, 2 * this.#live.size)) return;
    const [oldest] = this.#ended.keys();
    if (oldest !== undefined) this.#ended.delete(oldest);
  }

  /** Clears the caches; their content can be read from the store again. */
  dropCaches(): void {
    this.#ended.clear();
    // A running round uses the mirror, so it is kept.
    if (this.#isRunning) return;
    this.#live.clear();
    this.#revision = null;
  }

  /** Resolves to the job's record as the store had it at the time of this call or later. */
  find(id: string): Promise<JobLookup> {
    const ended = this.#ended.get(id);
    if (ended !== undefined) return Promise.resolve(ended);
    return new Promise((resolve) => {
      this.#pending.push({ id, resolve });
      if (!this.#isRunning) void this.#runRounds();
    });
  }

  async #runRounds(): Promise<void> {
    this.#isRunning = true;
    // The input that is ready now is handled first, so that its lookups share the first round.
    await new Promise<void>((resolve) => this.clock.defer(resolve));
    while (this.#pending.length > 0) {
      const startedAt = this.clock.monotonicMs();
      const lookups = this.#pending;
      this.#pending = [];
      await this.#runRound(lookups);
      const remainingMs = this.#roundIntervalMs - (this.clock.monotonicMs() - startedAt);
      if (this.#pending.length === 0 || remainingMs <= 0) continue;
      await this.clock.sleep(Math.ceil(remainingMs));
    }
    this.#isRunning = false;
  }

  /** Resolves these lookups with the store's state as of this call or later. */
  async #runRound(lookups: readonly PendingLookup[]): Promise<void> {
    const previouslyLive = new Set(lookups.map(({ id }) => id).filter((id) => this.#live.has(id)));
    if (!(await this.#refresh())) {
      for (const { resolve } of lookups) resolve(UNKNOWN);
      return;
    }
    const notLive = new Map<string, PendingLookup[]>();
    for (const lookup of lookups) {
      // A cancellation may have recorded the job's end during the refresh; the mirror may be older, so it is not used.
      const found = this.#ended.get(lookup.id) ?? this.#live.get(lookup.id);
      if (found !== undefined) lookup.resolve(found);
      else notLive.set(lookup.id, [...(notLive.get(lookup.id) ?? []), lookup]);
    }
    const missing = await this.#findMissing([...notLive.keys()].filter((id) => !previouslyLive.has(id)));
    let reads = 0;
    const deferred: PendingLookup[] = [];
    const resolved = Promise.all(
      [...notLive].map(async ([id, waiting]) => {
        const ended = this.#ended.get(id);
        if (ended === undefined && !missing.has(id) && ++reads > MAX_SINGLE_READS) {
          deferred.push(...waiting);
          return;
        }
        const found: JobLookup =
          ended ?? (missing.has(id) ? { kind: 'none' } : await readEnded(this.store, id));
        if (found.kind === 'ended') this.rememberEnded(id, found);
        for (const { resolve } of waiting) resolve(found);
      }),
    );
    // Deferred lookups go before newer ones: otherwise a steady load could defer them without bound.
    this.#pending.unshift(...deferred);
    await resolved;
  }

  /** Brings the mirror up to date; returns false if the store did not answer. */
  async #refresh(): Promise<boolean> {
    if (this.#revision !== null) {
      const found = await this.store.changesSince(JOB_PREFIX, this.#revision);
      if (found.kind === 'unknown') return false;
      if (found.kind === 'changes') {
        for (const change of found.changes) this.#applyChange(change);
        this.#revision = found.revision;
        this.onRevision(found.revision);
        return true;
      }
    }
    this.#revision = null;
    const jobs = await this.store.list(JOB_PREFIX);
    if (jobs === 'unknown') return false;
    this.#live.clear();
    for (const { key, value, modRevision } of jobs.entries)
      this.#live.set(jobIdOfKey(key), decodeLiveJob(value, modRevision));
    this.#revision = jobs.revision;
    this.onRevision(jobs.revision);
    return true;
  }

  #applyChange({ key, value, modRevision }: KeyChange): void {
    if (value === undefined) this.#live.delete(jobIdOfKey(key));
    else this.#live.set(jobIdOfKey(key), decodeLiveJob(value, modRevision));
  }

  /**
   * Returns which of these jobs, none of which is live, have no ended record either and so were never accepted. One
   * transaction without mutations checks a batch of jobs; if any job of the batch has ended, the caller reads each
   * of them individually, as it does with a single job.
   */
  async #findMissing(ids: readonly string[]): Promise<Set<string>> {
    const missing = new Set<string>();
    if (ids.length < 2) return missing;
    for (let from = 0; from < ids.length; from += this.maxPreconditions) {
      const batch = ids.slice(from, from + this.maxPreconditions);
      const outcome = await this.store.commit({
        preconditions: batch.map((id) => ({ key: endedKey(id), modRevision: 0 })),
        mutations: [],
      });
      if (outcome.kind === 'applied') for (const id of batch) missing.add(id);
    }
    return missing;
  }
}
