/**
 * Which evidence allows what. Suspicion takes any one row and does only what can be taken back; a
 * verdict takes every row of its list. docs/suspicion.md tells what each row guards against, and
 * test/membership.test.ts takes each out once.
 */
import type { Timing } from '../core/timing.js';
import type { Gaps } from './accrual.js';
import type { Hearing, Link, Round, View } from './views.js';

export interface Peer {
  readonly node: string;
  view: View | null;
  heardAt: number | null;
  /** Since when this life of it has been heard without a gap. */
  since: number;
  readonly gaps: Gaps;
  link: Link;
  linkAt: number;
  /** When it was last lost or refused after being up or heard, and refusals since. */
  lostAt: number | null;
  refusals: number;
  /** Incarnations that another has followed, latest last. */
  readonly formerLives: string[];
}

/** What is known of this node itself. */
export interface Own {
  readonly stateAgeMs: number;
  readonly lateMs: number;
  /** Since when it has been behind without a break; null: it keeps up. */
  readonly behindSince: number | null;
  /** Steady time from which it leads. */
  readonly ledFrom: number;
  /** It computes far slower than it usually does. */
  readonly isSlow: boolean;
  /** It stood still, and has not caught up yet with what lay in its queues. */
  readonly doubtsItself: boolean;
  readonly strays: number;
  /** As a leader. */
  readonly hearing: Hearing | null;
  readonly knocks: Round;
  /** Machines that it knows of. */
  readonly machines: number;
}

export interface Scene {
  readonly now: number;
  readonly timing: Timing;
  readonly own: Own;
  /** The controllers that are heard, without the one in question. */
  readonly witnesses: readonly Peer[];
}

export interface Row {
  readonly name: string;
  readonly holds: (peer: Peer, scene: Scene) => boolean;
}

/** One silence in a thousand is as long. */
const UNUSUAL = 3;
/** So many refusals in a row are no chance. */
const REFUSALS = 2;
/** So many workers that have left their leader are no chance. */
export const STRAYS = 3;
/** Of the knocks at a few machines, so many have to agree. */
const MOST_KNOCKS = 0.75;
/** Of fewer machines than this a few may be silent by chance. */
const FEW = 3;
/** A leader that hears a larger share of its workers is not deaf. */
const LEAST_HEARD = 0.5;
/** Of fewer machines none may well have had a reason to speak for a while. */
const MANY = 8;

/** How often controllers tell their views, in milliseconds. */
export const toldEvery = (timing: Timing): number => 2 * timing.tickMs;

/** Whether a round is young enough to go by. */
const isFresh = ({ asked, at }: Round, { now, timing }: Scene): boolean =>
  asked > 0 && now - at < 2 * timing.maxHeartbeatIntervalMs;

/** Whether this node met hardly anybody in a round. */
const isUnmet = (round: Round, scene: Scene): boolean =>
  isFresh(round, scene) && round.unmet >= MOST_KNOCKS * round.asked;

/** Whether a peer met nearly everybody in this node's latest round. */
const isMetBy = (view: View | null, round: Round, scene: Scene): boolean =>
  isFresh(round, scene) && view?.round === round.round && view.met >= MOST_KNOCKS * round.asked;

/** Whether a leader hears far fewer of its workers than should speak. */
export function isDeaf({ hearing, behindSince, lateMs }: Own, timing: Timing): boolean {
  // One that is behind hears late what was said in time.
  if (hearing === null || behindSince !== null || lateMs > timing.tickMs / 4) return false;
  const { reporting, expected, silentMs } = hearing;
  return (
    (expected >= MANY && silentMs > 2 * timing.tickMs) ||
    (expected >= FEW && reporting < LEAST_HEARD * expected)
  );
}

/** Suspected: any one of these. */
export const SUSPICIONS: readonly Row[] = [
  { name: 'unusually silent', holds: ({ gaps }, { now }) => gaps.phi(now) >= UNUSUAL },
  { name: 'link lost', holds: ({ lostAt }) => lostAt !== null },
  {
    name: 'behind its own timers',
    holds: ({ view }, { timing }) => (view?.lateMs ?? 0) > 2 * timing.tickMs,
  },
  {
    name: 'not served by the state service',
    holds: ({ view }, { timing, own }) =>
      (view?.stateAgeMs ?? 0) > 2 * timing.storeTimeoutMs && own.stateAgeMs < 2 * timing.storeTimeoutMs,
  },
];

/** A leader has crashed, and may be succeeded before its lease is over: all of these. */
export const CRASHED: readonly Row[] = [
  // A cut is silent; what is refused has a host that is there, and no such process on it.
  {
    name: 'refused since its last word',
    holds: ({ lostAt, refusals }) => lostAt !== null && refusals >= REFUSALS,
  },
  // Something between the nodes that refuses for long says nothing of who is alive now.
  {
    name: 'refused of late',
    holds: ({ lostAt }, { now, timing }) => lostAt !== null && now - lostAt < timing.leaderLeaseMs,
  },
  {
    name: 'no witness hears it',
    holds: ({ node, lostAt }, { witnesses }) =>
      witnesses.every(({ view, heardAt }) =>
        view?.sees.some(
          (sight) => sight.node === node && sight.link === 'refused' && (heardAt ?? 0) >= (lostAt ?? 0),
        ),
      ),
  },
  {
    name: 'its workers have left it',
    holds: ({ view }, { own, witnesses }) => {
      const strays = witnesses.reduce((sum, witness) => sum + (witness.view?.strays ?? 0), own.strays);
      return strays >= Math.min(STRAYS, view?.expected ?? 0);
    },
  },
  { name: 'this node has not stood still', holds: (_, { own }) => !own.doubtsItself },
  {
    name: 'the state service answers this node',
    holds: (_, { own, timing }) => own.stateAgeMs < 2 * timing.storeTimeoutMs,
  },
];

/** A peer that a leader may hand over to: all of these. */
export const FIT: readonly Row[] = [
  { name: 'heard', holds: ({ gaps, lostAt }, { now }) => lostAt === null && gaps.phi(now) < UNUSUAL },
  {
    name: 'served',
    holds: ({ view }, { timing }) => view !== null && view.stateAgeMs < 2 * timing.storeTimeoutMs,
  },
  // One that was cut off from the workers was handed back the lead, for its peers heard it well.
  {
    name: 'reaches the machines',
    holds: ({ view }, scene) =>
      scene.own.machines === 0 || isMetBy(view, scene.own.knocks, scene) || (view?.strays ?? 0) >= STRAYS,
  },
  { name: 'keeps up', holds: ({ view }, { timing }) => view !== null && view.lateMs < timing.tickMs },
];

/** Why a leader hands over that should not lead again before it has heard a worker. */
export const CUT_OFF = 'this node cannot reach its machines';

/** A leader hands over to a fit peer: any one of these. */
export const YIELDS: readonly Row[] = [
  {
    name: CUT_OFF,
    holds: (_, scene) => isDeaf(scene.own, scene.timing) && isUnmet(scene.own.knocks, scene),
  },
  // One that is only busy would make its successor as busy, and a takeover's work comes on top: in a
  // burst three controllers of a twelfth of a core handed the lead round every five seconds.
  {
    name: 'this node cannot keep up, and computes slower than it did',
    holds: (_, { own, now, timing }) =>
      own.isSlow &&
      own.behindSince !== null &&
      now - own.behindSince > 2 * timing.maxHeartbeatIntervalMs &&
      // Whoever comes to lead has much to do at first, and may have it from one that was slow for its load.
      now - own.ledFrom > 2 * timing.workerLeaseMs,
  },
];

export interface Table {
  readonly suspicions: readonly Row[];
  readonly crashed: readonly Row[];
  readonly fit: readonly Row[];
  readonly yields: readonly Row[];
}

export const TABLE: Table = { suspicions: SUSPICIONS, crashed: CRASHED, fit: FIT, yields: YIELDS };
