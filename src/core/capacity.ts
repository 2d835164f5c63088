/** Renting and giving back: how much, of what kind, and when. */
import { ARRIVALS_OVER, expectedEnd, onlyType, scarceClasses } from './easy.js';
import type { Effect } from './effects.js';
import { waitingTasks } from './ledger.js';
import { log } from './log.js';
import { isReady } from './pipelines.js';
import { aimsLost, expectedRun, hasDeadline, timeLeft, waitingJobs } from './queue.js';
import { allows, avoids, fits, freeRoom, give, roomOf, take, type Need, type Room } from './room.js';
import { isExitKept, type CoreState, type Demand, type JobState, type Machine, type Now } from './state.js';
import type { JobSpec, MachineType } from './types.js';
import { MEMORY_KEY, memoryKey, packMemory, TERM_KEY, type ClassMemory } from '../wire/records.js';

const MOST_PER_RENTAL = 50;
const MOST_RETURNED = 100;
const MOST_PLANNED = 2000;
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
  readonly free: Room;
  readonly ends: { at: number; room: Room }[];
  /** It runs something now. */
  readonly busy: boolean;
  /** The plan puts something on it. */
  used: boolean;
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
export function earliest(planned: Planned, need: Need): number {
  if (!fits(need, planned.type)) return Infinity;
  if (fits(need, planned.free)) return planned.readyAt;
  const free = { ...planned.free };
  for (const { at, room } of planned.ends) {
    give(free, room);
    if (fits(need, free)) return Math.max(planned.readyAt, at);
  }
  return Infinity;
}

function occupy(planned: Planned, need: Need, from: number, until: number): void {
  while ((planned.ends[0]?.at ?? Infinity) <= from) {
    const first = planned.ends.shift();
    if (first !== undefined) give(planned.free, first.room);
  }
  take(planned.free, need);
  const at = planned.ends.findIndex((end) => end.at > until);
  planned.ends.splice(at < 0 ? planned.ends.length : at, 0, { at: until, room: roomOf(need) });
  planned.used = true;
}

function planMachines(state: CoreState, now: Now): Planned[] {
  const planned: Planned[] = [];
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    if (type === undefined || machine.leaving !== null || machine.takenAt !== null) continue;
    const { name, zone, spot } = machine;
    const booted = machine.rentedAt + type.bootS * 1000;
    // One that is late is expected within half a boot time from now.
    const readyAt = machine.heardAt !== null ? now.mono : Math.max(booted, now.mono + type.bootS * 500);
    const ends = [...machine.claims.values()].map((claim) => ({
      at: expectedEnd(state, claim, now),
      room: roomOf(claim.job.spec),
    }));
    ends.sort((a, b) => a.at - b.at);
    const free = freeRoom(machine, type);
    const busy = ends.length > 0;
    planned.push({ machine: name, type, zone, spot, readyAt, free, ends, busy, used: false });
  }
  for (const rental of state.rentals.values()) {
    const type = state.types.get(rental.type);
    if (type === undefined) continue;
    for (let i = 0; i < rental.count; i += 1) planned.push(newMachine(type, rental.zone, rental.spot, now));
  }
  // Busy machines come first, so that idle ones fall out of use; of these, those with fewest images.
  const images = ({ machine }: Planned): number => state.machines.get(machine ?? '')?.images.size ?? 0;
  return planned.sort((a, b) => Number(b.busy) - Number(a.busy) || images(b) - images(a));
}

function newMachine(type: MachineType, zone: string, spot: boolean, now: Now): Planned {
  const readyAt = now.mono + type.bootS * 1000;
  return { machine: null, type, zone, spot, readyAt, free: roomOf(type), ends: [], busy: false, used: false };
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
  for (const type of state.types.values()) {
    if (!fits(spec, type)) continue;
    const each = Math.min(
      type.cpus / Math.max(1e-6, spec.cpus),
      type.memoryGb / Math.max(1e-6, spec.memoryGb),
    );
    const factor = (choosy && scarce.has(type.name) ? SCARCE_FACTOR : 1) / Math.max(1, Math.floor(each));
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        if (!allows(spec, type.name, zone, spot)) continue;
        if ((state.refusedUntil.get(kindKey(type.name, zone, spot)) ?? 0) > now.mono) continue;
        kinds.push({ type, zone, spot, price: (spot ? type.spotPrice : type.price) * factor });
      }
    }
  }
  return kinds.sort((a, b) => a.price - b.price);
}

/** How long after its submission a job's task may start for its aims to hold, with slack to spare. */
function allowedWait(state: CoreState, spec: JobSpec): number {
  const byAim = state.rules.startWithin.get(spec.jobClass) ?? Infinity;
  const run = expectedRun(state, spec);
  if (spec.deadlineS === null) return Math.min(byAim, run);
  return Math.min(byAim, (spec.deadlineS * 1000 - run) * state.rules.policy.deadlineSlack(spec));
}

/** The latest start, on the steady clock, that a job's aims still allow. */
function latestStart(state: CoreState, job: JobState, now: Now): number {
  const { spec } = job;
  const { lost, all } = aimsLost(state, job, now);
  const left = timeLeft(job, 1, now);
  // Late whatever is rented now: no hurry that dear machines would be worth.
  if (spec.deadlineS !== null && lost >= all) {
    return now.mono + Math.max(0, spec.deadlineS * 1000 + Math.min(0, left));
  }
  const own = now.mono - (now.wall - job.readyAt) + allowedWait(state, spec);
  if (!hasDeadline(job) || spec.deadlineS !== null) return own;
  // Others need it: half of what is left beyond its own run is theirs.
  const slack = state.rules.policy.deadlineSlack(spec) * (left - expectedRun(state, spec));
  return now.mono + Math.max(0, Math.min(slack, own - now.mono));
}

/**
 * How many tasks of each class would be running now had each started as it came, and the
 * most of late. A backlog does not count: it has piled up for want of room, and room kept
 * ready for as much at once would stand idle as soon as it is worked off.
 */
function noteDemand(state: CoreState, now: Now): void {
  const memory = state.rules.policy.headroomMemory;
  for (const job of state.jobs.values()) {
    const { spec } = job;
    if (job.counted || job.over !== null || spec.form !== 'array' || !isReady(job)) continue;
    job.counted = true;
    const known = state.demand.get(spec.jobClass);
    const usual = known?.gap ?? memory / 8;
    const stays = expectedRun(state, spec) + state.rules.timing.longestReport;
    const until = now.mono - (now.wall - job.readyAt) + stays;
    state.demand.set(spec.jobClass, {
      spec,
      peak: known?.peak ?? 0,
      arrivals: [...(known?.arrivals ?? []), { until, tasks: spec.tasks }],
      at: known?.at ?? now.mono,
      arrivedAt: now.mono,
      gap: known === undefined ? usual : usual + (now.mono - known.arrivedAt - usual) / 8,
    });
  }
  for (const demand of state.demand.values()) {
    demand.arrivals = demand.arrivals.filter(({ until }) => until > now.mono);
    const current = demand.arrivals.reduce((sum, { tasks }) => sum + tasks, 0);
    demand.peak = Math.max(current, demand.peak * Math.exp((demand.at - now.mono) / memory));
    demand.at = now.mono;
  }
}

const MOST_CLASSES = 20;

/** Keeps what was learned of the demand, so that the next leader need not learn it anew. */
export function rememberDemand(state: CoreState, now: Now, effects: Effect[]): void {
  const lead = state.leadership;
  if (lead === null || now.mono < state.rememberAt) return;
  const { timing } = state.rules;
  const small = state.layout.width !== null;
  state.rememberAt = now.mono + timing.workerLease;
  const classes: ClassMemory[] = [];
  for (const [name, { spec, peak, gap }] of state.demand) {
    if (classes.length < MOST_CLASSES) {
      const { awaits: _, ...pattern } = spec;
      classes.push({ spec: pattern, peak, gap, ratio: state.runRatio.get(name) ?? 1 });
    }
  }
  if (classes.length === 0) return;
  const parts = small ? packMemory(classes, state.layout.valueBytes) : [classes];
  parts.forEach((part, index) =>
    effects.push({
      kind: 'remember',
      txn: {
        when: [{ key: TERM_KEY, stamp: lead.stamp }],
        apply: [{ put: small ? memoryKey(index) : MEMORY_KEY, value: { classes: part } }],
      },
    }),
  );
}

export function recallDemand(state: CoreState, memory: readonly ClassMemory[], now: Now): void {
  state.rememberAt = now.mono + state.rules.timing.workerLease;
  for (const { spec, peak, gap, ratio } of memory) {
    state.runRatio.set(spec.jobClass, ratio);
    state.demand.set(spec.jobClass, {
      spec,
      peak,
      gap,
      arrivals: [],
      at: now.mono,
      arrivedAt: now.mono,
    });
  }
}

interface Plan {
  readonly state: CoreState;
  readonly now: Now;
  readonly machines: Planned[];
  readonly scarce: ReadonlySet<string>;
  readonly wanted: Map<string, { kind: Kind; count: number }>;
}

/**
 * Planned machines open to the tasks of one job, and the earliest start that each offers.
 * Only the machine that a task is put on has to be looked at again, so that a plan's cost
 * follows tasks plus machines, not their product with all ends.
 */
export class Openings {
  readonly #starts: number[];

  constructor(
    readonly machines: Planned[],
    private readonly need: Need,
  ) {
    this.#starts = machines.map((one) => earliest(one, need));
  }

  add(one: Planned): void {
    this.machines.push(one);
    this.#starts.push(earliest(one, this.need));
  }

  /** The machine with the earliest start, the first of several; -1 if none ever has room. */
  first(): number {
    let best = -1;
    let start = Infinity;
    for (let i = 0; i < this.#starts.length; i += 1) {
      const at = this.#starts[i] ?? Infinity;
      if (at < start) {
        best = i;
        start = at;
      }
    }
    return best;
  }

  startAt(index: number): number {
    return this.#starts[index] ?? Infinity;
  }

  occupy(index: number, until: number): void {
    const one = this.machines[index];
    if (one === undefined) return;
    occupy(one, this.need, this.startAt(index), until);
    this.#starts[index] = earliest(one, this.need);
  }
}

/** Finds each task its earliest start, on one more machine if it would be too late otherwise. */
function planTasks(plan: Plan, job: JobState, count: number, latest: number, choosy: boolean): void {
  const { state, now, machines } = plan;
  const { spec } = job;
  const run = spec.form === 'service' ? Infinity : expectedRun(state, spec);
  const kind = kindsFor(state, spec, plan.scarce, choosy, now)[0];
  const mayUse = (one: Planned): boolean =>
    allows(spec, one.type.name, one.zone, one.spot) &&
    !(choosy && plan.scarce.has(one.type.name)) &&
    !(one.machine !== null && avoids(job, one.machine));
  const open = machines.filter(mayUse);
  const cheap = new Openings(
    open.filter((one) => one.spot),
    spec,
  );
  const dear = new Openings(
    open.filter((one) => !one.spot),
    spec,
  );
  for (let left = Math.min(count, MOST_PLANNED); left > 0; left -= 1) {
    let among = cheap;
    let best = cheap.first();
    // Dear machines are for what would be too late on the cheap ones.
    if (cheap.startAt(best) > latest) {
      const other = dear.first();
      if (dear.startAt(other) < cheap.startAt(best)) {
        among = dear;
        best = other;
      }
    }
    const start = among.startAt(best);
    if (kind !== undefined && start > latest && start > now.mono + kind.type.bootS * 1000) {
      want(plan, kind, 1);
      const rented = newMachine(kind.type, kind.zone, kind.spot, now);
      machines.push(rented);
      among = kind.spot ? cheap : dear;
      best = among.machines.length;
      among.add(rented);
    }
    if (best < 0) break;
    among.occupy(best, among.startAt(best) + run);
  }
}

/** How many tasks of a kind fit a room. */
function slots(need: Need, room: Room): number {
  const left = { ...room };
  let count = 0;
  while (count < MOST_PLANNED && fits(need, left)) {
    take(left, need);
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
  const { spec, peak, arrivedAt, gap } = demand;
  const choosy = onlyType(state, spec) === null;
  const kinds = kindsFor(state, spec, plan.scarce, choosy, now);
  const wait = allowedWait(state, spec);
  const boot = Math.min(
    ...[...state.types.values()].map((type) => (fits(spec, type) ? type.bootS : Infinity)),
  );
  if (wait > boot * 1000) return;
  // None has come for long, by its own measure or by that of a boot: no more are expected.
  if (now.mono - arrivedAt > Math.min(ARRIVALS_OVER * gap, 2000 * boot)) return;
  const needed = Math.ceil(peak * state.rules.policy.headroom(spec));
  const kind = kinds.find(({ spot }) => spot);
  let missing = needed;
  let missingNow = needed;
  for (const spot of [true, false]) {
    for (const one of plan.machines) {
      // Dear machines stand in while there is no cheap one up, or none to be had.
      if ((spot || kind === undefined ? missing : missingNow) <= 0) break;
      if (one.spot !== spot || !allows(spec, one.type.name, one.zone, spot)) continue;
      if (choosy && plan.scarce.has(one.type.name)) continue;
      const room = roomOf(one.type);
      const machine = one.machine === null ? undefined : state.machines.get(one.machine);
      for (const claim of machine?.claims.values() ?? []) {
        const stays = expectedEnd(state, claim, now) > now.mono + wait;
        if (stays && claim.job.spec.jobClass !== spec.jobClass) take(room, claim.job.spec);
      }
      const found = slots(spec, room);
      if (found > 0) one.used = true;
      if (one.readyAt <= now.mono) missingNow -= found;
      if (spot || kind === undefined) missing -= found;
    }
  }
  if (kind === undefined || missing <= 0) return;
  want(plan, kind, Math.ceil(missing / Math.max(1, slots(spec, roomOf(kind.type)))));
}

function want(plan: Plan, kind: Kind, count: number): void {
  const key = kindKey(kind.type.name, kind.zone, kind.spot);
  const asked = plan.wanted.get(key) ?? { kind, count: 0 };
  asked.count += count;
  plan.wanted.set(key, asked);
}

/**
 * Plans the waiting tasks onto machines up and booting, and rents for those that would
 * start too late. Classes that cannot wait for a boot get room ahead of their arrival.
 */
export function rent(state: CoreState, now: Now, effects: Effect[]): void {
  const lead = state.leadership;
  if (lead === null || state.types.size === 0) return;
  noteDemand(state, now);
  const queue = waitingJobs(state, now);
  const scarce = scarceClasses(state);
  const plan: Plan = { state, now, machines: planMachines(state, now), scarce, wanted: new Map() };
  for (const job of queue) {
    const choosy = onlyType(state, job.spec) === null;
    planTasks(plan, job, waitingTasks(job), latestStart(state, job, now), choosy);
  }
  for (const demand of state.demand.values()) keepReady(plan, demand);
  state.inPlan.clear();
  for (const { machine, used } of plan.machines) if (machine !== null && used) state.inPlan.add(machine);
  if (now.mono < state.rentNotBefore) return;
  for (const { kind, count } of plan.wanted.values()) {
    const rental = {
      request: `t${lead.term}-${state.nextRequest++}`,
      type: kind.type.name,
      zone: kind.zone,
      spot: kind.spot,
      count: Math.min(count, MOST_PER_RENTAL),
    };
    state.rentals.set(rental.request, { ...rental, askedAt: now.mono });
    log(effects, 'rent', rental);
    effects.push({ kind: 'rent', ...rental });
  }
}

export function settleRental(
  state: CoreState,
  request: string,
  outcome: readonly string[] | 'refused' | 'malformed' | 'unknown',
  now: Now,
  effects: Effect[],
  machineOf: (name: string) => Machine,
): void {
  const rental = state.rentals.get(request);
  if (rental === undefined) return;
  if (outcome === 'unknown') {
    // The same request may be repeated: it rents nothing twice.
    const { type, zone, spot, count } = rental;
    effects.push({ kind: 'rent', request, type, zone, spot, count });
    return;
  }
  state.rentals.delete(request);
  const got = typeof outcome === 'string' ? [] : outcome;
  for (const name of got) {
    if (state.gone.has(name)) continue;
    const machine = machineOf(name);
    machine.type = rental.type;
    machine.zone = rental.zone;
    machine.spot = rental.spot;
    machine.rentedAt = Math.min(machine.rentedAt, rental.askedAt);
  }
  if (got.length < rental.count) {
    const type = state.types.get(rental.type);
    state.refusedUntil.set(
      kindKey(rental.type, rental.zone, rental.spot),
      now.mono + (type?.bootS ?? 30) * 500,
    );
  }
  log(effects, 'rented', { request, got: got.length, of: rental.count });
}

/** Sends back machines that are of no more use. */
export function giveBack(state: CoreState, now: Now, effects: Effect[]): void {
  const names: string[] = [];
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    if (
      machine.leaving === null &&
      type !== undefined &&
      machine.claims.size === 0 &&
      machine.heardAt !== null &&
      !state.inPlan.has(machine.name)
    ) {
      const hold = state.rules.policy.idleHold(type, machine.spot);
      const paid = now.mono - machine.rentedAt >= LEAST_PAID_MS;
      // What it completed would run again, were it gone before that is written and this leader with it.
      const kept = [...machine.exits.values()].every(isExitKept);
      if (paid && kept && now.mono - machine.idleSince > hold) machine.leaving = 'idle';
    }
    if (machine.leaving === null) continue;
    const asked = machine.returnAskedAt;
    if (asked !== null && now.mono - asked < state.rules.timing.workerLease) continue;
    machine.returnAskedAt = now.mono;
    names.push(machine.name);
    log(effects, 'give back', { machine: machine.name, reason: machine.leaving, tasks: machine.claims.size });
    if (names.length === MOST_RETURNED) break;
  }
  if (names.length > 0) effects.push({ kind: 'return', machines: names });
}
