/**
 * A follower that takes workers' reports for the leader. What carries news is forwarded, and the leader's
 * answer handed back; what repeats an answered report is answered here with the leader's token, and told as a
 * heartbeat. A local answer never carries a command, and is given only within the authority window of the
 * leader's own proven view, and only for machines to which the leader has nothing to tell.
 */
import type { Clock } from '../adapters/clock.js';
import type { Keepalive } from '../core/fleet/index.js';
import { MAX_TRACKED_MACHINES } from '../core/limits.js';
import type { Heartbeat, ReportedTask } from '../core/types.js';
import { toldEvery } from '../membership/table.js';
import type { Timing } from '../config/settings.js';
import type { AnswersMessage, ForwardedReport, IntakeMessage, Shed } from '../wire/intake.js';

/** Answers a report: a status and a body of the workers' interface. */
export type AnswerReport = (status: number, body: string) => void;

/** What the intake needs of the node around it. */
export interface IntakeContext {
  readonly clock: Clock;
  readonly timing: Timing;
  readonly node: string;
  readonly incarnation: string;
  /** How far the times of day of two controllers may be apart, in milliseconds. */
  readonly clocksApartMs: number;
  /** The leader and term that this node follows; null: none, or this node leads. */
  following(): { readonly leader: string; readonly term: number } | null;
  /** False: there is no link to that node. */
  send(to: string, message: IntakeMessage): boolean;
  /** The bodies of the workers' interface. */
  encodeAnswer(term: number, commands: AnswersMessage['answers'][number]['commands']): string;
  encodeRedirect(to: string): string;
  /** Answers in the leader's place, without it: what a forwarded report falls back to. */
  answerAlone(report: Heartbeat, done: AnswerReport): void;
  /** Sends a worker on, or answers it, as without shared reports. */
  route(report: Heartbeat, done: AnswerReport): void;
}

interface LeaderView {
  readonly leader: string;
  readonly term: number;
  readonly incarnation: string;
  number: number;
  receivedAt: number;
  provenAt: number;
  isSharing: boolean;
  attention: Set<string>;
  shed: Shed | null;
  shedLeft: number;
}

interface KnownWorker {
  readonly session: number;
  readonly seq: number;
  readonly tasks: readonly ReportedTask[];
  /** The leader has answered this content without a command, and has nothing more to tell. */
  isAnswered: boolean;
  /** When its report last reached the leader, and when it last came here; steady times. */
  readonly forwardedAt: number;
  readonly seenAt: number;
}

interface PendingReport {
  readonly report: Heartbeat;
  readonly done: AnswerReport;
}

/** A worker waits 4 s for an answer; before that it is answered without the leader. */
const FORWARD_TIMEOUT_MS = 3000;
/** Snapshots come at every `toldEvery`; without one for so many of them the leader's view is not known. */
const SNAPSHOTS_MISSED = 2.5;
/** So many tasks go in one message, for its size is bounded. */
const MAX_TASKS_IN_MESSAGE = 600;
const MAX_REPORTS_IN_MESSAGE = 100;
const MAX_HEARTBEATS_IN_MESSAGE = 1000;

const isSameTask = (one: ReportedTask, other: ReportedTask | undefined): boolean =>
  other !== undefined &&
  one.stage === other.stage &&
  one.task === other.task &&
  one.attempt === other.attempt &&
  one.job === other.job;

const isSameContent = (one: readonly ReportedTask[], other: readonly ReportedTask[]): boolean =>
  one.length === other.length && one.every((task, i) => isSameTask(task, other[i]));

const hasExit = (report: Heartbeat): boolean => report.tasks.some(({ stage }) => stage === 'exited');

export class ReportIntake {
  #view: LeaderView | null = null;
  readonly #known = new Map<string, KnownWorker>();
  readonly #pending = new Map<number, PendingReport>();
  #nextReference = 1;
  #reports: ForwardedReport[] = [];
  #heartbeats: { readonly heartbeat: Omit<Keepalive, 'ageMs'>; readonly at: number }[] = [];
  #flushing = false;
  /** Reports forwarded and answered here, for the status page. */
  forwarded = 0;
  answered = 0;

  constructor(private readonly context: IntakeContext) {}

  /** Whether this node takes reports for the leader that it follows. */
  get isActive(): boolean {
    return this.#activeView() !== null;
  }

  #activeView(): LeaderView | null {
    const view = this.#view;
    const following = this.context.following();
    if (view === null || following === null || !view.isSharing) return null;
    if (view.leader !== following.leader || view.term !== following.term) return null;
    const { clock, timing } = this.context;
    return clock.monotonicMs() - view.receivedAt < SNAPSHOTS_MISSED * toldEvery(timing) ? view : null;
  }

  /** Whether a worker has reported here of late; from now on it is sent elsewhere. */
  leaveHome(machine: string): boolean {
    const known = this.#known.get(machine);
    this.#known.delete(machine);
    return (
      known !== undefined &&
      this.context.clock.monotonicMs() - known.seenAt < this.context.timing.workerLeaseMs
    );
  }

  /** The link to a controller is lost: if that is the leader, what waits for its answer is routed as without it. */
  linkLost(node: string): void {
    if (this.#view?.leader !== node) return;
    this.#view.isSharing = false;
    this.#reports = [];
    for (const { report, done } of this.#drainPending()) this.context.route(report, done);
  }

  #drainPending(): PendingReport[] {
    const waiting = [...this.#pending.values()];
    this.#pending.clear();
    return waiting;
  }

  /** Takes a report in; false: it is not for this node to answer now. */
  take(report: Heartbeat, done: AnswerReport): boolean {
    const view = this.#activeView();
    if (view === null || this.#pending.size >= MAX_TRACKED_MACHINES) return false;
    if (report.token > view.term) return false;
    const known = this.#known.get(report.machine);
    if (known !== undefined && !this.#isNewer(report, known)) {
      done(503, '{}');
      return true;
    }
    const isNews = this.#isNews(report, known, view);
    if (!isNews && this.#sheds(view, report, done)) return true;
    if (!isNews && this.#mayAnswer(view)) this.#answerHere(report, view, known, done);
    else this.#forward(report, done);
    return true;
  }

  #isNewer({ agentEpoch, sequence }: Heartbeat, known: KnownWorker): boolean {
    return agentEpoch > known.session || (agentEpoch === known.session && sequence > known.seq);
  }

  #isNews(report: Heartbeat, known: KnownWorker | undefined, view: LeaderView): boolean {
    if (known === undefined || !known.isAnswered || view.attention.has(report.machine)) return true;
    // After a report that went elsewhere, what was answered there is not known here.
    if (report.agentEpoch !== known.session || report.sequence !== known.seq + 1) return true;
    if (report.token !== view.term || report.terminationNoticeS !== null || hasExit(report)) return true;
    const age = this.context.clock.monotonicMs() - known.forwardedAt;
    // Whatever is known of it, within the time that a cancellation has the leader hears each machine in full.
    return age > this.context.timing.authorityWindowMs || !isSameContent(report.tasks, known.tasks);
  }

  /** Whether the view that the leader has told of is proven freshly enough to answer by. */
  #mayAnswer({ provenAt }: LeaderView): boolean {
    const { clock, timing, clocksApartMs } = this.context;
    return clock.epochMs() < provenAt + timing.authorityWindowMs - clocksApartMs;
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
  #sheds(view: LeaderView, { machine }: Heartbeat, done: AnswerReport): boolean {
    if (view.shed === null || view.shedLeft <= 0) return false;
    view.shedLeft -= 1;
    this.#known.delete(machine);
    done(421, this.context.encodeRedirect(view.shed.to));
    return true;
  }

  #answerHere(report: Heartbeat, view: LeaderView, known: KnownWorker | undefined, done: AnswerReport): void {
    const { machine, agentEpoch, sequence, tasks } = report;
    const now = this.context.clock.monotonicMs();
    this.answered += 1;
    this.#remember(machine, {
      session: agentEpoch,
      seq: sequence,
      tasks,
      isAnswered: true,
      forwardedAt: known?.forwardedAt ?? now,
      seenAt: now,
    });
    this.#heartbeats.push({ heartbeat: { machine, agentEpoch, sequence }, at: now });
    done(200, this.context.encodeAnswer(view.term, []));
  }

  #forward(report: Heartbeat, done: AnswerReport): void {
    const { machine, agentEpoch, sequence, tasks } = report;
    const now = this.context.clock.monotonicMs();
    this.forwarded += 1;
    this.#remember(machine, {
      session: agentEpoch,
      seq: sequence,
      tasks,
      isAnswered: false,
      forwardedAt: now,
      seenAt: now,
    });
    this.#view?.attention.delete(machine);
    this.#enqueue({ report, done });
  }

  #enqueue(pending: PendingReport): void {
    const reference = this.#nextReference++;
    this.#pending.set(reference, pending);
    this.#reports.push({ reference, report: pending.report });
    this.#flushSoon();
    void this.context.clock.sleep(FORWARD_TIMEOUT_MS).then(() => {
      if (this.#pending.delete(reference)) this.context.answerAlone(pending.report, pending.done);
    });
  }

  #flushSoon(): void {
    if (this.#flushing) return;
    this.#flushing = true;
    // Reports of a moment go together: each message costs the leader a pass over its queue.
    void this.context.clock.sleep(this.context.timing.forwardBatchDelayMs).then(() => {
      this.#flushing = false;
      this.flush();
    });
  }

  /** Tells the leader what has come in; called at every tick, and once reports with news have come. */
  flush(): void {
    const view = this.#activeView();
    if (view === null) {
      this.#reports = [];
      this.#heartbeats = [];
      return;
    }
    while (this.#reports.length > 0 || this.#heartbeats.length > 0) this.#sendMessage(view);
  }

  #sendMessage({ leader, term }: LeaderView): void {
    const { clock, node, incarnation } = this.context;
    const now = clock.monotonicMs();
    const reports = this.#takeReports();
    const heartbeats = this.#heartbeats
      .splice(0, MAX_HEARTBEATS_IN_MESSAGE)
      .map(({ heartbeat, at }) => ({ ...heartbeat, ageMs: Math.max(0, Math.round(now - at)) }));
    const message = {
      kind: 'reports',
      node,
      incarnation,
      term,
      at: clock.epochMs(),
      reports,
      heartbeats,
    } as const;
    if (this.context.send(leader, message)) return;
    // Its workers may well reach a leader to which this node has no link.
    for (const { reference } of reports) {
      this.#pending.get(reference)?.done(421, this.context.encodeRedirect(leader));
      this.#pending.delete(reference);
    }
  }

  #takeReports(): ForwardedReport[] {
    let tasks = 0;
    let count = 0;
    for (const { report } of this.#reports) {
      tasks += report.tasks.length;
      if (count > 0 && (tasks > MAX_TASKS_IN_MESSAGE || count >= MAX_REPORTS_IN_MESSAGE)) break;
      count += 1;
    }
    return this.#reports.splice(0, count);
  }

  /** Takes in what the leader says. Its sender and term are checked by the caller. */
  receive(message: AnswersMessage): void {
    if (!this.#takeView(message)) return;
    for (const { reference, able, pending, commands } of message.answers) {
      const waiting = this.#pending.get(reference);
      this.#pending.delete(reference);
      if (waiting === undefined) continue;
      const { machine, agentEpoch, sequence, token } = waiting.report;
      const known = this.#known.get(machine);
      // A report that came before its worker had seen the token does not tell the leader the whole.
      if (known?.session === agentEpoch && known.seq === sequence)
        known.isAnswered = able && commands.length === 0 && token === message.term;
      if (pending) this.#view?.attention.add(machine);
      if (able) waiting.done(200, this.context.encodeAnswer(message.term, commands));
      else this.context.answerAlone(waiting.report, waiting.done);
    }
  }

  /** Brings the leader's view up to date; false: the message is not of use. */
  #takeView(message: AnswersMessage): boolean {
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
        provenAt: message.provenAt,
        isSharing: message.isSharing,
        attention: new Set(message.attention),
        shed: message.shed,
        shedLeft: message.shed?.count ?? 0,
      };
      if (!isSame) this.#forwardAgain();
      return true;
    }
    if (!isSame) return false;
    if (number !== view.number + 1) {
      // What lay in the gap may have been a start or a stop: nothing is answered here until the next snapshot.
      view.isSharing = false;
    }
    view.number = number;
    for (const machine of message.attention) view.attention.add(machine);
    return true;
  }

  /** A new leader is told of what waits for an answer of the one before. */
  #forwardAgain(): void {
    for (const pending of this.#drainPending()) this.#enqueue(pending);
  }

  /** This node leads now: what waits for an answer is its own to answer. */
  takePending(): PendingReport[] {
    this.#view = null;
    return this.#drainPending();
  }
}
