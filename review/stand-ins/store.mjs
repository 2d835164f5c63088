/** Stand-in of the state service (PROTOCOL, "Controller nodes -> state service"): one port for each controller. */
import { answer, serve } from './http.mjs';

const KEPT_CHANGES = 10_000;
const MAX_ITEMS = 1000;
const MAX_PAGE_BYTES = 512 * 1024;
const MAX_TRANSACTION_BYTES = 64 * 1024;

const bytesOf = (value) => Buffer.byteLength(JSON.stringify(value));

export class Store {
  revision = 1;
  keys = new Map();
  limits;
  isOut = false;
  /** Names of controllers that get 503. */
  refused = new Set();
  /** Called with the controller and the body of a commit; returns how to treat it, see `#commit`. */
  onCommit = () => undefined;
  #leases = new Map();
  #nextLease = 1;
  #changes = [];
  #watchers = new Set();
  #servers = [];
  #requests = { tokens: 0, at: 0 };
  #writes = { tokens: 0, at: 0 };
  #timer;

  constructor(record, limits) {
    this.record = record;
    this.limits = limits;
    this.#timer = setInterval(() => this.#expire(), 20);
  }

  /** Starts the listener of one controller; resolves to its port. */
  async listen(node) {
    const server = await serve((method, url, body, bytes, response) =>
      this.#handle(node, method, url, body, bytes, response),
    );
    this.#servers.push(server);
    return server.address().port;
  }

  close() {
    clearInterval(this.#timer);
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Begins an outage: every node gets 503, open watches stay open, leases stand still. */
  beginOutage() {
    this.isOut = true;
    this.record.add('state service', 'outage begins');
  }

  endOutage() {
    this.isOut = false;
    const now = performance.now();
    for (const lease of this.#leases.values()) lease.endsAt = now + lease.lifeMs;
    this.record.add('state service', 'outage is over');
    for (const watcher of [...this.#watchers]) watcher();
  }

  #take(bucket, perSecond, cost) {
    const now = performance.now();
    bucket.tokens = Math.min(perSecond, bucket.tokens + ((now - bucket.at) / 1000) * perSecond);
    bucket.at = now;
    if (bucket.tokens < cost) return false;
    bucket.tokens -= cost;
    return true;
  }

  #expire() {
    if (this.isOut) return;
    const now = performance.now();
    for (const [id, lease] of this.#leases) if (now >= lease.endsAt) this.#endLease(id);
  }

  #endLease(id) {
    this.#leases.delete(id);
    const owned = [...this.keys].filter(([, entry]) => entry.permit === id).map(([key]) => key);
    if (owned.length > 0) this.#change(owned.map((key) => ({ remove: key })));
  }

  #change(apply) {
    this.revision += 1;
    for (const { put, data, permit, remove } of apply) {
      if (put !== undefined) {
        this.keys.set(put, { data, stamp: this.revision, permit });
        this.#changes.push({ put, data, stamp: this.revision });
      } else if (this.keys.delete(remove)) this.#changes.push({ remove, stamp: this.revision });
    }
    if (this.#changes.length > KEPT_CHANGES) this.#changes.splice(0, this.#changes.length - KEPT_CHANGES);
    for (const watcher of [...this.#watchers]) watcher();
  }

  #handle(node, method, url, body, bytes, response) {
    if (this.isOut || this.refused.has(node)) {
      answer(response, 503, { error: 'trouble' });
      return;
    }
    if (!this.#take(this.#requests, this.limits.rps, 1)) {
      answer(response, 429, { error: 'too many requests' });
      return;
    }
    const path = url.pathname;
    if (method === 'GET' && path === '/keys') this.#list(url, response);
    else if (method === 'GET' && path.startsWith('/keys/')) this.#read(path.slice(6), response);
    else if (method === 'GET' && path === '/watch') this.#watch(node, url, response);
    else if (method === 'POST' && path === '/commit') this.#commit(node, body, bytes, response);
    else if (method === 'POST' && path === '/leases') {
      const id = this.#nextLease++;
      this.#leases.set(id, { lifeMs: body.lifeMs, endsAt: performance.now() + body.lifeMs });
      answer(response, 200, { permit: id });
    } else if (path.startsWith('/leases/')) {
      const id = Number(path.split('/')[2]);
      const lease = this.#leases.get(id);
      if (lease === undefined) answer(response, 404, {});
      else if (method === 'DELETE') {
        this.#endLease(id);
        answer(response, 200, {});
      } else {
        lease.endsAt = performance.now() + lease.lifeMs;
        answer(response, 200, { permit: id });
      }
    } else answer(response, 400, { error: 'malformed' });
  }

  #read(key, response) {
    const entry = this.keys.get(key);
    if (entry === undefined) answer(response, 404, { ledgerRev: this.revision });
    else answer(response, 200, { key, data: entry.data, stamp: entry.stamp, permit: entry.permit });
  }

  #list(url, response) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after');
    const page = Math.min(MAX_ITEMS, Number(url.searchParams.get('page') ?? MAX_ITEMS));
    const keys = [...this.keys.keys()].filter((key) => key.startsWith(prefix)).sort();
    const rows = [];
    let size = 0;
    let truncated = false;
    for (const key of keys) {
      if (after !== null && key <= after) continue;
      const { data, stamp } = this.keys.get(key);
      const row = { key, data, stamp };
      size += bytesOf(row) + 1;
      if (rows.length === page || (rows.length > 0 && size > MAX_PAGE_BYTES - 1024)) {
        truncated = true;
        break;
      }
      rows.push(row);
    }
    answer(response, 200, { rows, truncated, ledgerRev: this.revision });
  }

  #watch(node, url, response) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const waitMs = Math.min(60_000, Number(url.searchParams.get('waitMs') ?? 0));
    const oldest = this.#changes[0]?.stamp ?? 0;
    if (this.#changes.length >= KEPT_CHANGES && after < oldest) {
      answer(response, 410, {});
      return;
    }
    const until = performance.now() + waitMs;
    const look = () => {
      if (this.isOut || this.refused.has(node)) return;
      const events = this.#changes.filter(
        ({ put, remove, stamp }) => stamp > after && (put ?? remove).startsWith(prefix),
      );
      if (events.length === 0 && performance.now() < until) return;
      this.#watchers.delete(look);
      clearInterval(timer);
      answer(response, 200, { ledgerRev: this.revision, events });
    };
    const timer = setInterval(look, 50);
    this.#watchers.add(look);
    response.on('close', () => {
      this.#watchers.delete(look);
      clearInterval(timer);
    });
    look();
  }

  /** `onCommit` may return `{ lateMs }`: no answer, carried out later; `{ lost: true }`: carried out, no answer. */
  #commit(node, body, bytes, response) {
    const treatment = this.onCommit(node, body);
    if (treatment?.lateMs !== undefined) {
      const carryOut = () => {
        if (this.isOut || this.refused.has(node)) setTimeout(carryOut, 200);
        else this.#transact(node, body, bytes);
      };
      setTimeout(carryOut, treatment.lateMs);
      return;
    }
    const [status, result] = this.#transact(node, body, bytes);
    if (treatment?.lost !== true) answer(response, status, result);
  }

  #transact(node, body, bytes) {
    const { when = [], apply = [] } = body;
    const { txn_ops, value_kb, write_rps } = this.limits;
    const tooLarge =
      bytes > MAX_TRANSACTION_BYTES ||
      apply.length > txn_ops ||
      when.length > 4 * txn_ops ||
      apply.some(({ put, data }) => put !== undefined && bytesOf(data) > value_kb * 1024);
    if (tooLarge) {
      this.record.add('state service', `refuses a transaction of ${node} that is too large: 400`);
      return [400, { error: 'too large' }];
    }
    if (!this.#take(this.#writes, write_rps, apply.length)) return [429, { error: 'too many changes' }];
    if (apply.some(({ permit }) => permit != null && !this.#leases.has(permit)))
      return [400, { error: 'no such lease' }];
    const failed = when.filter(({ key, stamp }) => (this.keys.get(key)?.stamp ?? 0) !== stamp);
    if (failed.length > 0) return [409, { failed: failed.map(({ key }) => key), ledgerRev: this.revision }];
    if (apply.length > 0) this.#change(apply);
    return [200, { ledgerRev: this.revision }];
  }
}
