/** Faulty jobs and faulty machines are distinguished by which tasks fail on which machines. */
import { expect, test } from 'vitest';
import type { Effect } from '../src/core/effects.js';
import { isFaultyJob } from '../src/core/placement/index.js';
import type { ReportedTask } from '../src/core/types.js';
import { CoreHarness, job, heartbeatOf, task } from './emulators/core-harness.js';

/** Machines of 8 CPUs. Tasks of `faultyJobs` fail on every machine, and every task fails on `faultyMachines`. */
class TestFleet {
  readonly harness = new CoreHarness();
  readonly #exitedTasks = new Map<string, ReportedTask[]>();
  readonly #sequences = new Map<string, number>();
  readonly faultyJobs = new Set<string>();
  readonly faultyMachines = new Set<string>();
  readonly terminated = new Set<string>();

  constructor(readonly names: readonly string[]) {
    for (const name of names) this.#exitedTasks.set(name, []);
    this.runRound();
  }

  add(...given: Parameters<typeof job>): void {
    const [id, tasks, cpus, estimateS, more] = given;
    this.harness.addJob(job(id, tasks, cpus, estimateS, { ...more, submittedAt: this.harness.now }));
  }

  /** Each machine reports once that its tasks of the previous round failed or completed. Returns the tasks started. */
  runRound(): string[] {
    const started: string[] = [];
    for (const name of this.names) {
      if (this.terminated.has(name)) continue;
      const seq = (this.#sequences.get(name) ?? 0) + 1;
      this.#sequences.set(name, seq);
      const effects = this.harness.deliverHeartbeat(
        heartbeatOf(name, seq, this.#exitedTasks.get(name) ?? []),
      );
      const exited: ReportedTask[] = [];
      for (const start of CoreHarness.startedTasks(effects)) {
        const [key = '', attempt = ''] = start.split('#');
        const id = key.split('/')[0] ?? '';
        const fails = this.faultyJobs.has(id) || this.faultyMachines.has(name);
        exited.push(task(key, Number(attempt), 'exited', fails ? 'error' : 'done'));
        started.push(`${key} on ${name}`);
      }
      this.#exitedTasks.set(name, exited);
      this.#recordTerminations(effects);
    }
    this.harness.now += 1000;
    this.#recordTerminations(this.harness.stepAndCommit({ kind: 'tick' }));
    return started;
  }

  #recordTerminations(effects: readonly Effect[]): void {
    for (const effect of effects)
      if (effect.kind === 'terminate') for (const name of effect.machines) this.terminated.add(name);
  }

  isFaulty(id: string): boolean {
    const found = this.harness.state.jobs.get(id);
    return found !== undefined && isFaultyJob(found);
  }
}

const MACHINES = ['m', 'n', 'o', 'p', 'q'];

// Terminating machines for the errors of a faulty job would lose all other work on them.
test('jobs that fail on every machine do not get any machine terminated', () => {
  const fleet = new TestFleet(MACHINES);
  for (const id of ['req-1', 'req-2', 'req-3']) {
    fleet.faultyJobs.add(id);
    fleet.add(id, 10, 1, 20);
  }
  for (let i = 0; i < 30; i += 1) fleet.runRound();
  expect([...fleet.terminated]).toEqual([]);
  expect(['req-1', 'req-2', 'req-3'].map((id) => fleet.isFaulty(id))).toEqual([true, true, true]);
});

test('evidence against a machine is withdrawn once the job fails on other machines too', () => {
  const fleet = new TestFleet(['m', 'n', 'o', 'p', 'q']);
  const { state } = fleet.harness;
  const machine = (name: string) => state.machines.get(name);
  fleet.faultyJobs.add('req-1');
  fleet.add('req-1', 1, 8, 20);
  fleet.runRound();
  fleet.runRound();
  const [first] = ['m', 'n', 'o', 'p', 'q'].filter((name) => machine(name)?.failedJobs.has('req-1') === true);
  expect(first).toBeDefined();
  for (let i = 0; i < 4; i += 1) fleet.runRound();
  expect(fleet.names.filter((name) => machine(name)?.failedJobs.size !== 0)).toEqual([]);
});

test('a machine on which several jobs fail that complete elsewhere is terminated', () => {
  const fleet = new TestFleet(MACHINES);
  fleet.faultyMachines.add('o');
  for (const id of ['req-1', 'req-2', 'req-3', 'req-4']) fleet.add(id, 12, 2, 20);
  for (let i = 0; i < 10; i += 1) fleet.runRound();
  expect([...fleet.terminated]).toEqual(['o']);
  expect(['req-1', 'req-2', 'req-3', 'req-4'].some((id) => fleet.isFaulty(id))).toBe(false);
});

test('faulty jobs and faulty machines at the same time are distinguished', () => {
  const fleet = new TestFleet(MACHINES);
  fleet.faultyMachines.add('o');
  fleet.faultyJobs.add('req-9');
  fleet.add('req-9', 10, 1, 20);
  for (let i = 1; i < 9; i += 1) fleet.add(`req-${i}`, 10, 2, 20);
  for (let i = 0; i < 20; i += 1) fleet.runRound();
  expect([...fleet.terminated]).toEqual(['o']);
  expect(fleet.isFaulty('req-9')).toBe(true);
  // A new leader starts without evidence, and finds the faulty job again without terminating a healthy machine.
  const freshFleet = new TestFleet(['m', 'n', 'p', 'q']);
  freshFleet.faultyJobs.add('req-9');
  freshFleet.add('req-9', 10, 1, 20);
  for (let i = 0; i < 10; i += 1) freshFleet.runRound();
  expect([[...freshFleet.terminated], freshFleet.isFaulty('req-9')]).toEqual([[], true]);
});

test('a faulty job is retried one task at a time with backoff, and reserves no resources', () => {
  const fleet = new TestFleet(MACHINES);
  const { state } = fleet.harness;
  fleet.faultyJobs.add('req-1');
  fleet.add('req-1', 200, 8, 20);
  while (!fleet.isFaulty('req-1')) fleet.runRound();
  // Other jobs of its class are scheduled normally.
  fleet.add('req-2', 5, 8, 20);
  expect(
    fleet
      .runRound()
      .concat(fleet.runRound())
      .some((start) => start.startsWith('req-2/')),
  ).toBe(true);
  const attemptRounds: number[] = [];
  for (let i = 0; i < 400; i += 1) {
    const started = fleet.runRound().filter((start) => start.startsWith('req-1/')).length;
    expect(started).toBeLessThan(2);
    if (started > 0) attemptRounds.push(i);
    expect(state.headReservation?.job).not.toBe('req-1');
    expect(state.outstandingByClass.get('class') ?? 0).toBeLessThan(2);
  }
  const gaps = attemptRounds.slice(1).map((at, i) => at - (attemptRounds[i] ?? 0));
  expect(gaps.length).toBeGreaterThan(2);
  expect(gaps.every((gap, i) => i === 0 || gap >= (gaps[i - 1] ?? 0))).toBe(true);
});

test('a faulty job that succeeds later is scheduled normally again', async () => {
  const fleet = new TestFleet(MACHINES);
  fleet.faultyJobs.add('req-1');
  fleet.add('req-1', 4, 8, 20);
  for (let i = 0; i < 12; i += 1) fleet.runRound();
  expect(fleet.isFaulty('req-1')).toBe(true);
  // The trace keeps only the last 30 lines before the job is fixed.
  fleet.harness.lines.splice(0, fleet.harness.lines.length - 30);
  fleet.faultyJobs.clear();
  for (let i = 0; i < 40 && fleet.harness.state.jobs.has('req-1'); i += 1) fleet.runRound();
  expect(fleet.harness.state.jobs.has('req-1')).toBe(false);
  await fleet.harness.expectTrace('recovered-job');
});
