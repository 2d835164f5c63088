/**
 * Failure detection between controllers and towards the machines. Observations of peers are passed to the membership,
 * and its verdicts are acted on here: machines are probed for a leader that misses heartbeats, a leader transfers its
 * leadership, a crashed leader is replaced. The corresponding part of this node's status is built here.
 */
import {
  Membership,
  type LeadershipTransfer,
  type SuspicionLevel,
  type SuspicionState,
} from '../membership/membership.js';
import { MACHINES_UNREACHABLE, MIN_UNEXPECTED_REPORTS } from '../membership/evidence-rules.js';
import { nextProbeRound } from '../membership/probe-rounds.js';
import type { LinkState, MemberStatus } from '../membership/status.js';
import { storeContactAgeMs, type ControllerContext } from './context.js';
import type { FailureDetectorStatus } from './peer-exchange.js';

/** Machines that one controller probes in one round, at most. */
const MAX_PROBED_MACHINES = 8;

/** The log event for each new suspicion level of a peer. */
const SUSPICION_EVENTS: Readonly<Record<SuspicionLevel, string>> = {
  trusted: 'peer trusted',
  suspected: 'peer suspected',
  'given up': 'peer failed',
};

/** Actions that the failure detector triggers in its controller. */
export interface FailureDetectorActions {
  /** The leader that this node follows has crashed: its record may be replaced before its lease expires. */
  replaceCrashedLeader(): void;
  /** This node leads, and has to transfer the leadership to a peer. */
  transferLeadership(transfer: LeadershipTransfer): void;
  /** The nodes that are preferred as leaders. */
  preferredLeaders(): ReadonlySet<string>;
  /** The status has changed, and peers need it before the next regular exchange. */
  broadcastStatus(): void;
}

/** Keeps the membership up to date, and acts on its verdicts. */
export class FailureDetector {
  readonly membership: Membership;
  #probeRequests: readonly string[] = [];
  #probesRequestedAt = -Infinity;
  /** Latest round in which this node probed machines for the leader. */
  #answeredRound = 0;
  #announcedUnexpectedCount = 0;
  /** This node gave up the leadership because it could not reach its machines, and has received no heartbeat since. */
  #isIsolated = false;

  constructor(
    private readonly context: ControllerContext,
    private readonly actions: FailureDetectorActions,
  ) {
    const names = context.settings.others.map(({ host_name }) => host_name);
    this.membership = new Membership(names, context.timing, undefined, context.settings.cluster.quota.cpu);
  }

  get #now(): number {
    return this.context.ports.clock.monotonicMs();
  }

  onPeer(status: MemberStatus): void {
    this.membership.receiveStatus(status, this.#now);
    const { leadershipView } = this.context;
    const isProbeRequested =
      status.isLeader && status.term >= leadershipView.highestTerm && status.probeRequests.length > 0;
    if (isProbeRequested && status.probeRound !== this.#answeredRound) void this.#probeForLeader(status);
    this.#assess();
  }

  onLink(node: string, link: LinkState): void {
    this.membership.setLinkState(node, link, this.#now);
    this.#assess();
    // A peer that needs a second witness of the refusals need not wait for the next regular status.
    if (link === 'refused' && this.membership.consecutiveRefusals(node) === 2) this.actions.broadcastStatus();
  }

  /** Whether it has to be assumed that no worker would reach this node if it led. */
  get isIsolated(): boolean {
    return this.#isIsolated;
  }

  /** Records that this node, as a follower, has received a heartbeat. */
  recordWorkerContact(): void {
    this.#isIsolated = false;
  }

  /** Records that a worker of the current leader has sent this node a heartbeat without a redirect. */
  recordUnexpectedReport(machine: string): void {
    this.membership.recordUnexpectedReport(machine, this.#now);
    const unexpectedCount = this.membership.unexpectedReports(this.#now);
    if (unexpectedCount < MIN_UNEXPECTED_REPORTS) this.#announcedUnexpectedCount = 0;
    if (unexpectedCount < Math.max(MIN_UNEXPECTED_REPORTS, 2 * this.#announcedUnexpectedCount)) return;
    this.#announcedUnexpectedCount = unexpectedCount;
    this.actions.broadcastStatus();
    this.#assess();
  }

  /** Updates the membership at every tick. `lateMs`: how late the tick's timer fired, in milliseconds. */
  tick(lateMs: number): void {
    const now = this.#now;
    this.membership.recordTimerLag(lateMs, now);
    const { leadership, health, machines } = this.context.commands.state;
    this.membership.setWorkerHealth(leadership === null ? null : health, machines.size, leadership?.since);
    if (leadership !== null && this.membership.isMissingHeartbeats(now, storeContactAgeMs(this.context)))
      this.#requestProbes(now, true);
    else if (leadership !== null && this.membership.isLagging(now)) this.#requestProbes(now, false);
    else if (
      this.#probeRequests.length > 0 &&
      now - this.#probesRequestedAt > this.context.timing.maxHeartbeatIntervalMs
    )
      this.#probeRequests = [];
    this.#assess();
  }

  /** Whether this node's timers lag by more than a quarter of a tick: it has more work than it can do in time. */
  get isOverloaded(): boolean {
    return this.membership.timerLagMs(this.#now) > this.context.timing.tickMs / 4;
  }

  /** Whether this node has stalled and not processed its queued input yet; until then it infers no failures. */
  get isStalled(): boolean {
    return this.membership.isStalled(this.#now);
  }

  #assess(): void {
    const now = this.#now;
    const contactAgeMs = storeContactAgeMs(this.context);
    const changed = this.membership.assess(now, contactAgeMs);
    for (const suspicion of changed) this.#logSuspicion(suspicion, now);
    // Peers may need a suspicion of this node as the evidence of a second witness.
    if (changed.some(({ level }) => level !== 'trusted')) this.actions.broadcastStatus();
    const { leadershipView, commands } = this.context;
    const { leadership } = commands.state;
    if (leadership !== null) {
      if (leadership.isTransferring === true) return;
      const transfer = this.membership.chooseSuccessor(now, contactAgeMs, this.actions.preferredLeaders());
      if (transfer === null) return;
      this.#isIsolated ||= transfer.reason === MACHINES_UNREACHABLE;
      this.actions.transferLeadership(transfer);
    } else if (
      leadershipView.leader !== null &&
      !this.#isIsolated &&
      this.membership.mayReplaceEarly(leadershipView.leader, now, contactAgeMs)
    )
      this.actions.replaceCrashedLeader();
  }

  #logSuspicion({ node, level, evidence, since }: SuspicionState, now: number): void {
    const status = this.membership.statusOf(node);
    const detail = { peer: node, evidence, forMs: Math.round(now - since), lateMs: status?.timerLagMs ?? 0 };
    this.context.ports.log.info(detail, SUSPICION_EVENTS[level]);
  }

  /**
   * Whether this leader may transfer the leadership to a peer. If not, it requests probes, since it may not be known
   * yet whether the peer reaches the machines.
   */
  isEligibleSuccessor(node: string): boolean {
    const now = this.#now;
    if (this.membership.isEligibleSuccessor(node, now, storeContactAgeMs(this.context))) return true;
    this.#requestProbes(now, false);
    return false;
  }

  /**
   * Picks a few machines at even distances: from those that have sent a heartbeat, or if `silentOnly` from those that
   * have sent none for two ticks, or none at all although they have claims.
   */
  #sampleMachines(now: number, silentOnly: boolean): string[] {
    const { state } = this.context.commands;
    const from = now - 2 * this.context.timing.tickMs;
    const all = [...state.machines.values()].filter(
      ({ lastHeartbeatAt, address, terminationReason, claims }) =>
        address !== '' &&
        terminationReason === null &&
        (lastHeartbeatAt === null ? silentOnly && claims.size > 0 : !silentOnly || lastHeartbeatAt < from),
    );
    const step = Math.max(1, all.length / MAX_PROBED_MACHINES);
    const picked = Array.from(
      { length: Math.min(MAX_PROBED_MACHINES, all.length) },
      (_, i) => all[Math.floor(i * step)],
    );
    return picked.flatMap((machine) => (machine === undefined ? [] : [machine.address]));
  }

  /**
   * Requests from the followers that they probe a few machines, and probes them from this node too; at most once per
   * longest heartbeat interval.
   */
  #requestProbes(now: number, silentOnly: boolean): void {
    if (now - this.#probesRequestedAt < this.context.timing.maxHeartbeatIntervalMs) return;
    this.#probesRequestedAt = now;
    this.#probeRequests = this.#sampleMachines(now, silentOnly);
    if (this.#probeRequests.length === 0) return;
    const { health, leadership } = this.context.commands.state;
    const round = nextProbeRound(leadership?.term ?? 0, this.membership.probeRound.round);
    this.membership.setProbeRound({
      round,
      reachable: 0,
      unreachable: 0,
      requested: this.#probeRequests.length,
      startedAt: now,
    });
    if (silentOnly)
      this.context.ports.log.info(
        { probes: this.#probeRequests.length, ...health },
        'worker contact degraded',
      );
    this.actions.broadcastStatus();
    void this.#probe(this.#probeRequests, round);
  }

  async #probeForLeader({ probeRequests, probeRound }: MemberStatus): Promise<void> {
    this.#answeredRound = probeRound;
    // The leader's round replaces this node's own: a follower starts none.
    this.membership.setProbeRound({
      round: probeRound,
      reachable: 0,
      unreachable: 0,
      requested: probeRequests.length,
      startedAt: this.#now,
    });
    await this.#probe(probeRequests, probeRound);
    this.actions.broadcastStatus();
  }

  async #probe(addresses: readonly string[], round: number): Promise<void> {
    const results = await Promise.all(
      addresses.slice(0, MAX_PROBED_MACHINES).map((address) => this.context.ports.workers.probe(address)),
    );
    if (this.membership.probeRound.round !== round) return;
    const reachable = results.filter((isReachable) => isReachable === true).length;
    const unreachable = results.filter((isReachable) => isReachable === false).length;
    this.membership.setProbeRound({ ...this.membership.probeRound, reachable, unreachable });
    this.#assess();
  }

  /** The part of this node's status that concerns failure detection. */
  localStatus(): FailureDetectorStatus {
    const now = this.#now;
    const { health, leadership } = this.context.commands.state;
    const { round, reachable, unreachable } = this.membership.probeRound;
    return {
      timerLagMs: this.membership.timerLagMs(now),
      observations: this.membership.observations(now),
      unexpectedReports: this.membership.unexpectedReports(now),
      reporting: leadership === null ? 0 : (health?.reporting ?? 0),
      expected: leadership === null ? 0 : (health?.expected ?? 0),
      probeRequests: leadership === null ? [] : this.#probeRequests,
      probeRound: round,
      reachable,
      unreachable,
    };
  }

  /** For the status page: the suspicion level of each peer, for how long and on what evidence. */
  describe(): object[] {
    const now = this.#now;
    return this.membership.suspicionStates().map(({ node, level, since, evidence }) => ({
      node,
      level,
      ...(Number.isFinite(since) ? { forMs: Math.round(now - since) } : {}),
      evidence,
    }));
  }
}
