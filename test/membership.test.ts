/** Suspicion and failure detection: what each row of the evidence table guards against; routing of workers. */
import { expect, test } from 'vitest';
import { InterArrivalTracker } from '../src/membership/inter-arrival-tracker.js';
import { Membership } from '../src/membership/membership.js';
import { WorkerRouter, type LeaderReachability } from '../src/membership/worker-router.js';
import { EVIDENCE_RULES, snapshotIntervalMs, type EvidenceRules } from '../src/membership/evidence-rules.js';
import type { MemberStatus } from '../src/membership/status.js';
import { timing } from '../src/config/settings.js';
import { testSettings, NO_OBSERVATIONS } from './emulators/simulation.js';

const TIMES = timing(testSettings(0));
const TOLD = snapshotIntervalMs(TIMES);

const view = (node: string, more: Partial<MemberStatus> = {}): MemberStatus => ({
  node,
  incarnation: `life-of-${node}`,
  term: 4,
  isLeader: false,
  storeContactAgeMs: 10,
  ...NO_OBSERVATIONS,
  ...more,
});

/** Node a, with b and c around it, all in order for a while; `b` leads. */
class Scene {
  now = 0;
  readonly a: Membership;
  stateAgeMs = 10;

  constructor(table: EvidenceRules) {
    this.a = new Membership(['b', 'c'], TIMES, table);
    for (const node of ['b', 'c']) this.a.setLinkState(node, 'up', 0);
    for (let i = 0; i < 12; i += 1) this.wait(TOLD, ['b', 'c']);
  }

  hear(node: string, more: Partial<MemberStatus> = {}): this {
    const leads = node === 'b' ? { isLeader: true, expected: 40, reporting: 40 } : {};
    this.a.receiveStatus(view(node, { ...leads, ...more }), this.now);
    return this;
  }

  wait(ms: number, speaking: readonly string[] = []): this {
    this.now += ms;
    for (const node of speaking) this.hear(node);
    this.a.recordTimerLag(1, this.now);
    this.a.assess(this.now, this.stateAgeMs);
    return this;
  }

  link(node: string, ...links: ('lost' | 'refused' | 'up')[]): this {
    for (const link of links) this.a.setLinkState(node, link, this.now);
    this.a.assess(this.now, this.stateAgeMs);
    return this;
  }

  strays(count: number): this {
    for (let i = 0; i < count; i += 1) this.a.recordUnexpectedReport(`m-${i}`, this.now);
    return this;
  }

  get levelOfB(): string {
    return this.a.levelOf('b');
  }

  get inherits(): boolean {
    return this.a.mayReplaceEarly('b', this.now, this.stateAgeMs);
  }

  /** Node a itself leads, and hears few of its machines. */
  deaf(): this {
    this.a.setWorkerHealth({ reporting: 2, expected: 40, running: 40, neverReported: 0, silentMs: 5000 }, 40);
    return this;
  }

  get yields(): string | null {
    return this.a.chooseSuccessor(this.now, this.stateAgeMs)?.to ?? null;
  }
}

const REFUSED = { observations: [{ node: 'b', ageMs: 900, linkState: 'refused' }] } as const;
const crash = (scene: Scene): Scene =>
  scene.link('b', 'lost', 'refused', 'refused').wait(50).hear('c', REFUSED);
const MET = { probeRound: 1, reachable: 8, unreachable: 0 };
const knocked = (scene: Scene): Scene => {
  scene
    .deaf()
    .a.setProbeRound({ round: 1, reachable: 0, unreachable: 8, requested: 8, startedAt: scene.now });
  return scene;
};

/** By row: a scene in which it alone decides, and what comes of it. */
const ROWS: Record<string, readonly [(scene: Scene) => unknown, unknown]> = {
  'unusually silent': [(s) => s.wait(4 * TOLD).levelOfB, 'suspected'],
  'link lost': [(s) => s.link('b', 'lost').levelOfB, 'suspected'],
  'behind its own timers': [
    (s) => s.hear('b', { timerLagMs: 9 * TIMES.tickMs }).wait(1).levelOfB,
    'suspected',
  ],
  'not served by the state service': [
    (s) => s.hear('b', { storeContactAgeMs: 60_000 }).wait(1).levelOfB,
    'suspected',
  ],
  // One refusal may be a full table of sockets.
  'refused since its last word': [
    (s) => s.link('b', 'lost', 'refused').hear('c', REFUSED).strays(3).inherits,
    false,
  ],
  // A packet filter between nodes refuses for as long as it stands, and workers come by for other reasons.
  'refused of late': [
    (s) =>
      crash(s)
        .wait(2 * TIMES.leaderLeaseMs, ['c'])
        .hear('c', REFUSED)
        .strays(3).inherits,
    false,
  ],
  'no witness hears it': [
    (s) =>
      crash(s)
        .hear('c', { observations: [{ node: 'b', ageMs: 90, linkState: 'up' }] })
        .strays(3).inherits,
    false,
  ],
  'its workers have left it': [(s) => crash(s).strays(2).inherits, false],
  'this node has not stood still': [
    (s) => {
      crash(s)
        .strays(3)
        .a.recordTimerLag(3 * TIMES.tickMs, s.now);
      return s.inherits;
    },
    false,
  ],
  'the state service answers this node': [
    (s) => {
      crash(s).strays(3).stateAgeMs = 60_000;
      return s.inherits;
    },
    false,
  ],
  heard: [(s) => knocked(s).hear('c', MET).link('c', 'lost').yields, null],
  served: [(s) => knocked(s).hear('c', { ...MET, storeContactAgeMs: 60_000 }).yields, null],
  'keeps up': [(s) => knocked(s).hear('c', { ...MET, timerLagMs: 4 * TIMES.tickMs }).yields, null],
  'this node cannot reach its machines': [(s) => knocked(s).hear('c', MET).yields, 'c'],
  'reaches the machines': [
    (s) => {
      s.a.setWorkerHealth({ reporting: 40, expected: 40, running: 40, neverReported: 0, silentMs: 5 }, 40);
      s.a.setProbeRound({ ...MET, round: 1, requested: 8, startedAt: s.now });
      s.hear('b', { probeRound: 1, reachable: 1, unreachable: 7 }).hear('c', MET);
      return ['b', 'c'].map((node) => s.a.isEligibleSuccessor(node, s.now, 10));
    },
    [false, true],
  ],
  'this node cannot keep up, and computes slower than it did': [
    (s) => {
      s.a.setWorkerHealth({ reporting: 40, expected: 40, running: 40, neverReported: 0, silentMs: 5 }, 0, 0);
      const work = (times: number, late: number): void => {
        s.wait(TIMES.maxHeartbeatIntervalMs, ['b', 'c']).a.processingRate.record(20 * times, 10, s.now);
        s.a.recordTimerLag(late, s.now);
      };
      for (let i = 0; i < 12; i += 1) work(1, 1);
      for (let i = 0; i < 6; i += 1) work(4, TIMES.tickMs);
      return s.yields !== null;
    },
    true,
  ],
};

const without = (name: string): EvidenceRules => {
  const rest = (rows: EvidenceRules['eligibleSuccessor']): EvidenceRules['eligibleSuccessor'] =>
    rows.filter((row) => row.name !== name);
  return {
    suspected: rest(EVIDENCE_RULES.suspected),
    crashed: rest(EVIDENCE_RULES.crashed),
    eligibleSuccessor: rest(EVIDENCE_RULES.eligibleSuccessor),
    transfer: rest(EVIDENCE_RULES.transfer),
  };
};

test('every row of the evidence table has a test case', () => {
  const names = Object.values(
    EVIDENCE_RULES as unknown as Record<string, EvidenceRules['eligibleSuccessor']>,
  ).flatMap((rows) => rows.map(({ name }) => name));
  expect(Object.keys(ROWS).sort()).toEqual([...names].sort());
});

test.each(Object.keys(ROWS))('evidence decides, and only with its row: %s', (name) => {
  const [play, comes] = ROWS[name] as (typeof ROWS)[string];
  expect(play(new Scene(EVIDENCE_RULES))).toEqual(comes);
  expect(play(new Scene(without(name)))).not.toEqual(comes);
});

test('all evidence of a crash gives a node up, and a message of its own restores trust', () => {
  const scene = crash(new Scene(EVIDENCE_RULES)).strays(3);
  expect(scene.inherits).toBe(true);
  scene.a.assess(scene.now, scene.stateAgeMs);
  expect(scene.levelOfB).toBe('given up');
  scene.link('b', 'up').hear('b').wait(1);
  expect([scene.levelOfB, scene.inherits]).toEqual(['trusted', false]);
});

// A node that fails repeatedly must not get the leadership back after each recovery.
test('a flapping node is trusted at once, but leadership is transferred to it with growing backoff', () => {
  const scene = new Scene(EVIDENCE_RULES);
  const settledAfter = (): number => {
    scene.link('c', 'lost').wait(10);
    scene.link('c', 'up').hear('c').wait(10, ['b', 'c']);
    const from = scene.now;
    expect(scene.a.levelOf('c')).toBe('trusted');
    while (!scene.a.isStable('c', 4000, scene.now)) scene.wait(TOLD, ['b', 'c']);
    return scene.now - from;
  };
  const waits = [settledAfter(), settledAfter(), settledAfter()];
  expect(waits[1]).toBeGreaterThan(1.8 * (waits[0] as number));
  expect(waits[2]).toBeGreaterThan(1.8 * (waits[1] as number));
});

test('the failure detector adapts to the usual gaps between messages', () => {
  const usual = (gap: number): number => {
    const gaps = new InterArrivalTracker(500);
    for (let i = 0; i < 20; i += 1) gaps.record(i * gap + (i % 2 === 0 ? 0 : gap / 4));
    let silence = 0;
    while (gaps.phi(19 * gap + gap / 4 + silence) < 3) silence += 50;
    return silence;
  };
  expect(usual(500)).toBeLessThan(3 * 500);
  expect(usual(2000)).toBeGreaterThan(2.5 * usual(500));
});

// Under a burst every node is late: a transfer would only move the load.
test('a leader that is late only because of its load keeps the leadership', () => {
  const scene = new Scene(EVIDENCE_RULES);
  scene.a.setWorkerHealth({ reporting: 40, expected: 40, running: 40, neverReported: 0, silentMs: 5 }, 0, 0);
  for (let i = 0; i < 24; i += 1) {
    scene
      .wait(TIMES.maxHeartbeatIntervalMs, ['b', 'c'])
      .a.processingRate.record(i < 12 ? 20 : 200, i < 12 ? 10 : 100, scene.now);
    if (i >= 12) scene.a.recordTimerLag(TIMES.tickMs, scene.now);
  }
  expect(scene.yields).toBeNull();
});

/**
 * A leader that workers can reach: whatever two followers believe of it meanwhile, short of a silent link,
 * a worker that wanders among them is with it within a bound.
 */
test('workers find a healthy leader within its lease and two hops, whatever its peers believe', () => {
  const beliefs: Omit<LeaderReachability, 'token'>[] = [];
  for (const heard of [true, false])
    for (const lostAt of heard ? [null] : [0])
      for (const quiet of [false, true])
        beliefs.push({
          leader: 'l',
          hasContact: heard,
          linkLostAt: lostAt,
          isRecordConfirmed: true,
          isZoneSilent: quiet,
          hasOtherContact: true,
        });
  const hop = 1000;
  let worst = 0;
  for (const first of beliefs)
    for (const second of beliefs)
      for (let begin = 0; begin < 2 * TIMES.leaderLeaseMs; begin += 250) {
        const nodes = [first, second].map((belief) => ({ belief, routing: new WorkerRouter(TIMES) }));
        let at = 0;
        let now = begin;
        for (;;) {
          const { belief, routing } = nodes[at % 2] as (typeof nodes)[number];
          const route = routing.route('m', 4, { ...belief, token: 4 }, now);
          if (route === 'on') break;
          if (route === 'away') at += 1;
          now += route === 'away' ? hop : 0.8 * TIMES.maxHeartbeatIntervalMs;
        }
        worst = Math.max(worst, now - begin);
      }
  expect(worst).toBeGreaterThan(0);
  expect(worst).toBeLessThanOrEqual(TIMES.leaderLeaseMs + 2 * hop);
});

// A delayed message of an earlier incarnation must not count as evidence of the current one.
test('messages of an earlier incarnation are ignored, however many incarnations followed', () => {
  const scene = new Scene(EVIDENCE_RULES);
  const isPresent = (incarnation: string): boolean =>
    scene.a.isCurrentIncarnation({ node: 'b', incarnation });
  expect(isPresent('life-of-b')).toBe(true);
  for (const incarnation of ['second', 'third', 'fourth']) scene.hear('b', { incarnation, isLeader: false });
  expect(['life-of-b', 'second', 'third', 'fourth'].map(isPresent)).toEqual([false, false, false, true]);
  const before = scene.a.statusOf('b');
  scene.hear('b', { incarnation: 'second', term: 99 });
  expect(scene.a.statusOf('b')).toBe(before);
});
