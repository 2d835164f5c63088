/** Events of workers and users for the rule checker and the statistics, with times of the shared monotonic clock. */

/** The description of a job, which users upload and workers fetch. */
export interface JobDescription {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly urgency: string;
  readonly tasks: number;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  readonly zone: string | null;
  /** Shortest and longest run time of its tasks, in seconds. */
  readonly runS: readonly [number, number];
}

interface TaskFields {
  readonly at: number;
  readonly worker: string;
  readonly zone: string;
  readonly job: string;
  readonly task: number;
}

/** One event of a run. */
export type LabEvent =
  /** A worker has executed a start command and begins to fetch the image. */
  | (TaskFields & { readonly kind: 'begun'; readonly token: number })
  /** The task's image has been fetched, and the task runs on the machine. */
  | (TaskFields & { readonly kind: 'on' })
  /** The task no longer runs on the machine; `leaseExpired`: it was killed because the worker's lease expired. */
  | (TaskFields & { readonly kind: 'off'; readonly done: boolean; readonly leaseExpired: boolean })
  | { readonly kind: 'submitting'; readonly at: number; readonly job: JobDescription }
  /** A worker sent or received a message of more bytes than PROTOCOL allows. */
  | {
      readonly kind: 'oversized';
      readonly at: number;
      readonly worker: string;
      readonly message: 'heartbeat' | 'answer' | 'direct command';
      readonly bytes: number;
    }
  /** A controller answered a submission. */
  | { readonly kind: 'submitted'; readonly at: number; readonly job: string; readonly status: number }
  /** A poll of a job's status ended; the stage is null unless the status is 200. */
  | {
      readonly kind: 'polled';
      readonly at: number;
      readonly job: string;
      readonly status: number;
      readonly stage: string | null;
    }
  | { readonly kind: 'cancelling'; readonly at: number; readonly job: string }
  /** A controller confirmed a cancellation, or said that the job is done. */
  | { readonly kind: 'cancelled'; readonly at: number; readonly job: string; readonly stage: string };

/** Statistics of a process of hollow workers since its previous sample. */
export interface WorkerSample {
  /** Workers that are up in this process. */
  readonly workers: number;
  readonly tasks: number;
  readonly heartbeats: number;
  readonly heartbeatLatenciesMs: readonly number[];
  readonly leasesLost: number;
  readonly traffic: Readonly<Record<string, { readonly messages: number; readonly bytes: number }>>;
  /** Processor time of the process, in milliseconds, and the part that simulates tasks and records events. */
  readonly processorMs: number;
  readonly simulationMs: number;
}
