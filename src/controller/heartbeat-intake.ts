/**
 * A follower's intake of workers' heartbeats for the leader. A heartbeat with news is forwarded, and the leader's
 * answer handed back; one that repeats what was answered is answered here with the leader's fencing token, and
 * passed on as a keepalive. A local answer never carries a command, and is given only within the authority window of the
 * leader's own confirmed view, and only for machines for which the leader has no command.
 */
import type { Clock } from '../adapters/clock.js';
import type { Keepalive } from '../core/fleet/index.js';
import { MAX_TRACKED_MACHINES } from '../core/limits.js';
import type { Heartbeat, ReportedTask } from '../core/types.js';
import { snapshotIntervalMs } from '../membership/evidence-rules.js';
import type { Timing } from '../config/settings.js';
import type { AnswersMessage, ForwardedHeartbeat, IntakeMessage, RedirectQuota } from '../wire/intake.js';

/** Answers a worker: an HTTP status and a body of the workers' interface. */
export type RespondToWorker = (status: number, body: string) => void;

/** What the intake needs of the node around it. */
export interface HeartbeatIntakeContext {
  readonly clock: Clock;
  readonly timing: Timing;
  readonly node: string;
  readonly incarnation: string;
  /** By how much the clocks of two controllers may differ, in milliseconds. */
  readonly maxClockSkewMs: number;
  /** The leader and term that this node follows; null: none, or this node leads. */
  followedLeader(): { readonly leader: string; readonly term: number } | null;
  /** False: there is no link to that node. */
  send(to: string, message: IntakeMessage): boolean;
  /** The bodies of the workers' interface. */
  encodeAnswer(term: number, commands: AnswersMessage['answers'][number]['commands']): string;
  encodeRedirect(to: string): string;
  /** Answers in the leader's place, without it: what a forwarded report falls back to. */
  answerWithoutLeader(report: Heartbeat, done: RespondToWorker): void;
  /** Sends a worker on, or answers it, as without shared reports. */
  route(report: Heartbeat, done: RespondToWorker): void;
}

interface LeaderView {
  readonly leader: string;
  readonly term: number;
  readonly incarnation: string;
  number: number;
  receivedAt: number;
  confirmedAt: number;
  isSharing: boolean;
  attention: Set<string>;
  redirect: RedirectQuota | null;
  redirectsLeft: number;
}

interface KnownWorker {
  readonly agentEpoch: number;
  readonly sequence: number;
  readonly tasks: readonly ReportedTask[];
  /** The leader has answered this content without a command, and has nothing more to tell. */
  isAnswered: boolean;
  /** When its report last reached the leader, and when it last came here; steady times. */
  readonly forwardedAt: number;
  readonly receivedAt: number;
}

interface PendingHeartbeat {
  readonly heartbeat: Heartbeat;
  readonly respond: RespondToWorker;
}

/** A worker waits 4 s for an answer; before that it is answered without the leader. */
const FORWARD_TIMEOUT_MS = 3000;
/** Snapshots come at every `toldEvery`; without one for so many of them the leader's view is not known. */
const MAX_MISSED_SNAPSHOTS = 2.5;
/** So many tasks go in one message, for its size is bounded. */
const MAX_TASKS_IN_MESSAGE = 600;
const MAX_FORWARDED_IN_MESSAGE = 100;
const MAX_KEEPALIVES_IN_MESSAGE = 1000;

const isSameTask = (one: ReportedTask, other: ReportedTask | undefined): boolean =>
  other !== undefined &&
  one.stage === other.stage &&
  one.task === other.task &&
  one.attempt === other.attempt &&
  one.job === other.job;

const isSameContent = (one: readonly ReportedTask[], other: readonly ReportedTask[]): boolean =>
  one.length === other.length && one.every((task, i) => isSameTask(task, other[i]));

const hasExit = (report: Heartbeat): boolean => report.tasks.some(({ stage }) => stage === 'exited');

/** Takes, forwards and answers heartbeats on a follower. */
export class HeartbeatIntake {
  #view: LeaderView | null = null;
  readonly #known = new Map<string, KnownWorker>();
  readonly #pending = new Map<number, PendingHeartbeat>();
  #nextReference = 1;
  #heartbeats: ForwardedHeartbeat[] = [];
  #keepalives: { readonly keepalive: Omit<Keepalive, 'ageMs'>; readonly at: number }[] = [];
  #isFlushScheduled = false;
  /** Reports forwarded and answered here, for the status page. */
  forwarded = 0;
  answered = 0;

  constructor(private readonly context: HeartbeatIntakeContext) {}

  /** Whether this node accepts heartbeats for the leader that it follows. */
  get isActive(): boolean {
    return this.#activeView() !== null;
  }

  #activeView(): LeaderView | null {
    const view = this.#view;
    const following = this.context.followedLeader();
    if (view === null || following === null || !view.isSharing) return null;
    if (view.leader !== following.leader || view.term !== following.term) return null;
    const { clock, timing } = this.context;
    return clock.monotonicMs() - view.receivedAt < MAX_MISSED_SNAPSHOTS * snapshotIntervalMs(timing)
      ? view
      : null;
  }

  /** Whether a worker has reported here of late; from now on it is sent elsewhere. */
  forgetWorker(machine: string): boolean {
    const known = this.#known.get(machine);
    this.#known.delete(machine);
    return (
      known !== undefined &&
      this.context.clock.monotonicMs() - known.receivedAt < this.context.timing.workerLeaseMs
    );
  }

  /** The link to a controller is lost: if that is the leader, what waits for its answer is routed as without it. */
  onLinkLost(node: string): void {
    if (this.#view?.leader !== node) return;
    this.#view.isSharing = false;
    this.#heartbeats = [];
    for (const { heartbeat, respond } of this.#drainPending()) this.context.route(heartbeat, respond);
  }

  #drainPending(): PendingHeartbeat[] {
    const waiting = [...this.#pending.values()];
    this.#pending.clear();
    return waiting;
  }

  /** Takes a report in; false: it is not for this node to answer now. */
  take(report: Heartbeat, done: RespondToWorker): boolean {
    const view = this.#activeView();
    if (view === null || this.#pending.size >= MAX_TRACKED_MACHINES) return false;
    if (report.token > view.term) return false;
    const known = this.#known.get(report.machine);
    if (known !== undefined && !this.#isNewer(report, known)) {
      done(503, '{}');
      return true;
    }
    const isNews = this.#isNews(report, known, view);
    if (!isNews && this.#redirects(view, report, done)) return true;
    if (!isNews && this.#mayAnswerLocally(view)) this.#answerLocally(report, view, known, done);
    else this.#forward(report, done);
    return true;
  }

  #isNewer({ agentEpoch, sequence }: Heartbeat, known: KnownWorker): boolean {
    return agentEpoch > known.agentEpoch || (agentEpoch === known.agentEpoch && sequence > known.sequence);
  }

  #isNews(report: Heartbeat, known: KnownWorker | undefined, view: LeaderView): boolean {
    if (known === undefined || !known.isAnswered || view.attention.has(report.machine)) return true;
    // After a report that went elsewhere, what was answered there is not known here.
    if (report.agentEpoch !== known.agentEpoch || report.sequence !== known.sequence + 1) return true;
    if (report.token !== view.term || report.terminationNoticeS !== null || hasExit(report)) return true;
    const age = this.context.clock.monotonicMs() - known.forwardedAt;
    // Whatever is known of it, within the time that a cancellation has the leader hears each machine in full.
    return age > this.context.timing.authorityWindowMs || !isSameContent(report.tasks, known.tasks);
  }

  /** Whether the leader's view was confirmed recently enough to answer by. */
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

  /** Sends a worker to the controller that the leader has named, so that loads even out. */
  #redirects(view: LeaderView, { machine }: Heartbeat, done: RespondToWorker): boolean {
    if (view.redirect === null || view.redirectsLeft <= 0) return false;
    view.redirectsLeft -= 1;
    this.#known.delete(machine);
    done(421, this.context.encodeRedirect(view.redirect.to));
    return true;
  }

  #answerLocally(
    report: Heartbeat,
    view: LeaderView,
    known: KnownWorker | undefined,
    done: RespondToWorker,
  ): void {
    const { machine, agentEpoch, sequence, tasks } = report;
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

  #forward(report: Heartbeat, done: RespondToWorker): void {
    const { machine, agentEpoch, sequence, tasks } = report;
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
    this.#view?.attention.delete(machine);
    this.#enqueue({ heartbeat: report, respond: done });
  }

  #enqueue(pending: PendingHeartbeat): void {
    const reference = this.#nextReference++;
    this.#pending.set(reference, pending);
    this.#heartbeats.push({ reference, heartbeat: pending.heartbeat });
    this.#flushSoon();
    void this.context.clock.sleep(FORWARD_TIMEOUT_MS).then(() => {
      if (this.#pending.delete(reference))
        this.context.answerWithoutLeader(pending.heartbeat, pending.respond);
    });
  }

  #flushSoon(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    // Heartbeats of one moment go together: each message costs the leader a pass over its queue.
    void this.context.clock.sleep(this.context.timing.forwardBatchDelayMs).then(() => {
      this.#isFlushScheduled = false;
      this.flush();
    });
  }

  /** Tells the leader what has come in; called at every tick, and once reports with news have come. */
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
    // Its workers may well reach a leader to which this node has no link.
    for (const { reference } of heartbeats) {
      this.#pending.get(reference)?.respond(421, this.context.encodeRedirect(leader));
      this.#pending.delete(reference);
    }
  }

  #takeHeartbeats(): ForwardedHeartbeat[] {
    let tasks = 0;
    let count = 0;
    for (const { heartbeat } of this.#heartbeats) {
      tasks += heartbeat.tasks.length;
      if (count > 0 && (tasks > MAX_TASKS_IN_MESSAGE || count >= MAX_FORWARDED_IN_MESSAGE)) break;
      count += 1;
    }
    return this.#heartbeats.splice(0, count);
  }

  /** Takes in what the leader says. Its sender and term are checked by the caller. */
  receive(message: AnswersMessage): void {
    if (!this.#updateView(message)) return;
    for (const { reference, isAccepted, needsAttention, commands } of message.answers) {
      const waiting = this.#pending.get(reference);
      this.#pending.delete(reference);
      if (waiting === undefined) continue;
      const { machine, agentEpoch, sequence, token } = waiting.heartbeat;
      const known = this.#known.get(machine);
      // A heartbeat sent before its worker had seen the token does not reconcile the machine.
      if (known?.agentEpoch === agentEpoch && known.sequence === sequence)
        known.isAnswered = isAccepted && commands.length === 0 && token === message.term;
      if (needsAttention) this.#view?.attention.add(machine);
      if (isAccepted) waiting.respond(200, this.context.encodeAnswer(message.term, commands));
      else this.context.answerWithoutLeader(waiting.heartbeat, waiting.respond);
    }
  }

  /** Brings the leader's view up to date; false: the message is not of use. */
  #updateView(message: AnswersMessage): boolean {
    const { node, term, incarnation, number } = message;
    const view = this.#view;
    const isSame = view?.leader === node && view.term === term && view.incarnation === incarnation;
    if (isSame && number <= view.number) return false;
    if (message.isSnapshot) {
      this.#view = {
        leader: node,
        term,
        incarnation,
        number,
        receivedAt: this.context.clock.monotonicMs(),
        confirmedAt: message.viewConfirmedAt,
        isSharing: message.isSharing,
        attention: new Set(message.attention),
        redirect: message.redirect,
        redirectsLeft: message.redirect?.count ?? 0,
      };
      if (!isSame) this.#forwardPendingAgain();
      return true;
    }
    if (!isSame) return false;
    if (number !== view.number + 1) {
      // The missed message may have announced a start or a stop: nothing is answered here until the next snapshot.
      view.isSharing = false;
    }
    view.number = number;
    for (const machine of message.attention) view.attention.add(machine);
    return true;
  }

  /** A new leader is told of what waits for an answer of the one before. */
  #forwardPendingAgain(): void {
    for (const pending of this.#drainPending()) this.#enqueue(pending);
  }

  /** This node leads now: what waits for an answer is its own to answer. */
  takePending(): PendingHeartbeat[] {
    this.#view = null;
    return this.#drainPending();
  }
}
