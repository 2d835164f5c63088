/** One controller: the command loop, and around it the roles, the election, the exchange with peers and the users' API. */
import { Admission } from '../adapters/admission.js';
import type { PeerTraffic } from '../adapters/peer-links.js';
import { UserRequests } from '../adapters/user-requests.js';
import { FORMAT, LEADER_KEY, type LeaderRecord } from '../core/persistence/index.js';
import { createState } from '../core/create-state.js';
import { describeLeaderView } from '../observability/status-page.js';
import { LatencyHistograms } from '../observability/latency.js';
import { EventCounter } from '../observability/logging.js';
import { createElection, type ElectionResult } from '../membership/election.js';
import type { LeadershipTransfer } from '../membership/membership.js';
import type { LinkState } from '../membership/status.js';
import { createCoreConfig } from '../config/core-config.js';
import { strictestLimits, timing, type PlatformSettings } from '../config/settings.js';
import { upgradedLayout } from '../config/record-layout.js';
import { releasableCommands } from '../core/fleet/index.js';
import type { Heartbeat } from '../core/types.js';
import type { IntakeMessage } from '../wire/intake.js';
import type { PeerStatus } from '../wire/peers.js';
import type { StartFenceMessage } from '../wire/start-fence.js';
import { encodeRedirect, encodeReply, parseHeartbeat } from '../wire/workers.js';
import { FormatUpgrade } from './format-upgrade.js';
import { SharedHeartbeats } from './shared-heartbeats.js';
import { HeartbeatIntake } from './heartbeat-intake.js';
import { PeerExchange } from './peer-exchange.js';
import { FailureDetector } from './failure-detector.js';
import { CommandLoop } from './command-loop.js';
import { LeaderRole } from './leader-role.js';
import { FollowerRole } from './follower-role.js';
import { ElectionDriver } from './election-driver.js';
import { EffectExecutor } from './effect-executor.js';
import { FallbackResponder } from './fallback-responder.js';
import { StartFence } from './start-fence.js';
import { storeContactAgeMs, type ControllerContext, type Ports, type LeadershipView } from './context.js';

export type { Ports };

/** Followers get a snapshot at every second tick, as often as controllers exchange their status. */
const TICKS_PER_SNAPSHOT = 2;

const BYTES_PER_KB = 1024;
/** Delay, in ticks, before a node that is not preferred as the leader, or is isolated, campaigns: others go first. */
const CAMPAIGN_DELAY_TICKS = 4;
const ISOLATED_CAMPAIGN_DELAY_TICKS = 8;

/**
 * Owns the parts of a controller and connects them. The owner of the links to other controllers sets
 * `broadcastStatus`, `sendIntake`, `sendStartFence` and `peerTraffic`.
 */
export class ControllerNode {
  readonly users: UserRequests;
  readonly latencies = new LatencyHistograms();
  readonly admission: Admission;
  /** Counts malformed input by kind: heartbeats, peer messages and requests of users. */
  readonly malformed = new EventCounter();
  readonly #context: ControllerContext;
  readonly #peers: PeerExchange;
  readonly #leaderRole: LeaderRole;
  readonly #followerRole: FollowerRole;
  readonly #election: ElectionDriver;
  readonly #upgrade: FormatUpgrade;
  readonly #intake: HeartbeatIntake;
  readonly #sharedHeartbeats: SharedHeartbeats;
  readonly #executor: EffectExecutor;
  readonly #startFence: StartFence;
  /** Sends the changed status to the other controllers; set by the owner of the links. */
  broadcastStatus: () => void = () => undefined;
  /** Sends a message about shared heartbeats; false: it cannot be sent. Set by the owner of the links. */
  sendIntake: (to: string, message: IntakeMessage) => boolean = () => false;
  /** Sends a message about the start fence; false: it cannot be sent. Set by the owner of the links. */
  sendStartFence: (to: string, message: StartFenceMessage) => boolean = () => false;
  /** The traffic sent to the other controllers; set by the owner of the links. */
  peerTraffic: () => PeerTraffic = () => ({ sentMessages: 0, sentBytes: 0 });
  readonly #failureDetector: FailureDetector;
  #ticks = 0;
  /** Revision of the crashed leader's record that this node last sought to replace, and the term it last transferred. */
  #replacedRevision = 0;
  #transferredTerm = 0;

  constructor(settings: PlatformSettings, ports: Ports) {
    const commands = new CommandLoop(
      createState(settings.host_name, createCoreConfig(settings, ports.policy)),
      ports.clock,
      ports.log,
      (effect) => this.#executor.execute(effect),
      ({ elapsedMs, cpuMs }) =>
        this.#failureDetector.membership.processingRate.record(elapsedMs, cpuMs, ports.clock.monotonicMs()),
    );
    const leadershipView: LeadershipView = {
      leader: null,
      leaderRevision: 0,
      highestTerm: 0,
      leadingTerm: 0,
    };
    this.#context = { settings, timing: timing(settings), ports, commands, leadershipView };
    const responder = this.#createResponder();
    this.#executor = this.#createExecutor();
    this.#failureDetector = this.#createFailureDetector();
    this.#peers = this.#createPeerExchange(responder);
    this.#leaderRole = new LeaderRole(this.#context, this.#peers, this.#failureDetector);
    this.#followerRole = new FollowerRole(
      this.#context,
      this.#peers,
      this.#failureDetector,
      responder,
      (machine) => this.#intake.forgetWorker(machine),
    );
    this.#intake = this.#createIntake();
    this.#sharedHeartbeats = this.#createSharedHeartbeats();
    this.#election = this.#createElection();
    this.#startFence = this.#createStartFence();
    this.#upgrade = this.#createUpgrade();
    this.admission = this.#createAdmission();
    this.users = this.#createUsers();
  }

  get #maxClockSkewMs(): number {
    return 2 * this.#context.settings.cluster.clock_error_ms;
  }

  get #maxValueBytes(): number {
    return strictestLimits(this.#context.settings).value_kb * BYTES_PER_KB;
  }

  #createResponder(): FallbackResponder {
    const { settings, ports, timing: times } = this.#context;
    return new FallbackResponder(
      settings.host_name,
      ports.store,
      ports.clock,
      times,
      this.#maxValueBytes,
      this.#maxClockSkewMs,
    );
  }

  #createExecutor(): EffectExecutor {
    return new EffectExecutor(this.#context, {
      resolveDependencies: (ids) => void this.#leaderRole.resolveDependencies(ids),
      reconcile: (id, jobs, chunks) => void this.#leaderRole.reconcile(id, jobs, chunks),
      announceAttention: (machines) => this.#sharedHeartbeats.announceAttention(machines),
      startsFenced: (revision) => this.#startFence.onPromised(revision),
      steppedDown: (reason) => this.#onSteppedDown(reason),
    });
  }

  #createFailureDetector(): FailureDetector {
    return new FailureDetector(this.#context, {
      replaceCrashedLeader: () => this.#replaceCrashedLeader(),
      transferLeadership: (to) => void this.#transferLeadership(to),
      broadcastStatus: () => this.broadcastStatus(),
      preferredLeaders: () => this.#leaderRole.preferredLeaders,
    });
  }

  #createPeerExchange(responder: FallbackResponder): PeerExchange {
    return new PeerExchange(
      this.#context,
      () => responder.answeredMachines(),
      () => this.#intake.isActive,
      (snapshot) => responder.receiveSnapshot(snapshot),
      () => this.#failureDetector.localStatus(),
    );
  }

  #createIntake(): HeartbeatIntake {
    const { settings, ports, timing: times } = this.#context;
    return new HeartbeatIntake({
      clock: ports.clock,
      timing: times,
      node: settings.host_name,
      incarnation: ports.incarnation,
      maxClockSkewMs: this.#maxClockSkewMs,
      followedLeader: () => this.#followedLeader(),
      startFence: () => this.#context.commands.state.startFence,
      send: (to, message) => this.sendIntake(to, message),
      encodeAnswer: encodeReply,
      encodeRedirect,
      answerWithoutLeader: (heartbeat, respond) => this.#followerRole.answerWithoutLeader(heartbeat, respond),
      route: (heartbeat, respond) => this.#followerRole.answer(heartbeat, respond),
    });
  }

  /** The leader that this node follows, and its term; null: none is known, or this node leads. */
  #followedLeader(): { leader: string; term: number } | null {
    const { commands, leadershipView, settings } = this.#context;
    const { leader, highestTerm } = leadershipView;
    if (commands.state.leadership !== null || leader === null || leader === settings.host_name) return null;
    return { leader, term: highestTerm };
  }

  #createSharedHeartbeats(): SharedHeartbeats {
    return new SharedHeartbeats(this.#context, {
      candidates: () => this.#followers(),
      isAccepting: (node) => this.#peers.isAcceptingHeartbeats(node),
      send: (to, message) => this.sendIntake(to, message),
      submitHeartbeat: (heartbeat, ageMs, answer) =>
        this.#executor.submitHeartbeat(heartbeat, ageMs, (reply) =>
          answer({
            isAccepted: reply.kind === 'commands',
            needsAttention: this.#needsAttention(heartbeat.machine),
            commands: reply.kind === 'commands' ? reply.commands : [],
            startLease: reply.kind === 'commands' ? reply.startLease : undefined,
          }),
        ),
    });
  }

  #createElection(): ElectionDriver {
    const { settings, ports, timing: times } = this.#context;
    const delayMs = this.#leaderRole.isPreferredLeader ? 0 : CAMPAIGN_DELAY_TICKS * times.tickMs;
    return new ElectionDriver(
      createElection(settings.host_name, ports.incarnation, times, delayMs),
      ports.store,
      ports.clock,
      {
        onElected: (result) => this.#onElected(result),
        onLost: () => this.#onLeadershipLost(),
        onLeaderObserved: (leader, modRevision) => this.#onLeaderObserved(leader, modRevision),
      },
      () => this.#campaignDelayMs(),
    );
  }

  /** How long this node lets others campaign first, in milliseconds. */
  #campaignDelayMs(): number {
    const { tickMs } = this.#context.timing;
    // No worker reaches an isolated node: as the leader it would let their leases expire.
    if (this.#failureDetector.isIsolated) return ISOLATED_CAMPAIGN_DELAY_TICKS * tickMs;
    // Where no preferred peer is left, a delay would only bring leases closer to their expiry.
    return this.#leaderRole.hasPreferredPeer() ? CAMPAIGN_DELAY_TICKS * tickMs : 0;
  }

  #onElected(result: ElectionResult): void {
    this.#failureDetector.membership.clearUnexpectedReports();
    void this.#leaderRole.takeLeadership(result);
  }

  #onLeadershipLost(): void {
    this.#context.leadershipView.leadingTerm = 0;
    this.#context.commands.push({ kind: 'resign', reason: 'another may lead' });
  }

  #onLeaderObserved(leader: LeaderRecord | null, modRevision: number): void {
    const { leadershipView } = this.#context;
    if (leader !== null && leader.term > leadershipView.highestTerm)
      this.#failureDetector.membership.clearUnexpectedReports();
    leadershipView.leader = leader?.node ?? null;
    leadershipView.leaderRevision = modRevision;
    leadershipView.highestTerm = Math.max(leadershipView.highestTerm, leader?.term ?? 0);
  }

  #createStartFence(): StartFence {
    const { settings, ports, commands, timing: times } = this.#context;
    return new StartFence({
      clock: ports.clock,
      log: ports.log,
      node: settings.host_name,
      peers: settings.others.map(({ host_name }) => host_name),
      retryIntervalMs: times.tickMs,
      // Controllers that do not read the format in force send starts for as long as they may answer workers.
      maxStartLeaseMs: () =>
        this.#upgrade.record === null
          ? Math.max(times.leaderLeaseMs, times.authorityWindowMs)
          : times.leaderLeaseMs,
      promise: (revision) => commands.push({ kind: 'fenceStarts', revision }),
      send: (to, message) => this.sendStartFence(to, message),
      forwarders: () => this.#sharedHeartbeats.forwarders(),
      readElectedLeader: () => this.#election.readElectedLeader(),
      acknowledgedTerm: (peer) => this.#peers.acknowledgedTerm(peer),
    });
  }

  #createUpgrade(): FormatUpgrade {
    const { settings, ports, commands, timing: times } = this.#context;
    return new FormatUpgrade({
      settings,
      store: ports.store,
      clock: ports.clock,
      pollIntervalMs: 2 * times.maxHeartbeatIntervalMs,
      termRevision: () => commands.state.leadership?.modRevision ?? null,
      hasEarlierVersionPeer: () => this.#peers.hasPeerOfEarlierFormat(),
      onAdopted: (record) => {
        ports.log.info(record, 'storage format upgraded');
        ports.store.applyLimits(strictestLimits(settings));
        commands.push({ kind: 'adoptLayout', layout: upgradedLayout(settings, record) });
      },
    });
  }

  /** Admits as many requests as the store can answer within a quarter of a request's timeout. */
  #createAdmission(): Admission {
    const { settings, ports, timing: times } = this.#context;
    return new Admission(ports.clock, (settings.cluster.state.rps * times.storeTimeoutMs) / 4000);
  }

  #createUsers(): UserRequests {
    const { settings, ports, commands, timing: times } = this.#context;
    const { txn_ops, rps } = strictestLimits(settings);
    return new UserRequests({
      requestsPerSecond: rps,
      maxValueBytes: this.#maxValueBytes,
      maxPreconditions: 4 * txn_ops,
      supportsDependencies: async () => (await this.#upgrade.refresh()) !== null,
      hasPropagatedCancellations: () => this.#peers.areDependenciesResolved(),
      store: ports.store,
      clock: ports.clock,
      fence: this.#startFence,
      teams: commands.state.config.teams,
      requestTimeoutMs: times.storeTimeoutMs,
      machineTypes: () => commands.state.machineTypes,
      taskCounts: (id) => this.#peers.countOf(id),
    });
  }

  /** Starts the election and the loops; they run as long as the process. */
  start(): void {
    const { settings, ports } = this.#context;
    this.#election.dispatch({ kind: 'start' });
    this.#leaderRole.start();
    void this.#runTickLoop();
    void this.#runContactLoop();
    void this.#upgrade.run();
    ports.log.info({ node: settings.host_name, incarnation: ports.incarnation }, 'controller started');
  }

  /** The status message for the other controllers. */
  status(): PeerStatus {
    return this.#peers.status();
  }

  /** The connection to another controller has changed its state. */
  onLink(node: string, link: LinkState): void {
    this.#failureDetector.onLink(node, link);
    if (link !== 'up') this.#intake.onLinkLost(node);
  }

  /** Processes another controller's status. */
  onPeer(status: PeerStatus): void {
    // A delayed message of an earlier incarnation is no evidence about the current one.
    const now = this.#context.ports.clock.monotonicMs();
    if (!this.#failureDetector.membership.acceptIncarnation(status, now)) return;
    this.#peers.onPeer(status);
    this.#failureDetector.onPeer(status);
    this.#startFence.onStatus();
  }

  /** Processes a message about shared heartbeats from another controller. */
  onIntake(message: IntakeMessage): void {
    if (!this.#failureDetector.membership.isCurrentIncarnation(message)) return;
    const { leadershipView, commands } = this.#context;
    if (message.kind === 'heartbeats') this.#sharedHeartbeats.receive(message);
    else if (commands.state.leadership === null && message.term >= leadershipView.highestTerm) {
      leadershipView.highestTerm = message.term;
      leadershipView.leader = message.node;
      this.#intake.receive(message);
    }
  }

  /** Processes another controller's message about the start fence, which holds for any incarnation of its sender. */
  onStartFence(message: StartFenceMessage): void {
    this.#startFence.receive(message);
  }

  /** Followers that may accept heartbeats: in contact, with the link up and with timers that fire in time. */
  #followers(): { node: string; zone: string }[] {
    const { clock } = this.#context.ports;
    const { membership } = this.#failureDetector;
    return this.#context.settings.others
      .filter(({ host_name }) => membership.isKeepingUp(host_name, clock.monotonicMs()))
      .map(({ host_name, zone }) => ({ node: host_name, zone }));
  }

  #needsAttention(name: string): boolean {
    const { machines, attention } = this.#context.commands.state;
    const machine = machines.get(name);
    return machine !== undefined && attention.has(machine);
  }

  /** Number of machines that this node knows as the leader; 0: it does not lead. */
  get machineCount(): number {
    const { leadership, machines } = this.#context.commands.state;
    return leadership === null ? 0 : machines.size;
  }

  /** The scheduling state, for checks of simulated runs. */
  core(): unknown {
    return this.#context.commands.state;
  }
  /** Whether the load balancer should send users to this node. */
  ready(): boolean {
    return this.#peers.isReady();
  }

  /**
   * Reads from the key-value store often enough to know whether it answers this node. A follower without user requests
   * would otherwise get an answer only when its long watch ends, and would conclude that the store refuses it while it
   * answers the leader. Also starts the transfer of the leadership to a preferred peer that is available again.
   */
  async #runContactLoop(): Promise<void> {
    const intervalMs = this.#context.timing.storeTimeoutMs / 2;
    for (;;) {
      await this.#context.ports.clock.sleep(intervalMs);
      if (storeContactAgeMs(this.#context) >= intervalMs) await this.#context.ports.store.read(LEADER_KEY);
      const to = this.#leaderRole.preferredSuccessor();
      if (to !== null && this.#failureDetector.isEligibleSuccessor(to))
        void this.#transferLeadership({ to, reason: 'a preferred leader is available again' });
    }
  }

  async #runTickLoop(): Promise<void> {
    const { clock } = this.#context.ports;
    const { tickMs, workerLeaseMs } = this.#context.timing;
    let flushedAt = clock.monotonicMs();
    for (;;) {
      const from = clock.monotonicMs();
      if (from - flushedAt > workerLeaseMs) {
        this.malformed.flush(this.#context.ports.log, 'malformed input received');
        flushedAt = from;
      }
      await clock.sleep(tickMs);
      this.#failureDetector.tick(Math.max(0, clock.monotonicMs() - from - tickMs));
      const { isStalled, isOverloaded } = this.#failureDetector;
      this.#context.commands.push({ kind: 'tick', isStalled, isOverloaded });
      this.#exchangeHeartbeats();
    }
  }

  /**
   * As the leader, answers the heartbeats still pending from its time as a follower, and sends followers the snapshots
   * on which their answers are based. As a follower, sends the leader the heartbeats and keepalives it has collected.
   */
  #exchangeHeartbeats(): void {
    if (this.#context.commands.state.leadership === null) {
      this.#intake.flush();
      return;
    }
    for (const { heartbeat, respond } of this.#intake.takePending()) this.#answerAsLeader(heartbeat, respond);
    this.#ticks += 1;
    if (this.#ticks % TICKS_PER_SNAPSHOT === 0) this.#sharedHeartbeats.sendSnapshots();
  }

  /** Every crash rule holds for the leader: its record may be replaced before its lease expires. */
  #replaceCrashedLeader(): void {
    const { leader, leaderRevision } = this.#context.leadershipView;
    if (this.#replacedRevision === leaderRevision) return;
    this.#replacedRevision = leaderRevision;
    this.#context.ports.log.info({ leader }, 'leader failure detected');
    void this.#campaignEarly(leaderRevision);
  }

  /**
   * Campaigns against a crashed leader's record. A node that is not preferred waits half a tick if a preferred peer is
   * available: if elected first, it would soon transfer the leadership.
   */
  async #campaignEarly(modRevision: number): Promise<void> {
    const { clock } = this.#context.ports;
    if (this.#leaderRole.hasPreferredPeer()) await clock.sleep(this.#context.timing.tickMs / 2);
    this.#election.dispatch({ kind: 'replaceCrashedLeader', modRevision });
  }

  /** Transfers the leadership: nothing new is begun, pending writes are committed, then the successor is named. */
  async #transferLeadership({ to, reason }: LeadershipTransfer): Promise<void> {
    const { commands, ports } = this.#context;
    const { leadership } = commands.state;
    if (leadership === null || this.#transferredTerm === leadership.term) return;
    this.#transferredTerm = leadership.term;
    ports.log.info({ to, why: reason }, 'leadership transfer started');
    await this.#leaderRole.drainForTransfer();
    if (commands.state.leadership?.term === leadership.term)
      this.#election.dispatch({ kind: 'transferLeadership', to });
  }

  /** The status page; the brief one leaves out what requires a pass over jobs and machines. */
  describe(brief = false): object {
    const { state } = this.#context.commands;
    const now = {
      monotonicMs: this.#context.ports.clock.monotonicMs(),
      epochMs: this.#context.ports.clock.epochMs(),
    };
    return {
      node: this.#context.settings.host_name,
      leader:
        state.leadership === null ? this.#context.leadershipView.leader : this.#context.settings.host_name,
      term: this.#peers.term(),
      stateAgeMs: storeContactAgeMs(this.#context),
      ready: this.ready(),
      peers: this.#failureDetector.describe(),
      format: { reads: FORMAT, inForce: this.#upgrade.record?.format ?? 1 },
      latencyMs: this.latencies.describe(),
      peerTraffic: this.peerTraffic(),
      sharedReports: {
        ...this.#sharedHeartbeats.describe(),
        forwarded: this.#intake.forwarded,
        answered: this.#intake.answered,
      },
      ...(brief || state.leadership === null ? {} : { lead: describeLeaderView(state, now) }),
    };
  }

  /** Handles a heartbeat as received; a malformed one is answered with status 400. */
  handleHeartbeat(body: unknown, done: (status: number, body: string) => void): void {
    const heartbeat = parseHeartbeat(body);
    if (heartbeat === null) {
      this.malformed.count('reports');
      done(400, '{"error":"malformed report"}');
    } else this.#routeHeartbeat(heartbeat, done);
  }

  #routeHeartbeat(heartbeat: Heartbeat, done: (status: number, body: string) => void): void {
    if (this.#context.commands.state.leadership === null) {
      this.#failureDetector.recordWorkerContact();
      if (!this.#intake.accept(heartbeat, done)) this.#followerRole.answer(heartbeat, done);
      return;
    }
    const follower = this.#sharedHeartbeats.redirect(heartbeat);
    if (follower !== null) {
      done(421, encodeRedirect(follower));
      return;
    }
    this.#sharedHeartbeats.recordDirect(heartbeat.machine);
    this.#answerAsLeader(heartbeat, done);
  }

  #answerAsLeader(heartbeat: Heartbeat, done: (status: number, body: string) => void): void {
    const receivedAt = this.#context.ports.clock.monotonicMs();
    this.#executor.submitHeartbeat(heartbeat, 0, (reply) => {
      this.latencies.record('report', this.#context.ports.clock.monotonicMs() - receivedAt);
      if (reply.kind === 'commands') {
        const now = this.#context.ports.clock.monotonicMs();
        done(200, encodeReply(reply.token, releasableCommands(reply.commands, reply.startLease, now)));
        return;
      }
      // This node may not answer as the leader. If it knows another leader, it redirects the worker there, so that
      // the worker need not try all controllers in turn.
      const { leader } = this.#context.leadershipView;
      const hasOtherLeader = leader !== null && leader !== this.#context.settings.host_name;
      done(hasOtherLeader ? 421 : 503, hasOtherLeader ? encodeRedirect(leader) : '{}');
    });
  }

  #onSteppedDown(reason: string): void {
    const { leadershipView, ports, settings } = this.#context;
    this.#sharedHeartbeats.clear();
    ports.log.info({ reason }, 'leader stepped down');
    if (leadershipView.leader === settings.host_name) leadershipView.leader = null;
    leadershipView.leadingTerm = 0;
    this.#election.dispatch({ kind: 'resign' });
  }
}
