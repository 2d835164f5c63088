/** Users: they submit, ask and cancel as the scenario's rates say, through whichever controller is ready. */
import { JsonClient } from './emulator/http.js';
import { monotonicMs, sleep } from './clock.js';
import type { JobDescription, LabEvent } from './events.js';
import type { JobClass, Scenario } from './scenario.js';

const RETRY_MS = 1000;
const GIVE_UP_MS = 60_000;
const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const PROBE_EVERY_MS = 1000;
const SOCKETS_EACH = 64;
const ARRIVALS_EVERY_MS = 50;
const GIGABYTES_PER_CPU = 2;
const MAX_UNANSWERED_MS = 60_000;

/** A controller as users reach it. */
export interface UserEndpoint {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

interface Reachable {
  readonly endpoint: UserEndpoint;
  readonly client: JsonClient;
  failures: number;
}

interface OpenJob {
  readonly job: JobDescription;
  lastTold: number;
}

export class Users {
  readonly #controllers: Reachable[];
  readonly #open = new Map<string, OpenJob>();
  readonly #owed = new Map<string, number>();
  #nextJob = 1;
  #turn = 0;
  #submitting = true;
  #stopped = false;
  submitted = 0;

  constructor(
    private readonly scenario: Scenario,
    endpoints: readonly UserEndpoint[],
    private readonly zones: readonly string[],
    private readonly draw: () => number,
    private readonly emit: (event: LabEvent) => void,
    /** Workers fetch a job's description from here on. */
    private readonly upload: (job: JobDescription) => void,
  ) {
    this.#controllers = endpoints.map((endpoint) => ({
      endpoint,
      client: new JsonClient(endpoint.host, endpoint.port, SOCKETS_EACH),
      failures: 2,
    }));
  }

  /** Jobs that were accepted and are neither done nor cancelled yet, as their users know. */
  get openJobs(): number {
    return this.#open.size;
  }

  /** Begins with the jobs of the start, and goes on at the classes' rates. */
  start(): void {
    void this.#probe();
    for (const one of this.scenario.classes)
      for (let i = 0; i < one.jobsAtStart; i += 1) this.#submitOne(one, one.startRunS ?? one.runS);
    void this.#arrive();
  }

  /** No more submissions; what is open is asked about until it ends. */
  endSubmissions(): void {
    this.#submitting = false;
  }

  stop(): void {
    this.#stopped = true;
    for (const { client } of this.#controllers) client.close();
  }

  async #probe(): Promise<void> {
    while (!this.#stopped) {
      for (const one of this.#controllers)
        void one.client.call('GET', '/ready', undefined, PROBE_EVERY_MS).then(({ status }) => {
          one.failures = status === 200 ? 0 : one.failures + 1;
        });
      await sleep(PROBE_EVERY_MS);
    }
  }

  /** A ready controller, in turn; any if none is. */
  #choose(): JsonClient | undefined {
    const ready = this.#controllers.filter(({ failures }) => failures < 2);
    const among = ready.length > 0 ? ready : this.#controllers;
    return among[this.#turn++ % among.length]?.client;
  }

  async #arrive(): Promise<void> {
    let from = monotonicMs();
    while (this.#submitting && !this.#stopped) {
      await sleep(ARRIVALS_EVERY_MS);
      const now = monotonicMs();
      for (const one of this.scenario.classes) {
        let owed = (this.#owed.get(one.name) ?? this.draw()) + (one.jobsPerS * (now - from)) / 1000;
        for (; owed >= 1 && this.#submitting; owed -= 1) this.#submitOne(one, one.runS);
        this.#owed.set(one.name, owed);
      }
      from = now;
    }
  }

  #between([least, most]: readonly [number, number]): number {
    return least + Math.floor(this.draw() * (most - least + 1));
  }

  #submitOne(one: JobClass, runS: readonly [number, number]): void {
    const bound = this.draw() < one.zoneBoundShare;
    const job: JobDescription = {
      id: `req-${String(this.#nextJob++).padStart(6, '0')}`,
      jobClass: one.name,
      team: `team-${this.#between(one.teams)}`,
      urgency: one.urgency,
      tasks: this.#between(one.tasks),
      cpus: one.cpus,
      memoryGb: GIGABYTES_PER_CPU * one.cpus,
      image: `${one.name}-${this.#between([1, one.images])}`,
      imageGb: one.imageGb,
      zone: bound ? (this.zones[this.#between([0, this.zones.length - 1])] ?? null) : null,
      runS,
    };
    this.submitted += 1;
    this.upload(job);
    void this.#follow(job, this.draw() < one.cancelShare);
  }

  #body(job: JobDescription): object {
    const expectedS = (job.runS[0] + job.runS[1]) / 2;
    return {
      nameId: job.id,
      repertoire: job.jobClass,
      crew: job.team,
      form: 'array',
      urgency: job.urgency,
      movements: job.tasks,
      cores: job.cpus,
      gpus: 0,
      memGb: job.memoryGb,
      edition: job.image,
      pullGb: job.imageGb,
      benches: null,
      hall: job.zone,
      together: false,
      apart: false,
      borrowed: true,
      expectedS,
      bookmarkS: 0,
      bookmarkWriteS: 0,
      curtainS: 20 * expectedS + 60,
    };
  }

  /** One job's user: submits, asks until it is over, and may cancel on the way. */
  async #follow(job: JobDescription, cancels: boolean): Promise<void> {
    if (!(await this.#submit(job))) return;
    const open: OpenJob = { job, lastTold: monotonicMs() };
    this.#open.set(job.id, open);
    const cancelAfterMs = cancels ? 1000 * job.runS[1] * this.draw() : Infinity;
    const acceptedAt = monotonicMs();
    while (!this.#stopped) {
      const pause = 1000 * this.scenario.pollS * (0.75 + 0.5 * this.draw());
      await sleep(Math.min(pause, Math.max(0, acceptedAt + cancelAfterMs - monotonicMs()) + 1));
      if (this.#stopped) return;
      const over =
        monotonicMs() - acceptedAt >= cancelAfterMs ? await this.#cancel(job.id) : await this.#ask(open);
      if (over) break;
    }
    this.#open.delete(job.id);
  }

  async #submit(job: JobDescription): Promise<boolean> {
    const until = monotonicMs() + GIVE_UP_MS;
    this.emit({ kind: 'submitting', at: monotonicMs(), job });
    while (monotonicMs() < until && !this.#stopped) {
      const answer = await this.#choose()?.call('POST', '/v2/runs', this.#body(job), SUBMIT_TIMEOUT_MS);
      const status = answer?.status ?? 0;
      this.emit({ kind: 'submitted', at: monotonicMs(), job: job.id, status });
      if (status === 200 || status === 201) return true;
      if (status === 400 || status === 422) break;
      await sleep(RETRY_MS);
    }
    return false;
  }

  async #ask(open: OpenJob): Promise<boolean> {
    const { id } = open.job;
    const answer = await this.#choose()?.call('GET', `/v2/runs/${id}`, undefined, POLL_TIMEOUT_MS);
    const { stage } = (answer?.body ?? {}) as { stage?: unknown };
    const known = answer?.status === 200 && typeof stage === 'string' ? stage : null;
    const now = monotonicMs();
    this.emit({ kind: 'told', at: now, job: id, status: answer?.status ?? 0, stage: known });
    if (known !== null) open.lastTold = now;
    return known === 'done' || known === 'withdrawn';
  }

  /** Jobs whose questions have gone unanswered for so long that the rules call them forgotten. */
  unanswered(): string[] {
    const before = monotonicMs() - MAX_UNANSWERED_MS;
    return [...this.#open.values()].filter(({ lastTold }) => lastTold < before).map(({ job }) => job.id);
  }

  async #cancel(id: string): Promise<boolean> {
    this.emit({ kind: 'cancelling', at: monotonicMs(), job: id });
    while (!this.#stopped) {
      const answer = await this.#choose()?.call(
        'POST',
        `/v2/runs/${id}/withdraw`,
        undefined,
        SUBMIT_TIMEOUT_MS,
      );
      const { stage } = (answer?.body ?? {}) as { stage?: unknown };
      if (answer?.status === 200 && typeof stage === 'string') {
        this.emit({ kind: 'cancelled', at: monotonicMs(), job: id, stage });
        return true;
      }
      await sleep(RETRY_MS);
    }
    return false;
  }
}
