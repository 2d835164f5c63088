/**
 * What users ask about jobs, answered by a few requests however many ask. A mirror of the live jobs is
 * brought up to date by one question to the state service for all that came in before it was sent; so
 * each answer is as fresh as if its job had been read after the user asked. What has ended is final,
 * and read once. docs/reads.md weighs this against other ways.
 */
import type { Clock } from './clock.js';
import { decodeEnded, decodeJob, endedKey, JOB_PREFIX, jobKey, jobOfKey } from '../core/persistence/index.js';
import type { EndedRecord, JobSpec } from '../core/types.js';
import type { KeyChange } from '../wire/key-value-store.js';
import type { KeyValueStore } from './key-value-store.js';

export type JobLookup =
  | { readonly kind: 'live'; readonly spec: JobSpec; readonly modRevision: number }
  /** It was accepted and has not ended, and its description cannot be read. */
  | { readonly kind: 'damaged'; readonly modRevision: number }
  | { readonly kind: 'ended'; readonly record: EndedRecord }
  | { readonly kind: 'none' }
  | { readonly kind: 'unknown' };

const UNKNOWN: JobLookup = { kind: 'unknown' };
/** Ended jobs that are remembered at least; with more live jobs, twice their number is. */
const MIN_REMEMBERED_ENDED = 5000;
/** Jobs of one round that may have to be read one by one; the others wait for the next. */
const MAX_SINGLE_READS = 32;
/** Share of the state service's requests that a node's rounds may take. */
const ROUND_SHARE = 0.05;

const decodeLiveJob = (value: unknown, modRevision: number): JobLookup => {
  const spec = decodeJob(value);
  return spec === null ? { kind: 'damaged', modRevision } : { kind: 'live', spec, modRevision };
};

/** A job as the state service has it now, by itself. */
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

export class JobReader {
  /** Ended jobs never change again, so what is known of them needs no read. */
  readonly #ended = new Map<string, EndedRecord>();
  readonly #live = new Map<string, JobLookup>();
  /** The mirror is whole as of this revision; null: it has to be loaded. */
  #revision: number | null = null;
  #pending: PendingLookup[] = [];
  #isRunning = false;
  readonly #roundIntervalMs: number;

  constructor(
    private readonly state: KeyValueStore,
    private readonly clock: Clock,
    rps: number,
    /** Conditions that a transaction may have. */
    private readonly conditions: number,
  ) {
    this.#roundIntervalMs = 1000 / (ROUND_SHARE * rps);
  }

  hasEnded(id: string): boolean {
    return this.#ended.has(id);
  }

  /** A job that was live as of the latest round, which may have been long ago. */
  cachedLiveJob(id: string): JobLookup | undefined {
    return this.#live.get(id);
  }

  /** A committed end. */
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

  /** A job as the state service had it at some moment after this was asked. */
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
    // All that has come in by now shares the first round.
    await new Promise<void>((resolve) => this.clock.defer(resolve));
    while (this.#pending.length > 0) {
      const from = this.clock.monotonicMs();
      const asked = this.#pending;
      this.#pending = [];
      await this.#runRound(asked);
      const left = this.#roundIntervalMs - (this.clock.monotonicMs() - from);
      if (this.#pending.length === 0 || left <= 0) continue;
      await this.clock.sleep(Math.ceil(left));
    }
    this.#isRunning = false;
  }

  /** Answers all of these by the state as of now or later. */
  async #runRound(asked: readonly PendingLookup[]): Promise<void> {
    const seen = new Set(asked.map(({ id }) => id).filter((id) => this.#live.has(id)));
    if (!(await this.#refresh())) {
      for (const { resolve } of asked) resolve(UNKNOWN);
      return;
    }
    const gone = new Map<string, PendingLookup[]>();
    for (const question of asked) {
      // Told of its end meanwhile, by the answer to a withdrawal, nobody here is told less.
      const record = this.#ended.get(question.id);
      const found: JobLookup | undefined =
        record === undefined ? this.#live.get(question.id) : { kind: 'ended', record };
      if (found !== undefined) question.resolve(found);
      else gone.set(question.id, [...(gone.get(question.id) ?? []), question]);
    }
    const none = await this.#findMissing([...gone.keys()].filter((id) => !seen.has(id)));
    let reads = 0;
    const putOff: PendingLookup[] = [];
    const answered = Promise.all(
      [...gone].map(async ([id, questions]) => {
        const record = this.#ended.get(id);
        if (record === undefined && !none.has(id) && ++reads > MAX_SINGLE_READS) {
          putOff.push(...questions);
          return;
        }
        const found: JobLookup =
          record !== undefined
            ? { kind: 'ended', record }
            : none.has(id)
              ? { kind: 'none' }
              : await readEnded(this.state, id);
        if (found.kind === 'ended') this.rememberEnded(id, found.record);
        for (const { resolve } of questions) resolve(found);
      }),
    );
    // Before those that came in meanwhile: under a storm of others they would be put off for ever.
    this.#pending.unshift(...putOff);
    await answered;
  }

  /** Brings the mirror up to the present; false: the state service does not answer. */
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
   * Which of these, known not to be live, have not ended either: nobody ever submitted them. One
   * transaction that only compares asks for many; when any of them exists, each is read by itself.
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
