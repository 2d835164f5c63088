/** Simulates the whole service with the emulators on a virtual clock; users and faults are drawn from a seed. */
import { pino } from 'pino';
import { ControllerNode } from '../../src/controller/node.js';
import { createPolicy } from '../../src/config/policy.js';
import { strictestLimits, parseSettings, timing, type PlatformSettings } from '../../src/config/settings.js';
import type { LinkState } from '../../src/membership/status.js';
import type { IntakeMessage } from '../../src/wire/intake.js';
import { PeerMessageReader } from '../../src/wire/peer-reader.js';
import { encodeIntake, encodeStartFence, encodeStatus } from '../../src/wire/peers.js';
import type { StartFenceMessage } from '../../src/wire/start-fence.js';
import { Checker, type PlacedTask, type SubmittedJob } from './checker.js';
import { ProcessClock, VirtualClock } from './clock.js';
import { CloudEmulator, TYPES, Worker } from './cloud.js';
import { Network, type Draw, type MessageListener } from './network.js';
import { EarlierStoreClient, StoreClient, StoreEmulator } from './state.js';

export const NODES = ['n-0', 'n-1', 'n-2'];
const ZONES = ['a', 'b', 'a'];
/** The teams of the test settings; all have the same quota. */
export const TEAMS = ['crew', 'guests'];

/** Store limits under which jobs of a few dozen tasks need several chunks, and later (`next`) small jobs, too. */
export const TIGHT_LIMITS = { value_kb: 8, txn_ops: 32, next: { value_kb: 1, txn_ops: 6, write_rps: 30 } };

export function testSettings(node: number, cpusMax = 0, limits: object = {}): PlatformSettings {
  const address = (i: number, port: number): string => `127.0.0.1:${port + i}`;
  return parseSettings({
    host_name: NODES[node],
    zone: ZONES[node],
    public_addr: address(node, 7000),
    peer_bind: address(node, 7100),
    others: NODES.flatMap((name, i) =>
      i === node ? [] : [{ host_name: name, zone: ZONES[i], peer_addr: address(i, 7100) }],
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

/** Random draws that are the same for the same seed. */
export { seededDraw as seeded } from '../../lab/random.js';

/** The observations in the status of a version without failure suspicion. */
export const NO_OBSERVATIONS = {
  timerLagMs: 0,
  observations: [],
  unexpectedReports: 0,
  reporting: 0,
  expected: 0,
  probeRequests: [],
  probeRound: 0,
  reachable: 0,
  unreachable: 0,
  acceptsHeartbeats: false,
};

/** With SHARING in the environment, followers accept heartbeats in all simulations without the option `sharing`. */
const ALWAYS_SHARES = process.env['SHARING'] !== undefined;

/** The longest delay of a copied frame, in milliseconds; most are much shorter. */
const MAX_FRAME_COPY_DELAY_MS = 12_000;

/** Deviations from the default simulation. */
export interface SimulationOptions {
  readonly cpusMax?: number;
  /** Limits of the store, in the form of the settings. */
  readonly limits?: object;
  /** Keeps the log lines of all controllers in `logged`. */
  readonly keepLog?: boolean;
  /** Some heartbeats are duplicated; duplicates arrive at any controller, from 0.5 s to well over a lease later. */
  readonly duplicatesHeartbeats?: boolean;
  /** Followers accept heartbeats for the leader, for any number of machines. */
  readonly sharing?: boolean;
  /** Called with every message. */
  readonly onMessage?: MessageListener;
  /** All controllers start as the version without DAG dependencies. */
  readonly startsEarlierVersion?: boolean;
  /** Share of the frames between controllers of which a copy arrives late, also at a restarted process. */
  readonly frameCopyShare?: number;
}

export interface LogLine {
  readonly at: number;
  readonly node: string;
  readonly msg: string;
  readonly [field: string]: unknown;
}

interface ControllerProcess {
  /** Frames on their way to another process, in order. */
  readonly sent: Map<ControllerProcess, Uint8Array[]>;
  readonly earlier: boolean;
  readonly node: ControllerNode;
  readonly clock: ProcessClock;
}

/** A connection between two running controllers. */
interface Link {
  readonly from: string;
  readonly to: string;
  readonly own: ControllerProcess;
  readonly other: ControllerProcess;
}

/** Three controllers, the emulators and their users on one virtual clock. */
export class Simulation {
  readonly clock = new VirtualClock();
  readonly network: Network;
  readonly store: StoreEmulator;
  readonly cloud: CloudEmulator;
  readonly checker: Checker;
  readonly jobs = new Map<string, SubmittedJob>();
  readonly accepted = new Set<string>();
  readonly logged: LogLine[] = [];
  /** Jobs whose tasks fail on every machine. */
  readonly faultyJobs = new Set<string>();
  /**
   * By job: the runtime of its first task and the additional runtime of each other task, in milliseconds. The
   * runtimes of jobs without an entry are drawn.
   */
  readonly runtimes = new Map<string, readonly [number, number]>();
  /** Number of intake messages that controllers have sent. */
  intakeMessages = 0;
  /** While set, all intake messages are lost. */
  dropsIntake = false;
  readonly #cancellationsRequested = new Set<string>();
  readonly #submissions = new Map<string, object>();
  /** By job: the stage that last caused reads after writes, which is the first stage reported, or `done` or `withdrawn`. */
  readonly #notedStages = new Map<string, string>();
  #readAfterWritesUntil = 0;
  #invalidRequestsUntil = 0;
  #invalidCount = 0;
  /** Number of reads right after responses, and number of invalid requests. */
  readsAfterWrites = 0;
  invalidRequests = 0;
  #completionCancellation = { share: 0, until: 0 };
  /** Share of heartbeats that are duplicated for the next leader, and until when. */
  #duplication = { share: 0, until: 0 };
  /** Duplicated heartbeats that are held until a leader has loaded its state. */
  readonly #duplicates: ((node: string) => void)[] = [];
  /** Number of late copies of frames that were delivered. */
  frameCopies = 0;
  /** Number of heartbeats whose duplicates were released when a leader had loaded its state. */
  duplicatesDelivered = 0;
  readonly #logListeners = new Map<string, (() => void)[]>();
  readonly #controllers = new Map<string, ControllerProcess>();
  readonly #nodesOfEarlierVersion = new Set<number>();
  #peersRefusedUntil = 0;
  #incarnations = 0;
  private readonly cpusMax: number;

  constructor(
    readonly draw: Draw,
    private readonly options: SimulationOptions = {},
  ) {
    this.cpusMax = options.cpusMax ?? 0;
    const cpusMax = this.cpusMax;
    if (options.startsEarlierVersion === true) NODES.forEach((_, i) => this.#nodesOfEarlierVersion.add(i));
    this.network = new Network(this.clock, draw);
    this.network.onMessage = options.onMessage ?? null;
    this.store = new StoreEmulator(this.network);
    this.checker = new Checker(30_000, cpusMax);
    this.cloud = new CloudEmulator(this.network, (listed) => this.#createWorker(listed));
    for (let i = 0; i < NODES.length; i += 1) this.start(i);
    this.#scheduleStatusExchange();
  }

  #createWorker(listed: ConstructorParameters<typeof Worker>[0]): Worker {
    const environment = {
      nodes: NODES,
      heartbeatIntervalMs: 1000,
      leaseMs: 10_000,
      runMs: (job: string, task: number) => this.#runtimeMs(job, task),
      isBroken: (job: string) => this.faultyJobs.has(job),
      drawDuplicate: () => this.#drawDuplicate(),
      onHeartbeatSent: (deliver: (node: string) => void) => {
        const { share, until } = this.#duplication;
        if (until > this.clock.now && this.draw() < share) this.#duplicates.push(deliver);
      },
      onTaskCompleted: (job: string) => {
        const { share, until } = this.#completionCancellation;
        if (until > this.clock.now && this.checker.isComplete(job) && this.draw() < share)
          void this.#cancel(job);
      },
    };
    return new Worker(listed, this.network, environment, this.checker, (node, body, reply) => {
      const controller = this.#controllers.get(node);
      const { onMessage } = this.network;
      onMessage?.(listed.name, node, `report ${JSON.stringify(body)}`);
      const respond = (status: number, text: string): void => {
        onMessage?.(node, listed.name, `answer ${status} ${text}`);
        reply(status, text);
      };
      if (controller?.clock.alive === true)
        controller.clock.awake(() => controller.node.handleHeartbeat(body, respond));
      // The process has ended: its host refuses the connection.
      else reply(0, '');
    });
  }

  #runtimeMs(job: string, task: number): number {
    const [first, additional] = this.runtimes.get(job) ?? [2000 + 6000 * this.draw(), 0];
    return first + (task === 0 ? 0 : additional);
  }

  /** The zone of a controller or a machine. */
  zoneOf(name: string): string | undefined {
    return this.cloud.workers.get(name)?.listed.zone ?? ZONES[NODES.indexOf(name)];
  }

  /** Users cancel a random share of the accepted jobs now. */
  cancelSome(share: number): void {
    for (const id of this.accepted) if (this.draw() < share) void this.#cancel(id);
  }

  async #cancel(id: string): Promise<void> {
    if (this.#cancellationsRequested.has(id)) return;
    this.#cancellationsRequested.add(id);
    this.checker.recordCancellationRequest(id);
    while ((await this.#request('withdraw', id, {})) === null) await this.clock.sleep(1000);
  }

  /** Users cancel a random share of jobs at the moment at which their last task completes. */
  cancelOnCompletion(share: number, forMs: number): void {
    this.#completionCancellation = { share, until: this.clock.now + forMs };
  }

  /**
   * Duplicates of a share of the heartbeats are held until a leader has loaded its state; they then reach it, or all
   * nodes, within 4 s.
   */
  keepDuplicates(share: number, forMs: number): void {
    this.#duplication = { share, until: this.clock.now + forMs };
  }

  #deliverDuplicates(leader: string): void {
    for (const deliver of this.#duplicates.splice(0)) {
      const to = this.draw() < 0.5 ? NODES : [leader];
      this.duplicatesDelivered += 1;
      this.clock.in(this.draw() < 0.5 ? 20 * this.draw() : 4000 * this.draw(), () => {
        for (const node of to) deliver(node);
      });
    }
  }

  /** Users read at all nodes and repeat submissions, some also cancel, within 5 ms after a response. */
  readAfterWrites(forMs: number): void {
    this.#readAfterWritesUntil = this.clock.now + forMs;
  }

  #readAfterWrite(id: string, stage: string): void {
    if (this.#readAfterWritesUntil <= this.clock.now) return;
    const body = this.#submissions.get(id);
    const isUnfinished = stage !== 'done' && stage !== 'withdrawn';
    if (isUnfinished && this.draw() < 0.15) this.clock.in(5 * this.draw(), () => void this.#cancel(id));
    for (const node of NODES) {
      this.readsAfterWrites += 1;
      this.clock.in(5 * this.draw(), () => void this.#request('show', id, {}, node));
      if (body !== undefined && this.draw() < 0.5)
        this.clock.in(5 * this.draw(), () => void this.#request('submit', id, body, node));
    }
  }

  /** Users resubmit accepted jobs, cancel ended jobs and submit invalid ones. */
  sendInvalidRequests(forMs: number): void {
    this.#invalidRequestsUntil = this.clock.now + forMs;
    const round = (): void => {
      if (this.clock.now >= this.#invalidRequestsUntil) return;
      for (const [id, body] of this.#submissions) {
        if (this.draw() > 0.1) continue;
        this.invalidRequests += 1;
        if (this.checker.isOver(id)) void this.#request('withdraw', id, {});
        else if (this.accepted.has(id)) void this.#request('submit', id, body);
      }
      for (const [id, body] of this.#invalidJobs()) {
        this.invalidRequests += 1;
        this.checker.recordInvalidSubmission(id);
        void this.#request('submit', id, body);
      }
      this.clock.in(700, round);
    };
    round();
  }

  /** Invalid job descriptions: each lacks a field, has an invalid value or asks for something that does not exist. */
  #invalidJobs(): [string, object][] {
    const [valid] = this.#submissions.values();
    if (valid === undefined) return [];
    const invalidFields: object[] = [
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
    return invalidFields.map((fields) => {
      const nameId = `req-7${String(this.#invalidCount++).padStart(6, '0')}`;
      return [nameId, { ...valid, hall: null, awaits: null, ...fields, nameId }];
    });
  }

  /** Whether a reachable machine has capacity for a task of a job now. */
  #hasCapacity(job: SubmittedJob, placed: readonly PlacedTask[]): boolean {
    const tasksOfJob = placed.filter((task) => task.job === job.id);
    return [...this.cloud.workers.values()].some(({ listed, isPaused, isFaulty }) => {
      const { name, zone, spot } = listed;
      if (isPaused || isFaulty || this.network.isOutboundBlocked(name) || this.network.isInboundBlocked(name))
        return false;
      const tasksOnMachine = placed.filter((task) => task.machine === name);
      const used = tasksOnMachine.reduce((sum, task) => sum + (this.jobs.get(task.job)?.cpus ?? 0), 0);
      const memory = tasksOnMachine.reduce((sum, task) => sum + (this.jobs.get(task.job)?.memoryGb ?? 0), 0);
      const [type] = TYPES;
      const inZone = tasksOfJob.filter((task) => task.zone === zone).length;
      return (
        used + job.cpus <= (type?.cpus ?? 0) &&
        memory + job.memoryGb <= (type?.memoryGb ?? 0) &&
        (job.spot || !spot) &&
        (job.zone === null || job.zone === zone) &&
        (!job.oneZone || tasksOfJob.every((task) => task.zone === zone)) &&
        (!job.spread || inZone < Math.ceil(job.tasks / 2))
      );
    });
  }

  /** From now on checks every 2 s that no job waits for long while there is capacity. */
  checkWaiting(): void {
    this.checker.checkWaiting(this.clock.now, (job, placed) => this.#hasCapacity(job, placed));
    this.clock.in(2000, () => this.checkWaiting());
  }

  /** Calls back when a controller next logs this event. */
  onNextLog(msg: string, call: () => void): void {
    this.#logListeners.set(msg, [...(this.#logListeners.get(msg) ?? []), call]);
  }

  #drawDuplicate(): { afterMs: number; node: string | null } | null {
    if (this.options.duplicatesHeartbeats !== true || this.draw() > 0.3) return null;
    const node = this.draw() < 0.5 ? null : (NODES[Math.floor(this.draw() * NODES.length)] ?? null);
    return { afterMs: 500 + 30_000 * this.draw() ** 2, node };
  }

  /** The readiness of each node, as the load balancer sees it. */
  ready(): boolean[] {
    return NODES.map((name) => this.#controllers.get(name)?.node.ready() === true);
  }

  /** Sends every node, every 10 ms, malformed requests and heartbeats of machines that do not exist. */
  flood(untilMs: number): void {
    let sent = 0;
    const round = (): void => {
      if (this.clock.now > untilMs) return;
      for (const { node, clock } of this.#controllers.values()) {
        if (!clock.alive) continue;
        const name = `vm-9${String(sent++).padStart(6, '0')}`;
        const fields = { skiff: name, address: '127.0.0.1:1', bench: 'small', hall: 'a', borrowed: true };
        node.handleHeartbeat({ ...fields, watch: 1, barNo: 1, baton: 0, movements: [] }, () => undefined);
        node.handleHeartbeat({ ...fields, movements: 'none' }, () => undefined);
        void node.users.submit({ nameId: 7, movements: -1 });
        void node.users.submit('x'.repeat(100_000));
      }
      this.clock.in(10, round);
    };
    round();
  }

  /** The status pages of all running nodes. */
  statusPages(): object[] {
    return [...this.#controllers.values()].flatMap(({ clock, node }) =>
      clock.alive ? [node.describe()] : [],
    );
  }

  /** The nodes that consider themselves the leader. */
  leaders(): string[] {
    return NODES.filter((name) => this.#controllers.get(name)?.node.status().isLeader === true);
  }

  start(nodeIndex: number): void {
    const name = NODES[nodeIndex] ?? '';
    const settings = testSettings(nodeIndex, this.cpusMax, this.options.limits);
    const earlier = this.#nodesOfEarlierVersion.has(nodeIndex);
    const Client = earlier ? EarlierStoreClient : StoreClient;
    const clock = new ProcessClock(this.clock, 1 + 0.001 * (this.draw() - 0.5), 200 * (this.draw() - 0.5));
    const cloudClient = this.cloud.clientFor(name);
    const node = new ControllerNode(settings, {
      store: new Client(name, this.store, timing(settings).storeTimeoutMs, clock),
      cloud: cloudClient,
      workers: cloudClient,
      clock,
      log: pino(
        { level: 'info', base: null, timestamp: false },
        { write: (line) => this.#receiveLogLine(name, line) },
      ),
      policy: createPolicy(
        settings,
        (this.options.sharing ?? ALWAYS_SHARES) ? 'shared_reports_from = 1.0' : '',
      ),
      incarnation: `life-${this.#incarnations++}`,
    });
    this.#controllers.set(name, { sent: new Map(), earlier, node, clock });
    node.broadcastStatus = () => this.#sendStatus(name, false);
    node.sendIntake = (to, message) => this.#sendIntake(name, to, message);
    node.sendStartFence = (to, message) => this.#sendStartFence(name, to, message);
    node.start();
  }

  crash(nodeIndex: number, downMs: number): void {
    const controller = this.#controllers.get(NODES[nodeIndex] ?? '');
    if (controller?.clock.alive !== true) return;
    controller.clock.alive = false;
    // Its links break immediately, and new connections to it are refused.
    for (const [name, other] of this.#controllers)
      for (const link of ['lost', 'refused'] as const)
        if (
          other !== controller &&
          other.clock.alive &&
          !this.network.isPartitioned(name, NODES[nodeIndex] ?? '')
        )
          this.#reportLinkState(other, NODES[nodeIndex] ?? '', link);
    this.clock.in(downMs, () => this.start(nodeIndex));
  }

  /** Pauses a controller while its clocks keep running; overdue timers and messages all arrive when it resumes. */
  pause(nodeIndex: number, ms: number): void {
    const controller = this.#controllers.get(NODES[nodeIndex] ?? '');
    if (controller?.clock.alive === true) controller.clock.pausedUntil = this.clock.now + ms;
  }

  /** Stops a controller and restarts it as the version with DAG dependencies. */
  upgrade(nodeIndex: number, downMs: number): void {
    this.#nodesOfEarlierVersion.delete(nodeIndex);
    const controller = this.#controllers.get(NODES[nodeIndex] ?? '');
    if (controller?.clock.alive === true) this.crash(nodeIndex, downMs);
  }

  /** From now on the store enforces the limits that the settings announce. */
  reduceLimits(): void {
    const { state } = testSettings(0, 0, this.options.limits).cluster;
    this.store.limits = { ...strictestLimits(testSettings(0, 0, this.options.limits)), rps: state.rps };
  }

  #receiveLogLine(node: string, line: string): void {
    if (process.env['TEST_LOG'] !== undefined) process.stdout.write(`${this.clock.now} ${node} ${line}`);
    if (this.options.keepLog !== true && this.#logListeners.size === 0 && this.#duplicates.length === 0)
      return;
    const entry = JSON.parse(line) as { msg: string };
    if (this.options.keepLog === true) this.logged.push({ at: this.clock.now, node, ...entry });
    if (entry.msg === 'leader state loaded') this.#deliverDuplicates(node);
    const calls = this.#logListeners.get(entry.msg) ?? [];
    this.#logListeners.delete(entry.msg);
    for (const call of calls) call();
  }

  /** Slows a controller down: each of its timers fires `lateMs` later. */
  slowDown(nodeIndex: number, lateMs: number): void {
    const controller = this.#controllers.get(NODES[nodeIndex] ?? '');
    if (controller !== undefined) controller.clock.lateMs = lateMs;
  }

  /** Connections between controllers are refused. */
  refusePeers(ms: number): void {
    this.#peersRefusedUntil = this.clock.now + ms;
    for (const [name, controller] of this.#controllers)
      for (const other of NODES)
        if (other !== name && controller.clock.alive) this.#reportLinkState(controller, other, 'lost');
  }

  arePeersRefused(): boolean {
    return this.clock.now < this.#peersRefusedUntil;
  }

  /** Versions without failure suspicion have no `onLink`; the benchmark simulates them as well. */
  #reportLinkState({ node }: ControllerProcess, to: string, link: LinkState): void {
    if ('onLink' in node) node.onLink(to, link);
  }

  #scheduleStatusExchange(): void {
    this.clock.in(500, () => {
      for (const from of this.#controllers.keys()) this.#sendStatus(from, true);
      this.checker.checkCancelled(this.clock.now, (name) => this.cloud.workers.get(name)?.isPaused === true);
      this.#scheduleStatusExchange();
    });
  }

  /** Sends a node's status to its peers; with `reportsLinks` the node also learns the state of its links to them. */
  #sendStatus(from: string, reportsLinks: boolean): void {
    const controller = this.#controllers.get(from);
    if (controller === undefined || !controller.clock.alive || controller.clock.pausedUntil > this.clock.now)
      return;
    // The status of an earlier version has no format, no dependencies and no observations.
    const own = controller.node.status();
    const status = controller.earlier
      ? { ...own, format: 0, dependenciesResolvedUntil: 0, ...NO_OBSERVATIONS }
      : own;
    this.network.onMessage?.(from, 'peers', `status ${Buffer.from(encodeStatus(status)).toString('hex')}`);
    for (const [to, other] of this.#controllers) {
      if (to === from || this.network.isPartitioned(from, to)) continue;
      if (!other.clock.alive || this.arePeersRefused()) {
        if (reportsLinks) this.#reportLinkState(controller, to, 'refused');
        continue;
      }
      if (reportsLinks) this.#reportLinkState(controller, to, 'up');
      this.network.send(from, to, () => {
        if (!this.arePeersRefused()) other.clock.awake(() => other.node.onPeer(status));
      });
    }
  }

  /** Sends an intake message over a connection that preserves the order; returns false if there is none. */
  #sendIntake(from: string, to: string, message: IntakeMessage): boolean {
    const link = this.#findLink(from, to);
    if (link === null) return false;
    this.intakeMessages += 1;
    if (this.dropsIntake) return true;
    // Values cross the wire: processes must not share objects.
    this.#sendFrame(link, 'intake', encodeIntake(message));
    return true;
  }

  /** Sends a message about the start fence over the same connection. */
  #sendStartFence(from: string, to: string, message: StartFenceMessage): boolean {
    const link = this.#findLink(from, to);
    // Versions without the start fence have no `onStartFence`; the benchmark simulates them as well.
    if (link === null || !('onStartFence' in link.other.node)) return false;
    this.#sendFrame(link, 'start fence', encodeStartFence(message));
    return true;
  }

  /** The connection between two nodes of this version; null: there is none. */
  #findLink(from: string, to: string): Link | null {
    const own = this.#controllers.get(from);
    const other = this.#controllers.get(to);
    if (own === undefined || other === undefined || !own.clock.alive || !other.clock.alive) return null;
    if (this.arePeersRefused() || own.earlier || other.earlier) return null;
    return { from, to, own, other };
  }

  #sendFrame({ from, to, own, other }: Link, what: string, frame: Uint8Array): void {
    // A lost message leaves a gap in the sequence; all others arrive in order, each with those queued before it.
    if (this.network.isInboundBlocked(to)) return;
    const queue = own.sent.get(other) ?? [];
    own.sent.set(other, queue);
    this.network.onMessage?.(from, to, `${what} ${Buffer.from(frame).toString('hex')}`);
    queue.push(frame);
    this.network.send(from, to, () => {
      const due = queue.splice(0, queue.indexOf(frame) + 1);
      if (this.arePeersRefused()) return;
      const reader = new PeerMessageReader(
        (received) => other.node.onIntake(received),
        (received) => other.node.onStartFence(received),
      );
      for (const next of due) other.clock.awake(() => reader.push(next));
    });
    this.#copyFrame(to, frame);
  }

  /** Delivers a late copy of some frames to whatever process runs on the node by then. */
  #copyFrame(to: string, frame: Uint8Array): void {
    const { frameCopyShare = 0 } = this.options;
    if (frameCopyShare === 0 || this.draw() >= frameCopyShare) return;
    this.clock.in(MAX_FRAME_COPY_DELAY_MS * this.draw() ** 2, () => {
      const receiver = this.#controllers.get(to);
      if (receiver?.clock.alive !== true) return;
      this.frameCopies += 1;
      const reader = new PeerMessageReader(
        (received) => receiver.node.onIntake(received),
        (received) => receiver.node.onStartFence(received),
      );
      receiver.clock.awake(() => reader.push(frame));
    });
  }

  /** A randomly drawn running node, or null if there is none. */
  #drawRunningNode(): ControllerProcess | null {
    const alive = [...this.#controllers.values()].filter(({ clock }) => clock.alive);
    return alive[Math.floor(this.draw() * alive.length)] ?? null;
  }

  /** Sends a request of a user and checks the response; returns the stage of the job, or null without success. */
  async #request(
    kind: 'submit' | 'show' | 'withdraw',
    id: string,
    body: object,
    at?: string,
  ): Promise<string | null> {
    const controller = at === undefined ? this.#drawRunningNode() : (this.#controllers.get(at) ?? null);
    if (controller === null || !controller.clock.alive) return null;
    const { users } = controller.node;
    const requestedAt = this.clock.now;
    this.checker.recordRequest(id, requestedAt);
    const node = NODES[[...this.#controllers.values()].indexOf(controller)] ?? '';
    const { onMessage } = this.network;
    onMessage?.('user', node, `${kind} ${id} ${JSON.stringify(body)}`);
    const call = kind === 'submit' ? users.submit(body) : kind === 'show' ? users.show(id) : users.cancel(id);
    const response = await Promise.race([call, this.clock.sleep(5000).then(() => null)]);
    if (response === null || !controller.clock.alive) return null;
    const responseBody = JSON.parse(JSON.stringify(response.body)) as { stage?: string };
    onMessage?.(node, 'user', `${kind} ${id} ${response.status} ${JSON.stringify(response.body)}`);
    this.checker.recordResponse(id, response.status, responseBody, this.clock.now, kind, requestedAt);
    if (response.status >= 300) return null;
    const { stage = null } = responseBody;
    const previous = this.#notedStages.get(id);
    if (stage !== null && (previous === undefined || this.#isFinal(stage)) && previous !== stage) {
      this.#notedStages.set(id, stage);
      this.#readAfterWrite(id, stage);
    }
    return stage;
  }

  #isFinal(stage: string): boolean {
    return stage === 'done' || stage === 'withdrawn';
  }

  /** Sends a status query for a job; returns its stage, or null without a successful response. */
  queryStage(id: string, at?: string): Promise<string | null> {
    return this.#request('show', id, {}, at);
  }

  /** Advances the clock until a promise is settled. */
  async until<T>(promise: Promise<T>): Promise<T> {
    let settled = false;
    void promise.finally(() => (settled = true));
    while (!settled) await this.clock.runUntil(this.clock.now + 10);
    return promise;
  }

  /** Sends a request to cancel a job to one controller; returns whether the cancellation was confirmed. */
  async cancel(id: string, at: string): Promise<boolean> {
    this.checker.recordCancellationRequest(id);
    return (await this.#request('withdraw', id, {}, at)) === 'withdrawn';
  }

  /** Submits a job until it is accepted, then polls it; cancels it after `cancelAfterMs` unless that is null. */
  async simulateUser(job: SubmittedJob, cancelAfterMs: number | null): Promise<void> {
    this.checker.recordSubmission(job);
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
      expectedS: (this.runtimes.get(job.id) ?? [5000, 0])[0] / 1000,
      bookmarkS: job.bookmarkS ?? 0,
      bookmarkWriteS: job.bookmarkS === undefined ? 0 : 0.5,
      curtainS: job.bookmarkS === undefined ? 60 : null,
      awaits: job.awaits ?? null,
    };
    this.#submissions.set(job.id, body);
    while ((await this.#request('submit', job.id, body)) === null) await this.clock.sleep(1000);
    this.accepted.add(job.id);
    let cancelAt = cancelAfterMs === null ? Infinity : this.clock.now + cancelAfterMs;
    for (;;) {
      await this.clock.sleep(1000 + 2000 * this.draw());
      if (this.draw() < 0.1) await this.#request('submit', job.id, body);
      if (this.clock.now >= cancelAt) {
        this.checker.recordCancellationRequest(job.id);
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

/** The load of a simulated run. */
export interface RunSize {
  readonly jobs: number;
  readonly maxTasks: number;
  readonly machines: number;
  readonly pipelines?: number;
  readonly pipelinesFromMs?: number;
  /** Faults seen in production: one-way partitions, instant restarts, isolated leaders, faulty jobs. */
  readonly productionFaults?: boolean;
}

const SMALL_RUN: RunSize = { jobs: 14, maxTasks: 6, machines: 6 };

/**
 * Submits the jobs of one DAG, each when its dependencies are accepted: a chain with branches. One of the jobs may
 * be cancelled, and any but the first may be submitted up to 15 s late.
 */
export async function submitDag(simulation: Simulation, index: number, maxTasks: number): Promise<void> {
  const { draw, clock } = simulation;
  const ids: string[] = [];
  const length = 2 + Math.floor(draw() * 5);
  const cancelled = draw() < 0.4 ? Math.floor(draw() * length) : -1;
  for (let i = 0; i < length; i += 1) {
    const id = `req-${String(100_000 + 100 * index + i)}`;
    const dependencies = [...new Set([0, 1].map(() => ids[Math.floor(draw() * ids.length)]))];
    const awaits = dependencies.filter((dependency) => dependency !== undefined);
    if (i > 0 && draw() < 0.2) await clock.sleep(15_000 * draw());
    ids.push(id);
    const tasks = 1 + Math.floor(draw() * Math.min(6, maxTasks));
    const placement = { spot: draw() < 0.7, zone: null, oneZone: false, spread: false };
    const job: SubmittedJob = { id, team: 'crew', tasks, cpus: 1, memoryGb: 1, ...placement, awaits };
    void simulation.simulateUser(job, i === cancelled ? 20_000 * draw() : null);
    while (!simulation.accepted.has(id)) await clock.sleep(100);
  }
}

/** Draws a run: job arrivals, and faults of every kind that the protocol names. */
export function drawRun(simulation: Simulation, lengthMs: number, faults: number, size = SMALL_RUN): void {
  const { draw, clock, network, store, cloud } = simulation;
  const pick = <T>(from: readonly T[]): T => from[Math.floor(draw() * from.length)] as T;
  cloud.capacity = size.machines;
  for (let i = 0; i < size.jobs; i += 1) {
    const id = `req-${String(i).padStart(6, '0')}`;
    const job: SubmittedJob = {
      id,
      team: 'crew',
      tasks: 1 + Math.floor(draw() * size.maxTasks),
      cpus: pick([1, 2, 4]),
      memoryGb: 2,
      spot: draw() < 0.7,
      zone: draw() < 0.1 ? pick(['a', 'b']) : null,
      oneZone: draw() < 0.1,
      spread: draw() < 0.1,
    };
    const cancelAfter = draw() < 0.3 ? 20_000 * draw() : null;
    clock.in(lengthMs * 0.7 * draw(), () => {
      // The user of a faulty job cancels it after 90 s.
      void simulation.simulateUser(job, simulation.faultyJobs.has(id) ? 90_000 : cancelAfter);
    });
  }
  for (let i = 0; i < (size.pipelines ?? 0); i += 1)
    clock.in(
      (size.pipelinesFromMs ?? 0) + lengthMs * 0.6 * draw(),
      () => void submitDag(simulation, i, size.maxTasks),
    );
  const hosts = (): string[] => [...NODES, 'state', 'cloud', ...cloud.workers.keys()];
  const injections: (() => void)[] = [
    () => simulation.crash(Math.floor(draw() * 3), 1000 + 5000 * draw()),
    () => NODES.forEach((_, i) => simulation.crash(i, 4000)),
    () => network.partition(pick(NODES), 'state', 20_000 * draw()),
    () => network.partition(pick(NODES), 'cloud', 20_000 * draw()),
    () => store.outage(15_000 * draw()),
    () => store.refuse(pick(NODES), 20_000 * draw()),
    () => {
      const worker = pick([...cloud.workers.keys()]);
      for (const node of NODES) network.partition(worker, node, 25_000 * draw());
    },
    () => {
      const worker = cloud.workers.get(pick([...cloud.workers.keys()]));
      worker?.pause(25_000 * draw());
    },
    () => {
      const worker = pick([...cloud.workers.keys()]);
      if (worker !== undefined) cloud.terminate(worker);
    },
    () => {
      const worker = cloud.workers.get(pick([...cloud.workers.keys()]));
      if (worker !== undefined) worker.isFaulty = true;
    },
    () => network.partition(pick(hosts()), pick(hosts()), 30_000 * draw()),
    () => {
      const isolated = pick(NODES);
      for (const host of hosts())
        if (host !== isolated && draw() < 0.6) network.partition(isolated, host, 25_000 * draw());
    },
    () => {
      // Isolates a node, possibly the leader, from the store, the cloud and its peers; workers still reach it.
      const isolated = pick(NODES);
      const forMs = 80_000 * draw();
      for (const host of [...NODES, 'state', 'cloud'])
        if (host !== isolated) network.partition(isolated, host, forMs);
    },
    () => (cloud.unavailableUntil = clock.now + 15_000 * draw()),
    () => simulation.refusePeers(40_000 * draw()),
    () => simulation.pause(Math.floor(draw() * 3), 10_000 * draw()),
  ];
  const productionInjections: (() => void)[] = [
    () => network.blockInbound(pick([...cloud.workers.keys()]) ?? '', 40_000 * draw()),
    () => {
      for (const name of cloud.workers.keys()) if (draw() < 0.4) network.blockInbound(name, 20_000 * draw());
    },
    () => simulation.crash(Math.floor(draw() * 3), 20 + 80 * draw()),
    () => {
      // One node crashes and restarts four times in a row, and another once during that time.
      const node = Math.floor(draw() * 3);
      for (let i = 0; i < 4; i += 1) clock.in(700 * i, () => simulation.crash(node, 20 + 80 * draw()));
      clock.in(1000 * draw(), () => simulation.crash((node + 1) % 3, 20 + 80 * draw()));
    },
    () => {
      // Isolates the leader from all but the workers: refused by the store, partitioned from peers and cloud.
      const isolated = pick(simulation.leaders()) ?? pick(NODES);
      const forMs = 40_000 * draw();
      store.refuse(isolated, forMs);
      for (const other of NODES) if (other !== isolated) network.partition(isolated, other, forMs);
      network.partition(isolated, 'cloud', forMs);
    },
    () => network.blockInbound(pick(NODES), 8000 * draw()),
  ];
  if (size.productionFaults === true) {
    // Best-effort arrays, each with as many tasks as there are other jobs, that can be preempted for urgent jobs.
    for (let i = 0; i < 3; i += 1) {
      const placement = {
        spot: true,
        zone: null,
        oneZone: false,
        spread: false,
        bookmarkS: 2,
        jobClass: 'idle',
      };
      const id = `req-${String(500_000 + i)}`;
      const array = { id, team: 'crew', tasks: size.jobs, cpus: pick([2, 4]), memoryGb: 2, ...placement };
      clock.in(lengthMs * 0.4 * draw(), () => void simulation.simulateUser(array, null));
    }
    // For 15 s users poll many times as often.
    const pollOften = (untilMs: number): void => {
      for (const id of simulation.accepted) if (draw() < 0.3) void simulation.queryStage(id);
      if (clock.now < untilMs) clock.in(100, () => pollOften(untilMs));
    };
    clock.in(lengthMs * 0.6 * draw(), () => pollOften(clock.now + 15_000));
    injections.push(...productionInjections, ...productionInjections);
    for (let i = 0; i < size.jobs; i += 1)
      if (draw() < 0.12) simulation.faultyJobs.add(`req-${String(i).padStart(6, '0')}`);
  }
  for (let i = 0; i < faults; i += 1) clock.in(5000 + lengthMs * 0.8 * draw(), () => pick(injections)());
}
