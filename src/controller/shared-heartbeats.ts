/**
 * The leader's side of shared heartbeats: it answers what followers forward, notifies them of the machines for which
 * it has commands, and decides which follower receives a worker's heartbeats.
 */
import { withoutStarts, type StartLease } from '../core/fleet/index.js';
import type { Heartbeat } from '../core/types.js';
import {
  chooseRebalancing,
  chooseFollower,
  shouldShare,
  maxMoves,
  type Rebalancing,
  type FollowerLoad,
} from '../membership/heartbeat-sharing.js';
import {
  answerBytes,
  answersBytes,
  type AnswersMessage,
  type ForwardedAnswer,
  type IntakeMessage,
  type HeartbeatsMessage,
} from '../wire/intake.js';
import { nameBytes, portionLength } from '../wire/portions.js';
import type { ControllerContext } from './context.js';

/** A controller that may accept heartbeats for the leader. */
interface FollowerCandidate {
  readonly node: string;
  readonly zone: string;
}

/** What the leader's side needs from its controller. */
export interface SharedHeartbeatsContext {
  /** Controllers that are in contact and whose timers fire in time. */
  candidates(): readonly FollowerCandidate[];
  /** Whether a follower's status says that it accepts heartbeats for this leader. */
  isAccepting(node: string): boolean;
  send(to: string, message: IntakeMessage): boolean;
  /** Submits a heartbeat to the core; `answer` is called once. `ageMs`: how long its forwarding took (ms). */
  submitHeartbeat(
    heartbeat: Heartbeat,
    ageMs: number,
    answer: (answer: Omit<UnsentAnswer, 'reference' | 'addressee'>) => void,
  ): void;
}

/** An answer that has not been sent yet; its starts may be sent while their lease is valid. */
interface UnsentAnswer extends Omit<ForwardedAnswer, 'startLease'> {
  readonly startLease?: StartLease | undefined;
  /** Incarnation of the follower that forwarded the heartbeat. */
  readonly addressee: string;
}

/** Answers of one message, all to the same incarnation of a follower. */
type AnswerBatch = Pick<AnswersMessage, 'answers' | 'addressee'>;

interface Outbox {
  number: number;
  answers: UnsentAnswer[];
  attention: string[];
}

/** Messages that were in transit for more than this share of a worker's lease are ignored and do not renew it. */
const MAX_AGE_SHARE = 0.5;
/** The answer as it is sent at `now` (monotonic time in ms): without starts whose lease is over. */
function toForwardedAnswer(
  { startLease, addressee: _, ...answer }: UnsentAnswer,
  now: number,
): ForwardedAnswer {
  if (startLease === undefined) return answer;
  const { validUntil, viewRevision } = startLease;
  const remainingMs = Math.floor(validUntil - now);
  // A lease of 0 ms would read as none: versions without leases for starts state none.
  if (remainingMs < 1) return { ...answer, commands: withoutStarts(answer.commands) };
  return { ...answer, startLease: { remainingMs, viewRevision } };
}

/** Shares the intake of heartbeats with followers, and balances their loads. */
export class SharedHeartbeats {
  #isSharing = false;
  #movesLeft = 0;
  #rebalancing: Rebalancing | null = null;
  /** The follower to which a machine sent its last heartbeat, and the number of machines of each follower. */
  readonly #followerByMachine = new Map<string, string>();
  readonly #counts = new Map<string, number>();
  /** Monotonic time (ms) at which a machine was last redirected to a follower. */
  readonly #redirectedAt = new Map<string, number>();
  #loads: FollowerLoad[] = [];
  readonly #outboxes = new Map<string, Outbox>();
  /** By follower: monotonic time (ms) until which it may pass on starts; kept when this node no longer leads. */
  readonly #startsUntil = new Map<string, number>();
  #isFlushScheduled = false;
  readonly #startedAt: number;

  constructor(
    private readonly controller: ControllerContext,
    private readonly context: SharedHeartbeatsContext,
  ) {
    this.#startedAt = controller.ports.clock.monotonicMs();
  }

  /** Workers by follower, for the status page. */
  describe(): object {
    return {
      sharing: this.#isSharing,
      workers: Object.fromEntries(this.#loads.map(({ node, workers }) => [node, workers])),
    };
  }

  /**
   * Followers that may still pass on starts that they were sent. An earlier incarnation of this node may have sent
   * starts to any of them, so until the lease of those starts is over, all are listed.
   */
  forwarders(): string[] {
    const { settings, timing, ports } = this.controller;
    const now = ports.clock.monotonicMs();
    // One tick more than the lease covers the drift of the clocks.
    if (now < this.#startedAt + timing.leaderLeaseMs + timing.tickMs)
      return settings.others.map(({ host_name }) => host_name);
    return [...this.#startsUntil].flatMap(([node, until]) => (until > now ? [node] : []));
  }

  /** Drops the state of the leadership when this node no longer leads. */
  clear(): void {
    this.#isSharing = false;
    this.#followerByMachine.clear();
    this.#counts.clear();
    this.#redirectedAt.clear();
    this.#outboxes.clear();
    this.#loads = [];
    this.#rebalancing = null;
  }

  /** Processes the heartbeats and keepalives that a follower forwards. */
  receive(message: HeartbeatsMessage): void {
    const { leadership } = this.controller.commands.state;
    const ageMs = Math.max(0, this.controller.ports.clock.epochMs() - message.sentAt);
    if (leadership === null || message.term !== leadership.term) return;
    if (ageMs > MAX_AGE_SHARE * this.controller.timing.workerLeaseMs) return;
    if (message.keepalives.length > 0) {
      for (const { machine } of message.keepalives) this.#assignFollower(machine, message.node);
      const agedKeepalives = message.keepalives.map((keepalive) => ({
        ...keepalive,
        ageMs: keepalive.ageMs + ageMs,
      }));
      this.controller.commands.push({ kind: 'keepalives', keepalives: agedKeepalives });
    }
    for (const { reference, heartbeat } of message.heartbeats) {
      this.#assignFollower(heartbeat.machine, message.node);
      this.context.submitHeartbeat(heartbeat, ageMs, (answer) =>
        this.#answer(message.node, { reference, addressee: message.incarnation, ...answer }),
      );
    }
  }

  /** Records that a worker has sent its heartbeat to this node directly. */
  recordDirect(machine: string): void {
    this.#assignFollower(machine, null);
  }

  /** Keeps the counts up to date at each change, so that reading the loads requires no pass over the machines. */
  #assignFollower(machine: string, node: string | null): void {
    const previous = this.#followerByMachine.get(machine) ?? null;
    if (previous === node) return;
    if (previous !== null) this.#counts.set(previous, (this.#counts.get(previous) ?? 1) - 1);
    if (node === null) this.#followerByMachine.delete(machine);
    else {
      this.#followerByMachine.set(machine, node);
      this.#counts.set(node, (this.#counts.get(node) ?? 0) + 1);
    }
  }

  /** Forgets machines that no longer exist, by a pass that is made only once more are remembered than exist. */
  #forgetTerminated(): void {
    const { machines } = this.controller.commands.state;
    if (this.#followerByMachine.size > machines.size)
      for (const machine of this.#followerByMachine.keys())
        if (!machines.has(machine)) this.#assignFollower(machine, null);
    if (this.#redirectedAt.size > machines.size)
      for (const machine of this.#redirectedAt.keys())
        if (!machines.has(machine)) this.#redirectedAt.delete(machine);
  }

  /** The follower to which a worker is redirected; null: this node answers it. */
  redirect(heartbeat: Heartbeat): string | null {
    if (!this.#isSharing || this.#movesLeft <= 0 || this.#loads.length === 0) return null;
    const { state } = this.controller.commands;
    const machine = state.machines.get(heartbeat.machine);
    // The leader first completes the machine's pending commands and exits.
    if (machine?.isReconciled !== true || heartbeat.token !== state.leadership?.term) return null;
    if (state.attention.has(machine) || heartbeat.tasks.some(({ stage }) => stage === 'exited')) return null;
    // A worker that comes back within a lease is kept: the follower did not accept it.
    const now = this.controller.ports.clock.monotonicMs();
    if (now - (this.#redirectedAt.get(heartbeat.machine) ?? -Infinity) < this.controller.timing.workerLeaseMs)
      return null;
    const node = chooseFollower(this.#loads, heartbeat.zone);
    if (node === null) return null;
    this.#redirectedAt.set(heartbeat.machine, now);
    this.#movesLeft -= 1;
    this.#loads = this.#loads.map((one) => (one.node === node ? { ...one, workers: one.workers + 1 } : one));
    return node;
  }

  /**
   * Notifies the followers that receive these machines' heartbeats, without waiting for the next snapshot, that the
   * machines now need the leader's attention. What a follower may answer by itself is determined by the snapshots,
   * which list all such machines.
   */
  announceAttention(machines: readonly string[]): void {
    if (!this.#isSharing) return;
    for (const machine of machines) {
      const follower = this.#followerByMachine.get(machine);
      if (follower !== undefined) this.#outboxOf(follower).attention.push(machine);
    }
    this.#flushSoon();
  }

  #outboxOf(node: string): Outbox {
    const existing = this.#outboxes.get(node);
    if (existing !== undefined) return existing;
    const outbox: Outbox = { number: 0, answers: [], attention: [] };
    this.#outboxes.set(node, outbox);
    return outbox;
  }

  #answer(node: string, answer: UnsentAnswer): void {
    this.#outboxOf(node).answers.push(answer);
    this.#flushSoon();
  }

  #flushSoon(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    this.controller.ports.clock.defer(() => {
      this.#isFlushScheduled = false;
      for (const [node, outbox] of this.#outboxes) this.#flush(node, outbox);
    });
  }

  #flush(node: string, outbox: Outbox): void {
    while (outbox.answers.length > 0 || outbox.attention.length > 0) {
      const batch = this.#takeAnswers(node, outbox);
      const count = portionLength(outbox.attention, nameBytes, 0, answersBytes(batch.answers));
      this.#send(node, outbox, { ...batch, attention: outbox.attention.splice(0, count) });
    }
  }

  /** Takes the answers of the next message, as many as fit and are for one incarnation of the follower. */
  #takeAnswers(node: string, { answers }: Outbox): AnswerBatch {
    const now = this.controller.ports.clock.monotonicMs();
    const addressee = answers[0]?.addressee ?? '';
    const nextAddressee = answers.findIndex((answer) => answer.addressee !== addressee);
    const sameAddressee = nextAddressee < 0 ? answers : answers.slice(0, nextAddressee);
    const taken = answers.splice(0, portionLength(sameAddressee, answerBytes));
    const until = Math.max(...taken.map(({ startLease }) => startLease?.validUntil ?? 0));
    if (until > (this.#startsUntil.get(node) ?? 0)) this.#startsUntil.set(node, until);
    return { answers: taken.map((answer) => toForwardedAnswer(answer, now)), addressee };
  }

  #send(
    node: string,
    outbox: Outbox,
    content: AnswerBatch & {
      attention: readonly string[];
      snapshot?: number;
      redirect?: Rebalancing;
    },
  ): void {
    const { leadership } = this.controller.commands.state;
    if (leadership === null) return;
    const { settings, ports } = this.controller;
    outbox.number += 1;
    const { snapshot, redirect } = content;
    this.context.send(node, {
      kind: 'answers',
      node: settings.host_name,
      incarnation: ports.incarnation,
      term: leadership.term,
      sentAt: ports.clock.epochMs(),
      number: outbox.number,
      answers: content.answers,
      addressee: content.addressee,
      attention: content.attention,
      isSnapshot: snapshot !== undefined,
      isSharing: this.#isSharing,
      viewConfirmedAt: snapshot ?? 0,
      redirect: redirect === undefined ? null : { to: redirect.to, count: redirect.count },
    });
  }

  /** Updates the loads, and sends each follower a full snapshot of what it needs to answer heartbeats by itself. */
  sendSnapshots(): void {
    const { state } = this.controller.commands;
    const { leadership } = state;
    if (leadership === null) return;
    const nodes = this.#updateLoads();
    const { clock } = this.controller.ports;
    const confirmedAt = clock.epochMs() - (clock.monotonicMs() - leadership.viewConfirmedAt);
    const attention = [...state.attention].map(({ name }) => name);
    const mayFollowersAnswer = this.#isSharing && leadership.isTransferring !== true;
    for (const node of nodes) {
      const outbox = this.#outboxOf(node);
      // The snapshot lists all machines that need attention, so pending additions are dropped.
      outbox.attention = [];
      const redirect = this.#rebalancing?.from === node ? this.#rebalancing : undefined;
      const content = {
        ...this.#takeAnswers(node, outbox),
        attention: mayFollowersAnswer ? attention : [],
      };
      this.#send(node, outbox, {
        ...content,
        // Without a confirmed view followers answer nothing, as required while the leadership is transferred.
        snapshot: mayFollowersAnswer ? confirmedAt : 0,
        ...(redirect === undefined ? {} : { redirect }),
      });
    }
  }

  /**
   * Decides whether heartbeats are shared, with which followers, and how many workers may be moved until the next
   * update. Returns the followers that get a snapshot.
   */
  #updateLoads(): ReadonlySet<string> {
    const { machines, config } = this.controller.commands.state;
    const candidates = this.context.candidates();
    const minMachines = config.policy.sharedHeartbeatsMinMachines;
    const wasSharing = this.#isSharing;
    this.#isSharing = candidates.length > 0 && shouldShare(machines.size, minMachines, wasSharing);
    if (this.#isSharing !== wasSharing)
      this.controller.ports.log.info(
        { machines: machines.size, minMachines, followers: candidates.length },
        'heartbeat sharing changed',
      );
    this.#forgetTerminated();
    // A follower that does not accept heartbeats for this leader yet would send every worker back.
    const accepting = this.#isSharing ? candidates.filter(({ node }) => this.context.isAccepting(node)) : [];
    this.#loads = accepting.map(({ node, zone }) => ({ node, zone, workers: this.#counts.get(node) ?? 0 }));
    this.#movesLeft = maxMoves(machines.size);
    this.#rebalancing = this.#isSharing ? chooseRebalancing(this.#loads, this.#movesLeft) : null;
    // When sharing ends, followers get one last snapshot that says so.
    return new Set(this.#isSharing || wasSharing ? candidates.map(({ node }) => node) : []);
  }
}
