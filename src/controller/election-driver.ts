/** Drives the election's state machine: it carries out the effects and feeds their outcomes back as events. */
import type { KeyValueStore } from '../adapters/key-value-store.js';
import type { Clock } from '../adapters/clock.js';
import {
  decodeLeader,
  decodeTerm,
  LEADER_KEY,
  TERM_KEY,
  type LeaderRecord,
} from '../core/persistence/index.js';
import type { Precondition, Transaction } from '../core/types.js';
import {
  electionStep,
  type ElectionEffect,
  type ElectionEvent,
  type ElectionState,
  type KeyState,
  type TransactionOutcome,
  type LeaderKeyState,
  type ElectionResult,
} from '../membership/election.js';

/** A term, and the node that was elected for it. */
export interface ElectedLeader {
  readonly term: number;
  readonly node: string;
}

/** Receives the results of elections. */
export interface ElectionListener {
  onElected(result: ElectionResult): void;
  /** Another node may lead. */
  onLost(): void;
  onLeaderObserved(leader: LeaderRecord | null, modRevision: number): void;
}

/** Preconditions that the leader record and the term are unchanged since they were read. */
const leadershipPreconditions = ({
  leaderRevision,
  termRevision,
}: {
  readonly leaderRevision: number;
  readonly termRevision: number;
}): Precondition[] => [
  { key: LEADER_KEY, modRevision: leaderRevision },
  { key: TERM_KEY, modRevision: termRevision },
];

/** Connects the election's state machine with the store and the clock. */
export class ElectionDriver {
  constructor(
    private readonly election: ElectionState,
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly listener: ElectionListener,
    /** The current delay before a campaign, in milliseconds. */
    private readonly campaignDelayMs: () => number,
  ) {}

  /** Passes an event to the state machine, and starts the resulting effects without waiting for their outcomes. */
  dispatch(event: ElectionEvent): void {
    this.election.campaignDelayMs = this.campaignDelayMs();
    for (const effect of electionStep(this.election, event)) void this.#execute(effect);
  }

  async #execute(effect: ElectionEffect): Promise<void> {
    switch (effect.kind) {
      case 'wait':
        await this.clock.sleep(effect.ms);
        this.dispatch({ kind: 'timerFired', round: effect.round });
        break;
      case 'readLeader':
        this.dispatch({ kind: 'leaderRead', round: effect.round, leader: await this.#readLeaderListed() });
        break;
      case 'watchLeader': {
        const found = await this.store.watch(LEADER_KEY, effect.after, effect.ms);
        this.dispatch({ kind: 'leaderWatched', round: effect.round, answered: found.kind !== 'unknown' });
        break;
      }
      case 'grantLease': {
        const [lease, term] = await Promise.all([
          this.store.grant(this.election.timing.leaderLeaseMs),
          this.#readTerm(),
        ]);
        this.dispatch({
          kind: 'leaseGranted',
          round: effect.round,
          lease,
          term,
          now: this.clock.monotonicMs(),
        });
        break;
      }
      case 'campaign':
        await this.#campaign(effect);
        break;
      case 'verifyCampaign': {
        const [leader, term] = await Promise.all([this.#readLeader(), this.#readTerm()]);
        this.dispatch({ kind: 'campaignVerified', round: effect.round, leader, term });
        break;
      }
      case 'renewLease':
        this.dispatch({
          kind: 'leaseRenewed',
          round: effect.round,
          alive: await this.store.renew(effect.lease),
        });
        break;
      case 'revokeLease':
        await this.store.revoke(effect.lease);
        break;
      case 'nameSuccessor':
        await this.#nameSuccessor(effect);
        break;
      case 'elected':
        this.listener.onElected(effect.result);
        break;
      case 'lost':
        this.listener.onLost();
        break;
      case 'leaderObserved':
        this.listener.onLeaderObserved(effect.leader, effect.modRevision);
        break;
    }
  }

  /** Creates or replaces the leader record and raises the term, unless either has changed since it was read. */
  async #campaign(effect: Extract<ElectionEffect, { kind: 'campaign' }>): Promise<void> {
    const { record, lease, round } = effect;
    const [outcome, revision] = await this.#commit({
      preconditions: leadershipPreconditions(effect),
      mutations: [
        { put: LEADER_KEY, value: record, lease },
        { put: TERM_KEY, value: { term: record.term } },
      ],
    });
    this.dispatch({ kind: 'campaigned', round, outcome, revision });
  }

  /** Names the successor in this leader's record, unless the record or the term has changed. */
  async #nameSuccessor(effect: Extract<ElectionEffect, { kind: 'nameSuccessor' }>): Promise<void> {
    const { record, lease, round } = effect;
    const [outcome, revision] = await this.#commit({
      preconditions: leadershipPreconditions(effect),
      mutations: [{ put: LEADER_KEY, value: record, lease }],
    });
    this.dispatch({ kind: 'successorNamed', round, outcome, revision });
  }

  /** Reads the leader record by a list request: only that returns the store's revision, from which a watch can start. */
  async #readLeaderListed(): Promise<LeaderKeyState | 'unknown'> {
    const found = await this.store.list(LEADER_KEY);
    if (found === 'unknown') return 'unknown';
    const entry = found.entries.find(({ key }) => key === LEADER_KEY);
    return {
      value: decodeLeader(entry?.value),
      modRevision: entry?.modRevision ?? 0,
      revision: found.revision,
    };
  }

  async #readLeader(): Promise<KeyState<LeaderRecord> | 'unknown'> {
    const read = await this.store.read(LEADER_KEY);
    if (read === 'unknown') return 'unknown';
    return { value: decodeLeader(read.entry?.value), modRevision: read.entry?.modRevision ?? 0 };
  }

  /** Reads the latest term and its elected node; null: the store did not answer, or the leader record is gone. */
  async readElectedLeader(): Promise<ElectedLeader | null> {
    const [term, leader] = await Promise.all([this.#readTerm(), this.#readLeader()]);
    if (term === 'unknown' || leader === 'unknown' || leader.value === null) return null;
    return leader.value.term === term.value ? { term: term.value, node: leader.value.node } : null;
  }

  async #readTerm(): Promise<KeyState<number> | 'unknown'> {
    const read = await this.store.read(TERM_KEY);
    if (read === 'unknown') return 'unknown';
    return { value: decodeTerm(read.entry?.value)?.term ?? null, modRevision: read.entry?.modRevision ?? 0 };
  }

  async #commit(transaction: Transaction): Promise<[TransactionOutcome, number]> {
    const outcome = await this.store.commit(transaction);
    if (outcome.kind === 'applied') return ['applied', outcome.revision];
    return [outcome.kind === 'unknown' ? 'unknown' : 'failed', 0];
  }
}
