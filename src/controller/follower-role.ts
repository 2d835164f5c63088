/** The follower's role: redirects workers to the leader, or answers them in place of a leader that they cannot reach. */
import type { Heartbeat } from '../core/types.js';
import { WorkerRouter, type LeaderReachability } from '../membership/worker-router.js';
import { encodeRedirect, encodeReply } from '../wire/workers.js';
import { storeContactAgeMs, type ControllerContext } from './context.js';
import type { FallbackResponder } from './fallback-responder.js';
import type { FailureDetector } from './failure-detector.js';
import type { PeerExchange } from './peer-exchange.js';

/** Answers or redirects the workers that send heartbeats to a follower. */
export class FollowerRole {
  readonly #router: WorkerRouter;

  constructor(
    private readonly context: ControllerContext,
    private readonly peers: PeerExchange,
    private readonly failureDetector: FailureDetector,
    private readonly responder: FallbackResponder,
    /** Forgets a worker whose heartbeats were accepted for the leader; returns whether it sent one within its lease. */
    private readonly forgetWorker: (machine: string) => boolean,
  ) {
    this.#router = new WorkerRouter(context.timing);
  }

  #leaderReachability(zone: string): LeaderReachability {
    const { leadershipView, settings, timing, ports } = this.context;
    const { membership } = this.failureDetector;
    const leader = leadershipView.leader === settings.host_name ? null : leadershipView.leader;
    return {
      leader,
      hasContact: leader !== null && membership.hasContact(leader, ports.clock.monotonicMs()),
      linkLostAt: leader === null ? null : membership.linkLostAt(leader),
      isRecordConfirmed: storeContactAgeMs(this.context) < timing.leaderLeaseMs,
      isZoneSilent: this.peers.isZoneSilent(zone),
      hasOtherContact: membership.hasOtherContact(leader, ports.clock.monotonicMs()),
      token: leadershipView.highestTerm,
    };
  }

  /** Redirects a worker to the leader, or answers it for a leader that it cannot reach. */
  answer(heartbeat: Heartbeat, done: (status: number, body: string) => void): void {
    const now = this.context.ports.clock.monotonicMs();
    const reachability = this.#leaderReachability(heartbeat.zone);
    // A worker whose heartbeats were accepted here for the leader has not left the leader by sending another one. It
    // has left it if it is now redirected to the leader and comes back.
    if (
      !this.forgetWorker(heartbeat.machine) &&
      this.#router.isUnexpected(heartbeat.machine, heartbeat.token, reachability, now)
    )
      this.failureDetector.recordUnexpectedReport(heartbeat.machine);
    const route = this.#router.route(heartbeat.machine, heartbeat.token, reachability, now);
    if (route !== 'self') {
      done(421, encodeRedirect(route === 'leader' ? reachability.leader : null));
      return;
    }
    this.answerWithoutLeader(heartbeat, done);
  }

  /** Answers a worker in the leader's place, based on the live jobs that this node knows. */
  answerWithoutLeader(heartbeat: Heartbeat, done: (status: number, body: string) => void): void {
    const token = this.context.leadershipView.highestTerm;
    void this.responder.answer(heartbeat).then((commands) => {
      if (
        commands === null ||
        this.context.commands.state.leadership !== null ||
        token !== this.context.leadershipView.highestTerm
      )
        done(503, '{}');
      else done(200, encodeReply(token, commands));
    });
  }
}
