/**
 * Serves the emulators on loopback and in real time (a key-value store, a cloud and its workers), with the settings
 * of three controllers, for trying rowanferry out. For development only.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import express, { type Request, type Response } from 'express';
import { HttpClient } from '../src/adapters/http-client.js';
import type { ListedMachine, Mutation } from '../src/core/types.js';
import { parseAddress } from '../src/config/settings.js';
import type { Entry } from '../src/wire/key-value-store.js';
import { asObject, isNonEmptyString } from '../src/core/values.js';
import { Checker } from '../test/emulators/checker.js';
import { VirtualClock } from '../test/emulators/clock.js';
import { CloudEmulator, TYPES, Worker } from '../test/emulators/cloud.js';
import { Network } from '../test/emulators/network.js';
import { StoreEmulator } from '../test/emulators/state.js';
import { seeded, testSettings } from '../test/emulators/simulation.js';

const NODES = 3;
const STEP_MS = 5;
const RUN_MS = 4000;

const clock = new VirtualClock();
const network = new Network(clock, seeded(1));
const state = new StoreEmulator(network);
const checker = new Checker(30_000, 0);
export const settings = Array.from({ length: NODES }, (_, i) => testSettings(i));
const names = settings.map((one) => one.host_name);
const clients = new Map(
  settings.map((one) => [one.host_name, new HttpClient(parseAddress(one.public_addr), 16)]),
);
const cloud = new CloudEmulator(network, (listed: ListedMachine) => {
  const rules = {
    nodes: names,
    heartbeatIntervalMs: 1000,
    leaseMs: 10_000,
    runMs: () => RUN_MS,
    isBroken: () => false,
    drawDuplicate: () => null,
  };
  return new Worker(listed, network, rules, checker, (node, body, reply) => {
    const call = clients.get(node)?.request('POST', '/v1/report', JSON.stringify(body), 4000);
    void call?.then(({ status, body: answer }) => {
      if (status !== 0) reply(status, JSON.stringify(answer ?? {}));
    });
  });
});

const app = express();
app.use(express.json({ type: () => true, strict: false }));
const text = (value: unknown): string => (typeof value === 'string' ? value : '');
const entryOf = ({ key, value, modRevision }: Entry): object => ({
  key,
  data: value,
  stamp: modRevision,
});

app.get('/keys', (request, response) => {
  const after = text(request.query['after']);
  const page = Number(request.query['page'] ?? 200);
  const rows = state.list(text(request.query['prefix'])).filter(({ key }) => key > after);
  response.json({
    rows: rows.slice(0, page).map(entryOf),
    truncated: rows.length > page,
    ledgerRev: state.revision,
  });
});
app.get('/keys/*key', (request, response) => {
  const found = state.read(request.params.key.join('/'));
  if (found === null) response.status(404).json({ ledgerRev: state.revision });
  else response.json(entryOf(found));
});
app.post('/commit', (request, response) => {
  const body = asObject(request.body) ?? {};
  const apply = ((body['apply'] ?? []) as Record<string, unknown>[]).map((raw): Mutation => {
    if (!isNonEmptyString(raw['put'])) return { remove: text(raw['remove']) };
    const lease = raw['permit'];
    return { put: raw['put'], value: raw['data'], ...(typeof lease === 'number' ? { lease } : {}) };
  });
  const outcome = state.commit({
    preconditions: ((body['when'] ?? []) as { key: string; stamp: number }[]).map(({ key, stamp }) => ({
      key,
      modRevision: stamp,
    })),
    mutations: apply,
  });
  if (outcome.kind === 'applied') response.json({ ledgerRev: outcome.revision });
  else if (outcome.kind === 'failed')
    response.status(409).json({ failed: outcome.keys, ledgerRev: state.revision });
  else response.status(400).json({ error: 'no such lease' });
});
app.post('/leases', (request, response) => {
  response.json({ permit: state.grant(Number(asObject(request.body)?.['lifeMs'])) });
});
app.post('/leases/:id/renew', (request, response) => {
  const renewed = state.renew(Number(request.params.id));
  response.status(renewed ? 200 : 404).json({});
});
app.delete('/leases/:id', (request, response) => {
  state.revoke(Number(request.params.id));
  response.json({});
});
app.get('/watch', (request: Request, response: Response) => {
  const { prefix, after, waitMs } = request.query;
  state.watch(
    text(prefix),
    Number(after),
    Number(waitMs ?? 0),
    () => false,
    (found) => {
      if (found.kind !== 'changes') response.status(410).json({});
      else {
        const events = found.changes.map(({ key, value, modRevision: stamp }) =>
          value === undefined ? { remove: key, stamp } : { put: key, data: value, stamp },
        );
        response.json({ ledgerRev: found.revision, events });
      }
    },
  );
});

app.get('/catalog', (_request, response) => {
  const benches = TYPES.map((type) => ({
    name: type.name,
    cores: type.cpus,
    gpus: type.gpus,
    memGb: type.memoryGb,
    cacheGb: type.cacheGb,
    fetchGbPerS: type.fetchGbPerS,
    hourly: type.price,
    lowPrice: type.spotPrice,
    readyS: type.bootS,
    halls: type.zones,
  }));
  response.json({ benches });
});
app.get('/machines', (_request, response) => {
  const skiffs = cloud.list().map(({ name, address, type, zone, spot, stage, ageS }) => ({
    nameId: name,
    address,
    bench: type,
    hall: zone,
    borrowed: spot,
    stage: stage === 'booting' ? 'starting' : stage,
    heldS: ageS,
  }));
  response.json({ skiffs, truncated: false });
});
app.post('/machines', (request, response) => {
  const { charter, bench, hall, borrowed, howMany } = asObject(request.body) ?? {};
  const rented = cloud.provision(text(charter), text(bench), text(hall), borrowed === true, Number(howMany));
  if (typeof rented === 'string') response.status(503).json({ error: 'no capacity' });
  else response.json({ skiffs: rented });
});
app.post('/machines/return', (request, response) => {
  const skiffs = asObject(request.body)?.['skiffs'];
  for (const name of Array.isArray(skiffs) ? skiffs.filter(isNonEmptyString) : []) cloud.terminate(name);
  response.json({});
});

export const demoJob = {
  nameId: 'req-000001',
  repertoire: 'class',
  crew: 'crew',
  form: 'array',
  urgency: 'normal',
  movements: 6,
  cores: 2,
  gpus: 0,
  memGb: 2,
  edition: 'img',
  pullGb: 0.3,
  benches: null,
  hall: null,
  together: false,
  apart: false,
  borrowed: true,
  expectedS: 4,
  bookmarkS: 0,
  bookmarkWriteS: 0,
  curtainS: 60,
};
let lastAdvanceAt = performance.now();
const advance = async (): Promise<void> => {
  const now = performance.now();
  await clock.runUntil(clock.now + now - lastAdvanceAt);
  lastAdvanceAt = now;
  setTimeout(() => void advance(), STEP_MS);
};

/** Serves the emulators, and writes the settings of three controllers and a job into a folder. */
export function startEmulators(folder: string): Promise<void> {
  mkdirSync(folder, { recursive: true });
  settings.forEach((one, i) => {
    const { endpoints } = one;
    const document = { ...one, endpoints: { ...endpoints, cloud: endpoints.state } };
    writeFileSync(join(folder, `node-${i}.json`), `${JSON.stringify(document, null, 2)}\n`);
  });
  writeFileSync(join(folder, 'job.json'), `${JSON.stringify(demoJob, null, 2)}\n`);
  const { host, port } = parseAddress(settings[0]?.endpoints.state ?? '127.0.0.1:7300');
  void advance();
  return new Promise((resolve) => app.listen(port, host, () => resolve()));
}
