/**
 * The leader's side of shared heartbeats: it answers what followers forward, tells them for which machines it has
 * commands, and decides which workers report to which follower.
 */
import type { Heartbeat } from '../core/types.js';
import {
  chooseRebalancing,
  chooseFollower,
  shouldShare,
  maxMoves,
  type Rebalancing,
  type FollowerLoad,
} from '../membership/heartbeat-sharing.js';
import type { ForwardedAnswer, IntakeMessage, HeartbeatsMessage } from '../wire/intake.js';
import { nameBytes, portionLength } from '../wire/portions.js';
import type { ControllerContext } from './context.js';

/** A controller that may take reports, as this one knows it. */
interface FollowerCandidate {
  readonly node: string;
  readonly zone: string;
}

/** What the leader's side needs of the node around it. */
export interface SharedHeartbeatsContext {
  /** Controllers that are heard and keep up. */
  candidates(): readonly FollowerCandidate[];
  /** Whether a follower has said that it takes reports for this leader now. */
  isAccepting(node: string): boolean;
  send(to: string, message: IntakeMessage): boolean;
  /** Hands a report to the core; the answer comes back once. */
  push(report: Heartbeat, ageMs: number, answer: (answer: Omit<ForwardedAnswer, 'reference'>) => void): void;
}

interface Outbox {
  number: number;
  answers: ForwardedAnswer[];
  attention: string[];
}

/** A message that was on its way for a larger share of a worker's lease does not renew it, and is ignored. */
const MAX_AGE_SHARE = 0.5;
/** Commands in one message, for its size is bounded. */
const MAX_COMMANDS_IN_MESSAGE = 500;

/** Shares the intake of heartbeats with followers, and balances their loads. */
export class SharedHeartbeats {
  #isSharing = false;
  #movesLeft = 0;
  #rebalancing: Rebalancing | null = null;
  /** Which follower a machine last reported to, and how many machines each follower has. */
  readonly #followerByMachine = new Map<string, string>();
  readonly #counts = new Map<string, number>();
  /** Steady time at which a machine was last sent to a follower. */
  readonly #redirectedAt = new Map<string, number>();
  #loads: FollowerLoad[] = [];
  readonly #outboxes = new Map<string, Outbox>();
  #isFlushScheduled = false;

  constructor(
    private readonly common: ControllerContext,
    private readonly context: SharedHeartbeatsContext,
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
    this.#followerByMachine.clear();
    this.#counts.clear();
    this.#redirectedAt.clear();
    this.#outboxes.clear();
    this.#loads = [];
    this.#rebalancing = null;
  }

  /** Takes in what a follower forwards. */
  receive(message: HeartbeatsMessage): void {
    const { leadership } = this.common.commands.state;
    const ageMs = Math.max(0, this.common.ports.clock.epochMs() - message.sentAt);
    if (leadership === null || message.term !== leadership.term) return;
    if (ageMs > MAX_AGE_SHARE * this.common.timing.workerLeaseMs) return;
    if (message.keepalives.length > 0) {
      for (const { machine } of message.keepalives) this.#assignFollower(machine, message.node);
      const heartbeats = message.keepalives.map((one) => ({ ...one, ageMs: one.ageMs + ageMs }));
      this.common.commands.push({ kind: 'keepalives', keepalives: heartbeats });
    }
    for (const { reference, heartbeat } of message.heartbeats) {
      this.#assignFollower(heartbeat.machine, message.node);
      this.context.push(heartbeat, ageMs, (answer) => this.#answer(message.node, { reference, ...answer }));
    }
  }

  /** A worker has reported to this node itself. */
  recordDirect(machine: string): void {
    this.#assignFollower(machine, null);
  }

  /** Keeps the counts with each change, so that a look at the loads costs nothing by the machine. */
  #assignFollower(machine: string, node: string | null): void {
    const before = this.#followerByMachine.get(machine) ?? null;
    if (before === node) return;
    if (before !== null) this.#counts.set(before, (this.#counts.get(before) ?? 1) - 1);
    if (node === null) this.#followerByMachine.delete(machine);
    else {
      this.#followerByMachine.set(machine, node);
      this.#counts.set(node, (this.#counts.get(node) ?? 0) + 1);
    }
  }

  /** Forgets machines that are gone: only once more are remembered than there are. */
  #forgetTerminated(): void {
    const { machines } = this.common.commands.state;
    if (this.#followerByMachine.size > machines.size)
      for (const machine of this.#followerByMachine.keys())
        if (!machines.has(machine)) this.#assignFollower(machine, null);
    if (this.#redirectedAt.size > machines.size)
      for (const machine of this.#redirectedAt.keys())
        if (!machines.has(machine)) this.#redirectedAt.delete(machine);
  }

  /** The follower that a worker is to report to from now on; null: this node answers it. */
  redirect(report: Heartbeat): string | null {
    if (!this.#isSharing || this.#movesLeft <= 0 || this.#loads.length === 0) return null;
    const { state } = this.common.commands;
    const machine = state.machines.get(report.machine);
    // What is on its way to or from the machine is settled here first.
    if (machine?.isReconciled !== true || report.token !== state.leadership?.term) return null;
    if (state.attention.has(machine) || report.tasks.some(({ stage }) => stage === 'exited')) return null;
    // One that has come back is kept: where it was sent it was not taken.
    const now = this.common.ports.clock.monotonicMs();
    if (now - (this.#redirectedAt.get(report.machine) ?? -Infinity) < this.common.timing.workerLeaseMs)
      return null;
    const node = chooseFollower(this.#loads, report.zone);
    if (node === null) return null;
    this.#redirectedAt.set(report.machine, now);
    this.#movesLeft -= 1;
    this.#loads = this.#loads.map((one) => (one.node === node ? { ...one, workers: one.workers + 1 } : one));
    return node;
  }

  /**
   * Machines to which there has come to be something to say: told at once to the follower that each reports to.
   * What a follower may answer by itself rests on the snapshots, which name them all.
   */
  announceAttention(machines: readonly string[]): void {
    if (!this.#isSharing) return;
    for (const machine of machines) {
      const home = this.#followerByMachine.get(machine);
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
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    this.common.ports.clock.defer(() => {
      this.#isFlushScheduled = false;
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
    content: {
      answers: ForwardedAnswer[];
      attention: readonly string[];
      snapshot?: number;
      redirect?: Rebalancing;
    },
  ): void {
    const { leadership } = this.common.commands.state;
    if (leadership === null) return;
    const { settings, ports } = this.common;
    outbox.number += 1;
    const { snapshot, redirect } = content;
    this.context.send(node, {
      kind: 'answers',
      node: settings.host_name,
      incarnation: ports.incarnation,
      term: leadership.term,
      sentAt: ports.clock.epochMs(),
      number: outbox.number,
      answers: content.answers,
      attention: content.attention,
      isSnapshot: snapshot !== undefined,
      isSharing: this.#isSharing,
      viewConfirmedAt: snapshot ?? 0,
      redirect: redirect === undefined ? null : { to: redirect.to, count: redirect.count },
    });
  }

  /** Looks at the loads, and tells each follower the whole of what it may answer by. */
  sendSnapshots(): void {
    const { state } = this.common.commands;
    const { leadership } = state;
    if (leadership === null) return;
    const nodes = this.#updateLoads();
    const { clock } = this.common.ports;
    const confirmedAt = clock.epochMs() - (clock.monotonicMs() - leadership.viewConfirmedAt);
    const attention = [...state.attention].map(({ name }) => name);
    const isTold = this.#isSharing && leadership.isTransferring !== true;
    for (const node of nodes) {
      const outbox = this.#outboxOf(node);
      // What is sent as a whole need not be sent in part as well.
      outbox.attention = [];
      const redirect = this.#rebalancing?.from === node ? this.#rebalancing : undefined;
      const content = { answers: this.#takeAnswers(outbox), attention: isTold ? attention : [] };
      this.#send(node, outbox, {
        ...content,
        // Without a proof nothing may be answered: the lead is handed over.
        snapshot: isTold ? confirmedAt : 0,
        ...(redirect === undefined ? {} : { redirect }),
      });
    }
  }

  /**
   * Whether reports are shared, among whom, and how many workers may be moved until the next look. The result:
   * whom to tell.
   */
  #updateLoads(): ReadonlySet<string> {
    const { machines, config } = this.common.commands.state;
    const candidates = this.context.candidates();
    const from = config.policy.sharedHeartbeatsMinMachines;
    const before = this.#isSharing;
    this.#isSharing = candidates.length > 0 && shouldShare(machines.size, from, before);
    if (this.#isSharing !== before)
      this.common.ports.log.info(
        { machines: machines.size, from, with: candidates.length },
        'heartbeat sharing changed',
      );
    this.#forgetTerminated();
    // A follower that has not taken this leader's word would send every worker back.
    const taking = this.#isSharing ? candidates.filter(({ node }) => this.context.isAccepting(node)) : [];
    this.#loads = taking.map(({ node, zone }) => ({ node, zone, workers: this.#counts.get(node) ?? 0 }));
    this.#movesLeft = maxMoves(machines.size);
    this.#rebalancing = this.#isSharing ? chooseRebalancing(this.#loads, this.#movesLeft) : null;
    // When it ends, those that were told of it are told so once.
    return new Set(this.#isSharing || before ? candidates.map(({ node }) => node) : []);
  }
}
