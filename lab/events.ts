/** What workers and users tell the checker and the statistics, with times of the shared monotonic clock. */

/** The description of a job as workers fetch it: what users upload. */
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

interface OfTask {
  readonly at: number;
  readonly worker: string;
  readonly zone: string;
  readonly job: string;
  readonly task: number;
}

/** One observation. */
export type LabEvent =
  /** A start command was executed: the image is being fetched from now on. */
  | (OfTask & { readonly kind: 'begun'; readonly token: number })
  /** The task has its image and is on the machine. */
  | (OfTask & { readonly kind: 'on' })
  /** It is no longer on the machine; `lapsed`: killed by the worker's lease. */
  | (OfTask & { readonly kind: 'off'; readonly done: boolean; readonly lapsed: boolean })
  | { readonly kind: 'submitting'; readonly at: number; readonly job: JobDescription }
  /** A controller answered a submission. */
  | { readonly kind: 'submitted'; readonly at: number; readonly job: string; readonly status: number }
  /** A controller answered a question; the stage is null if it was not 200. */
  | {
      readonly kind: 'told';
      readonly at: number;
      readonly job: string;
      readonly status: number;
      readonly stage: string | null;
    }
  | { readonly kind: 'cancelling'; readonly at: number; readonly job: string }
  /** A controller confirmed a cancellation, or said that the job is done. */
  | { readonly kind: 'cancelled'; readonly at: number; readonly job: string; readonly stage: string };

/** One step of a run, told by a process of hollow workers. */
export interface WorkerSample {
  /** Workers that are up in this process. */
  readonly workers: number;
  readonly tasks: number;
  readonly reports: number;
  readonly reportMs: readonly number[];
  readonly leasesLost: number;
  readonly traffic: Readonly<Record<string, { readonly messages: number; readonly bytes: number }>>;
  /** Processor time of the process, in milliseconds, and the part that simulates tasks and records events. */
  readonly processorMs: number;
  readonly simulationMs: number;
}
