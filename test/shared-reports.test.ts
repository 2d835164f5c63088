/** Heartbeats that followers accept for the leader: each guard has a test that fails without it. */
import fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import type { Effect } from '../src/core/effects.js';
import type { ControllerContext } from '../src/controller/context.js';
import { HeartbeatIntake, type HeartbeatIntakeContext } from '../src/controller/heartbeat-intake.js';
import { SharedHeartbeats, type SharedHeartbeatsContext } from '../src/controller/shared-heartbeats.js';
import { chooseRebalancing, chooseFollower, shouldShare } from '../src/membership/heartbeat-sharing.js';
import { snapshotIntervalMs } from '../src/membership/evidence-rules.js';
import type { CoreState } from '../src/core/state.js';
import { createPolicy } from '../src/config/policy.js';
import { createCoreConfig } from '../src/config/core-config.js';
import { timing } from '../src/config/settings.js';
import type {
  AnswersMessage,
  ForwardedAnswer,
  HeartbeatsMessage,
  IntakeMessage,
} from '../src/wire/intake.js';
import { PeerMessageReader } from '../src/wire/peer-reader.js';
import { encodeIntake } from '../src/wire/peers.js';
import { encodeReply } from '../src/wire/workers.js';
import type { WorkerCommand } from '../src/core/types.js';
import {
  startBusyCluster,
  CANCEL_TIMEOUT_MS,
  DEPUTY_SEED,
  expectCleanEnd,
} from './emulators/busy-cluster.js';
import { ProcessClock, VirtualClock } from './emulators/clock.js';
import { CoreHarness, job, heartbeatOf, task, TERM } from './emulators/core-harness.js';
import { drawRun, NODES, seeded, testSettings, Simulation } from './emulators/simulation.js';

const TIMES = timing(testSettings(0));
const RUNNING = [task('req-1/0', 1, 'running')];

/** A follower's intake; the test plays the leader and the workers. */
class IntakeHarness {
  readonly virtualClock = new VirtualClock();
  readonly clock = new ProcessClock(this.virtualClock, 1, 0);
  readonly sent: HeartbeatsMessage[] = [];
  readonly answeredWithoutLeader: string[] = [];
  readonly routed: string[] = [];
  leader: string | null = 'n-0';
  linked = true;
  startFence = 0;
  number = 0;
  readonly intake: HeartbeatIntake;

  constructor() {
    const context: HeartbeatIntakeContext = {
      clock: this.clock,
      timing: TIMES,
      node: 'n-1',
      incarnation: 'follower-incarnation',
      maxClockSkewMs: 200,
      followedLeader: () => (this.leader === null ? null : { leader: this.leader, term: TERM }),
      startFence: () => this.startFence,
      send: (_to, message) => {
        if (this.linked && message.kind === 'heartbeats') this.sent.push(message);
        return this.linked;
      },
      encodeAnswer: (term, commands) => JSON.stringify({ term, commands }),
      encodeRedirect: (to) => to,
      answerWithoutLeader: ({ machine }, done) => {
        this.answeredWithoutLeader.push(machine);
        done(200, 'alone');
      },
      route: ({ machine }, done) => {
        this.routed.push(machine);
        done(421, '');
      },
    };
    this.intake = new HeartbeatIntake(context);
  }

  message(more: Partial<AnswersMessage> = {}): AnswersMessage {
    this.number += 1;
    return {
      kind: 'answers',
      node: 'n-0',
      incarnation: 'leader-incarnation',
      term: TERM,
      sentAt: this.clock.epochMs(),
      number: this.number,
      answers: [],
      addressee: 'follower-incarnation',
      attention: [],
      isSnapshot: false,
      isSharing: true,
      viewConfirmedAt: 0,
      redirect: null,
      ...more,
    };
  }

  snapshot(more: Partial<AnswersMessage> = {}): void {
    this.intake.receive(this.message({ isSnapshot: true, viewConfirmedAt: this.clock.epochMs(), ...more }));
  }

  /** Delivers a heartbeat; returns its immediate answer, or that it was forwarded. */
  async take(seq: number, tasks = RUNNING, more: Parameters<typeof heartbeatOf>[3] = {}): Promise<string> {
    let outcome = 'waits';
    const before = this.intake.forwarded;
    if (
      !this.intake.accept(
        heartbeatOf('m', seq, tasks, more),
        (status, body) => (outcome = `${status} ${body}`),
      )
    )
      return 'not taken';
    await this.virtualClock.runUntil(this.virtualClock.now + 2 * TIMES.forwardBatchDelayMs);
    return this.intake.forwarded > before ? `forwarded, ${outcome}` : outcome;
  }

  /** Delivers the leader's answer to the heartbeat that was forwarded last. */
  answer(
    commands: ForwardedAnswer['commands'] = [],
    pending = false,
    more: Partial<ForwardedAnswer> = {},
  ): void {
    const reference = this.sent.at(-1)?.heartbeats.at(-1)?.reference ?? 0;
    const answer = { reference, isAccepted: true, needsAttention: pending, commands, ...more };
    this.intake.receive(this.message({ answers: [answer] }));
  }

  /** An intake whose worker the leader has answered without a command. */
  static async settled(): Promise<IntakeHarness> {
    const harness = new IntakeHarness();
    harness.snapshot();
    expect(await harness.take(1)).toBe('forwarded, waits');
    harness.answer();
    return harness;
  }
}

const LOCAL = `200 ${JSON.stringify({ term: TERM, commands: [] })}`;

describe('a follower answers a heartbeat for the leader', () => {
  test('when it repeats one that the leader has answered, and forwards a keepalive', async () => {
    const harness = await IntakeHarness.settled();
    expect(await harness.take(2)).toBe(LOCAL);
    harness.intake.flush();
    expect(harness.sent.at(-1)?.keepalives).toMatchObject([{ machine: 'm', agentEpoch: 1, sequence: 2 }]);
  });

  const reasonsToForward: readonly [string, (harness: IntakeHarness) => Promise<string>][] = [
    [
      'its machine needs the leader’s attention',
      (harness) => (harness.intake.receive(harness.message({ attention: ['m'] })), harness.take(2)),
    ],
    ['its tasks changed', (harness) => harness.take(2, [task('req-1/0', 1, 'saving')])],
    ['one of its tasks ended', (harness) => harness.take(2, [task('req-1/0', 1, 'exited', 'done')])],
    ['it has not seen the fencing token', (harness) => harness.take(2, RUNNING, { token: TERM - 1 })],
    ['it carries a termination notice', (harness) => harness.take(2, RUNNING, { terminationNoticeS: 30 })],
    ['a heartbeat in between went elsewhere', (harness) => harness.take(3)],
    ['its agent epoch changed', (harness) => harness.take(2, RUNNING, { agentEpoch: 2 })],
  ];
  test.each(reasonsToForward)('not when %s', async (_what, take) => {
    expect(await take(await IntakeHarness.settled())).toMatch(/^forwarded/);
  });

  test('not when the leader’s last response carried a command or another is pending', async () => {
    for (const pending of [false, true]) {
      const harness = new IntakeHarness();
      harness.snapshot();
      await harness.take(1);
      harness.answer(pending ? [] : [{ op: 'start', job: 'req-1', task: 1, attempt: 1 }], pending);
      expect(await harness.take(2)).toMatch(/^forwarded/);
    }
  });

  // Otherwise idle machines that have just started count as silent, and are terminated one after the other.
  test('not before the leader has received a heartbeat with its fencing token', async () => {
    const harness = new IntakeHarness();
    harness.snapshot();
    await harness.take(1, [], { token: 0 });
    harness.answer();
    expect(await harness.take(2, [])).toMatch(/^forwarded/);
    harness.answer();
    expect(await harness.take(3, [])).toBe(LOCAL);
  });

  test('not while an exit waits to be committed: only the leader knows when it may be forgotten', async () => {
    const harness = await IntakeHarness.settled();
    const exited = [task('req-1/0', 1, 'exited', 'done')];
    await harness.take(2, exited);
    harness.answer();
    expect(await harness.take(3, exited)).toMatch(/^forwarded/);
  });

  test('not beyond the authority window of the read that confirmed the leader’s view', async () => {
    const harness = await IntakeHarness.settled();
    const confirmedAt = harness.clock.epochMs();
    await harness.virtualClock.runUntil(TIMES.authorityWindowMs - 200 - 100);
    harness.snapshot({ viewConfirmedAt: confirmedAt });
    expect(await harness.take(2)).toBe(LOCAL);
    await harness.virtualClock.runUntil(harness.virtualClock.now + 200);
    expect(await harness.take(3)).toMatch(/^forwarded/);
  });

  test('not after a gap in the leader’s messages, until a full snapshot arrives', async () => {
    const harness = await IntakeHarness.settled();
    harness.message();
    harness.intake.receive(harness.message());
    expect(await harness.take(2)).toBe('not taken');
    harness.snapshot();
    expect(await harness.take(2)).toBe(LOCAL);
  });

  test('not on the basis of a stale message that arrives after a newer one', async () => {
    const harness = await IntakeHarness.settled();
    const earlier = harness.message({ isSnapshot: true, viewConfirmedAt: harness.clock.epochMs() });
    harness.snapshot({ attention: ['m'] });
    harness.intake.receive(earlier);
    expect(await harness.take(2)).toMatch(/^forwarded/);
  });

  test('not once snapshots have stopped, nor for another leader', async () => {
    const harness = await IntakeHarness.settled();
    await harness.virtualClock.runUntil(3 * snapshotIntervalMs(TIMES));
    expect(await harness.take(2)).toBe('not taken');
    harness.snapshot();
    harness.leader = 'n-2';
    expect(await harness.take(2)).toBe('not taken');
  });

  test('not a duplicate of an earlier heartbeat: it does not show that the worker is alive', async () => {
    const harness = await IntakeHarness.settled();
    await harness.take(2);
    expect(await harness.take(1)).toBe('503 {}');
    harness.intake.flush();
    expect(harness.sent.flatMap(({ keepalives }) => keepalives)).toHaveLength(1);
  });

  test('and forwards a full heartbeat of each machine periodically', async () => {
    const harness = await IntakeHarness.settled();
    const from = harness.virtualClock.now;
    let seq = 1;
    while (!(await harness.take(++seq)).startsWith('forwarded')) {
      await harness.virtualClock.runUntil(harness.virtualClock.now + 500);
      harness.snapshot();
    }
    expect(harness.virtualClock.now - from).toBeLessThan(TIMES.authorityWindowMs + 1000);
  });
});

test('a forwarded heartbeat without a response is answered locally before its worker times out', async () => {
  const harness = new IntakeHarness();
  harness.snapshot();
  await harness.take(1);
  await harness.virtualClock.runUntil(3500);
  expect(harness.answeredWithoutLeader).toEqual(['m']);
  // The leader's answer arrives too late, and is dropped.
  harness.answer([{ op: 'start', job: 'req-1', task: 1, attempt: 1 }]);
  expect(harness.answeredWithoutLeader).toEqual(['m']);
});

// The link may hold an answer back, and a user may be told meanwhile that the job is cancelled.
describe('a start in an answer of the leader', () => {
  const START = { op: 'start', job: 'req-1', task: 1, attempt: 1 } as const;
  const STOP = { op: 'stop', job: 'req-2', task: 0, attempt: 1, graceS: 0 } as const;
  const passedOn = async (
    lease: ForwardedAnswer['startLease'],
    { startFence = 0, delayMs = 0 },
  ): Promise<readonly unknown[]> => {
    const harness = new IntakeHarness();
    harness.snapshot();
    let passed: readonly unknown[] = [];
    harness.intake.accept(heartbeatOf('m', 1, RUNNING), (_status, body) => {
      passed = (JSON.parse(body) as { commands: unknown[] }).commands;
    });
    await harness.virtualClock.runUntil(2 * TIMES.forwardBatchDelayMs + delayMs);
    harness.startFence = startFence;
    harness.answer([START, STOP], false, lease === undefined ? {} : { startLease: lease });
    // The leader sends a start that has not arrived again.
    harness.snapshot();
    expect(await harness.take(2)).toBe('forwarded, waits');
    return passed;
  };

  test('is passed on while its lease is valid and its view covers the promises of this node', async () => {
    const lease = { remainingMs: 1500, viewRevision: 70 };
    expect(await passedOn(lease, { startFence: 70, delayMs: 1000 })).toEqual([START, STOP]);
  });

  test('is not passed on once its lease may be over', async () => {
    expect(await passedOn({ remainingMs: 1500, viewRevision: 70 }, { delayMs: 1500 })).toEqual([STOP]);
  });

  test('is not passed on if this node has promised since to respect a cancellation that it may lack', async () => {
    expect(await passedOn({ remainingMs: 1500, viewRevision: 70 }, { startFence: 71 })).toEqual([STOP]);
  });

  test('of a version without limits on messages is passed on as far as the answer fits', async () => {
    const harness = await IntakeHarness.settled();
    const bodies: string[] = [];
    harness.intake.accept(heartbeatOf('m', 2, [task('req-1/0', 1, 'exited', 'done')]), (_status, body) =>
      bodies.push(body),
    );
    await harness.virtualClock.runUntil(harness.virtualClock.now + 2 * TIMES.forwardBatchDelayMs);
    const starts = Array.from({ length: 2000 }, (_, i) => ({ ...START, task: i }));
    harness.answer([...starts, STOP]);
    const { commands } = JSON.parse(bodies[0] ?? '') as { commands: WorkerCommand[] };
    expect(Buffer.byteLength(encodeReply(TERM, commands))).toBeLessThanOrEqual(64 * 1024);
    expect(commands[0]).toEqual(STOP);
    expect(commands.length).toBeGreaterThan(500);
  });

  test('of a version without leases for starts is passed on', async () => {
    expect(await passedOn(undefined, { startFence: 71, delayMs: 1500 })).toEqual([START, STOP]);
  });
});

test('when the link to the leader is lost, pending heartbeats are routed as without sharing', async () => {
  const harness = new IntakeHarness();
  harness.snapshot();
  await harness.take(1);
  harness.intake.onLinkLost('n-0');
  expect(harness.routed).toEqual(['m']);
  expect(await harness.take(2)).toBe('not taken');
});

test('heartbeats pending at the previous leader are forwarded again to a new one', async () => {
  const harness = new IntakeHarness();
  harness.snapshot();
  await harness.take(1);
  harness.leader = 'n-2';
  harness.number = 0;
  harness.intake.receive({ ...harness.message({ isSnapshot: true }), node: 'n-2', incarnation: 'other' });
  await harness.virtualClock.runUntil(harness.virtualClock.now + 2 * TIMES.forwardBatchDelayMs);
  expect(harness.sent.flatMap(({ heartbeats }) => heartbeats.map((one) => one.heartbeat.machine))).toEqual([
    'm',
    'm',
  ]);
});

describe('a keepalive', () => {
  const machineOf = (
    harness: CoreHarness,
  ): { lastHeartbeatAt: number | null; heartbeatSequence: number; claims: ReadonlyMap<string, unknown> } =>
    harness.state.machines.get('m') as never;
  const running = (): CoreHarness => {
    const harness = new CoreHarness();
    harness.deliverHeartbeat(heartbeatOf('m', 1));
    harness.addJob(job('req-1', 1, 4, 50));
    harness.deliverHeartbeat(heartbeatOf('m', 2));
    harness.deliverHeartbeat(heartbeatOf('m', 3, RUNNING));
    return harness;
  };

  test('counts as a heartbeat as of its arrival at the follower, but shows no task as absent', () => {
    const harness = running();
    harness.now += 1000;
    harness.stepAndCommit({
      kind: 'keepalives',
      keepalives: [{ machine: 'm', agentEpoch: 1, sequence: 4, ageMs: 300 }],
    });
    expect(machineOf(harness)).toMatchObject({ lastHeartbeatAt: harness.now - 300, heartbeatSequence: 4 });
    expect(machineOf(harness).claims.size).toBe(1);
  });

  test.each([
    ['of an earlier heartbeat', { agentEpoch: 1, sequence: 3, ageMs: 0 }],
    ['of an agent epoch unknown to this leader', { agentEpoch: 2, sequence: 9, ageMs: 0 }],
  ])('%s changes nothing', (_what, heartbeat) => {
    const harness = running();
    const { lastHeartbeatAt } = machineOf(harness);
    harness.now += 1000;
    harness.stepAndCommit({ kind: 'keepalives', keepalives: [{ machine: 'm', ...heartbeat }] });
    expect(machineOf(harness)).toMatchObject({ lastHeartbeatAt, heartbeatSequence: 3 });
  });

  test('of a machine that has not shown the fencing token changes nothing', () => {
    const harness = new CoreHarness();
    harness.deliverHeartbeat(heartbeatOf('m', 1, [], { token: TERM - 1 }));
    const { lastHeartbeatAt } = machineOf(harness);
    harness.now += 1000;
    harness.stepAndCommit({
      kind: 'keepalives',
      keepalives: [{ machine: 'm', agentEpoch: 1, sequence: 2, ageMs: 0 }],
    });
    expect(machineOf(harness).lastHeartbeatAt).toBe(lastHeartbeatAt);
  });
});

describe('followers are notified of a machine that needs attention', () => {
  const attentionOf = (effects: readonly Effect[]): string[] =>
    effects.flatMap((effect) => (effect.kind === 'attention' ? effect.machines : []));
  const idle = (): CoreHarness => {
    const harness = new CoreHarness();
    harness.deliverHeartbeat(heartbeatOf('m', 1));
    harness.deliverHeartbeat(heartbeatOf('m', 2));
    return harness;
  };

  test('for a start', () => {
    const harness = idle();
    expect(attentionOf(harness.addJob(job('req-1', 1, 4, 50)))).toEqual(['m']);
    // The answer carries the command, so no attention is needed any more.
    harness.deliverHeartbeat(heartbeatOf('m', 3));
    expect(harness.state.attention.size).toBe(0);
  });

  test('for a stop, once its job is cancelled', () => {
    const harness = idle();
    harness.addJob(job('req-1', 1, 4, 50));
    harness.deliverHeartbeat(heartbeatOf('m', 3));
    harness.deliverHeartbeat(heartbeatOf('m', 4, RUNNING));
    expect(attentionOf(harness.stepAndCommit({ kind: 'jobRemoved', id: 'req-1' }))).toEqual(['m']);
    harness.deliverHeartbeat(heartbeatOf('m', 5, RUNNING));
    // The machine needs attention until the task is proven gone.
    expect(harness.state.attention.size).toBe(1);
    harness.deliverHeartbeat(heartbeatOf('m', 6));
    expect(harness.state.attention.size).toBe(0);
  });

  test('for a start that may not be sent yet, again later', () => {
    const harness = idle();
    harness.addJob(job('req-1', 1, 4, 50));
    harness.isViewConfirmed = false;
    harness.now += TIMES.leaderLeaseMs;
    harness.deliverHeartbeat(heartbeatOf('m', 3));
    expect(harness.state.attention.size).toBe(1);
  });
});

/** The leader's side of shared heartbeats with a core that knows one machine; the test plays the follower. */
class LeaderHarness {
  readonly core = new CoreHarness();
  readonly virtualClock = new VirtualClock();
  readonly clock = new ProcessClock(this.virtualClock, 1, 0);
  readonly pushed: string[] = [];
  readonly sent: IntakeMessage[] = [];
  followerAccepts = true;
  /** Answers that the core gives to forwarded heartbeats, in their order. */
  readonly answers: Parameters<Parameters<SharedHeartbeatsContext['submitHeartbeat']>[2]>[0][] = [];
  readonly shared: SharedHeartbeats;

  constructor() {
    const settings = testSettings(0);
    const coreConfig = createCoreConfig(settings, createPolicy(settings, 'shared_reports_from = 1.0'));
    Object.assign(this.core.state, { config: coreConfig } satisfies Partial<CoreState>);
    const ports = { clock: this.clock, log: { info: () => undefined }, incarnation: 'x' };
    const commands = { state: this.core.state, push: () => undefined };
    const context = {
      settings,
      timing: TIMES,
      ports,
      commands,
      leadershipView: {},
    } as unknown as ControllerContext;
    this.shared = new SharedHeartbeats(context, {
      candidates: () => [{ node: 'n-1', zone: 'a' }],
      isAccepting: () => this.followerAccepts,
      send: (_to, message) => this.sent.push(message) > 0,
      submitHeartbeat: ({ machine }, _ageMs, answer) => {
        this.pushed.push(machine);
        const next = this.answers.shift();
        if (next !== undefined) answer(next);
      },
    });
    this.core.deliverHeartbeat(heartbeatOf('m', 1));
    this.core.deliverHeartbeat(heartbeatOf('m', 2));
  }

  receive(more: Partial<HeartbeatsMessage>): void {
    this.shared.receive({
      kind: 'heartbeats',
      node: 'n-1',
      incarnation: 'y',
      term: TERM,
      sentAt: this.clock.epochMs(),
      heartbeats: [{ reference: 1, heartbeat: heartbeatOf('m', 3) }],
      keepalives: [],
      ...more,
    });
  }
}

describe('a leader that shares heartbeats', () => {
  test('accepts forwarded heartbeats of its own term that are recent enough', () => {
    const harness = new LeaderHarness();
    harness.receive({});
    harness.receive({ term: TERM - 1 });
    harness.receive({ sentAt: harness.clock.epochMs() - 0.6 * TIMES.workerLeaseMs });
    expect(harness.pushed).toEqual(['m']);
  });

  test('redirects a worker to a follower that accepts heartbeats, and not again immediately', () => {
    const harness = new LeaderHarness();
    harness.shared.sendSnapshots();
    expect(harness.shared.redirect(heartbeatOf('m', 3))).toBe('n-1');
    harness.shared.sendSnapshots();
    expect(harness.shared.redirect(heartbeatOf('m', 4))).toBeNull();
  });

  test('keeps a worker if no follower accepts heartbeats for the leader', () => {
    const harness = new LeaderHarness();
    harness.followerAccepts = false;
    harness.shared.sendSnapshots();
    expect(harness.shared.redirect(heartbeatOf('m', 3))).toBeNull();
  });

  test('keeps a worker that needs a command or whose exit waits to be committed', () => {
    const harness = new LeaderHarness();
    harness.shared.sendSnapshots();
    expect(harness.shared.redirect(heartbeatOf('m', 3, [task('req-1/0', 1, 'exited', 'done')]))).toBeNull();
    harness.core.addJob(job('req-1', 1, 4, 50));
    expect(harness.shared.redirect(heartbeatOf('m', 3))).toBeNull();
  });

  test('notifies a follower of its workers that need attention, before the next snapshot', async () => {
    const harness = new LeaderHarness();
    harness.shared.sendSnapshots();
    harness.shared.announceAttention(['m']);
    await harness.virtualClock.runUntil(10);
    expect(harness.sent).toHaveLength(1);
    harness.receive({});
    harness.shared.announceAttention(['m']);
    await harness.virtualClock.runUntil(20);
    expect(harness.sent.at(-1)).toMatchObject({ attention: ['m'], isSnapshot: false });
  });

  test('sends starts with the rest of their lease, and none whose lease is over', async () => {
    const harness = new LeaderHarness();
    const startLeasesEndAt = TIMES.leaderLeaseMs + TIMES.tickMs;
    await harness.virtualClock.runUntil(startLeasesEndAt);
    harness.shared.sendSnapshots();
    const start = { op: 'start', job: 'req-1', task: 0, attempt: 1 } as const;
    const stop = { op: 'stop', job: 'req-2', task: 0, attempt: 1, graceS: 0 } as const;
    const answer = { isAccepted: true, needsAttention: false, commands: [start, stop] };
    const now = harness.clock.monotonicMs();
    harness.answers.push(
      { ...answer, startLease: { validUntil: now + 700.9, viewRevision: 70 } },
      { ...answer, startLease: { validUntil: now + 0.9, viewRevision: 70 } },
      { ...answer, commands: [stop] },
    );
    expect(harness.shared.forwarders()).toEqual([]);
    for (let i = 0; i < 3; i += 1) harness.receive({});
    await harness.virtualClock.runUntil(startLeasesEndAt + 10);
    const sent = harness.sent.flatMap((message) => (message.kind === 'answers' ? message.answers : []));
    expect(sent.map(({ commands, startLease }) => [commands, startLease])).toEqual([
      [[start, stop], { remainingMs: 700, viewRevision: 70 }],
      [[stop], undefined],
      [[stop], undefined],
    ]);
    // The follower may pass them on until then, also if this node no longer leads.
    harness.shared.clear();
    expect(harness.shared.forwarders()).toEqual(['n-1']);
    await harness.virtualClock.runUntil(startLeasesEndAt + 701);
    expect(harness.shared.forwarders()).toEqual([]);
  });

  // Otherwise a follower that still holds such a start would count as one that follows and passes on none.
  test('lists every follower as one that may pass on starts, until the starts of an earlier incarnation have expired', async () => {
    const harness = new LeaderHarness();
    expect(harness.shared.forwarders()).toEqual(['n-1', 'n-2']);
    await harness.virtualClock.runUntil(TIMES.leaderLeaseMs + 1);
    expect(harness.shared.forwarders()).toEqual(['n-1', 'n-2']);
    await harness.virtualClock.runUntil(TIMES.leaderLeaseMs + TIMES.tickMs);
    expect(harness.shared.forwarders()).toEqual([]);
  });

  test('sends followers all machines that need attention and the confirmation of its view', () => {
    const harness = new LeaderHarness();
    harness.core.addJob(job('req-1', 1, 4, 50));
    harness.shared.sendSnapshots();
    expect(harness.sent).toMatchObject([{ isSnapshot: true, isSharing: true, attention: ['m'] }]);
    // While the leadership is transferred, snapshots confirm no view, so that followers answer nothing.
    harness.core.stepAndCommit({ kind: 'transferLeadership' });
    harness.shared.sendSnapshots();
    expect(harness.sent.at(-1)).toMatchObject({ isSnapshot: true, viewConfirmedAt: 0 });
  });
});

test('a heartbeat forwarded late counts as of its arrival at the follower', () => {
  const harness = new CoreHarness();
  harness.stepAndCommit({ kind: 'heartbeat', reply: 1, heartbeat: heartbeatOf('m', 1), ageMs: 800 });
  expect(harness.state.machines.get('m')?.lastHeartbeatAt).toBe(harness.now - 800);
});

test('messages about shared heartbeats round-trip, and earlier versions do not take them for a status', () => {
  const envelope = { node: 'n-1', incarnation: 'x', term: 7, sentAt: 1e12 };
  const forwarded = heartbeatOf(
    'm',
    9,
    [task('req-1/0', 2, 'running'), task('req-1/1', 1, 'exited', 'error')],
    {
      terminationNoticeS: 0,
    },
  );
  const messages: IntakeMessage[] = [
    {
      kind: 'heartbeats',
      ...envelope,
      heartbeats: [{ reference: 3, heartbeat: forwarded }],
      keepalives: [{ machine: 'k', agentEpoch: 2, sequence: 5, ageMs: 40 }],
    },
    {
      kind: 'answers',
      ...envelope,
      addressee: 'y',
      number: 4,
      attention: ['m'],
      isSnapshot: true,
      isSharing: true,
      viewConfirmedAt: 1e12 - 5,
      redirect: { to: 'n-2', count: 3 },
      answers: [
        {
          reference: 3,
          isAccepted: true,
          needsAttention: false,
          startLease: { remainingMs: 1250, viewRevision: 2 ** 40 },
          commands: [
            { op: 'start', job: 'req-2', task: 0, attempt: 1 },
            { op: 'stop', job: 'req-1', task: 0, attempt: 2, graceS: 1.5 },
            { op: 'forget', job: 'req-1', task: 1, attempt: 1 },
          ],
        },
      ],
    },
  ];
  const found: IntakeMessage[] = [];
  const reader = new PeerMessageReader((message) => found.push(message));
  expect(reader.push(Buffer.concat(messages.map(encodeIntake)))).toEqual([]);
  expect(found).toEqual(messages);
});

test('workers are balanced over controllers, same zone first, and sharing does not flap', () => {
  const load = (
    node: string,
    zone: string,
    workers: number,
  ): { node: string; zone: string; workers: number } => ({
    node,
    zone,
    workers,
  });
  const followers = [load('n-1', 'a', 40), load('n-2', 'b', 35), load('n-3', 'a', 100)];
  expect(chooseFollower(followers, 'a')).toBe('n-1');
  expect(chooseFollower(followers, 'c')).toBe('n-2');
  expect(chooseFollower([], 'a')).toBeNull();
  expect(chooseRebalancing(followers, 10)).toEqual({ from: 'n-3', to: 'n-2', count: 10 });
  expect(chooseRebalancing([load('n-1', 'a', 40), load('n-2', 'b', 42)], 10)).toBeNull();
  expect([shouldShare(90, 100, false), shouldShare(90, 100, true), shouldShare(79, 100, true)]).toEqual([
    false,
    true,
    false,
  ]);
});

test('with few machines no heartbeat is shared', async () => {
  const { simulation } = await startBusyCluster();
  simulation.crash(0, 2000);
  await simulation.clock.runUntil(simulation.clock.now + 30_000);
  expect(simulation.intakeMessages).toBe(0);
});

// A follower without the leader's snapshot would redirect the workers straight back.
test('no worker is redirected to a follower that does not accept heartbeats for this leader', async () => {
  const { simulation } = await startBusyCluster(3, { sharing: true });
  const before = simulation.intakeMessages;
  await simulation.clock.runUntil(simulation.clock.now + 5000);
  expect(simulation.intakeMessages).toBeGreaterThan(before);
  simulation.dropsIntake = true;
  await simulation.clock.runUntil(simulation.clock.now + 120_000);
  simulation.dropsIntake = false;
  await expectCleanEnd(simulation);
  expect(simulation.checker.expiredTasks).toBe(0);
});

test('sharing: tasks stop in time if the store refuses only the leader, cancellations are confirmed elsewhere, and a full outage follows', async () => {
  const { simulation, leader, others, ids } = await startBusyCluster(3, { sharing: true });
  simulation.store.refuse(NODES[leader] ?? '', 2 * CANCEL_TIMEOUT_MS);
  await simulation.clock.runUntil(simulation.clock.now + 100);
  const cancelled = ids.slice(1);
  for (const id of cancelled)
    expect(await simulation.until(simulation.cancel(id, NODES[others[0] ?? 0] ?? ''))).toBe(true);
  simulation.store.outage(2 * CANCEL_TIMEOUT_MS);
  await simulation.clock.runUntil(simulation.clock.now + CANCEL_TIMEOUT_MS);
  expect(cancelled.reduce((sum, id) => sum + simulation.checker.placedTasks(id), 0)).toBe(0);
  await expectCleanEnd(simulation, 400_000);
});

test('followers with workers that cannot reach the leader let cancelled tasks stop in time', async () => {
  const { simulation, leader, others, ids } = await startBusyCluster(DEPUTY_SEED, { sharing: true });
  // A partition delays the messages between the controllers, and also separates the leader from its machines.
  for (const other of others)
    simulation.network.partition(NODES[leader] ?? '', NODES[other] ?? '', 2 * CANCEL_TIMEOUT_MS);
  for (const name of simulation.cloud.workers.keys())
    simulation.network.partition(name, NODES[leader] ?? '', 2 * CANCEL_TIMEOUT_MS);
  const cancelled = ids.slice(1);
  for (const id of cancelled)
    expect(await simulation.until(simulation.cancel(id, NODES[others[0] ?? 0] ?? ''))).toBe(true);
  await simulation.clock.runUntil(simulation.clock.now + CANCEL_TIMEOUT_MS);
  expect(cancelled.reduce((sum, id) => sum + simulation.checker.placedTasks(id), 0)).toBe(0);
  await expectCleanEnd(simulation, 400_000);
});

test('sharing: under faults of every kind no rule is violated and every accepted job ends', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.integer({ min: 2, max: 14 }),
      async (seed, faults) => {
        const simulation = new Simulation(seeded(seed), { duplicatesHeartbeats: true, sharing: true });
        drawRun(simulation, 90_000, faults, { jobs: 16, maxTasks: 6, machines: 8, productionFaults: true });
        await simulation.clock.runUntil(240_000);
        simulation.checker.checkUnanswered(130_000, 240_000);
        expect(simulation.checker.violations).toEqual([]);
        expect(simulation.checker.unfinishedJobs()).toEqual([]);
        expect(simulation.intakeMessages).toBeGreaterThan(0);
      },
    ),
    {
      seed: Number(process.env['SEED'] ?? 12),
      numRuns: Number(process.env['DAYS'] ?? 12),
      endOnFailure: true,
    },
  );
}, 900_000);
