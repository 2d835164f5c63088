/** Emulator of the key-value store on the virtual clock, with fault injection. Durations are in milliseconds. */
import type {
  CommitResult,
  ReadResult,
  KeyValueStore,
  WatchResult,
} from '../../src/adapters/key-value-store.js';
import type { StoreLimits } from '../../src/config/settings.js';
import { asObject } from '../../src/core/values.js';
import type { Transaction } from '../../src/core/types.js';
import { encodeTransaction, type KeyChange, type Entry } from '../../src/wire/key-value-store.js';
import type { Network } from './network.js';

interface StoredValue {
  readonly value: unknown;
  readonly modRevision: number;
  readonly lease: number | null;
}

const MAX_RETAINED_CHANGES = 200;

/** The store, shared by all nodes. */
export class StoreEmulator {
  revision = 1;
  readonly keys = new Map<string, StoredValue>();
  readonly #leases = new Map<number, { ttlMs: number; endsAt: number }>();
  #nextLease = 1;
  readonly #changes: KeyChange[] = [];
  #watchers: (() => void)[] = [];
  /** Transactions rejected for their size. */
  rejected = 0;
  #outageUntil = 0;
  limits: StoreLimits = { rps: Infinity, write_rps: Infinity, value_kb: 32, txn_ops: 32 };
  #tokens = 0;
  #refilledAt = 0;
  readonly #refused = new Map<string, number>();
  #slowMs = 0;
  #slowUntil = 0;
  #delayedShare = 0;
  #delayedUntil = 0;
  readonly #delayNext: { readonly matches: (txn: Transaction) => boolean; readonly afterMs: number }[] = [];
  #onDelayedCommit: (() => void)[] = [];
  #lostShare = 0;
  #lostUntil = 0;
  readonly #loseNext: ((txn: Transaction) => boolean)[] = [];
  #onLostResponse: (() => void)[] = [];
  #onWrite: { readonly prefix: string; readonly call: () => void }[] = [];

  constructor(readonly network: Network) {}

  outage(ms: number): void {
    this.#outageUntil = this.network.clock.now + ms;
    for (const lease of this.#leases.values())
      lease.endsAt = Math.max(lease.endsAt, this.#outageUntil + lease.ttlMs);
  }

  refuse(node: string, ms: number): void {
    this.#refused.set(node, this.network.clock.now + ms);
  }

  /** Delays each request and response by up to `ms`. */
  slow(ms: number, forMs: number): void {
    this.#slowMs = ms;
    this.#slowUntil = this.network.clock.now + forMs;
  }

  /** A share of transactions gets no response and is applied seconds later, after newer ones. */
  delayTransactions(share: number, forMs: number): void {
    this.#delayedShare = share;
    this.#delayedUntil = this.network.clock.now + forMs;
  }

  /** The next matching transaction gets no response and is applied `afterMs` later. */
  delayNextTransaction(matches: (txn: Transaction) => boolean, afterMs: number): void {
    this.#delayNext.push({ matches, afterMs });
  }

  /** Delay of a transaction that gets no response, in milliseconds; null if it is served immediately. */
  transactionDelayMs(txn: Transaction): number | null {
    const at = this.#delayNext.findIndex(({ matches }) => matches(txn));
    const [once] = at < 0 ? [] : this.#delayNext.splice(at, 1);
    if (once !== undefined) return once.afterMs;
    const { clock, draw } = this.network;
    return this.#delayedUntil > clock.now && draw() < this.#delayedShare ? 2000 + 10_000 * draw() : null;
  }

  /** A share of transactions and lease requests is applied immediately, and only the response is lost. */
  loseResponses(share: number, forMs: number): void {
    this.#lostShare = share;
    this.#lostUntil = this.network.clock.now + forMs;
  }

  /** The next matching transaction is applied, and its response lost. */
  loseNextResponse(matches: (txn: Transaction) => boolean): void {
    this.#loseNext.push(matches);
  }

  /** Whether the response to a transaction, or without an argument to a lease request, is lost. */
  losesResponse(txn?: Transaction): boolean {
    const at = txn === undefined ? -1 : this.#loseNext.findIndex((matches) => matches(txn));
    if (at >= 0) this.#loseNext.splice(at, 1);
    const { clock, draw } = this.network;
    return at >= 0 || (this.#lostUntil > clock.now && draw() < this.#lostShare);
  }

  /** Calls back once the next transaction with a lost response is applied. */
  onNextLostResponse(call: () => void): void {
    this.#onLostResponse.push(call);
  }

  commitWithoutResponse(txn: Transaction): CommitResult {
    const outcome = this.commit(txn);
    if (outcome.kind === 'applied') for (const call of this.#onLostResponse.splice(0)) call();
    return outcome;
  }

  /** Calls back once the next delayed transaction is applied. */
  onNextDelayedCommit(call: () => void): void {
    this.#onDelayedCommit.push(call);
  }

  commitDelayed(txn: Transaction): void {
    if (this.commit(txn).kind !== 'applied') return;
    for (const call of this.#onDelayedCommit.splice(0)) call();
  }

  /** Delay before a request is served, and again before the response. */
  responseDelayMs(): number {
    return this.#slowUntil > this.network.clock.now ? this.#slowMs * this.network.draw() : 0;
  }

  /** Calls back when a key with this prefix is next written. */
  onNextWrite(prefix: string, call: () => void): void {
    this.#onWrite.push({ prefix, call });
  }

  isDown(node: string): boolean {
    return Math.max(this.#outageUntil, this.#refused.get(node) ?? 0) > this.network.clock.now;
  }

  expire(): void {
    for (const [id, lease] of this.#leases) {
      if (lease.endsAt > this.network.clock.now) continue;
      this.#leases.delete(id);
      const owned = [...this.keys].filter(([, stored]) => stored.lease === id).map(([key]) => key);
      if (owned.length > 0) this.#change(owned.map((key) => ({ remove: key })));
    }
  }

  #change(writes: Transaction['mutations']): void {
    this.revision += 1;
    for (const write of writes) {
      if ('put' in write) {
        // Values cross the wire: the store and its clients must not share objects.
        const value = JSON.parse(JSON.stringify(write.value)) as unknown;
        this.keys.set(write.put, { value, modRevision: this.revision, lease: write.lease ?? null });
        this.#changes.push({ key: write.put, value, modRevision: this.revision });
        this.network.onMessage?.(
          'state',
          'kept',
          `${this.revision} put ${write.put} ${JSON.stringify(value)}`,
        );
      } else if (this.keys.delete(write.remove)) {
        this.#changes.push({ key: write.remove, value: undefined, modRevision: this.revision });
        this.network.onMessage?.('state', 'kept', `${this.revision} remove ${write.remove}`);
      }
    }
    if (this.#changes.length > MAX_RETAINED_CHANGES)
      this.#changes.splice(0, this.#changes.length - MAX_RETAINED_CHANGES);
    const watchers = this.#watchers;
    this.#watchers = [];
    for (const wake of watchers) wake();
    if (this.#onWrite.length === 0) return;
    const isWritten = (prefix: string): boolean =>
      writes.some((write) => 'put' in write && write.put.startsWith(prefix));
    const due = this.#onWrite.filter(({ prefix }) => isWritten(prefix));
    this.#onWrite = this.#onWrite.filter(({ prefix }) => !isWritten(prefix));
    for (const { call } of due) call();
  }

  /** Token bucket for changes per second, with bursts of one second's worth; failing transactions count as well. */
  #takeTokens(changes: number): boolean {
    const { write_rps } = this.limits;
    if (write_rps === Infinity) return true;
    const { now } = this.network.clock;
    this.#tokens = Math.min(write_rps, this.#tokens + ((now - this.#refilledAt) / 1000) * write_rps);
    this.#refilledAt = now;
    if (this.#tokens < changes) return false;
    this.#tokens -= changes;
    return true;
  }

  commit(txn: Transaction): CommitResult {
    this.expire();
    const { txn_ops, value_kb } = this.limits;
    const bytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
    if (
      txn.mutations.length > txn_ops ||
      txn.preconditions.length > 4 * txn_ops ||
      bytes(txn) > 64 * 1024 ||
      txn.mutations.some((write) => 'put' in write && bytes(write.value) > value_kb * 1024)
    ) {
      this.rejected += 1;
      return { kind: 'rejected' };
    }
    if (!this.#takeTokens(txn.mutations.length)) return { kind: 'refused' };
    for (const write of txn.mutations) {
      if ('put' in write && write.lease !== undefined && !this.#leases.has(write.lease))
        return { kind: 'rejected' };
    }
    const failed = txn.preconditions.filter(
      ({ key, modRevision }) => (this.keys.get(key)?.modRevision ?? 0) !== modRevision,
    );
    if (failed.length > 0) return { kind: 'failed', keys: failed.map(({ key }) => key) };
    this.#change(txn.mutations);
    return { kind: 'applied', revision: this.revision };
  }

  read(key: string): Entry | null {
    this.expire();
    const stored = this.keys.get(key);
    return stored === undefined ? null : { key, value: stored.value, modRevision: stored.modRevision };
  }

  list(prefix: string): Entry[] {
    this.expire();
    return [...this.keys.keys()]
      .filter((key) => key.startsWith(prefix))
      .sort()
      .map((key) => ({
        key,
        value: this.keys.get(key)?.value,
        modRevision: this.keys.get(key)?.modRevision ?? 0,
      }));
  }

  /** The changes after a revision, or `tooOld` if they are no longer retained. */
  changesSince(prefix: string, after: number): Exclude<WatchResult, { readonly kind: 'unknown' }> {
    this.expire();
    const oldest = this.#changes[0]?.modRevision ?? 0;
    if (this.#changes.length >= MAX_RETAINED_CHANGES && after < oldest) return { kind: 'tooOld' };
    const changes = this.#changes.filter(
      ({ key, modRevision }) => modRevision > after && key.startsWith(prefix),
    );
    return { kind: 'changes', changes, revision: this.revision };
  }

  watch(
    prefix: string,
    after: number,
    waitMs: number,
    isDown: () => boolean,
    reply: (result: WatchResult) => void,
  ): void {
    const { clock } = this.network;
    const until = clock.now + waitMs;
    let hasReplied = false;
    const poll = (): void => {
      if (hasReplied) return;
      this.expire();
      if (isDown()) {
        clock.in(100, poll);
        return;
      }
      const result = this.changesSince(prefix, after);
      if (result.kind === 'tooOld' || result.changes.length > 0 || clock.now >= until) {
        hasReplied = true;
        reply(result);
      } else if (!this.#watchers.includes(poll)) this.#watchers.push(poll);
    };
    clock.in(waitMs, poll);
    poll();
  }

  grant(ttlMs: number): number {
    const id = this.#nextLease++;
    this.#leases.set(id, { ttlMs, endsAt: this.network.clock.now + ttlMs });
    return id;
  }

  revoke(id: number): void {
    const lease = this.#leases.get(id);
    if (lease !== undefined) lease.endsAt = 0;
    this.expire();
  }

  renew(id: number): boolean {
    this.expire();
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    lease.endsAt = this.network.clock.now + lease.ttlMs;
    return true;
  }
}

/** The connection of one node to the store. */
export class StoreClient implements KeyValueStore {
  #lastContactAt: number | null = null;

  constructor(
    private readonly node: string,
    private readonly store: StoreEmulator,
    private readonly timeoutMs: number,
    private readonly clock: { monotonicMs(): number; awake(call: () => void): void },
  ) {}

  /** Resolves immediately, or when a paused process resumes; never after the process has ended. */
  #whenAwake<T>(response: T): Promise<T> {
    return new Promise((resolve) => this.clock.awake(() => resolve(response)));
  }

  async #request<T>(request: string, serve: () => T, isResponseLost = false): Promise<T | 'down' | null> {
    this.store.network.onMessage?.(this.node, 'state', request);
    const sentAt = this.clock.monotonicMs();
    const response = await this.store.network.request<T | 'down'>(
      this.node,
      'state',
      this.timeoutMs,
      (reply) => {
        const { clock } = this.store.network;
        const handle = (): void => {
          const result = this.store.isDown(this.node) ? 'down' : serve();
          if (isResponseLost) return;
          const delayMs = this.store.responseDelayMs();
          if (delayMs > 0) clock.in(delayMs, () => reply(result));
          else reply(result);
        };
        const delayMs = this.store.responseDelayMs();
        if (delayMs > 0) clock.in(delayMs, handle);
        else handle();
      },
    );
    if (response !== null && response !== 'down')
      this.#lastContactAt = Math.max(this.#lastContactAt ?? sentAt, sentAt);
    return this.#whenAwake(response);
  }

  lastContactAt(): number | null {
    return this.#lastContactAt;
  }

  applyLimits(): void {
    // The emulator itself enforces its limits.
  }

  async read(key: string): Promise<ReadResult> {
    const response = await this.#request(`read ${key}`, () => ({ entry: this.store.read(key) }));
    return response === null || response === 'down' ? 'unknown' : response;
  }

  async list(prefix: string): Promise<{ entries: Entry[]; revision: number } | 'unknown'> {
    const response = await this.#request(`list ${prefix}`, () => ({
      entries: this.store.list(prefix),
      revision: this.store.revision,
    }));
    return response === null || response === 'down' ? 'unknown' : response;
  }

  async commit(txn: Transaction): Promise<CommitResult> {
    const delayMs = this.store.transactionDelayMs(txn);
    if (delayMs !== null) return this.#commitDelayed(txn, delayMs);
    const isResponseLost = this.store.losesResponse(txn);
    const response = await this.#request(
      `transaction ${encodeTransaction(txn)}`,
      () => (isResponseLost ? this.store.commitWithoutResponse(txn) : this.store.commit(txn)),
      isResponseLost,
    );
    if (response === null) return { kind: 'unknown' };
    return response === 'down' ? { kind: 'refused' } : response;
  }

  async #commitDelayed(txn: Transaction, afterMs: number): Promise<CommitResult> {
    const { clock, onMessage } = this.store.network;
    onMessage?.(this.node, 'state', `transaction ${encodeTransaction(txn)}`);
    // Values cross the wire: later changes to the caller's object must not affect the transaction.
    const sent = JSON.parse(JSON.stringify(txn)) as Transaction;
    const apply = (): void => {
      if (this.store.isDown(this.node)) clock.in(500, apply);
      else this.store.commitDelayed(sent);
    };
    clock.in(afterMs, apply);
    await clock.sleep(this.timeoutMs);
    return this.#whenAwake({ kind: 'unknown' });
  }

  async watch(prefix: string, after: number, waitMs: number): Promise<WatchResult> {
    const sentAt = this.clock.monotonicMs();
    this.store.network.onMessage?.(this.node, 'state', `watch ${prefix} ${after} ${waitMs}`);
    const result = await this.store.network.request<WatchResult>(
      this.node,
      'state',
      waitMs + this.timeoutMs,
      (reply) => {
        this.store.watch(prefix, after, waitMs, () => this.store.isDown(this.node), reply);
      },
    );
    if (result !== null) this.#lastContactAt = Math.max(this.#lastContactAt ?? sentAt, sentAt);
    return this.#whenAwake(result ?? { kind: 'unknown' });
  }

  async changesSince(prefix: string, after: number): Promise<WatchResult> {
    const response = await this.#request(`changes ${prefix} ${after}`, () =>
      this.store.changesSince(prefix, after),
    );
    return response === null || response === 'down' ? { kind: 'unknown' } : response;
  }

  async grant(ttlMs: number): Promise<number | null> {
    const response = await this.#request(
      `grant ${ttlMs}`,
      () => this.store.grant(ttlMs),
      this.store.losesResponse(),
    );
    return response === 'down' ? null : response;
  }

  async revoke(lease: number): Promise<void> {
    await this.#request(`revoke ${lease}`, () => this.store.revoke(lease), this.store.losesResponse());
  }

  async renew(lease: number): Promise<boolean | null> {
    const response = await this.#request(
      `renew ${lease}`,
      () => this.store.renew(lease),
      this.store.losesResponse(),
    );
    return response === 'down' ? null : response;
  }
}

/** Keys unknown to versions without DAG dependencies. */
const LATER_KEYS = /^(version\/|format$|memory\/|run\/.+\/\d+\.\d+$)/;

function withoutLaterFields(entry: Entry): Entry {
  const raw = asObject(entry.value);
  if (raw === null) return entry;
  const { awaits: _, ...value } = raw;
  return { ...entry, value };
}

function withoutLaterChanges(result: WatchResult): WatchResult {
  if (result.kind !== 'changes') return result;
  return {
    ...result,
    changes: result.changes.map((change) => ({ ...change, ...withoutLaterFields(change) })),
  };
}

/** The store client of a version without DAG dependencies: it sees no later keys or fields. */
export class EarlierStoreClient extends StoreClient {
  override async read(key: string): Promise<ReadResult> {
    if (LATER_KEYS.test(key)) return { entry: null };
    const read = await super.read(key);
    return read === 'unknown' || read.entry === null ? read : { entry: withoutLaterFields(read.entry) };
  }

  override async list(prefix: string): Promise<{ entries: Entry[]; revision: number } | 'unknown'> {
    const found = await super.list(prefix);
    if (found === 'unknown') return found;
    const entries = found.entries.filter(({ key }) => !LATER_KEYS.test(key)).map(withoutLaterFields);
    return { ...found, entries };
  }

  override async watch(prefix: string, after: number, waitMs: number): Promise<WatchResult> {
    return withoutLaterChanges(await super.watch(prefix, after, waitMs));
  }

  override async changesSince(prefix: string, after: number): Promise<WatchResult> {
    return withoutLaterChanges(await super.changesSince(prefix, after));
  }

  override async commit(txn: Transaction): Promise<CommitResult> {
    const key = txn.mutations
      .map((write) => ('put' in write ? write.put : write.remove))
      .find((written) => LATER_KEYS.test(written));
    return key === undefined ? super.commit(txn) : { kind: 'refused' };
  }
}
