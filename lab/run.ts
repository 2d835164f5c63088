/**
 * One run of a scenario at one size: starts all processes, generates the load, takes samples, checks the rules and
 * stops the processes.
 */
import { mkdirSync, rmSync } from 'node:fs';
import { totalmem } from 'node:os';
import { join } from 'node:path';
import { cloudAddress, publicAddress, storeHost, storePort, workerAddress } from './addresses.js';
import { monotonicMs, sleep } from './clock.js';
import { Controllers, faultLines, type Variant } from './controllers.js';
import { Cloud } from './emulator/cloud.js';
import type { MachineIdentity } from './emulator/hollow-worker.js';
import type { StoreSample } from './emulator/state-service.js';
import type { LabEvent, WorkerSample } from './events.js';
import { injectFault } from './faults.js';
import { StartLatencies, Distribution } from './measure/latencies.js';
import { readUsage, type ProcessUsage } from './measure/process-usage.js';
import { RuleChecker } from './measure/rules.js';
import { figuresOf, type ControllerSample, type RunFigures, type Second } from './measure/samples.js';
import type { FromStore, FromWorkerHost, ToStore, ToWorkerHost } from './messages.js';
import { Processes } from './processes.js';
import { seededDraw } from './random.js';
import type { Scenario } from './scenario.js';
import { Users } from './users.js';

const SEED = 7;
const STORE_PROCESS = 'state-service';
const READY_TIMEOUT_MS = 30_000;
const LEADER_TIMEOUT_MS = 30_000;
const SECOND_MS = 1000;
/** Events of other processes are assumed to arrive within this time. */
const MAX_EVENT_DELAY_MS = 1500;
const LIST_LAG_MS = 4000;
/** Share of this computer's memory that all processes together may hold; above it the run fails. */
const MEMORY_SHARE = 0.5;
const BYTES_PER_MB = 1024 * 1024;
const MAX_REPORTED_VIOLATIONS = 10;

/** A failure that aborts a run; the lab exits with code 1. */
class RunError extends Error {}

/** The results of a run. */
export interface RunResult {
  readonly figures: RunFigures;
  readonly seconds: readonly Second[];
}

/** Receives the progress lines of a run. */
export type Progress = (line: string) => void;

export class Run {
  readonly #processes: Processes;
  readonly #draw = seededDraw(SEED);
  readonly #zones: readonly string[];
  readonly #controllers: Controllers;
  readonly #cloud: Cloud;
  readonly #users: Users;
  readonly #rules: RuleChecker;
  readonly #latencies: StartLatencies;
  readonly #heartbeatLatenciesMs = new Distribution();
  readonly #hosts: readonly string[];
  readonly #children = new Map<string, ReturnType<Processes['startRole']>>();
  readonly #workerSamples = new Map<string, WorkerSample>();
  readonly #usageBefore = new Map<string, ProcessUsage>();
  readonly #peerBytesBefore = new Map<string, number>();
  readonly #machineHost = new Map<string, string>();
  readonly #seconds: Second[] = [];
  readonly #faults: string[] = [];
  readonly #crashes: { readonly at: number; startedAfter: number | null }[] = [];
  #storeSample: StoreSample | null = null;
  #leader = 0;
  #highestToken = 0;
  #tokenAtCrash = 0;
  #startedAt = 0;
  #ending = false;
  #failure: string | null = null;

  constructor(
    private readonly scenario: Scenario,
    private readonly variant: Variant,
    private readonly commit: string,
    private readonly program: string,
    private readonly folder: string,
    private readonly progress: Progress,
  ) {
    rmSync(folder, { recursive: true, force: true });
    mkdirSync(folder, { recursive: true });
    this.#zones = Array.from({ length: scenario.zones }, (_, i) => `zone-${i + 1}`);
    this.#hosts = Array.from({ length: scenario.workerProcesses }, (_, i) => `workers-${i}`);
    this.#processes = new Processes((name, code) => {
      if (!this.#ending) this.#failure ??= `${name} exited unexpectedly with code ${String(code)}`;
    });
    this.#controllers = new Controllers(scenario, this.#zones, variant, folder, this.#processes);
    this.#cloud = this.#makeCloud();
    const endpoints = this.#controllers.names.map((name, i) => ({ name, ...publicAddress(i) }));
    this.#users = new Users(
      scenario,
      endpoints,
      this.#zones,
      this.#draw,
      (event) => this.#recordEvents([event]),
      (job) => this.#sendToAllHosts({ kind: 'job', job }),
    );
    const limits = scenario.teams.flatMap(({ count, cpusMax }) =>
      Array.from({ length: count }, () => cpusMax),
    );
    this.#rules = new RuleChecker({
      cancelMs: 1000 * scenario.cancelS,
      mustComplete: scenario.mustComplete,
      limitOf: (team) => limits[Number(team.replace('team-', '')) - 1] ?? 0,
    });
    this.#latencies = new StartLatencies(() => this.#startedAt + 1000 * scenario.warmUpS);
  }

  #makeCloud(): Cloud {
    const { machine, workers, cloudRps } = this.scenario;
    return new Cloud({
      ...machine,
      zones: this.#zones,
      capacityPerZone: Math.ceil(workers / this.#zones.length),
      rps: cloudRps,
      listLagMs: LIST_LAG_MS,
      address: workerAddress,
      onUp: (identity) => this.#onMachineUp(identity),
      onDown: (name) => {
        const host = this.#machineHost.get(name);
        this.#machineHost.delete(name);
        if (host !== undefined) this.#sendToHost(host, { kind: 'down', names: [name] });
      },
    });
  }

  #onMachineUp(identity: MachineIdentity): void {
    const number = Number(identity.name.replace('vm-', ''));
    const host = this.#hosts[number % this.#hosts.length] ?? '';
    this.#machineHost.set(identity.name, host);
    this.#sendToHost(host, { kind: 'up', machines: [identity] });
  }

  #sendToHost(host: string, message: ToWorkerHost): void {
    this.#children.get(host)?.send(message, () => undefined);
  }

  #sendToAllHosts(message: ToWorkerHost): void {
    for (const host of this.#hosts) this.#sendToHost(host, message);
  }

  #sendToStore(message: ToStore): void {
    this.#children.get(STORE_PROCESS)?.send(message, () => undefined);
  }

  #recordEvents(events: readonly LabEvent[]): void {
    this.#rules.add(events);
    this.#latencies.add(events);
    for (const event of events) if (event.kind === 'begun') this.#recordToken(event.token, event.at);
  }

  /** The first start command with a higher fencing token than before the leader's crash ends the failover time. */
  #recordToken(token: number, at: number): void {
    this.#highestToken = Math.max(this.#highestToken, token);
    const crash = this.#crashes.at(-1);
    if (crash !== undefined && crash.startedAfter === null && token > this.#tokenAtCrash)
      crash.startedAfter = at - crash.at;
  }

  async #startRole(name: string, role: string, setup: ToStore | ToWorkerHost): Promise<void> {
    const child = this.#processes.startRole(name, role, this.program);
    this.#children.set(name, child);
    const ready = new Promise<void>((resolve, reject) => {
      child.on('message', (message: FromStore | FromWorkerHost) => {
        if (message.kind === 'ready') resolve();
        else if (message.kind === 'failed') {
          this.#failure ??= `${name}: ${message.reason}`;
          reject(new RunError(message.reason));
        } else if (message.kind === 'events') this.#recordEvents(message.events);
        else this.#recordSample(name, message.sample);
      });
      setTimeout(
        () => reject(new RunError(`${name} was not ready within ${READY_TIMEOUT_MS / 1000} s`)),
        READY_TIMEOUT_MS,
      ).unref();
    });
    child.send(setup);
    await ready;
  }

  #recordSample(name: string, sample: WorkerSample | StoreSample): void {
    if ('keys' in sample) {
      this.#storeSample = sample;
      return;
    }
    this.#workerSamples.set(name, sample);
    if (this.#isMeasured) for (const ms of sample.heartbeatLatenciesMs) this.#heartbeatLatenciesMs.record(ms);
  }

  get #elapsedS(): number {
    return (monotonicMs() - this.#startedAt) / 1000;
  }

  get #isMeasured(): boolean {
    return this.#startedAt > 0 && this.#elapsedS >= this.scenario.warmUpS;
  }

  /** Runs the scenario; when the promise settles, all started processes have been killed. */
  async execute(): Promise<RunResult> {
    try {
      await this.#start();
      await this.#runLoad();
      await this.#drain();
      return { figures: this.#figures(), seconds: this.#seconds };
    } finally {
      this.end();
    }
  }

  /** Kills all processes. */
  end(): void {
    this.#ending = true;
    this.#users.stop();
    this.#controllers.close();
    this.#processes.killAll();
  }

  async #start(): Promise<void> {
    const { scenario } = this;
    await this.#startRole(STORE_PROCESS, 'state', {
      kind: 'setup',
      limits: scenario.state,
      requestRps: scenario.state.rps,
      addresses: this.#controllers.names.map((_, i) => storeHost(i)),
      port: storePort,
    });
    const setup = {
      ...scenario.machine,
      controllers: this.#controllers.names.map((name, i) => ({ name, ...publicAddress(i) })),
      heartbeatIntervalMs: 1000 * scenario.reportS,
      leaseMs: 1000 * scenario.leaseS,
      seed: SEED,
    };
    await Promise.all(this.#hosts.map((host) => this.#startRole(host, 'workers', { kind: 'setup', setup })));
    const server = await this.#cloud.serve(cloudAddress.host, cloudAddress.port);
    server.unref();
    this.#closeCloud = () => {
      server.close();
      server.closeAllConnections();
    };
    this.#controllers.names.forEach((_, i) => this.#controllers.start(i));
    await this.#awaitLeader();
    this.#cloud.addInitial(scenario.workers);
    await this.#awaitWorkers();
  }

  #closeCloud: () => void = () => undefined;

  async #awaitLeader(): Promise<void> {
    const until = monotonicMs() + LEADER_TIMEOUT_MS;
    while (monotonicMs() < until) {
      const statuses = await this.#controllers.statuses();
      const reportedLeaders = statuses.flatMap((one) => (one?.leader ? [one.leader] : []));
      if (reportedLeaders.length === this.#controllers.names.length && new Set(reportedLeaders).size === 1) {
        this.#leader = this.#controllers.names.indexOf(reportedLeaders[0] ?? '');
        return;
      }
      await sleep(250);
    }
    throw new RunError(`no leader was elected within ${LEADER_TIMEOUT_MS / 1000} s`);
  }

  /** Waits until every initial worker has had time for two heartbeats: two intervals and one second. */
  async #awaitWorkers(): Promise<void> {
    await sleep(2000 * this.scenario.reportS + 1000);
    this.progress(
      `${this.#cloud.running.length} workers are up, ${this.#controllers.names[this.#leader] ?? ''} leads`,
    );
  }

  /** Generates the load and injects the faults, and takes a sample every second. */
  async #runLoad(): Promise<void> {
    this.#startedAt = monotonicMs();
    await this.#sample(false);
    this.#users.start();
    const faults = [...this.scenario.faults].sort((one, other) => one.atS - other.atS);
    for (let second = 1; second <= this.scenario.durationS; second += 1) {
      await sleep(this.#startedAt + second * SECOND_MS - monotonicMs());
      for (let [next] = faults; next !== undefined && next.atS <= second; [next] = faults) {
        faults.shift();
        this.#injectFault(next);
      }
      await this.#sample(true);
      this.#rules.checkUntil(monotonicMs() - MAX_EVENT_DELAY_MS);
      if (second % 10 === 0) this.#reportProgress();
      if (this.#failure !== null) throw new RunError(this.#failure);
    }
  }

  #injectFault(fault: Scenario['faults'][number]): void {
    const isCrash = fault.kind === 'controller' && fault.which === 'leader';
    if (isCrash) {
      this.#tokenAtCrash = this.#highestToken;
      this.#crashes.push({ at: monotonicMs(), startedAfter: null });
    }
    const description = injectFault(fault, {
      cloud: this.#cloud,
      controllers: this.#controllers,
      zones: this.#zones,
      draw: this.#draw,
      leader: () => this.#leader,
      sendToStore: (message) => this.#sendToStore(message),
      hang: (names, forMs) => this.#sendToAllHosts({ kind: 'hang', names, forMs }),
      onControllerChange: (index) => this.#usageBefore.delete(this.#controllers.names[index] ?? ''),
    });
    this.#faults.push(`${Math.round(this.#elapsedS)} s: ${description}`);
    this.progress(`${Math.round(this.#elapsedS)} s: ${description}`);
  }

  #reportProgress(): void {
    const last = this.#seconds.at(-1);
    if (last === undefined) return;
    const leader = last.controllers.find(({ role }) => role === 'leader');
    const sum = (of: (sample: WorkerSample) => number): number =>
      last.workers.reduce((total, sample) => total + of(sample), 0);
    const starts = this.#latencies.startsBySecond.get(Math.floor(monotonicMs() / 1000) - 2) ?? 0;
    this.progress(
      `${String(last.at).padStart(4)} s  ${sum((one) => one.workers)} workers  ${sum((one) => one.tasks)} tasks  ` +
        `${starts} starts/s  ${sum((one) => one.heartbeats)} reports/s  leader ${(leader?.core ?? 0).toFixed(2)} core  ` +
        `${this.#users.openJobs} jobs open  ${this.#rules.violations.length} rules broken`,
    );
  }

  /** Waits until no job is open, for at most `drainS` of the scenario, and then finishes the checks. */
  async #drain(): Promise<void> {
    this.#users.endSubmissions();
    const until = monotonicMs() + 1000 * this.scenario.drainS;
    while (monotonicMs() < until && this.#users.openJobs > 0) {
      await sleep(SECOND_MS);
      this.#rules.checkUntil(monotonicMs() - MAX_EVENT_DELAY_MS);
    }
    await this.#awaitCancelled();
    await sleep(MAX_EVENT_DELAY_MS);
    this.#rules.finish(monotonicMs());
    this.#closeCloud();
  }

  /** Lets tasks of recently cancelled jobs end within the cancel timeout; tasks that run longer violate a rule. */
  async #awaitCancelled(): Promise<void> {
    const until = monotonicMs() + 1000 * this.scenario.cancelS + 2 * MAX_EVENT_DELAY_MS;
    do {
      await sleep(MAX_EVENT_DELAY_MS);
      this.#rules.checkUntil(monotonicMs() - MAX_EVENT_DELAY_MS);
    } while (this.#rules.cancelledTasksRunning > 0 && monotonicMs() < until);
  }

  #usageOf(name: string, seconds: number): { core: number; residentMb: number } | null {
    const pid = this.#processes.pid(name);
    const usage = pid === null ? null : readUsage(pid);
    if (usage === null) return null;
    const before = this.#usageBefore.get(name);
    this.#usageBefore.set(name, usage);
    const usedMs = before === undefined ? 0 : usage.processorMs - before.processorMs;
    return { core: Math.max(0, usedMs) / 1000 / seconds, residentMb: usage.residentMb };
  }

  #lastSampleAt = 0;

  async #sample(isRecorded: boolean): Promise<void> {
    const now = monotonicMs();
    const seconds = Math.max(0.001, (now - this.#lastSampleAt) / 1000);
    this.#lastSampleAt = now;
    const statuses = await this.#controllers.statuses();
    const leader = statuses.flatMap((one) => (one?.leader ? [one.leader] : []))[0];
    if (leader !== undefined) this.#leader = this.#controllers.names.indexOf(leader);
    const controllers = this.#controllers.names.flatMap((name, i): ControllerSample[] => {
      const used = this.#usageOf(name, seconds);
      if (used === null) return [];
      const sent = statuses[i]?.peerBytes ?? this.#peerBytesBefore.get(name) ?? 0;
      const peerBytes = Math.max(0, sent - (this.#peerBytesBefore.get(name) ?? sent));
      this.#peerBytesBefore.set(name, sent);
      return [{ name, role: i === this.#leader ? 'leader' : 'follower', ...used, peerBytes }];
    });
    const storeUsage = this.#usageOf(STORE_PROCESS, seconds);
    const cloud = this.#cloud.meter.take();
    this.#checkMemory();
    if (!isRecorded) return;
    this.#seconds.push({
      at: Math.round(this.#elapsedS),
      controllers,
      store: this.#storeSample,
      storeCore: storeUsage?.core ?? 0,
      workers: [...this.#workerSamples.values()],
      cloud,
      openJobs: this.#users.openJobs,
    });
    this.#storeSample = null;
  }

  #checkMemory(): void {
    let residentMb = process.memoryUsage().rss / BYTES_PER_MB;
    for (const pid of this.#processes.pids) residentMb += readUsage(pid)?.residentMb ?? 0;
    if (residentMb > (MEMORY_SHARE * totalmem()) / BYTES_PER_MB)
      throw new RunError(
        `all processes together hold ${Math.round(residentMb)} MB, more than half of the memory`,
      );
  }

  #figures(): RunFigures {
    const { scenario } = this;
    const measured = this.#seconds.filter(({ at }) => at > scenario.warmUpS);
    const from = Math.floor(this.#startedAt / 1000 + scenario.warmUpS);
    const to = Math.floor(this.#startedAt / 1000 + scenario.durationS);
    const starts = Array.from(
      { length: to - from },
      (_, i) => this.#latencies.startsBySecond.get(from + i) ?? 0,
    );
    const startsPerS = starts.reduce((sum, one) => sum + one, 0) / Math.max(1, starts.length);
    const tenSecondRates = starts
      .slice(0, Math.max(1, starts.length - 9))
      .map((_, i) => starts.slice(i, i + 10).reduce((sum, one) => sum + one, 0) / 10);
    const figures = figuresOf(measured);
    const violations: Record<string, number> = {};
    for (const { rule } of this.#rules.violations) violations[rule] = (violations[rule] ?? 0) + 1;
    const internalFaults = this.#controllers.names.flatMap((name) => faultLines(this.folder, name));
    if (internalFaults.length > 0) violations['internal_fault'] = internalFaults.length;
    const describe = (of: ReadonlyMap<string, Distribution>): RunFigures['onMs'] =>
      Object.fromEntries([...of].map(([name, distribution]) => [name, distribution.describe()]));
    return {
      ...figures,
      workers: scenario.workers,
      variant: this.variant.label,
      commit: this.commit,
      seconds: measured.length,
      startsPerS,
      startsPerSBest10: Math.max(0, ...tenSecondRates),
      changesPerStart: figures.stateService.changesPerS / Math.max(1e-9, startsPerS),
      reportMs: this.#heartbeatLatenciesMs.describe(),
      acceptedMs: this.#latencies.accepted.describe(),
      begunMs: describe(this.#latencies.begun),
      onMs: describe(this.#latencies.on),
      crashToStartMs: this.#crashes.flatMap(({ startedAfter }) =>
        startedAfter === null ? [] : [startedAfter],
      ),
      faults: this.#faults,
      submitted: this.#users.submitted,
      unfinished: this.#rules.unfinished().length,
      unanswered: this.#users.unanswered().length,
      violations,
      firstViolations: [
        ...this.#rules.violations
          .slice(0, MAX_REPORTED_VIOLATIONS)
          .map(({ rule, detail }) => `${rule}: ${detail}`),
        ...internalFaults,
      ],
    };
  }
}

/** The folder of a run, which is distinct for each scenario, size and variant. */
export const runFolder = (out: string, scenario: string, workers: number, variant: string): string =>
  join(out, `${scenario}-${workers}-${variant}`);
