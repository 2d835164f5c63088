/**
 * Loss of many machines at the same time: what is terminated, what runs again, and what a partitioned leader must not
 * request.
 */
import { expect, test } from 'vitest';
import { RetryBudget } from '../src/adapters/rate-limiter.js';
import { countLostObjectives, isStartSensitive, latestStart } from '../src/core/jobs/index.js';
import { classObjectives } from '../src/config/core-config.js';
import type { Effect } from '../src/core/effects.js';
import type { ClassObjectives } from '../src/core/model.js';
import { claimTask } from '../src/core/persistence/index.js';
import { CoreHarness, EIGHT_CPU_TYPE, job, heartbeatOf, task } from './emulators/core-harness.js';

const terminatedBy = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'terminate' ? effect.machines : []));
const provisionedCount = (effects: readonly Effect[]): number =>
  effects.reduce((sum, effect) => sum + (effect.kind === 'provision' ? effect.count : 0), 0);

// The strictest of a class's start objectives decides how urgent it is, not the last one in the settings.
test('a class may have several objectives of each kind, and each counts separately', () => {
  const objectives = classObjectives([
    { kind: 'wait', class: 'rush', within_s: 3 },
    { kind: 'wait', class: 'rush', within_s: 50 },
    { kind: 'finished', class: 'rush', within_s: 100 },
    { kind: 'deadline', class: 'rush', times: 1.5 },
    { kind: 'deadline', class: 'rush' },
  ]);
  expect(objectives.get('rush')).toEqual({
    startTargetsMs: [3000, 50_000],
    deadlineMultiples: [1, 1.5],
    finishTargetsMs: [100_000],
  });
  const harness = new CoreHarness();
  (harness.state.config.objectives as Map<string, ClassObjectives>).set(
    'rush',
    objectives.get('rush') as ClassObjectives,
  );
  harness.addJob(
    job('req-1', 1, 2, 20, { jobClass: 'rush', priority: 1, deadlineS: 50, submittedAt: harness.now }),
  );
  const [rush] = harness.state.jobs.values();
  if (rush === undefined) throw new Error('no job');
  expect(isStartSensitive(harness.state, rush.spec)).toBe(true);
  const lostAfter = (s: number): number => {
    const now = { monotonicMs: harness.now + 1000 * s, epochMs: harness.now + 1000 * s };
    return countLostObjectives(harness.state, rush, now).lost;
  };
  expect([0, 2, 40, 60, 90].map(lostAfter)).toEqual([0, 1, 2, 4, 5]);
  expect(latestStart(harness.state, rush, harness.time())).toBeLessThanOrEqual(harness.now + 3000);
});

// A partition delays requests to the cloud: terminations requested by a partitioned leader would take effect when
// the partition ends, on machines that its successor uses.
test('a leader whose view is stale requests nothing from the cloud', () => {
  const harness = new CoreHarness();
  const names = ['m', 'n', 'o', 'p'];
  for (const name of names) harness.deliverHeartbeat(heartbeatOf(name, 1));
  harness.isViewConfirmed = false;
  harness.now += 3 * harness.state.config.timing.silenceTimeoutMs;
  harness.state.leadership = {
    ...(harness.state.leadership ?? {
      term: 5,
      modRevision: 100,
      since: 0,
      viewConfirmedAt: 0,
      viewRevision: 0,
      directCallBudget: { left: 0, at: 0 },
    }),
    authorityUntil: Infinity,
  };
  harness.addJob(job('req-1', 9, 8, 50));
  expect([
    terminatedBy(harness.stepAndCommit({ kind: 'tick' })),
    provisionedCount(harness.stepAndCommit({ kind: 'tick' })),
  ]).toEqual([[], 0]);
  harness.isViewConfirmed = true;
  expect(terminatedBy(harness.stepAndCommit({ kind: 'tick' }))).toEqual(names);
});

const PARTITIONED_MACHINES = ['p', 'q', 'r', 's'];

/**
 * Four machines of zone b, each with a running task of a job with this deadline, have fallen silent.
 * `hasContact`: the leader still receives heartbeats from machine m, of zone a.
 */
function createPartitionedZone(deadlineS: number | null, hasContact = true): CoreHarness {
  const harness = new CoreHarness();
  for (const name of PARTITIONED_MACHINES) harness.deliverHeartbeat(heartbeatOf(name, 1, [], { zone: 'b' }));
  harness.addJob(job('req-1', 4, 8, 20, { deadlineS, submittedAt: harness.now }));
  for (const name of PARTITIONED_MACHINES) harness.deliverHeartbeat(heartbeatOf(name, 2, [], { zone: 'b' }));
  for (const name of PARTITIONED_MACHINES) {
    const [claim] = harness.state.machines.get(name)?.claims.values() ?? [];
    harness.deliverHeartbeat(
      heartbeatOf(name, 3, [task(`req-1/${claim?.task}`, 1, 'running')], { zone: 'b' }),
    );
  }
  harness.now += harness.state.config.timing.silenceTimeoutMs + 500;
  if (hasContact) harness.deliverHeartbeat(heartbeatOf('m', 1));
  return harness;
}

// After lease expiry no task in the zone is running any more, so waiting for the zone gains nothing.
test('tasks of a partitioned zone run again after lease expiry if waiting would make them late', () => {
  expect(terminatedBy(createPartitionedZone(50).stepAndCommit({ kind: 'tick' }))).toEqual(
    PARTITIONED_MACHINES,
  );
  expect(terminatedBy(createPartitionedZone(null).stepAndCommit({ kind: 'tick' }))).toEqual([]);
  // A leader that receives no heartbeats at all has lost its own contact: the zone is not at fault.
  expect(terminatedBy(createPartitionedZone(50, false).stepAndCommit({ kind: 'tick' }))).toEqual([]);
});

// A change of leader must not restart the wait for a partitioned zone.
test('the time since a zone fell silent survives a change of leader', () => {
  const previousLeader = createPartitionedZone(45);
  const { timing } = previousLeader.state.config;
  const jobs = [...previousLeader.state.jobs.values()].map(({ spec, modRevision }) => ({
    value: spec,
    modRevision,
  }));
  const terminatedAfterFailover = (silentZones: Map<string, number>): string[] => {
    const harness = new CoreHarness();
    harness.now = previousLeader.now;
    const { layout, legacyChunkTasks } = harness.state;
    const term = {
      term: 6,
      modRevision: 200,
      viewConfirmedAt: harness.now,
      layout,
      legacyChunkTasks,
      chunks: [],
      demandHistory: [],
    };
    harness.stepAndCommit({ kind: 'becomeLeader', ...term, jobs, silentZones });
    const listed = PARTITIONED_MACHINES.map((name) => ({
      name,
      address: '10.0.0.9:1',
      type: 'eight',
      zone: 'b',
      spot: true,
      stage: 'running' as const,
      ageS: 99,
    }));
    harness.stepAndCommit({ kind: 'machinesListed', requestedAt: harness.now, machines: listed });
    PARTITIONED_MACHINES.forEach((name, i) => {
      const machine = harness.state.machines.get(name);
      const owner = harness.state.jobs.get('req-1');
      if (machine !== undefined && owner !== undefined)
        claimTask(harness.state, owner, i, machine, harness.time(), Infinity);
    });
    harness.now += 3 * timing.maxHeartbeatIntervalMs + 500;
    harness.deliverHeartbeat(heartbeatOf('m', 1, [], { token: 6 }));
    return terminatedBy(harness.stepAndCommit({ kind: 'tick' }));
  };
  expect(terminatedAfterFailover(new Map())).toEqual([]);
  expect(terminatedAfterFailover(new Map([['b', previousLeader.now - timing.silenceTimeoutMs]]))).toEqual(
    PARTITIONED_MACHINES,
  );
});

// A task that cannot end before the machine is reclaimed is moved before it is lost.
test('a machine with a termination notice is drained of tasks that cannot finish, and terminated when reclaimed', () => {
  const harness = new CoreHarness();
  for (const name of ['m', 'n', 'o', 'p']) harness.deliverHeartbeat(heartbeatOf(name, 1));
  harness.addJob(job('req-1', 2, 4, 100));
  const startAnswer = harness.deliverHeartbeat(heartbeatOf('m', 2));
  expect(CoreHarness.startedTasks(startAnswer)).toHaveLength(2);
  const running = [task('req-1/0', 1, 'running'), task('req-1/1', 1, 'running')];
  harness.deliverHeartbeat(heartbeatOf('m', 3, running, { terminationNoticeS: 20 }));
  harness.stepAndCommit({ kind: 'tick' });
  const stopAnswer = harness.deliverHeartbeat(heartbeatOf('m', 4, running, { terminationNoticeS: 19 }));
  expect(JSON.stringify(stopAnswer).match(/"op":"stop"/g)).toHaveLength(2);
  harness.deliverHeartbeat(
    heartbeatOf('m', 5, [task('req-1/0', 1, 'exited', 'stopped')], { terminationNoticeS: 18 }),
  );
  harness.now += 18_000 + 2 * harness.state.config.timing.maxHeartbeatIntervalMs;
  for (const name of ['n', 'o', 'p']) harness.deliverHeartbeat(heartbeatOf(name, 2));
  expect(terminatedBy(harness.stepAndCommit({ kind: 'tick' }))).toEqual(['m']);
});

// Requests in small batches would delay a scale-out of hundreds of machines by seconds.
test('scale-out requests all planned machines at once, evenly over zones of equal price', () => {
  const harness = new CoreHarness(0, [{ ...EIGHT_CPU_TYPE, zones: ['a', 'b'] }]);
  harness.now += 1000;
  harness.addJob(job('req-1', 200, 8, 50));
  const requests = harness.stepAndCommit({ kind: 'tick' }).filter((effect) => effect.kind === 'provision');
  const zones = new Map<string, number>();
  for (const { zone, count } of requests) zones.set(zone, (zones.get(zone) ?? 0) + count);
  expect(Object.fromEntries(zones)).toEqual({ a: 100, b: 100 });
  expect(Math.max(...requests.map(({ count }) => count))).toBeLessThanOrEqual(50);
});

const probedMachines = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'probe' ? [effect.machine] : []));

// Without probes, a dead machine is detected only after the time that a live worker may need to try all controllers.
test('a machine that fails two probes while most machines of its zone report is terminated', () => {
  const harness = new CoreHarness();
  const { maxHeartbeatIntervalMs, shortSilenceTimeoutMs } = harness.state.config.timing;
  const others = ['n', 'o', 'p'];
  let seq = 0;
  const sendHeartbeats = (...names: string[]): void => {
    seq += 1;
    for (const name of names) harness.deliverHeartbeat(heartbeatOf(name, seq));
  };
  const settleProbe = (machine: string, isReachable: boolean | null): void => {
    harness.stepAndCommit({ kind: 'probed', machine, isReachable });
  };
  const startedAt = harness.now;
  sendHeartbeats('m', ...others);
  harness.now += 1.3 * maxHeartbeatIntervalMs;
  // No machine of its zone has reported: that may be a partition, and is no evidence against a single machine.
  expect(probedMachines(harness.stepAndCommit({ kind: 'tick' }))).toEqual([]);
  sendHeartbeats(...others);
  expect(probedMachines(harness.stepAndCommit({ kind: 'tick' }))).toEqual(['m']);
  // Only one probe at a time; an inconclusive or successful probe is no evidence against the machine.
  expect(probedMachines(harness.stepAndCommit({ kind: 'tick' }))).toEqual([]);
  for (const isReachable of [false, null, true, false]) {
    settleProbe('m', isReachable);
    expect(terminatedBy(harness.stepAndCommit({ kind: 'tick' }))).toEqual([]);
  }
  // A period in which no machine of the zone reports resets the count of failed probes.
  harness.now += 1.2 * maxHeartbeatIntervalMs;
  harness.stepAndCommit({ kind: 'tick' });
  sendHeartbeats(...others);
  settleProbe('m', false);
  expect(terminatedBy(harness.stepAndCommit({ kind: 'tick' }))).toEqual([]);
  settleProbe('m', false);
  expect(harness.now - startedAt).toBeLessThan(shortSilenceTimeoutMs);
  expect(terminatedBy(harness.stepAndCommit({ kind: 'tick' }))).toEqual(['m']);
});

// A heartbeat that is in flight when a probe fails is newer evidence than the probe.
test('a probe result is discarded once the machine reports again', () => {
  const harness = new CoreHarness();
  const { maxHeartbeatIntervalMs } = harness.state.config.timing;
  for (const name of ['m', 'n', 'o']) harness.deliverHeartbeat(heartbeatOf(name, 1));
  harness.now += 1.3 * maxHeartbeatIntervalMs;
  for (const name of ['n', 'o']) harness.deliverHeartbeat(heartbeatOf(name, 2));
  harness.stepAndCommit({ kind: 'tick' });
  harness.stepAndCommit({ kind: 'probed', machine: 'm', isReachable: false });
  harness.deliverHeartbeat(heartbeatOf('m', 2));
  harness.now += 1.3 * maxHeartbeatIntervalMs;
  for (const name of ['n', 'o']) harness.deliverHeartbeat(heartbeatOf(name, 3));
  harness.stepAndCommit({ kind: 'tick' });
  harness.stepAndCommit({ kind: 'probed', machine: 'm', isReachable: false });
  expect(terminatedBy(harness.stepAndCommit({ kind: 'tick' }))).toEqual([]);
});

// Retries without a budget would multiply the load on a failing service.
test('the retry budget limits requests to a failing service until it answers', () => {
  let now = 0;
  const budget = new RetryBudget(
    {
      monotonicMs: () => now,
      epochMs: () => now,
      sleep: () => Promise.resolve(),
      defer: () => undefined,
      startMeasuring: () => () => ({ elapsedMs: 1, cpuMs: 1 }),
    },
    100,
  );
  const countAllowed = (): number =>
    Array.from({ length: 200 }, () => budget.allowsRequest()).filter(Boolean).length;
  expect(countAllowed()).toBe(200);
  budget.observeOutcome(false);
  expect(countAllowed()).toBe(5);
  now += 1000;
  expect(countAllowed()).toBe(5);
  budget.observeOutcome(true);
  expect(countAllowed()).toBe(200);
});
