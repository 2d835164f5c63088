/** Jobs with dependencies: recorded traces of typical graphs, and a test for each safeguard. */
import { expect, test } from 'vitest';
import type { Command, Effect } from '../src/core/effects.js';
import { resolvedUntil } from '../src/core/jobs/index.js';
import type { EndedRecord, FinalStage, JobSpec } from '../src/core/types.js';
import { CoreHarness, job, heartbeatOf, task } from './emulators/core-harness.js';

const starts = (effects: readonly Effect[]): string[] => CoreHarness.startedTasks(effects);
const queriedIds = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'resolveDependencies' ? effect.ids : []));
const ended = (stage: FinalStage): EndedRecord => ({ stage, tasks: 1, done: 1, at: 100_000 });
const resolved = (id: string, answer: EndedRecord | 'live' | 'none' | 'unknown'): Command => ({
  kind: 'dependenciesResolved',
  found: new Map([[id, answer]]),
});
const awaitingJob = (id: string, awaits: string[], more: Partial<JobSpec> = {}): JobSpec =>
  job(id, 1, 2, 50, { awaits, ...more });

/** Drives one machine, which reports each started task as running until `finish` ends it. */
class MachineDriver {
  #sequence = 1;
  #reportedTasks: ReturnType<typeof task>[] = [];

  constructor(readonly harness: CoreHarness) {}

  heartbeat(): string[] {
    const effects = this.harness.deliverHeartbeat(heartbeatOf('m', this.#sequence++, this.#reportedTasks));
    const started = starts(effects);
    for (const name of started) this.#reportedTasks.push(task(name.replace(/#.*/, ''), 1, 'running'));
    return started;
  }

  finish(name: string): void {
    this.harness.now += 10_000;
    this.harness.stepAndCommit({ kind: 'viewConfirmed', sentAt: this.harness.now });
    this.#reportedTasks = this.#reportedTasks.map((one) =>
      `${one.job}/${one.task}` === name ? { ...one, stage: 'exited', exit: 'done' } : one,
    );
    this.heartbeat();
    this.#reportedTasks = this.#reportedTasks.filter(({ stage }) => stage !== 'exited');
    this.harness.stepAndCommit({ kind: 'tick' });
  }
}

function createDriver(): MachineDriver {
  const driver = new MachineDriver(new CoreHarness());
  driver.heartbeat();
  return driver;
}

test('chain: each job starts as soon as its predecessor is committed as done', async () => {
  const driver = createDriver();
  const { harness } = driver;
  harness.addJob(awaitingJob('req-1', []));
  harness.addJob(awaitingJob('req-2', ['req-1']));
  harness.addJob(awaitingJob('req-3', ['req-2']));
  expect(driver.heartbeat()).toEqual(['req-1/0#1']);
  driver.finish('req-1/0');
  expect(driver.heartbeat()).toEqual(['req-2/0#1']);
  driver.finish('req-2/0');
  expect(driver.heartbeat()).toEqual(['req-3/0#1']);
  await harness.expectTrace('chain');
});

test('diamond: the last job waits for both branches', async () => {
  const driver = createDriver();
  const { harness } = driver;
  harness.addJob(awaitingJob('req-1', []));
  for (const branch of ['req-2', 'req-3']) harness.addJob(awaitingJob(branch, ['req-1']));
  harness.addJob(awaitingJob('req-4', ['req-2', 'req-3']));
  expect(driver.heartbeat()).toEqual(['req-1/0#1']);
  driver.finish('req-1/0');
  driver.heartbeat();
  driver.finish('req-2/0');
  expect(harness.state.jobs.get('req-4')?.claims.size).toBe(0);
  driver.finish('req-3/0');
  driver.heartbeat();
  expect(harness.state.jobs.get('req-4')?.claims.size).toBe(1);
  await harness.expectTrace('diamond');
});

test('fan-out: cancelling a job cancels all its dependents, in as many transactions as needed', async () => {
  const driver = createDriver();
  const { harness } = driver;
  harness.addJob(awaitingJob('req-1', []));
  for (let i = 0; i < 20; i += 1) harness.addJob(awaitingJob(`req-2${i}`, ['req-1']));
  harness.addJob(awaitingJob('req-3', ['req-20', 'req-21']));
  const effects = harness.stepAndCommit({ kind: 'jobRemoved', id: 'req-1' });
  // No dependent is cancelled before the committed record of the job has been read.
  expect(queriedIds(effects)).toEqual(['req-1']);
  expect(harness.state.cancelPending.size).toBe(0);
  for (let i = 0; i < 12; i += 1) {
    harness.stepAndCommit(i === 0 ? resolved('req-1', ended('withdrawn')) : { kind: 'tick' });
    driver.heartbeat();
    harness.now += 250;
  }
  expect([...harness.state.jobs.keys()]).toEqual([]);
  await harness.expectTrace('fan-cancelled');
});

test('a job whose last exit is reported but not committed is not done', () => {
  const driver = createDriver();
  const { harness } = driver;
  harness.addJob(awaitingJob('req-1', []));
  harness.addJob(awaitingJob('req-2', ['req-1']));
  driver.heartbeat();
  harness.deliverHeartbeat(heartbeatOf('m', 20, [task('req-1/0', 1, 'running')]));
  const exit = harness.step({
    kind: 'heartbeat',
    reply: 90,
    heartbeat: heartbeatOf('m', 21, [task('req-1/0', 1, 'exited', 'done')]),
  });
  const commit = exit.find((effect) => effect.kind === 'commit');
  expect(harness.state.jobs.get('req-2')?.claims.size).toBe(0);
  if (commit?.kind !== 'commit') throw new Error('the step produced no commit effect');
  harness.step({ kind: 'committed', id: commit.id, outcome: { kind: 'unknown' } });
  expect(harness.state.jobs.get('req-2')?.claims.size).toBe(0);
});

test('an unknown dependency is looked up, and only its committed completion satisfies it', () => {
  const { harness } = createDriver();
  expect(queriedIds(harness.addJob(awaitingJob('req-2', ['req-1'])))).toEqual(['req-1']);
  const claims = (): number => harness.state.jobs.get('req-2')?.claims.size ?? 0;
  for (const answer of ['unknown', 'live', 'none'] as const) {
    harness.stepAndCommit(resolved('req-1', answer));
    harness.now += 11_000;
    harness.stepAndCommit({ kind: 'viewConfirmed', sentAt: harness.now });
    harness.deliverHeartbeat(heartbeatOf('m', 2 + harness.now));
    expect(claims()).toBe(0);
    expect(
      queriedIds(harness.stepAndCommit({ kind: 'tick' })).concat(harness.state.pendingDependencyQuery ?? []),
    ).toContain('req-1');
  }
  harness.stepAndCommit(resolved('req-1', ended('done')));
  expect(claims()).toBe(1);
});

test('a job with pending dependencies is neither head nor counted as waiting, and blocks no other', async () => {
  const driver = createDriver();
  const { harness } = driver;
  harness.addJob(job('req-1', 1, 6, 100));
  // If this large job of the highest priority were ready, it would be the head and reserve the machine.
  harness.addJob(job('req-2', 1, 8, 100, { priority: 0, awaits: ['req-1'] }));
  harness.addJob(job('req-3', 1, 2, 1000));
  expect(driver.heartbeat().sort()).toEqual(['req-1/0#1', 'req-3/0#1']);
  expect(harness.state.headReservation).toBeNull();
  await harness.expectTrace('open-dependency');
});

test('priority and deadline propagate to the dependencies of a job', () => {
  const { harness } = createDriver();
  harness.addJob(awaitingJob('req-1', [], { priority: 3 }));
  harness.addJob(awaitingJob('req-2', ['req-1'], { priority: 3 }));
  harness.addJob(awaitingJob('req-3', ['req-2'], { priority: 1, deadlineS: 200, submittedAt: harness.now }));
  const [first, second] = ['req-1', 'req-2'].map((id) => harness.state.jobs.get(id));
  expect([first?.priority, second?.priority]).toEqual([1, 1]);
  const last = harness.now + 200_000;
  expect(second?.inheritedDeadline).toBeLessThan(last - 50_000);
  expect(first?.inheritedDeadline).toBeLessThan((second?.inheritedDeadline ?? 0) - 50_000);
  expect(first?.inheritedDeadline).toBeGreaterThan(last - 160_000);
});

test('a leader confirms cancellations only up to those it has propagated to dependents', () => {
  const { harness } = createDriver();
  harness.addJob(awaitingJob('req-1', []));
  harness.addJob(awaitingJob('req-2', ['req-1']));
  harness.now += 1000;
  harness.stepAndCommit({ kind: 'viewConfirmed', sentAt: harness.now });
  const before = harness.now;
  expect(resolvedUntil(harness.state)).toBe(before);
  harness.stepAndCommit({ kind: 'jobRemoved', id: 'req-1' });
  harness.now += 1000;
  harness.stepAndCommit({ kind: 'viewConfirmed', sentAt: harness.now });
  expect(resolvedUntil(harness.state)).toBe(before);
  const effects = harness.step(resolved('req-1', ended('withdrawn')));
  expect(resolvedUntil(harness.state)).toBe(before);
  const commit = effects.find((effect) => effect.kind === 'commit');
  if (commit?.kind !== 'commit') throw new Error('the step produced no commit effect');
  harness.step({ kind: 'committed', id: commit.id, outcome: { kind: 'applied', revision: 900 } });
  expect(resolvedUntil(harness.state)).toBe(harness.now);
});
