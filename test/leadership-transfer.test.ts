/** Machines after a failover, and unresponsive machines: correlated silence counts as one event. */
import { expect, test } from 'vitest';
import type { Effect } from '../src/core/effects.js';
import { claimTask } from '../src/core/persistence/index.js';
import { CoreHarness, job, heartbeatOf, task } from './emulators/core-harness.js';

const terminatedMachines = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'terminate' ? effect.machines : []));
const calledMachines = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'sendCommands' ? [effect.machine] : []));
const machineNames = (count: number): string[] => Array.from({ length: count }, (_, i) => `vm-${i}`);

/** Ten machines with one task each; after the first three heartbeats the machines in `silent` send none. */
function fleetWithSilentMachines(
  deadlineS: number | null,
  silent: readonly string[],
): { harness: CoreHarness; advance: (ms: number) => string[] } {
  const harness = new CoreHarness();
  const all = machineNames(10);
  let sequence = 1;
  for (const name of all) harness.deliverHeartbeat(heartbeatOf(name, sequence));
  harness.addJob(job('req-1', 10, 8, 60, { deadlineS, submittedAt: harness.now }));
  const running = (name: string): string => {
    const [claim] = harness.state.machines.get(name)?.claims.values() ?? [];
    return `req-1/${claim?.task}`;
  };
  sequence += 1;
  for (const name of all) harness.deliverHeartbeat(heartbeatOf(name, sequence));
  const reportFrom = (sending: readonly string[]): void => {
    sequence += 1;
    for (const name of sending)
      harness.deliverHeartbeat(heartbeatOf(name, sequence, [task(running(name), 1, 'running')]));
  };
  reportFrom(all);
  const reporting = all.filter((name) => !silent.includes(name));
  const advance = (ms: number): string[] => {
    const terminated: string[] = [];
    const { maxHeartbeatIntervalMs } = harness.state.config.timing;
    for (let left = ms; left > 0; left -= maxHeartbeatIntervalMs / 4) {
      harness.now += Math.min(left, maxHeartbeatIntervalMs / 4);
      reportFrom(reporting);
      for (const effect of harness.stepAndCommit({ kind: 'tick' })) {
        if (effect.kind === 'terminate') terminated.push(...effect.machines);
        if (effect.kind === 'probe')
          harness.stepAndCommit({ kind: 'probed', machine: effect.machine, isReachable: true });
      }
    }
    return terminated;
  };
  return { harness, advance };
}

// A paused machine resumes with its tasks if its lease has not expired.
test('an unresponsive machine whose host accepts connections is kept until its lease has expired', () => {
  const { harness, advance } = fleetWithSilentMachines(null, ['vm-3']);
  const { workerLeaseMs, silenceTimeoutMs } = harness.state.config.timing;
  expect(advance(workerLeaseMs)).toEqual([]);
  expect(advance(silenceTimeoutMs - workerLeaseMs + 1000)).toEqual(['vm-3']);
});

test('tasks that would miss their deadline by waiting do not wait for an unresponsive machine', () => {
  // The task can still meet its deadline if it runs again now, but no longer once the lease has expired.
  const { harness, advance } = fleetWithSilentMachines(73, ['vm-3']);
  expect(advance(harness.state.config.timing.workerLeaseMs)).toEqual(['vm-3']);
});

test('a leader that was paused terminates no machine before it has caught up', () => {
  const { harness } = fleetWithSilentMachines(null, ['vm-3']);
  harness.now += 3 * harness.state.config.timing.silenceTimeoutMs;
  expect(terminatedMachines(harness.stepAndCommit({ kind: 'tick', isStalled: true }))).toEqual([]);
  expect(terminatedMachines(harness.stepAndCommit({ kind: 'tick' })).length).toBeGreaterThan(0);
});

/**
 * The leader of the next term: it learns of machines with tasks from the stored claims and the cloud's list, and
 * receives heartbeats from some of them.
 */
function newLeader(reportingCount: number, previousLeaderMayBeAlive: boolean): CoreHarness {
  const harness = new CoreHarness();
  const { layout, legacyChunkTasks } = harness.state;
  const spec = job('req-1', 10, 8, 60);
  harness.stepAndCommit({
    kind: 'becomeLeader',
    term: 6,
    modRevision: 200,
    viewConfirmedAt: harness.now,
    layout,
    legacyChunkTasks,
    jobs: [{ value: spec, modRevision: 150 }],
    chunks: [],
    demandHistory: [],
    previousLeaderMayBeAlive,
  });
  harness.stepAndCommit({
    kind: 'machinesListed',
    requestedAt: harness.now,
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
  const owner = harness.state.jobs.get('req-1');
  machineNames(10).forEach((name, i) => {
    const machine = harness.state.machines.get(name);
    if (machine !== undefined && owner !== undefined)
      claimTask(harness.state, owner, i, machine, harness.time(), Infinity);
  });
  harness.state.isPlacementDue = false;
  for (const name of machineNames(reportingCount))
    harness.deliverHeartbeat(heartbeatOf(name, 1, [], { token: 6 }));
  return harness;
}

// The previous leader may be partitioned and still answer these machines.
test('many machines that send a new leader no heartbeat are one event: the previous leader may serve them', () => {
  const terminatedWith = (reportingCount: number): number => {
    const harness = newLeader(reportingCount, false);
    harness.now += harness.state.config.timing.silenceTimeoutMs + 500;
    for (const name of machineNames(reportingCount))
      harness.deliverHeartbeat(heartbeatOf(name, 2, [], { token: 6 }));
    return terminatedMachines(harness.stepAndCommit({ kind: 'tick' })).length;
  };
  expect(terminatedWith(9)).toBe(1);
  expect(terminatedWith(4)).toBe(0);
  const harness = newLeader(4, false);
  const { authorityWindowMs, workerLeaseMs, maxHeartbeatIntervalMs } = harness.state.config.timing;
  harness.now += authorityWindowMs + workerLeaseMs + maxHeartbeatIntervalMs + 500;
  harness.stepAndCommit({ kind: 'viewConfirmed', sentAt: harness.now });
  for (const name of machineNames(4)) harness.deliverHeartbeat(heartbeatOf(name, 2, [], { token: 6 }));
  expect(terminatedMachines(harness.stepAndCommit({ kind: 'tick' }))).toHaveLength(6);
});

test('a machine that answers a direct call is alive, whichever controller gets its heartbeats', () => {
  const harness = newLeader(9, false);
  const { silenceTimeoutMs } = harness.state.config.timing;
  harness.now += silenceTimeoutMs - 1000;
  harness.stepAndCommit({ kind: 'directAnswer', heartbeat: heartbeatOf('vm-9', 5, [], { token: 6 }) });
  harness.now += 1500;
  for (const name of machineNames(9)) harness.deliverHeartbeat(heartbeatOf(name, 2, [], { token: 6 }));
  expect(terminatedMachines(harness.stepAndCommit({ kind: 'tick' }))).toEqual([]);
});

// Direct calls to all silent machines at each tick would leave a leader with little processor time none for
// heartbeats.
test('a new leader sends a few direct calls if the previous leader may be alive, none at first if it is gone', () => {
  const { maxDirectCallsPerInterval, timing } = newLeader(0, true).state.config;
  const directCalls = calledMachines(newLeader(0, true).stepAndCommit({ kind: 'tick' }));
  expect(directCalls.length).toBeGreaterThan(0);
  expect(directCalls.length).toBeLessThanOrEqual(Math.ceil(maxDirectCallsPerInterval / 4));
  const harness = newLeader(0, false);
  expect(calledMachines(harness.stepAndCommit({ kind: 'tick' }))).toEqual([]);
  harness.now += 1.2 * timing.maxHeartbeatIntervalMs;
  expect(calledMachines(harness.stepAndCommit({ kind: 'tick' })).length).toBeLessThanOrEqual(
    maxDirectCallsPerInterval,
  );
});

test('during a leadership transfer a leader starts nothing new and still answers its workers', () => {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('vm-1', 1));
  harness.stepAndCommit({ kind: 'transferLeadership' });
  harness.addJob(job('req-1', 1, 8, 60));
  harness.now += 10_000;
  expect(
    harness
      .stepAndCommit({ kind: 'tick' })
      .filter(({ kind }) => kind === 'commit' || kind === 'provision' || kind === 'terminate'),
  ).toEqual([]);
  const [answer] = harness.deliverHeartbeat(heartbeatOf('vm-1', 2)).filter(({ kind }) => kind === 'reply');
  expect(answer).toMatchObject({ body: { kind: 'commands', commands: [] } });
});
