/**
 * Which evidence allows what. Suspicion takes any one row and does only what can be taken back; a
 * verdict takes every row of its list. docs/suspicion.md tells what each row guards against, and
 * test/membership.test.ts takes each out once.
 */
import type { Timing } from '../core/timing.js';
import type { Gaps } from './accrual.js';
import type { Hearing, Knocks, Link, View } from './views.js';

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
}

/** What is known of this node itself. */
export interface Own {
  readonly stateAgeMs: number;
  readonly lateMs: number;
  /** Since when it has been behind without a break; null: it keeps up. */
  readonly behindSince: number | null;
  /** It stood still, and has not caught up yet with what lay in its queues. */
  readonly doubtsItself: boolean;
  readonly strays: number;
  /** As a leader. */
  readonly hearing: Hearing | null;
  readonly knocks: Knocks;
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
const STRAYS = 3;
/** Of the knocks at a few machines, so many have to agree. */
const MOST_KNOCKS = 0.75;
const LEAST_KNOCKS = 3;
/** A leader that hears a larger share of its workers is not deaf. */
const LEAST_HEARD = 0.5;
/** Of fewer machines none may well have had a reason to speak for a while. */
const MANY = 8;

/** How often controllers tell their views, in milliseconds. */
export const toldEvery = (timing: Timing): number => 2 * timing.tick;

export const isUnmet = ({ met, unmet }: Knocks): boolean =>
  met + unmet >= LEAST_KNOCKS && unmet >= MOST_KNOCKS * (met + unmet);
export const isMet = ({ met, unmet }: Knocks): boolean =>
  met + unmet >= LEAST_KNOCKS && met >= MOST_KNOCKS * (met + unmet);

/** Whether a leader hears far fewer of its workers than should speak. */
export function isDeaf({ hearing }: Own, timing: Timing): boolean {
  if (hearing === null) return false;
  const { heard, expected, silentMs } = hearing;
  return (
    (expected >= MANY && silentMs > 2 * timing.tick) ||
    (expected >= LEAST_KNOCKS && heard < LEAST_HEARD * expected)
  );
}

/** Suspected: any one of these. */
export const SUSPICIONS: readonly Row[] = [
  { name: 'unusually silent', holds: ({ gaps }, { now }) => gaps.phi(now) >= UNUSUAL },
  { name: 'link lost', holds: ({ lostAt }) => lostAt !== null },
  {
    name: 'behind its own timers',
    holds: ({ view }, { timing }) => (view?.lateMs ?? 0) > 2 * timing.tick,
  },
  {
    name: 'not served by the state service',
    holds: ({ view }, { timing, own }) =>
      (view?.stateAgeMs ?? 0) > 2 * timing.stateTimeout && own.stateAgeMs < timing.stateTimeout,
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
    holds: ({ lostAt }, { now, timing }) => lostAt !== null && now - lostAt < timing.leaderLease,
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
    holds: (_, { own, timing }) => own.stateAgeMs < timing.stateTimeout,
  },
];

/** A peer that a leader may hand over to: all of these. */
export const FIT: readonly Row[] = [
  { name: 'heard', holds: ({ gaps, lostAt }, { now }) => lostAt === null && gaps.phi(now) < UNUSUAL },
  { name: 'served', holds: ({ view }, { timing }) => view !== null && view.stateAgeMs < timing.stateTimeout },
  { name: 'keeps up', holds: ({ view }, { timing }) => view !== null && view.lateMs < timing.tick },
];

/** A leader hands over to a fit peer: any one of these. */
export const YIELDS: readonly Row[] = [
  {
    name: 'the machines that this node cannot reach can be reached from there',
    holds: ({ view }, { own, timing }) =>
      isDeaf(own, timing) && view?.round === own.knocks.round && isUnmet(own.knocks) && isMet(view),
  },
  {
    name: 'its workers come there',
    holds: ({ view }, { own, timing }) => {
      const { hearing } = own;
      if (hearing === null || view === null || !isDeaf(own, timing)) return false;
      const missing = hearing.expected - hearing.heard;
      return view.strays >= STRAYS && view.strays >= LEAST_HEARD * missing;
    },
  },
  {
    name: 'this node cannot keep up',
    holds: (_, { own, now, timing }) =>
      own.behindSince !== null && now - own.behindSince > 2 * timing.longestReport,
  },
];

export interface Table {
  readonly suspicions: readonly Row[];
  readonly crashed: readonly Row[];
  readonly fit: readonly Row[];
  readonly yields: readonly Row[];
}

export const TABLE: Table = { suspicions: SUSPICIONS, crashed: CRASHED, fit: FIT, yields: YIELDS };
