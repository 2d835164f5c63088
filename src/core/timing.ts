/** Timeouts and intervals of the service. */

/** All values are in milliseconds, and each is derived from values of the settings by fixed ratios. */
export interface Timing {
  /** Time to live of the leader's lease in the key-value store. */
  readonly leaderLeaseMs: number;
  /** Time between two renewals of that lease. */
  readonly renewIntervalMs: number;
  /** How long a leader may answer workers after a read that confirms its view of the jobs. */
  readonly authorityWindowMs: number;
  /** How long a worker keeps its tasks running without an answer to its heartbeats. */
  readonly workerLeaseMs: number;
  /** Maximum time between two heartbeats of a worker: the maximum heartbeat interval. */
  readonly maxHeartbeatIntervalMs: number;
  /** A machine that has reported before and is silent for longer is terminated, unless its zone is partitioned. */
  readonly silenceTimeoutMs: number;
  /**
   * Such a machine is terminated after this shorter silence, unless so many machines are silent that a common cause is
   * likely, or it accepts connections and at most half of its tasks would lose an objective by waiting for
   * `silenceTimeoutMs`. Without a likely common cause, the same limit applies to a machine that has never reported to
   * the leader and holds tasks of ended jobs.
   */
  readonly shortSilenceTimeoutMs: number;
  /** How long tasks of a cancelled job may keep running, as set in the settings. */
  readonly cancelTimeoutMs: number;
  /** Maximum duration of one watch request to the key-value store. */
  readonly watchTimeoutMs: number;
  /** Timeout of any other request to the key-value store. */
  readonly storeTimeoutMs: number;
  /** Time between two ticks, at which due work is done. */
  readonly tickMs: number;
  /** Time within which a machine has to accept a probe's connection. */
  readonly probeTimeoutMs: number;
  /** How long a task exit may wait to be written together with others of its job. */
  readonly exitBatchDelayMs: number;
  /** How long a follower collects heartbeats before it forwards them. */
  readonly forwardBatchDelayMs: number;
  /** How long a heartbeat may wait for the commit that its starts need. */
  readonly maxReplyDelayMs: number;
}
