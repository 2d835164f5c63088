/**
 * Observing: what this node sees of the others goes into the membership, and what that concludes is
 * carried out: workers' machines are knocked at for a leader, a leader hands over, a crashed one is
 * succeeded.
 */
import { Membership, type Standing, type Resignation } from '../membership/membership.js';
import { CUT_OFF, STRAYS } from '../membership/table.js';
import type { Link, View } from '../membership/views.js';
import { stateAgeMs, type Common } from './common.js';
import type { Sights } from './peering.js';

/** A leader asks what others meet at so many machines. */
const MOST_ASKED = 8;

export interface Conclusions {
  /** The leader that this node follows has crashed: it may be succeeded now. */
  inherit(): void;
  /** This node leads and should not. */
  yieldTo(to: Resignation): void;
  /** The nodes that are to lead rather than others. */
  preferred(): ReadonlySet<string>;
  /** Something has changed that the others should know at once. */
  tell(): void;
}

export class Observing {
  readonly membership: Membership;
  #asks: readonly string[] = [];
  #askedAt = -Infinity;
  /** Latest round in which this node knocked for another. */
  #answered = 0;
  #told = 0;
  /** It handed over because it reached no machine, and has heard no worker since. */
  #cutOff = false;

  constructor(
    private readonly common: Common,
    private readonly conclude: Conclusions,
  ) {
    const names = common.settings.others.map(({ host_name }) => host_name);
    this.membership = new Membership(names, common.timing, undefined, common.settings.cluster.quota.cpu);
  }

  get #now(): number {
    return this.common.ports.clock.monotonicMs();
  }

  onPeer(view: View): void {
    this.membership.heard(view, this.#now);
    const { standing } = this.common;
    const asked = view.leading && view.term >= standing.highestTerm && view.asks.length > 0;
    if (asked && view.round !== this.#answered) void this.#knockFor(view);
    this.#conclude();
  }

  onLink(node: string, link: Link): void {
    this.membership.linked(node, link, this.#now);
    this.#conclude();
    // Whoever waits for a second witness should not wait for the next word.
    if (link === 'refused' && this.membership.refusals(node) === 2) this.conclude.tell();
  }

  /** Whether it would be a leader that no worker reaches. */
  get isCutOff(): boolean {
    return this.#cutOff;
  }

  /** Some worker has reached this node. */
  metWorker(): void {
    this.#cutOff = false;
  }

  /** A worker of the present leader came by, sent by nobody. */
  strayed(machine: string): void {
    this.membership.strayed(machine, this.#now);
    const strays = this.membership.strays(this.#now);
    if (strays < STRAYS) this.#told = 0;
    if (strays < Math.max(STRAYS, 2 * this.#told)) return;
    this.#told = strays;
    this.conclude.tell();
    this.#conclude();
  }

  /** At every tick: how late it came. */
  tick(lateMs: number): void {
    const now = this.#now;
    this.membership.ticked(lateMs, now);
    const { leadership, health, machines } = this.common.owner.state;
    this.membership.hears(leadership === null ? null : health, machines.size, leadership?.since);
    if (leadership !== null && this.membership.isDeaf(now, stateAgeMs(this.common))) this.#ask(now, true);
    else if (leadership !== null && this.membership.isBehind(now)) this.#ask(now, false);
    else if (this.#asks.length > 0 && now - this.#askedAt > this.common.timing.maxHeartbeatIntervalMs)
      this.#asks = [];
    this.#conclude();
  }

  /** Whether it is behind its timers. */
  get isBusy(): boolean {
    return this.membership.lateMs(this.#now) > this.common.timing.tickMs / 4;
  }

  get doubtsItself(): boolean {
    return this.membership.doubtsItself(this.#now);
  }

  #conclude(): void {
    const now = this.#now;
    const age = stateAgeMs(this.common);
    const changed = this.membership.assess(now, age);
    for (const standing of changed) this.#log(standing, now);
    // What one concludes by itself the others may need as a second witness.
    if (changed.some(({ level }) => level !== 'trusted')) this.conclude.tell();
    const { standing, owner } = this.common;
    const { leadership } = owner.state;
    if (leadership !== null) {
      if (leadership.isTransferring === true) return;
      const to = this.membership.yieldsTo(now, age, this.conclude.preferred());
      if (to === null) return;
      this.#cutOff ||= to.why === CUT_OFF;
      this.conclude.yieldTo(to);
    } else if (
      standing.leader !== null &&
      !this.#cutOff &&
      this.membership.mayInherit(standing.leader, now, age)
    )
      this.conclude.inherit();
  }

  #log({ node, level, evidence, since }: Standing, now: number): void {
    const view = this.membership.viewOf(node);
    const detail = { peer: node, evidence, forMs: Math.round(now - since), lateMs: view?.lateMs ?? 0 };
    this.common.ports.log.info(detail, level);
  }

  /** Whether this node, as a leader, may hand over to a peer; what that needs to be known is asked for. */
  isFit(node: string): boolean {
    const now = this.#now;
    if (this.membership.isFit(node, now, stateAgeMs(this.common))) return true;
    this.#ask(now, false);
    return false;
  }

  /** A few machines evenly from all of them, or from those that should speak and are not heard. */
  #sample(now: number, unheard: boolean): string[] {
    const { state } = this.common.owner;
    const from = now - 2 * this.common.timing.tickMs;
    const all = [...state.machines.values()].filter(
      ({ lastHeartbeatAt, address, terminationReason, claims }) =>
        address !== '' &&
        terminationReason === null &&
        (lastHeartbeatAt === null ? unheard && claims.size > 0 : !unheard || lastHeartbeatAt < from),
    );
    const step = Math.max(1, all.length / MOST_ASKED);
    const picked = Array.from(
      { length: Math.min(MOST_ASKED, all.length) },
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
    const round = this.membership.knocks.round + 1;
    this.membership.knocked({ round, met: 0, unmet: 0, asked: this.#asks.length, at: now });
    const { health } = this.common.owner.state;
    if (unheard) this.common.ports.log.info({ asks: this.#asks.length, ...health }, 'hears few workers');
    this.conclude.tell();
    void this.#knock(this.#asks, round);
  }

  async #knockFor({ asks, round }: View): Promise<void> {
    this.#answered = round;
    // A round of the leader's: this node has none of its own meanwhile.
    this.membership.knocked({ round, met: 0, unmet: 0, asked: asks.length, at: this.#now });
    await this.#knock(asks, round);
    this.conclude.tell();
  }

  async #knock(addresses: readonly string[], round: number): Promise<void> {
    const found = await Promise.all(
      addresses.slice(0, MOST_ASKED).map((address) => this.common.ports.workers.probe(address)),
    );
    if (this.membership.knocks.round !== round) return;
    const met = found.filter((one) => one === true).length;
    const unmet = found.filter((one) => one === false).length;
    this.membership.knocked({ ...this.membership.knocks, met, unmet });
    this.#conclude();
  }

  /** What the others are told. */
  sights(): Sights {
    const now = this.#now;
    const { health, leadership } = this.common.owner.state;
    const { round, met, unmet } = this.membership.knocks;
    return {
      lateMs: this.membership.lateMs(now),
      sees: this.membership.sees(now),
      strays: this.membership.strays(now),
      heard: leadership === null ? 0 : (health?.reporting ?? 0),
      expected: leadership === null ? 0 : (health?.expected ?? 0),
      asks: leadership === null ? [] : this.#asks,
      round,
      met,
      unmet,
    };
  }

  /** For the status page: who is suspected, since when, on what evidence. */
  describe(): object[] {
    const now = this.#now;
    return this.membership.standings().map(({ node, level, since, evidence }) => ({
      node,
      level,
      ...(Number.isFinite(since) ? { forMs: Math.round(now - since) } : {}),
      evidence,
    }));
  }
}
