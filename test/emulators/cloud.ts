/** The cloud and the workers on its machines, as PROTOCOL tells of them. */
import type { Cloud, ProvisioningResult } from '../../src/adapters/cloud.js';
import type { WorkerClient } from '../../src/adapters/worker-client.js';
import type { ListedMachine, MachineType, Heartbeat, WorkerCommand } from '../../src/core/types.js';
import { asObject, type Json } from '../../src/core/values.js';
import { encodeProvisionRequest, encodeTerminateRequest } from '../../src/wire/cloud.js';
import { encodeDirectCommands, parseHeartbeat } from '../../src/wire/workers.js';
import type { Checker } from './checker.js';
import type { Network } from './network.js';

export const TYPES: MachineType[] = [
  {
    name: 'small',
    cpus: 8,
    gpus: 0,
    memoryGb: 32,
    cacheGb: 20,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.4,
    bootS: 5,
    zones: ['a', 'b'],
  },
];

interface RunningTask {
  readonly job: string;
  readonly task: number;
  readonly take: number;
  stage: 'pulling' | 'running' | 'ended';
  cadence?: string;
}

const readAnswer = (text: string): Json | null => asObject(JSON.parse(text === '' ? '{}' : text));

/** The jobs of which commands start tasks. */
const startedBy = (cues: unknown): string[] =>
  (Array.isArray(cues) ? (cues as unknown[]) : []).flatMap((raw) => {
    const cue = asObject(raw);
    return cue?.['cue'] === 'start' ? [String(cue['movement']).replace(/\/\d+$/, '')] : [];
  });

/** Delivers a report to a node and calls back with its answer. */
export type Deliver = (node: string, body: unknown, reply: (status: number, body: string) => void) => void;

/** What a worker is told of its surroundings. */
export interface WorkerEnvironment {
  readonly nodes: readonly string[];
  readonly reportMs: number;
  readonly leaseMs: number;
  readonly runMs: (job: string, task: number) => number;
  /** Whether a job was submitted with a mistake: its tasks fail on every machine. */
  readonly isBroken: (job: string) => boolean;
  /** After how long a copy of a report arrives, and at which controller; null: none does. */
  readonly copy: () => { readonly afterMs: number; readonly node: string | null } | null;
  /** A report has been sent; whoever keeps a copy may deliver it to any controller, at any time. */
  readonly sent?: (deliver: (node: string) => void) => void;
  /** A task has completed. */
  readonly completed?: (job: string) => void;
}

/** Emulator of a worker's agent: heartbeats, lease, tasks. */
export class Worker {
  session = 1;
  heartbeatSequence = 0;
  token = 0;
  isTerminated = false;
  pausedUntil = -1;
  pausedFrom = 0;
  isFaulty = false;
  readonly tasks = new Map<string, RunningTask>();
  #node: string;
  #leaseFrom: number;
  #inFlight = 0;
  #round = 0;

  constructor(
    readonly listed: ListedMachine,
    private readonly network: Network,
    private readonly rules: WorkerEnvironment,
    private readonly checker: Checker,
    private readonly deliver: Deliver,
  ) {
    this.#node = rules.nodes[Math.floor(network.draw() * rules.nodes.length)] ?? '';
    this.#leaseFrom = network.clock.now;
    this.#schedule();
    this.#watchLease();
  }

  #schedule(): void {
    const round = ++this.#round;
    const { clock, draw } = this.network;
    clock.in(this.rules.reportMs * (0.75 + 0.5 * draw()), () => {
      if (round === this.#round) this.#whenAwake(() => this.#report());
    });
  }

  /** Runs a step now, or when a paused machine resumes; never on a terminated one. */
  #whenAwake(call: () => void): void {
    const { clock } = this.network;
    if (this.isTerminated) return;
    if (this.pausedUntil > clock.now) clock.at(this.pausedUntil, () => this.#whenAwake(call));
    else {
      // Back beyond its lease it goes on with nothing.
      this.#expireLease();
      call();
    }
  }

  #expireLease(): void {
    if (this.network.clock.now - this.#leaseFrom <= this.rules.leaseMs) return;
    this.checker.expiredTasks += [...this.tasks.values()].filter(({ stage }) => stage !== 'ended').length;
    this.killAll();
    this.session += 1;
    this.#leaseFrom = this.network.clock.now;
  }

  #watchLease(): void {
    this.network.clock.in(100, () => this.#whenAwake(() => this.#watchLease()));
  }

  killAll(): void {
    const { now } = this.network.clock;
    // What has not gone on since it hung is where it was then.
    const at = this.pausedUntil < now ? now : this.pausedFrom;
    for (const { job, task } of this.tasks.values())
      this.checker.taskGone(job, task, this.listed.name, false, Math.min(at, now));
    this.tasks.clear();
  }

  /** Pauses the machine; its tasks then continue, or are killed at lease expiry. */
  pause(ms: number): void {
    const { now } = this.network.clock;
    if (this.pausedUntil < now) this.pausedFrom = now;
    this.pausedUntil = Math.max(this.pausedUntil, now + ms);
  }

  get isPaused(): boolean {
    return this.pausedUntil > this.network.clock.now;
  }

  body(): object {
    this.heartbeatSequence += 1;
    const { name, address, type, zone, spot } = this.listed;
    return {
      skiff: name,
      address,
      bench: type,
      hall: zone,
      borrowed: spot,
      watch: this.session,
      barNo: this.heartbeatSequence,
      baton: this.token,
      recallS: null,
      movements: [...this.tasks.values()].map(({ job, task, ...rest }) => ({
        movement: `${job}/${task}`,
        ...rest,
      })),
    };
  }

  #report(): void {
    const { clock } = this.network;
    const sentAt = clock.now;
    const { session } = this;
    const node = this.#node;
    const flight = ++this.#inFlight;
    const body = JSON.parse(JSON.stringify(this.body())) as unknown;
    let over = false;
    const next = (ms: number): void => {
      over = true;
      const round = ++this.#round;
      clock.in(ms, () => {
        if (round === this.#round) this.#whenAwake(() => this.#report());
      });
    };
    clock.in(4000, () => {
      if (over || flight !== this.#inFlight) return;
      this.#tryNextNode();
      next(1000);
    });
    const copy = this.rules.copy();
    if (copy !== null) clock.in(copy.afterMs, () => this.deliver(copy.node ?? node, body, () => undefined));
    // It reaches no controller, so there is no report that a copy could be kept of.
    if (this.network.isOutboundBlocked(this.listed.name)) {
      this.#tryNextNode();
      next(1000);
      return;
    }
    this.rules.sent?.((to) => this.deliver(to, body, () => undefined));
    if (this.network.isPartitioned(this.listed.name, node) && this.network.draw() < 0.5) return;
    this.network.send(this.listed.name, node, () =>
      this.deliver(node, body, (status, text) => {
        this.checker.commandsGiven(startedBy(readAnswer(text)?.['cues']), clock.now);
        this.network.send(node, this.listed.name, () =>
          this.#whenAwake(() => {
            if (over || clock.now - sentAt > 4000) return;
            const answer = readAnswer(text);
            if (status === 200) {
              over = true;
              const token = Number(answer?.['baton'] ?? 0);
              if (session === this.session && token >= this.token) {
                this.token = token;
                this.#leaseFrom = Math.max(this.#leaseFrom, sentAt);
                this.execute(answer?.['cues']);
              }
              this.#schedule();
            } else if (
              status === 421 &&
              this.rules.nodes.includes(String(answer?.['conductor'])) &&
              answer?.['conductor'] !== node
            ) {
              this.#node = String(answer?.['conductor']);
              next(250);
            } else {
              this.#tryNextNode();
              next(1000);
            }
          }),
        );
      }),
    );
  }

  #tryNextNode(): void {
    const { nodes } = this.rules;
    this.#node = nodes[(nodes.indexOf(this.#node) + 1) % nodes.length] ?? '';
  }

  execute(cues: unknown): void {
    for (const raw of Array.isArray(cues) ? (cues as unknown[]) : []) {
      const cue = asObject(raw);
      const name = String(cue?.['movement']);
      const take = Number(cue?.['take']);
      const key = `${name}#${take}`;
      const running = this.tasks.get(key);
      if (cue?.['cue'] === 'start' && running === undefined) this.#start(name, take);
      else if (cue?.['cue'] === 'halt' && running !== undefined && running.stage !== 'ended')
        this.#end(running, 'halted');
      else if (cue?.['cue'] === 'reap' && running?.stage === 'ended') this.tasks.delete(key);
    }
  }

  #start(name: string, take: number): void {
    const at = name.lastIndexOf('/');
    const job = name.slice(0, at);
    const task = Number(name.slice(at + 1));
    const running: RunningTask = { job, task, take, stage: 'pulling' };
    this.tasks.set(`${name}#${take}`, running);
    this.network.clock.in(300, () =>
      this.#whenAwake(() => {
        if (this.tasks.get(`${name}#${take}`) !== running || running.stage === 'ended') return;
        running.stage = 'running';
        const { name: machine, zone, spot } = this.listed;
        this.checker.taskStarts(job, task, machine, zone, spot, this.network.clock.now);
        this.network.clock.in(this.rules.runMs(job, task), () =>
          this.#whenAwake(() => {
            const still = this.tasks.get(`${name}#${take}`) === running && running.stage === 'running';
            if (!still) return;
            const fails = this.isFaulty || this.rules.isBroken(job);
            this.#end(running, fails ? 'error' : 'done');
            if (!fails) this.rules.completed?.(job);
          }),
        );
      }),
    );
  }

  #end(running: RunningTask, cadence: string): void {
    running.stage = 'ended';
    running.cadence = cadence;
    this.checker.taskGone(
      running.job,
      running.task,
      this.listed.name,
      cadence === 'done',
      this.network.clock.now,
    );
  }

  /** A direct command, whenever it arrives. */
  direct(body: unknown, reply: (report: unknown) => void): void {
    this.#whenAwake(() => {
      const raw = asObject(body);
      if (Number(raw?.['baton']) >= this.token && raw?.['watch'] === this.session) {
        this.token = Number(raw?.['baton']);
        this.execute(raw['cues']);
      }
      reply(JSON.parse(JSON.stringify(this.body())) as unknown);
    });
  }
}

/** Emulator of the cloud: provisioning, termination and listing of machines. */
export class CloudEmulator {
  readonly workers = new Map<string, Worker>();
  readonly #machines = new Map<
    string,
    { readonly listed: ListedMachine; readonly rentedAt: number; upAt: number }
  >();
  readonly #granted = new Map<string, string[]>();
  #next = 0;
  capacity = 6;
  /** Peak number of machines. */
  peakMachines = 0;
  unavailableUntil = 0;
  /** How late machines are listed, and that they are up. */
  listLagMs = 2000;
  stageLagMs = 0;
  #quickBootUntil = 0;
  #delayedShare = 0;
  #delayedUntil = 0;

  constructor(
    private readonly network: Network,
    private readonly make: (listed: ListedMachine) => Worker,
  ) {}

  provision(request: string, type: string, zone: string, spot: boolean, count: number): ProvisioningResult {
    const before = this.#granted.get(request);
    if (before !== undefined) return before;
    const names: string[] = [];
    while (names.length < count && this.#machines.size < this.capacity) {
      const name = `vm-${String(this.#next++).padStart(6, '0')}`;
      const listed: ListedMachine = {
        name,
        address: `10.1.0.1:${this.#next}`,
        type,
        zone,
        spot,
        stage: 'booting',
        ageS: 0,
      };
      const machine = { listed, rentedAt: this.network.clock.now, upAt: Infinity };
      this.#machines.set(name, machine);
      names.push(name);
      const bootQuickly = this.#quickBootUntil > this.network.clock.now;
      const bootMs = bootQuickly ? 100 + 1900 * this.network.draw() : 3000 + 4000 * this.network.draw();
      this.network.clock.in(bootMs, () => {
        if (!this.#machines.has(name)) return;
        machine.upAt = this.network.clock.now;
        this.workers.set(name, this.make(listed));
      });
    }
    this.peakMachines = Math.max(this.peakMachines, this.#machines.size);
    if (names.length === 0) return 'refused';
    this.#granted.set(request, names);
    return names;
  }

  /** Machines provisioned meanwhile boot within two seconds, long before they are listed. */
  bootQuickly(forMs: number): void {
    this.#quickBootUntil = this.network.clock.now + forMs;
    this.listLagMs = 6000;
    this.stageLagMs = 12_000;
  }

  /** A share of provision and terminate requests gets no response and is applied seconds later. */
  delayRequests(share: number, forMs: number): void {
    this.#delayedShare = share;
    this.#delayedUntil = this.network.clock.now + forMs;
  }

  /** The machine and all that is on it are gone. */
  terminate(name: string): void {
    this.#machines.delete(name);
    const worker = this.workers.get(name);
    if (worker === undefined) return;
    worker.killAll();
    worker.isTerminated = true;
    this.workers.delete(name);
  }

  list(): ListedMachine[] {
    const { now } = this.network.clock;
    return [...this.#machines.values()]
      .filter(({ rentedAt }) => now - rentedAt > this.listLagMs)
      .map(({ listed, rentedAt, upAt }) => ({
        ...listed,
        stage: now - upAt >= this.stageLagMs ? ('running' as const) : ('booting' as const),
        ageS: (now - rentedAt) / 1000,
      }));
  }

  /** One node's access to the cloud and to the workers' own addresses. */
  accessFor(node: string): Cloud & WorkerClient {
    const tell = (request: string): void => this.network.onMessage?.(node, 'cloud', request);
    const ask = async <T>(serve: () => T): Promise<T | null> => {
      if (this.unavailableUntil > this.network.clock.now) {
        await this.network.clock.sleep(1000);
        return null;
      }
      const answer = await this.network.ask<T>(node, 'cloud', 3000, (reply) => reply(serve()));
      if (answer === null) await this.network.clock.sleep(1000);
      return answer;
    };
    const change = async <T>(serve: () => T): Promise<T | null> => {
      const { clock, draw } = this.network;
      if (this.#delayedUntil <= clock.now || draw() >= this.#delayedShare) return ask(serve);
      clock.in(2000 + 10_000 * draw(), () => void serve());
      await clock.sleep(3000);
      return null;
    };
    return {
      catalog: () => {
        tell('catalog');
        return ask(() => TYPES);
      },
      listMachines: () => {
        tell('list');
        return ask(() => this.list());
      },
      provision: async (...wish) => {
        tell(`rent ${encodeProvisionRequest(...wish)}`);
        return (await change(() => this.provision(...wish))) ?? 'unknown';
      },
      terminate: async (names) => {
        tell(`return ${encodeTerminateRequest(names)}`);
        const terminateAll = (): boolean => {
          for (const name of names) this.terminate(name);
          return true;
        };
        return (await change(terminateAll)) ?? false;
      },
      probe: async (address): Promise<boolean> => {
        this.network.onMessage?.(node, address, 'connect');
        const worker = [...this.workers.values()].find(({ listed }) => listed.address === address);
        if (worker === undefined) return false;
        const met = await this.network.ask<boolean>(node, worker.listed.name, 750, (reply) => reply(true));
        return met === true;
      },
      sendCommands: async (
        address,
        token,
        session,
        commands: readonly WorkerCommand[],
      ): Promise<Heartbeat | null> => {
        const worker = [...this.workers.values()].find(({ listed }) => listed.address === address);
        if (worker === undefined) return null;
        const text = encodeDirectCommands(token, session, commands);
        this.network.onMessage?.(node, address, `direct ${text}`);
        const body = JSON.parse(text) as unknown;
        const found = await this.network.ask<unknown>(node, worker.listed.name, 3000, (reply) =>
          worker.direct(body, reply),
        );
        return found === null ? null : parseHeartbeat(found);
      },
    };
  }
}
