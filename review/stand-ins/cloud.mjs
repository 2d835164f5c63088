/** Stand-in of the cloud (PROTOCOL, "Controller nodes -> cloud"): rents machines, each with a worker stand-in. */
import { answer, serve } from './http.mjs';

export class Cloud {
  machines = new Map();
  isOut = false;
  #charters = new Map();
  #server = null;
  #next = 1;

  /**
   * `types`: as in `GET /catalog`. `capacity(bench, hall, borrowed)`: how many may be rented at a time.
   * `bootMs`: time until a machine is up. `createWorker(machine)`: starts its worker; resolves to it.
   */
  constructor(record, { types, capacity, bootMs, listLagMs, createWorker }) {
    Object.assign(this, { record, types, capacity, bootMs, listLagMs, createWorker });
  }

  async listen() {
    this.#server = await serve((method, url, body, _bytes, response) =>
      this.#handle(method, url, body, response),
    );
    return this.#server.address().port;
  }

  close() {
    for (const { worker } of this.machines.values()) worker?.end();
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  #handle(method, url, body, response) {
    if (this.isOut) answer(response, 503, { error: 'trouble' });
    else if (method === 'GET' && url.pathname === '/catalog') answer(response, 200, { benches: this.types });
    else if (method === 'GET' && url.pathname === '/machines') this.#list(url, response);
    else if (method === 'POST' && url.pathname === '/machines') this.#rent(body, response);
    else if (method === 'POST' && url.pathname === '/machines/return') {
      this.record.add('cloud', `returned: ${body.skiffs.join(' ')}`);
      for (const name of body.skiffs) this.remove(name);
      answer(response, 200, {});
    } else answer(response, 400, { error: 'malformed' });
  }

  /** A machine is gone, with all that was on it. */
  remove(name) {
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    this.machines.delete(name);
    machine.isGone = true;
    machine.worker?.end();
  }

  #list(url, response) {
    const after = url.searchParams.get('after') ?? '';
    const page = Math.min(500, Number(url.searchParams.get('page') ?? 500));
    const now = performance.now();
    const listed = [...this.machines.values()].filter(
      ({ nameId, rentedAt }) => nameId > after && now - rentedAt > this.listLagMs,
    );
    const skiffs = listed.slice(0, page).map((machine) => ({
      nameId: machine.nameId,
      address: machine.worker?.address ?? null,
      bench: machine.bench,
      hall: machine.hall,
      borrowed: machine.borrowed,
      stage: machine.worker !== null && now - machine.upAt > this.listLagMs ? 'running' : 'starting',
      heldS: (now - machine.rentedAt) / 1000,
    }));
    answer(response, 200, { skiffs, truncated: listed.length > page });
  }

  #rent({ charter, bench, hall, borrowed, howMany }, response) {
    const known = this.#charters.get(charter);
    if (known !== undefined) {
      answer(response, 200, { skiffs: known });
      return;
    }
    const held = [...this.machines.values()].filter(
      (machine) => machine.bench === bench && machine.hall === hall && machine.borrowed === borrowed,
    ).length;
    const count = Math.min(howMany, 50, this.capacity(bench, hall, borrowed) - held);
    if (count <= 0) {
      answer(response, 503, { error: 'no capacity' });
      return;
    }
    const names = Array.from({ length: count }, () => this.add(bench, hall, borrowed, this.bootMs()));
    this.#charters.set(charter, names);
    this.record.add(
      'cloud',
      `rented for ${charter}: ${names.join(' ')} (${bench}, ${hall}, ${borrowed ? 'spot' : 'ordinary'})`,
    );
    answer(response, 200, { skiffs: names });
  }

  /** Adds a machine that is up after `bootMs`; returns its name. */
  add(bench, hall, borrowed, bootMs) {
    const nameId = `vm-${String(this.#next++).padStart(6, '0')}`;
    const machine = {
      nameId,
      bench,
      hall,
      borrowed,
      rentedAt: performance.now(),
      upAt: Infinity,
      worker: null,
      isGone: false,
    };
    this.machines.set(nameId, machine);
    setTimeout(() => {
      if (machine.isGone) return;
      void this.createWorker(machine).then((worker) => {
        machine.worker = worker;
        machine.upAt = performance.now();
        if (machine.isGone) worker.end();
      });
    }, bootMs);
    return nameId;
  }
}
