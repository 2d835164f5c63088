/** Machines, the exits that they report, and requests for more of them. */
import type { TerminationReason } from '../fleet/termination-reasons.js';
import type { ListedMachine, ReportedTask, Resources } from '../types.js';
import type { Chunk, JobState, LiveClaim } from './job.js';

/** An exit that a worker has reported, and what has to be committed before the worker may forget it. */
export interface RecordedExit {
  /** Null: nothing has to be committed for it. */
  readonly job: JobState | null;
  /** The chunk that holds the task; null: as for `job`. */
  readonly chunk: Chunk | null;
  /** Version of the chunk that first held the exit. */
  readonly version: number;
}

/** An exit for which nothing has to be committed: the worker may forget it at once. */
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
 * What a leader knows of a machine. Fields stand in groups by the module of the core that writes them; others only
 * read. Times are in steady milliseconds.
 */
export interface Machine {
  // Identity and description: `fleet/machines`, from the cloud's list or the machine's first heartbeat.
  readonly name: string;
  /** Where its worker is called; empty: unknown. */
  address: string;
  /** Name of its machine type; empty: unknown. */
  type: string;
  zone: string;
  /** A spot instance, which the cloud may reclaim. */
  spot: boolean;
  /** Position in the order in which machines became known. */
  readonly discoveryOrder: number;
  /** When it became known; its silence counts from here as long as nothing was heard of it. */
  discoveredAt: number;

  // Life in the cloud: `fleet/machines` from the list and heartbeats, `autoscaling` from provisioning.
  /** When its provisioning was requested, as far as known. */
  provisionedAt: number;
  /** As last listed; null: not listed yet. */
  cloudStage: ListedMachine['stage'] | null;
  /** When the cloud reclaims it, by its termination notice; null: no notice. */
  reclaimedAt: number | null;

  // Termination: `fleet/machines`, `fleet/fault-attribution` and `autoscaling` give the reason; `autoscaling` makes
  // the request, and the handler of its outcome clears it.
  /** Why it gets no more work and is terminated; null while it is of use. */
  terminationReason: TerminationReason | null;
  /** When its termination was requested; null: not under way. */
  terminationRequestedAt: number | null;

  // Heartbeats: `fleet/machines` and `fleet/keepalives`; `heartbeat-intake` corrects a forwarded one's arrival.
  /** Agent epoch of its latest heartbeat. */
  agentEpoch: number;
  /** Sequence number of its latest heartbeat within that epoch. */
  heartbeatSequence: number;
  /** When its latest heartbeat arrived; null before the first that this leader saw. */
  lastHeartbeatAt: number | null;
  /** When the first heartbeat arrived that this leader saw. */
  firstHeartbeatAt: number | null;
  /** Its latest heartbeat carried this leader's token: it tells all that is on the machine. */
  isReconciled: boolean;
  /** Tasks of its latest heartbeat with status. */
  reportedTasks: readonly ReportedTask[];
  /** Exits that it reports, by `job/task#attempt`. */
  readonly exits: Map<string, RecordedExit>;
  /** The heartbeat that waits for an answer: the id of the reply, and when it was taken in. */
  pendingHeartbeat: { readonly reply: number; readonly since: number } | null;
  /** It answers direct calls, and its lease has expired since its last heartbeat: no controller has contact. */
  leaseExpired: boolean;
  /** When this leader's token was last announced to it by a direct call; null: never. */
  tokenSentAt: number | null;

  // Contact with others: `command-handlers` from relays, `fleet/machines` from answers to direct calls.
  /**
   * When it was last known to be in contact with another controller: told of by a follower that answers workers for
   * an unreachable leader, or answering a direct call with its lease not expired; null: never.
   */
  lastRelayedAt: number | null;

  // Whether it receives its answers: `fleet/response-tracking` and `fleet/keepalives`.
  /** When a heartbeat of it was last answered; null: never. */
  lastAnsweredAt: number | null;
  /** Starts in that answer, as `job/task#attempt`; the next heartbeat shows them if it was received. */
  unacknowledgedStarts: readonly string[];
  /** Since when there is reason to think that it does not receive its answers; null: none. */
  unresponsiveSince: number | null;
  /** Answers in a row that it seems not to have received. */
  missedResponses: number;

  // Probes: `fleet/probes`; each heartbeat resets the failures.
  /** A probe is under way. */
  isProbing: boolean;
  /** Probes in a row that have failed. */
  failedProbes: number;
  /** When a probe last succeeded; null: never. */
  lastReachableAt: number | null;

  // Claims: `jobs/jobs`.
  /** By task key. */
  readonly claims: Map<string, LiveClaim>;
  /** Resources that its claims take. */
  readonly allocated: Resources;

  // Use: `fleet/machines`.
  /** Gigabytes of the images that it is believed to hold, by image, most recently used last. */
  readonly cachedImages: Map<string, number>;
  /** Since when no task is on it. */
  idleSince: number;

  // Faults: `fleet/fault-attribution`.
  /** Jobs that have failed on it, and not elsewhere, since the last completion. */
  readonly failedJobs: Set<string>;
}

/** A request for machines whose outcome is open. */
export interface ProvisioningRequest {
  /** Idempotency key of the request. */
  readonly requestId: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Machines asked for. */
  readonly count: number;
  /** Steady milliseconds. */
  readonly requestedAt: number;
}

/** How many machines a leader has contact with. */
export interface HealthCounts {
  /** Machines of which a heartbeat came within the longest time between two. */
  readonly reporting: number;
  /** Machines of which one should have come. */
  readonly expected: number;
  /** Machines that should be up. */
  readonly running: number;
  /** Machines that should be up and have never reported to this leader. */
  readonly neverReported: number;
  /** Milliseconds since the latest heartbeat of any machine. */
  readonly silentMs: number;
}
