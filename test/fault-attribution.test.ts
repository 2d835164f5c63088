/** Faulty jobs and faulty machines are told apart by which tasks fail where. */
import { expect, test } from 'vitest';
import type { Effect } from '../src/core/effects.js';
import { isFaultyJob } from '../src/core/placement/index.js';
import type { ReportedTask } from '../src/core/types.js';
import { CoreHarness, job, report, task } from './emulators/core-harness.js';

/** Machines of 8 cpus; tasks of `broken` jobs fail wherever they start, and all do on `faulty` machines. */
class Floor {
  readonly bench = new CoreHarness();
  readonly #on = new Map<string, ReportedTask[]>();
  readonly #seq = new Map<string, number>();
  readonly broken = new Set<string>();
  readonly faulty = new Set<string>();
  readonly returned = new Set<string>();

  constructor(readonly names: readonly string[]) {
    for (const name of names) this.#on.set(name, []);
    this.round();
  }

  add(...given: Parameters<typeof job>): void {
    const [id, tasks, cpus, estimateS, more] = given;
    this.bench.add(job(id, tasks, cpus, estimateS, { ...more, submittedAt: this.bench.now }));
  }

  /** Every machine reports once; what was started before has by then failed, or completed. */
  round(): string[] {
    const started: string[] = [];
    for (const name of this.names) {
      if (this.returned.has(name)) continue;
      const seq = (this.#seq.get(name) ?? 0) + 1;
      this.#seq.set(name, seq);
      const effects = this.bench.hear(report(name, seq, this.#on.get(name) ?? []));
      const on: ReportedTask[] = [];
      for (const start of CoreHarness.starts(effects)) {
        const [key = '', attempt = ''] = start.split('#');
        const id = key.split('/')[0] ?? '';
        const fails = this.broken.has(id) || this.faulty.has(name);
        on.push(task(key, Number(attempt), 'exited', fails ? 'error' : 'done'));
        started.push(`${key} on ${name}`);
      }
      this.#on.set(name, on);
      this.#note(effects);
    }
    this.bench.now += 1000;
    this.#note(this.bench.do({ kind: 'tick' }));
    return started;
  }

  #note(effects: readonly Effect[]): void {
    for (const effect of effects)
      if (effect.kind === 'terminate') for (const name of effect.machines) this.returned.add(name);
  }

  isAtFault(id: string): boolean {
    const found = this.bench.state.jobs.get(id);
    return found !== undefined && isFaultyJob(found);
  }
}

const MACHINES = ['m', 'n', 'o', 'p', 'q'];

// Terminating machines for the errors of a faulty job would lose all other work on them.
test('jobs that fail on every machine have no machine terminated', () => {
  const floor = new Floor(MACHINES);
  for (const id of ['req-1', 'req-2', 'req-3']) {
    floor.broken.add(id);
    floor.add(id, 10, 1, 20);
  }
  for (let i = 0; i < 30; i += 1) floor.round();
  expect([...floor.returned]).toEqual([]);
  expect(['req-1', 'req-2', 'req-3'].map((id) => floor.isAtFault(id))).toEqual([true, true, true]);
});

test('evidence against a machine is withdrawn once the job fails on other machines too', () => {
  const floor = new Floor(['m', 'n', 'o', 'p', 'q']);
  const { state } = floor.bench;
  const machine = (name: string) => state.machines.get(name);
  floor.broken.add('req-1');
  floor.add('req-1', 1, 8, 20);
  floor.round();
  floor.round();
  const [first] = ['m', 'n', 'o', 'p', 'q'].filter((name) => machine(name)?.failedJobs.has('req-1') === true);
  expect(first).toBeDefined();
  for (let i = 0; i < 4; i += 1) floor.round();
  expect(floor.names.filter((name) => machine(name)?.failedJobs.size !== 0)).toEqual([]);
});

test('a machine on which several jobs fail that complete elsewhere is terminated', () => {
  const floor = new Floor(MACHINES);
  floor.faulty.add('o');
  for (const id of ['req-1', 'req-2', 'req-3', 'req-4']) floor.add(id, 12, 2, 20);
  for (let i = 0; i < 10; i += 1) floor.round();
  expect([...floor.returned]).toEqual(['o']);
  expect(['req-1', 'req-2', 'req-3', 'req-4'].some((id) => floor.isAtFault(id))).toBe(false);
});

test('faulty jobs and faulty machines at the same time are told apart', () => {
  const floor = new Floor(MACHINES);
  floor.faulty.add('o');
  floor.broken.add('req-9');
  floor.add('req-9', 10, 1, 20);
  for (let i = 1; i < 9; i += 1) floor.add(`req-${i}`, 10, 2, 20);
  for (let i = 0; i < 20; i += 1) floor.round();
  expect([...floor.returned]).toEqual(['o']);
  expect(floor.isAtFault('req-9')).toBe(true);
  // A new leader knows nothing of either, and learns both again without blaming a sound machine.
  const fresh = new Floor(['m', 'n', 'p', 'q']);
  fresh.broken.add('req-9');
  fresh.add('req-9', 10, 1, 20);
  for (let i = 0; i < 10; i += 1) fresh.round();
  expect([[...fresh.returned], fresh.isAtFault('req-9')]).toEqual([[], true]);
});

test('a faulty job is retried one task at a time with backoff, and reserves no resources', () => {
  const floor = new Floor(MACHINES);
  const { state } = floor.bench;
  floor.broken.add('req-1');
  floor.add('req-1', 200, 8, 20);
  while (!floor.isAtFault('req-1')) floor.round();
  // Others of its class are served as ever.
  floor.add('req-2', 5, 8, 20);
  expect(
    floor
      .round()
      .concat(floor.round())
      .some((start) => start.startsWith('req-2/')),
  ).toBe(true);
  const tries: number[] = [];
  for (let i = 0; i < 400; i += 1) {
    const started = floor.round().filter((start) => start.startsWith('req-1/')).length;
    expect(started).toBeLessThan(2);
    if (started > 0) tries.push(i);
    expect(state.head?.job).not.toBe('req-1');
    expect(state.outstandingByClass.get('class') ?? 0).toBeLessThan(2);
  }
  const gaps = tries.slice(1).map((at, i) => at - (tries[i] ?? 0));
  expect(gaps.length).toBeGreaterThan(2);
  expect(gaps.every((gap, i) => i === 0 || gap >= (gaps[i - 1] ?? 0))).toBe(true);
});

test('a faulty job that succeeds later is scheduled normally again', async () => {
  const floor = new Floor(MACHINES);
  floor.broken.add('req-1');
  floor.add('req-1', 4, 8, 20);
  for (let i = 0; i < 12; i += 1) floor.round();
  expect(floor.isAtFault('req-1')).toBe(true);
  // The trace begins a little before its mistake is mended.
  floor.bench.lines.splice(0, floor.bench.lines.length - 30);
  floor.broken.clear();
  for (let i = 0; i < 40 && floor.bench.state.jobs.has('req-1'); i += 1) floor.round();
  expect(floor.bench.state.jobs.has('req-1')).toBe(false);
  await floor.bench.expectTrace('recovered-job');
});
