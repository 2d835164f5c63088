/** The cloud: machines that are rented, boot, fail and are returned, over HTTP. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { monotonicMs } from '../clock.js';
import { answerJson, bytesSince, readJson, TrafficMeter } from './http.js';
import type { MachineIdentity } from './hollow-worker.js';

/** The only type of machine that the lab's cloud rents. */
const MACHINE_TYPE = 'lab-machine';

const MAX_RENTAL = 50;
const MAX_PAGE = 500;
const FAILED_SHOWN_AFTER_MS = 30_000;
const PRICE = 1.73;
const SPOT_PRICE = 0.63;

/** How the cloud is laid out. */
export interface CloudSetup {
  readonly zones: readonly string[];
  /** Machines that may be up at once, in each zone. */
  readonly capacityPerZone: number;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly bootS: number;
  readonly rps: number;
  readonly listLagMs: number;
  /** Where the worker of the n-th machine listens. */
  address(index: number): string;
  /** A machine is up. */
  up(machine: MachineIdentity): void;
  /** A machine and all that was on it are gone. */
  down(name: string): void;
}

interface Machine {
  readonly identity: MachineIdentity;
  readonly rentedAt: number;
  readonly upAt: number;
  diedAt: number | null;
}

export class Cloud {
  readonly meter = new TrafficMeter();
  readonly #machines = new Map<string, Machine>();
  readonly #charters = new Map<string, readonly string[]>();
  readonly #closedZones = new Set<string>();
  #nextMachine = 1;
  #budget: number;
  #budgetAt = monotonicMs();

  constructor(private readonly setup: CloudSetup) {
    this.#budget = 2 * setup.rps;
  }

  serve(host: string, port: number): Promise<Server> {
    const server = createServer((request, response) => void this.#serve(request, response));
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve(server));
    });
  }

  /** Machines that are up now, dead ones left out. */
  get running(): MachineIdentity[] {
    const now = monotonicMs();
    return [...this.#machines.values()]
      .filter(({ upAt, diedAt }) => upAt <= now && diedAt === null)
      .map(({ identity }) => identity);
  }

  /** Machines that are up from the beginning. */
  addInitial(count: number): void {
    const { zones } = this.setup;
    for (let i = 0; i < count; i += 1) this.#add(zones[i % zones.length] ?? '', 0);
  }

  /** These lose power: they are listed as running for a while, and count until they are returned. */
  kill(names: readonly string[]): void {
    for (const name of names) {
      const machine = this.#machines.get(name);
      if (machine === undefined || machine.diedAt !== null) continue;
      machine.diedAt = monotonicMs();
      this.setup.down(name);
    }
  }

  /** Rents nothing in this zone, for so long. */
  closeZone(zone: string, forMs: number): void {
    this.#closedZones.add(zone);
    setTimeout(() => this.#closedZones.delete(zone), forMs);
  }

  #add(zone: string, bootMs: number): string {
    const index = this.#nextMachine++;
    const name = `vm-${String(index).padStart(6, '0')}`;
    const identity: MachineIdentity = {
      name,
      address: this.setup.address(index),
      type: MACHINE_TYPE,
      zone,
      spot: true,
    };
    const now = monotonicMs();
    const machine: Machine = { identity, rentedAt: now, upAt: now + bootMs, diedAt: null };
    this.#machines.set(name, machine);
    setTimeout(() => {
      if (this.#machines.has(name) && machine.diedAt === null) this.setup.up(identity);
    }, bootMs);
    return name;
  }

  #countIn(zone: string): number {
    let count = 0;
    for (const { identity, diedAt } of this.#machines.values())
      if (identity.zone === zone && diedAt === null) count += 1;
    return count;
  }

  #rent(charter: string, zone: string, howMany: number): readonly string[] | null {
    const known = this.#charters.get(charter);
    if (known !== undefined) return known;
    if (this.#closedZones.has(zone)) return null;
    const free = Math.min(howMany, MAX_RENTAL, this.setup.capacityPerZone - this.#countIn(zone));
    if (free <= 0) return null;
    const names = Array.from({ length: free }, () => this.#add(zone, 1000 * this.setup.bootS));
    this.#charters.set(charter, names);
    return names;
  }

  #return(names: readonly string[]): void {
    for (const name of names) {
      const machine = this.#machines.get(name);
      if (machine === undefined) continue;
      this.#machines.delete(name);
      if (machine.diedAt === null) this.setup.down(name);
    }
  }

  #withinRate(): boolean {
    const now = monotonicMs();
    const { rps } = this.setup;
    this.#budget = Math.min(2 * rps, this.#budget + ((now - this.#budgetAt) / 1000) * rps);
    this.#budgetAt = now;
    if (this.#budget < 1) return false;
    this.#budget -= 1;
    return true;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket, method } = request;
    const url = new URL(request.url ?? '/', 'http://cloud');
    response.on('finish', () => this.meter.note(`${method ?? ''} ${url.pathname}`, bytesSince(socket)));
    const body = (method === 'POST' ? await readJson(request) : {}) as Record<string, unknown>;
    if (!this.#withinRate()) answerJson(response, 429, { error: 'too many requests' });
    else if (url.pathname === '/catalog') answerJson(response, 200, { benches: [this.#type()] });
    else if (url.pathname === '/machines' && method === 'GET') answerJson(response, 200, this.#page(url));
    else if (url.pathname === '/machines') {
      const { charter, bench, hall, howMany } = body;
      const got = bench === MACHINE_TYPE ? this.#rent(String(charter), String(hall), Number(howMany)) : null;
      if (got === null) answerJson(response, 503, { error: 'no capacity' });
      else answerJson(response, 200, { skiffs: got });
    } else if (url.pathname === '/machines/return') {
      const { skiffs } = body;
      this.#return(Array.isArray(skiffs) ? skiffs.map(String) : []);
      answerJson(response, 200, {});
    } else answerJson(response, 404, {});
  }

  #type(): object {
    const { cpus, memoryGb, cacheGb, fetchGbPerS, bootS, zones } = this.setup;
    return {
      name: MACHINE_TYPE,
      cores: cpus,
      gpus: 0,
      memGb: memoryGb,
      cacheGb,
      fetchGbPerS,
      hourly: PRICE,
      lowPrice: SPOT_PRICE,
      readyS: bootS,
      halls: zones,
    };
  }

  #page(url: URL): object {
    const now = monotonicMs();
    const after = url.searchParams.get('after') ?? '';
    const limit = Math.min(MAX_PAGE, Number(url.searchParams.get('page') ?? MAX_PAGE));
    const listed = [...this.#machines.values()].filter(
      ({ identity, rentedAt, upAt }) =>
        identity.name > after && (upAt === rentedAt || now - rentedAt > this.setup.listLagMs),
    );
    const skiffs = listed.slice(0, limit).map(({ identity, rentedAt, upAt, diedAt }) => ({
      nameId: identity.name,
      address: identity.address,
      bench: identity.type,
      hall: identity.zone,
      borrowed: identity.spot,
      stage:
        diedAt !== null && now - diedAt > FAILED_SHOWN_AFTER_MS
          ? 'failed'
          : now >= upAt
            ? 'running'
            : 'starting',
      heldS: (now - rentedAt) / 1000,
    }));
    return { skiffs, truncated: listed.length > limit };
  }
}
