/** The configuration that a leader goes by, as derived from the settings and the policy. */
import type { Timing } from '../timing.js';
import type { JobSpec, MachineType } from '../types.js';

/** The time of a step, by both clocks. */
export interface Now {
  /** Steady milliseconds: never set back, and without meaning outside this process. */
  readonly monotonicMs: number;
  /** Time of day, in milliseconds since the Unix epoch. */
  readonly epochMs: number;
}

/** What a team may use: its guarantee is served before others' work, its maximum is never exceeded. */
export interface TeamQuota {
  /** 0: no guarantee. */
  readonly guaranteedCpus: number;
  /** 0: no maximum. */
  readonly maxCpus: number;
  /** 0: no guarantee. */
  readonly guaranteedGpus: number;
  /** 0: no maximum. */
  readonly maxGpus: number;
}

/** All that a leader's decisions go by besides the state. */
export interface CoreConfig {
  readonly timing: Timing;
  /** Quotas by team. */
  readonly teams: ReadonlyMap<string, TeamQuota>;
  /** What the settings' service-level objectives ask for, by job class. */
  readonly objectives: ReadonlyMap<string, ClassObjectives>;
  /** How earlier versions write, and this one until every controller reads what it would write. */
  readonly initialLayout: RecordLayout;
  /** Milliseconds by which the cloud's list of machines may lag behind. */
  readonly listLagMs: number;
  /** Machines that are called directly within the longest time between two heartbeats, at most. */
  readonly maxDirectCallsPerInterval: number;
  readonly policy: SchedulingPolicy;
}

/** The service-level objectives of a job class; any number of each kind, each list in ascending order. */
export interface ClassObjectives {
  /** Milliseconds from being ready within which a task is to start. */
  readonly startTargetsMs: readonly number[];
  /** Multiples of the deadline by which a job is to be done. */
  readonly deadlineMultiples: readonly number[];
  /** Milliseconds from being ready within which a job is to be done. */
  readonly finishTargetsMs: readonly number[];
}

/** How chunk records are cut, and how much is written at once. */
export interface RecordLayout {
  /** Tasks of a chunk as they stand in the chunk's key; null: the first versions' keys, which do not say. */
  readonly keyWidth: number | null;
  /** Tasks of a chunk. */
  readonly tasksPerChunk: number;
  /** Most mutations in a transaction. */
  readonly maxMutations: number;
  /** Most bytes of a value. */
  readonly maxValueBytes: number;
  /** Mutations a second that a leader keeps to in the long run. */
  readonly writesPerSecond: number;
  /** Mutations that it may save up while it writes less. */
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
  /** Share of a job's deadline slack that it may spend waiting for resources. */
  readonly deadlineSlackShare: (job: JobSpec) => number;
  /** Headroom for a class that cannot wait for a boot, as a multiple of the most it used of late. */
  readonly headroomFactor: (job: JobSpec) => number;
  /** Milliseconds in which the peak of a class's demand decays to 1/e. */
  readonly demandDecayMs: number;
  /** Number of machines from which on followers answer heartbeats, too. */
  readonly sharedHeartbeatsMinMachines: number;
}
