/** Per-second samples of a run, and the figures computed from them. */
import { mean, quantile } from 'simple-statistics';
import type { Traffic } from '../emulator/http.js';
import type { StoreSample } from '../emulator/state-service.js';
import type { WorkerSample } from '../events.js';
import type { Quantiles } from './latencies.js';

/** One controller in one second. */
export interface ControllerSample {
  readonly name: string;
  readonly role: 'leader' | 'follower';
  /** Share of one core. */
  readonly core: number;
  readonly residentMb: number;
  /** Bytes that the controller sent to other controllers in this second. */
  readonly peerBytes: number;
}

/** One second of a run. */
export interface Second {
  /** Seconds since the load began. */
  readonly at: number;
  readonly controllers: readonly ControllerSample[];
  readonly store: StoreSample | null;
  readonly storeCore: number;
  readonly workers: readonly WorkerSample[];
  readonly cloud: Readonly<Record<string, Traffic>>;
  readonly openJobs: number;
}

/** Figures of a role over the measured seconds. */
interface RoleFigures {
  readonly core: number;
  readonly coreP95: number;
  readonly residentMb: number;
}

/** The figures of a run; rates are per second. */
export interface RunFigures {
  readonly workers: number;
  readonly variant: string;
  readonly commit: string;
  readonly seconds: number;
  readonly leader: RoleFigures;
  readonly follower: RoleFigures;
  readonly stateService: RoleFigures & {
    readonly keys: number;
    readonly bytes: number;
    readonly changesPerS: number;
    readonly requestsPerS: number;
    readonly bytesPerS: number;
  };
  readonly worker: {
    readonly reportsPerS: number;
    readonly redirectsPerS: number;
    readonly bytesPerS: number;
    /** Share of one core: all processor time of the process except the simulation of tasks, so an upper bound. */
    readonly core: number;
  };
  readonly cloudRequestsPerS: number;
  readonly peerBytesPerS: number;
  readonly tasksRunning: number;
  readonly startsPerS: number;
  readonly startsPerSBest10: number;
  readonly leaderMsPerReport: number;
  readonly controllersMsPerReport: number;
  readonly changesPerStart: number;
  readonly leasesLost: number;
  readonly reportMs: Quantiles;
  readonly acceptedMs: Quantiles;
  readonly begunMs: Readonly<Record<string, Quantiles>>;
  readonly onMs: Readonly<Record<string, Quantiles>>;
  readonly crashToStartMs: readonly number[];
  readonly faults: readonly string[];
  readonly submitted: number;
  readonly unfinished: number;
  readonly unanswered: number;
  readonly violations: Readonly<Record<string, number>>;
  readonly firstViolations: readonly string[];
}

const average = (values: readonly number[]): number => (values.length === 0 ? 0 : mean([...values]));

function roleFigures(samples: readonly { core: number; residentMb: number }[]): RoleFigures {
  const cores = samples.map(({ core }) => core);
  return {
    core: average(cores),
    coreP95: cores.length === 0 ? 0 : quantile(cores, 0.95),
    residentMb: samples.reduce((most, { residentMb }) => Math.max(most, residentMb), 0),
  };
}

const sumTraffic = (kinds: Readonly<Record<string, Traffic>>, of: keyof Traffic): number =>
  Object.values(kinds).reduce((sum, traffic) => sum + traffic[of], 0);

/** The figures that are computed from the per-second samples alone. */
export function figuresOf(
  seconds: readonly Second[],
): Pick<
  RunFigures,
  | 'leader'
  | 'follower'
  | 'stateService'
  | 'worker'
  | 'cloudRequestsPerS'
  | 'peerBytesPerS'
  | 'tasksRunning'
  | 'leasesLost'
  | 'leaderMsPerReport'
  | 'controllersMsPerReport'
> {
  const controllers = seconds.flatMap((second) => second.controllers);
  const leader = roleFigures(controllers.filter(({ role }) => role === 'leader'));
  const follower = roleFigures(controllers.filter(({ role }) => role === 'follower'));
  const perSecond = (of: (second: Second) => number): number => average(seconds.map(of));
  const overWorkers = (second: Second, of: (sample: WorkerSample) => number): number =>
    second.workers.reduce((sum, sample) => sum + of(sample), 0);
  const workers = perSecond((second) => overWorkers(second, (sample) => sample.workers));
  const heartbeatsPerS = perSecond((second) => overWorkers(second, (sample) => sample.heartbeats));
  const protocolMs = perSecond((second) =>
    overWorkers(second, (sample) => sample.processorMs - sample.simulationMs),
  );
  const workerBytes = perSecond((second) =>
    overWorkers(second, (sample) => sumTraffic(sample.traffic, 'bytes')),
  );
  const allCores = perSecond((second) => second.controllers.reduce((sum, { core }) => sum + core, 0));
  const storeSamples = seconds.flatMap(({ store }) => (store === null ? [] : [store]));
  const lastStoreSample = storeSamples.at(-1);
  return {
    leader,
    follower,
    stateService: {
      ...roleFigures(seconds.map(({ storeCore }) => ({ core: storeCore, residentMb: 0 }))),
      keys: lastStoreSample?.keys ?? 0,
      bytes: lastStoreSample?.bytes ?? 0,
      changesPerS: average(storeSamples.map(({ changes }) => changes)),
      requestsPerS: average(storeSamples.map(({ requests }) => sumTraffic(requests, 'messages'))),
      bytesPerS: average(storeSamples.map(({ requests }) => sumTraffic(requests, 'bytes'))),
    },
    worker: {
      reportsPerS: heartbeatsPerS / Math.max(1, workers),
      redirectsPerS:
        perSecond((second) => overWorkers(second, ({ traffic }) => traffic['redirect']?.messages ?? 0)) /
        Math.max(1, workers),
      bytesPerS: workerBytes / Math.max(1, workers),
      core: protocolMs / 1000 / Math.max(1, workers),
    },
    cloudRequestsPerS: perSecond(({ cloud }) => sumTraffic(cloud, 'messages')),
    peerBytesPerS: perSecond((second) =>
      second.controllers.reduce((sum, { peerBytes }) => sum + peerBytes, 0),
    ),
    tasksRunning: perSecond((second) => overWorkers(second, (sample) => sample.tasks)),
    leasesLost: seconds.reduce((sum, second) => sum + overWorkers(second, (sample) => sample.leasesLost), 0),
    leaderMsPerReport: (leader.core * 1000) / Math.max(1, heartbeatsPerS),
    controllersMsPerReport: (allCores * 1000) / Math.max(1, heartbeatsPerS),
  };
}
