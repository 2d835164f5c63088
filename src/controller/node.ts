/** One controller: the owner, and the parts around it that lead, follow, talk with peers and serve users. */
import { Admission } from '../adapters/admission.js';
import type { PeerTraffic } from '../adapters/peers.js';
import { Users } from '../adapters/users.js';
import { storeContactAgeMs, type ControllerContext, type Ports, type LeadershipView } from './context.js';
import { FORMAT, LEADER_KEY } from '../core/persistence/index.js';
import type { Effect, Reply } from '../core/effects.js';
import { createState } from '../core/create-state.js';
import { FallbackResponder } from './fallback-responder.js';
import { describeLead } from '../describe.js';
import { ElectionDriver } from './election-driver.js';
import { FollowerRole } from './follower-role.js';
import { Latencies } from '../latency.js';
import { LeaderRole } from './leader-role.js';
import { Tally } from '../logging.js';
import { CommandLoop } from './command-loop.js';
import { FailureDetector } from './failure-detector.js';
import { PeerExchange } from './peer-exchange.js';
import { HeartbeatIntake } from './heartbeat-intake.js';
import { SharedHeartbeats } from './shared-heartbeats.js';
import { createElection } from '../membership/election.js';
import type { Resignation } from '../membership/membership.js';
import type { LinkState } from '../membership/status.js';
import { rulesFor } from '../rules.js';
import { lastingLimits, timing, type PlatformSettings } from '../settings.js';
import { lastingLayout, Upgrade } from '../upgrade.js';
import type { Heartbeat } from '../core/types.js';
import type { IntakeMessage } from '../wire/intake.js';
import type { PeerStatus } from '../wire/peers.js';
import { encodeRedirect, encodeReply, parseReport } from '../wire/workers.js';

export type { Ports };

/** Followers are told the whole at every second tick, as controllers tell one another their status. */
const TICKS_A_SNAPSHOT = 2;

export class ControllerNode {
  readonly users: Users;
  readonly latencies = new Latencies();
  readonly admission: Admission;
  /** What came in that could not be read, by what it should have been. */
  readonly malformed = new Tally();
  readonly #common: ControllerContext;
  readonly #peering: PeerExchange;
  readonly #leading: LeaderRole;
  readonly #following: FollowerRole;
  readonly #election: ElectionDriver;
  readonly #upgrade: Upgrade;
  readonly #intake: HeartbeatIntake;
  readonly #shared: SharedHeartbeats;
  readonly #replies = new Map<number, (reply: Reply) => void>();
  /** Tells the other controllers what has changed; set by whoever has the links. */
  broadcastStatus: () => void = () => undefined;
  /** Sends a message about shared reports, false if it cannot be sent; set by whoever has the links. */
  sendIntake: (to: string, message: IntakeMessage) => boolean = () => false;
  /** What was written to the other controllers; set by whoever has the links. */
  peerTraffic: () => PeerTraffic = () => ({ sentMessages: 0, sentBytes: 0 });
  readonly #observing: FailureDetector;
  #nextReply = 1;
  #ticks = 0;
  /** Stamp of the leader's record that this node has stood against, and the term it last handed over. */
  #inherited = 0;
  #yielding = 0;

  constructor(settings: PlatformSettings, ports: Ports) {
    const { state, clock, log, incarnation } = ports;
    const times = timing(settings);
    const rules = rulesFor(settings, ports.policy);
    const owner = new CommandLoop(
      createState(settings.host_name, rules),
      clock,
      log,
      (effect) => this.#carryOut(effect),
      ({ steadyMs, processorMs }) =>
        this.#observing.membership.processingRate.record(steadyMs, processorMs, clock.monotonicMs()),
    );
    const standing: LeadershipView = { leader: null, leaderRevision: 0, highestTerm: 0, leadingTerm: 0 };
    this.#common = { settings, timing: times, ports, commands: owner, leadershipView: standing };
    const { value_kb, txn_ops, rps } = lastingLimits(settings);
    const deputy = new FallbackResponder(
      settings.host_name,
      state,
      clock,
      times,
      value_kb * 1024,
      2 * settings.cluster.clock_error_ms,
    );
    this.#observing = new FailureDetector(this.#common, {
      replaceCrashedLeader: () => this.#inherit(),
      transferLeadership: (to) => void this.#handOver(to),
      broadcastStatus: () => this.broadcastStatus(),
      preferredLeaders: () => this.#leading.preferredLeaders,
    });
    this.#peering = new PeerExchange(
      this.#common,
      () => deputy.answeredMachines(),
      () => this.#intake.isActive,
      (view) => deputy.receiveSnapshot(view),
      () => this.#observing.localStatus(),
    );
    this.#leading = new LeaderRole(this.#common, this.#peering, this.#observing);
    this.#following = new FollowerRole(this.#common, this.#peering, this.#observing, deputy, (machine) =>
      this.#intake.forgetWorker(machine),
    );
    this.#intake = new HeartbeatIntake({
      clock,
      timing: times,
      node: settings.host_name,
      incarnation,
      maxClockSkewMs: 2 * settings.cluster.clock_error_ms,
      followedLeader: () => {
        const { leader, highestTerm } = standing;
        const leads = owner.state.leadership !== null;
        return leads || leader === null || leader === settings.host_name
          ? null
          : { leader, term: highestTerm };
      },
      send: (to, message) => this.sendIntake(to, message),
      encodeAnswer: encodeReply,
      encodeRedirect,
      answerWithoutLeader: (report, done) => this.#following.answerWithoutLeader(report, done),
      route: (report, done) => this.#following.answer(report, done),
    });
    this.#shared = new SharedHeartbeats(this.#common, {
      candidates: () => this.#followers(),
      isAccepting: (node) => this.#peering.isAcceptingHeartbeats(node),
      send: (to, message) => this.sendIntake(to, message),
      push: (report, ageMs, answer) =>
        this.#pushReport(report, ageMs, (reply) =>
          answer({
            isAccepted: reply.kind === 'commands',
            needsAttention: this.#needsAttention(report.machine),
            commands: reply.kind === 'commands' ? reply.commands : [],
          }),
        ),
    });
    this.#election = new ElectionDriver(
      createElection(
        settings.host_name,
        incarnation,
        times,
        this.#leading.isPreferredLeader ? 0 : 4 * times.tickMs,
      ),
      state,
      clock,
      {
        onElected: (won) => {
          this.#observing.membership.clearUnexpectedReports();
          void this.#leading.takeLeadership(won);
        },
        onLost: () => {
          standing.leadingTerm = 0;
          owner.push({ kind: 'resign', reason: 'another may lead' });
        },
        onLeaderObserved: (leader, modRevision) => {
          if (leader !== null && leader.term > standing.highestTerm)
            this.#observing.membership.clearUnexpectedReports();
          standing.leader = leader?.node ?? null;
          standing.leaderRevision = modRevision;
          standing.highestTerm = Math.max(standing.highestTerm, leader?.term ?? 0);
        },
      },
      // Where no better placed node is left, waiting for one cost a second in which leases ran out.
      () => {
        // It would lead and hear nobody: elected again while its successor stood still, such a node cost
        // 1,787 tasks their lease.
        if (this.#observing.isIsolated) return 8 * times.tickMs;
        return this.#leading.hasPreferredPeer() ? 4 * times.tickMs : 0;
      },
    );
    this.#upgrade = new Upgrade({
      settings,
      state,
      clock,
      pause: 2 * times.maxHeartbeatIntervalMs,
      termRevision: () => owner.state.leadership?.modRevision ?? null,
      hearsEarlier: () => this.#peering.hasPeerOfEarlierFormat(),
      adopted: (record) => {
        log.info(record, 'every controller reads the new format');
        state.keepTo(lastingLimits(settings));
        owner.push({ kind: 'adoptLayout', layout: lastingLayout(settings, record) });
      },
    });
    // So many as the state service could answer within a quarter of what one request may take.
    this.admission = new Admission(clock, (settings.cluster.state.rps * times.storeTimeoutMs) / 4000);
    this.users = new Users({
      rps,
      valueBytes: value_kb * 1024,
      conditions: 4 * txn_ops,
      knowsPipelines: async () => (await this.#upgrade.look()) !== null,
      isSettled: () => this.#peering.areDependenciesResolved(),
      state,
      clock,
      teams: rules.teams,
      patience: times.storeTimeoutMs,
      types: () => owner.state.machineTypes,
      counts: (id) => this.#peering.countOf(id),
    });
  }

  start(): void {
    const { settings, ports } = this.#common;
    this.#election.dispatch({ kind: 'start' });
    this.#leading.start();
    void this.#keepTicking();
    void this.#keepContact();
    void this.#upgrade.run();
    ports.log.info({ node: settings.host_name, incarnation: ports.incarnation }, 'started');
  }

  status(): PeerStatus {
    return this.#peering.status();
  }

  onLink(node: string, link: LinkState): void {
    this.#observing.onLink(node, link);
    if (link !== 'up') this.#intake.onLinkLost(node);
  }

  onPeer(status: PeerStatus): void {
    // What a life that is over had to say, held back on the way, is no word of the present one.
    if (!this.#observing.membership.isCurrentIncarnation(status)) return;
    this.#peering.onPeer(status);
    this.#observing.onPeer(status);
  }

  /** A message about shared reports from another controller. */
  onIntake(message: IntakeMessage): void {
    if (!this.#observing.membership.isCurrentIncarnation(message)) return;
    const { leadershipView, commands } = this.#common;
    if (message.kind === 'heartbeats') this.#shared.receive(message);
    else if (commands.state.leadership === null && message.term >= leadershipView.highestTerm) {
      leadershipView.highestTerm = message.term;
      leadershipView.leader = message.node;
      this.#intake.receive(message);
    }
  }

  /** Followers that may take reports: heard, linked, keeping up. */
  #followers(): { node: string; zone: string }[] {
    const { clock } = this.#common.ports;
    const { membership } = this.#observing;
    return this.#common.settings.others
      .filter(({ host_name }) => membership.isKeepingUp(host_name, clock.monotonicMs()))
      .map(({ host_name, zone }) => ({ node: host_name, zone }));
  }

  #needsAttention(name: string): boolean {
    const { machines, attention } = this.#common.commands.state;
    const machine = machines.get(name);
    return machine !== undefined && attention.has(machine);
  }

  /** Machines that this node knows of as the leader; 0: it does not lead. */
  get machineCount(): number {
    const { leadership, machines } = this.#common.commands.state;
    return leadership === null ? 0 : machines.size;
  }

  core(): unknown {
    return this.#common.commands.state;
  }
  ready(): boolean {
    return this.#peering.isReady();
  }

  /**
   * Keeps the knowledge fresh whether the state service answers this node. A follower
   * without users would otherwise hear of it only as often as its long watch ends, and
   * take itself for refused while the leader is served.
   */
  async #keepContact(): Promise<void> {
    const often = this.#common.timing.storeTimeoutMs / 2;
    for (;;) {
      await this.#common.ports.clock.sleep(often);
      if (storeContactAgeMs(this.#common) >= often) await this.#common.ports.state.read(LEADER_KEY);
      const to = this.#leading.preferredSuccessor();
      if (to !== null && this.#observing.isEligibleSuccessor(to))
        void this.#handOver({ to, reason: 'a better placed node is back' });
    }
  }

  async #keepTicking(): Promise<void> {
    const { clock } = this.#common.ports;
    const { tickMs, workerLeaseMs } = this.#common.timing;
    let toldAt = clock.monotonicMs();
    for (;;) {
      const from = clock.monotonicMs();
      if (from - toldAt > workerLeaseMs) {
        this.malformed.tell(this.#common.ports.log, 'malformed');
        toldAt = from;
      }
      await clock.sleep(tickMs);
      this.#observing.tick(Math.max(0, clock.monotonicMs() - from - tickMs));
      const { isStalled, isOverloaded } = this.#observing;
      this.#common.commands.push({ kind: 'tick', isStalled, isOverloaded });
      this.#tellShared();
    }
  }

  /** A leader tells its followers what they may answer by; a follower tells its leader what it has answered. */
  #tellShared(): void {
    if (this.#common.commands.state.leadership === null) {
      this.#intake.flush();
      return;
    }
    for (const { heartbeat, respond } of this.#intake.takePending()) this.#answerAsLeader(heartbeat, respond);
    this.#ticks += 1;
    if (this.#ticks % TICKS_A_SNAPSHOT === 0) this.#shared.sendSnapshots();
  }

  /** The leader has crashed for all the evidence there is: its record may be replaced now. */
  #inherit(): void {
    const { leader, leaderRevision } = this.#common.leadershipView;
    if (this.#inherited === leaderRevision) return;
    this.#inherited = leaderRevision;
    this.#common.ports.log.info({ leader }, 'the leader has crashed, standing early');
    void this.#standEarly(leaderRevision);
  }

  /** A node that is not to lead lets one that is come first, if there is one: else it would hand over soon. */
  async #standEarly(modRevision: number): Promise<void> {
    const { clock } = this.#common.ports;
    if (this.#leading.hasPreferredPeer()) await clock.sleep(this.#common.timing.tickMs / 2);
    this.#election.dispatch({ kind: 'replaceCrashedLeader', modRevision });
  }

  /** Hands the leadership to another node: nothing is begun any more, all is written, the node named. */
  async #handOver({ to, reason }: Resignation): Promise<void> {
    const { commands, ports } = this.#common;
    const { leadership } = commands.state;
    if (leadership === null || this.#yielding === leadership.term) return;
    this.#yielding = leadership.term;
    ports.log.info({ to, why: reason }, 'hands over');
    await this.#leading.drainForTransfer();
    if (commands.state.leadership?.term === leadership.term)
      this.#election.dispatch({ kind: 'transferLeadership', to });
  }

  /** The status page; a brief one leaves out what takes a walk over jobs and machines. */
  describe(brief = false): object {
    const { state } = this.#common.commands;
    const now = {
      monotonicMs: this.#common.ports.clock.monotonicMs(),
      epochMs: this.#common.ports.clock.epochMs(),
    };
    return {
      node: this.#common.settings.host_name,
      leader:
        state.leadership === null ? this.#common.leadershipView.leader : this.#common.settings.host_name,
      term: this.#peering.term(),
      stateAgeMs: storeContactAgeMs(this.#common),
      ready: this.ready(),
      peers: this.#observing.describe(),
      format: { reads: FORMAT, inForce: this.#upgrade.record?.format ?? 1 },
      latencyMs: this.latencies.describe(),
      peerTraffic: this.peerTraffic(),
      sharedReports: {
        ...this.#shared.describe(),
        forwarded: this.#intake.forwarded,
        answered: this.#intake.answered,
      },
      ...(brief || state.leadership === null ? {} : { lead: describeLead(state, now) }),
    };
  }

  report(body: unknown, done: (status: number, body: string) => void): void {
    const report = parseReport(body);
    if (report === null) {
      this.malformed.note('reports');
      done(400, '{"error":"malformed report"}');
    } else this.#takeReport(report, done);
  }

  #takeReport(report: Heartbeat, done: (status: number, body: string) => void): void {
    if (this.#common.commands.state.leadership === null) {
      this.#observing.workerReached();
      if (!this.#intake.take(report, done)) this.#following.answer(report, done);
      return;
    }
    const follower = this.#shared.redirect(report);
    if (follower !== null) {
      done(421, encodeRedirect(follower));
      return;
    }
    this.#shared.recordDirect(report.machine);
    this.#answerAsLeader(report, done);
  }

  #answerAsLeader(report: Heartbeat, done: (status: number, body: string) => void): void {
    const from = this.#common.ports.clock.monotonicMs();
    this.#pushReport(report, 0, (reply) => {
      this.latencies.record('report', this.#common.ports.clock.monotonicMs() - from);
      if (reply.kind === 'commands') {
        done(200, encodeReply(reply.token, reply.commands));
        return;
      }
      // Handed over: whoever leads now is told, and found without trying the others in turn.
      const { leader } = this.#common.leadershipView;
      const elsewhere = leader !== null && leader !== this.#common.settings.host_name;
      done(elsewhere ? 421 : 503, elsewhere ? encodeRedirect(leader) : '{}');
    });
  }

  /** Hands a report to the core, whose reply comes back once. */
  #pushReport(report: Heartbeat, ageMs: number, onReply: (reply: Reply) => void): void {
    const reply = this.#nextReply++;
    this.#replies.set(reply, onReply);
    this.#common.commands.push({ kind: 'heartbeat', reply, heartbeat: report, ageMs });
  }

  #carryOut(effect: Effect): void {
    switch (effect.kind) {
      case 'reply': {
        const onReply = this.#replies.get(effect.reply);
        this.#replies.delete(effect.reply);
        onReply?.(effect.body);
        break;
      }
      case 'commit':
        void this.#common.ports.state.commit(effect.transaction).then((outcome) => {
          this.#common.commands.push({
            kind: 'committed',
            id: effect.id,
            outcome,
          });
        });
        break;
      case 'resolveDependencies':
        void this.#leading.resolveDependencies(effect.ids);
        break;
      case 'reconcile':
        void this.#leading.reconcile(effect.jobs, effect.chunks);
        break;
      case 'sendCommands':
        void this.#common.ports.workers
          .direct(effect.address, effect.token, effect.agentEpoch, effect.commands)
          .then((report) => {
            if (report !== null) this.#common.commands.push({ kind: 'directAnswer', heartbeat: report });
          });
        break;
      case 'probe':
        void this.#common.ports.workers.isThere(effect.address).then((met) => {
          this.#common.commands.push({ kind: 'probed', machine: effect.machine, isReachable: met });
        });
        break;
      case 'provision':
        void this.#common.ports.cloud
          .rent(effect.requestId, effect.type, effect.zone, effect.spot, effect.count)
          .then((outcome) =>
            this.#common.commands.push({ kind: 'provisioned', requestId: effect.requestId, outcome }),
          );
        break;
      case 'terminate':
        void this.#common.ports.cloud.giveBack(effect.machines).then((ok) => {
          this.#common.commands.push({ kind: 'terminated', machines: effect.machines, ok });
        });
        break;
      case 'saveDemandHistory':
        void this.#common.ports.state.commit(effect.transaction);
        break;
      case 'attention':
        this.#shared.announceAttention(effect.machines);
        break;
      case 'steppedDown':
        this.#shared.clear();
        this.#common.ports.log.info({ reason: effect.reason }, 'stepped down');
        if (this.#common.leadershipView.leader === this.#common.settings.host_name)
          this.#common.leadershipView.leader = null;
        this.#common.leadershipView.leadingTerm = 0;
        this.#election.dispatch({ kind: 'resign' });
        break;
      case 'log':
        this.#common.ports.log[effect.level](effect.detail, effect.event);
        break;
    }
  }
}
