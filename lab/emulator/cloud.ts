/** The cloud emulator: rents out, boots, lists and terminates machines over HTTP. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { monotonicMs } from '../clock.js';
import { answerJson, bytesSince, readJson, TrafficMeter } from './http.js';
import type { MachineIdentity } from './hollow-worker.js';

/** The only machine type in the catalog of the lab's cloud. */
const MACHINE_TYPE = 'lab-machine';

const MAX_RENTAL = 50;
const MAX_PAGE = 500;
const FAILED_SHOWN_AFTER_MS = 30_000;
const PRICE = 1.73;
const SPOT_PRICE = 0.63;

/** Configuration of the emulated cloud. */
export interface CloudSetup {
  readonly zones: readonly string[];
  /** Machines that each zone can run at the same time. */
  readonly capacityPerZone: number;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly bootS: number;
  readonly rps: number;
  readonly listLagMs: number;
  /** The address on which the worker of the n-th machine listens. */
  address(index: number): string;
  /** Called when a machine has booted. */
  onUp(machine: MachineIdentity): void;
  /** Called when a machine has failed or was terminated; all its tasks end with it. */
  onDown(name: string): void;
}

interface Machine {
  readonly identity: MachineIdentity;
  readonly rentedAt: number;
  readonly upAt: number;
  failedAt: number | null;
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

  /** Machines that have booted and have not failed. */
  get running(): MachineIdentity[] {
    const now = monotonicMs();
    return [...this.#machines.values()]
      .filter(({ upAt, failedAt }) => upAt <= now && failedAt === null)
      .map(({ identity }) => identity);
  }

  /** Adds the initial machines, which need no time to boot. */
  addInitial(count: number): void {
    const { zones } = this.setup;
    for (let i = 0; i < count; i += 1) this.#add(zones[i % zones.length] ?? '', 0);
  }

  /** Makes machines fail without notice. They stay listed until they are terminated, at first still as running. */
  kill(names: readonly string[]): void {
    for (const name of names) {
      const machine = this.#machines.get(name);
      if (machine === undefined || machine.failedAt !== null) continue;
      machine.failedAt = monotonicMs();
      this.setup.onDown(name);
    }
  }

  /** Refuses new rentals in this zone for `forMs` milliseconds. */
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
    const machine: Machine = { identity, rentedAt: now, upAt: now + bootMs, failedAt: null };
    this.#machines.set(name, machine);
    setTimeout(() => {
      if (this.#machines.has(name) && machine.failedAt === null) this.setup.onUp(identity);
    }, bootMs);
    return name;
  }

  #countIn(zone: string): number {
    let count = 0;
    for (const { identity, failedAt } of this.#machines.values())
      if (identity.zone === zone && failedAt === null) count += 1;
    return count;
  }

  #rent(charter: string, zone: string, howMany: number): readonly string[] | null {
    const earlier = this.#charters.get(charter);
    if (earlier !== undefined) return earlier;
    if (this.#closedZones.has(zone)) return null;
    const free = Math.min(howMany, MAX_RENTAL, this.setup.capacityPerZone - this.#countIn(zone));
    if (free <= 0) return null;
    const names = Array.from({ length: free }, () => this.#add(zone, 1000 * this.setup.bootS));
    this.#charters.set(charter, names);
    return names;
  }

  #terminate(names: readonly string[]): void {
    for (const name of names) {
      const machine = this.#machines.get(name);
      if (machine === undefined) continue;
      this.#machines.delete(name);
      if (machine.failedAt === null) this.setup.onDown(name);
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
    const body = (method === 'POST' ? (await readJson(request)).json : {}) as Record<string, unknown>;
    if (!this.#withinRate()) answerJson(response, 429, { error: 'too many requests' });
    else if (url.pathname === '/catalog') answerJson(response, 200, { benches: [this.#machineType()] });
    else if (url.pathname === '/machines' && method === 'GET') answerJson(response, 200, this.#page(url));
    else if (url.pathname === '/machines') {
      const { charter, bench, hall, howMany } = body;
      const rented =
        bench === MACHINE_TYPE ? this.#rent(String(charter), String(hall), Number(howMany)) : null;
      if (rented === null) answerJson(response, 503, { error: 'no capacity' });
      else answerJson(response, 200, { skiffs: rented });
    } else if (url.pathname === '/machines/return') {
      const { skiffs } = body;
      this.#terminate(Array.isArray(skiffs) ? skiffs.map(String) : []);
      answerJson(response, 200, {});
    } else answerJson(response, 404, {});
  }

  #machineType(): object {
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
    const skiffs = listed.slice(0, limit).map(({ identity, rentedAt, upAt, failedAt }) => ({
      nameId: identity.name,
      address: identity.address,
      bench: identity.type,
      hall: identity.zone,
      borrowed: identity.spot,
      stage:
        failedAt !== null && now - failedAt > FAILED_SHOWN_AFTER_MS
          ? 'failed'
          : now >= upAt
            ? 'running'
            : 'starting',
      heldS: (now - rentedAt) / 1000,
    }));
    return { skiffs, truncated: listed.length > limit };
  }
}
