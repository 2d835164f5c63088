/** Machines after a failover, and unresponsive machines: correlated silence counts as one event. */
import { expect, test } from 'vitest';
import type { Effect } from '../src/core/effects.js';
import { claimTask } from '../src/core/persistence/index.js';
import { CoreHarness, job, report, task } from './emulators/core-harness.js';

const terminatedMachines = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'terminate' ? effect.machines : []));
const calledMachines = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'sendCommands' ? [effect.machine] : []));
const machineNames = (count: number): string[] => Array.from({ length: count }, (_, i) => `vm-${i}`);

/** Ten machines with a task each; the machines in `silent` send no more heartbeats from now on. */
function fleetWithSilentMachines(
  deadlineS: number | null,
  silent: readonly string[],
): { bench: CoreHarness; pass: (ms: number) => string[] } {
  const bench = new CoreHarness();
  const all = machineNames(10);
  let sequence = 1;
  for (const name of all) bench.hear(report(name, sequence));
  bench.add(job('req-1', 10, 8, 60, { deadlineS, submittedAt: bench.now }));
  const running = (name: string): string => {
    const [claim] = bench.state.machines.get(name)?.claims.values() ?? [];
    return `req-1/${claim?.task}`;
  };
  sequence += 1;
  for (const name of all) bench.hear(report(name, sequence));
  const reportFrom = (sending: readonly string[]): void => {
    sequence += 1;
    for (const name of sending) bench.hear(report(name, sequence, [task(running(name), 1, 'running')]));
  };
  reportFrom(all);
  const reporting = all.filter((name) => !silent.includes(name));
  const pass = (ms: number): string[] => {
    const terminated: string[] = [];
    const { maxHeartbeatIntervalMs } = bench.state.config.timing;
    for (let left = ms; left > 0; left -= maxHeartbeatIntervalMs / 4) {
      bench.now += Math.min(left, maxHeartbeatIntervalMs / 4);
      reportFrom(reporting);
      for (const effect of bench.do({ kind: 'tick' })) {
        if (effect.kind === 'terminate') terminated.push(...effect.machines);
        if (effect.kind === 'probe') bench.do({ kind: 'probed', machine: effect.machine, isReachable: true });
      }
    }
    return terminated;
  };
  return { bench, pass };
}

// A paused machine resumes with its tasks if its lease has not expired.
test('an unresponsive machine whose host accepts connections is kept until its lease has expired', () => {
  const { bench, pass } = fleetWithSilentMachines(null, ['vm-3']);
  const { workerLeaseMs, silenceTimeoutMs } = bench.state.config.timing;
  expect(pass(workerLeaseMs)).toEqual([]);
  expect(pass(silenceTimeoutMs - workerLeaseMs + 1000)).toEqual(['vm-3']);
});

test('tasks that would miss their deadline by waiting do not wait for an unresponsive machine', () => {
  // The task can still meet its deadline if it runs again now, but no longer once the lease has expired.
  const { bench, pass } = fleetWithSilentMachines(73, ['vm-3']);
  expect(pass(bench.state.config.timing.workerLeaseMs)).toEqual(['vm-3']);
});

test('a leader that was paused terminates no machine before it has caught up', () => {
  const { bench } = fleetWithSilentMachines(null, ['vm-3']);
  bench.now += 3 * bench.state.config.timing.silenceTimeoutMs;
  expect(terminatedMachines(bench.do({ kind: 'tick', isStalled: true }))).toEqual([]);
  expect(terminatedMachines(bench.do({ kind: 'tick' })).length).toBeGreaterThan(0);
});

/**
 * The leader of the next term: it learns of machines with tasks from the stored claims and the cloud's list, and
 * receives heartbeats from some of them.
 */
function newLeader(reportingCount: number, previousLeaderMayBeAlive: boolean): CoreHarness {
  const bench = new CoreHarness();
  const { layout, legacyChunkTasks } = bench.state;
  const spec = job('req-1', 10, 8, 60);
  bench.do({
    kind: 'becomeLeader',
    term: 6,
    modRevision: 200,
    viewConfirmedAt: bench.now,
    layout,
    legacyChunkTasks,
    jobs: [{ value: spec, modRevision: 150 }],
    chunks: [],
    demandHistory: [],
    previousLeaderMayBeAlive,
  });
  bench.do({
    kind: 'machinesListed',
    askedAt: bench.now,
    machines: machineNames(10).map((name) => ({
      name,
      address: '10.0.0.9:1',
      type: 'eight',
      zone: 'a',
      spot: true,
      stage: 'running' as const,
      ageS: 99,
    })),
  });
  const owner = bench.state.jobs.get('req-1');
  machineNames(10).forEach((name, i) => {
    const machine = bench.state.machines.get(name);
    if (machine !== undefined && owner !== undefined)
      claimTask(bench.state, owner, i, machine, bench.time(), Infinity);
  });
  bench.state.isPlacementDue = false;
  for (const name of machineNames(reportingCount)) bench.hear(report(name, 1, [], { token: 6 }));
  return bench;
}

// The previous leader may be partitioned and still answer these machines.
test('many machines that send a new leader no heartbeat are one event: the previous leader may serve them', () => {
  const terminatedWith = (reportingCount: number): number => {
    const bench = newLeader(reportingCount, false);
    bench.now += bench.state.config.timing.silenceTimeoutMs + 500;
    for (const name of machineNames(reportingCount)) bench.hear(report(name, 2, [], { token: 6 }));
    return terminatedMachines(bench.do({ kind: 'tick' })).length;
  };
  expect(terminatedWith(9)).toBe(1);
  expect(terminatedWith(4)).toBe(0);
  const bench = newLeader(4, false);
  const { authorityWindowMs, workerLeaseMs, maxHeartbeatIntervalMs } = bench.state.config.timing;
  bench.now += authorityWindowMs + workerLeaseMs + maxHeartbeatIntervalMs + 500;
  bench.do({ kind: 'viewConfirmed', sentAt: bench.now });
  for (const name of machineNames(4)) bench.hear(report(name, 2, [], { token: 6 }));
  expect(terminatedMachines(bench.do({ kind: 'tick' }))).toHaveLength(6);
});

test('a machine that answers a direct call is alive, whichever controller gets its heartbeats', () => {
  const bench = newLeader(9, false);
  const { silenceTimeoutMs } = bench.state.config.timing;
  bench.now += silenceTimeoutMs - 1000;
  bench.do({ kind: 'directAnswer', heartbeat: report('vm-9', 5, [], { token: 6 }) });
  bench.now += 1500;
  for (const name of machineNames(9)) bench.hear(report(name, 2, [], { token: 6 }));
  expect(terminatedMachines(bench.do({ kind: 'tick' }))).toEqual([]);
});

// Direct calls to all silent machines at each tick would leave a leader with little processor time none for
// heartbeats.
test('a new leader sends a few direct calls if its predecessor may be alive, none at first if it is gone', () => {
  const { maxDirectCallsPerInterval, timing } = newLeader(0, true).state.config;
  const directCalls = calledMachines(newLeader(0, true).do({ kind: 'tick' }));
  expect(directCalls.length).toBeGreaterThan(0);
  expect(directCalls.length).toBeLessThanOrEqual(Math.ceil(maxDirectCallsPerInterval / 4));
  const bench = newLeader(0, false);
  expect(calledMachines(bench.do({ kind: 'tick' }))).toEqual([]);
  bench.now += 1.2 * timing.maxHeartbeatIntervalMs;
  expect(calledMachines(bench.do({ kind: 'tick' })).length).toBeLessThanOrEqual(maxDirectCallsPerInterval);
});

test('during a leadership transfer a leader starts nothing new and still answers its workers', () => {
  const bench = new CoreHarness();
  bench.hear(report('vm-1', 1));
  bench.do({ kind: 'transferLeadership' });
  bench.add(job('req-1', 1, 8, 60));
  bench.now += 10_000;
  expect(
    bench
      .do({ kind: 'tick' })
      .filter(({ kind }) => kind === 'commit' || kind === 'provision' || kind === 'terminate'),
  ).toEqual([]);
  const [answer] = bench.hear(report('vm-1', 2)).filter(({ kind }) => kind === 'reply');
  expect(answer).toMatchObject({ body: { kind: 'commands', commands: [] } });
});
