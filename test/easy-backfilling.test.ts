/** EASY backfilling and the order of the queue. Traces in test/traces/ list commands (>) and effects (<). */
import { expect, test } from 'vitest';
import { mayBackfill, waitingJobs } from '../src/core/placement/index.js';
import { isDeadlineAtRisk } from '../src/core/jobs/index.js';
import type { ClassObjectives } from '../src/core/model.js';
import { CoreHarness, EIGHT_CPU_TYPE, job, heartbeatOf, task } from './emulators/core-harness.js';

/** Gives a job class a start objective in milliseconds. */
function setStartObjective(harness: CoreHarness, jobClass: string, ms: number): void {
  const objectives = harness.state.config.objectives as Map<string, ClassObjectives>;
  objectives.set(jobClass, { startTargetsMs: [ms], deadlineMultiples: [], finishTargetsMs: [] });
}

const resources = (cpus: number) => ({ cpus, gpus: 0, memoryGb: cpus, heartbeatBytes: cpus });

test('a task that ends by the shadow time may be backfilled whatever resources it needs', () => {
  expect(mayBackfill({ shadowTime: 100, extra: resources(0) }, resources(8), 100)).toBe(true);
});

test('a task that runs past the shadow time may be backfilled only within the extra resources', () => {
  expect(mayBackfill({ shadowTime: 100, extra: resources(4) }, resources(4), 500)).toBe(true);
  expect(mayBackfill({ shadowTime: 100, extra: resources(4) }, resources(5), 101)).toBe(false);
});

/** One machine with 8 CPUs, 4 of them allocated for 100 s; the head job needs 6 and is blocked until then. */
function blockedHead(): CoreHarness {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-1', 1, 4, 100));
  harness.deliverHeartbeat(heartbeatOf('m', 2));
  harness.deliverHeartbeat(heartbeatOf('m', 3, [task('req-1/0', 1, 'running')]));
  harness.addJob(job('req-2', 1, 6, 50));
  expect(harness.state.headReservation).toMatchObject({ job: 'req-2', machines: ['m'] });
  return harness;
}

test('a job is backfilled if it ends by the shadow time or fits the extra resources', async () => {
  const harness = blockedHead();
  const running = [task('req-1/0', 1, 'running')];
  harness.addJob(job('req-3', 1, 4, 500)); // neither: needs 4 CPUs beyond the shadow time, and 2 are extra
  harness.addJob(job('req-4', 1, 2, 500)); // fits the extra resources
  harness.addJob(job('req-5', 1, 2, 60)); // ends by the shadow time
  const started = CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 4, running)));
  expect(started).toEqual(['req-4/0#1', 'req-5/0#1']);
  await harness.expectTrace('backfill');
});

test('extra resources are consumed: a second long task that would fit them alone waits', async () => {
  const harness = blockedHead();
  const running = [task('req-1/0', 1, 'running')];
  harness.addJob(job('req-3', 1, 2, 500));
  harness.addJob(job('req-4', 1, 2, 500));
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 4, running)))).toEqual([
    'req-3/0#1',
  ]);
  await harness.expectTrace('extra-resources');
});

test('an early task end starts the head job immediately, ahead of the jobs behind it', async () => {
  const harness = blockedHead();
  harness.addJob(job('req-3', 1, 4, 500));
  harness.now += 10_000;
  const effects = harness.deliverHeartbeat(heartbeatOf('m', 4, [task('req-1/0', 1, 'exited', 'done')]));
  expect(CoreHarness.startedTasks(effects)).toEqual(['req-2/0#1']);
  await harness.expectTrace('early-end');
});

test('only the head job holds a reservation: the second job may be overtaken repeatedly', async () => {
  const harness = blockedHead();
  harness.addJob(job('req-3', 1, 8, 50)); // the second job, needs the whole machine
  harness.addJob(job('req-4', 1, 2, 400)); // delays req-3, but not req-2
  const started = CoreHarness.startedTasks(
    harness.deliverHeartbeat(heartbeatOf('m', 4, [task('req-1/0', 1, 'running')])),
  );
  expect(started).toEqual(['req-4/0#1']);
  await harness.expectTrace('second-job');
});

test('a task past its estimate continues and is expected to end one overrun allowance from now', () => {
  const harness = blockedHead();
  const before = harness.state.headReservation?.shadowTime ?? 0;
  harness.now += 150_000;
  harness.state.isPlacementDue = true;
  harness.state.leadership = {
    ...(harness.state.leadership ?? { term: 5, modRevision: 100, since: 0 }),
    authorityUntil: Infinity,
    viewConfirmedAt: 0,
    viewRevision: 0,
    directCallBudget: { left: 0, at: 0 },
  };
  harness.deliverHeartbeat(heartbeatOf('m', 4, [task('req-1/0', 1, 'running')]));
  harness.stepAndCommit({ kind: 'tick' });
  expect(harness.state.headReservation?.shadowTime).toBe(
    harness.now + harness.state.config.timing.workerLeaseMs,
  );
  expect(before).toBeLessThan(harness.now);
});

test('a head job that can never fit gets no shadow time and blocks no other job', async () => {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-1', 1, 8, 50, { zone: 'elsewhere' }));
  harness.addJob(job('req-2', 1, 8, 5000));
  const started = CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 2)));
  expect(started).toEqual(['req-2/0#1']);
  await harness.expectTrace('never-fits');
});

test('a service is expected never to end, so no reservation counts on its resources', () => {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-1', 1, 6, 0, { form: 'service' }));
  harness.deliverHeartbeat(heartbeatOf('m', 2));
  harness.addJob(job('req-2', 1, 4, 50));
  expect(harness.state.headReservation).toMatchObject({ job: 'req-2', shadowTime: null });
});

test('gang scheduling starts all tasks of a gang or none', () => {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-1', 3, 4, 50, { form: 'gang' }));
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 2)))).toEqual([]);
  harness.deliverHeartbeat(heartbeatOf('n', 1));
  const both = [
    ...harness.deliverHeartbeat(heartbeatOf('m', 3)),
    ...harness.deliverHeartbeat(heartbeatOf('n', 2)),
  ];
  expect(CoreHarness.startedTasks(both).sort()).toEqual(['req-1/0#1', 'req-1/1#1', 'req-1/2#1']);
});

test('jobs of a team at its quota are skipped, and tasks count until proven gone', () => {
  const harness = new CoreHarness(6);
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-1', 1, 4, 50));
  harness.addJob(job('req-2', 1, 4, 50));
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 2)))).toEqual(['req-1/0#1']);
  harness.stepAndCommit({ kind: 'jobRemoved', id: 'req-1' });
  // Cancelled, but still on its machine.
  expect(
    CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 3, [task('req-1/0', 1, 'running')]))),
  ).toEqual([]);
  const after = harness.deliverHeartbeat(heartbeatOf('m', 4, [task('req-1/0', 1, 'exited', 'stopped')]));
  expect(CoreHarness.startedTasks(after)).toEqual(['req-2/0#1']);
});

test('a job that can no longer meet its deadline queues behind one that can', () => {
  const harness = new CoreHarness();
  harness.addJob(job('req-1', 1, 8, 50, { deadlineS: 60, submittedAt: harness.now - 50_000 }));
  harness.addJob(job('req-2', 1, 8, 50, { deadlineS: 100, submittedAt: harness.now }));
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 2)))).toEqual(['req-2/0#1']);
});

/** A small and a large machine type; req-2 fits only the large one, and waits for req-1, which runs there. */
function scarceLargeType(): CoreHarness {
  const large = { ...EIGHT_CPU_TYPE, name: 'large', cpus: 32, memoryGb: 256 };
  const harness = new CoreHarness(0, [EIGHT_CPU_TYPE, large]);
  harness.deliverHeartbeat(heartbeatOf('l', 1, [], { type: 'large' }));
  harness.addJob(job('req-1', 1, 16, 100));
  harness.deliverHeartbeat(heartbeatOf('l', 2, [], { type: 'large' }));
  harness.deliverHeartbeat(heartbeatOf('l', 3, [task('req-1/0', 1, 'running')], { type: 'large' }));
  harness.addJob(job('req-2', 1, 24, 100));
  return harness;
}
const startsOnLarge = (harness: CoreHarness): string[] =>
  CoreHarness.startedTasks(
    harness.deliverHeartbeat(heartbeatOf('l', 4, [task('req-1/0', 1, 'running')], { type: 'large' })),
  );

test('resources that only one machine type has are reserved for constrained jobs by the same two tests', () => {
  const harness = scarceLargeType();
  harness.addJob(job('req-3', 1, 8, 500, { priority: 1, submittedAt: harness.now, deadlineS: 5000 })); // fits the extra resources
  harness.addJob(job('req-4', 1, 8, 500, { priority: 1, submittedAt: harness.now, deadlineS: 5000 })); // no longer fits them
  harness.addJob(job('req-5', 1, 8, 50, { priority: 1, submittedAt: harness.now, deadlineS: 5000 })); // ends by the shadow time
  expect(startsOnLarge(harness)).toEqual(['req-3/0#1', 'req-5/0#1']);
});

test('a job of higher priority that must start now precedes the job that resources are reserved for', () => {
  const harness = scarceLargeType();
  harness.addJob(job('req-3', 1, 16, 500, { priority: 1, submittedAt: harness.now, deadlineS: 600 }));
  expect(startsOnLarge(harness)).toEqual(['req-3/0#1']);
});

// A start takes time to reach its machine. If that is not counted, every task of a burst is placed just too late.
test('a job that can no longer start in time, given the start latency, queues behind one that can', () => {
  const harness = new CoreHarness();
  setStartObjective(harness, 'class', 5000);
  const { maxHeartbeatIntervalMs } = harness.state.config.timing;
  const old = job('req-1', 1, 8, 50, { submittedAt: harness.now - 5000 + maxHeartbeatIntervalMs });
  const fresh = job('req-2', 1, 8, 50, { submittedAt: harness.now - 1000 });
  harness.addJob(old);
  harness.addJob(fresh);
  expect(waitingJobs(harness.state, harness.time()).map(({ spec }) => spec.id)).toEqual(['req-2', 'req-1']);
});

// A missed start objective must not cost the deadline of the job as well.
test('a job that missed its start objective is at risk again when its deadline approaches', () => {
  const harness = new CoreHarness();
  setStartObjective(harness, 'class', 5000);
  const isAtRiskAtAge = (ageS: number): boolean => {
    const spec = job(`req-${ageS}`, 1, 8, 10, { deadlineS: 30, submittedAt: harness.now - ageS * 1000 });
    harness.addJob(spec);
    const state = harness.state.jobs.get(spec.id);
    return state !== undefined && isDeadlineAtRisk(harness.state, state, harness.time());
  };
  expect([1, 2.5, 10, 17, 25].map(isAtRiskAtAge)).toEqual([false, true, false, true, false]);
});

// Ordered by urgency alone, a large job would take the resources of several that can still be in time.
test('of jobs whose deadline is at risk, the one with the least waiting work comes first', () => {
  const harness = new CoreHarness();
  const addWithDeadline = (id: string, tasks: number, deadlineS: number): void => {
    harness.addJob(job(id, tasks, 8, 10, { deadlineS, submittedAt: harness.now }));
  };
  addWithDeadline('req-1', 30, 15);
  addWithDeadline('req-2', 2, 17);
  addWithDeadline('req-3', 1, 100);
  expect(waitingJobs(harness.state, harness.time()).map(({ spec }) => spec.id)).toEqual([
    'req-2',
    'req-1',
    'req-3',
  ]);
});

// On a machine without the image, a start is delayed until the image has been fetched.
test('headroom is reserved for start-sensitive classes on the machines with most cached images', () => {
  const harness = new CoreHarness();
  setStartObjective(harness, 'rush', 3000);
  const rush = job('req-9', 1, 2, 20, { jobClass: 'rush', priority: 1 });
  harness.state.demand.set('rush', {
    spec: rush,
    peak: 2,
    arrivals: [],
    updatedAt: harness.now,
    lastArrivalAt: harness.now,
    meanArrivalGapMs: 60_000,
  });
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.deliverHeartbeat(heartbeatOf('n', 1));
  harness.state.machines.get('n')?.cachedImages.set('img', 1);
  harness.stepAndCommit({ kind: 'tick' });
  harness.addJob(job('req-1', 8, 2, 50));
  const startsOnM = CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 2)));
  const startsOnN = CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('n', 2)));
  expect([startsOnM.length, startsOnN.length]).toEqual([4, 2]);
  // Tasks of the class use the headroom held for it, and none is held any more once they are placed.
  harness.addJob(job('req-2', 2, 2, 20, { jobClass: 'rush', priority: 1, submittedAt: harness.now }));
  expect(
    CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('n', 3))).filter((name) =>
      name.startsWith('req-2'),
    ),
  ).toHaveLength(2);
});

test('headroom for unconstrained jobs is not reserved on a type that is the only one for other jobs', () => {
  // Otherwise large machines stay half empty for small tasks of class rush while large jobs wait.
  const large = { ...EIGHT_CPU_TYPE, name: 'large', cpus: 64, memoryGb: 256 };
  const harness = new CoreHarness(0, [EIGHT_CPU_TYPE, large]);
  setStartObjective(harness, 'rush', 3000);
  const demand = {
    peak: 4,
    arrivals: [],
    updatedAt: harness.now,
    lastArrivalAt: harness.now,
    meanArrivalGapMs: 60_000,
  };
  harness.state.demand.set('rush', { ...demand, spec: job('req-9', 1, 2, 20, { jobClass: 'rush' }) });
  harness.state.demand.set('mix', { ...demand, spec: job('req-8', 1, 32, 20, { jobClass: 'mix' }) });
  harness.deliverHeartbeat(heartbeatOf('m', 1, [], { type: 'large' }));
  harness.addJob(job('req-1', 2, 32, 50, { jobClass: 'mix' }));
  expect(
    CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 2, [], { type: 'large' }))),
  ).toHaveLength(2);
});
