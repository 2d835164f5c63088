/**
 * Messages that come late or twice, and numbers that start afresh with a process: nothing that was meant for one machine,
 * heartbeat or incarnation reaches another.
 */
import fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import type { ControllerContext } from '../src/controller/context.js';
import { HeartbeatIntake } from '../src/controller/heartbeat-intake.js';
import { SharedHeartbeats } from '../src/controller/shared-heartbeats.js';
import type { Command, Effect, Reply } from '../src/core/effects.js';
import type { Heartbeat, ReportedTask, WorkerCommand } from '../src/core/types.js';
import { timing } from '../src/config/settings.js';
import { PeerMessageReader } from '../src/wire/peer-reader.js';
import { encodeIntake } from '../src/wire/peers.js';
import type { IntakeMessage } from '../src/wire/intake.js';
import { ProcessClock, VirtualClock } from './emulators/clock.js';
import { CoreHarness, heartbeatOf, job, task, TERM } from './emulators/core-harness.js';
import { PRODUCTION_STATUS } from './emulators/peer-messages.js';
import { drawRun, seeded, Simulation, testSettings } from './emulators/simulation.js';

const TIMES = timing(testSettings(0));

/** Delivers frames as a connection does, after an optional change of the messages that it carries. */
function transmit(
  frames: Uint8Array,
  receive: (message: IntakeMessage) => void,
  change: (message: IntakeMessage) => IntakeMessage = (message) => message,
): void {
  const reader = new PeerMessageReader((message) => receive(change(message)));
  expect(reader.push(frames)).toEqual([]);
}

/** What a worker received in answer to one of its heartbeats. */
interface WorkerAnswer {
  readonly machine: string;
  readonly commands: readonly WorkerCommand[];
}

/** A leader with two idle machines, and a follower that may be restarted; messages between them are encoded. */
class Pair {
  readonly core = new CoreHarness();
  readonly virtualClock = new VirtualClock();
  readonly clock = new ProcessClock(this.virtualClock, 1, 0);
  readonly answers: WorkerAnswer[] = [];
  /** Frames that the leader has sent, in their order; the test delivers them. */
  readonly fromLeader: Uint8Array[] = [];
  /** Frames that the follower has sent; the test delivers them. */
  readonly fromFollower: Uint8Array[] = [];
  /** Changes the messages of the leader, as a leader of another version would have sent them. */
  asSent: (message: IntakeMessage) => IntakeMessage = (message) => message;
  follower: HeartbeatIntake;
  readonly #shared: SharedHeartbeats;
  readonly #waiting = new Map<number, (reply: Reply) => void>();
  #reply = 1000;

  constructor() {
    this.#shared = this.#createLeader();
    this.follower = this.#createFollower('first');
    for (const name of ['m1', 'm2'])
      for (const sequence of [1, 2]) this.core.deliverHeartbeat(heartbeatOf(name, sequence));
  }

  #createLeader(): SharedHeartbeats {
    const { state } = this.core;
    const policy = { ...state.config.policy, sharedHeartbeatsMinMachines: 1 };
    Object.assign(state, { config: { ...state.config, policy } });
    const context = {
      settings: testSettings(0),
      timing: TIMES,
      ports: { clock: this.clock, log: { info: () => undefined }, incarnation: 'leader' },
      commands: { state, push: (command: Command) => this.step(command) },
    } as unknown as ControllerContext;
    return new SharedHeartbeats(context, {
      candidates: () => [{ node: 'n-1', zone: 'b' }],
      isAccepting: () => true,
      send: (_to, message) => this.fromLeader.push(encodeIntake(message)) > 0,
      submitHeartbeat: (heartbeat, ageMs, answer) => {
        const reply = this.#reply++;
        this.#waiting.set(reply, (body) =>
          answer({
            isAccepted: body.kind === 'commands',
            needsAttention: false,
            commands: body.kind === 'commands' ? body.commands : [],
            startLease: body.kind === 'commands' ? body.startLease : undefined,
          }),
        );
        this.step({ kind: 'heartbeat', reply, heartbeat, ageMs });
      },
    });
  }

  #createFollower(incarnation: string): HeartbeatIntake {
    return new HeartbeatIntake({
      clock: this.clock,
      timing: TIMES,
      node: 'n-1',
      incarnation,
      maxClockSkewMs: 200,
      followedLeader: () => ({ leader: 'n-0', term: TERM }),
      startFence: () => 0,
      send: (_to, message) => this.fromFollower.push(encodeIntake(message)) > 0,
      encodeAnswer: (_term, commands) => JSON.stringify(commands),
      encodeRedirect: (to) => to,
      answerWithoutLeader: (_heartbeat, respond) => respond(503, '[]'),
      route: (_heartbeat, respond) => respond(421, '[]'),
    });
  }

  /** Steps the leader's core; commits stay without an outcome until the test settles them. */
  step(...commands: Command[]): Effect[] {
    const effects = this.core.step(...commands);
    this.passReplies(effects);
    return effects;
  }

  passReplies(effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind !== 'reply') continue;
      this.#waiting.get(effect.reply)?.(effect.body);
      this.#waiting.delete(effect.reply);
    }
  }

  /** The follower ends, and another incarnation of it is up at once. */
  restartFollower(incarnation = 'second'): void {
    this.follower = this.#createFollower(incarnation);
  }

  /** A worker sends the follower a heartbeat, which is forwarded to the leader. */
  async beat(machine: string, sequence: number, tasks: readonly ReportedTask[] = []): Promise<void> {
    const heartbeat: Heartbeat = heartbeatOf(machine, sequence, tasks);
    const respond = (status: number, body: string): void => {
      const commands = status === 200 ? (JSON.parse(body) as WorkerCommand[]) : [];
      this.answers.push({ machine, commands });
    };
    expect(this.follower.accept(heartbeat, respond)).toBe(true);
    await this.advance(2 * TIMES.forwardBatchDelayMs);
  }

  async advance(ms: number): Promise<void> {
    await this.virtualClock.runUntil(this.virtualClock.now + ms);
    this.core.now = this.clock.monotonicMs();
  }

  /** Delivers all that the leader has sent since the last call, or the given frames. */
  deliver(frames = this.fromLeader.splice(0)): void {
    for (const frame of frames) transmit(frame, (message) => this.#receive(message), this.asSent);
  }

  /** Delivers what the follower has sent since the last call. */
  deliverToLeader(): void {
    for (const frame of this.fromFollower.splice(0))
      transmit(frame, (message) => {
        if (message.kind === 'heartbeats') this.#shared.receive(message);
      });
  }

  #receive(message: IntakeMessage): void {
    if (message.kind === 'answers') this.follower.receive(message);
  }

  snapshot(): void {
    this.#shared.sendSnapshots();
  }

  /** Both machines have reported, and the follower accepts heartbeats for the leader. */
  async settle(): Promise<void> {
    await this.advance(110_000);
    this.snapshot();
    this.deliver();
    for (const name of ['m1', 'm2']) this.core.deliverHeartbeat(heartbeatOf(name, 3));
  }

  /** Places a task on `m1`; returns the id of the commit of its claim, which is in flight. */
  place(): number {
    const spec = job('req-000001', 1, 8, 500);
    const effects = this.step({ kind: 'jobAdded', job: { value: spec, modRevision: 200 } });
    expect([...(this.core.state.machines.get('m1')?.claims.keys() ?? [])]).toEqual(['req-000001/0']);
    const commit = effects.find((effect) => effect.kind === 'commit');
    if (commit?.kind !== 'commit') throw new Error('no commit');
    return commit.id;
  }

  commit(id: number): void {
    this.step({ kind: 'committed', id, outcome: { kind: 'applied', revision: 201 } });
  }

  /** References of the heartbeats that the follower has forwarded and the leader has not read. */
  forwardedReferences(): number[] {
    const references: number[] = [];
    for (const frame of this.fromFollower)
      transmit(frame, (message) => {
        if (message.kind === 'heartbeats')
          references.push(...message.heartbeats.map(({ reference }) => reference));
      });
    return references;
  }

  /** The machines of which some worker was told to start a task. */
  startedOn(): string[] {
    return this.answers.flatMap(({ machine, commands }) =>
      commands.some(({ op }) => op === 'start') ? [machine] : [],
    );
  }
}

/**
 * The heartbeat of `m1` waits at the leader for the commit of a start when its follower is restarted; the new incarnation
 * has forwarded the heartbeat of `m2` when the leader answers.
 */
async function restartWhileStartWaits(pair: Pair): Promise<void> {
  await pair.settle();
  const placed = pair.place();
  await pair.beat('m1', 4);
  pair.deliverToLeader();
  pair.fromLeader.length = 0;
  pair.restartFollower();
  pair.snapshot();
  pair.deliver();
  await pair.beat('m2', 4);
  pair.commit(placed);
  await pair.advance(1);
}

/** Ends `restartWhileStartWaits`: the answers arrive, and then the leader answers the heartbeat of `m2`. */
async function deliverAll(pair: Pair): Promise<void> {
  pair.deliver();
  pair.deliverToLeader();
  await pair.advance(1);
  pair.deliver();
}

const withoutAddressee = (message: IntakeMessage): IntakeMessage =>
  message.kind === 'answers' ? { ...message, addressee: '' } : message;

describe('a follower that is back within a second passes no start for one machine to another', () => {
  test('if the commit of the start takes that long', async () => {
    const pair = new Pair();
    await restartWhileStartWaits(pair);
    await deliverAll(pair);
    expect(pair.answers).toEqual([{ machine: 'm2', commands: [] }]);
  });

  test('if the leader stands still that long and reads the heartbeat only then', async () => {
    const pair = new Pair();
    await pair.settle();
    const placed = pair.place();
    await pair.beat('m1', 4);
    const unread = pair.fromFollower.splice(0);
    pair.restartFollower();
    pair.snapshot();
    pair.deliver();
    await pair.beat('m2', 4);
    pair.fromFollower.unshift(...unread);
    const forwardedLater = pair.fromFollower.splice(unread.length);
    pair.deliverToLeader();
    pair.commit(placed);
    await pair.advance(1);
    pair.fromFollower.push(...forwardedLater);
    await deliverAll(pair);
    expect(pair.answers).toEqual([{ machine: 'm2', commands: [] }]);
  });

  // Each of the two guards is tested by itself: the other one is defeated.
  test('beside a leader of a version that does not state the addressee: no reference is used again', async () => {
    const pair = new Pair();
    pair.asSent = withoutAddressee;
    await restartWhileStartWaits(pair);
    await deliverAll(pair);
    expect(pair.answers).toEqual([{ machine: 'm2', commands: [] }]);
  });

  test('if both incarnations use the same reference: the answer states its addressee', async () => {
    const pair = new Pair();
    await restartWhileStartWaits(pair);
    const [pending] = pair.forwardedReferences();
    pair.asSent = (message) =>
      message.kind === 'answers'
        ? { ...message, answers: message.answers.map((one) => ({ ...one, reference: pending ?? 0 })) }
        : message;
    await deliverAll(pair);
    expect(pair.answers).toEqual([{ machine: 'm2', commands: [] }]);
  });
});

/** A start for `m1` that has been delivered and carried out; returns the frames that carried it. */
async function startOnFirst(pair: Pair): Promise<Uint8Array[]> {
  await pair.settle();
  pair.commit(pair.place());
  await pair.beat('m1', 4);
  pair.deliverToLeader();
  await pair.advance(1);
  const frames = pair.fromLeader.splice(0);
  pair.deliver(frames);
  expect(pair.startedOn()).toEqual(['m1']);
  return frames;
}

describe('a late copy of a start that was carried out does not reach its machine again', () => {
  const running = task('req-000001/0', 1, 'running');
  const ends: [string, (pair: Pair) => Promise<void>][] = [
    ['while the task runs', () => Promise.resolve()],
    [
      'after the task was cancelled',
      (pair) => {
        pair.step({ kind: 'jobRemoved', id: 'req-000001' });
        return Promise.resolve();
      },
    ],
    [
      'after the task was moved',
      async (pair) => {
        pair.step({ kind: 'terminated', machines: ['m1'], ok: true });
        await pair.advance(1);
      },
    ],
  ];

  test.each(ends)('from a follower that has kept running, %s', async (_title, end) => {
    const pair = new Pair();
    const frames = await startOnFirst(pair);
    await end(pair);
    await pair.beat('m1', 5, [running]);
    pair.deliver(frames);
    pair.deliver(frames);
    expect(pair.startedOn()).toEqual(['m1']);
  });

  test.each(ends)('from a follower that was restarted, %s', async (_title, end) => {
    const pair = new Pair();
    const frames = await startOnFirst(pair);
    await end(pair);
    pair.restartFollower();
    pair.snapshot();
    const snapshots = pair.fromLeader.splice(0);
    pair.deliver(snapshots);
    await pair.beat('m1', 5, [running]);
    // The copies come with the numbers that the new incarnation expects, and with the reference that it awaits.
    const [pending] = pair.forwardedReferences();
    let number = 1000;
    pair.asSent = (message) => {
      if (message.kind !== 'answers') return message;
      number += 1;
      return {
        ...message,
        number,
        answers: message.answers.map((one) => ({ ...one, reference: pending ?? 0 })),
      };
    };
    pair.deliver([...frames, ...frames]);
    expect(pair.startedOn()).toEqual(['m1']);
  });
});

describe('beside a controller of the version production, which knows no shared heartbeats', () => {
  test('an answer to forwarded heartbeats names no node there, so that it is ignored', async () => {
    const pair = new Pair();
    const frames = await startOnFirst(pair);
    for (const frame of frames) {
      const decoded = PRODUCTION_STATUS.toObject(PRODUCTION_STATUS.decodeDelimited(frame), {
        defaults: true,
      });
      expect(decoded).toMatchObject({ node: '', incarnation: '', term: 0, leading: false });
    }
  });

  test('its status does not say that it accepts heartbeats, so no worker is sent to it and no answer is forwarded', () => {
    const status = { node: 'n-1', incarnation: 'x', term: TERM, leading: false, stateAgeMs: 3, counts: [] };
    const [read] = new PeerMessageReader().push(PRODUCTION_STATUS.encodeDelimited(status).finish());
    expect(read).toMatchObject({ node: 'n-1', acceptsHeartbeats: false, format: 0 });
  });
});

// A soak: a short seeded run in CI, a longer one with DAYS and SEED in the environment.
test('with controllers back within a second and late copies of their messages, no rule is violated', async () => {
  let copies = 0;
  await fc.assert(
    fc.asyncProperty(fc.integer({ min: 1, max: 1_000_000 }), async (seed) => {
      const draw = seeded(seed);
      const simulation = new Simulation(draw, {
        sharing: true,
        frameCopyShare: 0.5,
        duplicatesHeartbeats: true,
      });
      drawRun(simulation, 60_000, 2, { jobs: 60, maxTasks: 16, machines: 24, productionFaults: true });
      for (let i = 0; i < 12; i += 1)
        simulation.clock.in(4000 + 60_000 * draw(), () => flapBesideSlowLeader(simulation, draw));
      await simulation.clock.runUntil(240_000);
      copies += simulation.frameCopies;
      expect(simulation.checker.violations).toEqual([]);
      expect(simulation.checker.unfinishedJobs()).toEqual([]);
    }),
    {
      seed: Number(process.env['SEED'] ?? 59),
      numRuns: Number(process.env['DAYS'] ?? 130),
      endOnFailure: true,
    },
  );
  expect(copies).toBeGreaterThan(1000);
}, 3_600_000);

/** A follower is restarted again and again within a second, while commits are slow or the leader stands still. */
function flapBesideSlowLeader(simulation: Simulation, draw: () => number): void {
  const [leader] = simulation.leaders();
  const followers = [0, 1, 2].filter((node) => `n-${node}` !== leader);
  const follower = followers[Math.floor(followers.length * draw())] ?? 0;
  simulation.store.slow(20 + 200 * draw(), 6000);
  for (let at = 0; at < 6000; at += 800 + 700 * draw()) {
    simulation.clock.in(at, () => simulation.crash(follower, 20 + 100 * draw()));
    if (leader !== undefined && draw() < 0.5)
      simulation.clock.in(at - 300 * draw(), () => simulation.pause(Number(leader.slice(2)), 700 * draw()));
  }
}
