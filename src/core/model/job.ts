/** Jobs, the claims of their tasks, and the chunks in which these are stored. */
import type { FinalStage, JobSpec, Priority, TaskStage } from '../types.js';

/** What a job's next write is for; the first is written first when not all fit. */
export const WRITE_REASONS = ['start', 'end', 'exit', 'clean'] as const;

/** One of `WRITE_REASONS`. */
export type WriteReason = (typeof WRITE_REASONS)[number];

/** A task put on a machine and not yet proven gone from it. */
export interface LiveClaim {
  readonly job: JobState;
  /** Index of the task in its job. */
  readonly task: number;
  /** Counts the placements of the task; the first is 1. */
  readonly attempt: number;
  /** Name of the machine. */
  readonly machine: string;
  /** Agent epoch of the machine's worker that the task was given to. */
  readonly agentEpoch: number;
  /** Epoch milliseconds. */
  readonly createdAt: number;
  /** Version of its chunk that first held it: durable once that is committed. */
  version: number;
  /** A start may have been sent, by this leader or one before. */
  startSent: boolean;
  /** What the worker last reported of it; null: nothing yet. */
  stage: TaskStage | null;
  /** Steady milliseconds of its first report as running; null: there was none. */
  runningSince: number | null;
  /** Steady milliseconds at which it is expected to be done. */
  expectedEnd: number;
  /** It got its resources by a starvation reservation: the last to be preempted. */
  readonly isReserved: boolean;
  /** To be stopped although its job goes on. */
  stopRequested: boolean;
}

/** A run of consecutive tasks of a job that is stored as one record. */
export interface Chunk {
  readonly index: number;
  /** Of its record; 0: the key does not exist; null: unknown until it is read again. */
  modRevision: number | null;
  /** Raised with each change of what is to be stored. */
  version: number;
  /** The latest version known to be stored. */
  committedVersion: number;
  /** Version that the latest claim in it came with. */
  claimedVersion: number;
  /** Steady milliseconds since which changes that can wait have waited to be written; null: there are none. */
  dirtySince: number | null;
  /** Steady milliseconds before which it is not written: the key-value store would not take it. */
  blockedUntil: number;
}

/** A record of another layout: what the chunks of the layout now in use do not hold of its tasks is in it. */
export interface SupersededChunk {
  /** Null: unknown until it is read again. */
  modRevision: number | null;
  /** Its first task. */
  readonly first: number;
  /** The task after its last. */
  readonly end: number;
}

/** What a leader knows of a job. */
export interface JobState {
  readonly spec: JobSpec;
  /** Of the job's record: it tells the order in which jobs were accepted. */
  readonly modRevision: number;
  /** How it ended; null: it is live. */
  finalStage: FinalStage | null;
  /** Jobs that it depends on and that are not known to be done; it is ready when there are none. */
  readonly pendingDependencies: Set<string>;
  /** Epoch milliseconds from which it could start: its submission, or the end of its last dependency. */
  readyAt: number;
  /** Its own priority, or the highest of those that depend on it. */
  priority: Priority;
  /** Epoch milliseconds by which jobs that depend on it want it done; Infinity: none does. */
  inheritedDeadline: number;
  /** Tasks of it that wait for a machine, as last counted. */
  waitingCount: number;
  /** Tasks of it that are on machines or wait, as last counted. */
  outstanding: number;
  /** Tasks that their workers report as running. */
  runningCount: number;
  /** What its next write is for; null: there is nothing to be written. */
  writeReason: WriteReason | null;
  /** Steady milliseconds from which only exits have waited to be written. */
  exitsSince: number;
  /** Steady milliseconds at which a task of it was last put on a machine; -Infinity: never. */
  lastPlacedAt: number;
  /** Steady milliseconds at which a task of it was last preempted; -Infinity: never. */
  lastPreemptedAt: number;
  /** It stands in the order of the queue. */
  isQueued: boolean;
  /** Its arrival, or becoming ready, has been counted in the demand. */
  isCountedInDemand: boolean;
  /** Tasks done, one bit each, the lowest bit of a byte first. */
  readonly doneBits: Uint8Array;
  /** Tasks done. */
  doneCount: number;
  /** Latest attempt, by task. */
  readonly attempts: Map<number, number>;
  /** By task. */
  readonly claims: Map<number, LiveClaim>;
  /** Tasks to place again, lowest first; they go before those from `nextNewTask` on. */
  readonly retryTasks: number[];
  /** The first task that may never have been placed. */
  nextNewTask: number;
  /** By index. */
  readonly chunks: Map<number, Chunk>;
  /** By key; each is removed once the chunks of the layout now in use hold all that is known of its tasks. */
  readonly supersededChunks: Map<string, SupersededChunk>;
  /** Attempts in a row since it was found to be at fault. */
  failedAttempts: number;
  /** Steady milliseconds before which none of its tasks is placed. */
  retryAt: number;
  /** Machines on which it has failed since a task of it last completed. */
  readonly failedMachines: Set<string>;
}

/** How a job ended, and when. */
export interface FinalOutcome {
  readonly stage: FinalStage;
  /** Epoch milliseconds. */
  readonly at: number;
}

/** Identifies a task among all jobs: `job/task`. */
export const taskKey = (job: string, task: number): string => `${job}/${task}`;

/** Whether a task has completed. */
export function isDone(job: JobState, task: number): boolean {
  return ((job.doneBits[task >> 3] ?? 0) & (1 << (task & 7))) !== 0;
}
