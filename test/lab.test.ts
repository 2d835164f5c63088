/** Parts of the scale runs: the rule checker, the validation of scenarios, the store emulator and hollow workers. */
import { describe, expect, test } from 'vitest';
import type { JobDescription, LabEvent } from '../lab/events.js';
import { Store } from '../lab/emulator/store.js';
import { HollowWorker, type WorkerContext } from '../lab/emulator/hollow-worker.js';
import { RuleChecker } from '../lab/measure/rules.js';
import { atSize, parseScenario, readScenario } from '../lab/scenario.js';

const JOB: JobDescription = {
  id: 'req-1',
  jobClass: 'parts',
  team: 'team-1',
  urgency: 'normal',
  tasks: 2,
  cpus: 4,
  memoryGb: 8,
  image: 'img',
  imageGb: 0,
  zone: 'zone-1',
  runS: [1, 1],
};
const eventFields = (at: number, task: number, worker = 'vm-1', zone = 'zone-1'): object => ({
  at,
  task,
  worker,
  zone,
  job: 'req-1',
});
const on = (at: number, task: number, worker?: string, zone?: string): LabEvent =>
  ({ kind: 'on', ...eventFields(at, task, worker, zone) }) as LabEvent;
const off = (at: number, task: number, done = true, worker?: string): LabEvent =>
  ({ kind: 'off', done, leaseExpired: false, ...eventFields(at, task, worker) }) as LabEvent;
const polled = (at: number, status: number, stage: string | null): LabEvent => ({
  kind: 'polled',
  at,
  job: 'req-1',
  status,
  stage,
});

const CORRECT: readonly LabEvent[] = [
  { kind: 'submitting', at: 0, job: JOB },
  { kind: 'submitted', at: 1, job: 'req-1', status: 201 },
  on(10, 0),
  on(11, 1, 'vm-2'),
  off(20, 0),
  off(21, 1, true, 'vm-2'),
  polled(30, 200, 'done'),
];

function rulesBroken(events: readonly LabEvent[]): string[] {
  const checker = new RuleChecker({ cancelMs: 100, limitOf: () => 8 });
  // Events of different processes arrive in any order.
  checker.add([...events].reverse());
  checker.finish(10_000);
  return checker.violations.map(({ rule }) => rule);
}

const CANCELLED: readonly LabEvent[] = [
  { kind: 'cancelling', at: 14, job: 'req-1' },
  { kind: 'cancelled', at: 15, job: 'req-1', stage: 'withdrawn' },
];

describe('the rules of a run', () => {
  test('hold in a correct history', () => {
    expect(rulesBroken(CORRECT)).toEqual([]);
  });

  const violations: readonly [string, readonly LabEvent[]][] = [
    ['ran_twice', [...CORRECT.slice(0, 3), on(12, 0, 'vm-2'), off(20, 0), off(21, 0, true, 'vm-2')]],
    ['quota', [...CORRECT.slice(0, 4), on(12, 2, 'vm-3')]],
    ['wrong_place', [...CORRECT.slice(0, 2), on(12, 0, 'vm-9', 'zone-2')]],
    ['ran_cancelled', [...CORRECT.slice(0, 4), ...CANCELLED, off(20, 1, false, 'vm-2')]],
    [
      'ran_cancelled',
      [
        ...CORRECT.slice(0, 3),
        ...CANCELLED,
        off(20, 0, false),
        { kind: 'begun', token: 1, ...eventFields(200, 1) } as LabEvent,
      ],
    ],
    ['forgotten', [...CORRECT, polled(40, 404, null)]],
    ['forgotten', [...CORRECT, { kind: 'submitted', at: 40, job: 'req-1', status: 422 }]],
    ['not_done', [...CORRECT.slice(0, 5), polled(30, 200, 'done')]],
    ['went_back', [...CORRECT, polled(40, 200, 'running')]],
    ['went_back', [...CORRECT.slice(0, 6), polled(30, 200, 'withdrawn')]],
    ['nothing_ran', CORRECT.slice(0, 2)],
  ];
  test.each(violations)('detect a violation of %s', (rule, events) => {
    expect(rulesBroken(events)).toEqual([rule]);
  });
});

test('a message over the limit is a violation, and so is a lost task where a scenario must complete', () => {
  const lost: readonly LabEvent[] = [
    ...CORRECT.slice(0, 4),
    { kind: 'oversized', at: 15, worker: 'vm-1', message: 'answer', bytes: 70_000 },
    off(20, 0, false),
    off(21, 1, true, 'vm-2'),
  ];
  expect(rulesBroken(lost)).toEqual(['too_long']);
  const checker = new RuleChecker({ cancelMs: 100, limitOf: () => 8, mustComplete: true });
  checker.add(lost);
  checker.finish(10_000);
  expect(checker.violations.map(({ rule }) => rule)).toEqual(['too_long', 'task_lost', 'unfinished']);
});

test('a task cancelled just before the end of a run may run for the cancel timeout and no longer', () => {
  const checker = new RuleChecker({ cancelMs: 100, limitOf: () => 8 });
  checker.add([...CORRECT.slice(0, 4), ...CANCELLED]);
  checker.checkUntil(50);
  expect(checker.cancelledTasksRunning).toBe(2);
  checker.finish(110);
  expect(checker.violations).toEqual([]);
  checker.checkUntil(116);
  expect(checker.violations.map(({ rule }) => rule)).toEqual(['ran_cancelled', 'ran_cancelled']);
});

describe('scenarios', () => {
  const small = readScenario('lab/scenarios/small.json');

  test.each(['ordinary', 'peak', 'failures'])('%s is valid', (name) => {
    expect(readScenario(`lab/scenarios/${name}.json`).workers).toBe(1100);
  });

  test.each([
    ['workers', { workers: 0 }],
    ['wrokers', { wrokers: 10 }],
    ['classes.0.teams', { classes: [{ ...small.classes[0], teams: [1, 9] }] }],
    ['classes.0.cpus', { classes: [{ ...small.classes[0], cpus: 99 }] }],
    ['faults.0.atS', { faults: [{ kind: 'rack', atS: 9999, count: 1 }] }],
    ['faults.0.kind', { faults: [{ kind: 'meteor', atS: 1 }] }],
  ])('an error names the invalid field %s', (field, more) => {
    expect(() => parseScenario({ ...small, ...more }, 'some.json')).toThrow(field);
  });

  test('limits and rates scale with the size', () => {
    const double = atSize(small, 40);
    expect(double.teams[0]?.cpusMax).toBe(2 * (small.teams[0]?.cpusMax ?? 0));
    expect(double.classes[0]?.jobsPerS).toBe(2 * (small.classes[0]?.jobsPerS ?? 0));
  });
});

describe('the key-value store emulator', () => {
  const limits = { writeRps: 10, valueKb: 1, txnOps: 4 };
  const put = (key: string, data: unknown, permit?: number): object => ({
    put: key,
    data,
    ...(permit === undefined ? {} : { permit }),
  });

  test('applies a transaction atomically and within its limits', () => {
    const store = new Store(limits, () => 0);
    const first = store.commit(
      { when: [{ key: 'a/1', stamp: 0 }], apply: [put('a/1', 1), put('a/2', 2)] as never },
      10,
    );
    expect(first).toEqual({ kind: 'applied', revision: 2 });
    expect(
      store.commit({ when: [{ key: 'a/1', stamp: 0 }], apply: [put('a/3', 3)] as never }, 10),
    ).toMatchObject({
      kind: 'failed',
      keys: ['a/1'],
    });
    expect(store.get('a/3')).toBeUndefined();
    expect(store.since('a/', 1)).toHaveLength(2);
    const many = Array.from({ length: 4 }, (_, i) => put(`b/${i}`, i));
    expect(store.commit({ apply: many as never }, 10).kind).toBe('applied');
    expect(store.commit({ apply: many as never }, 10).kind).toBe('limited');
    expect(store.commit({ apply: [...many, ...many] as never }, 10).kind).toBe('invalid');
  });

  test('removes the keys of a lease at its expiry, and no earlier', () => {
    let now = 0;
    const store = new Store({ ...limits, writeRps: 100 }, () => now);
    const lease = store.grant(1000);
    store.commit({ apply: [put('leader', 'n-0', lease)] as never }, 10);
    now = 900;
    expect(store.renew(lease)).toBe(true);
    now = 1800;
    store.expire();
    expect(store.get('leader')).toBeDefined();
    now = 1900;
    store.expire();
    expect(store.get('leader')).toBeUndefined();
    expect(store.commit({ apply: [put('leader', 'n-1', lease)] as never }, 10).kind).toBe('invalid');
  });
});

describe('a hollow worker', () => {
  const events: LabEvent[] = [];
  const context = (leaseMs: number): WorkerContext => ({
    controllers: ['n-0', 'n-1'],
    heartbeatIntervalMs: 40,
    leaseMs,
    cpus: 8,
    memoryGb: 64,
    cacheGb: 10,
    fetchGbPerS: 1,
    results: new Set(),
    job: (id) => (id === 'req-1' ? JOB : undefined),
    runMs: () => 10_000,
    emit: (event) => void events.push(event),
    recordHeartbeat: () => undefined,
    recordLeaseExpiry: () => undefined,
    simulate: (work) => work(),
  });
  const identity = { name: 'vm-1', address: '127.0.0.1:1', type: 't', zone: 'zone-1', spot: true };
  const start = (movement: string, take = 1): object => ({ cue: 'start', movement, take });
  interface Body {
    readonly watch: number;
    readonly barNo: number;
    readonly baton: number;
    readonly movements: readonly { movement: string; stage: string; cadence?: string }[];
  }

  test('executes only commands of the highest fencing token, and refuses tasks that do not fit', async () => {
    const bodies: Body[] = [];
    const answers = [
      { baton: 5, cues: [start('req-1/0'), start('req-1/1'), start('req-1/0', 2), start('req-9/0')] },
      { baton: 4, cues: [{ cue: 'halt', movement: 'req-1/0', take: 1, fermataS: 0 }] },
    ];
    const worker = new HollowWorker(
      identity,
      context(10_000),
      (_to, body) => {
        bodies.push(body as Body);
        return Promise.resolve({ status: 200, body: answers.shift() ?? { baton: 5, cues: [] } });
      },
      () => 0.5,
    );
    await expect.poll(() => bodies.length, { timeout: 5000 }).toBeGreaterThan(3);
    worker.stop();
    const last = bodies.at(-1);
    expect(last?.baton).toBe(5);
    const stages = last?.movements.map(
      ({ movement, stage, cadence }) => `${movement} ${stage} ${cadence ?? ''}`,
    );
    // The response with the lower token, which contained a halt command for the first task, was dropped.
    expect(stages).toEqual([
      'req-1/0 running ',
      'req-1/1 running ',
      'req-1/0 ended in_use',
      'req-9/0 ended no_such',
    ]);
    expect(worker.direct({ baton: 4, watch: 1, cues: [] }).status).toBe(409);
    expect(worker.direct({ baton: 5, watch: 2, cues: [] }).status).toBe(409);
    expect(worker.direct({ cues: [] }).status).toBe(400);
  });

  test('loses its tasks at lease expiry, and follows redirects', async () => {
    const contacted: string[] = [];
    let silent = false;
    const worker = new HollowWorker(
      identity,
      context(700),
      (to) => {
        contacted.push(to);
        if (silent) return Promise.resolve({ status: 503, body: {} });
        if (to === 'n-1') return Promise.resolve({ status: 421, body: { conductor: 'n-0' } });
        return Promise.resolve({
          status: 200,
          body: { baton: 1, cues: contacted.length < 4 ? [start('req-1/0')] : [] },
        });
      },
      () => 0.9,
    );
    await expect.poll(() => worker.liveTasks, { timeout: 5000 }).toBe(1);
    expect(contacted.slice(0, 2)).toEqual(['n-1', 'n-0']);
    silent = true;
    await expect.poll(() => worker.liveTasks, { timeout: 5000 }).toBe(0);
    expect((worker.body() as Body).watch).toBeGreaterThan(1);
    worker.stop();
  });
});
