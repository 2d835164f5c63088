/** Simulated runs of the whole service with random faults; an independent checker verifies the protocol rules. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { Checker } from './emulators/checker.js';
import { drawRun, seeded, TIGHT_LIMITS, Simulation, type RunSize } from './emulators/simulation.js';

/** The time over which `drawRun` spreads submissions and faults, in milliseconds. */
const RUN_MS = 90_000;
/** How long a run continues after that: enough for every lease, boot and termination of a machine, in milliseconds. */
const RECOVERY_MS = 150_000;

async function simulateRun(
  seed: number,
  faults: number,
  cpusMax: number,
  size?: RunSize,
): Promise<Simulation> {
  const simulation = new Simulation(seeded(seed), {
    cpusMax,
    duplicatesHeartbeats: size?.productionFaults === true,
  });
  drawRun(simulation, RUN_MS, faults, size);
  await simulation.clock.runUntil(RUN_MS + RECOVERY_MS);
  // The faults are taken to be over 40 s after RUN_MS; from then on requests must be answered.
  if (size?.productionFaults === true)
    simulation.checker.checkUnanswered(RUN_MS + 40_000, RUN_MS + RECOVERY_MS);
  return simulation;
}

test('without faults every job completes and no rule is violated', async () => {
  const simulation = await simulateRun(1, 0, 0);
  expect(simulation.checker.violations).toEqual([]);
  expect(simulation.checker.unfinishedJobs()).toEqual([]);
  expect(simulation.checker.startedTasks).toBeGreaterThan(20);
});

test('a team at its quota never exceeds it and completes all its jobs', async () => {
  const simulation = await simulateRun(2, 0, 6);
  expect(simulation.checker.violations).toEqual([]);
  expect(simulation.checker.unfinishedJobs()).toEqual([]);
});

test('under faults of every kind no rule is violated and every accepted job ends', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.integer({ min: 3, max: 14 }),
      async (seed, faults) => {
        const simulation = await simulateRun(seed, faults, seed % 2 === 0 ? 0 : 16);
        expect(simulation.checker.violations).toEqual([]);
        expect(simulation.checker.unfinishedJobs()).toEqual([]);
      },
    ),
    { seed: 7, numRuns: Number(process.env['DAYS'] ?? 25), endOnFailure: true },
  );
}, 900_000);

// At this size the chunks of one job, the transactions and the takeovers hold hundreds of claims; smaller runs never
// fill them.
test('with 160 machines, thousands of tasks and faults no rule is violated', async () => {
  const simulation = await simulateRun(11, 10, 0, { jobs: 200, maxTasks: 60, machines: 160 });
  expect(simulation.checker.violations).toEqual([]);
  expect(simulation.checker.unfinishedJobs()).toEqual([]);
  expect(simulation.cloud.peakMachines).toBeGreaterThan(100);
  expect(simulation.checker.startedTasks).toBeGreaterThan(3000);
}, 300_000);

const DAGS: RunSize = { jobs: 6, maxTasks: 5, machines: 8, pipelines: 6 };

test('with job DAGs, cancellations and faults no rule is violated and every job ends', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.integer({ min: 0, max: 12 }),
      async (seed, faults) => {
        const simulation = await simulateRun(seed, faults, 0, DAGS);
        expect(simulation.checker.violations).toEqual([]);
        expect(simulation.checker.unfinishedJobs()).toEqual([]);
      },
    ),
    { seed: 8, numRuns: Number(process.env['DAYS'] ?? 25), endOnFailure: true },
  );
}, 900_000);

/**
 * An upgrade: all controllers start as the earlier version and are restarted as the new one, one by one, with crashes
 * in between; some time after the last restart the limits of the store are reduced.
 */
async function simulateUpgrade(seed: number, faults: number): Promise<Simulation> {
  const simulation = new Simulation(seeded(seed), { limits: TIGHT_LIMITS, startsEarlierVersion: true });
  const { draw, clock } = simulation;
  const wide: RunSize = { jobs: 12, maxTasks: 70, machines: 30, pipelines: 4, pipelinesFromMs: 45_000 };
  drawRun(simulation, RUN_MS, faults, wide);
  for (let i = 0; i < 4; i += 1)
    clock.in(40_000 * draw(), () => simulation.crash(Math.floor(draw() * 3), 2000));
  [2, 0, 1].forEach((node, i) =>
    clock.in(10_000 + i * (2000 + 10_000 * draw()), () => simulation.upgrade(node, 4000)),
  );
  clock.in(45_000 + 20_000 * draw(), () => simulation.reduceLimits());
  for (let i = 0; i < 4; i += 1)
    clock.in(45_000 + 25_000 * draw(), () => simulation.crash(Math.floor(draw() * 3), 2000));
  await clock.runUntil(RUN_MS + RECOVERY_MS);
  return simulation;
}

test('upgrades under load with leaders of both versions, then smaller limits, violate no rule', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.integer({ min: 0, max: 6 }),
      async (seed, faults) => {
        const simulation = await simulateUpgrade(seed, faults);
        expect(simulation.checker.violations).toEqual([]);
        expect(simulation.checker.unfinishedJobs()).toEqual([]);
        // No claim records are left, neither those of the earlier version nor those of ended jobs.
        expect([...simulation.store.keys.keys()].filter((key) => key.startsWith('run/'))).toEqual([]);
      },
    ),
    { seed: 9, numRuns: Number(process.env['DAYS'] ?? 12), endOnFailure: true },
  );
}, 900_000);

const PRODUCTION_FAULTS: RunSize = { jobs: 16, maxTasks: 6, machines: 8, productionFaults: true };

test('combinations of faults seen in production violate no rule, lose no job and starve no class, team or large job', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.integer({ min: 2, max: 14 }),
      async (seed, faults) => {
        const simulation = await simulateRun(seed, faults, 0, PRODUCTION_FAULTS);
        expect(simulation.checker.violations).toEqual([]);
        expect(simulation.checker.unfinishedJobs()).toEqual([]);
        expect(simulation.checker.underserved((id) => simulation.faultyJobs.has(id))).toEqual([]);
      },
    ),
    {
      seed: Number(process.env['SEED'] ?? 10),
      numRuns: Number(process.env['DAYS'] ?? 25),
      endOnFailure: true,
    },
  );
}, 900_000);

const checkerWithJobs = (): Checker => {
  const checker = new Checker(30_000, 0);
  const placement = {
    team: 'crew',
    cpus: 1,
    memoryGb: 1,
    spot: true,
    zone: null,
    oneZone: false,
    spread: false,
  };
  for (const [id, jobClass, tasks] of [
    ['req-1', 'idle', 9],
    ['req-2', 'idle', 1],
    ['req-3', 'idle', 9],
  ] as const) {
    checker.recordSubmission({ ...placement, id, jobClass, tasks });
    checker.recordResponse(id, 201, { stage: 'pending' }, 0, 'submit');
  }
  return checker;
};

test('the checker rejects histories with an unanswered job, a starved class or a starved large job', () => {
  const unanswered = checkerWithJobs();
  unanswered.recordRequest('req-1', 99_000);
  unanswered.recordResponse('req-1', 503, {}, 99_000, 'show');
  unanswered.checkUnanswered(30_000, 100_000);
  expect(unanswered.violations).toEqual([]);
  unanswered.checkUnanswered(20_000, 100_000);
  expect(unanswered.violations).toEqual(['forgotten: req-1 had no answer for 80 s']);
  const starved = checkerWithJobs();
  starved.recordTaskStart('req-1', 0, 'm', 'a', true, 241_000);
  starved.recordTaskStart('req-2', 0, 'm', 'a', true, 1000);
  starved.recordTaskEnd('req-2', 0, 'm', true, 2000);
  starved.recordResponse('req-2', 200, { stage: 'done' }, 3000, 'show');
  expect(starved.underserved()).toEqual([
    'class idle: 1 of 3 served',
    'team crew: 1 of 3 served',
    'largest of idle: 0 of 2 served',
    'largest of idle: 0 of 2 begun in time',
  ]);
});
