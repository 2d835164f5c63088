/** The configuration of a leader, derived from the settings and the scheduling policy. */
import type { Timing } from '../timing.js';
import type { JobSpec, MachineType } from '../types.js';

/** The time of a step on the monotonic clock and on the wall clock. */
export interface Now {
  /** Milliseconds of the monotonic clock, which is never set back and has no meaning outside this process. */
  readonly monotonicMs: number;
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  readonly epochMs: number;
}

/** Quota of a team: jobs within a guarantee are placed before all others, and a maximum is never exceeded. */
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

/** The inputs of a leader's decisions other than the state. */
export interface CoreConfig {
  readonly timing: Timing;
  /** Quotas by team. */
  readonly teams: ReadonlyMap<string, TeamQuota>;
  /** Service-level objectives of the settings, by job class. */
  readonly objectives: ReadonlyMap<string, ClassObjectives>;
  /** Layout of earlier versions; this version writes it too until every controller can read the new format. */
  readonly initialLayout: RecordLayout;
  /** Longest time, in milliseconds, by which the cloud's list of machines may be out of date. */
  readonly listLagMs: number;
  /** Maximum number of direct calls to workers within one maximum heartbeat interval. */
  readonly maxDirectCallsPerInterval: number;
  readonly policy: SchedulingPolicy;
}

/** Service-level objectives of a job class. Each list is in ascending order and may have any length. */
export interface ClassObjectives {
  /** Milliseconds from a job becoming ready within which a task must start. */
  readonly startTargetsMs: readonly number[];
  /** Multiples of a job's deadline, counted from its submission, within which it must be done. */
  readonly deadlineMultiples: readonly number[];
  /** Milliseconds from a job becoming ready within which it must be done. */
  readonly finishTargetsMs: readonly number[];
}

/** Width and keys of chunk records, and the limits on a transaction, a value and the write rate. */
export interface RecordLayout {
  /** Tasks per chunk as stated in a chunk's key; null: the keys of the first versions, which do not state it. */
  readonly keyWidth: number | null;
  /** Tasks per chunk. */
  readonly tasksPerChunk: number;
  /** Maximum number of mutations in a transaction. */
  readonly maxMutations: number;
  /** Maximum size of a value, in bytes. */
  readonly maxValueBytes: number;
  /** Average rate that a leader's writes may not exceed, in mutations per second. */
  readonly writesPerSecond: number;
  /** Maximum number of unused mutations that a leader may accumulate for a burst. */
  readonly writeBurst: number;
}

/** Scheduling parameters that operators may change; see `config/policy`. */
export interface SchedulingPolicy {
  /** Expected run time of a task of this job, in milliseconds. */
  readonly expectedRunMs: (job: JobSpec) => number;
  /** How much longer a task past its expected end is expected to run, in milliseconds. */
  readonly overrunAllowanceMs: (job: JobSpec) => number;
  /** Longest time that a new leader waits for machines to report before it places tasks, in milliseconds. */
  readonly maxPlacementDelayMs: number;
  /** How long an idle machine of this type is kept, in milliseconds. */
  readonly idleTimeoutMs: (type: MachineType, spot: boolean) => number;
  /**
   * Longest time that a ready job should wait since it became ready or a task of it was last placed, in
   * milliseconds, whatever its priority or size.
   */
  readonly maxWaitMs: (job: JobSpec) => number;
  /** Share of a job's deadline slack that it may spend waiting for resources. */
  readonly deadlineSlackShare: (job: JobSpec) => number;
  /** Headroom for a class that cannot wait for a machine to boot, as a multiple of its recent peak demand. */
  readonly headroomFactor: (job: JobSpec) => number;
  /** Milliseconds in which the peak of a class's demand decays to 1/e. */
  readonly demandDecayMs: number;
  /** Minimum number of machines with which followers answer heartbeats, too. */
  readonly sharedHeartbeatsMinMachines: number;
}
