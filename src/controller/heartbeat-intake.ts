/**
 * A follower's intake of workers' heartbeats for the leader. A heartbeat with news is forwarded, and the leader's
 * answer is passed back to the worker. A heartbeat that repeats one that the leader has answered is answered here with
 * the leader's fencing token, and sent to the leader as a keepalive. A local answer never carries a command. It is
 * given only within the authority window of the leader's confirmed view, and only for machines for which the leader
 * has no command.
 */
import { createHash } from 'node:crypto';
import type { Clock } from '../adapters/clock.js';
import { withoutStarts, type Keepalive } from '../core/fleet/index.js';
import { MAX_TRACKED_MACHINES } from '../core/limits.js';
import { commandsWithinLimit } from '../core/message-sizes.js';
import type { Heartbeat, ReportedTask, WorkerCommand } from '../core/types.js';
import { snapshotIntervalMs } from '../membership/evidence-rules.js';
import type { Timing } from '../config/settings.js';
import {
  forwardedHeartbeatBytes,
  type AnswersMessage,
  type ForwardedAnswer,
  type ForwardedHeartbeat,
  type IntakeMessage,
} from '../wire/intake.js';
import { portionLength } from '../wire/portions.js';
import { LeaderView } from './leader-view.js';

/** Answers a worker: an HTTP status and a body of the workers' interface. */
export type RespondToWorker = (status: number, body: string) => void;

/** What the intake needs from its controller. */
export interface HeartbeatIntakeContext {
  readonly clock: Clock;
  readonly timing: Timing;
  readonly node: string;
  readonly incarnation: string;
  /** By how much the clocks of two controllers may differ, in milliseconds. */
  readonly maxClockSkewMs: number;
  /** The leader and term that this node follows; null: none, or this node leads. */
  followedLeader(): { readonly leader: string; readonly term: number } | null;
  /** The revision of the store up to which this node has promised to respect cancellations. */
  startFence(): number;
  /** Sends a message; false: it cannot be sent. */
  send(to: string, message: IntakeMessage): boolean;
  /** Encode bodies of responses to workers: commands, and a redirect to another controller. */
  encodeAnswer(term: number, commands: AnswersMessage['answers'][number]['commands']): string;
  encodeRedirect(to: string): string;
  /** Answers in the leader's place: the fallback if the leader does not answer or accept a forwarded heartbeat. */
  answerWithoutLeader(heartbeat: Heartbeat, done: RespondToWorker): void;
  /** Redirects or answers a worker as if heartbeats were not shared. */
  route(heartbeat: Heartbeat, done: RespondToWorker): void;
}

interface KnownWorker {
  readonly agentEpoch: number;
  readonly sequence: number;
  readonly tasks: readonly ReportedTask[];
  /** The leader has accepted a heartbeat with this content and its fencing token, and answered it without a command. */
  isAnswered: boolean;
  /** When a heartbeat was last forwarded to the leader, and when one last arrived here; monotonic times in ms. */
  readonly forwardedAt: number;
  readonly receivedAt: number;
}

interface PendingHeartbeat {
  readonly heartbeat: Heartbeat;
  readonly respond: RespondToWorker;
  /** Monotonic time (ms) from which it may have been forwarded. */
  readonly forwardedAt: number;
}

/** How long the leader's answer is awaited. A worker waits 4 s, so it is answered without the leader before that. */
const FORWARD_TIMEOUT_MS = 3000;
/** After this many intervals of `snapshotIntervalMs` without a snapshot, the leader's view counts as unknown. */
const MAX_MISSED_SNAPSHOTS = 2.5;
/** Heartbeats in one message, at most, whatever their size. */
const MAX_FORWARDED_IN_MESSAGE = 100;
/** Maximum bytes of a forwarded heartbeat; the rest of the frame is left to the other fields. */
const MAX_FORWARDED_BYTES = 60 * 1024;
const MAX_KEEPALIVES_IN_MESSAGE = 1000;

/** Number of distinct references, which are 32-bit integers. */
const REFERENCES = 2 ** 32;

/**
 * The first reference of an incarnation: its hash. A leader of a version that does not state the addressee of its
 * answers may answer heartbeats of an earlier incarnation, whose references must not be in use again.
 */
function firstReference(incarnation: string): number {
  return createHash('sha256').update(incarnation).digest().readUInt32BE();
}

const isSameTask = (one: ReportedTask, other: ReportedTask | undefined): boolean =>
  other !== undefined &&
  one.stage === other.stage &&
  one.task === other.task &&
  one.attempt === other.attempt &&
  one.job === other.job;

const isSameContent = (one: readonly ReportedTask[], other: readonly ReportedTask[]): boolean =>
  one.length === other.length && one.every((task, i) => isSameTask(task, other[i]));

const hasExit = (heartbeat: Heartbeat): boolean => heartbeat.tasks.some(({ stage }) => stage === 'exited');

/** Accepts, forwards and answers heartbeats on a follower. */
export class HeartbeatIntake {
  #view: LeaderView | null = null;
  readonly #known = new Map<string, KnownWorker>();
  readonly #pending = new Map<number, PendingHeartbeat>();
  #nextReference: number;
  #heartbeats: ForwardedHeartbeat[] = [];
  #keepalives: { readonly keepalive: Omit<Keepalive, 'ageMs'>; readonly at: number }[] = [];
  #isFlushScheduled = false;
  /** Numbers of heartbeats forwarded to the leader and answered here, for the status page. */
  forwarded = 0;
  answered = 0;

  constructor(private readonly context: HeartbeatIntakeContext) {
    this.#nextReference = firstReference(context.incarnation);
  }

  /** Whether this node accepts heartbeats for the leader that it follows. */
  get isActive(): boolean {
    return this.#activeView() !== null;
  }

  #activeView(): LeaderView | null {
    const view = this.#view;
    const followed = this.context.followedLeader();
    if (view === null || followed === null || !view.isSharing) return null;
    if (view.leader !== followed.leader || view.term !== followed.term) return null;
    const { clock, timing } = this.context;
    return clock.monotonicMs() - view.receivedAt < MAX_MISSED_SNAPSHOTS * snapshotIntervalMs(timing)
      ? view
      : null;
  }

  /** Forgets a worker whose heartbeats are no longer accepted; returns whether it sent one here within its lease. */
  forgetWorker(machine: string): boolean {
    const known = this.#known.get(machine);
    this.#known.delete(machine);
    return (
      known !== undefined &&
      this.context.clock.monotonicMs() - known.receivedAt < this.context.timing.workerLeaseMs
    );
  }

  /**
   * Handles the loss of the link to a controller. If it is the leader, heartbeats that wait for its answer are routed
   * as if heartbeats were not shared.
   */
  onLinkLost(node: string): void {
    if (this.#view?.leader !== node) return;
    this.#view.suspend();
    this.#heartbeats = [];
    for (const { heartbeat, respond } of this.#drainPending()) this.context.route(heartbeat, respond);
  }

  #drainPending(): PendingHeartbeat[] {
    const pending = [...this.#pending.values()];
    this.#pending.clear();
    return pending;
  }

  /** Accepts a heartbeat for the leader; false: this node does not accept it now, and the caller has to route it. */
  accept(heartbeat: Heartbeat, done: RespondToWorker): boolean {
    const view = this.#activeView();
    if (view === null || this.#pending.size >= MAX_TRACKED_MACHINES) return false;
    if (heartbeat.token > view.term || forwardedHeartbeatBytes(heartbeat) > MAX_FORWARDED_BYTES) return false;
    const known = this.#known.get(heartbeat.machine);
    if (known !== undefined && !this.#isNewer(heartbeat, known)) {
      done(503, '{}');
      return true;
    }
    const hasNews = this.#hasNews(heartbeat, known, view);
    if (!hasNews && this.#tryRedirect(view, heartbeat, done)) return true;
    if (!hasNews && this.#mayAnswerLocally(view)) this.#answerLocally(heartbeat, view, known, done);
    else this.#forward(heartbeat, done);
    return true;
  }

  #isNewer({ agentEpoch, sequence }: Heartbeat, known: KnownWorker): boolean {
    return agentEpoch > known.agentEpoch || (agentEpoch === known.agentEpoch && sequence > known.sequence);
  }

  #hasNews(heartbeat: Heartbeat, known: KnownWorker | undefined, view: LeaderView): boolean {
    if (known === undefined || !known.isAnswered || view.needsAttention(heartbeat.machine)) return true;
    // If a heartbeat in between went to another controller, its answer is not known here.
    if (heartbeat.agentEpoch !== known.agentEpoch || heartbeat.sequence !== known.sequence + 1) return true;
    if (heartbeat.token !== view.term || heartbeat.terminationNoticeS !== null || hasExit(heartbeat))
      return true;
    const age = this.context.clock.monotonicMs() - known.forwardedAt;
    // The leader gets a full heartbeat of each machine within the time limit of a cancellation, even without news.
    return age > this.context.timing.authorityWindowMs || !isSameContent(heartbeat.tasks, known.tasks);
  }

  /** Whether the leader's view was confirmed recently enough for an answer based on it. */
  #mayAnswerLocally({ confirmedAt }: LeaderView): boolean {
    const { clock, timing, maxClockSkewMs } = this.context;
    return clock.epochMs() < confirmedAt + timing.authorityWindowMs - maxClockSkewMs;
  }

  #remember(machine: string, known: KnownWorker): void {
    this.#known.delete(machine);
    this.#known.set(machine, known);
    for (const oldest of this.#known.keys()) {
      if (this.#known.size <= MAX_TRACKED_MACHINES) break;
      this.#known.delete(oldest);
    }
  }

  /** Redirects a worker to the controller that the leader has chosen to balance the loads; false: none is due. */
  #tryRedirect(view: LeaderView, { machine }: Heartbeat, done: RespondToWorker): boolean {
    const to = view.takeRedirect();
    if (to === null) return false;
    this.#known.delete(machine);
    done(421, this.context.encodeRedirect(to));
    return true;
  }

  #answerLocally(
    heartbeat: Heartbeat,
    view: LeaderView,
    known: KnownWorker | undefined,
    done: RespondToWorker,
  ): void {
    const { machine, agentEpoch, sequence, tasks } = heartbeat;
    const now = this.context.clock.monotonicMs();
    this.answered += 1;
    this.#remember(machine, {
      agentEpoch,
      sequence,
      tasks,
      isAnswered: true,
      forwardedAt: known?.forwardedAt ?? now,
      receivedAt: now,
    });
    this.#keepalives.push({ keepalive: { machine, agentEpoch, sequence }, at: now });
    done(200, this.context.encodeAnswer(view.term, []));
  }

  #forward(heartbeat: Heartbeat, done: RespondToWorker): void {
    const { machine, agentEpoch, sequence, tasks } = heartbeat;
    const now = this.context.clock.monotonicMs();
    this.forwarded += 1;
    this.#remember(machine, {
      agentEpoch,
      sequence,
      tasks,
      isAnswered: false,
      forwardedAt: now,
      receivedAt: now,
    });
    this.#view?.clearAttention(machine);
    this.#enqueue(heartbeat, done);
  }

  #enqueue(heartbeat: Heartbeat, respond: RespondToWorker): void {
    const reference = this.#nextReference;
    this.#nextReference = (reference + 1) % REFERENCES;
    this.#pending.set(reference, { heartbeat, respond, forwardedAt: this.context.clock.monotonicMs() });
    this.#heartbeats.push({ reference, heartbeat });
    this.#flushSoon();
    void this.context.clock.sleep(FORWARD_TIMEOUT_MS).then(() => {
      if (this.#pending.delete(reference)) this.context.answerWithoutLeader(heartbeat, respond);
    });
  }

  #flushSoon(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    // Heartbeats that arrive together share a message, since each message costs the leader a pass over its queue.
    void this.context.clock.sleep(this.context.timing.forwardBatchDelayMs).then(() => {
      this.#isFlushScheduled = false;
      this.flush();
    });
  }

  /** Sends the leader the collected heartbeats and keepalives; called at every tick and after heartbeats with news. */
  flush(): void {
    const view = this.#activeView();
    if (view === null) {
      this.#heartbeats = [];
      this.#keepalives = [];
      return;
    }
    while (this.#heartbeats.length > 0 || this.#keepalives.length > 0) this.#sendMessage(view);
  }

  #sendMessage({ leader, term }: LeaderView): void {
    const { clock, node, incarnation } = this.context;
    const now = clock.monotonicMs();
    const heartbeats = this.#takeHeartbeats();
    const keepalives = this.#keepalives
      .splice(0, MAX_KEEPALIVES_IN_MESSAGE)
      .map(({ keepalive, at }) => ({ ...keepalive, ageMs: Math.max(0, Math.round(now - at)) }));
    const message = {
      kind: 'heartbeats',
      node,
      incarnation,
      term,
      sentAt: clock.epochMs(),
      heartbeats,
      keepalives,
    } as const;
    if (this.context.send(leader, message)) return;
    // The workers may reach the leader even though this node has no link to it.
    for (const { reference } of heartbeats) {
      this.#pending.get(reference)?.respond(421, this.context.encodeRedirect(leader));
      this.#pending.delete(reference);
    }
  }

  #takeHeartbeats(): ForwardedHeartbeat[] {
    const count = portionLength(this.#heartbeats, ({ heartbeat }) => forwardedHeartbeatBytes(heartbeat));
    return this.#heartbeats.splice(0, Math.min(count, MAX_FORWARDED_IN_MESSAGE));
  }

  /** Processes a message from the leader, whose sender and term the caller has checked. */
  receive(message: AnswersMessage): void {
    if (!this.#updateView(message)) return;
    // The answers are for heartbeats that an earlier incarnation of this node forwarded.
    if (message.addressee !== '' && message.addressee !== this.context.incarnation) return;
    for (const answer of message.answers) {
      const { reference, isAccepted, needsAttention, commands } = answer;
      const pending = this.#pending.get(reference);
      this.#pending.delete(reference);
      if (pending === undefined) continue;
      const { machine, agentEpoch, sequence, token } = pending.heartbeat;
      const known = this.#known.get(machine);
      // A heartbeat sent before its worker had seen the token does not reconcile the machine.
      if (known?.agentEpoch === agentEpoch && known.sequence === sequence)
        known.isAnswered = isAccepted && commands.length === 0 && token === message.term;
      if (needsAttention) this.#view?.requireAttention(machine);
      if (isAccepted)
        pending.respond(
          200,
          this.context.encodeAnswer(message.term, this.#commandsToPassOn(answer, pending)),
        );
      else this.context.answerWithoutLeader(pending.heartbeat, pending.respond);
    }
  }

  /**
   * The commands of the leader's answer, without starts whose lease may be over, and without starts decided on a view
   * that does not cover what this node has promised. The heartbeat was forwarded before the leader decided, so the time
   * since then is at least the answer's age. A leader of a version without leases for starts states none, and one of a
   * version without limits on messages may send more than fits into one; what is left out it sends again.
   */
  #commandsToPassOn(
    { commands, startLease }: ForwardedAnswer,
    { forwardedAt }: PendingHeartbeat,
  ): readonly WorkerCommand[] {
    const fitting = commandsWithinLimit(commands);
    if (startLease === undefined) return fitting;
    const isValid = this.context.clock.monotonicMs() - forwardedAt < startLease.remainingMs;
    const isCovered = startLease.viewRevision >= this.context.startFence();
    return isValid && isCovered ? fitting : withoutStarts(fitting);
  }

  /** Updates the view of the leader; false: the message must be ignored. */
  #updateView(message: AnswersMessage): boolean {
    const update = LeaderView.update(this.#view, message, this.context.clock.monotonicMs());
    if (update.kind === 'ignored') return false;
    this.#view = update.view;
    if (update.kind === 'newLeader') this.#forwardPendingAgain();
    return true;
  }

  /** Forwards to a new leader the heartbeats that wait for an answer of the previous one. */
  #forwardPendingAgain(): void {
    for (const { heartbeat, respond } of this.#drainPending()) this.#enqueue(heartbeat, respond);
  }

  /** Returns the heartbeats that wait for an answer once this node leads: it has to answer them itself. */
  takePending(): PendingHeartbeat[] {
    this.#view = null;
    return this.#drainPending();
  }
}
