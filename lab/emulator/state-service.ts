/** The key-value store emulator: serves keys, transactions, leases and watches over HTTP, as PROTOCOL specifies them. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { createServer as createListener, type Server } from 'node:net';
import { monotonicMs } from '../clock.js';
import { answerJson, bytesSince, readJson, TrafficMeter } from './http.js';
import { Store, type StoreLimits } from './store.js';

const EXPIRY_INTERVAL_MS = 20;
const MAX_ROWS = 1000;
const MAX_WAIT_MS = 60_000;
const OUTAGE_POLL_MS = 50;

/** Size of the store, and its changes and requests since the previous sample. */
export interface StoreSample {
  readonly keys: number;
  readonly bytes: number;
  readonly changes: number;
  readonly requests: Readonly<Record<string, { readonly messages: number; readonly bytes: number }>>;
}

/** Serves a store on one address per controller, so that a single controller can be refused. */
export class StoreServer {
  readonly #store: Store;
  readonly #meter = new TrafficMeter();
  readonly #refusedUntil = new Map<string, number>();
  #outageUntil = 0;
  #changesSeen = 0;
  #requestBudget: number;
  #budgetAt = monotonicMs();
  readonly #listeners: Server[] = [];

  constructor(
    limits: StoreLimits,
    private readonly requestRps: number,
  ) {
    this.#store = new Store(limits, monotonicMs);
    this.#requestBudget = requestRps;
    setInterval(() => {
      if (!this.#isOut) this.#store.expire();
    }, EXPIRY_INTERVAL_MS).unref();
  }

  get #isOut(): boolean {
    return monotonicMs() < this.#outageUntil;
  }

  async listen(addresses: readonly string[], port: number): Promise<void> {
    const server = createServer((request, response) => void this.#serve(request, response));
    server.keepAliveTimeout = 2 * MAX_WAIT_MS;
    for (const address of addresses) {
      const listener = createListener((socket) => server.emit('connection', socket));
      this.#listeners.push(listener);
      await new Promise<void>((resolve, reject) => {
        listener.once('error', reject);
        listener.listen(port, address, resolve);
      });
    }
  }

  /** Answers requests to this address with 503 for `forMs` milliseconds. */
  refuse(address: string, forMs: number): void {
    this.#refusedUntil.set(address, monotonicMs() + forMs);
  }

  /** Answers all requests with 503 for `forMs` milliseconds; afterwards every lease has its full duration again. */
  outage(forMs: number): void {
    this.#outageUntil = monotonicMs() + forMs;
    setTimeout(() => this.#store.extendLeases(), forMs);
  }

  sample(): StoreSample {
    const changes = this.#store.changes - this.#changesSeen;
    this.#changesSeen = this.#store.changes;
    return { keys: this.#store.keyCount, bytes: this.#store.bytes, changes, requests: this.#meter.take() };
  }

  #isRefused(address: string): boolean {
    return this.#isOut || (this.#refusedUntil.get(address) ?? 0) > monotonicMs();
  }

  #withinRate(): boolean {
    const now = monotonicMs();
    const earned = ((now - this.#budgetAt) / 1000) * this.requestRps;
    this.#requestBudget = Math.min(this.requestRps, this.#requestBudget + earned);
    this.#budgetAt = now;
    if (this.#requestBudget < 1) return false;
    this.#requestBudget -= 1;
    return true;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = request;
    const url = new URL(request.url ?? '/', 'http://state');
    const kind = `${request.method ?? ''} ${url.pathname.split('/')[1] ?? ''}`;
    response.on('finish', () => this.#meter.note(kind, bytesSince(socket)));
    const body = request.method === 'POST' ? (await readJson(request)).json : undefined;
    const address = socket.localAddress ?? '';
    if (url.pathname === '/watch' && request.method === 'GET') this.#watch(url, address, response);
    else if (this.#isRefused(address)) answerJson(response, 503, { error: 'trouble' });
    else if (!this.#withinRate()) answerJson(response, 429, { error: 'too many requests' });
    else
      this.#answer(request.method ?? '', url, body, Number(request.headers['content-length'] ?? 0), response);
  }

  #answer(method: string, url: URL, body: unknown, bytes: number, response: ServerResponse): void {
    const [, area = '', id = '', action = ''] = url.pathname.split('/');
    if (method === 'POST' && area === 'commit') this.#commit(body, bytes, response);
    else if (method === 'GET' && area === 'keys' && id === '') this.#list(url, response);
    else if (method === 'GET' && area === 'keys') this.#read(url.pathname.slice('/keys/'.length), response);
    else if (method === 'POST' && area === 'leases' && id === '') {
      const { lifeMs } = (body ?? {}) as { lifeMs?: number };
      answerJson(response, 200, { permit: this.#store.grant(Number(lifeMs)) });
    } else if (method === 'POST' && area === 'leases' && action === 'renew')
      answerJson(response, this.#store.renew(Number(id)) ? 200 : 404, {});
    else if (method === 'DELETE' && area === 'leases') {
      this.#store.revoke(Number(id));
      answerJson(response, 200, {});
    } else answerJson(response, 400, { error: 'malformed' });
  }

  #commit(body: unknown, bytes: number, response: ServerResponse): void {
    if (typeof body !== 'object' || body === null) {
      answerJson(response, 400, { error: 'malformed' });
      return;
    }
    const outcome = this.#store.commit(body, bytes);
    switch (outcome.kind) {
      case 'applied':
        answerJson(response, 200, { ledgerRev: outcome.revision });
        break;
      case 'failed':
        answerJson(response, 409, { failed: outcome.keys, ledgerRev: outcome.revision });
        break;
      case 'limited':
        answerJson(response, 429, { error: 'too many changes' });
        break;
      case 'invalid':
        answerJson(response, 400, { error: outcome.reason });
        break;
    }
  }

  #list(url: URL, response: ServerResponse): void {
    const page = Math.min(MAX_ROWS, Number(url.searchParams.get('page') ?? 200));
    const found = this.#store.list(
      url.searchParams.get('prefix') ?? '',
      url.searchParams.get('after') ?? '',
      page,
    );
    const rows = found.rows.map(([key, { data, stamp }]) => ({ key, data, stamp }));
    answerJson(response, 200, { rows, truncated: found.truncated, ledgerRev: this.#store.revision });
  }

  #read(key: string, response: ServerResponse): void {
    const found = this.#store.get(key);
    if (found === undefined) answerJson(response, 404, { ledgerRev: this.#store.revision });
    else
      answerJson(response, 200, {
        key,
        data: found.data,
        stamp: found.stamp,
        ...(found.lease === null ? {} : { permit: found.lease }),
      });
  }

  /**
   * Answers as soon as a key with the prefix has changed or the wait time is over. While the address is refused,
   * the request stays open without an answer.
   */
  #watch(url: URL, address: string, response: ServerResponse): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const waitMs = Math.min(MAX_WAIT_MS, Number(url.searchParams.get('waitMs') ?? 0));
    const until = monotonicMs() + waitMs;
    let timer: NodeJS.Timeout | undefined;
    const end = (): void => {
      stop();
      clearTimeout(timer);
    };
    const answerIfDue = (): void => {
      clearTimeout(timer);
      if (response.destroyed) {
        end();
        return;
      }
      if (this.#isRefused(address)) {
        timer = setTimeout(answerIfDue, OUTAGE_POLL_MS);
        return;
      }
      const events = this.#store.since(prefix, after);
      const now = monotonicMs();
      if (events === null) answerJson(response, 410, {});
      else if (events.length > 0 || now >= until)
        answerJson(response, 200, { ledgerRev: this.#store.revision, events });
      else {
        timer = setTimeout(answerIfDue, until - now);
        return;
      }
      end();
    };
    const stop = this.#store.onChange(answerIfDue);
    response.on('close', end);
    answerIfDue();
  }
}
