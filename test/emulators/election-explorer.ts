/**
 * Explores interleavings of the real election machine: three controllers, one state service, answers
 * lost, transactions applied late, leases that end at any moment, restarts, false verdicts of a crash,
 * hand-overs that nobody asked for. Time is left out: a timer may fire whenever it likes, which covers
 * stalls and clocks that are apart.
 */
import { createHash } from 'node:crypto';
import {
  createElection,
  electionStep,
  type ElectionEffect,
  type ElectionEvent,
  type ElectionState,
  type KeyState,
} from '../../src/membership/election.js';
import type { LeaderRecord } from '../../src/core/persistence/index.js';
import { timing } from '../../src/config/settings.js';
import { testSettings } from './simulation.js';

const NODES = ['n-0', 'n-1', 'n-2'];
const TIMES = timing(testSettings(0));

type Asked = Exclude<ElectionEffect, { kind: 'elected' | 'lost' | 'leaderObserved' }>;
type Transaction = Extract<ElectionEffect, { kind: 'campaign' | 'nameSuccessor' }>;

interface Node {
  election: ElectionState;
  /** Asked for and not answered yet, oldest first. */
  asked: Asked[];
}

interface Store {
  revision: number;
  /** Revision of the latest change of the leader's record. */
  leaderAt: number;
  leader: { record: LeaderRecord; modRevision: number; lease: number } | null;
  term: { value: number; modRevision: number } | null;
  leases: number[];
  nextLease: number;
}

interface ModelState {
  readonly nodes: Node[];
  readonly store: Store;
  /** Transactions that were given up, and may be applied still. */
  late: Transaction[];
  lives: number;
  faults: number;
  /** Who was elected for each term. */
  readonly elected: Record<number, string>;
}

/** A guard left out; each must be caught. */
export type Mutant =
  | 'campaigns without the term precondition'
  | 'transfers leadership without the record precondition'
  | 'takes an unknown outcome for success'
  | 'takes any record of the term for its own'
  | 'continues after its lease has expired'
  | 'transfers leadership for ever'
  | 'follows no record';

export interface Found {
  readonly states: number;
  readonly violations: readonly string[];
  /** The steps that lead to the first broken state. */
  readonly path: readonly string[];
}

const copy = (scene: ModelState): ModelState => ({
  nodes: scene.nodes.map(({ election, asked }) => ({
    election: { ...election, held: election.held === null ? null : { ...election.held } },
    asked: [...asked],
  })),
  store: { ...scene.store, leases: [...scene.store.leases] },
  late: [...scene.late],
  lives: scene.lives,
  faults: scene.faults,
  elected: { ...scene.elected },
});

class Explorer {
  readonly violations: string[] = [];

  constructor(private readonly mutant: Mutant | null) {}

  start(): ModelState {
    const scene: ModelState = {
      nodes: [],
      store: { revision: 1, leaderAt: 0, leader: null, term: null, leases: [], nextLease: 1 },
      late: [],
      lives: 0,
      faults: 0,
      elected: {},
    };
    for (const name of NODES) {
      scene.nodes.push({ election: this.#born(scene, name), asked: [] });
    }
    for (const node of scene.nodes) this.tell(scene, node, { kind: 'start' });
    return scene;
  }

  #born(scene: ModelState, name: string): ElectionState {
    return createElection(name, `life-${scene.lives++}`, TIMES, name === 'n-2' ? 4 * TIMES.tickMs : 0);
  }

  tell(scene: ModelState, node: Node, event: ElectionEvent): void {
    const { election } = node;
    for (const effect of electionStep(election, this.#bend(election, event))) {
      if (effect.kind === 'elected') {
        const { term } = effect.result;
        const before = scene.elected[term];
        if (before !== undefined && before !== election.incarnation)
          this.violations.push(`two were elected for term ${term}`);
        scene.elected[term] = election.incarnation;
      } else if (effect.kind !== 'lost' && effect.kind !== 'leaderObserved') node.asked.push(effect);
    }
  }

  /** Some guards are left out by what the machine is told. */
  #bend(election: ElectionState, event: ElectionEvent): ElectionEvent {
    if (this.mutant === 'takes an unknown outcome for success' && event.kind === 'campaigned')
      return event.outcome === 'unknown' ? { ...event, outcome: 'applied', revision: 1 } : event;
    if (this.mutant === 'continues after its lease has expired' && event.kind === 'leaseRenewed')
      return { ...event, alive: true };
    if (this.mutant === 'takes any record of the term for its own' && event.kind === 'campaignVerified') {
      const { leader } = event;
      if (leader !== 'unknown' && leader.value !== null)
        return {
          ...event,
          leader: { ...leader, value: { ...leader.value, incarnation: election.incarnation } },
        };
    }
    if (
      this.mutant === 'continues after its lease has expired' &&
      event.kind === 'leaderRead' &&
      election.held !== null
    )
      return { ...event, leader: 'unknown' };
    if (this.mutant === 'follows no record' && event.kind === 'leaderRead' && event.leader !== 'unknown')
      return election.held === null
        ? { ...event, leader: { ...event.leader, value: null, modRevision: 0 } }
        : event;
    return event;
  }

  /** A transaction, as the state service takes it; the revision it made, or null if a condition failed. */
  #apply({ store }: ModelState, txn: Transaction): number | null {
    const leaderRevision = store.leader?.modRevision ?? 0;
    const termRevision = store.term?.modRevision ?? 0;
    const free = this.mutant === 'campaigns without the term precondition' && txn.kind === 'campaign';
    const loose =
      this.mutant === 'transfers leadership without the record precondition' && txn.kind === 'nameSuccessor';
    if (!free && txn.termRevision !== termRevision && !loose) return null;
    if (!free && !loose && txn.leaderRevision !== leaderRevision) return null;
    if (!store.leases.includes(txn.lease)) return null;
    store.revision += 1;
    store.leader = { record: txn.record, modRevision: store.revision, lease: txn.lease };
    store.leaderAt = store.revision;
    if (txn.kind === 'campaign') store.term = { value: txn.record.term, modRevision: store.revision };
    return store.revision;
  }

  #leader({ store }: ModelState): KeyState<LeaderRecord> {
    return { value: store.leader?.record ?? null, modRevision: store.leader?.modRevision ?? 0 };
  }

  #term({ store }: ModelState): KeyState<number> {
    return { value: store.term?.value ?? null, modRevision: store.term?.modRevision ?? 0 };
  }

  endLease({ store }: ModelState, lease: number): void {
    store.leases = store.leases.filter((one) => one !== lease);
    if (store.leader?.lease === lease) {
      store.leader = null;
      store.revision += 1;
      store.leaderAt = store.revision;
    }
  }

  /** Serves what a node has asked for; `lost`: it gets no answer. */
  serve(scene: ModelState, node: Node, at: number, lost: boolean): void {
    const [asked] = node.asked.splice(at, 1);
    if (asked === undefined) return;
    const { store } = scene;
    switch (asked.kind) {
      case 'wait':
        this.tell(scene, node, { kind: 'timerFired', round: asked.round });
        break;
      case 'readLeader':
        this.tell(scene, node, {
          kind: 'leaderRead',
          round: asked.round,
          leader: lost ? 'unknown' : { ...this.#leader(scene), revision: store.revision },
        });
        break;
      case 'watchLeader':
        this.tell(scene, node, { kind: 'leaderWatched', round: asked.round, answered: !lost });
        break;
      case 'grantLease': {
        const lease = store.nextLease++;
        store.leases.push(lease);
        const term = this.#term(scene);
        this.tell(scene, node, {
          kind: 'leaseGranted',
          round: asked.round,
          lease: lost ? null : lease,
          term: lost ? 'unknown' : term,
          now: 0,
        });
        break;
      }
      case 'verifyCampaign':
        this.tell(scene, node, {
          kind: 'campaignVerified',
          round: asked.round,
          leader: lost ? 'unknown' : this.#leader(scene),
          term: lost ? 'unknown' : this.#term(scene),
        });
        break;
      case 'renewLease':
        this.tell(scene, node, {
          kind: 'leaseRenewed',
          round: asked.round,
          alive: lost ? null : store.leases.includes(asked.lease),
        });
        break;
      case 'revokeLease':
        if (!lost) this.endLease(scene, asked.lease);
        break;
      case 'campaign':
      case 'nameSuccessor': {
        const revision = this.#apply(scene, asked);
        const outcome = lost ? 'unknown' : revision === null ? 'failed' : 'applied';
        const kind = asked.kind === 'campaign' ? 'campaigned' : 'successorNamed';
        this.tell(scene, node, { kind, round: asked.round, outcome, revision: revision ?? 0 });
        break;
      }
    }
  }

  /** Gives a transaction up without an answer; it may be applied at any time later. */
  orphan(scene: ModelState, node: Node, at: number): void {
    const [asked] = node.asked.splice(at, 1);
    if (asked === undefined || (asked.kind !== 'campaign' && asked.kind !== 'nameSuccessor')) return;
    scene.late.push(asked);
    const kind = asked.kind === 'campaign' ? 'campaigned' : 'successorNamed';
    this.tell(scene, node, { kind, round: asked.round, outcome: 'unknown', revision: 0 });
  }

  /** Everything that may happen next, each as a copy of the scene. */
  next(scene: ModelState, faults: number): [string, ModelState][] {
    const found: [string, ModelState][] = [];
    const take = (name: string, fault: boolean, act: (next: ModelState) => void): void => {
      if (fault && scene.faults >= faults) return;
      const after = copy(scene);
      if (fault) after.faults += 1;
      act(after);
      found.push([name, after]);
    };
    scene.nodes.forEach((node, i) => {
      const of = (next: ModelState): Node => next.nodes[i] as Node;
      const { election } = node;
      node.asked.forEach((asked, at) => {
        const what = `${election.node} ${asked.kind}`;
        // Nothing changed: the answer to a watch would change nothing either.
        const idle = asked.kind === 'watchLeader' && asked.after >= scene.store.leaderAt;
        if (!idle) take(what, false, (next) => this.serve(next, of(next), at, false));
        if (asked.kind !== 'wait' && asked.kind !== 'watchLeader')
          take(`${what} without answer`, true, (next) => this.serve(next, of(next), at, true));
        if (asked.kind === 'campaign' || asked.kind === 'nameSuccessor')
          take(`${what} held back`, true, (next) => this.orphan(next, of(next), at));
      });
      if (election.phase === 'following')
        take(`${election.node} takes the leader for crashed`, true, (next) =>
          this.tell(next, of(next), {
            kind: 'replaceCrashedLeader',
            modRevision: of(next).election.followedRevision,
          }),
        );
      if (election.phase === 'leading') {
        const to = NODES[(i + 1) % NODES.length] as string;
        take(`${election.node} hands over`, true, (next) =>
          this.tell(next, of(next), { kind: 'transferLeadership', to }),
        );
        take(`${election.node} steps down`, true, (next) => this.tell(next, of(next), { kind: 'resign' }));
      }
      take(`${election.node} starts anew`, true, (next) => {
        const born = of(next);
        for (const asked of born.asked)
          if (asked.kind === 'campaign' || asked.kind === 'nameSuccessor') next.late.push(asked);
        born.election = this.#born(next, election.node);
        born.asked = [];
        this.tell(next, born, { kind: 'start' });
      });
    });
    scene.late.forEach((txn, at) =>
      take(`late ${txn.kind} of ${txn.record.node}`, false, (next) => {
        next.late.splice(at, 1);
        this.#apply(next, txn);
      }),
    );
    for (const lease of scene.store.leases)
      take(`lease ${lease} ends`, true, (next) => this.endLease(next, lease));
    return found;
  }

  /** What must hold in every state. */
  check(scene: ModelState): void {
    const termRevision = scene.store.term?.modRevision ?? 0;
    const { leader, term } = scene.store;
    if (leader !== null && leader.record.term !== term?.value)
      this.violations.push('the record tells of another term than the one in force');
    const writers = scene.nodes.filter(({ election }) => election.held?.result.modRevision === termRevision);
    if (writers.length > 1) this.violations.push('the writes of two leaders would be applied');
    for (const { election } of writers) {
      const { result: won } = election.held as { result: { term: number } };
      if (won.term !== scene.store.term?.value)
        this.violations.push('a leader writes under a term that is not its own');
    }
  }

  /**
   * From here on nothing fails, and whoever renews its lease keeps it: within a bound one leads whom all
   * others follow, and it stays so.
   */
  settles(from: ModelState): void {
    const scene = copy(from);
    const settled = (): string | null => {
      const leaders = scene.nodes.filter(({ election }) => election.phase === 'leading');
      const [one] = leaders;
      if (leaders.length !== 1 || one === undefined) return null;
      const modRevision = scene.store.leader?.modRevision;
      const all = scene.nodes.every(
        ({ election }) =>
          election === one.election ||
          (election.phase === 'following' && election.followedRevision === modRevision),
      );
      return all && one.election.held?.namedSuccessor === null ? one.election.incarnation : null;
    };
    const round = (): void => {
      const renewed = new Set<number>();
      for (const node of scene.nodes) {
        if (this.mutant === 'transfers leadership for ever' && node.election.phase === 'leading')
          this.tell(scene, node, {
            kind: 'transferLeadership',
            to: NODES.find((name) => name !== node.election.node) as string,
          });
        // Timers once each; whatever else there is to be answered until nothing is left.
        for (let left = node.asked.length; left > 0; left -= 1) {
          const at = node.asked.findIndex(({ kind }) => kind === 'wait');
          if (at < 0) break;
          this.serve(scene, node, at, false);
        }
        for (let steps = 0; steps < 40; steps += 1) {
          const at = node.asked.findIndex(
            (asked) =>
              asked.kind !== 'wait' && !(asked.kind === 'watchLeader' && asked.after >= scene.store.leaderAt),
          );
          if (at < 0) break;
          const asked = node.asked[at];
          if (asked?.kind === 'renewLease') renewed.add(asked.lease);
          this.serve(scene, node, at, false);
        }
      }
      for (const lease of [...scene.store.leases]) {
        const held = scene.nodes.some(({ election }) => election.held?.lease === lease);
        if (!held && !renewed.has(lease)) this.endLease(scene, lease);
      }
    };
    for (let i = 0; i < 10; i += 1) round();
    const leader = settled();
    if (leader === null)
      this.violations.push('nobody leads whom all others follow, though nothing fails any more');
    for (let i = 0; i < 4; i += 1) round();
    if (settled() !== leader) this.violations.push('leadership moves on though nothing fails any more');
  }
}

/** Two states that differ only in how large their numbers have grown are the same. */
function keyOf(scene: ModelState): string {
  const { store } = scene;
  const stamps = new Set<number>([
    0,
    store.leaderAt,
    store.leader?.modRevision ?? 0,
    store.term?.modRevision ?? 0,
  ]);
  const terms = new Set<number>([store.term?.value ?? 0, store.leader?.record.term ?? 0]);
  const leases = new Set<number>(store.leases);
  const asked = [...scene.nodes.flatMap((node) => node.asked), ...scene.late];
  for (const one of asked) {
    if ('after' in one) stamps.add(one.after);
    if ('leaderRevision' in one) stamps.add(one.leaderRevision).add(one.termRevision);
    if ('record' in one) terms.add(one.record.term);
    if ('lease' in one) leases.add(one.lease);
  }
  for (const { election } of scene.nodes) {
    stamps.add(election.followedRevision).add(election.leaderRevision);
    if (election.held !== null) {
      stamps.add(election.held.leaderRevision).add(election.held.result.modRevision);
      terms.add(election.held.result.term);
      leases.add(election.held.lease);
    }
    if (election.campaign !== null) {
      stamps.add(election.campaign.termRevision);
      terms.add(election.campaign.term);
    }
  }
  const rank = (numbers: Set<number>): ((n: number) => number) => {
    const sorted = [...numbers].sort((a, b) => a - b);
    return (n) => sorted.indexOf(n);
  };
  const [modRevision, term, lease] = [rank(stamps), rank(terms), rank(leases)];
  const record = (one: LeaderRecord): string =>
    `${one.node}${one.incarnation}${term(one.term)}${one.successor ?? ''}`;
  const transaction = (one: Transaction): string =>
    `${one.kind}${record(one.record)}${lease(one.lease)},${modRevision(one.leaderRevision)},${modRevision(one.termRevision)}`;
  const whole = JSON.stringify([
    scene.faults,
    store.leader && [
      record(store.leader.record),
      modRevision(store.leader.modRevision),
      lease(store.leader.lease),
    ],
    store.term && [term(store.term.value), modRevision(store.term.modRevision)],
    modRevision(store.leaderAt),
    store.leases.map(lease),
    scene.late.map(transaction),
    scene.nodes.map(({ election: e, asked: all }) => [
      e.incarnation,
      e.phase,
      e.hasDeferred,
      modRevision(e.followedRevision),
      modRevision(e.leaderRevision),
      e.lease === null ? null : lease(e.lease),
      e.campaign && [term(e.campaign.term), modRevision(e.campaign.termRevision)],
      e.held && [
        lease(e.held.lease),
        term(e.held.result.term),
        modRevision(e.held.result.modRevision),
        e.held.namedSuccessor,
      ],
      all.map((one) => [
        one.kind,
        // Of its round only counts whether it is one that is waited for.
        'round' in one ? [e.round, e.renewalRound, e.leaderWatchRound].indexOf(one.round) : null,
        'after' in one ? modRevision(one.after) : null,
        'lease' in one ? lease(one.lease) : null,
        'record' in one ? transaction(one) : null,
      ]),
    ]),
  ]);
  return createHash('sha1').update(whole).digest('base64');
}

export interface Bounds {
  /** Steps from the start, faults among them, and states at most. */
  readonly depth: number;
  readonly faults: number;
  readonly states: number;
  /** From every so many of the states it is tried whether all settles once nothing fails. */
  readonly settleEvery: number;
}

/** Breadth first from a service that has a leader: the shortest way to whatever is broken. */
export function explore(bounds: Bounds, mutant: Mutant | null = null): Found {
  const explorer = new Explorer(mutant);
  const first = explorer.start();
  // Everybody asks, one is elected, the others follow.
  for (let i = 0; i < 12; i += 1)
    for (const node of first.nodes) {
      const at = node.asked.findIndex(
        (asked) =>
          asked.kind !== 'wait' && !(asked.kind === 'watchLeader' && asked.after >= first.store.leaderAt),
      );
      if (at >= 0) explorer.serve(first, node, at, false);
    }
  const seen = new Map<string, readonly [string, string] | null>([[keyOf(first), null]]);
  let level: [string, ModelState][] = [[keyOf(first), first]];
  const pathTo = (key: string): string[] => {
    const path: string[] = [];
    for (let at = seen.get(key); at !== null && at !== undefined; at = seen.get(at[0])) path.unshift(at[1]);
    return path;
  };
  const judge = (key: string, scene: ModelState): Found | null => {
    explorer.check(scene);
    if (seen.size % bounds.settleEvery === 0) explorer.settles(scene);
    return explorer.violations.length === 0
      ? null
      : { states: seen.size, violations: explorer.violations, path: pathTo(key) };
  };
  for (let depth = 0; depth < bounds.depth && level.length > 0; depth += 1) {
    const deeper: [string, ModelState][] = [];
    for (const [from, scene] of level) {
      for (const [name, after] of explorer.next(scene, bounds.faults)) {
        const key = keyOf(after);
        if (seen.has(key) && explorer.violations.length === 0) continue;
        seen.set(key, [from, name]);
        const found = judge(key, after);
        if (found !== null) return found;
        if (seen.size >= bounds.states) return { states: seen.size, violations: [], path: [] };
        deeper.push([key, after]);
      }
    }
    level = deeper;
  }
  return { states: seen.size, violations: [], path: [] };
}
