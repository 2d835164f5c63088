/**
 * Leadership. One transaction creates the leased `leader` key and raises the lasting
 * `term` key; the term is the token that workers see. Whatever the leader writes is
 * conditional on the stamp of `term`, so nothing that an earlier leader sent takes
 * effect once a later one is elected.
 */
import type { Clock } from '../clock.js';
import type { StateService } from '../adapters/state.js';
import type { Timing } from '../settings.js';
import { decodeLeader, decodeTerm, LEADER_KEY, TERM_KEY, type LeaderRecord } from '../core/records.js';

export interface Elected {
  readonly term: number;
  readonly stamp: number;
  /** Steady time at which the winning transaction was sent. */
  readonly provenAt: number;
}

export interface ElectionEvents {
  /** Resolves when the leadership is over for this node's own reasons. */
  elected(won: Elected): void;
  /** The lease ended: another node may lead. */
  lost(): void;
  leaderKnown(leader: LeaderRecord | null): void;
}

export class Election {
  #stopped = false;
  #abandoned = false;

  constructor(
    private readonly node: string,
    private readonly incarnation: string,
    private readonly state: StateService,
    private readonly clock: Clock,
    private readonly timing: Timing,
    private readonly events: ElectionEvents,
    /** How long this node waits before it stands, so that better placed ones come first. */
    private readonly handicap = 0,
  ) {}

  stop(): void {
    this.#stopped = true;
  }

  /** The owner has stepped down of itself; let the lease go and stand again. */
  abandon(): void {
    this.#abandoned = true;
  }

  async run(): Promise<void> {
    const pause = this.timing.tick;
    let deferred = false;
    while (!this.#stopped) {
      const read = await this.state.read(LEADER_KEY);
      if (read === 'unknown') {
        await this.clock.sleep(pause);
        continue;
      }
      const leader = decodeLeader(read.entry?.value);
      if (read.entry !== null && leader?.node !== this.node) {
        this.events.leaderKnown(leader);
        await this.#waitForEnd(read.entry.stamp);
        continue;
      }
      if (read.entry === null && !deferred && this.handicap > 0) {
        deferred = true;
        await this.clock.sleep(this.handicap);
        continue;
      }
      deferred = false;
      // Either nobody leads, or an earlier life of this very node does: it is over.
      const won = await this.#stand(read.entry?.stamp ?? 0);
      if (won === null) await this.clock.sleep(pause / 2);
      else await this.#hold(won.elected, won.lease);
    }
  }

  async #waitForEnd(stamp: number): Promise<void> {
    const found = await this.state.watch(LEADER_KEY, stamp, 4 * this.timing.leaderLease);
    if (found.kind === 'unknown') await this.clock.sleep(this.timing.tick);
  }

  async #stand(leaderStamp: number): Promise<{ elected: Elected; lease: number } | null> {
    const [lease, read] = await Promise.all([
      this.state.grant(this.timing.leaderLease),
      this.state.read(TERM_KEY),
    ]);
    if (lease === null || read === 'unknown') return null;
    const term = (decodeTerm(read.entry?.value)?.term ?? 0) + 1;
    const record: LeaderRecord = { term, node: this.node, incarnation: this.incarnation };
    const provenAt = this.clock.mono();
    const outcome = await this.state.commit({
      when: [
        { key: LEADER_KEY, stamp: leaderStamp },
        { key: TERM_KEY, stamp: read.entry?.stamp ?? 0 },
      ],
      apply: [
        { put: LEADER_KEY, value: record, lease },
        { put: TERM_KEY, value: { term } },
      ],
    });
    if (outcome.kind === 'applied') return { elected: { term, stamp: outcome.revision, provenAt }, lease };
    if (outcome.kind !== 'unknown') return null;
    // No answer: it counts if our own record of this life stands there.
    const [leader, kept] = await Promise.all([this.state.read(LEADER_KEY), this.state.read(TERM_KEY)]);
    if (leader === 'unknown' || kept === 'unknown' || kept.entry === null) return null;
    const seen = decodeLeader(leader.entry?.value);
    const won = seen?.incarnation === this.incarnation && seen.term === term;
    if (!won || decodeTerm(kept.entry.value)?.term !== term) return null;
    return { elected: { term, stamp: kept.entry.stamp, provenAt }, lease };
  }

  async #hold(elected: Elected, lease: number): Promise<void> {
    this.#abandoned = false;
    this.events.elected(elected);
    while (!this.#stopped && !this.#abandoned) {
      await this.clock.sleep(this.timing.renewEvery);
      const renewed = await this.state.renew(lease);
      if (renewed === false) break;
    }
    // Whoever stands next need not wait for the lease to run out.
    if (this.#abandoned) await this.state.revoke(lease);
    this.events.lost();
  }
}
