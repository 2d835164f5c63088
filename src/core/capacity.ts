/** Renting and giving back: how much, of what kind, and when. */
import { allows, expectedEnd, fits, freeRoom, give, roomOf, take, type Room } from './easy.js';
import type { Effect } from './effects.js';
import { log } from './fleet.js';
import { waitingTasks } from './ledger.js';
import { waitingJobs } from './queue.js';
import type { CoreState, JobState, Machine, Now } from './state.js';
import type { MachineType } from './types.js';

const MOST_PER_RENTAL = 50;
const MOST_RETURNED = 100;
/** A machine is paid for at least so long, says the cloud's price list. */
const LEAST_PAID_MS = 60_000;

/** A machine in the plan: its free room over time, as a list of ends to come. */
interface Planned {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly readyAt: number;
  readonly free: Room;
  readonly ends: { at: number; room: Room }[];
  readonly kind: Kind | null;
}

interface Kind {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly price: number;
}

export const kindKey = (type: string, zone: string, spot: boolean): string =>
  `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;

/** When a task that needs so much could start on a planned machine. */
function earliest(planned: Planned, need: Room): number | null {
  if (!fits(need, roomOf(planned.type))) return null;
  const free = { ...planned.free };
  if (fits(need, free)) return planned.readyAt;
  for (const { at, room } of planned.ends) {
    give(free, room);
    if (fits(need, free)) return Math.max(planned.readyAt, at);
  }
  return null;
}

function occupy(planned: Planned, need: Room, from: number, until: number): void {
  while (planned.ends.length > 0 && (planned.ends[0]?.at ?? Infinity) <= from) {
    const first = planned.ends.shift();
    if (first !== undefined) give(planned.free, first.room);
  }
  take(planned.free, need);
  const { cpus, gpus, memoryGb } = need;
  const at = planned.ends.findIndex((end) => end.at > until);
  planned.ends.splice(at < 0 ? planned.ends.length : at, 0, { at: until, room: { cpus, gpus, memoryGb } });
}

function planMachines(state: CoreState, now: Now): Planned[] {
  const planned: Planned[] = [];
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    if (type === undefined || machine.leaving !== null || machine.takenAt !== null) continue;
    const { zone, spot } = machine;
    const booted = machine.rentedAt + type.bootS * 1000;
    // One that is late is expected within half a boot time from now.
    const readyAt = machine.heardAt !== null ? now.mono : Math.max(booted, now.mono + type.bootS * 500);
    const ends = [...machine.claims.values()].map((claim) => ({
      at: expectedEnd(state, claim, now),
      room: { cpus: claim.job.spec.cpus, gpus: claim.job.spec.gpus, memoryGb: claim.job.spec.memoryGb },
    }));
    ends.sort((a, b) => a.at - b.at);
    planned.push({ type, zone, spot, readyAt, free: freeRoom(machine, type), ends, kind: null });
  }
  for (const rental of state.rentals.values()) {
    const type = state.types.get(rental.type);
    if (type === undefined) continue;
    for (let i = 0; i < rental.count; i += 1) {
      const readyAt = now.mono + type.bootS * 1000;
      planned.push({
        type,
        zone: rental.zone,
        spot: rental.spot,
        readyAt,
        free: roomOf(type),
        ends: [],
        kind: null,
      });
    }
  }
  return planned;
}

/** Kinds of machine that may be asked for now, the cheapest room first. */
function kindsFor(state: CoreState, job: JobState, now: Now): Kind[] {
  const kinds: Kind[] = [];
  for (const type of state.types.values()) {
    if (!fits(job.spec, roomOf(type))) continue;
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        if (!allows(job.spec, type.name, zone, spot)) continue;
        if ((state.refusedUntil.get(kindKey(type.name, zone, spot)) ?? 0) > now.mono) continue;
        const each = Math.floor(
          Math.min(
            type.cpus / Math.max(1e-6, job.spec.cpus),
            type.memoryGb / Math.max(1e-6, job.spec.memoryGb),
          ),
        );
        kinds.push({ type, zone, spot, price: (spot ? type.spotPrice : type.price) / Math.max(1, each) });
      }
    }
  }
  return kinds.sort((a, b) => a.price - b.price);
}

/** The latest start that a job's aims still allow. */
function latestStart(state: CoreState, job: JobState, now: Now): number {
  const { spec } = job;
  const age = now.wall - spec.submittedAt;
  const aim = state.rules.startWithin.get(spec.jobClass);
  const byAim = aim === undefined ? Infinity : now.mono - age + aim;
  if (spec.deadlineS === null) return Math.min(byAim, now.mono + state.rules.policy.expectedRun(spec));
  const slack = spec.deadlineS * 1000 - state.rules.policy.expectedRun(spec);
  return Math.min(byAim, now.mono - age + slack * state.rules.policy.deadlineSlack(spec));
}

/** Plans the waiting tasks onto machines up and booting, and rents for those that would start too late. */
export function rent(state: CoreState, now: Now, effects: Effect[]): void {
  const lead = state.leadership;
  if (lead === null || state.types.size === 0 || now.mono < state.rentNotBefore) return;
  const planned = planMachines(state, now);
  const wanted = new Map<string, { kind: Kind; count: number }>();
  for (const job of waitingJobs(state, now)) {
    const { spec } = job;
    const latest = latestStart(state, job, now);
    const run = spec.service ? Infinity : state.rules.policy.expectedRun(spec);
    const kinds = kindsFor(state, job, now);
    for (let left = Math.min(waitingTasks(job), 2000); left > 0; left -= 1) {
      let best: Planned | null = null;
      let start = Infinity;
      for (const one of planned) {
        if (!allows(spec, one.type.name, one.zone, one.spot)) continue;
        const at = earliest(one, spec);
        if (at !== null && at < start) {
          best = one;
          start = at;
        }
      }
      const kind = kinds[0];
      if (kind !== undefined && start > latest && start > now.mono + kind.type.bootS * 1000) {
        const key = kindKey(kind.type.name, kind.zone, kind.spot);
        const asked = wanted.get(key) ?? { kind, count: 0 };
        asked.count += 1;
        wanted.set(key, asked);
        start = now.mono + kind.type.bootS * 1000;
        best = { ...kind, readyAt: start, free: roomOf(kind.type), ends: [], kind };
        planned.push(best);
      }
      if (best === null) break;
      occupy(best, spec, start, start + run);
    }
  }
  for (const { kind, count } of wanted.values()) {
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
  const waiting = waitingJobs(state, now);
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    if (
      machine.leaving === null &&
      type !== undefined &&
      machine.claims.size === 0 &&
      machine.heardAt !== null
    ) {
      const hold = state.rules.policy.idleHold(type);
      const paid = now.mono - machine.rentedAt >= LEAST_PAID_MS;
      const needed = waiting.some(
        (job) => allows(job.spec, machine.type, machine.zone, machine.spot) && fits(job.spec, roomOf(type)),
      );
      if (paid && !needed && now.mono - machine.idleSince > hold) machine.leaving = 'idle';
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
