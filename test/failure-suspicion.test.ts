/** Faults between controllers: suspicion, failover, and how soon tasks start again. Traces are in test/traces/. */
import { expect, test } from 'vitest';
import { timing } from '../src/config/settings.js';
import { seeded, testSettings, Simulation, type LogLine } from './emulators/simulation.js';

const TIMES = timing(testSettings(0));
const FROM = 20_000;

/** Starts a service with a stream of small jobs, so that tasks start many times a second. */
async function startBusyService(seed = 5): Promise<{ simulation: Simulation; leader: number }> {
  const simulation = new Simulation(seeded(seed), { keepLog: true });
  simulation.cloud.capacity = 40;
  const jobSpec = { team: 'crew', tasks: 8, cpus: 2, memoryGb: 1, spot: true };
  for (let i = 0; i < 220; i += 1) {
    const id = `req-${String(i).padStart(6, '0')}`;
    simulation.clock.in(2000 + 300 * i, () => {
      void simulation.simulateUser({ ...jobSpec, id, zone: null, oneZone: false, spread: false }, null);
    });
  }
  await simulation.clock.runUntil(FROM);
  const [leader] = simulation.leaders();
  expect(simulation.leaders()).toHaveLength(1);
  return { simulation, leader: Number(leader?.slice(2)) };
}

const others = (leader: number): number[] => [0, 1, 2].filter((node) => node !== leader);

/** Runs the simulation until `to`; returns the longest time (ms) without the start of a task since `from`. */
async function longestPause(simulation: Simulation, from: number, to: number): Promise<number> {
  let longest = 0;
  let last = from;
  let started = simulation.checker.startedTasks;
  while (simulation.clock.now < to) {
    await simulation.clock.runUntil(simulation.clock.now + 100);
    if (simulation.checker.startedTasks > started) last = simulation.clock.now;
    started = simulation.checker.startedTasks;
    longest = Math.max(longest, simulation.clock.now - last);
  }
  return longest;
}

const TRACED_EVENTS = new Set([
  'peer suspected',
  'peer failed',
  'peer trusted',
  'worker contact degraded',
  'leadership transfer started',
  'leader failure detected',
  'leader elected',
  'leader state loaded',
  'leader stepped down',
]);

function traceLine({ at, node, msg, ...fields }: LogLine): string {
  const { peer, evidence, to, why, reason, term, leader, jobs } = fields;
  const details = [
    peer,
    evidence,
    to,
    why,
    reason,
    leader,
    term === undefined ? undefined : `term ${String(term)}`,
  ];
  const rest = details.filter((one) => one !== undefined).map(String);
  const loaded = jobs === undefined || msg !== 'leader state loaded' ? [] : [`${String(jobs)} jobs`];
  return `${((at - FROM) / 1000).toFixed(1).padStart(5)} s  ${node}  ${[msg, ...rest, ...loaded].join(': ')}`;
}

const trace = (simulation: Simulation): string =>
  `${simulation.logged
    .filter(({ at, msg }) => at >= FROM && TRACED_EVENTS.has(msg))
    .map(traceLine)
    .join('\n')}\n`;

async function expectTraceAndRecovery(simulation: Simulation, name: string): Promise<void> {
  await expect(trace(simulation)).toMatchFileSnapshot(`traces/failover-${name}.txt`);
  await simulation.clock.runUntil(FROM + 160_000);
  expect(simulation.checker.violations).toEqual([]);
  expect(simulation.checker.unfinishedJobs()).toEqual([]);
  expect([...simulation.cloud.workers.values()].filter(({ session }) => session > 1)).toEqual([]);
}

const elections = (simulation: Simulation): number =>
  simulation.logged.filter(({ at, msg }) => at >= FROM && msg === 'leader elected').length;
const terminations = (simulation: Simulation): LogLine[] =>
  simulation.logged.filter(
    ({ at, msg, reason }) => at >= FROM && msg === 'machine terminated' && reason !== 'idle',
  );

// The evidence of all peers allows an election before the lease expires.
test('a crashed leader is replaced before its lease expires, and task starts continue', async () => {
  const { simulation, leader } = await startBusyService();
  simulation.crash(leader, 60_000);
  expect(await longestPause(simulation, FROM, FROM + 15_000)).toBeLessThan(
    TIMES.leaderLeaseMs + 2 * TIMES.maxHeartbeatIntervalMs,
  );
  const elected = simulation.logged.find(({ at, msg }) => at > FROM && msg === 'leader elected');
  expect((elected?.at ?? Infinity) - FROM).toBeLessThan(TIMES.leaderLeaseMs);
  expect(simulation.logged.some(({ msg }) => msg === 'leader failure detected')).toBe(true);
  expect(elections(simulation)).toBe(1);
  await expectTraceAndRecovery(simulation, 'crash');
});

// A leader that renews its lease but reaches no worker starts no tasks.
test('a leader without heartbeats transfers leadership to a node that reaches the workers', async () => {
  const { simulation, leader } = await startBusyService();
  for (const name of simulation.cloud.workers.keys())
    simulation.network.partition(`n-${leader}`, name, 40_000);
  expect(await longestPause(simulation, FROM, FROM + 30_000)).toBeLessThan(
    4000 + 1000 + 2 * TIMES.maxHeartbeatIntervalMs,
  );
  expect(simulation.leaders()).not.toEqual([`n-${leader}`]);
  expect([elections(simulation), terminations(simulation)]).toEqual([1, []]);
  await expectTraceAndRecovery(simulation, 'no-workers');
});

// If it were re-elected, it would receive no heartbeats, and the leases of the workers would expire.
test('a node that reaches no machine is not re-elected while another candidate is left', async () => {
  const { simulation, leader } = await startBusyService();
  // No new machines are provisioned: they could reach the partitioned node.
  simulation.cloud.capacity = 0;
  await simulation.clock.runUntil(FROM + 8000);
  for (const name of simulation.cloud.workers.keys())
    simulation.network.partition(`n-${leader}`, name, 30_000);
  await simulation.clock.runUntil(FROM + 13_000);
  const [second] = simulation.leaders();
  expect(second).not.toBe(`n-${leader}`);
  simulation.pause(Number(second?.slice(2)), 3 * TIMES.leaderLeaseMs);
  await longestPause(simulation, simulation.clock.now, FROM + 25_000);
  const elected = simulation.logged
    .filter(({ at, msg }) => at > FROM && msg === 'leader elected')
    .map(({ node }) => node);
  expect(elected).toHaveLength(2);
  expect(elected).not.toContain(`n-${leader}`);
  simulation.cloud.capacity = 40;
  await expectTraceAndRecovery(simulation, 'cut-off-twice');
});

// Without peer links the previous leader does not learn of its successor and keeps answering workers.
test('when peer links are refused, a new leader takes over the workers and terminates none', async () => {
  const { simulation, leader } = await startBusyService();
  simulation.refusePeers(45_000);
  await simulation.clock.runUntil(FROM + 3000);
  simulation.store.refuse(`n-${leader}`, 30_000);
  const pause = await longestPause(simulation, FROM + 3000, FROM + 40_000);
  expect(pause).toBeLessThan(TIMES.leaderLeaseMs + 1000 + 4 * TIMES.maxHeartbeatIntervalMs);
  expect([elections(simulation), terminations(simulation)]).toEqual([1, []]);
  await expectTraceAndRecovery(simulation, 'refused-peers');
});

test('refused peer links alone cause no election, no suspicion and no lost worker', async () => {
  const { simulation, leader } = await startBusyService();
  simulation.refusePeers(30_000);
  expect(await longestPause(simulation, FROM, FROM + 30_000)).toBeLessThan(2 * TIMES.maxHeartbeatIntervalMs);
  expect([simulation.leaders(), elections(simulation), terminations(simulation)]).toEqual([
    [`n-${leader}`],
    0,
    [],
  ]);
  await expectTraceAndRecovery(simulation, 'only-refused');
});

test('a pause of half a lease changes nothing; one of two leases changes the leader once', async () => {
  const short = await startBusyService();
  short.simulation.pause(short.leader, 0.5 * TIMES.leaderLeaseMs);
  await longestPause(short.simulation, FROM, FROM + 10_000);
  expect([short.simulation.leaders(), elections(short.simulation), terminations(short.simulation)]).toEqual([
    [`n-${short.leader}`],
    0,
    [],
  ]);
  const long = await startBusyService();
  long.simulation.pause(long.leader, 2 * TIMES.leaderLeaseMs);
  await longestPause(long.simulation, FROM, FROM + 20_000);
  expect([elections(long.simulation), terminations(long.simulation)]).toEqual([1, []]);
  await expectTraceAndRecovery(long.simulation, 'stall');
});

// A leader that computes more slowly than before can be replaced by a node whose timers fire in time.
test('an overloaded leader transfers leadership exactly once', async () => {
  const { simulation, leader } = await startBusyService();
  simulation.slowDown(leader, 2 * TIMES.tickMs);
  await longestPause(simulation, FROM, FROM + 15_000);
  expect(simulation.leaders()).not.toEqual([`n-${leader}`]);
  simulation.slowDown(leader, 0);
  await longestPause(simulation, simulation.clock.now, FROM + 25_000);
  expect(elections(simulation)).toBe(1);
  await expectTraceAndRecovery(simulation, 'slow');
});

// A node that has failed repeatedly is likely to fail again soon.
test('leadership is not transferred back immediately to a flapping node', async () => {
  const { simulation, leader } = await startBusyService();
  for (const at of [0, 9000, 18_000])
    simulation.clock.in(at, () => simulation.pause(leader, 1.5 * TIMES.leaderLeaseMs));
  await longestPause(simulation, FROM, FROM + 30_000);
  expect(elections(simulation)).toBeLessThanOrEqual(2);
  await expectTraceAndRecovery(simulation, 'flaps');
});

// The store retains a bounded number of changes: a watch from the revision of the record would fail as compacted
// immediately, each time it is repeated.
test('the rate of leader record watches is bounded, whatever the number of revisions', async () => {
  const { simulation } = await startBusyService();
  while (simulation.store.revision < 500) await simulation.clock.runUntil(simulation.clock.now + 1000);
  let watches = 0;
  const watch = simulation.store.watch.bind(simulation.store);
  simulation.store.watch = (...args) => {
    watches += 1;
    watch(...args);
  };
  await simulation.clock.runUntil(simulation.clock.now + 5000);
  expect(watches).toBeLessThan(150);
});

test('when two of three controllers crash at the same time, the third leads and task starts continue', async () => {
  const { simulation, leader } = await startBusyService();
  simulation.crash(leader, 8000);
  simulation.crash(others(leader)[0] as number, 8000);
  const pause = await longestPause(simulation, FROM, FROM + 12_000);
  expect(pause).toBeLessThan(TIMES.leaderLeaseMs + 2 * TIMES.maxHeartbeatIntervalMs + 2000);
  await expectTraceAndRecovery(simulation, 'two-crash');
});

// The partitioned leader cannot commit: no task starts on its workers until it releases them.
test('a leader partitioned with its workers releases them to its successor, which terminates none', async () => {
  const { simulation, leader } = await startBusyService();
  const leaderHost = `n-${leader}`;
  simulation.store.refuse(leaderHost, 30_000);
  for (const host of ['cloud', ...others(leader).map((node) => `n-${node}`)])
    simulation.network.partition(leaderHost, host, 30_000);
  const pause = await longestPause(simulation, FROM, FROM + 25_000);
  expect(pause).toBeLessThan(TIMES.leaderLeaseMs + 1000 + 4 * TIMES.maxHeartbeatIntervalMs);
  expect([elections(simulation), terminations(simulation)]).toEqual([1, []]);
  expect(simulation.leaders()).not.toContain(leaderHost);
  expect(simulation.ready()[leader]).toBe(false);
  await expectTraceAndRecovery(simulation, 'alone');
});

test('a leader that restarts within 100 ms, repeatedly during the election, delays nothing', async () => {
  const { simulation, leader } = await startBusyService();
  for (const at of [0, 150, 400, 900]) simulation.clock.in(at, () => simulation.crash(leader, 60));
  simulation.clock.in(500, () => simulation.crash(others(leader)[0] as number, 60));
  expect(await longestPause(simulation, FROM, FROM + 15_000)).toBeLessThan(
    TIMES.leaderLeaseMs + 3 * TIMES.maxHeartbeatIntervalMs,
  );
  expect(simulation.leaders()).toHaveLength(1);
  expect(terminations(simulation)).toEqual([]);
  await expectTraceAndRecovery(simulation, 'back-at-once');
});
