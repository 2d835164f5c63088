/** The follower's role: workers are redirected to the leader, or answered for one that they cannot reach. */
import type { Heartbeat } from '../core/types.js';
import { WorkerRouter, type LeaderReachability } from '../membership/worker-router.js';
import { encodeRedirect, encodeReply } from '../wire/workers.js';
import { storeContactAgeMs, type ControllerContext } from './context.js';
import type { FallbackResponder } from './fallback-responder.js';
import type { FailureDetector } from './failure-detector.js';
import type { PeerExchange } from './peer-exchange.js';

/** Answers or redirects the workers that report to a follower. */
export class FollowerRole {
  readonly #router: WorkerRouter;

  constructor(
    private readonly common: ControllerContext,
    private readonly peers: PeerExchange,
    private readonly failureDetector: FailureDetector,
    private readonly responder: FallbackResponder,
    /** Whether a worker has reported here for a leader that shares its reports; it does so no more. */
    private readonly forgetWorker: (machine: string) => boolean,
  ) {
    this.#router = new WorkerRouter(common.timing);
  }

  #leaderReachability(zone: string): LeaderReachability {
    const { leadershipView, settings, timing, ports } = this.common;
    const { membership } = this.failureDetector;
    const leader = leadershipView.leader === settings.host_name ? null : leadershipView.leader;
    return {
      leader,
      hasContact: leader !== null && membership.hasContact(leader, ports.clock.monotonicMs()),
      linkLostAt: leader === null ? null : membership.linkLostAt(leader),
      isRecordConfirmed: storeContactAgeMs(this.common) < timing.leaderLeaseMs,
      isZoneSilent: this.peers.isZoneSilent(zone),
      hasOtherContact: membership.hasOtherContact(leader, ports.clock.monotonicMs()),
      token: leadershipView.highestTerm,
    };
  }

  /** Redirects a worker to the leader, or answers it for a leader that it cannot reach. */
  answer(report: Heartbeat, done: (status: number, body: string) => void): void {
    const now = this.common.ports.clock.monotonicMs();
    const reach = this.#leaderReachability(report.zone);
    // One that reported here has left no leader by coming here again; it has if it comes back from there.
    if (
      !this.forgetWorker(report.machine) &&
      this.#router.isUnexpected(report.machine, report.token, reach, now)
    )
      this.failureDetector.recordUnexpectedReport(report.machine);
    const route = this.#router.route(report.machine, report.token, reach, now);
    if (route !== 'here') {
      done(421, encodeRedirect(route === 'on' ? reach.leader : null));
      return;
    }
    this.answerWithoutLeader(report, done);
  }

  /** Answers a worker in the leader's place, by what is known here of the live jobs. */
  answerWithoutLeader(report: Heartbeat, done: (status: number, body: string) => void): void {
    const token = this.common.leadershipView.highestTerm;
    void this.responder.answer(report).then((commands) => {
      if (
        commands === null ||
        this.common.commands.state.leadership !== null ||
        token !== this.common.leadershipView.highestTerm
      )
        done(503, '{}');
      else done(200, encodeReply(token, commands));
    });
  }
}
