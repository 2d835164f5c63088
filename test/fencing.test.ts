/** One test for each guard of docs/safety.md; each fails without its guard. */
import { expect, test } from 'vitest';
import type { JobSpec, Transaction } from '../src/core/types.js';
import type { Command, Effect } from '../src/core/effects.js';
import { VirtualClock } from './emulators/clock.js';
import { CoreHarness, job, heartbeatOf, task, TERM } from './emulators/core-harness.js';
import { Network } from './emulators/network.js';
import { StoreEmulator } from './emulators/state.js';
import { seeded } from './emulators/simulation.js';

const commitOf = (effects: readonly Effect[]): { id: number; transaction: Transaction } => {
  const commit = effects.find((effect) => effect.kind === 'commit');
  if (commit?.kind !== 'commit') throw new Error('no commit');
  return commit;
};
const kinds = (effects: readonly Effect[]): string[] => effects.map(({ kind }) => kind);

/** A key-value store with a term and a job, at the revisions that the core expects. */
function createStore(termRevision: number): StoreEmulator {
  const store = new StoreEmulator(new Network(new VirtualClock(), seeded(1)));
  store.revision = termRevision - 1;
  store.commit({ preconditions: [], mutations: [{ put: 'term', value: { term: TERM } }] });
  store.commit({ preconditions: [], mutations: [{ put: 'job/req-1', value: { id: 'req-1', tasks: 1 } }] });
  return store;
}

/** A leader that has just claimed machine m for req-1/0, with the commit in flight. */
function leaderWithPendingClaim(): {
  harness: CoreHarness;
  commit: { id: number; transaction: Transaction };
} {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  const added = harness.step({ kind: 'jobAdded', job: { value: job('req-1', 1, 4, 50), modRevision: 101 } });
  return { harness, commit: commitOf(added) };
}

test('term: a write of an earlier leader fails once a later one is elected', () => {
  const { commit } = leaderWithPendingClaim();
  const store = createStore(100);
  store.commit({ preconditions: [], mutations: [{ put: 'term', value: { term: TERM + 1 } }] });
  expect(store.commit(commit.transaction)).toEqual({ kind: 'failed', keys: ['term'] });
});

test('term: a leader whose commit fails on the term precondition steps down', () => {
  const { harness, commit } = leaderWithPendingClaim();
  const effects = harness.step({
    kind: 'committed',
    id: commit.id,
    outcome: { kind: 'failed', keys: ['term'] },
  });
  expect(kinds(effects)).toContain('steppedDown');
});

test('cancellation: the commit of a start fails after a cancellation, and the start is never sent', () => {
  const { harness, commit } = leaderWithPendingClaim();
  const store = createStore(100);
  store.commit({
    preconditions: [],
    mutations: [{ remove: 'job/req-1' }, { put: 'ended/req-1', value: { stage: 'withdrawn' } }],
  });
  const outcome = store.commit(commit.transaction);
  expect(outcome).toEqual({ kind: 'failed', keys: ['job/req-1'] });
  harness.step({ kind: 'committed', id: commit.id, outcome: { kind: 'failed', keys: ['job/req-1'] } });
  harness.step({
    kind: 'reconciled',
    id: commit.id,
    found: {
      jobs: new Map([['req-1', { live: false, ended: { stage: 'withdrawn', tasks: 1, done: 0 } }]]),
      chunks: new Map(),
    },
  });
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 2)))).toEqual([]);
});

test('delayed transactions: one with unknown outcome and its retry are never both applied', () => {
  const { harness, commit: lost } = leaderWithPendingClaim();
  const store = createStore(100);
  expect(kinds(harness.step({ kind: 'committed', id: lost.id, outcome: { kind: 'unknown' } }))).toContain(
    'reconcile',
  );
  const retry = commitOf(
    harness.step({
      kind: 'reconciled',
      id: lost.id,
      found: { jobs: new Map([['req-1', { live: true, ended: null }]]), chunks: new Map() },
    }),
  );
  expect(store.commit(retry.transaction).kind).toBe('applied');
  expect(store.commit(lost.transaction).kind).toBe('failed');
});

// The process may lead again before a read of its earlier leadership is answered.
test('delayed transactions: the reads of another reconciliation are not taken for those of the pending one', () => {
  const { harness, commit: lost } = leaderWithPendingClaim();
  harness.step({ kind: 'committed', id: lost.id, outcome: { kind: 'unknown' } });
  const found = {
    jobs: new Map([['req-1', { live: true, ended: null }]]),
    chunks: new Map<string, number>(),
  };
  expect(kinds(harness.step({ kind: 'reconciled', id: lost.id - 1, found }))).not.toContain('commit');
  expect(harness.state.pendingReconciliation).toEqual({ id: lost.id, jobs: ['req-1'] });
  expect(kinds(harness.step({ kind: 'reconciled', id: lost.id, found }))).toContain('commit');
});

test('write-ahead: no start is sent before its commit is known', () => {
  const { harness, commit } = leaderWithPendingClaim();
  expect(
    CoreHarness.startedTasks(harness.step({ kind: 'heartbeat', reply: 7, heartbeat: heartbeatOf('m', 2) })),
  ).toEqual([]);
  harness.now += 1000;
  expect(CoreHarness.startedTasks(harness.step({ kind: 'tick' }))).toEqual([]); // answered, but without the start
  harness.step({ kind: 'committed', id: commit.id, outcome: { kind: 'applied', revision: 102 } });
  expect(
    CoreHarness.startedTasks(harness.step({ kind: 'heartbeat', reply: 8, heartbeat: heartbeatOf('m', 3) })),
  ).toEqual(['req-1/0#1']);
});

const listingOf = (name: string): Command => ({
  kind: 'machinesListed',
  requestedAt: 0,
  machines: [
    { name, address: '10.0.0.9:1', type: 'eight', zone: 'a', spot: true, stage: 'running', ageS: 60 },
  ],
});

test('direct commands never carry a task start', () => {
  const { harness } = leaderWithPendingClaim();
  harness.deliverHeartbeat(heartbeatOf('other', 1, [], { token: TERM - 1 }));
  harness.stepAndCommit(listingOf('other'));
  harness.now += 5000;
  const direct = harness.step({ kind: 'tick' }).filter((effect) => effect.kind === 'sendCommands');
  expect(direct).toHaveLength(1);
  expect(direct[0]).toMatchObject({ commands: [] });
});

/** A leader with req-1/0 running on machine m, and with an idle machine n. */
function leaderWithRunningTask(): CoreHarness {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-1', 1, 4, 50));
  harness.deliverHeartbeat(heartbeatOf('m', 2));
  harness.deliverHeartbeat(heartbeatOf('m', 3, [task('req-1/0', 1, 'running')]));
  harness.deliverHeartbeat(heartbeatOf('n', 1));
  return harness;
}
const isReleased = (harness: CoreHarness): boolean =>
  harness.state.jobs.get('req-1')?.claims.get(0)?.machine !== 'm';

test('release: a heartbeat without the current fencing token does not release a task', () => {
  const harness = leaderWithRunningTask();
  harness.deliverHeartbeat(heartbeatOf('m', 4, [], { token: TERM - 1 }));
  expect(isReleased(harness)).toBe(false);
});

test('release: a stale heartbeat that arrives late changes nothing', () => {
  const harness = leaderWithRunningTask();
  expect(kinds(harness.deliverHeartbeat(heartbeatOf('m', 2)))).toEqual(['reply']);
  expect(isReleased(harness)).toBe(false);
});

test('release: the response to a direct command does not release a task', () => {
  const harness = leaderWithRunningTask();
  harness.stepAndCommit({ kind: 'directAnswer', heartbeat: heartbeatOf('m', 9) });
  expect(isReleased(harness)).toBe(false);
});

test('release: silence releases nothing; the machine is terminated, and the confirmation releases its task', async () => {
  const harness = leaderWithRunningTask();
  harness.now += 12_000;
  harness.deliverHeartbeat(heartbeatOf('n', 2));
  const effects = harness.stepAndCommit({ kind: 'tick' });
  expect(effects).toContainEqual({ kind: 'terminate', machines: ['m'] });
  expect(isReleased(harness)).toBe(false);
  harness.stepAndCommit({ kind: 'terminated', machines: ['m'], ok: true });
  expect(isReleased(harness)).toBe(true);
  await harness.expectTrace('silent-machine');
});

// The tasks of a lost machine should not wait for its lease to expire. But a leader that misses most heartbeats has
// probably lost its own connection for a while, not the machines.
test('a silent machine is terminated before its lease expires while most others report', () => {
  const harness = new CoreHarness();
  const names = ['m', 'n', 'o', 'p'];
  const reportAll = (senders: readonly string[], seq: number): Effect[] =>
    senders.flatMap((name) =>
      harness.deliverHeartbeat(heartbeatOf(name, seq, [], { zone: name < 'o' ? 'a' : 'b' })),
    );
  const { shortSilenceTimeoutMs, silenceTimeoutMs } = harness.state.config.timing;
  reportAll(names, 1);
  harness.now += shortSilenceTimeoutMs + 500;
  reportAll(['n', 'o', 'p'], 2);
  expect(harness.stepAndCommit({ kind: 'tick' })).toContainEqual({ kind: 'terminate', machines: ['m'] });

  const halfSilent = new CoreHarness();
  for (const name of names)
    halfSilent.deliverHeartbeat(heartbeatOf(name, 1, [], { zone: name < 'o' ? 'a' : 'b' }));
  halfSilent.now += shortSilenceTimeoutMs + 500;
  for (const name of ['n', 'p'])
    halfSilent.deliverHeartbeat(heartbeatOf(name, 2, [], { zone: name < 'o' ? 'a' : 'b' }));
  expect(kinds(halfSilent.stepAndCommit({ kind: 'tick' }))).not.toContain('terminate');
  halfSilent.now += silenceTimeoutMs;
  for (const name of ['n', 'p'])
    halfSilent.deliverHeartbeat(heartbeatOf(name, 3, [], { zone: name < 'o' ? 'a' : 'b' }));
  expect(halfSilent.stepAndCommit({ kind: 'tick' })).toContainEqual({
    kind: 'terminate',
    machines: ['m', 'o'],
  });
});

test('a zone whose machines all fall silent at the same time is treated as partitioned, not terminated', () => {
  // Without this rule, half of the fleet was terminated and provisioned again during a partition between two zones.
  const harness = new CoreHarness();
  const remote = ['p', 'q', 'r', 's'];
  for (const name of remote) harness.deliverHeartbeat(heartbeatOf(name, 1, [], { zone: 'b' }));
  const silence = harness.state.config.timing.silenceTimeoutMs;
  harness.now += silence + 1000;
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  expect(kinds(harness.stepAndCommit({ kind: 'tick' }))).not.toContain('terminate');
  harness.now += 2 * silence;
  harness.stepAndCommit({ kind: 'viewConfirmed', sentAt: harness.now });
  harness.deliverHeartbeat(heartbeatOf('m', 2));
  expect(harness.stepAndCommit({ kind: 'tick' })).toContainEqual({ kind: 'terminate', machines: remote });
});

test('a new leader also treats a zone without any heartbeat as partitioned', () => {
  // Without this rule, a leader crash during a partition between zones had ten machines terminated with their tasks.
  const harness = new CoreHarness();
  const listed = ['p', 'q', 'r', 's'].map((name) => ({
    name,
    address: '10.0.0.1:1',
    type: 'eight',
    zone: 'b',
    spot: true,
    stage: 'running' as const,
    ageS: 100,
  }));
  harness.stepAndCommit({ kind: 'machinesListed', requestedAt: harness.now, machines: listed });
  harness.now += harness.state.config.timing.silenceTimeoutMs + 1000;
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  expect(kinds(harness.stepAndCommit({ kind: 'tick' }))).not.toContain('terminate');
});

test('the loss of most machines of a zone is not taken for a partition', () => {
  // Treating lost machines as partitioned delayed the restart of their tasks by 19 s.
  const harness = new CoreHarness();
  const remote = ['p', 'q', 'r', 's', 't', 'u'];
  for (const name of remote) harness.deliverHeartbeat(heartbeatOf(name, 1, [], { zone: 'b' }));
  harness.now += harness.state.config.timing.silenceTimeoutMs + 1000;
  for (const name of ['m', 'p'])
    harness.deliverHeartbeat(heartbeatOf(name, 2, [], { zone: name === 'm' ? 'a' : 'b' }));
  expect(harness.stepAndCommit({ kind: 'tick' })).toContainEqual({
    kind: 'terminate',
    machines: remote.slice(1),
  });
});

/** A new leader that knows its machines only from the claims of one job, with one task on each machine. */
function leaderKnowingClaims(spec: JobSpec, machines: readonly string[]): CoreHarness {
  const harness = new CoreHarness();
  const claims = Object.fromEntries(
    machines.map((machine, i) => [i, { attempt: 1, machine, agentEpoch: 1, createdAt: harness.now }]),
  );
  harness.takeOver(spec, claims);
  return harness;
}

test('machines that a new leader knows only from claims do not count as a partitioned zone', () => {
  // Such machines no longer existed and were not listed, but the leader waited for them as for a partitioned zone.
  const harness = leaderKnowingClaims(job('req-1', 3, 4, 50), ['p', 'q', 'r']);
  harness.now += harness.state.config.timing.silenceTimeoutMs + 1000;
  expect(harness.stepAndCommit({ kind: 'tick' })).toContainEqual({
    kind: 'terminate',
    machines: ['p', 'q', 'r'],
  });
});

test('release: a failed termination releases nothing and is retried', () => {
  const harness = leaderWithRunningTask();
  harness.now += 12_000;
  harness.stepAndCommit({ kind: 'tick' });
  harness.stepAndCommit({ kind: 'terminated', machines: ['m'], ok: false });
  expect(isReleased(harness)).toBe(false);
  expect(harness.stepAndCommit({ kind: 'tick' })).toContainEqual({ kind: 'terminate', machines: ['m'] });
});

test('release: a new agent epoch, or a newer heartbeat with the fencing token, releases tasks it does not list', () => {
  const harness = leaderWithRunningTask();
  harness.deliverHeartbeat(heartbeatOf('m', 1, [], { agentEpoch: 2, token: 0 }));
  expect(isReleased(harness) || harness.state.jobs.get('req-1')?.claims.get(0)?.agentEpoch === 2).toBe(true);
  const other = leaderWithRunningTask();
  other.deliverHeartbeat(heartbeatOf('m', 4));
  expect(other.state.jobs.get('req-1')?.attempts.get(0)).toBe(2);
});

test('authority: after its window a leader answers 503 until a fresh read renews it', () => {
  const harness = leaderWithRunningTask();
  const { authorityWindowMs } = harness.state.config.timing;
  harness.isViewConfirmed = false;
  harness.now += authorityWindowMs + 1;
  expect(harness.deliverHeartbeat(heartbeatOf('m', 4))).toContainEqual({
    kind: 'reply',
    reply: 5,
    body: { kind: 'unable' },
  });
  harness.stepAndCommit({ kind: 'viewConfirmed', sentAt: harness.now });
  expect(harness.deliverHeartbeat(heartbeatOf('m', 5))).toContainEqual(
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
  expect(kinds(workerCase.deliverHeartbeat(heartbeatOf('m', 4, [], { token: TERM + 1 })))).toEqual([
    'steppedDown',
    'reply',
  ]);
  const peerCase = leaderWithRunningTask();
  expect(kinds(peerCase.stepAndCommit({ kind: 'higherTokenSeen', token: TERM + 1 }))).toContain(
    'steppedDown',
  );
});

test('completion: an exit is committed before the worker is told to forget it', () => {
  const harness = leaderWithRunningTask();
  const exited = [task('req-1/0', 1, 'exited', 'done')];
  const effects = harness.step({ kind: 'heartbeat', reply: 50, heartbeat: heartbeatOf('m', 4, exited) });
  // The worker is answered immediately, which renews its lease, and it continues to report the exit.
  expect(effects).toContainEqual({
    kind: 'reply',
    reply: 50,
    body: { kind: 'commands', token: TERM, commands: [] },
  });
  const commit = commitOf(effects);
  expect(commit.transaction.mutations).toContainEqual(expect.objectContaining({ put: 'ended/req-1' }));
  harness.step({ kind: 'committed', id: commit.id, outcome: { kind: 'applied', revision: 999 } });
  expect(
    harness.step({ kind: 'heartbeat', reply: 51, heartbeat: heartbeatOf('m', 5, exited) }),
  ).toContainEqual({
    kind: 'reply',
    reply: 51,
    body: { kind: 'commands', token: TERM, commands: [{ op: 'forget', job: 'req-1', task: 0, attempt: 1 }] },
  });
});

// One write for each exit would use up the write budget when hundreds of tasks end each second.
test('completion: exits of a job are batched, and neither a start nor the job end waits for the batch', () => {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-1', 4, 2, 50));
  harness.deliverHeartbeat(heartbeatOf('m', 2));
  const stages = ['running', 'running', 'running', 'running'] as ('running' | 'exited')[];
  const currentTasks = (): ReturnType<typeof task>[] =>
    stages.map((stage, i) => task(`req-1/${i}`, 1, stage, stage === 'exited' ? 'done' : null));
  harness.deliverHeartbeat(heartbeatOf('m', 3, currentTasks()));
  const batchDelayMs = harness.state.config.timing.exitBatchDelayMs;
  stages[0] = 'exited';
  expect(kinds(harness.deliverHeartbeat(heartbeatOf('m', 4, currentTasks())))).toEqual(['reply']);
  harness.now += batchDelayMs / 2;
  stages[1] = 'exited';
  expect(kinds(harness.deliverHeartbeat(heartbeatOf('m', 5, currentTasks())))).toEqual(['reply']);
  harness.now += batchDelayMs / 2;
  expect(commitOf(harness.stepAndCommit({ kind: 'tick' })).transaction.mutations).toHaveLength(1);
  stages[2] = stages[3] = 'exited';
  const last = commitOf(
    harness.step({ kind: 'heartbeat', reply: 90, heartbeat: heartbeatOf('m', 6, currentTasks()) }),
  );
  expect(last.transaction.mutations).toContainEqual(expect.objectContaining({ put: 'ended/req-1' }));
});

test('a cancelled task is stopped, and its record is kept until the task is gone', async () => {
  const harness = leaderWithRunningTask();
  harness.stepAndCommit({ kind: 'jobRemoved', id: 'req-1' });
  harness.deliverHeartbeat(heartbeatOf('m', 4, [task('req-1/0', 1, 'running')]));
  harness.deliverHeartbeat(heartbeatOf('m', 5, [task('req-1/0', 1, 'exited', 'stopped')]));
  harness.deliverHeartbeat(heartbeatOf('m', 6));
  expect(harness.state.jobs.size).toBe(0);
  await harness.expectTrace('cancelled');
});

test('a new leader does not restart tasks that an earlier one may have started', () => {
  const harness = new CoreHarness();
  const claims = { 0: { attempt: 3, machine: 'm', agentEpoch: 1, createdAt: harness.now } };
  harness.takeOver(job('req-1', 1, 4, 50), claims);
  harness.now += 3000;
  // Another machine has room, but the task may be on m: its claim is kept, with the same attempt.
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('n', 1)))).toEqual([]);
  expect(
    CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 1, [], { token: TERM - 1 }))),
  ).toEqual([]);
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 2)))).toEqual(['req-1/0#3']);
});

test('a new machine is provisioned for a job that failed on the only machine', () => {
  // The job waited forever when placement avoided the machine while the capacity plan still counted on it.
  const harness = leaderWithRunningTask();
  harness.stepAndCommit({ kind: 'terminated', machines: ['n'], ok: true });
  harness.deliverHeartbeat(heartbeatOf('m', 4, [task('req-1/0', 1, 'exited', 'error')]));
  harness.now += 2000;
  harness.deliverHeartbeat(heartbeatOf('m', 5));
  expect(kinds(harness.stepAndCommit({ kind: 'tick' }))).toContain('provision');
});

// Otherwise, a flood of heartbeats under invented names could use up the leader's sockets.
test('the fencing token is sent only to machines known from the cloud or a claim', () => {
  const harness = new CoreHarness();
  const { maxHeartbeatIntervalMs } = harness.state.config.timing;
  harness.deliverHeartbeat(heartbeatOf('invented', 1, [], { token: 0 }));
  harness.deliverHeartbeat(heartbeatOf('listed', 1, [], { token: 0 }));
  harness.stepAndCommit(listingOf('listed'));
  harness.now += 3 * maxHeartbeatIntervalMs;
  const calledMachines = harness
    .stepAndCommit({ kind: 'tick' })
    .flatMap((effect) => (effect.kind === 'sendCommands' ? [effect.machine] : []));
  expect(calledMachines).toEqual(['listed']);
});

// Exits that are not committed would be lost with the machine if leadership changes.
test('an idle machine is terminated only after its completed tasks are committed', () => {
  const harness = leaderWithRunningTask();
  harness.now += 100_000;
  harness.stepAndCommit({ kind: 'viewConfirmed', sentAt: harness.now });
  const exited = heartbeatOf('m', 4, [task('req-1/0', 1, 'exited', 'done')]);
  const commit = commitOf(harness.step({ kind: 'heartbeat', reply: 1, heartbeat: exited }));
  harness.deliverHeartbeat(heartbeatOf('n', 2));
  const terminationsIn = (effects: readonly Effect[]): string[] =>
    effects.flatMap((effect) => (effect.kind === 'terminate' ? effect.machines : []));
  const terminatedWithin40s = (): string[] => {
    const terminated: string[] = [];
    for (let i = 0; i < 40; i += 1) {
      harness.now += 1000;
      harness.step({ kind: 'viewConfirmed', sentAt: harness.now });
      harness.step({
        kind: 'heartbeat',
        reply: 2 + i,
        heartbeat: { ...exited, sequence: harness.now },
      });
      terminated.push(...terminationsIn(harness.step({ kind: 'tick' })));
    }
    return terminated;
  };
  expect(terminatedWithin40s()).not.toContain('m');
  harness.step({ kind: 'committed', id: commit.id, outcome: { kind: 'applied', revision: 500 } });
  expect(terminatedWithin40s()).toContain('m');
});

// Otherwise, the record would stay in the key-value store forever.
test('the record of a job cancelled during a write of its chunk is removed eventually', () => {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  const commit = commitOf(
    harness.step({ kind: 'jobAdded', job: { value: job('req-1', 1, 4, 50), modRevision: 300 } }),
  );
  harness.step({ kind: 'jobRemoved', id: 'req-1' });
  harness.step({ kind: 'committed', id: commit.id, outcome: { kind: 'applied', revision: 500 } });
  harness.now += 5000;
  // No start was sent, so a heartbeat that does not list the task proves that it is not on the machine.
  const effects = [...harness.step({ kind: 'heartbeat', reply: 1, heartbeat: heartbeatOf('m', 2) })];
  harness.now += 5000;
  effects.push(...harness.step({ kind: 'tick' }));
  const writes = effects.flatMap((effect) => (effect.kind === 'commit' ? effect.transaction.mutations : []));
  expect(writes).toContainEqual({ remove: 'run/req-1/00000' });
});

// If the claim counted for no zone, its zone could get more of the job's tasks than are allowed there.
test('zones: a claim on a machine that has not reported to a new leader may be in any zone', () => {
  const takeOver = (spread: boolean): CoreHarness => {
    const harness = leaderKnowingClaims(job('req-1', 4, 1, 50, { spread, oneZone: !spread }), ['hung']);
    harness.now += 2000;
    for (const [name, zone] of [
      ['m', 'a'],
      ['n', 'b'],
    ] as const)
      harness.deliverHeartbeat(heartbeatOf(name, 1, [], { zone }));
    harness.stepAndCommit({ kind: 'tick' });
    return harness;
  };
  const claimedMachines = (harness: CoreHarness): string[] =>
    [...(harness.state.jobs.get('req-1')?.claims.values() ?? [])].map(({ machine }) => machine).sort();
  expect(claimedMachines(takeOver(true))).toEqual(['hung', 'm', 'n']);
  expect(claimedMachines(takeOver(false))).toEqual(['hung']);
  const reported = takeOver(true);
  reported.deliverHeartbeat(heartbeatOf('hung', 1, [task('req-1/0', 1, 'running')], { zone: 'a' }));
  reported.stepAndCommit({ kind: 'tick' });
  expect(claimedMachines(reported)).toEqual(['hung', 'm', 'n', 'n']);
});
