/** The data of the key-value store emulator: keys with stamps, leases, and the recent changes for watches. */

interface Value {
  readonly data: unknown;
  readonly bytes: number;
  readonly stamp: number;
  readonly lease: number | null;
}

/** One change, as a watch reports it. */
export type StoreEvent =
  | { readonly put: string; readonly data: unknown; readonly stamp: number }
  | { readonly remove: string; readonly stamp: number };

interface Put {
  readonly put: string;
  readonly data: unknown;
  readonly permit?: number;
}
interface Remove {
  readonly remove: string;
}

/** A transaction in the format of a request body. */
export interface StoreTransaction {
  readonly when?: readonly { readonly key: string; readonly stamp: number }[];
  readonly apply?: readonly (Put | Remove)[];
}

/** The outcome of a transaction. */
export type StoreOutcome =
  | { readonly kind: 'applied'; readonly revision: number }
  | { readonly kind: 'failed'; readonly keys: readonly string[]; readonly revision: number }
  | { readonly kind: 'limited' }
  | { readonly kind: 'invalid'; readonly reason: string };

/** Limits that the store enforces. */
export interface StoreLimits {
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
}

const MIN_KEPT_EVENTS = 10_000;
const MAX_TRANSACTION_BYTES = 64 * 1024;
const CONDITIONS_PER_OP = 4;

/** Keys are grouped by their first segment, so that a search by prefix scans only the keys of its group. */
const groupOf = (key: string): string => key.slice(0, key.indexOf('/') + 1);

/** A strongly consistent store with a single replica: one process executes all operations one after another. */
export class Store {
  revision = 1;
  changes = 0;
  bytes = 0;
  readonly #groups = new Map<string, Map<string, Value>>();
  readonly #leases = new Map<
    number,
    { readonly lifeMs: number; endsAt: number; readonly keys: Set<string> }
  >();
  #nextLease = 1;
  readonly #events: { readonly key: string; readonly event: StoreEvent }[] = [];
  #droppedRevision = 0;
  #writeBudget: number;
  #budgetAt: number;
  readonly #listeners = new Set<() => void>();

  constructor(
    private readonly limits: StoreLimits,
    private readonly now: () => number,
  ) {
    this.#writeBudget = limits.writeRps;
    this.#budgetAt = now();
  }

  get keyCount(): number {
    let count = 0;
    for (const group of this.#groups.values()) count += group.size;
    return count;
  }

  get(key: string): Value | undefined {
    return this.#groups.get(groupOf(key))?.get(key);
  }

  /** Entries whose key has the prefix and sorts after a key, in key order, at most `limit`. */
  list(prefix: string, after: string, limit: number): { rows: [string, Value][]; truncated: boolean } {
    const group = groupOf(prefix);
    const groups =
      group === '' ? [...this.#groups.values()] : [this.#groups.get(group) ?? new Map<string, Value>()];
    const keys = groups
      .flatMap((one) => [...one.keys()])
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const rows = keys.slice(0, limit).flatMap((key): [string, Value][] => {
      const value = this.get(key);
      return value === undefined ? [] : [[key, value]];
    });
    return { rows, truncated: keys.length > limit };
  }

  #remove(key: string, stamp: number): void {
    const group = this.#groups.get(groupOf(key));
    const value = group?.get(key);
    if (value === undefined) return;
    group?.delete(key);
    this.bytes -= value.bytes;
    if (value.lease !== null) this.#leases.get(value.lease)?.keys.delete(key);
    this.#recordChange(key, { remove: key, stamp });
  }

  #put({ put: key, data, permit }: Put, stamp: number): void {
    const group = groupOf(key);
    const values = this.#groups.get(group) ?? new Map<string, Value>();
    this.#groups.set(group, values);
    const before = values.get(key);
    if (before !== undefined) {
      this.bytes -= before.bytes;
      if (before.lease !== null) this.#leases.get(before.lease)?.keys.delete(key);
    }
    const bytes = JSON.stringify(data).length + key.length;
    values.set(key, { data, bytes, stamp, lease: permit ?? null });
    this.bytes += bytes;
    if (permit !== undefined) this.#leases.get(permit)?.keys.add(key);
    this.#recordChange(key, { put: key, data, stamp });
  }

  #recordChange(key: string, event: StoreEvent): void {
    this.changes += 1;
    this.#events.push({ key, event });
    if (this.#events.length <= 2 * MIN_KEPT_EVENTS) return;
    const dropped = this.#events.splice(0, this.#events.length - MIN_KEPT_EVENTS);
    this.#droppedRevision = dropped.at(-1)?.event.stamp ?? this.#droppedRevision;
  }

  #notifyListeners(): void {
    for (const listener of [...this.#listeners]) listener();
  }

  /** Takes `count` changes from the rate limit, which allows bursts of one second's worth; false if it is exceeded. */
  #withinRate(count: number): boolean {
    const now = this.now();
    const { writeRps } = this.limits;
    this.#writeBudget = Math.min(writeRps, this.#writeBudget + ((now - this.#budgetAt) / 1000) * writeRps);
    this.#budgetAt = now;
    if (this.#writeBudget < count) return false;
    this.#writeBudget -= count;
    return true;
  }

  commit({ when = [], apply = [] }: StoreTransaction, bytes: number): StoreOutcome {
    const { txnOps, valueKb } = this.limits;
    if (apply.length > txnOps || when.length > CONDITIONS_PER_OP * txnOps || bytes > MAX_TRANSACTION_BYTES)
      return { kind: 'invalid', reason: 'too large' };
    const puts = apply.filter((one): one is Put => 'put' in one);
    if (puts.some(({ data }) => JSON.stringify(data).length > valueKb * 1024))
      return { kind: 'invalid', reason: 'value too large' };
    if (puts.some(({ permit }) => permit !== undefined && !this.#leases.has(permit)))
      return { kind: 'invalid', reason: 'no such lease' };
    if (!this.#withinRate(apply.length)) return { kind: 'limited' };
    const failed = when
      .filter(({ key, stamp }) => (this.get(key)?.stamp ?? 0) !== stamp)
      .map(({ key }) => key);
    if (failed.length > 0) return { kind: 'failed', keys: failed, revision: this.revision };
    if (apply.length > 0) {
      this.revision += 1;
      for (const one of apply) {
        if ('put' in one) this.#put(one, this.revision);
        else this.#remove(one.remove, this.revision);
      }
      this.#notifyListeners();
    }
    return { kind: 'applied', revision: this.revision };
  }

  /** Changes of keys with a prefix after a revision; null if some of them have been discarded. */
  since(prefix: string, after: number): StoreEvent[] | null {
    if (after < this.#droppedRevision) return null;
    const found: StoreEvent[] = [];
    for (let i = this.#events.length - 1; i >= 0; i -= 1) {
      const entry = this.#events[i];
      if (entry === undefined || entry.event.stamp <= after) break;
      if (entry.key.startsWith(prefix)) found.push(entry.event);
    }
    return found.reverse();
  }

  /** Calls the listener after each change; the returned function unsubscribes it. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  grant(lifeMs: number): number {
    const id = this.#nextLease++;
    this.#leases.set(id, { lifeMs, endsAt: this.now() + lifeMs, keys: new Set() });
    return id;
  }

  renew(id: number): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    lease.endsAt = this.now() + lease.lifeMs;
    return true;
  }

  revoke(id: number): void {
    const lease = this.#leases.get(id);
    if (lease === undefined) return;
    const { keys } = lease;
    if (keys.size > 0) {
      this.revision += 1;
      for (const key of [...keys]) this.#remove(key, this.revision);
    }
    this.#leases.delete(id);
    if (keys.size > 0) this.#notifyListeners();
  }

  /** Revokes the leases that have expired. */
  expire(): void {
    for (const [id, { endsAt }] of [...this.#leases]) if (endsAt <= this.now()) this.revoke(id);
  }

  /** Restarts every lease with its full duration, after an outage. */
  extendLeases(): void {
    for (const lease of this.#leases.values()) lease.endsAt = this.now() + lease.lifeMs;
  }
}
