/** The whole service against the emulators on a virtual clock, with users of its own and faults drawn from a seed. */
import { pino } from 'pino';
import { ControllerNode } from '../../src/controller/node.js';
import { createPolicy } from '../../src/policy.js';
import { lastingLimits, parseSettings, timing, type PlatformSettings } from '../../src/settings.js';
import type { Link } from '../../src/membership/views.js';
import type { IntakeMessage } from '../../src/wire/intake.js';
import { encodeIntake, encodeStatus, StatusReader } from '../../src/wire/peers.js';
import { Checker, type OnMachine, type SubmittedJob } from './checker.js';
import { ProcessClock, VirtualClock } from './clock.js';
import { CloudEmulator, TYPES, Worker } from './cloud.js';
import { Network, type Draw, type Tap } from './network.js';
import { EarlierStateClient, StateClient, StateEmulator } from './state.js';

export const NODES = ['n-0', 'n-1', 'n-2'];
const ZONES = ['a', 'b', 'a'];
/** Each has the same limit. */
export const TEAMS = ['crew', 'guests'];

/** Limits under which jobs of a few dozen tasks need several chunks, and small ones later. */
export const TIGHT = { value_kb: 8, txn_ops: 32, next: { value_kb: 1, txn_ops: 6, write_rps: 30 } };

export function testSettings(node: number, cpusMax = 0, limits: object = {}): PlatformSettings {
  const at = (i: number, port: number): string => `127.0.0.1:${port + i}`;
  return parseSettings({
    host_name: NODES[node],
    zone: ZONES[node],
    public_addr: at(node, 7000),
    peer_bind: at(node, 7100),
    others: NODES.flatMap((name, i) =>
      i === node ? [] : [{ host_name: name, zone: ZONES[i], peer_addr: at(i, 7100) }],
    ),
    endpoints: { cloud: '127.0.0.1:7200', state: '127.0.0.1:7300' },
    cluster: {
      count: 3,
      zones: ['a', 'b'],
      teams: TEAMS.map((name) => ({ name, cpus: 0, cpus_max: cpusMax, gpus: 0, gpus_max: 0 })),
      objectives: [],
      workers: { report_s: 1, lease_s: 10, gang_wait_s: 20, gang_peer_s: 4, cancel_s: 30 },
      state: { rps: 250, write_rps: 40, value_kb: 32, txn_ops: 32, ...limits },
      cloud: { rps: 4, list_lag_s: 2 },
      quota: { cpu: 0.2, ram_mb: 128, sockets: 200 },
      clock_error_ms: 100,
    },
  });
}

/** Draws that are the same for the same seed. */
export { seededDraw as seeded } from '../../lab/random.js';

/** What a version before suspicion says of the others. */
export const UNSEEN = {
  lateMs: 0,
  sees: [],
  strays: 0,
  heard: 0,
  expected: 0,
  asks: [],
  round: 0,
  met: 0,
  unmet: 0,
  takesReports: false,
};

/** Set to play any test of this world with reports shared among controllers. */
const SHARES_ALWAYS = process.env['SHARING'] !== undefined;

/** What differs from the usual world. */
export interface SimulationOptions {
  readonly cpusMax?: number;
  /** Limits of the state service, as the settings tell of them. */
  readonly limits?: object;
  /** What controllers log is kept, to be read. */
  readonly keepLog?: boolean;
  /** Copies of reports come late, from seconds to well over a lease, at any controller. */
  readonly copies?: boolean;
  /** Followers take reports for the leader, however few the machines are. */
  readonly sharing?: boolean;
  /** Sees all messages. */
  readonly tap?: Tap;
  /** All controllers begin as the version before pipelines. */
  readonly earlier?: boolean;
}

export interface Logged {
  readonly at: number;
  readonly node: string;
  readonly msg: string;
  readonly [field: string]: unknown;
}

interface Life {
  /** Frames on their way to another process, in order. */
  readonly sent: Map<Life, Uint8Array[]>;
  readonly earlier: boolean;
  readonly node: ControllerNode;
  readonly clock: ProcessClock;
}

export class Simulation {
  readonly clock = new VirtualClock();
  readonly network: Network;
  readonly state: StateEmulator;
  readonly cloud: CloudEmulator;
  readonly checker: Checker;
  readonly jobs = new Map<string, SubmittedJob>();
  readonly accepted = new Set<string>();
  readonly logged: Logged[] = [];
  /** Jobs submitted with a mistake. */
  readonly broken = new Set<string>();
  /** How long the first task of a job runs, and each after it longer by; others by the draw. */
  readonly runs = new Map<string, readonly [number, number]>();
  /** Messages about shared reports that controllers have sent; all are lost while this is set. */
  intakeMessages = 0;
  losesIntake = false;
  readonly #cancelling = new Set<string>();
  readonly #bodies = new Map<string, object>();
  /** What users were last told that was news: that a job is accepted, done or cancelled. */
  readonly #told = new Map<string, string>();
  #closeUntil = 0;
  #oddUntil = 0;
  #odd = 0;
  /** So many close looks and odd requests there were. */
  looks = 0;
  odds = 0;
  #cancelAtEnd = { share: 0, until: 0 };
  /** Copies of reports that wait for a leader to begin. */
  #keepCopies = { share: 0, until: 0 };
  readonly #kept: ((node: string) => void)[] = [];
  /** Copies delivered to a leader that had just begun. */
  copiesForNext = 0;
  readonly #awaited = new Map<string, (() => void)[]>();
  readonly #lives = new Map<string, Life>();
  readonly #earlier = new Set<number>();
  #refusedUntil = 0;
  #incarnations = 0;
  private readonly cpusMax: number;

  constructor(
    readonly draw: Draw,
    private readonly options: SimulationOptions = {},
  ) {
    this.cpusMax = options.cpusMax ?? 0;
    const cpusMax = this.cpusMax;
    if (options.earlier === true) NODES.forEach((_, i) => this.#earlier.add(i));
    this.network = new Network(this.clock, draw);
    this.network.tap = options.tap ?? null;
    this.state = new StateEmulator(this.network);
    this.checker = new Checker(30_000, cpusMax);
    this.cloud = new CloudEmulator(this.network, (listed) => this.#worker(listed));
    for (let i = 0; i < NODES.length; i += 1) this.start(i);
    this.#gossip();
  }

  #worker(listed: ConstructorParameters<typeof Worker>[0]): Worker {
    const rules = {
      nodes: NODES,
      reportMs: 1000,
      leaseMs: 10_000,
      runMs: (job: string, task: number) => this.#runMs(job, task),
      isBroken: (job: string) => this.broken.has(job),
      copy: () => this.#copy(),
      sent: (deliver: (node: string) => void) => {
        const { share, until } = this.#keepCopies;
        if (until > this.clock.now && this.draw() < share) this.#kept.push(deliver);
      },
      completed: (job: string) => {
        const { share, until } = this.#cancelAtEnd;
        if (until > this.clock.now && this.checker.isComplete(job) && this.draw() < share)
          void this.#cancel(job);
      },
    };
    return new Worker(listed, this.network, rules, this.checker, (node, body, reply) => {
      const life = this.#lives.get(node);
      const { tap } = this.network;
      tap?.(listed.name, node, `report ${JSON.stringify(body)}`);
      const answer = (status: number, text: string): void => {
        tap?.(node, listed.name, `answer ${status} ${text}`);
        reply(status, text);
      };
      if (life?.clock.alive === true) life.clock.awake(() => life.node.report(body, answer));
      // Its host refuses the connection: nobody listens there any more.
      else reply(0, '');
    });
  }

  #runMs(job: string, task: number): number {
    const [first, more] = this.runs.get(job) ?? [2000 + 6000 * this.draw(), 0];
    return first + (task === 0 ? 0 : more);
  }

  /** The zone of a controller or a machine. */
  zoneOf(name: string): string | undefined {
    return this.cloud.workers.get(name)?.listed.zone ?? ZONES[NODES.indexOf(name)];
  }

  /** Users of some of the accepted jobs cancel them now. */
  cancelSome(share: number): void {
    for (const id of this.accepted) if (this.draw() < share) void this.#cancel(id);
  }

  async #cancel(id: string): Promise<void> {
    if (this.#cancelling.has(id)) return;
    this.#cancelling.add(id);
    this.checker.cancelAsked(id);
    while ((await this.#request('withdraw', id, {})) === null) await this.clock.sleep(1000);
  }

  /** Users call off jobs at the moment at which their last task completes. */
  cancelAtEnd(share: number, forMs: number): void {
    this.#cancelAtEnd = { share, until: this.clock.now + forMs };
  }

  /** Copies of that share of the reports are kept until a leader begins, and reach it, or all, soon after. */
  keepCopies(share: number, forMs: number): void {
    this.#keepCopies = { share, until: this.clock.now + forMs };
  }

  #deliverKept(leader: string): void {
    for (const deliver of this.#kept.splice(0)) {
      const to = this.draw() < 0.5 ? NODES : [leader];
      this.copiesForNext += 1;
      this.clock.in(this.draw() < 0.5 ? 20 * this.draw() : 4000 * this.draw(), () => {
        for (const node of to) deliver(node);
      });
    }
  }

  /** For so long users ask at all nodes, and repeat the submission, within milliseconds after an answer. */
  closeLooks(forMs: number): void {
    this.#closeUntil = this.clock.now + forMs;
  }

  #lookClosely(id: string, stage: string): void {
    if (this.#closeUntil <= this.clock.now) return;
    const body = this.#bodies.get(id);
    const first = stage !== 'done' && stage !== 'withdrawn';
    if (first && this.draw() < 0.15) this.clock.in(5 * this.draw(), () => void this.#cancel(id));
    for (const node of NODES) {
      this.looks += 1;
      this.clock.in(5 * this.draw(), () => void this.#request('show', id, {}, node));
      if (body !== undefined && this.draw() < 0.5)
        this.clock.in(5 * this.draw(), () => void this.#request('submit', id, body, node));
    }
  }

  /** For so long users repeat and cancel what is under way or over, and send what nobody may accept. */
  oddRequests(forMs: number): void {
    this.#oddUntil = this.clock.now + forMs;
    const round = (): void => {
      if (this.clock.now >= this.#oddUntil) return;
      for (const [id, body] of this.#bodies) {
        if (this.draw() > 0.1) continue;
        this.odds += 1;
        if (this.checker.isOver(id)) void this.#request('withdraw', id, {});
        else if (this.accepted.has(id)) void this.#request('submit', id, body);
      }
      for (const [id, body] of this.#impossible()) {
        this.odds += 1;
        this.checker.odd(id);
        void this.#request('submit', id, body);
      }
      this.clock.in(700, round);
    };
    round();
  }

  /** Descriptions that nobody may accept: each lacks something, or asks for what there is not. */
  #impossible(): [string, object][] {
    const [sound] = this.#bodies.values();
    if (sound === undefined) return [];
    const faults: object[] = [
      { cores: 64 },
      { memGb: 1000 },
      { benches: ['large'] },
      { benches: [] },
      { hall: 'c' },
      { crew: 'nobody' },
      { gpus: 1 },
      { crew: undefined },
      { movements: undefined },
      { movements: 0 },
      { cores: -1 },
      { together: undefined },
      { edition: null },
      { urgency: 'soon' },
      ...(this.cpusMax > 0 ? [{ form: 'service', cores: 1, movements: Math.floor(this.cpusMax) + 1 }] : []),
    ];
    return faults.map((fault) => {
      const nameId = `req-7${String(this.#odd++).padStart(6, '0')}`;
      return [nameId, { ...sound, hall: null, awaits: null, ...fault, nameId }];
    });
  }

  /** Whether a machine that speaks and hears could take a task of a job now. */
  #hasRoom(job: SubmittedJob, taken: readonly OnMachine[]): boolean {
    const own = taken.filter((on) => on.job === job.id);
    return [...this.cloud.workers.values()].some(({ listed, hangs, faulty }) => {
      const { name, zone, spot } = listed;
      if (hangs || faulty || this.network.isMute(name) || this.network.isDeaf(name)) return false;
      const here = taken.filter((on) => on.machine === name);
      const used = here.reduce((sum, on) => sum + (this.jobs.get(on.job)?.cpus ?? 0), 0);
      const memory = here.reduce((sum, on) => sum + (this.jobs.get(on.job)?.memoryGb ?? 0), 0);
      const [type] = TYPES;
      const inZone = own.filter((on) => on.zone === zone).length;
      return (
        used + job.cpus <= (type?.cpus ?? 0) &&
        memory + job.memoryGb <= (type?.memoryGb ?? 0) &&
        (job.spot || !spot) &&
        (job.zone === null || job.zone === zone) &&
        (!job.oneZone || own.every((on) => on.zone === zone)) &&
        (!job.spread || inZone < Math.ceil(job.tasks / 2))
      );
    });
  }

  /** From now on nothing may wait for long while there is room. */
  watchWaiting(): void {
    this.checker.lookForWaiting(this.clock.now, (job, taken) => this.#hasRoom(job, taken));
    this.clock.in(2000, () => this.watchWaiting());
  }

  /** Calls back when a controller next logs this. */
  once(msg: string, call: () => void): void {
    this.#awaited.set(msg, [...(this.#awaited.get(msg) ?? []), call]);
  }

  #copy(): { afterMs: number; node: string | null } | null {
    if (this.options.copies !== true || this.draw() > 0.3) return null;
    const node = this.draw() < 0.5 ? null : (NODES[Math.floor(this.draw() * NODES.length)] ?? null);
    return { afterMs: 500 + 30_000 * this.draw() ** 2, node };
  }

  /** What each living node answers the load balancer. */
  ready(): boolean[] {
    return NODES.map((name) => this.#lives.get(name)?.node.ready() === true);
  }

  /** Sends every node, many times a second, what is malformed, and reports of machines that do not exist. */
  flood(untilMs: number): void {
    let sent = 0;
    const round = (): void => {
      if (this.clock.now > untilMs) return;
      for (const { node, clock } of this.#lives.values()) {
        if (!clock.alive) continue;
        const name = `vm-9${String(sent++).padStart(6, '0')}`;
        const told = { skiff: name, address: '127.0.0.1:1', bench: 'small', hall: 'a', borrowed: true };
        node.report({ ...told, watch: 1, barNo: 1, baton: 0, movements: [] }, () => undefined);
        node.report({ ...told, movements: 'none' }, () => undefined);
        void node.users.submit({ nameId: 7, movements: -1 });
        void node.users.submit('x'.repeat(100_000));
      }
      this.clock.in(10, round);
    };
    round();
  }

  /** What each living node's status page says. */
  pages(): object[] {
    return [...this.#lives.values()].flatMap(({ clock, node }) => (clock.alive ? [node.describe()] : []));
  }

  /** The nodes that take themselves for leader. */
  leaders(): string[] {
    return NODES.filter((name) => this.#lives.get(name)?.node.status().leading === true);
  }

  start(i: number): void {
    const name = NODES[i] ?? '';
    const settings = testSettings(i, this.cpusMax, this.options.limits);
    const earlier = this.#earlier.has(i);
    const Client = earlier ? EarlierStateClient : StateClient;
    const clock = new ProcessClock(this.clock, 1 + 0.001 * (this.draw() - 0.5), 200 * (this.draw() - 0.5));
    const access = this.cloud.accessFor(name);
    const node = new ControllerNode(settings, {
      state: new Client(name, this.state, timing(settings).storeTimeoutMs, clock),
      cloud: access,
      workers: access,
      clock,
      log: pino(
        { level: 'info', base: null, timestamp: false },
        { write: (line) => this.#write(name, line) },
      ),
      policy: createPolicy(
        settings,
        (this.options.sharing ?? SHARES_ALWAYS) ? 'shared_reports_from = 1.0' : '',
      ),
      incarnation: `life-${this.#incarnations++}`,
    });
    this.#lives.set(name, { sent: new Map(), earlier, node, clock });
    node.tellPeers = () => this.#tell(name, false);
    node.sendIntake = (to, message) => this.#sendIntake(name, to, message);
    node.start();
  }

  crash(i: number, downMs: number): void {
    const life = this.#lives.get(NODES[i] ?? '');
    if (life?.clock.alive !== true) return;
    life.clock.alive = false;
    // Its links break at once, and are refused from then on.
    for (const [name, other] of this.#lives)
      for (const link of ['lost', 'refused'] as const)
        if (other !== life && other.clock.alive && !this.network.isCut(name, NODES[i] ?? ''))
          this.#link(other, NODES[i] ?? '', link);
    this.clock.in(downMs, () => this.start(i));
  }

  /** A controller stands still while its clocks run on: what it waits for comes all at once, later. */
  freeze(i: number, ms: number): void {
    const life = this.#lives.get(NODES[i] ?? '');
    if (life?.clock.alive === true) life.clock.stillUntil = this.clock.now + ms;
  }

  /** Ends a controller; it comes back as the version with pipelines. */
  upgrade(i: number, downMs: number): void {
    this.#earlier.delete(i);
    const life = this.#lives.get(NODES[i] ?? '');
    if (life?.clock.alive === true) this.crash(i, downMs);
  }

  /** From now on the state service has the limits that the settings announce. */
  shrink(): void {
    const { state } = testSettings(0, 0, this.options.limits).cluster;
    this.state.limits = { ...lastingLimits(testSettings(0, 0, this.options.limits)), rps: state.rps };
  }

  #write(node: string, line: string): void {
    if (process.env['TEST_LOG'] !== undefined) process.stdout.write(`${this.clock.now} ${node} ${line}`);
    if (this.options.keepLog !== true && this.#awaited.size === 0 && this.#kept.length === 0) return;
    const entry = JSON.parse(line) as { msg: string };
    if (this.options.keepLog === true) this.logged.push({ at: this.clock.now, node, ...entry });
    if (entry.msg === 'leading') this.#deliverKept(node);
    const calls = this.#awaited.get(entry.msg) ?? [];
    this.#awaited.delete(entry.msg);
    for (const call of calls) call();
  }

  /** A controller computes so much slower that each of its timers fires so much later. */
  slow(i: number, lateMs: number): void {
    const life = this.#lives.get(NODES[i] ?? '');
    if (life !== undefined) life.clock.lateMs = lateMs;
  }

  /** Connections between controllers are refused. */
  refusePeers(ms: number): void {
    this.#refusedUntil = this.clock.now + ms;
    for (const [name, life] of this.#lives)
      for (const other of NODES) if (other !== name && life.clock.alive) this.#link(life, other, 'lost');
  }

  isRefused(): boolean {
    return this.clock.now < this.#refusedUntil;
  }

  /** Versions before suspicion look at no links; the benchmark plays them too. */
  #link({ node }: Life, to: string, link: Link): void {
    if ('onLink' in node) node.onLink(to, link);
  }

  #gossip(): void {
    this.clock.in(500, () => {
      for (const from of this.#lives.keys()) this.#tell(from, true);
      this.checker.look(this.clock.now, (name) => this.cloud.workers.get(name)?.hangs === true);
      this.#gossip();
    });
  }

  /** What a node says to the others and, when it dials them, what its links to them show. */
  #tell(from: string, dials: boolean): void {
    const life = this.#lives.get(from);
    if (life === undefined || !life.clock.alive || life.clock.stillUntil > this.clock.now) return;
    // An earlier version says nothing of formats and pipelines.
    const own = life.node.status();
    const status = life.earlier ? { ...own, format: 0, settledAt: 0, ...UNSEEN } : own;
    this.network.tap?.(from, 'peers', `status ${Buffer.from(encodeStatus(status)).toString('hex')}`);
    for (const [to, other] of this.#lives) {
      if (to === from || this.network.isCut(from, to)) continue;
      if (!other.clock.alive || this.isRefused()) {
        if (dials) this.#link(life, to, 'refused');
        continue;
      }
      if (dials) this.#link(life, to, 'up');
      this.network.send(from, to, () => {
        if (!this.isRefused()) other.clock.awake(() => other.node.onPeer(status));
      });
    }
  }

  /** Messages about shared reports, over a connection that keeps their order; false: there is none. */
  #sendIntake(from: string, to: string, message: IntakeMessage): boolean {
    const own = this.#lives.get(from);
    const other = this.#lives.get(to);
    if (own === undefined || other === undefined || !own.clock.alive || !other.clock.alive) return false;
    if (this.isRefused() || own.earlier || other.earlier) return false;
    this.intakeMessages += 1;
    // What is lost leaves a gap in the numbers; all else arrives in order, the later with the earlier.
    if (this.losesIntake || this.network.isDeaf(to)) return true;
    const queue = own.sent.get(other) ?? [];
    own.sent.set(other, queue);
    // Values cross the wire: nobody may share an object with another process.
    const frame = encodeIntake(message);
    this.network.tap?.(from, to, `intake ${Buffer.from(frame).toString('hex')}`);
    queue.push(frame);
    this.network.send(from, to, () => {
      const due = queue.splice(0, queue.indexOf(frame) + 1);
      if (this.isRefused()) return;
      const reader = new StatusReader((told) => other.node.onIntake(told));
      for (const next of due) other.clock.awake(() => reader.push(next));
    });
    return true;
  }

  /** A node that takes users' connections now, or null. */
  #reachable(): Life | null {
    const alive = [...this.#lives.values()].filter(({ clock }) => clock.alive);
    return alive[Math.floor(this.draw() * alive.length)] ?? null;
  }

  /** One request of a user; the answer is checked against the rules. */
  async #request(
    kind: 'submit' | 'show' | 'withdraw',
    id: string,
    body: object,
    at?: string,
  ): Promise<string | null> {
    const life = at === undefined ? this.#reachable() : (this.#lives.get(at) ?? null);
    if (life === null || !life.clock.alive) return null;
    const { users } = life.node;
    const askedAt = this.clock.now;
    this.checker.asked(id, askedAt);
    const node = NODES[[...this.#lives.values()].indexOf(life)] ?? '';
    const { tap } = this.network;
    tap?.('user', node, `${kind} ${id} ${JSON.stringify(body)}`);
    const call =
      kind === 'submit' ? users.submit(body) : kind === 'show' ? users.show(id) : users.withdraw(id);
    const answer = await Promise.race([call, this.clock.sleep(5000).then(() => null)]);
    if (answer === null || !life.clock.alive) return null;
    const told = JSON.parse(JSON.stringify(answer.body)) as { stage?: string };
    tap?.(node, 'user', `${kind} ${id} ${answer.status} ${JSON.stringify(answer.body)}`);
    this.checker.answered(id, answer.status, told, this.clock.now, kind, askedAt);
    if (answer.status >= 300) return null;
    const { stage = null } = told;
    const before = this.#told.get(id);
    if (stage !== null && (before === undefined || this.#isFinal(stage)) && before !== stage) {
      this.#told.set(id, stage);
      this.#lookClosely(id, stage);
    }
    return stage;
  }

  #isFinal(stage: string): boolean {
    return stage === 'done' || stage === 'withdrawn';
  }

  /** One question about a job, by whoever is curious; the stage that is told, null without an answer. */
  ask(id: string, at?: string): Promise<string | null> {
    return this.#request('show', id, {}, at);
  }

  /** Lets time pass until a promise is settled. */
  async until<T>(promise: Promise<T>): Promise<T> {
    let settled = false;
    void promise.finally(() => (settled = true));
    while (!settled) await this.clock.runUntil(this.clock.now + 10);
    return promise;
  }

  /** One request to cancel a job, at one controller; whether it was confirmed. */
  async withdraw(id: string, at: string): Promise<boolean> {
    this.checker.cancelAsked(id);
    return (await this.#request('withdraw', id, {}, at)) === 'withdrawn';
  }

  /** Submits a job until it is accepted, then follows it; cancels it after a while if asked to. */
  async user(job: SubmittedJob, cancelAfterMs: number | null): Promise<void> {
    this.checker.submitted(job);
    this.jobs.set(job.id, job);
    const body = {
      nameId: job.id,
      repertoire: job.jobClass ?? 'class',
      crew: job.team,
      form: job.form ?? 'array',
      urgency: job.urgency ?? (job.bookmarkS === undefined ? 'normal' : 'best_effort'),
      movements: job.tasks,
      cores: job.cpus,
      gpus: 0,
      memGb: job.memoryGb,
      edition: 'img',
      pullGb: 0.3,
      benches: null,
      hall: job.zone,
      together: job.oneZone,
      apart: job.spread,
      borrowed: job.spot,
      expectedS: (this.runs.get(job.id) ?? [5000, 0])[0] / 1000,
      bookmarkS: job.bookmarkS ?? 0,
      bookmarkWriteS: job.bookmarkS === undefined ? 0 : 0.5,
      curtainS: job.bookmarkS === undefined ? 60 : null,
      awaits: job.awaits ?? null,
    };
    this.#bodies.set(job.id, body);
    while ((await this.#request('submit', job.id, body)) === null) await this.clock.sleep(1000);
    this.accepted.add(job.id);
    let cancelAt = cancelAfterMs === null ? Infinity : this.clock.now + cancelAfterMs;
    for (;;) {
      await this.clock.sleep(1000 + 2000 * this.draw());
      if (this.draw() < 0.1) await this.#request('submit', job.id, body);
      if (this.clock.now >= cancelAt) {
        this.checker.cancelAsked(job.id);
        if ((await this.#request('withdraw', job.id, {})) !== null) cancelAt = Infinity;
      }
      if (this.draw() < 0.05) await this.#request('show', `req-9${job.id.slice(4)}`, {});
      const stage = await this.#request('show', job.id, {});
      if (stage === 'done' || stage === 'withdrawn') {
        if (this.draw() < 0.5) return;
      }
    }
  }
}

/** How much comes on a day. */
export interface DaySize {
  readonly jobs: number;
  readonly mostTasks: number;
  readonly machines: number;
  readonly pipelines?: number;
  readonly pipelinesFromMs?: number;
  /** What the on-call people met: deaf machines, lives that are back at once, lone leaders, mistaken jobs. */
  readonly onCall?: boolean;
}

const SMALL_DAY: DaySize = { jobs: 14, mostTasks: 6, machines: 6 };

/**
 * The jobs of one pipeline, each submitted as soon as those that it needs are accepted: a
 * chain with branches, some of its jobs cancelled, and at times one job more that comes late.
 */
export async function playPipeline(world: Simulation, index: number, mostTasks: number): Promise<void> {
  const { draw, clock } = world;
  const ids: string[] = [];
  const length = 2 + Math.floor(draw() * 5);
  const cancelled = draw() < 0.4 ? Math.floor(draw() * length) : -1;
  for (let i = 0; i < length; i += 1) {
    const id = `req-${String(100_000 + 100 * index + i)}`;
    const needs = [...new Set([0, 1].map(() => ids[Math.floor(draw() * ids.length)]))];
    const awaits = needs.filter((need) => need !== undefined);
    if (i > 0 && draw() < 0.2) await clock.sleep(15_000 * draw());
    ids.push(id);
    const tasks = 1 + Math.floor(draw() * Math.min(6, mostTasks));
    const place = { spot: draw() < 0.7, zone: null, oneZone: false, spread: false };
    const job: SubmittedJob = { id, team: 'crew', tasks, cpus: 1, memoryGb: 1, ...place, awaits };
    void world.user(job, i === cancelled ? 20_000 * draw() : null);
    while (!world.accepted.has(id)) await clock.sleep(100);
  }
}

/** Draws a day: jobs arriving, and troubles of every kind the protocol tells of. */
export function drawDay(world: Simulation, lengthMs: number, faults: number, size = SMALL_DAY): void {
  const { draw, clock, network, state, cloud } = world;
  const pick = <T>(from: readonly T[]): T => from[Math.floor(draw() * from.length)] as T;
  cloud.capacity = size.machines;
  for (let i = 0; i < size.jobs; i += 1) {
    const id = `req-${String(i).padStart(6, '0')}`;
    const job: SubmittedJob = {
      id,
      team: 'crew',
      tasks: 1 + Math.floor(draw() * size.mostTasks),
      cpus: pick([1, 2, 4]),
      memoryGb: 2,
      spot: draw() < 0.7,
      zone: draw() < 0.1 ? pick(['a', 'b']) : null,
      oneZone: draw() < 0.1,
      spread: draw() < 0.1,
    };
    const cancelAfter = draw() < 0.3 ? 20_000 * draw() : null;
    clock.in(lengthMs * 0.7 * draw(), () => {
      // Whoever submitted it with a mistake finds out in the end.
      void world.user(job, world.broken.has(id) ? 90_000 : cancelAfter);
    });
  }
  for (let i = 0; i < (size.pipelines ?? 0); i += 1)
    clock.in(
      (size.pipelinesFromMs ?? 0) + lengthMs * 0.6 * draw(),
      () => void playPipeline(world, i, size.mostTasks),
    );
  const hosts = (): string[] => [...NODES, 'state', 'cloud', ...cloud.workers.keys()];
  const troubles: (() => void)[] = [
    () => world.crash(Math.floor(draw() * 3), 1000 + 5000 * draw()),
    () => NODES.forEach((_, i) => world.crash(i, 4000)),
    () => network.cut(pick(NODES), 'state', 20_000 * draw()),
    () => network.cut(pick(NODES), 'cloud', 20_000 * draw()),
    () => state.outage(15_000 * draw()),
    () => state.refuse(pick(NODES), 20_000 * draw()),
    () => {
      const worker = pick([...cloud.workers.keys()]);
      for (const node of NODES) network.cut(worker, node, 25_000 * draw());
    },
    () => {
      const worker = cloud.workers.get(pick([...cloud.workers.keys()]));
      worker?.hang(25_000 * draw());
    },
    () => {
      const worker = pick([...cloud.workers.keys()]);
      if (worker !== undefined) cloud.remove(worker);
    },
    () => {
      const worker = cloud.workers.get(pick([...cloud.workers.keys()]));
      if (worker !== undefined) worker.faulty = true;
    },
    () => network.cut(pick(hosts()), pick(hosts()), 30_000 * draw()),
    () => {
      const apart = pick(NODES);
      for (const host of hosts())
        if (host !== apart && draw() < 0.6) network.cut(apart, host, 25_000 * draw());
    },
    () => {
      // A leader that workers still reach, but not the state service nor its peers.
      const apart = pick(NODES);
      const until = 80_000 * draw();
      for (const host of [...NODES, 'state', 'cloud']) if (host !== apart) network.cut(apart, host, until);
    },
    () => (cloud.troubleUntil = clock.now + 15_000 * draw()),
    () => world.refusePeers(40_000 * draw()),
    () => world.freeze(Math.floor(draw() * 3), 10_000 * draw()),
  ];
  const onCall: (() => void)[] = [
    () => network.deafen(pick([...cloud.workers.keys()]) ?? '', 40_000 * draw()),
    () => {
      for (const name of cloud.workers.keys()) if (draw() < 0.4) network.deafen(name, 20_000 * draw());
    },
    () => world.crash(Math.floor(draw() * 3), 20 + 80 * draw()),
    () => {
      // Down and up again several times running, and another with it.
      const node = Math.floor(draw() * 3);
      for (let i = 0; i < 4; i += 1) clock.in(700 * i, () => world.crash(node, 20 + 80 * draw()));
      clock.in(1000 * draw(), () => world.crash((node + 1) % 3, 20 + 80 * draw()));
    },
    () => {
      // Workers still reach it, nobody else does: the state service refuses it, links are gone.
      const alone = pick(world.leaders()) ?? pick(NODES);
      const forMs = 40_000 * draw();
      state.refuse(alone, forMs);
      for (const other of NODES) if (other !== alone) network.cut(alone, other, forMs);
      network.cut(alone, 'cloud', forMs);
    },
    () => network.deafen(pick(NODES), 8000 * draw()),
  ];
  if (size.onCall === true) {
    // A guest's arrays, as many tasks as all other jobs together, that give way to what would be late.
    for (let i = 0; i < 3; i += 1) {
      const place = { spot: true, zone: null, oneZone: false, spread: false, bookmarkS: 2, jobClass: 'idle' };
      const id = `req-${String(500_000 + i)}`;
      const array = { id, team: 'crew', tasks: size.jobs, cpus: pick([2, 4]), memoryGb: 2, ...place };
      clock.in(lengthMs * 0.4 * draw(), () => void world.user(array, null));
    }
    // Users ask many times as often for a while.
    const storm = (untilMs: number): void => {
      for (const id of world.accepted) if (draw() < 0.3) void world.ask(id);
      if (clock.now < untilMs) clock.in(100, () => storm(untilMs));
    };
    clock.in(lengthMs * 0.6 * draw(), () => storm(clock.now + 15_000));
    troubles.push(...onCall, ...onCall);
    for (let i = 0; i < size.jobs; i += 1)
      if (draw() < 0.12) world.broken.add(`req-${String(i).padStart(6, '0')}`);
  }
  for (let i = 0; i < faults; i += 1) clock.in(5000 + lengthMs * 0.8 * draw(), () => pick(troubles)());
}
