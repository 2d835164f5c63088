/** Following: workers are sent to the leader, or answered for one that they cannot reach. */
import type { Common } from './common.js';
import type { Report } from '../core/types.js';
import type { Deputy } from './deputy.js';
import type { Peering } from './peering.js';
import { encodeRedirect, encodeReply } from '../wire/workers.js';

const MOST_REDIRECTED = 5000;

export class Following {
  /** When each worker was last sent to the leader, or answered in its place. */
  readonly #redirected = new Map<string, number>();

  constructor(
    private readonly common: Common,
    private readonly peering: Peering,
    private readonly deputy: Deputy,
  ) {}

  /** Sends a worker to the leader, or stands in for a leader that it cannot reach. */
  answer(report: Report, done: (status: number, body: string) => void): void {
    const leader =
      this.common.standing.leader === this.common.settings.host_name ? null : this.common.standing.leader;
    const now = this.common.ports.clock.mono();
    const reachable = leader !== null && this.peering.isReachable(leader);
    const sent = this.#redirected.get(report.machine);
    // It takes a worker some seconds to try a node that does not answer: back after so long, it
    // has tried the leader in vain, even if this node hears it; as have others of its zone if
    // the leader calls that quiet. It is answered once and then sent again: kept here until its
    // lease had passed by, it was silent to a leader that could hear it again, and given back alive.
    const inVain =
      sent === undefined
        ? this.peering.isQuiet(report.zone)
        : now - sent < this.common.timing.workerLease && now - sent > 1.5 * this.common.timing.longestReport;
    const token = this.common.standing.highestTerm;
    if (this.#redirected.size > MOST_REDIRECTED) this.#redirected.clear();
    if (leader === null || token === 0 || report.token > token || (reachable && !inVain)) {
      if (leader !== null && (sent === undefined || now - sent > 1.5 * this.common.timing.longestReport))
        this.#redirected.set(report.machine, now);
      done(421, encodeRedirect(leader));
      return;
    }
    this.#redirected.set(report.machine, now);
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
