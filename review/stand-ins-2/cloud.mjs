/** Stand-in of the cloud, as the protocol describes it: rents, boots, lists and deletes machines. */
import { nowMs } from './record.mjs';
import { answer, readJson, serve } from './http.mjs';

export class Cloud {
  /** By name; a machine is up once it has a worker. */
  machines = new Map();
  /** Rental requests that were answered, with the number of machines that each got. */
  rentals = [];
  /** All machines that there have been, in the order of their names. */
  #known = [];
  #charters = new Map();
  #next = 1;

  /**
   * `types`: entries of the catalog. `capacity(type, zone, spot)`: machines that may exist at a time. `bootMs(type)`.
   * `createWorker(identity)`: starts the worker of a machine that is up; resolves to it.
   */
  constructor({ types, capacity, bootMs, createWorker, freePort, listLagMs, recorder }) {
    Object.assign(this, { types, capacity, bootMs, createWorker, freePort, listLagMs, recorder });
  }

  listen(port) {
    return serve(port, (request, response) => this.#serve(request, response));
  }

  /** Adds a machine; `heldMs`: how long ago it was rented. */
  async add(type, zone, spot, bootMs, heldMs = 0) {
    const name = `vm-${String(this.#next++).padStart(6, '0')}`;
    const port = await this.freePort();
    const identity = { name, address: `127.0.0.1:${port}`, type, zone, spot };
    const now = nowMs();
    const upAt = heldMs > 0 ? now - heldMs : now + bootMs;
    const machine = { identity, port, rentedAt: now - heldMs, upAt, goneAt: Infinity, worker: null };
    this.machines.set(name, machine);
    this.#known.push(machine);
    setTimeout(() => {
      if (!this.machines.has(name)) return;
      this.recorder.note('cloud', 'is up:', name);
      machine.worker = this.createWorker(identity, port);
    }, bootMs);
    return name;
  }

  /** Takes a machine and all that is on it. */
  take(name) {
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    this.machines.delete(name);
    machine.goneAt = nowMs();
    machine.worker?.stop();
  }

  #count(type, zone, spot) {
    const isKind = ({ identity }) =>
      identity.type === type && identity.zone === zone && identity.spot === spot;
    return [...this.machines.values()].filter(isKind).length;
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://cloud');
    const body = request.method === 'POST' ? ((await readJson(request)) ?? {}) : {};
    if (url.pathname === '/catalog') answer(response, 200, { benches: this.types });
    else if (url.pathname === '/machines/return') {
      const { skiffs = [] } = body;
      this.recorder.note('cloud', 'deletes', skiffs.join(' '));
      for (const name of skiffs) this.take(name);
      answer(response, 200, {});
    } else if (url.pathname !== '/machines') answer(response, 404, {});
    else if (request.method === 'POST') await this.#rent(body, response);
    else this.#list(url, response);
  }

  async #rent({ charter, bench, hall, borrowed, howMany }, response) {
    const known = this.#charters.get(charter);
    if (known !== undefined) {
      answer(response, 200, { skiffs: known });
      return;
    }
    const room = Math.min(
      howMany,
      50,
      this.capacity(bench, hall, borrowed) - this.#count(bench, hall, borrowed),
    );
    const kind = `${bench} in ${hall}, ${borrowed ? 'spot' : 'ordinary'}`;
    this.recorder.note('cloud', `is asked for ${howMany} of ${kind}, gives`, String(Math.max(0, room)));
    this.rentals.push({ at: nowMs(), charter, bench, hall, borrowed, howMany, got: Math.max(0, room) });
    if (room <= 0) {
      answer(response, 503, { error: 'no capacity' });
      return;
    }
    const skiffs = [];
    for (let i = 0; i < room; i += 1) skiffs.push(await this.add(bench, hall, borrowed, this.bootMs(bench)));
    this.#charters.set(charter, skiffs);
    answer(response, 200, { skiffs });
  }

  /** The list tells what was so `listLagMs` ago. */
  #list(url, response) {
    const after = url.searchParams.get('after') ?? '';
    const page = Math.min(500, Number(url.searchParams.get('page') ?? 500));
    const asOf = nowMs() - this.listLagMs;
    const listed = this.#known.filter(
      ({ identity, rentedAt, goneAt }) => rentedAt <= asOf && goneAt > asOf && identity.name > after,
    );
    const skiffs = listed.slice(0, page).map(({ identity, rentedAt, upAt }) => ({
      nameId: identity.name,
      address: identity.address,
      bench: identity.type,
      hall: identity.zone,
      borrowed: identity.spot,
      stage: upAt <= asOf ? 'running' : 'starting',
      heldS: (asOf - rentedAt) / 1000,
    }));
    answer(response, 200, { skiffs, truncated: skiffs.length < listed.length });
  }
}
