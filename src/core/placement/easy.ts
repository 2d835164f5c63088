/**
 * EASY backfilling (Mu'alem & Feitelson): the head job, the first of the queue that does not fit,
 * gets a reservation at its shadow time. Later tasks may start now if they end before it or fit
 * the extra nodes. Resources are counted per machine.
 */
import { isDeadlineAtRisk, losesObjectiveWithin } from '../jobs/objectives.js';
import { nextTask, waitingTasks } from '../jobs/jobs.js';
import { claimTask } from '../persistence/claims.js';
import type { HeadReservation, JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { CandidateSet } from './candidates.js';
import type { NodeCapacity } from './capacity-index.js';
import { refreshCapacity } from './capacity-refresh.js';
import { constrainedTypes } from './constrained-types.js';
import { placeGang } from './gang.js';
import { reserveHeadroom } from './headroom.js';
import { currentQueue } from './job-queue.js';
import { nodeFilter, reserveConstrainedTypes, reserveFor } from './job-reservation.js';
import { allocateOnNode, startTogetherCount, type PlacementPass } from './placement-pass.js';
import { preemptFor } from './preemption.js';
import { fits, isFaultyJob } from './resources.js';
import { preferencesOf, type PlacementPreferences } from './scoring.js';
import type { ReservedCapacity } from './shadow-time.js';
import { waitedMs } from './starvation.js';
import { isWithinTeamQuota } from './team-quota.js';
import { zoneFilter } from './zone-constraints.js';

/**
 * Maximum number of deferrable tasks that a leader places per tick while its timers run late. It
 * needs the processor for heartbeats first; otherwise leases of running tasks expire.
 */
const MAX_DEFERRABLE_PLACEMENTS_WHEN_OVERLOADED = 8;

/** Maximum number of jobs per tick that others are preempted for; each visits all preemptible tasks. */
const MAX_PREEMPTING_JOBS = 4;

/** Time of a preemption in maximum heartbeat intervals: stop sent, checkpoint saved, end proven, start sent. */
const PREEMPTION_INTERVALS = 4;

/**
 * Makes one pass over the queue: places the tasks that may start, and records the head job's
 * reservation. `isTick` is true for one pass per tick: it reads all machines again, because expected
 * ends have moved, and may preempt. Passes between ticks read only the machines that have changed.
 */
export function place(state: CoreState, now: Now, isTick: boolean): void {
  if (isTick)
    state.deferrablePlacements = state.isOverloaded ? MAX_DEFERRABLE_PLACEMENTS_WHEN_OVERLOADED : Infinity;
  const changed = refreshCapacity(state, now, isTick);
  const queue = currentQueue(state, now);
  reserveHeadroom(state, now, changed);
  const pass = beginPass(state, queue, now);
  reserveForStarvingJobs(pass);
  let head: HeadReservation | null = null;
  let preemptingJobs = 0;
  for (const job of queue) {
    if (!isSchedulableNow(state, job)) continue;
    // A faulty job uses only what is free now: it gets no reservation, and nothing is preempted for it.
    if (placeJob(pass, job) || isFaultyJob(job)) continue;
    if (isTick && preemptingJobs < MAX_PREEMPTING_JOBS && mayPreempt(pass, job)) {
      preemptingJobs += 1;
      const together = startTogetherCount(job);
      const count = together === 1 ? waitingTasks(job) : together;
      preemptFor(state, job, count, nodeFilter(pass, job), now);
    }
    head ??= reserveForHead(pass, job);
  }
  state.headReservation = head;
}

function beginPass(state: CoreState, queue: readonly JobState[], now: Now): PlacementPass {
  const constrainedJobs = constrainedTypes(state, queue);
  return {
    state,
    now,
    maxCpus: state.capacityIndex.maxCpus(),
    reservations: [],
    constrainedCapacity: reserveConstrainedTypes(state, constrainedJobs, now),
    constrainedPriority: Math.min(...[...constrainedJobs.values()].map((job) => job.priority)),
    unplaceable: [],
  };
}

function reserveForStarvingJobs(pass: PlacementPass): void {
  for (const job of pass.state.reservedJobs) {
    if (job.waitingCount === 0 || !isSchedulableNow(pass.state, job)) continue;
    const reservation = reserveFor(pass, job);
    if (reservation !== null) pass.reservations.push({ job, ...reservation });
  }
}

/** Reserves capacity for the head job at its shadow time, if it has one. */
function reserveForHead(pass: PlacementPass, job: JobState): HeadReservation {
  const reservation = reserveFor(pass, job);
  const shadowTime = reservation?.shadowTime ?? null;
  const capacity = reservation?.capacity ?? new Map<NodeCapacity, ReservedCapacity>();
  pass.reservations.push({ job, shadowTime: shadowTime ?? Infinity, capacity });
  return {
    job: job.spec.id,
    machines: [...capacity.keys()].map(({ machine }) => machine.name),
    shadowTime,
    reason: reservation === null ? 'no machine here could ever take it' : 'waits for running tasks to end',
  };
}

/** Whether a job's tasks may be placed now, regardless of whether a machine has room for them. */
function isSchedulableNow(state: CoreState, job: JobState): boolean {
  // If only some tasks of a gang have ended, it waits for the others to end and starts again as a whole.
  if (job.spec.form === 'gang' && job.claims.size > 0) return false;
  // A job is skipped while it would exceed its team's limit.
  return isWithinTeamQuota(state, job, startTogetherCount(job));
}

/**
 * Whether tasks of other jobs may be preempted for a job: it is within its team's guarantee, an
 * objective is at risk, or it would exceed its maximum wait in spite of a starvation reservation.
 */
function mayPreempt({ state, now, reservations }: PlacementPass, job: JobState): boolean {
  const preemptionMs = PREEMPTION_INTERVALS * state.config.timing.maxHeartbeatIntervalMs;
  // With a reservation, a job preempts others only if waiting for their expected ends would take too long.
  const missesMaxWait = (): boolean => {
    const startsAt = reservations.find(({ job: owner }) => owner === job)?.shadowTime ?? Infinity;
    const waitMs = waitedMs(job, now) + (startsAt - now.monotonicMs) + preemptionMs;
    return waitMs > state.config.policy.maxWaitMs(job.spec);
  };
  return (
    state.guaranteedJobs.has(job) ||
    isDeadlineAtRisk(state, job, now) ||
    (state.reservedJobs.includes(job) && missesMaxWait()) ||
    losesObjectiveWithin(state, job, preemptionMs, now)
  );
}

/** Places a job's waiting tasks. Returns false if some are left because no machine has room for them. */
function placeJob(pass: PlacementPass, job: JobState): boolean {
  const tooLarge = pass.unplaceable.filter(({ request }) => fits(request, job.request));
  if (tooLarge.some(({ includesHeadroom }) => includesHeadroom)) return false;
  const preferences = preferencesOf(pass, job);
  if (tooLarge.length > 0 && !preferences.mayUseHeadroom) return false;
  return job.spec.form === 'gang' ? placeWholeGang(pass, preferences) : placeSingleTasks(pass, preferences);
}

function placeWholeGang(pass: PlacementPass, preferences: PlacementPreferences): boolean {
  const { job } = preferences;
  const placed = placeGang(pass, preferences, startTogetherCount(job));
  if (placed === null) return false;
  for (const { node, end } of placed) claimNextTask(pass, job, node, end);
  return true;
}

/** Places tasks that start independently of each other, until none is left or none may be placed. */
function placeSingleTasks(pass: PlacementPass, preferences: PlacementPreferences): boolean {
  const { state } = pass;
  const { job, mayUseHeadroom } = preferences;
  const hasZoneConstraints = job.spec.oneZone || job.spec.spread;
  let candidates: CandidateSet | null = null;
  while (waitingTasks(job) > 0) {
    if (!isWithinTeamQuota(state, job, 1)) return true;
    // A faulty job is tried one task at a time.
    if (isFaultyJob(job) && job.claims.size > 0) return true;
    if (!mayUseHeadroom && state.deferrablePlacements <= 0) return true;
    // Under zone constraints, the zone of one task limits the zones of the others.
    if (candidates === null || hasZoneConstraints)
      candidates = new CandidateSet(pass, preferences, zoneFilter(state, job));
    const best = candidates.best();
    if (best === null) return false;
    allocateOnNode(pass, job, best.node, best.end);
    claimNextTask(pass, job, best.node, best.end);
    if (!mayUseHeadroom) state.deferrablePlacements -= 1;
    candidates.rescore(best);
  }
  return true;
}

/** Claims the job's next task for a node, and updates the node's entry in the index. */
function claimNextTask({ state, now }: PlacementPass, job: JobState, node: NodeCapacity, end: number): void {
  const task = nextTask(job);
  if (task !== null) claimTask(state, job, task, node.machine, now, end);
  state.capacityIndex.reindex(node);
}
