/**
 * Performs simulated runs with faults of controllers and of their links to workers, peers and the key-value store.
 * Measures the longest pause between task starts, and counts the machines terminated alive and the leases lost. Prints
 * one JSON line for one kind of fault.
 */
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import { seeded, Simulation } from '../test/emulators/simulation.js';

const EARLIEST_FAULT_MS = 20_000;
const OBSERVED_MS = 45_000;

type Fault = (simulation: Simulation, leader: number, size: number) => void;

const peersOf = (leader: number): number[] => [0, 1, 2].filter((node) => node !== leader);
const partitionFromWorkers: Fault = (simulation, leader, size) => {
  for (const name of simulation.cloud.workers.keys())
    simulation.network.partition(`n-${leader}`, name, 15_000 + 20_000 * size);
};

/** Kinds of faults; `size` is a random number from 0 to 1 that scales the fault. */
const KINDS: Record<string, Fault> = {
  'short stall': (simulation, leader, size) => simulation.pause(leader, 200 + 1000 * size),
  'long stall': (simulation, leader, size) => simulation.pause(leader, 2500 + 6000 * size),
  crash: (simulation, leader) => simulation.crash(leader, 5000),
  'two crash': (simulation, leader, size) => {
    simulation.crash(leader, 5000);
    simulation.clock.in(1000 * size, () => simulation.crash(peersOf(leader)[0] as number, 5000));
  },
  'no workers': partitionFromWorkers,
  'no state service': (simulation, leader, size) =>
    simulation.store.refuse(`n-${leader}`, 10_000 + 20_000 * size),
  'refused peers': (simulation, _, size) => simulation.refusePeers(10_000 + 25_000 * size),
  'refused peers, no state service': (simulation, leader, size) => {
    simulation.refusePeers(35_000);
    simulation.clock.in(3000, () => simulation.store.refuse(`n-${leader}`, 10_000 + 20_000 * size));
  },
  'outage, crash': (simulation, leader, size) => {
    simulation.store.outage(5000 + 6000 * size);
    simulation.clock.in(2000, () => simulation.crash(leader, 5000));
  },
};

interface RunResult {
  readonly longestPauseMs: number;
  readonly suspectedAfterMs: number | null;
  readonly electedAfterMs: number | null;
  readonly changes: number;
  readonly givenBack: number;
  readonly leases: number;
  readonly broken: readonly string[];
  readonly unfinished: number;
}

async function simulateRun(seed: number, fault: Fault): Promise<RunResult> {
  const draw = seeded(seed);
  const simulation = new Simulation(draw, { keepLog: true });
  simulation.cloud.capacity = 40;
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
    simulation.clock.in(2000 + 300 * i, () => {
      void simulation.simulateUser({ ...jobTemplate, id: `req-${String(i).padStart(6, '0')}` }, null);
    });
  await simulation.clock.runUntil(EARLIEST_FAULT_MS + 2000 * draw());
  const faultAt = simulation.clock.now;
  const [leader = 'n-0'] = simulation.leaders();
  fault(simulation, Number(leader.slice(2)), draw());
  let longestPauseMs = 0;
  let lastStartAt = faultAt;
  let { startedTasks: started } = simulation.checker;
  while (simulation.clock.now < faultAt + OBSERVED_MS) {
    await simulation.clock.runUntil(simulation.clock.now + 100);
    if (simulation.checker.startedTasks > started) lastStartAt = simulation.clock.now;
    started = simulation.checker.startedTasks;
    longestPauseMs = Math.max(longestPauseMs, simulation.clock.now - lastStartAt);
  }
  await simulation.clock.runUntil(faultAt + 150_000);
  const logged = simulation.logged.filter(({ at }) => at >= faultAt);
  const since = (at: number | undefined): number | null => (at === undefined ? null : at - faultAt);
  const whileObserved = logged.filter(({ at }) => at < faultAt + OBSERVED_MS);
  return {
    longestPauseMs,
    suspectedAfterMs: since(
      whileObserved.find(({ msg, peer }) => msg === 'peer suspected' && peer === leader)?.at,
    ),
    electedAfterMs: since(whileObserved.find(({ msg }) => msg === 'leader elected')?.at),
    changes: whileObserved.filter(({ msg }) => msg === 'leader elected').length,
    // No machine fails in these runs, so every machine terminated for a reason other than idleness was alive.
    givenBack: logged.filter(({ msg, reason }) => msg === 'machine terminated' && reason !== 'idle').length,
    leases: [...simulation.cloud.workers.values()].reduce((sum, { session }) => sum + session - 1, 0),
    broken: simulation.checker.violations,
    unfinished: simulation.checker.unfinishedJobs().length,
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
    const result = await simulateRun(seed, fault);
    pause.recordValue(Math.max(1, result.longestPauseMs));
    if (result.suspectedAfterMs !== null) suspected.recordValue(Math.max(1, result.suspectedAfterMs));
    if (result.electedAfterMs !== null) elected.recordValue(Math.max(1, result.electedAfterMs));
    totals.changes += result.changes;
    totals.givenBack += result.givenBack;
    totals.leases += result.leases;
    totals.broken += result.broken.length;
    totals.unfinished += result.unfinished;
    for (const rule of result.broken) console.error(`seed ${seed}, ${kind}: ${rule}`);
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
