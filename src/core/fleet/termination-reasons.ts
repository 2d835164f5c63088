/**
 * Reasons for terminating a machine. The texts are logged and shown on the status page, and must not change;
 * the code refers to them by the constants' names.
 */
export const TerminationReason = {
  /** The cloud lists the instance as failed. */
  instanceFailed: 'failed',
  /** Consecutive probes could not connect. */
  unreachable: 'out of reach',
  /** It should be up, but this leader has received no heartbeat from it. */
  neverReported: 'never heard',
  /** It did not finish booting. */
  neverBooted: 'never came up',
  /** The time stated in the cloud's termination notice has passed, and it is silent. */
  reclaimed: 'taken',
  /** Its heartbeats arrive, but the answers to them do not reach it. */
  unresponsive: 'deaf',
  /** It accepts connections, but its worker sends no heartbeats. */
  hanging: 'hanging',
  /** It has sent no heartbeat for longer than the silence timeout. */
  silent: 'silent',
  /** It is silent, and holds tasks of jobs that have ended. */
  silentWithEndedWork: 'silent with ended work',
  /** Tasks of several jobs fail on it, without evidence that the jobs themselves are faulty. */
  failsTasks: 'fails its tasks',
  /** It has had no work for longer than the idle timeout. */
  idle: 'idle',
} as const;

/** One of the texts of {@link TerminationReason}. */
export type TerminationReason = (typeof TerminationReason)[keyof typeof TerminationReason];
