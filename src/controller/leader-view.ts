/** What a follower that accepts heartbeats knows of its leader, from the leader's numbered messages. */
import type { AnswersMessage, RedirectQuota } from '../wire/intake.js';

/** How a message changed a follower's view of its leader. */
type ViewUpdate =
  /** It is outdated, or no snapshot of its sender has arrived before it: it must be ignored. */
  | { readonly kind: 'ignored' }
  /** It is the next message of the leader, or a snapshot of it. */
  | { readonly kind: 'updated'; readonly view: LeaderView }
  /** It is the first snapshot of another leader, or of another incarnation or term. */
  | { readonly kind: 'newLeader'; readonly view: LeaderView };

/** The state of one leader's incarnation in one term, as of its latest message. */
export class LeaderView {
  #number: number;
  #isSharing: boolean;
  #redirectsLeft: number;
  readonly #attention: Set<string>;
  readonly leader: string;
  readonly term: number;
  readonly #incarnation: string;
  /** Time of the read that confirmed the leader's view of the jobs, in milliseconds since the Unix epoch. */
  readonly confirmedAt: number;
  readonly #redirect: RedirectQuota | null;

  /** `receivedAt`: monotonic time in milliseconds. */
  constructor(
    snapshot: AnswersMessage,
    readonly receivedAt: number,
  ) {
    this.leader = snapshot.node;
    this.term = snapshot.term;
    this.#incarnation = snapshot.incarnation;
    this.confirmedAt = snapshot.viewConfirmedAt;
    this.#redirect = snapshot.redirect;
    this.#number = snapshot.number;
    this.#isSharing = snapshot.isSharing;
    this.#attention = new Set(snapshot.attention);
    this.#redirectsLeft = snapshot.redirect?.count ?? 0;
  }

  /** Whether the leader lets this node accept heartbeats, and no message of it has been missed since its snapshot. */
  get isSharing(): boolean {
    return this.#isSharing;
  }

  /** Accepts no heartbeats for the leader until its next snapshot. */
  suspend(): void {
    this.#isSharing = false;
  }

  /** Whether a machine's next heartbeat must be forwarded. */
  needsAttention(machine: string): boolean {
    return this.#attention.has(machine);
  }

  requireAttention(machine: string): void {
    this.#attention.add(machine);
  }

  /** A heartbeat of the machine is being forwarded: its answer tells whether the next one must be, too. */
  clearAttention(machine: string): void {
    this.#attention.delete(machine);
  }

  /** Takes one of the redirects that the leader has asked for; returns where to, or null if none is left. */
  takeRedirect(): string | null {
    if (this.#redirect === null || this.#redirectsLeft <= 0) return null;
    this.#redirectsLeft -= 1;
    return this.#redirect.to;
  }

  #isSender({ node, term, incarnation }: AnswersMessage): boolean {
    return this.leader === node && this.term === term && this.#incarnation === incarnation;
  }

  /** Applies a message to a view; null: there is none yet. `now`: monotonic time in milliseconds. */
  static update(view: LeaderView | null, message: AnswersMessage, now: number): ViewUpdate {
    const known = view !== null && view.#isSender(message) ? view : null;
    if (known !== null && message.number <= known.#number) return { kind: 'ignored' };
    if (message.isSnapshot)
      return { kind: known === null ? 'newLeader' : 'updated', view: new LeaderView(message, now) };
    if (known === null) return { kind: 'ignored' };
    // The missed message may have announced a start or a stop.
    if (message.number !== known.#number + 1) known.suspend();
    known.#number = message.number;
    for (const machine of message.attention) known.requireAttention(machine);
    return { kind: 'updated', view: known };
  }
}
