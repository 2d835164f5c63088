/** The scheduling state of a controller. It has a single owner, and only `step` changes it. */
import type { CapacityIndex } from './placement/capacity-index.js';
import type { MachineType, Priority } from './types.js';
import type {
  CommitInFlight,
  Demand,
  FinalOutcome,
  HeadReservation,
  HealthCounts,
  JobState,
  RecordLayout,
  Leadership,
  LiveClaim,
  Machine,
  Now,
  ProvisioningRequest,
  CoreConfig,
  QueuePosition,
  TeamUsage,
  WriteReason,
} from './model.js';

/**
 * Whether a leader's view is fresh enough to act on. The cloud may carry out a request of a partitioned leader much
 * later, on machines that its successor uses; and a task that it would start may have been cancelled.
 */
export function hasFreshView({ leadership, monotonicMs, config }: CoreState): boolean {
  return leadership !== null && monotonicMs - leadership.viewConfirmedAt < config.timing.leaderLeaseMs;
}

/**
 * Whether a leader may send starts now: no start leaves on a view that is stale, or that does not yet tell of every
 * cancellation that this controller has promised to respect. Who relies on it: docs/safety.md, "Fresh starts".
 */
export function maySendStarts(state: CoreState): boolean {
  const { leadership, startFence } = state;
  return leadership !== null && hasFreshView(state) && leadership.viewRevision >= startFence;
}

/** Whether a leader may answer workers: a recent read has confirmed its view, see `Timing.authorityWindowMs`. */
export function hasAuthority({ leadership }: CoreState, now: Now): boolean {
  return leadership !== null && now.monotonicMs < leadership.authorityUntil;
}

/**
 * The state that a controller holds as the leader. Times named `…At`, `…Until` and `…NotBefore`, and those of `at`,
 * `since` and `notBefore`, are in milliseconds of the monotonic clock.
 */
export interface CoreState {
  /** Name of this controller's node. */
  readonly node: string;
  readonly config: CoreConfig;
  /** Monotonic time of this step, in milliseconds. */
  monotonicMs: number;
  /** Null: this controller is not the leader. */
  leadership: Leadership | null;
  /**
   * The highest revision of the key-value store up to which this controller has promised to respect cancellations,
   * whoever leads; it never decreases. See `maySendStarts`.
   */
  startFence: number;

  // Jobs and machines.
  /** Machine types by name, as of the latest catalog. */
  machineTypes: ReadonlyMap<string, MachineType>;
  /** By id: live jobs, and ended jobs that still have claims or chunk records. */
  readonly jobs: Map<string, JobState>;
  /** Machines by name. */
  readonly machines: Map<string, Machine>;
  /** The discovery order of the next machine. */
  nextDiscoveryOrder: number;
  /** Names of terminated machines, oldest first; bounded. */
  readonly terminatedMachines: Set<string>;
  /** By id: how jobs ended, as read from or written to the key-value store; bounded. */
  readonly finalOutcomes: Map<string, FinalOutcome>;

  // Heartbeats.
  /** Machines whose heartbeat waits for an answer, in the order of arrival. */
  readonly pendingHeartbeats: Set<Machine>;
  /**
   * Machines whose pending heartbeat is to be checked in this step: it is new, or the commit that it waits for may be
   * settled.
   */
  readonly answerCandidates: Machine[];
  /** Machines whose next heartbeat answer may have to carry a command. */
  readonly attention: Set<Machine>;
  /** Names of the machines newly marked as needing attention in this step, to be announced to followers. */
  readonly newAttentionNames: string[];
  /** Names of the machines that have sent a heartbeat since the latest tick and were unknown before. */
  readonly unexpectedMachines: string[];

  // Health.
  /** Zones found to be partitioned, and since when they have been silent, as far as known. */
  readonly silentZones: Map<string, number>;
  /** The timers of this controller run late, as of the latest tick. */
  isOverloaded: boolean;
  /** Counts of running and reporting machines, as of the latest tick; null: not counted yet. */
  health: HealthCounts | null;

  // Commits to the key-value store.
  /** The record layout in use; a new one is adopted once every controller can read it. */
  layout: RecordLayout;
  /** Number of tasks in a chunk whose key does not contain the chunk width. */
  legacyChunkTasks: number;
  /** The layout to adopt once no commit is in flight; null: none. */
  pendingLayout: RecordLayout | null;
  /** Jobs with changes that may have to be written, by write reason; those that have waited longest come first. */
  readonly dirtyJobs: Readonly<Record<WriteReason, Set<JobState>>>;
  /** The commit in flight; null: none. */
  commit: CommitInFlight | null;
  /** Id of the next commit. */
  nextCommitId: number;
  commitNotBefore: number;
  /**
   * The jobs that are being reconciled after the commit with this id, during which no commit is made; null: no
   * reconciliation.
   */
  pendingReconciliation: { readonly id: number; readonly jobs: readonly string[] } | null;
  /** Each transaction holds the changes of one job, since even one of the minimum size was rejected. */
  writesJobsSingly: boolean;
  /** Number of mutations that may be written (`level`), as of the time `at`. */
  readonly writeBudget: { level: number; at: number };

  // Dependencies.
  /** By job id: the jobs that wait for this job to be done. */
  readonly dependents: Map<string, Set<JobState>>;
  /**
   * By job id: dependencies whose outcome has to be read, the time since which that is so (`since`), and the earliest
   * time of the next query (`notBefore`).
   */
  readonly unresolvedDependencies: Map<string, { readonly since: number; notBefore: number }>;
  /** Ids of the dependencies in the query in flight; null: no query. */
  pendingDependencyQuery: readonly string[] | null;
  /** Jobs to be cancelled because a dependency was cancelled, and since when. */
  readonly cancelPending: Map<JobState, number>;

  // The queue.
  /** Jobs with tasks that wait for a machine. */
  readonly waitingJobs: Set<JobState>;
  /** Jobs whose tasks have begun to wait since `queue` was last updated, and that are not in it. */
  readonly newlyWaitingJobs: JobState[];
  /** Waiting jobs in the order in which they are served: sorted at a tick, with later jobs inserted. */
  queue: QueuePosition[];
  /** Jobs with a starvation reservation, as of the latest tick. */
  reservedJobs: readonly JobState[];
  /** Jobs within their team's guarantee, as of the latest tick. */
  readonly guaranteedJobs: Set<JobState>;
  /** The reservation of the head job, the first job of the queue that does not fit; null: there is none. */
  headReservation: HeadReservation | null;

  // Placement.
  /** Some change since the latest pass over the queue may allow tasks to be placed. */
  isPlacementDue: boolean;
  /** Time of the latest pass over the queue. */
  lastPlacementAt: number;
  /** Number of deferrable tasks (those that may not use headroom) that may still be placed before the next tick. */
  deferrablePlacements: number;
  /** Claims by the priority that their jobs were submitted with. */
  readonly claimsByPriority: ReadonlyMap<Priority, Set<LiveClaim>>;
  /** Claims that are being preempted. */
  readonly preemptedClaims: Set<LiveClaim>;
  /** Number of tasks that are on machines or wait, by job class. */
  readonly outstandingByClass: Map<string, number>;
  /** By team: the resources of its tasks that are not proven to be gone from their machines. */
  readonly usageByTeam: Map<string, TeamUsage>;
  /** Machines that are assumed to cache an image, by image. */
  readonly machinesByImage: Map<string, Set<Machine>>;
  /** Machines with a change that affects placement, since the latest pass over the queue. */
  readonly changedMachines: Set<Machine>;
  readonly capacityIndex: CapacityIndex;

  // Autoscaling.
  /** Provisioning requests in flight, by request id. */
  readonly provisioningRequests: Map<string, ProvisioningRequest>;
  /** Number of the next provisioning request. */
  nextRequestNumber: number;
  provisionNotBefore: number;
  /** By kind of machine (type, zone, and spot or on-demand): the time until which none is requested. */
  readonly provisioningBlockedUntil: Map<string, number>;
  /** When the next plan is due. */
  nextPlanAt: number;
  /** Names of the machines on which the latest plan places waiting tasks or headroom. */
  readonly plannedMachines: Set<string>;

  // Demand.
  /** Demand by job class. */
  readonly demand: Map<string, Demand>;
  /** Ratio of actual run time to estimate, by job class, from completed tasks. */
  readonly runTimeRatio: Map<string, number>;
  /** When the demand history is saved next. */
  nextDemandSaveAt: number;
}
