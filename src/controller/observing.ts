/**
 * Observing: what this node sees of the others goes into the membership, and what that concludes is
 * carried out: workers' machines are knocked at for a leader, a leader hands over, a crashed one is
 * succeeded.
 */
import type { Machine } from '../core/state.js';
import { Membership, type Standing, type Yield } from '../membership/membership.js';
import type { Link, View } from '../membership/views.js';
import { stateAgeMs, type Common } from './common.js';
import type { Sights } from './peering.js';

/** A leader asks what others meet at so many machines. */
const MOST_ASKED = 8;

export interface Conclusions {
  /** The leader that this node follows has crashed: it may be succeeded now. */
  inherit(): void;
  /** This node leads and should not. */
  yieldTo(to: Yield): void;
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

  constructor(
    private readonly common: Common,
    private readonly conclude: Conclusions,
  ) {
    const names = common.settings.others.map(({ host_name }) => host_name);
    this.membership = new Membership(names, common.timing);
  }

  get #now(): number {
    return this.common.ports.clock.mono();
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
    if (link === 'refused' && this.membership.lostAt(node) !== null) this.conclude.tell();
  }

  /** A worker of the present leader came by, sent by nobody. */
  strayed(machine: string): void {
    this.membership.strayed(machine, this.#now);
    const strays = this.membership.strays(this.#now);
    if (strays < this.#told / 2) this.#told = strays;
    if (strays <= 2 * this.#told + 2) return;
    this.#told = strays;
    this.conclude.tell();
    this.#conclude();
  }

  /** At every tick: how late it came. */
  tick(lateMs: number): void {
    const now = this.#now;
    this.membership.ticked(lateMs, now);
    const { leadership, hearing } = this.common.owner.state;
    this.membership.hears(leadership === null ? null : hearing);
    if (leadership !== null && this.membership.isDeaf(now, stateAgeMs(this.common))) this.#ask(now);
    else if (this.#asks.length > 0 && now - this.#askedAt > this.common.timing.longestReport) this.#asks = [];
    this.#conclude();
  }

  get doubtsItself(): boolean {
    return this.membership.doubtsItself(this.#now);
  }

  #conclude(): void {
    const now = this.#now;
    const age = stateAgeMs(this.common);
    for (const standing of this.membership.assess(now, age)) this.#log(standing, now);
    const { standing, owner } = this.common;
    const { leadership } = owner.state;
    if (leadership !== null) {
      if (leadership.closing === true) return;
      const to = this.membership.yieldsTo(now, age);
      if (to !== null) this.conclude.yieldTo(to);
    } else if (standing.leader !== null && this.membership.mayInherit(standing.leader, now, age))
      this.conclude.inherit();
  }

  #log({ node, level, evidence, since }: Standing, now: number): void {
    const view = this.membership.viewOf(node);
    const detail = { peer: node, evidence, forMs: Math.round(now - since), lateMs: view?.lateMs ?? 0 };
    this.common.ports.log.info(detail, level);
  }

  /** Machines that should speak and are not heard, evenly from all of them. */
  #unheard(now: number): Machine[] {
    const { state } = this.common.owner;
    const from = now - 2 * this.common.timing.tick;
    const silent = [...state.machines.values()].filter(
      ({ heardAt, address, leaving, claims }) =>
        address !== '' && leaving === null && (heardAt === null ? claims.size > 0 : heardAt < from),
    );
    const step = Math.max(1, silent.length / MOST_ASKED);
    return Array.from(
      { length: Math.min(MOST_ASKED, silent.length) },
      (_, i) => silent[Math.floor(i * step)],
    ).filter((machine) => machine !== undefined);
  }

  /** Asks the others what they meet at a few of the machines that are not heard, and looks for itself. */
  #ask(now: number): void {
    if (now - this.#askedAt < this.common.timing.longestReport) return;
    this.#askedAt = now;
    this.#asks = this.#unheard(now).map(({ address }) => address);
    if (this.#asks.length === 0) return;
    const round = this.membership.knocks.round + 1;
    this.membership.knocked({ round, met: 0, unmet: 0 });
    this.common.ports.log.info(
      { asks: this.#asks.length, ...this.common.owner.state.hearing },
      'hears few workers',
    );
    this.conclude.tell();
    void this.#knock(this.#asks, round);
  }

  async #knockFor({ asks, round }: View): Promise<void> {
    this.#answered = round;
    // A round of the leader's: this node has none of its own meanwhile.
    this.membership.knocked({ round, met: 0, unmet: 0 });
    await this.#knock(asks, round);
    this.conclude.tell();
  }

  async #knock(addresses: readonly string[], round: number): Promise<void> {
    const found = await Promise.all(
      addresses.slice(0, MOST_ASKED).map((address) => this.common.ports.workers.isThere(address)),
    );
    if (this.membership.knocks.round !== round) return;
    const met = found.filter((one) => one === true).length;
    const unmet = found.filter((one) => one === false).length;
    this.membership.knocked({ round, met, unmet });
    this.#conclude();
  }

  /** What the others are told. */
  sights(): Sights {
    const now = this.#now;
    const { hearing, leadership } = this.common.owner.state;
    const { round, met, unmet } = this.membership.knocks;
    return {
      lateMs: this.membership.lateMs(now),
      sees: this.membership.sees(now),
      strays: this.membership.strays(now),
      heard: leadership === null ? 0 : (hearing?.heard ?? 0),
      expected: leadership === null ? 0 : (hearing?.expected ?? 0),
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
