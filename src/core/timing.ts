/**
 * The service's own time constants, in milliseconds, each a ratio to a figure of
 * the settings.
 */
export interface Timing {
  /** Life of the leader's lease in the state service. */
  readonly leaderLeaseMs: number;
  readonly renewIntervalMs: number;
  /** How long one read proving freshness lets a leader answer workers. */
  readonly authorityWindowMs: number;
  readonly workerLeaseMs: number;
  /** Longest time between two reports of a worker. */
  readonly maxHeartbeatIntervalMs: number;
  /** A machine silent for longer is given back, whatever else may be the matter. */
  readonly silenceTimeoutMs: number;
  /** One silent for longer is given back while most others are heard. */
  readonly shortSilenceTimeoutMs: number;
  readonly cancelTimeoutMs: number;
  /** Wait of one state watch. */
  readonly watchTimeoutMs: number;
  /** Bound on one request to the state service. */
  readonly storeTimeoutMs: number;
  readonly tickMs: number;
  /** How long a machine has to take a connection. */
  readonly probeTimeoutMs: number;
  /** How long an exit may wait to be written together with others of its job. */
  readonly exitBatchDelayMs: number;
  /** How long a follower gathers reports before it forwards them. */
  readonly forwardBatchDelayMs: number;
  /** How long a report may wait for the commit that its starts need. */
  readonly maxReplyDelayMs: number;
}
