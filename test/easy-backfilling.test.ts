/** EASY backfilling and the order of the queue. Traces in test/traces/: commands in (>), effects out (<). */
import { expect, test } from 'vitest';
import { mayBackfill, waitingJobs } from '../src/core/placement/index.js';
import { isDeadlineAtRisk } from '../src/core/jobs/index.js';
import type { ClassObjectives } from '../src/core/model.js';
import { CoreHarness, EIGHT, job, report, task } from './emulators/core-harness.js';

/** From now on a class has a start aim. */
function startWithin(bench: CoreHarness, jobClass: string, ms: number): void {
  const aims = bench.state.config.objectives as Map<string, ClassObjectives>;
  aims.set(jobClass, { startTargetsMs: [ms], deadlineMultiples: [], finishTargetsMs: [] });
}

const room = (cpus: number) => ({ cpus, gpus: 0, memoryGb: cpus });

test('a task that ends by the shadow time may be backfilled whatever resources it needs', () => {
  expect(mayBackfill({ shadowTime: 100, extra: room(0) }, room(8), 100)).toBe(true);
});

test('a task that runs past the shadow time may be backfilled only within the extra resources', () => {
  expect(mayBackfill({ shadowTime: 100, extra: room(4) }, room(4), 500)).toBe(true);
  expect(mayBackfill({ shadowTime: 100, extra: room(4) }, room(5), 101)).toBe(false);
});

/** One machine of 8 cpus, 4 of them taken for 100 s; the head wants 6 and is blocked until then. */
function blockedHead(): CoreHarness {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  bench.add(job('req-1', 1, 4, 100));
  bench.hear(report('m', 2));
  bench.hear(report('m', 3, [task('req-1/0', 1, 'running')]));
  bench.add(job('req-2', 1, 6, 50));
  expect(bench.state.head).toMatchObject({ job: 'req-2', machines: ['m'] });
  return bench;
}

test('a job is backfilled if it ends by the shadow time or fits the extra resources', async () => {
  const bench = blockedHead();
  const running = [task('req-1/0', 1, 'running')];
  bench.add(job('req-3', 1, 4, 500)); // neither: 4 cpus past the shadow, extra is 2
  bench.add(job('req-4', 1, 2, 500)); // fits the extra room
  bench.add(job('req-5', 1, 2, 60)); // ends by the shadow time
  const started = CoreHarness.starts(bench.hear(report('m', 4, running)));
  expect(started).toEqual(['req-4/0#1', 'req-5/0#1']);
  await bench.expectTrace('backfill');
});

test('extra resources are consumed: a second long task that would fit them alone waits', async () => {
  const bench = blockedHead();
  const running = [task('req-1/0', 1, 'running')];
  bench.add(job('req-3', 1, 2, 500));
  bench.add(job('req-4', 1, 2, 500));
  expect(CoreHarness.starts(bench.hear(report('m', 4, running)))).toEqual(['req-3/0#1']);
  await bench.expectTrace('extra-resources');
});

test('an early task end starts the head job at once, ahead of the jobs behind it', async () => {
  const bench = blockedHead();
  bench.add(job('req-3', 1, 4, 500));
  bench.now += 10_000;
  const effects = bench.hear(report('m', 4, [task('req-1/0', 1, 'exited', 'done')]));
  expect(CoreHarness.starts(effects)).toEqual(['req-2/0#1']);
  await bench.expectTrace('early-end');
});

test('only the head job holds a reservation: the second job may be overtaken repeatedly', async () => {
  const bench = blockedHead();
  bench.add(job('req-3', 1, 8, 50)); // the second, wants the whole machine
  bench.add(job('req-4', 1, 2, 400)); // delays req-3, but not req-2
  const started = CoreHarness.starts(bench.hear(report('m', 4, [task('req-1/0', 1, 'running')])));
  expect(started).toEqual(['req-4/0#1']);
  await bench.expectTrace('second-job');
});

test('a task past its estimate continues and is expected to end one allowance from now', () => {
  const bench = blockedHead();
  const before = bench.state.head?.shadowTime ?? 0;
  bench.now += 150_000;
  bench.state.isPlacementDue = true;
  bench.state.leadership = {
    ...(bench.state.leadership ?? { term: 5, modRevision: 100, since: 0 }),
    authorityUntil: Infinity,
    viewConfirmedAt: 0,
    directCallBudget: { left: 0, at: 0 },
  };
  bench.hear(report('m', 4, [task('req-1/0', 1, 'running')]));
  bench.do({ kind: 'tick' });
  expect(bench.state.head?.shadowTime).toBe(bench.now + bench.state.config.timing.workerLeaseMs);
  expect(before).toBeLessThan(bench.now);
});

test('a head job that can never fit gets no shadow time and blocks no other job', async () => {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  bench.add(job('req-1', 1, 8, 50, { zone: 'elsewhere' }));
  bench.add(job('req-2', 1, 8, 5000));
  const started = CoreHarness.starts(bench.hear(report('m', 2)));
  expect(started).toEqual(['req-2/0#1']);
  await bench.expectTrace('never-fits');
});

test('a service is taken to run for ever: its resources are in no reservation', () => {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  bench.add(job('req-1', 1, 6, 0, { form: 'service' }));
  bench.hear(report('m', 2));
  bench.add(job('req-2', 1, 4, 50));
  expect(bench.state.head).toMatchObject({ job: 'req-2', shadowTime: null });
});

test('gang scheduling starts all tasks of a gang or none', () => {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  bench.add(job('req-1', 3, 4, 50, { form: 'gang' }));
  expect(CoreHarness.starts(bench.hear(report('m', 2)))).toEqual([]);
  bench.hear(report('n', 1));
  const both = [...bench.hear(report('m', 3)), ...bench.hear(report('n', 2))];
  expect(CoreHarness.starts(both).sort()).toEqual(['req-1/0#1', 'req-1/1#1', 'req-1/2#1']);
});

test('jobs of a team at its quota are skipped, and tasks count until proven gone', () => {
  const bench = new CoreHarness(6);
  bench.hear(report('m', 1));
  bench.add(job('req-1', 1, 4, 50));
  bench.add(job('req-2', 1, 4, 50));
  expect(CoreHarness.starts(bench.hear(report('m', 2)))).toEqual(['req-1/0#1']);
  bench.do({ kind: 'jobRemoved', id: 'req-1' });
  // Cancelled, but still on its machine.
  expect(CoreHarness.starts(bench.hear(report('m', 3, [task('req-1/0', 1, 'running')])))).toEqual([]);
  const after = bench.hear(report('m', 4, [task('req-1/0', 1, 'exited', 'stopped')]));
  expect(CoreHarness.starts(after)).toEqual(['req-2/0#1']);
});

test('a job that can no longer meet its deadline queues behind one that can', () => {
  const bench = new CoreHarness();
  bench.add(job('req-1', 1, 8, 50, { deadlineS: 60, submittedAt: bench.now - 50_000 }));
  bench.add(job('req-2', 1, 8, 50, { deadlineS: 100, submittedAt: bench.now }));
  bench.hear(report('m', 1));
  expect(CoreHarness.starts(bench.hear(report('m', 2)))).toEqual(['req-2/0#1']);
});

/** A small and a large type; a job that only the large one can take waits behind a running one. */
function scarceLarge(): CoreHarness {
  const large = { ...EIGHT, name: 'large', cpus: 32, memoryGb: 256 };
  const bench = new CoreHarness(0, [EIGHT, large]);
  bench.hear(report('l', 1, [], { type: 'large' }));
  bench.add(job('req-1', 1, 16, 100));
  bench.hear(report('l', 2, [], { type: 'large' }));
  bench.hear(report('l', 3, [task('req-1/0', 1, 'running')], { type: 'large' }));
  bench.add(job('req-2', 1, 24, 100));
  return bench;
}
const onLarge = (bench: CoreHarness): string[] =>
  CoreHarness.starts(bench.hear(report('l', 4, [task('req-1/0', 1, 'running')], { type: 'large' })));

test('resources that only one machine type has are reserved for constrained jobs by the same two tests', () => {
  const bench = scarceLarge();
  bench.add(job('req-3', 1, 8, 500, { priority: 1, submittedAt: bench.now, deadlineS: 5000 })); // fits the extra room
  bench.add(job('req-4', 1, 8, 500, { priority: 1, submittedAt: bench.now, deadlineS: 5000 })); // does not any more
  bench.add(job('req-5', 1, 8, 50, { priority: 1, submittedAt: bench.now, deadlineS: 5000 })); // ends in time
  expect(onLarge(bench)).toEqual(['req-3/0#1', 'req-5/0#1']);
});

test('a job of higher priority that must start now precedes the job that resources are reserved for', () => {
  const bench = scarceLarge();
  bench.add(job('req-3', 1, 16, 500, { priority: 1, submittedAt: bench.now, deadlineS: 600 }));
  expect(onLarge(bench)).toEqual(['req-3/0#1']);
});

// A start takes time to reach its machine. Unless that counts, every task of a burst is placed just too late.
test('a job that can no longer start in time, with its start latency, queues behind one that can', () => {
  const bench = new CoreHarness();
  startWithin(bench, 'class', 5000);
  const { maxHeartbeatIntervalMs } = bench.state.config.timing;
  const old = job('req-1', 1, 8, 50, { submittedAt: bench.now - 5000 + maxHeartbeatIntervalMs });
  const fresh = job('req-2', 1, 8, 50, { submittedAt: bench.now - 1000 });
  bench.add(old);
  bench.add(fresh);
  expect(waitingJobs(bench.state, bench.time()).map(({ spec }) => spec.id)).toEqual(['req-2', 'req-1']);
});

// A missed start objective must not cost the deadline of the job as well.
test('a job that missed its start objective is at risk again when its deadline approaches', () => {
  const bench = new CoreHarness();
  startWithin(bench, 'class', 5000);
  const pressedAt = (ageS: number): boolean => {
    const spec = job(`req-${ageS}`, 1, 8, 10, { deadlineS: 30, submittedAt: bench.now - ageS * 1000 });
    bench.add(spec);
    const state = bench.state.jobs.get(spec.id);
    return state !== undefined && isDeadlineAtRisk(bench.state, state, bench.time());
  };
  expect([1, 2.5, 10, 17, 25].map(pressedAt)).toEqual([false, true, false, true, false]);
});

// Ordered by urgency alone, a large job would take the resources of several that can still be in time.
test('of jobs whose deadline is at risk, the one with the least waiting work comes first', () => {
  const bench = new CoreHarness();
  const pressed = (id: string, tasks: number, deadlineS: number): void => {
    bench.add(job(id, tasks, 8, 10, { deadlineS, submittedAt: bench.now }));
  };
  pressed('req-1', 30, 15);
  pressed('req-2', 2, 17);
  pressed('req-3', 1, 100);
  expect(waitingJobs(bench.state, bench.time()).map(({ spec }) => spec.id)).toEqual([
    'req-2',
    'req-1',
    'req-3',
  ]);
});

// A start on a machine without the image is late by the time of its fetch.
test('headroom is reserved for start-sensitive classes on the machines with most cached images', () => {
  const bench = new CoreHarness();
  startWithin(bench, 'rush', 3000);
  const rush = job('req-9', 1, 2, 20, { jobClass: 'rush', priority: 1 });
  bench.state.demand.set('rush', {
    spec: rush,
    peak: 2,
    arrivals: [],
    updatedAt: bench.now,
    lastArrivalAt: bench.now,
    meanArrivalGap: 60_000,
  });
  bench.hear(report('m', 1));
  bench.hear(report('n', 1));
  bench.state.machines.get('n')?.cachedImages.set('img', 1);
  bench.do({ kind: 'tick' });
  bench.add(job('req-1', 8, 2, 50));
  const onM = CoreHarness.starts(bench.hear(report('m', 2)));
  const onN = CoreHarness.starts(bench.hear(report('n', 2)));
  expect([onM.length, onN.length]).toEqual([4, 2]);
  // Those that it is kept for use it, and nobody keeps any once they are there.
  bench.add(job('req-2', 2, 2, 20, { jobClass: 'rush', priority: 1, submittedAt: bench.now }));
  expect(
    CoreHarness.starts(bench.hear(report('n', 3))).filter((name) => name.startsWith('req-2')),
  ).toHaveLength(2);
});

test('headroom for unconstrained jobs is not reserved on a type that others solely depend on', () => {
  // Large machines stood half empty for small rush tasks while large jobs waited.
  const large = { ...EIGHT, name: 'large', cpus: 64, memoryGb: 256 };
  const bench = new CoreHarness(0, [EIGHT, large]);
  startWithin(bench, 'rush', 3000);
  const came = {
    peak: 4,
    arrivals: [],
    updatedAt: bench.now,
    lastArrivalAt: bench.now,
    meanArrivalGap: 60_000,
  };
  bench.state.demand.set('rush', { ...came, spec: job('req-9', 1, 2, 20, { jobClass: 'rush' }) });
  bench.state.demand.set('mix', { ...came, spec: job('req-8', 1, 32, 20, { jobClass: 'mix' }) });
  bench.hear(report('m', 1, [], { type: 'large' }));
  bench.add(job('req-1', 2, 32, 50, { jobClass: 'mix' }));
  expect(CoreHarness.starts(bench.hear(report('m', 2, [], { type: 'large' })))).toHaveLength(2);
});
