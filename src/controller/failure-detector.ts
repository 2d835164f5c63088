/**
 * Failure detection between controllers and towards the machines. What this node sees of its peers goes into the
 * membership; what follows from that is carried out: machines are probed for a leader that misses heartbeats, a
 * leader transfers its leadership, a crashed leader is replaced. The status that peers receive is put together here.
 */
import {
  Membership,
  type Resignation,
  type SuspicionLevel,
  type SuspicionState,
} from '../membership/membership.js';
import { MACHINES_UNREACHABLE, MIN_UNEXPECTED_REPORTS } from '../membership/evidence-rules.js';
import type { LinkState, MemberStatus } from '../membership/status.js';
import { storeContactAgeMs, type ControllerContext } from './context.js';
import type { FailureDetectorStatus } from './peer-exchange.js';

/** Machines that are probed in one round, at most. */
const MAX_PROBED_MACHINES = 8;

/** The log event that tells of a peer's new level. */
const SUSPICION_EVENTS: Readonly<Record<SuspicionLevel, string>> = {
  trusted: 'peer trusted',
  suspected: 'peer suspected',
  'given up': 'peer failed',
};

/** What the detector has its controller do. */
export interface FailureDetectorActions {
  /** The leader that this node follows has crashed: its record may be replaced before its lease expires. */
  replaceCrashedLeader(): void;
  /** This node leads and another is to lead in its place. */
  transferLeadership(to: Resignation): void;
  /** The nodes that are preferred as leaders. */
  preferredLeaders(): ReadonlySet<string>;
  /** The status has changed in a way that peers need at once. */
  broadcastStatus(): void;
}

/** Keeps the membership up to date, and acts on its verdicts. */
export class FailureDetector {
  readonly membership: Membership;
  #probeRequests: readonly string[] = [];
  #probesRequestedAt = -Infinity;
  /** Latest round in which this node probed machines for the leader. */
  #answeredRound = 0;
  #announcedReports = 0;
  /** It transferred the leadership since it reached no machine, and no worker has reported to it since. */
  #isIsolated = false;

  constructor(
    private readonly common: ControllerContext,
    private readonly actions: FailureDetectorActions,
  ) {
    const names = common.settings.others.map(({ host_name }) => host_name);
    this.membership = new Membership(names, common.timing, undefined, common.settings.cluster.quota.cpu);
  }

  get #now(): number {
    return this.common.ports.clock.monotonicMs();
  }

  onPeer(view: MemberStatus): void {
    this.membership.receiveStatus(view, this.#now);
    const { leadershipView } = this.common;
    const asked = view.isLeader && view.term >= leadershipView.highestTerm && view.probeRequests.length > 0;
    if (asked && view.probeRound !== this.#answeredRound) void this.#probeForLeader(view);
    this.#assess();
  }

  onLink(node: string, link: LinkState): void {
    this.membership.setLinkState(node, link, this.#now);
    this.#assess();
    // Whoever waits for a second witness should not wait for the next word.
    if (link === 'refused' && this.membership.consecutiveRefusals(node) === 2) this.actions.broadcastStatus();
  }

  /** Whether this node, as the leader, would be one that no worker reaches. */
  get isIsolated(): boolean {
    return this.#isIsolated;
  }

  /** A worker has reported to this node. */
  workerReached(): void {
    this.#isIsolated = false;
  }

  /** A worker of the present leader has reported here without having been redirected. */
  recordUnexpectedReport(machine: string): void {
    this.membership.recordUnexpectedReport(machine, this.#now);
    const reports = this.membership.unexpectedReports(this.#now);
    if (reports < MIN_UNEXPECTED_REPORTS) this.#announcedReports = 0;
    if (reports < Math.max(MIN_UNEXPECTED_REPORTS, 2 * this.#announcedReports)) return;
    this.#announcedReports = reports;
    this.actions.broadcastStatus();
    this.#assess();
  }

  /** At every tick. `lateMs`: by how much its timer was late, in milliseconds. */
  tick(lateMs: number): void {
    const now = this.#now;
    this.membership.recordTimerLag(lateMs, now);
    const { leadership, health, machines } = this.common.commands.state;
    this.membership.setWorkerHealth(leadership === null ? null : health, machines.size, leadership?.since);
    if (leadership !== null && this.membership.isMissingHeartbeats(now, storeContactAgeMs(this.common)))
      this.#requestProbes(now, true);
    else if (leadership !== null && this.membership.isLagging(now)) this.#requestProbes(now, false);
    else if (
      this.#probeRequests.length > 0 &&
      now - this.#probesRequestedAt > this.common.timing.maxHeartbeatIntervalMs
    )
      this.#probeRequests = [];
    this.#assess();
  }

  /** Whether this node's timers lag: it has more to do than it can. */
  get isOverloaded(): boolean {
    return this.membership.timerLagMs(this.#now) > this.common.timing.tickMs / 4;
  }

  /** Whether this node stood still and has not worked off its queues: it judges nobody meanwhile. */
  get isStalled(): boolean {
    return this.membership.isStalled(this.#now);
  }

  #assess(): void {
    const now = this.#now;
    const age = storeContactAgeMs(this.common);
    const changed = this.membership.assess(now, age);
    for (const suspicion of changed) this.#logSuspicion(suspicion, now);
    // What one concludes by itself the others may need as a second witness.
    if (changed.some(({ level }) => level !== 'trusted')) this.actions.broadcastStatus();
    const { leadershipView, commands } = this.common;
    const { leadership } = commands.state;
    if (leadership !== null) {
      if (leadership.isTransferring === true) return;
      const to = this.membership.chooseSuccessor(now, age, this.actions.preferredLeaders());
      if (to === null) return;
      this.#isIsolated ||= to.reason === MACHINES_UNREACHABLE;
      this.actions.transferLeadership(to);
    } else if (
      leadershipView.leader !== null &&
      !this.#isIsolated &&
      this.membership.mayReplaceEarly(leadershipView.leader, now, age)
    )
      this.actions.replaceCrashedLeader();
  }

  #logSuspicion({ node, level, evidence, since }: SuspicionState, now: number): void {
    const view = this.membership.statusOf(node);
    const detail = { peer: node, evidence, forMs: Math.round(now - since), lateMs: view?.timerLagMs ?? 0 };
    this.common.ports.log.info(detail, SUSPICION_EVENTS[level]);
  }

  /** Whether this node, as a leader, may hand over to a peer; what that needs to be known is asked for. */
  isEligibleSuccessor(node: string): boolean {
    const now = this.#now;
    if (this.membership.isEligibleSuccessor(node, now, storeContactAgeMs(this.common))) return true;
    this.#requestProbes(now, false);
    return false;
  }

  /** A few machines evenly from all of them, or from those that should speak and are not heard. */
  #sampleMachines(now: number, unheard: boolean): string[] {
    const { state } = this.common.commands;
    const from = now - 2 * this.common.timing.tickMs;
    const all = [...state.machines.values()].filter(
      ({ lastHeartbeatAt, address, terminationReason, claims }) =>
        address !== '' &&
        terminationReason === null &&
        (lastHeartbeatAt === null ? unheard && claims.size > 0 : !unheard || lastHeartbeatAt < from),
    );
    const step = Math.max(1, all.length / MAX_PROBED_MACHINES);
    const picked = Array.from(
      { length: Math.min(MAX_PROBED_MACHINES, all.length) },
      (_, i) => all[Math.floor(i * step)],
    );
    return picked.flatMap((machine) => (machine === undefined ? [] : [machine.address]));
  }

  /** Has the followers probe a few machines, and probes them itself. */
  #requestProbes(now: number, unheard: boolean): void {
    if (now - this.#probesRequestedAt < this.common.timing.maxHeartbeatIntervalMs) return;
    this.#probesRequestedAt = now;
    this.#probeRequests = this.#sampleMachines(now, unheard);
    if (this.#probeRequests.length === 0) return;
    const round = this.membership.probeRound.round + 1;
    this.membership.setProbeRound({
      round,
      reachable: 0,
      unreachable: 0,
      requested: this.#probeRequests.length,
      startedAt: now,
    });
    const { health } = this.common.commands.state;
    if (unheard)
      this.common.ports.log.info({ asks: this.#probeRequests.length, ...health }, 'worker contact degraded');
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
    const found = await Promise.all(
      addresses.slice(0, MAX_PROBED_MACHINES).map((address) => this.common.ports.workers.probe(address)),
    );
    if (this.membership.probeRound.round !== round) return;
    const reachable = found.filter((one) => one === true).length;
    const unreachable = found.filter((one) => one === false).length;
    this.membership.setProbeRound({ ...this.membership.probeRound, reachable, unreachable });
    this.#assess();
  }

  /** The part of this node's status that tells of failures. */
  localStatus(): FailureDetectorStatus {
    const now = this.#now;
    const { health, leadership } = this.common.commands.state;
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

  /** For the status page: who is suspected, since when, on what evidence. */
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
