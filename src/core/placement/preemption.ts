/**
 * Preemption: stops tasks so that another job starts in time. Tasks of strictly lower priority may be
 * stopped, and for a guaranteed job also tasks of teams that use more than their guarantee. The tasks
 * that lose the least are stopped first, and no more than needed. Their resources count as free only
 * once the tasks are proven gone. A task that would end about as soon by itself is not stopped, and
 * one that has been stopped before must first have run for more than its checkpoint interval.
 */
import { markForAttention } from '../attention.js';
import { spotSlots } from '../jobs/best-effort.js';
import { hasDeadline } from '../jobs/objectives.js';
import { expectedEnd } from '../fleet/expected-end.js';
import type { JobState, LiveClaim, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { ResourceRequest, Resources } from '../types.js';
import {
  addResources,
  allocate,
  fits,
  fitsType,
  release,
  RESOURCE_EPSILON,
  resourcesOf,
} from './resources.js';
import type { NodeCapacity } from './capacity-index.js';

/** Minimum run time of a task before it may be preempted, as a share of its job's maximum wait. */
const MIN_RUN_SHARE = 0.125;
/** Share of the spot machines' capacity that the first job of a class keeps from preemption for objectives. */
const PROTECTED_SPOT_SHARE = 0.25;
/** Time to stop a task, apart from saving its checkpoint, in maximum heartbeat intervals. */
const STOP_INTERVALS = 2;

/** Run time in milliseconds that a task loses if it is stopped now. */
function preemptionLossMs({ job, runningSince, stage }: LiveClaim, now: Now): number {
  const { checkpointS, saveS, form } = job.spec;
  if (stage !== 'running' || runningSince === null) return 0;
  const ranMs = now.monotonicMs - runningSince;
  // The only placed task of a job counts with its whole run time, so that it is stopped last.
  if (job.claims.size === 1) return ranMs + saveS * 1000;
  if (checkpointS > 0) return saveS * 1000;
  // A replica of a service loses nothing: it continues on another machine.
  return form === 'service' ? 0 : ranMs;
}

/** Whether a task may be stopped now: it would not end about as soon by itself, and it has run long enough. */
function isPreemptible(state: CoreState, claim: LiveClaim, now: Now): boolean {
  const { job, runningSince, stopRequested, attempt } = claim;
  const { form, checkpointS, saveS } = job.spec;
  if (stopRequested || job.finalStage !== null || form === 'gang') return false;
  const { maxHeartbeatIntervalMs } = state.config.timing;
  const stopMs = saveS * 1000 + STOP_INTERVALS * maxHeartbeatIntervalMs;
  if (expectedEnd(state, claim, now) <= now.monotonicMs + stopMs) return false;
  const ranMs = runningSince === null ? 0 : now.monotonicMs - runningSince;
  // A start that is revoked immediately is of no value to the user.
  const minRunMs = MIN_RUN_SHARE * state.config.policy.maxWaitMs(job.spec);
  if (runningSince !== null && ranMs < minRunMs) return false;
  // A task that is stopped repeatedly must make progress in between.
  return attempt === 1 || ranMs > checkpointS * 1000 + maxHeartbeatIntervalMs;
}

/** Whether a task has no objective to lose by being stopped, or saves nearly all of its progress. */
function isExpendable(state: CoreState, { job }: LiveClaim): boolean {
  return job.spec.checkpointS > 0 || (!hasDeadline(job) && !state.config.objectives.has(job.spec.jobClass));
}

/**
 * Tasks protected from preemption for the objective of another job: in each class, a limited number
 * of tasks of the earliest job on machines, those placed first. If all jobs of a class were stopped in
 * turn, none would complete.
 */
function protectedClaims(state: CoreState): Set<LiveClaim> {
  const firstByClass = new Map<string, { readonly job: JobState; readonly count: number }>();
  for (const claims of state.claimsByPriority.values()) {
    for (const { job } of claims) {
      const { jobClass } = job.spec;
      if (job.modRevision >= (firstByClass.get(jobClass)?.job.modRevision ?? Infinity)) continue;
      const count = Math.floor(PROTECTED_SPOT_SHARE * spotSlots(state, job.spec));
      firstByClass.set(jobClass, { job, count });
    }
  }
  const found = new Set<LiveClaim>();
  for (const { job, count } of firstByClass.values()) {
    let remaining = count;
    for (const claim of job.claims.values()) if (remaining-- > 0) found.add(claim);
  }
  return found;
}

/** Returns a filter for the teams that use more CPUs than they are guaranteed. */
function overGuaranteeFilter(state: CoreState): (team: string) => boolean {
  const excessByTeam = new Map<string, number>();
  return (team) => {
    let excess = excessByTeam.get(team);
    if (excess === undefined) {
      const usedCpus = state.usageByTeam.get(team)?.cpus ?? 0;
      excess = usedCpus - (state.config.teams.get(team)?.guaranteedCpus ?? 0);
      excessByTeam.set(team, excess);
    }
    return excess > RESOURCE_EPSILON;
  };
}

/** Returns a filter for the tasks that may be preempted for a job. */
function preemptibleFilter(state: CoreState, job: JobState, now: Now): (claim: LiveClaim) => boolean {
  const isGuaranteed = state.guaranteedJobs.has(job);
  // Meeting one objective at the cost of another gains nothing. A guarantee or a reservation cannot be
  // met in any other way.
  const isEntitled = isGuaranteed || state.reservedJobs.includes(job);
  const isOverGuarantee = overGuaranteeFilter(state);
  const protectedFromObjectives = protectedClaims(state);
  return (claim) => {
    const { priority, spec } = claim.job;
    const isLower = priority > job.priority;
    const isBorrowed = isGuaranteed && spec.team !== job.spec.team && isOverGuarantee(spec.team);
    if (!isLower && !isBorrowed) return false;
    if (state.guaranteedJobs.has(claim.job) || !isPreemptible(state, claim, now)) return false;
    // A task that was started by a starvation reservation is stopped only for a team's guarantee.
    if (claim.isReserved && !isGuaranteed) return false;
    return isEntitled || (!protectedFromObjectives.has(claim) && isExpendable(state, claim));
  };
}

/** Tasks that may be preempted for a job, by machine. */
function preemptibleClaims(state: CoreState, job: JobState, now: Now): Map<Machine, LiveClaim[]> {
  const isGuaranteed = state.guaranteedJobs.has(job);
  const found = new Map<Machine, LiveClaim[]>();
  const hasLower = [...state.claimsByPriority].some(
    ([priority, claims]) => priority > job.priority && claims.size > 0,
  );
  if (!isGuaranteed && !hasLower) return found;
  const mayStop = preemptibleFilter(state, job, now);
  for (const [priority, claims] of state.claimsByPriority) {
    // This is the submitted priority: dependent jobs may have raised a job's priority since, never lowered it.
    if (!isGuaranteed && priority <= job.priority) continue;
    for (const claim of claims) {
      if (!mayStop(claim)) continue;
      const machine = state.machines.get(claim.machine);
      if (machine === undefined) continue;
      const onMachine = found.get(machine);
      if (onMachine === undefined) found.set(machine, [claim]);
      else onMachine.push(claim);
    }
  }
  return found;
}

/** A set of tasks of one machine whose preemption lets one task of the job start. */
interface PreemptionOption {
  readonly victims: readonly LiveClaim[];
  /** Run time in milliseconds that the victims lose in total, plus 1 ms for each of them. */
  readonly loss: number;
}

/** Lower priority first, then smaller loss; of equal ones the latest job, so that the earliest completes. */
const compareVictims = (a: LiveClaim, b: LiveClaim, now: Now): number =>
  b.job.priority - a.job.priority ||
  preemptionLossMs(a, now) - preemptionLossMs(b, now) ||
  b.job.modRevision - a.job.modRevision;

/** Takes victims from the candidates until a request fits; null: it does not fit even without all of them. */
function takeVictims(candidates: LiveClaim[], request: ResourceRequest, free: Resources): LiveClaim[] | null {
  const victims: LiveClaim[] = [];
  while (!fits(request, free)) {
    const next = candidates.shift();
    if (next === undefined) return null;
    release(free, next.job.request);
    victims.push(next);
  }
  // A victim that was taken before a larger one may not be needed any more.
  for (const claim of [...victims].reverse()) {
    const without = resourcesOf(free);
    allocate(without, claim.job.request);
    if (!fits(request, without)) continue;
    allocate(free, claim.job.request);
    victims.splice(victims.indexOf(claim), 1);
  }
  return victims;
}

/**
 * Options for starting tasks on a node, one for each task and at most `count` of them. Tasks that
 * are already being stopped count as gone.
 */
function preemptionOptions(
  node: NodeCapacity,
  preemptible: readonly LiveClaim[],
  request: ResourceRequest,
  count: number,
  now: Now,
): PreemptionOption[] {
  const free = addResources(node.unreserved, node.headroom);
  for (const claim of node.machine.claims.values()) if (claim.stopRequested) release(free, claim.job.request);
  const candidates = [...preemptible].sort((a, b) => compareVictims(a, b, now));
  const options: PreemptionOption[] = [];
  while (options.length < count) {
    const victims = takeVictims(candidates, request, free);
    if (victims === null) return options;
    allocate(free, request);
    const loss = victims.reduce((total, claim) => total + 1 + preemptionLossMs(claim, now), 0);
    options.push({ victims, loss });
  }
  return options;
}

const latestArrival = ({ victims }: PreemptionOption): number =>
  Math.max(0, ...victims.map(({ job }) => job.modRevision));

function requestStop(state: CoreState, claim: LiveClaim, now: Now): void {
  claim.stopRequested = true;
  markForAttention(state, claim.machine);
  claim.job.lastPreemptedAt = now.monotonicMs;
  state.preemptedClaims.add(claim);
}

/** Requests the stop of the tasks that must go for `count` tasks of a job to start; returns their number. */
export function preemptFor(
  state: CoreState,
  job: JobState,
  count: number,
  isEligible: (node: NodeCapacity) => boolean,
  now: Now,
): number {
  const preemptible = preemptibleClaims(state, job, now);
  if (preemptible.size === 0) return 0;
  const machines = new Set(preemptible.keys());
  // Resources that are already being freed can be used without further loss.
  for (const claim of state.preemptedClaims) {
    const machine = state.machines.get(claim.machine);
    if (machine !== undefined) machines.add(machine);
  }
  const options: PreemptionOption[] = [];
  for (const machine of machines) {
    const node = state.capacityIndex.of(machine);
    if (node === undefined || !isEligible(node) || !fitsType(job.spec, node.type)) continue;
    options.push(...preemptionOptions(node, preemptible.get(machine) ?? [], job.request, count, now));
  }
  options.sort((a, b) => a.loss - b.loss || latestArrival(b) - latestArrival(a));
  const victims = options.slice(0, count).flatMap((option) => option.victims);
  for (const claim of victims) requestStop(state, claim, now);
  return victims.length;
}
