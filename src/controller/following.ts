/** Following: workers are sent to the leader, or answered for one that they cannot reach. */
import type { Heartbeat } from '../core/types.js';
import { WorkerRouter, type LeaderReachability } from '../membership/worker-router.js';
import { encodeRedirect, encodeReply } from '../wire/workers.js';
import { stateAgeMs, type Common } from './common.js';
import type { Deputy } from './deputy.js';
import type { Observing } from './observing.js';
import type { Peering } from './peering.js';

export class Following {
  readonly #routing: WorkerRouter;

  constructor(
    private readonly common: Common,
    private readonly peering: Peering,
    private readonly observing: Observing,
    private readonly deputy: Deputy,
    /** Whether a worker has reported here for a leader that shares its reports; it does so no more. */
    private readonly leaveHome: (machine: string) => boolean,
  ) {
    this.#routing = new WorkerRouter(common.timing);
  }

  #reach(zone: string): LeaderReachability {
    const { standing, settings, timing, ports } = this.common;
    const { membership } = this.observing;
    const leader = standing.leader === settings.host_name ? null : standing.leader;
    return {
      leader,
      hasContact: leader !== null && membership.hasContact(leader, ports.clock.monotonicMs()),
      linkLostAt: leader === null ? null : membership.linkLostAt(leader),
      isRecordConfirmed: stateAgeMs(this.common) < timing.leaderLeaseMs,
      isZoneSilent: this.peering.isQuiet(zone),
      hasOtherContact: membership.hasOtherContact(leader, ports.clock.monotonicMs()),
      token: standing.highestTerm,
    };
  }

  /** Sends a worker to the leader, or stands in for a leader that it cannot reach. */
  answer(report: Heartbeat, done: (status: number, body: string) => void): void {
    const now = this.common.ports.clock.monotonicMs();
    const reach = this.#reach(report.zone);
    // One that reported here has left no leader by coming here again; it has if it comes back from there.
    if (
      !this.leaveHome(report.machine) &&
      this.#routing.isUnexpected(report.machine, report.token, reach, now)
    )
      this.observing.strayed(report.machine);
    const route = this.#routing.route(report.machine, report.token, reach, now);
    if (route !== 'here') {
      done(421, encodeRedirect(route === 'on' ? reach.leader : null));
      return;
    }
    this.answerAlone(report, done);
  }

  /** Answers a worker in the leader's place, by what is known here of the live jobs. */
  answerAlone(report: Heartbeat, done: (status: number, body: string) => void): void {
    const token = this.common.standing.highestTerm;
    void this.deputy.answer(report).then((commands) => {
      if (
        commands === null ||
        this.common.owner.state.leadership !== null ||
        token !== this.common.standing.highestTerm
      )
        done(503, '{}');
      else done(200, encodeReply(token, commands));
    });
  }
}
