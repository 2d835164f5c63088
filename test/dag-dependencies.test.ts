/** Jobs with dependencies: kept traces, and a test for each guard. */
import { expect, test } from 'vitest';
import type { Command, Effect } from '../src/core/effects.js';
import { resolvedUntil } from '../src/core/jobs/index.js';
import type { EndedRecord, FinalStage, JobSpec } from '../src/core/types.js';
import { CoreHarness, job, report, task } from './emulators/core-harness.js';

const starts = (effects: readonly Effect[]): string[] => CoreHarness.starts(effects);
const questions = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'resolveDependencies' ? effect.ids : []));
const ended = (stage: FinalStage): EndedRecord => ({ stage, tasks: 1, done: 1, at: 100_000 });
const resolved = (id: string, answer: EndedRecord | 'live' | 'none' | 'unknown'): Command => ({
  kind: 'dependenciesResolved',
  found: new Map([[id, answer]]),
});
const piped = (id: string, awaits: string[], more: Partial<JobSpec> = {}): JobSpec =>
  job(id, 1, 2, 50, { awaits, ...more });

/** A machine that takes what it is given, task by task, until nothing more is started. */
class Runner {
  #seq = 1;
  #on: ReturnType<typeof task>[] = [];

  constructor(readonly bench: CoreHarness) {}

  hear(): string[] {
    const effects = this.bench.hear(report('m', this.#seq++, this.#on));
    const started = starts(effects);
    for (const name of started) this.#on.push(task(name.replace(/#.*/, ''), 1, 'running'));
    return started;
  }

  finish(name: string): void {
    this.bench.now += 10_000;
    this.bench.do({ kind: 'viewConfirmed', sentAt: this.bench.now });
    this.#on = this.#on.map((one) =>
      `${one.job}/${one.task}` === name ? { ...one, stage: 'exited', exit: 'done' } : one,
    );
    this.hear();
    this.#on = this.#on.filter(({ stage }) => stage !== 'exited');
    this.bench.do({ kind: 'tick' });
  }
}

function runner(): Runner {
  const run = new Runner(new CoreHarness());
  run.hear();
  return run;
}

test('chain: each job starts as soon as its predecessor is committed as done', async () => {
  const run = runner();
  const { bench } = run;
  bench.add(piped('req-1', []));
  bench.add(piped('req-2', ['req-1']));
  bench.add(piped('req-3', ['req-2']));
  expect(run.hear()).toEqual(['req-1/0#1']);
  run.finish('req-1/0');
  expect(run.hear()).toEqual(['req-2/0#1']);
  run.finish('req-2/0');
  expect(run.hear()).toEqual(['req-3/0#1']);
  await bench.expectTrace('chain');
});

test('diamond: the last job waits for both branches', async () => {
  const run = runner();
  const { bench } = run;
  bench.add(piped('req-1', []));
  for (const branch of ['req-2', 'req-3']) bench.add(piped(branch, ['req-1']));
  bench.add(piped('req-4', ['req-2', 'req-3']));
  expect(run.hear()).toEqual(['req-1/0#1']);
  run.finish('req-1/0');
  run.hear();
  run.finish('req-2/0');
  expect(bench.state.jobs.get('req-4')?.claims.size).toBe(0);
  run.finish('req-3/0');
  run.hear();
  expect(bench.state.jobs.get('req-4')?.claims.size).toBe(1);
  await bench.expectTrace('diamond');
});

test('fan-out: cancelling a job cancels all its dependents, in as many transactions as needed', async () => {
  const run = runner();
  const { bench } = run;
  bench.add(piped('req-1', []));
  for (let i = 0; i < 20; i += 1) bench.add(piped(`req-2${i}`, ['req-1']));
  bench.add(piped('req-3', ['req-20', 'req-21']));
  const effects = bench.do({ kind: 'jobRemoved', id: 'req-1' });
  // Nothing is cancelled on suspicion: the committed record is read first.
  expect(questions(effects)).toEqual(['req-1']);
  expect(bench.state.cancelPending.size).toBe(0);
  for (let i = 0; i < 12; i += 1) {
    bench.do(i === 0 ? resolved('req-1', ended('withdrawn')) : { kind: 'tick' });
    run.hear();
    bench.now += 250;
  }
  expect([...bench.state.jobs.keys()]).toEqual([]);
  await bench.expectTrace('fan-cancelled');
});

test('a job whose last exit is reported but not committed is not done', () => {
  const run = runner();
  const { bench } = run;
  bench.add(piped('req-1', []));
  bench.add(piped('req-2', ['req-1']));
  run.hear();
  bench.hear(report('m', 20, [task('req-1/0', 1, 'running')]));
  const exit = bench.raw({
    kind: 'heartbeat',
    reply: 90,
    heartbeat: report('m', 21, [task('req-1/0', 1, 'exited', 'done')]),
  });
  const commit = exit.find((effect) => effect.kind === 'commit');
  expect(bench.state.jobs.get('req-2')?.claims.size).toBe(0);
  if (commit?.kind !== 'commit') throw new Error('no commit');
  bench.raw({ kind: 'committed', id: commit.id, outcome: { kind: 'unknown' } });
  expect(bench.state.jobs.get('req-2')?.claims.size).toBe(0);
});

test('an unknown dependency is looked up, and only a committed done satisfies it', () => {
  const { bench } = runner();
  expect(questions(bench.add(piped('req-2', ['req-1'])))).toEqual(['req-1']);
  const claims = (): number => bench.state.jobs.get('req-2')?.claims.size ?? 0;
  for (const answer of ['unknown', 'live', 'none'] as const) {
    bench.do(resolved('req-1', answer));
    bench.now += 11_000;
    bench.do({ kind: 'viewConfirmed', sentAt: bench.now });
    bench.hear(report('m', 2 + bench.now));
    expect(claims()).toBe(0);
    expect(questions(bench.do({ kind: 'tick' })).concat(bench.state.pendingDependencyQuery ?? [])).toContain(
      'req-1',
    );
  }
  bench.do(resolved('req-1', ended('done')));
  expect(claims()).toBe(1);
});

test('a job with open dependencies is neither head nor counted as waiting, and blocks no other', async () => {
  const run = runner();
  const { bench } = run;
  bench.add(job('req-1', 1, 6, 100));
  // Large, of high priority, first in arrival: ready it would be the head, and hold the machine.
  bench.add(job('req-2', 1, 8, 100, { priority: 0, awaits: ['req-1'] }));
  bench.add(job('req-3', 1, 2, 1000));
  expect(run.hear().sort()).toEqual(['req-1/0#1', 'req-3/0#1']);
  expect(bench.state.head).toBeNull();
  await bench.expectTrace('open-dependency');
});

test('priority and deadline propagate to the dependencies of a job', () => {
  const { bench } = runner();
  bench.add(piped('req-1', [], { priority: 3 }));
  bench.add(piped('req-2', ['req-1'], { priority: 3 }));
  bench.add(piped('req-3', ['req-2'], { priority: 1, deadlineS: 200, submittedAt: bench.now }));
  const [first, second] = ['req-1', 'req-2'].map((id) => bench.state.jobs.get(id));
  expect([first?.priority, second?.priority]).toEqual([1, 1]);
  const last = bench.now + 200_000;
  expect(second?.inheritedDeadline).toBeLessThan(last - 50_000);
  expect(first?.inheritedDeadline).toBeLessThan((second?.inheritedDeadline ?? 0) - 50_000);
  expect(first?.inheritedDeadline).toBeGreaterThan(last - 160_000);
});

test('a leader confirms cancellations only up to those it has propagated to dependents', () => {
  const { bench } = runner();
  bench.add(piped('req-1', []));
  bench.add(piped('req-2', ['req-1']));
  bench.now += 1000;
  bench.do({ kind: 'viewConfirmed', sentAt: bench.now });
  const before = bench.now;
  expect(resolvedUntil(bench.state)).toBe(before);
  bench.do({ kind: 'jobRemoved', id: 'req-1' });
  bench.now += 1000;
  bench.do({ kind: 'viewConfirmed', sentAt: bench.now });
  expect(resolvedUntil(bench.state)).toBe(before);
  const effects = bench.raw(resolved('req-1', ended('withdrawn')));
  expect(resolvedUntil(bench.state)).toBe(before);
  const commit = effects.find((effect) => effect.kind === 'commit');
  if (commit?.kind !== 'commit') throw new Error('no commit');
  bench.raw({ kind: 'committed', id: commit.id, outcome: { kind: 'applied', revision: 900 } });
  expect(resolvedUntil(bench.state)).toBe(bench.now);
});
