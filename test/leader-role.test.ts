/** Election and transfer of the leadership, and answers to workers while there is no leader. */
import { expect, test } from 'vitest';
import type { KeyValueStore } from '../src/adapters/key-value-store.js';
import { FallbackResponder } from '../src/controller/fallback-responder.js';
import { timing as timingOf } from '../src/config/settings.js';
import type { Worker } from './emulators/cloud.js';
import { heartbeatOf, task } from './emulators/core-harness.js';
import { seeded, testSettings, Simulation } from './emulators/simulation.js';

test('a crashed leader is replaced well within a worker lease', async () => {
  const simulation = new Simulation(seeded(5));
  await simulation.clock.runUntil(10_000);
  const [first] = simulation.leaders();
  const index = Number(first?.slice(2));
  simulation.crash(index, 60_000);
  await simulation.clock.runUntil(16_000);
  const [second] = simulation.leaders().filter((name) => name !== first);
  expect(second).toBeDefined();
});

test('a node that is not preferred leads only until a preferred one is back', async () => {
  // If the node after the leader is in the leader's own zone, workers of a partitioned zone try two nodes that do not
  // answer, and their leases expire before they reach a fallback responder.
  const simulation = new Simulation(seeded(5));
  await simulation.clock.runUntil(10_000);
  simulation.crash(0, 5000);
  simulation.crash(1, 5000);
  await simulation.clock.runUntil(15_500);
  expect(simulation.leaders()).toEqual(['n-2']);
  await simulation.clock.runUntil(30_000);
  expect(simulation.leaders()).toHaveLength(1);
  expect(simulation.leaders()).not.toEqual(['n-2']);
});

// Each change of leader restarts the wait for silent machines and delays the tasks on dead ones.
test('leadership is not transferred while machines with tasks have sent no heartbeat', async () => {
  const simulation = new Simulation(seeded(5));
  await simulation.clock.runUntil(3000);
  const job = { id: 'req-000001', team: 'crew', tasks: 8, cpus: 4, memoryGb: 2, spot: true };
  void simulation.simulateUser({ ...job, zone: null, oneZone: false, spread: false }, null);
  while (simulation.checker.startedTasks === 0) await simulation.clock.runUntil(simulation.clock.now + 100);
  const from = simulation.clock.now;
  for (const worker of simulation.cloud.workers.values()) worker.pause(120_000);
  simulation.crash(0, 5000);
  simulation.crash(1, 5000);
  await simulation.clock.runUntil(from + 13_000);
  expect(simulation.leaders()).toEqual(['n-2']);
  await simulation.clock.runUntil(from + 40_000);
  expect(simulation.leaders()).not.toEqual(['n-2']);
});

// Heartbeats of unknown machines must neither use up the leader's connections nor change its plans.
test('a flood of malformed requests and unknown machines costs neither leadership nor a lease', async () => {
  const simulation = new Simulation(seeded(5), { keepLog: true });
  await simulation.clock.runUntil(3000);
  const job = { id: 'req-000001', team: 'crew', tasks: 30, cpus: 2, memoryGb: 2, spot: true };
  void simulation.simulateUser({ ...job, zone: null, oneZone: false, spread: false }, null);
  await simulation.clock.runUntil(12_000);
  const leaders = simulation.leaders();
  simulation.flood(32_000);
  await simulation.clock.runUntil(55_000);
  expect(simulation.leaders()).toEqual(leaders);
  // About 2,000 malformed heartbeats at each node; a node logs one line per worker lease with their number.
  const lines = simulation.logged.filter(({ msg }) => msg === 'malformed input received');
  expect(lines.length).toBeLessThanOrEqual(3 * 4);
  expect(lines.reduce((sum, { reports }) => sum + Number(reports), 0)).toBeGreaterThan(3000);
  expect(simulation.cloud.workers.size).toBeGreaterThan(0);
  expect([...simulation.cloud.workers.values()].every(({ session }) => session === 1)).toBe(true);
  await simulation.clock.runUntil(80_000);
  expect(simulation.checker.violations).toEqual([]);
  expect(simulation.checker.unfinishedJobs()).toEqual([]);
});

/** Starts a simulation in which workers of one zone run the tasks of one job. */
async function startBusyWorkers(): Promise<{ simulation: Simulation; workers: Worker[] }> {
  const simulation = new Simulation(seeded(8));
  await simulation.clock.runUntil(3000);
  const job = { id: 'req-000001', team: 'crew', tasks: 60, cpus: 8, memoryGb: 2, spot: true };
  void simulation.simulateUser({ ...job, zone: 'a', oneZone: false, spread: false }, null);
  await simulation.clock.runUntil(15_000);
  const workers = [...simulation.cloud.workers.values()];
  expect(workers.length).toBeGreaterThan(3);
  return { simulation, workers };
}

async function expectCleanEnd(simulation: Simulation): Promise<void> {
  await simulation.clock.runUntil(120_000);
  expect(simulation.checker.violations).toEqual([]);
  expect(simulation.checker.unfinishedJobs()).toEqual([]);
}

// A leader without heartbeats can neither start tasks nor tell dead machines from unreachable ones.
test('a leader that loses contact with all workers transfers leadership; no worker is terminated and at most one lease expires', async () => {
  const { simulation, workers } = await startBusyWorkers();
  const [leader] = simulation.leaders();
  for (const { listed } of workers) simulation.network.partition(leader ?? '', listed.name, 25_000);
  await simulation.clock.runUntil(39_000);
  expect(simulation.leaders()).toHaveLength(1);
  expect(simulation.leaders()).not.toEqual([leader]);
  expect(workers.filter(({ isTerminated }) => isTerminated)).toEqual([]);
  // A worker that tries a follower before the leader has detected the loss of contact is redirected back to the
  // leader, and its lease may expire.
  expect(workers.filter(({ session }) => session > 1).length).toBeLessThanOrEqual(1);
  await expectCleanEnd(simulation);
});

// No leader can be elected in a store outage; without responses every worker lease would expire.
test('when the leader crashes in a store outage, followers answer workers from its snapshots and no lease expires', async () => {
  const { simulation, workers } = await startBusyWorkers();
  simulation.store.outage(17_000);
  await simulation.clock.runUntil(15_500);
  simulation.crash(Number(simulation.leaders()[0]?.slice(2)), 60_000);
  await simulation.clock.runUntil(40_000);
  expect(workers.filter(({ session, isTerminated }) => session > 1 || isTerminated)).toEqual([]);
  await expectCleanEnd(simulation);
});

// If the window began at a snapshot's arrival, a snapshot delayed by a partition would keep cancelled tasks alive.
test('a follower answers workers from a snapshot for the authority window since the view was confirmed', async () => {
  const timing = timingOf(testSettings(1));
  let now = 0;
  const clock = {
    monotonicMs: () => now,
    epochMs: () => now,
    sleep: () => new Promise<void>(() => undefined),
    defer: () => undefined,
    startMeasuring: () => () => ({ elapsedMs: 1, cpuMs: 1 }),
  };
  const state = { list: () => Promise.resolve('unknown') } as unknown as KeyValueStore;
  const responder = new FallbackResponder('n-1', state, clock, timing, 2048, 100);
  let seq = 0;
  const nextReport = () =>
    heartbeatOf('m', ++seq, [task('req-1/0', 1, 'running'), task('req-2/0', 1, 'running')]);
  expect(await responder.answer(nextReport())).toBeNull();
  responder.receiveSnapshot({ viewConfirmedAt: 1000, liveJobs: new Set(['req-1']) });
  responder.receiveSnapshot({ viewConfirmedAt: 900, liveJobs: new Set(['req-2']) });
  now = 1000 + timing.authorityWindowMs - 101;
  expect(await responder.answer(nextReport())).toMatchObject([{ op: 'stop', job: 'req-2' }]);
  // A delayed duplicate does not show that the worker is alive, and gets no answer.
  now -= 4000;
  expect(await responder.answer(heartbeatOf('m', seq - 1))).toBeNull();
  expect(await responder.answer(heartbeatOf('m', seq))).toBeNull();
  expect(responder.answeredMachines()).toEqual(['m']);
  now += 4001;
  expect(await responder.answer(nextReport())).toBeNull();
});
