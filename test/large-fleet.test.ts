/** Fleets of 8,000 machines stay within every limit on messages, caches and memory. */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { createServer, Agent, request, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { getHeapStatistics } from 'node:v8';
import { join } from 'node:path';
import protobuf from 'protobufjs/light.js';
import { afterEach, describe, expect, test } from 'vitest';
import { readScenario } from '../lab/scenario.js';
import { Admission } from '../src/adapters/admission.js';
import { HttpCloud } from '../src/adapters/cloud.js';
import { JobReader } from '../src/adapters/job-reader.js';
import { createPublicServer } from '../src/adapters/public-server.js';
import { HttpKeyValueStore } from '../src/adapters/key-value-store.js';
import { main } from '../src/cli/commands.js';
import { systemClock } from '../src/adapters/clock.js';
import { estimatedMemoryMb, heldBytes, MemoryMonitor } from '../src/observability/memory.js';
import type { ControllerContext } from '../src/controller/context.js';
import { FallbackResponder } from '../src/controller/fallback-responder.js';
import { PeerExchange } from '../src/controller/peer-exchange.js';
import { HeartbeatIntake } from '../src/controller/heartbeat-intake.js';
import { SharedHeartbeats } from '../src/controller/shared-heartbeats.js';
import { scaleOut } from '../src/core/autoscaling/index.js';
import type { Effect } from '../src/core/effects.js';
import { removeTerminated, getOrCreateMachine } from '../src/core/fleet/index.js';
import type { JobState, Machine } from '../src/core/model.js';
import type { CoreState } from '../src/core/state.js';
import { finalOutcomeNow, unregisterDependencies } from '../src/core/jobs/index.js';
import { WorkerRouter, type LeaderReachability } from '../src/membership/worker-router.js';
import { timing } from '../src/config/settings.js';
import type { AnswersMessage, IntakeMessage, HeartbeatsMessage } from '../src/wire/intake.js';
import { PeerMessageReader } from '../src/wire/peer-reader.js';
import { encodeIntake, encodeStatus, type PeerStatus } from '../src/wire/peers.js';
import type { Heartbeat } from '../src/core/types.js';
import { CoreHarness, EIGHT_CPU_TYPE, job, heartbeatOf, task, TERM } from './emulators/core-harness.js';
import { ProcessClock, VirtualClock } from './emulators/clock.js';
import { EMPTY_SNAPSHOT } from './emulators/peer-messages.js';
import { testSettings, NO_OBSERVATIONS } from './emulators/simulation.js';

const FLEET = 8000;
const NAMES = Array.from({ length: FLEET }, (_, i) => `machine-zone-a-${i + 100_000}`);
const TIMING = timing(testSettings(0));
/** Limits of earlier versions, which send each message as one frame: bytes per frame, and names per list. */
const EARLIER_MAX_FRAME_BYTES = 64 * 1024;
const EARLIER_MAX_NAMES = 2000;

const STATUS: PeerStatus = {
  node: 'n-0',
  incarnation: 'x',
  term: 7,
  isLeader: false,
  storeContactAgeMs: 12,
  counts: [],
  format: 2,
  dependenciesResolvedUntil: 12.5,
  silentZones: [],
  relayedMachines: [],
  viewConfirmedAt: 0,
  ...NO_OBSERVATIONS,
};

/** The list fields as earlier versions with one frame per message declare them; their decoder skips unknown fields. */
const EARLIER_TYPE = protobuf.Root.fromJSON({
  nested: {
    JobCount: { fields: { id: { type: 'string', id: 1 } } },
    Heartbeat: { fields: { machine: { type: 'string', id: 1 } } },
    Intake: {
      fields: {
        node: { type: 'string', id: 1 },
        heartbeats: { rule: 'repeated', type: 'Heartbeat', id: 7 },
        attention: { rule: 'repeated', type: 'string', id: 10 },
        isSnapshot: { type: 'bool', id: 11 },
        isSharing: { type: 'bool', id: 12 },
        viewConfirmedAt: { type: 'double', id: 13 },
      },
    },
    PeerStatus: {
      fields: {
        node: { type: 'string', id: 1 },
        counts: { rule: 'repeated', type: 'JobCount', id: 6 },
        relayedMachines: { rule: 'repeated', type: 'string', id: 10 },
        viewConfirmedAt: { type: 'double', id: 11 },
        intake: { type: 'Intake', id: 22 },
      },
    },
  },
}).lookupType('PeerStatus');

interface EarlierMessage {
  readonly node: string;
  readonly counts: readonly unknown[];
  readonly relayedMachines: readonly string[];
  readonly viewConfirmedAt: number;
  readonly intake: {
    readonly heartbeats: readonly unknown[];
    readonly attention: readonly string[];
    readonly isSnapshot: boolean;
    readonly isSharing: boolean;
    readonly viewConfirmedAt: number;
  } | null;
}

/** Decodes frames as an earlier version does, and asserts that none exceeds its frame limit. */
function readAsEarlier(bytes: Uint8Array): EarlierMessage[] {
  const reader = protobuf.Reader.create(bytes);
  const found: EarlierMessage[] = [];
  while (reader.pos < reader.len) {
    const start = reader.pos;
    const message = EARLIER_TYPE.decodeDelimited(reader);
    expect(reader.pos - start).toBeLessThanOrEqual(EARLIER_MAX_FRAME_BYTES);
    found.push(EARLIER_TYPE.toObject(message, { defaults: true, arrays: true }) as EarlierMessage);
  }
  return found;
}

const readStatus = (bytes: Uint8Array): PeerStatus[] => new PeerMessageReader().push(bytes);

function readIntake(bytes: Uint8Array): IntakeMessage[] {
  const found: IntakeMessage[] = [];
  new PeerMessageReader((message) => found.push(message)).push(bytes);
  return found;
}

const SNAPSHOT: AnswersMessage = { ...EMPTY_SNAPSHOT, attention: NAMES };

describe('a message about 8,000 machines is split into frames', () => {
  test('lists the machines that a follower answers', () => {
    const status = { ...STATUS, relayedMachines: NAMES };
    const bytes = encodeStatus(status);
    expect(readStatus(bytes)).toEqual([status]);
    const [first, ...others] = readAsEarlier(bytes);
    expect(first?.relayedMachines.length).toBeGreaterThan(EARLIER_MAX_NAMES / 2);
    expect(first?.relayedMachines.length).toBeLessThanOrEqual(EARLIER_MAX_NAMES);
    for (const { node, intake } of others) expect([node, intake]).toEqual(['', null]);
  });

  const nameLists: [string, string[]][] = [
    ['more short names than a frame may have', Array.from({ length: FLEET }, (_, i) => `${i}`)],
    ['fewer long names than a frame may have', Array.from({ length: 1900 }, (_, i) => 'm'.repeat(40) + i)],
  ];
  test.each(nameLists)('%s', (_title, names) => {
    const bytes = encodeStatus({ ...STATUS, relayedMachines: names });
    expect(readStatus(bytes)).toEqual([{ ...STATUS, relayedMachines: names }]);
    for (const one of readAsEarlier(bytes))
      expect(one.relayedMachines.length).toBeLessThanOrEqual(EARLIER_MAX_NAMES);
    const snapshot = encodeIntake({ ...SNAPSHOT, attention: names });
    expect(readIntake(snapshot)).toEqual([{ ...SNAPSHOT, attention: names }]);
    for (const { intake } of readAsEarlier(snapshot))
      expect(intake?.attention.length ?? 0).toBeLessThanOrEqual(EARLIER_MAX_NAMES);
  });

  test('carries the counts of 8,000 jobs, confirmed only once complete', () => {
    const counts = NAMES.map((name) => ({ id: `req-${name}`, done: 90_000, running: 9000, why: 3 }));
    const status = { ...STATUS, isLeader: true, counts, viewConfirmedAt: 13.5 };
    const bytes = encodeStatus(status);
    expect(readStatus(bytes)).toEqual([status]);
    const [first] = readAsEarlier(bytes);
    expect(first?.viewConfirmedAt).toBe(0);
    expect(first?.counts.length).toBeGreaterThan(700);
  });

  test('is decoded from a stream split at any point, but not from one that ends within the message', () => {
    const status = { ...STATUS, relayedMachines: NAMES };
    const bytes = Buffer.concat([encodeStatus(status), encodeStatus({ ...STATUS, term: 8 })]);
    const reader = new PeerMessageReader();
    const found: PeerStatus[] = [];
    for (let at = 0; at < bytes.length; at += 5000) found.push(...reader.push(bytes.subarray(at, at + 5000)));
    expect(found).toEqual([status, { ...STATUS, term: 8 }]);
    expect(readStatus(bytes.subarray(0, EARLIER_MAX_FRAME_BYTES))).toEqual([]);
  });

  test('lists the machines that need attention; an earlier version never answers from a partial list', () => {
    const bytes = encodeIntake(SNAPSHOT);
    expect(readIntake(bytes)).toEqual([SNAPSHOT]);
    const [first, ...others] = readAsEarlier(bytes);
    expect(first?.intake).toMatchObject({ isSnapshot: true, isSharing: true, viewConfirmedAt: 0 });
    for (const { node, intake } of others) expect([node, intake]).toEqual(['', null]);
  });

  test('carries the keepalives and heartbeats of a second in a form that an earlier version accepts', () => {
    const keepalives = NAMES.map((machine) => ({ machine, agentEpoch: 1, sequence: 900_000, ageMs: 500 }));
    const heartbeats = NAMES.slice(0, 100).map((machine, i) => ({
      reference: i,
      heartbeat: heartbeatOf(
        machine,
        1,
        Array.from({ length: 6 }, () => task('req-123456/7', 1, 'running')),
      ),
    }));
    const message: HeartbeatsMessage = {
      kind: 'heartbeats',
      node: 'n-1',
      incarnation: 'x',
      term: TERM,
      sentAt: 5,
      heartbeats,
      keepalives,
    };
    const bytes = encodeIntake(message);
    for (const { node, intake } of readAsEarlier(bytes)) expect([node, intake === null]).toEqual(['', false]);
    const found = readIntake(bytes).flatMap((one) => (one.kind === 'heartbeats' ? [one] : []));
    const machines = found.flatMap((one) => one.keepalives.map(({ machine }) => machine));
    expect([...machines].sort()).toEqual(NAMES);
    const references = found.flatMap((one) => one.heartbeats.map(({ reference }) => reference));
    expect(references.sort((a, b) => a - b)).toEqual(heartbeats.map(({ reference }) => reference));
  });

  test('is rejected if it has more frames than any fleet needs', () => {
    const type = protobuf.Root.fromJSON({
      nested: { Frame: { fields: { continuations: { type: 'uint32', id: 24 } } } },
    }).lookupType('Frame');
    const bytes = type.encodeDelimited({ continuations: 1_000_000 }).finish();
    expect(() => new PeerMessageReader().push(bytes)).toThrow('too many frames');
  });
});

/** The context of a controller whose core is that of the harness. */
function contextOf(harness: CoreHarness): ControllerContext {
  const clock = new ProcessClock(new VirtualClock(), 1, 0);
  return {
    settings: testSettings(0),
    timing: TIMING,
    ports: {
      clock,
      log: { info: () => undefined },
      store: { lastContactAt: () => null },
      incarnation: 'x',
    },
    commands: { state: harness.state, push: () => undefined },
    leadershipView: { leader: null, leaderRevision: 0, highestTerm: TERM, leadingTerm: TERM },
  } as unknown as ControllerContext;
}

describe('the status of 8,000 machines is complete', () => {
  test('a leader sends the counts of 8,000 jobs with their confirmation', () => {
    const harness = new CoreHarness();
    for (const name of NAMES)
      harness.state.jobs.set(name, {
        finalStage: null,
        doneCount: 1,
        runningCount: 0,
        waitingCount: 0,
      } satisfies Partial<JobState> as never);
    const peerExchange = new PeerExchange(
      contextOf(harness),
      () => [],
      () => false,
      () => undefined,
      () => NO_OBSERVATIONS,
    );
    const { counts, viewConfirmedAt } = peerExchange.status();
    expect(counts).toHaveLength(FLEET);
    expect(viewConfirmedAt).not.toBe(0);
  });

  test('a follower lists the 8,000 machines that it answers', () => {
    const harness = new CoreHarness();
    harness.state.leadership = null;
    const peerExchange = new PeerExchange(
      contextOf(harness),
      () => NAMES,
      () => false,
      () => undefined,
      () => NO_OBSERVATIONS,
    );
    expect(peerExchange.status().relayedMachines).toEqual(NAMES);
  });

  test('a leader shares heartbeats although 8,000 machines need attention', () => {
    const harness = new CoreHarness();
    for (const name of NAMES) {
      const machine = getOrCreateMachine(harness.state, name, harness.time());
      harness.state.attention.add(machine);
    }
    const context = contextOf(harness);
    const sent: AnswersMessage[] = [];
    const policy = { ...harness.state.config.policy, sharedHeartbeatsMinMachines: 1 };
    Object.assign(harness.state, {
      config: { ...harness.state.config, policy },
    } satisfies Partial<CoreState>);
    const sharedHeartbeats = new SharedHeartbeats(context, {
      candidates: () => [{ node: 'n-1', zone: 'b' }],
      isAccepting: () => true,
      send: (_to, message) => message.kind === 'answers' && sent.push(message) > 0,
      submitHeartbeat: () => undefined,
    });
    sharedHeartbeats.sendSnapshots();
    expect(sent.at(-1)).toMatchObject({ isSnapshot: true, isSharing: true, attention: NAMES });
    expect(sent.at(-1)?.viewConfirmedAt).not.toBe(0);
  });

  test('additions to a follower’s list are sent in a form that an earlier version accepts', () => {
    const harness = new CoreHarness();
    for (const name of NAMES) getOrCreateMachine(harness.state, name, harness.time());
    const context = contextOf(harness);
    const sent: AnswersMessage[] = [];
    const policy = { ...harness.state.config.policy, sharedHeartbeatsMinMachines: 1 };
    Object.assign(harness.state, {
      config: { ...harness.state.config, policy },
    } satisfies Partial<CoreState>);
    Object.assign(context.ports.clock, { defer: (run: () => void) => run() });
    const sharedHeartbeats = new SharedHeartbeats(context, {
      candidates: () => [{ node: 'n-1', zone: 'b' }],
      isAccepting: () => true,
      send: (_to, message) => message.kind === 'answers' && sent.push(message) > 0,
      submitHeartbeat: () => undefined,
    });
    sharedHeartbeats.sendSnapshots();
    const keepalives = NAMES.map((machine) => ({ machine, agentEpoch: 1, sequence: 1, ageMs: 0 }));
    sharedHeartbeats.receive({
      kind: 'heartbeats',
      node: 'n-1',
      incarnation: 'y',
      term: TERM,
      sentAt: context.ports.clock.epochMs(),
      heartbeats: [],
      keepalives,
    });
    sharedHeartbeats.announceAttention(NAMES);
    const added = sent.filter(({ isSnapshot }) => !isSnapshot);
    expect(added.flatMap(({ attention }) => attention)).toEqual(NAMES);
    for (const message of added) {
      expect(message.attention.length).toBeLessThanOrEqual(EARLIER_MAX_NAMES);
      expect(readAsEarlier(encodeIntake(message))).toHaveLength(1);
    }
  });
});

describe('caches hold 8,000 machines', () => {
  test('a follower recognises a worker that it redirected', () => {
    const router = new WorkerRouter(TIMING);
    const reachability: LeaderReachability = {
      leader: 'n-0',
      hasContact: true,
      linkLostAt: null,
      isRecordConfirmed: true,
      isZoneSilent: false,
      hasOtherContact: true,
      token: TERM,
    };
    for (const name of NAMES) expect(router.route(name, TERM, reachability, 1000)).toBe('leader');
    expect(NAMES.filter((name) => router.isUnexpected(name, TERM, reachability, 1000))).toEqual([]);
  });

  test('a follower that answers workers for the leader tracks all of them', async () => {
    const clock = new ProcessClock(new VirtualClock(), 1, 0);
    const state = { list: () => Promise.resolve('unknown') } as never;
    const responder = new FallbackResponder('n-1', state, clock, TIMING, 32 * 1024, 100);
    responder.receiveSnapshot({ viewConfirmedAt: clock.epochMs(), liveJobs: new Set() });
    await Promise.all(NAMES.map((name) => responder.answer(heartbeatOf(name, 1))));
    expect(responder.answeredMachines()).toEqual(NAMES);
  });

  test('a follower that shares heartbeats holds 8,000 pending and tracks 30,000 machines', () => {
    const clock = new ProcessClock(new VirtualClock(), 1, 0);
    const sent: HeartbeatsMessage[] = [];
    const intake = new HeartbeatIntake({
      clock,
      timing: TIMING,
      node: 'n-1',
      incarnation: 'life',
      maxClockSkewMs: 200,
      followedLeader: () => ({ leader: 'n-0', term: TERM }),
      startFence: () => 0,
      send: (_to, message) => message.kind === 'heartbeats' && sent.push(message) > 0,
      encodeAnswer: () => '',
      encodeRedirect: (to) => to,
      answerWithoutLeader: () => undefined,
      route: () => undefined,
    });
    intake.receive({ ...SNAPSHOT, attention: [], viewConfirmedAt: clock.epochMs() });
    const isAccepted = (from: Heartbeat): boolean => intake.accept(from, () => undefined);
    expect(NAMES.filter((name) => !isAccepted(heartbeatOf(name, 1)))).toEqual([]);
    intake.flush();
    expect(sent.flatMap(({ heartbeats }) => heartbeats)).toHaveLength(FLEET);
    const lateNames = Array.from({ length: 22_000 }, (_, i) => `late-${i}`);
    expect(lateNames.filter((name) => !isAccepted(heartbeatOf(name, 1)))).toEqual([]);
    expect(intake.forgetWorker(NAMES[0] ?? '')).toBe(true);
  });

  test('terminated machines are not registered again from a stale listing', () => {
    const harness = new CoreHarness();
    const effects: Effect[] = [];
    removeTerminated(harness.state, NAMES, effects);
    const listed = NAMES.map((name) => ({
      name,
      type: 'eight',
      zone: 'a',
      spot: true,
      address: '',
      stage: 'running' as const,
      ageS: 100,
    }));
    harness.stepAndCommit({ kind: 'machinesListed', requestedAt: harness.now, machines: listed });
    expect(harness.state.machines.size).toBe(0);
  });

  test('as many ended jobs as live ones are remembered', () => {
    const harness = new CoreHarness();
    const specs = Array.from({ length: FLEET }, (_, i) => job(`req-${i}`, 1, 2, 50));
    for (const { id } of specs)
      harness.state.jobs.set(id, { finalStage: 'done' } satisfies Partial<JobState> as never);
    for (const spec of specs)
      unregisterDependencies(harness.state, { spec } as never, finalOutcomeNow('done', harness.time()));
    expect(harness.state.finalOutcomes.size).toBe(FLEET);
  });

  test('a plan places one task on each of 8,000 machines', () => {
    const harness = new CoreHarness(0, [EIGHT_CPU_TYPE]);
    for (const name of NAMES) {
      const machine = getOrCreateMachine(harness.state, name, harness.time());
      Object.assign(machine, {
        type: 'eight',
        zone: 'a',
        spot: true,
        lastHeartbeatAt: harness.now,
        isReconciled: true,
      } satisfies Partial<Machine>);
    }
    harness.addJob(job('req-1', FLEET, 8, 5000));
    scaleOut(harness.state, harness.time(), []);
    expect(harness.state.plannedMachines.size).toBe(FLEET);
  });
});

const servers: Server[] = [];
afterEach(() => {
  for (const server of servers.splice(0)) {
    server.close();
    server.closeAllConnections();
  }
});

/** Settings of a node whose key-value store and cloud are one local server, which responds by `answer`. */
async function settingsFor(answer: (url: URL, response: ServerResponse) => void) {
  const server = createServer((incoming, response) =>
    answer(new URL(incoming.url ?? '', 'http://x'), response),
  );
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const settings = testSettings(0);
  const { cluster } = settings;
  return {
    ...settings,
    endpoints: { cloud: address, state: address },
    cluster: { ...cluster, cloud: { ...cluster.cloud, rps: 1000 } },
  };
}

describe('responses of the store and the cloud', () => {
  test('a store page with values of the maximum size is read', async () => {
    const value = 'x'.repeat(32 * 1024 - 100);
    const rows = Array.from({ length: 500 }, (_, i) => ({ key: `run/${i}`, data: { value }, stamp: 3 }));
    const body = JSON.stringify({ rows, ledgerRev: 9, more: false });
    const settings = await settingsFor((_url, response) => response.end(body));
    const found = await new HttpKeyValueStore(settings, systemClock).list('run/');
    expect(found === 'unknown' ? found : found.entries.length).toBe(500);
  });

  test('the cloud’s listing of 8,000 machines is read in pages', async () => {
    const settings = await settingsFor((url, response) => {
      const from = NAMES.indexOf(url.searchParams.get('after') ?? '') + 1;
      const skiffs = NAMES.slice(from, from + Number(url.searchParams.get('page'))).map((nameId) => ({
        nameId,
        bench: 'eight',
        hall: 'a',
        borrowed: true,
        stage: 'running',
        address: '10.0.0.1:1',
        ageS: 5,
      }));
      response.end(JSON.stringify({ skiffs, truncated: from + skiffs.length < FLEET }));
    });
    const found = await new HttpCloud(settings, systemClock).listMachines();
    expect(found?.map(({ name }) => name)).toEqual(NAMES);
  });

  test('ended jobs are cached beside 8,000 live ones until the caches are dropped', async () => {
    const entries = NAMES.map((name) => ({ key: `job/req-${name}`, value: {}, stamp: 1 }));
    const state = { list: () => Promise.resolve({ entries, revision: 3 }) } as never;
    const reader = new JobReader(state, systemClock, 10_000, 10);
    await reader.find(`req-${NAMES[0]}`);
    for (const name of NAMES) reader.rememberEnded(`gone-${name}`, { stage: 'done', done: 1 } as never);
    expect(NAMES.filter((name) => !reader.hasEnded(`gone-${name}`))).toEqual([]);
    reader.dropCaches();
    expect(NAMES.filter((name) => reader.hasEnded(`gone-${name}`))).toEqual([]);
  });

  test('a refused read takes precedence although 8,000 others were refused since', () => {
    const admission = new Admission(systemClock, 16);
    const admit = (name: string): number | null => admission.admit('show', name);
    for (let i = 0; i < 12; i += 1) admission.admit('show');
    for (const name of NAMES) admit(name);
    expect(admit(NAMES[0] ?? '')).toBeNull();
  });
});

test('more workers than sockets are all answered', async () => {
  const workers = 200;
  const server = createPublicServer(
    {
      users: {} as never,
      handleHeartbeat: (_body, done) => done(200, '{}'),
      ready: () => true,
      describe: () => ({}),
      latencies: { record: () => undefined },
      admission: new Admission(systemClock, 100),
      malformed: { count: () => undefined },
    },
    100,
  );
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const agents = Array.from({ length: workers }, () => new Agent({ keepAlive: true, maxSockets: 1 }));
  const sendHeartbeat = (agent: Agent): Promise<number> =>
    new Promise((resolve) => {
      const sent = request({ port, method: 'POST', path: '/v1/report', agent }, (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode ?? 0));
      });
      sent.on('error', () => resolve(0));
      sent.end('{}');
    });
  const answers: number[] = [];
  for (let round = 0; round < 2; round += 1)
    for (const agent of agents) answers.push(await sendHeartbeat(agent));
  for (const agent of agents) agent.destroy();
  expect(answers.filter((status) => status !== 200)).toEqual([]);
});

describe('memory', () => {
  const logged: [object, string][] = [];
  const clock = new VirtualClock();
  const createMonitor = (options: { quotaMb: number; usedMb: number; machines: number }) => {
    let dropped = 0;
    logged.length = 0;
    const monitor = new MemoryMonitor({
      clock: new ProcessClock(clock, 1, 0),
      log: { warn: (detail: object, event: string) => logged.push([detail, event]) } as never,
      quotaMb: options.quotaMb,
      heldBytes: () => options.usedMb * 1024 * 1024,
      machines: () => options.machines,
      dropCaches: () => (dropped += 1),
    });
    return { monitor, dropped: () => dropped };
  };

  test('near the memory quota caches are dropped and one warning is logged with both figures', async () => {
    const { monitor, dropped } = createMonitor({ quotaMb: 400, usedMb: 360, machines: 8000 });
    monitor.check();
    monitor.check();
    expect([dropped(), logged]).toEqual([
      1,
      [[{ usedMb: 360, quotaMb: 400, machines: 8000 }, 'memory near quota, caches dropped']],
    ]);
    await clock.runUntil(clock.now + 61_000);
    monitor.check();
    expect(dropped()).toBe(2);
  });

  test('the pages of the program file do not count as held memory', () => {
    expect(heldBytes()).toBeGreaterThan(getHeapStatistics().total_physical_size);
    expect(heldBytes()).toBeLessThan(process.memoryUsage.rss());
  });

  test('far below the memory quota nothing is logged', () => {
    const { monitor, dropped } = createMonitor({ quotaMb: 95, usedMb: 50, machines: 100 });
    monitor.check();
    expect([dropped(), logged]).toEqual([0, []]);
  });

  test('a leader warns when the memory quota is too small for its machines', () => {
    const { monitor } = createMonitor({ quotaMb: 95, usedMb: 50, machines: 8000 });
    monitor.check();
    monitor.check();
    expect(logged).toEqual([
      [{ machines: 8000, quotaMb: 95, estimateMb: estimatedMemoryMb(8000) }, 'memory quota too small'],
    ]);
  });

  test('`check --machines` reports a memory quota that is too small', async () => {
    const path = join(mkdtempSync(join(tmpdir(), 'rowanferry-')), 'settings.json');
    writeFileSync(path, JSON.stringify(testSettings(0)));
    const lines: string[] = [];
    const output = { out: (line: string) => lines.push(line), err: (line: string) => lines.push(line) };
    expect(await main(['check', '--settings', path, '--machines', '8000'], output)).toBe(2);
    expect(await main(['check', '--settings', path, '--machines', '1000'], output)).toBe(0);
    expect(await main(['check', '--settings', path, '--machines', 'many'], output)).toBe(2);
    expect(lines[0]).toContain('cluster.quota.ram_mb: 128 is too small for 8000 machines');
    expect(lines.slice(1)[0]).toBe('no faults');
  });

  test('the deployed heap limit exceeds what 8,000 machines need', () => {
    const deployed = readFileSync('deploy/service.toml', 'utf8');
    const ceilingMb = Number(/--max-old-space-size=(\d+)/.exec(deployed)?.[1]);
    expect(ceilingMb).toBeGreaterThan(estimatedMemoryMb(8000));
  });
});

test('a scenario of 8,000 workers is accepted', () => {
  const path = join(mkdtempSync(join(tmpdir(), 'rowanferry-')), 'scenario.json');
  const large = JSON.parse(readFileSync('lab/scenarios/large.json', 'utf8')) as object;
  writeFileSync(path, JSON.stringify({ ...large, workers: FLEET, sizes: [FLEET] }));
  expect(readScenario(path).workers).toBe(FLEET);
});
