/**
 * PROTOCOL's rules, checked from what hollow workers saw and what users were told. Events of different
 * processes arrive out of order; they are sorted by the shared clock once none can be missing any more.
 */
import type { JobDescription, LabEvent } from '../events.js';

/** A rule of PROTOCOL that the lab checks. */
export type Rule =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'forgotten'
  | 'not_done'
  | 'went_back'
  | 'nothing_ran';

/** One break of a rule. */
export interface Violation {
  readonly rule: Rule;
  readonly detail: string;
}

/** What the rules depend on. */
export interface RuleSettings {
  readonly cancelMs: number;
  /** Cpus that a team's tasks may use at once; 0: no limit. */
  limitOf(team: string): number;
}

interface JobRecord {
  readonly job: JobDescription;
  accepted: boolean;
  cancelAsked: boolean;
  cancelledAt: number | null;
  final: string | null;
  readonly done: Set<number>;
  /** Where tasks are now, by their number. */
  readonly on: Map<number, string>;
}

/** Tasks that are on a machine when the time is over are seen at the next event or at the end. */
export class RuleChecker {
  readonly violations: Violation[] = [];
  started = 0;
  completed = 0;
  readonly #jobs = new Map<string, JobRecord>();
  readonly #teamCpus = new Map<string, number>();
  readonly #cancelled = new Map<string, JobRecord>();
  #pending: LabEvent[] = [];

  constructor(private readonly settings: RuleSettings) {}

  add(events: readonly LabEvent[]): void {
    for (const event of events) this.#pending.push(event);
  }

  /** Checks all events up to a time. */
  checkUntil(time: number): void {
    this.#takeUntil(time);
    this.#checkCancelled(time);
  }

  #takeUntil(time: number): void {
    const due = this.#pending.filter(({ at }) => at <= time);
    if (due.length === 0) return;
    this.#pending = this.#pending.filter(({ at }) => at > time);
    due.sort((one, other) => one.at - other.at);
    for (const event of due) this.#take(event);
  }

  /** Tasks of cancelled jobs that are on a machine still. */
  get cancelledTasksOn(): number {
    let count = 0;
    for (const { on } of this.#cancelled.values()) count += on.size;
    return count;
  }

  /** Checks what is left, at the end of a run. */
  finish(time: number): void {
    this.#takeUntil(Infinity);
    this.#checkCancelled(time);
    if (this.started === 0) this.#break('nothing_ran', 'no task was started');
  }

  /** Tasks that an accepted, uncancelled job still owes. */
  unfinished(): string[] {
    return [...this.#jobs.values()]
      .filter(({ accepted, cancelAsked, done, job }) => accepted && !cancelAsked && done.size < job.tasks)
      .map(({ job }) => job.id);
  }

  #break(rule: Rule, detail: string): void {
    this.violations.push({ rule, detail });
  }

  #take(event: LabEvent): void {
    if (event.kind === 'submitting') {
      this.#jobs.set(event.job.id, {
        job: event.job,
        accepted: false,
        cancelAsked: false,
        cancelledAt: null,
        final: null,
        done: new Set(),
        on: new Map(),
      });
      return;
    }
    const record = this.#jobs.get(event.job);
    if (record === undefined) {
      this.#break('wrong_place', `${event.kind} of ${event.job}, which nobody submitted`);
      return;
    }
    switch (event.kind) {
      case 'submitted':
        if (event.status === 200 || event.status === 201) record.accepted = true;
        else if (record.accepted && (event.status === 400 || event.status === 422))
          this.#break('forgotten', `${event.job} was accepted, and then answered ${event.status}`);
        break;
      case 'begun':
        if (this.#isCancelledFor(record, event.at, this.settings.cancelMs))
          this.#break(
            'ran_cancelled',
            `${event.job}/${event.task} starts on ${event.worker} after its cancellation`,
          );
        break;
      case 'on':
        this.#goesOn(record, event);
        break;
      case 'off':
        this.#goesOff(record, event);
        break;
      case 'told':
        this.#told(record, event);
        break;
      case 'cancelling':
        record.cancelAsked = true;
        break;
      case 'cancelled':
        this.#final(record, event.stage);
        if (event.stage === 'withdrawn' && record.cancelledAt === null) {
          record.cancelledAt = event.at;
          this.#cancelled.set(event.job, record);
        }
        break;
    }
  }

  #isCancelledFor({ cancelledAt }: JobRecord, at: number, forMs: number): boolean {
    return cancelledAt !== null && at > cancelledAt + forMs;
  }

  #goesOn(record: JobRecord, event: Extract<LabEvent, { kind: 'on' }>): void {
    const { job, on } = record;
    const name = `${job.id}/${event.task}`;
    const other = on.get(event.task);
    if (other !== undefined && other !== event.worker)
      this.#break('ran_twice', `${name} starts on ${event.worker} while it is on ${other}`);
    if (job.zone !== null && job.zone !== event.zone)
      this.#break('wrong_place', `${name} is for ${job.zone} and runs in ${event.zone}`);
    on.set(event.task, event.worker);
    this.started += 1;
    const used = (this.#teamCpus.get(job.team) ?? 0) + job.cpus;
    this.#teamCpus.set(job.team, used);
    const limit = this.settings.limitOf(job.team);
    if (limit > 0 && used > limit + 1e-6) this.#break('quota', `${job.team} uses ${used} of ${limit} cpus`);
  }

  #goesOff(record: JobRecord, event: Extract<LabEvent, { kind: 'off' }>): void {
    const { job, on, done } = record;
    if (on.get(event.task) === event.worker) on.delete(event.task);
    this.#teamCpus.set(job.team, (this.#teamCpus.get(job.team) ?? 0) - job.cpus);
    if (!event.done) return;
    done.add(event.task);
    this.completed += 1;
  }

  #told(record: JobRecord, event: Extract<LabEvent, { kind: 'told' }>): void {
    const { job, accepted, done } = record;
    if (accepted && event.status === 404)
      this.#break('forgotten', `${job.id} was accepted, and is answered 404`);
    if (event.stage === null) return;
    this.#final(record, event.stage);
    if (event.stage === 'done' && done.size < job.tasks)
      this.#break('not_done', `${job.id} is called done with ${done.size} of ${job.tasks} tasks`);
    if (event.stage === 'withdrawn' && !record.cancelAsked)
      this.#break('went_back', `${job.id} is called cancelled, and nobody asked for that`);
  }

  #final(record: JobRecord, stage: string): void {
    if (record.final !== null && stage !== record.final)
      this.#break('went_back', `${record.job.id} was ${record.final}, and is called ${stage}`);
    if (stage === 'done' || stage === 'withdrawn') record.final = stage;
  }

  /** Tasks that go on for longer than they may after their user was told of the cancellation. */
  #checkCancelled(time: number): void {
    for (const [id, record] of this.#cancelled) {
      if (!this.#isCancelledFor(record, time, this.settings.cancelMs)) continue;
      this.#cancelled.delete(id);
      for (const [task, worker] of record.on)
        this.#break('ran_cancelled', `${id}/${task} is on ${worker} long after its cancellation`);
    }
  }
}
