/** Plans a job's waiting tasks onto the machines of a capacity plan, and requests the instances that are missing. */
import { expectedRunMs } from '../jobs/jobs.js';
import { isBestEffort, isCostSensitive } from '../jobs/best-effort.js';
import type { JobState } from '../model.js';
import {
  addCandidate,
  findCandidates,
  requestInstance,
  type Candidates,
  type CapacityPlan,
  type ShapeCandidates,
} from './capacity-plan.js';
import { availableKinds, cheapestBalancedKind, type InstanceKind } from './instance-kinds.js';
import { newPlannedMachine } from './planned-machine.js';
import type { StartQueue } from './start-queue.js';

/** Maximum number of tasks of one job in a plan; a large fleet allows more, see `PLANNED_TASKS_PER_MACHINE`. */
const MAX_PLANNED_TASKS = 2000;
/** Maximum number of tasks of one job in a plan per machine of the fleet, if that is more in total. */
const PLANNED_TASKS_PER_MACHINE = 2;

/** Inputs for planning a job's tasks. */
interface TaskPlan {
  readonly candidates: Candidates;
  /** Kinds of instance that may be requested, cheapest first. */
  readonly kinds: readonly InstanceKind[];
  /** Monotonic time in milliseconds by which the tasks should start. */
  readonly latestStartAt: number;
  readonly runMs: number;
  /** The job does not use on-demand machines. */
  readonly isSpotOnly: boolean;
}

/** Key shared by jobs with the same candidates; null: the job has failed on some machines, and shares none. */
function shapeKey({ spec, request, failedMachines }: JobState): string | null {
  if (failedMachines.size > 0) return null;
  const { types, zone, spot } = spec;
  return JSON.stringify([request, types, zone, spot]);
}

/** The queue to start a task from: on-demand only if a spot machine would be too late and on-demand is earlier. */
function earliestQueue({ candidates, latestStartAt, isSpotOnly }: TaskPlan): StartQueue {
  const { spot, onDemand } = candidates;
  const spotStart = spot.first()?.at ?? Infinity;
  if (spotStart <= latestStartAt || isSpotOnly) return spot;
  return (onDemand.first()?.at ?? Infinity) < spotStart ? onDemand : spot;
}

/** Requests an instance and plans a task on it as soon as it has booted. */
function planTaskOnNewInstance(plan: CapacityPlan, kind: InstanceKind, tasks: TaskPlan): void {
  requestInstance(plan, kind);
  const planned = newPlannedMachine(kind.type, kind.zone, kind.spot, plan.now);
  addCandidate(plan, planned, tasks.candidates);
  const queue = kind.spot ? tasks.candidates.spot : tasks.candidates.onDemand;
  queue.occupy(queue.machines.length - 1, planned.readyAt, planned.readyAt + tasks.runMs);
}

/** Plans one task at its earliest start. Returns false if neither a machine nor a new instance can ever run it. */
function planTask(plan: CapacityPlan, tasks: TaskPlan): boolean {
  const queue = earliestQueue(tasks);
  const first = queue.first();
  const start = first?.at ?? Infinity;
  if (start > tasks.latestStartAt) {
    const kind = cheapestBalancedKind(plan.counts, tasks.kinds);
    if (kind !== undefined && start > plan.now.monotonicMs + kind.type.bootS * 1000) {
      planTaskOnNewInstance(plan, kind, tasks);
      return true;
    }
  }
  if (first === null) return false;
  queue.occupy(first.index, first.at, first.at + tasks.runMs);
  return true;
}

/**
 * Plans `count` tasks of a job, each at its earliest start. A task that would start after `latestStartAt` (monotonic
 * time in milliseconds) gets a new instance if it starts sooner there. `isFlexible`: the job can use several machine
 * types, and leaves constrained types to jobs that need them.
 */
export function planTasks(
  plan: CapacityPlan,
  job: JobState,
  count: number,
  latestStartAt: number,
  isFlexible: boolean,
): void {
  const { state, now, constrainedTypes } = plan;
  const { spec } = job;
  // Best-effort tasks use existing capacity; only spot instances are requested for them.
  const requestsSpotOnly = spec.spot && isBestEffort(state, spec);
  const kinds = availableKinds(state, spec, constrainedTypes, isFlexible, now).filter(
    ({ spot }) => spot || !requestsSpotOnly,
  );
  const shape = shapeKey(job) ?? spec.id;
  const known: ShapeCandidates = plan.shapes.get(shape) ?? {
    spec,
    isFlexible,
    candidates: findCandidates(plan, job, isFlexible),
  };
  plan.shapes.set(shape, known);
  const tasks: TaskPlan = {
    candidates: known.candidates,
    kinds,
    latestStartAt,
    runMs: spec.form === 'service' ? Infinity : expectedRunMs(state, spec),
    isSpotOnly: isCostSensitive(state, job, now),
  };
  const limit = Math.max(MAX_PLANNED_TASKS, PLANNED_TASKS_PER_MACHINE * state.machines.size);
  let left = Math.min(count, limit);
  while (left > 0 && planTask(plan, tasks)) left -= 1;
  // A job that excludes some machines has its own candidates, which no other job can reuse.
  if (shape === spec.id) plan.shapes.delete(shape);
}
