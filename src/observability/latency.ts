/** Latency of requests by kind, in bounded histograms, for the status page. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Longer latencies are recorded as this value, in milliseconds. */
const MAX_TRACKED_MS = 60_000;

/** One histogram for each kind of request. */
export class LatencyHistograms {
  readonly #histograms = new Map<string, Histogram>();

  /** Records the latency of one request, in milliseconds. */
  record(kind: string, ms: number): void {
    let histogram = this.#histograms.get(kind);
    if (histogram === undefined) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_TRACKED_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.#histograms.set(kind, histogram);
    }
    histogram.recordValue(Math.min(MAX_TRACKED_MS, Math.max(1, Math.round(ms))));
  }

  /** Count, percentiles and maximum in milliseconds, by kind. */
  describe(): Record<string, object> {
    const summaries: Record<string, object> = {};
    for (const [kind, histogram] of this.#histograms) {
      const percentileMs = (percentile: number): number => histogram.getValueAtPercentile(percentile);
      summaries[kind] = {
        count: histogram.totalCount,
        p50: percentileMs(50),
        p95: percentileMs(95),
        p99: percentileMs(99),
        max: histogram.maxValue,
      };
    }
    return summaries;
  }
}
