/** Bursts of reads: few store requests however many readers, and no read older than its request. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect, test } from 'vitest';
import { Admission } from '../src/adapters/admission.js';
import { JobReader, type JobLookup } from '../src/adapters/job-reader.js';
import { HttpKeyValueStore, type KeyValueStore, type WatchResult } from '../src/adapters/key-value-store.js';
import { systemClock } from '../src/adapters/clock.js';
import { VirtualClock } from './emulators/clock.js';
import { job } from './emulators/core-harness.js';
import { Network } from './emulators/network.js';
import { StateEmulator } from './emulators/state.js';
import { seeded, testSettings } from './emulators/simulation.js';

const RPS = 100;

/** A state service that takes some time for each answer, which is as of the moment it is given. */
class Slow {
  readonly clock = new VirtualClock();
  readonly store = new StateEmulator(new Network(this.clock, seeded(1)));
  readonly asked: string[] = [];
  down = false;
  readonly reads: JobReader;

  constructor(rps = RPS) {
    const later = async <T>(what: string, serve: () => T): Promise<T | null> => {
      this.asked.push(what);
      await this.clock.sleep(5);
      const answer = this.down ? null : serve();
      await this.clock.sleep(5);
      return answer;
    };
    const { store } = this;
    const service: KeyValueStore = {
      read: async (key) => (await later(`read ${key}`, () => ({ entry: store.read(key) }))) ?? 'unknown',
      list: async (prefix) =>
        (await later(`list ${prefix}`, () => ({ entries: store.list(prefix), revision: store.revision }))) ??
        'unknown',
      commit: async (txn) =>
        (await later(`compare ${txn.preconditions.length}`, () => store.commit(txn))) ?? { kind: 'refused' },
      changesSince: async (prefix, after) =>
        (await later<WatchResult>('changes', () => store.since(prefix, after))) ?? { kind: 'unknown' },
      watch: () => Promise.resolve({ kind: 'unknown' }),
      grant: () => Promise.resolve(null),
      renew: () => Promise.resolve(null),
      revoke: () => Promise.resolve(),
      lastContactAt: () => null,
      applyLimits: () => undefined,
    };
    const clock = {
      monotonicMs: () => this.clock.now,
      epochMs: () => this.clock.now,
      sleep: (ms: number) => this.clock.sleep(ms),
      defer: (call: () => void) => this.clock.in(0, call),
      startMeasuring: () => () => ({ elapsedMs: 0, cpuMs: 0 }),
    };
    this.reads = new JobReader(service, clock, rps, 80);
  }

  enter(id: string): void {
    this.store.commit({ preconditions: [], mutations: [{ put: `job/${id}`, value: job(id, 1, 1, 10) }] });
  }

  end(id: string, stage: string): void {
    const value = { stage, tasks: 1, done: 1 };
    this.store.commit({
      preconditions: [],
      mutations: [{ remove: `job/${id}` }, { put: `ended/${id}`, value }],
    });
  }

  /** Asks, and lets time pass until all is answered. */
  async ask(ids: readonly string[]): Promise<JobLookup[]> {
    const answers = Promise.all(ids.map((id) => this.reads.find(id)));
    await this.clock.runUntil(this.clock.now + 5000);
    return answers;
  }
}

const names = (count: number): string[] => Array.from({ length: count }, (_, i) => `req-${i}`);

// One store request for each poll would exceed the request limit of the store.
test('a thousand concurrent reads cost a few store requests; polls each second a bounded number', async () => {
  const slow = new Slow();
  for (const id of names(500)) slow.enter(id);
  const first = await slow.ask([...names(500), ...names(500)]);
  expect(first.every(({ kind }) => kind === 'live')).toBe(true);
  expect(slow.asked).toEqual(['list job/']);
  slow.asked.length = 0;
  const from = slow.clock.now;
  const answers: Promise<JobLookup>[] = [];
  for (let at = 0; at < 10_000; at += 10) {
    slow.clock.at(from + at, () => answers.push(...names(20).map((id) => slow.reads.find(id))));
  }
  await slow.clock.runUntil(from + 15_000);
  expect((await Promise.all(answers)).length).toBe(20_000);
  expect(slow.asked.length).toBeLessThan(10 * 0.05 * RPS + 3);
});

test('a read reflects a state no older than its request', async () => {
  const slow = new Slow(1e6);
  slow.enter('req-1');
  await slow.ask(['req-1']);
  const early = slow.reads.find('req-1');
  await slow.clock.runUntil(slow.clock.now + 7);
  // The read for the first question has been served; who asks from now on has been told of the end elsewhere.
  slow.end('req-1', 'withdrawn');
  const late = slow.reads.find('req-1');
  await slow.clock.runUntil(slow.clock.now + 1000);
  expect((await early).kind).toBe('live');
  expect(await late).toMatchObject({ kind: 'ended', record: { stage: 'withdrawn' } });
});

test('a cancellation acknowledged by this node is visible to reads that were already waiting', async () => {
  const slow = new Slow(1e6);
  slow.enter('req-1');
  await slow.ask(['req-1']);
  const asked = slow.reads.find('req-1');
  await slow.clock.runUntil(slow.clock.now + 7);
  // The read has been served; its answer is on the way when the withdrawal's overtakes it.
  slow.end('req-1', 'withdrawn');
  slow.reads.rememberEnded('req-1', { stage: 'withdrawn', tasks: 1, done: 0 });
  await slow.clock.runUntil(slow.clock.now + 1000);
  expect(await asked).toMatchObject({ kind: 'ended', record: { stage: 'withdrawn' } });
});

test('reads of unknown jobs share one comparison, and ended jobs among them are found', async () => {
  const slow = new Slow();
  slow.enter('req-1');
  slow.end('req-2', 'done');
  await slow.ask(['req-1']);
  slow.asked.length = 0;
  expect((await slow.ask(names(60).map((id) => `${id}00`))).every(({ kind }) => kind === 'none')).toBe(true);
  expect(slow.asked).toEqual(['changes', 'compare 60']);
  expect((await slow.ask(['req-2', 'req-77', 'req-1'])).map(({ kind }) => kind)).toEqual([
    'ended',
    'none',
    'live',
  ]);
  // What has ended is never asked about again.
  slow.asked.length = 0;
  expect((await slow.ask(['req-2']))[0]).toMatchObject({ kind: 'ended', record: { stage: 'done' } });
  expect(slow.asked).toEqual([]);
});

test('reads fail while the store is unavailable and succeed once it is back', async () => {
  const slow = new Slow();
  slow.enter('req-1');
  await slow.ask(['req-1']);
  slow.down = true;
  expect((await slow.ask(['req-1', 'req-9'])).map(({ kind }) => kind)).toEqual(['unknown', 'unknown']);
  slow.down = false;
  slow.end('req-1', 'done');
  expect((await slow.ask(['req-1', 'req-9'])).map(({ kind }) => kind)).toEqual(['ended', 'none']);
});

test('a mirror whose revision was compacted is reloaded', async () => {
  const slow = new Slow();
  slow.enter('req-1');
  await slow.ask(['req-1']);
  for (let i = 0; i < 10_100; i += 1)
    slow.store.commit({ preconditions: [], mutations: [{ put: 'noise', value: i }] });
  slow.end('req-1', 'done');
  slow.enter('req-2');
  expect((await slow.ask(['req-1', 'req-2'])).map(({ kind }) => kind)).toEqual(['ended', 'live']);
});

// An unreadable record must not make an accepted job unknown.
test('a job with a corrupt description is still found', async () => {
  const slow = new Slow();
  slow.store.commit({ preconditions: [], mutations: [{ put: 'job/req-1', value: 'rubbish' }] });
  expect((await slow.ask(['req-1']))[0]?.kind).toBe('damaged');
});

// With every poll of one job refused by chance, it would be forgotten while others are served.
test('a read that was refused takes precedence when it is retried', () => {
  const admission = new Admission({ ...systemClock, monotonicMs: () => 0 }, 20);
  for (let i = 0; i < 15; i += 1) expect(admission.admit('show', `req-${i}`)).toBeNull();
  expect(admission.admit('show', 'req-77')).not.toBeNull();
  expect(admission.admit('show', 'req-78')).not.toBeNull();
  expect(admission.admit('show', 'req-99')).not.toBeNull();
  expect(admission.admit('show', 'req-77')).toBeNull();
  expect(admission.admit('show', 'req-3')).not.toBeNull();
});

// Otherwise a burst of other reads could put it off in each batch.
test('a read that exceeds one batch is among the first of the next', async () => {
  const slow = new Slow(1e6);
  const ids = names(80);
  for (const id of ids) slow.enter(id);
  await slow.ask(ids);
  for (const id of ids) slow.end(id, 'done');
  const answered: string[] = [];
  const ask = (id: string): void => void slow.reads.find(id).then(() => answered.push(id));
  ids.slice(0, 40).forEach(ask);
  await slow.clock.runUntil(slow.clock.now + 5);
  // These come while the first round is under way.
  ids.slice(40).forEach(ask);
  await slow.clock.runUntil(slow.clock.now + 5000);
  expect(answered).toHaveLength(80);
  expect(answered.slice(0, 40).sort()).toEqual(ids.slice(0, 40).sort());
});

// Restarted after each refused page, a long list would never complete.
test('a paged list resumes after a page that was refused', async () => {
  const keys = Array.from({ length: 1200 }, (_, i) => `job/req-${String(i).padStart(6, '0')}`);
  let asked = 0;
  const server = createServer((request, response) => {
    asked += 1;
    const query = new URL(request.url ?? '', 'http://x').searchParams;
    const from = keys.findIndex((key) => key > (query.get('after') ?? ''));
    const rows = keys.slice(from, from + 500).map((key, i) => ({ key, data: {}, stamp: from + i + 1 }));
    const refused = asked % 2 === 0;
    response.writeHead(refused ? 503 : 200);
    response.end(
      JSON.stringify(refused ? {} : { rows, truncated: from + 500 < 1200, ledgerRev: 2000 + asked }),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const settings = testSettings(0);
  settings.endpoints.state = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const list = await new HttpKeyValueStore(settings, systemClock).list('job/');
  server.close();
  server.closeAllConnections();
  // Of the first page's revision: whatever changed since, a watch from there tells.
  expect(list).toMatchObject({ revision: 2001 });
  expect(list !== 'unknown' && list.entries.map(({ key }) => key)).toEqual(keys);
});
