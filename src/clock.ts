/** Time as the service sees it; tests put a clock of their own in its place. */
export interface Clock {
  /** Steady, in milliseconds. */
  mono(): number;
  /** Time of day, in milliseconds. */
  wall(): number;
  sleep(ms: number): Promise<void>;
  /** Calls back once what is ready now has been dealt with. */
  soon(call: () => void): void;
}

export const systemClock: Clock = {
  mono: () => performance.now(),
  wall: () => Date.now(),
  sleep: (ms) =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    }),
  soon: (call) => {
    setImmediate(call);
  },
};
