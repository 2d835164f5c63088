/** Latency of requests by kind, in bounded histograms, for the status page. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Longer requests are counted as this long, in milliseconds. */
const MAX_TRACKED_MS = 60_000;

/** One histogram for each kind of request. */
export class LatencyHistograms {
  readonly #kinds = new Map<string, Histogram>();

  /** Records a request that took so many milliseconds. */
  record(kind: string, ms: number): void {
    let histogram = this.#kinds.get(kind);
    if (histogram === undefined) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_TRACKED_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.#kinds.set(kind, histogram);
    }
    histogram.recordValue(Math.min(MAX_TRACKED_MS, Math.max(1, Math.round(ms))));
  }

  /** Count, percentiles and maximum in milliseconds, by kind. */
  describe(): Record<string, object> {
    const found: Record<string, object> = {};
    for (const [kind, histogram] of this.#kinds) {
      const at = (share: number): number => histogram.getValueAtPercentile(share);
      found[kind] = {
        count: histogram.totalCount,
        p50: at(50),
        p95: at(95),
        p99: at(99),
        max: histogram.maxValue,
      };
    }
    return found;
  }
}
