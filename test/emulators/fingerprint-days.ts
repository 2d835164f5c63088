/**
 * Seeded simulated days whose whole traffic is hashed. A hash covers what passes the wire encoders and what the
 * emulators store, but no internal names: it stays the same through every change that preserves the behaviour.
 */
import { createHash } from 'node:crypto';
import type { SubmittedJob } from './checker.js';
import { drawConcurrentFaults, MAX_RUNTIME_MS } from './faults.js';
import {
  drawRun,
  seeded,
  TEAMS,
  TIGHT,
  Simulation,
  type RunSize,
  type SimulationOptions,
} from './simulation.js';

const DAY_MS = 90_000;
const RECOVERY_MS = 150_000;
const CONCURRENT_FAULTS_MS = 240_000;
/** Interval at which the status pages of all controllers are hashed, in milliseconds. */
const STATUS_INTERVAL_MS = 5000;

const DAGS: RunSize = { jobs: 6, maxTasks: 5, machines: 8, pipelines: 6 };
const PRODUCTION_FAULTS: RunSize = { jobs: 16, maxTasks: 6, machines: 8, onCall: true };
const WIDE: RunSize = { jobs: 12, maxTasks: 70, machines: 30, pipelines: 4, pipelinesFromMs: 45_000 };

interface DayKind {
  readonly seeds: readonly number[];
  options?(seed: number): SimulationOptions;
  /** Draws the load and the faults; returns the length of the day in milliseconds. */
  draw(world: Simulation, seed: number): number;
}

/** Draws gangs and services of every priority, some of them cancelled. */
function drawForms(world: Simulation): void {
  const { draw, clock } = world;
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
    if (form === 'service') world.runtimes.set(id, [10 * DAY_MS, 0]);
    const cancelAfterMs = form === 'service' || draw() < 0.2 ? 60_000 * draw() : null;
    clock.in(0.6 * DAY_MS * draw(), () => void world.user(job, cancelAfterMs));
  }
}

/** Long preemptible arrays fill a few machines; urgent jobs are submitted later and need their capacity. */
function drawPreemption(world: Simulation): void {
  const { draw, clock, cloud } = world;
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
    if (isPreemptible) world.runtimes.set(id, [60_000 + 60_000 * draw(), 4000 * draw()]);
    clock.in(isPreemptible ? 10_000 * draw() : 40_000 + 60_000 * draw(), () => void world.user(job, null));
  }
}

function drawUpgrade(world: Simulation): number {
  const { draw, clock } = world;
  const crashAny = (): void => world.crash(Math.floor(draw() * 3), 2000);
  drawRun(world, DAY_MS, 4, WIDE);
  for (let i = 0; i < 4; i += 1) clock.in(40_000 * draw(), crashAny);
  [2, 0, 1].forEach((node, i) =>
    clock.in(10_000 + i * (2000 + 10_000 * draw()), () => world.upgrade(node, 4000)),
  );
  clock.in(45_000 + 20_000 * draw(), () => world.reduceLimits());
  for (let i = 0; i < 4; i += 1) clock.in(45_000 + 25_000 * draw(), crashAny);
  return DAY_MS + RECOVERY_MS;
}

function drawDay(world: Simulation, faults: number, size?: RunSize): number {
  drawRun(world, DAY_MS, faults, size);
  return DAY_MS + RECOVERY_MS;
}

function drawOverlapping(world: Simulation, seed: number): number {
  drawConcurrentFaults(world, 1 + (seed % 3), () => undefined);
  return CONCURRENT_FAULTS_MS + 2 * MAX_RUNTIME_MS;
}

const DAY_KINDS: Readonly<Record<string, DayKind>> = {
  quiet: { seeds: [1], draw: (world) => drawDay(world, 0) },
  faults: {
    seeds: [101, 102, 103, 104, 105, 106, 107],
    options: (seed) => ({ cpusMax: seed % 2 === 0 ? 0 : 16 }),
    draw: (world, seed) => drawDay(world, 3 + (seed % 12)),
  },
  pipelines: { seeds: [201, 202, 203, 204, 205], draw: (world) => drawDay(world, 8, DAGS) },
  upgrade: {
    seeds: [301, 302, 303, 304],
    options: () => ({ limits: TIGHT, earlier: true }),
    draw: drawUpgrade,
  },
  'on-call': {
    seeds: [401, 402, 403, 404],
    options: () => ({ copies: true }),
    draw: (world) => drawDay(world, 10, PRODUCTION_FAULTS),
  },
  meetings: {
    seeds: [501, 502, 503, 504, 505, 506, 507, 508],
    options: (seed) => ({
      copies: true,
      cpusMax: seed % 2 === 0 ? 0 : 12,
      ...(seed % 3 === 0 ? { limits: TIGHT } : {}),
    }),
    draw: drawOverlapping,
  },
  forms: {
    seeds: [601, 602, 603, 604, 605],
    draw: (world) => {
      drawForms(world);
      return drawDay(world, 6, { jobs: 6, maxTasks: 4, machines: 8 });
    },
  },
  preemption: {
    seeds: [901, 902, 903, 904],
    draw: (world, seed) => {
      drawRun(world, DAY_MS, seed % 2 === 0 ? 0 : 4, { jobs: 2, maxTasks: 2, machines: 4 });
      drawPreemption(world);
      return DAY_MS + RECOVERY_MS;
    },
  },
  sharing: {
    seeds: [701, 702, 703, 704],
    options: () => ({ sharing: true, copies: true }),
    draw: (world) => drawDay(world, 8, PRODUCTION_FAULTS),
  },
  'sharing-meetings': {
    seeds: [801, 802],
    options: () => ({ sharing: true, copies: true }),
    draw: drawOverlapping,
  },
};

export interface SeededDay {
  readonly seed: number;
  readonly kind: string;
}

/** All days, in the order in which they are recorded. */
export const SEEDED_DAYS: readonly SeededDay[] = Object.entries(DAY_KINDS).flatMap(([kind, { seeds }]) =>
  seeds.map((seed) => ({ seed, kind })),
);

/** Simulates a day and returns its line of the record. `onLine` is called with each message, in order. */
export async function fingerprintDay(
  { seed, kind }: SeededDay,
  onLine: (line: string) => void = () => undefined,
): Promise<string> {
  const dayKind = DAY_KINDS[kind];
  if (dayKind === undefined) throw new RangeError(`unknown kind of day: ${kind}`);
  const hash = createHash('sha256');
  let lines = 0;
  let now = (): number => 0;
  const hashMessage = (from: string, to: string, message: string): void => {
    const line = `${now()} ${from} > ${to} ${message}\n`;
    hash.update(line);
    lines += 1;
    onLine(line);
  };
  const world = new Simulation(seeded(seed), {
    sharing: false,
    ...dayKind.options?.(seed),
    onMessage: hashMessage,
  });
  now = () => world.clock.now;
  const hashStatus = (): void => {
    for (const page of world.statusPages()) hashMessage('page', 'operators', JSON.stringify(page));
    hashMessage('ready', 'balancer', JSON.stringify(world.ready()));
    world.clock.in(STATUS_INTERVAL_MS, hashStatus);
  };
  world.clock.in(STATUS_INTERVAL_MS, hashStatus);
  await world.clock.runUntil(dayKind.draw(world, seed));
  for (const [key, { value, modRevision }] of [...world.state.keys].sort(([a], [b]) => (a < b ? -1 : 1)))
    hashMessage('state', 'end', `${key} ${modRevision} ${JSON.stringify(value)}`);
  return `${seed} ${kind} ${lines} ${hash.digest('hex')}`;
}
