/**
 * Demand history: how many tasks of each class would run concurrently, and how often its jobs arrive. It
 * determines the headroom for classes that cannot wait for a machine to boot, and is stored for the next leader.
 */
import type { Effect } from '../effects.js';
import { expectedRunMs, isReady } from '../jobs/jobs.js';
import type { Demand, JobState, Now } from '../model.js';
import {
  DEMAND_KEY,
  demandKey,
  packDemand,
  TERM_KEY,
  type ClassDemandRecord,
} from '../persistence/records.js';
import { isFaultyJob } from '../placement/resources.js';
import type { CoreState } from '../state.js';

/** Maximum number of classes whose history is stored. */
const MAX_SAVED_CLASSES = 20;
/** Weight of the latest gap in the moving average of the gaps between arrivals. */
const ARRIVAL_GAP_WEIGHT = 1 / 8;
/** Initial estimate of a new class's gap between arrivals, as a share of the demand decay time. */
const INITIAL_GAP_SHARE = 1 / 8;

/** Counts a job in the demand of its class once it has arrived and is ready. */
function recordArrival(state: CoreState, job: JobState, now: Now): void {
  const { spec } = job;
  const known = state.demand.get(spec.jobClass);
  const stayMs = expectedRunMs(state, spec) + state.config.timing.maxHeartbeatIntervalMs;
  const until = now.monotonicMs - (now.epochMs - job.readyAt) + stayMs;
  state.demand.set(spec.jobClass, {
    spec,
    peak: known?.peak ?? 0,
    arrivals: [...(known?.arrivals ?? []), { until, job }],
    updatedAt: known?.updatedAt ?? now.monotonicMs,
    lastArrivalAt: now.monotonicMs,
    meanArrivalGapMs:
      known === undefined
        ? state.config.policy.demandDecayMs * INITIAL_GAP_SHARE
        : known.meanArrivalGapMs +
          (now.monotonicMs - known.lastArrivalAt - known.meanArrivalGapMs) * ARRIVAL_GAP_WEIGHT,
  });
}

/**
 * Drops arrivals that would have ended by now, or whose job is faulty. The peak decays, but not below the tasks of
 * the remaining arrivals.
 */
function updatePeak(state: CoreState, demand: Demand, now: Now): void {
  demand.arrivals = demand.arrivals.filter(({ until, job }) => until > now.monotonicMs && !isFaultyJob(job));
  const current = demand.arrivals.reduce((sum, { job }) => sum + job.spec.tasks, 0);
  const decay = Math.exp((demand.updatedAt - now.monotonicMs) / state.config.policy.demandDecayMs);
  demand.peak = Math.max(current, demand.peak * decay);
  demand.updatedAt = now.monotonicMs;
}

/**
 * Updates the number of tasks of each class that would be running now if each had started on arrival, and the
 * decaying peak of that number. A backlog is not counted: it is caused by a lack of capacity, and headroom for all
 * of it would be idle as soon as the backlog is processed.
 */
export function updateDemandHistory(state: CoreState, now: Now): void {
  for (const job of state.jobs.values()) {
    if (job.isCountedInDemand || job.finalStage !== null || job.spec.form !== 'array' || !isReady(job))
      continue;
    job.isCountedInDemand = true;
    recordArrival(state, job, now);
  }
  for (const demand of state.demand.values()) updatePeak(state, demand, now);
}

/** The stored form of the history, limited to the first `MAX_SAVED_CLASSES` classes. */
function demandRecords(state: CoreState): ClassDemandRecord[] {
  const classes: ClassDemandRecord[] = [];
  for (const [name, { spec, peak, meanArrivalGapMs }] of state.demand) {
    if (classes.length >= MAX_SAVED_CLASSES) break;
    // Dependencies belong to a single job, not to its class.
    const { awaits: _, ...pattern } = spec;
    classes.push({ spec: pattern, peak, gap: meanArrivalGapMs, ratio: state.runTimeRatio.get(name) ?? 1 });
  }
  return classes;
}

/** Stores the demand history once per worker lease, so that the next leader can start from it. */
export function saveDemandHistory(state: CoreState, now: Now, effects: Effect[]): void {
  const leadership = state.leadership;
  if (leadership === null || now.monotonicMs < state.nextDemandSaveAt) return;
  state.nextDemandSaveAt = now.monotonicMs + state.config.timing.workerLeaseMs;
  const classes = demandRecords(state);
  if (classes.length === 0) return;
  const isSplit = state.layout.keyWidth !== null;
  const parts = isSplit ? packDemand(classes, state.layout.maxValueBytes) : [classes];
  parts.forEach((part, index) =>
    effects.push({
      kind: 'saveDemandHistory',
      transaction: {
        preconditions: [{ key: TERM_KEY, modRevision: leadership.modRevision }],
        mutations: [{ put: isSplit ? demandKey(index) : DEMAND_KEY, value: { classes: part } }],
      },
    }),
  );
}

/** Restores the demand history that an earlier leader has stored. */
export function restoreDemandHistory(
  state: CoreState,
  classes: readonly ClassDemandRecord[],
  now: Now,
): void {
  state.nextDemandSaveAt = now.monotonicMs + state.config.timing.workerLeaseMs;
  for (const { spec, peak, gap, ratio } of classes) {
    state.runTimeRatio.set(spec.jobClass, ratio);
    state.demand.set(spec.jobClass, {
      spec,
      peak,
      meanArrivalGapMs: gap,
      arrivals: [],
      updatedAt: now.monotonicMs,
      lastArrivalAt: now.monotonicMs,
    });
  }
}
