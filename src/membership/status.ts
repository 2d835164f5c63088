/** The status that controllers exchange: what each observes of the others, and the outcome of probes. */
export type { HealthCounts } from '../core/model.js';

/** The state of the connection that this node opens to another. */
export type LinkState =
  | 'up'
  /** It was up and broke. */
  | 'lost'
  /** The other host refuses it: nobody listens there, or something between does not let it through. */
  | 'refused'
  /** Nobody answers at all: a cut, or a host without power. */
  | 'silent';

/** All link states, in the order of their numbers on the wire. */
export const LINK_STATES: readonly LinkState[] = ['up', 'lost', 'refused', 'silent'];

/** What one controller observes of another. */
export interface Observation {
  readonly node: string;
  /** Milliseconds since its last status. */
  readonly ageMs: number;
  readonly linkState: LinkState;
}

/** The outcome of one controller's probes of a sample of machines. */
interface ProbeCounts {
  /** The number of the leader's probe round; each has a sample of its own. */
  readonly round: number;
  readonly reachable: number;
  readonly unreachable: number;
}

/** A probe round: how many machines are probed, since which steady time (ms), and this node's own outcome. */
export interface ProbeRound extends ProbeCounts {
  readonly requested: number;
  readonly startedAt: number;
}

/** What a controller tells the others of itself and of what it sees. */
export interface MemberStatus {
  readonly node: string;
  /** Unique to one run of the process; messages of an earlier incarnation are void. */
  readonly incarnation: string;
  readonly term: number;
  readonly isLeader: boolean;
  /** Milliseconds since the state service last answered it. */
  readonly storeContactAgeMs: number;
  /** How far behind its own timers are, in milliseconds. */
  readonly timerLagMs: number;
  readonly observations: readonly Observation[];
  /** Workers of the present leader that have recently reported to it without having been redirected. */
  readonly unexpectedReports: number;
  /** As a leader: machines that report, and that should. */
  readonly reporting: number;
  readonly expected: number;
  /** As a leader: addresses of the machines that the others are to probe in this round. */
  readonly probeRequests: readonly string[];
  readonly probeRound: number;
  /** How many machines its own probes have reached, and have not, in that round. */
  readonly reachable: number;
  readonly unreachable: number;
}
