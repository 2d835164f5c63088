/** Two or three faults at the same time: named combinations and randomly drawn ones. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import type { Effect } from '../src/core/effects.js';
import { CoreHarness, job, report, task, TERM } from './emulators/core-harness.js';
import {
  startBusyCluster,
  CANCEL,
  DEPUTY_SEED,
  expectCleanEnd,
  FROM,
  LEASE,
  reachOnly,
} from './emulators/busy-cluster.js';
import { drawConcurrentFaults, MAX_RUNTIME_MS, partitionZones } from './emulators/faults.js';
import { NODES, seeded, TIGHT, Simulation } from './emulators/simulation.js';

// The leader cannot learn of a cancellation that another controller confirms, and then nobody can tell it.
test.each([
  ['one follower', 0, 'none'],
  ['the other follower', 1, 'none'],
  ['one follower, machines reach only the leader', 0, 'alone'],
  ['one follower, the leader restarts within a second', 1, 'back'],
  ['one follower, the one in the other zone is refused too', 0, 'deputy'],
])('cancelled tasks stop in a store outage: cancellation confirmed by %s', async (_, follower, more) => {
  // The deputy is to stand alone in its zone, so that another seed's leader serves.
  const { world, leader, others, ids } = await startBusyCluster(more === 'deputy' ? DEPUTY_SEED : 3);
  const { clock, state, checker } = world;
  const told: string[] = [];
  const tell = (what: string): number => told.push(`${((clock.now - FROM) / 1000).toFixed(1)} s  ${what}`);
  const outage = 2 * CANCEL;
  const blind = NODES[leader] ?? '';
  const confirms = NODES[more === 'deputy' ? 2 : (others[follower] ?? 0)] ?? '';
  if (more === 'deputy') {
    expect(blind).toBe('n-0');
    partitionZones(world, 2 * outage);
    await clock.runUntil(clock.now + 8000);
    state.refuse('n-1', outage);
  }
  state.refuse(blind, outage);
  tell(`the state service refuses ${blind}, which leads`);
  if (more === 'alone') reachOnly(world, blind, outage);
  await clock.runUntil(clock.now + 100);
  const [kept = '', ...cancelled] = ids;
  for (const id of cancelled) expect(await world.until(world.withdraw(id, confirms))).toBe(true);
  tell(`${confirms} has confirmed that ${cancelled.join(' and ')} are cancelled`);
  const confirmedAt = clock.now;
  state.outage(outage);
  tell('the state service is down for all');
  const out = (): number => cancelled.reduce((sum, id) => sum + checker.placedTasks(id), 0);
  // The test would show nothing if somebody had stopped them in time to know.
  expect(out()).toBe(6);
  if (more === 'back') clock.in(4000, () => world.crash(leader, 700));
  let before = -1;
  for (let at = 0; at < CANCEL; at += 500) {
    await clock.runUntil(confirmedAt + at);
    if (out() !== before)
      tell(`${out()} of their tasks are on machines, ${checker.placedTasks(kept)} of another job`);
    before = out();
    // Answered for as long as may be: what is not cancelled is not lost to a short outage.
    if (at === LEASE && more === 'none') expect(out()).toBeGreaterThan(0);
  }
  expect(out()).toBe(0);
  if (follower === 0 && more === 'none')
    await expect(`${told.join('\n')}\n`).toMatchFileSnapshot('traces/store-outage-cancellations.txt');
  await expectCleanEnd(world, 400_000);
});

test('a cancellation learned while a write of its job is reconciled stops its tasks at once', () => {
  const bench = new CoreHarness();
  const commitOf = (effects: readonly Effect[]): number =>
    effects.flatMap((effect) => (effect.kind === 'commit' ? [effect.id] : []))[0] ?? 0;
  bench.hear(report('m', 1));
  bench.add(job('req-1', 2, 4, 50));
  const running = [task('req-1/0', 1, 'running'), task('req-1/1', 1, 'running')] as const;
  bench.hear(report('m', 2));
  bench.hear(report('m', 3, running));
  // One of two tasks has ended; the write of it gets no answer, and nor does the look for what came of it.
  const ended = [task('req-1/0', 1, 'exited', 'done'), running[1]] as const;
  bench.hear(report('m', 4, ended));
  bench.now += bench.state.config.timing.exitBatchDelayMs;
  const id = commitOf(bench.raw({ kind: 'tick' }));
  bench.raw({ kind: 'committed', id, outcome: { kind: 'unknown' } });
  bench.raw({ kind: 'reconciled', found: null });
  // The watch is answered: its user was told that the job is cancelled, and the view is proven anew.
  bench.raw({ kind: 'jobRemoved', id: 'req-1' }, { kind: 'viewConfirmed', sentAt: bench.now });
  const told = bench.raw({ kind: 'heartbeat', reply: 70, heartbeat: report('m', 5, ended) });
  expect(told).toContainEqual(
    expect.objectContaining({
      body: expect.objectContaining({
        commands: expect.arrayContaining([
          { op: 'stop', job: 'req-1', task: 1, attempt: 1, graceS: 0 },
        ]) as unknown,
      }) as unknown,
    }),
  );
});

// Machines whose leases expired in an outage are alive: they are not terminated when the store is back.
test('machines that kept reporting through a store outage are not silent at its end', () => {
  const bench = new CoreHarness();
  const { workerLeaseMs, tickMs } = bench.state.config.timing;
  const names = ['m', 'n', 'o', 'p'];
  const hear = (seq: number, session: number): Effect[] =>
    names.flatMap((name) => bench.hear(report(name, seq, [], { agentEpoch: session })));
  hear(1, 1);
  bench.add(job('req-1', 4, 8, 90));
  hear(2, 1);
  const lapses = bench.state.leadership?.authorityUntil ?? 0;
  bench.isViewConfirmed = false;
  for (let seq = 3; bench.now < lapses + 2 * workerLeaseMs; seq += 1) {
    bench.now += 3000;
    const session = bench.now > lapses + workerLeaseMs ? 2 : 1;
    const told = names.flatMap((name, i) => {
      const running = session === 1 ? [task(`req-1/${i}`, 1, 'running')] : [];
      return bench.hear(report(name, seq, running, { agentEpoch: session }));
    });
    const answered = told.some((effect) => effect.kind === 'reply' && effect.body.kind === 'commands');
    expect(answered).toBe(bench.now < lapses);
    // Nobody is judged meanwhile either.
    expect(bench.do({ kind: 'tick' }).some(({ kind }) => kind === 'terminate')).toBe(false);
  }
  bench.isViewConfirmed = true;
  bench.now += tickMs;
  bench.do({ kind: 'viewConfirmed', sentAt: bench.now });
  // The first of them comes at once, the others in their rhythm.
  bench.hear(report('m', 90, [], { agentEpoch: 2 }));
  expect(bench.do({ kind: 'tick' }).some(({ kind }) => kind === 'terminate')).toBe(false);
  bench.now += 1000;
  const again = names.flatMap((name) =>
    CoreHarness.starts(bench.hear(report(name, 99, [], { agentEpoch: 2 }))),
  );
  expect(again.sort()).toEqual([0, 1, 2, 3].map((i) => `req-1/${i}#2`));
});

// 1. A transaction without a response is applied late, after newer ones.
test('delayed transactions: a cancellation applied after the job was reported done changes nothing', async () => {
  const { world, others, ids } = await startBusyCluster(3, { jobs: 1, runs: [24_000, 0] });
  const [id = ''] = ids;
  const at = NODES[others[0] ?? 0] ?? '';
  await world.clock.runUntil(FROM + 2000);
  world.state.delayNextTransaction(
    ({ mutations }) => mutations.some((write) => 'put' in write && write.put === `ended/${id}`),
    20_000,
  );
  expect(await world.until(world.withdraw(id, at))).toBe(false);
  await world.clock.runUntil(FROM + 18_000);
  for (const node of NODES) expect(await world.until(world.ask(id, node))).toBe('done');
  await world.clock.runUntil(FROM + 30_000);
  // Nobody answers by what it remembers.
  for (const node of [0, 1, 2]) world.crash(node, 500);
  await world.clock.runUntil(FROM + 45_000);
  for (const node of NODES) expect(await world.until(world.ask(id, node))).toBe('done');
  await expectCleanEnd(world);
});

test('delayed transactions: claims applied after newer ones of the same chunk survive a failover', async () => {
  const world = new Simulation(seeded(4), { keepLog: true });
  const id = 'req-000000';
  // A task fills a machine, and machines come one after another.
  const place = { team: 'crew', cpus: 8, memoryGb: 1, spot: true, zone: null, oneZone: false, spread: false };
  world.cloud.capacity = 4;
  world.runtimes.set(id, [90_000, 0]);
  const claims: number[] = [];
  const commit = world.state.commit.bind(world.state);
  world.state.commit = (txn) => {
    const outcome = commit(txn);
    if (
      outcome.kind === 'applied' &&
      txn.mutations.some((write) => 'put' in write && write.put.startsWith('run/'))
    )
      claims.push(world.clock.now);
    return outcome;
  };
  const late = 9000;
  let sentAt = Infinity;
  world.state.delayNextTransaction(({ mutations }) => {
    const isOne = mutations.some((write) => 'put' in write && write.put.startsWith('run/'));
    if (isOne) sentAt = world.clock.now;
    return isOne;
  }, late);
  void world.user({ ...place, id, tasks: 4 }, null);
  while (sentAt === Infinity) await world.clock.runUntil(world.clock.now + 100);
  await world.clock.runUntil(sentAt + late - 100);
  // Newer ones of the same chunk have been written, and tasks started by them.
  expect(claims.length).toBeGreaterThan(0);
  expect(world.checker.placedTasks(id)).toBe(4);
  await world.clock.runUntil(sentAt + late + 50);
  world.crash(NODES.indexOf(world.leaders()[0] ?? ''), 3000);
  await expectCleanEnd(world, 300_000);
  expect(world.checker.started).toBe(4);
});

// 2. Jobs of two or three tasks end far apart across a change of leader.
test('task ends seen by different leaders make a job done exactly once, neither early nor lost', async () => {
  const { world, ids } = await startBusyCluster(3, { jobs: 2, runs: [22_000, 14_000] });
  const { clock, checker } = world;
  const started = checker.started;
  // The first tasks end; their leader ends before it has written that down, and so does the next.
  for (let i = 0; i < 2; i += 1) {
    const before = checker.placedTasks();
    while (checker.placedTasks() === before) await clock.runUntil(clock.now + 50);
    // Long enough for its leader to hear of it, too short for that to be written.
    await clock.runUntil(clock.now + 1300);
    for (const id of ids)
      if (checker.placedTasks(id) > 0) expect(await world.until(world.ask(id))).not.toBe('done');
    world.crash(NODES.indexOf(world.leaders()[0] ?? ''), 5000);
    await clock.runUntil(clock.now + 4000);
  }
  await expectCleanEnd(world);
  expect(checker.started).toBe(started);
});

// 3. A stale heartbeat arrives after newer ones.
test('stale heartbeats: a new leader does not take the end of an earlier attempt for the current one', () => {
  const bench = new CoreHarness();
  const claims = { 0: { attempt: 2, machine: 'm', agentEpoch: 3, createdAt: bench.now } };
  bench.takeOver(job('req-1', 1, 4, 50), claims);
  bench.now += 3000;
  bench.hear(report('n', 1));
  const claim = (): unknown => [...(bench.state.jobs.get('req-1')?.claims.values() ?? [])];
  const held = [expect.objectContaining({ machine: 'm', attempt: 2 })];
  // Of an earlier attempt, of an earlier session, in the wrong order, with the token of the leader before.
  const old = (seq: number, session: number, exit: 'stopped' | 'error'): Effect[] =>
    bench.hear(
      report('m', seq, [task('req-1/0', 1, 'exited', exit)], { agentEpoch: session, token: TERM - 1 }),
    );
  old(40, 3, 'stopped');
  expect(claim()).toEqual(held);
  old(90, 2, 'error');
  old(12, 3, 'error');
  bench.hear(report('m', 30, [], { agentEpoch: 3, token: TERM - 1 }));
  expect(claim()).toEqual(held);
  expect(bench.state.machines.get('m')).toMatchObject({ agentEpoch: 3, heartbeatSequence: 40 });
});

// 4. A leader is partitioned from the store and its peers; workers and users still reach it.
test('a leader partitioned with its workers and users: cancelled tasks stop in time, no stale read', async () => {
  const { world, leader, others, ids } = await startBusyCluster();
  const { clock, checker } = world;
  const alone = NODES[leader] ?? '';
  const cut = 70_000;
  for (const host of [...others.map((node) => NODES[node] ?? ''), 'state', 'cloud'])
    world.network.partition(alone, host, cut);
  reachOnly(world, alone, cut);
  await clock.runUntil(FROM + 6000);
  const [next = ''] = world.leaders().filter((node) => node !== alone);
  expect(next).not.toBe('');
  for (const id of ids) expect(await world.until(world.withdraw(id, next))).toBe(true);
  expect(checker.placedTasks()).toBe(9);
  const from = clock.now;
  const answers: (string | null)[] = [];
  while (clock.now < from + CANCEL) {
    await clock.runUntil(clock.now + 1000);
    for (const id of ids) answers.push(await world.until(world.ask(id, alone)));
  }
  expect(answers.filter((stage) => stage !== null)).toEqual([]);
  expect(world.ready()[leader]).toBe(false);
  expect(checker.placedTasks()).toBe(0);
  await expectCleanEnd(world);
});

// 5. A command or its response is delayed for seconds, and the machine then resumes.
test.each([
  ['within its lease', 0.7 * LEASE],
  ['across its lease', 1.2 * LEASE],
])('a machine paused %s during a leader crash runs nothing twice', async (_, hangs) => {
  const { world, leader } = await startBusyCluster();
  const { clock, cloud, checker } = world;
  const [name = ''] = cloud.workers.keys();
  const worker = cloud.workers.get(name);
  worker?.pause(hangs);
  const attempts = new Map(
    [...(worker?.tasks.values() ?? [])].map(({ job: id, task: n, take }) => [`${id}/${n}`, take]),
  );
  expect(attempts.size).toBeGreaterThan(0);
  await clock.runUntil(FROM + 1000);
  world.crash(leader, 20_000);
  await clock.runUntil(FROM + hangs + 1000);
  const back = [...(cloud.workers.get(name)?.tasks.values() ?? [])];
  // Back within its lease it goes on with what it had, and nobody has it anew.
  if (hangs < LEASE && cloud.workers.has(name)) expect(back.length).toBe(attempts.size);
  for (const { job: id, task: n, take } of back)
    expect(take).toBeGreaterThanOrEqual(attempts.get(`${id}/${n}`) ?? 1);
  await expectCleanEnd(world);
  expect(checker.placedTasks()).toBe(0);
});

// 6. Leaders end while machines with long tasks cannot be reached. Whether a worker finds a controller within its
// lease after such a cut is a matter of its own rhythm; what the service does must not add to what is lost by it.
test.each([3, 4, 5, 6, 7, 8])(
  'claims of unreachable machines survive three failovers, and no task is restarted needlessly (%d)',
  async (seed) => {
    const { world } = await startBusyCluster(seed);
    const { clock, cloud, checker } = world;
    const started = checker.started;
    const away = 0.85 * LEASE;
    for (const name of cloud.workers.keys())
      for (const node of NODES) world.network.partition(name, node, away);
    for (let i = 0; i < 3; i += 1) {
      await clock.runUntil(clock.now + 2200);
      world.crash(NODES.indexOf(world.leaders()[0] ?? ''), 4000);
    }
    await clock.runUntil(FROM + away);
    expect(checker.placedTasks()).toBe(9);
    await expectCleanEnd(world);
    expect(checker.started).toBe(started + checker.expiredTasks);
    expect(
      world.logged.filter(({ msg, tasks }) => msg === 'machine terminated' && Number(tasks) > 0),
    ).toEqual([]);
  },
);

// 7. The store answers slowly, or refuses the leader and then every node, while users cancel and read.
test('a slow store and cancellations of unknown outcome cause no stale read, and answers resume', async () => {
  const { world, ids } = await startBusyCluster();
  const { clock, state } = world;
  state.slow(3500, 25_000);
  const until = FROM + 25_000;
  while (clock.now < until) {
    for (const id of ids.slice(1)) void world.withdraw(id, NODES[Math.floor(3 * world.draw())] ?? '');
    for (const id of ids) for (const node of NODES) void world.ask(id, node);
    await clock.runUntil(clock.now + 1500);
  }
  await clock.runUntil(until + 10_000);
  for (const node of NODES) {
    expect(await world.until(world.ask(ids[0] ?? '', node))).toBe('running');
    for (const id of ids.slice(1)) expect(await world.until(world.ask(id, node))).toBe('withdrawn');
  }
  await expectCleanEnd(world);
});

// 8. All controllers crash, and one restarts, also within a second.
test.each([100, 900, 5000])(
  'after a crash of all, one node back alone after %d ms serves; tasks go on',
  async (after) => {
    const { world, ids } = await startBusyCluster();
    const { clock, checker } = world;
    const started = checker.started;
    for (const node of [0, 1, 2]) world.crash(node, node === 1 ? after : 40_000);
    await clock.runUntil(FROM + after + 6000);
    expect(world.leaders()).toEqual(['n-1']);
    expect(world.ready()[1]).toBe(true);
    for (const id of ids) expect(await world.until(world.ask(id, 'n-1'))).toBe('running');
    expect(checker.placedTasks()).toBe(9);
    await expectCleanEnd(world);
    expect(checker.started).toBe(started);
  },
);

/** The last trouble of a meeting day is over by then; after it all that was accepted ends. */
const CALM = 240_000;
const END = CALM + 3 * MAX_RUNTIME_MS;

async function playMeetings(seed: number, meetings: number): Promise<{ world: Simulation; met: string[] }> {
  const cpusMax = seed % 2 === 0 ? 0 : 12;
  // A third of the days have small values and transactions from the start on.
  const world = new Simulation(seeded(seed), {
    copies: true,
    cpusMax,
    ...(seed % 3 === 0 ? { limits: TIGHT } : {}),
  });
  const met: string[] = [];
  drawConcurrentFaults(world, meetings, (name) => met.push(`${(world.clock.now / 1000).toFixed(1)} ${name}`));
  world.clock.in(CALM, () => world.checkWaiting());
  await world.clock.runUntil(END);
  world.checker.checkUnanswered(CALM, END);
  return { world, met };
}

test('under two or three concurrent faults no rule is violated and every accepted job ends', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.integer({ min: 1, max: 3 }),
      async (seed, meetings) => {
        const { world, met } = await playMeetings(seed, meetings);
        expect({ met, broken: world.checker.violations }).toEqual({ met, broken: [] });
        expect({ met, unfinished: world.checker.unfinishedJobs() }).toEqual({ met, unfinished: [] });
        expect({ met, underserved: world.checker.underserved() }).toEqual({ met, underserved: [] });
      },
    ),
    {
      seed: Number(process.env['SEED'] ?? 11),
      numRuns: Number(process.env['DAYS'] ?? 20),
      endOnFailure: true,
    },
  );
}, 3_600_000);
