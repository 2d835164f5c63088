/**
 * Why a machine is given up. The texts are logged and shown on the status page, and stay as they are;
 * the code speaks of them by the constants' names.
 */
export const TerminationReason = {
  /** The cloud lists the instance as failed. */
  instanceFailed: 'failed',
  /** Several probes in a row could not connect. */
  unreachable: 'out of reach',
  /** It should be up, and this leader has had no heartbeat of it. */
  neverReported: 'never heard',
  /** It did not finish booting. */
  neverBooted: 'never came up',
  /** The cloud's termination notice has run out. */
  reclaimed: 'taken',
  /** Its heartbeats arrive, and the answers to them do not reach it. */
  unresponsive: 'deaf',
  /** Its host accepts connections, and its worker sends no heartbeats. */
  hanging: 'hanging',
  /** It has sent no heartbeat for longer than the silence timeout. */
  silent: 'silent',
  /** It is silent, and holds tasks of jobs that have ended. */
  silentWithEndedWork: 'silent with ended work',
  /** Tasks of several jobs that are sound elsewhere fail on it. */
  failsTasks: 'fails its tasks',
  /** It has had no work for longer than the idle timeout. */
  idle: 'idle',
} as const;

/** One of the texts of {@link TerminationReason}. */
export type TerminationReason = (typeof TerminationReason)[keyof typeof TerminationReason];
