/**
 * Preemption: one more way for a job to get its room in time. Work of strictly lower priority is stopped,
 * or what another team runs above its guarantee; what loses least first, no more than is needed, and its
 * room is free on proof alone, as ever. Nothing is stopped that would end about as soon, and what was
 * stopped once gains a checkpoint's progress before it is stopped again.
 */
import { needAttention } from '../attention.js';
import { spotSlots, hasDeadline } from '../jobs/objectives.js';
import { expectedEnd } from '../fleet/expected-end.js';
import { fits, release, resourcesOf, addResources, allocate } from './resources.js';
import type { NodeCapacity } from './capacity-index.js';
import type { JobState, LiveClaim, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { ResourceRequest } from '../types.js';

const EPSILON = 1e-6;
/** Part of the bound on waiting that a task runs at least before it is stopped for others. */
const LEAST_RUN = 0.125;

/** What a task loses by being stopped now, in milliseconds of its run. */
export function preemptionLossMs({ job, runningSince, stage }: LiveClaim, now: Now): number {
  const { checkpointS, saveS, form } = job.spec;
  if (stage !== 'running' || runningSince === null) return 0;
  const ran = now.monotonicMs - runningSince;
  // What a job has begun with is the last of it to go; a replica goes on elsewhere as it was.
  if (job.claims.size === 1) return ran + saveS * 1000;
  return checkpointS > 0 ? saveS * 1000 : form === 'service' ? 0 : ran;
}

/** Whether stopping a task now is of any use, and fair to it. */
function isStoppable(state: CoreState, claim: LiveClaim, now: Now): boolean {
  const { job, runningSince, stopRequested, attempt } = claim;
  const { form, checkpointS, saveS } = job.spec;
  if (stopRequested || job.finalStage !== null || form === 'gang') return false;
  const { maxHeartbeatIntervalMs } = state.config.timing;
  if (expectedEnd(state, claim, now) <= now.monotonicMs + saveS * 1000 + 2 * maxHeartbeatIntervalMs)
    return false;
  // A start that is taken back at once is none to its user.
  if (
    runningSince !== null &&
    now.monotonicMs - runningSince < LEAST_RUN * state.config.policy.maxWaitMs(job.spec)
  )
    return false;
  // What begins again and again gets nowhere.
  const gained = runningSince === null ? 0 : now.monotonicMs - runningSince;
  return attempt === 1 || gained > checkpointS * 1000 + maxHeartbeatIntervalMs;
}

/** Whether a task counts on no aim of its own: idle-time work, or what has saved nearly all it would lose. */
function isSpare(state: CoreState, { job }: LiveClaim): boolean {
  return job.spec.checkpointS > 0 || (!hasDeadline(job) && !state.config.objectives.has(job.spec.jobClass));
}

/** Share of the cheap machines' room that a class's first job keeps while others' aims are in danger. */
const KEPT_SHARE = 0.25;

/**
 * Of each class, tasks of the job that came first are let run to their end, those that began first, on a
 * part of the room: with all of them stopped by turns, not one of six arrays was done.
 */
function keptOf(state: CoreState): Set<LiveClaim> {
  const first = new Map<string, { readonly job: JobState; readonly left: number }>();
  for (const claims of state.claimsByPriority.values()) {
    for (const { job } of claims) {
      const { jobClass } = job.spec;
      if (job.modRevision >= (first.get(jobClass)?.job.modRevision ?? Infinity)) continue;
      first.set(jobClass, { job, left: Math.floor(KEPT_SHARE * spotSlots(state, job.spec)) });
    }
  }
  const kept = new Set<LiveClaim>();
  for (const { job, left } of first.values()) {
    let more = left;
    for (const claim of job.claims.values()) if (more-- > 0) kept.add(claim);
  }
  return kept;
}

/** Tasks that may be stopped for a job, by machine. */
function victimsFor(state: CoreState, job: JobState, now: Now): Map<Machine, LiveClaim[]> {
  const guaranteed = state.guaranteedJobs.has(job);
  // To save one aim at the cost of another is no gain; what is owed its room has no other way.
  const owed = guaranteed || state.reservedJobs.includes(job);
  const over = new Map<string, number>();
  const isOver = (team: string): boolean => {
    const above =
      (state.usageByTeam.get(team)?.cpus ?? 0) - (state.config.teams.get(team)?.guaranteedCpus ?? 0);
    if (!over.has(team)) over.set(team, above);
    return (over.get(team) ?? 0) > EPSILON;
  };
  const found = new Map<Machine, LiveClaim[]>();
  const lower = [...state.claimsByPriority].some(
    ([priority, claims]) => priority > job.priority && claims.size > 0,
  );
  if (!guaranteed && !lower) return found;
  const kept = keptOf(state);
  for (const [priority, claims] of state.claimsByPriority) {
    // What needs a job may have raised its priority since, never lowered it.
    if (!guaranteed && priority <= job.priority) continue;
    for (const claim of claims) {
      const less = claim.job.priority > job.priority;
      const borrowed = guaranteed && claim.job.spec.team !== job.spec.team && isOver(claim.job.spec.team);
      if (!(less || borrowed) || state.guaranteedJobs.has(claim.job) || !isStoppable(state, claim, now))
        continue;
      // What was begun on a promise is not taken back for another promise.
      if (claim.isReserved && !guaranteed) continue;
      if (!owed && (kept.has(claim) || !isSpare(state, claim))) continue;
      const machine = state.machines.get(claim.machine);
      if (machine === undefined) continue;
      const known = found.get(machine);
      if (known === undefined) found.set(machine, [claim]);
      else known.push(claim);
    }
  }
  return found;
}

interface Way {
  readonly victims: readonly LiveClaim[];
  readonly loss: number;
}

/** Lower priority first, then what loses least; of those the one whose job came last, so that the first ends. */
const byLoss = (a: LiveClaim, b: LiveClaim, now: Now): number =>
  b.job.priority - a.job.priority ||
  preemptionLossMs(a, now) - preemptionLossMs(b, now) ||
  b.job.modRevision - a.job.modRevision;

/** The ways to make room for one task after another on a machine, the ones under way already first. */
function waysOn(
  site: NodeCapacity,
  victims: LiveClaim[],
  need: ResourceRequest,
  count: number,
  now: Now,
): Way[] {
  const room = addResources(site.free, site.kept);
  for (const claim of site.machine.claims.values()) if (claim.stopRequested) release(room, claim.job.spec);
  const left = [...victims].sort((a, b) => byLoss(a, b, now));
  const ways: Way[] = [];
  while (ways.length < count) {
    const chosen: LiveClaim[] = [];
    while (!fits(need, room)) {
      const next = left.shift();
      if (next === undefined) return ways;
      release(room, next.job.spec);
      chosen.push(next);
    }
    // What was taken before a larger one turned up is not needed.
    for (const claim of [...chosen].reverse()) {
      const without = resourcesOf(room);
      allocate(without, claim.job.spec);
      if (!fits(need, without)) continue;
      allocate(room, claim.job.spec);
      chosen.splice(chosen.indexOf(claim), 1);
    }
    allocate(room, need);
    ways.push({
      victims: chosen,
      loss: chosen.reduce((total, claim) => total + 1 + preemptionLossMs(claim, now), 0),
    });
  }
  return ways;
}

const lastOf = ({ victims }: Way): number => Math.max(0, ...victims.map(({ job }) => job.modRevision));

/** Stops what has to go for so many tasks of a job to start; how many tasks it stops. */
export function preemptFor(
  state: CoreState,
  job: JobState,
  count: number,
  able: (site: NodeCapacity) => boolean,
  now: Now,
): number {
  const victims = victimsFor(state, job, now);
  if (victims.size === 0) return 0;
  const machines = new Set(victims.keys());
  // Room on its way to being free is made already.
  for (const claim of state.preemptedClaims) {
    const machine = state.machines.get(claim.machine);
    if (machine !== undefined) machines.add(machine);
  }
  const ways: Way[] = [];
  for (const machine of machines) {
    const site = state.capacityIndex.of(machine);
    if (site === undefined || !able(site) || !fits(job.spec, site.type)) continue;
    ways.push(...waysOn(site, victims.get(machine) ?? [], job.spec, count, now));
  }
  ways.sort((a, b) => a.loss - b.loss || lastOf(b) - lastOf(a));
  let stopped = 0;
  for (const way of ways.slice(0, count)) {
    for (const claim of way.victims) {
      claim.stopRequested = true;
      needAttention(state, claim.machine);
      claim.job.lastPreemptedAt = now.monotonicMs;
      state.preemptedClaims.add(claim);
      stopped += 1;
    }
  }
  return stopped;
}
