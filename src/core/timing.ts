/** The service's time constants. */

/** All in milliseconds, each a ratio to a figure of the settings. */
export interface Timing {
  /** Time to live of the leader's lease in the key-value store. */
  readonly leaderLeaseMs: number;
  /** Time between two renewals of that lease. */
  readonly renewIntervalMs: number;
  /** How long a read that proves the leader's view lets it answer workers. */
  readonly authorityWindowMs: number;
  /** How long a worker runs on without an answer to its heartbeats. */
  readonly workerLeaseMs: number;
  /** Longest time between two heartbeats of a worker. */
  readonly maxHeartbeatIntervalMs: number;
  /** A machine silent for longer is terminated in any case. */
  readonly silenceTimeoutMs: number;
  /** One silent for longer is terminated while most others report. */
  readonly shortSilenceTimeoutMs: number;
  /** How long tasks of a cancelled job may run on, by the settings. */
  readonly cancelTimeoutMs: number;
  /** Longest wait of one request that watches the key-value store. */
  readonly watchTimeoutMs: number;
  /** Timeout of any other request to the key-value store. */
  readonly storeTimeoutMs: number;
  /** Time between two ticks, at which due work is done. */
  readonly tickMs: number;
  /** How long a machine has to accept a probe's connection. */
  readonly probeTimeoutMs: number;
  /** How long an exit may wait to be written together with others of its job. */
  readonly exitBatchDelayMs: number;
  /** How long a follower collects heartbeats before it forwards them. */
  readonly forwardBatchDelayMs: number;
  /** How long a heartbeat may wait for the commit that its starts need. */
  readonly maxReplyDelayMs: number;
}
