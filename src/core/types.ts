/** The terms the whole service speaks in. The wire's names stay in `wire/`. */

export type Priority = 0 | 1 | 2 | 3; // production, high, normal, low

/** Tasks one by one; all at once or none; replicas until the job is cancelled. */
export type JobForm = 'array' | 'gang' | 'service';

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
  /** Time of day of its submission, in milliseconds. */
  readonly submittedAt: number;
  /** Jobs that have to be done before any of its tasks starts; absent: none. */
  readonly awaits?: readonly string[];
}

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

/** Amounts of a machine: free, taken or asked for. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

export type ResourceRequest = Readonly<Resources>;

export type TaskStage = 'fetching' | 'running' | 'saving' | 'exited';
export type ExitReason = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface ReportedTask {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly stage: TaskStage;
  readonly exit: ExitReason | null;
}

export interface Heartbeat {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly agentEpoch: number;
  readonly sequence: number;
  readonly token: number;
  readonly terminationNoticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

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

export interface ListedMachine {
  readonly name: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly stage: 'booting' | 'running' | 'failed';
  readonly ageS: number;
}

/** Where a task has been put: one attempt, on one machine, in one of its sessions. */
export interface Claim {
  readonly attempt: number;
  readonly machine: string;
  readonly agentEpoch: number;
  /** Time of day at which it was made, in milliseconds. */
  readonly createdAt: number;
}

/** What the state service keeps of a run of consecutive tasks of one job. */
export interface ChunkRecord {
  readonly team: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Tasks done, one bit each, base64. */
  readonly done: string;
  /** Highest attempt made, by task, for tasks without a claim. */
  readonly attempts: Readonly<Record<string, number>>;
  readonly claims: Readonly<Record<string, Claim>>;
}

export type FinalStage = 'done' | 'withdrawn';

export interface EndedRecord {
  readonly stage: FinalStage;
  readonly tasks: number;
  readonly done: number;
  /** Time of day at which it ended, in milliseconds; absent in records of earlier versions. */
  readonly at?: number;
}

/** A value of the state service together with its revision. */
export interface Versioned<T> {
  readonly value: T;
  readonly modRevision: number;
}

/** What a transaction asks of the state service: all of it, or nothing. */
export interface Precondition {
  readonly key: string;
  /** 0: the key must not exist. */
  readonly modRevision: number;
}

export type Mutation =
  { readonly put: string; readonly value: unknown; readonly lease?: number } | { readonly remove: string };

export interface Transaction {
  readonly preconditions: readonly Precondition[];
  readonly mutations: readonly Mutation[];
}
