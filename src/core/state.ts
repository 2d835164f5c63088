/** The scheduling state of a controller. It has one owner, and only `step` changes it. */
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
 * Whether a leader's view is fresh enough to act on. What a leader that is cut off asks of the cloud may be carried
 * out much later, on machines that its successor uses; and what it would start may have been cancelled.
 */
export function hasFreshView({ leadership, monotonicMs, config }: CoreState): boolean {
  return leadership !== null && monotonicMs - leadership.viewConfirmedAt < config.timing.leaderLeaseMs;
}

/** Whether a leader may answer workers: a recent read has proved its view, see `Timing.authorityWindowMs`. */
export function hasAuthority({ leadership }: CoreState, now: Now): boolean {
  return leadership !== null && now.monotonicMs < leadership.authorityUntil;
}

/** All that a controller knows as leader. Times named `…At`, `…Until` and `…NotBefore` are in steady milliseconds. */
export interface CoreState {
  /** Name of this controller's node. */
  readonly node: string;
  readonly config: CoreConfig;
  /** Steady milliseconds of this step. */
  monotonicMs: number;
  /** Null: this controller does not lead. */
  leadership: Leadership | null;

  // What there is.
  /** By name, as of the latest catalog. */
  machineTypes: ReadonlyMap<string, MachineType>;
  /** Live jobs, and ended ones of which records are left; by id. */
  readonly jobs: Map<string, JobState>;
  /** By name. */
  readonly machines: Map<string, Machine>;
  /** The discovery order of the next machine. */
  nextMachine: number;
  /** Names of terminated machines, oldest first; bounded. */
  readonly terminatedMachines: Set<string>;
  /** How jobs ended, as read from or written to the key-value store; bounded. */
  readonly finalOutcomes: Map<string, FinalOutcome>;

  // Heartbeats.
  /** Machines whose heartbeat waits for an answer, in the order of arrival. */
  readonly pendingHeartbeats: Set<Machine>;
  /** Of these, those to be considered in this step: the heartbeat is new, or what it waits for may be settled. */
  readonly answerable: Machine[];
  /** Machines whose next answer may have to carry a command. */
  readonly attention: Set<Machine>;
  /** Names of those that came to be so in this step. */
  readonly newAttention: string[];
  /** Machines that have reported since the latest tick without being known. */
  readonly unexpected: string[];

  // Health.
  /** Zones of which no machine reports, and since when, as far as known. */
  readonly silentZones: Map<string, number>;
  /** This controller is behind its timers, as of the latest tick. */
  isOverloaded: boolean;
  /** How many machines report, as of the latest tick; null: not counted yet. */
  health: HealthCounts | null;

  // Writing back.
  /** Follows what every controller can read. */
  layout: RecordLayout;
  /** Tasks of a chunk whose key tells no width. */
  legacyChunkTasks: number;
  /** The layout to change to, once no write is under way; null: none. */
  pendingLayout: RecordLayout | null;
  /** Jobs of which something may have to be written, by what for; those waiting longest first. */
  readonly dirtyJobs: Readonly<Record<WriteReason, Set<JobState>>>;
  /** The commit under way; null: none. */
  commit: CommitInFlight | null;
  /** Id of the next commit. */
  nextCommit: number;
  commitNotBefore: number;
  /** Jobs that are being reconciled, by id; null: none, and commits may be made. */
  pendingReconciliation: readonly string[] | null;
  /** Each job's changes are written by themselves: some of them were rejected. */
  writesJobsSingly: boolean;
  /** Mutations that may be written now (`level`), as of `at`. */
  readonly writeBudget: { level: number; at: number };

  // Dependencies.
  /** Jobs that wait, by the id of each job that they depend on. */
  readonly dependents: Map<string, Set<JobState>>;
  /** Dependencies whose end has to be read: since when that is so, and when to ask (again). */
  readonly unresolvedDependencies: Map<string, { readonly since: number; notBefore: number }>;
  /** Dependencies that are being looked up, by id; null: none. */
  pendingDependencyQuery: readonly string[] | null;
  /** Jobs to be withdrawn because a dependency was, and since when. */
  readonly cancelPending: Map<JobState, number>;

  // The queue.
  /** Jobs with tasks that wait for a machine. */
  readonly waitingJobs: Set<JobState>;
  /** Those that came to have some since the queue was last gone through. */
  readonly newlyWaitingJobs: JobState[];
  /** The order in which waiting jobs are served, as of the latest tick, with those that joined since. */
  queue: QueuePosition[];
  /** Jobs with a starvation reservation, as of the latest tick. */
  reservedJobs: readonly JobState[];
  /** Jobs within their team's guarantee, as of the latest tick. */
  readonly guaranteedJobs: Set<JobState>;
  /** The reservation of the head of the queue; null: nothing waits for one. */
  head: HeadReservation | null;

  // Placement.
  /** Something has changed that a pass over the queue may go by. */
  isPlacementDue: boolean;
  /** When the queue was last gone through. */
  lastPlacementAt: number;
  /** Tasks that may be placed before the next tick though they could wait. */
  deferrablePlacements: number;
  /** Claims by the priority that their jobs were submitted with. */
  readonly claimsByPriority: ReadonlyMap<Priority, Set<LiveClaim>>;
  /** Claims that are being preempted. */
  readonly preemptedClaims: Set<LiveClaim>;
  /** Tasks on machines or waiting, by class. */
  readonly outstandingByClass: Map<string, number>;
  /** What every team's tasks use that are not proven gone. */
  readonly usageByTeam: Map<string, TeamUsage>;
  /** Machines that are believed to hold an image, by image. */
  readonly machinesByImage: Map<string, Set<Machine>>;
  /** Machines of which something has changed that placing goes by. */
  readonly changedMachines: Set<Machine>;
  readonly capacityIndex: CapacityIndex;

  // Autoscaling.
  /** Requests for machines under way, by request id. */
  readonly provisioningRequests: Map<string, ProvisioningRequest>;
  /** Number of the next such request. */
  nextRequest: number;
  provisionNotBefore: number;
  /** Until when a kind of machine is not asked for again, by `type/zone/spot`. */
  readonly provisioningBlockedUntil: Map<string, number>;
  /** When the next plan is due. */
  nextPlanAt: number;
  /** Names of machines that the latest plan puts waiting tasks, or headroom, on. */
  readonly plannedMachines: Set<string>;

  // Demand.
  /** By class. */
  readonly demand: Map<string, Demand>;
  /** Run time over estimate, by class, as completed tasks show it. */
  readonly runTimeRatio: Map<string, number>;
  /** When the demand is to be saved next. */
  nextDemandSaveAt: number;
}
