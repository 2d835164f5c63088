/** Time and deferred calls. Controllers read time through a {@link Clock}, so that tests can supply a virtual one. */

/** A source of time. */
export interface Clock {
  /** Monotonic time, in milliseconds from an arbitrary start. */
  monotonicMs(): number;
  /** Time of day, in milliseconds since the Unix epoch. */
  epochMs(): number;
  /** Resolves after `ms` milliseconds. */
  sleep(ms: number): Promise<void>;
  /** Runs `call` once the input that is ready now has been handled. */
  defer(call: () => void): void;
  /** Starts a measurement of work; the returned function ends it. */
  startMeasuring(): () => WorkDuration;
}

/** Elapsed and CPU time of a piece of work, in milliseconds. */
export interface WorkDuration {
  readonly elapsedMs: number;
  readonly cpuMs: number;
}

/** The clock of the operating system. */
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
    const startedAt = performance.now();
    const usageAtStart = process.cpuUsage();
    return () => {
      const { user, system } = process.cpuUsage(usageAtStart);
      return { elapsedMs: performance.now() - startedAt, cpuMs: (user + system) / 1000 };
    };
  },
};
