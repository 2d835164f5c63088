/**
 * Which controllers take workers' reports. A leader of few machines hears all of them by itself; one of many
 * leaves them to its followers, in portions, so that the loss of one costs each other a share. Pure.
 */

/** What a leader knows of a follower that may take reports. */
export interface FollowerLoad {
  readonly node: string;
  readonly zone: string;
  /** Workers that report to it. */
  readonly workers: number;
}

/** Below this share of the number at which sharing begins it ends again. */
const STOP_SHARE = 0.8;
/** Of all workers, so many are moved at most between two snapshots. */
const MAX_MOVED_SHARE = 0.1;
/** A follower of the worker's own zone is preferred up to so many times the mean load. */
const MAX_ZONE_LOAD_FACTOR = 1.25;
/** Followers whose loads differ by more than this share of the mean are evened out. */
const MIN_IMBALANCE_SHARE = 0.25;

/** Whether reports are shared, by the number of machines; it does not flap at the threshold. */
export function shouldShare(machines: number, from: number, wasShared: boolean): boolean {
  return machines >= (wasShared ? STOP_SHARE * from : from);
}

/** Workers that may be moved before the next snapshot. */
export const maxMoves = (machines: number): number => Math.ceil(MAX_MOVED_SHARE * machines);

const meanLoad = (followers: readonly FollowerLoad[]): number =>
  followers.reduce((sum, { workers }) => sum + workers, 0) / Math.max(1, followers.length);

const leastLoaded = (followers: readonly FollowerLoad[]): FollowerLoad | undefined =>
  [...followers].sort((one, other) => one.workers - other.workers)[0];

/** The follower that a worker of this zone is sent to; null: there is none. */
export function chooseFollower(followers: readonly FollowerLoad[], zone: string): string | null {
  const most = MAX_ZONE_LOAD_FACTOR * meanLoad(followers);
  const near = followers.filter((follower) => follower.zone === zone && follower.workers <= most);
  return leastLoaded(near.length > 0 ? near : followers)?.node ?? null;
}

/** Workers that a follower with too many is to send to one with too few. */
export interface Rebalancing {
  readonly from: string;
  readonly to: string;
  readonly count: number;
}

/** How loads that have come apart, as after a restart, are evened out; null: they are even. */
export function chooseRebalancing(followers: readonly FollowerLoad[], moves: number): Rebalancing | null {
  const sorted = [...followers].sort((one, other) => one.workers - other.workers);
  const [least] = sorted;
  const most = sorted.at(-1);
  if (least === undefined || most === undefined) return null;
  const gap = most.workers - least.workers;
  if (gap <= Math.max(2, MIN_IMBALANCE_SHARE * meanLoad(followers))) return null;
  return { from: most.node, to: least.node, count: Math.min(moves, Math.floor(gap / 2)) };
}
