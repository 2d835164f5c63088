/**
 * Where a follower sends the workers that come to it: always on to the leader while that may be
 * reached, and kept only on evidence that it is not, for as long as the evidence is fresh.
 */
import { MAX_TRACKED_MACHINES } from '../core/limits.js';
import type { Timing } from '../core/timing.js';

/** Where a worker's heartbeat is answered. */
export type WorkerRoute =
  /** To the leader. */
  | 'on'
  /** To the next controller: nobody here knows better. */
  | 'away'
  /** Answered here, in the leader's place. */
  | 'here';

/** What is known of the leader's reach. */
export interface LeaderReachability {
  /** The leader, if it is known and another node. */
  readonly leader: string | null;
  /** It has been heard of late. */
  readonly hasContact: boolean;
  /** Since when its link is lost or refused with no word of it; null: it is not so. */
  readonly linkLostAt: number | null;
  /** The state service has told of late that its record stands. */
  readonly isRecordConfirmed: boolean;
  /** The leader hears nobody of the worker's zone. */
  readonly isZoneSilent: boolean;
  /** Another controller than the leader is heard. */
  readonly hasOtherContact: boolean;
  /** Highest token known here. */
  readonly token: number;
}

/** Decides where a worker that reports to a follower goes, and remembers whom it has redirected. */
export class WorkerRouter {
  /** When workers were sent on; the oldest are forgotten first. */
  readonly #redirectedAt = new Map<string, number>();

  constructor(private readonly timing: Timing) {}

  #recordRedirect(machine: string, now: number): void {
    this.#redirectedAt.delete(machine);
    this.#redirectedAt.set(machine, now);
    for (const oldest of this.#redirectedAt.keys()) {
      if (this.#redirectedAt.size <= MAX_TRACKED_MACHINES) break;
      this.#redirectedAt.delete(oldest);
    }
  }

  /** Whether a worker with this token left its leader by itself, sent by nobody. */
  isUnexpected(machine: string, token: number, reach: LeaderReachability, now: number): boolean {
    const redirectedAt = this.#redirectedAt.get(machine);
    const { maxHeartbeatIntervalMs, workerLeaseMs } = this.timing;
    if (token === 0 || token !== reach.token) return false;
    return (
      redirectedAt === undefined ||
      now - redirectedAt > workerLeaseMs ||
      now - redirectedAt > 1.5 * maxHeartbeatIntervalMs
    );
  }

  route(machine: string, token: number, reach: LeaderReachability, now: number): WorkerRoute {
    const { maxHeartbeatIntervalMs, workerLeaseMs, leaderLeaseMs } = this.timing;
    const { leader, linkLostAt } = reach;
    if (leader === null || reach.token === 0 || token > reach.token) return 'away';
    const redirectedAt = this.#redirectedAt.get(machine);
    // It takes a worker some seconds to try a node that does not answer: back after so long, it
    // has tried the leader in vain, even if this node hears it; as have others of its zone if
    // the leader calls that silent. It is answered once and then redirected again: kept here
    // for longer, it would be silent to a leader that may reach it again, and be terminated alive.
    const inVain =
      redirectedAt === undefined
        ? reach.isZoneSilent
        : now - redirectedAt < workerLeaseMs && now - redirectedAt > 1.5 * maxHeartbeatIntervalMs;
    // Nobody listens there: it is followed within a moment, and the next controller may be its
    // successor already. Workers that are sent back would try a dead leader by turns. Where no
    // other controller is left, this node will lead: sent away, workers might come back too late for their lease.
    const falling = linkLostAt !== null && now - linkLostAt < leaderLeaseMs;
    if (falling && reach.hasOtherContact) return 'away';
    // Links that are refused between controllers say nothing of the workers' connections to the leader.
    const reachable = reach.hasContact || (linkLostAt !== null && reach.isRecordConfirmed);
    if (reachable && !inVain && !falling) {
      if (redirectedAt === undefined || now - redirectedAt > 1.5 * maxHeartbeatIntervalMs)
        this.#recordRedirect(machine, now);
      return 'on';
    }
    this.#recordRedirect(machine, now);
    return 'here';
  }
}
