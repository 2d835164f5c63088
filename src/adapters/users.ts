/** The users' requests, served by every node straight from the state service. */
import type { Clock } from '../clock.js';
import { allows, fits } from '../core/room.js';
import type { TeamLimits } from '../core/state.js';
import type { EndedRecord, JobSpec, MachineType } from '../core/types.js';
import { decodeEnded, decodeJob, endedKey, jobKey } from '../wire/records.js';
import { encodeJobView, JOB_ID, parseSubmission, type JobView } from '../wire/users.js';
import type { StateService } from './state.js';

export interface UserAnswer {
  readonly status: number;
  readonly body: object;
}

const RETRY: UserAnswer = { status: 503, body: { error: 'cannot decide now, try again' } };
const NOT_FOUND: UserAnswer = { status: 404, body: { error: 'no such job' } };
const ENDED_KEPT = 5000;

type Found =
  | { readonly kind: 'live'; readonly spec: JobSpec; readonly stamp: number }
  | { readonly kind: 'ended'; readonly record: EndedRecord }
  | { readonly kind: 'none' }
  | { readonly kind: 'unknown' };

export interface UsersContext {
  readonly state: StateService;
  readonly clock: Clock;
  readonly teams: ReadonlyMap<string, TeamLimits>;
  /** How long one request may take in all, in milliseconds. */
  readonly patience: number;
  types(): ReadonlyMap<string, MachineType>;
  counts(id: string): { readonly done: number; readonly running: number } | null;
}

export class Users {
  /** Ended jobs never change again, so what is known of them needs no read. */
  readonly #ended = new Map<string, EndedRecord>();

  constructor(private readonly context: UsersContext) {}

  /** Why a sound description can never run, or null if it can. */
  #impossible(spec: JobSpec): string | null {
    const limits = this.context.teams.get(spec.team);
    if (limits === undefined) return `crew ${spec.team} is unknown`;
    let fitting = false;
    for (const type of this.context.types().values()) {
      const zones = type.zones.some(
        (zone) => allows(spec, type.name, zone, false) || allows(spec, type.name, zone, true),
      );
      fitting ||= zones && fits(spec, type);
    }
    if (!fitting) return 'a task fits no allowed machine type';
    const count = spec.form === 'array' ? 1 : spec.tasks;
    if (limits.cpusMax > 0 && spec.cpus * count > limits.cpusMax)
      return 'more cores than the limit of the crew';
    if (limits.gpusMax > 0 && spec.gpus * count > limits.gpusMax)
      return 'more gpus than the limit of the crew';
    return null;
  }

  async #find(id: string): Promise<Found> {
    const kept = this.#ended.get(id);
    if (kept !== undefined) return { kind: 'ended', record: kept };
    // In this order: a job moves from one key to the other, and never back.
    const live = await this.context.state.read(jobKey(id));
    if (live === 'unknown') return { kind: 'unknown' };
    if (live.entry !== null) {
      const spec = decodeJob(live.entry.value);
      return spec === null ? { kind: 'unknown' } : { kind: 'live', spec, stamp: live.entry.stamp };
    }
    const ended = await this.context.state.read(endedKey(id));
    if (ended === 'unknown') return { kind: 'unknown' };
    if (ended.entry === null) return { kind: 'none' };
    const record = decodeEnded(ended.entry.value);
    if (record === null) return { kind: 'unknown' };
    this.#keep(id, record);
    return { kind: 'ended', record };
  }

  #keep(id: string, record: EndedRecord): void {
    this.#ended.set(id, record);
    if (this.#ended.size <= ENDED_KEPT) return;
    const [oldest] = this.#ended.keys();
    if (oldest !== undefined) this.#ended.delete(oldest);
  }

  #view(id: string, found: Found): UserAnswer {
    if (found.kind === 'unknown') return RETRY;
    if (found.kind === 'none') return NOT_FOUND;
    let view: JobView;
    if (found.kind === 'ended') view = { id, stage: found.record.stage, done: found.record.done, running: 0 };
    else {
      const counts = this.context.counts(id) ?? { done: 0, running: 0 };
      view = { id, stage: counts.running > 0 ? 'running' : 'pending', ...counts };
    }
    return { status: 200, body: encodeJobView(view) };
  }

  async submit(body: unknown): Promise<UserAnswer> {
    const parsed = parseSubmission(body, Math.round(this.context.clock.wall()));
    if (!parsed.ok) return { status: 400, body: { error: parsed.reason } };
    const spec = parsed.value;
    const { id } = spec;
    if (this.#ended.has(id)) return this.#view(id, await this.#find(id));
    if (this.context.types().size === 0) return RETRY;
    const reason = this.#impossible(spec);
    if (reason !== null) {
      // One that was accepted once stays accepted, whatever is sent under its name.
      const found = await this.#find(id);
      return found.kind === 'none' ? { status: 422, body: { error: reason } } : this.#view(id, found);
    }
    const until = this.context.clock.mono() + this.context.patience;
    do {
      const outcome = await this.context.state.commit({
        when: [
          { key: jobKey(id), stamp: 0 },
          { key: endedKey(id), stamp: 0 },
        ],
        apply: [{ put: jobKey(id), value: spec }],
      });
      if (outcome.kind === 'applied') return { status: 201, body: encodeJobView({ id, stage: 'pending' }) };
      if (outcome.kind === 'failed') return this.#view(id, await this.#find(id));
      if (outcome.kind !== 'unknown') return RETRY;
      const found = await this.#find(id);
      if (found.kind === 'live' || found.kind === 'ended') return this.#view(id, found);
    } while (this.context.clock.mono() < until);
    return RETRY;
  }

  async show(id: string): Promise<UserAnswer> {
    if (!JOB_ID.test(id)) return NOT_FOUND;
    return this.#view(id, await this.#find(id));
  }

  async withdraw(id: string): Promise<UserAnswer> {
    if (!JOB_ID.test(id)) return NOT_FOUND;
    const until = this.context.clock.mono() + this.context.patience;
    do {
      const found = await this.#find(id);
      if (found.kind !== 'live') return this.#view(id, found);
      const { tasks } = found.spec;
      const record: EndedRecord = { stage: 'withdrawn', tasks, done: this.context.counts(id)?.done ?? 0 };
      const outcome = await this.context.state.commit({
        when: [{ key: jobKey(id), stamp: found.stamp }],
        apply: [{ remove: jobKey(id) }, { put: endedKey(id), value: record }],
      });
      if (outcome.kind === 'applied') {
        this.#keep(id, record);
        return { status: 200, body: encodeJobView({ id, stage: 'withdrawn' }) };
      }
      if (outcome.kind !== 'failed' && outcome.kind !== 'unknown') return RETRY;
    } while (this.context.clock.mono() < until);
    return RETRY;
  }
}
