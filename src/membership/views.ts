/** What controllers see of one another, and tell. */
export type { HealthCounts as Hearing } from '../core/model.js';

/** What became of the link that this node dials to another. */
export type Link =
  | 'up'
  /** It was up and broke. */
  | 'lost'
  /** The other host refuses it: nobody listens there, or something between does not let it through. */
  | 'refused'
  /** Nobody answers at all: a cut, or a host without power. */
  | 'silent';

export const LINKS: readonly Link[] = ['up', 'lost', 'refused', 'silent'];

/** What one controller sees of another. */
export interface Sight {
  readonly node: string;
  /** Milliseconds since it was last heard. */
  readonly ageMs: number;
  readonly link: Link;
}

/** What knocks at the same few machines met, from one controller. */
export interface Knocks {
  /** Which few: the leader counts its questions. */
  readonly round: number;
  readonly met: number;
  readonly unmet: number;
}

/** The round a leader has asked for: at how many machines, when, and what its own knocks met. */
export interface Round extends Knocks {
  readonly asked: number;
  readonly at: number;
}

/** What a controller tells the others of itself and of what it sees. */
export interface View {
  readonly node: string;
  /** Names a life of it; what a life before said is no word of this one. */
  readonly incarnation: string;
  readonly term: number;
  readonly leading: boolean;
  /** Milliseconds since the state service last answered it. */
  readonly stateAgeMs: number;
  /** How far behind its own timers are, in milliseconds. */
  readonly lateMs: number;
  readonly sees: readonly Sight[];
  /** Workers of the present leader that have come to it of late, sent by nobody. */
  readonly strays: number;
  /** As a leader. */
  readonly heard: number;
  readonly expected: number;
  /** As a leader: where the others are to knock, for this round. */
  readonly asks: readonly string[];
  readonly round: number;
  /** What its own knocks met in that round. */
  readonly met: number;
  readonly unmet: number;
}
