/**
 * Demand history: how many tasks of each class there are at once, and how often jobs of it arrive. It is the
 * measure of the headroom kept for classes that cannot wait for a boot, and is stored for the next leader.
 */
import type { Effect } from '../effects.js';
import { expectedRun, isReady } from '../jobs/jobs.js';
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

/** Classes of which the history is stored, at most. */
const MAX_SAVED_CLASSES = 20;
/** Weight of the latest gap in the moving average of the gaps between arrivals. */
const ARRIVAL_GAP_WEIGHT = 1 / 8;
/** Share of the decay time that a new class's gap between arrivals is assumed to be. */
const INITIAL_GAP_SHARE = 1 / 8;

/** Counts a job's arrival, or its becoming ready, in the demand of its class. */
function recordArrival(state: CoreState, job: JobState, now: Now): void {
  const { spec } = job;
  const known = state.demand.get(spec.jobClass);
  const stayMs = expectedRun(state, spec) + state.config.timing.maxHeartbeatIntervalMs;
  const until = now.monotonicMs - (now.epochMs - job.readyAt) + stayMs;
  state.demand.set(spec.jobClass, {
    spec,
    peak: known?.peak ?? 0,
    arrivals: [...(known?.arrivals ?? []), { until, job }],
    updatedAt: known?.updatedAt ?? now.monotonicMs,
    lastArrivalAt: now.monotonicMs,
    meanArrivalGap:
      known === undefined
        ? state.config.policy.demandDecayMs * INITIAL_GAP_SHARE
        : known.meanArrivalGap +
          (now.monotonicMs - known.lastArrivalAt - known.meanArrivalGap) * ARRIVAL_GAP_WEIGHT,
  });
}

/** Drops arrivals that would have ended, and lets the peak decay down to what is left. */
function updatePeak(state: CoreState, demand: Demand, now: Now): void {
  demand.arrivals = demand.arrivals.filter(({ until, job }) => until > now.monotonicMs && !isFaultyJob(job));
  const current = demand.arrivals.reduce((sum, { job }) => sum + job.spec.tasks, 0);
  const decay = Math.exp((demand.updatedAt - now.monotonicMs) / state.config.policy.demandDecayMs);
  demand.peak = Math.max(current, demand.peak * decay);
  demand.updatedAt = now.monotonicMs;
}

/**
 * Updates how many tasks of each class would be running now had each started on arrival, and the decaying
 * peak of that. A backlog does not count: it has built up for lack of capacity, and headroom for all of it
 * would stand idle as soon as it is worked off.
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

/** The history of the first classes, in stored form. */
function demandRecords(state: CoreState): ClassDemandRecord[] {
  const classes: ClassDemandRecord[] = [];
  for (const [name, { spec, peak, meanArrivalGap }] of state.demand) {
    if (classes.length >= MAX_SAVED_CLASSES) break;
    // The dependencies are those of one job, and not of its class.
    const { awaits: _, ...pattern } = spec;
    classes.push({ spec: pattern, peak, gap: meanArrivalGap, ratio: state.runTimeRatio.get(name) ?? 1 });
  }
  return classes;
}

/** Stores the demand history once per worker lease, so that the next leader begins with it. */
export function saveDemandHistory(state: CoreState, now: Now, effects: Effect[]): void {
  const lead = state.leadership;
  if (lead === null || now.monotonicMs < state.nextDemandSaveAt) return;
  state.nextDemandSaveAt = now.monotonicMs + state.config.timing.workerLeaseMs;
  const classes = demandRecords(state);
  if (classes.length === 0) return;
  const isSplit = state.layout.keyWidth !== null;
  const parts = isSplit ? packDemand(classes, state.layout.maxValueBytes) : [classes];
  parts.forEach((part, index) =>
    effects.push({
      kind: 'saveDemandHistory',
      transaction: {
        preconditions: [{ key: TERM_KEY, modRevision: lead.modRevision }],
        mutations: [{ put: isSplit ? demandKey(index) : DEMAND_KEY, value: { classes: part } }],
      },
    }),
  );
}

/** Begins with the demand history that an earlier leader has stored. */
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
      meanArrivalGap: gap,
      arrivals: [],
      updatedAt: now.monotonicMs,
      lastArrivalAt: now.monotonicMs,
    });
  }
}
