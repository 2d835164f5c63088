/**
 * The leader's side of shared reports: it answers what followers forward, tells them for which machines it has
 * something to say, and says which workers report to whom.
 */
import type { Heartbeat, WorkerCommand } from '../core/types.js';
import {
  balance,
  chooseFollower,
  isSharedAt,
  movesAllowed,
  type Balance,
  type FollowerLoad,
} from '../membership/sharing.js';
import type { ForwardedAnswer, IntakeMessage, ReportsMessage } from '../wire/intake.js';
import { nameBytes, portionLength } from '../wire/portions.js';
import type { Common } from './common.js';

/** A controller that may take reports, as this one knows it. */
export interface FollowerCandidate {
  readonly node: string;
  readonly zone: string;
}

/** What the leader's side needs of the node around it. */
export interface SharedReportsContext {
  /** Controllers that are heard and keep up. */
  candidates(): readonly FollowerCandidate[];
  /** Whether a follower has said that it takes reports for this leader now. */
  isTaking(node: string): boolean;
  send(to: string, message: IntakeMessage): boolean;
  /** Hands a report to the core; the answer comes back once. */
  push(report: Heartbeat, ageMs: number, answer: (answer: Omit<ForwardedAnswer, 'reference'>) => void): void;
}

/** A reply of the core to a forwarded report. */
export interface CoreAnswer {
  readonly able: boolean;
  readonly pending: boolean;
  readonly commands: readonly WorkerCommand[];
}

interface Outbox {
  number: number;
  answers: ForwardedAnswer[];
  attention: string[];
}

/** What was on its way for a larger share of a worker's lease is no sign of life, and is passed over. */
const MAX_AGE_SHARE = 0.5;
/** Commands in one message, for its size is bounded. */
const MAX_COMMANDS_IN_MESSAGE = 500;

export class SharedReports {
  #isSharing = false;
  #movesLeft = 0;
  #balance: Balance | null = null;
  /** Which follower a machine last reported to, and how many machines each follower has. */
  readonly #homes = new Map<string, string>();
  readonly #counts = new Map<string, number>();
  /** Steady time at which a machine was last sent to a follower. */
  readonly #sentAt = new Map<string, number>();
  #loads: FollowerLoad[] = [];
  readonly #outboxes = new Map<string, Outbox>();
  #flushing = false;

  constructor(
    private readonly common: Common,
    private readonly context: SharedReportsContext,
  ) {}

  /** Workers by follower, for the status page. */
  describe(): object {
    return {
      sharing: this.#isSharing,
      workers: Object.fromEntries(this.#loads.map(({ node, workers }) => [node, workers])),
    };
  }

  /** Forgets everything: this node leads no more. */
  clear(): void {
    this.#isSharing = false;
    this.#homes.clear();
    this.#counts.clear();
    this.#sentAt.clear();
    this.#outboxes.clear();
    this.#loads = [];
    this.#balance = null;
  }

  /** Takes in what a follower forwards. */
  receive(message: ReportsMessage): void {
    const { leadership } = this.common.owner.state;
    const ageMs = Math.max(0, this.common.ports.clock.epochMs() - message.at);
    if (leadership === null || message.term !== leadership.term) return;
    if (ageMs > MAX_AGE_SHARE * this.common.timing.workerLeaseMs) return;
    if (message.heartbeats.length > 0) {
      for (const { machine } of message.heartbeats) this.#setHome(machine, message.node);
      const heartbeats = message.heartbeats.map((one) => ({ ...one, ageMs: one.ageMs + ageMs }));
      this.common.owner.push({ kind: 'keepalives', keepalives: heartbeats });
    }
    for (const { reference, report } of message.reports) {
      this.#setHome(report.machine, message.node);
      this.context.push(report, ageMs, (answer) => this.#answer(message.node, { reference, ...answer }));
    }
  }

  /** A worker has reported to this node itself. */
  noteDirect(machine: string): void {
    this.#setHome(machine, null);
  }

  /** Keeps the counts with each change, so that a look at the loads costs nothing by the machine. */
  #setHome(machine: string, node: string | null): void {
    const before = this.#homes.get(machine) ?? null;
    if (before === node) return;
    if (before !== null) this.#counts.set(before, (this.#counts.get(before) ?? 1) - 1);
    if (node === null) this.#homes.delete(machine);
    else {
      this.#homes.set(machine, node);
      this.#counts.set(node, (this.#counts.get(node) ?? 0) + 1);
    }
  }

  /** Forgets machines that are gone: only once more are remembered than there are. */
  #forgetGone(): void {
    const { machines } = this.common.owner.state;
    if (this.#homes.size > machines.size)
      for (const machine of this.#homes.keys()) if (!machines.has(machine)) this.#setHome(machine, null);
    if (this.#sentAt.size > machines.size)
      for (const machine of this.#sentAt.keys()) if (!machines.has(machine)) this.#sentAt.delete(machine);
  }

  /** The follower that a worker is to report to from now on; null: this node answers it. */
  redirect(report: Heartbeat): string | null {
    if (!this.#isSharing || this.#movesLeft <= 0 || this.#loads.length === 0) return null;
    const { state } = this.common.owner;
    const machine = state.machines.get(report.machine);
    // What is on its way to or from the machine is settled here first.
    if (machine?.isReconciled !== true || report.token !== state.leadership?.term) return null;
    if (state.attention.has(machine) || report.tasks.some(({ stage }) => stage === 'exited')) return null;
    // One that has come back is kept: where it was sent it was not taken.
    const now = this.common.ports.clock.monotonicMs();
    if (now - (this.#sentAt.get(report.machine) ?? -Infinity) < this.common.timing.workerLeaseMs) return null;
    const node = chooseFollower(this.#loads, report.zone);
    if (node === null) return null;
    this.#sentAt.set(report.machine, now);
    this.#movesLeft -= 1;
    this.#loads = this.#loads.map((one) => (one.node === node ? { ...one, workers: one.workers + 1 } : one));
    return node;
  }

  /**
   * Machines to which there has come to be something to say: told at once to the follower that each reports to.
   * What a follower may answer by itself rests on the snapshots, which name them all.
   */
  attend(machines: readonly string[]): void {
    if (!this.#isSharing) return;
    for (const machine of machines) {
      const home = this.#homes.get(machine);
      if (home !== undefined) this.#outboxOf(home).attention.push(machine);
    }
    this.#flushSoon();
  }

  #outboxOf(node: string): Outbox {
    const known = this.#outboxes.get(node);
    if (known !== undefined) return known;
    const outbox: Outbox = { number: 0, answers: [], attention: [] };
    this.#outboxes.set(node, outbox);
    return outbox;
  }

  #answer(node: string, answer: ForwardedAnswer): void {
    this.#outboxOf(node).answers.push(answer);
    this.#flushSoon();
  }

  #flushSoon(): void {
    if (this.#flushing) return;
    this.#flushing = true;
    this.common.ports.clock.defer(() => {
      this.#flushing = false;
      for (const [node, outbox] of this.#outboxes) this.#flush(node, outbox);
    });
  }

  #flush(node: string, outbox: Outbox): void {
    while (outbox.answers.length > 0 || outbox.attention.length > 0) {
      const attention = outbox.attention.splice(0, portionLength(outbox.attention, nameBytes));
      this.#send(node, outbox, { answers: this.#takeAnswers(outbox), attention });
    }
  }

  #takeAnswers({ answers }: Outbox): ForwardedAnswer[] {
    let commands = 0;
    let count = 0;
    for (const answer of answers) {
      commands += 1 + answer.commands.length;
      if (count > 0 && commands > MAX_COMMANDS_IN_MESSAGE) break;
      count += 1;
    }
    return answers.splice(0, count);
  }

  #send(
    node: string,
    outbox: Outbox,
    content: { answers: ForwardedAnswer[]; attention: readonly string[]; snapshot?: number; shed?: Balance },
  ): void {
    const { leadership } = this.common.owner.state;
    if (leadership === null) return;
    const { settings, ports } = this.common;
    outbox.number += 1;
    const { snapshot, shed } = content;
    this.context.send(node, {
      kind: 'answers',
      node: settings.host_name,
      incarnation: ports.incarnation,
      term: leadership.term,
      at: ports.clock.epochMs(),
      number: outbox.number,
      answers: content.answers,
      attention: content.attention,
      isSnapshot: snapshot !== undefined,
      isSharing: this.#isSharing,
      provenAt: snapshot ?? 0,
      shed: shed === undefined ? null : { to: shed.to, count: shed.count },
    });
  }

  /** Looks at the loads, and tells each follower the whole of what it may answer by. */
  tell(): void {
    const { state } = this.common.owner;
    const { leadership } = state;
    if (leadership === null) return;
    const nodes = this.#look();
    const { clock } = this.common.ports;
    const provenAt = clock.epochMs() - (clock.monotonicMs() - leadership.viewConfirmedAt);
    const attention = [...state.attention].map(({ name }) => name);
    const isTold = this.#isSharing && leadership.isTransferring !== true;
    for (const node of nodes) {
      const outbox = this.#outboxOf(node);
      // What is sent as a whole need not be sent in part as well.
      outbox.attention = [];
      const shed = this.#balance?.from === node ? this.#balance : undefined;
      const content = { answers: this.#takeAnswers(outbox), attention: isTold ? attention : [] };
      this.#send(node, outbox, {
        ...content,
        // Without a proof nothing may be answered: the lead is handed over.
        snapshot: isTold ? provenAt : 0,
        ...(shed === undefined ? {} : { shed }),
      });
    }
  }

  /**
   * Whether reports are shared, among whom, and how many workers may be moved until the next look. The result:
   * whom to tell.
   */
  #look(): ReadonlySet<string> {
    const { machines, config } = this.common.owner.state;
    const candidates = this.context.candidates();
    const from = config.policy.sharedHeartbeatsMinMachines;
    const before = this.#isSharing;
    this.#isSharing = candidates.length > 0 && isSharedAt(machines.size, from, before);
    if (this.#isSharing !== before)
      this.common.ports.log.info(
        { machines: machines.size, from, with: candidates.length },
        'sharing of reports',
      );
    this.#forgetGone();
    // A follower that has not taken this leader's word would send every worker back.
    const taking = this.#isSharing ? candidates.filter(({ node }) => this.context.isTaking(node)) : [];
    this.#loads = taking.map(({ node, zone }) => ({ node, zone, workers: this.#counts.get(node) ?? 0 }));
    this.#movesLeft = movesAllowed(machines.size);
    this.#balance = this.#isSharing ? balance(this.#loads, this.#movesLeft) : null;
    // When it ends, those that were told of it are told so once.
    return new Set(this.#isSharing || before ? candidates.map(({ node }) => node) : []);
  }
}
