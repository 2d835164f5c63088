/** What controllers see of one another, and tell. */
export type { HealthCounts } from '../core/model.js';

/** What became of the link that this node dials to another. */
export type LinkState =
  | 'up'
  /** It was up and broke. */
  | 'lost'
  /** The other host refuses it: nobody listens there, or something between does not let it through. */
  | 'refused'
  /** Nobody answers at all: a cut, or a host without power. */
  | 'silent';

export const LINK_STATES: readonly LinkState[] = ['up', 'lost', 'refused', 'silent'];

/** What one controller sees of another. */
export interface Observation {
  readonly node: string;
  /** Milliseconds since it was last heard. */
  readonly ageMs: number;
  readonly linkState: LinkState;
}

/** What knocks at the same few machines met, from one controller. */
export interface ProbeCounts {
  /** Which few: the leader counts its questions. */
  readonly round: number;
  readonly reachable: number;
  readonly unreachable: number;
}

/** The round a leader has asked for: at how many machines, when, and what its own knocks met. */
export interface ProbeRound extends ProbeCounts {
  readonly requested: number;
  readonly startedAt: number;
}

/** What a controller tells the others of itself and of what it sees. */
export interface MemberStatus {
  readonly node: string;
  /** Names a life of it; what a life before said is no word of this one. */
  readonly incarnation: string;
  readonly term: number;
  readonly isLeader: boolean;
  /** Milliseconds since the state service last answered it. */
  readonly storeContactAgeMs: number;
  /** How far behind its own timers are, in milliseconds. */
  readonly timerLagMs: number;
  readonly observations: readonly Observation[];
  /** Workers of the present leader that have come to it of late, sent by nobody. */
  readonly unexpectedReports: number;
  /** As a leader. */
  readonly reporting: number;
  readonly expected: number;
  /** As a leader: where the others are to knock, for this round. */
  readonly probeRequests: readonly string[];
  readonly probeRound: number;
  /** What its own knocks met in that round. */
  readonly reachable: number;
  readonly unreachable: number;
}
