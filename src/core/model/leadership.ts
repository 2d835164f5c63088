/** A leader's term, and its commit under way. */
import type { Chunk, JobState } from './job.js';

/** The term of this controller as leader. Times are in steady milliseconds. */
export interface Leadership {
  /** The fencing token: it is raised with each election. */
  readonly term: number;
  /** Of the term's record; every transaction of this leader is conditional on it. */
  readonly modRevision: number;
  /** When it began. */
  readonly since: number;
  /** Until when it may answer workers. */
  authorityUntil: number;
  /** When the latest read was sent that proved the leader's view of the jobs. */
  viewConfirmedAt: number;
  /** It is being transferred: nothing new is begun. */
  isTransferring?: boolean;
  /** The leader before may be alive, partitioned from the key-value store and still answering workers. */
  readonly previousLeaderMayBeAlive?: boolean;
  /** Direct calls that may still be made (`left`), as of `at`. */
  readonly directCallBudget: { left: number; at: number };
}

/** What the commit under way changes once it is applied. */
export interface CommitInFlight {
  readonly id: number;
  /** Chunks that it writes or removes. */
  readonly chunks: readonly {
    readonly job: JobState;
    readonly chunk: Chunk;
    /** The version of the chunk that it writes. */
    readonly version: number;
    /** Its record is removed, not written. */
    readonly isRemoved: boolean;
  }[];
  /** Jobs that it ends as done. */
  readonly completing: readonly JobState[];
  /** Jobs that it ends as withdrawn. */
  readonly cancelling: readonly JobState[];
  /** Superseded chunks that it removes, by key. */
  readonly superseded: readonly { readonly job: JobState; readonly key: string }[];
}
