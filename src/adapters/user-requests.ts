/** User requests: submit, show and cancel, served by every node from the key-value store. */
import { satisfiesConstraints, fits, WAIT_REASONS } from '../core/placement/index.js';
import type { TeamQuota } from '../core/model.js';
import type { Precondition, EndedRecord, JobSpec, MachineType, Mutation } from '../core/types.js';
import { endedKey, jobBytes, jobKey } from '../core/persistence/index.js';
import { encodeJobView, JOB_ID, parseSubmission, type JobView } from '../wire/users.js';
import type { Clock } from './clock.js';
import { JobReader, type JobLookup } from './job-reader.js';
import type { KeyValueStore } from './key-value-store.js';

/** Status and body of an HTTP response to a user. */
export interface UserResponse {
  readonly status: number;
  readonly body: object;
}

const RETRY_LATER: UserResponse = { status: 503, body: { error: 'cannot decide now, try again' } };
const NOT_FOUND: UserResponse = { status: 404, body: { error: 'no such job' } };

/** The transaction that enters a new job. */
interface PlannedSubmission {
  readonly preconditions: readonly Precondition[];
  readonly mutation: Mutation;
  readonly stage: 'pending' | 'withdrawn';
}

/** What the user requests need of the node. */
export interface UserRequestsContext {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly teams: ReadonlyMap<string, TeamQuota>;
  /** Time that one request may take in all, in milliseconds. */
  readonly requestTimeoutMs: number;
  /** Requests per second that the store takes, by the strictest limits. */
  readonly requestsPerSecond: number;
  /** Bytes that a description may take, by the strictest limits. */
  readonly maxValueBytes: number;
  /** Preconditions of one transaction, by the strictest limits. */
  readonly maxPreconditions: number;
  /** Whether every controller is known to understand DAG dependencies. */
  supportsDependencies(): Promise<boolean>;
  /** Whether a leader has recently confirmed that every cancellation has reached all dependent jobs. */
  hasPropagatedCancellations(): boolean;
  /** Machine types on offer, by name. */
  types(): ReadonlyMap<string, MachineType>;
  /** Task counts of a job and the code of its wait reason (0: none), as the leader last sent them. */
  counts(id: string): { readonly done: number; readonly running: number; readonly why: number } | null;
}

/** Serves user requests. No method rejects for want of an answer of the store: the user is told to retry. */
export class UserRequests {
  readonly #reader: JobReader;

  constructor(private readonly context: UserRequestsContext) {
    const { store, clock, requestsPerSecond, maxPreconditions } = context;
    this.#reader = new JobReader(store, clock, requestsPerSecond, maxPreconditions);
  }

  /** Drops what can be read again. */
  dropCaches(): void {
    this.#reader.dropCaches();
  }

  /** Why a well-formed job can never run; `null`: it can. */
  #infeasibilityReason(spec: JobSpec): string | null {
    const limits = this.context.teams.get(spec.team);
    if (limits === undefined) return `crew ${spec.team} is unknown`;
    let fitting = false;
    for (const type of this.context.types().values()) {
      const zones = type.zones.some(
        (zone) =>
          satisfiesConstraints(spec, type.name, zone, false) ||
          satisfiesConstraints(spec, type.name, zone, true),
      );
      fitting ||= zones && fits(spec, type);
    }
    if (!fitting) return 'a task fits no allowed machine type';
    const count = spec.form === 'array' ? 1 : spec.tasks;
    if (limits.maxCpus > 0 && spec.cpus * count > limits.maxCpus)
      return 'more cores than the limit of the crew';
    if (limits.maxGpus > 0 && spec.gpus * count > limits.maxGpus)
      return 'more gpus than the limit of the crew';
    return null;
  }

  #lookUp(id: string): Promise<JobLookup> {
    return this.#reader.find(id);
  }

  #renderJob(id: string, found: JobLookup): UserResponse {
    if (found.kind === 'unknown') return RETRY_LATER;
    if (found.kind === 'none') return NOT_FOUND;
    let view: JobView;
    // It is certain that the job was accepted and has not ended; that is the answer.
    if (found.kind === 'damaged') return { status: 200, body: encodeJobView({ id, stage: 'pending' }) };
    if (found.kind === 'ended') view = { id, stage: found.record.stage, done: found.record.done, running: 0 };
    else {
      const { done, running, why } = this.context.counts(id) ?? { done: 0, running: 0, why: 0 };
      view = {
        id,
        stage: running > 0 ? 'running' : 'pending',
        done,
        running,
        waitReason: WAIT_REASONS[why - 1],
      };
      const started = running + done > 0;
      const awaits = started
        ? []
        : (found.spec.awaits ?? []).filter((other) => !this.#reader.hasEnded(other));
      view = { ...view, awaits };
    }
    return { status: 200, body: encodeJobView(view) };
  }

  async submit(body: unknown): Promise<UserResponse> {
    const parsed = parseSubmission(body, Math.round(this.context.clock.epochMs()));
    if (!parsed.ok) return { status: 400, body: { error: parsed.reason } };
    const spec = parsed.value;
    const { id } = spec;
    if (this.#reader.hasEnded(id)) return this.#respond(id, await this.#lookUp(id));
    if (this.context.types().size === 0) return RETRY_LATER;
    const reason = this.#infeasibilityReason(spec);
    if (reason !== null) {
      // Submission is idempotent: a job once accepted stays accepted, whatever is sent under its id.
      const found = await this.#lookUp(id);
      return found.kind === 'none' ? { status: 422, body: { error: reason } } : this.#respond(id, found);
    }
    // A repeat: that it is known takes a question, and nothing of what may be written a second.
    if (this.#reader.cachedLiveJob(id) !== undefined) {
      const found = await this.#lookUp(id);
      if (found.kind !== 'none') return this.#respond(id, found);
    }
    const own = [jobKey(id), endedKey(id)];
    const until = this.context.clock.monotonicMs() + this.context.requestTimeoutMs;
    do {
      const entry = await this.#planSubmission(spec);
      if ('status' in entry) return entry;
      const outcome = await this.context.store.commit({
        preconditions: [...own.map((key) => ({ key, modRevision: 0 })), ...entry.preconditions],
        mutations: [entry.mutation],
      });
      if (outcome.kind === 'applied') return { status: 201, body: encodeJobView({ id, stage: entry.stage }) };
      // What it awaits has ended meanwhile: that is looked at anew.
      if (outcome.kind === 'failed' && !outcome.keys.some((key) => own.includes(key))) continue;
      if (outcome.kind === 'failed') return this.#respond(id, await this.#lookUp(id));
      if (outcome.kind !== 'unknown') return RETRY_LATER;
      const found = await this.#lookUp(id);
      if (found.kind !== 'none' && found.kind !== 'unknown') return this.#respond(id, found);
    } while (this.context.clock.monotonicMs() < until);
    return RETRY_LATER;
  }

  /** The transaction for a new job, or the response that it gets instead. */
  async #planSubmission(spec: JobSpec): Promise<UserResponse | PlannedSubmission> {
    const { id, awaits = [] } = spec;
    const maxBytes = Math.floor(this.context.maxValueBytes);
    // One that was accepted once stays accepted, whatever is sent under its name.
    const refuse = async (status: number, error: string): Promise<UserResponse> => {
      const found = await this.#lookUp(id);
      return found.kind === 'none' ? { status, body: { error } } : this.#respond(id, found);
    };
    if (jobBytes(spec) > maxBytes)
      return refuse(400, `the description takes more than ${maxBytes} bytes: awaits or a name is too long`);
    const live: PlannedSubmission = {
      preconditions: [],
      mutation: { put: jobKey(id), value: spec },
      stage: 'pending',
    };
    if (awaits.length === 0) return live;
    // A controller of an earlier version would start it without regard to its dependencies.
    if (!(await this.context.supportsDependencies())) return RETRY_LATER;
    if (awaits.includes(id)) return refuse(422, 'a job cannot await itself');
    const found = await Promise.all(awaits.map((other) => this.#lookUp(other)));
    if (found.some(({ kind }) => kind === 'unknown' || kind === 'damaged')) return RETRY_LATER;
    const missing = awaits.find((_, i) => found[i]?.kind === 'none');
    if (missing !== undefined) return refuse(422, `awaits ${missing}, which was never accepted`);
    const service = found.find((other) => other.kind === 'live' && other.spec.form === 'service');
    if (service !== undefined) return refuse(422, 'awaits a service, which never ends');
    const cancelled = found.some((other) => other.kind === 'ended' && other.record.stage === 'withdrawn');
    if (!cancelled) {
      // Applied late, after a dependency was cancelled, the job would miss that cancellation.
      const when = awaits.flatMap((other, i) => {
        const job = found[i];
        return job?.kind === 'live' ? [{ key: jobKey(other), modRevision: job.modRevision }] : [];
      });
      return { ...live, preconditions: when.slice(0, this.context.maxPreconditions - 2) };
    }
    const at = Math.round(this.context.clock.epochMs());
    const record: EndedRecord = { stage: 'withdrawn', tasks: spec.tasks, done: 0, at };
    return { preconditions: [], mutation: { put: endedKey(id), value: record }, stage: 'withdrawn' };
  }

  /** Shows a job. */
  async show(id: string): Promise<UserResponse> {
    if (!JOB_ID.test(id)) return NOT_FOUND;
    return this.#respond(id, await this.#lookUp(id));
  }

  /** The response about a job; a job with dependencies is shown only if their cancellations are known. */
  async #respond(id: string, found: JobLookup): Promise<UserResponse> {
    if (
      found.kind !== 'live' ||
      (found.spec.awaits ?? []).length === 0 ||
      this.context.hasPropagatedCancellations()
    )
      return this.#renderJob(id, found);
    // No leader confirms that cancellations have propagated: they are read here, and propagated.
    const isCancelled = await this.#hasCancelledDependency(found.spec);
    if (isCancelled === 'unknown') return RETRY_LATER;
    return isCancelled ? this.cancel(id) : this.#renderJob(id, found);
  }

  /**
   * Whether a job depends, directly or through others, on a cancelled one. The first lookup refreshes the
   * mirror, so that live jobs in it need no further request; without that a long chain of dependencies would
   * take a round for each job.
   */
  async #hasCancelledDependency(spec: JobSpec): Promise<boolean | 'unknown'> {
    const seen = new Set<string>();
    let next = spec.awaits ?? [];
    while (next.length > 0) {
      const found = await Promise.all(next.map((id) => this.#lookUp(id)));
      if (found.some((one) => one.kind === 'ended' && one.record.stage === 'withdrawn')) return true;
      if (found.some(({ kind }) => kind === 'unknown')) return 'unknown';
      const live = found.filter((one) => one.kind === 'live');
      const beyond = new Set<string>();
      for (let one = live.pop(); one !== undefined; one = live.pop()) {
        for (const id of one.spec.awaits ?? []) {
          if (seen.has(id)) continue;
          seen.add(id);
          const known = this.#reader.cachedLiveJob(id);
          if (known?.kind === 'live') live.push(known);
          else beyond.add(id);
        }
      }
      next = [...beyond];
    }
    return false;
  }

  /** Cancels a job; idempotent. */
  async cancel(id: string): Promise<UserResponse> {
    if (!JOB_ID.test(id)) return NOT_FOUND;
    const until = this.context.clock.monotonicMs() + this.context.requestTimeoutMs;
    do {
      const found = await this.#lookUp(id);
      if (found.kind !== 'live' && found.kind !== 'damaged') return this.#renderJob(id, found);
      const tasks = found.kind === 'live' ? found.spec.tasks : 0;
      const at = Math.round(this.context.clock.epochMs());
      const record: EndedRecord = { stage: 'withdrawn', tasks, done: this.context.counts(id)?.done ?? 0, at };
      const outcome = await this.context.store.commit({
        preconditions: [{ key: jobKey(id), modRevision: found.modRevision }],
        mutations: [{ remove: jobKey(id) }, { put: endedKey(id), value: record }],
      });
      if (outcome.kind === 'applied') {
        this.#reader.rememberEnded(id, record);
        return { status: 200, body: encodeJobView({ id, stage: 'withdrawn' }) };
      }
      if (outcome.kind !== 'failed' && outcome.kind !== 'unknown') return RETRY_LATER;
      // The commit may have been executed and its response lost.
      const after = await this.#lookUp(id);
      if (after.kind === 'ended') return this.#renderJob(id, after);
    } while (this.context.clock.monotonicMs() < until);
    return RETRY_LATER;
  }
}
