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

/** Receives the results of elections. */
export interface ElectionListener {
  onElected(won: ElectionResult): void;
  /** Another node may lead. */
  onLost(): void;
  onLeaderObserved(leader: LeaderRecord | null, modRevision: number): void;
}

/** The leader record and the term are still as they were read. */
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
    private readonly machine: ElectionState,
    private readonly state: KeyValueStore,
    private readonly clock: Clock,
    private readonly listener: ElectionListener,
    /** How long to wait before a campaign, in milliseconds, as of now. */
    private readonly campaignDelayMs: () => number,
  ) {}

  /** One event into the state machine; its effects are begun at once. */
  dispatch(event: ElectionEvent): void {
    this.machine.campaignDelayMs = this.campaignDelayMs();
    for (const effect of electionStep(this.machine, event)) void this.#execute(effect);
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
        const found = await this.state.watch(LEADER_KEY, effect.after, effect.ms);
        this.dispatch({ kind: 'leaderWatched', round: effect.round, answered: found.kind !== 'unknown' });
        break;
      }
      case 'grantLease': {
        const [lease, term] = await Promise.all([
          this.state.grant(this.machine.timing.leaderLeaseMs),
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
          alive: await this.state.renew(effect.lease),
        });
        break;
      case 'revokeLease':
        await this.state.revoke(effect.lease);
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

  /** Creates or replaces the leader record and raises the term, if nobody else has done so. */
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

  /** Names the successor in this leader's record, if the record is still this leader's. */
  async #nameSuccessor(effect: Extract<ElectionEffect, { kind: 'nameSuccessor' }>): Promise<void> {
    const { record, lease, round } = effect;
    const [outcome, revision] = await this.#commit({
      preconditions: leadershipPreconditions(effect),
      mutations: [{ put: LEADER_KEY, value: record, lease }],
    });
    this.dispatch({ kind: 'successorNamed', round, outcome, revision });
  }

  /** Lists the key: only a list tells the revision as of which it holds, where a watch may begin. */
  async #readLeaderListed(): Promise<LeaderKeyState | 'unknown'> {
    const found = await this.state.list(LEADER_KEY);
    if (found === 'unknown') return 'unknown';
    const entry = found.entries.find(({ key }) => key === LEADER_KEY);
    return {
      value: decodeLeader(entry?.value),
      modRevision: entry?.modRevision ?? 0,
      revision: found.revision,
    };
  }

  async #readLeader(): Promise<KeyState<LeaderRecord> | 'unknown'> {
    const read = await this.state.read(LEADER_KEY);
    if (read === 'unknown') return 'unknown';
    return { value: decodeLeader(read.entry?.value), modRevision: read.entry?.modRevision ?? 0 };
  }

  async #readTerm(): Promise<KeyState<number> | 'unknown'> {
    const read = await this.state.read(TERM_KEY);
    if (read === 'unknown') return 'unknown';
    return { value: decodeTerm(read.entry?.value)?.term ?? null, modRevision: read.entry?.modRevision ?? 0 };
  }

  async #commit(txn: Transaction): Promise<[TransactionOutcome, number]> {
    const outcome = await this.state.commit(txn);
    if (outcome.kind === 'applied') return ['applied', outcome.revision];
    return [outcome.kind === 'unknown' ? 'unknown' : 'failed', 0];
  }
}
