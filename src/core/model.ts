/** The things a leader knows of: jobs, their tasks' claims, machines, and the rules it goes by. */
import type { Timing } from './timing.js';
import type {
  FinalStage,
  JobSpec,
  ListedMachine,
  MachineType,
  Priority,
  ReportedTask,
  Resources,
  TaskStage,
} from './types.js';

/** What a job's next write is for; the first is written first when not all fit. */
export const WRITE_REASONS = ['start', 'end', 'exit', 'clean'] as const;
export type WriteReason = (typeof WRITE_REASONS)[number];

/** `monotonicMs`: steady clock, `epochMs`: time of day; both in milliseconds. */
export interface Now {
  readonly monotonicMs: number;
  readonly epochMs: number;
}

export interface TeamQuota {
  readonly guaranteedCpus: number;
  readonly maxCpus: number;
  readonly guaranteedGpus: number;
  readonly maxGpus: number;
}

export interface CoreConfig {
  readonly timing: Timing;
  readonly teams: ReadonlyMap<string, TeamQuota>;
  /** What the settings' objectives ask for, by class. */
  readonly objectives: ReadonlyMap<string, ClassObjectives>;
  /** How the versions before write, and this one until every controller reads what it would write. */
  readonly initialLayout: RecordLayout;
  readonly listLagMs: number;
  /** Machines that are called within the longest time between two reports. */
  readonly maxDirectCallsPerInterval: number;
  readonly policy: SchedulingPolicy;
}

/** The aims of a class; any number of each kind, each list in ascending order. */
export interface ClassObjectives {
  /** Milliseconds from being ready within which a task is to start. */
  readonly startTargetsMs: readonly number[];
  /** Multiples of the deadline by which a job is to be done. */
  readonly deadlineMultiples: readonly number[];
  /** Milliseconds from being ready within which a job is to be done. */
  readonly finishTargetsMs: readonly number[];
}

/** How run records are cut, and how much is written at once. */
export interface RecordLayout {
  /** Width as it stands in the keys of chunks; null: the first versions' keys, which do not say. */
  readonly keyWidth: number | null;
  /** Tasks of a chunk. */
  readonly tasksPerChunk: number;
  /** Most changes in a transaction. */
  readonly maxMutations: number;
  /** Most bytes of a value. */
  readonly maxValueBytes: number;
  /** Changes a second that a leader keeps to, and how many it may save up. */
  readonly writesPerSecond: number;
  readonly writeBurst: number;
}

/** What operators may change; see `policy`. */
export interface SchedulingPolicy {
  /** Expected run time of a task of this job, in milliseconds. */
  readonly expectedRunMs: (job: JobSpec) => number;
  /** A task past its expected end is expected to run on for so long, in milliseconds. */
  readonly overrunAllowanceMs: (job: JobSpec) => number;
  /** Longest wait of a new leader before it places, in milliseconds. */
  readonly maxPlacementDelayMs: number;
  /** How long an idle machine of this type is kept, in milliseconds. */
  readonly idleTimeoutMs: (type: MachineType, spot: boolean) => number;
  /** A ready job is to be served at least so often, in milliseconds, whatever its priority or size. */
  readonly maxWaitMs: (job: JobSpec) => number;
  /** Share of a job's deadline slack that it may spend waiting for room. */
  readonly deadlineSlackShare: (job: JobSpec) => number;
  /** Room kept ready for a class that cannot wait for a boot, over the most it used of late. */
  readonly headroomFactor: (job: JobSpec) => number;
  /** Time in which the memory of that most fades to a third, in milliseconds. */
  readonly demandDecayMs: number;
  /** Number of machines from which on followers take reports, too. */
  readonly sharedHeartbeatsMinMachines: number;
}

/** A task put on a machine and not yet proven gone from it. */
export interface LiveClaim {
  readonly job: JobState;
  readonly task: number;
  readonly attempt: number;
  readonly machine: string;
  readonly agentEpoch: number;
  readonly createdAt: number;
  /** Version of its chunk that first held it: durable once that is committed. */
  version: number;
  /** A start may have been sent, by this leader or one before. */
  startSent: boolean;
  /** What the worker last reported of it. */
  stage: TaskStage | null;
  /** Steady time of its first report as running. */
  runningSince: number | null;
  expectedEnd: number;
  /** It was promised its room: the last to be stopped for others. */
  readonly isReserved: boolean;
  /** To be stopped although its job goes on. */
  stopRequested: boolean;
}

export interface Chunk {
  readonly index: number;
  /** 0: the key does not exist; null: unknown until it is read again. */
  modRevision: number | null;
  version: number;
  committedVersion: number;
  /** Version that the latest claim in it came with. */
  claimedVersion: number;
  /** Steady time since which changes that can wait have waited to be written. */
  dirtySince: number | null;
  /** Not written before: the state service would not take it. */
  blockedUntil: number;
}

/** A run record of another width: what today's chunks do not hold of its tasks is in it. */
export interface SupersededChunk {
  /** Null: unknown until it is read again. */
  modRevision: number | null;
  readonly first: number;
  readonly end: number;
}

export interface JobState {
  readonly spec: JobSpec;
  readonly modRevision: number;
  finalStage: FinalStage | null;
  /** Jobs that it awaits and that are not known to be done; it is ready when there are none. */
  readonly pendingDependencies: Set<string>;
  /** Time of day from which it could start: its submission, or the end of the last job it awaits. */
  readyAt: number;
  /** Its own priority, or the highest of those that need it. */
  priority: Priority;
  /** Time of day by which jobs that need it want it done; Infinity: none does. */
  inheritedDeadline: number;
  /** Tasks of it that wait for a machine, and those out or waiting, as last counted. */
  waitingCount: number;
  outstanding: number;
  /** Tasks that their workers report as running. */
  runningCount: number;
  /** What its next write is for; null: there is nothing to be written. */
  writeReason: WriteReason | null;
  /** Steady time from which only exits have waited to be written. */
  exitsSince: number;
  /** Steady time at which a task of it was last put on a machine; -Infinity: never. */
  lastPlacedAt: number;
  /** Steady time at which a task of it was last stopped to make room; -Infinity: never. */
  lastPreemptedAt: number;
  /** It stands in the order of the queue. */
  isQueued: boolean;
  /** Its arrival, or becoming ready, has been counted in the demand. */
  isCountedInDemand: boolean;
  readonly doneBits: Uint8Array;
  doneCount: number;
  readonly attempts: Map<number, number>;
  readonly claims: Map<number, LiveClaim>;
  /** Tasks to place again, lowest first; before those from `cursor` on. */
  readonly retryTasks: number[];
  nextNewTask: number;
  readonly chunks: Map<number, Chunk>;
  /** By key; each goes once today's chunks hold all that is known of its tasks. */
  readonly supersededChunks: Map<string, SupersededChunk>;
  /** Tries in a row since it was found to be at fault, and when to try again. */
  failedAttempts: number;
  retryAt: number;
  /** Machines on which it has failed since a task of it last completed. */
  readonly failedMachines: Set<string>;
}

/** Where a job stands within its priority: by group, then by `key`. */
export interface QueuePosition {
  readonly job: JobState;
  /** 0: within its team's guarantee. */
  readonly rank: number;
  readonly priority: Priority;
  readonly group: number;
  readonly key: number;
}

export interface TeamUsage {
  cpus: number;
  gpus: number;
  tasks: number;
}

export interface RecordedExit {
  readonly job: JobState | null;
  readonly chunk: Chunk | null;
  readonly version: number;
}

export interface Machine {
  readonly name: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Steady time of its rental request, as far as known. */
  provisionedAt: number;
  agentEpoch: number;
  heartbeatSequence: number;
  /** Steady time of its last report; null before the first that this leader saw. */
  lastHeartbeatAt: number | null;
  /** Steady time of the first report that this leader saw, and of its latest answer to one. */
  firstHeartbeatAt: number | null;
  lastAnsweredAt: number | null;
  /** Starts in that answer, as `job/task#attempt`; the next report shows them if it came. */
  unacknowledgedStarts: readonly string[];
  /** Steady time since which there is reason to think that it does not hear its answers; null: none. */
  unresponsiveSince: number | null;
  /** Answers in a row that it seems not to have heard. */
  missedResponses: number;
  /** Steady time at which a deputy last told of it. */
  lastRelayedAt: number | null;
  /** It answers when called, and its lease ran out since it was last heard: nobody holds it. */
  leaseExpired: boolean;
  /** Its silence counts from here when it was never heard. */
  discoveredAt: number;
  /** Its latest report carried this leader's token: the whole truth about it. */
  isReconciled: boolean;
  /** Steady time at which the cloud takes it away. */
  reclaimedAt: number | null;
  cloudStage: ListedMachine['stage'] | null;
  readonly claims: Map<string, LiveClaim>;
  /** Room that its claims take. */
  readonly allocated: Resources;
  /** Its place in the order of becoming known. */
  readonly discoveryOrder: number;
  readonly exits: Map<string, RecordedExit>;
  reportedTasks: readonly ReportedTask[];
  /** Images it is believed to hold, most recently used last. */
  readonly cachedImages: Map<string, number>;
  idleSince: number;
  /** Jobs that have failed on it, and not elsewhere, since the last completion. */
  readonly failedJobs: Set<string>;
  /** Why it gets no more work and goes back; null while it is of use. */
  terminationReason: string | null;
  terminationRequestedAt: number | null;
  /** The report waiting for an answer. */
  pendingHeartbeat: { readonly reply: number; readonly since: number } | null;
  tokenSentAt: number | null;
  /** It is being knocked at, and so many knocks in a row have met nobody. */
  isProbing: boolean;
  failedProbes: number;
  /** Steady time at which a knock last met somebody. */
  lastReachableAt: number | null;
}

export interface ProvisioningRequest {
  readonly requestId: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
  readonly requestedAt: number;
}

export interface Leadership {
  readonly term: number;
  readonly modRevision: number;
  readonly since: number;
  authorityUntil: number;
  /** Steady time of sending the latest read that proved the view of the jobs. */
  viewConfirmedAt: number;
  /** It is being handed over: nothing new is begun. */
  isTransferring?: boolean;
  /** The leader before may be alive, blind and still answering workers. */
  readonly previousLeaderMayBeAlive?: boolean;
  /** Machines that may be called still, as of `at`. */
  readonly directCallBudget: { left: number; at: number };
}

export interface HeadReservation {
  readonly job: string;
  readonly machines: readonly string[];
  readonly shadowTime: number | null;
  readonly reason: string;
}

/** How a leader hears its machines. */
export interface HealthCounts {
  /** Machines heard within the longest time between two reports, and those that should have been. */
  readonly reporting: number;
  readonly expected: number;
  /** Machines that should be up, and those of them that this leader has never heard. */
  readonly running: number;
  readonly neverReported: number;
  /** Milliseconds since any of them was heard. */
  readonly silentMs: number;
}

/** What a class asks for: its latest arrivals, and the most tasks at once of late. */
export interface Demand {
  /** Its latest job, as a pattern for those to come. */
  readonly spec: JobSpec;
  peak: number;
  /** Tasks that came of late, and when they would have ended had they started at once. */
  arrivals: readonly { readonly until: number; readonly job: JobState }[];
  updatedAt: number;
  /** Steady time of its latest arrival, and the usual gap between two, in milliseconds. */
  lastArrivalAt: number;
  meanArrivalGap: number;
}

export interface CommitInFlight {
  readonly id: number;
  readonly chunks: readonly {
    readonly job: JobState;
    readonly chunk: Chunk;
    readonly version: number;
    /** Its record is removed, not written. */
    readonly isRemoved: boolean;
  }[];
  readonly completing: readonly JobState[];
  readonly cancelling: readonly JobState[];
  readonly superseded: readonly { readonly job: JobState; readonly key: string }[];
}

/** How a job ended, and when (time of day in milliseconds). */
export interface FinalOutcome {
  readonly stage: FinalStage;
  readonly at: number;
}
export const taskKey = (job: string, task: number): string => `${job}/${task}`;

export function isDone(job: JobState, task: number): boolean {
  return ((job.doneBits[task >> 3] ?? 0) & (1 << (task & 7))) !== 0;
}

/** An exit of which nothing has to be written: the worker may forget it at once. */
export const DURABLE_EXIT: RecordedExit = { job: null, chunk: null, version: 0 };

/** Whether an exit has reached the state service, so that the worker may forget it. */
export function isExitDurable(exit: RecordedExit): boolean {
  return (
    exit.job === null ||
    exit.job.finalStage !== null ||
    exit.chunk === null ||
    exit.version <= exit.chunk.committedVersion
  );
}
