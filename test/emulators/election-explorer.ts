/**
 * Model checker for the election state machine. It explores interleavings of three controllers and one store, with
 * lost responses, transactions that are applied late, leases that end at any moment, restarts, false crash
 * detections and unrequested leadership transfers. Time is not modelled: a timer may fire at any moment, which
 * covers paused processes and clock skew.
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
const TIMING = timing(testSettings(0));

type PendingRequest = Exclude<ElectionEffect, { kind: 'elected' | 'lost' | 'leaderObserved' }>;
type Transaction = Extract<ElectionEffect, { kind: 'campaign' | 'nameSuccessor' }>;

interface Node {
  election: ElectionState;
  /** Requests without a response yet, oldest first. */
  pending: PendingRequest[];
}

interface Store {
  revision: number;
  /** Revision of the latest change of the leader record. */
  leaderChangedAt: number;
  leader: { record: LeaderRecord; modRevision: number; lease: number } | null;
  term: { value: number; modRevision: number } | null;
  leases: number[];
  nextLease: number;
}

interface ModelState {
  readonly nodes: Node[];
  readonly store: Store;
  /** Transactions whose sender has stopped waiting for the outcome; they may still be applied. */
  lateTransactions: Transaction[];
  incarnations: number;
  faults: number;
  /** The incarnation that was elected for each term. */
  readonly elected: Record<number, string>;
}

/** A variant of the election that lacks one guard; the exploration must detect each of them. */
export type Mutant =
  | 'campaigns without the term precondition'
  | 'transfers leadership without the record precondition'
  | 'takes an unknown outcome for success'
  | 'takes any record of the term for its own'
  | 'continues after its lease has expired'
  | 'transfers leadership for ever'
  | 'follows no record';

export interface ExplorationResult {
  readonly states: number;
  readonly violations: readonly string[];
  /** The steps that lead to the first state with a violation. */
  readonly path: readonly string[];
}

const copyState = (state: ModelState): ModelState => ({
  nodes: state.nodes.map(({ election, pending }) => ({
    election: { ...election, held: election.held === null ? null : { ...election.held } },
    pending: [...pending],
  })),
  store: { ...state.store, leases: [...state.store.leases] },
  lateTransactions: [...state.lateTransactions],
  incarnations: state.incarnations,
  faults: state.faults,
  elected: { ...state.elected },
});

class Explorer {
  readonly violations: string[] = [];

  constructor(private readonly mutant: Mutant | null) {}

  start(): ModelState {
    const state: ModelState = {
      nodes: [],
      store: { revision: 1, leaderChangedAt: 0, leader: null, term: null, leases: [], nextLease: 1 },
      lateTransactions: [],
      incarnations: 0,
      faults: 0,
      elected: {},
    };
    for (const name of NODES) {
      state.nodes.push({ election: this.#newElection(state, name), pending: [] });
    }
    for (const node of state.nodes) this.dispatch(state, node, { kind: 'start' });
    return state;
  }

  #newElection(state: ModelState, name: string): ElectionState {
    return createElection(
      name,
      `life-${state.incarnations++}`,
      TIMING,
      name === 'n-2' ? 4 * TIMING.tickMs : 0,
    );
  }

  dispatch(state: ModelState, node: Node, event: ElectionEvent): void {
    const { election } = node;
    for (const effect of electionStep(election, this.#mutateEvent(election, event))) {
      if (effect.kind === 'elected') {
        const { term } = effect.result;
        const previous = state.elected[term];
        if (previous !== undefined && previous !== election.incarnation)
          this.violations.push(`two incarnations were elected for term ${term}`);
        state.elected[term] = election.incarnation;
      } else if (effect.kind !== 'lost' && effect.kind !== 'leaderObserved') node.pending.push(effect);
    }
  }

  /** Implements the mutants that alter the events of the state machine. */
  #mutateEvent(election: ElectionState, event: ElectionEvent): ElectionEvent {
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

  /** Applies a transaction as the store does; returns its revision, or null if a precondition failed. */
  #apply({ store }: ModelState, txn: Transaction): number | null {
    const leaderRevision = store.leader?.modRevision ?? 0;
    const termRevision = store.term?.modRevision ?? 0;
    const isCampaignUnguarded =
      this.mutant === 'campaigns without the term precondition' && txn.kind === 'campaign';
    const isTransferUnguarded =
      this.mutant === 'transfers leadership without the record precondition' && txn.kind === 'nameSuccessor';
    if (!isCampaignUnguarded && txn.termRevision !== termRevision && !isTransferUnguarded) return null;
    if (!isCampaignUnguarded && !isTransferUnguarded && txn.leaderRevision !== leaderRevision) return null;
    if (!store.leases.includes(txn.lease)) return null;
    store.revision += 1;
    store.leader = { record: txn.record, modRevision: store.revision, lease: txn.lease };
    store.leaderChangedAt = store.revision;
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
    store.leases = store.leases.filter((other) => other !== lease);
    if (store.leader?.lease === lease) {
      store.leader = null;
      store.revision += 1;
      store.leaderChangedAt = store.revision;
    }
  }

  /** Serves a pending request of a node; if `isResponseLost`, the node receives no response. */
  serve(state: ModelState, node: Node, at: number, isResponseLost: boolean): void {
    const [request] = node.pending.splice(at, 1);
    if (request === undefined) return;
    const { store } = state;
    switch (request.kind) {
      case 'wait':
        this.dispatch(state, node, { kind: 'timerFired', round: request.round });
        break;
      case 'readLeader':
        this.dispatch(state, node, {
          kind: 'leaderRead',
          round: request.round,
          leader: isResponseLost ? 'unknown' : { ...this.#leader(state), revision: store.revision },
        });
        break;
      case 'watchLeader':
        this.dispatch(state, node, {
          kind: 'leaderWatched',
          round: request.round,
          answered: !isResponseLost,
        });
        break;
      case 'grantLease': {
        const lease = store.nextLease++;
        store.leases.push(lease);
        const term = this.#term(state);
        this.dispatch(state, node, {
          kind: 'leaseGranted',
          round: request.round,
          lease: isResponseLost ? null : lease,
          term: isResponseLost ? 'unknown' : term,
          now: 0,
        });
        break;
      }
      case 'verifyCampaign':
        this.dispatch(state, node, {
          kind: 'campaignVerified',
          round: request.round,
          leader: isResponseLost ? 'unknown' : this.#leader(state),
          term: isResponseLost ? 'unknown' : this.#term(state),
        });
        break;
      case 'renewLease':
        this.dispatch(state, node, {
          kind: 'leaseRenewed',
          round: request.round,
          alive: isResponseLost ? null : store.leases.includes(request.lease),
        });
        break;
      case 'revokeLease':
        if (!isResponseLost) this.endLease(state, request.lease);
        break;
      case 'campaign':
      case 'nameSuccessor': {
        const revision = this.#apply(state, request);
        const outcome = isResponseLost ? 'unknown' : revision === null ? 'failed' : 'applied';
        const kind = request.kind === 'campaign' ? 'campaigned' : 'successorNamed';
        this.dispatch(state, node, { kind, round: request.round, outcome, revision: revision ?? 0 });
        break;
      }
    }
  }

  /** Ends the wait for a transaction with an unknown outcome; it may be applied at any later time. */
  abandon(state: ModelState, node: Node, at: number): void {
    const [request] = node.pending.splice(at, 1);
    if (request === undefined || (request.kind !== 'campaign' && request.kind !== 'nameSuccessor')) return;
    state.lateTransactions.push(request);
    const kind = request.kind === 'campaign' ? 'campaigned' : 'successorNamed';
    this.dispatch(state, node, { kind, round: request.round, outcome: 'unknown', revision: 0 });
  }

  /** All possible next steps: the description of each and the state that results from it. */
  successors(state: ModelState, maxFaults: number): [string, ModelState][] {
    const steps: [string, ModelState][] = [];
    const addStep = (description: string, isFault: boolean, apply: (next: ModelState) => void): void => {
      if (isFault && state.faults >= maxFaults) return;
      const after = copyState(state);
      if (isFault) after.faults += 1;
      apply(after);
      steps.push([description, after]);
    };
    state.nodes.forEach((node, i) => {
      const nodeOf = (next: ModelState): Node => next.nodes[i] as Node;
      const { election } = node;
      node.pending.forEach((request, at) => {
        const action = `${election.node} ${request.kind}`;
        // While the leader record is unchanged, the response to a watch would change nothing either.
        const isUnchanged = request.kind === 'watchLeader' && request.after >= state.store.leaderChangedAt;
        if (!isUnchanged) addStep(action, false, (next) => this.serve(next, nodeOf(next), at, false));
        if (request.kind !== 'wait' && request.kind !== 'watchLeader')
          addStep(`${action} without response`, true, (next) => this.serve(next, nodeOf(next), at, true));
        if (request.kind === 'campaign' || request.kind === 'nameSuccessor')
          addStep(`${action} with unknown outcome`, true, (next) => this.abandon(next, nodeOf(next), at));
      });
      if (election.phase === 'following')
        addStep(`${election.node} detects a crash of the leader`, true, (next) =>
          this.dispatch(next, nodeOf(next), {
            kind: 'replaceCrashedLeader',
            modRevision: nodeOf(next).election.followedRevision,
          }),
        );
      if (election.phase === 'leading') {
        const to = NODES[(i + 1) % NODES.length] as string;
        addStep(`${election.node} transfers leadership`, true, (next) =>
          this.dispatch(next, nodeOf(next), { kind: 'transferLeadership', to }),
        );
        addStep(`${election.node} steps down`, true, (next) =>
          this.dispatch(next, nodeOf(next), { kind: 'resign' }),
        );
      }
      addStep(`${election.node} restarts`, true, (next) => {
        const restarted = nodeOf(next);
        for (const request of restarted.pending)
          if (request.kind === 'campaign' || request.kind === 'nameSuccessor')
            next.lateTransactions.push(request);
        restarted.election = this.#newElection(next, election.node);
        restarted.pending = [];
        this.dispatch(next, restarted, { kind: 'start' });
      });
    });
    state.lateTransactions.forEach((txn, at) =>
      addStep(`late ${txn.kind} of ${txn.record.node}`, false, (next) => {
        next.lateTransactions.splice(at, 1);
        this.#apply(next, txn);
      }),
    );
    for (const lease of state.store.leases)
      addStep(`lease ${lease} ends`, true, (next) => this.endLease(next, lease));
    return steps;
  }

  /** Checks the invariants that hold in every state. */
  check(state: ModelState): void {
    const termRevision = state.store.term?.modRevision ?? 0;
    const { leader, term } = state.store;
    if (leader !== null && leader.record.term !== term?.value)
      this.violations.push('the term of the leader record differs from the stored term');
    const writers = state.nodes.filter(({ election }) => election.held?.result.modRevision === termRevision);
    if (writers.length > 1) this.violations.push('the writes of two leaders would be applied');
    for (const { election } of writers) {
      const { result } = election.held as { result: { term: number } };
      if (result.term !== state.store.term?.value)
        this.violations.push('a leader writes under a term that is not its own');
    }
  }

  /**
   * Continues without faults, with every held or renewed lease kept: within 10 rounds exactly one node must lead
   * with all others following it, and it must still lead after 4 more rounds.
   */
  checkConvergence(from: ModelState): void {
    const state = copyState(from);
    const convergedLeader = (): string | null => {
      const leaders = state.nodes.filter(({ election }) => election.phase === 'leading');
      const [first] = leaders;
      if (leaders.length !== 1 || first === undefined) return null;
      const modRevision = state.store.leader?.modRevision;
      const allFollow = state.nodes.every(
        ({ election }) =>
          election === first.election ||
          (election.phase === 'following' && election.followedRevision === modRevision),
      );
      return allFollow && first.election.held?.namedSuccessor === null ? first.election.incarnation : null;
    };
    const runRound = (): void => {
      const renewed = new Set<number>();
      for (const node of state.nodes) {
        if (this.mutant === 'transfers leadership for ever' && node.election.phase === 'leading')
          this.dispatch(state, node, {
            kind: 'transferLeadership',
            to: NODES.find((name) => name !== node.election.node) as string,
          });
        // Fires each pending timer once, and then serves the other requests, at most 40, until none is left.
        for (let left = node.pending.length; left > 0; left -= 1) {
          const at = node.pending.findIndex(({ kind }) => kind === 'wait');
          if (at < 0) break;
          this.serve(state, node, at, false);
        }
        for (let steps = 0; steps < 40; steps += 1) {
          const at = node.pending.findIndex(
            (request) =>
              request.kind !== 'wait' &&
              !(request.kind === 'watchLeader' && request.after >= state.store.leaderChangedAt),
          );
          if (at < 0) break;
          const request = node.pending[at];
          if (request?.kind === 'renewLease') renewed.add(request.lease);
          this.serve(state, node, at, false);
        }
      }
      for (const lease of [...state.store.leases]) {
        const held = state.nodes.some(({ election }) => election.held?.lease === lease);
        if (!held && !renewed.has(lease)) this.endLease(state, lease);
      }
    };
    for (let i = 0; i < 10; i += 1) runRound();
    const leader = convergedLeader();
    if (leader === null)
      this.violations.push('no node leads with all others following, although no more faults occur');
    for (let i = 0; i < 4; i += 1) runRound();
    if (convergedLeader() !== leader)
      this.violations.push('leadership changes, although no more faults occur');
  }
}

/** The key of a state. States that differ only in the size of their revisions, terms and leases have the same key. */
function stateKey(state: ModelState): string {
  const { store } = state;
  const revisions = new Set<number>([
    0,
    store.leaderChangedAt,
    store.leader?.modRevision ?? 0,
    store.term?.modRevision ?? 0,
  ]);
  const terms = new Set<number>([store.term?.value ?? 0, store.leader?.record.term ?? 0]);
  const leases = new Set<number>(store.leases);
  const pending = [...state.nodes.flatMap((node) => node.pending), ...state.lateTransactions];
  for (const request of pending) {
    if ('after' in request) revisions.add(request.after);
    if ('leaderRevision' in request) revisions.add(request.leaderRevision).add(request.termRevision);
    if ('record' in request) terms.add(request.record.term);
    if ('lease' in request) leases.add(request.lease);
  }
  for (const { election } of state.nodes) {
    revisions.add(election.followedRevision).add(election.leaderRevision);
    if (election.held !== null) {
      revisions.add(election.held.leaderRevision).add(election.held.result.modRevision);
      terms.add(election.held.result.term);
      leases.add(election.held.lease);
    }
    if (election.campaign !== null) {
      revisions.add(election.campaign.termRevision);
      terms.add(election.campaign.term);
    }
  }
  const rank = (numbers: Set<number>): ((n: number) => number) => {
    const sorted = [...numbers].sort((a, b) => a - b);
    return (n) => sorted.indexOf(n);
  };
  const [modRevisionRank, termRank, leaseRank] = [rank(revisions), rank(terms), rank(leases)];
  const record = (leaderRecord: LeaderRecord): string =>
    `${leaderRecord.node}${leaderRecord.incarnation}${termRank(leaderRecord.term)}${leaderRecord.successor ?? ''}`;
  const transaction = (txn: Transaction): string =>
    `${txn.kind}${record(txn.record)}${leaseRank(txn.lease)},${modRevisionRank(txn.leaderRevision)},${modRevisionRank(txn.termRevision)}`;
  const serialized = JSON.stringify([
    state.faults,
    store.leader && [
      record(store.leader.record),
      modRevisionRank(store.leader.modRevision),
      leaseRank(store.leader.lease),
    ],
    store.term && [termRank(store.term.value), modRevisionRank(store.term.modRevision)],
    modRevisionRank(store.leaderChangedAt),
    store.leases.map(leaseRank),
    state.lateTransactions.map(transaction),
    state.nodes.map(({ election, pending }) => [
      election.incarnation,
      election.phase,
      election.hasDeferred,
      modRevisionRank(election.followedRevision),
      modRevisionRank(election.leaderRevision),
      election.lease === null ? null : leaseRank(election.lease),
      election.campaign && [
        termRank(election.campaign.term),
        modRevisionRank(election.campaign.termRevision),
      ],
      election.held && [
        leaseRank(election.held.lease),
        termRank(election.held.result.term),
        modRevisionRank(election.held.result.modRevision),
        election.held.namedSuccessor,
      ],
      pending.map((request) => [
        request.kind,
        // Which of the node's current rounds it is; -1 if the node no longer waits for it.
        'round' in request
          ? [election.round, election.renewalRound, election.leaderWatchRound].indexOf(request.round)
          : null,
        'after' in request ? modRevisionRank(request.after) : null,
        'lease' in request ? leaseRank(request.lease) : null,
        'record' in request ? transaction(request) : null,
      ]),
    ]),
  ]);
  return createHash('sha1').update(serialized).digest('base64');
}

export interface Bounds {
  /** Maximum number of steps from the start, of faults among these steps, and of states. */
  readonly depth: number;
  readonly faults: number;
  readonly states: number;
  /** Convergence without further faults is checked from every `settleEvery`-th state. */
  readonly convergenceCheckInterval: number;
}

/** Explores breadth-first from a state with a leader: the path to a violation is the shortest one. */
export function explore(bounds: Bounds, mutant: Mutant | null = null): ExplorationResult {
  const explorer = new Explorer(mutant);
  const first = explorer.start();
  // Serves all requests until one node is elected and the others follow it.
  for (let i = 0; i < 12; i += 1)
    for (const node of first.nodes) {
      const at = node.pending.findIndex(
        (request) =>
          request.kind !== 'wait' &&
          !(request.kind === 'watchLeader' && request.after >= first.store.leaderChangedAt),
      );
      if (at >= 0) explorer.serve(first, node, at, false);
    }
  const seen = new Map<string, readonly [string, string] | null>([[stateKey(first), null]]);
  let level: [string, ModelState][] = [[stateKey(first), first]];
  const pathTo = (key: string): string[] => {
    const path: string[] = [];
    for (let at = seen.get(key); at !== null && at !== undefined; at = seen.get(at[0])) path.unshift(at[1]);
    return path;
  };
  const checkState = (key: string, state: ModelState): ExplorationResult | null => {
    explorer.check(state);
    if (seen.size % bounds.convergenceCheckInterval === 0) explorer.checkConvergence(state);
    return explorer.violations.length === 0
      ? null
      : { states: seen.size, violations: explorer.violations, path: pathTo(key) };
  };
  for (let depth = 0; depth < bounds.depth && level.length > 0; depth += 1) {
    const nextLevel: [string, ModelState][] = [];
    for (const [from, state] of level) {
      for (const [description, after] of explorer.successors(state, bounds.faults)) {
        const key = stateKey(after);
        if (seen.has(key) && explorer.violations.length === 0) continue;
        seen.set(key, [from, description]);
        const found = checkState(key, after);
        if (found !== null) return found;
        if (seen.size >= bounds.states) return { states: seen.size, violations: [], path: [] };
        nextLevel.push([key, after]);
      }
    }
    level = nextLevel;
  }
  return { states: seen.size, violations: [], path: [] };
}
