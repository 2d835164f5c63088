/**
 * Drawn days of faults between controllers, in the tests' own world: how long until something starts
 * again, what is given back alive, what loses its lease. One JSON line a kind of fault.
 */
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import { seeded, Simulation } from '../test/emulators/simulation.js';

const FROM = 20_000;
const LENGTH = 45_000;

type Fault = (world: Simulation, leader: number, size: number) => void;

const others = (leader: number): number[] => [0, 1, 2].filter((node) => node !== leader);
const cutFromWorkers: Fault = (world, leader, size) => {
  for (const name of world.cloud.workers.keys())
    world.network.partition(`n-${leader}`, name, 15_000 + 20_000 * size);
};

/** Each at a size drawn from 0 to 1. */
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

async function play(seed: number, fault: Fault): Promise<Day> {
  const draw = seeded(seed);
  const world = new Simulation(draw, { keepLog: true });
  world.cloud.capacity = 40;
  const wish = {
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
      void world.user({ ...wish, id: `req-${String(i).padStart(6, '0')}` }, null);
    });
  await world.clock.runUntil(FROM + 2000 * draw());
  const from = world.clock.now;
  const [leader = 'n-0'] = world.leaders();
  fault(world, Number(leader.slice(2)), draw());
  let pause = 0;
  let last = from;
  let { started } = world.checker;
  while (world.clock.now < from + LENGTH) {
    await world.clock.runUntil(world.clock.now + 100);
    if (world.checker.started > started) last = world.clock.now;
    started = world.checker.started;
    pause = Math.max(pause, world.clock.now - last);
  }
  await world.clock.runUntil(from + 150_000);
  const after = world.logged.filter(({ at }) => at >= from);
  const since = (at: number | undefined): number | null => (at === undefined ? null : at - from);
  const early = after.filter(({ at }) => at < from + LENGTH);
  return {
    pause,
    suspected: since(early.find(({ msg, peer }) => msg === 'peer suspected' && peer === leader)?.at),
    elected: since(early.find(({ msg }) => msg === 'leader elected')?.at),
    changes: early.filter(({ msg }) => msg === 'leader elected').length,
    // No machine fails on these days: whatever is given back, but for want of work, was alive.
    givenBack: after.filter(({ msg, reason }) => msg === 'machine terminated' && reason !== 'idle').length,
    leases: [...world.cloud.workers.values()].reduce((sum, { session }) => sum + session - 1, 0),
    broken: world.checker.violations,
    unfinished: world.checker.unfinishedJobs().length,
  };
}

const told = (histogram: Histogram): string =>
  histogram.totalCount === 0
    ? '–'
    : [50, 90, 100].map((share) => (histogram.getValueAtPercentile(share) / 1000).toFixed(1)).join(' / ');

async function main(kind: string, days: number): Promise<void> {
  const fault = KINDS[kind];
  if (fault === undefined) throw new Error(`no such kind: ${kind}; one of ${Object.keys(KINDS).join(', ')}`);
  const [pause, suspected, elected] = [buildHistogram(), buildHistogram(), buildHistogram()];
  const sum = { changes: 0, givenBack: 0, leases: 0, broken: 0, unfinished: 0 };
  for (let seed = 1; seed <= days; seed += 1) {
    const day = await play(seed, fault);
    pause.recordValue(Math.max(1, day.pause));
    if (day.suspected !== null) suspected.recordValue(Math.max(1, day.suspected));
    if (day.elected !== null) elected.recordValue(Math.max(1, day.elected));
    sum.changes += day.changes;
    sum.givenBack += day.givenBack;
    sum.leases += day.leases;
    sum.broken += day.broken.length;
    sum.unfinished += day.unfinished;
    for (const rule of day.broken) console.error(`seed ${seed}, ${kind}: ${rule}`);
  }
  const row = { kind, days, suspected: told(suspected), elected: told(elected), pause: told(pause), ...sum };
  console.log(JSON.stringify(row));
}

const [kind, days] = process.argv.slice(2);
if (kind === undefined) console.log(JSON.stringify(Object.keys(KINDS)));
else void main(kind, Number(days));
