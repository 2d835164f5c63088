/**
 * Linearizable reads of jobs, batched: a few requests to the key-value store answer any number of lookups. A mirror
 * of the live jobs is refreshed by one request for all lookups that came before it, so each result is as fresh as
 * a read made after its lookup. Ended jobs never change and are read once. Alternatives: docs/reads.md.
 */
import { decodeEnded, decodeJob, endedKey, JOB_PREFIX, jobKey, jobOfKey } from '../core/persistence/index.js';
import type { EndedRecord, JobSpec } from '../core/types.js';
import type { KeyChange } from '../wire/key-value-store.js';
import type { Clock } from './clock.js';
import type { KeyValueStore } from './key-value-store.js';

/** What is stored of a job; `unknown`: the store does not answer. */
export type JobLookup =
  | { readonly kind: 'live'; readonly spec: JobSpec; readonly modRevision: number }
  /** Accepted and not ended, but its description cannot be decoded. */
  | { readonly kind: 'damaged'; readonly modRevision: number }
  | { readonly kind: 'ended'; readonly record: EndedRecord }
  | { readonly kind: 'none' }
  | { readonly kind: 'unknown' };

const UNKNOWN: JobLookup = { kind: 'unknown' };
/** Ended jobs remembered at least; or twice the number of live jobs, if that is more. */
const MIN_REMEMBERED_ENDED = 5000;
/** Jobs read one by one in a round, at most; the others wait for the next round. */
const MAX_SINGLE_READS = 32;
/** Share of the store's request rate that a node's rounds may take. */
const ROUND_SHARE = 0.05;

const decodeLiveJob = (value: unknown, modRevision: number): JobLookup => {
  const spec = decodeJob(value);
  return spec === null ? { kind: 'damaged', modRevision } : { kind: 'live', spec, modRevision };
};

/** Reads one job by itself. */
export async function readJob(state: KeyValueStore, id: string): Promise<JobLookup> {
  // In this order: a job moves from one key to the other, and never back.
  const live = await state.read(jobKey(id));
  if (live === 'unknown') return UNKNOWN;
  if (live.entry !== null) return decodeLiveJob(live.entry.value, live.entry.modRevision);
  return readEnded(state, id);
}

async function readEnded(state: KeyValueStore, id: string): Promise<JobLookup> {
  const ended = await state.read(endedKey(id));
  if (ended === 'unknown') return UNKNOWN;
  if (ended.entry === null) return { kind: 'none' };
  const record = decodeEnded(ended.entry.value);
  return record === null ? UNKNOWN : { kind: 'ended', record };
}

interface PendingLookup {
  readonly id: string;
  readonly resolve: (found: JobLookup) => void;
}

/** Answers lookups in rounds, at a bounded rate. */
export class JobReader {
  /** Ended jobs never change again, so what is known of them needs no read. */
  readonly #ended = new Map<string, EndedRecord>();
  readonly #live = new Map<string, JobLookup>();
  /** Revision as of which the mirror is complete; `null`: it has to be loaded. */
  #revision: number | null = null;
  #pending: PendingLookup[] = [];
  #isRunning = false;
  readonly #roundIntervalMs: number;

  constructor(
    private readonly state: KeyValueStore,
    private readonly clock: Clock,
    rps: number,
    /** Preconditions of one transaction, at most. */
    private readonly conditions: number,
  ) {
    this.#roundIntervalMs = 1000 / (ROUND_SHARE * rps);
  }

  /** Whether the job is known to have ended. */
  hasEnded(id: string): boolean {
    return this.#ended.has(id);
  }

  /** A job as of the latest round, which may be long ago; only live jobs are found. */
  cachedLiveJob(id: string): JobLookup | undefined {
    return this.#live.get(id);
  }

  /** Records the end of a job that has been committed. */
  rememberEnded(id: string, record: EndedRecord): void {
    this.#ended.set(id, record);
    if (this.#ended.size <= Math.max(MIN_REMEMBERED_ENDED, 2 * this.#live.size)) return;
    const [oldest] = this.#ended.keys();
    if (oldest !== undefined) this.#ended.delete(oldest);
  }

  /** Drops what can be read again. */
  dropCaches(): void {
    this.#ended.clear();
    // A round under way works on the mirror.
    if (this.#isRunning) return;
    this.#live.clear();
    this.#revision = null;
  }

  /** The job as the store has it at some moment after this call. */
  find(id: string): Promise<JobLookup> {
    const record = this.#ended.get(id);
    if (record !== undefined) return Promise.resolve({ kind: 'ended', record });
    return new Promise((answer) => {
      this.#pending.push({ id, resolve: answer });
      if (!this.#isRunning) void this.#runRounds();
    });
  }

  async #runRounds(): Promise<void> {
    this.#isRunning = true;
    // Lookups that have arrived by now share the first round.
    await new Promise<void>((resolve) => this.clock.defer(resolve));
    while (this.#pending.length > 0) {
      const from = this.clock.monotonicMs();
      const lookups = this.#pending;
      this.#pending = [];
      await this.#runRound(lookups);
      const left = this.#roundIntervalMs - (this.clock.monotonicMs() - from);
      if (this.#pending.length === 0 || left <= 0) continue;
      await this.clock.sleep(Math.ceil(left));
    }
    this.#isRunning = false;
  }

  /** Resolves these lookups by the store's state as of now or later. */
  async #runRound(lookups: readonly PendingLookup[]): Promise<void> {
    const seen = new Set(lookups.map(({ id }) => id).filter((id) => this.#live.has(id)));
    if (!(await this.#refresh())) {
      for (const { resolve } of lookups) resolve(UNKNOWN);
      return;
    }
    const notLive = new Map<string, PendingLookup[]>();
    for (const lookup of lookups) {
      // An end that a cancellation reported meanwhile must not be contradicted by the older mirror.
      const record = this.#ended.get(lookup.id);
      const found: JobLookup | undefined =
        record === undefined ? this.#live.get(lookup.id) : { kind: 'ended', record };
      if (found !== undefined) lookup.resolve(found);
      else notLive.set(lookup.id, [...(notLive.get(lookup.id) ?? []), lookup]);
    }
    const missing = await this.#findMissing([...notLive.keys()].filter((id) => !seen.has(id)));
    let reads = 0;
    const deferred: PendingLookup[] = [];
    const answered = Promise.all(
      [...notLive].map(async ([id, waiting]) => {
        const record = this.#ended.get(id);
        if (record === undefined && !missing.has(id) && ++reads > MAX_SINGLE_READS) {
          deferred.push(...waiting);
          return;
        }
        const found: JobLookup =
          record !== undefined
            ? { kind: 'ended', record }
            : missing.has(id)
              ? { kind: 'none' }
              : await readEnded(this.state, id);
        if (found.kind === 'ended') this.rememberEnded(id, found.record);
        for (const { resolve } of waiting) resolve(found);
      }),
    );
    // Deferred lookups precede newer ones: otherwise a steady load would defer them without bound.
    this.#pending.unshift(...deferred);
    await answered;
  }

  /** Brings the mirror up to date; false: the store does not answer. */
  async #refresh(): Promise<boolean> {
    if (this.#revision !== null) {
      const found = await this.state.changesSince(JOB_PREFIX, this.#revision);
      if (found.kind === 'unknown') return false;
      if (found.kind === 'changes') {
        for (const change of found.changes) this.#applyChange(change);
        this.#revision = found.revision;
        return true;
      }
    }
    this.#revision = null;
    const jobs = await this.state.list(JOB_PREFIX);
    if (jobs === 'unknown') return false;
    this.#live.clear();
    for (const { key, value, modRevision } of jobs.entries)
      this.#live.set(jobOfKey(key), decodeLiveJob(value, modRevision));
    this.#revision = jobs.revision;
    return true;
  }

  #applyChange({ key, value, modRevision }: KeyChange): void {
    if (value === undefined) this.#live.delete(jobOfKey(key));
    else this.#live.set(jobOfKey(key), decodeLiveJob(value, modRevision));
  }

  /**
   * Which of these jobs, none of them live, have not ended either: they were never submitted. One transaction
   * without mutations checks many; if any of them exists, each is read by itself.
   */
  async #findMissing(ids: readonly string[]): Promise<Set<string>> {
    const none = new Set<string>();
    if (ids.length < 2) return none;
    for (let from = 0; from < ids.length; from += this.conditions) {
      const some = ids.slice(from, from + this.conditions);
      const outcome = await this.state.commit({
        preconditions: some.map((id) => ({ key: endedKey(id), modRevision: 0 })),
        mutations: [],
      });
      if (outcome.kind === 'applied') for (const id of some) none.add(id);
    }
    return none;
  }
}
