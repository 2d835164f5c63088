/**
 * Checks PROTOCOL's rules against the events of hollow workers and the answers to users. Events of different
 * processes arrive out of order; they are sorted by the shared clock once all of them must have arrived.
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
  | 'nothing_ran'
  /** A message to or from a worker exceeds PROTOCOL's limit. */
  | 'too_long'
  /** In a scenario that must complete: a task stopped before its end, or a job did not end. */
  | 'task_lost'
  | 'unfinished';

/** One violation of a rule. */
export interface Violation {
  readonly rule: Rule;
  readonly detail: string;
}

/** Limits that the rules check against. */
export interface RuleSettings {
  readonly cancelMs: number;
  /** CPUs that a team's tasks may use at the same time; 0 means no limit. */
  limitOf(team: string): number;
  /** No task may be lost, and every job that is not cancelled has to be done in the end. */
  readonly mustComplete?: boolean;
}

interface JobRecord {
  readonly job: JobDescription;
  accepted: boolean;
  cancelRequested: boolean;
  cancelledAt: number | null;
  finalStage: string | null;
  readonly done: Set<number>;
  /** Worker on which each running task runs, by the task's number. */
  readonly on: Map<number, string>;
}

/** Tasks that outlast the cancel timeout are detected by the next call of `checkUntil` or by `finish`. */
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
    this.#applyUntil(time);
    this.#checkCancelled(time);
  }

  #applyUntil(time: number): void {
    const due = this.#pending.filter(({ at }) => at <= time);
    if (due.length === 0) return;
    this.#pending = this.#pending.filter(({ at }) => at > time);
    due.sort((one, other) => one.at - other.at);
    for (const event of due) this.#apply(event);
  }

  /** Number of tasks of cancelled jobs that still run. */
  get cancelledTasksRunning(): number {
    let count = 0;
    for (const { on } of this.#cancelled.values()) count += on.size;
    return count;
  }

  /** Checks all remaining events at the end of a run. */
  finish(time: number): void {
    this.#applyUntil(Infinity);
    this.#checkCancelled(time);
    if (this.started === 0) this.#addViolation('nothing_ran', 'no task was started');
    if (this.settings.mustComplete === true)
      for (const id of this.unfinished()) this.#addViolation('unfinished', `${id} is not done`);
  }

  /** Ids of the accepted jobs without a cancel request that have tasks left to complete. */
  unfinished(): string[] {
    return [...this.#jobs.values()]
      .filter(
        ({ accepted, cancelRequested, done, job }) => accepted && !cancelRequested && done.size < job.tasks,
      )
      .map(({ job }) => job.id);
  }

  #addViolation(rule: Rule, detail: string): void {
    this.violations.push({ rule, detail });
  }

  #apply(event: LabEvent): void {
    if (event.kind === 'submitting') {
      this.#jobs.set(event.job.id, {
        job: event.job,
        accepted: false,
        cancelRequested: false,
        cancelledAt: null,
        finalStage: null,
        done: new Set(),
        on: new Map(),
      });
      return;
    }
    if (event.kind === 'oversized') {
      this.#addViolation('too_long', `${event.message} of ${event.worker}: ${event.bytes} bytes`);
      return;
    }
    const record = this.#jobs.get(event.job);
    if (record === undefined) {
      this.#addViolation('wrong_place', `event ${event.kind} of ${event.job}, which was not submitted`);
      return;
    }
    switch (event.kind) {
      case 'submitted':
        if (event.status === 200 || event.status === 201) record.accepted = true;
        else if (record.accepted && (event.status === 400 || event.status === 422))
          this.#addViolation(
            'forgotten',
            `${event.job} was accepted, but then answered with ${event.status}`,
          );
        break;
      case 'begun':
        if (this.#isCancelledLongerThan(record, event.at, this.settings.cancelMs))
          this.#addViolation(
            'ran_cancelled',
            `${event.job}/${event.task} starts on ${event.worker} after its cancel timeout`,
          );
        break;
      case 'on':
        this.#addRunningTask(record, event);
        break;
      case 'off':
        this.#removeRunningTask(record, event);
        break;
      case 'polled':
        this.#checkPolledStage(record, event);
        break;
      case 'cancelling':
        record.cancelRequested = true;
        break;
      case 'cancelled':
        this.#checkFinalStage(record, event.stage);
        if (event.stage === 'withdrawn' && record.cancelledAt === null) {
          record.cancelledAt = event.at;
          this.#cancelled.set(event.job, record);
        }
        break;
    }
  }

  #isCancelledLongerThan({ cancelledAt }: JobRecord, at: number, forMs: number): boolean {
    return cancelledAt !== null && at > cancelledAt + forMs;
  }

  #addRunningTask(record: JobRecord, event: Extract<LabEvent, { kind: 'on' }>): void {
    const { job, on } = record;
    const name = `${job.id}/${event.task}`;
    const other = on.get(event.task);
    if (other !== undefined && other !== event.worker)
      this.#addViolation('ran_twice', `${name} starts on ${event.worker} while it runs on ${other}`);
    if (job.zone !== null && job.zone !== event.zone)
      this.#addViolation('wrong_place', `${name} is bound to ${job.zone} but runs in ${event.zone}`);
    on.set(event.task, event.worker);
    this.started += 1;
    const used = (this.#teamCpus.get(job.team) ?? 0) + job.cpus;
    this.#teamCpus.set(job.team, used);
    const limit = this.settings.limitOf(job.team);
    if (limit > 0 && used > limit + 1e-6)
      this.#addViolation('quota', `${job.team} uses ${used} CPUs, more than its limit of ${limit}`);
  }

  #removeRunningTask(record: JobRecord, event: Extract<LabEvent, { kind: 'off' }>): void {
    const { job, on, done } = record;
    if (on.get(event.task) === event.worker) on.delete(event.task);
    this.#teamCpus.set(job.team, (this.#teamCpus.get(job.team) ?? 0) - job.cpus);
    if (!event.done) {
      if (this.settings.mustComplete === true && !record.cancelRequested)
        this.#addViolation('task_lost', `${job.id}/${event.task} stopped on ${event.worker}`);
      return;
    }
    done.add(event.task);
    this.completed += 1;
  }

  #checkPolledStage(record: JobRecord, event: Extract<LabEvent, { kind: 'polled' }>): void {
    const { job, accepted, done } = record;
    if (accepted && event.status === 404)
      this.#addViolation('forgotten', `${job.id} was accepted, but a poll was answered with 404`);
    if (event.stage === null) return;
    this.#checkFinalStage(record, event.stage);
    if (event.stage === 'done' && done.size < job.tasks)
      this.#addViolation(
        'not_done',
        `${job.id} is reported as done with ${done.size} of ${job.tasks} tasks done`,
      );
    if (event.stage === 'withdrawn' && !record.cancelRequested)
      this.#addViolation('went_back', `${job.id} is reported as cancelled without a cancel request`);
  }

  #checkFinalStage(record: JobRecord, stage: string): void {
    if (record.finalStage !== null && stage !== record.finalStage)
      this.#addViolation(
        'went_back',
        `${record.job.id} was ${record.finalStage}, but is reported as ${stage}`,
      );
    if (stage === 'done' || stage === 'withdrawn') record.finalStage = stage;
  }

  /** Finds tasks that run for longer than the cancel timeout after their cancellation was confirmed. */
  #checkCancelled(time: number): void {
    for (const [id, record] of this.#cancelled) {
      if (!this.#isCancelledLongerThan(record, time, this.settings.cancelMs)) continue;
      this.#cancelled.delete(id);
      for (const [task, worker] of record.on)
        this.#addViolation('ran_cancelled', `${id}/${task} runs on ${worker} after its cancel timeout`);
    }
  }
}
