/** What scheduling derives from jobs and machines: the order of the queue, usage, reservations and demand. */
import type { JobSpec, Priority } from '../types.js';
import type { JobState } from './job.js';

/** Where a job stands in the queue: by rank, then priority, then group, then `key`; the lowest first. */
export interface QueuePosition {
  readonly job: JobState;
  /** 0: within its team's guarantee. */
  readonly rank: number;
  readonly priority: Priority;
  readonly group: number;
  readonly key: number;
}

/** What a team's tasks use that are not proven gone. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
  tasks: number;
}

/** The reservation of the job at the head of the queue, in EASY backfilling. */
export interface HeadReservation {
  /** Id of the job. */
  readonly job: string;
  /** Machines that are reserved for it. */
  readonly machines: readonly string[];
  /** Steady milliseconds at which it is expected to start; null: unknown. */
  readonly shadowTime: number | null;
  /** Why it waits. */
  readonly reason: string;
}

/** What a class asks for. Times are in steady milliseconds. */
export interface Demand {
  /** Its latest job, as a pattern for those to come. */
  readonly spec: JobSpec;
  /** The most tasks of it at once of late; decays with time. */
  peak: number;
  /** Jobs that came of late, and when they would have ended had they started at once. */
  arrivals: readonly { readonly until: number; readonly job: JobState }[];
  /** When `peak` was last brought up to date. */
  updatedAt: number;
  /** When a job of it last came. */
  lastArrivalAt: number;
  /** The usual time between two arrivals, in milliseconds. */
  meanArrivalGap: number;
}
