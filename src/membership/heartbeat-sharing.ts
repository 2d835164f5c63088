/**
 * Pure functions that decide which controllers receive the workers' heartbeats. A leader with few machines receives
 * all heartbeats itself; a leader with many distributes its workers over its followers, so that when a follower
 * fails, each of the others takes over a share of its workers.
 */

/** A follower that may receive heartbeats, and its load. */
export interface FollowerLoad {
  readonly node: string;
  readonly zone: string;
  /** Number of workers that send it their heartbeats. */
  readonly workers: number;
}

/** Sharing ends when the number of machines falls below this share of the number at which it begins. */
const STOP_SHARE = 0.8;
/** Largest share of all workers that may be moved between two snapshots. */
const MAX_MOVED_SHARE = 0.1;
/** A follower in the worker's own zone is preferred while its load is at most this many times the mean load. */
const MAX_ZONE_LOAD_FACTOR = 1.25;
/** Workers are moved if the largest and the smallest load differ by more than this share of the mean load. */
const MIN_IMBALANCE_SHARE = 0.25;

/** Whether heartbeats are shared at this number of machines; hysteresis prevents flapping at the threshold. */
export function shouldShare(machines: number, minMachines: number, wasShared: boolean): boolean {
  return machines >= (wasShared ? STOP_SHARE * minMachines : minMachines);
}

/** Largest number of workers that may be moved before the next snapshot. */
export const maxMoves = (machines: number): number => Math.ceil(MAX_MOVED_SHARE * machines);

const meanLoad = (followers: readonly FollowerLoad[]): number =>
  followers.reduce((sum, { workers }) => sum + workers, 0) / Math.max(1, followers.length);

const leastLoaded = (followers: readonly FollowerLoad[]): FollowerLoad | undefined =>
  [...followers].sort((one, other) => one.workers - other.workers)[0];

/** The follower to which a worker of this zone is redirected; null: there are no followers. */
export function chooseFollower(followers: readonly FollowerLoad[], zone: string): string | null {
  const maxLoad = MAX_ZONE_LOAD_FACTOR * meanLoad(followers);
  const nearby = followers.filter((follower) => follower.zone === zone && follower.workers <= maxLoad);
  return leastLoaded(nearby.length > 0 ? nearby : followers)?.node ?? null;
}

/** The number of workers that the most loaded follower should redirect to the least loaded one. */
export interface Rebalancing {
  readonly from: string;
  readonly to: string;
  readonly count: number;
}

/** The move that evens out unequal loads, for example after a restart; null: they are even enough. */
export function chooseRebalancing(followers: readonly FollowerLoad[], movesLeft: number): Rebalancing | null {
  const sorted = [...followers].sort((one, other) => one.workers - other.workers);
  const [least] = sorted;
  const most = sorted.at(-1);
  if (least === undefined || most === undefined) return null;
  const gap = most.workers - least.workers;
  if (gap <= Math.max(2, MIN_IMBALANCE_SHARE * meanLoad(followers))) return null;
  return { from: most.node, to: least.node, count: Math.min(movesLeft, Math.floor(gap / 2)) };
}
