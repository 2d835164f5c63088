/** Machines, the task exits that they report, and provisioning requests. */
import type { TerminationReason } from '../fleet/termination-reasons.js';
import type { ListedMachine, ReportedTask, Resources } from '../types.js';
import type { Chunk, JobState, LiveClaim } from './job.js';

/** An exit that a worker has reported, and what has to be committed before the worker may forget it. */
export interface RecordedExit {
  /** The exited task's job; null: nothing has to be committed for the exit. */
  readonly job: JobState | null;
  /** The chunk that holds the task; null: nothing has to be committed for the exit. */
  readonly chunk: Chunk | null;
  /** First version of the chunk that contains the exit. */
  readonly version: number;
}

/** An exit for which nothing has to be committed: the worker may forget it immediately. */
export const DURABLE_EXIT: RecordedExit = { job: null, chunk: null, version: 0 };

/** Whether an exit has reached the key-value store, so that the worker may forget it. */
export function isExitDurable(exit: RecordedExit): boolean {
  return (
    exit.job === null ||
    exit.job.finalStage !== null ||
    exit.chunk === null ||
    exit.version <= exit.chunk.committedVersion
  );
}

/**
 * A leader's state of a machine. The fields are grouped by the core modules that write them; other modules only read
 * them. Times are monotonic, in milliseconds.
 */
export interface Machine {
  // Identity and description: written by `fleet/cloud-listing` and `fleet/heartbeats`, whichever comes first, and by
  // `autoscaling/provisioning`.
  readonly name: string;
  /** Address at which its worker is called; empty: unknown. */
  address: string;
  /** Name of its machine type; empty: unknown. */
  type: string;
  zone: string;
  /** A spot instance, which the cloud may reclaim. */
  spot: boolean;
  /** Position in the order in which machines became known. */
  readonly discoveryOrder: number;
  /** When this leader first learned of it; until its first heartbeat, its silence is counted from here. */
  discoveredAt: number;

  // Instance lifecycle: written by `fleet/cloud-listing`, `fleet/heartbeats` and `autoscaling/provisioning`.
  /** When its provisioning was requested, as far as known. */
  provisionedAt: number;
  /** Stage in which the cloud last listed it; null: not listed yet. */
  cloudStage: ListedMachine['stage'] | null;
  /** When the cloud reclaims it according to its termination notice; null: no notice. */
  reclaimedAt: number | null;

  // Termination: the reason is given through `fleet/machines`, and `fleet/fault-attribution` may withdraw it;
  // `autoscaling/scale-in` makes the request, and `command-handlers` clears it if it fails.
  /** Why it gets no more tasks and is terminated; null: it stays in use. */
  terminationReason: TerminationReason | null;
  /** When its termination was requested; null: not yet, or the request failed. */
  terminationRequestedAt: number | null;

  // Heartbeats: written by `fleet/heartbeats` and `fleet/keepalives`, exits by `fleet/task-reports`, too;
  // `heartbeat-intake` corrects the arrival time of a forwarded heartbeat.
  /** Agent epoch of its latest heartbeat. */
  agentEpoch: number;
  /** Sequence number of its latest heartbeat within that epoch. */
  heartbeatSequence: number;
  /** When its latest heartbeat arrived; null: this leader has received none yet. */
  lastHeartbeatAt: number | null;
  /** When the first heartbeat arrived that this leader received; null: none yet. */
  firstHeartbeatAt: number | null;
  /** Its latest heartbeat carried this leader's token, so it lists all tasks on the machine. */
  isReconciled: boolean;
  /** Tasks of its latest heartbeat with status. */
  reportedTasks: readonly ReportedTask[];
  /** Task exits that it reports, by `job/task#attempt`. */
  readonly exits: Map<string, RecordedExit>;
  /** The heartbeat that waits for an answer: id of the reply, and when the leader received it; null: none waits. */
  pendingHeartbeat: { readonly reply: number; readonly since: number } | null;
  /** It answers direct calls, but its lease has expired since its last heartbeat: no controller receives any. */
  leaseExpired: boolean;
  /** When this leader's token was last announced to it by a direct call; null: never. */
  tokenSentAt: number | null;

  // Contact with other controllers: written by `command-handlers` from relays, by `fleet/heartbeats` from answers to
  // direct calls.
  /**
   * When it was last known to be in contact with another controller: a follower that answers workers for an
   * unreachable leader reported it, or it answered a direct call while its lease had not expired; null: never.
   */
  lastContactElsewhereAt: number | null;

  // Whether it receives its answers: written by `fleet/response-tracking` and `fleet/keepalives`.
  /** When a heartbeat of it was last answered; null: never, or the leader was overloaded at that time. */
  lastAnsweredAt: number | null;
  /** Starts in that answer, as `job/task#attempt`; the next heartbeat lists them if the answer was received. */
  unacknowledgedStarts: readonly string[];
  /** Since when its heartbeats indicate that it does not receive its answers; null: they do not. */
  unresponsiveSince: number | null;
  /** Number of consecutive answers that it apparently has not received. */
  missedResponses: number;

  // Probes: written by `fleet/probes`; heartbeats and keepalives reset the failures.
  /** A probe of it is in flight. */
  isProbing: boolean;
  /** Number of consecutive probes that have failed. */
  failedProbes: number;
  /** When a probe last succeeded; null: never. */
  lastReachableAt: number | null;

  // Claims: written by `jobs/jobs`.
  /** By task key, see `taskKey`. */
  readonly claims: Map<string, LiveClaim>;
  /** Resources that its claims take. */
  readonly allocated: Resources;
  /**
   * Bytes that tasks without a claim take in its heartbeat, such as exited ones; set by `fleet/heartbeats`. A claim
   * that is removed counts until the next heartbeat.
   */
  unclaimedHeartbeatBytes: number;

  // Use: written by `fleet/image-cache` and `fleet/heartbeats`.
  /** Gigabytes of the images that it is assumed to cache, by image, most recently used last. */
  readonly cachedImages: Map<string, number>;
  /** Since when no task has been on it. */
  idleSince: number;

  // Faults: written by `fleet/fault-attribution`.
  /**
   * Ids of the jobs whose failures since the last completion on it count against it. A job that has completed no
   * task and has failed on other machines, too, counts against none of them.
   */
  readonly failedJobs: Set<string>;
}

/** A request for machines whose outcome is not known yet. */
export interface ProvisioningRequest {
  /** Idempotency key of the request. */
  readonly requestId: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Number of machines requested. */
  readonly count: number;
  /** Monotonic time, in milliseconds. */
  readonly requestedAt: number;
}

/** Counts of machines by their contact with a leader. */
export interface HealthCounts {
  /** Machines whose latest heartbeat is no older than the maximum heartbeat interval plus a tolerance. */
  readonly reporting: number;
  /** Machines that should have sent such a heartbeat. */
  readonly expected: number;
  /** Machines that should be up. */
  readonly running: number;
  /** Machines that should be up and have never reported to this leader. */
  readonly neverReported: number;
  /** Milliseconds since the latest heartbeat of any machine. */
  readonly silentMs: number;
}
