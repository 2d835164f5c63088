/**
 * Checks every rule of the protocol using only what can be observed from outside: the responses to users, the
 * commands to workers and the tasks that run on machines. It is independent of the implementation of the service.
 */
import { asObject } from '../../src/core/values.js';

/** A job as its user submits it. */
export interface SubmittedJob {
  readonly id: string;
  readonly jobClass?: string;
  /** Checkpoint interval in seconds; the job is best effort, the lowest priority, unless `urgency` is given. */
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
  /** Values of the submission format; the default is an array of normal urgency. */
  readonly form?: 'array' | 'ensemble' | 'service';
  readonly urgency?: 'prod' | 'high' | 'normal' | 'best_effort';
}

/** What has been observed of one job: the responses to its users and its tasks. Times are in milliseconds. */
interface JobHistory {
  accepted: boolean;
  acceptedAt: number | null;
  /** When a response first confirmed the cancellation that its user requested. */
  cancelledAt: number | null;
  cancelRequested: boolean;
  final: string | null;
  finalAt: number;
  /** When its user last sent a request about it, and last received a response with a status below 500. */
  requestedAt: number;
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

/** After the last fault, no task may wait longer than this while a machine has capacity for it, in milliseconds. */
const MAX_WAIT_MS = 90_000;
const MAX_UNANSWERED_MS = 75_000;
const ACTIVE_READER_MS = 10_000;
const MAX_START_DELAY_MS = 240_000;

/** Collects violations of the protocol's rules; each is `rule: details`. */
export class Checker {
  readonly violations: string[] = [];
  readonly #jobs = new Map<string, SubmittedJob>();
  readonly #histories = new Map<string, JobHistory>();
  readonly #placed: PlacedTask[] = [];
  readonly #waitingSince = new Map<string, number>();
  /** Jobs that can never run or lack a required field: no controller may accept them. */
  readonly #invalidJobs = new Set<string>();
  startedTasks = 0;
  /** Number of tasks that workers killed at lease expiry. */
  expiredTasks = 0;

  constructor(
    private readonly cancelMs: number,
    private readonly limitCpus: number,
  ) {}

  #violate(rule: string, details: string): void {
    this.violations.push(`${rule}: ${details}`);
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
        requestedAt: -Infinity,
        answeredAt: -Infinity,
        startedAt: null,
        done: new Set(),
      };
      this.#histories.set(id, history);
    }
    return history;
  }

  /** When the cancellation of a job, or of one of its dependencies, was first confirmed; null if it never was. */
  #cancelledAtOf(id: string): number | null {
    let at = this.#historyOf(id).cancelledAt;
    for (const dependency of this.#jobs.get(id)?.awaits ?? []) {
      const other = this.#cancelledAtOf(dependency);
      if (other !== null) at = Math.min(at ?? Infinity, other);
    }
    return at;
  }

  /** Whether the cancellation of a job, or of one of its dependencies, was requested. */
  #mayBeCancelled(id: string): boolean {
    return (
      this.#historyOf(id).cancelRequested ||
      (this.#jobs.get(id)?.awaits ?? []).some((dependency) => this.#mayBeCancelled(dependency))
    );
  }

  /** A job that is cancelled without a request confirms the cancellation of its dependency, if only one was cancelled. */
  #confirmDependency(id: string, now: number): void {
    const cancelled = new Set<JobHistory>();
    const visit = (job: string): void => {
      for (const dependency of this.#jobs.get(job)?.awaits ?? []) {
        if (this.#historyOf(dependency).cancelRequested) cancelled.add(this.#historyOf(dependency));
        visit(dependency);
      }
    };
    visit(id);
    const [only] = cancelled;
    if (only !== undefined && cancelled.size === 1) only.cancelledAt ??= now;
  }

  recordSubmission(job: SubmittedJob): void {
    this.#jobs.set(job.id, job);
    this.#historyOf(job.id);
  }

  /** Records the submission of a job that can never run or lacks a required field. */
  recordInvalidSubmission(id: string): void {
    this.#invalidJobs.add(id);
  }

  recordRequest(id: string, now: number): void {
    this.#historyOf(id).requestedAt = now;
  }

  recordCancellationRequest(id: string): void {
    this.#historyOf(id).cancelRequested = true;
  }

  /** Records the response to a request about a job and checks it against the rules. */
  recordResponse(
    id: string,
    status: number,
    body: unknown,
    now: number,
    kind: 'submit' | 'show' | 'withdraw',
    requestedAt = now,
  ): void {
    const history = this.#historyOf(id);
    if (status < 500) history.answeredAt = now;
    if (status === 200 || status === 201) {
      if (this.#invalidJobs.has(id)) {
        this.#violate('accepted_invalid', id);
        return;
      }
      if (!this.#jobs.has(id)) this.#violate('invented', id);
      history.acceptedAt ??= now;
      history.accepted = true;
      const stage = asObject(body)?.['stage'];
      const cancelledAt = this.#cancelledAtOf(id);
      const isOverdue =
        cancelledAt !== null && now > Math.max(cancelledAt, history.acceptedAt) + this.cancelMs;
      if (isOverdue && stage !== 'withdrawn')
        this.#violate('orphaned', `${id} is reported as ${String(stage)} after its cancellation`);
      // Concurrent requests may be answered in any order: only those sent after the final response count.
      if (history.final !== null && stage !== history.final && requestedAt >= history.finalAt) {
        this.#violate('went_back', `${id} from ${history.final} to ${String(stage)}`);
      }
      if ((stage === 'done' || stage === 'withdrawn') && history.final === null) history.finalAt = now;
      if (stage === 'done') {
        history.final = 'done';
        if (history.done.size < (this.#jobs.get(id)?.tasks ?? 0)) this.#violate('not_done', id);
      }
      if (stage === 'withdrawn') {
        history.final = 'withdrawn';
        // If only a dependency's cancellation was requested, #cancelledAtOf finds the time of its confirmation.
        if (history.cancelRequested) history.cancelledAt ??= now;
        else this.#confirmDependency(id, now);
        if (!this.#mayBeCancelled(id)) this.#violate('went_back', `${id} is cancelled without a request`);
      }
    } else if (
      history.accepted &&
      (status === 404 || (kind === 'submit' && status < 500 && status !== 429))
    ) {
      this.#violate('forgotten', `${id} was accepted, but a response has status ${status}`);
    }
  }

  /** Records that the command to start tasks of these jobs leaves a controller: none may after a confirmed cancellation. */
  recordCommands(starts: readonly string[], now: number): void {
    for (const id of starts) {
      const cancelledAt = this.#historyOf(id).cancelledAt;
      if (cancelledAt !== null && now > cancelledAt)
        this.#violate(
          'started_cancelled',
          `${id}, ${(now - cancelledAt).toFixed(0)} ms after it was confirmed`,
        );
    }
  }

  recordTaskStart(
    job: string,
    task: number,
    machine: string,
    zone: string,
    spot: boolean,
    now: number,
  ): void {
    this.startedTasks += 1;
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
    const unfinishedDependency = (spec.awaits ?? []).find(
      (id) => this.#historyOf(id).done.size < (this.#jobs.get(id)?.tasks ?? 0),
    );
    if (unfinishedDependency !== undefined)
      this.#violate('too_early', `${job}/${task} before ${unfinishedDependency}`);
    const zones = this.#placed.filter((other) => other.job === job).map((other) => other.zone);
    const exceedsSpread = zones.filter((other) => other === zone).length + 1 > Math.ceil(spec.tasks / 2);
    if (
      (spot && !spec.spot) ||
      (spec.zone !== null && spec.zone !== zone) ||
      (spec.oneZone && zones.some((other) => other !== zone)) ||
      (spec.spread && exceedsSpread)
    ) {
      this.#violate('wrong_place', `${job}/${task} on ${machine}`);
    }
    this.#placed.push({ job, task, machine, zone });
    const cpus = this.#cpusInUse(spec.team);
    if (this.limitCpus > 0 && cpus > this.limitCpus + 1e-6)
      this.#violate('quota', `${spec.team}: ${cpus} cpus`);
    this.#checkCancelled(job, task, now);
  }

  #cpusInUse(team: string): number {
    return this.#placed.reduce((sum, placed) => {
      const job = this.#jobs.get(placed.job);
      return sum + (job?.team === team ? job.cpus : 0);
    }, 0);
  }

  /** Call periodically after the last fault: reports jobs that wait although a machine has capacity for a task. */
  checkWaiting(
    now: number,
    hasCapacity: (job: SubmittedJob, placed: readonly PlacedTask[]) => boolean,
  ): void {
    for (const [id, job] of this.#jobs) {
      const { accepted, cancelRequested, final, done } = this.#historyOf(id);
      const placed = this.#placed.filter((task) => task.job === id);
      const ready = (job.awaits ?? []).every((dependency) => this.#historyOf(dependency).final === 'done');
      const isWaiting =
        accepted && ready && !cancelRequested && final === null && done.size + placed.length < job.tasks;
      const isWithinQuota =
        this.limitCpus === 0 || this.#cpusInUse(job.team) + job.cpus <= this.limitCpus + 1e-6;
      if (!isWaiting || !isWithinQuota || !hasCapacity(job, this.#placed)) this.#waitingSince.delete(id);
      else if (!this.#waitingSince.has(id)) this.#waitingSince.set(id, now);
      else if (now - (this.#waitingSince.get(id) ?? now) > MAX_WAIT_MS) {
        this.#violate('left_waiting', `${id} waits although a machine has capacity`);
        this.#waitingSince.set(id, Infinity);
      }
    }
  }

  /** Whether a response has reported a job as done or cancelled. */
  isOver(id: string): boolean {
    return this.#historyOf(id).final !== null;
  }

  /** Whether all tasks of a job have completed. */
  isComplete(id: string): boolean {
    return this.#historyOf(id).done.size === (this.#jobs.get(id)?.tasks ?? -1);
  }

  #checkCancelled(job: string, task: number, now: number): void {
    const cancelledAt = this.#historyOf(job).cancelledAt;
    if (cancelledAt !== null && now > cancelledAt + this.cancelMs)
      this.#violate('ran_cancelled', `${job}/${task}`);
  }

  recordTaskEnd(job: string, task: number, machine: string, completed: boolean, now: number): void {
    const index = this.#placed.findIndex(
      (placed) => placed.job === job && placed.task === task && placed.machine === machine,
    );
    if (index < 0) return;
    this.#placed.splice(index, 1);
    if (completed) this.#historyOf(job).done.add(task);
    this.#checkCancelled(job, task, now);
  }

  /** Number of tasks on machines, of one job or of all. */
  placedTasks(job?: string): number {
    return this.#placed.filter((placed) => job === undefined || placed.job === job).length;
  }

  /** Call periodically: reports cancelled tasks that should have stopped by now. */
  checkCancelled(now: number, isPaused: (machine: string) => boolean = () => false): void {
    // A paused machine executes nothing; its tasks are checked again once it resumes.
    for (const { job, task, machine } of this.#placed)
      if (!isPaused(machine)) this.#checkCancelled(job, task, now);
  }

  /** After the last fault, requests about an accepted job must be answered within MAX_UNANSWERED_MS. */
  checkUnanswered(faultsEndedAt: number, now: number): void {
    for (const [id, { accepted, requestedAt, answeredAt }] of this.#histories) {
      const unanswered = now - Math.max(answeredAt, faultsEndedAt);
      // Only a user who still polls counts: the latest request is recent and has no response yet.
      const isPolling = requestedAt > answeredAt && now - requestedAt < ACTIVE_READER_MS;
      if (accepted && isPolling && unanswered > MAX_UNANSWERED_MS)
        this.#violate('forgotten', `${id} had no answer for ${(unanswered / 1000).toFixed(0)} s`);
    }
  }

  /**
   * Classes, teams and the largest jobs of each class of which less than half are done, and the largest jobs of
   * each class of which less than half began within MAX_START_DELAY_MS. Cancelled jobs, and those for which
   * `isBroken` holds because they can never be done, are not counted.
   */
  underserved(isBroken: (id: string) => boolean = () => false): string[] {
    const groups = new Map<string, { jobs: number; done: number; begun: number }>();
    const largest = new Map<string, number>();
    const counted = [...this.#jobs.values()].filter(({ id }) => {
      const { accepted, cancelRequested, final } = this.#historyOf(id);
      // A job that is cancelled because its dependency was is not counted either.
      const isCancelledWithDependency = final === 'withdrawn' && this.#mayBeCancelled(id);
      return accepted && !cancelRequested && !isCancelledWithDependency && !isBroken(id);
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
    return [...this.#histories]
      .filter(([, history]) => history.accepted && history.final === null)
      .map(([id]) => id);
  }
}
