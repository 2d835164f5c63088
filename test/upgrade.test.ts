/** Controllers of different versions, and the migration of stored records to smaller store limits. */
import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import type { Effect } from '../src/core/effects.js';
import type { Claim } from '../src/core/types.js';
import { parseSettings, settingsFaults } from '../src/config/settings.js';
import { initialLayout, formatRecord, upgradedLayout } from '../src/config/record-layout.js';
import { PeerMessageReader } from '../src/wire/peer-reader.js';
import { encodeStatus } from '../src/wire/peers.js';
import {
  chunkKey,
  decodeChunk,
  decodeDemand,
  encodeChunk,
  encodeCompactChunk,
  packMachines,
  packDemand,
  parseChunkKey,
} from '../src/core/persistence/index.js';
import { CoreHarness, job, heartbeatOf, task, TERM } from './emulators/core-harness.js';
import { PRODUCTION_STATUS } from './emulators/peer-messages.js';
import { seeded, testSettings, TIGHT_LIMITS, NO_OBSERVATIONS, Simulation } from './emulators/simulation.js';

interface ProductionData {
  readonly revision: number;
  readonly keys: readonly { key: string; value: unknown; stamp: number }[];
  readonly status: string;
}
const production = JSON.parse(
  readFileSync(new URL('data/production.json', import.meta.url), 'utf8'),
) as ProductionData;

test('jobs stored by 0.1.0 are loaded, migrated to narrow chunks and completed', async () => {
  const simulation = new Simulation(seeded(3), { limits: TIGHT_LIMITS });
  simulation.reduceLimits();
  simulation.cloud.capacity = 12;
  simulation.store.revision = production.revision;
  for (const { key, value, stamp } of production.keys)
    simulation.store.keys.set(key, { value, modRevision: stamp, lease: null });
  const requirements = {
    team: 'crew',
    cpus: 1,
    memoryGb: 2,
    spot: true,
    zone: null,
    oneZone: false,
    spread: false,
  };
  for (const [i, tasks] of [3, 90, 40, 12, 150].entries()) {
    const id = `req-00000${i}`;
    if (i === 3) continue;
    void simulation.simulateUser({ id, tasks, ...requirements }, null);
  }
  await simulation.clock.runUntil(180_000);
  // Tasks completed in production are not run again, so the checker sees `done` jobs without all their completions.
  expect(simulation.checker.violations.filter((rule) => !rule.startsWith('not_done'))).toEqual([]);
  expect(simulation.checker.unfinishedJobs()).toEqual([]);
  expect([...simulation.store.keys.keys()].filter((key) => /^(run|job)\//.test(key))).toEqual([]);
  expect(simulation.store.rejected).toBe(0);
});

test('each version decodes the peer messages of the other', () => {
  const [status] = new PeerMessageReader().push(Buffer.from(production.status, 'base64'));
  expect(status).toMatchObject({
    node: 'n-0',
    term: 7,
    isLeader: true,
    format: 0,
    dependenciesResolvedUntil: 0,
  });
  const encoded = encodeStatus({
    node: 'n-1',
    incarnation: 'y',
    term: 8,
    isLeader: true,
    storeContactAgeMs: 3,
    counts: [],
    format: 2,
    dependenciesResolvedUntil: 1e12,
    silentZones: [],
    relayedMachines: [],
    viewConfirmedAt: 0,
    ...NO_OBSERVATIONS,
  });
  expect(PRODUCTION_STATUS.toObject(PRODUCTION_STATUS.decodeDelimited(encoded))).toMatchObject({
    node: 'n-1',
    term: 8,
  });
});

test('a controller of unknown version delays the new format; service continues', async () => {
  const simulation = new Simulation(seeded(6), { limits: TIGHT_LIMITS, startsEarlierVersion: true });
  simulation.upgrade(0, 2000);
  simulation.upgrade(1, 2000);
  const requirements = { cpus: 1, memoryGb: 2, spot: true, zone: null, oneZone: false, spread: false };
  void simulation.simulateUser({ id: 'req-000001', team: 'crew', tasks: 30, ...requirements }, null);
  await simulation.clock.runUntil(60_000);
  expect(simulation.checker.unfinishedJobs()).toEqual([]);
  expect(simulation.store.read('format')).toBeNull();
  // While the controller is down, its next version is unknown too, so the format stays as it is.
  simulation.crash(2, 30_000);
  await simulation.clock.runUntil(85_000);
  expect(simulation.store.read('format')).toBeNull();
  await simulation.clock.runUntil(95_000);
  simulation.upgrade(2, 2000);
  await simulation.clock.runUntil(115_000);
  expect(simulation.store.read('format')?.value).toMatchObject({ format: 2, wide: 128, tasks: 24 });
});

const claims = (from: number, count: number, machine: (task: number) => string): Record<string, Claim> =>
  Object.fromEntries(
    Array.from({ length: count }, (_, i) => [
      from + i,
      { attempt: 12, machine: machine(i), agentEpoch: 12, createdAt: 1_700_000_000_000 - 100 * i },
    ]),
  );

test('every record fits the upcoming limits', () => {
  const settings = testSettings(0, 0, { next: { value_kb: 2, txn_ops: 6, write_rps: 18 } });
  const layout = upgradedLayout(settings, formatRecord(settings, null));
  expect(layout).toMatchObject({ keyWidth: 64, tasksPerChunk: 64, maxMutations: 6, maxValueBytes: 2048 });
  const bytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
  // The largest record: five-digit task numbers, two-digit attempts, and each task claimed on a different machine.
  const worst = claims(99_900, layout.tasksPerChunk, (i) => `vm-${String(100_000 + i)}`);
  const jobFields = { team: 'plantao-partitura', cpus: 2.5, gpus: 0, memoryGb: 25.5 };
  const record = { ...jobFields, done: 'A'.repeat(12), attempts: {}, claims: worst };
  expect(bytes(encodeCompactChunk(record))).toBeLessThan(2048);
  expect(decodeChunk(encodeCompactChunk(record))).toEqual(record);
  expect(decodeChunk(encodeChunk(record))).toEqual(record);
  const machines = Array.from({ length: 170 }, (_, i) => `vm-${String(100_000 + i)}`);
  const parts = packMachines(machines, 2048);
  expect(parts.flat()).toEqual(machines);
  for (const part of parts) expect(bytes({ at: 1_700_000_000_000.5, machines: part })).toBeLessThan(2048);
  const { awaits: _, ...spec } = job('req-1', 1, 1, 1);
  const demandHistory = Array.from({ length: 20 }, (_, i) => ({
    spec: { ...spec, jobClass: `class-${i}`, image: 'x'.repeat(50) },
    peak: 12.345678901234567,
    gap: 1234.5678901234567,
    ratio: 1.0123456789012345,
  }));
  const packed = packDemand(demandHistory, 2048).map((classes) => ({ classes }));
  expect(packed.flatMap(decodeDemand)).toEqual(demandHistory);
  for (const part of packed) expect(bytes(part)).toBeLessThan(2048);
});

test('chunk keys of both versions are parsed', () => {
  for (const name of [
    { index: 3, width: null },
    { index: 12, width: 64 },
  ])
    expect(parseChunkKey(chunkKey('req-000412', name))).toEqual({ job: 'req-000412', ...name });
  expect(parseChunkKey('run/req-1/64.x')).toBeNull();
  expect(parseChunkKey('run/req-1/0.00001')).toBeNull();
});

test('a recorded chunk width only shrinks, and the format record states the width of wide chunks', () => {
  const tight = testSettings(0, 0, TIGHT_LIMITS);
  const known = formatRecord(tight, null);
  expect(known).toEqual({ format: 2, wide: 128, tasks: 24 });
  // Later settings: the small limits have become the current ones, or the limits have been raised again.
  const small = testSettings(0, 0, { value_kb: 1, txn_ops: 6 });
  expect(upgradedLayout(small, formatRecord(small, known))).toMatchObject({
    keyWidth: 24,
    tasksPerChunk: 24,
  });
  const grown = testSettings(0);
  expect(upgradedLayout(grown, formatRecord(grown, known))).toMatchObject({
    keyWidth: 24,
    tasksPerChunk: 24,
  });
  expect(initialLayout(grown)).toMatchObject({ keyWidth: null, tasksPerChunk: 512 });
  // Without upcoming limits, the layout does not change.
  expect(upgradedLayout(grown, formatRecord(grown, null))).toMatchObject({
    keyWidth: null,
    tasksPerChunk: 512,
  });
});

test('each of the upcoming limits is optional and validated', () => {
  const settings = testSettings(0);
  const withNext = (next: unknown): unknown => ({
    ...settings,
    cluster: { ...settings.cluster, state: { ...settings.cluster.state, next } },
  });
  expect(settingsFaults(withNext(null))).toEqual([]);
  expect(settingsFaults(withNext({}))).toEqual([]);
  expect(settingsFaults(withNext({ txn_ops: 6, later: true }))).toEqual([]);
  expect(settingsFaults(withNext({ txn_ops: 0 }))[0]).toMatch(/^cluster\.state\.next\.txn_ops: /);
  expect(settingsFaults(withNext({ value_kb: '2' }))[0]).toMatch(/^cluster\.state\.next\.value_kb: /);
  expect(() => parseSettings(withNext(7))).toThrow(/cluster\.state\.next: /);
});

const mutationsOf = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) =>
    effect.kind === 'commit'
      ? effect.transaction.mutations.map((write) =>
          'put' in write ? `put ${write.put}` : `remove ${write.remove}`,
        )
      : [],
  );

/** A leader with eight tasks of a large job on one machine, stored in the layout that production writes. */
function createLeader(): CoreHarness {
  const harness = new CoreHarness(0, undefined, TIGHT_LIMITS);
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-1', 60, 1, 500));
  harness.deliverHeartbeat(heartbeatOf('m', 2));
  return harness;
}

test('migration: a narrow chunk supersedes the wide one, which is removed once all its tasks are covered', async () => {
  const harness = createLeader();
  const settings = testSettings(0, 0, TIGHT_LIMITS);
  harness.stepAndCommit({
    kind: 'adoptLayout',
    layout: upgradedLayout(settings, formatRecord(settings, null)),
  });
  const running = [...Array(8).keys()].map((i) => task(`req-1/${i}`, 1, 'running'));
  // Committed claims stay durable in the new layout: no task is started twice, and nothing is written for them.
  expect(mutationsOf(harness.deliverHeartbeat(heartbeatOf('m', 3, running)))).toEqual([]);
  const [first, ...others] = running;
  if (first === undefined) throw new Error('no task');
  const exit = harness.deliverHeartbeat(
    heartbeatOf('m', 4, [{ ...first, stage: 'exited', exit: 'done' }, ...others]),
  );
  // The next task takes the freed resources. The narrow chunk then holds all state of the wide one, which is removed.
  expect(mutationsOf(exit)).toEqual(['put run/req-1/24.00000', 'remove run/req-1/00000']);
  await harness.expectTrace('migration');
});

test('after a crash during migration each task has the state of its narrowest record', () => {
  const harness = new CoreHarness(0, undefined, TIGHT_LIMITS);
  const settings = testSettings(0, 0, TIGHT_LIMITS);
  const format = formatRecord(settings, null);
  const jobFields = { team: 'crew', cpus: 1, gpus: 0, memoryGb: 1, attempts: {} };
  const wide = { ...jobFields, done: '', claims: claims(0, 30, () => 'old') };
  const narrow = {
    ...jobFields,
    done: Buffer.from([1]).toString('base64'),
    claims: claims(1, 3, () => 'new'),
  };
  harness.stepAndCommit({
    kind: 'becomeLeader',
    term: TERM,
    modRevision: 100,
    viewConfirmedAt: harness.now,
    layout: upgradedLayout(settings, format),
    legacyChunkTasks: format.wide,
    demandHistory: [],
    jobs: [{ value: job('req-1', 60, 1, 50), modRevision: 50 }],
    chunks: [
      { job: 'req-1', name: { index: 0, width: null }, record: { value: wide, modRevision: 60 } },
      { job: 'req-1', name: { index: 0, width: 24 }, record: { value: narrow, modRevision: 61 } },
    ],
  });
  const loaded = harness.state.jobs.get('req-1');
  expect(loaded?.doneCount).toBe(1);
  const tasksOn = (machine: string): number[] =>
    [...(loaded?.claims.values() ?? [])].flatMap((claim) => (claim.machine === machine ? [claim.task] : []));
  expect(tasksOn('new')).toEqual([1, 2, 3]);
  expect(tasksOn('old')).toEqual([24, 25, 26, 27, 28, 29]);
});

// The store never accepts such a transaction, so a retry at every tick would be wasted.
test('a transaction rejected for its size is split, then backed off instead of retried at every tick', () => {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  let sent = 0;
  let effects = harness.step({ kind: 'jobAdded', job: { value: job('req-1', 8, 1, 50), modRevision: 101 } });
  for (let ms = 0; ms < 60_000; ms += 250) {
    const commit = effects.find((effect) => effect.kind === 'commit');
    if (commit?.kind === 'commit') {
      sent += 1;
      harness.step({ kind: 'committed', id: commit.id, outcome: { kind: 'rejected' } });
    }
    harness.now += 250;
    effects = harness.step({ kind: 'tick' });
  }
  expect(sent).toBeGreaterThan(3);
  expect(sent).toBeLessThan(15);
  expect(harness.state.leadership).not.toBeNull();
});
