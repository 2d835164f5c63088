/** Starvation reservations: bounded waiting, quota guarantees, and the preemption that enforces them. */
import { expect, test } from 'vitest';
import type { Effect } from '../src/core/effects.js';
import { waitingJobs, waitReason } from '../src/core/placement/index.js';
import type { JobState } from '../src/core/model.js';
import type { JobSpec, ReportedTask } from '../src/core/types.js';
import { CoreHarness, job, heartbeatOf, task } from './emulators/core-harness.js';

const stops = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) =>
    effect.kind === 'reply' && effect.body.kind === 'commands'
      ? effect.body.commands.flatMap((command) =>
          command.op === 'stop' ? [`${command.job}/${command.task} grace ${command.graceS}`] : [],
        )
      : [],
  );
const bestEffortJob = (id: string, tasks: number, cpus: number, more: Partial<JobSpec> = {}): JobSpec =>
  job(id, tasks, cpus, 300, { jobClass: 'idle', priority: 3, checkpointS: 30, saveS: 3, ...more });

/**
 * Drives one machine with 8 CPUs: `heartbeat` sends one heartbeat and one tick for each second that passes, then a
 * last heartbeat, whose effects it returns.
 */
class MachineDriver {
  readonly harness: CoreHarness;
  #sequence = 0;
  constructor(cpusMax = 0) {
    this.harness = new CoreHarness(cpusMax);
    this.heartbeat([]);
  }
  add(spec: JobSpec): void {
    this.harness.addJob({ ...spec, submittedAt: this.harness.now });
  }
  heartbeat(tasks: readonly ReportedTask[], afterMs = 0): Effect[] {
    for (let left = afterMs; left > 0; left -= 1000) {
      this.harness.now += Math.min(1000, left);
      this.harness.deliverHeartbeat(heartbeatOf('m', ++this.#sequence, tasks));
      this.harness.stepAndCommit({ kind: 'tick' });
    }
    return this.harness.deliverHeartbeat(heartbeatOf('m', ++this.#sequence, tasks));
  }
}

// Without preemption, urgent work waits behind long best-effort tasks.
test('best-effort work is preempted with a checkpoint for a job that would miss an objective, and keeps its queue position', async () => {
  const driver = new MachineDriver();
  driver.add(bestEffortJob('req-1', 2, 4));
  const running = [task('req-1/0', 1, 'running'), task('req-1/1', 1, 'running')];
  driver.heartbeat([], 1000);
  driver.heartbeat(running, 40_000);
  driver.add(job('req-2', 1, 4, 20, { deadlineS: 30 }));
  driver.add(bestEffortJob('req-3', 1, 4));
  const effects = driver.heartbeat(running, 1000);
  // Stopping one task is enough. Its grace is the 3 s it needs to save; its resources are not free before it ends.
  expect(stops(effects)).toHaveLength(1);
  expect(stops(effects)[0]).toMatch(/^req-1\/[01] grace 3$/);
  expect(CoreHarness.startedTasks(effects)).toEqual([]);
  const [stopped, other] = stops(effects)[0]?.startsWith('req-1/0') === true ? [0, 1] : [1, 0];
  const left = task(`req-1/${other}`, 1, 'running');
  expect(
    CoreHarness.startedTasks(driver.heartbeat([left, task(`req-1/${stopped}`, 1, 'saving')], 1000)),
  ).toEqual([]);
  expect(
    CoreHarness.startedTasks(driver.heartbeat([left, task(`req-1/${stopped}`, 1, 'exited', 'stopped')])),
  ).toEqual(['req-2/0#1']);
  driver.heartbeat([left, task('req-2/0', 1, 'running')], 1000);
  const reasonOf = (id: string) =>
    waitReason(driver.harness.state, driver.harness.state.jobs.get(id) as JobState);
  expect(['req-1', 'req-2', 'req-3'].map(reasonOf)).toEqual(['first in the queue', null, 'waits for room']);
  // The preempted task continues before the job that was submitted after it.
  const after = driver.heartbeat([left, task('req-2/0', 1, 'exited', 'done')]);
  expect(CoreHarness.startedTasks(after)).toEqual([`req-1/${stopped}#2`]);
  await driver.harness.expectTrace('preemption');
});

test('no task is preempted for a job of equal priority, if it ends about as soon, or if it has just started', () => {
  const justStarted = new MachineDriver();
  justStarted.add(bestEffortJob('req-1', 1, 8));
  justStarted.heartbeat([], 1000);
  justStarted.add(job('req-2', 1, 8, 20, { deadlineS: 60 }));
  expect(stops(justStarted.heartbeat([task('req-1/0', 1, 'running')], 28_000))).toEqual([]);
  expect(stops(justStarted.heartbeat([task('req-1/0', 1, 'running')], 8000))).toHaveLength(1);
  const equalPriority = new MachineDriver();
  equalPriority.add(bestEffortJob('req-1', 1, 8));
  equalPriority.heartbeat([], 1000);
  equalPriority.add(bestEffortJob('req-2', 1, 8));
  expect(stops(equalPriority.heartbeat([task('req-1/0', 1, 'running')], 2000))).toEqual([]);
  const endingSoon = new MachineDriver();
  endingSoon.add(bestEffortJob('req-1', 1, 8, { estimateS: 10 }));
  endingSoon.heartbeat([], 1000);
  endingSoon.heartbeat([task('req-1/0', 1, 'running')], 6000);
  endingSoon.add(job('req-2', 1, 8, 20, { deadlineS: 30 }));
  expect(stops(endingSoon.heartbeat([task('req-1/0', 1, 'running')], 1000))).toEqual([]);
});

// A task that is preempted repeatedly before it saves a checkpoint would never end.
test('a preempted task progresses by a checkpoint before it may be preempted again', () => {
  const driver = new MachineDriver();
  driver.add(bestEffortJob('req-1', 1, 8));
  driver.heartbeat([], 1000);
  driver.heartbeat([task('req-1/0', 1, 'running')], 40_000);
  driver.add(job('req-2', 1, 8, 5, { deadlineS: 9 }));
  expect(stops(driver.heartbeat([task('req-1/0', 1, 'running')], 1000))).toHaveLength(1);
  driver.heartbeat([task('req-1/0', 1, 'exited', 'stopped')], 1000);
  driver.heartbeat([task('req-2/0', 1, 'running')], 1000);
  driver.heartbeat([task('req-2/0', 1, 'exited', 'done')], 1000);
  driver.add(job('req-3', 1, 8, 5, { deadlineS: 25 }));
  expect(stops(driver.heartbeat([task('req-1/0', 2, 'running')], 17_000))).toEqual([]);
  driver.add(job('req-4', 1, 8, 5, { deadlineS: 30 }));
  expect(stops(driver.heartbeat([task('req-1/0', 2, 'running')], 20_000))).toHaveLength(1);
});

test('a task that would miss its own objective is not preempted for the objective of another', () => {
  const driver = new MachineDriver();
  driver.add(job('req-1', 1, 8, 300, { deadlineS: 900 }));
  driver.heartbeat([], 1000);
  driver.add(job('req-2', 1, 8, 20, { priority: 1, deadlineS: 30 }));
  expect(stops(driver.heartbeat([task('req-1/0', 1, 'running')], 5000))).toEqual([]);
});

// EASY protects only the head job; ordered by priority alone, a job of the lowest priority would wait forever.
test('a job near the bound on its waiting time gets a reservation against all others', async () => {
  const driver = new MachineDriver();
  const { harness } = driver;
  driver.add(job('req-1', 1, 4, 30));
  driver.heartbeat([], 1000);
  const first = task('req-1/0', 1, 'running');
  driver.add(job('req-9', 1, 8, 60, { jobClass: 'large', priority: 3 }));
  // A stream of jobs of higher priority takes all resources that become free.
  let nextId = 2;
  let reported: ReportedTask[] = [first];
  let startedAfterMs = -1;
  const addedAt = harness.now;
  while (startedAfterMs < 0 && harness.now - addedAt < 400_000) {
    driver.add(job(`req-${100 + nextId}`, 1, 4, 25));
    nextId += 1;
    const starts = CoreHarness.startedTasks(driver.heartbeat(reported, 1000));
    reported = reported.filter(({ job: id }) => id !== 'done');
    for (const start of starts) {
      const [, id = '', index = '', attempt = ''] = /^(.+)\/(\d+)#(\d+)$/.exec(start) ?? [];
      reported.push({ job: id, task: Number(index), attempt: Number(attempt), stage: 'running', exit: null });
      if (id === 'req-9') startedAfterMs = harness.now - addedAt;
    }
    const ended = reported.filter(({ job: id }) => {
      const claim = harness.state.jobs.get(id)?.claims.get(0);
      return id !== 'req-9' && claim !== undefined && harness.now - claim.createdAt > 25_000;
    });
    if (ended.length > 0) {
      const remaining = reported.filter((one) => !ended.includes(one));
      const exits = ended.map(({ job: id, attempt }) => task(`${id}/0`, attempt, 'exited', 'done'));
      const moreStarts = CoreHarness.startedTasks(driver.heartbeat([...remaining, ...exits]));
      if (moreStarts.some((start) => start.startsWith('req-9'))) startedAfterMs = harness.now - addedAt;
      for (const start of moreStarts)
        reported.push(task(start.split('#')[0] ?? '', Number(start.split('#')[1]), 'running'));
      reported = reported.filter((one) => !ended.includes(one));
    }
  }
  const bound = harness.state.config.policy.maxWaitMs(job('req-9', 1, 8, 60));
  expect(startedAfterMs).toBeGreaterThan(0.5 * bound - 1000);
  expect(startedAfterMs).toBeLessThan(bound);
  harness.lines.splice(0, harness.lines.findIndex((line) => line.includes('req-9/0')) - 25);
  await harness.expectTrace('bounded-waiting');
});

test('of the started job arrays of a class, only one at a time holds a starvation reservation', () => {
  const driver = new MachineDriver();
  const { state } = driver.harness;
  for (const id of ['req-1', 'req-2', 'req-3']) driver.add(bestEffortJob(id, 9, 4));
  for (const id of ['req-2', 'req-3'])
    Object.assign(state.jobs.get(id) ?? {}, { lastPlacedAt: 0 } satisfies Partial<JobState>);
  driver.heartbeat([], 1000);
  driver.harness.now += 200_000;
  driver.harness.stepAndCommit({ kind: 'tick' });
  expect(state.reservedJobs.map(({ spec }) => spec.id).sort()).toEqual(['req-1']);
  for (const id of ['req-1'])
    Object.assign(state.jobs.get(id) ?? {}, { lastPlacedAt: driver.harness.now } satisfies Partial<JobState>);
  driver.harness.stepAndCommit({ kind: 'tick' });
  expect(state.reservedJobs).toEqual([]);
});

// Jobs of one class that have waited longest must not hold all reservations.
test('each class has its own starvation reservations, however long the backlog of another', () => {
  const driver = new MachineDriver();
  const { state } = driver.harness;
  for (let i = 1; i < 6; i += 1) driver.add(job(`req-${i}`, 1, 8, 300));
  driver.heartbeat([], 2000);
  for (let i = 6; i < 10; i += 1) driver.add(bestEffortJob(`req-${i}`, 3, 4));
  driver.harness.now += 200_000;
  driver.harness.stepAndCommit({ kind: 'tick' });
  const ids = state.reservedJobs.map(({ spec }) => spec.id);
  expect(ids.filter((id) => id >= 'req-6')).toHaveLength(2);
  expect(ids.filter((id) => id < 'req-6')).toHaveLength(2);
});

// A team below its guarantee need not wait for resources that other teams have borrowed, whatever its priority.
test('guaranteed quota is reclaimed by preempting a team above its own guarantee', async () => {
  const driver = new MachineDriver();
  const { harness } = driver;
  const teams = harness.state.config.teams as Map<string, object>;
  teams.set('crew', { guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 });
  teams.set('choir', { guaranteedCpus: 4, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 });
  driver.add(job('req-1', 2, 4, 600, { priority: 1 }));
  driver.heartbeat([], 1000);
  const running = [task('req-1/0', 1, 'running'), task('req-1/1', 1, 'running')];
  driver.heartbeat(running, 40_000);
  const choirJob = (id: string) => job(id, 1, 4, 60, { team: 'choir', priority: 3 });
  driver.add(choirJob('req-2'));
  driver.add(choirJob('req-3'));
  expect(stops(driver.heartbeat(running, 1000))).toEqual(['req-1/0 grace 0']);
  expect([...harness.state.guaranteedJobs].map(({ spec }) => spec.id)).toEqual(['req-2']);
  const left = task('req-1/1', 1, 'running');
  const gone = task('req-1/0', 1, 'exited', 'stopped');
  expect(CoreHarness.startedTasks(driver.heartbeat([left, gone]))).toEqual(['req-2/0#1']);
  // The second job exceeds the guarantee together with the first, so it waits like any other job.
  expect(stops(driver.heartbeat([left, task('req-2/0', 1, 'running')], 5000))).toEqual([]);
  await harness.expectTrace('quota-guarantee');
});

// A job that is late whatever is done gains nothing from precedence over best-effort work.
test('a job that can no longer meet its deadline queues by arrival among best-effort work', () => {
  const driver = new MachineDriver();
  const { harness } = driver;
  driver.add(job('req-1', 1, 8, 300));
  driver.heartbeat([], 1000);
  driver.add(bestEffortJob('req-2', 1, 8));
  driver.add(job('req-3', 1, 8, 20, { deadlineS: 30 }));
  driver.add(job('req-4', 1, 8, 20, { deadlineS: 900 }));
  driver.heartbeat([task('req-1/0', 1, 'running')], 60_000);
  const order = waitingJobs(harness.state, harness.time()).map(({ spec }) => spec.id);
  expect(order).toEqual(['req-4', 'req-2', 'req-3']);
});

// Placing a large array in one pass would take the processor time that heartbeats need.
test('an overloaded leader places a bounded number of deferrable tasks, and all that are urgent', () => {
  const harness = new CoreHarness();
  const names = Array.from({ length: 20 }, (_, i) => `m${i}`);
  for (const name of names) harness.deliverHeartbeat(heartbeatOf(name, 1));
  harness.state.isOverloaded = true;
  harness.step({
    kind: 'jobAdded',
    job: { value: job('req-1', 5000, 1, 3, { deadlineS: 9000 }), modRevision: 900 },
  });
  harness.stepAndCommit({ kind: 'tick', isOverloaded: true });
  const claims = (id: string): number => harness.state.jobs.get(id)?.claims.size ?? 0;
  const first = claims('req-1');
  expect(first).toBeGreaterThan(0);
  expect(first).toBeLessThan(20);
  harness.now += 500;
  harness.addJob(job('req-2', 30, 1, 20, { priority: 1, deadlineS: 24, submittedAt: harness.now }));
  expect(claims('req-2')).toBe(30);
  expect(claims('req-1')).toBe(first);
  harness.now += 1000;
  for (const name of names) harness.deliverHeartbeat(heartbeatOf(name, 2));
  harness.stepAndCommit({ kind: 'tick' });
  expect(claims('req-1')).toBeGreaterThan(100);
});

// One object for each task would not fit the memory quota of a controller.
test('memory for an array of 100,000 tasks is proportional to its running tasks', () => {
  const driver = new MachineDriver();
  const { state } = driver.harness;
  driver.add(job('req-1', 100_000, 1, 3));
  let reported: ReportedTask[] = [];
  for (let round = 0; round < 40; round += 1) {
    const starts = CoreHarness.startedTasks(driver.heartbeat(reported, 1000));
    reported = starts.map((start) =>
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
