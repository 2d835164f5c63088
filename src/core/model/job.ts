/** Jobs, the claims of their tasks, and the chunks in which these are stored. */
import type { FinalStage, JobSpec, Priority, ResourceRequest, TaskStage } from '../types.js';

/** Reasons for a job's next write, in the order in which jobs are written when not all fit into a transaction. */
export const WRITE_REASONS = ['start', 'end', 'exit', 'clean'] as const;

/** One of `WRITE_REASONS`. */
export type WriteReason = (typeof WRITE_REASONS)[number];

/** The placement of a task on a machine, kept until the task is proven to be gone from it. */
export interface LiveClaim {
  readonly job: JobState;
  /** Index of the task in its job. */
  readonly task: number;
  /** Counts the placements of the task; the first is 1. */
  readonly attempt: number;
  /** Name of the machine. */
  readonly machine: string;
  /** Agent epoch of the machine's worker to which the task was assigned. */
  readonly agentEpoch: number;
  /** Epoch milliseconds of the placement. */
  readonly createdAt: number;
  /** First version of its chunk that contains the claim, which is durable once that version is committed. */
  version: number;
  /** A start command may have been sent, by this leader or an earlier one. */
  startSent: boolean;
  /** Stage that the worker last reported for the task; null: none yet. */
  stage: TaskStage | null;
  /** Monotonic time in milliseconds at which the task was first reported as running; null: not yet. */
  runningSince: number | null;
  /** Monotonic time in milliseconds at which the task is expected to be done. */
  expectedEnd: number;
  /** The task's job had a starvation reservation: it is preempted only for a job within its team's guarantee. */
  readonly isReserved: boolean;
  /** The task must be stopped although its job continues. */
  stopRequested: boolean;
}

/** A run of consecutive tasks of a job that is stored as one record. */
export interface Chunk {
  readonly index: number;
  /** Revision of its record; 0: the key does not exist; null: unknown until it is read again. */
  modRevision: number | null;
  /** Incremented with each change of the state that must be stored. */
  version: number;
  /** The latest version known to be stored. */
  committedVersion: number;
  /** The version with which its latest claim was added. */
  claimedVersion: number;
  /** Monotonic time in milliseconds of the first change since its latest write was applied; null: no change since. */
  dirtySince: number | null;
  /** Monotonic time in milliseconds before which it is not written, after the store rejected it or it was too large. */
  blockedUntil: number;
}

/** A chunk record of another layout. It stays valid for those of its tasks that no current chunk record holds. */
export interface SupersededChunk {
  /** Revision of the record; null: unknown until it is read again. */
  modRevision: number | null;
  /** Index of its first task. */
  readonly first: number;
  /** Index of its last task plus one. */
  readonly end: number;
}

/** A leader's state of a job. */
export interface JobState {
  readonly spec: JobSpec;
  /** What each of its tasks takes of its machine. */
  readonly request: ResourceRequest;
  /** Revision of the job's record; these revisions give the order in which jobs were accepted. */
  readonly modRevision: number;
  /** How the job ended; null: it is live. */
  finalStage: FinalStage | null;
  /** Ids of the jobs that it depends on and that are not known to be done; it is ready once there are none. */
  readonly pendingDependencies: Set<string>;
  /** Epoch milliseconds from which the job could start: its submission, or the end of its last dependency. */
  readyAt: number;
  /** The highest priority among the job's own and those of the jobs that depend on it. */
  priority: Priority;
  /** Epoch milliseconds by which the deadlines of its dependents require it to be done; Infinity: none does. */
  inheritedDeadline: number;
  /** Number of its tasks that wait for a machine, as last counted. */
  waitingCount: number;
  /** Number of its tasks on machines or, unless the job is faulty, waiting for one, as last counted. */
  outstandingCount: number;
  /** Number of its tasks that workers report as running. */
  runningCount: number;
  /** Reason for the job's next write; null: nothing has to be written. */
  writeReason: WriteReason | null;
  /** Monotonic time in milliseconds since which its write reason is `exit`, if it is. */
  exitsPendingSince: number;
  /** Monotonic time in milliseconds at which a task of the job was last placed; -Infinity: never. */
  lastPlacedAt: number;
  /** Monotonic time in milliseconds at which a task of the job was last preempted; -Infinity: never. */
  lastPreemptedAt: number;
  /** The job has a position in the queue. */
  isQueued: boolean;
  /** The job has been counted in the demand of its class, which happens when it arrives or becomes ready. */
  isCountedInDemand: boolean;
  /** Bit set of the tasks that are done; a byte's lowest bit is its first task. */
  readonly doneBits: Uint8Array;
  /** Number of tasks that are done. */
  doneCount: number;
  /** Number of the latest attempt, by task index. */
  readonly attempts: Map<number, number>;
  /** By task index. */
  readonly claims: Map<number, LiveClaim>;
  /** Tasks to be placed again, lowest index first; they are placed before those from `nextNewTask` on. */
  readonly retryTasks: number[];
  /** Index of the first task that may never have been placed. */
  nextNewTask: number;
  /** Chunks of the current layout, by index. */
  readonly chunks: Map<number, Chunk>;
  /** By key; each record is removed once the committed current chunks hold all that is known of its tasks. */
  readonly supersededChunks: Map<string, SupersededChunk>;
  /** Consecutive failed attempts since the job was found to be faulty; the retry backoff grows with it. */
  failedAttempts: number;
  /** Monotonic time in milliseconds before which none of its tasks is placed. */
  retryAt: number;
  /** Names of the machines on which its tasks have failed since one of them last completed. */
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
