/** One test for each guard of docs/safety.md; each fails without its guard. */
import { expect, test } from 'vitest';
import type { JobSpec, Transaction } from '../src/core/types.js';
import type { Command, Effect } from '../src/core/effects.js';
import { VirtualClock } from './emulators/clock.js';
import { CoreHarness, job, report, task, TERM } from './emulators/core-harness.js';
import { Network } from './emulators/network.js';
import { StateEmulator } from './emulators/state.js';
import { seeded } from './emulators/simulation.js';

const commitOf = (effects: readonly Effect[]): { id: number; transaction: Transaction } => {
  const commit = effects.find((effect) => effect.kind === 'commit');
  if (commit?.kind !== 'commit') throw new Error('no commit');
  return commit;
};
const kinds = (effects: readonly Effect[]): string[] => effects.map(({ kind }) => kind);

/** A key-value store with a term and a job, at the revisions that the core expects. */
function stateService(termRevision: number): StateEmulator {
  const state = new StateEmulator(new Network(new VirtualClock(), seeded(1)));
  state.revision = termRevision - 1;
  state.commit({ preconditions: [], mutations: [{ put: 'term', value: { term: TERM } }] });
  state.commit({ preconditions: [], mutations: [{ put: 'job/req-1', value: { id: 'req-1', tasks: 1 } }] });
  return state;
}

/** A leader that has just claimed machine m for req-1/0, with the commit in flight. */
function leaderWithPendingClaim(): { bench: CoreHarness; commit: { id: number; transaction: Transaction } } {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  const added = bench.raw({ kind: 'jobAdded', job: { value: job('req-1', 1, 4, 50), modRevision: 101 } });
  return { bench, commit: commitOf(added) };
}

test('term: a write of an earlier leader fails once a later one is elected', () => {
  const { commit } = leaderWithPendingClaim();
  const state = stateService(100);
  state.commit({ preconditions: [], mutations: [{ put: 'term', value: { term: TERM + 1 } }] });
  expect(state.commit(commit.transaction)).toEqual({ kind: 'failed', keys: ['term'] });
});

test('term: a leader whose commit fails on the term precondition steps down', () => {
  const { bench, commit } = leaderWithPendingClaim();
  const effects = bench.raw({
    kind: 'committed',
    id: commit.id,
    outcome: { kind: 'failed', keys: ['term'] },
  });
  expect(kinds(effects)).toContain('steppedDown');
});

test('cancellation: the commit of a start fails after a cancellation, and the start is never sent', () => {
  const { bench, commit } = leaderWithPendingClaim();
  const state = stateService(100);
  state.commit({
    preconditions: [],
    mutations: [{ remove: 'job/req-1' }, { put: 'ended/req-1', value: { stage: 'withdrawn' } }],
  });
  const outcome = state.commit(commit.transaction);
  expect(outcome).toEqual({ kind: 'failed', keys: ['job/req-1'] });
  bench.raw({ kind: 'committed', id: commit.id, outcome: { kind: 'failed', keys: ['job/req-1'] } });
  bench.raw({
    kind: 'reconciled',
    found: {
      jobs: new Map([['req-1', { live: false, ended: { stage: 'withdrawn', tasks: 1, done: 0 } }]]),
      chunks: new Map(),
    },
  });
  expect(CoreHarness.starts(bench.hear(report('m', 2)))).toEqual([]);
});

test('delayed transactions: one with unknown outcome and its retry are never both applied', () => {
  const { bench, commit: lost } = leaderWithPendingClaim();
  const state = stateService(100);
  expect(kinds(bench.raw({ kind: 'committed', id: lost.id, outcome: { kind: 'unknown' } }))).toContain(
    'reconcile',
  );
  const retry = commitOf(
    bench.raw({
      kind: 'reconciled',
      found: { jobs: new Map([['req-1', { live: true, ended: null }]]), chunks: new Map() },
    }),
  );
  expect(state.commit(retry.transaction).kind).toBe('applied');
  expect(state.commit(lost.transaction).kind).toBe('failed');
});

test('write-ahead: no start is sent before its commit is known', () => {
  const { bench, commit } = leaderWithPendingClaim();
  expect(CoreHarness.starts(bench.raw({ kind: 'heartbeat', reply: 7, heartbeat: report('m', 2) }))).toEqual(
    [],
  );
  bench.now += 1000;
  expect(CoreHarness.starts(bench.raw({ kind: 'tick' }))).toEqual([]); // answered, but without the start
  bench.raw({ kind: 'committed', id: commit.id, outcome: { kind: 'applied', revision: 102 } });
  expect(CoreHarness.starts(bench.raw({ kind: 'heartbeat', reply: 8, heartbeat: report('m', 3) }))).toEqual([
    'req-1/0#1',
  ]);
});

const listingOf = (name: string): Command => ({
  kind: 'machinesListed',
  askedAt: 0,
  machines: [
    { name, address: '10.0.0.9:1', type: 'eight', zone: 'a', spot: true, stage: 'running', ageS: 60 },
  ],
});

test('direct commands never carry a task start', () => {
  const { bench } = leaderWithPendingClaim();
  bench.hear(report('other', 1, [], { token: TERM - 1 }));
  bench.do(listingOf('other'));
  bench.now += 5000;
  const direct = bench.raw({ kind: 'tick' }).filter((effect) => effect.kind === 'sendCommands');
  expect(direct).toHaveLength(1);
  expect(direct[0]).toMatchObject({ commands: [] });
});

/** A leader with req-1/0 running on machine m, and with an idle machine n. */
function leaderWithRunningTask(): CoreHarness {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  bench.add(job('req-1', 1, 4, 50));
  bench.hear(report('m', 2));
  bench.hear(report('m', 3, [task('req-1/0', 1, 'running')]));
  bench.hear(report('n', 1));
  return bench;
}
const isReleased = (bench: CoreHarness): boolean =>
  bench.state.jobs.get('req-1')?.claims.get(0)?.machine !== 'm';

test('release: a heartbeat without the current fencing token does not release a task', () => {
  const bench = leaderWithRunningTask();
  bench.hear(report('m', 4, [], { token: TERM - 1 }));
  expect(isReleased(bench)).toBe(false);
});

test('release: a stale heartbeat that arrives late changes nothing', () => {
  const bench = leaderWithRunningTask();
  expect(kinds(bench.hear(report('m', 2)))).toEqual(['reply']);
  expect(isReleased(bench)).toBe(false);
});

test('release: the response to a direct command does not release a task', () => {
  const bench = leaderWithRunningTask();
  bench.do({ kind: 'directAnswer', heartbeat: report('m', 9) });
  expect(isReleased(bench)).toBe(false);
});

test('release: silence releases nothing; the machine is terminated, and the confirmation releases its task', async () => {
  const bench = leaderWithRunningTask();
  bench.now += 12_000;
  bench.hear(report('n', 2));
  const effects = bench.do({ kind: 'tick' });
  expect(effects).toContainEqual({ kind: 'terminate', machines: ['m'] });
  expect(isReleased(bench)).toBe(false);
  bench.do({ kind: 'terminated', machines: ['m'], ok: true });
  expect(isReleased(bench)).toBe(true);
  await bench.expectTrace('silent-machine');
});

// The tasks of a lost machine should not wait for its lease to expire. But a leader that misses most heartbeats has
// probably lost its own connection for a while, not the machines.
test('a silent machine is terminated before its lease expires while most others report', () => {
  const bench = new CoreHarness();
  const names = ['m', 'n', 'o', 'p'];
  const reportAll = (senders: readonly string[], seq: number): Effect[] =>
    senders.flatMap((name) => bench.hear(report(name, seq, [], { zone: name < 'o' ? 'a' : 'b' })));
  const { shortSilenceTimeoutMs, silenceTimeoutMs } = bench.state.config.timing;
  reportAll(names, 1);
  bench.now += shortSilenceTimeoutMs + 500;
  reportAll(['n', 'o', 'p'], 2);
  expect(bench.do({ kind: 'tick' })).toContainEqual({ kind: 'terminate', machines: ['m'] });

  const halfSilent = new CoreHarness();
  for (const name of names) halfSilent.hear(report(name, 1, [], { zone: name < 'o' ? 'a' : 'b' }));
  halfSilent.now += shortSilenceTimeoutMs + 500;
  for (const name of ['n', 'p']) halfSilent.hear(report(name, 2, [], { zone: name < 'o' ? 'a' : 'b' }));
  expect(kinds(halfSilent.do({ kind: 'tick' }))).not.toContain('terminate');
  halfSilent.now += silenceTimeoutMs;
  for (const name of ['n', 'p']) halfSilent.hear(report(name, 3, [], { zone: name < 'o' ? 'a' : 'b' }));
  expect(halfSilent.do({ kind: 'tick' })).toContainEqual({ kind: 'terminate', machines: ['m', 'o'] });
});

test('a zone whose machines all fall silent at the same time is treated as partitioned, not terminated', () => {
  // Without this rule, half of the fleet was terminated and provisioned again during a partition between two zones.
  const bench = new CoreHarness();
  const remote = ['p', 'q', 'r', 's'];
  for (const name of remote) bench.hear(report(name, 1, [], { zone: 'b' }));
  const silence = bench.state.config.timing.silenceTimeoutMs;
  bench.now += silence + 1000;
  bench.hear(report('m', 1));
  expect(kinds(bench.do({ kind: 'tick' }))).not.toContain('terminate');
  bench.now += 2 * silence;
  bench.do({ kind: 'viewConfirmed', sentAt: bench.now });
  bench.hear(report('m', 2));
  expect(bench.do({ kind: 'tick' })).toContainEqual({ kind: 'terminate', machines: remote });
});

test('a new leader also treats a zone without any heartbeat as partitioned', () => {
  // Without this rule, a leader crash during a partition between zones had ten machines terminated with their tasks.
  const bench = new CoreHarness();
  const listed = ['p', 'q', 'r', 's'].map((name) => ({
    name,
    address: '10.0.0.1:1',
    type: 'eight',
    zone: 'b',
    spot: true,
    stage: 'running' as const,
    ageS: 100,
  }));
  bench.do({ kind: 'machinesListed', askedAt: bench.now, machines: listed });
  bench.now += bench.state.config.timing.silenceTimeoutMs + 1000;
  bench.hear(report('m', 1));
  expect(kinds(bench.do({ kind: 'tick' }))).not.toContain('terminate');
});

test('the loss of most machines of a zone is not taken for a partition', () => {
  // Treating lost machines as partitioned delayed the restart of their tasks by 19 s.
  const bench = new CoreHarness();
  const remote = ['p', 'q', 'r', 's', 't', 'u'];
  for (const name of remote) bench.hear(report(name, 1, [], { zone: 'b' }));
  bench.now += bench.state.config.timing.silenceTimeoutMs + 1000;
  for (const name of ['m', 'p']) bench.hear(report(name, 2, [], { zone: name === 'm' ? 'a' : 'b' }));
  expect(bench.do({ kind: 'tick' })).toContainEqual({ kind: 'terminate', machines: remote.slice(1) });
});

/** A new leader that knows its machines only from the claims of one job, with one task on each machine. */
function leaderKnowingClaims(spec: JobSpec, machines: readonly string[]): CoreHarness {
  const bench = new CoreHarness();
  const claims = Object.fromEntries(
    machines.map((machine, i) => [i, { attempt: 1, machine, agentEpoch: 1, createdAt: bench.now }]),
  );
  bench.takeOver(spec, claims);
  return bench;
}

test('machines that a new leader knows only from claims do not count as a partitioned zone', () => {
  // Such machines no longer existed and were not listed, but the leader waited for them as for a partitioned zone.
  const bench = leaderKnowingClaims(job('req-1', 3, 4, 50), ['p', 'q', 'r']);
  bench.now += bench.state.config.timing.silenceTimeoutMs + 1000;
  expect(bench.do({ kind: 'tick' })).toContainEqual({ kind: 'terminate', machines: ['p', 'q', 'r'] });
});

test('release: a failed termination releases nothing and is retried', () => {
  const bench = leaderWithRunningTask();
  bench.now += 12_000;
  bench.do({ kind: 'tick' });
  bench.do({ kind: 'terminated', machines: ['m'], ok: false });
  expect(isReleased(bench)).toBe(false);
  expect(bench.do({ kind: 'tick' })).toContainEqual({ kind: 'terminate', machines: ['m'] });
});

test('release: a new agent epoch, or a newer heartbeat with the fencing token, releases tasks it does not list', () => {
  const bench = leaderWithRunningTask();
  bench.hear(report('m', 1, [], { agentEpoch: 2, token: 0 }));
  expect(isReleased(bench) || bench.state.jobs.get('req-1')?.claims.get(0)?.agentEpoch === 2).toBe(true);
  const other = leaderWithRunningTask();
  other.hear(report('m', 4));
  expect(other.state.jobs.get('req-1')?.attempts.get(0)).toBe(2);
});

test('authority: after its window a leader answers 503 until a fresh read renews it', () => {
  const bench = leaderWithRunningTask();
  const { authorityWindowMs } = bench.state.config.timing;
  bench.isViewConfirmed = false;
  bench.now += authorityWindowMs + 1;
  expect(bench.hear(report('m', 4))).toContainEqual({ kind: 'reply', reply: 5, body: { kind: 'unable' } });
  bench.do({ kind: 'viewConfirmed', sentAt: bench.now });
  expect(bench.hear(report('m', 5))).toContainEqual(
    expect.objectContaining({
      kind: 'reply',
      body: expect.objectContaining({ kind: 'commands' }) as unknown,
    }),
  );
});

test('authority: the window ends early enough for every lease to expire within cancel_s', () => {
  const { timing } = new CoreHarness().state.config;
  expect(timing.authorityWindowMs + timing.workerLeaseMs).toBeLessThan(timing.cancelTimeoutMs);
});

test('a higher fencing token from a worker or a peer ends the leadership immediately', () => {
  const workerCase = leaderWithRunningTask();
  expect(kinds(workerCase.hear(report('m', 4, [], { token: TERM + 1 })))).toEqual(['steppedDown', 'reply']);
  const peerCase = leaderWithRunningTask();
  expect(kinds(peerCase.do({ kind: 'higherTokenSeen', token: TERM + 1 }))).toContain('steppedDown');
});

test('completion: an exit is committed before the worker is told to forget it', () => {
  const bench = leaderWithRunningTask();
  const exited = [task('req-1/0', 1, 'exited', 'done')];
  const effects = bench.raw({ kind: 'heartbeat', reply: 50, heartbeat: report('m', 4, exited) });
  // The worker is answered immediately, which renews its lease, and it continues to report the exit.
  expect(effects).toContainEqual({
    kind: 'reply',
    reply: 50,
    body: { kind: 'commands', token: TERM, commands: [] },
  });
  const commit = commitOf(effects);
  expect(commit.transaction.mutations).toContainEqual(expect.objectContaining({ put: 'ended/req-1' }));
  bench.raw({ kind: 'committed', id: commit.id, outcome: { kind: 'applied', revision: 999 } });
  expect(bench.raw({ kind: 'heartbeat', reply: 51, heartbeat: report('m', 5, exited) })).toContainEqual({
    kind: 'reply',
    reply: 51,
    body: { kind: 'commands', token: TERM, commands: [{ op: 'forget', job: 'req-1', task: 0, attempt: 1 }] },
  });
});

// One write for each exit would use up the write budget when hundreds of tasks end each second.
test('completion: exits of a job are batched, and neither a start nor the job end waits for the batch', () => {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  bench.add(job('req-1', 4, 2, 50));
  bench.hear(report('m', 2));
  const stages = ['running', 'running', 'running', 'running'] as ('running' | 'exited')[];
  const currentTasks = (): ReturnType<typeof task>[] =>
    stages.map((stage, i) => task(`req-1/${i}`, 1, stage, stage === 'exited' ? 'done' : null));
  bench.hear(report('m', 3, currentTasks()));
  const batchDelayMs = bench.state.config.timing.exitBatchDelayMs;
  stages[0] = 'exited';
  expect(kinds(bench.hear(report('m', 4, currentTasks())))).toEqual(['reply']);
  bench.now += batchDelayMs / 2;
  stages[1] = 'exited';
  expect(kinds(bench.hear(report('m', 5, currentTasks())))).toEqual(['reply']);
  bench.now += batchDelayMs / 2;
  expect(commitOf(bench.do({ kind: 'tick' })).transaction.mutations).toHaveLength(1);
  stages[2] = stages[3] = 'exited';
  const last = commitOf(
    bench.raw({ kind: 'heartbeat', reply: 90, heartbeat: report('m', 6, currentTasks()) }),
  );
  expect(last.transaction.mutations).toContainEqual(expect.objectContaining({ put: 'ended/req-1' }));
});

test('a cancelled task is stopped, and its record is kept until the task is gone', async () => {
  const bench = leaderWithRunningTask();
  bench.do({ kind: 'jobRemoved', id: 'req-1' });
  bench.hear(report('m', 4, [task('req-1/0', 1, 'running')]));
  bench.hear(report('m', 5, [task('req-1/0', 1, 'exited', 'stopped')]));
  bench.hear(report('m', 6));
  expect(bench.state.jobs.size).toBe(0);
  await bench.expectTrace('cancelled');
});

test('a new leader does not restart tasks that an earlier one may have started', () => {
  const bench = new CoreHarness();
  const claims = { 0: { attempt: 3, machine: 'm', agentEpoch: 1, createdAt: bench.now } };
  bench.takeOver(job('req-1', 1, 4, 50), claims);
  bench.now += 3000;
  // Another machine has room, but the task may be on m: its claim is kept, with the same attempt.
  expect(CoreHarness.starts(bench.hear(report('n', 1)))).toEqual([]);
  expect(CoreHarness.starts(bench.hear(report('m', 1, [], { token: TERM - 1 })))).toEqual([]);
  expect(CoreHarness.starts(bench.hear(report('m', 2)))).toEqual(['req-1/0#3']);
});

test('a new machine is provisioned for a job that failed on the only machine', () => {
  // The job waited forever when placement avoided the machine while the capacity plan still counted on it.
  const bench = leaderWithRunningTask();
  bench.do({ kind: 'terminated', machines: ['n'], ok: true });
  bench.hear(report('m', 4, [task('req-1/0', 1, 'exited', 'error')]));
  bench.now += 2000;
  bench.hear(report('m', 5));
  expect(kinds(bench.do({ kind: 'tick' }))).toContain('provision');
});

// Otherwise, a flood of heartbeats under invented names could use up the leader's sockets.
test('the fencing token is sent only to machines known from the cloud or a claim', () => {
  const bench = new CoreHarness();
  const { maxHeartbeatIntervalMs } = bench.state.config.timing;
  bench.hear(report('invented', 1, [], { token: 0 }));
  bench.hear(report('listed', 1, [], { token: 0 }));
  bench.do(listingOf('listed'));
  bench.now += 3 * maxHeartbeatIntervalMs;
  const calledMachines = bench
    .do({ kind: 'tick' })
    .flatMap((effect) => (effect.kind === 'sendCommands' ? [effect.machine] : []));
  expect(calledMachines).toEqual(['listed']);
});

// Exits that are not committed would be lost with the machine if leadership changes.
test('an idle machine is terminated only after its completed tasks are committed', () => {
  const bench = leaderWithRunningTask();
  bench.now += 100_000;
  bench.do({ kind: 'viewConfirmed', sentAt: bench.now });
  const exited = report('m', 4, [task('req-1/0', 1, 'exited', 'done')]);
  const commit = commitOf(bench.raw({ kind: 'heartbeat', reply: 1, heartbeat: exited }));
  bench.hear(report('n', 2));
  const terminationsIn = (effects: readonly Effect[]): string[] =>
    effects.flatMap((effect) => (effect.kind === 'terminate' ? effect.machines : []));
  const terminatedWithin40s = (): string[] => {
    const terminated: string[] = [];
    for (let i = 0; i < 40; i += 1) {
      bench.now += 1000;
      bench.raw({ kind: 'viewConfirmed', sentAt: bench.now });
      bench.raw({
        kind: 'heartbeat',
        reply: 2 + i,
        heartbeat: { ...exited, sequence: bench.now },
      });
      terminated.push(...terminationsIn(bench.raw({ kind: 'tick' })));
    }
    return terminated;
  };
  expect(terminatedWithin40s()).not.toContain('m');
  bench.raw({ kind: 'committed', id: commit.id, outcome: { kind: 'applied', revision: 500 } });
  expect(terminatedWithin40s()).toContain('m');
});

// Otherwise, the record would stay in the key-value store forever.
test('the record of a job cancelled during a write of its chunk is removed eventually', () => {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  const commit = commitOf(
    bench.raw({ kind: 'jobAdded', job: { value: job('req-1', 1, 4, 50), modRevision: 300 } }),
  );
  bench.raw({ kind: 'jobRemoved', id: 'req-1' });
  bench.raw({ kind: 'committed', id: commit.id, outcome: { kind: 'applied', revision: 500 } });
  bench.now += 5000;
  // No start was sent, so a heartbeat that does not list the task proves that it is not on the machine.
  const effects = [...bench.raw({ kind: 'heartbeat', reply: 1, heartbeat: report('m', 2) })];
  bench.now += 5000;
  effects.push(...bench.raw({ kind: 'tick' }));
  const writes = effects.flatMap((effect) => (effect.kind === 'commit' ? effect.transaction.mutations : []));
  expect(writes).toContainEqual({ remove: 'run/req-1/00000' });
});

// If the claim counted for no zone, its zone could get more of the job's tasks than are allowed there.
test('zones: a claim on a machine that has not reported to a new leader may be in any zone', () => {
  const takeOver = (spread: boolean): CoreHarness => {
    const bench = leaderKnowingClaims(job('req-1', 4, 1, 50, { spread, oneZone: !spread }), ['hung']);
    bench.now += 2000;
    for (const [name, zone] of [
      ['m', 'a'],
      ['n', 'b'],
    ] as const)
      bench.hear(report(name, 1, [], { zone }));
    bench.do({ kind: 'tick' });
    return bench;
  };
  const claimedMachines = (bench: CoreHarness): string[] =>
    [...(bench.state.jobs.get('req-1')?.claims.values() ?? [])].map(({ machine }) => machine).sort();
  expect(claimedMachines(takeOver(true))).toEqual(['hung', 'm', 'n']);
  expect(claimedMachines(takeOver(false))).toEqual(['hung']);
  const reported = takeOver(true);
  reported.hear(report('hung', 1, [task('req-1/0', 1, 'running')], { zone: 'a' }));
  reported.do({ kind: 'tick' });
  expect(claimedMachines(reported)).toEqual(['hung', 'm', 'n', 'n']);
});
