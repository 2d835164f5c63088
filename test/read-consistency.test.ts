/** Bursts of reads cost few store requests, and no read returns a state older than its request. */
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
import { StoreEmulator } from './emulators/state.js';
import { seeded, testSettings } from './emulators/simulation.js';

const RPS = 100;

/** A job reader on a key-value store that processes each request after 5 ms, and answers 5 ms later. */
class SlowStore {
  readonly clock = new VirtualClock();
  readonly emulator = new StoreEmulator(new Network(this.clock, seeded(1)));
  readonly requests: string[] = [];
  isDown = false;
  readonly reader: JobReader;

  constructor(rps = RPS) {
    const delayed = async <T>(request: string, serve: () => T): Promise<T | null> => {
      this.requests.push(request);
      await this.clock.sleep(5);
      const answer = this.isDown ? null : serve();
      await this.clock.sleep(5);
      return answer;
    };
    const { emulator } = this;
    const store: KeyValueStore = {
      read: async (key) => (await delayed(`read ${key}`, () => ({ entry: emulator.read(key) }))) ?? 'unknown',
      list: async (prefix) =>
        (await delayed(`list ${prefix}`, () => ({
          entries: emulator.list(prefix),
          revision: emulator.revision,
        }))) ?? 'unknown',
      commit: async (txn) =>
        (await delayed(`compare ${txn.preconditions.length}`, () => emulator.commit(txn))) ?? {
          kind: 'refused',
        },
      changesSince: async (prefix, after) =>
        (await delayed<WatchResult>('changes', () => emulator.changesSince(prefix, after))) ?? {
          kind: 'unknown',
        },
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
    this.reader = new JobReader(store, clock, rps, 80);
  }

  submit(id: string): void {
    this.emulator.commit({ preconditions: [], mutations: [{ put: `job/${id}`, value: job(id, 1, 1, 10) }] });
  }

  end(id: string, stage: string): void {
    const value = { stage, tasks: 1, done: 1 };
    this.emulator.commit({
      preconditions: [],
      mutations: [{ remove: `job/${id}` }, { put: `ended/${id}`, value }],
    });
  }

  /** Looks up jobs, and runs the clock until all lookups are answered. */
  async findAll(ids: readonly string[]): Promise<JobLookup[]> {
    const answers = Promise.all(ids.map((id) => this.reader.find(id)));
    await this.clock.runUntil(this.clock.now + 5000);
    return answers;
  }
}

const names = (count: number): string[] => Array.from({ length: count }, (_, i) => `req-${i}`);

// One store request for each poll would exceed the request limit of the store.
test('a thousand concurrent reads cost one store request, and continuous polls a bounded number', async () => {
  const slowStore = new SlowStore();
  for (const id of names(500)) slowStore.submit(id);
  const first = await slowStore.findAll([...names(500), ...names(500)]);
  expect(first.every(({ kind }) => kind === 'live')).toBe(true);
  expect(slowStore.requests).toEqual(['list job/']);
  slowStore.requests.length = 0;
  const from = slowStore.clock.now;
  const answers: Promise<JobLookup>[] = [];
  for (let at = 0; at < 10_000; at += 10) {
    slowStore.clock.at(from + at, () => answers.push(...names(20).map((id) => slowStore.reader.find(id))));
  }
  await slowStore.clock.runUntil(from + 15_000);
  expect((await Promise.all(answers)).length).toBe(20_000);
  expect(slowStore.requests.length).toBeLessThan(10 * 0.05 * RPS + 3);
});

test('a read reflects a state no older than its request', async () => {
  const slowStore = new SlowStore(1e6);
  slowStore.submit('req-1');
  await slowStore.findAll(['req-1']);
  const early = slowStore.reader.find('req-1');
  await slowStore.clock.runUntil(slowStore.clock.now + 7);
  // The store has processed the read for the first lookup. A user may learn of the cancellation from another node
  // now, so a lookup from here on must find it.
  slowStore.end('req-1', 'withdrawn');
  const late = slowStore.reader.find('req-1');
  await slowStore.clock.runUntil(slowStore.clock.now + 1000);
  expect((await early).kind).toBe('live');
  expect(await late).toMatchObject({ kind: 'ended', record: { stage: 'withdrawn' } });
});

test('a cancellation acknowledged by this node is visible to reads that were already waiting', async () => {
  const slowStore = new SlowStore(1e6);
  slowStore.submit('req-1');
  await slowStore.findAll(['req-1']);
  const pending = slowStore.reader.find('req-1');
  await slowStore.clock.runUntil(slowStore.clock.now + 7);
  // The store has processed the read, but its answer arrives after the one to the cancellation.
  slowStore.end('req-1', 'withdrawn');
  slowStore.reader.rememberEnded('req-1', {
    kind: 'ended',
    record: { stage: 'withdrawn', tasks: 1, done: 0 },
    modRevision: 9,
  });
  await slowStore.clock.runUntil(slowStore.clock.now + 1000);
  expect(await pending).toMatchObject({ kind: 'ended', record: { stage: 'withdrawn' } });
});

test('reads of unknown jobs share one transaction without mutations, and ended jobs among them are found', async () => {
  const slowStore = new SlowStore();
  slowStore.submit('req-1');
  slowStore.end('req-2', 'done');
  await slowStore.findAll(['req-1']);
  slowStore.requests.length = 0;
  expect(
    (await slowStore.findAll(names(60).map((id) => `${id}00`))).every(({ kind }) => kind === 'none'),
  ).toBe(true);
  expect(slowStore.requests).toEqual(['changes', 'compare 60']);
  expect((await slowStore.findAll(['req-2', 'req-77', 'req-1'])).map(({ kind }) => kind)).toEqual([
    'ended',
    'none',
    'live',
  ]);
  // An ended job is not read from the store again.
  slowStore.requests.length = 0;
  expect((await slowStore.findAll(['req-2']))[0]).toMatchObject({ kind: 'ended', record: { stage: 'done' } });
  expect(slowStore.requests).toEqual([]);
});

test('reads fail while the store is unavailable and succeed once it is back', async () => {
  const slowStore = new SlowStore();
  slowStore.submit('req-1');
  await slowStore.findAll(['req-1']);
  slowStore.isDown = true;
  expect((await slowStore.findAll(['req-1', 'req-9'])).map(({ kind }) => kind)).toEqual([
    'unknown',
    'unknown',
  ]);
  slowStore.isDown = false;
  slowStore.end('req-1', 'done');
  expect((await slowStore.findAll(['req-1', 'req-9'])).map(({ kind }) => kind)).toEqual(['ended', 'none']);
});

test('a mirror whose revision was compacted is reloaded', async () => {
  const slowStore = new SlowStore();
  slowStore.submit('req-1');
  await slowStore.findAll(['req-1']);
  for (let i = 0; i < 10_100; i += 1)
    slowStore.emulator.commit({ preconditions: [], mutations: [{ put: 'noise', value: i }] });
  slowStore.end('req-1', 'done');
  slowStore.submit('req-2');
  expect((await slowStore.findAll(['req-1', 'req-2'])).map(({ kind }) => kind)).toEqual(['ended', 'live']);
});

// An unreadable record must not make an accepted job unknown.
test('a job with a corrupt description is still found', async () => {
  const slowStore = new SlowStore();
  slowStore.emulator.commit({ preconditions: [], mutations: [{ put: 'job/req-1', value: 'rubbish' }] });
  expect((await slowStore.findAll(['req-1']))[0]?.kind).toBe('damaged');
});

// Otherwise every poll of one job could be refused by chance while polls of others are served.
test('a read that was refused takes precedence when it is retried', () => {
  const admission = new Admission({ ...systemClock, monotonicMs: () => 0 }, 20);
  for (let i = 0; i < 15; i += 1) expect(admission.admit('show', `req-${i}`)).toBeNull();
  expect(admission.admit('show', 'req-77')).not.toBeNull();
  expect(admission.admit('show', 'req-78')).not.toBeNull();
  expect(admission.admit('show', 'req-99')).not.toBeNull();
  expect(admission.admit('show', 'req-77')).toBeNull();
  expect(admission.admit('show', 'req-3')).not.toBeNull();
});

// Otherwise a burst of other reads could defer it in every batch.
test('a read that does not fit into one batch is among the first of the next', async () => {
  const slowStore = new SlowStore(1e6);
  const ids = names(80);
  for (const id of ids) slowStore.submit(id);
  await slowStore.findAll(ids);
  for (const id of ids) slowStore.end(id, 'done');
  const answered: string[] = [];
  const lookUp = (id: string): void => void slowStore.reader.find(id).then(() => answered.push(id));
  ids.slice(0, 40).forEach(lookUp);
  await slowStore.clock.runUntil(slowStore.clock.now + 5);
  // These lookups arrive while the first round is in progress.
  ids.slice(40).forEach(lookUp);
  await slowStore.clock.runUntil(slowStore.clock.now + 5000);
  expect(answered).toHaveLength(80);
  expect(answered.slice(0, 40).sort()).toEqual(ids.slice(0, 40).sort());
});

// A long list that is restarted after each refused page would never complete.
test('a paged list resumes after a page that was refused', async () => {
  const keys = Array.from({ length: 1200 }, (_, i) => `job/req-${String(i).padStart(6, '0')}`);
  let requestCount = 0;
  const server = createServer((request, response) => {
    requestCount += 1;
    const query = new URL(request.url ?? '', 'http://x').searchParams;
    const from = keys.findIndex((key) => key > (query.get('after') ?? ''));
    const rows = keys.slice(from, from + 500).map((key, i) => ({ key, data: {}, stamp: from + i + 1 }));
    const refused = requestCount % 2 === 0;
    response.writeHead(refused ? 503 : 200);
    response.end(
      JSON.stringify(refused ? {} : { rows, truncated: from + 500 < 1200, ledgerRev: 2000 + requestCount }),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const settings = testSettings(0);
  settings.endpoints.state = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const list = await new HttpKeyValueStore(settings, systemClock).list('job/');
  server.close();
  server.closeAllConnections();
  // The list has the revision of its first page, so that a watch from there reports every later change.
  expect(list).toMatchObject({ revision: 2001 });
  expect(list !== 'unknown' && list.entries.map(({ key }) => key)).toEqual(keys);
});
