/** EASY backfilling and the order of the queue. Traces in test/traces/ list commands (>) and effects (<). */
import { expect, test } from 'vitest';
import { mayBackfill, waitingJobs } from '../src/core/placement/index.js';
import { isDeadlineAtRisk } from '../src/core/jobs/index.js';
import type { ClassObjectives } from '../src/core/model.js';
import { CoreHarness, EIGHT, job, report, task } from './emulators/core-harness.js';

/** Gives a job class a start objective in milliseconds. */
function setStartObjective(harness: CoreHarness, jobClass: string, ms: number): void {
  const objectives = harness.state.config.objectives as Map<string, ClassObjectives>;
  objectives.set(jobClass, { startTargetsMs: [ms], deadlineMultiples: [], finishTargetsMs: [] });
}

const resources = (cpus: number) => ({ cpus, gpus: 0, memoryGb: cpus });

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
  harness.hear(report('m', 1));
  harness.add(job('req-1', 1, 4, 100));
  harness.hear(report('m', 2));
  harness.hear(report('m', 3, [task('req-1/0', 1, 'running')]));
  harness.add(job('req-2', 1, 6, 50));
  expect(harness.state.head).toMatchObject({ job: 'req-2', machines: ['m'] });
  return harness;
}

test('a job is backfilled if it ends by the shadow time or fits the extra resources', async () => {
  const harness = blockedHead();
  const running = [task('req-1/0', 1, 'running')];
  harness.add(job('req-3', 1, 4, 500)); // neither: needs 4 CPUs beyond the shadow time, and 2 are extra
  harness.add(job('req-4', 1, 2, 500)); // fits the extra resources
  harness.add(job('req-5', 1, 2, 60)); // ends by the shadow time
  const started = CoreHarness.starts(harness.hear(report('m', 4, running)));
  expect(started).toEqual(['req-4/0#1', 'req-5/0#1']);
  await harness.expectTrace('backfill');
});

test('extra resources are consumed: a second long task that would fit them alone waits', async () => {
  const harness = blockedHead();
  const running = [task('req-1/0', 1, 'running')];
  harness.add(job('req-3', 1, 2, 500));
  harness.add(job('req-4', 1, 2, 500));
  expect(CoreHarness.starts(harness.hear(report('m', 4, running)))).toEqual(['req-3/0#1']);
  await harness.expectTrace('extra-resources');
});

test('an early task end starts the head job immediately, ahead of the jobs behind it', async () => {
  const harness = blockedHead();
  harness.add(job('req-3', 1, 4, 500));
  harness.now += 10_000;
  const effects = harness.hear(report('m', 4, [task('req-1/0', 1, 'exited', 'done')]));
  expect(CoreHarness.starts(effects)).toEqual(['req-2/0#1']);
  await harness.expectTrace('early-end');
});

test('only the head job holds a reservation: the second job may be overtaken repeatedly', async () => {
  const harness = blockedHead();
  harness.add(job('req-3', 1, 8, 50)); // the second job, needs the whole machine
  harness.add(job('req-4', 1, 2, 400)); // delays req-3, but not req-2
  const started = CoreHarness.starts(harness.hear(report('m', 4, [task('req-1/0', 1, 'running')])));
  expect(started).toEqual(['req-4/0#1']);
  await harness.expectTrace('second-job');
});

test('a task past its estimate continues and is expected to end one overrun allowance from now', () => {
  const harness = blockedHead();
  const before = harness.state.head?.shadowTime ?? 0;
  harness.now += 150_000;
  harness.state.isPlacementDue = true;
  harness.state.leadership = {
    ...(harness.state.leadership ?? { term: 5, modRevision: 100, since: 0 }),
    authorityUntil: Infinity,
    viewConfirmedAt: 0,
    directCallBudget: { left: 0, at: 0 },
  };
  harness.hear(report('m', 4, [task('req-1/0', 1, 'running')]));
  harness.do({ kind: 'tick' });
  expect(harness.state.head?.shadowTime).toBe(harness.now + harness.state.config.timing.workerLeaseMs);
  expect(before).toBeLessThan(harness.now);
});

test('a head job that can never fit gets no shadow time and blocks no other job', async () => {
  const harness = new CoreHarness();
  harness.hear(report('m', 1));
  harness.add(job('req-1', 1, 8, 50, { zone: 'elsewhere' }));
  harness.add(job('req-2', 1, 8, 5000));
  const started = CoreHarness.starts(harness.hear(report('m', 2)));
  expect(started).toEqual(['req-2/0#1']);
  await harness.expectTrace('never-fits');
});

test('a service is expected never to end, so no reservation counts on its resources', () => {
  const harness = new CoreHarness();
  harness.hear(report('m', 1));
  harness.add(job('req-1', 1, 6, 0, { form: 'service' }));
  harness.hear(report('m', 2));
  harness.add(job('req-2', 1, 4, 50));
  expect(harness.state.head).toMatchObject({ job: 'req-2', shadowTime: null });
});

test('gang scheduling starts all tasks of a gang or none', () => {
  const harness = new CoreHarness();
  harness.hear(report('m', 1));
  harness.add(job('req-1', 3, 4, 50, { form: 'gang' }));
  expect(CoreHarness.starts(harness.hear(report('m', 2)))).toEqual([]);
  harness.hear(report('n', 1));
  const both = [...harness.hear(report('m', 3)), ...harness.hear(report('n', 2))];
  expect(CoreHarness.starts(both).sort()).toEqual(['req-1/0#1', 'req-1/1#1', 'req-1/2#1']);
});

test('jobs of a team at its quota are skipped, and tasks count until proven gone', () => {
  const harness = new CoreHarness(6);
  harness.hear(report('m', 1));
  harness.add(job('req-1', 1, 4, 50));
  harness.add(job('req-2', 1, 4, 50));
  expect(CoreHarness.starts(harness.hear(report('m', 2)))).toEqual(['req-1/0#1']);
  harness.do({ kind: 'jobRemoved', id: 'req-1' });
  // Cancelled, but still on its machine.
  expect(CoreHarness.starts(harness.hear(report('m', 3, [task('req-1/0', 1, 'running')])))).toEqual([]);
  const after = harness.hear(report('m', 4, [task('req-1/0', 1, 'exited', 'stopped')]));
  expect(CoreHarness.starts(after)).toEqual(['req-2/0#1']);
});

test('a job that can no longer meet its deadline queues behind one that can', () => {
  const harness = new CoreHarness();
  harness.add(job('req-1', 1, 8, 50, { deadlineS: 60, submittedAt: harness.now - 50_000 }));
  harness.add(job('req-2', 1, 8, 50, { deadlineS: 100, submittedAt: harness.now }));
  harness.hear(report('m', 1));
  expect(CoreHarness.starts(harness.hear(report('m', 2)))).toEqual(['req-2/0#1']);
});

/** A small and a large machine type; req-2 fits only the large one, and waits for req-1, which runs there. */
function scarceLargeType(): CoreHarness {
  const large = { ...EIGHT, name: 'large', cpus: 32, memoryGb: 256 };
  const harness = new CoreHarness(0, [EIGHT, large]);
  harness.hear(report('l', 1, [], { type: 'large' }));
  harness.add(job('req-1', 1, 16, 100));
  harness.hear(report('l', 2, [], { type: 'large' }));
  harness.hear(report('l', 3, [task('req-1/0', 1, 'running')], { type: 'large' }));
  harness.add(job('req-2', 1, 24, 100));
  return harness;
}
const startsOnLarge = (harness: CoreHarness): string[] =>
  CoreHarness.starts(harness.hear(report('l', 4, [task('req-1/0', 1, 'running')], { type: 'large' })));

test('resources that only one machine type has are reserved for constrained jobs by the same two tests', () => {
  const harness = scarceLargeType();
  harness.add(job('req-3', 1, 8, 500, { priority: 1, submittedAt: harness.now, deadlineS: 5000 })); // fits the extra resources
  harness.add(job('req-4', 1, 8, 500, { priority: 1, submittedAt: harness.now, deadlineS: 5000 })); // no longer fits them
  harness.add(job('req-5', 1, 8, 50, { priority: 1, submittedAt: harness.now, deadlineS: 5000 })); // ends by the shadow time
  expect(startsOnLarge(harness)).toEqual(['req-3/0#1', 'req-5/0#1']);
});

test('a job of higher priority that must start now precedes the job that resources are reserved for', () => {
  const harness = scarceLargeType();
  harness.add(job('req-3', 1, 16, 500, { priority: 1, submittedAt: harness.now, deadlineS: 600 }));
  expect(startsOnLarge(harness)).toEqual(['req-3/0#1']);
});

// A start takes time to reach its machine. If that is not counted, every task of a burst is placed just too late.
test('a job that can no longer start in time, given the start latency, queues behind one that can', () => {
  const harness = new CoreHarness();
  setStartObjective(harness, 'class', 5000);
  const { maxHeartbeatIntervalMs } = harness.state.config.timing;
  const old = job('req-1', 1, 8, 50, { submittedAt: harness.now - 5000 + maxHeartbeatIntervalMs });
  const fresh = job('req-2', 1, 8, 50, { submittedAt: harness.now - 1000 });
  harness.add(old);
  harness.add(fresh);
  expect(waitingJobs(harness.state, harness.time()).map(({ spec }) => spec.id)).toEqual(['req-2', 'req-1']);
});

// A missed start objective must not cost the deadline of the job as well.
test('a job that missed its start objective is at risk again when its deadline approaches', () => {
  const harness = new CoreHarness();
  setStartObjective(harness, 'class', 5000);
  const isAtRiskAtAge = (ageS: number): boolean => {
    const spec = job(`req-${ageS}`, 1, 8, 10, { deadlineS: 30, submittedAt: harness.now - ageS * 1000 });
    harness.add(spec);
    const state = harness.state.jobs.get(spec.id);
    return state !== undefined && isDeadlineAtRisk(harness.state, state, harness.time());
  };
  expect([1, 2.5, 10, 17, 25].map(isAtRiskAtAge)).toEqual([false, true, false, true, false]);
});

// Ordered by urgency alone, a large job would take the resources of several that can still be in time.
test('of jobs whose deadline is at risk, the one with the least waiting work comes first', () => {
  const harness = new CoreHarness();
  const addWithDeadline = (id: string, tasks: number, deadlineS: number): void => {
    harness.add(job(id, tasks, 8, 10, { deadlineS, submittedAt: harness.now }));
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
    meanArrivalGap: 60_000,
  });
  harness.hear(report('m', 1));
  harness.hear(report('n', 1));
  harness.state.machines.get('n')?.cachedImages.set('img', 1);
  harness.do({ kind: 'tick' });
  harness.add(job('req-1', 8, 2, 50));
  const startsOnM = CoreHarness.starts(harness.hear(report('m', 2)));
  const startsOnN = CoreHarness.starts(harness.hear(report('n', 2)));
  expect([startsOnM.length, startsOnN.length]).toEqual([4, 2]);
  // Tasks of the class use the headroom held for it, and none is held any more once they are placed.
  harness.add(job('req-2', 2, 2, 20, { jobClass: 'rush', priority: 1, submittedAt: harness.now }));
  expect(
    CoreHarness.starts(harness.hear(report('n', 3))).filter((name) => name.startsWith('req-2')),
  ).toHaveLength(2);
});

test('headroom for unconstrained jobs is not reserved on a type that is the only one for other jobs', () => {
  // Otherwise large machines stay half empty for small tasks of class rush while large jobs wait.
  const large = { ...EIGHT, name: 'large', cpus: 64, memoryGb: 256 };
  const harness = new CoreHarness(0, [EIGHT, large]);
  setStartObjective(harness, 'rush', 3000);
  const demand = {
    peak: 4,
    arrivals: [],
    updatedAt: harness.now,
    lastArrivalAt: harness.now,
    meanArrivalGap: 60_000,
  };
  harness.state.demand.set('rush', { ...demand, spec: job('req-9', 1, 2, 20, { jobClass: 'rush' }) });
  harness.state.demand.set('mix', { ...demand, spec: job('req-8', 1, 32, 20, { jobClass: 'mix' }) });
  harness.hear(report('m', 1, [], { type: 'large' }));
  harness.add(job('req-1', 2, 32, 50, { jobClass: 'mix' }));
  expect(CoreHarness.starts(harness.hear(report('m', 2, [], { type: 'large' })))).toHaveLength(2);
});
