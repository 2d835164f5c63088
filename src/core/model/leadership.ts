/** The leadership of a controller, and the commit in flight. */
import type { Chunk, JobState } from './job.js';

/** This controller's leadership for one term. Times are monotonic, in milliseconds. */
export interface Leadership {
  /** The fencing token, which increases with each election. */
  readonly term: number;
  /** Revision of the term's record; every transaction of this leader is conditional on it. */
  readonly modRevision: number;
  /** When the leadership began. */
  readonly since: number;
  /** When the leader's authority to answer workers ends. */
  authorityUntil: number;
  /** When the latest read that confirmed the leader's view of the jobs was sent. */
  viewConfirmedAt: number;
  /** Revision of the key-value store up to which the view of the jobs is complete; 0: not known. */
  viewRevision: number;
  /** The leadership is being transferred: no task is placed, no failure is inferred and the fleet is not scaled. */
  isTransferring?: boolean;
  /** The previous leader may be alive, partitioned from the key-value store and still answering workers. */
  readonly previousLeaderMayBeAlive?: boolean;
  /** Direct calls to workers that may still be made (`left`), as of the time `at`. */
  readonly directCallBudget: { left: number; at: number };
}

/** The changes of the commit in flight, which take effect once it is applied. */
export interface CommitInFlight {
  readonly id: number;
  /** Chunks that it writes or removes. */
  readonly chunks: readonly {
    readonly job: JobState;
    readonly chunk: Chunk;
    /** The version of the chunk that it writes. */
    readonly version: number;
    /** The chunk's record is removed, not written. */
    readonly isRemoved: boolean;
  }[];
  /** Jobs that it ends as done. */
  readonly completing: readonly JobState[];
  /** Jobs that it ends as withdrawn. */
  readonly cancelling: readonly JobState[];
  /** Superseded chunks that it removes, by key. */
  readonly superseded: readonly { readonly job: JobState; readonly key: string }[];
}
