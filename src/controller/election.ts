/** Carries out what the election machine asks for, and tells it what came of it. */
import type { KeyValueStore } from '../adapters/key-value-store.js';
import type { Clock } from '../adapters/clock.js';
import {
  decodeLeader,
  decodeTerm,
  LEADER_KEY,
  TERM_KEY,
  type LeaderRecord,
} from '../core/persistence/index.js';
import type { Transaction } from '../core/types.js';
import {
  electionStep,
  type ElectionEffect,
  type ElectionEvent,
  type ElectionState,
  type Kept,
  type Outcome,
  type Seen,
  type ElectionResult,
} from '../membership/election.js';

export interface ElectionEvents {
  elected(won: ElectionResult): void;
  /** Another node may lead. */
  lost(): void;
  leaderKnown(leader: LeaderRecord | null, modRevision: number): void;
}

export class Election {
  constructor(
    private readonly machine: ElectionState,
    private readonly state: KeyValueStore,
    private readonly clock: Clock,
    private readonly events: ElectionEvents,
    /** How long to wait before standing, as of now. */
    private readonly handicap: () => number,
  ) {}

  tell(event: ElectionEvent): void {
    this.machine.handicap = this.handicap();
    for (const effect of electionStep(this.machine, event)) void this.#carryOut(effect);
  }

  async #carryOut(effect: ElectionEffect): Promise<void> {
    switch (effect.kind) {
      case 'wait':
        await this.clock.sleep(effect.ms);
        this.tell({ kind: 'time', round: effect.round });
        break;
      case 'read':
        this.tell({ kind: 'read', round: effect.round, leader: await this.#seen() });
        break;
      case 'watch': {
        const found = await this.state.watch(LEADER_KEY, effect.after, effect.ms);
        this.tell({ kind: 'watched', round: effect.round, answered: found.kind !== 'unknown' });
        break;
      }
      case 'grant': {
        const [lease, term] = await Promise.all([
          this.state.grant(this.machine.timing.leaderLeaseMs),
          this.#term(),
        ]);
        this.tell({ kind: 'granted', round: effect.round, lease, term, now: this.clock.monotonicMs() });
        break;
      }
      case 'stand': {
        const { record, lease, leaderRevision, termRevision } = effect;
        const [outcome, revision] = await this.#commit({
          preconditions: [
            { key: LEADER_KEY, modRevision: leaderRevision },
            { key: TERM_KEY, modRevision: termRevision },
          ],
          mutations: [
            { put: LEADER_KEY, value: record, lease },
            { put: TERM_KEY, value: { term: record.term } },
          ],
        });
        this.tell({ kind: 'stood', round: effect.round, outcome, revision });
        break;
      }
      case 'check': {
        const [leader, term] = await Promise.all([this.#leader(), this.#term()]);
        this.tell({ kind: 'checked', round: effect.round, leader, term });
        break;
      }
      case 'renew':
        this.tell({ kind: 'renewed', round: effect.round, alive: await this.state.renew(effect.lease) });
        break;
      case 'revoke':
        await this.state.revoke(effect.lease);
        break;
      case 'name': {
        const { record, lease, leaderRevision, termRevision } = effect;
        const [outcome, revision] = await this.#commit({
          preconditions: [
            { key: LEADER_KEY, modRevision: leaderRevision },
            { key: TERM_KEY, modRevision: termRevision },
          ],
          mutations: [{ put: LEADER_KEY, value: record, lease }],
        });
        this.tell({ kind: 'named', round: effect.round, outcome, revision });
        break;
      }
      case 'elected':
        this.events.elected(effect.won);
        break;
      case 'lost':
        this.events.lost();
        break;
      case 'leaderKnown':
        this.events.leaderKnown(effect.leader, effect.modRevision);
        break;
    }
  }

  /** Listed, for only that tells the revision as of which it is true. */
  async #seen(): Promise<Seen | 'unknown'> {
    const found = await this.state.list(LEADER_KEY);
    if (found === 'unknown') return 'unknown';
    const entry = found.entries.find(({ key }) => key === LEADER_KEY);
    return {
      value: decodeLeader(entry?.value),
      modRevision: entry?.modRevision ?? 0,
      revision: found.revision,
    };
  }

  async #leader(): Promise<Kept<LeaderRecord> | 'unknown'> {
    const read = await this.state.read(LEADER_KEY);
    if (read === 'unknown') return 'unknown';
    return { value: decodeLeader(read.entry?.value), modRevision: read.entry?.modRevision ?? 0 };
  }

  async #term(): Promise<Kept<number> | 'unknown'> {
    const read = await this.state.read(TERM_KEY);
    if (read === 'unknown') return 'unknown';
    return { value: decodeTerm(read.entry?.value)?.term ?? null, modRevision: read.entry?.modRevision ?? 0 };
  }

  async #commit(txn: Transaction): Promise<[Outcome, number]> {
    const outcome = await this.state.commit(txn);
    if (outcome.kind === 'applied') return ['applied', outcome.revision];
    return [outcome.kind === 'unknown' ? 'unknown' : 'failed', 0];
  }
}
