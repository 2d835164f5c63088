/** State that scheduling derives from jobs and machines: queue order, usage, reservations and demand. */
import type { JobSpec, Priority } from '../types.js';
import type { JobState } from './job.js';

/** A job's position in the queue, which is sorted by rank, priority, group and `key`, the lowest first. */
export interface QueuePosition {
  readonly job: JobState;
  /** 0: the job is within its team's guarantee; 1: it is not. */
  readonly rank: number;
  readonly priority: Priority;
  readonly group: number;
  readonly key: number;
}

/** Resources of a team's claimed tasks, which count until a task is proven to be gone from its machine. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
  tasks: number;
}

/** The reservation of the job at the head of the queue, in EASY backfilling. */
export interface HeadReservation {
  /** Id of the job. */
  readonly job: string;
  /** Names of the machines that are reserved for it. */
  readonly machines: readonly string[];
  /** Monotonic time in milliseconds at which it is expected to start; null: unknown. */
  readonly shadowTime: number | null;
  /** Why the job waits. */
  readonly reason: string;
}

/** Observed demand of a job class. Times are monotonic, in milliseconds. */
export interface Demand {
  /** Latest job of the class, taken as typical of jobs to come. */
  readonly spec: JobSpec;
  /** Recent peak of the number of simultaneous tasks of the class; it decays over time. */
  peak: number;
  /** Recently arrived jobs, and when each would end (`until`) if it had started as soon as it was ready. */
  arrivals: readonly { readonly until: number; readonly job: JobState }[];
  /** When `peak` was last updated. */
  updatedAt: number;
  /** When a job of the class last arrived. */
  lastArrivalAt: number;
  /** Moving average of the time between two arrivals, in milliseconds. */
  meanArrivalGapMs: number;
}
