/**
 * Every rule of the protocol, checked from what users are told and what machines do.
 * It knows nothing of how the service works.
 */
import { asObject } from '../../src/core/values.js';

export interface SubmittedJob {
  readonly id: string;
  readonly jobClass?: string;
  /** Idle-time work of a guest: of the lowest priority, saved every so many seconds. */
  readonly bookmarkS?: number;
  readonly team: string;
  readonly tasks: number;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly spot: boolean;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  /** Jobs that have to be done before. */
  readonly awaits?: readonly string[];
  /** As users write them; an array of normal urgency unless told. */
  readonly form?: 'array' | 'ensemble' | 'service';
  readonly urgency?: 'prod' | 'high' | 'normal' | 'best_effort';
}

interface Standing {
  accepted: boolean;
  acceptedAt: number | null;
  /** When its user was told that it is cancelled. */
  cancelledAt: number | null;
  cancelAsked: boolean;
  final: string | null;
  finalAt: number;
  /** When its user last asked about it, and last got an answer. */
  askedAt: number;
  answeredAt: number;
  startedAt: number | null;
  readonly done: Set<number>;
}

export interface OnMachine {
  readonly job: string;
  readonly task: number;
  readonly machine: string;
  readonly zone: string;
}

/** A leader learns of a cancellation by its watch; one whose view is older than its lease starts nothing. */
const MOST_TO_LEARN = 2500;
/** Once troubles are over nothing waits so long while a machine that it fits has room. */
const MOST_WAIT = 90_000;
const MOST_UNANSWERED = 75_000;
const STILL_ASKING = 10_000;
const MOST_TO_BEGIN = 240_000;

export class Checker {
  readonly broken: string[] = [];
  readonly #jobs = new Map<string, SubmittedJob>();
  readonly #standing = new Map<string, Standing>();
  readonly #on: OnMachine[] = [];
  readonly #waitsSince = new Map<string, number>();
  /** Jobs that can never run, or lack a field: nobody may accept them. */
  readonly #unacceptable = new Set<string>();
  started = 0;
  /** Tasks that a worker killed because its lease was over. */
  lapsed = 0;

  constructor(
    private readonly cancelMs: number,
    private readonly limitCpus: number,
  ) {}

  #break(rule: string, what: string): void {
    this.broken.push(`${rule}: ${what}`);
  }

  #of(id: string): Standing {
    let standing = this.#standing.get(id);
    if (standing === undefined) {
      standing = {
        accepted: false,
        acceptedAt: null,
        cancelledAt: null,
        cancelAsked: false,
        final: null,
        finalAt: Infinity,
        askedAt: -Infinity,
        answeredAt: -Infinity,
        startedAt: null,
        done: new Set(),
      };
      this.#standing.set(id, standing);
    }
    return standing;
  }

  /** When a user was told that a job, or one that it needs, is cancelled; null: never. */
  #cutOffAt(id: string): number | null {
    let at = this.#of(id).cancelledAt;
    for (const needed of this.#jobs.get(id)?.awaits ?? []) {
      const other = this.#cutOffAt(needed);
      if (other !== null) at = Math.min(at ?? Infinity, other);
    }
    return at;
  }

  /** Whether its user, or that of a job that it needs, asked to cancel it. */
  #mayEnd(id: string): boolean {
    return (
      this.#of(id).cancelAsked || (this.#jobs.get(id)?.awaits ?? []).some((needed) => this.#mayEnd(needed))
    );
  }

  submitted(job: SubmittedJob): void {
    this.#jobs.set(job.id, job);
    this.#of(job.id);
  }

  /** Something that can never run, or lacks a field, is sent. */
  odd(id: string): void {
    this.#unacceptable.add(id);
  }

  asked(id: string, now: number): void {
    this.#of(id).askedAt = now;
  }

  cancelAsked(id: string): void {
    this.#of(id).cancelAsked = true;
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
    const standing = this.#of(id);
    if (status < 500) standing.answeredAt = now;
    if (status === 200 || status === 201) {
      if (this.#unacceptable.has(id)) {
        this.#break('took_odd', id);
        return;
      }
      if (!this.#jobs.has(id)) this.#break('invented', id);
      standing.acceptedAt ??= now;
      standing.accepted = true;
      const stage = asObject(body)?.['stage'];
      const cutOff = this.#cutOffAt(id);
      const late = cutOff !== null && now > Math.max(cutOff, standing.acceptedAt) + this.cancelMs;
      if (late && stage !== 'withdrawn') this.#break('orphaned', `${id} is called ${String(stage)}`);
      // Of two questions under way at once either may be answered first.
      if (standing.final !== null && stage !== standing.final && askedAt >= standing.finalAt) {
        this.#break('went_back', `${id} from ${standing.final} to ${String(stage)}`);
      }
      if ((stage === 'done' || stage === 'withdrawn') && standing.final === null) standing.finalAt = now;
      if (stage === 'done') {
        standing.final = 'done';
        if (standing.done.size < (this.#jobs.get(id)?.tasks ?? 0)) this.#break('not_done', id);
      }
      if (stage === 'withdrawn') {
        standing.final = 'withdrawn';
        // Withdrawn for another's sake, it is the other whose user was told.
        if (standing.cancelAsked) standing.cancelledAt ??= now;
        if (!this.#mayEnd(id)) this.#break('went_back', `${id} is cancelled by nobody`);
      }
    } else if (
      standing.accepted &&
      (status === 404 || (kind === 'submit' && status < 500 && status !== 429))
    ) {
      this.#break('forgotten', `${id} gets ${status}`);
    }
  }

  /** A controller has told a worker to start tasks of these jobs. */
  commandsGiven(starts: readonly string[], now: number): void {
    for (const id of starts) {
      const at = this.#of(id).cancelledAt;
      if (at !== null && now > at + MOST_TO_LEARN)
        this.#break('started_cancelled', `${id}, ${(now - at).toFixed(0)} ms after it was confirmed`);
    }
  }

  taskStarts(job: string, task: number, machine: string, zone: string, spot: boolean, now: number): void {
    this.started += 1;
    this.#of(job).startedAt ??= now;
    const spec = this.#jobs.get(job);
    if (spec === undefined) {
      this.#break('invented', `${job}/${task} runs`);
      return;
    }
    for (const other of this.#on) {
      if (other.job === job && other.task === task && other.machine !== machine) {
        this.#break('ran_twice', `${job}/${task} on ${other.machine} and ${machine} at ${now.toFixed(0)}`);
      }
    }
    const early = (spec.awaits ?? []).find((id) => this.#of(id).done.size < (this.#jobs.get(id)?.tasks ?? 0));
    if (early !== undefined) this.#break('too_early', `${job}/${task} before ${early}`);
    const zones = this.#on.filter((other) => other.job === job).map((other) => other.zone);
    const crowded = zones.filter((other) => other === zone).length + 1 > Math.ceil(spec.tasks / 2);
    if (
      (spot && !spec.spot) ||
      (spec.zone !== null && spec.zone !== zone) ||
      (spec.oneZone && zones.some((other) => other !== zone)) ||
      (spec.spread && crowded)
    ) {
      this.#break('wrong_place', `${job}/${task} on ${machine}`);
    }
    this.#on.push({ job, task, machine, zone });
    const cpus = this.#use(spec.team);
    if (this.limitCpus > 0 && cpus > this.limitCpus + 1e-6)
      this.#break('quota', `${spec.team}: ${cpus} cpus`);
    this.#checkCancelled(job, task, now);
  }

  #use(team: string): number {
    return this.#on.reduce((sum, on) => {
      const job = this.#jobs.get(on.job);
      return sum + (job?.team === team ? job.cpus : 0);
    }, 0);
  }

  /** To be called now and then once troubles are over: who waits although there is room. */
  lookForWaiting(now: number, hasRoom: (job: SubmittedJob, taken: readonly OnMachine[]) => boolean): void {
    for (const [id, job] of this.#jobs) {
      const { accepted, cancelAsked, final, done } = this.#of(id);
      const taken = this.#on.filter((on) => on.job === id);
      const ready = (job.awaits ?? []).every((needed) => this.#of(needed).final === 'done');
      const waits =
        accepted && ready && !cancelAsked && final === null && done.size + taken.length < job.tasks;
      const allowed = this.limitCpus === 0 || this.#use(job.team) + job.cpus <= this.limitCpus + 1e-6;
      if (!waits || !allowed || !hasRoom(job, this.#on)) this.#waitsSince.delete(id);
      else if (!this.#waitsSince.has(id)) this.#waitsSince.set(id, now);
      else if (now - (this.#waitsSince.get(id) ?? now) > MOST_WAIT) {
        this.#break('left_waiting', `${id} waits although there is room`);
        this.#waitsSince.set(id, Infinity);
      }
    }
  }

  /** Whether a job has been called done or cancelled. */
  isOver(id: string): boolean {
    return this.#of(id).final !== null;
  }

  /** Whether all tasks of a job have completed. */
  isComplete(id: string): boolean {
    return this.#of(id).done.size === (this.#jobs.get(id)?.tasks ?? -1);
  }

  #checkCancelled(job: string, task: number, now: number): void {
    const at = this.#of(job).cancelledAt;
    if (at !== null && now > at + this.cancelMs) this.#break('ran_cancelled', `${job}/${task}`);
  }

  taskGone(job: string, task: number, machine: string, completed: boolean, now: number): void {
    const at = this.#on.findIndex((on) => on.job === job && on.task === task && on.machine === machine);
    if (at < 0) return;
    this.#on.splice(at, 1);
    if (completed) this.#of(job).done.add(task);
    this.#checkCancelled(job, task, now);
  }

  /** How many tasks, of one job or of all, are on machines. */
  out(job?: string): number {
    return this.#on.filter((on) => job === undefined || on.job === job).length;
  }

  /** To be called now and then: what should be gone by now, and is not. */
  look(now: number, hangs: (machine: string) => boolean = () => false): void {
    // What hangs executes nothing; it counts from the moment at which it goes on.
    for (const { job, task, machine } of this.#on) if (!hangs(machine)) this.#checkCancelled(job, task, now);
  }

  /** Once troubles are over, no accepted job may go so long without an answered question. */
  lookForForgotten(calmSince: number, now: number): void {
    for (const [id, { accepted, askedAt, answeredAt }] of this.#standing) {
      const unanswered = now - Math.max(answeredAt, calmSince);
      // Whoever has what they wanted asks no more.
      const asks = askedAt > answeredAt && now - askedAt < STILL_ASKING;
      if (accepted && asks && unanswered > MOST_UNANSWERED)
        this.#break('forgotten', `${id} had no answer for ${(unanswered / 1000).toFixed(0)} s`);
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
      const { accepted, cancelAsked, final } = this.#of(id);
      // One that needs a cancelled one is cancelled with it, and nobody's loss.
      const cutOff = final === 'withdrawn' && this.#mayEnd(id);
      return accepted && !cancelAsked && !cutOff && !isBroken(id);
    });
    for (const { jobClass = '', tasks } of counted)
      largest.set(jobClass, Math.max(tasks, largest.get(jobClass) ?? 0));
    const count = (name: string, id: string): void => {
      const { final, startedAt, acceptedAt } = this.#of(id);
      const group = groups.get(name) ?? { jobs: 0, done: 0, begun: 0 };
      groups.set(name, group);
      group.jobs += 1;
      if (final === 'done') group.done += 1;
      if (startedAt !== null && startedAt - (acceptedAt ?? 0) <= MOST_TO_BEGIN) group.begun += 1;
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

  unfinished(): string[] {
    return [...this.#standing].filter(([, s]) => s.accepted && s.final === null).map(([id]) => id);
  }
}
