/**
 * Plays random days with faults between controllers in the simulation of the tests, and measures the longest pause
 * between task starts, the machines returned alive and the leases lost. Prints one JSON line for a kind of fault.
 */
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import { seeded, Simulation } from '../test/emulators/simulation.js';

const EARLIEST_FAULT_MS = 20_000;
const OBSERVED_MS = 45_000;

type Fault = (world: Simulation, leader: number, size: number) => void;

const others = (leader: number): number[] => [0, 1, 2].filter((node) => node !== leader);
const cutFromWorkers: Fault = (world, leader, size) => {
  for (const name of world.cloud.workers.keys())
    world.network.partition(`n-${leader}`, name, 15_000 + 20_000 * size);
};

/** Kinds of faults; `size` is a random number from 0 to 1 that scales the fault. */
const KINDS: Record<string, Fault> = {
  'short stall': (world, leader, size) => world.pause(leader, 200 + 1000 * size),
  'long stall': (world, leader, size) => world.pause(leader, 2500 + 6000 * size),
  crash: (world, leader) => world.crash(leader, 5000),
  'two crash': (world, leader, size) => {
    world.crash(leader, 5000);
    world.clock.in(1000 * size, () => world.crash(others(leader)[0] as number, 5000));
  },
  'no workers': cutFromWorkers,
  'no state service': (world, leader, size) => world.state.refuse(`n-${leader}`, 10_000 + 20_000 * size),
  'refused peers': (world, _, size) => world.refusePeers(10_000 + 25_000 * size),
  'refused peers, no state service': (world, leader, size) => {
    world.refusePeers(35_000);
    world.clock.in(3000, () => world.state.refuse(`n-${leader}`, 10_000 + 20_000 * size));
  },
  'outage, crash': (world, leader, size) => {
    world.state.outage(5000 + 6000 * size);
    world.clock.in(2000, () => world.crash(leader, 5000));
  },
};

interface Day {
  readonly pause: number;
  readonly suspected: number | null;
  readonly elected: number | null;
  readonly changes: number;
  readonly givenBack: number;
  readonly leases: number;
  readonly broken: readonly string[];
  readonly unfinished: number;
}

async function playDay(seed: number, fault: Fault): Promise<Day> {
  const draw = seeded(seed);
  const world = new Simulation(draw, { keepLog: true });
  world.cloud.capacity = 40;
  const jobTemplate = {
    team: 'crew',
    tasks: 8,
    cpus: 2,
    memoryGb: 1,
    spot: true,
    zone: null,
    oneZone: false,
    spread: false,
  };
  for (let i = 0; i < 200; i += 1)
    world.clock.in(2000 + 300 * i, () => {
      void world.user({ ...jobTemplate, id: `req-${String(i).padStart(6, '0')}` }, null);
    });
  await world.clock.runUntil(EARLIEST_FAULT_MS + 2000 * draw());
  const faultAt = world.clock.now;
  const [leader = 'n-0'] = world.leaders();
  fault(world, Number(leader.slice(2)), draw());
  let pause = 0;
  let lastStartAt = faultAt;
  let { started } = world.checker;
  while (world.clock.now < faultAt + OBSERVED_MS) {
    await world.clock.runUntil(world.clock.now + 100);
    if (world.checker.started > started) lastStartAt = world.clock.now;
    started = world.checker.started;
    pause = Math.max(pause, world.clock.now - lastStartAt);
  }
  await world.clock.runUntil(faultAt + 150_000);
  const logged = world.logged.filter(({ at }) => at >= faultAt);
  const since = (at: number | undefined): number | null => (at === undefined ? null : at - faultAt);
  const whileObserved = logged.filter(({ at }) => at < faultAt + OBSERVED_MS);
  return {
    pause,
    suspected: since(whileObserved.find(({ msg, peer }) => msg === 'peer suspected' && peer === leader)?.at),
    elected: since(whileObserved.find(({ msg }) => msg === 'leader elected')?.at),
    changes: whileObserved.filter(({ msg }) => msg === 'leader elected').length,
    // No machine fails on these days, so every machine that is returned for another reason than idleness was alive.
    givenBack: logged.filter(({ msg, reason }) => msg === 'machine terminated' && reason !== 'idle').length,
    leases: [...world.cloud.workers.values()].reduce((sum, { session }) => sum + session - 1, 0),
    broken: world.checker.violations,
    unfinished: world.checker.unfinishedJobs().length,
  };
}

const formatSeconds = (histogram: Histogram): string =>
  histogram.totalCount === 0
    ? '–'
    : [50, 90, 100].map((share) => (histogram.getValueAtPercentile(share) / 1000).toFixed(1)).join(' / ');

async function main(kind: string, days: number): Promise<void> {
  const fault = KINDS[kind];
  if (fault === undefined)
    throw new Error(`unknown kind of fault: ${kind}; known kinds: ${Object.keys(KINDS).join(', ')}`);
  const [pause, suspected, elected] = [buildHistogram(), buildHistogram(), buildHistogram()];
  const totals = { changes: 0, givenBack: 0, leases: 0, broken: 0, unfinished: 0 };
  for (let seed = 1; seed <= days; seed += 1) {
    const day = await playDay(seed, fault);
    pause.recordValue(Math.max(1, day.pause));
    if (day.suspected !== null) suspected.recordValue(Math.max(1, day.suspected));
    if (day.elected !== null) elected.recordValue(Math.max(1, day.elected));
    totals.changes += day.changes;
    totals.givenBack += day.givenBack;
    totals.leases += day.leases;
    totals.broken += day.broken.length;
    totals.unfinished += day.unfinished;
    for (const rule of day.broken) console.error(`seed ${seed}, ${kind}: ${rule}`);
  }
  const row = {
    kind,
    days,
    suspected: formatSeconds(suspected),
    elected: formatSeconds(elected),
    pause: formatSeconds(pause),
    ...totals,
  };
  console.log(JSON.stringify(row));
}

const [kind, days] = process.argv.slice(2);
if (kind === undefined) console.log(JSON.stringify(Object.keys(KINDS)));
else void main(kind, Number(days));
