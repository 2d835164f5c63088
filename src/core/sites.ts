/**
 * The machines that tasks may be put on, indexed by the room on them, so that what fits a
 * task is found without looking at the machines that are full.
 */
import { fits, give, noRoom, take } from './room.js';
import type { LiveClaim, Machine } from './state.js';
import type { JobSpec, MachineType, Need, Room } from './types.js';

/** Steps in which the room of a machine is told, for the index. */
const STEPS = 32;
const EPSILON = 1e-6;

/** Room kept for a blocked job on one machine: all of it until `shadow`, `extra` from then on. */
export interface Hold {
  readonly shadow: number;
  readonly extra: Room;
}

/** A machine as placing sees it. */
export interface Site {
  readonly machine: Machine;
  readonly type: MachineType;
  /** What no task takes and nothing is kept for. */
  readonly free: Room;
  /** What is kept for hurried tasks to come. */
  readonly kept: Room;
  /** Steady time at which the last of its tasks is expected to end. */
  busyUntil: number;
  /** Changes with its room, its tasks or what is kept on it. */
  version: number;
  /** When a blocked task would fit, as last looked at; null: not looked at. */
  shadow: Shadow | null;
  group: Group;
  steps: { open: number; whole: number };
}

export interface Shadow {
  readonly need: Need;
  readonly version: number;
  readonly round: number;
  /** Infinity: never. */
  readonly at: number;
  /** Free room by then. */
  readonly room: Room;
}

/** Sites of one kind, by steps of the cpus that are free, with and without what is kept. */
export interface Group {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly open: readonly Set<Site>[];
  readonly whole: readonly Set<Site>[];
  size: number;
}

const stepOf = (type: MachineType, cpus: number): number =>
  Math.max(0, Math.min(STEPS, Math.floor((cpus / Math.max(EPSILON, type.cpus)) * STEPS + EPSILON)));

const byStep = (): Set<Site>[] => Array.from({ length: STEPS + 1 }, () => new Set<Site>());

export class Sites {
  readonly #sites = new Map<Machine, Site>();
  readonly #groups = new Map<string, Group>();
  readonly #kept = new Map<string, number>();
  /** Goes up when times have moved on so far that what was worked out from them is worked out anew. */
  round = 0;

  get size(): number {
    return this.#sites.size;
  }

  get all(): Iterable<Site> {
    return this.#sites.values();
  }

  /** Groups that have sites; cheap kinds first. */
  get groups(): Group[] {
    return [...this.#groups.values()]
      .filter(({ size }) => size > 0)
      .sort((a, b) => Number(b.spot) - Number(a.spot));
  }

  clear(): void {
    this.#sites.clear();
    this.#groups.clear();
    this.#kept.clear();
  }

  of(machine: Machine): Site | undefined {
    return this.#sites.get(machine);
  }

  /** The most cpus of a machine among them. */
  largest(): number {
    let largest = 0;
    for (const { type, size } of this.#groups.values()) if (size > 0) largest = Math.max(largest, type.cpus);
    return largest;
  }

  remove(machine: Machine): void {
    const site = this.#sites.get(machine);
    if (site === undefined) return;
    this.#sites.delete(machine);
    site.group.open[site.steps.open]?.delete(site);
    site.group.whole[site.steps.whole]?.delete(site);
    site.group.size -= 1;
  }

  /** Takes in a machine, or what has changed on it. */
  update(machine: Machine, type: MachineType, endOf: (claim: LiveClaim) => number): Site {
    let site = this.#sites.get(machine);
    if (site !== undefined && site.type !== type) {
      this.remove(machine);
      site = undefined;
    }
    if (site === undefined) {
      const group = this.#groupOf(machine, type);
      const made = {
        machine,
        type,
        free: noRoom(),
        kept: noRoom(),
        busyUntil: 0,
        version: 0,
        shadow: null,
        group,
        steps: { open: 0, whole: 0 },
      };
      group.size += 1;
      this.#sites.set(machine, made);
      site = made;
    }
    site.busyUntil = 0;
    for (const claim of machine.claims.values()) site.busyUntil = Math.max(site.busyUntil, endOf(claim));
    this.settle(site);
    return site;
  }

  /** Works out the free room of a site anew, and puts it in its place in the index. */
  settle(site: Site): void {
    const { machine, type, free, kept, group } = site;
    free.cpus = type.cpus - machine.used.cpus;
    free.gpus = type.gpus - machine.used.gpus;
    free.memoryGb = type.memoryGb - machine.used.memoryGb;
    // What is kept gives way to what is there.
    if (!fits(kept, free)) Object.assign(kept, noRoom());
    const whole = stepOf(type, free.cpus);
    take(free, kept);
    const open = stepOf(type, free.cpus);
    group.open[site.steps.open]?.delete(site);
    group.whole[site.steps.whole]?.delete(site);
    site.steps = { open, whole };
    group.open[open]?.add(site);
    group.whole[whole]?.add(site);
    site.version += 1;
  }

  /** Keeps room for one more task of a class on a site. */
  keep(site: Site, spec: JobSpec): void {
    give(site.kept, spec);
    this.#kept.set(spec.jobClass, this.keptFor(spec) + 1);
    this.settle(site);
  }

  /** How many tasks of a class room is kept for. */
  keptFor(spec: JobSpec): number {
    return this.#kept.get(spec.jobClass) ?? 0;
  }

  /** A task has been put where room was kept for its class. */
  used(spec: JobSpec): void {
    this.#kept.set(spec.jobClass, Math.max(0, this.keptFor(spec) - 1));
  }

  letGoAll(): void {
    this.#kept.clear();
    for (const site of this.#sites.values()) {
      if (site.kept.cpus === 0 && site.kept.memoryGb === 0 && site.kept.gpus === 0) continue;
      Object.assign(site.kept, noRoom());
      this.settle(site);
    }
  }

  #groupOf(machine: Machine, type: MachineType): Group {
    const { zone, spot } = machine;
    const key = `${type.name}/${zone}/${spot ? 'spot' : 'ordinary'}`;
    const known = this.#groups.get(key);
    if (known !== undefined && known.type === type) return known;
    const made: Group = { type, zone, spot, open: byStep(), whole: byStep(), size: 0 };
    this.#groups.set(key, made);
    return made;
  }
}

/**
 * Sites of a group that may have room for a need, the tightest first. `whole` counts what
 * is kept as free.
 */
export function* tightest(group: Group, need: Need, whole: boolean): Generator<Site> {
  const steps = whole ? group.whole : group.open;
  for (let step = stepOf(group.type, need.cpus - EPSILON); step < steps.length; step += 1) {
    const sites = steps[step];
    if (sites !== undefined && sites.size > 0) yield* [...sites];
  }
}
