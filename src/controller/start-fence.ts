/**
 * Tells when no controller can send a start any more of a job that was cancelled at a revision of the key-value store.
 *
 * A leader sends starts on a view of the jobs that may be as old as its lease, so it may not know of a cancellation
 * that another controller has committed. Before a user is told of it, either every controller has promised to send no
 * start on a view that does not cover the revision, or so much time has passed since the revision was known that the
 * lease of every start decided without it is over. A controller that cannot promise counts as one that has if it can
 * be shown to hold no leadership from before the revision. The argument: docs/safety.md, "Fresh starts".
 */
import type { Clock } from '../adapters/clock.js';
import { RevisionAges } from '../membership/revision-ages.js';
import type { MemberStatus } from '../membership/status.js';
import type { Log } from '../observability/logging.js';
import type { StartFenceMessage } from '../wire/start-fence.js';
import type { ElectedLeader } from './election-driver.js';

/** What a status of a peer says of its leadership: the term that it leads, or else the highest that it knows. */
export type AcknowledgedTerm = Pick<MemberStatus, 'term' | 'isLeader'>;

/** What the fence needs from its controller. */
export interface StartFenceContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly node: string;
  /** Names of the other configured controllers. */
  readonly peers: readonly string[];
  /** How often a request for a promise is repeated, in milliseconds. */
  readonly retryIntervalMs: number;
  /** For how long after its view was read any controller may send starts, in milliseconds; may decrease. */
  maxStartLeaseMs(): number;
  /** Has the command loop promise a revision for this node; it answers by {@link StartFence.onPromised}. */
  promise(revision: number): void;
  /** Sends a message; false: it cannot be sent. */
  send(to: string, message: StartFenceMessage): boolean;
  /** Followers that may still pass on starts that this node gave them. */
  forwarders(): readonly string[];
  /** Reads the latest term and its elected node from the store; null: not known. */
  readElectedLeader(): Promise<ElectedLeader | null>;
  /** The latest term that a peer has acknowledged in a status; null: none has arrived. */
  acknowledgedTerm(peer: string): AcknowledgedTerm | null;
}

/** The latest leader as of a revision of the store. */
interface LeaderAsOf extends ElectedLeader {
  readonly revision: number;
}

/** Monotonic clocks of two machines drift apart by at most this share. */
const MAX_CLOCK_DRIFT = 0.0005;
/** Margin for the rounding of times. */
const ROUNDING_MARGIN_MS = 1;
/** Share of the retry interval for which promises are awaited before the latest leader is read from the store. */
const LEADER_READ_DELAY_SHARE = 0.25;
/** How many retry intervals promises are awaited if the leases of starts do not end within a request's time limit. */
const PROMISE_RETRIES = 2;

/** Minimum time between two log lines about confirmations that take long, in milliseconds. */
const MIN_LOG_INTERVAL_MS = 1000;

/** Collects promises and lease expiries, and answers which revisions are fenced. */
export class StartFence {
  readonly #ages = new RevisionAges();
  #fenced = 0;
  #promised = 0;
  readonly #promisedByPeer = new Map<string, number>();
  /** By peer: the followers that may pass on starts of that peer, as of its latest promise. */
  readonly #forwardersByPeer = new Map<string, readonly string[]>();
  /** Revisions that peers have asked this node to promise and that it has not answered yet. */
  readonly #unanswered = new Map<string, number>();
  #requested = 0;
  #requestedAt = -Infinity;
  #leader: LeaderAsOf | null = null;
  #isReadingLeader = false;
  #leaderReadFailedAt = -Infinity;
  readonly #waiting = new Set<() => void>();
  #delayLoggedAt = -Infinity;

  constructor(private readonly context: StartFenceContext) {}

  /** Records that a revision of the store has been committed by now. */
  observe(revision: number): void {
    const now = this.context.clock.monotonicMs();
    this.#ages.observe(revision, now, now - this.#waitMs);
  }

  /** Whether no start leaves any controller any more on a view that does not cover this revision. */
  isFenced(revision: number): boolean {
    if (revision <= this.#fenced) return true;
    const expired = this.#ages.knownAt(this.context.clock.monotonicMs() - this.#waitMs);
    this.#fenced = Math.max(this.#fenced, expired, this.#promisedByAll());
    return revision <= this.#fenced;
  }

  /**
   * Resolves to true once a committed revision is fenced; to false if it is not by `deadline` (monotonic time in
   * milliseconds), or sooner if it cannot be by then without promises that do not arrive.
   */
  async untilFenced(revision: number, deadline: number): Promise<boolean> {
    this.observe(revision);
    if (this.isFenced(revision)) return true;
    const { clock, retryIntervalMs } = this.context;
    const startedAt = clock.monotonicMs();
    const until = this.#waitLimit(revision, deadline, startedAt);
    const readsLeaderAt = startedAt + LEADER_READ_DELAY_SHARE * retryIntervalMs;
    for (let now = startedAt; now < until && !this.isFenced(revision); now = clock.monotonicMs()) {
      this.#requestPromises(revision, now);
      if (now >= readsLeaderAt) void this.#readLeader(revision, now);
      const nextAttemptAt = now < readsLeaderAt ? readsLeaderAt : now + retryIntervalMs;
      await this.#untilChange(Math.ceil(Math.min(nextAttemptAt, until) - now));
    }
    const isFenced = this.isFenced(revision);
    const waitedMs = Math.round(clock.monotonicMs() - startedAt);
    if (waitedMs >= retryIntervalMs) this.#logDelay(revision, waitedMs, isFenced);
    return isFenced;
  }

  /** Monotonic time (ms) until which a request waits for a revision to be fenced. */
  #waitLimit(revision: number, deadline: number, now: number): number {
    const leasesEndAt = (this.#ages.firstKnownAt(revision) ?? now) + this.#waitMs;
    if (leasesEndAt <= deadline) return leasesEndAt + ROUNDING_MARGIN_MS;
    return Math.min(deadline, now + PROMISE_RETRIES * this.context.retryIntervalMs);
  }

  /** This node has promised to send no start on a view that does not cover a revision. */
  onPromised(revision: number): void {
    this.#promised = Math.max(this.#promised, revision);
    for (const [peer, requested] of this.#unanswered) {
      if (requested > this.#promised) continue;
      this.#unanswered.delete(peer);
      this.#send(peer, 0);
    }
    this.#notify();
  }

  /** Processes a peer's message. */
  receive({ node, requested, promised, fenced, forwarders }: StartFenceMessage): void {
    if (!this.context.peers.includes(node)) return;
    if (promised >= this.#promisedBy(node)) {
      this.#promisedByPeer.set(node, promised);
      this.#forwardersByPeer.set(node, forwarders);
    }
    this.#fenced = Math.max(this.#fenced, fenced);
    if (requested > this.#promised) {
      this.observe(requested);
      this.#unanswered.set(node, requested);
      this.context.promise(requested);
    } else if (requested > 0) this.#send(node, 0);
    this.#notify();
  }

  /** Notifies the fence that a peer has sent a status, which may acknowledge a later term. */
  onStatus(): void {
    this.#notify();
  }

  /** Time after a revision is known until no start that was decided without it can be sent, in milliseconds. */
  get #waitMs(): number {
    return this.context.maxStartLeaseMs() * (1 + MAX_CLOCK_DRIFT) + ROUNDING_MARGIN_MS;
  }

  #promisedByAll(): number {
    let lowest = this.#promised;
    for (const peer of this.context.peers) lowest = Math.min(lowest, this.#respectedBy(peer));
    return lowest;
  }

  /** The revision up to which a peer respects cancellations, by its promise or by its term; 0: not known. */
  #respectedBy(peer: string): number {
    return Math.max(this.#promisedBy(peer), this.#fencedByTerm(peer));
  }

  /**
   * The revision as of which a peer is known to hold no leadership: the latest leader as of it was another node, and
   * the peer has acknowledged that leader's term. It can lead again only in a later term, and then loads the jobs anew.
   * It may pass on starts of that leader, so the leader must have promised the revision, and not name the peer as one
   * that it has given starts before. Starts of earlier leaders are not passed on in a later term.
   */
  #fencedByTerm(peer: string): number {
    const acknowledged = this.context.acknowledgedTerm(peer);
    if (this.#leader === null || acknowledged === null || this.#isForwarder(peer)) return 0;
    const { term, node, revision } = this.#leader;
    const isSuperseded = acknowledged.term > term;
    const follows = acknowledged.term === term && !acknowledged.isLeader && node !== peer;
    return isSuperseded || (follows && this.#promisedBy(node) >= revision) ? revision : 0;
  }

  /** The revision that a controller, this one included, has promised; 0: none. */
  #promisedBy(node: string): number {
    return node === this.context.node ? this.#promised : (this.#promisedByPeer.get(node) ?? 0);
  }

  #isForwarder(peer: string): boolean {
    const forwarderLists = [this.context.forwarders(), ...this.#forwardersByPeer.values()];
    return forwarderLists.some((forwarders) => forwarders.includes(peer));
  }

  #requestPromises(revision: number, now: number): void {
    const isRepeated = revision <= this.#requested;
    if (isRepeated && now - this.#requestedAt < this.context.retryIntervalMs) return;
    this.#requested = Math.max(this.#requested, revision);
    this.#requestedAt = now;
    if (this.#promised < this.#requested) this.context.promise(this.#requested);
    for (const peer of this.context.peers)
      if (this.#promisedBy(peer) < this.#requested) this.#send(peer, this.#requested);
  }

  #send(peer: string, requested: number): void {
    const { node } = this.context;
    const forwarders = this.context.forwarders();
    this.context.send(peer, { node, requested, promised: this.#promised, fenced: this.#fenced, forwarders });
  }

  /** Reads the latest leader, unless it is known as of this revision already or an attempt has just failed. */
  async #readLeader(revision: number, now: number): Promise<void> {
    if ((this.#leader?.revision ?? 0) >= revision) return;
    if (this.#isReadingLeader || now - this.#leaderReadFailedAt < this.context.retryIntervalMs) return;
    this.#isReadingLeader = true;
    const elected = await this.context.readElectedLeader();
    this.#isReadingLeader = false;
    if (elected === null) {
      this.#leaderReadFailedAt = now;
      return;
    }
    this.#leader = { ...elected, revision };
    this.#notify();
  }

  /** Resolves at the next message, promise or status, and after `timeoutMs` at the latest. */
  #untilChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#waiting.add(resolve);
      void this.context.clock.sleep(timeoutMs).then(() => {
        this.#waiting.delete(resolve);
        resolve();
      });
    });
  }

  #notify(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const resolve of waiting) resolve();
  }

  /** Logs a confirmation that took long, at most once in `MIN_LOG_INTERVAL_MS`. */
  #logDelay(revision: number, waitedMs: number, isFenced: boolean): void {
    const now = this.context.clock.monotonicMs();
    if (now - this.#delayLoggedAt < MIN_LOG_INTERVAL_MS) return;
    this.#delayLoggedAt = now;
    const withoutPromise = this.context.peers.filter((peer) => this.#respectedBy(peer) < revision);
    this.context.log.info(
      { revision, waitedMs, isFenced, withoutPromise },
      'cancellation confirmation delayed',
    );
  }
}
