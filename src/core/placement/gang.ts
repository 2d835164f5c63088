/** Gang scheduling: tasks that start together, or not at all. */
import type { NodeCapacity } from './capacity-index.js';
import { CandidateSet } from './candidates.js';
import { allocateOnNode, reservedForOthers, type PlacementPass } from './placement-pass.js';
import { release } from './resources.js';
import type { PlacementPreferences } from './scoring.js';
import { zoneFilter } from './zone-constraints.js';

/** Where a task is placed, and the monotonic time in milliseconds at which it is expected to end. */
export interface TaskPlacement {
  readonly node: NodeCapacity;
  readonly end: number;
}

/** Places `count` tasks of a gang, all of them or none; null: they do not all fit. */
export function placeGang(
  pass: PlacementPass,
  preferences: PlacementPreferences,
  count: number,
): TaskPlacement[] | null {
  const { job } = preferences;
  const placed: TaskPlacement[] = [];
  while (placed.length < count) {
    const nodes = placed.map(({ node }) => node);
    const isZoneOpen = zoneFilter(pass.state, job, nodes);
    const found = new CandidateSet(pass, preferences, isZoneOpen).best();
    if (found === null) {
      undo(pass, preferences, placed);
      return null;
    }
    allocateOnNode(pass, job, found.node, found.end);
    placed.push({ node: found.node, end: found.end });
  }
  return placed;
}

/** Undoes the allocations for the tasks of a gang that were placed before one did not fit. */
function undo(pass: PlacementPass, { job }: PlacementPreferences, placed: readonly TaskPlacement[]): void {
  for (const { node, end } of placed) {
    pass.state.capacityIndex.reindex(node);
    for (const { shadowTime, extra } of reservedForOthers(pass, job, node))
      if (end > shadowTime) release(extra, job.request);
  }
}
