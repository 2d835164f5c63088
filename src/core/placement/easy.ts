/**
 * EASY backfilling (Mu'alem & Feitelson): the head of the queue gets a reservation at
 * its shadow time, and later tasks may start now if they end before it or fit the
 * extra room. Room is counted per machine and resource.
 */
import {
  isStartSensitive,
  isBestEffort,
  isDeadlineAtRisk,
  isCostSensitive,
  losesObjectiveWithin,
  startDeadline,
} from '../jobs/objectives.js';
import { expectedEnd, isSchedulable } from '../fleet/machines.js';
import { expectedRun, nextTask, waitingTasks } from '../jobs/jobs.js';
import { reserveHeadroom } from './headroom.js';
import { claimTask } from '../persistence/claims.js';
import { preemptFor } from './preemption.js';
import { waitedMs } from './reservations.js';
import { currentQueue } from './job-queue.js';
import {
  satisfiesConstraints,
  isExcluded,
  imageFetchMs,
  fits,
  release,
  isFaultyJob,
  resourcesOf,
  addResources,
  allocate,
} from './resources.js';
import { soleType, constrainedTypes } from './constrained-types.js';
import { tightestFirst, type Hold, type Shadow, type NodeCapacity } from './capacity-index.js';
import type { HeadReservation, JobState, LiveClaim, Machine, Now, TeamUsage } from '../model.js';
import type { CoreState } from '../state.js';
import type { ResourceRequest } from '../types.js';

const EPSILON = 1e-6;
/** What an ordinary machine costs a choice against a cheap one that fits as well. */
const ORDINARY_PENALTY = 1;

/** What it costs a choice to keep a machine busy for the whole of a run more. */
const LONGER_PENALTY = 0.5;

/** What it costs a choice to miss the start aim of a task for want of its image. */
const MISS_PENALTY = 1.5;

/**
 * So many machines that a task fits are weighed against one another, and as many that hold
 * its image: a choice among more is hardly better, and would cost what the fleet's size is.
 */
const MOST_WEIGHED = 160;

/**
 * Of what could wait, a leader that is behind its timers places so many tasks a tick: an array of 20,000
 * short ones took the processor that it needed to hear its workers, and 207 tasks lost their lease.
 */
const MOST_WHEN_BUSY = 8;

/** Room is made for so many jobs at a tick; each looks at all that may be stopped. */
const MOST_CLEARED = 4;

/** Zones open to the next task, given every task of the job that may be on a machine. */
function zoneRule(
  state: CoreState,
  job: JobState,
  placed: readonly NodeCapacity[] = [],
): (zone: string) => boolean {
  const { spec } = job;
  if (!spec.oneZone && !spec.spread) return () => true;
  const counts = new Map<string, number>();
  // A machine known from a claim alone may be in any zone: a new leader put a third of four tasks into one.
  let anywhere = 0;
  const count = (zone: string): void => {
    if (zone === '') anywhere += 1;
    else counts.set(zone, (counts.get(zone) ?? 0) + 1);
  };
  for (const claim of job.claims.values()) count(state.machines.get(claim.machine)?.zone ?? '');
  for (const site of placed) count(site.machine.zone);
  const most = Math.ceil(spec.tasks / 2);
  return (zone) => {
    if (spec.oneZone && (anywhere > 0 || (counts.size > 0 && !(counts.size === 1 && counts.has(zone)))))
      return false;
    return !spec.spread || (counts.get(zone) ?? 0) + anywhere < most;
  };
}

/** How many tasks have to start together: all of a gang's, one of any other job. */
function together(job: JobState): number {
  return job.spec.form === 'gang' ? waitingTasks(job) : 1;
}

type Reservation = { at: number; holds: Map<NodeCapacity, Hold> } | null;

/**
 * The shadow time: running tasks are gone through in the order of their expected
 * ends, collecting the room they free, until enough tasks of the job fit. Null when
 * that never happens.
 */
export function reserveAcrossMachines(
  state: CoreState,
  capacityIndex: readonly NodeCapacity[],
  need: ResourceRequest,
  count: number,
  now: Now,
): Reservation {
  const room = new Map(capacityIndex.map((site) => [site, { ...site.free }]));
  const fitting = (site: NodeCapacity): number => {
    const trial = { ...(room.get(site) ?? site.free) };
    let found = 0;
    for (; found < count && fits(need, trial); found += 1) allocate(trial, need);
    return found;
  };
  const counts = new Map(capacityIndex.map((site) => [site, fitting(site)]));
  let total = 0;
  for (const found of counts.values()) total += found;
  const ends = capacityIndex
    .flatMap((site) =>
      [...site.machine.claims.values()].map((claim) => ({ site, claim, at: expectedEnd(state, claim, now) })),
    )
    .sort((a, b) => a.at - b.at);
  let at = now.monotonicMs;
  for (const end of ends) {
    if (total >= count || end.at === Infinity) break;
    at = end.at;
    const free = room.get(end.site);
    if (free !== undefined) release(free, end.claim.job.spec);
    const found = fitting(end.site);
    total += found - (counts.get(end.site) ?? 0);
    counts.set(end.site, found);
  }
  if (total < count) return null;
  const holds = new Map<NodeCapacity, Hold>();
  let left = count;
  for (const site of [...capacityIndex].sort((a, b) => (counts.get(b) ?? 0) - (counts.get(a) ?? 0))) {
    const taken = Math.min(left, counts.get(site) ?? 0);
    if (taken === 0) break;
    const extra = { ...(room.get(site) ?? site.free) };
    for (let i = 0; i < taken; i += 1) allocate(extra, need);
    holds.set(site, { shadow: at, extra });
    left -= taken;
  }
  return { at, holds };
}

function holdOf({ at, room }: Shadow, need: ResourceRequest): Hold {
  const extra = { ...room };
  allocate(extra, need);
  return { shadow: at, extra };
}

/** When one task that needs so much would fit a machine, and what is free there then. */
export function shadowOn(state: CoreState, site: NodeCapacity, need: ResourceRequest, now: Now): Shadow {
  const room = resourcesOf(site.free);
  if (fits(need, room)) return { at: now.monotonicMs, room };
  if (!fits(need, site.type)) return { at: Infinity, room };
  const ends: { at: number; claim: LiveClaim }[] = [];
  for (const claim of site.machine.claims.values()) {
    const end = expectedEnd(state, claim, now);
    if (end < Infinity) ends.push({ at: end, claim });
  }
  ends.sort((x, y) => x.at - y.at);
  for (const { at, claim } of ends) {
    release(room, claim.job.spec);
    if (fits(need, room)) return { at, room };
  }
  return { at: Infinity, room };
}

/**
 * The shadow time of a single task, which needs just one machine: each is walked by itself to
 * the end at which the task fits. The index keeps them in order; only machines on which
 * something has changed are walked again, and all of them once times have moved on.
 */
export function earliestShadow(
  state: CoreState,
  need: ResourceRequest,
  now: Now,
  able: (site: NodeCapacity) => boolean,
): Reservation {
  const found = state.capacityIndex.shadows(need, (site) => shadowOn(state, site, need, now)).first(able);
  return found === null
    ? null
    : { at: found.shadow.at, holds: new Map([[found.site, holdOf(found.shadow, need)]]) };
}

/** The paper's two tests, on a machine on which room is held. */
export function mayBackfill(hold: Hold, need: ResourceRequest, end: number): boolean {
  return end <= hold.shadow || fits(need, hold.extra);
}

interface Pass {
  readonly state: CoreState;
  readonly now: Now;
  readonly largest: number;
  /** Room held for the head of the queue, and for jobs whose wait nears the bound; none binds its own job. */
  readonly held: {
    readonly job: JobState;
    readonly at: number;
    readonly holds: ReadonlyMap<NodeCapacity, Hold>;
  }[];
  /** Room held for jobs that only one type can take, against jobs with a choice. */
  readonly scarce: Map<NodeCapacity, Hold>;
  /** The lowest priority among jobs that room is so held for. */
  readonly scarcePriority: number;
  /** Needs for which no machine has room in this pass, with what is kept and without. */
  readonly nowhere: { readonly need: ResourceRequest; readonly whole: boolean }[];
}

/** Whether a job keeps off room held for jobs that only one type can take. */
function yields({ state, now, scarce, scarcePriority }: Pass, job: JobState): boolean {
  if (scarce.size === 0 || soleType(state, job.spec) !== null) return false;
  // One of higher priority about to miss an aim goes first.
  return !(job.priority < scarcePriority && isDeadlineAtRisk(state, job, now));
}

/** A start travels in the answer to a report; so long until the next is due at the latest. */
function untilReport(state: CoreState, machine: Machine, now: Now): number {
  if (machine.pendingHeartbeat !== null || machine.lastHeartbeatAt === null) return 0;
  return Math.max(0, machine.lastHeartbeatAt + state.config.timing.maxHeartbeatIntervalMs - now.monotonicMs);
}

/** What one job's tasks go by when a machine is chosen for them. */
interface Wish {
  readonly job: JobState;
  readonly run: number;
  readonly choosy: boolean;
  /** It holds no dear machine for longer than others do. */
  readonly thrifty: boolean;
  readonly idle: boolean;
  readonly startBy: number;
  /** It may use what is kept for hurried tasks. */
  readonly whole: boolean;
}

function wishOf(pass: Pass, job: JobState): Wish {
  const { state, now } = pass;
  return {
    job,
    run: expectedRun(state, job.spec),
    choosy: yields(pass, job),
    thrifty: isCostSensitive(state, job, now) && !state.reservedJobs.includes(job),
    idle: isBestEffort(state, job.spec),
    startBy: startDeadline(state, job, now),
    whole:
      isStartSensitive(state, job.spec) ||
      isDeadlineAtRisk(state, job, now) ||
      state.reservedJobs.includes(job),
  };
}

/** What it costs to put a task on a machine, and when it would end there; null: it may not. */
function weigh(
  pass: Pass,
  wish: Wish,
  site: NodeCapacity,
  open: (zone: string) => boolean,
): { score: number; end: number } | null {
  const { state, now } = pass;
  const { machine, type } = site;
  const { job, run } = wish;
  const { spec } = job;
  const free = wish.whole ? addResources(site.free, site.kept) : site.free;
  if (
    !fits(spec, free) ||
    !satisfiesConstraints(spec, machine.type, machine.zone, machine.spot) ||
    !open(machine.zone)
  )
    return null;
  if (isExcluded(job, machine.name) || !isSchedulable(state, machine, now)) return null;
  const fetch = imageFetchMs(machine, type, spec, now);
  const end = spec.form === 'service' ? Infinity : now.monotonicMs + fetch + run;
  if (wish.thrifty && !machine.spot && end > site.busyUntil) return null;
  for (const { job: owner, holds } of pass.held) {
    const hold = owner === job ? undefined : holds.get(site);
    // What gives way within moments, its progress saved, takes no room from who comes before it.
    if (hold === undefined || (wish.idle && spec.checkpointS > 0 && owner.priority < job.priority)) continue;
    if (!mayBackfill(hold, spec, end)) return null;
  }
  const kept = wish.choosy ? pass.scarce.get(site) : undefined;
  if (kept !== undefined && !mayBackfill(kept, spec, end)) return null;
  // Tight fits first, so that large rooms stay whole; a fetch costs its share of the run.
  const left = (site.free.cpus - spec.cpus) / Math.max(EPSILON, pass.largest);
  // A machine that is busy until then anyway costs nothing more; another is paid for longer.
  const longer = Math.max(0, end - Math.max(now.monotonicMs, site.busyUntil)) / (fetch + run + 1);
  const missed =
    wish.startBy < Infinity && now.monotonicMs + untilReport(state, machine, now) + fetch > wish.startBy;
  const score =
    (missed ? MISS_PENALTY : 0) +
    left +
    fetch / (fetch + run + 1) +
    (machine.spot ? 0 : ORDINARY_PENALTY) +
    LONGER_PENALTY * longer;
  return { score, end };
}

interface Candidate {
  readonly site: NodeCapacity;
  score: number;
  end: number;
}

/** Machines weighed for a job's tasks; after a task is put on one, only that is weighed anew. */
class Candidates {
  readonly #found = new Map<NodeCapacity, Candidate>();
  /** Some that a task fits were left out. */
  #more = false;

  constructor(
    private readonly pass: Pass,
    private readonly wish: Wish,
    private readonly open: (zone: string) => boolean,
  ) {
    this.#gather();
  }

  #add(site: NodeCapacity): boolean {
    const weighed = weigh(this.pass, this.wish, site, this.open);
    if (weighed !== null) this.#found.set(site, { site, ...weighed });
    return weighed !== null;
  }

  #gather(): void {
    const { state } = this.pass;
    const { spec } = this.wish.job;
    this.#found.clear();
    this.#more = false;
    let roomy = false;
    let left = MOST_WEIGHED;
    for (const group of state.capacityIndex.groups) {
      if (!satisfiesConstraints(spec, group.type.name, group.zone, group.spot)) {
        roomy = true;
        continue;
      }
      for (const site of tightestFirst(group, spec, this.wish.whole)) {
        roomy = true;
        if (!this.#add(site) || --left > 0) continue;
        this.#more = true;
        break;
      }
      if (this.#more) break;
    }
    if (!this.#more) {
      if (!roomy) this.pass.nowhere.push({ need: spec, whole: this.wish.whole });
      return;
    }
    left = MOST_WEIGHED;
    for (const machine of state.machinesByImage.get(spec.image) ?? []) {
      const site = state.capacityIndex.of(machine);
      if (site !== undefined && !this.#found.has(site) && this.#add(site) && --left === 0) break;
    }
  }

  /** The machine that costs least, of equal ones the first known. */
  best(): Candidate | null {
    let best: Candidate | null = null;
    for (const one of this.#found.values()) {
      if (
        best === null ||
        one.score < best.score ||
        (one.score === best.score && one.site.machine.discoveryOrder < best.site.machine.discoveryOrder)
      )
        best = one;
    }
    if (best !== null || !this.#more) return best;
    this.#gather();
    return this.best();
  }

  /** Looks at one machine again, on which something has changed. */
  again({ site }: Candidate): void {
    if (!this.#add(site)) this.#found.delete(site);
  }
}

/** Room held on a machine for others than a job. */
function holdsOn(pass: Pass, job: JobState, site: NodeCapacity): Hold[] {
  const held = pass.held.map(({ job: owner, holds }) => (owner === job ? undefined : holds.get(site)));
  return [...held, pass.scarce.get(site)].filter((hold) => hold !== undefined);
}

function occupy(pass: Pass, job: JobState, site: NodeCapacity, end: number): void {
  const { state } = pass;
  const { spec } = job;
  // What was kept for tasks like it is its own first.
  if (!fits(spec, site.free)) {
    state.capacityIndex.used(spec);
    const free = addResources(site.free, site.kept);
    allocate(free, spec);
    const kept = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const amount of ['cpus', 'gpus', 'memoryGb'] as const) {
      kept[amount] = Math.min(site.kept[amount], free[amount]);
      free[amount] -= kept[amount];
    }
    Object.assign(site.kept, kept);
    Object.assign(site.free, free);
  } else allocate(site.free, spec);
  site.busyUntil = Math.max(site.busyUntil, end);
  state.capacityIndex.changed(site);
  for (const hold of holdsOn(pass, job, site)) if (end > hold.shadow) allocate(hold.extra, spec);
}

/** Places what must start together, all of it or nothing. */
function placeGang(pass: Pass, wish: Wish, count: number): { site: NodeCapacity; end: number }[] | null {
  const { state } = pass;
  const { job } = wish;
  const placed: { site: NodeCapacity; end: number }[] = [];
  while (placed.length < count) {
    const open = zoneRule(
      state,
      job,
      placed.map(({ site }) => site),
    );
    const found = new Candidates(pass, wish, open).best();
    if (found === null) {
      for (const { site, end } of placed) {
        state.capacityIndex.settle(site);
        for (const hold of holdsOn(pass, job, site)) if (end > hold.shadow) release(hold.extra, job.spec);
      }
      return null;
    }
    occupy(pass, job, found.site, found.end);
    placed.push({ site: found.site, end: found.end });
  }
  return placed;
}

/** The machines that a job may reserve, or have cleared for it. */
function ableFor(pass: Pass, job: JobState): (site: NodeCapacity) => boolean {
  const { state, now } = pass;
  const { spec } = job;
  const open = zoneRule(state, job);
  // A head that keeps off a machine must not reserve it either: nobody could use it then.
  const off = yields(pass, job) ? pass.scarce : new Map<NodeCapacity, Hold>();
  return (site) => {
    const { machine } = site;
    return (
      !off.has(site) &&
      !pass.held.some(({ job: owner, holds }) => owner !== job && holds.has(site)) &&
      isSchedulable(state, machine, now) &&
      satisfiesConstraints(spec, machine.type, machine.zone, machine.spot) &&
      !isExcluded(job, machine.name) &&
      open(machine.zone)
    );
  };
}

function reserveFor(pass: Pass, job: JobState): Reservation {
  const { state, now } = pass;
  const { spec } = job;
  const able = ableFor(pass, job);
  const count = together(job);
  if (count === 1) return earliestShadow(state, spec, now, able);
  const capacityIndex = [...state.capacityIndex.all].filter(able);
  if (!spec.oneZone) return reserveAcrossMachines(state, capacityIndex, spec, count, now);
  let best: Reservation = null;
  for (const zone of new Set(capacityIndex.map(({ machine }) => machine.zone))) {
    const within = capacityIndex.filter(({ machine }) => machine.zone === zone);
    const found = reserveAcrossMachines(state, within, spec, count, now);
    if (found !== null && (best === null || found.at < best.at)) best = found;
  }
  return best;
}

function withinLimits(state: CoreState, job: JobState, count: number): boolean {
  const limits = state.config.teams.get(job.spec.team);
  if (limits === undefined) return true;
  const { cpus, gpus } = job.spec;
  const used: Pick<TeamUsage, 'cpus' | 'gpus'> = state.usageByTeam.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
  return (
    (limits.maxCpus <= 0 || used.cpus + count * cpus <= limits.maxCpus + EPSILON) &&
    (limits.maxGpus <= 0 || used.gpus + count * gpus <= limits.maxGpus + EPSILON)
  );
}

/** Whether tasks may be put on a machine, as far as its state goes. */
function isSite(state: CoreState, machine: Machine, now: Now): boolean {
  // Dear machines run dry unless the plan still has a use for them.
  return (
    isSchedulable(state, machine, now) &&
    (machine.spot || state.nextPlanAt === 0 || state.plannedMachines.has(machine.name))
  );
}

/**
 * Brings the index up to date: with what has changed, which it returns, or with all of it
 * (null) once times have moved on.
 */
function refreshSites(state: CoreState, now: Now, all: boolean): NodeCapacity[] | null {
  const endOf = (claim: LiveClaim): number => expectedEnd(state, claim, now);
  const changed: NodeCapacity[] = [];
  const refresh = (machine: Machine): void => {
    const type = state.machineTypes.get(machine.type);
    if (type === undefined || !state.machines.has(machine.name) || !isSite(state, machine, now))
      state.capacityIndex.remove(machine);
    else changed.push(state.capacityIndex.update(machine, type, endOf));
  };
  for (const machine of state.changedMachines) refresh(machine);
  state.changedMachines.clear();
  if (!all) return changed;
  state.capacityIndex.forgetShadows();
  for (const machine of state.machines.values()) refresh(machine);
  return null;
}

/** Room on the machines of scarce types, held for the first job that needs them. */
function holdScarce(
  state: CoreState,
  jobs: ReadonlyMap<string, JobState>,
  now: Now,
): Map<NodeCapacity, Hold> {
  const held = new Map<NodeCapacity, Hold>();
  for (const [type, { spec }] of jobs) {
    const shadows = state.capacityIndex.shadows(spec, (site) => shadowOn(state, site, spec, now));
    for (const site of state.capacityIndex.ofType(type)) {
      const shadow = shadows.of(site);
      if (shadow.at < Infinity) held.set(site, holdOf(shadow, spec));
    }
  }
  return held;
}

/** Whether anything may be done for a job now. */
function isInTurn(state: CoreState, job: JobState): boolean {
  // What of a gang is left behind by some of its tasks waits until all have ended.
  if (job.spec.form === 'gang' && job.claims.size > 0) return false;
  return withinLimits(state, job, together(job)); // a job of a team at its limit is skipped
}

/** Whether others may be stopped for a job: it is owed its room, or would miss an aim. */
function isEntitled({ state, now, held }: Pass, job: JobState): boolean {
  // Told at the next report, saved, and proven gone by the one after: later would be too late.
  const making = 4 * state.config.timing.maxHeartbeatIntervalMs;
  // What ends anyway comes too late for what was promised.
  const isLate = (): boolean => {
    const at = held.find(({ job: owner }) => owner === job)?.at ?? Infinity;
    return waitedMs(job, now) + (at - now.monotonicMs) + making > state.config.policy.maxWaitMs(job.spec);
  };
  return (
    state.guaranteedJobs.has(job) ||
    isDeadlineAtRisk(state, job, now) ||
    (state.reservedJobs.includes(job) && isLate()) ||
    losesObjectiveWithin(state, job, making, now)
  );
}

/** One pass over the queue: starts what may start, and says what the head waits for. */
export function place(state: CoreState, now: Now, timesMoved: boolean): void {
  if (timesMoved) state.deferrablePlacements = state.isOverloaded ? MOST_WHEN_BUSY : Infinity;
  const changed = refreshSites(state, now, timesMoved);
  const queue = currentQueue(state, now);
  reserveHeadroom(state, now, changed);
  const scarceJobs = constrainedTypes(state, queue);
  const scarcePriority = Math.min(...[...scarceJobs.values()].map((job) => job.priority));
  const pass: Pass = {
    state,
    now,
    largest: state.capacityIndex.largest(),
    held: [],
    scarce: holdScarce(state, scarceJobs, now),
    scarcePriority,
    nowhere: [],
  };
  for (const job of state.reservedJobs) {
    if (job.waitingCount === 0 || !isInTurn(state, job)) continue;
    const found = reserveFor(pass, job);
    if (found !== null) pass.held.push({ job, ...found });
  }
  let head: HeadReservation | null = null;
  let cleared = 0;
  for (const job of queue) {
    if (!isInTurn(state, job)) continue;
    // One at fault takes what is left over, and holds nothing for itself.
    if (placeJob(pass, job) || isFaultyJob(job)) continue;
    if (timesMoved && cleared < MOST_CLEARED && isEntitled(pass, job)) {
      cleared += 1;
      preemptFor(
        state,
        job,
        together(job) === 1 ? waitingTasks(job) : together(job),
        ableFor(pass, job),
        now,
      );
    }
    if (head !== null) continue;
    const reservation = reserveFor(pass, job);
    const holds = reservation?.holds ?? new Map<NodeCapacity, Hold>();
    pass.held.push({ job, at: reservation?.at ?? Infinity, holds });
    head = {
      job: job.spec.id,
      machines: [...holds.keys()].map(({ machine }) => machine.name),
      shadowTime: reservation?.at ?? null,
      reason: reservation === null ? 'no machine here could ever take it' : 'waits for running tasks to end',
    };
  }
  state.head = head;
}

/** Puts a job's waiting tasks on machines. False: some are left for want of room. */
function placeJob(pass: Pass, job: JobState): boolean {
  const { state, now } = pass;
  const { spec } = job;
  const lacks = pass.nowhere.filter(({ need }) => fits(need, spec));
  if (lacks.some(({ whole }) => whole)) return false;
  const wish = wishOf(pass, job);
  if (lacks.length > 0 && !wish.whole) return false;
  const claim = (site: NodeCapacity, end: number): void => {
    const task = nextTask(job);
    if (task === null) return;
    claimTask(state, job, task, site.machine, now, end);
  };
  if (spec.form === 'gang') {
    const placed = placeGang(pass, wish, together(job));
    for (const { site, end } of placed ?? []) {
      claim(site, end);
      state.capacityIndex.settle(site);
    }
    return placed !== null;
  }
  const zoned = spec.oneZone || spec.spread;
  let candidates: Candidates | null = null;
  while (waitingTasks(job) > 0) {
    if (!withinLimits(state, job, 1) || (isFaultyJob(job) && job.claims.size > 0)) return true;
    if (!wish.whole && state.deferrablePlacements <= 0) return true;
    // Where one task lies decides on the zones of the others.
    if (candidates === null || zoned) candidates = new Candidates(pass, wish, zoneRule(state, job));
    const found = candidates.best();
    if (found === null) return false;
    const { site, end } = found;
    occupy(pass, job, site, end);
    claim(site, end);
    if (!wish.whole) state.deferrablePlacements -= 1;
    state.capacityIndex.settle(site);
    candidates.again(found);
  }
  return true;
}
