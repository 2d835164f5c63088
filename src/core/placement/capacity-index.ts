/**
 * The machines that tasks may be put on, indexed by the room on them, so that what fits a
 * task is found without looking at the machines that are full.
 */
import TinyQueue from 'tinyqueue';
import { fits, release, noResources, allocate } from './resources.js';
import type { LiveClaim, Machine } from '../model.js';
import type { JobSpec, MachineType, ResourceRequest, Resources } from '../types.js';

/** Steps in which the room of a machine is told, for the index. */
const STEPS = 32;
const EPSILON = 1e-6;

/** Room kept for a blocked job on one machine: all of it until `shadow`, `extra` from then on. */
export interface Hold {
  readonly shadow: number;
  readonly extra: Resources;
}

/** A machine as placing sees it. */
export interface NodeCapacity {
  readonly machine: Machine;
  readonly type: MachineType;
  /** What no task takes and nothing is kept for. */
  readonly free: Resources;
  /** What is kept for hurried tasks to come. */
  readonly kept: Resources;
  /** Steady time at which the last of its tasks is expected to end. */
  busyUntil: number;
  /** Changes with its room, its tasks or what is kept on it. */
  version: number;
  group: Group;
  steps: { open: number; whole: number };
}

/** When a blocked task would fit a machine, and what is free there then. */
export interface Shadow {
  /** Infinity: never. */
  readonly at: number;
  readonly room: Resources;
}

interface Known {
  readonly site: NodeCapacity;
  readonly version: number;
  readonly shadow: Shadow;
}

/** When one task of a kind would fit each site, the earliest first. */
export class Shadows {
  readonly #known = new Map<NodeCapacity, Known>();
  readonly #queue = new TinyQueue<Known>(
    [],
    (a, b) => a.shadow.at - b.shadow.at || a.site.machine.discoveryOrder - b.site.machine.discoveryOrder,
  );
  #read = 0;

  constructor(
    private readonly capacityIndex: CapacityIndex,
    private readonly look: (site: NodeCapacity) => Shadow,
  ) {
    this.#read = capacityIndex.log.length;
    for (const site of capacityIndex.all) this.#enter(site);
  }

  #enter(site: NodeCapacity): Known {
    const known = { site, version: site.version, shadow: this.look(site) };
    this.#known.set(site, known);
    if (known.shadow.at < Infinity) this.#queue.push(known);
    return known;
  }

  of(site: NodeCapacity): Shadow {
    const known = this.#known.get(site);
    return (known?.version === site.version ? known : this.#enter(site)).shadow;
  }

  /** The earliest of those that are able. */
  first(able: (site: NodeCapacity) => boolean): Known | null {
    for (; this.#read < this.capacityIndex.log.length; this.#read += 1) {
      const site = this.capacityIndex.log[this.#read];
      if (site !== undefined && this.capacityIndex.of(site.machine) === site) this.of(site);
    }
    const aside: Known[] = [];
    let found: Known | null = null;
    for (let front = this.#queue.peek(); front !== undefined; front = this.#queue.peek()) {
      const { site, version } = front;
      const stands = this.capacityIndex.of(site.machine) === site && site.version === version;
      if (stands && able(site)) {
        found = front;
        break;
      }
      this.#queue.pop();
      if (stands) aside.push(front);
    }
    for (const one of aside) this.#queue.push(one);
    return found;
  }
}

/** CapacityIndex of one kind, by steps of the cpus that are free, with and without what is kept. */
export interface Group {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly open: readonly Set<NodeCapacity>[];
  readonly whole: readonly Set<NodeCapacity>[];
  size: number;
}

const stepOf = (type: MachineType, cpus: number): number =>
  Math.max(0, Math.min(STEPS, Math.floor((cpus / Math.max(EPSILON, type.cpus)) * STEPS + EPSILON)));

const byStep = (): Set<NodeCapacity>[] => Array.from({ length: STEPS + 1 }, () => new Set<NodeCapacity>());

export class CapacityIndex {
  readonly #capacityIndex = new Map<Machine, NodeCapacity>();
  readonly #groups = new Map<string, Group>();
  readonly #kept = new Map<string, number>();
  readonly #shadows = new Map<string, Shadows>();
  /** CapacityIndex in the order of their changes since shadows were last forgotten. */
  readonly log: NodeCapacity[] = [];

  get size(): number {
    return this.#capacityIndex.size;
  }

  get all(): Iterable<NodeCapacity> {
    return this.#capacityIndex.values();
  }

  /** Groups that have capacityIndex; cheap kinds first. */
  get groups(): Group[] {
    return [...this.#groups.values()]
      .filter(({ size }) => size > 0)
      .sort((a, b) => Number(b.spot) - Number(a.spot));
  }

  clear(): void {
    this.#capacityIndex.clear();
    this.#groups.clear();
    this.#kept.clear();
    this.forgetShadows();
  }

  of(machine: Machine): NodeCapacity | undefined {
    return this.#capacityIndex.get(machine);
  }

  *ofType(name: string): Generator<NodeCapacity> {
    for (const { type, whole } of this.#groups.values()) {
      if (type.name === name) for (const capacityIndex of whole) yield* capacityIndex;
    }
  }

  /** When a task of a kind would fit each site; kept until times have moved on. */
  shadows(need: ResourceRequest, look: (site: NodeCapacity) => Shadow): Shadows {
    const key = `${need.cpus}/${need.gpus}/${need.memoryGb}`;
    let known = this.#shadows.get(key);
    if (known === undefined) {
      known = new Shadows(this, look);
      this.#shadows.set(key, known);
    }
    return known;
  }

  /** Times have moved on: shadows are worked out anew when they are next asked for. */
  forgetShadows(): void {
    this.#shadows.clear();
    this.log.length = 0;
  }

  /** The most cpus of a machine among them. */
  largest(): number {
    let largest = 0;
    for (const { type, size } of this.#groups.values()) if (size > 0) largest = Math.max(largest, type.cpus);
    return largest;
  }

  remove(machine: Machine): void {
    const site = this.#capacityIndex.get(machine);
    if (site === undefined) return;
    this.#capacityIndex.delete(machine);
    site.group.open[site.steps.open]?.delete(site);
    site.group.whole[site.steps.whole]?.delete(site);
    site.group.size -= 1;
  }

  /** Takes in a machine, or what has changed on it. */
  update(machine: Machine, type: MachineType, endOf: (claim: LiveClaim) => number): NodeCapacity {
    let site = this.#capacityIndex.get(machine);
    if (site !== undefined && site.type !== type) {
      this.remove(machine);
      site = undefined;
    }
    if (site === undefined) {
      const group = this.#groupOf(machine, type);
      const made = {
        machine,
        type,
        free: noResources(),
        kept: noResources(),
        busyUntil: 0,
        version: 0,
        group,
        steps: { open: 0, whole: 0 },
      };
      group.size += 1;
      this.#capacityIndex.set(machine, made);
      site = made;
    }
    site.busyUntil = 0;
    for (const claim of machine.claims.values()) site.busyUntil = Math.max(site.busyUntil, endOf(claim));
    this.settle(site);
    return site;
  }

  /** Works out the free room of a site anew, and puts it in its place in the index. */
  settle(site: NodeCapacity): void {
    const { machine, type, free, kept, group } = site;
    free.cpus = type.cpus - machine.allocated.cpus;
    free.gpus = type.gpus - machine.allocated.gpus;
    free.memoryGb = type.memoryGb - machine.allocated.memoryGb;
    // What is kept gives way to what is there.
    if (!fits(kept, free)) Object.assign(kept, noResources());
    const whole = stepOf(type, free.cpus);
    allocate(free, kept);
    const open = stepOf(type, free.cpus);
    group.open[site.steps.open]?.delete(site);
    group.whole[site.steps.whole]?.delete(site);
    site.steps = { open, whole };
    group.open[open]?.add(site);
    group.whole[whole]?.add(site);
    this.changed(site);
  }

  changed(site: NodeCapacity): void {
    site.version += 1;
    this.log.push(site);
  }

  /** Keeps room for one more task of a class on a site. */
  keep(site: NodeCapacity, spec: JobSpec): void {
    release(site.kept, spec);
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
    for (const site of this.#capacityIndex.values()) {
      if (site.kept.cpus === 0 && site.kept.memoryGb === 0 && site.kept.gpus === 0) continue;
      Object.assign(site.kept, noResources());
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
 * CapacityIndex of a group that may have room for a need, the tightest first. `whole` counts what
 * is kept as free.
 */
export function* tightestFirst(group: Group, need: ResourceRequest, whole: boolean): Generator<NodeCapacity> {
  const steps = whole ? group.whole : group.open;
  for (let step = stepOf(group.type, need.cpus - EPSILON); step < steps.length; step += 1) {
    const capacityIndex = steps[step];
    if (capacityIndex !== undefined && capacityIndex.size > 0) yield* [...capacityIndex];
  }
}
