/** Renting and giving back: how much, of what kind, and when. */
import TinyQueue from 'tinyqueue';
import { isBestEffort, isCostSensitive } from '../jobs/best-effort.js';
import { allowedWait, latestStart } from '../jobs/objectives.js';
import type { Effect } from '../effects.js';
import { expectedEnd } from '../fleet/machines.js';
import { expectedRun, isReady, waitingTasks } from '../jobs/jobs.js';
import { MAX_ARRIVAL_GAPS } from '../placement/headroom.js';
import { log } from '../log.js';
import { waitingJobs } from '../placement/job-queue.js';
import {
  satisfiesConstraints,
  isExcluded,
  fits,
  freeResources,
  release,
  isFaultyJob,
  resourcesOf,
  allocate,
} from '../placement/resources.js';
import { soleType, constrainedTypesInDemand } from '../placement/constrained-types.js';
import { isExitDurable, type Demand, type JobState, type Machine, type Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { JobSpec, MachineType, ResourceRequest, Resources } from '../types.js';
import {
  DEMAND_KEY,
  demandKey,
  packDemand,
  TERM_KEY,
  type ClassDemandRecord,
} from '../persistence/records.js';

const MOST_PER_RENTAL = 50;
const MOST_RETURNED = 100;
/** Tasks of a job that one plan covers at least; of a large fleet, twice the number of its machines. */
const MIN_PLANNED_TASKS = 2000;
/** Tasks that are counted into one room, for tasks that need next to nothing. */
const MAX_TASKS_IN_ROOM = 2000;
/** A machine is paid for at least so long, says the cloud's price list. */
const LEAST_PAID_MS = 60_000;
/** How much dearer a type seems to jobs with a choice while others can use nothing else. */
const SCARCE_FACTOR = 4;

/** A machine in the plan: its free room over time, as a list of ends to come. */
export interface Planned {
  /** Null: not rented yet. */
  readonly machine: string | null;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly readyAt: number;
  readonly free: Resources;
  readonly ends: { at: number; room: Resources }[];
  /** It runs something now. */
  readonly busy: boolean;
  /** The plan puts something on it. */
  used: boolean;
  /** Goes up with what the plan puts on it. */
  version: number;
}

interface Kind {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly price: number;
}

const kindKey = (type: string, zone: string, spot: boolean): string =>
  `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;

/** When a task that needs so much could start on a planned machine; Infinity: never. */
export function earliest(planned: Planned, need: ResourceRequest): number {
  if (!fits(need, planned.type)) return Infinity;
  if (fits(need, planned.free)) return planned.readyAt;
  const free = { ...planned.free };
  for (const { at, room } of planned.ends) {
    release(free, room);
    if (fits(need, free)) return Math.max(planned.readyAt, at);
  }
  return Infinity;
}

function occupy(planned: Planned, need: ResourceRequest, from: number, until: number): void {
  while ((planned.ends[0]?.at ?? Infinity) <= from) {
    const first = planned.ends.shift();
    if (first !== undefined) release(planned.free, first.room);
  }
  allocate(planned.free, need);
  const at = planned.ends.findIndex((end) => end.at > until);
  planned.ends.splice(at < 0 ? planned.ends.length : at, 0, { at: until, room: resourcesOf(need) });
  planned.used = true;
  planned.version += 1;
}

/** Known only from a report that does not carry this leader's token: it may be a late copy of a dead one's. */
const isRumour = ({ lastHeartbeatAt, isReconciled, provisionedAt, discoveredAt, claims }: Machine): boolean =>
  lastHeartbeatAt !== null && !isReconciled && provisionedAt >= discoveredAt && claims.size === 0;

function planMachines(state: CoreState, now: Now): Planned[] {
  const planned: Planned[] = [];
  for (const machine of state.machines.values()) {
    const type = state.machineTypes.get(machine.type);
    if (type === undefined || machine.terminationReason !== null || machine.reclaimedAt !== null) continue;
    if (machine.unresponsiveSince !== null || isRumour(machine)) continue;
    const { name, zone, spot } = machine;
    const booted = machine.provisionedAt + type.bootS * 1000;
    // One that is late is expected within half a boot time from now.
    const readyAt =
      machine.lastHeartbeatAt !== null
        ? now.monotonicMs
        : Math.max(booted, now.monotonicMs + type.bootS * 500);
    const ends = [...machine.claims.values()].map((claim) => ({
      at: Math.min(expectedEnd(state, claim, now), stoppableBy(state, claim.job, now)),
      room: resourcesOf(claim.job.spec),
    }));
    ends.sort((a, b) => a.at - b.at);
    const free = freeResources(machine, type);
    const busy = ends.length > 0;
    planned.push({ machine: name, type, zone, spot, readyAt, free, ends, busy, used: false, version: 0 });
  }
  for (const rental of state.provisioningRequests.values()) {
    const type = state.machineTypes.get(rental.type);
    if (type === undefined) continue;
    for (let i = 0; i < rental.count; i += 1) planned.push(newMachine(type, rental.zone, rental.spot, now));
  }
  // Busy machines come first, so that idle ones fall out of use; of these, those with fewest images.
  const images = ({ machine }: Planned): number => state.machines.get(machine ?? '')?.cachedImages.size ?? 0;
  return planned.sort((a, b) => Number(b.busy) - Number(a.busy) || images(b) - images(a));
}

/**
 * When room that idle-time work takes can be had for other work, at the cost of a saved checkpoint; the
 * plan finds that work another place at its end. Dear machines were rented for what could have it at once.
 */
function stoppableBy(state: CoreState, { spec }: JobState, now: Now): number {
  if (spec.checkpointS === 0 || !isBestEffort(state, spec)) return Infinity;
  return now.monotonicMs + spec.saveS * 1000 + 2 * state.config.timing.maxHeartbeatIntervalMs;
}

function newMachine(type: MachineType, zone: string, spot: boolean, now: Now): Planned {
  const readyAt = now.monotonicMs + type.bootS * 1000;
  return {
    machine: null,
    type,
    zone,
    spot,
    readyAt,
    free: resourcesOf(type),
    ends: [],
    busy: false,
    used: false,
    version: 0,
  };
}

/** Kinds of machine that may be asked for now, the cheapest room first. */
function kindsFor(
  state: CoreState,
  spec: JobSpec,
  scarce: ReadonlySet<string>,
  choosy: boolean,
  now: Now,
): Kind[] {
  const kinds: Kind[] = [];
  for (const type of state.machineTypes.values()) {
    if (!fits(spec, type)) continue;
    const each = Math.min(
      type.cpus / Math.max(1e-6, spec.cpus),
      type.memoryGb / Math.max(1e-6, spec.memoryGb),
    );
    const factor = (choosy && scarce.has(type.name) ? SCARCE_FACTOR : 1) / Math.max(1, Math.floor(each));
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        if (!satisfiesConstraints(spec, type.name, zone, spot)) continue;
        if ((state.provisioningBlockedUntil.get(kindKey(type.name, zone, spot)) ?? 0) > now.monotonicMs)
          continue;
        kinds.push({ type, zone, spot, price: (spot ? type.spotPrice : type.price) * factor });
      }
    }
  }
  return kinds.sort((a, b) => a.price - b.price);
}

/** Prices this close to one another are the same. */
const SAME_PRICE = 1.001;

/**
 * The kind to rent next: of those that cost the same the one with the fewest machines, as far
 * as the plan goes. What a cut of a zone, or a wave that takes its machines, leaves is more then.
 */
function pick(plan: Plan, kinds: readonly Kind[]): Kind | undefined {
  const most = (kinds[0]?.price ?? 0) * SAME_PRICE;
  let best: Kind | undefined;
  let least = Infinity;
  for (const kind of kinds) {
    if (kind.price > most) break;
    const count = plan.counts.get(kindKey(kind.type.name, kind.zone, kind.spot)) ?? 0;
    if (count >= least) continue;
    best = kind;
    least = count;
  }
  return best;
}

/**
 * How many tasks of each class would be running now had each started as it came, and the
 * most of late. A backlog does not count: it has piled up for want of room, and room kept
 * ready for as much at once would stand idle as soon as it is worked off.
 */
function noteDemand(state: CoreState, now: Now): void {
  const memory = state.config.policy.demandDecayMs;
  for (const job of state.jobs.values()) {
    const { spec } = job;
    if (job.isCountedInDemand || job.finalStage !== null || spec.form !== 'array' || !isReady(job)) continue;
    job.isCountedInDemand = true;
    const known = state.demand.get(spec.jobClass);
    const usual = known?.meanArrivalGap ?? memory / 8;
    const stays = expectedRun(state, spec) + state.config.timing.maxHeartbeatIntervalMs;
    const until = now.monotonicMs - (now.epochMs - job.readyAt) + stays;
    state.demand.set(spec.jobClass, {
      spec,
      peak: known?.peak ?? 0,
      arrivals: [...(known?.arrivals ?? []), { until, job }],
      updatedAt: known?.updatedAt ?? now.monotonicMs,
      lastArrivalAt: now.monotonicMs,
      meanArrivalGap:
        known === undefined ? usual : usual + (now.monotonicMs - known.lastArrivalAt - usual) / 8,
    });
  }
  for (const demand of state.demand.values()) {
    demand.arrivals = demand.arrivals.filter(
      ({ until, job }) => until > now.monotonicMs && !isFaultyJob(job),
    );
    const current = demand.arrivals.reduce((sum, { job }) => sum + job.spec.tasks, 0);
    demand.peak = Math.max(current, demand.peak * Math.exp((demand.updatedAt - now.monotonicMs) / memory));
    demand.updatedAt = now.monotonicMs;
  }
}

const MOST_CLASSES = 20;

/** Keeps what was learned of the demand, so that the next leader need not learn it anew. */
export function saveDemandHistory(state: CoreState, now: Now, effects: Effect[]): void {
  const lead = state.leadership;
  if (lead === null || now.monotonicMs < state.nextDemandSaveAt) return;
  const { timing } = state.config;
  const small = state.layout.keyWidth !== null;
  state.nextDemandSaveAt = now.monotonicMs + timing.workerLeaseMs;
  const classes: ClassDemandRecord[] = [];
  for (const [name, { spec, peak, meanArrivalGap }] of state.demand) {
    if (classes.length < MOST_CLASSES) {
      const { awaits: _, ...pattern } = spec;
      classes.push({ spec: pattern, peak, gap: meanArrivalGap, ratio: state.runTimeRatio.get(name) ?? 1 });
    }
  }
  if (classes.length === 0) return;
  const parts = small ? packDemand(classes, state.layout.maxValueBytes) : [classes];
  parts.forEach((part, index) =>
    effects.push({
      kind: 'saveDemandHistory',
      transaction: {
        preconditions: [{ key: TERM_KEY, modRevision: lead.modRevision }],
        mutations: [{ put: small ? demandKey(index) : DEMAND_KEY, value: { classes: part } }],
      },
    }),
  );
}

export function restoreDemandHistory(state: CoreState, memory: readonly ClassDemandRecord[], now: Now): void {
  state.nextDemandSaveAt = now.monotonicMs + state.config.timing.workerLeaseMs;
  for (const { spec, peak, gap, ratio } of memory) {
    state.runTimeRatio.set(spec.jobClass, ratio);
    state.demand.set(spec.jobClass, {
      spec,
      peak,
      meanArrivalGap: gap,
      arrivals: [],
      updatedAt: now.monotonicMs,
      lastArrivalAt: now.monotonicMs,
    });
  }
}

interface Plan {
  readonly state: CoreState;
  readonly now: Now;
  readonly machines: Planned[];
  readonly scarce: ReadonlySet<string>;
  readonly wanted: Map<string, { kind: Kind; count: number }>;
  /** Machines of each kind, up, booting or wanted. */
  readonly counts: Map<string, number>;
  /** What is open to the jobs of each shape met so far. */
  readonly open: Map<string, { readonly spec: JobSpec; readonly choosy: boolean; readonly open: Open }>;
}

interface Opening {
  readonly index: number;
  readonly at: number;
  /** The machine's version when `at` was worked out. */
  readonly version: number;
}

/**
 * Planned machines open to tasks of one shape, by the earliest start that each offers. What
 * is put on a machine only ever makes its starts later, so that one whose start was worked
 * out before it changed is looked at again when it comes to the front: a plan's cost
 * follows tasks plus machines, not their product.
 */
export class Openings {
  readonly #byStart = new TinyQueue<Opening>([], (a, b) => a.at - b.at || a.index - b.index);

  constructor(
    readonly machines: Planned[],
    private readonly need: ResourceRequest,
  ) {
    for (let i = 0; i < machines.length; i += 1) this.#enter(i);
  }

  #enter(index: number): void {
    const one = this.machines[index];
    if (one === undefined) return;
    const at = earliest(one, this.need);
    if (at < Infinity) this.#byStart.push({ index, at, version: one.version });
  }

  add(one: Planned): void {
    this.machines.push(one);
    this.#enter(this.machines.length - 1);
  }

  /** The machine with the earliest start, the first of several, and that start; null if none ever has room. */
  first(): { readonly index: number; readonly at: number } | null {
    for (;;) {
      const front = this.#byStart.peek();
      if (front === undefined) return null;
      if (this.machines[front.index]?.version === front.version) return front;
      this.#byStart.pop();
      this.#enter(front.index);
    }
  }

  occupy(index: number, from: number, until: number): void {
    const one = this.machines[index];
    if (one !== undefined) occupy(one, this.need, from, until);
  }
}

/** Machines open to jobs of one shape: cheap and dear ones. */
interface Open {
  readonly cheap: Openings;
  readonly dear: Openings;
}

function openTo(plan: Plan, job: JobState, choosy: boolean): Open {
  const { spec } = job;
  const mayUse = (one: Planned): boolean =>
    satisfiesConstraints(spec, one.type.name, one.zone, one.spot) &&
    !(choosy && plan.scarce.has(one.type.name)) &&
    !(one.machine !== null && isExcluded(job, one.machine));
  const open = plan.machines.filter(mayUse);
  return {
    cheap: new Openings(
      open.filter((one) => one.spot),
      spec,
    ),
    dear: new Openings(
      open.filter((one) => !one.spot),
      spec,
    ),
  };
}

/** What jobs of one shape have in common, as far as the plan goes; null: this one is alone in it. */
function shapeOf({ spec, failedMachines }: JobState): string | null {
  if (failedMachines.size > 0) return null;
  const { cpus, gpus, memoryGb, types, zone, spot } = spec;
  return JSON.stringify([cpus, gpus, memoryGb, types, zone, spot]);
}

/** A machine that the plan would rent for some, open to the jobs of every shape that may use it. */
function addPlanned(plan: Plan, one: Planned, mine: Open): void {
  plan.machines.push(one);
  for (const { spec, choosy, open } of plan.open.values()) {
    const kept = choosy && plan.scarce.has(one.type.name);
    if (open !== mine && (kept || !satisfiesConstraints(spec, one.type.name, one.zone, one.spot))) continue;
    (one.spot ? open.cheap : open.dear).add(one);
  }
}

/** Finds each task its earliest start, on one more machine if it would be too late otherwise. */
function planTasks(plan: Plan, job: JobState, count: number, latest: number, choosy: boolean): void {
  const { state, now } = plan;
  const { spec } = job;
  const run = spec.form === 'service' ? Infinity : expectedRun(state, spec);
  // Idle-time work fills what is there; machines are rented for it, but no dear ones.
  const idle = spec.spot && isBestEffort(state, spec);
  const cheapOnly = isCostSensitive(state, job, now);
  const kinds = kindsFor(state, spec, plan.scarce, choosy, now).filter(({ spot }) => spot || !idle);
  const shape = shapeOf(job) ?? spec.id;
  const known = plan.open.get(shape) ?? { spec, choosy, open: openTo(plan, job, choosy) };
  plan.open.set(shape, known);
  const { cheap, dear } = known.open;
  const mostPlanned = Math.max(MIN_PLANNED_TASKS, 2 * state.machines.size);
  for (let left = Math.min(count, mostPlanned); left > 0; left -= 1) {
    let among = cheap;
    let best = cheap.first();
    // Dear machines are for what would be too late on the cheap ones.
    if ((best?.at ?? Infinity) > latest && !cheapOnly) {
      const other = dear.first();
      if (other !== null && other.at < (best?.at ?? Infinity)) {
        among = dear;
        best = other;
      }
    }
    const start = best?.at ?? Infinity;
    const kind = start > latest ? pick(plan, kinds) : undefined;
    if (kind !== undefined && start > now.monotonicMs + kind.type.bootS * 1000) {
      want(plan, kind, 1);
      const rented = newMachine(kind.type, kind.zone, kind.spot, now);
      addPlanned(plan, rented, known.open);
      among = kind.spot ? cheap : dear;
      best = { index: among.machines.length - 1, at: rented.readyAt };
    }
    if (best === null) break;
    among.occupy(best.index, best.at, best.at + run);
  }
  // One that keeps off some machines is a shape of its own, which nobody will ask for again.
  if (shape === spec.id) plan.open.delete(shape);
}

/** How many tasks of a kind fit a room. */
function slots(need: ResourceRequest, room: Resources): number {
  const left = { ...room };
  let count = 0;
  while (count < MAX_TASKS_IN_ROOM && fits(need, left)) {
    allocate(left, need);
    count += 1;
  }
  return count;
}

/**
 * A class that cannot wait for a boot gets room for as many tasks at once as it lately
 * had at the most. Its waiting tasks alone would not rent it: they get their turn before
 * a machine could be up, late, and so would all that come after them.
 */
function keepReady(plan: Plan, demand: Demand): void {
  const { state, now } = plan;
  const { spec, peak, lastArrivalAt, meanArrivalGap } = demand;
  const choosy = soleType(state, spec) === null;
  const kinds = kindsFor(state, spec, plan.scarce, choosy, now);
  const wait = allowedWait(state, spec);
  const boot = Math.min(
    ...[...state.machineTypes.values()].map((type) => (fits(spec, type) ? type.bootS : Infinity)),
  );
  if (wait > boot * 1000) return;
  // None has come for long, by its own measure or by that of a boot: no more are expected.
  if (now.monotonicMs - lastArrivalAt > Math.min(MAX_ARRIVAL_GAPS * meanArrivalGap, 2000 * boot)) return;
  const needed = Math.ceil(peak * state.config.policy.headroomFactor(spec));
  const cheap = kinds.filter(({ spot }) => spot);
  const kind = cheap[0];
  let missing = needed;
  let missingNow = needed;
  for (const spot of [true, false]) {
    for (const one of plan.machines) {
      // Dear machines stand in while there is no cheap one up, or none to be had.
      if ((spot || kind === undefined ? missing : missingNow) <= 0) break;
      if (one.spot !== spot || !satisfiesConstraints(spec, one.type.name, one.zone, spot)) continue;
      if (choosy && plan.scarce.has(one.type.name)) continue;
      const room = resourcesOf(one.type);
      const machine = one.machine === null ? undefined : state.machines.get(one.machine);
      for (const claim of machine?.claims.values() ?? []) {
        const stays = expectedEnd(state, claim, now) > now.monotonicMs + wait;
        if (stays && claim.job.spec.jobClass !== spec.jobClass) allocate(room, claim.job.spec);
      }
      const found = slots(spec, room);
      if (found > 0) one.used = true;
      if (one.readyAt <= now.monotonicMs) missingNow -= found;
      if (spot || kind === undefined) missing -= found;
    }
  }
  while (missing > 0) {
    const next = pick(plan, cheap);
    const found = next === undefined ? 0 : slots(spec, resourcesOf(next.type));
    if (next === undefined || found === 0) return;
    want(plan, next, 1);
    missing -= found;
  }
}

function want(plan: Plan, kind: Kind, count: number): void {
  const key = kindKey(kind.type.name, kind.zone, kind.spot);
  const asked = plan.wanted.get(key) ?? { kind, count: 0 };
  asked.count += count;
  plan.wanted.set(key, asked);
  plan.counts.set(key, (plan.counts.get(key) ?? 0) + count);
}

/**
 * Plans the waiting tasks onto machines up and booting, and rents for those that would
 * start too late. Classes that cannot wait for a boot get room ahead of their arrival.
 */
export function scaleOut(state: CoreState, now: Now, effects: Effect[]): void {
  const lead = state.leadership;
  if (lead === null || state.machineTypes.size === 0) return;
  noteDemand(state, now);
  const queue = waitingJobs(state, now);
  const scarce = constrainedTypesInDemand(state);
  const machines = planMachines(state, now);
  const counts = new Map<string, number>();
  for (const { type, zone, spot } of machines) {
    const key = kindKey(type.name, zone, spot);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const plan: Plan = {
    state,
    now,
    machines,
    scarce,
    wanted: new Map(),
    counts,
    open: new Map(),
  };
  for (const job of queue) {
    if (isFaultyJob(job)) continue;
    const choosy = soleType(state, job.spec) === null;
    const idle = isBestEffort(state, job.spec);
    const again = idle && job.spec.checkpointS > 0 ? job.claims.size : 0;
    planTasks(plan, job, waitingTasks(job) + again, latestStart(state, job, now), choosy);
  }
  for (const demand of state.demand.values()) keepReady(plan, demand);
  state.plannedMachines.clear();
  for (const { machine, used } of plan.machines)
    if (machine !== null && used) state.plannedMachines.add(machine);
  if (now.monotonicMs < state.provisionNotBefore) return;
  for (const { kind, count } of plan.wanted.values()) {
    // All of it at once: a fleet that is asked for in slices comes up in slices.
    for (let left = count; left > 0; left -= MOST_PER_RENTAL) {
      const rental = {
        requestId: `t${lead.term}-${state.nextRequest++}`,
        type: kind.type.name,
        zone: kind.zone,
        spot: kind.spot,
        count: Math.min(left, MOST_PER_RENTAL),
      };
      state.provisioningRequests.set(rental.requestId, { ...rental, requestedAt: now.monotonicMs });
      const { requestId, ...wanted } = rental;
      log(effects, 'rent', { request: requestId, ...wanted });
      effects.push({ kind: 'provision', ...rental });
    }
  }
}

export function settleProvisioning(
  state: CoreState,
  request: string,
  outcome: readonly string[] | 'refused' | 'malformed' | 'unknown',
  now: Now,
  effects: Effect[],
  machineOf: (name: string) => Machine,
): void {
  const rental = state.provisioningRequests.get(request);
  if (rental === undefined) return;
  if (outcome === 'unknown') {
    // The same request may be repeated: it rents nothing twice.
    const { type, zone, spot, count } = rental;
    effects.push({ kind: 'provision', requestId: request, type, zone, spot, count });
    return;
  }
  state.provisioningRequests.delete(request);
  const got = typeof outcome === 'string' ? [] : outcome;
  for (const name of got) {
    if (state.terminatedMachines.has(name)) continue;
    const machine = machineOf(name);
    machine.type = rental.type;
    machine.zone = rental.zone;
    machine.spot = rental.spot;
    machine.provisionedAt = Math.min(machine.provisionedAt, rental.requestedAt);
  }
  if (got.length < rental.count) {
    // What could not be had is looked for elsewhere at once.
    if (state.nextPlanAt > 0) state.nextPlanAt = 1;
    const type = state.machineTypes.get(rental.type);
    state.provisioningBlockedUntil.set(
      kindKey(rental.type, rental.zone, rental.spot),
      now.monotonicMs + (type?.bootS ?? 30) * 500,
    );
  }
  log(effects, 'rented', { request, got: got.length, of: rental.count });
}

/** Sends back machines that are of no more use. */
export function scaleIn(state: CoreState, now: Now, effects: Effect[]): void {
  const names: string[] = [];
  for (const machine of state.machines.values()) {
    const type = state.machineTypes.get(machine.type);
    if (
      machine.terminationReason === null &&
      type !== undefined &&
      machine.claims.size === 0 &&
      machine.lastHeartbeatAt !== null &&
      !state.plannedMachines.has(machine.name)
    ) {
      const hold = state.config.policy.idleTimeoutMs(type, machine.spot);
      const paid = now.monotonicMs - machine.provisionedAt >= LEAST_PAID_MS;
      // What it completed would run again, were it gone before that is written and this leader with it.
      const kept = [...machine.exits.values()].every(isExitDurable);
      if (paid && kept && now.monotonicMs - machine.idleSince > hold) machine.terminationReason = 'idle';
    }
    if (machine.terminationReason === null) continue;
    const asked = machine.terminationRequestedAt;
    if (asked !== null && now.monotonicMs - asked < state.config.timing.workerLeaseMs) continue;
    machine.terminationRequestedAt = now.monotonicMs;
    names.push(machine.name);
    log(effects, 'give back', {
      machine: machine.name,
      reason: machine.terminationReason,
      tasks: machine.claims.size,
    });
    if (names.length === MOST_RETURNED) break;
  }
  if (names.length > 0) effects.push({ kind: 'terminate', machines: names });
}
