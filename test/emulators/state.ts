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
export class StateEmulator {
  revision = 1;
  readonly keys = new Map<string, StoredValue>();
  readonly #leases = new Map<number, { life: number; endsAt: number }>();
  #nextLease = 1;
  readonly #changes: KeyChange[] = [];
  #waiting: (() => void)[] = [];
  /** Transactions rejected for their size. */
  rejected = 0;
  #outageUntil = 0;
  limits: StoreLimits = { rps: Infinity, write_rps: Infinity, value_kb: 32, txn_ops: 32 };
  #level = 0;
  #levelAt = 0;
  readonly #refused = new Map<string, number>();
  #slowMs = 0;
  #slowUntil = 0;
  #delayedShare = 0;
  #delayedUntil = 0;
  readonly #delayNext: { readonly isOne: (txn: Transaction) => boolean; readonly afterMs: number }[] = [];
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
      lease.endsAt = Math.max(lease.endsAt, this.#outageUntil + lease.life);
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
  delayNextTransaction(isOne: (txn: Transaction) => boolean, afterMs: number): void {
    this.#delayNext.push({ isOne, afterMs });
  }

  /** Delay of a transaction without response; null: it is served at once. */
  transactionDelayMs(txn: Transaction): number | null {
    const at = this.#delayNext.findIndex(({ isOne }) => isOne(txn));
    const [once] = at < 0 ? [] : this.#delayNext.splice(at, 1);
    if (once !== undefined) return once.afterMs;
    const { clock, draw } = this.network;
    return this.#delayedUntil > clock.now && draw() < this.#delayedShare ? 2000 + 10_000 * draw() : null;
  }

  /** A share of transactions and lease requests is applied at once and only the response is lost. */
  loseResponses(share: number, forMs: number): void {
    this.#lostShare = share;
    this.#lostUntil = this.network.clock.now + forMs;
  }

  /** The next matching transaction is applied, and its response lost. */
  loseNextResponse(isOne: (txn: Transaction) => boolean): void {
    this.#loseNext.push(isOne);
  }

  /** Whether the response is lost, of a transaction or (without one) of a lease request. */
  losesResponse(txn?: Transaction): boolean {
    const at = txn === undefined ? -1 : this.#loseNext.findIndex((isOne) => isOne(txn));
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
      const owned = [...this.keys].filter(([, kept]) => kept.lease === id).map(([key]) => key);
      if (owned.length > 0) this.#change(owned.map((key) => ({ remove: key })));
    }
  }

  #change(writes: Transaction['mutations']): void {
    this.revision += 1;
    for (const write of writes) {
      if ('put' in write) {
        // Values cross the wire: nobody may share an object with the service.
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
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const wake of waiting) wake();
    if (this.#onWrite.length === 0) return;
    const isOf = (prefix: string): boolean =>
      writes.some((one) => 'put' in one && one.put.startsWith(prefix));
    const due = this.#onWrite.filter(({ prefix }) => isOf(prefix));
    this.#onWrite = this.#onWrite.filter(({ prefix }) => !isOf(prefix));
    for (const { call } of due) call();
  }

  /** Changes a second, with bursts of one second's worth; failing transactions count as well. */
  #withinRate(changes: number): boolean {
    const { write_rps } = this.limits;
    if (write_rps === Infinity) return true;
    const { now } = this.network.clock;
    this.#level = Math.min(write_rps, this.#level + ((now - this.#levelAt) / 1000) * write_rps);
    this.#levelAt = now;
    if (this.#level < changes) return false;
    this.#level -= changes;
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
    if (!this.#withinRate(txn.mutations.length)) return { kind: 'refused' };
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
    const kept = this.keys.get(key);
    return kept === undefined ? null : { key, value: kept.value, modRevision: kept.modRevision };
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

  /** What has changed since a revision. */
  since(prefix: string, after: number): Exclude<WatchResult, { readonly kind: 'unknown' }> {
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
    down: () => boolean,
    reply: (found: WatchResult) => void,
  ): void {
    const { clock } = this.network;
    const until = clock.now + waitMs;
    let answered = false;
    const look = (): void => {
      if (answered) return;
      this.expire();
      if (down()) {
        clock.in(100, look);
        return;
      }
      const found = this.since(prefix, after);
      if (found.kind === 'tooOld' || found.changes.length > 0 || clock.now >= until) {
        answered = true;
        reply(found);
      } else if (!this.#waiting.includes(look)) this.#waiting.push(look);
    };
    clock.in(waitMs, look);
    look();
  }

  grant(life: number): number {
    const id = this.#nextLease++;
    this.#leases.set(id, { life, endsAt: this.network.clock.now + life });
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
    lease.endsAt = this.network.clock.now + lease.life;
    return true;
  }
}

/** The connection of one node to the store. */
export class StateClient implements KeyValueStore {
  #contactAt: number | null = null;

  constructor(
    private readonly node: string,
    private readonly service: StateEmulator,
    private readonly timeoutMs: number,
    private readonly clock: { monotonicMs(): number; awake(call: () => void): void },
  ) {}

  /** Resolves while the process runs: later if it is paused, never if it has ended. */
  #whenAwake<T>(answer: T): Promise<T> {
    return new Promise((resolve) => this.clock.awake(() => resolve(answer)));
  }

  async #ask<T>(request: string, serve: () => T, lost = false): Promise<T | 'down' | null> {
    this.service.network.onMessage?.(this.node, 'state', request);
    const sentAt = this.clock.monotonicMs();
    const answer = await this.service.network.ask<T | 'down'>(this.node, 'state', this.timeoutMs, (reply) => {
      const { clock } = this.service.network;
      const answer = (): void => {
        const served = this.service.isDown(this.node) ? 'down' : serve();
        if (lost) return;
        const lag = this.service.responseDelayMs();
        if (lag > 0) clock.in(lag, () => reply(served));
        else reply(served);
      };
      const lag = this.service.responseDelayMs();
      if (lag > 0) clock.in(lag, answer);
      else answer();
    });
    if (answer !== null && answer !== 'down') this.#contactAt = Math.max(this.#contactAt ?? sentAt, sentAt);
    return this.#whenAwake(answer);
  }

  lastContactAt(): number | null {
    return this.#contactAt;
  }

  applyLimits(): void {
    // The service itself enforces its limits.
  }

  async read(key: string): Promise<ReadResult> {
    const answer = await this.#ask(`read ${key}`, () => ({ entry: this.service.read(key) }));
    return answer === null || answer === 'down' ? 'unknown' : answer;
  }

  async list(prefix: string): Promise<{ entries: Entry[]; revision: number } | 'unknown'> {
    const answer = await this.#ask(`list ${prefix}`, () => ({
      entries: this.service.list(prefix),
      revision: this.service.revision,
    }));
    return answer === null || answer === 'down' ? 'unknown' : answer;
  }

  async commit(txn: Transaction): Promise<CommitResult> {
    const lateBy = this.service.transactionDelayMs(txn);
    if (lateBy !== null) return this.#commitDelayed(txn, lateBy);
    const lost = this.service.losesResponse(txn);
    const answer = await this.#ask(
      `transaction ${encodeTransaction(txn)}`,
      () => (lost ? this.service.commitWithoutResponse(txn) : this.service.commit(txn)),
      lost,
    );
    if (answer === null) return { kind: 'unknown' };
    return answer === 'down' ? { kind: 'refused' } : answer;
  }

  async #commitDelayed(txn: Transaction, afterMs: number): Promise<CommitResult> {
    const { clock, onMessage } = this.service.network;
    onMessage?.(this.node, 'state', `transaction ${encodeTransaction(txn)}`);
    // Values cross the wire: what the caller makes of its own later changes nothing.
    const sent = JSON.parse(JSON.stringify(txn)) as Transaction;
    const carryOut = (): void => {
      if (this.service.isDown(this.node)) clock.in(500, carryOut);
      else this.service.commitDelayed(sent);
    };
    clock.in(afterMs, carryOut);
    await clock.sleep(this.timeoutMs);
    return this.#whenAwake({ kind: 'unknown' });
  }

  async watch(prefix: string, after: number, waitMs: number): Promise<WatchResult> {
    const sentAt = this.clock.monotonicMs();
    this.service.network.onMessage?.(this.node, 'state', `watch ${prefix} ${after} ${waitMs}`);
    const found = await this.service.network.ask<WatchResult>(
      this.node,
      'state',
      waitMs + this.timeoutMs,
      (reply) => {
        this.service.watch(prefix, after, waitMs, () => this.service.isDown(this.node), reply);
      },
    );
    if (found !== null) this.#contactAt = Math.max(this.#contactAt ?? sentAt, sentAt);
    return this.#whenAwake(found ?? { kind: 'unknown' });
  }

  async changesSince(prefix: string, after: number): Promise<WatchResult> {
    const answer = await this.#ask(`changes ${prefix} ${after}`, () => this.service.since(prefix, after));
    return answer === null || answer === 'down' ? { kind: 'unknown' } : answer;
  }

  async grant(lifeMs: number): Promise<number | null> {
    const answer = await this.#ask(
      `grant ${lifeMs}`,
      () => this.service.grant(lifeMs),
      this.service.losesResponse(),
    );
    return answer === 'down' ? null : answer;
  }

  async revoke(lease: number): Promise<void> {
    await this.#ask(`revoke ${lease}`, () => this.service.revoke(lease), this.service.losesResponse());
  }

  async renew(lease: number): Promise<boolean | null> {
    const answer = await this.#ask(
      `renew ${lease}`,
      () => this.service.renew(lease),
      this.service.losesResponse(),
    );
    return answer === 'down' ? null : answer;
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

function withoutLater(found: WatchResult): WatchResult {
  if (found.kind !== 'changes') return found;
  return {
    ...found,
    changes: found.changes.map((change) => ({ ...change, ...withoutLaterFields(change) })),
  };
}

/** The view of a controller version without DAG dependencies on the same data. */
export class EarlierStateClient extends StateClient {
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
    return withoutLater(await super.watch(prefix, after, waitMs));
  }

  override async changesSince(prefix: string, after: number): Promise<WatchResult> {
    return withoutLater(await super.changesSince(prefix, after));
  }

  override async commit(txn: Transaction): Promise<CommitResult> {
    const key = txn.mutations
      .map((write) => ('put' in write ? write.put : write.remove))
      .find((k) => LATER_KEYS.test(k));
    return key === undefined ? super.commit(txn) : { kind: 'refused' };
  }
}
