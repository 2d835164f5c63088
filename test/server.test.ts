/** The public port over real HTTP on loopback: responses to valid and invalid requests. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { HttpClient, type HttpResponse } from '../src/adapters/http-client.js';
import { Admission } from '../src/adapters/admission.js';
import { createPublicServer, type PublicApi } from '../src/adapters/public-server.js';
import { UserRequests } from '../src/adapters/user-requests.js';
import { systemClock } from '../src/adapters/clock.js';
import { parseHeartbeat } from '../src/wire/workers.js';
import type { KeyValueStore } from '../src/adapters/key-value-store.js';
import { TYPES } from './emulators/cloud.js';
import { VirtualClock } from './emulators/clock.js';
import { IMMEDIATE_FENCE } from './emulators/fence.js';
import { Network } from './emulators/network.js';
import { StoreEmulator } from './emulators/state.js';
import { seeded } from './emulators/simulation.js';

const storeEmulator = new StoreEmulator(new Network(new VirtualClock(), seeded(1)));
let isStoreDown = false;
const store: KeyValueStore = {
  read: (key) => Promise.resolve(isStoreDown ? 'unknown' : { entry: storeEmulator.read(key) }),
  list: (prefix) =>
    Promise.resolve(
      isStoreDown ? 'unknown' : { entries: storeEmulator.list(prefix), revision: storeEmulator.revision },
    ),
  commit: (txn) => Promise.resolve(isStoreDown ? { kind: 'refused' } : storeEmulator.commit(txn)),
  watch: () => Promise.resolve({ kind: 'unknown' }),
  changesSince: (prefix, after) =>
    Promise.resolve(isStoreDown ? { kind: 'unknown' } : storeEmulator.changesSince(prefix, after)),
  grant: () => Promise.resolve(null),
  renew: () => Promise.resolve(null),
  revoke: () => Promise.resolve(),
  lastContactAt: () => null,
  applyLimits: () => undefined,
};
let cancellationsPropagated = true;
let dependenciesSupported = true;
let types = new Map(TYPES.map((type) => [type.name, type]));
const users = new UserRequests({
  store,
  clock: systemClock,
  fence: IMMEDIATE_FENCE,
  teams: new Map([['crew', { guaranteedCpus: 0, maxCpus: 8, guaranteedGpus: 0, maxGpus: 0 }]]),
  requestTimeoutMs: 100,
  requestsPerSecond: 10_000,
  maxValueBytes: 2048,
  maxPreconditions: 24,
  supportsDependencies: () => Promise.resolve(dependenciesSupported),
  hasPropagatedCancellations: () => cancellationsPropagated,
  machineTypes: () => types,
  taskCounts: () => null,
});
const api: PublicApi = {
  users,
  handleHeartbeat: (body, done) =>
    parseHeartbeat(body) === null ? done(400, '{"error":"malformed report"}') : done(200, '{}'),
  ready: () => true,
  describe: () => ({ fine: true }),
  latencies: { record: () => undefined },
  admission: new Admission(systemClock, 100),
  malformed: { count: (what) => malformed.push(what) },
};
const server: Server = createPublicServer(api, 100);
const malformed: string[] = [];
let client: HttpClient;
beforeAll(async () => {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  client = new HttpClient({ host: '127.0.0.1', port: (server.address() as AddressInfo).port }, 4);
});
afterAll(() => {
  client.close();
  server.close();
  server.closeAllConnections();
});

const validSubmission = {
  nameId: 'req-000001',
  repertoire: 'train',
  crew: 'crew',
  form: 'array',
  urgency: 'high',
  movements: 2,
  cores: 1.0,
  gpus: 0.0,
  memGb: 1.0,
  edition: 'img',
  pullGb: 1.5,
  benches: null,
  hall: null,
  together: false,
  apart: false,
  borrowed: true,
  expectedS: 5.0,
  bookmarkS: 0.0,
  bookmarkWriteS: 0.0,
  curtainS: null,
};
const post = (body: unknown): Promise<HttpResponse> =>
  client.request('POST', '/v2/runs', typeof body === 'string' ? body : JSON.stringify(body), 5000);
const get = (path: string): Promise<HttpResponse> => client.request('GET', path, null, 5000);

test.each<[string, unknown]>([
  ['not JSON', '{'],
  ['not an object', '[1]'],
  ['a bare value', '7'],
  ['a missing field', { ...validSubmission, edition: undefined }],
  ['a mistyped field', { ...validSubmission, cores: '8' }],
  ['a field out of range', { ...validSubmission, movements: 0 }],
  ['too many tasks', { ...validSubmission, movements: 100_001 }],
  ['an unknown priority', { ...validSubmission, urgency: 'urgent' }],
  ['an unknown form', { ...validSubmission, form: 'choir' }],
  ['a bad id', { ...validSubmission, nameId: 'job-1' }],
  ['a list of dependencies that is not a list', { ...validSubmission, awaits: 'req-000001' }],
  ['a dependency that is not a job id', { ...validSubmission, awaits: ['req-000001', 'job-2'] }],
  ['a description too long to store', { ...validSubmission, repertoire: 'x'.repeat(2000) }],
  ['a body over 64 KiB', { ...validSubmission, edition: 'x'.repeat(70_000) }],
])('%s gets 400 and an error text', async (_what, body) => {
  const answer = await post(body);
  expect(answer.status).toBe(400);
  expect(answer.body).toEqual({ error: expect.any(String) as unknown });
});

test.each<[string, unknown]>([
  ['an unknown team', { ...validSubmission, crew: 'nobody' }],
  ['no machine large enough', { ...validSubmission, memGb: 4096 }],
  ['a type that does not exist', { ...validSubmission, benches: ['huge'] }],
  ['a service beyond the limit of its team', { ...validSubmission, form: 'service', movements: 9 }],
])('%s gets 422, but only once machine types are known', async (_what, body) => {
  expect((await post(body)).status).toBe(422);
  const knownTypes = types;
  types = new Map();
  expect((await post(body)).status).toBe(503);
  types = knownTypes;
});

test('a job is accepted once, stays known, and stays cancelled', async () => {
  expect(await get('/v2/runs/req-000001')).toMatchObject({ status: 404 });
  expect(await post({ ...validSubmission, unknownField: 1, hall: undefined })).toEqual({
    status: 201,
    body: { nameId: 'req-000001', stage: 'pending' },
  });
  expect(await post(validSubmission)).toMatchObject({ status: 200, body: { stage: 'pending' } });
  const cancelled = { status: 200, body: { nameId: 'req-000001', stage: 'withdrawn' } };
  expect(await client.request('POST', '/v2/runs/req-000001/withdraw', '{}', 5000)).toEqual(cancelled);
  expect(await client.request('POST', '/v2/runs/req-000001/withdraw', null, 5000)).toMatchObject(cancelled);
  expect(await get('/v2/runs/req-000001')).toMatchObject(cancelled);
  expect(await post(validSubmission)).toMatchObject(cancelled);
  // An invalid resubmission of a known job is answered with the job, not with an error.
  expect(await post({ ...validSubmission, crew: 'nobody' })).toMatchObject(cancelled);
});

const cancelJob = (id: string): Promise<HttpResponse> =>
  client.request('POST', `/v2/runs/${id}/withdraw`, null, 5000);
const markDone = (id: string): void => {
  const record = { stage: 'done', tasks: 2, done: 2 };
  storeEmulator.commit({
    preconditions: [],
    mutations: [{ remove: `job/${id}` }, { put: `ended/${id}`, value: record }],
  });
};

test('a job gets 201 if its dependencies were accepted, 422 if one is unknown, itself or a service, and 200 if repeated', async () => {
  const dependency = { ...validSubmission, nameId: 'req-000010', awaits: [] };
  const dependent = { ...validSubmission, nameId: 'req-000011', awaits: ['req-000010', 'req-000010'] };
  expect((await post(dependent)).status).toBe(422);
  expect((await post({ ...dependent, awaits: ['req-000011'] })).status).toBe(422);
  expect((await post(dependency)).status).toBe(201);
  expect(await post(dependent)).toMatchObject({ status: 201, body: { stage: 'pending' } });
  // Duplicates count once. The response lists the dependencies that have not ended, and no others.
  expect(storeEmulator.read('job/req-000011')?.value).toMatchObject({ awaits: ['req-000010'] });
  expect((await get('/v2/runs/req-000011')).body).toMatchObject({ awaits: ['req-000010'] });
  markDone('req-000010');
  await get('/v2/runs/req-000010');
  expect((await get('/v2/runs/req-000011')).body).not.toHaveProperty('awaits');
  expect(await post({ ...dependent, awaits: ['req-000099'] })).toMatchObject({ status: 200 });
  const serviceJob = { ...validSubmission, nameId: 'req-000012', form: 'service' };
  expect((await post(serviceJob)).status).toBe(201);
  expect((await post({ ...validSubmission, nameId: 'req-000013', awaits: ['req-000012'] })).status).toBe(422);
});

test('a job that depends on a cancelled one is accepted and cancelled', async () => {
  expect((await post({ ...validSubmission, nameId: 'req-000020' })).status).toBe(201);
  await cancelJob('req-000020');
  const late = { ...validSubmission, nameId: 'req-000021', awaits: ['req-000020'] };
  expect(await post(late)).toMatchObject({ status: 201, body: { stage: 'withdrawn' } });
  expect(await get('/v2/runs/req-000021')).toMatchObject({ status: 200, body: { stage: 'withdrawn' } });
});

// Otherwise a node without a leader would report the dependent jobs of a cancelled job as pending for ever.
test('without a leader a poll evaluates the DAG itself', async () => {
  const chain = ['req-000030', 'req-000031', 'req-000032'];
  for (const [i, nameId] of chain.entries())
    expect(
      (await post({ ...validSubmission, nameId, awaits: chain.slice(Math.max(0, i - 1), i) })).status,
    ).toBe(201);
  await cancelJob('req-000030');
  expect((await get('/v2/runs/req-000032')).body).toMatchObject({ stage: 'pending' });
  cancellationsPropagated = false;
  expect((await get('/v2/runs/req-000032')).body).toMatchObject({ stage: 'withdrawn' });
  cancellationsPropagated = true;
  expect((await get('/v2/runs/req-000032')).body).toMatchObject({ stage: 'withdrawn' });
});

// A poll must be answered however many jobs the DAG has.
test('without a leader a poll evaluates a DAG of any length with a few requests', async () => {
  const chain = Array.from({ length: 150 }, (_, i) => `req-0004${String(100 + i)}`);
  for (const [i, nameId] of chain.entries())
    expect(
      (await post({ ...validSubmission, nameId, awaits: chain.slice(Math.max(0, i - 1), i) })).status,
    ).toBe(201);
  cancellationsPropagated = false;
  const last = `/v2/runs/${chain.at(-1) ?? ''}`;
  let requests = 0;
  const originalChangesSince = store.changesSince.bind(store);
  store.changesSince = (...args) => {
    requests += 1;
    return originalChangesSince(...args);
  };
  expect((await get(last)).body).toMatchObject({ stage: 'pending' });
  expect(requests).toBeLessThan(5);
  store.changesSince = originalChangesSince;
  cancellationsPropagated = true;
  await cancelJob(chain[0] ?? '');
  cancellationsPropagated = false;
  expect((await get(last)).body).toMatchObject({ stage: 'withdrawn' });
  cancellationsPropagated = true;
});

// A job committed after a dependency's cancellation has propagated would never be cancelled.
test('a submission commits only while its dependencies are unchanged since they were read', async () => {
  expect((await post({ ...validSubmission, nameId: 'req-000040' })).status).toBe(201);
  const modRevision = storeEmulator.read('job/req-000040')?.modRevision;
  let preconditions: readonly { key: string; modRevision?: number | undefined }[] = [];
  const originalCommit = store.commit.bind(store);
  store.commit = (txn) => {
    preconditions = txn.preconditions;
    return originalCommit(txn);
  };
  await post({ ...validSubmission, nameId: 'req-000041', awaits: ['req-000040'] });
  store.commit = originalCommit;
  expect(preconditions).toContainEqual({ key: 'job/req-000040', modRevision });
});

test('503 and no write until every controller supports DAG dependencies', async () => {
  dependenciesSupported = false;
  expect((await post({ ...validSubmission, nameId: 'req-000051', awaits: ['req-000040'] })).status).toBe(503);
  dependenciesSupported = true;
  expect(storeEmulator.read('job/req-000051')).toBeNull();
});

test('while the store is unavailable: 503 immediately, never 404', async () => {
  isStoreDown = true;
  expect((await get('/v2/runs/req-000077')).status).toBe(503);
  expect((await post({ ...validSubmission, nameId: 'req-000077' })).status).toBe(503);
  isStoreDown = false;
  expect((await get('/v2/runs/req-000077')).status).toBe(404);
});

test('unknown paths get 404, wrong methods 405, malformed heartbeats 400', async () => {
  expect((await get('/nowhere')).status).toBe(404);
  expect((await get('/v1/report')).status).toBe(405);
  expect((await client.request('DELETE', '/v2/runs', null, 5000)).status).toBe(405);
  expect((await client.request('POST', '/ready', '{}', 5000)).status).toBe(405);
  expect((await client.request('POST', '/v1/report', '{"skiff":1}', 5000)).status).toBe(400);
  expect((await client.request('POST', '/v1/report', 'garbage', 5000)).status).toBe(400);
  malformed.length = 0;
  expect((await client.request('POST', '/v2/runs', 'garbage', 5000)).status).toBe(400);
  expect((await post({ nameId: 7 })).status).toBe(400);
  expect(malformed).toEqual(['requests', 'requests']);
  expect((await get('/ready')).status).toBe(200);
});

// Thousands of simultaneous polls, as after an outage, must not queue behind a store that does not answer.
test('requests above capacity are refused immediately, polls first, with spread retry delays', () => {
  let now = 0;
  const admission = new Admission({ ...systemClock, monotonicMs: () => now }, 20);
  const admit = (kind: 'submit' | 'show', count: number): (number | null)[] =>
    Array.from({ length: count }, () => admission.admit(kind));
  expect(admit('show', 16).filter((delayS) => delayS === null)).toHaveLength(15);
  expect(admit('submit', 6).filter((delayS) => delayS === null)).toHaveLength(5);
  const delays = new Set(admit('show', 200));
  expect([...delays].every((seconds) => seconds !== null && seconds >= 1 && seconds <= 10)).toBe(true);
  expect(delays.size).toBe(10);
  for (let i = 0; i < 20; i += 1) admission.release();
  now += 2000;
  expect(admit('show', 1)).toEqual([null]);
});

test.each([
  ['GET', '/v2/runs/req-000001'],
  ['POST', '/v2/runs/req-000001/withdraw'],
])('%s %s that fails gets 503, and its cause is logged', async (method, path) => {
  const logged: object[] = [];
  const fail = (): Promise<never> => Promise.reject(new RangeError('cause of the failure'));
  const failing = createPublicServer({ ...api, users: { submit: fail, show: fail, cancel: fail } }, 100, {
    error: (fields: object, event?: string) => logged.push({ ...fields, event }),
  });
  await new Promise<void>((resolve) => failing.listen(0, '127.0.0.1', resolve));
  const { port } = failing.address() as AddressInfo;
  const failingClient = new HttpClient({ host: '127.0.0.1', port }, 1);
  expect((await failingClient.request(method, path, null, 5000)).status).toBe(503);
  expect(logged).toMatchObject([{ error: 'RangeError: cause of the failure', event: 'request failed' }]);
  failingClient.close();
  failing.close();
  failing.closeAllConnections();
});
