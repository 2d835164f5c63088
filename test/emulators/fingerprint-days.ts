/**
 * Seeded simulated runs whose whole traffic is hashed. A hash covers what passes the wire encoders and what the
 * emulators store, but no internal names: it stays the same through every change that preserves the behaviour.
 */
import { createHash } from 'node:crypto';
import type { SubmittedJob } from './checker.js';
import { drawConcurrentFaults, MAX_ADDITIONAL_RUNTIME_MS } from './faults.js';
import {
  drawRun,
  seeded,
  TEAMS,
  TIGHT_LIMITS,
  Simulation,
  type RunSize,
  type SimulationOptions,
} from './simulation.js';

const RUN_MS = 90_000;
const RECOVERY_MS = 150_000;
const CONCURRENT_FAULTS_MS = 240_000;
/** Interval at which the status pages of all controllers are hashed, in milliseconds. */
const STATUS_INTERVAL_MS = 5000;

const DAGS: RunSize = { jobs: 6, maxTasks: 5, machines: 8, pipelines: 6 };
const PRODUCTION_FAULTS: RunSize = { jobs: 16, maxTasks: 6, machines: 8, productionFaults: true };
const WIDE: RunSize = { jobs: 12, maxTasks: 70, machines: 30, pipelines: 4, pipelinesFromMs: 45_000 };

interface RunKind {
  readonly seeds: readonly number[];
  options?(seed: number): SimulationOptions;
  /** Draws the load and the faults; returns the length of the run in milliseconds. */
  draw(simulation: Simulation, seed: number): number;
}

/** Draws gangs and services of every priority, some of them cancelled. */
function drawForms(simulation: Simulation): void {
  const { draw, clock } = simulation;
  const pick = <T>(from: readonly T[]): T => from[Math.floor(draw() * from.length)] as T;
  for (let i = 0; i < 10; i += 1) {
    const id = `req-${String(600_000 + i)}`;
    const form = pick(['ensemble', 'service'] as const);
    const job: SubmittedJob = {
      id,
      form,
      urgency: pick(['prod', 'high', 'normal', 'best_effort']),
      jobClass: `class-${i % 3}`,
      team: pick(TEAMS),
      tasks: 1 + Math.floor(draw() * 4),
      cpus: pick([1, 2, 4]),
      memoryGb: 2,
      spot: draw() < 0.5,
      zone: null,
      oneZone: draw() < 0.3,
      spread: draw() < 0.3,
    };
    if (form === 'service') simulation.runtimes.set(id, [10 * RUN_MS, 0]);
    const cancelAfterMs = form === 'service' || draw() < 0.2 ? 60_000 * draw() : null;
    clock.in(0.6 * RUN_MS * draw(), () => void simulation.simulateUser(job, cancelAfterMs));
  }
}

/** Long preemptible arrays fill a few machines; urgent jobs are submitted later and need their capacity. */
function drawPreemption(simulation: Simulation): void {
  const { draw, clock, cloud } = simulation;
  const pick = <T>(from: readonly T[]): T => from[Math.floor(draw() * from.length)] as T;
  cloud.capacity = 4;
  for (let i = 0; i < 10; i += 1) {
    const id = `req-${String(800_000 + i)}`;
    const isPreemptible = i < 5;
    const job: SubmittedJob = {
      id,
      urgency: isPreemptible ? pick(['normal', 'best_effort']) : pick(['prod', 'high']),
      ...(isPreemptible ? { bookmarkS: 2, jobClass: `idle-${i % 2}` } : { jobClass: 'urgent' }),
      team: pick(TEAMS),
      tasks: isPreemptible ? 8 + Math.floor(draw() * 8) : 1 + Math.floor(draw() * 3),
      cpus: isPreemptible ? pick([1, 2, 3]) : pick([2, 4, 8]),
      memoryGb: 2,
      spot: true,
      zone: null,
      oneZone: false,
      spread: false,
    };
    if (isPreemptible) simulation.runtimes.set(id, [60_000 + 60_000 * draw(), 4000 * draw()]);
    clock.in(
      isPreemptible ? 10_000 * draw() : 40_000 + 60_000 * draw(),
      () => void simulation.simulateUser(job, null),
    );
  }
}

function drawUpgrade(simulation: Simulation): number {
  const { draw, clock } = simulation;
  const crashAny = (): void => simulation.crash(Math.floor(draw() * 3), 2000);
  drawRun(simulation, RUN_MS, 4, WIDE);
  for (let i = 0; i < 4; i += 1) clock.in(40_000 * draw(), crashAny);
  [2, 0, 1].forEach((node, i) =>
    clock.in(10_000 + i * (2000 + 10_000 * draw()), () => simulation.upgrade(node, 4000)),
  );
  clock.in(45_000 + 20_000 * draw(), () => simulation.reduceLimits());
  for (let i = 0; i < 4; i += 1) clock.in(45_000 + 25_000 * draw(), crashAny);
  return RUN_MS + RECOVERY_MS;
}

function drawStandardRun(simulation: Simulation, faults: number, size?: RunSize): number {
  drawRun(simulation, RUN_MS, faults, size);
  return RUN_MS + RECOVERY_MS;
}

function drawOverlapping(simulation: Simulation, seed: number): number {
  drawConcurrentFaults(simulation, 1 + (seed % 3), () => undefined);
  return CONCURRENT_FAULTS_MS + 2 * MAX_ADDITIONAL_RUNTIME_MS;
}

const RUN_KINDS: Readonly<Record<string, RunKind>> = {
  quiet: { seeds: [1], draw: (simulation) => drawStandardRun(simulation, 0) },
  faults: {
    seeds: [101, 102, 103, 104, 105, 106, 107],
    options: (seed) => ({ cpusMax: seed % 2 === 0 ? 0 : 16 }),
    draw: (simulation, seed) => drawStandardRun(simulation, 3 + (seed % 12)),
  },
  pipelines: { seeds: [201, 202, 203, 204, 205], draw: (simulation) => drawStandardRun(simulation, 8, DAGS) },
  upgrade: {
    seeds: [301, 302, 303, 304],
    options: () => ({ limits: TIGHT_LIMITS, startsEarlierVersion: true }),
    draw: drawUpgrade,
  },
  'on-call': {
    seeds: [401, 402, 403, 404],
    options: () => ({ duplicatesHeartbeats: true }),
    draw: (simulation) => drawStandardRun(simulation, 10, PRODUCTION_FAULTS),
  },
  meetings: {
    seeds: [501, 502, 503, 504, 505, 506, 507, 508],
    options: (seed) => ({
      duplicatesHeartbeats: true,
      cpusMax: seed % 2 === 0 ? 0 : 12,
      ...(seed % 3 === 0 ? { limits: TIGHT_LIMITS } : {}),
    }),
    draw: drawOverlapping,
  },
  forms: {
    seeds: [601, 602, 603, 604, 605],
    draw: (simulation) => {
      drawForms(simulation);
      return drawStandardRun(simulation, 6, { jobs: 6, maxTasks: 4, machines: 8 });
    },
  },
  preemption: {
    seeds: [901, 902, 903, 904],
    draw: (simulation, seed) => {
      drawRun(simulation, RUN_MS, seed % 2 === 0 ? 0 : 4, { jobs: 2, maxTasks: 2, machines: 4 });
      drawPreemption(simulation);
      return RUN_MS + RECOVERY_MS;
    },
  },
  sharing: {
    seeds: [701, 702, 703, 704],
    options: () => ({ sharing: true, duplicatesHeartbeats: true }),
    draw: (simulation) => drawStandardRun(simulation, 8, PRODUCTION_FAULTS),
  },
  'sharing-meetings': {
    seeds: [801, 802],
    options: () => ({ sharing: true, duplicatesHeartbeats: true }),
    draw: drawOverlapping,
  },
};

export interface SeededRun {
  readonly seed: number;
  readonly kind: string;
}

/** All simulated runs, in the order in which they are recorded. */
export const SEEDED_RUNS: readonly SeededRun[] = Object.entries(RUN_KINDS).flatMap(([kind, { seeds }]) =>
  seeds.map((seed) => ({ seed, kind })),
);

/** Simulates a run and returns its line of the record. `onLine` is called with each line of the traffic, in order. */
export async function fingerprintRun(
  { seed, kind }: SeededRun,
  onLine: (line: string) => void = () => undefined,
): Promise<string> {
  const runKind = RUN_KINDS[kind];
  if (runKind === undefined) throw new RangeError(`unknown kind of day: ${kind}`);
  const hash = createHash('sha256');
  let lines = 0;
  let now = (): number => 0;
  const hashMessage = (from: string, to: string, message: string): void => {
    const line = `${now()} ${from} > ${to} ${message}\n`;
    hash.update(line);
    lines += 1;
    onLine(line);
  };
  const simulation = new Simulation(seeded(seed), {
    sharing: false,
    ...runKind.options?.(seed),
    onMessage: hashMessage,
  });
  now = () => simulation.clock.now;
  const hashStatus = (): void => {
    for (const page of simulation.statusPages()) hashMessage('page', 'operators', JSON.stringify(page));
    hashMessage('ready', 'balancer', JSON.stringify(simulation.ready()));
    simulation.clock.in(STATUS_INTERVAL_MS, hashStatus);
  };
  simulation.clock.in(STATUS_INTERVAL_MS, hashStatus);
  await simulation.clock.runUntil(runKind.draw(simulation, seed));
  for (const [key, { value, modRevision }] of [...simulation.store.keys].sort(([a], [b]) => (a < b ? -1 : 1)))
    hashMessage('state', 'end', `${key} ${modRevision} ${JSON.stringify(value)}`);
  return `${seed} ${kind} ${lines} ${hash.digest('hex')}`;
}
