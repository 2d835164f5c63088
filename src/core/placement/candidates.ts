/** Candidate machines for a job's tasks, with their placement scores. */
import { tightestFirst, type NodeCapacity } from './capacity-index.js';
import type { PlacementPass } from './placement-pass.js';
import { satisfiesConstraints } from './resources.js';
import { scorePlacement, type PlacementPreferences, type PlacementScore } from './scoring.js';
import type { ZoneFilter } from './zone-constraints.js';

/**
 * Maximum number of machines with room that are scored for a job, and maximum number of further ones that
 * cache its image. Scoring more would hardly improve the choice, and its cost would grow with the fleet.
 */
const MAX_CANDIDATES = 160;

/** A machine that a task of the job may be placed on. */
export interface Candidate extends PlacementScore {
  readonly node: NodeCapacity;
}

/** Scored machines for one job. After a task is placed, only its machine is scored again. */
export class CandidateSet {
  readonly #candidates = new Map<NodeCapacity, Candidate>();
  /** Whether the latest search stopped at `MAX_CANDIDATES`, so that other machines with room may exist. */
  #isTruncated = false;

  constructor(
    private readonly pass: PlacementPass,
    private readonly preferences: PlacementPreferences,
    private readonly isZoneOpen: ZoneFilter,
  ) {
    this.#search();
  }

  /** The candidate with the lowest score; of equal ones, the machine discovered first. Null: there is none. */
  best(): Candidate | null {
    let best: Candidate | null = null;
    for (const candidate of this.#candidates.values())
      if (best === null || isBetter(candidate, best)) best = candidate;
    if (best !== null || !this.#isTruncated) return best;
    this.#search();
    return this.best();
  }

  /** Scores one candidate again, after its machine has changed. */
  rescore({ node }: Candidate): void {
    if (!this.#add(node)) this.#candidates.delete(node);
  }

  #add(node: NodeCapacity): boolean {
    const scored = scorePlacement(this.pass, this.preferences, node, this.isZoneOpen);
    if (scored !== null) this.#candidates.set(node, { node, ...scored });
    return scored !== null;
  }

  #search(): void {
    this.#candidates.clear();
    const { hasRoom, isTruncated } = this.#addTightest();
    this.#isTruncated = isTruncated;
    if (isTruncated) this.#addImageHolders();
    else if (!hasRoom) {
      const { job, mayUseHeadroom } = this.preferences;
      this.pass.unplaceable.push({ request: job.request, includesHeadroom: mayUseHeadroom });
    }
  }

  /** Adds the tightest fits. Returns whether any machine may have room, and whether some may be left out. */
  #addTightest(): { hasRoom: boolean; isTruncated: boolean } {
    const { spec, request } = this.preferences.job;
    let hasRoom = false;
    let remaining = MAX_CANDIDATES;
    for (const group of this.pass.state.capacityIndex.groups) {
      if (!satisfiesConstraints(spec, group.type.name, group.zone, group.spot)) {
        // A job with the same request and other constraints may fit there, so the request is not unplaceable.
        hasRoom = true;
        continue;
      }
      for (const node of tightestFirst(group, request, this.preferences.mayUseHeadroom)) {
        hasRoom = true;
        if (this.#add(node)) remaining -= 1;
        if (remaining === 0) return { hasRoom, isTruncated: true };
      }
    }
    return { hasRoom, isTruncated: false };
  }

  #addImageHolders(): void {
    const { state } = this.pass;
    let remaining = MAX_CANDIDATES;
    for (const machine of state.machinesByImage.get(this.preferences.job.spec.image) ?? []) {
      const node = state.capacityIndex.of(machine);
      if (node === undefined || this.#candidates.has(node)) continue;
      if (this.#add(node)) remaining -= 1;
      if (remaining === 0) return;
    }
  }
}

function isBetter(a: Candidate, b: Candidate): boolean {
  if (a.score !== b.score) return a.score < b.score;
  return a.node.machine.discoveryOrder < b.node.machine.discoveryOrder;
}
