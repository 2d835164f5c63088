/**
 * One controller's view of the others: evidence by kind and by witness, levels of suspicion, and the verdicts that
 * the evidence rules allow. No I/O, clock or randomness: the failure detector passes in what is observed, with the
 * steady time in milliseconds.
 */
import type { Timing } from '../core/timing.js';
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

/** How far a peer is trusted; only its own status takes `given up` back. */
export type SuspicionLevel = 'trusted' | 'suspected' | 'given up';

/** A peer's level of suspicion, since when, and on what evidence. */
export interface SuspicionState {
  readonly node: string;
  readonly level: SuspicionLevel;
  /** Steady time. */
  readonly since: number;
  readonly evidence: string;
}

/** A leader's transfer of its leadership: to whom, and why. */
export interface Resignation {
  readonly to: string;
  readonly reason: string;
}

/** A peer that was suspected has to be stable for longer before it may lead: at most this many times as long. */
const MAX_SETTLING_FACTOR = 8;

/** So many punctual timers in a row, and the process has caught up. */
const MIN_PUNCTUAL_TIMERS = 3;

/** Previous incarnations of a peer that are remembered. */
const MAX_PREVIOUS_INCARNATIONS = 50;

/** Peers, evidence and verdicts of one controller. */
export class Membership {
  readonly #peers = new Map<string, Peer>();
  readonly #suspicions = new Map<string, SuspicionState>();
  /** How often a peer was recently suspected, and when last. */
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
    private readonly table: EvidenceRules = EVIDENCE_RULES,
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
        previousIncarnations: [],
      });
      this.#suspicions.set(node, { node, level: 'trusted', since: -Infinity, evidence: 'not heard yet' });
    }
  }

  /** Whether a word is not one of a life that another has followed: such may have been held back. */
  isCurrentIncarnation({ node, incarnation }: Pick<MemberStatus, 'node' | 'incarnation'>): boolean {
    return this.#peers.get(node)?.previousIncarnations.includes(incarnation) !== true;
  }

  /** Whether a peer is heard, its link is up, and it is not behind its timers. */
  isKeepingUp(node: string, now: number): boolean {
    const peer = this.#peers.get(node);
    if (peer?.status == null || peer.linkState !== 'up') return false;
    return this.hasContact(node, now) && peer.status.timerLagMs < 2 * this.timing.tickMs;
  }

  /** A peer's own word refutes at once what was suspected of it. */
  receiveStatus(view: MemberStatus, now: number): void {
    const peer = this.#peers.get(view.node);
    if (peer === undefined || !this.isCurrentIncarnation(view)) return;
    const former = peer.status?.incarnation;
    if (former !== undefined && former !== view.incarnation) peer.previousIncarnations.push(former);
    if (peer.previousIncarnations.length > MAX_PREVIOUS_INCARNATIONS) peer.previousIncarnations.shift();
    const gap =
      peer.lastStatusAt === null || now - peer.lastStatusAt > 2 * this.timing.maxHeartbeatIntervalMs;
    if (gap || peer.status?.incarnation !== view.incarnation) {
      peer.contactSince = now;
      peer.arrivals.restart(now);
    } else peer.arrivals.record(now);
    peer.status = view;
    peer.lastStatusAt = now;
    // A word may have been on its way when the link broke; the link itself has to come back.
    if (peer.linkState !== 'refused' && peer.linkState !== 'lost') peer.linkLostAt = null;
  }

  /** The connection to a peer has changed its state. */
  setLinkState(node: string, link: LinkState, now: number): void {
    const peer = this.#peers.get(node);
    if (peer === undefined) return;
    if (link === 'refused') peer.consecutiveRefusals += 1;
    if (link === 'up') {
      peer.linkLostAt = null;
      peer.consecutiveRefusals = 0;
    } else if (link !== 'silent' && peer.linkLostAt === null && peer.lastStatusAt !== null) {
      // One that was never heard may only not have started yet.
      peer.linkLostAt = now;
      peer.consecutiveRefusals = link === 'refused' ? 1 : 0;
    }
    peer.linkState = link;
  }

  /** How late this node's own timer fired. */
  recordTimerLag(timerLagMs: number, now: number): void {
    const { tickMs, maxHeartbeatIntervalMs } = this.timing;
    // The worst of late, fading: one timer that fires in time does not make a slow process fast.
    const faded = this.#timerLagMs * Math.exp(-(now - this.#timerLagAt) / maxHeartbeatIntervalMs);
    this.#timerLagMs = Math.max(timerLagMs, Number.isFinite(faded) ? faded : 0);
    this.#timerLagAt = now;
    this.#punctualTimers = timerLagMs > tickMs / 2 ? 0 : this.#punctualTimers + 1;
    // A single stall makes nobody slow.
    if (this.#punctualTimers >= MIN_PUNCTUAL_TIMERS) this.#laggingSince = null;
    else if (timerLagMs > tickMs / 2) this.#laggingSince ??= now;
    // What came meanwhile lies in queues: nobody is judged before it is worked off.
    if (timerLagMs > 2 * tickMs) this.#stalledUntil = now + maxHeartbeatIntervalMs;
    else if (timerLagMs > tickMs) this.#stalledUntil = Math.max(this.#stalledUntil, now + 2 * tickMs);
  }

  /** A worker of the present leader has reported here without having been redirected. */
  recordUnexpectedReport(machine: string, now: number): void {
    // Latest last, so that what grows old is found at the front.
    this.#unexpectedReports.delete(machine);
    this.#unexpectedReports.set(machine, now);
  }

  /** Workers that have recently reported here without having been redirected. */
  unexpectedReports(now: number): number {
    for (const [machine, at] of this.#unexpectedReports) {
      if (now - at <= this.timing.maxHeartbeatIntervalMs) break;
      this.#unexpectedReports.delete(machine);
    }
    return this.#unexpectedReports.size;
  }

  /** Another leads: what reports said of its predecessor is void. */
  clearUnexpectedReports(): void {
    this.#unexpectedReports.clear();
  }

  /** How this node hears its workers as a leader; null: it does not lead. */
  setWorkerHealth(hearing: HealthCounts | null, machines = 0, ledFrom = Infinity): void {
    this.#health = hearing;
    this.#leaderSince = ledFrom;
    this.#machineCount = machines;
  }

  setProbeRound(probeRound: ProbeRound): void {
    this.#probeRound = probeRound;
  }

  get probeRound(): ProbeRound {
    return this.#probeRound;
  }

  /** How late this node's timers are, in milliseconds; it fades. */
  timerLagMs(now: number): number {
    return Math.round(
      this.#timerLagMs * Math.exp(-Math.max(0, now - this.#timerLagAt) / this.timing.maxHeartbeatIntervalMs),
    );
  }

  /** Whether this node has stood still and not caught up: it suspects nobody meanwhile. */
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

  /** The last status of a peer; null: none yet. */
  statusOf(node: string): MemberStatus | null {
    return this.#peers.get(node)?.status ?? null;
  }

  /** When the link to a node broke or was refused, with no word of it since; null: it is not so. */
  linkLostAt(node: string): number | null {
    return this.#peers.get(node)?.linkLostAt ?? null;
  }

  /** How often in a row a node has refused the link. */
  consecutiveRefusals(node: string): number {
    return this.#peers.get(node)?.consecutiveRefusals ?? 0;
  }

  /** Whether a peer has been heard within the longest report. */
  hasContact(node: string, now: number): boolean {
    const lastStatusAt = this.#peers.get(node)?.lastStatusAt ?? null;
    return lastStatusAt !== null && now - lastStatusAt < this.timing.maxHeartbeatIntervalMs;
  }

  /** Whether another controller than one is heard. */
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

  /** Brings the levels up to date; those that changed. */
  assess(now: number, storeContactAgeMs: number): SuspicionState[] {
    const changed: SuspicionState[] = [];
    for (const peer of this.#peers.values()) {
      if (peer.lastStatusAt === null) continue;
      const context = this.#evidenceContext(peer, now, storeContactAgeMs);
      // While this node itself was standing still, everybody seemed silent.
      if (context.local.isStalled) continue;
      const suspicion = this.table.suspected.find((row) => row.holds(peer, context));
      // Of others than a leader no verdict is needed: none would allow anything.
      const crashed =
        suspicion !== undefined &&
        peer.status?.isLeader === true &&
        this.table.crashed.every((row) => row.holds(peer, context));
      const level: SuspicionLevel = crashed ? 'given up' : suspicion === undefined ? 'trusted' : 'suspected';
      const before = this.#suspicions.get(peer.node);
      // What was given up is taken back by its own word only.
      if (before?.level === level || (before?.level === 'given up' && level === 'suspected')) continue;
      const evidence = crashed
        ? this.table.crashed.map(({ name }) => name).join(', ')
        : (suspicion?.name ?? 'it speaks');
      const state: SuspicionState = { node: peer.node, level, since: now, evidence };
      this.#suspicions.set(peer.node, state);
      changed.push(state);
      if (level === 'suspected' && before?.level === 'trusted') this.#recordSuspicion(peer.node, now);
    }
    return changed;
  }

  #recordSuspicion(node: string, now: number): void {
    const times = this.#suspicionCount(node, now);
    this.#recentSuspicions.set(node, { times: times + 1, at: now });
  }

  /** Suspicions are forgotten one by one, each in eight leases of a worker. */
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
   * Whether a peer has been heard and trusted without a gap for so long, and longer the more often it
   * was recently suspected: the leadership is not transferred to one that flaps.
   */
  isStable(node: string, settled: number, now: number): boolean {
    const peer = this.#peers.get(node);
    const suspicion = this.#suspicions.get(node);
    if (peer === undefined || suspicion === undefined || suspicion.level !== 'trusted') return false;
    const wait = settled * Math.min(MAX_SETTLING_FACTOR, 2 ** this.#suspicionCount(node, now));
    return now - Math.max(peer.contactSince, suspicion.since) > wait;
  }

  /** Whether a leader may hand over to a peer as it is now. */
  isEligibleSuccessor(node: string, now: number, storeContactAgeMs: number): boolean {
    const peer = this.#peers.get(node);
    return peer !== undefined && this.#isEligible(peer, now, storeContactAgeMs);
  }

  #isEligible(peer: Peer, now: number, storeContactAgeMs: number): boolean {
    const context = this.#evidenceContext(peer, now, storeContactAgeMs);
    return this.table.eligibleSuccessor.every((row) => row.holds(peer, context));
  }

  /** Whether the leader that this node follows may be succeeded before its lease is over. */
  mayReplaceEarly(leader: string, now: number, storeContactAgeMs: number): boolean {
    const peer = this.#peers.get(leader);
    if (peer === undefined) return false;
    const context = this.#evidenceContext(peer, now, storeContactAgeMs);
    return this.table.crashed.every((row: EvidenceRule) => row.holds(peer, context));
  }

  /** Whether this node, as a leader, should ask what the others meet at machines that it does not hear. */
  isMissingHeartbeats(now: number, storeContactAgeMs: number): boolean {
    const own = this.#localState(now, storeContactAgeMs);
    return !own.isStalled && isMissingHeartbeats(own, this.timing);
  }

  /** Whether this node is slow, and behind its timers, and has been for a while. */
  isLagging(now: number): boolean {
    return (
      this.processingRate.isSlow &&
      this.#laggingSince !== null &&
      now - this.#laggingSince > this.timing.maxHeartbeatIntervalMs
    );
  }

  /**
   * To whom this node, as a leader, should hand over, and why; null: it leads on. Of several the one that
   * hears most, then one that is to lead rather than others.
   */
  chooseSuccessor(
    now: number,
    storeContactAgeMs: number,
    preferred: ReadonlySet<string> = new Set(),
  ): Resignation | null {
    if (this.isStalled(now) && this.#laggingSince === null) return null;
    const best: { peer: Peer; why: string }[] = [];
    for (const peer of this.#peers.values()) {
      if (!this.#isEligible(peer, now, storeContactAgeMs)) continue;
      const context = this.#evidenceContext(peer, now, storeContactAgeMs);
      const row = this.table.transfer.find(({ holds }) => holds(peer, context));
      if (row !== undefined) best.push({ peer, why: row.name });
    }
    // All of them are eligible. One that is not preferred would transfer the leadership again.
    const rank = ({ peer: { node } }: { peer: Peer }): number => (preferred.has(node) ? 1 : 0);
    const reach = ({ peer: { status } }: { peer: Peer }): number =>
      (status?.reachable ?? 0) + (status?.unexpectedReports ?? 0);
    best.sort((a, b) => rank(b) - rank(a) || reach(b) - reach(a) || (a.peer.node < b.peer.node ? -1 : 1));
    const first = best[0];
    if (first === undefined) return null;
    // A preferred peer that has not answered the probe round yet is waited for: another would transfer again.
    const awaited = (node: string): boolean =>
      preferred.has(node) &&
      this.hasContact(node, now) &&
      this.#peers.get(node)?.status?.probeRound !== this.probeRound.round;
    const early = now - this.probeRound.startedAt < this.timing.tickMs;
    if (early && rank(first) === 0 && [...this.#peers.keys()].some(awaited)) return null;
    return { to: first.peer.node, reason: first.why };
  }
}
