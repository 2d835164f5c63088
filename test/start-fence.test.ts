/** No start leaves a controller once a user has been told that its job is cancelled. */
import fc from 'fast-check';
import { pino } from 'pino';
import { describe, expect, test } from 'vitest';
import { timing } from '../src/config/settings.js';
import type { ControllerContext } from '../src/controller/context.js';
import { PeerExchange } from '../src/controller/peer-exchange.js';
import { StartFence, type AcknowledgedTerm } from '../src/controller/start-fence.js';
import { releasableCommands } from '../src/core/fleet/index.js';
import { RevisionAges } from '../src/membership/revision-ages.js';
import { PeerMessageReader } from '../src/wire/peer-reader.js';
import { encodeStartFence, type PeerStatus } from '../src/wire/peers.js';
import type { StartFenceMessage } from '../src/wire/start-fence.js';
import { ProcessClock, VirtualClock } from './emulators/clock.js';
import { CoreHarness, heartbeatOf, job } from './emulators/core-harness.js';
import { NO_OBSERVATIONS, NODES, seeded, Simulation, testSettings } from './emulators/simulation.js';

/** Number of runs with random faults, and the seed from which they are drawn. */
const RANDOM_RUNS = Number(process.env['DAYS'] ?? 60);
const RANDOM_SEED = Number(process.env['SEED'] ?? 56);

const TIMES = timing(testSettings(0));
const JOB = {
  id: 'req-000000',
  team: 'crew',
  tasks: 6,
  // A machine has room for one task.
  cpus: 5,
  memoryGb: 1,
  spot: true,
  zone: null,
  oneZone: false,
  spread: false,
};
const DEPENDENT = { ...JOB, id: 'req-000001', tasks: 1, awaits: [JOB.id] };

/** Time after which the leader has seen that the machines are idle, in milliseconds. */
const SETTLING_MS = 2500;

/** A job is cancelled while the store refuses the leader; all times in milliseconds of virtual time. */
interface Trouble {
  readonly seed: number;
  /** From the acceptance of the job to the refusal, and from there to the cancellation. */
  readonly refusedAfterMs: number;
  readonly cancelledAfterMs: number;
  /** The leader is cut from the other controllers as well. */
  readonly isCutFromPeers: boolean;
  readonly sharing?: boolean;
  readonly startsEarlierVersion?: boolean;
  /** How long the trouble lasts; 12 s if absent. */
  readonly forMs?: number;
  /** Called when the cancellation is requested. */
  readonly onCancel?: (simulation: Simulation) => void;
}

interface Outcome {
  readonly simulation: Simulation;
  /** From the request to its confirmation. */
  readonly confirmedAfterMs: number;
}

async function playTrouble(trouble: Trouble): Promise<Outcome> {
  const { seed, sharing, startsEarlierVersion, forMs = 12_000 } = trouble;
  const simulation = new Simulation(seeded(seed), {
    ...(sharing === true ? { sharing } : {}),
    ...(startsEarlierVersion === true ? { startsEarlierVersion } : {}),
  });
  const { clock, network, store, cloud, checker } = simulation;
  cloud.capacity = 6;
  // The machines run, and are idle, when the job is accepted.
  const first = { ...JOB, id: 'req-000009' };
  simulation.runtimes.set(first.id, [3000, 0]);
  simulation.runtimes.set(JOB.id, [60_000, 0]);
  void simulation.simulateUser(first, null);
  while (!checker.isComplete(first.id)) await clock.runUntil(clock.now + 100);
  await clock.runUntil(clock.now + SETTLING_MS);
  const leader = simulation.leaders()[0] ?? '';
  const others = NODES.filter((node) => node !== leader);
  void simulation.simulateUser(JOB, null);
  while (!simulation.accepted.has(JOB.id)) await clock.runUntil(clock.now + 1);
  await clock.runUntil(clock.now + trouble.refusedAfterMs);
  store.refuse(leader, forMs);
  if (trouble.isCutFromPeers) for (const other of others) network.partition(leader, other, forMs);
  await clock.runUntil(clock.now + trouble.cancelledAfterMs);
  const requestedAt = clock.now;
  const confirmed = confirmCancellation(simulation, others[0] ?? '');
  trouble.onCancel?.(simulation);
  await simulation.until(confirmed);
  const confirmedAfterMs = clock.now - requestedAt;
  await clock.runUntil(clock.now + 20_000);
  return { simulation, confirmedAfterMs };
}

async function confirmCancellation(simulation: Simulation, node: string): Promise<void> {
  while (!(await simulation.cancel(JOB.id, node))) await simulation.clock.sleep(1000);
}

// A refused leader does not learn of the cancellation that another controller confirms, and it goes on starting tasks.
describe('a leader that the store refuses starts no task after its cancellation was confirmed', () => {
  const delays = [0, 30, 100, 300, 600, 1000, 1600, 2200];
  test.each(
    delays.flatMap((refusedAfterMs, seed) =>
      [0, 50, 700].flatMap((cancelledAfterMs) =>
        [false, true].flatMap((isCutFromPeers) =>
          [false, true].map((sharing) => ({
            seed: seed + 1,
            refusedAfterMs,
            cancelledAfterMs,
            isCutFromPeers,
            sharing,
          })),
        ),
      ),
    ),
  )(
    'refused after $refusedAfterMs ms, cancelled after another $cancelledAfterMs ms, cut: $isCutFromPeers, sharing: $sharing',
    async (trouble) => {
      const { simulation, confirmedAfterMs } = await playTrouble(trouble);
      expect(simulation.checker.violations).toEqual([]);
      // The promises of all controllers take some messages, and the lease of starts otherwise has to end.
      const maxMs = trouble.isCutFromPeers ? 1.1 * TIMES.leaderLeaseMs + 500 : 500;
      expect(confirmedAfterMs).toBeLessThan(maxMs);
    },
  );

  test('whoever else is asked, by a poll, a repeated request or for a job that awaits it', async () => {
    let told = 0;
    const { simulation } = await playTrouble({
      seed: 4,
      refusedAfterMs: 100,
      cancelledAfterMs: 50,
      isCutFromPeers: true,
      onCancel: (running) => {
        void running.simulateUser(DEPENDENT, null);
        const ask = async (at: string): Promise<void> => {
          for (let i = 0; i < 60; i += 1) {
            if ((await running.queryStage(JOB.id, at)) === 'withdrawn') told += 1;
            if ((await running.queryStage(DEPENDENT.id, at)) === 'withdrawn') told += 1;
            await running.clock.sleep(50);
          }
        };
        for (const node of NODES) void ask(node);
      },
    });
    expect(simulation.checker.violations).toEqual([]);
    expect(told).toBeGreaterThan(0);
  });

  test('also when the other controllers are restarted before they have confirmed it', async () => {
    const { simulation } = await playTrouble({
      seed: 2,
      refusedAfterMs: 100,
      cancelledAfterMs: 50,
      isCutFromPeers: true,
      onCancel: (running) => {
        const leader = NODES.indexOf(running.leaders()[0] ?? '');
        for (const node of [0, 1, 2])
          if (node !== leader)
            running.clock.in(40, () => {
              running.crash(node, 100);
            });
      },
    });
    expect(simulation.checker.violations).toEqual([]);
  });

  // A controller of an earlier version promises nothing, and its starts end only with its authority to answer workers.
  test('if it may be of a version that bounds its starts by its authority alone', async () => {
    const { simulation, confirmedAfterMs } = await playTrouble({
      seed: 3,
      refusedAfterMs: 100,
      cancelledAfterMs: 50,
      isCutFromPeers: true,
      startsEarlierVersion: true,
      forMs: 40_000,
    });
    expect(simulation.checker.violations).toEqual([]);
    expect(confirmedAfterMs).toBeGreaterThan(TIMES.authorityWindowMs);
    expect(confirmedAfterMs).toBeLessThan(1.1 * TIMES.authorityWindowMs + 6000);
  });
});

/** A further fault, `afterMs` after the cancellation was requested; `other` is the second node of a partition. */
interface FurtherFault {
  readonly kind: 'crash' | 'pause' | 'refuse peers' | 'outage' | 'refuse' | 'partition';
  readonly afterMs: number;
  readonly forMs: number;
  readonly node: number;
  readonly other: number;
}

function inject(simulation: Simulation, { kind, forMs, node, other }: FurtherFault): void {
  const { store, network } = simulation;
  switch (kind) {
    case 'crash':
      simulation.crash(node, forMs);
      return;
    case 'pause':
      simulation.pause(node, forMs);
      return;
    case 'refuse peers':
      simulation.refusePeers(forMs);
      return;
    case 'outage':
      store.outage(forMs);
      return;
    case 'refuse':
      store.refuse(NODES[node] ?? '', forMs);
      return;
    case 'partition':
      network.partition(NODES[node] ?? '', NODES[other] ?? '', forMs);
  }
}

/** Polls the job at a node until a time. */
async function pollUntil(simulation: Simulation, node: string, until: number): Promise<void> {
  while (simulation.clock.now < until) {
    await simulation.queryStage(JOB.id, node);
    await simulation.clock.sleep(60);
  }
}

const drawnFault: fc.Arbitrary<FurtherFault> = fc.record({
  kind: fc.constantFrom('crash', 'pause', 'refuse peers', 'outage', 'refuse', 'partition'),
  afterMs: fc.integer({ min: 0, max: 2500 }),
  forMs: fc.integer({ min: 20, max: 5000 }),
  node: fc.integer({ min: 0, max: 2 }),
  other: fc.integer({ min: 0, max: 2 }),
});
const drawnTrouble = fc.record({
  seed: fc.integer({ min: 1, max: 1e6 }),
  refusedAfterMs: fc.integer({ min: 0, max: 1200 }),
  cancelledAfterMs: fc.integer({ min: 0, max: 800 }),
  isCutFromPeers: fc.boolean(),
  sharing: fc.boolean(),
  forMs: fc.integer({ min: 500, max: 12_000 }),
  faults: fc.array(drawnFault, { maxLength: 3 }),
});

// Jobs are cancelled while the leader is refused or cut, controllers crash or stand still, and others are elected.
test('whatever meets a refusal of the leader, no start follows a confirmed cancellation', async () => {
  await fc.assert(
    fc.asyncProperty(drawnTrouble, async ({ faults, ...trouble }) => {
      const { simulation } = await playTrouble({
        ...trouble,
        onCancel: (running) => {
          for (const node of NODES) void pollUntil(running, node, running.clock.now + 6000);
          for (const fault of faults) running.clock.in(fault.afterMs, () => inject(running, fault));
        },
      });
      expect(simulation.checker.violations).toEqual([]);
      // The cancellation was confirmed in the end.
      expect(simulation.checker.isOver(JOB.id)).toBe(true);
    }),
    { seed: RANDOM_SEED, numRuns: RANDOM_RUNS, endOnFailure: true },
  );
});

test('without faults a cancellation is confirmed within some messages between controllers', async () => {
  const simulation = new Simulation(seeded(5));
  simulation.runtimes.set(JOB.id, [60_000, 0]);
  void simulation.simulateUser(JOB, null);
  await simulation.clock.runUntil(20_000);
  const requestedAt = simulation.clock.now;
  expect(await simulation.until(simulation.cancel(JOB.id, NODES[0] ?? ''))).toBe(true);
  expect(simulation.clock.now - requestedAt).toBeLessThan(100);
  await simulation.clock.runUntil(simulation.clock.now + 5000);
  expect(simulation.checker.violations).toEqual([]);
});

const LEASE_MS = 2000;
const RETRY_MS = 250;

/** The fence of node a with the peers b and c. */
class FenceHarness {
  readonly virtualClock = new VirtualClock();
  readonly clock = new ProcessClock(this.virtualClock, 1, 0);
  readonly sent: [string, StartFenceMessage][] = [];
  readonly acknowledged = new Map<string, AcknowledgedTerm>();
  leader: { term: number; node: string } | null = null;
  maxStartLeaseMs = LEASE_MS;
  /** Whether this node's own promises are answered. */
  promises = true;
  forwarders: readonly string[] = [];
  readonly fence: StartFence = new StartFence({
    clock: this.clock,
    log: pino({ level: 'silent' }),
    node: 'a',
    peers: ['b', 'c'],
    retryIntervalMs: RETRY_MS,
    maxStartLeaseMs: () => this.maxStartLeaseMs,
    promise: (revision) => {
      if (this.promises) this.fence.onPromised(revision);
    },
    send: (to, message) => {
      this.sent.push([to, message]);
      return true;
    },
    forwarders: () => this.forwarders,
    readElectedLeader: () => Promise.resolve(this.leader),
    acknowledgedTerm: (peer) => this.acknowledged.get(peer) ?? null,
  });

  receive(node: string, message: Partial<StartFenceMessage>): void {
    this.fence.receive({ node, requested: 0, promised: 0, fenced: 0, forwarders: [], ...message });
  }

  /** Peer b leads term 3 and has promised revision 10; c follows it and is silent. */
  letSilentPeerFollow(): void {
    this.receive('b', { promised: 10 });
    this.leader = { term: 3, node: 'b' };
    this.acknowledged.set('c', { term: 3, isLeader: false });
  }

  /** Waits for a revision; returns how long it took in milliseconds, or null if it was not fenced in time. */
  async wait(revision: number, timeoutMs = 4000): Promise<number | null> {
    const startedAt = this.virtualClock.now;
    let outcome: { isFenced: boolean; at: number } | null = null;
    void this.fence
      .untilFenced(revision, this.clock.monotonicMs() + timeoutMs)
      .then((isFenced) => (outcome = { isFenced, at: this.virtualClock.now }));
    while (outcome === null) await this.virtualClock.runUntil(this.virtualClock.now + 1);
    const { isFenced, at } = outcome as { isFenced: boolean; at: number };
    return isFenced ? at - startedAt : null;
  }
}

describe('a revision is fenced', () => {
  test('once every controller has promised it, and all earlier ones with it', async () => {
    const harness = new FenceHarness();
    harness.virtualClock.in(5, () => harness.receive('b', { promised: 10 }));
    harness.virtualClock.in(9, () => harness.receive('c', { promised: 12 }));
    expect(await harness.wait(10)).toBeCloseTo(9, 0);
    expect(harness.sent.map(([to, { requested }]) => [to, requested])).toEqual([
      ['b', 10],
      ['c', 10],
    ]);
    expect(harness.fence.isFenced(10)).toBe(true);
    expect(harness.fence.isFenced(11)).toBe(false);
  });

  test('not on the word of the others alone: this node may lead itself', async () => {
    const harness = new FenceHarness();
    harness.promises = false;
    harness.receive('b', { promised: 10 });
    harness.receive('c', { promised: 10 });
    expect(await harness.wait(10)).toBeGreaterThanOrEqual(LEASE_MS);
  });

  test('without a promise once the lease of every start is over that was decided without it', async () => {
    const harness = new FenceHarness();
    harness.receive('b', { promised: 10 });
    const waitedMs = await harness.wait(10);
    expect(waitedMs).toBeGreaterThanOrEqual(LEASE_MS * 1.0005);
    expect(waitedMs).toBeLessThan(LEASE_MS * 1.0005 + 10);
    // The request is repeated meanwhile, to the controller without a promise alone.
    expect(new Set(harness.sent.map(([to]) => to))).toEqual(new Set(['c']));
    expect(harness.sent.length).toBeLessThanOrEqual(2 + LEASE_MS / RETRY_MS);
  });

  test('not before a leader whose clock runs slower by the drift of two clocks', async () => {
    const harness = new FenceHarness();
    harness.maxStartLeaseMs = 20_000;
    expect(await harness.wait(10, 30_000)).toBeGreaterThanOrEqual(20_010);
  });

  test('counted from when the revision was known, also without a request', async () => {
    const harness = new FenceHarness();
    harness.fence.observe(10);
    await harness.virtualClock.runUntil(1500);
    expect(await harness.wait(9)).toBeLessThan(LEASE_MS - 1500 + 10);
  });

  test('when another controller knows it', async () => {
    const harness = new FenceHarness();
    harness.virtualClock.in(7, () => harness.receive('c', { fenced: 10 }));
    expect(await harness.wait(10)).toBeCloseTo(7, 0);
  });

  test('for a silent peer that follows the latest leader, and for one that has acknowledged a later term', async () => {
    const harness = new FenceHarness();
    harness.letSilentPeerFollow();
    expect(await harness.wait(10)).toBeLessThan(RETRY_MS);
    harness.receive('b', { promised: 20 });
    harness.acknowledged.set('c', { term: 4, isLeader: true });
    expect(await harness.wait(20)).toBeLessThan(RETRY_MS);
  });

  test.each<[string, { term: number; node: string } | null, AcknowledgedTerm | null]>([
    ['that has acknowledged an earlier term alone', { term: 3, node: 'b' }, { term: 2, isLeader: false }],
    ['that was elected for the latest term', { term: 3, node: 'c' }, { term: 3, isLeader: false }],
    ['that leads the latest term', { term: 3, node: 'b' }, { term: 3, isLeader: true }],
    ['without any status', { term: 3, node: 'b' }, null],
    ['if the latest leader cannot be read', null, { term: 3, isLeader: false }],
  ])('not sooner than its leases for a silent peer %s', async (_what, leader, acknowledged) => {
    const harness = new FenceHarness();
    harness.receive('b', { promised: 10 });
    harness.leader = leader;
    if (acknowledged !== null) harness.acknowledged.set('c', acknowledged);
    expect(await harness.wait(10)).toBeGreaterThanOrEqual(LEASE_MS);
  });

  test('not sooner than its leases for a silent peer that may still pass on starts of a leader', async () => {
    const harness = new FenceHarness();
    harness.receive('b', { promised: 10, forwarders: ['c'] });
    harness.leader = { term: 3, node: 'b' };
    harness.acknowledged.set('c', { term: 3, isLeader: false });
    expect(await harness.wait(10)).toBeGreaterThanOrEqual(LEASE_MS);
    // An earlier message that arrives late takes nothing back.
    harness.receive('b', { promised: 20 });
    harness.receive('b', { promised: 15, forwarders: ['c'] });
    expect(await harness.wait(20)).toBeLessThan(RETRY_MS);
    harness.receive('b', { promised: 30 });
    harness.forwarders = ['c'];
    expect(await harness.wait(30)).toBeGreaterThanOrEqual(LEASE_MS);
  });

  // What the leader has given a follower to pass on is known from its promise alone.
  test('not sooner than its leases for a silent peer whose leader has not promised', async () => {
    const harness = new FenceHarness();
    harness.leader = { term: 3, node: 'b' };
    harness.acknowledged.set('b', { term: 4, isLeader: false });
    harness.acknowledged.set('c', { term: 3, isLeader: false });
    expect(await harness.wait(10)).toBeGreaterThanOrEqual(LEASE_MS);
  });

  test('not by a term that was read before the revision was committed', async () => {
    const harness = new FenceHarness();
    harness.letSilentPeerFollow();
    expect(await harness.wait(10)).toBeLessThan(RETRY_MS);
    harness.receive('b', { promised: 20 });
    // Since then c was elected.
    harness.leader = { term: 4, node: 'c' };
    expect(await harness.wait(20)).toBeGreaterThanOrEqual(LEASE_MS);
  });

  test('sooner once no controller of an earlier version is left', async () => {
    const harness = new FenceHarness();
    harness.maxStartLeaseMs = 17_000;
    expect(await harness.wait(10)).toBeNull();
    harness.maxStartLeaseMs = LEASE_MS;
    expect(await harness.wait(10)).toBeLessThan(LEASE_MS);
  });
});

test('a wait that promises alone could end does not hold its request for long', async () => {
  const harness = new FenceHarness();
  harness.maxStartLeaseMs = 17_000;
  const startedAt = harness.virtualClock.now;
  expect(await harness.wait(10)).toBeNull();
  expect(harness.virtualClock.now - startedAt).toBeLessThan(3 * RETRY_MS);
});

test('a promise is given to whoever asks, once the command loop has made it', () => {
  const harness = new FenceHarness();
  harness.promises = false;
  harness.receive('b', { requested: 10 });
  harness.receive('c', { requested: 8 });
  expect(harness.sent).toEqual([]);
  harness.fence.onPromised(9);
  expect(harness.sent.map(([to, { promised }]) => [to, promised])).toEqual([['c', 9]]);
  harness.fence.onPromised(10);
  expect(harness.sent.at(-1)).toMatchObject(['b', { promised: 10 }]);
  harness.receive('b', { requested: 7 });
  expect(harness.sent).toHaveLength(3);
  harness.receive('stranger', { requested: 11, fenced: 99 });
  expect(harness.fence.isFenced(50)).toBe(false);
});

test('the ages of revisions are kept for as long as they are needed, and no longer', () => {
  const ages = new RevisionAges();
  for (let i = 1; i <= 1000; i += 1) {
    ages.observe(10 * i, i, i - 500);
    ages.observe(10 * i - 5, i, i - 500);
  }
  expect(ages.knownAt(500.5)).toBe(5000);
  expect(ages.knownAt(899)).toBe(8990);
  expect(ages.firstKnownAt(7001)).toBe(701);
  expect(ages.firstKnownAt(10_001)).toBeNull();
  // Of the earlier entries only the latest is kept.
  expect(ages.knownAt(499)).toBe(0);
  expect(ages.firstKnownAt(1)).toBe(500);
});

test('a leader sends no start on a view that does not cover its promise', () => {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-1', 1, 4, 50));
  const effects = harness.step({ kind: 'fenceStarts', revision: 500 });
  expect(effects).toContainEqual({ kind: 'startsFenced', revision: 500 });
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 2)))).toEqual([]);
  // A view as of an earlier revision may be newer than the promise and lack the cancellation all the same.
  harness.step({ kind: 'viewConfirmed', sentAt: harness.now, revision: 499 });
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 3)))).toEqual([]);
  harness.step({ kind: 'viewConfirmed', sentAt: harness.now, revision: 500 });
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 4)))).toEqual(['req-1/0#1']);
});

test('a promise made as a follower holds for a leadership whose jobs were read before it', () => {
  const harness = new CoreHarness();
  harness.step({ kind: 'resign', reason: 'test' });
  expect(harness.step({ kind: 'fenceStarts', revision: 500 })).toContainEqual({
    kind: 'startsFenced',
    revision: 500,
  });
  harness.takeOver(job('req-1', 1, 4, 50), {
    0: { attempt: 1, machine: 'm', agentEpoch: 1, createdAt: harness.now },
  });
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 2)))).toEqual([]);
  harness.step({ kind: 'viewConfirmed', sentAt: harness.now, revision: 500 });
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 3)))).toEqual(['req-1/0#1']);
});

// The process may be delayed between the decision on a start and the response that carries it.
test('a start whose lease has ended since it was decided is not sent', () => {
  const start = { op: 'start', job: 'req-1', task: 0, attempt: 1 } as const;
  const stop = { op: 'stop', job: 'req-2', task: 0, attempt: 1, graceS: 0 } as const;
  const lease = { validUntil: 1000, viewRevision: 5 };
  expect(releasableCommands([start, stop], lease, 999)).toEqual([start, stop]);
  expect(releasableCommands([start, stop], lease, 1000)).toEqual([stop]);
  expect(releasableCommands([stop], undefined, 1000)).toEqual([stop]);
});

// It may still begin to lead on what it has read: its status must not say that it has given the term up.
test('a node that loads its state as the leader acknowledges no later term', () => {
  const harness = new CoreHarness();
  harness.state.leadership = null;
  const leadershipView = { leader: 'n-1', leaderRevision: 9, highestTerm: 7, leadingTerm: 6 };
  const context = {
    settings: testSettings(0),
    timing: TIMES,
    ports: { clock: new ProcessClock(new VirtualClock(), 1, 0), store: { lastContactAt: () => null } },
    commands: { state: harness.state },
    leadershipView,
  } as unknown as ControllerContext;
  const status = (): PeerStatus =>
    new PeerExchange(
      context,
      () => [],
      () => false,
      () => undefined,
      () => NO_OBSERVATIONS,
    ).status();
  expect(status()).toMatchObject({ term: 6, isLeader: false });
  leadershipView.leadingTerm = 0;
  expect(status()).toMatchObject({ term: 7, isLeader: false });
});

test('messages about the fence round-trip, and earlier versions do not take them for a status', () => {
  const message = { node: 'n-1', requested: 2 ** 40, promised: 7, fenced: 6, forwarders: ['n-2'] };
  const received: StartFenceMessage[] = [];
  const frame = encodeStartFence(message);
  const reader = new PeerMessageReader(
    () => undefined,
    (one) => received.push(one),
  );
  expect(reader.push(frame)).toEqual([]);
  expect(received).toEqual([message]);
});
