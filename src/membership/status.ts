/** The status that controllers exchange: what each observes of the others, and the outcome of probes. */
export type { HealthCounts } from '../core/model.js';

/** The state of the connection that this node opens to another. */
export type LinkState =
  | 'up'
  /** It was up and broke. */
  | 'lost'
  /** The connection is refused: no process listens on the other host, or a packet filter in between rejects it. */
  | 'refused'
  /** No answer at all: a network partition, or a host that is down. */
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

/** A probe round: how many machines are probed, since which monotonic time (ms), and this node's own outcome. */
export interface ProbeRound extends ProbeCounts {
  readonly requested: number;
  readonly startedAt: number;
}

/** The status that a controller sends the others: about itself, and what it observes. */
export interface MemberStatus {
  readonly node: string;
  /** Unique to one run of the process; messages of an earlier incarnation are ignored. */
  readonly incarnation: string;
  readonly term: number;
  readonly isLeader: boolean;
  /** Milliseconds since the key-value store last answered it. */
  readonly storeContactAgeMs: number;
  /** How late its timers fire, in milliseconds. */
  readonly timerLagMs: number;
  readonly observations: readonly Observation[];
  /** Number of the current leader's workers that recently sent this controller a heartbeat without a redirect. */
  readonly unexpectedReports: number;
  /** As a leader: the number of machines that send heartbeats, and of those that are expected to. */
  readonly reporting: number;
  readonly expected: number;
  /** As a leader: addresses of the machines that the others should probe in this round. */
  readonly probeRequests: readonly string[];
  readonly probeRound: number;
  /** Number of machines that its own probes reached, and failed to reach, in that round. */
  readonly reachable: number;
  readonly unreachable: number;
}
