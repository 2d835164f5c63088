/** Types that the whole service shares. Names that differ on the wire are only used in `wire/`. */

/** 0: production, 1: high, 2: normal, 3: low. */
export type Priority = 0 | 1 | 2 | 3;

/**
 * Tasks of an array are placed one by one; those of a gang all together or not at all. Tasks of a service run until the
 * job is cancelled.
 */
export type JobForm = 'array' | 'gang' | 'service';

/**
 * A job as its user submitted it. It is stored in this form, so the names of its fields are names of stored data.
 * `…S`: seconds, `…Gb`: gigabytes.
 */
export interface JobSpec {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly form: JobForm;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
  /** Epoch milliseconds of its submission. */
  readonly submittedAt: number;
  /** Ids of the jobs that it depends on, which have to be done before any of its tasks starts; absent: none. */
  readonly awaits?: readonly string[];
}

/** A type of machine that the cloud offers. `…S`: seconds, `…Gb`: gigabytes. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** Amounts of resources: free, allocated or requested. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Bytes in the heartbeat of the machine, whose size is limited. */
  heartbeatBytes: number;
}

/** Amounts of resources that are only read. */
export type ResourceRequest = Readonly<Resources>;

/** Stage of a task on its worker. */
export type TaskStage = 'fetching' | 'running' | 'saving' | 'exited';
/** Why a task has exited, as reported by its worker. */
export type ExitReason = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown';

/** The status of a task in a heartbeat. */
export interface ReportedTask {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly stage: TaskStage;
  /** Null unless the stage is `exited`. */
  readonly exit: ExitReason | null;
}

/** A worker's heartbeat, with the status of its machine and tasks. */
export interface Heartbeat {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Increases whenever the worker starts over, without any task of the previous epoch. */
  readonly agentEpoch: number;
  /** Increases with each heartbeat of the epoch. */
  readonly sequence: number;
  /** The highest fencing token that the worker has seen. */
  readonly token: number;
  /** Seconds until the cloud reclaims the machine; null: no notice. */
  readonly terminationNoticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

/** A command to a worker about one task. */
export type WorkerCommand =
  | { readonly op: 'start'; readonly job: string; readonly task: number; readonly attempt: number }
  | {
      readonly op: 'stop';
      readonly job: string;
      readonly task: number;
      readonly attempt: number;
      readonly graceS: number;
    }
  | { readonly op: 'forget'; readonly job: string; readonly task: number; readonly attempt: number };

/** A machine in the cloud's list. */
export interface ListedMachine {
  readonly name: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly stage: 'booting' | 'running' | 'failed';
  /** Seconds since it was provisioned. */
  readonly ageS: number;
}

/** The placement of a task: one attempt, on one machine, in one agent epoch of its worker. */
export interface Claim {
  readonly attempt: number;
  readonly machine: string;
  readonly agentEpoch: number;
  /** Time of the placement, in epoch milliseconds. */
  readonly createdAt: number;
}

/** The stored record of a run of consecutive tasks of one job. */
export interface ChunkRecord {
  readonly team: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Tasks done, one bit each, base64. */
  readonly done: string;
  /** Number of the latest attempt, by task, for tasks without a claim. */
  readonly attempts: Readonly<Record<string, number>>;
  /** Claims by task number. */
  readonly claims: Readonly<Record<string, Claim>>;
}

/** How a job ended; the values are stored under these names. */
export type FinalStage = 'done' | 'withdrawn';

/** The record of a job's end; its fields are stored under these names. */
export interface EndedRecord {
  readonly stage: FinalStage;
  readonly tasks: number;
  readonly done: number;
  /** Epoch milliseconds at which it ended; absent in records of earlier versions. */
  readonly at?: number;
}

/** A value of the key-value store together with the revision of its latest change. */
export interface Versioned<T> {
  readonly value: T;
  readonly modRevision: number;
}

/** The condition that a key has not changed since this revision. */
export interface Precondition {
  readonly key: string;
  /** 0: the key must not exist. */
  readonly modRevision: number;
}

/** A change of a key. A key put with a `lease` (a lease id) is deleted when that lease expires or is revoked. */
export type Mutation =
  { readonly put: string; readonly value: unknown; readonly lease?: number } | { readonly remove: string };

/** A compare-and-swap: all mutations are applied if all preconditions hold, and none otherwise. */
export interface Transaction {
  readonly preconditions: readonly Precondition[];
  readonly mutations: readonly Mutation[];
}
