/** Scaling out: decides how many instances of which kind are provisioned. */
import type { Effect } from '../effects.js';
import { waitingTasks } from '../jobs/jobs.js';
import { isBestEffort } from '../jobs/best-effort.js';
import { latestStart } from '../jobs/objectives.js';
import { log } from '../log.js';
import type { JobState, Leadership, Now } from '../model.js';
import { soleType } from '../placement/constrained-types.js';
import { waitingJobs } from '../placement/job-queue.js';
import { isFaultyJob } from '../placement/resources.js';
import type { CoreState } from '../state.js';
import { createCapacityPlan, type CapacityPlan, type RequestedKind } from './capacity-plan.js';
import { updateDemandHistory } from './demand-history.js';
import { planHeadroom } from './headroom-planning.js';
import { planTasks } from './task-planning.js';

/** Maximum number of instances in one provisioning request. */
const MAX_INSTANCES_PER_REQUEST = 50;

/** Plans a job's waiting tasks, and its placed tasks too if jobs planned earlier may preempt them. */
function planJob(plan: CapacityPlan, job: JobState): void {
  const { state, now } = plan;
  const isPreemptible = isBestEffort(state, job.spec) && job.spec.checkpointS > 0;
  const taskCount = waitingTasks(job) + (isPreemptible ? job.claims.size : 0);
  const isFlexible = soleType(state, job.spec) === null;
  planTasks(plan, job, taskCount, latestStart(state, job, now), isFlexible);
}

/** Sends the provisioning requests for all instances of a kind in one step, so that they boot concurrently. */
function provision(
  state: CoreState,
  leadership: Leadership,
  { kind, count }: RequestedKind,
  now: Now,
  effects: Effect[],
): void {
  for (let left = count; left > 0; left -= MAX_INSTANCES_PER_REQUEST) {
    const requestId = `t${leadership.term}-${state.nextRequestNumber++}`;
    const instances = {
      type: kind.type.name,
      zone: kind.zone,
      spot: kind.spot,
      count: Math.min(left, MAX_INSTANCES_PER_REQUEST),
    };
    state.provisioningRequests.set(requestId, { requestId, ...instances, requestedAt: now.monotonicMs });
    log(effects, 'machines requested', { request: requestId, ...instances });
    effects.push({ kind: 'provision', requestId, ...instances });
  }
}

/**
 * Plans the waiting tasks onto machines that are up or booting, and provisions instances for tasks that would start
 * too late. Classes that cannot wait for a machine to boot get headroom before their jobs arrive.
 */
export function scaleOut(state: CoreState, now: Now, effects: Effect[]): void {
  const leadership = state.leadership;
  if (leadership === null || state.machineTypes.size === 0) return;
  updateDemandHistory(state, now);
  const queue = waitingJobs(state, now);
  const plan = createCapacityPlan(state, now);
  for (const job of queue) if (!isFaultyJob(job)) planJob(plan, job);
  for (const demand of state.demand.values()) planHeadroom(plan, demand);
  state.plannedMachines.clear();
  for (const { machine, isUsed } of plan.machines)
    if (machine !== null && isUsed) state.plannedMachines.add(machine);
  if (now.monotonicMs < state.provisionNotBefore) return;
  for (const requested of plan.requested.values()) provision(state, leadership, requested, now, effects);
}
