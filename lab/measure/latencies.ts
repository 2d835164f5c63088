/** Latencies of a run, by class, as distributions. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { LabEvent } from '../events.js';

const LONGEST_MS = 30 * 60 * 1000;

/** Summary of a distribution, in milliseconds. */
export interface Quantiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly worst: number;
}

/** A distribution of milliseconds. */
export class Distribution {
  readonly #histogram: Histogram = build({
    highestTrackableValue: LONGEST_MS,
    numberOfSignificantValueDigits: 3,
  });

  record(ms: number): void {
    this.#histogram.recordValue(Math.max(0, Math.min(LONGEST_MS, Math.round(ms))));
  }

  describe(): Quantiles {
    const at = (percentile: number): number => this.#histogram.getValueAtPercentile(percentile);
    return {
      count: this.#histogram.totalCount,
      p50: at(50),
      p95: at(95),
      p99: at(99),
      worst: this.#histogram.totalCount === 0 ? 0 : this.#histogram.maxValue,
    };
  }
}

/** Follows jobs from their first submission to the first start of each task. */
export class StartLatencies {
  readonly #submitted = new Map<
    string,
    { at: number; jobClass: string; begun: Set<number>; on: Set<number> }
  >();
  /** Time from the submission of a job to the first start command of each task, by class. */
  readonly begun = new Map<string, Distribution>();
  /** Time from the submission of a job until each task first runs, with its image fetched, by class. */
  readonly on = new Map<string, Distribution>();
  /** Time from the submission of a job to its acceptance. */
  readonly accepted = new Distribution();
  readonly startsBySecond = new Map<number, number>();

  constructor(
    /** Jobs submitted before this time are excluded from the latencies, since they found an empty fleet. */
    private readonly from: () => number,
  ) {}

  add(events: readonly LabEvent[]): void {
    for (const event of events) this.#addEvent(event);
  }

  #addEvent(event: LabEvent): void {
    switch (event.kind) {
      case 'submitting':
        this.#submitted.set(event.job.id, {
          at: event.at,
          jobClass: event.job.jobClass,
          begun: new Set(),
          on: new Set(),
        });
        break;
      case 'submitted': {
        const job = this.#submitted.get(event.job);
        if (job !== undefined && (event.status === 201 || event.status === 200) && job.at >= this.from())
          this.accepted.record(event.at - job.at);
        break;
      }
      case 'begun': {
        const second = Math.floor(event.at / 1000);
        this.startsBySecond.set(second, (this.startsBySecond.get(second) ?? 0) + 1);
        this.#record(this.begun, 'begun', event);
        break;
      }
      case 'on':
        this.#record(this.on, 'on', event);
        break;
      default:
        break;
    }
  }

  #record(
    byClass: Map<string, Distribution>,
    which: 'begun' | 'on',
    { job, task, at }: Extract<LabEvent, { kind: 'begun' | 'on' }>,
  ): void {
    const submission = this.#submitted.get(job);
    if (submission === undefined || submission[which].has(task)) return;
    submission[which].add(task);
    if (submission.at < this.from()) return;
    const distribution = byClass.get(submission.jobClass) ?? new Distribution();
    byClass.set(submission.jobClass, distribution);
    distribution.record(at - submission.at);
  }
}
