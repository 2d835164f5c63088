/**
 * EASY backfilling (Mu'alem & Feitelson): the head of the queue gets a reservation at
 * its shadow time, and later tasks may start now if they end before it or fit the
 * extra room. Room is counted per machine and resource.
 */
import { isUsable } from './fleet.js';
import { claimTask, nextTask, waitingTasks } from './ledger.js';
import { expectedRun, isPressed, teamUse, waitingJobs } from './queue.js';
import { allows, avoids, fetchTime, fits, freeRoom, give, sum, take, type Need, type Room } from './room.js';
import type { CoreState, Head, JobState, LiveClaim, Machine, Now } from './state.js';
import type { JobSpec, MachineType } from './types.js';

const EPSILON = 1e-6;
/** So many usual gaps without an arrival mean that a class has ended for now. */
export const ARRIVALS_OVER = 8;
/** What an ordinary machine costs a choice against a cheap one that fits as well. */
const ORDINARY_PENALTY = 1;

/** While no more machines can be had, room is kept for this share of the most tasks at once of late. */
const KEPT_WHEN_SHORT = 0.6;

/** What it costs a choice to keep a machine busy for the whole of a run more. */
const LONGER_PENALTY = 0.5;

/** What it costs a choice to miss the start aim of a task for want of its image. */
const MISS_PENALTY = 1.5;

/** A machine as the placing pass sees it. */
export interface Site {
  readonly machine: Machine;
  readonly type: MachineType;
  readonly free: Room;
  /** Steady time at which the last of its tasks is expected to end. */
  busyUntil: number;
}

/** Room kept for a blocked job on one machine: all of it until `shadow`, `extra` from then on. */
export interface Hold {
  readonly shadow: number;
  readonly extra: Room;
}

/** When a task on a machine is expected to be gone; one past its end, an allowance from now. */
export function expectedEnd(state: CoreState, claim: LiveClaim, now: Now): number {
  const { spec } = claim.job;
  if (spec.form === 'service') return Infinity;
  if (claim.expectedEnd > now.mono) return claim.expectedEnd;
  return now.mono + state.rules.policy.overrunAllowance(spec);
}

/** Zones open to the next task, given every task of the job that may be on a machine. */
function zoneRule(state: CoreState, job: JobState, placed: readonly Site[] = []): (zone: string) => boolean {
  const { spec } = job;
  if (!spec.oneZone && !spec.spread) return () => true;
  const counts = new Map<string, number>();
  const count = (zone: string): void => {
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  };
  for (const claim of job.claims.values()) count(state.machines.get(claim.machine)?.zone ?? '');
  for (const site of placed) count(site.machine.zone);
  const most = Math.ceil(spec.tasks / 2);
  return (zone) => {
    if (spec.oneZone && counts.size > 0 && !(counts.size === 1 && counts.has(zone))) return false;
    return !spec.spread || (counts.get(zone) ?? 0) < most;
  };
}

/** How many tasks have to start together: all of a gang's, one of any other job. */
function together(job: JobState): number {
  return job.spec.form === 'gang' ? waitingTasks(job) : 1;
}

/**
 * The shadow time: running tasks are gone through in the order of their expected
 * ends, collecting the room they free, until enough tasks of the job fit. Null when
 * that never happens.
 */
export function findShadow(
  state: CoreState,
  sites: readonly Site[],
  need: Need,
  count: number,
  now: Now,
): { at: number; holds: Map<Site, Hold> } | null {
  return count === 1 ? shadowOfOne(state, sites, need, now) : collectRoom(state, sites, need, count, now);
}

type Shadow = ReturnType<typeof findShadow>;

/** The plain walk over all ends, for any number of tasks. */
export function collectRoom(
  state: CoreState,
  sites: readonly Site[],
  need: Need,
  count: number,
  now: Now,
): Shadow {
  const room = new Map(sites.map((site) => [site, { ...site.free }]));
  const fitting = (site: Site): number => {
    const trial = { ...(room.get(site) ?? site.free) };
    let found = 0;
    for (; found < count && fits(need, trial); found += 1) take(trial, need);
    return found;
  };
  const counts = new Map(sites.map((site) => [site, fitting(site)]));
  let total = 0;
  for (const found of counts.values()) total += found;
  const ends = sites
    .flatMap((site) =>
      [...site.machine.claims.values()].map((claim) => ({ site, claim, at: expectedEnd(state, claim, now) })),
    )
    .sort((a, b) => a.at - b.at);
  let at = now.mono;
  for (const end of ends) {
    if (total >= count || end.at === Infinity) break;
    at = end.at;
    const free = room.get(end.site);
    if (free !== undefined) give(free, end.claim.job.spec);
    const found = fitting(end.site);
    total += found - (counts.get(end.site) ?? 0);
    counts.set(end.site, found);
  }
  if (total < count) return null;
  const holds = new Map<Site, Hold>();
  let left = count;
  for (const site of [...sites].sort((a, b) => (counts.get(b) ?? 0) - (counts.get(a) ?? 0))) {
    const taken = Math.min(left, counts.get(site) ?? 0);
    if (taken === 0) break;
    const extra = { ...(room.get(site) ?? site.free) };
    for (let i = 0; i < taken; i += 1) take(extra, need);
    holds.set(site, { shadow: at, extra });
    left -= taken;
  }
  return { at, holds };
}

/**
 * The same for a single task, which needs just one machine: each is walked by itself
 * to the end at which the task fits, and no further than the earliest found so far.
 */
function shadowOfOne(state: CoreState, sites: readonly Site[], need: Need, now: Now): Shadow {
  let best: { at: number; site: Site; room: Room } | null = null;
  for (const site of sites) {
    if (fits(need, site.free)) {
      best = { at: now.mono, site, room: { ...site.free } };
      break;
    }
    if (!fits(need, site.type)) continue;
    const ends: { at: number; claim: LiveClaim }[] = [];
    for (const claim of site.machine.claims.values()) {
      const at = expectedEnd(state, claim, now);
      if (at < (best?.at ?? Infinity)) ends.push({ at, claim });
    }
    ends.sort((a, b) => a.at - b.at);
    const room = { ...site.free };
    for (const { at, claim } of ends) {
      give(room, claim.job.spec);
      if (!fits(need, room)) continue;
      best = { at, site, room };
      break;
    }
  }
  if (best === null) return null;
  take(best.room, need);
  return { at: best.at, holds: new Map([[best.site, { shadow: best.at, extra: best.room }]]) };
}

/** The paper's two tests, on a machine on which room is held. */
export function mayBackfill(hold: Hold, need: Need, end: number): boolean {
  return end <= hold.shadow || fits(need, hold.extra);
}

/** Types that some waiting job needs for want of any other, with the first such job of each. */
function scarceTypes(state: CoreState, queue: readonly JobState[]): Map<string, JobState> {
  const scarce = new Map<string, JobState>();
  if (state.types.size < 2) return scarce;
  for (const job of queue) {
    const only = onlyType(state, job.spec);
    if (only !== null && !scarce.has(only)) scarce.set(only, job);
  }
  return scarce;
}

/** Types that some class that came of late needs for want of any other. */
export function scarceClasses(state: CoreState): Set<string> {
  const scarce = new Set<string>();
  if (state.types.size < 2) return scarce;
  for (const { spec } of state.demand.values()) {
    const only = onlyType(state, spec);
    if (only !== null) scarce.add(only);
  }
  return scarce;
}

/** The one type that can take a job's tasks, or null if several can. */
export function onlyType(state: CoreState, spec: JobSpec): string | null {
  let only: string | null = null;
  for (const type of state.types.values()) {
    const able = fits(spec, type) && (spec.types?.includes(type.name) ?? true);
    if (!able) continue;
    if (only !== null) return null;
    only = type.name;
  }
  return only;
}

/** Tasks of a class that are out or waiting now. */
function present(state: CoreState): Map<string, number> {
  const counts = new Map<string, number>();
  for (const job of state.jobs.values()) {
    const { jobClass } = job.spec;
    counts.set(jobClass, (counts.get(jobClass) ?? 0) + job.claims.size + waitingTasks(job));
  }
  return counts;
}

/** Whether a class cannot wait for a machine to boot: its tasks are to start sooner. */
export function isHurried(state: CoreState, spec: JobSpec): boolean {
  const within = state.rules.startWithin.get(spec.jobClass);
  if (within === undefined) return false;
  for (const type of state.types.values()) if (fits(spec, type) && within > type.bootS * 1000) return false;
  return true;
}

/**
 * Takes room off the sites for tasks of hurried classes that are likely to come: up to the most
 * that were there at once of late. It is kept on machines with many images, always the same
 * ones as far as can be, for elsewhere each image would have to be fetched first.
 */
function keepRoom(state: CoreState, sites: readonly Site[], now: Now): Map<Site, Room> {
  const kept = new Map<Site, Room>();
  const hurried = [...state.demand.values()].filter(({ spec }) => isHurried(state, spec));
  if (hurried.length === 0) return kept;
  const counts = present(state);
  const only = scarceClasses(state);
  // Others wait for the same room then, and many of them will be late.
  const short = [...state.refusedUntil.values()].some((until) => until > now.mono);
  const share = short ? KEPT_WHEN_SHORT : 1;
  const rich = [...sites].sort((a, b) => b.machine.images.size - a.machine.images.size);
  for (const { spec, peak, arrivedAt, gap } of hurried) {
    if (now.mono - arrivedAt > ARRIVALS_OVER * gap) continue;
    const choosy = onlyType(state, spec) === null;
    let missing = Math.ceil(share * peak) - (counts.get(spec.jobClass) ?? 0);
    for (const site of rich) {
      if (missing <= 0) break;
      // What others can run on nothing else is not kept from them.
      if (choosy && only.has(site.machine.type)) continue;
      if (!allows(spec, site.machine.type, site.machine.zone, site.machine.spot)) continue;
      for (; missing > 0 && fits(spec, site.free); missing -= 1) {
        take(site.free, spec);
        const room = kept.get(site) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
        give(room, spec);
        kept.set(site, room);
      }
    }
  }
  return kept;
}

interface Pass {
  readonly state: CoreState;
  readonly now: Now;
  readonly sites: readonly Site[];
  readonly largest: number;
  /** Room held for the head of the queue. */
  head: Map<Site, Hold>;
  /** Room kept for hurried tasks to come, already taken off the sites. */
  readonly kept: ReadonlyMap<Site, Room>;
  /** Room held for jobs that only one type can take, against jobs with a choice. */
  readonly scarce: Map<Site, Hold>;
  /** The lowest priority among jobs that room is so held for. */
  readonly scarcePriority: number;
}

/** Whether a job keeps off room held for jobs that only one type can take. */
function yields({ state, now, scarce, scarcePriority }: Pass, job: JobState): boolean {
  if (scarce.size === 0 || onlyType(state, job.spec) !== null) return false;
  // One of higher priority about to miss an aim goes first.
  return !(job.priority < scarcePriority && isPressed(state, job, now));
}

/** Steady time by which a job's tasks are to start; Infinity where no aim speaks of it. */
function startTime(state: CoreState, job: JobState, now: Now): number {
  const within = state.rules.startWithin.get(job.spec.jobClass);
  return within === undefined ? Infinity : now.mono - (now.wall - job.readyAt) + within;
}

/** A start travels in the answer to a report; so long until the next is due at the latest. */
function untilReport(state: CoreState, machine: Machine, now: Now): number {
  if (machine.held !== null || machine.heardAt === null) return 0;
  return Math.max(0, machine.heardAt + state.rules.timing.longestReport - now.mono);
}

function choose(pass: Pass, job: JobState, placed: readonly Site[]): { site: Site; end: number } | null {
  const { state, now } = pass;
  const { spec } = job;
  const open = zoneRule(state, job, placed);
  const run = expectedRun(state, spec);
  const choosy = yields(pass, job);
  const startBy = startTime(state, job, now);
  const canStartInTime = startBy > now.mono;
  const usesKept = pass.kept.size > 0 && (isHurried(state, spec) || isPressed(state, job, now));
  let best: { site: Site; end: number; score: number } | null = null;
  for (const site of pass.sites) {
    const { machine, type, free } = site;
    const spare = usesKept ? pass.kept.get(site) : undefined;
    if (
      !fits(spec, spare === undefined ? free : sum(free, spare)) ||
      !allows(spec, machine.type, machine.zone, machine.spot) ||
      !open(machine.zone)
    ) {
      continue;
    }
    if (avoids(job, machine.name)) continue;
    const fetch = fetchTime(machine, type, spec, now);
    const end = spec.form === 'service' ? Infinity : now.mono + fetch + run;
    const hold = pass.head.get(site);
    if (hold !== undefined && !mayBackfill(hold, spec, end)) continue;
    const kept = choosy ? pass.scarce.get(site) : undefined;
    if (kept !== undefined && !mayBackfill(kept, spec, end)) continue;
    // Tight fits first, so that large rooms stay whole; a fetch costs its share of the run.
    const left = (free.cpus - spec.cpus) / Math.max(EPSILON, pass.largest);
    // A machine that is busy until then anyway costs nothing more; another is paid for longer.
    const longer = Math.max(0, end - Math.max(now.mono, site.busyUntil)) / (fetch + run + 1);
    const missed = canStartInTime && now.mono + untilReport(state, machine, now) + fetch > startBy;
    const score =
      (missed ? MISS_PENALTY : 0) +
      left +
      fetch / (fetch + run + 1) +
      (machine.spot ? 0 : ORDINARY_PENALTY) +
      LONGER_PENALTY * longer;
    if (best === null || score < best.score) best = { site, end, score };
  }
  return best;
}

function occupy(pass: Pass, job: JobState, site: Site, end: number): void {
  take(site.free, job.spec);
  site.busyUntil = Math.max(site.busyUntil, end);
  for (const hold of [pass.head.get(site), pass.scarce.get(site)]) {
    if (hold !== undefined && end > hold.shadow) take(hold.extra, job.spec);
  }
}

/** Places what must start together: all of it, or nothing. */
function placeTogether(pass: Pass, job: JobState, count: number): { site: Site; end: number }[] | null {
  const placed: { site: Site; end: number }[] = [];
  while (placed.length < count) {
    const found = choose(
      pass,
      job,
      placed.map(({ site }) => site),
    );
    if (found === null) {
      for (const { site, end } of placed) {
        give(site.free, job.spec);
        for (const hold of [pass.head.get(site), pass.scarce.get(site)]) {
          if (hold !== undefined && end > hold.shadow) give(hold.extra, job.spec);
        }
      }
      return null;
    }
    occupy(pass, job, found.site, found.end);
    placed.push(found);
  }
  return placed;
}

function reserveFor(pass: Pass, job: JobState, sites: readonly Site[]): ReturnType<typeof findShadow> {
  const { state, now } = pass;
  const open = zoneRule(state, job);
  // A head that keeps off a machine must not reserve it either: nobody could use it then.
  const off = yields(pass, job) ? pass.scarce : new Map<Site, Hold>();
  const able = sites.filter(
    (site) =>
      !off.has(site) &&
      allows(job.spec, site.machine.type, site.machine.zone, site.machine.spot) &&
      !avoids(job, site.machine.name) &&
      open(site.machine.zone),
  );
  if (!job.spec.oneZone) return findShadow(state, able, job.spec, together(job), now);
  let best: ReturnType<typeof findShadow> = null;
  for (const zone of new Set(able.map(({ machine }) => machine.zone))) {
    const within = able.filter(({ machine }) => machine.zone === zone);
    const found = findShadow(state, within, job.spec, together(job), now);
    if (found !== null && (best === null || found.at < best.at)) best = found;
  }
  return best;
}

function withinLimits(
  state: CoreState,
  job: JobState,
  count: number,
  used: { cpus: number; gpus: number },
): boolean {
  const limits = state.rules.teams.get(job.spec.team);
  if (limits === undefined) return true;
  const { cpus, gpus } = job.spec;
  return (
    (limits.cpusMax <= 0 || used.cpus + count * cpus <= limits.cpusMax + EPSILON) &&
    (limits.gpusMax <= 0 || used.gpus + count * gpus <= limits.gpusMax + EPSILON)
  );
}

/** One pass over the queue: starts what may start, and says what the head waits for. */
export function place(state: CoreState, now: Now): void {
  const sites: Site[] = [];
  let largest = 0;
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    if (type === undefined || !isUsable(state, machine, now)) continue;
    // Dear machines run dry unless the plan still has a use for them.
    if (!machine.spot && state.planAt > 0 && !state.inPlan.has(machine.name)) continue;
    largest = Math.max(largest, type.cpus);
    let busyUntil = now.mono;
    for (const claim of machine.claims.values()) {
      busyUntil = Math.max(busyUntil, expectedEnd(state, claim, now));
    }
    sites.push({ machine, type, free: freeRoom(machine, type), busyUntil });
  }
  const queue = waitingJobs(state, now);
  const scarceJobs = scarceTypes(state, queue);
  const scarcePriority = Math.min(...[...scarceJobs.values()].map((job) => job.priority));
  const kept = keepRoom(state, sites, now);
  const pass: Pass = { state, now, sites, largest, kept, head: new Map(), scarce: new Map(), scarcePriority };
  for (const [type, job] of scarceJobs) {
    for (const site of sites) {
      if (site.machine.type !== type) continue;
      const hold = findShadow(state, [site], job.spec, 1, now)?.holds.get(site);
      if (hold !== undefined) pass.scarce.set(site, hold);
    }
  }
  const use = teamUse(state);
  let head: Head | null = null;
  for (const job of queue) {
    const { spec } = job;
    // What of a gang is left behind by some of its tasks waits until all have ended.
    if (spec.form === 'gang' && job.claims.size > 0) continue;
    const used = use.get(spec.team) ?? { cpus: 0, gpus: 0 };
    use.set(spec.team, used);
    while (waitingTasks(job) > 0) {
      const count = together(job);
      if (!withinLimits(state, job, count, used)) break; // a job of a team at its limit is skipped
      const placed = placeTogether(pass, job, count);
      if (placed === null) {
        if (head === null) {
          const shadow = reserveFor(pass, job, sites);
          pass.head = shadow?.holds ?? new Map<Site, Hold>();
          head = {
            job: spec.id,
            machines: [...pass.head.keys()].map(({ machine }) => machine.name),
            shadow: shadow?.at ?? null,
            reason: shadow === null ? 'no machine here could ever take it' : 'waits for running tasks to end',
          };
        }
        break;
      }
      for (const { site, end } of placed) {
        const task = nextTask(job);
        if (task === null) break;
        claimTask(state, job, task, site.machine, now, end);
        used.cpus += spec.cpus;
        used.gpus += spec.gpus;
      }
    }
  }
  state.head = head;
}
