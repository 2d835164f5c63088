/** One controller: the owner, and the parts around it that lead, follow, talk with peers and serve users. */
import { Admission } from '../adapters/admission.js';
import type { PeerTraffic } from '../adapters/peer-links.js';
import { UserRequests } from '../adapters/user-requests.js';
import { stateAgeMs, type Common, type Ports, type LeadershipView } from './common.js';
import { FORMAT, LEADER_KEY } from '../core/persistence/index.js';
import type { Effect, Reply } from '../core/effects.js';
import { createState } from '../core/create-state.js';
import { Deputy } from './deputy.js';
import { describeLeaderView } from '../observability/status-page.js';
import { Election } from './election.js';
import { Following } from './following.js';
import { LatencyHistograms } from '../observability/latency.js';
import { Leading } from './leading.js';
import { EventCounter } from '../observability/logging.js';
import { Owner } from '../owner.js';
import { Observing } from './observing.js';
import { Peering } from './peering.js';
import { ReportIntake } from './report-intake.js';
import { SharedReports } from './shared-reports.js';
import { createElection } from '../membership/election.js';
import type { Resignation } from '../membership/membership.js';
import type { Link } from '../membership/views.js';
import { createCoreConfig } from '../config/core-config.js';
import { strictestLimits, timing, type PlatformSettings } from '../config/settings.js';
import { upgradedLayout } from '../config/record-layout.js';
import { FormatUpgrade } from './format-upgrade.js';
import type { Heartbeat } from '../core/types.js';
import type { IntakeMessage } from '../wire/intake.js';
import type { PeerStatus } from '../wire/peers.js';
import { encodeRedirect, encodeReply, parseHeartbeat } from '../wire/workers.js';

export type { Ports };

/** Followers are told the whole at every second tick, as controllers tell one another their status. */
const TICKS_A_SNAPSHOT = 2;

export class ControllerNode {
  readonly users: UserRequests;
  readonly latencies = new LatencyHistograms();
  readonly admission: Admission;
  /** What came in that could not be read, by what it should have been. */
  readonly malformed = new EventCounter();
  readonly #common: Common;
  readonly #peering: Peering;
  readonly #leading: Leading;
  readonly #following: Following;
  readonly #election: Election;
  readonly #upgrade: FormatUpgrade;
  readonly #intake: ReportIntake;
  readonly #shared: SharedReports;
  readonly #replies = new Map<number, (reply: Reply) => void>();
  /** Tells the other controllers what has changed; set by whoever has the links. */
  tellPeers: () => void = () => undefined;
  /** Sends a message about shared reports, false if it cannot be sent; set by whoever has the links. */
  sendIntake: (to: string, message: IntakeMessage) => boolean = () => false;
  /** What was written to the other controllers; set by whoever has the links. */
  peerTraffic: () => PeerTraffic = () => ({ sentMessages: 0, sentBytes: 0 });
  readonly #observing: Observing;
  #nextReply = 1;
  #ticks = 0;
  /** Stamp of the leader's record that this node has stood against, and the term it last handed over. */
  #inherited = 0;
  #yielding = 0;

  constructor(settings: PlatformSettings, ports: Ports) {
    const { state, clock, log, incarnation } = ports;
    const times = timing(settings);
    const rules = createCoreConfig(settings, ports.policy);
    const owner = new Owner(
      createState(settings.host_name, rules),
      clock,
      log,
      (effect) => this.#carryOut(effect),
      ({ elapsedMs, cpuMs }) => this.#observing.membership.pace.worked(elapsedMs, cpuMs, clock.monotonicMs()),
    );
    const standing: LeadershipView = { leader: null, leaderRevision: 0, highestTerm: 0, leadingTerm: 0 };
    this.#common = { settings, timing: times, ports, owner, standing };
    const { value_kb, txn_ops, rps } = strictestLimits(settings);
    const deputy = new Deputy(
      settings.host_name,
      state,
      clock,
      times,
      value_kb * 1024,
      2 * settings.cluster.clock_error_ms,
    );
    this.#observing = new Observing(this.#common, {
      inherit: () => this.#inherit(),
      yieldTo: (to) => void this.#handOver(to),
      tell: () => this.tellPeers(),
      preferred: () => this.#leading.preferred,
    });
    this.#peering = new Peering(
      this.#common,
      () => deputy.hears(),
      () => this.#intake.isActive,
      (view) => deputy.receiveSnapshot(view),
      () => this.#observing.sights(),
    );
    this.#leading = new Leading(this.#common, this.#peering, this.#observing);
    this.#following = new Following(this.#common, this.#peering, this.#observing, deputy, (machine) =>
      this.#intake.leaveHome(machine),
    );
    this.#intake = new ReportIntake({
      clock,
      timing: times,
      node: settings.host_name,
      incarnation,
      clocksApartMs: 2 * settings.cluster.clock_error_ms,
      following: () => {
        const { leader, highestTerm } = standing;
        const leads = owner.state.leadership !== null;
        return leads || leader === null || leader === settings.host_name
          ? null
          : { leader, term: highestTerm };
      },
      send: (to, message) => this.sendIntake(to, message),
      encodeAnswer: encodeReply,
      encodeRedirect,
      answerAlone: (report, done) => this.#following.answerAlone(report, done),
      route: (report, done) => this.#following.answer(report, done),
    });
    this.#shared = new SharedReports(this.#common, {
      candidates: () => this.#followers(),
      isTaking: (node) => this.#peering.takesReports(node),
      send: (to, message) => this.sendIntake(to, message),
      push: (report, ageMs, answer) =>
        this.#pushReport(report, ageMs, (reply) =>
          answer({
            able: reply.kind === 'commands',
            pending: this.#needsAttention(report.machine),
            commands: reply.kind === 'commands' ? reply.commands : [],
          }),
        ),
    });
    this.#election = new Election(
      createElection(
        settings.host_name,
        incarnation,
        times,
        this.#leading.isWellPlaced ? 0 : 4 * times.tickMs,
      ),
      state,
      clock,
      {
        elected: (won) => {
          this.#observing.membership.forgetStrays();
          void this.#leading.lead(won);
        },
        lost: () => {
          standing.leadingTerm = 0;
          owner.push({ kind: 'resign', reason: 'another may lead' });
        },
        leaderKnown: (leader, modRevision) => {
          if (leader !== null && leader.term > standing.highestTerm)
            this.#observing.membership.forgetStrays();
          standing.leader = leader?.node ?? null;
          standing.leaderRevision = modRevision;
          standing.highestTerm = Math.max(standing.highestTerm, leader?.term ?? 0);
        },
      },
      // Where no better placed node is left, waiting for one cost a second in which leases ran out.
      () => {
        // It would lead and hear nobody: elected again while its successor stood still, such a node cost
        // 1,787 tasks their lease.
        if (this.#observing.isCutOff) return 8 * times.tickMs;
        return this.#leading.hasBetterPlaced() ? 4 * times.tickMs : 0;
      },
    );
    this.#upgrade = new FormatUpgrade({
      settings,
      store: state,
      clock,
      pollIntervalMs: 2 * times.maxHeartbeatIntervalMs,
      termRevision: () => owner.state.leadership?.modRevision ?? null,
      hearsEarlierVersion: () => this.#peering.hearsEarlier(),
      onAdopted: (record) => {
        log.info(record, 'every controller reads the new format');
        state.applyLimits(strictestLimits(settings));
        owner.push({ kind: 'adoptLayout', layout: upgradedLayout(settings, record) });
      },
    });
    // So many as the state service could answer within a quarter of what one request may take.
    this.admission = new Admission(clock, (settings.cluster.state.rps * times.storeTimeoutMs) / 4000);
    this.users = new UserRequests({
      requestsPerSecond: rps,
      maxValueBytes: value_kb * 1024,
      maxPreconditions: 4 * txn_ops,
      supportsDependencies: async () => (await this.#upgrade.refresh()) !== null,
      hasPropagatedCancellations: () => this.#peering.isSettled(),
      store: state,
      clock,
      teams: rules.teams,
      requestTimeoutMs: times.storeTimeoutMs,
      types: () => owner.state.machineTypes,
      counts: (id) => this.#peering.countOf(id),
    });
  }

  start(): void {
    const { settings, ports } = this.#common;
    this.#election.tell({ kind: 'start' });
    this.#leading.start();
    void this.#keepTicking();
    void this.#keepContact();
    void this.#upgrade.run();
    ports.log.info({ node: settings.host_name, incarnation: ports.incarnation }, 'started');
  }

  status(): PeerStatus {
    return this.#peering.status();
  }

  onLink(node: string, link: Link): void {
    this.#observing.onLink(node, link);
    if (link !== 'up') this.#intake.linkLost(node);
  }

  onPeer(status: PeerStatus): void {
    // What a life that is over had to say, held back on the way, is no word of the present one.
    if (!this.#observing.membership.isPresentLife(status)) return;
    this.#peering.onPeer(status);
    this.#observing.onPeer(status);
  }

  /** A message about shared reports from another controller. */
  onIntake(message: IntakeMessage): void {
    if (!this.#observing.membership.isPresentLife(message)) return;
    const { standing, owner } = this.#common;
    if (message.kind === 'reports') this.#shared.receive(message);
    else if (owner.state.leadership === null && message.term >= standing.highestTerm) {
      standing.highestTerm = message.term;
      standing.leader = message.node;
      this.#intake.receive(message);
    }
  }

  /** Followers that may take reports: heard, linked, keeping up. */
  #followers(): { node: string; zone: string }[] {
    const { clock } = this.#common.ports;
    const { membership } = this.#observing;
    return this.#common.settings.others
      .filter(({ host_name }) => membership.keepsUp(host_name, clock.monotonicMs()))
      .map(({ host_name, zone }) => ({ node: host_name, zone }));
  }

  #needsAttention(name: string): boolean {
    const { machines, attention } = this.#common.owner.state;
    const machine = machines.get(name);
    return machine !== undefined && attention.has(machine);
  }

  /** Machines that this node knows of as the leader; 0: it does not lead. */
  get machineCount(): number {
    const { leadership, machines } = this.#common.owner.state;
    return leadership === null ? 0 : machines.size;
  }

  core(): unknown {
    return this.#common.owner.state;
  }
  ready(): boolean {
    return this.#peering.ready();
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
      if (stateAgeMs(this.#common) >= often) await this.#common.ports.state.read(LEADER_KEY);
      const to = this.#leading.betterPlaced();
      if (to !== null && this.#observing.isFit(to))
        void this.#handOver({ to, why: 'a better placed node is back' });
    }
  }

  async #keepTicking(): Promise<void> {
    const { clock } = this.#common.ports;
    const { tickMs, workerLeaseMs } = this.#common.timing;
    let toldAt = clock.monotonicMs();
    for (;;) {
      const from = clock.monotonicMs();
      if (from - toldAt > workerLeaseMs) {
        this.malformed.flush(this.#common.ports.log, 'malformed');
        toldAt = from;
      }
      await clock.sleep(tickMs);
      this.#observing.tick(Math.max(0, clock.monotonicMs() - from - tickMs));
      const { doubtsItself, isBusy } = this.#observing;
      this.#common.owner.push({ kind: 'tick', isStalled: doubtsItself, isOverloaded: isBusy });
      this.#tellShared();
    }
  }

  /** A leader tells its followers what they may answer by; a follower tells its leader what it has answered. */
  #tellShared(): void {
    if (this.#common.owner.state.leadership === null) {
      this.#intake.flush();
      return;
    }
    for (const { report, done } of this.#intake.takePending()) this.#answerAsLeader(report, done);
    this.#ticks += 1;
    if (this.#ticks % TICKS_A_SNAPSHOT === 0) this.#shared.tell();
  }

  /** The leader has crashed for all the evidence there is: its record may be replaced now. */
  #inherit(): void {
    const { leader, leaderRevision } = this.#common.standing;
    if (this.#inherited === leaderRevision) return;
    this.#inherited = leaderRevision;
    this.#common.ports.log.info({ leader }, 'the leader has crashed, standing early');
    void this.#standEarly(leaderRevision);
  }

  /** A node that is not to lead lets one that is come first, if there is one: else it would hand over soon. */
  async #standEarly(modRevision: number): Promise<void> {
    const { clock } = this.#common.ports;
    if (this.#leading.hasBetterPlaced()) await clock.sleep(this.#common.timing.tickMs / 2);
    this.#election.tell({ kind: 'inherit', modRevision });
  }

  /** Hands the leadership to another node: nothing is begun any more, all is written, the node named. */
  async #handOver({ to, why }: Resignation): Promise<void> {
    const { owner, ports } = this.#common;
    const { leadership } = owner.state;
    if (leadership === null || this.#yielding === leadership.term) return;
    this.#yielding = leadership.term;
    ports.log.info({ to, why }, 'hands over');
    await this.#leading.close();
    if (owner.state.leadership?.term === leadership.term) this.#election.tell({ kind: 'handOver', to });
  }

  /** The status page; a brief one leaves out what takes a walk over jobs and machines. */
  describe(brief = false): object {
    const { state } = this.#common.owner;
    const now = {
      monotonicMs: this.#common.ports.clock.monotonicMs(),
      epochMs: this.#common.ports.clock.epochMs(),
    };
    return {
      node: this.#common.settings.host_name,
      leader: state.leadership === null ? this.#common.standing.leader : this.#common.settings.host_name,
      term: this.#peering.term(),
      stateAgeMs: stateAgeMs(this.#common),
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
      ...(brief || state.leadership === null ? {} : { lead: describeLeaderView(state, now) }),
    };
  }

  report(body: unknown, done: (status: number, body: string) => void): void {
    const report = parseHeartbeat(body);
    if (report === null) {
      this.malformed.count('reports');
      done(400, '{"error":"malformed report"}');
    } else this.#takeReport(report, done);
  }

  #takeReport(report: Heartbeat, done: (status: number, body: string) => void): void {
    if (this.#common.owner.state.leadership === null) {
      this.#observing.metWorker();
      if (!this.#intake.take(report, done)) this.#following.answer(report, done);
      return;
    }
    const follower = this.#shared.redirect(report);
    if (follower !== null) {
      done(421, encodeRedirect(follower));
      return;
    }
    this.#shared.noteDirect(report.machine);
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
      const { leader } = this.#common.standing;
      const elsewhere = leader !== null && leader !== this.#common.settings.host_name;
      done(elsewhere ? 421 : 503, elsewhere ? encodeRedirect(leader) : '{}');
    });
  }

  /** Hands a report to the core, whose reply comes back once. */
  #pushReport(report: Heartbeat, ageMs: number, onReply: (reply: Reply) => void): void {
    const reply = this.#nextReply++;
    this.#replies.set(reply, onReply);
    this.#common.owner.push({ kind: 'heartbeat', reply, heartbeat: report, ageMs });
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
          this.#common.owner.push({
            kind: 'committed',
            id: effect.id,
            outcome,
          });
        });
        break;
      case 'resolveDependencies':
        void this.#leading.resolve(effect.ids);
        break;
      case 'reconcile':
        void this.#leading.recheck(effect.jobs, effect.chunks);
        break;
      case 'sendCommands':
        void this.#common.ports.workers
          .sendCommands(effect.address, effect.token, effect.agentEpoch, effect.commands)
          .then((report) => {
            if (report !== null) this.#common.owner.push({ kind: 'directAnswer', heartbeat: report });
          });
        break;
      case 'probe':
        void this.#common.ports.workers.probe(effect.address).then((met) => {
          this.#common.owner.push({ kind: 'probed', machine: effect.machine, isReachable: met });
        });
        break;
      case 'provision':
        void this.#common.ports.cloud
          .provision(effect.requestId, effect.type, effect.zone, effect.spot, effect.count)
          .then((outcome) =>
            this.#common.owner.push({ kind: 'provisioned', requestId: effect.requestId, outcome }),
          );
        break;
      case 'terminate':
        void this.#common.ports.cloud.terminate(effect.machines).then((ok) => {
          this.#common.owner.push({ kind: 'terminated', machines: effect.machines, ok });
        });
        break;
      case 'saveDemandHistory':
        void this.#common.ports.state.commit(effect.transaction);
        break;
      case 'attention':
        this.#shared.attend(effect.machines);
        break;
      case 'steppedDown':
        this.#shared.clear();
        this.#common.ports.log.info({ reason: effect.reason }, 'stepped down');
        if (this.#common.standing.leader === this.#common.settings.host_name)
          this.#common.standing.leader = null;
        this.#common.standing.leadingTerm = 0;
        this.#election.tell({ kind: 'abandon' });
        break;
      case 'log':
        this.#common.ports.log[effect.level](effect.detail, effect.event);
        break;
    }
  }
}
