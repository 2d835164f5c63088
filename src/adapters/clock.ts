/** Time as the service sees it; tests put a clock of their own in its place. */
export interface Clock {
  /** Steady, in milliseconds. */
  monotonicMs(): number;
  /** Time of day, in milliseconds. */
  epochMs(): number;
  sleep(ms: number): Promise<void>;
  /** Calls back once what is ready now has been dealt with. */
  defer(call: () => void): void;
  /** Begins to measure work; the call that ends it tells how long it took. */
  startMeasuring(): () => WorkDuration;
}

/** Steady time and processor time of a piece of work, in milliseconds. */
export interface WorkDuration {
  readonly elapsedMs: number;
  readonly cpuMs: number;
}

export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  epochMs: () => Date.now(),
  sleep: (ms) =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    }),
  defer: (call) => {
    setImmediate(call);
  },
  startMeasuring: () => {
    const from = performance.now();
    const used = process.cpuUsage();
    return () => {
      const { user, system } = process.cpuUsage(used);
      return { elapsedMs: performance.now() - from, cpuMs: (user + system) / 1000 };
    };
  },
};
