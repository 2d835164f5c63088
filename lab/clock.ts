/** Monotonic time that all processes of the lab share, so that their events can be put in one order. */

const NANOSECONDS_PER_MS = 1e6;

/** Milliseconds of the system's monotonic clock, which all processes share. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;
}

/** Resolves after this many milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
