/**
 * The service's own time constants, in milliseconds, each a ratio to a figure of
 * the settings.
 */
export interface Timing {
  /** Life of the leader's lease in the state service. */
  readonly leaderLease: number;
  readonly renewEvery: number;
  /** How long one read proving freshness lets a leader answer workers. */
  readonly authority: number;
  readonly workerLease: number;
  /** Longest time between two reports of a worker. */
  readonly longestReport: number;
  /** A machine silent for longer is given back, whatever else may be the matter. */
  readonly silence: number;
  /** One silent for longer is given back while most others are heard. */
  readonly shortSilence: number;
  readonly cancel: number;
  /** Wait of one state watch. */
  readonly watchWait: number;
  /** Bound on one request to the state service. */
  readonly stateTimeout: number;
  readonly tick: number;
  /** How long a machine has to take a connection. */
  readonly knock: number;
  /** How long an exit may wait to be written together with others of its job. */
  readonly exitHold: number;
  /** How long a follower gathers reports before it forwards them. */
  readonly forwardHold: number;
  /** How long a report may wait for the commit that its starts need. */
  readonly replyHold: number;
}
