/**
 * Runs a leader's core with a large fleet on virtual time and without a network: simulated workers send heartbeats,
 * users submit jobs, the key-value store applies transactions, and the cloud rents out machines. Measures only the
 * processor time of `step`, by kind of batch.
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import type { Core, Effect, Records, ReportedTask, Spec, State } from './version.js';

const HEARTBEAT_INTERVAL_MS = 2500;
const LEASE_MS = 15_250;
const BOOT_MS = 35_000;
const COMMIT_LATENCY_MS = 5;
/** Time after which a probe of a dead machine fails. */
const PROBE_TIMEOUT_MS = 750;
const BATCH_MS = 5;
const TERM_REVISION = 1;

interface Shape {
  readonly jobClass: string;
  readonly priority: 1 | 2;
  readonly tasks: number;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly runS: number;
  readonly images: number;
  readonly imageGb: number;
  readonly deadline: (estimateS: number) => number;
  /** Jobs per second, and initial jobs, for a fleet of 600 machines. */
  readonly jobsPerS: number;
  readonly initialJobs: number;
}

const SHAPES: readonly Shape[] = [
  {
    jobClass: 'parts',
    priority: 2,
    tasks: 35,
    cpus: 8,
    memoryGb: 25,
    runS: 50,
    images: 8,
    imageGb: 1.8,
    deadline: (estimateS) => 2 * estimateS + 40,
    jobsPerS: 0.49,
    initialJobs: 54,
  },
  {
    jobClass: 'rush',
    priority: 1,
    tasks: 12,
    cpus: 2,
    memoryGb: 3.8,
    runS: 25,
    images: 12,
    imageGb: 1.2,
    deadline: (estimateS) => 2 * estimateS + 10,
    jobsPerS: 1.94,
    initialJobs: 94,
  },
];

/** Additional load: one array of very many short tasks, or many jobs with one task each. */
export const HUGE: Shape = {
  jobClass: 'hymnal',
  priority: 2,
  tasks: 20_000,
  cpus: 1,
  memoryGb: 1,
  runS: 3,
  images: 1,
  imageGb: 0.5,
  deadline: () => 3000,
  jobsPerS: 0,
  initialJobs: 0,
};
export const TINY: Shape = { ...HUGE, jobClass: 'playback', tasks: 1, runS: 5 };

const settings = {
  host_name: 'n-0',
  zone: 'a',
  public_addr: '127.0.0.1:7000',
  peer_bind: '127.0.0.1:7100',
  others: [],
  endpoints: { cloud: '127.0.0.1:7200', state: '127.0.0.1:7300' },
  cluster: {
    count: 1,
    zones: ['a', 'b'],
    teams: [{ name: 'crew', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
    objectives: [
      { kind: 'deadline', class: 'parts', share: 0.98, times: 1 },
      { kind: 'deadline', class: 'parts', share: 0.992, times: 1.5 },
      { kind: 'deadline', class: 'rush', share: 0.998, times: 1 },
      { kind: 'deadline', class: 'rush', share: 0.998, times: 1.5 },
      { kind: 'wait', class: 'rush', share: 0.88, within_s: 3 },
    ],
    workers: { report_s: HEARTBEAT_INTERVAL_MS / 1000, lease_s: LEASE_MS / 1000, cancel_s: 35.25 },
    state: { rps: 900, write_rps: 150, value_kb: 32, txn_ops: 32 },
    cloud: { rps: 8, list_lag_s: 10 },
    quota: { cpu: 0.612, ram_mb: 410, sockets: 1799 },
    clock_error_ms: 100,
  },
};

interface Task {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  stage: 'fetching' | 'running' | 'exited';
  at: number;
}

interface Machine {
  readonly name: string;
  readonly zone: string;
  dead: boolean;
  sequence: number;
  token: number;
  readonly tasks: Map<string, Task>;
  readonly images: Set<string>;
  nextHeartbeatAt: number;
  isAwaitingReply: boolean;
}

/** Processor time of a kind of batch, in milliseconds, and number of such batches. */
export interface Cost {
  ms: number;
  count: number;
}

export class FleetSimulation {
  now = 1_000_000;
  readonly state: State;
  readonly machines = new Map<string, Machine>();
  readonly #draw: () => number;
  readonly #events = new Map<number, (() => void)[]>();
  readonly #store = new Map<string, { value: unknown; modRevision: number }>();
  readonly #jobs = new Map<string, Spec>();
  #revision = TERM_REVISION;
  #term = 1;
  #pending: unknown[] = [];
  #replies = new Map<number, Machine>();
  #nextReply = 1;
  #nextJob = 1;
  #nextMachine = 1;
  #arrivalFactor = 1;
  readonly cost = new Map<string, Cost>();
  placed = 0;
  worstMs = 0;

  constructor(
    private readonly core: Core,
    private readonly records: Records,
    private readonly fleet: number,
  ) {
    const generator = xoroshiro128plus(11);
    this.#draw = () => unsafeUniformIntDistribution(0, 0x3fffffff, generator) / 0x40000000;
    this.state = core.createState('n-0', core.rules(settings));
    const types = [
      {
        name: 'bench-32',
        cpus: 32,
        gpus: 0,
        memoryGb: 128,
        cacheGb: 50,
        fetchGbPerS: 0.5,
        price: 1.73,
        spotPrice: 0.63,
        bootS: BOOT_MS / 1000,
        zones: ['a', 'b'],
      },
    ];
    core.step(this.state, [{ kind: 'catalog', types }], this.#time());
    this.#becomeLeader();
    this.#tick();
    this.#arrivals();
  }

  #time(): { monotonicMs: number; epochMs: number } {
    return { monotonicMs: this.now, epochMs: this.now };
  }

  #schedule(ms: number, action: () => void): void {
    const slot = Math.max(1, Math.ceil((ms - this.now) / BATCH_MS));
    const at = this.now + slot * BATCH_MS;
    const list = this.#events.get(at);
    if (list === undefined) this.#events.set(at, [action]);
    else list.push(action);
  }

  /** Makes the core leader, with the jobs and chunks in the key-value store. */
  #becomeLeader(): void {
    const jobs: unknown[] = [];
    const chunks: unknown[] = [];
    for (const [key, { value, modRevision }] of this.#store) {
      if (key.startsWith('job/')) jobs.push({ value, modRevision });
      const name = this.records.parseChunkKey(key);
      const record = name === null ? null : this.records.decodeChunk(value);
      if (name !== null && record !== null)
        chunks.push({ job: name.job, name, record: { value: record, modRevision } });
    }
    const { layout, legacyChunkTasks } = this.state;
    this.#pending.push({
      kind: 'becomeLeader',
      term: this.#term,
      modRevision: TERM_REVISION,
      viewConfirmedAt: this.now,
      layout,
      legacyChunkTasks,
      jobs,
      chunks,
      demandHistory: [],
    });
  }

  #tick(): void {
    this.#pending.push({ kind: 'tick' });
    this.#pending.push({ kind: 'viewConfirmed', sentAt: this.now });
    this.#schedule(this.now + HEARTBEAT_INTERVAL_MS / 4, () => this.#tick());
  }

  #arrivals(): void {
    for (const shape of SHAPES) {
      const scale = this.fleet / 600;
      for (let i = 0; i < shape.initialJobs * scale; i += 1) this.#submit(shape);
      const next = (): void => {
        this.#submit(shape);
        this.#schedule(
          this.now + (-Math.log(1 - this.#draw()) * 1000) / (shape.jobsPerS * scale * this.#arrivalFactor),
          next,
        );
      };
      this.#schedule(this.now + 1000, next);
    }
  }

  setArrivalFactor(factor: number): void {
    this.#arrivalFactor = factor;
  }

  #submit(shape: Shape): void {
    const id = `req-${String(this.#nextJob++).padStart(6, '0')}`;
    const estimateS = shape.runS * (0.6 + 0.8 * this.#draw());
    const spec = {
      id,
      jobClass: shape.jobClass,
      team: 'crew',
      form: 'array',
      priority: shape.priority,
      tasks: Math.max(1, Math.round(shape.tasks * (0.4 + 1.2 * this.#draw()))),
      cpus: shape.cpus,
      gpus: 0,
      memoryGb: shape.memoryGb,
      image: `${shape.jobClass}-${Math.floor(shape.images * this.#draw() ** 2)}`,
      imageGb: shape.imageGb,
      types: null,
      zone: null,
      oneZone: false,
      spread: false,
      spot: true,
      estimateS,
      checkpointS: 0,
      saveS: 0,
      deadlineS: shape.deadline(estimateS),
      submittedAt: this.now,
    } as Spec;
    this.#jobs.set(id, spec);
    this.#revision += 1;
    this.#store.set(`job/${id}`, { value: spec, modRevision: this.#revision });
    this.#pending.push({ kind: 'jobAdded', job: { value: spec, modRevision: this.#revision } });
  }

  submitJobs(shapes: readonly Shape[]): void {
    for (const shape of shapes) this.#submit(shape);
  }

  #boot(name: string, zone: string): void {
    const machine: Machine = {
      name,
      zone,
      dead: false,
      sequence: 0,
      token: 0,
      tasks: new Map(),
      images: new Set(),
      nextHeartbeatAt: 0,
      isAwaitingReply: false,
    };
    this.machines.set(name, machine);
    this.#sendHeartbeat(machine);
  }

  #scheduleHeartbeat(machine: Machine, at: number): void {
    if (machine.nextHeartbeatAt > this.now && machine.nextHeartbeatAt <= at) return;
    machine.nextHeartbeatAt = at;
    this.#schedule(at, () => {
      if (machine.nextHeartbeatAt <= this.now && machine.nextHeartbeatAt > 0) this.#sendHeartbeat(machine);
    });
  }

  #sendHeartbeat(machine: Machine): void {
    if (machine.dead || machine.isAwaitingReply) return;
    machine.nextHeartbeatAt = 0;
    machine.isAwaitingReply = true;
    machine.sequence += 1;
    const reply = this.#nextReply++;
    this.#replies.set(reply, machine);
    const tasks: ReportedTask[] = [...machine.tasks.values()].map(({ job, task, attempt, stage }) => ({
      job,
      task,
      attempt,
      stage,
      exit: stage === 'exited' ? 'done' : null,
    }));
    const { name, zone, sequence, token } = machine;
    const heartbeat = {
      machine: name,
      address: '127.0.0.1:1',
      type: 'bench-32',
      zone,
      spot: true,
      agentEpoch: 1,
      sequence,
      token,
      terminationNoticeS: null,
      tasks,
    };
    this.#pending.push({ kind: 'heartbeat', reply, heartbeat });
  }

  #scheduleHeartbeatOnChange(machine: Machine): void {
    this.#scheduleHeartbeat(machine, this.now + 500);
  }

  #handleReply(
    reply: number,
    commands: readonly { op: string; job: string; task: number; attempt: number }[],
  ): void {
    const machine = this.#replies.get(reply);
    this.#replies.delete(reply);
    if (machine === undefined || machine.dead) return;
    machine.isAwaitingReply = false;
    const raised = machine.token < this.#term;
    machine.token = this.#term;
    for (const { op, job, task, attempt } of commands) {
      const key = `${job}/${task}`;
      if (op === 'start') this.#start(machine, job, task, attempt);
      else if (op === 'forget') machine.tasks.delete(key);
      else machine.tasks.delete(key);
    }
    if (raised || commands.length > 0) this.#scheduleHeartbeatOnChange(machine);
    else this.#scheduleHeartbeat(machine, this.now + HEARTBEAT_INTERVAL_MS * (0.75 + 0.5 * this.#draw()));
  }

  #start(machine: Machine, job: string, task: number, attempt: number): void {
    const spec = this.#jobs.get(job);
    if (spec === undefined) return;
    this.placed += 1;
    const running: Task = { job, task, attempt, stage: 'fetching', at: this.now };
    machine.tasks.set(`${job}/${task}`, running);
    const fetchMs = machine.images.has(spec.image) ? 0 : (spec.imageGb / 0.5) * 1000;
    this.#schedule(this.now + fetchMs, () => {
      machine.images.add(spec.image);
      running.stage = 'running';
      this.#scheduleHeartbeatOnChange(machine);
      this.#schedule(this.now + spec.estimateS * 1000 * (0.7 + 0.6 * this.#draw()), () => {
        running.stage = 'exited';
        this.#scheduleHeartbeatOnChange(machine);
      });
    });
  }

  #execute(effect: Effect): void {
    switch (effect.kind) {
      case 'reply':
        if (effect.body.kind === 'commands') this.#handleReply(effect.reply, effect.body.commands);
        else {
          const machine = this.#replies.get(effect.reply);
          this.#replies.delete(effect.reply);
          if (machine !== undefined) {
            machine.isAwaitingReply = false;
            this.#scheduleHeartbeat(machine, this.now + 1000);
          }
        }
        break;
      case 'commit': {
        const term = this.#term;
        this.#schedule(this.now + COMMIT_LATENCY_MS, () => {
          // A transaction of an earlier leader fails, because its precondition on the term does not hold.
          if (term !== this.#term) return;
          const { preconditions, mutations } = effect.transaction;
          const holds = preconditions.every(
            ({ key, modRevision }) =>
              key === 'term' || (this.#store.get(key)?.modRevision ?? 0) === modRevision,
          );
          if (!holds)
            throw new Error(
              `a precondition of transaction ${effect.id} failed, although nothing else writes its keys`,
            );
          this.#revision += 1;
          for (const write of mutations) {
            if (write.put !== undefined)
              this.#store.set(write.put, { value: write.value, modRevision: this.#revision });
            else if (write.remove !== undefined) this.#store.delete(write.remove);
          }
          this.#pending.push({
            kind: 'committed',
            id: effect.id,
            outcome: { kind: 'applied', revision: this.#revision },
          });
        });
        break;
      }
      case 'probe': {
        const isReachable = this.machines.get(effect.machine)?.dead !== true;
        this.#schedule(this.now + (isReachable ? 1 : PROBE_TIMEOUT_MS), () =>
          this.#pending.push({ kind: 'probed', machine: effect.machine, isReachable }),
        );
        break;
      }
      case 'provision':
        this.#schedule(this.now + 100, () => {
          const free = this.fleet - this.machines.size;
          const names = Array.from({ length: Math.min(effect.count, Math.max(0, free)) }, () => {
            const name = `vm-${String(this.#nextMachine++).padStart(6, '0')}`;
            this.machines.set(name, null as unknown as Machine);
            this.#schedule(this.now + BOOT_MS * (0.7 + 0.6 * this.#draw()), () =>
              this.#boot(name, effect.zone),
            );
            return name;
          });
          const outcome = names.length === 0 ? 'refused' : names;
          this.#pending.push({ kind: 'provisioned', requestId: effect.requestId, outcome });
        });
        break;
      case 'terminate':
        this.#schedule(this.now + 100, () => {
          for (const name of effect.machines) {
            const machine = this.machines.get(name);
            if (machine) machine.dead = true;
            this.machines.delete(name);
          }
          this.#pending.push({ kind: 'terminated', machines: effect.machines, ok: true });
        });
        break;
      default:
        break;
    }
  }

  /** Runs batches for this many seconds of virtual time, and adds the processor time of `step` to `cost`. */
  run(seconds: number): void {
    const until = this.now + seconds * 1000;
    while (this.now < until) {
      this.now += BATCH_MS;
      const due = this.#events.get(this.now);
      if (due !== undefined) {
        this.#events.delete(this.now);
        for (const action of due) action();
      }
      if (this.#pending.length === 0) continue;
      const batch = this.#pending;
      this.#pending = [];
      const heartbeatCount = batch.filter(
        (command) => (command as { kind: string }).kind === 'heartbeat',
      ).length;
      const kind = batch.some((command) => (command as { kind: string }).kind === 'becomeLeader')
        ? 'load'
        : batch.some((command) => (command as { kind: string }).kind === 'tick')
          ? 'tick'
          : 'batch';
      const from = performance.now();
      const effects = this.core.step(this.state, batch, this.#time());
      const ms = performance.now() - from;
      this.worstMs = Math.max(this.worstMs, ms);
      this.#addCost(kind, ms, 1);
      this.#addCost('all', ms, 1);
      this.#addCost('reports', 0, heartbeatCount);
      for (const effect of effects) this.#execute(effect);
    }
  }

  #addCost(kind: string, ms: number, count: number): void {
    const cost = this.cost.get(kind) ?? { ms: 0, count: 0 };
    cost.ms += ms;
    cost.count += count;
    this.cost.set(kind, cost);
  }

  /** A share of the machines fails without notice. */
  failMachines(share: number): void {
    for (const machine of this.machines.values()) {
      if (machine && this.#draw() < share) machine.dead = true;
    }
  }

  /**
   * The leader resigns, and the next one loads the committed state. Workers whose last heartbeat got no reply send
   * another one within a second.
   */
  takeover(): void {
    this.#term += 1;
    this.core.step(this.state, [{ kind: 'resign', reason: 'takeover' }], this.#time());
    this.#pending = [];
    for (const machine of this.#replies.values()) {
      machine.isAwaitingReply = false;
      this.#scheduleHeartbeat(machine, this.now + 1000 * this.#draw());
    }
    this.#replies.clear();
    this.#becomeLeader();
  }

  reset(): void {
    this.cost.clear();
    this.placed = 0;
    this.worstMs = 0;
  }
}
