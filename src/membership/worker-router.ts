/**
 * Decides where a follower directs the workers that send it heartbeats: to the leader as long as the leader may be
 * reachable. The follower answers a worker itself only on evidence that the leader is not reachable, and only
 * while that evidence is fresh.
 */
import { MAX_TRACKED_MACHINES } from '../core/limits.js';
import type { Timing } from '../core/timing.js';

/** Where a worker's heartbeat is answered. */
export type WorkerRoute =
  /** Redirected to the leader. */
  | 'leader'
  /** Redirected without a target: the worker tries the next controller. */
  | 'nextController'
  /** Answered by this follower, in the leader's place. */
  | 'self';

/** What this follower knows about whether the leader is reachable. */
export interface LeaderReachability {
  /** The leader; null: it is unknown, or this node itself. */
  readonly leader: string | null;
  /** Whether a status of the leader has arrived within the longest heartbeat interval. */
  readonly hasContact: boolean;
  /** Monotonic time (ms) at which the link to the leader was lost or refused; null: it was not, or has recovered. */
  readonly linkLostAt: number | null;
  /** Whether the key-value store has answered recently, so that the leader record is known to be still valid. */
  readonly isRecordConfirmed: boolean;
  /** Whether the leader receives no heartbeats from the worker's zone. */
  readonly isZoneSilent: boolean;
  /** Whether there is contact with a controller other than the leader. */
  readonly hasOtherContact: boolean;
  /** Highest fencing token known to this node. */
  readonly token: number;
}

/** Decides where a follower sends a worker, and remembers which workers were redirected. */
export class WorkerRouter {
  /**
   * Monotonic time (ms) at which each worker was redirected to the leader or answered here; the oldest is dropped
   * first.
   */
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

  /**
   * Whether a worker with the current leader's token has come here on its own: this node has neither redirected it to
   * the leader nor answered it recently.
   */
  isUnexpected(machine: string, token: number, reachability: LeaderReachability, now: number): boolean {
    const redirectedAt = this.#redirectedAt.get(machine);
    const { maxHeartbeatIntervalMs, workerLeaseMs } = this.timing;
    if (token === 0 || token !== reachability.token) return false;
    return (
      redirectedAt === undefined ||
      now - redirectedAt > workerLeaseMs ||
      now - redirectedAt > 1.5 * maxHeartbeatIntervalMs
    );
  }

  route(machine: string, token: number, reachability: LeaderReachability, now: number): WorkerRoute {
    const { maxHeartbeatIntervalMs, workerLeaseMs, leaderLeaseMs } = this.timing;
    const { leader, linkLostAt } = reachability;
    if (leader === null || reachability.token === 0 || token > reachability.token) return 'nextController';
    const redirectedAt = this.#redirectedAt.get(machine);
    // A worker needs some seconds to try a node that does not answer. One that comes back so long after its
    // redirect has failed to reach the leader, even if this node has contact with the leader. Without a redirect,
    // the same is assumed of a worker whose zone is silent to the leader. Such a worker is answered once and then
    // redirected again: if it stayed here for longer, a leader that has become reachable again would get no
    // heartbeats from it and would terminate a machine that is alive.
    const hasFailedToReachLeader =
      redirectedAt === undefined
        ? reachability.isZoneSilent
        : now - redirectedAt < workerLeaseMs && now - redirectedAt > 1.5 * maxHeartbeatIntervalMs;
    // The link was lost or refused recently: the leader has probably crashed and is replaced soon, and the next
    // controller may already be its successor. Workers that are redirected to the crashed leader would alternate
    // between it and the followers. If no other controller is left, this node will lead: workers that are sent away
    // might come back only after their lease has expired.
    const isLinkLostRecently = linkLostAt !== null && now - linkLostAt < leaderLeaseMs;
    if (isLinkLostRecently && reachability.hasOtherContact) return 'nextController';
    // Refused links between controllers say nothing about the workers' connections to the leader.
    const isReachable = reachability.hasContact || (linkLostAt !== null && reachability.isRecordConfirmed);
    if (isReachable && !hasFailedToReachLeader && !isLinkLostRecently) {
      if (redirectedAt === undefined || now - redirectedAt > 1.5 * maxHeartbeatIntervalMs)
        this.#recordRedirect(machine, now);
      return 'leader';
    }
    this.#recordRedirect(machine, now);
    return 'self';
  }
}
