/** User requests: submit, show and cancel, served by every node from the key-value store. */
import { satisfiesConstraints, fitsType, WAIT_REASONS } from '../core/placement/index.js';
import type { TeamQuota } from '../core/model.js';
import type { Precondition, EndedRecord, JobSpec, MachineType, Mutation } from '../core/types.js';
import { endedKey, jobBytes, jobKey } from '../core/persistence/index.js';
import { encodeJobView, JOB_ID, parseSubmission, type JobView } from '../wire/users.js';
import type { Clock } from './clock.js';
import { JobReader, type EndedJob, type JobLookup } from './job-reader.js';
import type { KeyValueStore } from './key-value-store.js';

/** Status and body of an HTTP response to a user. */
export interface UserResponse {
  readonly status: number;
  readonly body: object;
}

const RETRY_LATER: UserResponse = { status: 503, body: { error: 'cannot decide now, try again' } };
const NOT_FOUND: UserResponse = { status: 404, body: { error: 'no such job' } };

/** How long a user waits for the response to a poll, and to any other request, in milliseconds. */
const POLL_TIMEOUT_MS = 2000;
const REQUEST_TIMEOUT_MS = 5000;
/** Share of that time after which the user is told to try again if a cancellation cannot be confirmed yet. */
const CONFIRMATION_SHARE = 0.8;

/** Tells up to which revisions of the store cancellations are respected by every controller. */
export interface CancellationFence {
  /** Records that the store has reached a revision. */
  observe(revision: number): void;
  /**
   * Resolves to true once no controller can send a start any more of a job that was cancelled at or before a committed
   * revision; to false if that cannot be known by `deadline` (monotonic time in milliseconds).
   */
  untilFenced(revision: number, deadline: number): Promise<boolean>;
}

/** The transaction that stores a new job, as a live one or as cancelled with a dependency. */
interface PlannedSubmission {
  readonly preconditions: readonly Precondition[];
  readonly mutation: Mutation;
  /** Revision at which the latest of its cancelled dependencies was cancelled; null: none is, and the job is live. */
  readonly cancelledAtRevision: number | null;
}

/** The settings and the state of the node that user requests depend on. */
export interface UserRequestsContext {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly fence: CancellationFence;
  readonly teams: ReadonlyMap<string, TeamQuota>;
  /** Time during which a request may start further attempts at its transaction, in milliseconds. */
  readonly requestTimeoutMs: number;
  /** Requests per second that the store accepts under its strictest limits. */
  readonly requestsPerSecond: number;
  /** Maximum size of a stored job description under the store's strictest limits, in bytes. */
  readonly maxValueBytes: number;
  /** Maximum number of preconditions in one transaction under the store's strictest limits. */
  readonly maxPreconditions: number;
  /** Whether every controller is known to support DAG dependencies. */
  supportsDependencies(): Promise<boolean>;
  /** Whether a leader has recently confirmed that every cancellation has reached all dependent jobs. */
  hasPropagatedCancellations(): boolean;
  /** Machine types that the cloud provider offers, by name; empty until they are known. */
  machineTypes(): ReadonlyMap<string, MachineType>;
  /**
   * Task counts of a job and the number of its wait reason (its index in `WAIT_REASONS` plus one; 0: none), as the
   * leader last reported them; `null` if unknown.
   */
  taskCounts(id: string): { readonly done: number; readonly running: number; readonly why: number } | null;
}

/** Serves user requests. If the store does not answer, no method rejects; the response asks the user to retry. */
export class UserRequests {
  readonly #reader: JobReader;

  constructor(private readonly context: UserRequestsContext) {
    const { store, clock, fence, requestsPerSecond, maxPreconditions } = context;
    this.#reader = new JobReader(store, clock, requestsPerSecond, maxPreconditions, (revision) =>
      fence.observe(revision),
    );
  }

  /** Clears the caches; their content can be read from the store again. */
  dropCaches(): void {
    this.#reader.dropCaches();
  }

  /** Returns why a well-formed job can never run; `null` if it can. */
  #infeasibilityReason(spec: JobSpec): string | null {
    const limits = this.context.teams.get(spec.team);
    if (limits === undefined) return `crew ${spec.team} is unknown`;
    let fitsAnyType = false;
    for (const type of this.context.machineTypes().values()) {
      const hasAllowedZone = type.zones.some(
        (zone) =>
          satisfiesConstraints(spec, type.name, zone, false) ||
          satisfiesConstraints(spec, type.name, zone, true),
      );
      fitsAnyType ||= hasAllowedZone && fitsType(spec, type);
    }
    if (!fitsAnyType) return 'a task fits no allowed machine type';
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

  /** Monotonic time (ms) until which a request that arrives now may wait for a cancellation to be confirmed. */
  #confirmationDeadline(userTimeoutMs: number): number {
    return this.context.clock.monotonicMs() + CONFIRMATION_SHARE * userTimeoutMs;
  }

  /** Gives a response that tells of a cancellation once no task that was cancelled by then can be started any more. */
  async #whenFenced(revision: number, deadline: number, response: UserResponse): Promise<UserResponse> {
    return (await this.context.fence.untilFenced(revision, deadline)) ? response : RETRY_LATER;
  }

  async #renderEnded(id: string, ended: EndedJob, deadline: number): Promise<UserResponse> {
    const { stage, done } = ended.record;
    const response = { status: 200, body: encodeJobView({ id, stage, done, running: 0 }) };
    return stage === 'withdrawn' ? this.#whenFenced(ended.modRevision, deadline, response) : response;
  }

  async #renderJob(id: string, found: JobLookup, deadline: number): Promise<UserResponse> {
    if (found.kind === 'unknown') return RETRY_LATER;
    if (found.kind === 'none') return NOT_FOUND;
    if (found.kind === 'ended') return this.#renderEnded(id, found, deadline);
    // The description cannot be decoded, but its record shows that the job was accepted and has not ended.
    if (found.kind === 'damaged') return { status: 200, body: encodeJobView({ id, stage: 'pending' }) };
    const { done, running, why } = this.context.taskCounts(id) ?? { done: 0, running: 0, why: 0 };
    const hasStarted = running + done > 0;
    const awaits = hasStarted
      ? []
      : (found.spec.awaits ?? []).filter((other) => !this.#reader.hasEnded(other));
    const view: JobView = {
      id,
      stage: running > 0 ? 'running' : 'pending',
      done,
      running,
      waitReason: WAIT_REASONS[why - 1],
      awaits,
    };
    return { status: 200, body: encodeJobView(view) };
  }

  async submit(body: unknown): Promise<UserResponse> {
    const parsed = parseSubmission(body, Math.round(this.context.clock.epochMs()));
    if (!parsed.ok) return { status: 400, body: { error: parsed.reason } };
    const spec = parsed.value;
    const { id } = spec;
    const confirmationDeadline = this.#confirmationDeadline(REQUEST_TIMEOUT_MS);
    const respond = (found: JobLookup): Promise<UserResponse> =>
      this.#respond(id, found, confirmationDeadline);
    if (this.#reader.hasEnded(id)) return respond(await this.#lookUp(id));
    if (this.context.machineTypes().size === 0) return RETRY_LATER;
    const reason = this.#infeasibilityReason(spec);
    if (reason !== null) {
      // Submission is idempotent: an accepted job stays accepted, whatever a later submission under its id contains.
      const found = await this.#lookUp(id);
      return found.kind === 'none' ? { status: 422, body: { error: reason } } : respond(found);
    }
    // A repeated submission is answered by a lookup, which takes nothing of the store's write rate.
    if (this.#reader.cachedLiveJob(id) !== undefined) {
      const found = await this.#lookUp(id);
      if (found.kind !== 'none') return respond(found);
    }
    const ownKeys = [jobKey(id), endedKey(id)];
    const deadlineMs = this.context.clock.monotonicMs() + this.context.requestTimeoutMs;
    do {
      const planned = await this.#planSubmission(spec, respond);
      if ('status' in planned) return planned;
      const outcome = await this.context.store.commit({
        preconditions: [...ownKeys.map((key) => ({ key, modRevision: 0 })), ...planned.preconditions],
        mutations: [planned.mutation],
      });
      if (outcome.kind === 'applied') {
        const { cancelledAtRevision } = planned;
        if (cancelledAtRevision === null)
          return { status: 201, body: encodeJobView({ id, stage: 'pending' }) };
        const response = { status: 201, body: encodeJobView({ id, stage: 'withdrawn' }) };
        return this.#whenFenced(cancelledAtRevision, confirmationDeadline, response);
      }
      // Only dependencies have changed since they were read: the submission is planned again.
      if (outcome.kind === 'failed' && !outcome.keys.some((key) => ownKeys.includes(key))) continue;
      if (outcome.kind === 'failed') return respond(await this.#lookUp(id));
      if (outcome.kind !== 'unknown') return RETRY_LATER;
      const found = await this.#lookUp(id);
      if (found.kind !== 'none' && found.kind !== 'unknown') return respond(found);
    } while (this.context.clock.monotonicMs() < deadlineMs);
    return RETRY_LATER;
  }

  /** Returns the transaction that stores a new job, or the response to send without storing it. */
  async #planSubmission(
    spec: JobSpec,
    respond: (found: JobLookup) => Promise<UserResponse>,
  ): Promise<UserResponse | PlannedSubmission> {
    const { id, awaits = [] } = spec;
    const maxBytes = Math.floor(this.context.maxValueBytes);
    // An accepted job stays accepted, even if a later submission under its id is invalid.
    const refuse = async (status: number, error: string): Promise<UserResponse> => {
      const found = await this.#lookUp(id);
      return found.kind === 'none' ? { status, body: { error } } : respond(found);
    };
    if (jobBytes(spec) > maxBytes)
      return refuse(400, `the description takes more than ${maxBytes} bytes: awaits or a name is too long`);
    const live: PlannedSubmission = {
      preconditions: [],
      mutation: { put: jobKey(id), value: spec },
      cancelledAtRevision: null,
    };
    if (awaits.length === 0) return live;
    // A controller of an earlier version would start the job without waiting for its dependencies.
    if (!(await this.context.supportsDependencies())) return RETRY_LATER;
    if (awaits.includes(id)) return refuse(422, 'a job cannot await itself');
    const found = await Promise.all(awaits.map((other) => this.#lookUp(other)));
    if (found.some(({ kind }) => kind === 'unknown' || kind === 'damaged')) return RETRY_LATER;
    const missing = awaits.find((_, i) => found[i]?.kind === 'none');
    if (missing !== undefined) return refuse(422, `awaits ${missing}, which was never accepted`);
    const service = found.find((other) => other.kind === 'live' && other.spec.form === 'service');
    if (service !== undefined) return refuse(422, 'awaits a service, which never ends');
    const cancelledRevisions = found.flatMap((other) =>
      other.kind === 'ended' && other.record.stage === 'withdrawn' ? [other.modRevision] : [],
    );
    if (cancelledRevisions.length === 0) {
      // If the transaction were applied after a dependency was cancelled, that cancellation would not reach the job.
      const unchanged = awaits.flatMap((other, i) => {
        const job = found[i];
        return job?.kind === 'live' ? [{ key: jobKey(other), modRevision: job.modRevision }] : [];
      });
      return { ...live, preconditions: unchanged.slice(0, this.context.maxPreconditions - 2) };
    }
    const at = Math.round(this.context.clock.epochMs());
    const record: EndedRecord = { stage: 'withdrawn', tasks: spec.tasks, done: 0, at };
    return {
      preconditions: [],
      mutation: { put: endedKey(id), value: record },
      cancelledAtRevision: Math.max(...cancelledRevisions),
    };
  }

  async show(id: string): Promise<UserResponse> {
    if (!JOB_ID.test(id)) return NOT_FOUND;
    const deadline = this.#confirmationDeadline(POLL_TIMEOUT_MS);
    return this.#respond(id, await this.#lookUp(id), deadline);
  }

  /** Builds the response for a job; a live job is shown only once it is known whether a dependency was cancelled. */
  async #respond(id: string, found: JobLookup, confirmationDeadline: number): Promise<UserResponse> {
    if (
      found.kind !== 'live' ||
      (found.spec.awaits ?? []).length === 0 ||
      this.context.hasPropagatedCancellations()
    )
      return this.#renderJob(id, found, confirmationDeadline);
    // No leader confirms that cancellations have propagated: this node looks for a cancelled dependency itself, and
    // cancels the job if there is one.
    const isCancelled = await this.#hasCancelledDependency(found.spec);
    if (isCancelled === 'unknown') return RETRY_LATER;
    return isCancelled
      ? this.#commitCancellation(id, confirmationDeadline)
      : this.#renderJob(id, found, confirmationDeadline);
  }

  /**
   * Whether a job depends, directly or transitively, on a cancelled one. The first lookup refreshes the job reader's
   * mirror, so the live jobs in it need no further request; otherwise a long chain of dependencies would take one
   * round of lookups per job.
   */
  async #hasCancelledDependency(spec: JobSpec): Promise<boolean | 'unknown'> {
    const seen = new Set<string>();
    let unchecked = spec.awaits ?? [];
    while (unchecked.length > 0) {
      const found = await Promise.all(unchecked.map((id) => this.#lookUp(id)));
      if (found.some((one) => one.kind === 'ended' && one.record.stage === 'withdrawn')) return true;
      if (found.some(({ kind }) => kind === 'unknown')) return 'unknown';
      const live = found.filter((one) => one.kind === 'live');
      const notCached = new Set<string>();
      for (let job = live.pop(); job !== undefined; job = live.pop()) {
        for (const id of job.spec.awaits ?? []) {
          if (seen.has(id)) continue;
          seen.add(id);
          const cached = this.#reader.cachedLiveJob(id);
          if (cached?.kind === 'live') live.push(cached);
          else notCached.add(id);
        }
      }
      unchecked = [...notCached];
    }
    return false;
  }

  /** Cancels a job; idempotent. */
  async cancel(id: string): Promise<UserResponse> {
    if (!JOB_ID.test(id)) return NOT_FOUND;
    return this.#commitCancellation(id, this.#confirmationDeadline(REQUEST_TIMEOUT_MS));
  }

  async #commitCancellation(id: string, confirmationDeadline: number): Promise<UserResponse> {
    const deadlineMs = this.context.clock.monotonicMs() + this.context.requestTimeoutMs;
    do {
      const found = await this.#lookUp(id);
      if (found.kind !== 'live' && found.kind !== 'damaged')
        return this.#renderJob(id, found, confirmationDeadline);
      const tasks = found.kind === 'live' ? found.spec.tasks : 0;
      const at = Math.round(this.context.clock.epochMs());
      const record: EndedRecord = {
        stage: 'withdrawn',
        tasks,
        done: this.context.taskCounts(id)?.done ?? 0,
        at,
      };
      const outcome = await this.context.store.commit({
        preconditions: [{ key: jobKey(id), modRevision: found.modRevision }],
        mutations: [{ remove: jobKey(id) }, { put: endedKey(id), value: record }],
      });
      if (outcome.kind === 'applied') {
        const ended: EndedJob = { kind: 'ended', record, modRevision: outcome.revision };
        this.#reader.rememberEnded(id, ended);
        const response = { status: 200, body: encodeJobView({ id, stage: 'withdrawn' }) };
        return this.#whenFenced(ended.modRevision, confirmationDeadline, response);
      }
      if (outcome.kind !== 'failed' && outcome.kind !== 'unknown') return RETRY_LATER;
      // The commit may have been executed and its response lost.
      const after = await this.#lookUp(id);
      if (after.kind === 'ended') return this.#renderEnded(id, after, confirmationDeadline);
    } while (this.context.clock.monotonicMs() < deadlineMs);
    return RETRY_LATER;
  }
}
