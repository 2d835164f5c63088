/**
 * One controller's view of the others: evidence by kind and by witness, levels of suspicion, and the verdicts that
 * the evidence rules allow. No I/O, clock or randomness: the failure detector passes in what is observed, with the
 * monotonic time in milliseconds.
 */
import type { Timing } from '../core/timing.js';
import { Incarnations } from './incarnations.js';
import { InterArrivalTracker } from './inter-arrival-tracker.js';
import { ProcessingRateMonitor } from './processing-rate.js';
import {
  isMissingHeartbeats,
  EVIDENCE_RULES,
  snapshotIntervalMs,
  type LocalState,
  type Peer,
  type EvidenceRule,
  type EvidenceContext,
  type EvidenceRules,
} from './evidence-rules.js';
import type { HealthCounts, LinkState, ProbeRound, Observation, MemberStatus } from './status.js';

/** How far a peer is trusted; one that is `given up` is trusted again only once no suspicion rule holds. */
export type SuspicionLevel = 'trusted' | 'suspected' | 'given up';

/** A peer's level of suspicion, since when, and on what evidence. */
export interface SuspicionState {
  readonly node: string;
  readonly level: SuspicionLevel;
  /** Monotonic time in milliseconds. */
  readonly since: number;
  readonly evidence: string;
}

/** A leader's transfer of its leadership: the successor, and the reason. */
export interface LeadershipTransfer {
  readonly to: string;
  readonly reason: string;
}

/** Limit of the factor by which recent suspicions lengthen the time that a peer must be stable before it may lead. */
const MAX_SETTLING_FACTOR = 8;

/** Consecutive timers that must fire in time before this process counts as caught up. */
const MIN_PUNCTUAL_TIMERS = 3;

/** Peers, evidence and verdicts of one controller. */
export class Membership {
  readonly #peers = new Map<string, Peer>();
  readonly #suspicions = new Map<string, SuspicionState>();
  /** How often a peer was recently suspected, and when last (monotonic time in milliseconds). */
  readonly #recentSuspicions = new Map<string, { times: number; at: number }>();
  readonly #unexpectedReports = new Map<string, number>();
  readonly processingRate: ProcessingRateMonitor;
  #timerLagMs = 0;
  #timerLagAt = -Infinity;
  #laggingSince: number | null = null;
  #stalledUntil = -Infinity;
  #health: HealthCounts | null = null;
  #probeRound: ProbeRound = { round: 0, reachable: 0, unreachable: 0, requested: 0, startedAt: -Infinity };
  #machineCount = 0;
  #leaderSince = Infinity;
  /** Timers in a row that fired in time. */
  #punctualTimers = 0;

  constructor(
    others: readonly string[],
    private readonly timing: Timing,
    private readonly rules: EvidenceRules = EVIDENCE_RULES,
    /** This node's share of a processor. */
    share = 1,
  ) {
    this.processingRate = new ProcessingRateMonitor(timing, share);
    for (const node of others) {
      this.#peers.set(node, {
        node,
        status: null,
        lastStatusAt: null,
        contactSince: -Infinity,
        arrivals: new InterArrivalTracker(snapshotIntervalMs(timing)),
        linkState: 'silent',
        linkLostAt: null,
        consecutiveRefusals: 0,
        incarnations: new Incarnations(2 * timing.maxHeartbeatIntervalMs),
      });
      this.#suspicions.set(node, { node, level: 'trusted', since: -Infinity, evidence: 'not heard yet' });
    }
  }

  /** Whether a message is not from an earlier incarnation of its sender: such a message was delayed. */
  isCurrentIncarnation({ node, incarnation }: Pick<MemberStatus, 'node' | 'incarnation'>): boolean {
    return this.#peers.get(node)?.incarnations.isEarlier(incarnation) !== true;
  }

  /** Records of which incarnation a status is; false: it is from an earlier one, and has to be ignored. */
  acceptIncarnation({ node, incarnation }: Pick<MemberStatus, 'node' | 'incarnation'>, now: number): boolean {
    return this.#peers.get(node)?.incarnations.accept(incarnation, now) ?? true;
  }

  /** Whether a peer is in contact, its link is up, and its timers are less than two ticks late. */
  isKeepingUp(node: string, now: number): boolean {
    const peer = this.#peers.get(node);
    if (peer?.status == null || peer.linkState !== 'up') return false;
    return this.hasContact(node, now) && peer.status.timerLagMs < 2 * this.timing.tickMs;
  }

  /**
   * Records a status of a peer. It immediately refutes a suspicion of silence, and one of a lost link unless the
   * link is still lost or refused.
   */
  receiveStatus(status: MemberStatus, now: number): void {
    const peer = this.#peers.get(status.node);
    if (peer === undefined || !this.acceptIncarnation(status, now)) return;
    const hadGap =
      peer.lastStatusAt === null || now - peer.lastStatusAt > 2 * this.timing.maxHeartbeatIntervalMs;
    if (hadGap || peer.status?.incarnation !== status.incarnation) {
      peer.contactSince = now;
      peer.arrivals.restart(now);
    } else peer.arrivals.record(now);
    peer.status = status;
    peer.lastStatusAt = now;
    // The status may have been in transit when the link broke: a broken link must itself come up again.
    if (peer.linkState !== 'refused' && peer.linkState !== 'lost') peer.linkLostAt = null;
  }

  /** Records a change of state of the connection to a peer. */
  setLinkState(node: string, linkState: LinkState, now: number): void {
    const peer = this.#peers.get(node);
    if (peer === undefined) return;
    if (linkState === 'refused') peer.consecutiveRefusals += 1;
    if (linkState === 'up') {
      peer.linkLostAt = null;
      peer.consecutiveRefusals = 0;
    } else if (linkState !== 'silent' && peer.linkLostAt === null && peer.lastStatusAt !== null) {
      // A peer that has never sent a status may not have started yet.
      peer.linkLostAt = now;
      peer.consecutiveRefusals = linkState === 'refused' ? 1 : 0;
    }
    peer.linkState = linkState;
  }

  /** Records by how many milliseconds a timer of this node was late. */
  recordTimerLag(timerLagMs: number, now: number): void {
    const { tickMs, maxHeartbeatIntervalMs } = this.timing;
    // The largest recent lag, decaying exponentially: one timer that fires in time does not show that a slow process
    // has recovered.
    const decayedLagMs = this.#timerLagMs * Math.exp(-(now - this.#timerLagAt) / maxHeartbeatIntervalMs);
    this.#timerLagMs = Math.max(timerLagMs, Number.isFinite(decayedLagMs) ? decayedLagMs : 0);
    this.#timerLagAt = now;
    this.#punctualTimers = timerLagMs > tickMs / 2 ? 0 : this.#punctualTimers + 1;
    // A single stall does not make a node slow: a few timers that fire in time end the lag.
    if (this.#punctualTimers >= MIN_PUNCTUAL_TIMERS) this.#laggingSince = null;
    else if (timerLagMs > tickMs / 2) this.#laggingSince ??= now;
    // Messages that arrived during the stall are still queued: no peer is assessed before they are worked off.
    if (timerLagMs > 2 * tickMs) this.#stalledUntil = now + maxHeartbeatIntervalMs;
    else if (timerLagMs > tickMs) this.#stalledUntil = Math.max(this.#stalledUntil, now + 2 * tickMs);
  }

  /** Records that a worker of the current leader has sent this node a heartbeat without a redirect. */
  recordUnexpectedReport(machine: string, now: number): void {
    // The entry moves to the end, so that the oldest entries are at the front.
    this.#unexpectedReports.delete(machine);
    this.#unexpectedReports.set(machine, now);
  }

  /** The number of workers that have recently sent this node a heartbeat without a redirect. */
  unexpectedReports(now: number): number {
    for (const [machine, at] of this.#unexpectedReports) {
      if (now - at <= this.timing.maxHeartbeatIntervalMs) break;
      this.#unexpectedReports.delete(machine);
    }
    return this.#unexpectedReports.size;
  }

  /** Discards the unexpected heartbeats: after a change of leader they are no evidence about the new one. */
  clearUnexpectedReports(): void {
    this.#unexpectedReports.clear();
  }

  /**
   * Sets the counts of the machines that send heartbeats to this leader (null: this node does not lead), the number
   * of machines, and the monotonic time (ms) since which this node leads.
   */
  setWorkerHealth(health: HealthCounts | null, machines = 0, leaderSince = Infinity): void {
    this.#health = health;
    this.#leaderSince = leaderSince;
    this.#machineCount = machines;
  }

  setProbeRound(probeRound: ProbeRound): void {
    this.#probeRound = probeRound;
  }

  get probeRound(): ProbeRound {
    return this.#probeRound;
  }

  /** The largest recent lag of this node's timers, in milliseconds, decaying with time. */
  timerLagMs(now: number): number {
    return Math.round(
      this.#timerLagMs * Math.exp(-Math.max(0, now - this.#timerLagAt) / this.timing.maxHeartbeatIntervalMs),
    );
  }

  /** Whether this node was stalled and has not caught up yet: until then it changes no suspicion level. */
  isStalled(now: number): boolean {
    return now < this.#stalledUntil;
  }

  /** What this node observes of each peer. */
  observations(now: number): Observation[] {
    return [...this.#peers.values()].map(({ node, lastStatusAt, linkState }) => ({
      node,
      ageMs: lastStatusAt === null ? 0xffffffff : Math.round(Math.max(0, now - lastStatusAt)),
      linkState,
    }));
  }

  /** The last status of a peer; null: none has arrived yet. */
  statusOf(node: string): MemberStatus | null {
    return this.#peers.get(node)?.status ?? null;
  }

  /** Monotonic time (ms) at which the link to a peer was lost or refused; null: it was not, or has recovered. */
  linkLostAt(node: string): number | null {
    return this.#peers.get(node)?.linkLostAt ?? null;
  }

  /** How often the link to a peer has been refused since it was lost or last up. */
  consecutiveRefusals(node: string): number {
    return this.#peers.get(node)?.consecutiveRefusals ?? 0;
  }

  /** Whether a status of a peer has arrived within the longest heartbeat interval. */
  hasContact(node: string, now: number): boolean {
    const lastStatusAt = this.#peers.get(node)?.lastStatusAt ?? null;
    return lastStatusAt !== null && now - lastStatusAt < this.timing.maxHeartbeatIntervalMs;
  }

  /** Whether a controller other than the given one is in contact, over an unbroken link. */
  hasOtherContact(node: string | null, now: number): boolean {
    return [...this.#peers.values()].some(
      (peer) => peer.node !== node && peer.linkLostAt === null && this.hasContact(peer.node, now),
    );
  }

  #localState(now: number, storeContactAgeMs: number): LocalState {
    return {
      storeContactAgeMs,
      timerLagMs: this.timerLagMs(now),
      laggingSince: this.#laggingSince,
      leaderSince: this.#leaderSince,
      isProcessorSlow: this.processingRate.isSlow,
      isStalled: this.isStalled(now),
      unexpectedReports: this.unexpectedReports(now),
      health: this.#health,
      probeRound: this.#probeRound,
      machineCount: this.#machineCount,
    };
  }

  #evidenceContext(peer: Peer, now: number, storeContactAgeMs: number): EvidenceContext {
    const witnesses = [...this.#peers.values()].filter(
      (other) => other !== peer && other.linkLostAt === null && this.hasContact(other.node, now),
    );
    return { now, timing: this.timing, local: this.#localState(now, storeContactAgeMs), witnesses };
  }

  /** Updates the suspicion level of every peer, and returns the levels that changed. */
  assess(now: number, storeContactAgeMs: number): SuspicionState[] {
    const changed: SuspicionState[] = [];
    for (const peer of this.#peers.values()) {
      if (peer.lastStatusAt === null) continue;
      const context = this.#evidenceContext(peer, now, storeContactAgeMs);
      // To a node that was stalled itself, every peer seems silent.
      if (context.local.isStalled) continue;
      const suspicion = this.rules.suspected.find((rule) => rule.holds(peer, context));
      // Only a leader is given up: no action depends on whether another peer has crashed.
      const crashed =
        suspicion !== undefined &&
        peer.status?.isLeader === true &&
        this.rules.crashed.every((rule) => rule.holds(peer, context));
      const level: SuspicionLevel = crashed ? 'given up' : suspicion === undefined ? 'trusted' : 'suspected';
      const previous = this.#suspicions.get(peer.node);
      // A peer that was given up does not become suspected again: it is trusted once no suspicion rule holds.
      if (previous?.level === level || (previous?.level === 'given up' && level === 'suspected')) continue;
      const evidence = crashed
        ? this.rules.crashed.map(({ name }) => name).join(', ')
        : (suspicion?.name ?? 'it speaks');
      const state: SuspicionState = { node: peer.node, level, since: now, evidence };
      this.#suspicions.set(peer.node, state);
      changed.push(state);
      if (level === 'suspected' && previous?.level === 'trusted') this.#recordSuspicion(peer.node, now);
    }
    return changed;
  }

  #recordSuspicion(node: string, now: number): void {
    const times = this.#suspicionCount(node, now);
    this.#recentSuspicions.set(node, { times: times + 1, at: now });
  }

  /** The number of suspicions of a peer that still count: one of them expires every eight worker leases. */
  #suspicionCount(node: string, now: number): number {
    const recent = this.#recentSuspicions.get(node);
    if (recent === undefined) return 0;
    return Math.max(0, recent.times - Math.floor((now - recent.at) / (8 * this.timing.workerLeaseMs)));
  }

  /** The level of every peer. */
  suspicionStates(): SuspicionState[] {
    return [...this.#suspicions.values()];
  }

  /** The level of one peer. */
  levelOf(node: string): SuspicionLevel {
    return this.#suspicions.get(node)?.level ?? 'trusted';
  }

  /**
   * Whether a peer has been in contact and trusted without a gap for `settleMs`. Each recent suspicion doubles that
   * time, up to a limit, so that leadership is not transferred to a peer that flaps.
   */
  isStable(node: string, settleMs: number, now: number): boolean {
    const peer = this.#peers.get(node);
    const suspicion = this.#suspicions.get(node);
    if (peer === undefined || suspicion === undefined || suspicion.level !== 'trusted') return false;
    const requiredMs = settleMs * Math.min(MAX_SETTLING_FACTOR, 2 ** this.#suspicionCount(node, now));
    return now - Math.max(peer.contactSince, suspicion.since) > requiredMs;
  }

  /** Whether a leader may transfer its leadership to a peer now. */
  isEligibleSuccessor(node: string, now: number, storeContactAgeMs: number): boolean {
    const peer = this.#peers.get(node);
    return peer !== undefined && this.#isEligible(peer, now, storeContactAgeMs);
  }

  #isEligible(peer: Peer, now: number, storeContactAgeMs: number): boolean {
    const context = this.#evidenceContext(peer, now, storeContactAgeMs);
    return this.rules.eligibleSuccessor.every((rule) => rule.holds(peer, context));
  }

  /** Whether the leader that this node follows may be replaced before its lease expires. */
  mayReplaceEarly(leader: string, now: number, storeContactAgeMs: number): boolean {
    const peer = this.#peers.get(leader);
    if (peer === undefined) return false;
    const context = this.#evidenceContext(peer, now, storeContactAgeMs);
    return this.rules.crashed.every((rule: EvidenceRule) => rule.holds(peer, context));
  }

  /** Whether this node, as a leader, misses so many heartbeats that the others should probe its silent machines. */
  isMissingHeartbeats(now: number, storeContactAgeMs: number): boolean {
    const local = this.#localState(now, storeContactAgeMs);
    return !local.isStalled && isMissingHeartbeats(local, this.timing);
  }

  /** Whether this node computes slowly and its timers have been late for longer than the longest heartbeat interval. */
  isLagging(now: number): boolean {
    return (
      this.processingRate.isSlow &&
      this.#laggingSince !== null &&
      now - this.#laggingSince > this.timing.maxHeartbeatIntervalMs
    );
  }

  /**
   * The peer to which this node, as a leader, should transfer its leadership, and the reason; null: it goes on
   * leading. Of several eligible peers, preferred leaders come first, then those that reach the most machines.
   */
  chooseSuccessor(
    now: number,
    storeContactAgeMs: number,
    preferred: ReadonlySet<string> = new Set(),
  ): LeadershipTransfer | null {
    if (this.isStalled(now) && this.#laggingSince === null) return null;
    const candidates: { peer: Peer; why: string }[] = [];
    for (const peer of this.#peers.values()) {
      if (!this.#isEligible(peer, now, storeContactAgeMs)) continue;
      const context = this.#evidenceContext(peer, now, storeContactAgeMs);
      const rule = this.rules.transfer.find(({ holds }) => holds(peer, context));
      if (rule !== undefined) candidates.push({ peer, why: rule.name });
    }
    // All candidates are eligible. A successor that is not preferred would transfer the leadership again.
    const rank = ({ peer: { node } }: { peer: Peer }): number => (preferred.has(node) ? 1 : 0);
    const reach = ({ peer: { status } }: { peer: Peer }): number =>
      (status?.reachable ?? 0) + (status?.unexpectedReports ?? 0);
    candidates.sort(
      (a, b) => rank(b) - rank(a) || reach(b) - reach(a) || (a.peer.node < b.peer.node ? -1 : 1),
    );
    const best = candidates[0];
    if (best === undefined) return null;
    // For one tick a preferred peer that has not answered the probe round yet is waited for: any other successor
    // would transfer the leadership again.
    const isAwaited = (node: string): boolean =>
      preferred.has(node) &&
      this.hasContact(node, now) &&
      this.#peers.get(node)?.status?.probeRound !== this.probeRound.round;
    const isRoundNew = now - this.probeRound.startedAt < this.timing.tickMs;
    if (isRoundNew && rank(best) === 0 && [...this.#peers.keys()].some(isAwaited)) return null;
    return { to: best.peer.node, reason: best.why };
  }
}
