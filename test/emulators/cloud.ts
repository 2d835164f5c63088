/** Emulators of the cloud and of the workers on its machines, as PROTOCOL specifies them. */
import type { Cloud, ProvisioningResult } from '../../src/adapters/cloud.js';
import type { WorkerClient } from '../../src/adapters/worker-client.js';
import type { ListedMachine, MachineType, Heartbeat, WorkerCommand } from '../../src/core/types.js';
import { asObject, type JsonObject } from '../../src/core/values.js';
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

const parseResponse = (text: string): JsonObject | null => asObject(JSON.parse(text === '' ? '{}' : text));

/** The jobs whose tasks these commands start. */
const jobsStartedBy = (cues: unknown): string[] =>
  (Array.isArray(cues) ? (cues as unknown[]) : []).flatMap((raw) => {
    const cue = asObject(raw);
    return cue?.['cue'] === 'start' ? [String(cue['movement']).replace(/\/\d+$/, '')] : [];
  });

/** Delivers a heartbeat to a node and calls back with its response. */
export type Deliver = (node: string, body: unknown, reply: (status: number, body: string) => void) => void;

/** What the simulation provides to an emulated worker. */
export interface WorkerEnvironment {
  readonly nodes: readonly string[];
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  readonly runMs: (job: string, task: number) => number;
  /** Whether a job is faulty: its tasks fail on every machine. */
  readonly isBroken: (job: string) => boolean;
  /**
   * Draws whether a heartbeat is duplicated: the delay of the duplicate and the node that receives it (null: the
   * same as the original), or null for no duplicate.
   */
  readonly drawDuplicate: () => { readonly afterMs: number; readonly node: string | null } | null;
  /** Called when a heartbeat is sent; `deliver` delivers a duplicate of it to any controller, at any later time. */
  readonly onHeartbeatSent?: (deliver: (node: string) => void) => void;
  /** Called when a task has completed. */
  readonly onTaskCompleted?: (job: string) => void;
}

/** Emulator of a worker: heartbeats, lease, tasks. */
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
  #requestNumber = 0;
  #timerRound = 0;

  constructor(
    readonly listed: ListedMachine,
    private readonly network: Network,
    private readonly environment: WorkerEnvironment,
    private readonly checker: Checker,
    private readonly deliver: Deliver,
  ) {
    this.#node = environment.nodes[Math.floor(network.draw() * environment.nodes.length)] ?? '';
    this.#leaseFrom = network.clock.now;
    this.#schedule();
    this.#watchLease();
  }

  #schedule(): void {
    const round = ++this.#timerRound;
    const { clock, draw } = this.network;
    clock.in(this.environment.heartbeatIntervalMs * (0.75 + 0.5 * draw()), () => {
      if (round === this.#timerRound) this.#whenAwake(() => this.#sendHeartbeat());
    });
  }

  /** Runs a step now, or when a paused machine resumes; never on a terminated one. */
  #whenAwake(call: () => void): void {
    const { clock } = this.network;
    if (this.isTerminated) return;
    if (this.pausedUntil > clock.now) clock.at(this.pausedUntil, () => this.#whenAwake(call));
    else {
      // A machine that resumes after its lease has expired first kills its tasks.
      this.#expireLease();
      call();
    }
  }

  #expireLease(): void {
    if (this.network.clock.now - this.#leaseFrom <= this.environment.leaseMs) return;
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
    // The tasks of a machine that is still paused stopped when the pause began.
    const at = this.pausedUntil < now ? now : this.pausedFrom;
    for (const { job, task } of this.tasks.values())
      this.checker.recordTaskEnd(job, task, this.listed.name, false, Math.min(at, now));
    this.tasks.clear();
  }

  /** Pauses the machine; when it resumes its tasks continue, or are killed if its lease has expired. */
  pause(ms: number): void {
    const { now } = this.network.clock;
    if (this.pausedUntil < now) this.pausedFrom = now;
    this.pausedUntil = Math.max(this.pausedUntil, now + ms);
  }

  get isPaused(): boolean {
    return this.pausedUntil > this.network.clock.now;
  }

  heartbeatBody(): object {
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

  #sendHeartbeat(): void {
    const { clock } = this.network;
    const sentAt = clock.now;
    const { session } = this;
    const node = this.#node;
    const requestNumber = ++this.#requestNumber;
    const body = JSON.parse(JSON.stringify(this.heartbeatBody())) as unknown;
    let isFinished = false;
    const sendNextAfter = (ms: number): void => {
      isFinished = true;
      const round = ++this.#timerRound;
      clock.in(ms, () => {
        if (round === this.#timerRound) this.#whenAwake(() => this.#sendHeartbeat());
      });
    };
    clock.in(4000, () => {
      if (isFinished || requestNumber !== this.#requestNumber) return;
      this.#tryNextNode();
      sendNextAfter(1000);
    });
    const duplicate = this.environment.drawDuplicate();
    if (duplicate !== null)
      clock.in(duplicate.afterMs, () => this.deliver(duplicate.node ?? node, body, () => undefined));
    // The machine cannot open connections: the heartbeat is not sent, so onHeartbeatSent is not called.
    if (this.network.isOutboundBlocked(this.listed.name)) {
      this.#tryNextNode();
      sendNextAfter(1000);
      return;
    }
    this.environment.onHeartbeatSent?.((to) => this.deliver(to, body, () => undefined));
    if (this.network.isPartitioned(this.listed.name, node) && this.network.draw() < 0.5) return;
    this.network.send(this.listed.name, node, () =>
      this.deliver(node, body, (status, text) => {
        this.checker.recordCommands(jobsStartedBy(parseResponse(text)?.['cues']), clock.now);
        this.network.send(node, this.listed.name, () =>
          this.#whenAwake(() => {
            if (isFinished || clock.now - sentAt > 4000) return;
            const response = parseResponse(text);
            if (status === 200) {
              isFinished = true;
              const token = Number(response?.['baton'] ?? 0);
              if (session === this.session && token >= this.token) {
                this.token = token;
                this.#leaseFrom = Math.max(this.#leaseFrom, sentAt);
                this.execute(response?.['cues']);
              }
              this.#schedule();
            } else if (
              status === 421 &&
              this.environment.nodes.includes(String(response?.['conductor'])) &&
              response?.['conductor'] !== node
            ) {
              this.#node = String(response?.['conductor']);
              sendNextAfter(250);
            } else {
              this.#tryNextNode();
              sendNextAfter(1000);
            }
          }),
        );
      }),
    );
  }

  #tryNextNode(): void {
    const { nodes } = this.environment;
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
        this.checker.recordTaskStart(job, task, machine, zone, spot, this.network.clock.now);
        this.network.clock.in(this.environment.runMs(job, task), () =>
          this.#whenAwake(() => {
            const isStillRunning =
              this.tasks.get(`${name}#${take}`) === running && running.stage === 'running';
            if (!isStillRunning) return;
            const fails = this.isFaulty || this.environment.isBroken(job);
            this.#end(running, fails ? 'error' : 'done');
            if (!fails) this.environment.onTaskCompleted?.(job);
          }),
        );
      }),
    );
  }

  #end(running: RunningTask, cadence: string): void {
    running.stage = 'ended';
    running.cadence = cadence;
    this.checker.recordTaskEnd(
      running.job,
      running.task,
      this.listed.name,
      cadence === 'done',
      this.network.clock.now,
    );
  }

  /** Executes commands that a leader sends directly, once the machine is awake, and replies with a heartbeat. */
  handleDirectCommands(body: unknown, reply: (heartbeat: unknown) => void): void {
    this.#whenAwake(() => {
      const raw = asObject(body);
      if (Number(raw?.['baton']) >= this.token && raw?.['watch'] === this.session) {
        this.token = Number(raw?.['baton']);
        this.execute(raw['cues']);
      }
      reply(JSON.parse(JSON.stringify(this.heartbeatBody())) as unknown);
    });
  }
}

/** Emulator of the cloud: provisioning, termination and listing of machines. */
export class CloudEmulator {
  readonly workers = new Map<string, Worker>();
  readonly #machines = new Map<
    string,
    { readonly listed: ListedMachine; readonly provisionedAt: number; upAt: number }
  >();
  readonly #provisioned = new Map<string, string[]>();
  #nextMachineNumber = 0;
  capacity = 6;
  /** Peak number of machines. */
  peakMachines = 0;
  unavailableUntil = 0;
  /** Delay until a new machine is listed, and delay until a booted machine is listed as running, in milliseconds. */
  listLagMs = 2000;
  stageLagMs = 0;
  #quickBootUntil = 0;
  #delayedShare = 0;
  #delayedUntil = 0;

  constructor(
    private readonly network: Network,
    private readonly createWorker: (listed: ListedMachine) => Worker,
  ) {}

  provision(request: string, type: string, zone: string, spot: boolean, count: number): ProvisioningResult {
    const earlier = this.#provisioned.get(request);
    if (earlier !== undefined) return earlier;
    const names: string[] = [];
    while (names.length < count && this.#machines.size < this.capacity) {
      const name = `vm-${String(this.#nextMachineNumber++).padStart(6, '0')}`;
      const listed: ListedMachine = {
        name,
        address: `10.1.0.1:${this.#nextMachineNumber}`,
        type,
        zone,
        spot,
        stage: 'booting',
        ageS: 0,
      };
      const machine = { listed, provisionedAt: this.network.clock.now, upAt: Infinity };
      this.#machines.set(name, machine);
      names.push(name);
      const bootQuickly = this.#quickBootUntil > this.network.clock.now;
      const bootMs = bootQuickly ? 100 + 1900 * this.network.draw() : 3000 + 4000 * this.network.draw();
      this.network.clock.in(bootMs, () => {
        if (!this.#machines.has(name)) return;
        machine.upAt = this.network.clock.now;
        this.workers.set(name, this.createWorker(listed));
      });
    }
    this.peakMachines = Math.max(this.peakMachines, this.#machines.size);
    if (names.length === 0) return 'refused';
    this.#provisioned.set(request, names);
    return names;
  }

  /** Machines provisioned in the next `forMs` milliseconds boot within two seconds, long before they are listed. */
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

  /** Removes a machine and kills all its tasks. */
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
      .filter(({ provisionedAt }) => now - provisionedAt > this.listLagMs)
      .map(({ listed, provisionedAt, upAt }) => ({
        ...listed,
        stage: now - upAt >= this.stageLagMs ? ('running' as const) : ('booting' as const),
        ageS: (now - provisionedAt) / 1000,
      }));
  }

  /** The client of one node for the cloud and for the workers' own addresses. */
  clientFor(node: string): Cloud & WorkerClient {
    const notifyListener = (request: string): void => this.network.onMessage?.(node, 'cloud', request);
    const query = async <T>(serve: () => T): Promise<T | null> => {
      if (this.unavailableUntil > this.network.clock.now) {
        await this.network.clock.sleep(1000);
        return null;
      }
      const response = await this.network.request<T>(node, 'cloud', 3000, (reply) => reply(serve()));
      if (response === null) await this.network.clock.sleep(1000);
      return response;
    };
    const mutate = async <T>(serve: () => T): Promise<T | null> => {
      const { clock, draw } = this.network;
      if (this.#delayedUntil <= clock.now || draw() >= this.#delayedShare) return query(serve);
      clock.in(2000 + 10_000 * draw(), () => void serve());
      await clock.sleep(3000);
      return null;
    };
    return {
      catalog: () => {
        notifyListener('catalog');
        return query(() => TYPES);
      },
      listMachines: () => {
        notifyListener('list');
        return query(() => this.list());
      },
      provision: async (...args) => {
        notifyListener(`rent ${encodeProvisionRequest(...args)}`);
        return (await mutate(() => this.provision(...args))) ?? 'unknown';
      },
      terminate: async (names) => {
        notifyListener(`return ${encodeTerminateRequest(names)}`);
        const terminateAll = (): boolean => {
          for (const name of names) this.terminate(name);
          return true;
        };
        return (await mutate(terminateAll)) ?? false;
      },
      probe: async (address): Promise<boolean> => {
        this.network.onMessage?.(node, address, 'connect');
        const worker = [...this.workers.values()].find(({ listed }) => listed.address === address);
        if (worker === undefined) return false;
        const isReachable = await this.network.request<boolean>(node, worker.listed.name, 750, (reply) =>
          reply(true),
        );
        return isReachable === true;
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
        const response = await this.network.request<unknown>(node, worker.listed.name, 3000, (reply) =>
          worker.handleDirectCommands(body, reply),
        );
        return response === null ? null : parseHeartbeat(response);
      },
    };
  }
}
