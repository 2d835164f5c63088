/** Lost responses, failovers and partitions: reads are never stale, and cancelled tasks stop in time. */
import { expect, test } from 'vitest';
import type { Transaction } from '../src/core/types.js';
import { createElection, electionStep, type ElectionEffect } from '../src/membership/election.js';
import { timing } from '../src/config/settings.js';
import {
  startBusyCluster,
  CANCEL_TIMEOUT_MS,
  expectCleanEnd,
  ALL_RUNNING_AT_MS,
  WORKER_LEASE_MS,
} from './emulators/busy-cluster.js';
import { CoreHarness, job, heartbeatOf, task } from './emulators/core-harness.js';
import { partitionZones } from './emulators/faults.js';
import { NODES, seeded, testSettings, Simulation } from './emulators/simulation.js';

const JOB_DEFAULTS = {
  team: 'crew',
  cpus: 2,
  memoryGb: 1,
  spot: true,
  zone: null,
  oneZone: false,
  spread: false,
};

const puts =
  (prefix: string) =>
  ({ mutations }: Transaction): boolean =>
    mutations.some((write) => 'put' in write && write.put.startsWith(prefix));

const crashLeader = (simulation: Simulation, downMs: number): void =>
  simulation.crash(NODES.indexOf(simulation.leaders()[0] ?? ''), downMs);

/** Advances the clock in steps of 10 ms until a condition is met; fails once `maxMs` have passed. */
async function advanceUntil(simulation: Simulation, condition: () => boolean, maxMs = 60_000): Promise<void> {
  const until = simulation.clock.now + maxMs;
  while (!condition()) {
    expect(simulation.clock.now).toBeLessThan(until);
    await simulation.clock.runUntil(simulation.clock.now + 10);
  }
}

// Within milliseconds of each response that reports a change, users read at all nodes and repeat submissions.
test.each([3, 5, 8])('reads right after an acknowledged write are never stale (%d)', async (seed) => {
  const simulation = new Simulation(seeded(seed));
  simulation.readAfterWrites(60_000);
  simulation.cancelOnCompletion(0.5, 60_000);
  for (let i = 0; i < 30; i += 1) {
    const id = `req-${String(i).padStart(6, '0')}`;
    simulation.clock.in(
      1000 * i,
      () => void simulation.simulateUser({ ...JOB_DEFAULTS, id, tasks: 1 }, null),
    );
  }
  await expectCleanEnd(simulation, 150_000);
  // Each job is read after its acceptance and after its end, at each of three nodes.
  expect(simulation.readsAfterWrites).toBeGreaterThanOrEqual(30 * 2 * NODES.length);
});

// A transaction is applied and only its response is lost, while all nodes read what it wrote.
test.each([
  ['a submission', 'job/'],
  ['claims', 'run/'],
  ['the end of a job', 'ended/'],
])('a write whose response is lost takes effect once: %s', async (_, prefix) => {
  const simulation = new Simulation(seeded(4), { keepLog: true });
  await simulation.clock.runUntil(3000);
  let lost = 0;
  simulation.store.onNextLostResponse(() => (lost = simulation.clock.now));
  simulation.store.loseNextResponse(puts(prefix));
  const id = 'req-000000';
  void simulation.simulateUser({ ...JOB_DEFAULTS, id, tasks: 3 }, null);
  await advanceUntil(simulation, () => lost > 0);
  // All nodes read the written state, and none returns to the state before.
  const stages = await Promise.all(NODES.map((node) => simulation.until(simulation.queryStage(id, node))));
  expect(stages.every((stage) => (prefix === 'ended/' ? stage === 'done' : stage !== null))).toBe(true);
  await expectCleanEnd(simulation, 90_000);
  expect(simulation.checker.startedTasks).toBe(3);
  expect(
    new Set(simulation.logged.filter(({ msg }) => msg === 'leader elected').map(({ term }) => term)).size,
  ).toBe(1);
});

test('a cancellation whose response is lost is visible on every node immediately', async () => {
  const { simulation, leader, others, ids } = await startBusyCluster();
  const [id = ''] = ids;
  simulation.store.loseNextResponse(puts(`ended/${id}`));
  let lost = false;
  simulation.store.onNextLostResponse(() => (lost = true));
  const confirmed = simulation.cancel(id, NODES[others[0] ?? 0] ?? '');
  await advanceUntil(simulation, () => lost);
  for (const node of NODES) expect(await simulation.until(simulation.queryStage(id, node))).toBe('withdrawn');
  expect(await simulation.until(confirmed)).toBe(true);
  expect(leader).toBeGreaterThanOrEqual(0);
  await expectCleanEnd(simulation);
});

// The lease of a node that has not learned of its election must not expire before the first renewal.
test('a node whose election response is lost keeps its lease and leads', async () => {
  const { simulation } = await startBusyCluster();
  const terms = (): number => simulation.logged.filter(({ msg }) => msg === 'leader elected').length;
  const before = terms();
  simulation.store.loseNextResponse(puts('leader'));
  let lost = false;
  simulation.store.onNextLostResponse(() => (lost = true));
  crashLeader(simulation, 20_000);
  await simulation.clock.runUntil(ALL_RUNNING_AT_MS + 15_000);
  expect(lost).toBe(true);
  expect(terms()).toBe(before + 1);
  expect(simulation.checker.placedTasks()).toBe(9);
  await expectCleanEnd(simulation);
});

// A response counts as lost only after most of the lease; waiting another full interval would let the lease expire.
test('a lease renewal whose response is lost is retried before the next one is due', () => {
  const times = timing(testSettings(0));
  const election = createElection('n-0', 'life', times);
  const round = (effects: readonly ElectionEffect[], kind: string): number => {
    const effect = effects.find((one) => one.kind === kind);
    return effect !== undefined && 'round' in effect ? effect.round : -1;
  };
  const noLeader = { value: null, modRevision: 0, revision: 1 };
  let result = electionStep(election, { kind: 'start' });
  result = electionStep(election, {
    kind: 'leaderRead',
    round: round(result, 'readLeader'),
    leader: noLeader,
  });
  const term = { value: 1, modRevision: 1 };
  result = electionStep(election, {
    kind: 'leaseGranted',
    round: round(result, 'grantLease'),
    lease: 7,
    term,
    now: 0,
  });
  result = electionStep(election, {
    kind: 'campaigned',
    round: round(result, 'campaign'),
    outcome: 'applied',
    revision: 2,
  });
  expect(result).toContainEqual(expect.objectContaining({ kind: 'wait', ms: times.renewIntervalMs }));
  result = electionStep(election, { kind: 'timerFired', round: round(result, 'wait') });
  result = electionStep(election, { kind: 'leaseRenewed', round: round(result, 'renewLease'), alive: null });
  expect(result).toEqual([expect.objectContaining({ kind: 'wait', ms: times.tickMs })]);
  expect(times.storeTimeoutMs + times.tickMs).toBeLessThan(times.leaderLeaseMs);
});

test('a successor leads although the response to the leadership transfer is lost', async () => {
  const { simulation, leader } = await startBusyCluster();
  const namesSuccessor = ({ mutations }: Transaction): boolean =>
    mutations.some(
      (write) => 'put' in write && write.put === 'leader' && 'successor' in (write.value as object),
    );
  simulation.store.loseNextResponse(namesSuccessor);
  let lost = false;
  simulation.store.onNextLostResponse(() => (lost = true));
  // The leader is so slow that it transfers the leadership.
  simulation.slowDown(leader, 900);
  await advanceUntil(simulation, () => lost);
  const lostAt = simulation.clock.now;
  await advanceUntil(simulation, () => simulation.leaders().some((node) => node !== NODES[leader]), 4000);
  simulation.slowDown(leader, 0);
  expect(simulation.clock.now - lostAt).toBeLessThan(4000);
  await expectCleanEnd(simulation);
});

// Every team has reached its quota, cancelled tasks are on a partitioned or paused machine, and the leader changes.
test.each([
  ['partitioned', 1],
  ['partitioned', 3],
  ['paused', 1],
  ['paused', 3],
] as const)(
  'quota use counts cancelled tasks on a %s machine through %d failovers',
  async (fault, crashes) => {
    const limit = 6;
    const simulation = new Simulation(seeded(6), { cpusMax: limit });
    simulation.cloud.capacity = 8;
    const { clock, checker, network, cloud } = simulation;
    const teams = ['crew', 'guests'];
    for (const team of teams) {
      const id = team === 'crew' ? 'req-000001' : 'req-000002';
      simulation.runtimes.set(id, [200_000, 0]);
      void simulation.simulateUser({ ...JOB_DEFAULTS, team, id, tasks: 3 }, null);
    }
    await clock.runUntil(ALL_RUNNING_AT_MS);
    expect(checker.placedTasks()).toBe(6);
    for (const [i, team] of teams.entries())
      void simulation.simulateUser({ ...JOB_DEFAULTS, team, id: `req-00001${i}`, tasks: 3 }, null);
    await clock.runUntil(ALL_RUNNING_AT_MS + 2000);
    const awayMs = 5 * WORKER_LEASE_MS;
    // The machine with all tasks of one team; the other machine has room for as many.
    const [[name, worker] = []] = [...cloud.workers].filter(
      ([, { tasks }]) => [...tasks.values()].filter((one) => one.job === 'req-000001').length === 3,
    );
    expect(cloud.workers.size).toBe(2);
    if (fault === 'paused') worker?.pause(awayMs);
    else for (const node of NODES) network.partition(name ?? '', node, awayMs);
    for (const id of ['req-000001', 'req-000002'])
      expect(await simulation.until(simulation.cancel(id, 'n-1'))).toBe(true);
    const cancelledAt = clock.now;
    for (let i = 0; i < crashes; i += 1) {
      crashLeader(simulation, 4000);
      await clock.runUntil(clock.now + 5000);
    }
    // The quota of the cancelled tasks becomes free, but not before they are proven to be gone.
    await advanceUntil(simulation, () => checker.placedTasks('req-000010') > 0, 2 * CANCEL_TIMEOUT_MS);
    expect(clock.now - cancelledAt).toBeLessThan(CANCEL_TIMEOUT_MS + 5000 * crashes);
    expect(checker.placedTasks('req-000001')).toBe(0);
    await expectCleanEnd(simulation, 200_000);
  },
);

test('repeated requests are idempotent, and impossible or incomplete ones are rejected', async () => {
  const simulation = new Simulation(seeded(5), { cpusMax: 6 });
  const { clock, store } = simulation;
  await clock.runUntil(3000);
  for (let i = 0; i < 6; i += 1) {
    const id = `req-${String(i).padStart(6, '0')}`;
    simulation.runtimes.set(id, [5000, 1000]);
    void simulation.simulateUser({ ...JOB_DEFAULTS, id, tasks: 2 }, i === 0 ? 3000 : null);
  }
  await clock.runUntil(8000);
  let failed = 0;
  const commit = store.commit.bind(store);
  store.commit = (txn) => {
    const outcome = commit(txn);
    if (outcome.kind === 'failed' && txn.mutations.length > 0) failed += 1;
    return outcome;
  };
  simulation.sendInvalidRequests(40_000);
  await expectCleanEnd(simulation, 90_000);
  expect(simulation.invalidRequests).toBeGreaterThan(500);
  expect(failed).toBeLessThanOrEqual(3);
  // Rejected requests leave no records behind.
  expect([...store.keys.keys()].filter((key) => key.includes('req-7'))).toEqual([]);
});

// Jobs are cancelled within a second after a leader change logs one of its steps.
test.each(['leadership transfer started', 'leader elected', 'leader state loaded'])(
  'a cancellation takes effect during a change of leader: around "%s"',
  async (event) => {
    for (const [i, afterMs] of [0, 3, 15, 60, 250, 1000].entries()) {
      const { simulation, leader, others, ids } = await startBusyCluster(3 + i);
      const { clock, checker } = simulation;
      let loggedAt = 0;
      simulation.onNextLog(event, () => (loggedAt = clock.now));
      if (event === 'leadership transfer started') simulation.slowDown(leader, 900);
      else simulation.crash(leader, 3000);
      await advanceUntil(simulation, () => loggedAt > 0);
      await clock.runUntil(loggedAt + afterMs);
      const node = NODES[others[i % 2] ?? 0] ?? '';
      for (const id of ids) void simulation.cancel(id, node);
      await advanceUntil(simulation, () => ids.every((id) => checker.isOver(id)), 8000);
      const confirmedAt = clock.now;
      await advanceUntil(simulation, () => checker.placedTasks() === 0, CANCEL_TIMEOUT_MS);
      // The current leader's answers to heartbeats stop the tasks; they do not run until their leases expire.
      expect(clock.now - confirmedAt).toBeLessThan(0.9 * WORKER_LEASE_MS);
      simulation.slowDown(leader, 0);
      await expectCleanEnd(simulation, 30_000);
    }
  },
);

test.each([
  ['without other faults', 0],
  ['with a store outage among them', 8000],
])('ten failovers in two minutes, %s, lose no job and run no task twice', async (_, outageMs) => {
  const { simulation, ids } = await startBusyCluster(3, { runs: [150_000, 1000] });
  const { clock, checker, store } = simulation;
  const started = checker.startedTasks;
  let leaderLoads = 0;
  for (let i = 0; i < 10; i += 1) {
    if (i === 5 && outageMs > 0) store.outage(outageMs);
    const before = simulation.logged.length;
    crashLeader(simulation, 3000);
    await clock.runUntil(clock.now + 11_000);
    leaderLoads += simulation.logged.slice(before).filter(({ msg }) => msg === 'leader state loaded').length;
    for (const id of ids) expect(await simulation.until(simulation.queryStage(id))).toBe('running');
  }
  expect(leaderLoads).toBeGreaterThanOrEqual(10);
  await expectCleanEnd(simulation, 200_000);
  expect(checker.startedTasks).toBe(started);
});

test('jobs cancelled during a partition of a zone with workers and a controller stop within the cancel timeout', async () => {
  const { simulation, ids } = await startBusyCluster(7, { jobs: 6, runs: [90_000, 5000], machines: 8 });
  const { clock, checker, cloud } = simulation;
  const workersInB = [...cloud.workers.values()].filter(({ listed }) => listed.zone === 'b');
  const tasksInB = (): number => workersInB.reduce((sum, { tasks }) => sum + tasks.size, 0);
  expect(tasksInB()).toBeGreaterThan(0);
  const partitionMs = 2.5 * WORKER_LEASE_MS;
  partitionZones(simulation, partitionMs);
  for (const name of ['n-1', ...workersInB.map(({ listed }) => listed.name)])
    for (const host of ['state', 'cloud']) simulation.network.partition(name, host, partitionMs);
  await clock.runUntil(ALL_RUNNING_AT_MS + 4000);
  for (const id of ids.slice(0, 3)) expect(await simulation.until(simulation.cancel(id, 'n-0'))).toBe(true);
  expect(tasksInB()).toBeGreaterThan(0);
  await clock.runUntil(ALL_RUNNING_AT_MS + 4000 + CANCEL_TIMEOUT_MS);
  expect(ids.slice(0, 3).map((id) => checker.placedTasks(id))).toEqual([0, 0, 0]);
  await expectCleanEnd(simulation);
});

// New machines boot within two seconds and get tasks immediately, writes are delayed, and the leader crashes.
test.each([11, 12, 13, 14])(
  'machines that boot before they are listed survive delayed writes and a leader crash (%d)',
  async (seed) => {
    const simulation = new Simulation(seeded(seed));
    const { clock, checker, cloud, store } = simulation;
    cloud.capacity = 12;
    cloud.bootQuickly(60_000);
    const ids = ['req-000001', 'req-000002', 'req-000003', 'req-000004'];
    const places = [{ zone: 'b' }, { spread: true }, { oneZone: true }, { spot: false }];
    await clock.runUntil(3000);
    for (const [i, id] of ids.entries()) {
      simulation.runtimes.set(id, [30_000, 1000]);
      void simulation.simulateUser({ ...JOB_DEFAULTS, cpus: 4, ...places[i], id, tasks: 4 }, null);
    }
    let chunkWrittenAt = 0;
    store.onNextWrite('run/', () => (chunkWrittenAt = clock.now));
    await advanceUntil(simulation, () => chunkWrittenAt > 0);
    store.delayTransactions(0.5, 6000);
    await advanceUntil(simulation, () => checker.placedTasks() > 0);
    const listed = new Set(cloud.list().map(({ name }) => name));
    expect([...cloud.workers.keys()].some((name) => !listed.has(name))).toBe(true);
    crashLeader(simulation, 500);
    await clock.runUntil(clock.now + 3000);
    crashLeader(simulation, 500);
    await expectCleanEnd(simulation, 200_000);
  },
);

// Duplicates of earlier heartbeats reach the controllers shortly after a new leader has been elected.
test('stale heartbeats that reach every controller after an election release, end or place no task', async () => {
  // Duplicates are kept of all heartbeats, also of those sent before the machines had tasks.
  const { simulation } = await startBusyCluster(3, { runs: [90_000, 1000], copies: 60_000 });
  const { clock, checker } = simulation;
  const started = checker.startedTasks;
  for (let i = 0; i < 3; i += 1) {
    await clock.runUntil(clock.now + 1500);
    crashLeader(simulation, 5000);
    await clock.runUntil(clock.now + 4500);
  }
  expect(simulation.duplicatesDelivered).toBeGreaterThan(20);
  expect(checker.placedTasks()).toBe(9);
  await expectCleanEnd(simulation, 150_000);
  expect(checker.startedTasks).toBe(started);
});

test('stale heartbeats of an earlier agent epoch do not mask the current one, and its tasks run again', async () => {
  const { simulation } = await startBusyCluster(3, { runs: [40_000, 1000] });
  const { clock, checker } = simulation;
  simulation.keepDuplicates(1, 4000);
  await clock.runUntil(ALL_RUNNING_AT_MS + 4000);
  // All controllers are down for longer than a lease; once restarted, they receive heartbeats sent before.
  for (const node of [0, 1, 2]) simulation.crash(node, 1.4 * WORKER_LEASE_MS);
  await clock.runUntil(ALL_RUNNING_AT_MS + 4000 + 1.3 * WORKER_LEASE_MS);
  expect(checker.placedTasks()).toBe(0);
  await advanceUntil(simulation, () => simulation.duplicatesDelivered > 0);
  await advanceUntil(simulation, () => checker.placedTasks() === 9, WORKER_LEASE_MS);
  await expectCleanEnd(simulation, 150_000);
});

test('four single-task jobs a second, a quarter cancelled, cost five mutations each without a backlog', async () => {
  const simulation = new Simulation(seeded(9));
  const { clock, store, checker, cloud } = simulation;
  cloud.capacity = 8;
  store.limits = { rps: 250, write_rps: 40, value_kb: 32, txn_ops: 32 };
  let mutationCount = 0;
  const commit = store.commit.bind(store);
  store.commit = (txn) => {
    const outcome = commit(txn);
    if (outcome.kind === 'applied' && !puts('memory/')(txn)) mutationCount += txn.mutations.length;
    return outcome;
  };
  await clock.runUntil(10_000);
  mutationCount = 0;
  const jobs = 240;
  const acceptDelaysMs: number[] = [];
  for (let i = 0; i < jobs; i += 1) {
    const id = `req-${String(i).padStart(6, '0')}`;
    simulation.runtimes.set(id, [3000, 0]);
    const sentAt = clock.now + 250 * i;
    clock.at(sentAt, () => {
      void simulation.simulateUser(
        { ...JOB_DEFAULTS, cpus: 1, id, tasks: 1 },
        i % 4 === 0 ? 500 + 10 * i : null,
      );
      void (async () => {
        while (!simulation.accepted.has(id)) await clock.sleep(10);
        acceptDelaysMs.push(clock.now - sentAt);
      })();
    });
  }
  await clock.runUntil(10_000 + 250 * jobs + 60_000);
  expect(checker.violations).toEqual([]);
  expect(checker.unfinishedJobs()).toEqual([]);
  expect(acceptDelaysMs.length).toBe(jobs);
  expect(Math.max(...acceptDelaysMs)).toBeLessThan(1500);
  expect(mutationCount / jobs).toBeLessThanOrEqual(5.2);
  // Only the records of the jobs' ends remain.
  expect([...store.keys.keys()].filter((key) => /^(job|run)\//.test(key))).toEqual([]);
});

// Otherwise, a task would start although another controller has confirmed the cancellation of its job.
test('a leader whose view is stale does not start tasks claimed earlier', () => {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-1', 1, 4, 50));
  harness.isViewConfirmed = false;
  harness.now += harness.state.config.timing.leaderLeaseMs + 1;
  const staleViewEffects = harness.deliverHeartbeat(heartbeatOf('m', 2));
  expect(staleViewEffects.some((effect) => effect.kind === 'reply' && effect.body.kind === 'commands')).toBe(
    true,
  );
  expect(CoreHarness.startedTasks(staleViewEffects)).toEqual([]);
  harness.isViewConfirmed = true;
  harness.now += 1000;
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 3)))).toEqual(['req-1/0#1']);
});

// An answer to a direct call does not renew the worker's lease, whose expiry stops the machine's tasks.
test('a machine that reaches no controller and whose lease has expired is terminated although it answers direct calls', () => {
  const harness = new CoreHarness();
  const { silenceTimeoutMs, tickMs, workerLeaseMs } = harness.state.config.timing;
  for (const name of ['n', 'o', 'p']) harness.deliverHeartbeat(heartbeatOf(name, 1));
  harness.takeOver(job('req-1', 1, 4, 50), {
    0: { attempt: 1, machine: 'm', agentEpoch: 1, createdAt: harness.now },
  });
  const listed = {
    name: 'm',
    address: '',
    type: 'eight',
    zone: 'a',
    spot: true,
    stage: 'running',
    ageS: 9,
  } as const;
  harness.stepAndCommit({ kind: 'machinesListed', requestedAt: harness.now, machines: [listed] });
  const since = harness.now;
  let terminatedAt = 0;
  for (
    let seq = 2;
    harness.now < since + 2 * workerLeaseMs + 3 * silenceTimeoutMs && terminatedAt === 0;
    seq += 1
  ) {
    harness.now += tickMs * 4;
    for (const name of ['n', 'o', 'p']) harness.deliverHeartbeat(heartbeatOf(name, seq));
    const epoch = harness.now - since > workerLeaseMs ? 2 : 1;
    const tasks = epoch === 1 ? [task('req-1/0', 1, 'running')] : [];
    harness.stepAndCommit({
      kind: 'directAnswer',
      heartbeat: heartbeatOf('m', seq, tasks, { agentEpoch: epoch }),
    });
    const isTerminated = harness
      .stepAndCommit({ kind: 'tick' })
      .some((effect) => effect.kind === 'terminate' && effect.machines.includes('m'));
    if (isTerminated) terminatedAt = harness.now;
  }
  // Until its lease expires, another controller may be in contact with it; it is terminated soon after that.
  expect(terminatedAt - since).toBeGreaterThan(workerLeaseMs);
  expect(terminatedAt - since).toBeLessThan(workerLeaseMs + 1.5 * silenceTimeoutMs);
});

// Repeated failovers must not extend the wait without bound.
test('a machine that has not reported to the leader is terminated sooner if it holds cancelled tasks', () => {
  const { shortSilenceTimeoutMs, tickMs } = new CoreHarness().state.config.timing;
  const terminationDelayMs = (cancelled: boolean): number => {
    const harness = new CoreHarness();
    harness.takeOver(job('req-1', 1, 4, 50), {
      0: { attempt: 1, machine: 'm', agentEpoch: 1, createdAt: harness.now },
    });
    for (const name of ['n', 'o', 'p']) harness.deliverHeartbeat(heartbeatOf(name, 1));
    if (cancelled) harness.stepAndCommit({ kind: 'jobRemoved', id: 'req-1' });
    const since = harness.now;
    for (let seq = 2; harness.now < since + 60_000; seq += 1) {
      harness.now += tickMs;
      for (const name of ['n', 'o', 'p']) harness.deliverHeartbeat(heartbeatOf(name, seq));
      const effects = harness.stepAndCommit({ kind: 'tick' });
      if (effects.some((effect) => effect.kind === 'terminate' && effect.machines.includes('m')))
        return harness.now - since;
    }
    return Infinity;
  };
  expect(terminationDelayMs(true)).toBeLessThan(shortSilenceTimeoutMs + 4 * tickMs);
  expect(terminationDelayMs(false)).toBeGreaterThan(shortSilenceTimeoutMs + 4 * tickMs);
});
