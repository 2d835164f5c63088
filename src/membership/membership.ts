/**
 * What one controller makes of the others: evidence kept apart by kind and by who saw it, levels of
 * suspicion, and the verdicts that the table allows. No I/O, clock or randomness: whoever owns it
 * tells it what is seen, with the steady time.
 */
import type { Timing } from '../core/timing.js';
import { Gaps } from './accrual.js';
import { Pace } from './pace.js';
import { isDeaf, TABLE, toldEvery, type Own, type Peer, type Row, type Scene, type Table } from './table.js';
import type { Hearing, Link, Round, Sight, View } from './views.js';

export type Level = 'trusted' | 'suspected' | 'given up';

export interface Standing {
  readonly node: string;
  readonly level: Level;
  /** Steady time. */
  readonly since: number;
  readonly evidence: string;
}

/** A leader's hand-over: to whom, and why. */
export interface Resignation {
  readonly to: string;
  readonly why: string;
}

/** A node that was doubted has to be heard well for longer before anybody hands over to it: at most so many times. */
const MOST_SETTLING = 8;

/** A process that fired so many timers in time has caught up. */
const IN_TIME = 3;

/** Lives of a peer that are remembered as over. */
const MOST_LIVES = 50;

export class Membership {
  readonly #peers = new Map<string, Peer>();
  readonly #levels = new Map<string, Standing>();
  /** How often a peer was doubted of late, and when last. */
  readonly #doubts = new Map<string, { times: number; at: number }>();
  readonly #strays = new Map<string, number>();
  readonly pace: Pace;
  #lateMs = 0;
  #lateAt = -Infinity;
  #behindSince: number | null = null;
  #doubtUntil = -Infinity;
  #hearing: Hearing | null = null;
  #knocks: Round = { round: 0, met: 0, unmet: 0, asked: 0, at: -Infinity };
  #machines = 0;
  #ledFrom = Infinity;
  /** Timers in a row that fired in time. */
  #inTime = 0;

  constructor(
    others: readonly string[],
    private readonly timing: Timing,
    private readonly table: Table = TABLE,
    /** This node's share of a processor. */
    share = 1,
  ) {
    this.pace = new Pace(timing, share);
    for (const node of others) {
      this.#peers.set(node, {
        node,
        view: null,
        heardAt: null,
        since: -Infinity,
        gaps: new Gaps(toldEvery(timing)),
        link: 'silent',
        linkAt: -Infinity,
        lostAt: null,
        refusals: 0,
        formerLives: [],
      });
      this.#levels.set(node, { node, level: 'trusted', since: -Infinity, evidence: 'not heard yet' });
    }
  }

  /** Whether a word is not one of a life that another has followed: such may have been held back. */
  isPresentLife({ node, incarnation }: Pick<View, 'node' | 'incarnation'>): boolean {
    return this.#peers.get(node)?.formerLives.includes(incarnation) !== true;
  }

  /** Whether a peer is heard, its link is up, and it is not behind its timers. */
  keepsUp(node: string, now: number): boolean {
    const peer = this.#peers.get(node);
    if (peer?.view == null || peer.link !== 'up') return false;
    return this.isHeard(node, now) && peer.view.lateMs < 2 * this.timing.tickMs;
  }

  /** A peer's own word refutes at once what was suspected of it. */
  heard(view: View, now: number): void {
    const peer = this.#peers.get(view.node);
    if (peer === undefined || !this.isPresentLife(view)) return;
    const former = peer.view?.incarnation;
    if (former !== undefined && former !== view.incarnation) peer.formerLives.push(former);
    if (peer.formerLives.length > MOST_LIVES) peer.formerLives.shift();
    const gap = peer.heardAt === null || now - peer.heardAt > 2 * this.timing.maxHeartbeatIntervalMs;
    if (gap || peer.view?.incarnation !== view.incarnation) {
      peer.since = now;
      peer.gaps.restart(now);
    } else peer.gaps.note(now);
    peer.view = view;
    peer.heardAt = now;
    // A word may have been on its way when the link broke; the link itself has to come back.
    if (peer.link !== 'refused' && peer.link !== 'lost') peer.lostAt = null;
  }

  linked(node: string, link: Link, now: number): void {
    const peer = this.#peers.get(node);
    if (peer === undefined) return;
    if (link === 'refused') peer.refusals += 1;
    if (link === 'up') {
      peer.lostAt = null;
      peer.refusals = 0;
    } else if (link !== 'silent' && peer.lostAt === null && peer.heardAt !== null) {
      // One that was never heard may only not have started yet.
      peer.lostAt = now;
      peer.refusals = link === 'refused' ? 1 : 0;
    }
    peer.link = link;
    peer.linkAt = now;
  }

  /** How late this node's own timer fired. */
  ticked(lateMs: number, now: number): void {
    const { tickMs, maxHeartbeatIntervalMs } = this.timing;
    // The worst of late, fading: one timer that fires in time does not make a slow process fast.
    const faded = this.#lateMs * Math.exp(-(now - this.#lateAt) / maxHeartbeatIntervalMs);
    this.#lateMs = Math.max(lateMs, Number.isFinite(faded) ? faded : 0);
    this.#lateAt = now;
    this.#inTime = lateMs > tickMs / 2 ? 0 : this.#inTime + 1;
    // A single stall makes nobody slow.
    if (this.#inTime >= IN_TIME) this.#behindSince = null;
    else if (lateMs > tickMs / 2) this.#behindSince ??= now;
    // What came meanwhile lies in queues: nobody is judged before it is worked off.
    if (lateMs > 2 * tickMs) this.#doubtUntil = now + maxHeartbeatIntervalMs;
    else if (lateMs > tickMs) this.#doubtUntil = Math.max(this.#doubtUntil, now + 2 * tickMs);
  }

  /** A worker that has served the present leader came by, sent by nobody. */
  strayed(machine: string, now: number): void {
    // Latest last, so that what grows old is found at the front.
    this.#strays.delete(machine);
    this.#strays.set(machine, now);
  }

  /** Workers that came by of late, sent by nobody. */
  strays(now: number): number {
    for (const [machine, at] of this.#strays) {
      if (now - at <= this.timing.maxHeartbeatIntervalMs) break;
      this.#strays.delete(machine);
    }
    return this.#strays.size;
  }

  /** Another leads: who strayed from the one before says nothing of it. */
  forgetStrays(): void {
    this.#strays.clear();
  }

  /** How this node hears its workers as a leader; null: it does not lead. */
  hears(hearing: Hearing | null, machines = 0, ledFrom = Infinity): void {
    this.#hearing = hearing;
    this.#ledFrom = ledFrom;
    this.#machines = machines;
  }

  knocked(knocks: Round): void {
    this.#knocks = knocks;
  }

  get knocks(): Round {
    return this.#knocks;
  }

  lateMs(now: number): number {
    return Math.round(
      this.#lateMs * Math.exp(-Math.max(0, now - this.#lateAt) / this.timing.maxHeartbeatIntervalMs),
    );
  }

  /** Whether this node has stood still and not caught up: it doubts itself before it doubts others. */
  doubtsItself(now: number): boolean {
    return now < this.#doubtUntil;
  }

  sees(now: number): Sight[] {
    return [...this.#peers.values()].map(({ node, heardAt, link }) => ({
      node,
      ageMs: heardAt === null ? 0xffffffff : Math.round(Math.max(0, now - heardAt)),
      link,
    }));
  }

  viewOf(node: string): View | null {
    return this.#peers.get(node)?.view ?? null;
  }

  /** When the link to a node broke or was refused, with no word of it since; null: it is not so. */
  lostAt(node: string): number | null {
    return this.#peers.get(node)?.lostAt ?? null;
  }

  /** How often in a row a node has refused the link. */
  refusals(node: string): number {
    return this.#peers.get(node)?.refusals ?? 0;
  }

  /** Whether a peer has been heard within the longest report. */
  isHeard(node: string, now: number): boolean {
    const heardAt = this.#peers.get(node)?.heardAt ?? null;
    return heardAt !== null && now - heardAt < this.timing.maxHeartbeatIntervalMs;
  }

  /** Whether another controller than one is heard. */
  hearsBeside(node: string | null, now: number): boolean {
    return [...this.#peers.values()].some(
      (peer) => peer.node !== node && peer.lostAt === null && this.isHeard(peer.node, now),
    );
  }

  #own(now: number, stateAgeMs: number): Own {
    return {
      stateAgeMs,
      lateMs: this.lateMs(now),
      behindSince: this.#behindSince,
      ledFrom: this.#ledFrom,
      isSlow: this.pace.isSlow,
      doubtsItself: this.doubtsItself(now),
      strays: this.strays(now),
      hearing: this.#hearing,
      knocks: this.#knocks,
      machines: this.#machines,
    };
  }

  #scene(peer: Peer, now: number, stateAgeMs: number): Scene {
    const witnesses = [...this.#peers.values()].filter(
      (other) => other !== peer && other.lostAt === null && this.isHeard(other.node, now),
    );
    return { now, timing: this.timing, own: this.#own(now, stateAgeMs), witnesses };
  }

  /** Brings the levels up to date; those that changed. */
  assess(now: number, stateAgeMs: number): Standing[] {
    const changed: Standing[] = [];
    for (const peer of this.#peers.values()) {
      if (peer.heardAt === null) continue;
      const scene = this.#scene(peer, now, stateAgeMs);
      // While this node itself was standing still, everybody seemed silent.
      if (scene.own.doubtsItself) continue;
      const suspicion = this.table.suspicions.find((row) => row.holds(peer, scene));
      // Of others than a leader no verdict is needed: none would allow anything.
      const crashed =
        suspicion !== undefined &&
        peer.view?.leading === true &&
        this.table.crashed.every((row) => row.holds(peer, scene));
      const level: Level = crashed ? 'given up' : suspicion === undefined ? 'trusted' : 'suspected';
      const before = this.#levels.get(peer.node);
      // What was given up is taken back by its own word only.
      if (before?.level === level || (before?.level === 'given up' && level === 'suspected')) continue;
      const evidence = crashed
        ? this.table.crashed.map(({ name }) => name).join(', ')
        : (suspicion?.name ?? 'it speaks');
      const standing: Standing = { node: peer.node, level, since: now, evidence };
      this.#levels.set(peer.node, standing);
      changed.push(standing);
      if (level === 'suspected' && before?.level === 'trusted') this.#doubt(peer.node, now);
    }
    return changed;
  }

  #doubt(node: string, now: number): void {
    const times = this.#doubtsOf(node, now);
    this.#doubts.set(node, { times: times + 1, at: now });
  }

  /** Doubts are forgotten one by one, each in eight leases of a worker. */
  #doubtsOf(node: string, now: number): number {
    const doubts = this.#doubts.get(node);
    if (doubts === undefined) return 0;
    return Math.max(0, doubts.times - Math.floor((now - doubts.at) / (8 * this.timing.workerLeaseMs)));
  }

  standings(): Standing[] {
    return [...this.#levels.values()];
  }

  levelOf(node: string): Level {
    return this.#levels.get(node)?.level ?? 'trusted';
  }

  /**
   * Whether a peer has been heard and trusted without a gap for so long, and longer the more often it
   * was doubted of late: leadership is not handed back to one that flaps.
   */
  isSettled(node: string, settled: number, now: number): boolean {
    const peer = this.#peers.get(node);
    const standing = this.#levels.get(node);
    if (peer === undefined || standing === undefined || standing.level !== 'trusted') return false;
    const wait = settled * Math.min(MOST_SETTLING, 2 ** this.#doubtsOf(node, now));
    return now - Math.max(peer.since, standing.since) > wait;
  }

  /** Whether a leader may hand over to a peer as it is now. */
  isFit(node: string, now: number, stateAgeMs: number): boolean {
    const peer = this.#peers.get(node);
    return peer !== undefined && this.#isFit(peer, now, stateAgeMs);
  }

  #isFit(peer: Peer, now: number, stateAgeMs: number): boolean {
    const scene = this.#scene(peer, now, stateAgeMs);
    return this.table.fit.every((row) => row.holds(peer, scene));
  }

  /** Whether the leader that this node follows may be succeeded before its lease is over. */
  mayInherit(leader: string, now: number, stateAgeMs: number): boolean {
    const peer = this.#peers.get(leader);
    if (peer === undefined) return false;
    const scene = this.#scene(peer, now, stateAgeMs);
    return this.table.crashed.every((row: Row) => row.holds(peer, scene));
  }

  /** Whether this node, as a leader, should ask what the others meet at machines that it does not hear. */
  isDeaf(now: number, stateAgeMs: number): boolean {
    const own = this.#own(now, stateAgeMs);
    return !own.doubtsItself && isDeaf(own, this.timing);
  }

  /** Whether this node is slow, and behind its timers, and has been for a while. */
  isBehind(now: number): boolean {
    return (
      this.pace.isSlow &&
      this.#behindSince !== null &&
      now - this.#behindSince > this.timing.maxHeartbeatIntervalMs
    );
  }

  /**
   * To whom this node, as a leader, should hand over, and why; null: it leads on. Of several the one that
   * hears most, then one that is to lead rather than others.
   */
  yieldsTo(now: number, stateAgeMs: number, preferred: ReadonlySet<string> = new Set()): Resignation | null {
    if (this.doubtsItself(now) && this.#behindSince === null) return null;
    const best: { peer: Peer; why: string }[] = [];
    for (const peer of this.#peers.values()) {
      if (!this.#isFit(peer, now, stateAgeMs)) continue;
      const scene = this.#scene(peer, now, stateAgeMs);
      const row = this.table.yields.find(({ holds }) => holds(peer, scene));
      if (row !== undefined) best.push({ peer, why: row.name });
    }
    // All of them are fit. One that is not to lead, though it met one machine more, would hand over again.
    const rank = ({ peer: { node } }: { peer: Peer }): number => (preferred.has(node) ? 1 : 0);
    const reach = ({ peer: { view } }: { peer: Peer }): number => (view?.met ?? 0) + (view?.strays ?? 0);
    best.sort((a, b) => rank(b) - rank(a) || reach(b) - reach(a) || (a.peer.node < b.peer.node ? -1 : 1));
    const first = best[0];
    if (first === undefined) return null;
    // The first answer to a round of knocks came from one that would hand over again a moment later.
    const awaited = (node: string): boolean =>
      preferred.has(node) &&
      this.isHeard(node, now) &&
      this.#peers.get(node)?.view?.round !== this.knocks.round;
    const early = now - this.knocks.at < this.timing.tickMs;
    if (early && rank(first) === 0 && [...this.#peers.keys()].some(awaited)) return null;
    return { to: first.peer.node, why: first.why };
  }
}
