/** Stand-in of the state service, as the protocol describes it. Each controller reaches it through a port of its own. */
import { nowMs } from './record.mjs';
import { answer, readJson, serve } from './http.mjs';

const KEPT_CHANGES = 10_000;
const MAX_PAGE_BYTES = 512 * 1024;
const MAX_TRANSACTION_BYTES = 64 * 1024;

/** Allows bursts of one second's worth. */
class Bucket {
  #left;
  #at = nowMs();

  constructor(perSecond) {
    this.perSecond = perSecond;
    this.#left = perSecond;
  }

  take(count) {
    const now = nowMs();
    this.#left = Math.min(this.perSecond, this.#left + ((now - this.#at) / 1000) * this.perSecond);
    this.#at = now;
    if (this.#left < count) return false;
    this.#left -= count;
    return true;
  }
}

export class StateService {
  revision = 1;
  /** Called with each transaction that was carried out, and the controller that sent it. */
  onApplied = () => undefined;
  #keys = new Map();
  #leases = new Map();
  #nextLease = 1;
  #changes = [];
  #droppedRevision = 0;
  #waiting = new Set();
  #refused = new Set();
  #isOut = false;
  #requests;
  #writes;

  constructor(limits, recorder) {
    this.limits = limits;
    this.recorder = recorder;
    this.#requests = new Bucket(limits.rps);
    this.#writes = new Bucket(limits.write_rps);
    setInterval(() => this.#expire(), 20).unref();
  }

  listen(name, port) {
    return serve(port, (request, response) => this.#serve(name, request, response));
  }

  /** Answers 503 to this controller alone; its open watches wait. */
  refuse(name, isRefused) {
    this.recorder.note('state', isRefused ? 'refuses' : 'serves again', name);
    if (isRefused) this.#refused.add(name);
    else this.#refused.delete(name);
    this.#wake();
  }

  /** Answers 503 to all; afterwards every lease has its full time again. */
  setOutage(isOut) {
    this.recorder.note('state', isOut ? 'is out' : 'is back');
    this.#isOut = isOut;
    if (!isOut) for (const lease of this.#leases.values()) lease.endsAt = nowMs() + lease.lifeMs;
    this.#wake();
  }

  #isDown(name) {
    return this.#isOut || this.#refused.has(name);
  }

  #expire() {
    if (this.#isOut) return;
    for (const [id, lease] of this.#leases) if (lease.endsAt <= nowMs()) this.#endLease(id);
  }

  #endLease(id) {
    this.#leases.delete(id);
    const owned = [...this.#keys].filter(([, { permit }]) => permit === id).map(([key]) => key);
    if (owned.length > 0) this.#change(owned.map((key) => ({ remove: key })));
  }

  #change(mutations) {
    this.revision += 1;
    for (const { put, data, permit = null, remove } of mutations) {
      if (put !== undefined) {
        this.#keys.set(put, { data, stamp: this.revision, permit });
        this.#changes.push({ put, data, stamp: this.revision });
      } else if (this.#keys.delete(remove)) this.#changes.push({ remove, stamp: this.revision });
    }
    if (this.#changes.length > 2 * KEPT_CHANGES)
      this.#droppedRevision = this.#changes.splice(0, this.#changes.length - KEPT_CHANGES).at(-1).stamp;
    this.#wake();
  }

  #wake() {
    for (const look of [...this.#waiting]) look();
  }

  async #serve(name, request, response) {
    const url = new URL(request.url, 'http://state');
    const body = request.method === 'POST' ? await readJson(request) : undefined;
    if (this.#isDown(name)) {
      answer(response, 503, { error: 'trouble' });
      return;
    }
    if (!this.#requests.take(1)) {
      answer(response, 429, { error: 'too many requests' });
      return;
    }
    const [, area, id, action] = url.pathname.split('/');
    if (area === 'watch') this.#watch(name, url, response);
    else if (area === 'commit') this.#commit(name, body, response);
    else if (area === 'keys' && id === undefined) this.#list(url, response);
    else if (area === 'keys') this.#read(url.pathname.slice('/keys/'.length), response);
    else if (area === 'leases') this.#serveLease(request.method, id, action, body, response);
    else answer(response, 400, { error: 'malformed' });
  }

  #read(key, response) {
    const found = this.#keys.get(key);
    if (found === undefined) answer(response, 404, { ledgerRev: this.revision });
    else answer(response, 200, { key, ...found });
  }

  #list(url, response) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const page = Math.min(1000, Number(url.searchParams.get('page') ?? 200));
    const keys = [...this.#keys.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const rows = [];
    let bytes = 0;
    for (const key of keys) {
      const row = { key, ...this.#keys.get(key) };
      bytes += Buffer.byteLength(JSON.stringify(row));
      if (rows.length === page || (rows.length > 0 && bytes > MAX_PAGE_BYTES)) break;
      rows.push(row);
    }
    answer(response, 200, { rows, truncated: rows.length < keys.length, ledgerRev: this.revision });
  }

  #commit(name, body, response) {
    const { when = [], apply = [] } = body ?? {};
    const bytes = (value) => Buffer.byteLength(JSON.stringify(value));
    const { txn_ops, value_kb } = this.limits;
    const isTooLarge =
      apply.length > txn_ops ||
      when.length > 4 * txn_ops ||
      bytes(body) > MAX_TRANSACTION_BYTES ||
      apply.some(({ data }) => data !== undefined && bytes(data) > value_kb * 1024);
    if (isTooLarge) {
      answer(response, 400, { error: 'too large' });
      return;
    }
    if (apply.some(({ permit }) => permit !== undefined && !this.#leases.has(permit))) {
      answer(response, 400, { error: 'no such lease' });
      return;
    }
    if (!this.#writes.take(apply.length)) {
      answer(response, 429, { error: 'too many changes' });
      return;
    }
    const failed = when.filter(({ key, stamp }) => (this.#keys.get(key)?.stamp ?? 0) !== stamp);
    if (failed.length > 0) {
      answer(response, 409, { failed: failed.map(({ key }) => key), ledgerRev: this.revision });
      return;
    }
    if (apply.length > 0) {
      this.#change(apply);
      const what = apply.map(({ put, remove, data }) =>
        put === undefined ? `remove ${remove}` : `put ${put} ${JSON.stringify(data)}`,
      );
      this.recorder.note('state', `${this.revision} from ${name}:`, what.join('; '));
      this.onApplied(apply, name);
    }
    answer(response, 200, { ledgerRev: this.revision });
  }

  #serveLease(method, id, action, body, response) {
    if (method === 'POST' && id === undefined) {
      const permit = this.#nextLease++;
      const lifeMs = Number(body?.lifeMs);
      this.#leases.set(permit, { lifeMs, endsAt: nowMs() + lifeMs });
      answer(response, 200, { permit });
      return;
    }
    const lease = this.#leases.get(Number(id));
    if (lease === undefined) answer(response, 404, {});
    else if (method === 'DELETE') {
      this.#endLease(Number(id));
      answer(response, 200, {});
    } else if (action === 'renew') {
      lease.endsAt = nowMs() + lease.lifeMs;
      answer(response, 200, { permit: Number(id) });
    } else answer(response, 400, { error: 'malformed' });
  }

  #watch(name, url, response) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const until = nowMs() + Math.min(60_000, Number(url.searchParams.get('waitMs') ?? 0));
    let timer;
    const end = () => {
      clearTimeout(timer);
      this.#waiting.delete(look);
    };
    const look = () => {
      clearTimeout(timer);
      if (response.destroyed) {
        end();
        return;
      }
      // An open watch waits while its controller is refused.
      if (this.#isDown(name)) return;
      if (after < this.#droppedRevision) {
        end();
        answer(response, 410, {});
        return;
      }
      const events = this.#changes.filter(
        ({ put, remove, stamp }) => stamp > after && (put ?? remove).startsWith(prefix),
      );
      const leftMs = until - nowMs();
      if (events.length === 0 && leftMs > 0) {
        timer = setTimeout(look, leftMs + 1);
        return;
      }
      end();
      answer(response, 200, { ledgerRev: this.revision, events });
    };
    this.#waiting.add(look);
    response.on('close', end);
    look();
  }
}
