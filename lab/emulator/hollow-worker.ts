/**
 * A worker without a machine: it implements PROTOCOL like a real worker (heartbeats, sessions, fencing tokens, leases,
 * redirects, image fetches, direct commands), and its tasks are timers.
 */
import type { JobDescription, LabEvent } from '../events.js';
import { monotonicMs } from '../clock.js';

const MIN_HEARTBEAT_GAP_MS = 500;
const RESPONSE_TIMEOUT_MS = 4000;
const NEXT_CONTROLLER_DELAY_MS = 1000;
const REDIRECT_DELAY_MS = 500;
const JITTER = 0.25;

/** The settings, job descriptions and callbacks that all workers of a process share. */
export interface WorkerContext {
  readonly controllers: readonly string[];
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  /** Completed tasks, as `job/task`: a task with a result finishes immediately when any worker starts it again. */
  readonly results: Set<string>;
  job(id: string): JobDescription | undefined;
  runMs(job: JobDescription, task: number): number;
  emit(event: LabEvent): void;
  recordHeartbeat(ms: number): void;
  recordLeaseExpiry(): void;
  /** Runs work that belongs to the emulation rather than to the protocol, and measures its time separately. */
  simulate<T>(work: () => T): T;
}

/** Posts a heartbeat over the worker's connection; status 0 means that there was no response. */
export type PostHeartbeat = (
  controller: string,
  body: unknown,
  timeoutMs: number,
) => Promise<{ status: number; body: unknown }>;

/** The identity of a machine in the cloud. */
export interface MachineIdentity {
  readonly name: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

type Stage = 'pulling' | 'running' | 'ended';

interface HollowTask {
  readonly job: string;
  readonly task: number;
  readonly take: number;
  readonly cpus: number;
  readonly memoryGb: number;
  stage: Stage;
  cadence?: string;
  timer?: NodeJS.Timeout;
}

interface Cue {
  readonly cue?: unknown;
  readonly movement?: unknown;
  readonly take?: unknown;
}

export class HollowWorker {
  #session = 1;
  #sequence = 0;
  #token = 0;
  #tokenChangeAt = -Infinity;
  readonly #tasks = new Map<string, HollowTask>();
  readonly #images = new Map<string, { gb: number; readyAt: number }>();
  #controller: string;
  #leaseFrom = monotonicMs();
  #heartbeatTimer: NodeJS.Timeout | undefined;
  #leaseTimer: NodeJS.Timeout | undefined;
  #inFlight = false;
  #changed = false;
  #lastSentAt = -Infinity;
  #stopped = false;
  #hangingUntil = 0;
  #deferred: (() => void)[] = [];

  constructor(
    readonly identity: MachineIdentity,
    private readonly context: WorkerContext,
    private readonly postHeartbeat: PostHeartbeat,
    private readonly draw: () => number,
  ) {
    const { controllers } = context;
    this.#controller = controllers[Math.floor(draw() * controllers.length)] ?? '';
    this.#scheduleHeartbeat(draw() * context.heartbeatIntervalMs);
    this.#watchLease();
  }

  /** Number of tasks that are fetching their image or running. */
  get liveTasks(): number {
    let live = 0;
    for (const { stage } of this.#tasks.values()) if (stage !== 'ended') live += 1;
    return live;
  }

  /** Stops the worker because its machine has failed or was terminated. */
  stop(): void {
    if (this.#stopped) return;
    this.#stopped = true;
    clearTimeout(this.#heartbeatTimer);
    clearTimeout(this.#leaseTimer);
    this.#killAll(false);
  }

  /** Suspends the worker for `forMs` milliseconds; work that falls due in this time runs afterwards. */
  hang(forMs: number): void {
    this.#hangingUntil = Math.max(this.#hangingUntil, monotonicMs() + forMs);
    setTimeout(() => this.#resumeAfterHang(), forMs);
  }

  #resumeAfterHang(): void {
    if (monotonicMs() < this.#hangingUntil - 1) return;
    this.#checkLease();
    for (const work of this.#deferred.splice(0)) work();
  }

  /** Runs the work now, or at the end of a hang. */
  #runWhenAwake(work: () => void): void {
    if (this.#stopped) return;
    if (monotonicMs() < this.#hangingUntil) this.#deferred.push(work);
    else work();
  }

  // --- heartbeats ---------------------------------------------------------------------------------

  #scheduleHeartbeat(inMs: number): void {
    if (this.#stopped) return;
    clearTimeout(this.#heartbeatTimer);
    this.#heartbeatTimer = setTimeout(() => this.#runWhenAwake(() => void this.#sendHeartbeat()), inMs);
  }

  #noteChange(): void {
    this.#changed = true;
    if (this.#inFlight) return;
    this.#scheduleHeartbeat(Math.max(0, this.#lastSentAt + MIN_HEARTBEAT_GAP_MS - monotonicMs()));
  }

  /** Builds the next heartbeat in the format of PROTOCOL. */
  body(): object {
    const { name, address, type, zone, spot } = this.identity;
    this.#sequence += 1;
    const movements = [...this.#tasks.values()].map(({ job, task, take, stage, cadence }) => ({
      movement: `${job}/${task}`,
      take,
      stage,
      ...(cadence === undefined ? {} : { cadence }),
    }));
    return {
      skiff: name,
      address,
      bench: type,
      hall: zone,
      borrowed: spot,
      watch: this.#session,
      barNo: this.#sequence,
      baton: this.#token,
      recallS: null,
      movements,
    };
  }

  async #sendHeartbeat(): Promise<void> {
    if (this.#inFlight || this.#stopped) return;
    this.#checkLease();
    this.#inFlight = true;
    this.#changed = false;
    const sentAt = monotonicMs();
    this.#lastSentAt = sentAt;
    const session = this.#session;
    const answer = await this.postHeartbeat(this.#controller, this.body(), RESPONSE_TIMEOUT_MS);
    this.#runWhenAwake(() => this.#handleResponse(answer, sentAt, session));
  }

  #handleResponse(
    { status, body }: { status: number; body: unknown },
    sentAt: number,
    session: number,
  ): void {
    this.#inFlight = false;
    const response = (body ?? {}) as { baton?: unknown; cues?: unknown; conductor?: unknown };
    if (status === 421) {
      this.#redirect(response.conductor);
      return;
    }
    // A response that takes longer than the timeout is dropped, also if a hang delayed its processing.
    if (status !== 200 || monotonicMs() - sentAt > RESPONSE_TIMEOUT_MS) {
      this.#nextController();
      return;
    }
    this.context.recordHeartbeat(monotonicMs() - sentAt);
    if (session === this.#session && typeof response.baton === 'number' && response.baton >= this.#token) {
      this.#raiseToken(response.baton);
      this.#leaseFrom = sentAt;
      this.#execute(response.cues);
    }
    this.#scheduleNext();
  }

  #scheduleNext(): void {
    if (this.#changed) this.#noteChange();
    else this.#scheduleHeartbeat(this.context.heartbeatIntervalMs * (1 - JITTER + 2 * JITTER * this.draw()));
  }

  #redirect(to: unknown): void {
    if (typeof to !== 'string' || to === this.#controller || !this.context.controllers.includes(to)) {
      this.#nextController();
      return;
    }
    this.#controller = to;
    this.#scheduleHeartbeat(this.draw() * REDIRECT_DELAY_MS);
  }

  #nextController(): void {
    const { controllers } = this.context;
    this.#controller = controllers[(controllers.indexOf(this.#controller) + 1) % controllers.length] ?? '';
    this.#scheduleHeartbeat(NEXT_CONTROLLER_DELAY_MS);
  }

  #raiseToken(token: number): void {
    if (token <= this.#token) return;
    this.#token = token;
    const now = monotonicMs();
    if (now - this.#tokenChangeAt < this.context.leaseMs / 2) return;
    this.#tokenChangeAt = now;
    this.#changed = true;
  }

  // --- leases --------------------------------------------------------------------------------------

  #watchLease(): void {
    const left = this.#leaseFrom + this.context.leaseMs - monotonicMs();
    this.#leaseTimer = setTimeout(
      () =>
        this.#runWhenAwake(() => {
          this.#checkLease();
          this.#watchLease();
        }),
      Math.max(50, left + 1),
    );
  }

  #checkLease(): void {
    if (monotonicMs() - this.#leaseFrom <= this.context.leaseMs) return;
    this.context.recordLeaseExpiry();
    this.#killAll(true);
    this.#session += 1;
    this.#leaseFrom = monotonicMs();
    this.#noteChange();
  }

  #killAll(leaseExpired: boolean): void {
    for (const task of this.#tasks.values()) this.#endTask(task, false, leaseExpired);
    this.#tasks.clear();
  }

  // --- commands ------------------------------------------------------------------------------------

  /** Executes the commands of a direct request (`/do` in PROTOCOL). */
  direct(body: unknown): { status: number; heartbeat: object } {
    const { baton, watch, cues } = (body ?? {}) as { baton?: unknown; watch?: unknown; cues?: unknown };
    if (typeof baton !== 'number' || typeof watch !== 'number') return { status: 400, heartbeat: {} };
    if (baton < this.#token || watch !== this.#session) return { status: 409, heartbeat: this.body() };
    const before = this.#token;
    this.#raiseToken(baton);
    this.#execute(cues);
    if (this.#token > before || this.#changed) this.#noteChange();
    return { status: 200, heartbeat: this.body() };
  }

  /** Runs the work now, or at the end of a hang. */
  whenAwake(work: () => void): void {
    this.#runWhenAwake(work);
  }

  #execute(cues: unknown): void {
    if (!Array.isArray(cues)) return;
    for (const cue of cues as Cue[]) {
      const { movement, take } = cue;
      if (typeof movement !== 'string' || typeof take !== 'number') continue;
      if (cue.cue === 'start') this.context.simulate(() => this.#start(movement, take));
      else if (cue.cue === 'halt') this.context.simulate(() => this.#halt(movement, take));
      else if (cue.cue === 'reap') this.#reap(movement, take);
    }
  }

  #start(movement: string, take: number): void {
    const key = `${movement}#${take}`;
    if (this.#tasks.has(key)) return;
    const separator = movement.lastIndexOf('/');
    const id = movement.slice(0, separator);
    const number = Number(movement.slice(separator + 1));
    const job = this.context.job(id);
    const refuse = (cadence: string): void => {
      this.#tasks.set(key, { job: id, task: number, take, cpus: 0, memoryGb: 0, stage: 'ended', cadence });
      this.#changed = true;
    };
    if (job === undefined || number >= job.tasks) {
      refuse('no_such');
      return;
    }
    const live = [...this.#tasks.values()].filter(({ stage }) => stage !== 'ended');
    if (live.some((one) => one.job === id && one.task === number)) {
      refuse('in_use');
      return;
    }
    const cpus = live.reduce((sum, one) => sum + one.cpus, job.cpus);
    const memoryGb = live.reduce((sum, one) => sum + one.memoryGb, job.memoryGb);
    if (cpus > this.context.cpus + 1e-9 || memoryGb > this.context.memoryGb + 1e-9) {
      refuse('full');
      return;
    }
    const task: HollowTask = {
      job: id,
      task: number,
      take,
      cpus: job.cpus,
      memoryGb: job.memoryGb,
      stage: 'pulling',
    };
    this.#tasks.set(key, task);
    this.#changed = true;
    this.context.emit({ kind: 'begun', token: this.#token, ...this.#taskFields(task) });
    task.timer = setTimeout(() => this.#runWhenAwake(() => this.#run(task, job)), this.#fetchMs(job));
  }

  /** Milliseconds until the job's image has been fetched; 0 if it is cached. */
  #fetchMs({ image, imageGb }: JobDescription): number {
    const now = monotonicMs();
    const cached = this.#images.get(image);
    this.#images.delete(image);
    const readyAt = cached?.readyAt ?? now + (imageGb / this.context.fetchGbPerS) * 1000;
    this.#images.set(image, { gb: imageGb, readyAt });
    let cachedGb = 0;
    for (const { gb } of this.#images.values()) cachedGb += gb;
    for (const [oldest, { gb }] of this.#images) {
      if (cachedGb <= this.context.cacheGb || oldest === image) break;
      this.#images.delete(oldest);
      cachedGb -= gb;
    }
    return Math.max(0, readyAt - now);
  }

  #run(task: HollowTask, job: JobDescription): void {
    if (task.stage !== 'pulling') return;
    this.context.simulate(() => {
      task.stage = 'running';
      this.context.emit({ kind: 'on', ...this.#taskFields(task) });
      const runMs = this.context.results.has(`${task.job}/${task.task}`)
        ? 0
        : this.context.runMs(job, task.task);
      task.timer = setTimeout(() => this.#runWhenAwake(() => this.#complete(task)), runMs);
    });
    this.#noteChange();
  }

  #complete(task: HollowTask): void {
    if (task.stage !== 'running') return;
    this.context.simulate(() => {
      this.context.results.add(`${task.job}/${task.task}`);
      this.#endTask(task, true, false);
      task.cadence = 'done';
    });
    this.#noteChange();
  }

  #halt(movement: string, take: number): void {
    const task = this.#tasks.get(`${movement}#${take}`);
    if (task === undefined || task.stage === 'ended') return;
    this.#endTask(task, false, false);
    task.cadence = 'halted';
    this.#changed = true;
  }

  #reap(movement: string, take: number): void {
    const key = `${movement}#${take}`;
    if (this.#tasks.get(key)?.stage === 'ended') this.#tasks.delete(key);
  }

  #taskFields({ job, task }: HollowTask): {
    at: number;
    worker: string;
    zone: string;
    job: string;
    task: number;
  } {
    return { at: monotonicMs(), worker: this.identity.name, zone: this.identity.zone, job, task };
  }

  /** Marks the task as ended, and emits an `off` event if it was running. */
  #endTask(task: HollowTask, done: boolean, leaseExpired: boolean): void {
    clearTimeout(task.timer);
    if (task.stage === 'running')
      this.context.emit({ kind: 'off', done, leaseExpired, ...this.#taskFields(task) });
    task.stage = 'ended';
  }
}
