/** Suspicion and failure detection: what each evidence rule guards against; routing of workers by followers. */
import { expect, test } from 'vitest';
import { InterArrivalTracker } from '../src/membership/inter-arrival-tracker.js';
import type { ControllerContext } from '../src/controller/context.js';
import { FailureDetector } from '../src/controller/failure-detector.js';
import { getOrCreateMachine } from '../src/core/fleet/index.js';
import type { CoreState } from '../src/core/state.js';
import { Incarnations } from '../src/membership/incarnations.js';
import { nextProbeRound } from '../src/membership/probe-rounds.js';
import { Membership } from '../src/membership/membership.js';
import { WorkerRouter, type LeaderReachability } from '../src/membership/worker-router.js';
import { EVIDENCE_RULES, snapshotIntervalMs, type EvidenceRules } from '../src/membership/evidence-rules.js';
import type { MemberStatus } from '../src/membership/status.js';
import { timing } from '../src/config/settings.js';
import { CoreHarness } from './emulators/core-harness.js';
import { testSettings, NO_OBSERVATIONS } from './emulators/simulation.js';

const TIMES = timing(testSettings(0));
const STATUS_INTERVAL_MS = snapshotIntervalMs(TIMES);

const memberStatus = (node: string, more: Partial<MemberStatus> = {}): MemberStatus => ({
  node,
  incarnation: `incarnation-of-${node}`,
  term: 4,
  isLeader: false,
  storeContactAgeMs: 10,
  ...NO_OBSERVATIONS,
  ...more,
});

/** Node a with its peers b and c, which have sent their statuses regularly for a while; b leads. */
class Scene {
  now = 0;
  readonly membership: Membership;
  storeContactAgeMs = 10;

  constructor(rules: EvidenceRules) {
    this.membership = new Membership(['b', 'c'], TIMES, rules);
    for (const node of ['b', 'c']) this.membership.setLinkState(node, 'up', 0);
    for (let i = 0; i < 12; i += 1) this.wait(STATUS_INTERVAL_MS, ['b', 'c']);
  }

  receiveStatus(node: string, more: Partial<MemberStatus> = {}): this {
    const leaderFields = node === 'b' ? { isLeader: true, expected: 40, reporting: 40 } : {};
    this.membership.receiveStatus(memberStatus(node, { ...leaderFields, ...more }), this.now);
    return this;
  }

  wait(ms: number, senders: readonly string[] = []): this {
    this.now += ms;
    for (const node of senders) this.receiveStatus(node);
    this.membership.recordTimerLag(1, this.now);
    this.membership.assess(this.now, this.storeContactAgeMs);
    return this;
  }

  link(node: string, ...links: ('lost' | 'refused' | 'up')[]): this {
    for (const link of links) this.membership.setLinkState(node, link, this.now);
    this.membership.assess(this.now, this.storeContactAgeMs);
    return this;
  }

  sendUnexpectedHeartbeats(count: number): this {
    for (let i = 0; i < count; i += 1) this.membership.recordUnexpectedReport(`m-${i}`, this.now);
    return this;
  }

  get levelOfB(): string {
    return this.membership.levelOf('b');
  }

  get mayReplaceLeader(): boolean {
    return this.membership.mayReplaceEarly('b', this.now, this.storeContactAgeMs);
  }

  /** Makes node a the leader, with heartbeats from few of its machines. */
  loseHeartbeats(): this {
    this.membership.setWorkerHealth(
      { reporting: 2, expected: 40, running: 40, neverReported: 0, silentMs: 5000 },
      40,
    );
    return this;
  }

  get successor(): string | null {
    return this.membership.chooseSuccessor(this.now, this.storeContactAgeMs)?.to ?? null;
  }
}

const REFUSED = { observations: [{ node: 'b', ageMs: 900, linkState: 'refused' }] } as const;
const crash = (scene: Scene): Scene =>
  scene.link('b', 'lost', 'refused', 'refused').wait(50).receiveStatus('c', REFUSED);
const ALL_PROBES_REACHED = { probeRound: 1, reachable: 8, unreachable: 0 };
const failProbes = (scene: Scene): Scene => {
  scene
    .loseHeartbeats()
    .membership.setProbeRound({ round: 1, reachable: 0, unreachable: 8, requested: 8, startedAt: scene.now });
  return scene;
};

/** By rule: a scenario that this rule alone decides, and its outcome. */
const CASES: Record<string, readonly [(scene: Scene) => unknown, unknown]> = {
  'unusually silent': [(s) => s.wait(4 * STATUS_INTERVAL_MS).levelOfB, 'suspected'],
  'link lost': [(s) => s.link('b', 'lost').levelOfB, 'suspected'],
  'behind its own timers': [
    (s) => s.receiveStatus('b', { timerLagMs: 9 * TIMES.tickMs }).wait(1).levelOfB,
    'suspected',
  ],
  'not served by the state service': [
    (s) => s.receiveStatus('b', { storeContactAgeMs: 60_000 }).wait(1).levelOfB,
    'suspected',
  ],
  // A single refusal may come from a host with a full socket table.
  'refused since its last word': [
    (s) =>
      s.link('b', 'lost', 'refused').receiveStatus('c', REFUSED).sendUnexpectedHeartbeats(3).mayReplaceLeader,
    false,
  ],
  // A packet filter between the nodes refuses for as long as it is in place, and workers may send unexpected
  // heartbeats for other reasons.
  'refused of late': [
    (s) =>
      crash(s)
        .wait(2 * TIMES.leaderLeaseMs, ['c'])
        .receiveStatus('c', REFUSED)
        .sendUnexpectedHeartbeats(3).mayReplaceLeader,
    false,
  ],
  'no witness hears it': [
    (s) =>
      crash(s)
        .receiveStatus('c', { observations: [{ node: 'b', ageMs: 90, linkState: 'up' }] })
        .sendUnexpectedHeartbeats(3).mayReplaceLeader,
    false,
  ],
  'its workers have left it': [(s) => crash(s).sendUnexpectedHeartbeats(2).mayReplaceLeader, false],
  'this node has not stood still': [
    (s) => {
      crash(s)
        .sendUnexpectedHeartbeats(3)
        .membership.recordTimerLag(3 * TIMES.tickMs, s.now);
      return s.mayReplaceLeader;
    },
    false,
  ],
  'the state service answers this node': [
    (s) => {
      crash(s).sendUnexpectedHeartbeats(3).storeContactAgeMs = 60_000;
      return s.mayReplaceLeader;
    },
    false,
  ],
  responsive: [(s) => failProbes(s).receiveStatus('c', ALL_PROBES_REACHED).link('c', 'lost').successor, null],
  served: [
    (s) => failProbes(s).receiveStatus('c', { ...ALL_PROBES_REACHED, storeContactAgeMs: 60_000 }).successor,
    null,
  ],
  'its timers fire in time': [
    (s) =>
      failProbes(s).receiveStatus('c', { ...ALL_PROBES_REACHED, timerLagMs: 4 * TIMES.tickMs }).successor,
    null,
  ],
  'this node cannot reach its machines': [
    (s) => failProbes(s).receiveStatus('c', ALL_PROBES_REACHED).successor,
    'c',
  ],
  'reaches the machines': [
    (s) => {
      s.membership.setWorkerHealth(
        { reporting: 40, expected: 40, running: 40, neverReported: 0, silentMs: 5 },
        40,
      );
      s.membership.setProbeRound({ ...ALL_PROBES_REACHED, round: 1, requested: 8, startedAt: s.now });
      s.receiveStatus('b', { probeRound: 1, reachable: 1, unreachable: 7 }).receiveStatus(
        'c',
        ALL_PROBES_REACHED,
      );
      return ['b', 'c'].map((node) => s.membership.isEligibleSuccessor(node, s.now, 10));
    },
    [false, true],
  ],
  'this node cannot keep up, and computes slower than it did': [
    (s) => {
      s.membership.setWorkerHealth(
        { reporting: 40, expected: 40, running: 40, neverReported: 0, silentMs: 5 },
        0,
        0,
      );
      const work = (slowdown: number, lagMs: number): void => {
        s.wait(TIMES.maxHeartbeatIntervalMs, ['b', 'c']).membership.processingRate.record(
          20 * slowdown,
          10,
          s.now,
        );
        s.membership.recordTimerLag(lagMs, s.now);
      };
      for (let i = 0; i < 12; i += 1) work(1, 1);
      for (let i = 0; i < 6; i += 1) work(4, TIMES.tickMs);
      return s.successor !== null;
    },
    true,
  ],
};

const without = (name: string): EvidenceRules => {
  const remaining = (rules: EvidenceRules['eligibleSuccessor']): EvidenceRules['eligibleSuccessor'] =>
    rules.filter((rule) => rule.name !== name);
  return {
    suspected: remaining(EVIDENCE_RULES.suspected),
    crashed: remaining(EVIDENCE_RULES.crashed),
    eligibleSuccessor: remaining(EVIDENCE_RULES.eligibleSuccessor),
    transfer: remaining(EVIDENCE_RULES.transfer),
  };
};

test('every evidence rule has a test case', () => {
  const names = Object.values(
    EVIDENCE_RULES as unknown as Record<string, EvidenceRules['eligibleSuccessor']>,
  ).flatMap((rules) => rules.map(({ name }) => name));
  expect(Object.keys(CASES).sort()).toEqual([...names].sort());
});

test.each(Object.keys(CASES))('evidence leads to its outcome, and only with its rule: %s', (name) => {
  const [outcomeOf, expected] = CASES[name] as (typeof CASES)[string];
  expect(outcomeOf(new Scene(EVIDENCE_RULES))).toEqual(expected);
  expect(outcomeOf(new Scene(without(name)))).not.toEqual(expected);
});

test('a leader is given up on all evidence of a crash, and its own status restores trust', () => {
  const scene = crash(new Scene(EVIDENCE_RULES)).sendUnexpectedHeartbeats(3);
  expect(scene.mayReplaceLeader).toBe(true);
  scene.membership.assess(scene.now, scene.storeContactAgeMs);
  expect(scene.levelOfB).toBe('given up');
  scene.link('b', 'up').receiveStatus('b').wait(1);
  expect([scene.levelOfB, scene.mayReplaceLeader]).toEqual(['trusted', false]);
});

// A node that fails repeatedly must not get the leadership back after each recovery.
test('a flapping node is trusted immediately, but leadership is transferred to it with growing backoff', () => {
  const scene = new Scene(EVIDENCE_RULES);
  const timeToStable = (): number => {
    scene.link('c', 'lost').wait(10);
    scene.link('c', 'up').receiveStatus('c').wait(10, ['b', 'c']);
    const from = scene.now;
    expect(scene.membership.levelOf('c')).toBe('trusted');
    while (!scene.membership.isStable('c', 4000, scene.now)) scene.wait(STATUS_INTERVAL_MS, ['b', 'c']);
    return scene.now - from;
  };
  const waits = [timeToStable(), timeToStable(), timeToStable()];
  expect(waits[1]).toBeGreaterThan(1.8 * (waits[0] as number));
  expect(waits[2]).toBeGreaterThan(1.8 * (waits[1] as number));
});

test('the failure detector adapts to the usual gaps between messages', () => {
  const silenceUntilSuspected = (gap: number): number => {
    const gaps = new InterArrivalTracker(500);
    for (let i = 0; i < 20; i += 1) gaps.record(i * gap + (i % 2 === 0 ? 0 : gap / 4));
    let silence = 0;
    while (gaps.phi(19 * gap + gap / 4 + silence) < 3) silence += 50;
    return silence;
  };
  expect(silenceUntilSuspected(500)).toBeLessThan(3 * 500);
  expect(silenceUntilSuspected(2000)).toBeGreaterThan(2.5 * silenceUntilSuspected(500));
});

// Under a burst of work the timers of every node are late: a transfer would only move the load.
test('a leader that is late only because of its load keeps the leadership', () => {
  const scene = new Scene(EVIDENCE_RULES);
  scene.membership.setWorkerHealth(
    { reporting: 40, expected: 40, running: 40, neverReported: 0, silentMs: 5 },
    0,
    0,
  );
  for (let i = 0; i < 24; i += 1) {
    scene
      .wait(TIMES.maxHeartbeatIntervalMs, ['b', 'c'])
      .membership.processingRate.record(i < 12 ? 20 : 200, i < 12 ? 10 : 100, scene.now);
    if (i >= 12) scene.membership.recordTimerLag(TIMES.tickMs, scene.now);
  }
  expect(scene.successor).toBeNull();
});

/**
 * Workers can reach the leader. Whatever two followers observe of it, except a silent link, a worker that
 * alternates between them is redirected to the leader within a bounded time.
 */
test('workers find a healthy leader within its lease and two hops, whatever its peers observe', () => {
  const observations: Omit<LeaderReachability, 'token'>[] = [];
  for (const hasContact of [true, false])
    for (const linkLostAt of hasContact ? [null] : [0])
      for (const isZoneSilent of [false, true])
        observations.push({
          leader: 'l',
          hasContact,
          linkLostAt,
          isRecordConfirmed: true,
          isZoneSilent,
          hasOtherContact: true,
        });
  const hopMs = 1000;
  let worst = 0;
  for (const first of observations)
    for (const second of observations)
      for (let start = 0; start < 2 * TIMES.leaderLeaseMs; start += 250) {
        const nodes = [first, second].map((observation) => ({
          observation,
          router: new WorkerRouter(TIMES),
        }));
        let index = 0;
        let now = start;
        for (;;) {
          const { observation, router } = nodes[index % 2] as (typeof nodes)[number];
          const route = router.route('m', 4, { ...observation, token: 4 }, now);
          if (route === 'leader') break;
          if (route === 'nextController') index += 1;
          now += route === 'nextController' ? hopMs : 0.8 * TIMES.maxHeartbeatIntervalMs;
        }
        worst = Math.max(worst, now - start);
      }
  expect(worst).toBeGreaterThan(0);
  expect(worst).toBeLessThanOrEqual(TIMES.leaderLeaseMs + 2 * hopMs);
});

// A delayed message of an earlier incarnation must not count as evidence of the current one.
test('messages of an earlier incarnation are ignored, however many incarnations followed', () => {
  const scene = new Scene(EVIDENCE_RULES);
  const isCurrent = (incarnation: string): boolean =>
    scene.membership.isCurrentIncarnation({ node: 'b', incarnation });
  expect(isCurrent('incarnation-of-b')).toBe(true);
  for (const incarnation of ['second', 'third', 'fourth'])
    scene.receiveStatus('b', { incarnation, isLeader: false });
  expect(['incarnation-of-b', 'second', 'third', 'fourth'].map(isCurrent)).toEqual([
    false,
    false,
    false,
    true,
  ]);
  const before = scene.membership.statusOf('b');
  scene.receiveStatus('b', { incarnation: 'second', term: 99 });
  expect(scene.membership.statusOf('b')).toBe(before);
});

// Otherwise the running incarnation would be ignored until it is restarted.
test('the running incarnation is recognized although a message of the earlier one came after its own', () => {
  const incarnations = new Incarnations(1000);
  expect(incarnations.accept('running', 0)).toBe(true);
  // A delayed message of an earlier incarnation, which was not known here.
  expect(incarnations.accept('earlier', 10)).toBe(true);
  const accepted = [500, 1200, 1700, 2250, 2700].map((at) => incarnations.accept('running', at));
  expect(accepted).toEqual([false, false, false, true, true]);
  expect(incarnations.accept('earlier', 2800)).toBe(false);
});

test('a peer whose earlier incarnation was heard late is in contact again without a restart', () => {
  const scene = new Scene(EVIDENCE_RULES);
  scene.receiveStatus('b', { incarnation: 'running' });
  scene.receiveStatus('b', { incarnation: 'short-lived' });
  for (let i = 0; i < 40; i += 1) {
    scene.wait(STATUS_INTERVAL_MS, ['c']);
    scene.receiveStatus('b', { incarnation: 'running' });
  }
  expect(scene.membership.statusOf('b')?.incarnation).toBe('running');
  expect(scene.membership.isCurrentIncarnation({ node: 'b', incarnation: 'running' })).toBe(true);
});

test('messages of an earlier incarnation that arrive together do not revive it, however long its successor is silent', () => {
  const incarnations = new Incarnations(1000);
  incarnations.accept('earlier', 0);
  incarnations.accept('running', 10);
  for (const at of [5000, 5010, 5900]) expect(incarnations.accept('earlier', at)).toBe(false);
  expect(incarnations.accept('running', 5950)).toBe(true);
  expect(incarnations.accept('earlier', 6100)).toBe(false);
  expect(incarnations.accept('earlier', 7200)).toBe(false);
});

test('a follower probes for a new leader although it has probed for another one before', () => {
  const leaderOf = (term: number): FailureDetector => {
    const { state } = new CoreHarness();
    Object.assign(state.leadership ?? {}, { term });
    const machine = getOrCreateMachine(state, 'm', { monotonicMs: 0, epochMs: 0 });
    Object.assign(machine, { address: '127.0.0.1:1', lastHeartbeatAt: 1 });
    return detectorOf(state, () => undefined);
  };
  const probed: string[] = [];
  const follower = detectorOf(new CoreHarness().state, (address) => probed.push(address));
  for (const [node, term] of [
    ['b', 7],
    ['c', 8],
  ] as const) {
    const leader = leaderOf(term);
    // The leader does not know whether this peer reaches the machines, and asks for probes.
    expect(leader.isEligibleSuccessor('b')).toBe(false);
    const { probeRequests, probeRound } = leader.localStatus();
    follower.onPeer(memberStatus(node, { isLeader: true, term, probeRequests, probeRound }));
  }
  expect(probed).toEqual(['127.0.0.1:1', '127.0.0.1:1']);
});

/** A failure detector of node `a`; `probe` is called with the address of each machine that it probes. */
function detectorOf(state: CoreState, probe: (address: string) => void): FailureDetector {
  const clock = { monotonicMs: () => 100_000, epochMs: () => 100_000 };
  const workers = {
    probe: (address: string) => {
      probe(address);
      return Promise.resolve(true);
    },
  };
  const others = ['b', 'c'].map((host_name) => ({ host_name }));
  const context = {
    settings: { others, cluster: { quota: { cpu: 1 } } },
    timing: TIMES,
    ports: { clock, workers, log: { info: () => undefined }, store: { lastContactAt: () => null } },
    commands: { state },
    leadershipView: { leader: null, leaderRevision: 0, highestTerm: 0, leadingTerm: 0 },
  } as unknown as ControllerContext;
  return new FailureDetector(context, {
    replaceCrashedLeader: () => undefined,
    transferLeadership: () => undefined,
    preferredLeaders: () => new Set(),
    broadcastStatus: () => undefined,
  });
}

// A result of an earlier leader's round would count as a peer's contact with the machines of this one.
test('leaders of different terms number their probe rounds differently', () => {
  const first = nextProbeRound(7, 0);
  const second = nextProbeRound(7, first);
  const ofOtherTerms = [6, 8, 9, 70_000].flatMap((term) => {
    const start = nextProbeRound(term, second);
    return [start, nextProbeRound(term, start)];
  });
  expect(new Set([first, second, ...ofOtherTerms]).size).toBe(10);
  for (const round of [first, second, ...ofOtherTerms]) expect(round).toBeLessThan(2 ** 32);
  expect(nextProbeRound(7, 7 * 2 ** 16 + 2 ** 16 - 1)).toBe(first);
});
