/** Scores the placement of a job's task on a machine: the lower, the better. */
import { isBestEffort, isCostSensitive } from '../jobs/best-effort.js';
import { isDeadlineAtRisk, isStartSensitive, startDeadline } from '../jobs/objectives.js';
import { expectedRunMs } from '../jobs/jobs.js';
import { isSchedulable } from '../fleet/machines.js';
import type { JobState, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { NodeCapacity } from './capacity-index.js';
import { avoidsConstrainedTypes, type PlacementPass } from './placement-pass.js';
import {
  addResources,
  fits,
  imageFetchMs,
  isExcluded,
  RESOURCE_EPSILON,
  satisfiesConstraints,
} from './resources.js';
import { mayBackfill } from './shadow-time.js';
import type { ZoneFilter } from './zone-constraints.js';

/** Penalty of an on-demand machine compared with a spot machine that fits equally well. */
const ON_DEMAND_PENALTY = 1;
/** Penalty of a machine whose use the task prolongs by its whole duration; in proportion if by less. */
const PROLONGED_USE_PENALTY = 0.5;
/** Penalty of a machine that would start the task after its start objective, as when it lacks the image. */
const MISSED_START_PENALTY = 1.5;

/** Properties of a job that determine the choice of a machine for its tasks. */
export interface PlacementPreferences {
  readonly job: JobState;
  /** Expected run time of a task in milliseconds. */
  readonly runMs: number;
  /** Whether it must respect the capacity reserved on constrained machine types. */
  readonly avoidsConstrainedTypes: boolean;
  /** Whether it must not prolong the use of an on-demand machine. */
  readonly isCostSensitive: boolean;
  readonly isBestEffort: boolean;
  /** Monotonic time in milliseconds by which a task should start; Infinity: none. */
  readonly startDeadline: number;
  /** Whether it may use the headroom. */
  readonly mayUseHeadroom: boolean;
}

/** The preferences of a job as of this pass. */
export function preferencesOf(pass: PlacementPass, job: JobState): PlacementPreferences {
  const { state, now } = pass;
  const isReserved = state.reservedJobs.includes(job);
  return {
    job,
    runMs: expectedRunMs(state, job.spec),
    avoidsConstrainedTypes: avoidsConstrainedTypes(pass, job),
    isCostSensitive: isCostSensitive(state, job, now) && !isReserved,
    isBestEffort: isBestEffort(state, job.spec),
    startDeadline: startDeadline(state, job, now),
    mayUseHeadroom: isStartSensitive(state, job.spec) || isDeadlineAtRisk(state, job, now) || isReserved,
  };
}

/** Score of an allowed placement. */
export interface PlacementScore {
  /** The lower, the better. */
  score: number;
  /** Monotonic time in milliseconds at which the task is expected to end there. */
  end: number;
}

/** The score of placing a task of a job on a node; null: it may not be placed there. */
export function scorePlacement(
  pass: PlacementPass,
  preferences: PlacementPreferences,
  node: NodeCapacity,
  isZoneOpen: ZoneFilter,
): PlacementScore | null {
  const { state, now } = pass;
  const { machine, type } = node;
  const { job, runMs } = preferences;
  const { spec, request } = job;
  const free = preferences.mayUseHeadroom ? addResources(node.unreserved, node.headroom) : node.unreserved;
  if (!fits(request, free)) return null;
  if (!satisfiesConstraints(spec, machine.type, machine.zone, machine.spot)) return null;
  if (!isZoneOpen(machine.zone) || isExcluded(job, machine.name)) return null;
  if (!isSchedulable(state, machine, now)) return null;
  const fetchMs = imageFetchMs(machine, type, spec, now);
  const end = spec.form === 'service' ? Infinity : now.monotonicMs + fetchMs + runMs;
  if (preferences.isCostSensitive && !machine.spot && end > node.busyUntil) return null;
  if (!respectsReservations(pass, preferences, node, end)) return null;
  const start = now.monotonicMs + msUntilNextHeartbeat(state, machine, now) + fetchMs;
  const missesStart = preferences.startDeadline < Infinity && start > preferences.startDeadline;
  // Tight fits score better, to limit the fragmentation of free resources.
  const cpusLeftShare = (node.unreserved.cpus - spec.cpus) / Math.max(RESOURCE_EPSILON, pass.maxCpus);
  const durationMs = fetchMs + runMs + 1;
  const prolongedMs = Math.max(0, end - Math.max(now.monotonicMs, node.busyUntil));
  const score =
    (missesStart ? MISSED_START_PENALTY : 0) +
    cpusLeftShare +
    fetchMs / durationMs +
    (machine.spot ? 0 : ON_DEMAND_PENALTY) +
    PROLONGED_USE_PENALTY * (prolongedMs / durationMs);
  return { score, end };
}

/** Whether a task that ends at `end` passes the backfilling tests against all capacity reserved on a node. */
function respectsReservations(
  pass: PlacementPass,
  { job, isBestEffort, avoidsConstrainedTypes }: PlacementPreferences,
  node: NodeCapacity,
  end: number,
): boolean {
  const { spec, request } = job;
  const isQuicklyPreempted = isBestEffort && spec.checkpointS > 0;
  for (const { job: owner, capacity } of pass.reservations) {
    const reserved = owner === job ? undefined : capacity.get(node);
    if (reserved === undefined) continue;
    // Best-effort work with checkpoints is preempted quickly, so it does not block a job of higher priority.
    if (isQuicklyPreempted && owner.priority < job.priority) continue;
    if (!mayBackfill(reserved, request, end)) return false;
  }
  const constrained = avoidsConstrainedTypes ? pass.constrainedCapacity.get(node) : undefined;
  return constrained === undefined || mayBackfill(constrained, request, end);
}

/** Milliseconds until a machine's next heartbeat is due at the latest: a start is sent in the answer to it. */
function msUntilNextHeartbeat(state: CoreState, machine: Machine, now: Now): number {
  if (machine.pendingHeartbeat !== null || machine.lastHeartbeatAt === null) return 0;
  return Math.max(0, machine.lastHeartbeatAt + state.config.timing.maxHeartbeatIntervalMs - now.monotonicMs);
}
