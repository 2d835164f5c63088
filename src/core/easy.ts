/**
 * EASY backfilling (Mu'alem & Feitelson): the head of the queue gets a reservation at
 * its shadow time, and later tasks may start now if they end before it or fit the
 * extra room. Room is counted per machine and resource.
 */
import { isUsable } from './fleet.js';
import { claimTask, nextTask } from './ledger.js';
import { teamUse, waitingJobs } from './queue.js';
import type { CoreState, Head, JobState, LiveClaim, Machine, Now } from './state.js';
import type { JobSpec, MachineType } from './types.js';

const EPSILON = 1e-6;

export interface Room {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

type Need = Readonly<Room>;

export function fits(need: Need, room: Need): boolean {
  return (
    need.cpus <= room.cpus + EPSILON &&
    need.gpus <= room.gpus + EPSILON &&
    need.memoryGb <= room.memoryGb + EPSILON
  );
}

export function take(room: Room, need: Need): void {
  room.cpus -= need.cpus;
  room.gpus -= need.gpus;
  room.memoryGb -= need.memoryGb;
}

export function give(room: Room, need: Need): void {
  room.cpus += need.cpus;
  room.gpus += need.gpus;
  room.memoryGb += need.memoryGb;
}

/** A machine as the placing pass sees it. */
export interface Site {
  readonly machine: Machine;
  readonly type: MachineType;
  readonly free: Room;
}

export function roomOf(type: MachineType): Room {
  return { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb };
}

export function freeRoom(machine: Machine, type: MachineType): Room {
  const free = roomOf(type);
  for (const claim of machine.claims.values()) take(free, claim.job.spec);
  return free;
}

/** When a task on a machine is expected to be gone; one past its end, an allowance from now. */
export function expectedEnd(state: CoreState, claim: LiveClaim, now: Now): number {
  const { spec } = claim.job;
  if (spec.service) return Infinity;
  if (claim.expectedEnd > now.mono) return claim.expectedEnd;
  return now.mono + state.rules.policy.overrunAllowance(spec);
}

export function fetchTime(machine: Machine, type: MachineType, spec: JobSpec): number {
  if (machine.images.has(spec.image) || type.fetchGbPerS <= 0) return 0;
  for (const claim of machine.claims.values()) if (claim.job.spec.image === spec.image) return 0;
  return (spec.imageGb / type.fetchGbPerS) * 1000;
}

/** Whether a job's own wishes allow a kind of machine, apart from what its other tasks take. */
export function allows(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}

/** Zones open to the next task, given every task of the job that may be on a machine. */
export function zoneRule(state: CoreState, job: JobState): (zone: string) => boolean {
  const { spec } = job;
  if (!spec.oneZone && !spec.spread) return () => true;
  const counts = new Map<string, number>();
  for (const claim of job.claims.values()) {
    const zone = state.machines.get(claim.machine)?.zone ?? '';
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  const most = Math.ceil(spec.tasks / 2);
  return (zone) => {
    if (spec.oneZone && counts.size > 0 && !(counts.size === 1 && counts.has(zone))) return false;
    return !spec.spread || (counts.get(zone) ?? 0) < most;
  };
}

interface Reservation {
  readonly job: JobState;
  readonly site: Site;
  readonly shadow: number;
  readonly extra: Room;
}

/** The first time at which one machine has room for the head's task, and what is left over then. */
export function shadowOf(
  state: CoreState,
  site: Site,
  need: Need,
  now: Now,
): { at: number; extra: Room } | null {
  const free = { ...site.free };
  if (fits(need, free)) return { at: now.mono, extra: surplus(free, need) };
  const running = [...site.machine.claims.values()]
    .map((claim) => ({ claim, end: expectedEnd(state, claim, now) }))
    .sort((a, b) => a.end - b.end);
  for (const { claim, end } of running) {
    if (end === Infinity) return null;
    give(free, claim.job.spec);
    if (fits(need, free)) return { at: end, extra: surplus(free, need) };
  }
  return null;
}

function surplus(free: Room, need: Need): Room {
  const extra = { ...free };
  take(extra, need);
  return extra;
}

function reserve(state: CoreState, job: JobState, sites: readonly Site[], now: Now): Reservation | null {
  const open = zoneRule(state, job);
  let best: Reservation | null = null;
  for (const site of sites) {
    const { type, zone, spot } = site.machine;
    if (!allows(job.spec, type, zone, spot) || !open(zone)) continue;
    const found = shadowOf(state, site, job.spec, now);
    if (found !== null && (best === null || found.at < best.shadow)) {
      best = { job, site, shadow: found.at, extra: found.extra };
    }
  }
  return best;
}

/** The paper's two tests, on the machine that the head has reserved. */
export function mayBackfill(
  held: { readonly shadow: number; readonly extra: Need },
  need: Need,
  end: number,
): boolean {
  return end <= held.shadow || fits(need, held.extra);
}

function choose(
  state: CoreState,
  job: JobState,
  sites: readonly Site[],
  held: Reservation | null,
  largest: number,
  now: Now,
): { site: Site; end: number } | null {
  const { spec } = job;
  const open = zoneRule(state, job);
  let best: { site: Site; end: number; score: number } | null = null;
  for (const site of sites) {
    const { machine, type, free } = site;
    if (!fits(spec, free) || !allows(spec, machine.type, machine.zone, machine.spot) || !open(machine.zone))
      continue;
    if (job.failedOn.has(machine.name) && job.failedOn.size < 3) continue;
    const fetch = fetchTime(machine, type, spec);
    const run = state.rules.policy.expectedRun(spec);
    const end = spec.service ? Infinity : now.mono + fetch + run;
    if (held !== null && held.site === site && !mayBackfill(held, spec, end)) continue;
    // Tight fits first, so that large rooms stay whole; a fetch costs its share of the run.
    const left = (free.cpus - spec.cpus) / Math.max(EPSILON, largest);
    const score = left + fetch / (fetch + run + 1);
    if (best === null || score < best.score) best = { site, end, score };
  }
  return best;
}

/** One pass over the queue: starts what may start, and says what the head waits for. */
export function place(state: CoreState, now: Now): void {
  const sites: Site[] = [];
  let largest = 0;
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    if (type === undefined || !isUsable(state, machine, now)) continue;
    largest = Math.max(largest, type.cpus);
    sites.push({ machine, type, free: freeRoom(machine, type) });
  }
  const use = teamUse(state);
  let held: Reservation | null = null;
  let head: Head | null = null;
  for (const job of waitingJobs(state, now)) {
    const { spec } = job;
    const limits = state.rules.teams.get(spec.team);
    for (;;) {
      const task = nextTask(job);
      if (task === null) break;
      const used = use.get(spec.team) ?? { cpus: 0, gpus: 0 };
      const over =
        limits !== undefined &&
        ((limits.cpusMax > 0 && used.cpus + spec.cpus > limits.cpusMax + EPSILON) ||
          (limits.gpusMax > 0 && used.gpus + spec.gpus > limits.gpusMax + EPSILON));
      if (over) break; // a job of a team at its limit is skipped
      const found = choose(state, job, sites, held, largest, now);
      if (found === null) {
        if (head === null) {
          held = reserve(state, job, sites, now);
          head = {
            job: spec.id,
            machine: held?.site.machine.name ?? null,
            shadow: held?.shadow ?? null,
            reason: held === null ? 'no machine could ever take it yet' : 'waits for running tasks to end',
          };
        }
        break;
      }
      const { site, end } = found;
      if (held !== null && held.site === site && end > held.shadow) take(held.extra, spec);
      take(site.free, spec);
      claimTask(state, job, task, site.machine, now, end);
      use.set(spec.team, { cpus: used.cpus + spec.cpus, gpus: used.gpus + spec.gpus });
    }
  }
  state.head = head;
}
