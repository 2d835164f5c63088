/** The leader's whole knowledge, owned by one owner and changed only by `step`. */
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

export interface CoreState {
  readonly node: string;
  readonly config: CoreConfig;
  /** Follows what every controller can read. */
  layout: RecordLayout;
  /** Tasks of a chunk whose key tells no width. */
  legacyChunkTasks: number;
  /** The layout to change to, once no write is under way. */
  pendingLayout: RecordLayout | null;
  leadership: Leadership | null;
  machineTypes: ReadonlyMap<string, MachineType>;
  readonly jobs: Map<string, JobState>;
  readonly machines: Map<string, Machine>;
  /** Machines whose report waits for an answer. */
  readonly pendingHeartbeats: Set<Machine>;
  /** Machines to which there may be something to say, and those that came to be so in this step. */
  readonly attention: Set<Machine>;
  readonly newAttention: string[];
  /** Of these, those whose report came in with this step. */
  readonly answerable: Machine[];
  /** Jobs of which something may have to be written, by what for; those waiting longest first. */
  readonly dirtyJobs: Readonly<Record<WriteReason, Set<JobState>>>;
  /** Steady time of this step. */
  monotonicMs: number;
  /** Jobs with tasks that wait for a machine, and those that came to have some since the last look. */
  readonly waitingJobs: Set<JobState>;
  readonly newlyWaitingJobs: JobState[];
  /** The order in which waiting jobs are served, as of the latest tick, with those that joined since. */
  queue: QueuePosition[];
  /** Jobs whose wait nears the bound, and those within their team's guarantee, as of the latest tick. */
  reservedJobs: readonly JobState[];
  readonly guaranteedJobs: Set<JobState>;
  /** Tasks out, by the priority that their jobs were submitted with; those being stopped to make room. */
  readonly claimsByPriority: ReadonlyMap<Priority, Set<LiveClaim>>;
  readonly preemptedClaims: Set<LiveClaim>;
  /** Tasks out or waiting, by class. */
  readonly outstandingByClass: Map<string, number>;
  /** What every team's tasks use that are not proven gone. */
  readonly usageByTeam: Map<string, TeamUsage>;
  /** Machines that hold an image, by image. */
  readonly machinesByImage: Map<string, Set<Machine>>;
  /** Machines of which something has changed that placing goes by. */
  readonly changedMachines: Set<Machine>;
  readonly capacityIndex: CapacityIndex;
  /** Machines that have reported since the latest tick without being known. */
  readonly unexpected: string[];
  nextMachine: number;
  /** Machines given back, by name, oldest first; bounded. */
  readonly terminatedMachines: Set<string>;
  readonly provisioningRequests: Map<string, ProvisioningRequest>;
  /** Until when a kind of machine is not asked for again, by `type/zone/spot`. */
  readonly provisioningBlockedUntil: Map<string, number>;
  /** Jobs that wait, by each job that they wait for. */
  readonly dependents: Map<string, Set<JobState>>;
  /** How jobs ended, as read from or written to the state service; bounded. */
  readonly finalOutcomes: Map<string, FinalOutcome>;
  /** Awaited jobs whose end has to be read: since when that is so, and when to ask (again). */
  readonly unresolvedDependencies: Map<string, { readonly since: number; notBefore: number }>;
  pendingDependencyQuery: readonly string[] | null;
  /** Jobs to be withdrawn because one that they need was, and since when. */
  readonly cancelPending: Map<JobState, number>;
  /** Each job's changes are written by themselves: some of them were refused for good. */
  writesJobsSingly: boolean;
  /** Changes that may be written now, as of `at`. */
  readonly writeBudget: { level: number; at: number };
  nextRequest: number;
  provisionNotBefore: number;
  commit: CommitInFlight | null;
  pendingReconciliation: readonly string[] | null;
  commitNotBefore: number;
  nextCommit: number;
  /** Tasks that may be placed before the next tick though they could wait. */
  deferrablePlacements: number;
  isPlacementDue: boolean;
  /** Steady time of the latest pass over the queue. */
  lastPlacementAt: number;
  nextPlanAt: number;
  nextDemandSaveAt: number;
  head: HeadReservation | null;
  /** Run time over estimate, by class, as completed tasks show it. */
  readonly runTimeRatio: Map<string, number>;
  readonly demand: Map<string, Demand>;
  /** Zones of which nobody is heard, and the steady time since which that is so, as far as known. */
  readonly silentZones: Map<string, number>;
  /** It is behind its timers, as of the latest tick. */
  isOverloaded: boolean;
  /** How the leader hears its machines, as of the latest tick. */
  health: HealthCounts | null;
  /** Machines that the latest plan puts waiting tasks, or room kept ready, on. */
  readonly plannedMachines: Set<string>;
}
