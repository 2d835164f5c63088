/**
 * Every rule of the protocol, checked from what users are told and what machines do.
 * It knows nothing of how the service works.
 */
import { asObject } from '../../src/core/values.js';

/** A job as its user submits it. */
export interface SubmittedJob {
  readonly id: string;
  readonly jobClass?: string;
  /** Best-effort work of the lowest priority, with a checkpoint every so many seconds. */
  readonly bookmarkS?: number;
  readonly team: string;
  readonly tasks: number;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly spot: boolean;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  /** Dependencies: jobs that must be done first. */
  readonly awaits?: readonly string[];
  /** As users write them; an array of normal urgency unless told. */
  readonly form?: 'array' | 'ensemble' | 'service';
  readonly urgency?: 'prod' | 'high' | 'normal' | 'best_effort';
}

/** What is known of one job from its users and its tasks; times in milliseconds. */
interface JobHistory {
  accepted: boolean;
  acceptedAt: number | null;
  /** When its user was told that it is cancelled. */
  cancelledAt: number | null;
  cancelRequested: boolean;
  final: string | null;
  finalAt: number;
  /** When its user last asked about it, and last got an answer. */
  askedAt: number;
  answeredAt: number;
  startedAt: number | null;
  readonly done: Set<number>;
}

/** A task that runs on a machine. */
export interface PlacedTask {
  readonly job: string;
  readonly task: number;
  readonly machine: string;
  readonly zone: string;
}

/** Bound on the time until a leader knows of a confirmed cancellation, in milliseconds. */
const MAX_CANCELLATION_LAG_MS = 2500;
/** After the last fault no task waits longer while a machine has capacity for it, in milliseconds. */
const MAX_WAIT_MS = 90_000;
const MAX_UNANSWERED_MS = 75_000;
const ACTIVE_READER_MS = 10_000;
const MAX_START_DELAY_MS = 240_000;

/** Collects violations of the protocol's rules; each is `rule: what`. */
export class Checker {
  readonly violations: string[] = [];
  readonly #jobs = new Map<string, SubmittedJob>();
  readonly #histories = new Map<string, JobHistory>();
  readonly #placed: PlacedTask[] = [];
  readonly #waitingSince = new Map<string, number>();
  /** Jobs that can never run, or lack a field: nobody may accept them. */
  readonly #unacceptable = new Set<string>();
  started = 0;
  /** Tasks that workers killed at lease expiry. */
  expiredTasks = 0;

  constructor(
    private readonly cancelMs: number,
    private readonly limitCpus: number,
  ) {}

  #violate(rule: string, what: string): void {
    this.violations.push(`${rule}: ${what}`);
  }

  #historyOf(id: string): JobHistory {
    let history = this.#histories.get(id);
    if (history === undefined) {
      history = {
        accepted: false,
        acceptedAt: null,
        cancelledAt: null,
        cancelRequested: false,
        final: null,
        finalAt: Infinity,
        askedAt: -Infinity,
        answeredAt: -Infinity,
        startedAt: null,
        done: new Set(),
      };
      this.#histories.set(id, history);
    }
    return history;
  }

  /** When a user was told that a job, or one that it needs, is cancelled; null: never. */
  #cancelledAtOf(id: string): number | null {
    let at = this.#historyOf(id).cancelledAt;
    for (const needed of this.#jobs.get(id)?.awaits ?? []) {
      const other = this.#cancelledAtOf(needed);
      if (other !== null) at = Math.min(at ?? Infinity, other);
    }
    return at;
  }

  /** Whether its user, or that of a job that it needs, asked to cancel it. */
  #mayBeCancelled(id: string): boolean {
    return (
      this.#historyOf(id).cancelRequested ||
      (this.#jobs.get(id)?.awaits ?? []).some((needed) => this.#mayBeCancelled(needed))
    );
  }

  submitted(job: SubmittedJob): void {
    this.#jobs.set(job.id, job);
    this.#historyOf(job.id);
  }

  /** A job that can never run, or lacks a field, is submitted. */
  submittedUnacceptable(id: string): void {
    this.#unacceptable.add(id);
  }

  requested(id: string, now: number): void {
    this.#historyOf(id).askedAt = now;
  }

  cancelRequested(id: string): void {
    this.#historyOf(id).cancelRequested = true;
  }

  /** A user got an answer about a job. */
  answered(
    id: string,
    status: number,
    body: unknown,
    now: number,
    kind: 'submit' | 'show' | 'withdraw',
    askedAt = now,
  ): void {
    const history = this.#historyOf(id);
    if (status < 500) history.answeredAt = now;
    if (status === 200 || status === 201) {
      if (this.#unacceptable.has(id)) {
        this.#violate('took_odd', id);
        return;
      }
      if (!this.#jobs.has(id)) this.#violate('invented', id);
      history.acceptedAt ??= now;
      history.accepted = true;
      const stage = asObject(body)?.['stage'];
      const cutOff = this.#cancelledAtOf(id);
      const late = cutOff !== null && now > Math.max(cutOff, history.acceptedAt) + this.cancelMs;
      if (late && stage !== 'withdrawn') this.#violate('orphaned', `${id} is called ${String(stage)}`);
      // Of two questions under way at once either may be answered first.
      if (history.final !== null && stage !== history.final && askedAt >= history.finalAt) {
        this.#violate('went_back', `${id} from ${history.final} to ${String(stage)}`);
      }
      if ((stage === 'done' || stage === 'withdrawn') && history.final === null) history.finalAt = now;
      if (stage === 'done') {
        history.final = 'done';
        if (history.done.size < (this.#jobs.get(id)?.tasks ?? 0)) this.#violate('not_done', id);
      }
      if (stage === 'withdrawn') {
        history.final = 'withdrawn';
        // Withdrawn for another's sake, it is the other whose user was told.
        if (history.cancelRequested) history.cancelledAt ??= now;
        if (!this.#mayBeCancelled(id)) this.#violate('went_back', `${id} is cancelled by nobody`);
      }
    } else if (
      history.accepted &&
      (status === 404 || (kind === 'submit' && status < 500 && status !== 429))
    ) {
      this.#violate('forgotten', `${id} gets ${status}`);
    }
  }

  /** A controller has told a worker to start tasks of these jobs. */
  commandsGiven(starts: readonly string[], now: number): void {
    for (const id of starts) {
      const at = this.#historyOf(id).cancelledAt;
      if (at !== null && now > at + MAX_CANCELLATION_LAG_MS)
        this.#violate('started_cancelled', `${id}, ${(now - at).toFixed(0)} ms after it was confirmed`);
    }
  }

  taskStarts(job: string, task: number, machine: string, zone: string, spot: boolean, now: number): void {
    this.started += 1;
    this.#historyOf(job).startedAt ??= now;
    const spec = this.#jobs.get(job);
    if (spec === undefined) {
      this.#violate('invented', `${job}/${task} runs`);
      return;
    }
    for (const other of this.#placed) {
      if (other.job === job && other.task === task && other.machine !== machine) {
        this.#violate('ran_twice', `${job}/${task} on ${other.machine} and ${machine} at ${now.toFixed(0)}`);
      }
    }
    const early = (spec.awaits ?? []).find(
      (id) => this.#historyOf(id).done.size < (this.#jobs.get(id)?.tasks ?? 0),
    );
    if (early !== undefined) this.#violate('too_early', `${job}/${task} before ${early}`);
    const zones = this.#placed.filter((other) => other.job === job).map((other) => other.zone);
    const crowded = zones.filter((other) => other === zone).length + 1 > Math.ceil(spec.tasks / 2);
    if (
      (spot && !spec.spot) ||
      (spec.zone !== null && spec.zone !== zone) ||
      (spec.oneZone && zones.some((other) => other !== zone)) ||
      (spec.spread && crowded)
    ) {
      this.#violate('wrong_place', `${job}/${task} on ${machine}`);
    }
    this.#placed.push({ job, task, machine, zone });
    const cpus = this.#use(spec.team);
    if (this.limitCpus > 0 && cpus > this.limitCpus + 1e-6)
      this.#violate('quota', `${spec.team}: ${cpus} cpus`);
    this.#checkCancelled(job, task, now);
  }

  #use(team: string): number {
    return this.#placed.reduce((sum, on) => {
      const job = this.#jobs.get(on.job);
      return sum + (job?.team === team ? job.cpus : 0);
    }, 0);
  }

  /** To be called periodically after the last fault: jobs that wait although there is capacity. */
  checkWaiting(now: number, hasRoom: (job: SubmittedJob, taken: readonly PlacedTask[]) => boolean): void {
    for (const [id, job] of this.#jobs) {
      const { accepted, cancelRequested, final, done } = this.#historyOf(id);
      const taken = this.#placed.filter((on) => on.job === id);
      const ready = (job.awaits ?? []).every((needed) => this.#historyOf(needed).final === 'done');
      const waits =
        accepted && ready && !cancelRequested && final === null && done.size + taken.length < job.tasks;
      const allowed = this.limitCpus === 0 || this.#use(job.team) + job.cpus <= this.limitCpus + 1e-6;
      if (!waits || !allowed || !hasRoom(job, this.#placed)) this.#waitingSince.delete(id);
      else if (!this.#waitingSince.has(id)) this.#waitingSince.set(id, now);
      else if (now - (this.#waitingSince.get(id) ?? now) > MAX_WAIT_MS) {
        this.#violate('left_waiting', `${id} waits although there is room`);
        this.#waitingSince.set(id, Infinity);
      }
    }
  }

  /** Whether a job has been called done or cancelled. */
  isOver(id: string): boolean {
    return this.#historyOf(id).final !== null;
  }

  /** Whether all tasks of a job have completed. */
  isComplete(id: string): boolean {
    return this.#historyOf(id).done.size === (this.#jobs.get(id)?.tasks ?? -1);
  }

  #checkCancelled(job: string, task: number, now: number): void {
    const at = this.#historyOf(job).cancelledAt;
    if (at !== null && now > at + this.cancelMs) this.#violate('ran_cancelled', `${job}/${task}`);
  }

  taskGone(job: string, task: number, machine: string, completed: boolean, now: number): void {
    const at = this.#placed.findIndex((on) => on.job === job && on.task === task && on.machine === machine);
    if (at < 0) return;
    this.#placed.splice(at, 1);
    if (completed) this.#historyOf(job).done.add(task);
    this.#checkCancelled(job, task, now);
  }

  /** Number of tasks on machines, of one job or of all. */
  placedTasks(job?: string): number {
    return this.#placed.filter((on) => job === undefined || on.job === job).length;
  }

  /** To be called periodically: cancelled tasks that should have stopped by now. */
  checkCancelled(now: number, hangs: (machine: string) => boolean = () => false): void {
    // What hangs executes nothing; it counts from the moment at which it goes on.
    for (const { job, task, machine } of this.#placed)
      if (!hangs(machine)) this.#checkCancelled(job, task, now);
  }

  /** After the last fault, reads of an accepted job must be answered within a bound. */
  checkUnanswered(calmSince: number, now: number): void {
    for (const [id, { accepted, askedAt, answeredAt }] of this.#histories) {
      const unanswered = now - Math.max(answeredAt, calmSince);
      // Whoever has what they wanted asks no more.
      const asks = askedAt > answeredAt && now - askedAt < ACTIVE_READER_MS;
      if (accepted && asks && unanswered > MAX_UNANSWERED_MS)
        this.#violate('forgotten', `${id} had no answer for ${(unanswered / 1000).toFixed(0)} s`);
    }
  }

  /**
   * Classes, teams and the largest jobs of each class of which less than half was served, and those
   * largest of which half did not begin in time; without those that can never be served.
   */
  underserved(isBroken: (id: string) => boolean = () => false): string[] {
    const groups = new Map<string, { jobs: number; done: number; begun: number }>();
    const largest = new Map<string, number>();
    const counted = [...this.#jobs.values()].filter(({ id }) => {
      const { accepted, cancelRequested, final } = this.#historyOf(id);
      // One that needs a cancelled one is cancelled with it, and nobody's loss.
      const cutOff = final === 'withdrawn' && this.#mayBeCancelled(id);
      return accepted && !cancelRequested && !cutOff && !isBroken(id);
    });
    for (const { jobClass = '', tasks } of counted)
      largest.set(jobClass, Math.max(tasks, largest.get(jobClass) ?? 0));
    const count = (name: string, id: string): void => {
      const { final, startedAt, acceptedAt } = this.#historyOf(id);
      const group = groups.get(name) ?? { jobs: 0, done: 0, begun: 0 };
      groups.set(name, group);
      group.jobs += 1;
      if (final === 'done') group.done += 1;
      if (startedAt !== null && startedAt - (acceptedAt ?? 0) <= MAX_START_DELAY_MS) group.begun += 1;
    };
    for (const { id, team, jobClass = '', tasks } of counted) {
      count(`class ${jobClass}`, id);
      count(`team ${team}`, id);
      if (tasks === largest.get(jobClass)) count(`largest of ${jobClass}`, id);
    }
    return [...groups].flatMap(([name, { jobs, done, begun }]) => [
      ...(2 * done < jobs ? [`${name}: ${done} of ${jobs} served`] : []),
      ...(name.startsWith('largest') && 2 * begun < jobs
        ? [`${name}: ${begun} of ${jobs} begun in time`]
        : []),
    ]);
  }

  unfinishedJobs(): string[] {
    return [...this.#histories].filter(([, s]) => s.accepted && s.final === null).map(([id]) => id);
  }
}
