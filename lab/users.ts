/** Simulated users: they submit, poll and cancel jobs at the scenario's rates, through any ready controller. */
import { JsonClient } from './emulator/http.js';
import { monotonicMs, sleep } from './clock.js';
import type { JobDescription, LabEvent } from './events.js';
import type { JobClass, Scenario } from './scenario.js';

const RETRY_MS = 1000;
const SUBMIT_GIVE_UP_MS = 60_000;
const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const PROBE_INTERVAL_MS = 1000;
const SOCKETS_PER_CONTROLLER = 64;
const ARRIVAL_INTERVAL_MS = 50;
const GIGABYTES_PER_CPU = 2;
const MAX_UNANSWERED_MS = 60_000;

/** The public endpoint of a controller. */
export interface UserEndpoint {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

interface TrackedController {
  readonly endpoint: UserEndpoint;
  readonly client: JsonClient;
  failures: number;
}

interface OpenJob {
  readonly job: JobDescription;
  lastAnsweredAt: number;
}

export class Users {
  readonly #controllers: TrackedController[];
  readonly #open = new Map<string, OpenJob>();
  readonly #pendingArrivals = new Map<string, number>();
  #nextJob = 1;
  #nextController = 0;
  #submitting = true;
  #stopped = false;
  submitted = 0;

  constructor(
    private readonly scenario: Scenario,
    endpoints: readonly UserEndpoint[],
    private readonly zones: readonly string[],
    private readonly draw: () => number,
    private readonly emit: (event: LabEvent) => void,
    /** Makes the description of a job available to the workers, before the job is submitted. */
    private readonly upload: (job: JobDescription) => void,
  ) {
    this.#controllers = endpoints.map((endpoint) => ({
      endpoint,
      client: new JsonClient(endpoint.host, endpoint.port, SOCKETS_PER_CONTROLLER),
      failures: 2,
    }));
  }

  /** Number of accepted jobs that have not yet been reported as done or cancelled to their users. */
  get openJobs(): number {
    return this.#open.size;
  }

  /** Submits the jobs that each class has at the start, and then further jobs at the rates of the classes. */
  start(): void {
    void this.#probeReadiness();
    for (const jobClass of this.scenario.classes)
      for (let i = 0; i < jobClass.jobsAtStart; i += 1)
        this.#submitNewJob(jobClass, jobClass.startRunS ?? jobClass.runS);
    void this.#generateArrivals();
  }

  /** Stops submitting jobs; open jobs are polled until they end. */
  endSubmissions(): void {
    this.#submitting = false;
  }

  stop(): void {
    this.#stopped = true;
    for (const { client } of this.#controllers) client.close();
  }

  async #probeReadiness(): Promise<void> {
    while (!this.#stopped) {
      for (const controller of this.#controllers)
        void controller.client.call('GET', '/ready', undefined, PROBE_INTERVAL_MS).then(({ status }) => {
          controller.failures = status === 200 ? 0 : controller.failures + 1;
        });
      await sleep(PROBE_INTERVAL_MS);
    }
  }

  /** Picks a ready controller in round-robin order, or any controller if none is ready. */
  #chooseController(): JsonClient | undefined {
    const ready = this.#controllers.filter(({ failures }) => failures < 2);
    const candidates = ready.length > 0 ? ready : this.#controllers;
    return candidates[this.#nextController++ % candidates.length]?.client;
  }

  async #generateArrivals(): Promise<void> {
    let previous = monotonicMs();
    while (this.#submitting && !this.#stopped) {
      await sleep(ARRIVAL_INTERVAL_MS);
      const now = monotonicMs();
      for (const jobClass of this.scenario.classes) {
        let pending =
          (this.#pendingArrivals.get(jobClass.name) ?? this.draw()) +
          (jobClass.jobsPerS * (now - previous)) / 1000;
        for (; pending >= 1 && this.#submitting; pending -= 1) this.#submitNewJob(jobClass, jobClass.runS);
        this.#pendingArrivals.set(jobClass.name, pending);
      }
      previous = now;
    }
  }

  #drawInteger([min, max]: readonly [number, number]): number {
    return min + Math.floor(this.draw() * (max - min + 1));
  }

  #submitNewJob(jobClass: JobClass, runS: readonly [number, number]): void {
    const isZoneBound = this.draw() < jobClass.zoneBoundShare;
    const job: JobDescription = {
      id: `req-${String(this.#nextJob++).padStart(6, '0')}`,
      jobClass: jobClass.name,
      team: `team-${this.#drawInteger(jobClass.teams)}`,
      urgency: jobClass.urgency,
      tasks: this.#drawInteger(jobClass.tasks),
      cpus: jobClass.cpus,
      memoryGb: GIGABYTES_PER_CPU * jobClass.cpus,
      image: `${jobClass.name}-${this.#drawInteger([1, jobClass.images])}`,
      imageGb: jobClass.imageGb,
      zone: isZoneBound ? (this.zones[this.#drawInteger([0, this.zones.length - 1])] ?? null) : null,
      runS,
    };
    this.submitted += 1;
    this.upload(job);
    void this.#followJob(job, this.draw() < jobClass.cancelShare);
  }

  #requestBody(job: JobDescription): object {
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

  /** Submits one job and polls it until it ends; if `willCancel` is set, cancels it at a drawn moment before. */
  async #followJob(job: JobDescription, willCancel: boolean): Promise<void> {
    if (!(await this.#submit(job))) return;
    const open: OpenJob = { job, lastAnsweredAt: monotonicMs() };
    this.#open.set(job.id, open);
    const cancelAfterMs = willCancel ? 1000 * job.runS[1] * this.draw() : Infinity;
    const acceptedAt = monotonicMs();
    while (!this.#stopped) {
      const pause = 1000 * this.scenario.pollS * (0.75 + 0.5 * this.draw());
      await sleep(Math.min(pause, Math.max(0, acceptedAt + cancelAfterMs - monotonicMs()) + 1));
      if (this.#stopped) return;
      const isOver =
        monotonicMs() - acceptedAt >= cancelAfterMs ? await this.#cancel(job.id) : await this.#poll(open);
      if (isOver) break;
    }
    this.#open.delete(job.id);
  }

  async #submit(job: JobDescription): Promise<boolean> {
    const until = monotonicMs() + SUBMIT_GIVE_UP_MS;
    this.emit({ kind: 'submitting', at: monotonicMs(), job });
    while (monotonicMs() < until && !this.#stopped) {
      const answer = await this.#chooseController()?.call(
        'POST',
        '/v2/runs',
        this.#requestBody(job),
        SUBMIT_TIMEOUT_MS,
      );
      const status = answer?.status ?? 0;
      this.emit({ kind: 'submitted', at: monotonicMs(), job: job.id, status });
      if (status === 200 || status === 201) return true;
      if (status === 400 || status === 422) break;
      await sleep(RETRY_MS);
    }
    return false;
  }

  async #poll(open: OpenJob): Promise<boolean> {
    const { id } = open.job;
    const answer = await this.#chooseController()?.call('GET', `/v2/runs/${id}`, undefined, POLL_TIMEOUT_MS);
    const { stage } = (answer?.body ?? {}) as { stage?: unknown };
    const stageAnswered = answer?.status === 200 && typeof stage === 'string' ? stage : null;
    const now = monotonicMs();
    this.emit({ kind: 'polled', at: now, job: id, status: answer?.status ?? 0, stage: stageAnswered });
    if (stageAnswered !== null) open.lastAnsweredAt = now;
    return stageAnswered === 'done' || stageAnswered === 'withdrawn';
  }

  /** Ids of open jobs whose polls went unanswered for so long that the rules count the jobs as forgotten. */
  unanswered(): string[] {
    const before = monotonicMs() - MAX_UNANSWERED_MS;
    return [...this.#open.values()]
      .filter(({ lastAnsweredAt }) => lastAnsweredAt < before)
      .map(({ job }) => job.id);
  }

  async #cancel(id: string): Promise<boolean> {
    this.emit({ kind: 'cancelling', at: monotonicMs(), job: id });
    while (!this.#stopped) {
      const answer = await this.#chooseController()?.call(
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
