/** Starvation reservations: bounded waiting, quota guarantees, and the preemption that enforces them. */
import { expect, test } from 'vitest';
import type { Effect } from '../src/core/effects.js';
import { waitingJobs, waitReason } from '../src/core/placement/index.js';
import type { JobState } from '../src/core/model.js';
import type { JobSpec, ReportedTask } from '../src/core/types.js';
import { CoreHarness, job, report, task } from './emulators/core-harness.js';

const stops = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) =>
    effect.kind === 'reply' && effect.body.kind === 'commands'
      ? effect.body.commands.flatMap((command) =>
          command.op === 'stop' ? [`${command.job}/${command.task} grace ${command.graceS}`] : [],
        )
      : [],
  );
const guest = (id: string, tasks: number, cpus: number, more: Partial<JobSpec> = {}): JobSpec =>
  job(id, tasks, cpus, 300, { jobClass: 'idle', priority: 3, checkpointS: 30, saveS: 3, ...more });

/** One machine of 8 cpus, whose reports are answered, and a tick before each. */
class Shift {
  readonly bench: CoreHarness;
  #seq = 0;
  constructor(cpusMax = 0) {
    this.bench = new CoreHarness(cpusMax);
    this.hear([]);
  }
  add(spec: JobSpec): void {
    this.bench.add({ ...spec, submittedAt: this.bench.now });
  }
  hear(tasks: readonly ReportedTask[], afterMs = 0): Effect[] {
    for (let left = afterMs; left > 0; left -= 1000) {
      this.bench.now += Math.min(1000, left);
      this.bench.hear(report('m', ++this.#seq, tasks));
      this.bench.do({ kind: 'tick' });
    }
    return this.bench.hear(report('m', ++this.#seq, tasks));
  }
}

// Without preemption urgent work waits behind long best-effort tasks.
test('best-effort work is preempted with a checkpoint for a job that would miss an objective, and keeps its queue position', async () => {
  const shift = new Shift();
  shift.add(guest('req-1', 2, 4));
  const running = [task('req-1/0', 1, 'running'), task('req-1/1', 1, 'running')];
  shift.hear([], 1000);
  shift.hear(running, 40_000);
  shift.add(job('req-2', 1, 4, 20, { deadlineS: 30 }));
  shift.add(guest('req-3', 1, 4));
  const told = shift.hear(running, 1000);
  // One is enough, with as long as it needs to save; its room is not free before it is gone.
  expect(stops(told)).toHaveLength(1);
  expect(stops(told)[0]).toMatch(/^req-1\/[01] grace 3$/);
  expect(CoreHarness.starts(told)).toEqual([]);
  const [stopped, other] = stops(told)[0]?.startsWith('req-1/0') === true ? [0, 1] : [1, 0];
  const left = task(`req-1/${other}`, 1, 'running');
  expect(CoreHarness.starts(shift.hear([left, task(`req-1/${stopped}`, 1, 'saving')], 1000))).toEqual([]);
  expect(CoreHarness.starts(shift.hear([left, task(`req-1/${stopped}`, 1, 'exited', 'stopped')]))).toEqual([
    'req-2/0#1',
  ]);
  shift.hear([left, task('req-2/0', 1, 'running')], 1000);
  const why = (id: string) => waitReason(shift.bench.state, shift.bench.state.jobs.get(id) as JobState);
  expect(['req-1', 'req-2', 'req-3'].map(why)).toEqual(['first in the queue', null, 'waits for room']);
  // What was stopped goes on before what came after it.
  const after = shift.hear([left, task('req-2/0', 1, 'exited', 'done')]);
  expect(CoreHarness.starts(after)).toEqual([`req-1/${stopped}#2`]);
  await shift.bench.expectTrace('preemption');
});

test('no task is preempted for equal priority, if it ends about as soon, or if it has just started', () => {
  const begun = new Shift();
  begun.add(guest('req-1', 1, 8));
  begun.hear([], 1000);
  begun.add(job('req-2', 1, 8, 20, { deadlineS: 60 }));
  expect(stops(begun.hear([task('req-1/0', 1, 'running')], 28_000))).toEqual([]);
  expect(stops(begun.hear([task('req-1/0', 1, 'running')], 8000))).toHaveLength(1);
  const equal = new Shift();
  equal.add(guest('req-1', 1, 8));
  equal.hear([], 1000);
  equal.add(guest('req-2', 1, 8));
  expect(stops(equal.hear([task('req-1/0', 1, 'running')], 2000))).toEqual([]);
  const soon = new Shift();
  soon.add(guest('req-1', 1, 8, { estimateS: 10 }));
  soon.hear([], 1000);
  soon.hear([task('req-1/0', 1, 'running')], 6000);
  soon.add(job('req-2', 1, 8, 20, { deadlineS: 30 }));
  expect(stops(soon.hear([task('req-1/0', 1, 'running')], 1000))).toEqual([]);
});

// Preempted again and again before a checkpoint, a task would never end.
test('a preempted task gains a checkpoint before it may be preempted again', () => {
  const shift = new Shift();
  shift.add(guest('req-1', 1, 8));
  shift.hear([], 1000);
  shift.hear([task('req-1/0', 1, 'running')], 40_000);
  shift.add(job('req-2', 1, 8, 5, { deadlineS: 9 }));
  expect(stops(shift.hear([task('req-1/0', 1, 'running')], 1000))).toHaveLength(1);
  shift.hear([task('req-1/0', 1, 'exited', 'stopped')], 1000);
  shift.hear([task('req-2/0', 1, 'running')], 1000);
  shift.hear([task('req-2/0', 1, 'exited', 'done')], 1000);
  shift.add(job('req-3', 1, 8, 5, { deadlineS: 25 }));
  expect(stops(shift.hear([task('req-1/0', 2, 'running')], 17_000))).toEqual([]);
  shift.add(job('req-4', 1, 8, 5, { deadlineS: 30 }));
  expect(stops(shift.hear([task('req-1/0', 2, 'running')], 20_000))).toHaveLength(1);
});

test('a task that would miss its own objective is not preempted for the objective of another', () => {
  const shift = new Shift();
  shift.add(job('req-1', 1, 8, 300, { deadlineS: 900 }));
  shift.hear([], 1000);
  shift.add(job('req-2', 1, 8, 20, { priority: 1, deadlineS: 30 }));
  expect(stops(shift.hear([task('req-1/0', 1, 'running')], 5000))).toEqual([]);
});

// EASY protects only the head; ordered by priority alone, a job of the lowest would wait for ever.
test('a job near the bound on its waiting time gets a reservation against all others', async () => {
  const shift = new Shift();
  const { bench } = shift;
  shift.add(job('req-1', 1, 4, 30));
  shift.hear([], 1000);
  const first = task('req-1/0', 1, 'running');
  shift.add(job('req-9', 1, 8, 60, { jobClass: 'large', priority: 3 }));
  // A stream of more urgent work fills each gap as it comes.
  let next = 2;
  let on: ReportedTask[] = [first];
  let begun = -1;
  const from = bench.now;
  while (begun < 0 && bench.now - from < 400_000) {
    shift.add(job(`req-${100 + next}`, 1, 4, 25));
    next += 1;
    const starts = CoreHarness.starts(shift.hear(on, 1000));
    on = on.filter(({ job: id }) => id !== 'done');
    for (const start of starts) {
      const [, id = '', index = '', attempt = ''] = /^(.+)\/(\d+)#(\d+)$/.exec(start) ?? [];
      on.push({ job: id, task: Number(index), attempt: Number(attempt), stage: 'running', exit: null });
      if (id === 'req-9') begun = bench.now - from;
    }
    const ended = on.filter(({ job: id }) => {
      const claim = bench.state.jobs.get(id)?.claims.get(0);
      return id !== 'req-9' && claim !== undefined && bench.now - claim.createdAt > 25_000;
    });
    if (ended.length > 0) {
      const rest = on.filter((one) => !ended.includes(one));
      const said = ended.map(({ job: id, attempt }) => task(`${id}/0`, attempt, 'exited', 'done'));
      const more = CoreHarness.starts(shift.hear([...rest, ...said]));
      if (more.some((start) => start.startsWith('req-9'))) begun = bench.now - from;
      for (const start of more)
        on.push(task(start.split('#')[0] ?? '', Number(start.split('#')[1]), 'running'));
      on = on.filter((one) => !ended.includes(one));
    }
  }
  const bound = bench.state.config.policy.maxWaitMs(job('req-9', 1, 8, 60));
  expect(begun).toBeGreaterThan(0.5 * bound - 1000);
  expect(begun).toBeLessThan(bound);
  bench.lines.splice(0, bench.lines.findIndex((line) => line.includes('req-9/0')) - 25);
  await bench.expectTrace('bounded-waiting');
});

test('of the started job arrays of a class one at a time holds a starvation reservation', () => {
  const shift = new Shift();
  const { state } = shift.bench;
  for (const id of ['req-1', 'req-2', 'req-3']) shift.add(guest(id, 9, 4));
  for (const id of ['req-2', 'req-3'])
    Object.assign(state.jobs.get(id) ?? {}, { lastPlacedAt: 0 } satisfies Partial<JobState>);
  shift.hear([], 1000);
  shift.bench.now += 200_000;
  shift.bench.do({ kind: 'tick' });
  expect(state.reservedJobs.map(({ spec }) => spec.id).sort()).toEqual(['req-1']);
  for (const id of ['req-1'])
    Object.assign(state.jobs.get(id) ?? {}, { lastPlacedAt: shift.bench.now } satisfies Partial<JobState>);
  shift.bench.do({ kind: 'tick' });
  expect(state.reservedJobs).toEqual([]);
});

// Jobs of one class that have waited longest must not hold all reservations.
test('each class has its own starvation reservations, however long the backlog of another', () => {
  const shift = new Shift();
  const { state } = shift.bench;
  for (let i = 1; i < 6; i += 1) shift.add(job(`req-${i}`, 1, 8, 300));
  shift.hear([], 2000);
  for (let i = 6; i < 10; i += 1) shift.add(guest(`req-${i}`, 3, 4));
  shift.bench.now += 200_000;
  shift.bench.do({ kind: 'tick' });
  const ids = state.reservedJobs.map(({ spec }) => spec.id);
  expect(ids.filter((id) => id >= 'req-6')).toHaveLength(2);
  expect(ids.filter((id) => id < 'req-6')).toHaveLength(2);
});

// Below its guarantee a team need not wait for quota that others have borrowed, whatever its priority.
test('guaranteed quota is reclaimed by preempting a team above its own guarantee', async () => {
  const shift = new Shift();
  const { bench } = shift;
  const teams = bench.state.config.teams as Map<string, object>;
  teams.set('crew', { guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 });
  teams.set('choir', { guaranteedCpus: 4, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 });
  shift.add(job('req-1', 2, 4, 600, { priority: 1 }));
  shift.hear([], 1000);
  const running = [task('req-1/0', 1, 'running'), task('req-1/1', 1, 'running')];
  shift.hear(running, 40_000);
  const mine = (id: string) => job(id, 1, 4, 60, { team: 'choir', priority: 3 });
  shift.add(mine('req-2'));
  shift.add(mine('req-3'));
  expect(stops(shift.hear(running, 1000))).toEqual(['req-1/0 grace 0']);
  expect([...bench.state.guaranteedJobs].map(({ spec }) => spec.id)).toEqual(['req-2']);
  const left = task('req-1/1', 1, 'running');
  const gone = task('req-1/0', 1, 'exited', 'stopped');
  expect(CoreHarness.starts(shift.hear([left, gone]))).toEqual(['req-2/0#1']);
  // The second exceeds the guarantee together with the first: it waits like any other.
  expect(stops(shift.hear([left, task('req-2/0', 1, 'running')], 5000))).toEqual([]);
  await bench.expectTrace('quota-guarantee');
});

// A job that is late whatever is done gains nothing from precedence over best-effort work.
test('a job that can no longer meet its deadline queues by arrival among best-effort work', () => {
  const shift = new Shift();
  const { bench } = shift;
  shift.add(job('req-1', 1, 8, 300));
  shift.hear([], 1000);
  shift.add(guest('req-2', 1, 8));
  shift.add(job('req-3', 1, 8, 20, { deadlineS: 30 }));
  shift.add(job('req-4', 1, 8, 20, { deadlineS: 900 }));
  shift.hear([task('req-1/0', 1, 'running')], 60_000);
  const order = waitingJobs(bench.state, bench.time()).map(({ spec }) => spec.id);
  expect(order).toEqual(['req-4', 'req-2', 'req-3']);
});

// Placing a large array at once would take the processor time that heartbeats need.
test('an overloaded leader places a bounded number of deferrable tasks, and all that are urgent', () => {
  const bench = new CoreHarness();
  const names = Array.from({ length: 20 }, (_, i) => `m${i}`);
  for (const name of names) bench.hear(report(name, 1));
  bench.state.isOverloaded = true;
  bench.raw({
    kind: 'jobAdded',
    job: { value: job('req-1', 5000, 1, 3, { deadlineS: 9000 }), modRevision: 900 },
  });
  bench.do({ kind: 'tick', isOverloaded: true });
  const claims = (id: string): number => bench.state.jobs.get(id)?.claims.size ?? 0;
  const first = claims('req-1');
  expect(first).toBeGreaterThan(0);
  expect(first).toBeLessThan(20);
  bench.now += 500;
  bench.add(job('req-2', 30, 1, 20, { priority: 1, deadlineS: 24, submittedAt: bench.now }));
  expect(claims('req-2')).toBe(30);
  expect(claims('req-1')).toBe(first);
  bench.now += 1000;
  for (const name of names) bench.hear(report(name, 2));
  bench.do({ kind: 'tick' });
  expect(claims('req-1')).toBeGreaterThan(100);
});

// One object for each task would not fit the memory quota of a controller.
test('memory for an array of 100,000 tasks is proportional to its running tasks', () => {
  const shift = new Shift();
  const { state } = shift.bench;
  shift.add(job('req-1', 100_000, 1, 3));
  let on: ReportedTask[] = [];
  for (let round = 0; round < 40; round += 1) {
    const starts = CoreHarness.starts(shift.hear(on, 1000));
    on = starts.map((start) =>
      task(start.split('#')[0] ?? '', Number(start.split('#')[1]), 'exited', 'done'),
    );
  }
  const array = state.jobs.get('req-1');
  expect(array?.doneCount).toBeGreaterThan(100);
  expect(array?.attempts.size).toBeLessThanOrEqual(8);
  expect([array?.claims.size, array?.retryTasks.length, state.machines.get('m')?.exits.size]).toEqual([
    8, 0, 8,
  ]);
});
