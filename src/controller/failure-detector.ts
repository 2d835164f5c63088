/**
 * Observing: what this node sees of the others goes into the membership, and what that concludes is
 * carried out: workers' machines are knocked at for a leader, a leader hands over, a crashed one is
 * succeeded.
 */
import { Membership, type SuspicionState, type Resignation } from '../membership/membership.js';
import { MACHINES_UNREACHABLE, MIN_UNEXPECTED_REPORTS } from '../membership/evidence-rules.js';
import type { LinkState, MemberStatus } from '../membership/status.js';
import { storeContactAgeMs, type ControllerContext } from './context.js';
import type { FailureDetectorStatus } from './peer-exchange.js';

/** A leader asks what others meet at so many machines. */
const MAX_PROBED_MACHINES = 8;

export interface FailureDetectorActions {
  /** The leader that this node follows has crashed: it may be succeeded now. */
  replaceCrashedLeader(): void;
  /** This node leads and should not. */
  transferLeadership(to: Resignation): void;
  /** The nodes that are to lead rather than others. */
  preferredLeaders(): ReadonlySet<string>;
  /** Something has changed that the others should know at once. */
  broadcastStatus(): void;
}

export class FailureDetector {
  readonly membership: Membership;
  #asks: readonly string[] = [];
  #askedAt = -Infinity;
  /** Latest round in which this node knocked for another. */
  #answered = 0;
  #told = 0;
  /** It handed over because it reached no machine, and has heard no worker since. */
  #cutOff = false;

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
    if (asked && view.probeRound !== this.#answered) void this.#knockFor(view);
    this.#conclude();
  }

  onLink(node: string, link: LinkState): void {
    this.membership.setLinkState(node, link, this.#now);
    this.#conclude();
    // Whoever waits for a second witness should not wait for the next word.
    if (link === 'refused' && this.membership.consecutiveRefusals(node) === 2) this.actions.broadcastStatus();
  }

  /** Whether it would be a leader that no worker reaches. */
  get isIsolated(): boolean {
    return this.#cutOff;
  }

  /** Some worker has reached this node. */
  workerReached(): void {
    this.#cutOff = false;
  }

  /** A worker of the present leader came by, sent by nobody. */
  recordUnexpectedReport(machine: string): void {
    this.membership.recordUnexpectedReport(machine, this.#now);
    const strays = this.membership.unexpectedReports(this.#now);
    if (strays < MIN_UNEXPECTED_REPORTS) this.#told = 0;
    if (strays < Math.max(MIN_UNEXPECTED_REPORTS, 2 * this.#told)) return;
    this.#told = strays;
    this.actions.broadcastStatus();
    this.#conclude();
  }

  /** At every tick: how late it came. */
  tick(lateMs: number): void {
    const now = this.#now;
    this.membership.recordTimerLag(lateMs, now);
    const { leadership, health, machines } = this.common.commands.state;
    this.membership.setWorkerHealth(leadership === null ? null : health, machines.size, leadership?.since);
    if (leadership !== null && this.membership.isMissingHeartbeats(now, storeContactAgeMs(this.common)))
      this.#ask(now, true);
    else if (leadership !== null && this.membership.isLagging(now)) this.#ask(now, false);
    else if (this.#asks.length > 0 && now - this.#askedAt > this.common.timing.maxHeartbeatIntervalMs)
      this.#asks = [];
    this.#conclude();
  }

  /** Whether it is behind its timers. */
  get isOverloaded(): boolean {
    return this.membership.timerLagMs(this.#now) > this.common.timing.tickMs / 4;
  }

  get isStalled(): boolean {
    return this.membership.isStalled(this.#now);
  }

  #conclude(): void {
    const now = this.#now;
    const age = storeContactAgeMs(this.common);
    const changed = this.membership.assess(now, age);
    for (const standing of changed) this.#log(standing, now);
    // What one concludes by itself the others may need as a second witness.
    if (changed.some(({ level }) => level !== 'trusted')) this.actions.broadcastStatus();
    const { leadershipView, commands } = this.common;
    const { leadership } = commands.state;
    if (leadership !== null) {
      if (leadership.isTransferring === true) return;
      const to = this.membership.chooseSuccessor(now, age, this.actions.preferredLeaders());
      if (to === null) return;
      this.#cutOff ||= to.reason === MACHINES_UNREACHABLE;
      this.actions.transferLeadership(to);
    } else if (
      leadershipView.leader !== null &&
      !this.#cutOff &&
      this.membership.mayReplaceEarly(leadershipView.leader, now, age)
    )
      this.actions.replaceCrashedLeader();
  }

  #log({ node, level, evidence, since }: SuspicionState, now: number): void {
    const view = this.membership.statusOf(node);
    const detail = { peer: node, evidence, forMs: Math.round(now - since), lateMs: view?.timerLagMs ?? 0 };
    this.common.ports.log.info(detail, level);
  }

  /** Whether this node, as a leader, may hand over to a peer; what that needs to be known is asked for. */
  isEligibleSuccessor(node: string): boolean {
    const now = this.#now;
    if (this.membership.isEligibleSuccessor(node, now, storeContactAgeMs(this.common))) return true;
    this.#ask(now, false);
    return false;
  }

  /** A few machines evenly from all of them, or from those that should speak and are not heard. */
  #sample(now: number, unheard: boolean): string[] {
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

  /** Asks the others what they meet at a few machines, and looks for itself. */
  #ask(now: number, unheard: boolean): void {
    if (now - this.#askedAt < this.common.timing.maxHeartbeatIntervalMs) return;
    this.#askedAt = now;
    this.#asks = this.#sample(now, unheard);
    if (this.#asks.length === 0) return;
    const round = this.membership.probeRound.round + 1;
    this.membership.setProbeRound({
      round,
      reachable: 0,
      unreachable: 0,
      requested: this.#asks.length,
      startedAt: now,
    });
    const { health } = this.common.commands.state;
    if (unheard) this.common.ports.log.info({ asks: this.#asks.length, ...health }, 'hears few workers');
    this.actions.broadcastStatus();
    void this.#knock(this.#asks, round);
  }

  async #knockFor({ probeRequests, probeRound }: MemberStatus): Promise<void> {
    this.#answered = probeRound;
    // A round of the leader's: this node has none of its own meanwhile.
    this.membership.setProbeRound({
      round: probeRound,
      reachable: 0,
      unreachable: 0,
      requested: probeRequests.length,
      startedAt: this.#now,
    });
    await this.#knock(probeRequests, probeRound);
    this.actions.broadcastStatus();
  }

  async #knock(addresses: readonly string[], round: number): Promise<void> {
    const found = await Promise.all(
      addresses.slice(0, MAX_PROBED_MACHINES).map((address) => this.common.ports.workers.isThere(address)),
    );
    if (this.membership.probeRound.round !== round) return;
    const met = found.filter((one) => one === true).length;
    const unmet = found.filter((one) => one === false).length;
    this.membership.setProbeRound({ ...this.membership.probeRound, reachable: met, unreachable: unmet });
    this.#conclude();
  }

  /** What the others are told. */
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
      probeRequests: leadership === null ? [] : this.#asks,
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
