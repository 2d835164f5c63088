/** Two or three faults at the same time: named combinations and randomly drawn ones. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import type { Effect } from '../src/core/effects.js';
import { CoreHarness, job, heartbeatOf, task, TERM } from './emulators/core-harness.js';
import {
  startBusyCluster,
  CANCEL_TIMEOUT_MS,
  DEPUTY_SEED,
  expectCleanEnd,
  ALL_RUNNING_AT_MS,
  WORKER_LEASE_MS,
  partitionMachinesFromAllBut,
} from './emulators/busy-cluster.js';
import { drawConcurrentFaults, MAX_ADDITIONAL_RUNTIME_MS, partitionZones } from './emulators/faults.js';
import { NODES, seeded, TIGHT_LIMITS, Simulation } from './emulators/simulation.js';

// The store refuses the leader while another controller confirms a cancellation, and is then down for all nodes: the
// leader cannot learn of the cancellation.
test.each([
  ['one follower', 0, 'none'],
  ['the other follower', 1, 'none'],
  ['one follower, machines reach only the leader', 0, 'leaderOnly'],
  ['one follower, the leader restarts within a second', 1, 'leaderRestarts'],
  ['one follower, the store also refuses the follower in the other zone', 0, 'deputyRefused'],
])('cancelled tasks stop in a store outage: cancellation confirmed by %s', async (_, follower, variant) => {
  // The deputy must be the only controller in its zone, so this variant needs a seed with another leader.
  const { simulation, leader, others, ids } = await startBusyCluster(
    variant === 'deputyRefused' ? DEPUTY_SEED : 3,
  );
  const { clock, store, checker } = simulation;
  const trace: string[] = [];
  const record = (line: string): number =>
    trace.push(`${((clock.now - ALL_RUNNING_AT_MS) / 1000).toFixed(1)} s  ${line}`);
  const outage = 2 * CANCEL_TIMEOUT_MS;
  const refusedLeader = NODES[leader] ?? '';
  const confirmingNode = NODES[variant === 'deputyRefused' ? 2 : (others[follower] ?? 0)] ?? '';
  if (variant === 'deputyRefused') {
    expect(refusedLeader).toBe('n-0');
    partitionZones(simulation, 2 * outage);
    await clock.runUntil(clock.now + 8000);
    store.refuse('n-1', outage);
  }
  store.refuse(refusedLeader, outage);
  record(`the state service refuses ${refusedLeader}, which leads`);
  if (variant === 'leaderOnly') partitionMachinesFromAllBut(simulation, refusedLeader, outage);
  await clock.runUntil(clock.now + 100);
  const [kept = '', ...cancelled] = ids;
  for (const id of cancelled)
    expect(await simulation.until(simulation.cancel(id, confirmingNode))).toBe(true);
  record(`${confirmingNode} has confirmed that ${cancelled.join(' and ')} are cancelled`);
  const confirmedAt = clock.now;
  store.outage(outage);
  record('the state service is down for all');
  const runningCancelledTasks = (): number => cancelled.reduce((sum, id) => sum + checker.placedTasks(id), 0);
  // The test shows nothing unless all six cancelled tasks still run when the outage begins.
  expect(runningCancelledTasks()).toBe(6);
  if (variant === 'leaderRestarts') clock.in(4000, () => simulation.crash(leader, 700));
  let previous = -1;
  for (let at = 0; at < CANCEL_TIMEOUT_MS; at += 500) {
    await clock.runUntil(confirmedAt + at);
    if (runningCancelledTasks() !== previous)
      record(
        `${runningCancelledTasks()} of their tasks are on machines, ${checker.placedTasks(kept)} of another job`,
      );
    previous = runningCancelledTasks();
    // Heartbeats are answered for as long as is safe, so that a short outage costs no running tasks.
    if (at === WORKER_LEASE_MS && variant === 'none') expect(runningCancelledTasks()).toBeGreaterThan(0);
  }
  expect(runningCancelledTasks()).toBe(0);
  if (follower === 0 && variant === 'none')
    await expect(`${trace.join('\n')}\n`).toMatchFileSnapshot('traces/store-outage-cancellations.txt');
  await expectCleanEnd(simulation, 400_000);
});

test('a cancellation learned while a write of its job is reconciled stops its tasks immediately', () => {
  const harness = new CoreHarness();
  const commitOf = (effects: readonly Effect[]): number =>
    effects.flatMap((effect) => (effect.kind === 'commit' ? [effect.id] : []))[0] ?? 0;
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-1', 2, 4, 50));
  const running = [task('req-1/0', 1, 'running'), task('req-1/1', 1, 'running')] as const;
  harness.deliverHeartbeat(heartbeatOf('m', 2));
  harness.deliverHeartbeat(heartbeatOf('m', 3, running));
  // One of two tasks has ended; the write of its end gets no response, nor does the read that reconciles it.
  const ended = [task('req-1/0', 1, 'exited', 'done'), running[1]] as const;
  harness.deliverHeartbeat(heartbeatOf('m', 4, ended));
  harness.now += harness.state.config.timing.exitBatchDelayMs;
  const id = commitOf(harness.step({ kind: 'tick' }));
  harness.step({ kind: 'committed', id, outcome: { kind: 'unknown' } });
  harness.step({ kind: 'reconciled', id, found: null });
  // The watch responds: the job was cancelled by its user, and the view is confirmed again.
  harness.step({ kind: 'jobRemoved', id: 'req-1' }, { kind: 'viewConfirmed', sentAt: harness.now });
  const effects = harness.step({ kind: 'heartbeat', reply: 70, heartbeat: heartbeatOf('m', 5, ended) });
  expect(effects).toContainEqual(
    expect.objectContaining({
      body: expect.objectContaining({
        commands: expect.arrayContaining([
          { op: 'stop', job: 'req-1', task: 1, attempt: 1, graceS: 0 },
        ]) as unknown,
      }) as unknown,
    }),
  );
});

// Machines whose leases expired in an outage are alive: they must not be terminated when the store recovers.
test('machines that kept sending heartbeats through a store outage are not silent at its end', () => {
  const harness = new CoreHarness();
  const { workerLeaseMs, tickMs } = harness.state.config.timing;
  const names = ['m', 'n', 'o', 'p'];
  const sendHeartbeats = (seq: number, session: number): Effect[] =>
    names.flatMap((name) => harness.deliverHeartbeat(heartbeatOf(name, seq, [], { agentEpoch: session })));
  sendHeartbeats(1, 1);
  harness.addJob(job('req-1', 4, 8, 90));
  sendHeartbeats(2, 1);
  const authorityEnd = harness.state.leadership?.authorityUntil ?? 0;
  harness.isViewConfirmed = false;
  for (let seq = 3; harness.now < authorityEnd + 2 * workerLeaseMs; seq += 1) {
    harness.now += 3000;
    const session = harness.now > authorityEnd + workerLeaseMs ? 2 : 1;
    const effects = names.flatMap((name, i) => {
      const running = session === 1 ? [task(`req-1/${i}`, 1, 'running')] : [];
      return harness.deliverHeartbeat(heartbeatOf(name, seq, running, { agentEpoch: session }));
    });
    const answered = effects.some((effect) => effect.kind === 'reply' && effect.body.kind === 'commands');
    expect(answered).toBe(harness.now < authorityEnd);
    // No machine is terminated during the outage either.
    expect(harness.stepAndCommit({ kind: 'tick' }).some(({ kind }) => kind === 'terminate')).toBe(false);
  }
  harness.isViewConfirmed = true;
  harness.now += tickMs;
  harness.stepAndCommit({ kind: 'viewConfirmed', sentAt: harness.now });
  // The first machine sends a heartbeat immediately, the others a second later.
  harness.deliverHeartbeat(heartbeatOf('m', 90, [], { agentEpoch: 2 }));
  expect(harness.stepAndCommit({ kind: 'tick' }).some(({ kind }) => kind === 'terminate')).toBe(false);
  harness.now += 1000;
  const restarted = names.flatMap((name) =>
    CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf(name, 99, [], { agentEpoch: 2 }))),
  );
  expect(restarted.sort()).toEqual([0, 1, 2, 3].map((i) => `req-1/${i}#2`));
});

// 1. A transaction without a response is applied late, after newer ones.
test('delayed transactions: a cancellation applied after the job was reported done changes nothing', async () => {
  const { simulation, others, ids } = await startBusyCluster(3, { jobs: 1, runs: [24_000, 0] });
  const [id = ''] = ids;
  const at = NODES[others[0] ?? 0] ?? '';
  await simulation.clock.runUntil(ALL_RUNNING_AT_MS + 2000);
  simulation.store.delayNextTransaction(
    ({ mutations }) => mutations.some((write) => 'put' in write && write.put === `ended/${id}`),
    20_000,
  );
  expect(await simulation.until(simulation.cancel(id, at))).toBe(false);
  await simulation.clock.runUntil(ALL_RUNNING_AT_MS + 18_000);
  for (const node of NODES) expect(await simulation.until(simulation.queryStage(id, node))).toBe('done');
  await simulation.clock.runUntil(ALL_RUNNING_AT_MS + 30_000);
  // No controller may answer from its memory: all of them restart.
  for (const node of [0, 1, 2]) simulation.crash(node, 500);
  await simulation.clock.runUntil(ALL_RUNNING_AT_MS + 45_000);
  for (const node of NODES) expect(await simulation.until(simulation.queryStage(id, node))).toBe('done');
  await expectCleanEnd(simulation);
});

test('delayed transactions: claims applied after newer ones of the same chunk survive a failover', async () => {
  const simulation = new Simulation(seeded(4), { keepLog: true });
  const id = 'req-000000';
  // Each task fills a machine, and the machines boot one after another.
  const placement = {
    team: 'crew',
    cpus: 8,
    memoryGb: 1,
    spot: true,
    zone: null,
    oneZone: false,
    spread: false,
  };
  simulation.cloud.capacity = 4;
  simulation.runtimes.set(id, [90_000, 0]);
  const claims: number[] = [];
  const commit = simulation.store.commit.bind(simulation.store);
  simulation.store.commit = (txn) => {
    const outcome = commit(txn);
    if (
      outcome.kind === 'applied' &&
      txn.mutations.some((write) => 'put' in write && write.put.startsWith('run/'))
    )
      claims.push(simulation.clock.now);
    return outcome;
  };
  const delayMs = 9000;
  let sentAt = Infinity;
  simulation.store.delayNextTransaction(({ mutations }) => {
    const isClaim = mutations.some((write) => 'put' in write && write.put.startsWith('run/'));
    if (isClaim) sentAt = simulation.clock.now;
    return isClaim;
  }, delayMs);
  void simulation.simulateUser({ ...placement, id, tasks: 4 }, null);
  while (sentAt === Infinity) await simulation.clock.runUntil(simulation.clock.now + 100);
  await simulation.clock.runUntil(sentAt + delayMs - 100);
  // Newer claims of the same chunk have been written, and their tasks have been started.
  expect(claims.length).toBeGreaterThan(0);
  expect(simulation.checker.placedTasks(id)).toBe(4);
  await simulation.clock.runUntil(sentAt + delayMs + 50);
  simulation.crash(NODES.indexOf(simulation.leaders()[0] ?? ''), 3000);
  await expectCleanEnd(simulation, 300_000);
  expect(simulation.checker.startedTasks).toBe(4);
});

// 2. Jobs of two or three tasks end far apart across a change of leader.
test('task ends seen by different leaders make a job done exactly once, neither early nor lost', async () => {
  const { simulation, ids } = await startBusyCluster(3, { jobs: 2, runs: [22_000, 14_000] });
  const { clock, checker } = simulation;
  const started = checker.startedTasks;
  // The first tasks end; their leader crashes before it has written that, and so does the next one.
  for (let i = 0; i < 2; i += 1) {
    const before = checker.placedTasks();
    while (checker.placedTasks() === before) await clock.runUntil(clock.now + 50);
    // Long enough for the leader to receive the heartbeat, too short for it to commit the end.
    await clock.runUntil(clock.now + 1300);
    for (const id of ids)
      if (checker.placedTasks(id) > 0)
        expect(await simulation.until(simulation.queryStage(id))).not.toBe('done');
    simulation.crash(NODES.indexOf(simulation.leaders()[0] ?? ''), 5000);
    await clock.runUntil(clock.now + 4000);
  }
  await expectCleanEnd(simulation);
  expect(checker.startedTasks).toBe(started);
});

// 3. A stale heartbeat arrives after newer ones.
test('stale heartbeats: a new leader does not take the end of an earlier attempt for the current one', () => {
  const harness = new CoreHarness();
  const claims = { 0: { attempt: 2, machine: 'm', agentEpoch: 3, createdAt: harness.now } };
  harness.takeOver(job('req-1', 1, 4, 50), claims);
  harness.now += 3000;
  harness.deliverHeartbeat(heartbeatOf('n', 1));
  const claim = (): unknown => [...(harness.state.jobs.get('req-1')?.claims.values() ?? [])];
  const held = [expect.objectContaining({ machine: 'm', attempt: 2 })];
  // Heartbeats of an earlier attempt, an earlier session, out of order, and with the token of the previous leader.
  const sendStale = (seq: number, session: number, exit: 'stopped' | 'error'): Effect[] =>
    harness.deliverHeartbeat(
      heartbeatOf('m', seq, [task('req-1/0', 1, 'exited', exit)], { agentEpoch: session, token: TERM - 1 }),
    );
  sendStale(40, 3, 'stopped');
  expect(claim()).toEqual(held);
  sendStale(90, 2, 'error');
  sendStale(12, 3, 'error');
  harness.deliverHeartbeat(heartbeatOf('m', 30, [], { agentEpoch: 3, token: TERM - 1 }));
  expect(claim()).toEqual(held);
  expect(harness.state.machines.get('m')).toMatchObject({ agentEpoch: 3, heartbeatSequence: 40 });
});

// 4. A leader is partitioned from the store and its peers; workers and users still reach it.
test('a leader partitioned with its workers and users: cancelled tasks stop in time, no stale read', async () => {
  const { simulation, leader, others, ids } = await startBusyCluster();
  const { clock, checker } = simulation;
  const isolated = NODES[leader] ?? '';
  const partitionMs = 70_000;
  for (const host of [...others.map((node) => NODES[node] ?? ''), 'state', 'cloud'])
    simulation.network.partition(isolated, host, partitionMs);
  partitionMachinesFromAllBut(simulation, isolated, partitionMs);
  await clock.runUntil(ALL_RUNNING_AT_MS + 6000);
  const [next = ''] = simulation.leaders().filter((node) => node !== isolated);
  expect(next).not.toBe('');
  for (const id of ids) expect(await simulation.until(simulation.cancel(id, next))).toBe(true);
  expect(checker.placedTasks()).toBe(9);
  const from = clock.now;
  const answers: (string | null)[] = [];
  while (clock.now < from + CANCEL_TIMEOUT_MS) {
    await clock.runUntil(clock.now + 1000);
    for (const id of ids) answers.push(await simulation.until(simulation.queryStage(id, isolated)));
  }
  expect(answers.filter((stage) => stage !== null)).toEqual([]);
  expect(simulation.ready()[leader]).toBe(false);
  expect(checker.placedTasks()).toBe(0);
  await expectCleanEnd(simulation);
});

// 5. A machine is paused for seconds, so that commands and responses are delayed, and then resumes.
test.each([
  ['within its lease', 0.7 * WORKER_LEASE_MS],
  ['across its lease', 1.2 * WORKER_LEASE_MS],
])('a machine paused %s during a leader crash runs nothing twice', async (_, pauseMs) => {
  const { simulation, leader } = await startBusyCluster();
  const { clock, cloud, checker } = simulation;
  const [name = ''] = cloud.workers.keys();
  const worker = cloud.workers.get(name);
  worker?.pause(pauseMs);
  const attempts = new Map(
    [...(worker?.tasks.values() ?? [])].map(({ job: id, task: n, take }) => [`${id}/${n}`, take]),
  );
  expect(attempts.size).toBeGreaterThan(0);
  await clock.runUntil(ALL_RUNNING_AT_MS + 1000);
  simulation.crash(leader, 20_000);
  await clock.runUntil(ALL_RUNNING_AT_MS + pauseMs + 1000);
  const tasksAfterPause = [...(cloud.workers.get(name)?.tasks.values() ?? [])];
  // A machine that resumes within its lease continues its tasks, and none of them is started again elsewhere.
  if (pauseMs < WORKER_LEASE_MS && cloud.workers.has(name))
    expect(tasksAfterPause.length).toBe(attempts.size);
  for (const { job: id, task: n, take } of tasksAfterPause)
    expect(take).toBeGreaterThanOrEqual(attempts.get(`${id}/${n}`) ?? 1);
  await expectCleanEnd(simulation);
  expect(checker.placedTasks()).toBe(0);
});

// 6. Leaders crash while machines with long tasks are unreachable. Whether a worker finds a controller within its lease
// after such a partition depends on the times of its retries; the service itself must not cause further losses.
test.each([3, 4, 5, 6, 7, 8])(
  'claims of unreachable machines survive three failovers, and no task is restarted needlessly (%d)',
  async (seed) => {
    const { simulation } = await startBusyCluster(seed);
    const { clock, cloud, checker } = simulation;
    const started = checker.startedTasks;
    const partitionMs = 0.85 * WORKER_LEASE_MS;
    for (const name of cloud.workers.keys())
      for (const node of NODES) simulation.network.partition(name, node, partitionMs);
    for (let i = 0; i < 3; i += 1) {
      await clock.runUntil(clock.now + 2200);
      simulation.crash(NODES.indexOf(simulation.leaders()[0] ?? ''), 4000);
    }
    await clock.runUntil(ALL_RUNNING_AT_MS + partitionMs);
    expect(checker.placedTasks()).toBe(9);
    await expectCleanEnd(simulation);
    expect(checker.startedTasks).toBe(started + checker.expiredTasks);
    expect(
      simulation.logged.filter(({ msg, tasks }) => msg === 'machine terminated' && Number(tasks) > 0),
    ).toEqual([]);
  },
);

// 7. The store answers slowly, or refuses the leader and then every node, while users cancel and read.
test('a slow store and cancellations of unknown outcome cause no stale read, and answers resume', async () => {
  const { simulation, ids } = await startBusyCluster();
  const { clock, store } = simulation;
  store.slow(3500, 25_000);
  const until = ALL_RUNNING_AT_MS + 25_000;
  while (clock.now < until) {
    for (const id of ids.slice(1)) void simulation.cancel(id, NODES[Math.floor(3 * simulation.draw())] ?? '');
    for (const id of ids) for (const node of NODES) void simulation.queryStage(id, node);
    await clock.runUntil(clock.now + 1500);
  }
  await clock.runUntil(until + 10_000);
  for (const node of NODES) {
    expect(await simulation.until(simulation.queryStage(ids[0] ?? '', node))).toBe('running');
    for (const id of ids.slice(1))
      expect(await simulation.until(simulation.queryStage(id, node))).toBe('withdrawn');
  }
  await expectCleanEnd(simulation);
});

// 8. All controllers crash and one restarts, in some cases within a second.
test.each([100, 900, 5000])(
  'after a crash of all nodes, one that restarts alone after %d ms serves; tasks continue',
  async (restartMs) => {
    const { simulation, ids } = await startBusyCluster();
    const { clock, checker } = simulation;
    const started = checker.startedTasks;
    for (const node of [0, 1, 2]) simulation.crash(node, node === 1 ? restartMs : 40_000);
    await clock.runUntil(ALL_RUNNING_AT_MS + restartMs + 6000);
    expect(simulation.leaders()).toEqual(['n-1']);
    expect(simulation.ready()[1]).toBe(true);
    for (const id of ids) expect(await simulation.until(simulation.queryStage(id, 'n-1'))).toBe('running');
    expect(checker.placedTasks()).toBe(9);
    await expectCleanEnd(simulation);
    expect(checker.startedTasks).toBe(started);
  },
);

/** By then all faults of a run are over, in milliseconds. */
const FAULTS_END_MS = 240_000;
/** By then every accepted job has ended, in milliseconds. */
const END_MS = FAULTS_END_MS + 3 * MAX_ADDITIONAL_RUNTIME_MS;

async function simulateConcurrentFaults(
  seed: number,
  combinations: number,
): Promise<{ simulation: Simulation; injected: string[] }> {
  const cpusMax = seed % 2 === 0 ? 0 : 12;
  // A third of the runs have tight limits on values and transactions from the start.
  const simulation = new Simulation(seeded(seed), {
    duplicatesHeartbeats: true,
    cpusMax,
    ...(seed % 3 === 0 ? { limits: TIGHT_LIMITS } : {}),
  });
  const injected: string[] = [];
  drawConcurrentFaults(simulation, combinations, (name) =>
    injected.push(`${(simulation.clock.now / 1000).toFixed(1)} ${name}`),
  );
  simulation.clock.in(FAULTS_END_MS, () => simulation.checkWaiting());
  await simulation.clock.runUntil(END_MS);
  simulation.checker.checkUnanswered(FAULTS_END_MS, END_MS);
  return { simulation, injected };
}

test('under two or three concurrent faults no rule is violated and every accepted job ends', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.integer({ min: 1, max: 3 }),
      async (seed, combinations) => {
        const { simulation, injected } = await simulateConcurrentFaults(seed, combinations);
        expect({ injected, broken: simulation.checker.violations }).toEqual({ injected, broken: [] });
        expect({ injected, unfinished: simulation.checker.unfinishedJobs() }).toEqual({
          injected,
          unfinished: [],
        });
        expect({ injected, underserved: simulation.checker.underserved() }).toEqual({
          injected,
          underserved: [],
        });
      },
    ),
    {
      seed: Number(process.env['SEED'] ?? 11),
      numRuns: Number(process.env['DAYS'] ?? 20),
      endOnFailure: true,
    },
  );
}, 3_600_000);
