/** The exchange of status messages with the other controllers: builds this node's status and stores its peers'. */
import { FORMAT } from '../core/persistence/index.js';
import { resolvedUntil } from '../core/jobs/index.js';
import { WAIT_REASONS, waitReason } from '../core/placement/index.js';
import type { MemberStatus } from '../membership/status.js';
import type { JobCount, PeerStatus, SilentZone } from '../wire/peers.js';
import { storeContactAgeMs, type ControllerContext } from './context.js';
import type { LiveJobsSnapshot } from './fallback-responder.js';
import type { AcknowledgedTerm } from './start-fence.js';

/** The part of a status that the failure detector provides. */
export type FailureDetectorStatus = Pick<
  MemberStatus,
  | 'timerLagMs'
  | 'observations'
  | 'unexpectedReports'
  | 'reporting'
  | 'expected'
  | 'probeRequests'
  | 'probeRound'
  | 'reachable'
  | 'unreachable'
>;

interface ReceivedStatus {
  readonly status: PeerStatus;
  readonly receivedAt: number;
}

/** Builds this node's status, and stores the latest status of each peer. */
export class PeerExchange {
  readonly #jobCounts = new Map<string, JobCount>();
  readonly #receivedStatuses = new Map<string, ReceivedStatus>();
  /** Zones from which the leader gets no heartbeat, and the monotonic time (ms) since when. */
  readonly #silentZones = new Map<string, number>();

  constructor(
    private readonly common: ControllerContext,
    /** Machines that this node answers in the leader's place. */
    private readonly relayedMachines: () => string[],
    /** Whether this node accepts heartbeats for the leader that it follows. */
    private readonly acceptsHeartbeats: () => boolean,
    /** Receives the live jobs that a leader's status lists. */
    private readonly receiveSnapshot: (view: LiveJobsSnapshot) => void,
    /** The failure detector's part of the status: observations of peers, probe requests and probe results. */
    private readonly failureDetectorStatus: () => FailureDetectorStatus,
  ) {}

  /** The term that a node's latest status acknowledges; null: none has arrived. */
  acknowledgedTerm(node: string): AcknowledgedTerm | null {
    return this.#receivedStatuses.get(node)?.status ?? null;
  }

  /** Whether a node's latest status is recent and says that it accepts heartbeats for the leader of this term. */
  isAcceptingHeartbeats(node: string): boolean {
    const received = this.#receivedStatuses.get(node);
    if (received === undefined || received.status.term !== this.term()) return false;
    const { clock } = this.common.ports;
    return (
      received.status.acceptsHeartbeats &&
      clock.monotonicMs() - received.receivedAt < this.common.timing.maxHeartbeatIntervalMs
    );
  }

  /** Whether a peer that reads only an earlier format has sent a status within the last worker lease. */
  hasPeerOfEarlierFormat(): boolean {
    const now = this.common.ports.clock.monotonicMs();
    return [...this.#receivedStatuses.values()].some(
      ({ status, receivedAt }) =>
        status.format < FORMAT && now - receivedAt < this.common.timing.workerLeaseMs,
    );
  }

  /** Whether the leader gets no heartbeat from a zone, as far as this node knows. */
  isZoneSilent(zone: string): boolean {
    return this.#silentZones.has(zone);
  }

  /** Zones silent to a leader for less than three worker leases, and the monotonic time (ms) since when. */
  recentlySilentZones(): Map<string, number> {
    const from = this.common.ports.clock.monotonicMs() - 3 * this.common.timing.workerLeaseMs;
    return new Map([...this.#silentZones].filter(([, since]) => since > from));
  }

  /** Progress of a job's tasks, as this node or the leader knows it; null: unknown. */
  countOf(id: string): Omit<JobCount, 'id'> | null {
    const job = this.common.commands.state.jobs.get(id);
    if (this.common.commands.state.leadership === null || job === undefined)
      return this.#jobCounts.get(id) ?? null;
    const why = waitReason(this.common.commands.state, job);
    return {
      done: job.doneCount,
      running: job.runningCount,
      why: why === null ? 0 : WAIT_REASONS.indexOf(why) + 1,
    };
  }

  /** The term this node leads, or else the highest one it knows. */
  term(): number {
    return this.common.commands.state.leadership?.term ?? this.common.leadershipView.highestTerm;
  }

  /**
   * The term stated in this node's status. While a new leader loads its state, this is its own term, even if it has
   * learned of a later one: it has not given up its leadership yet.
   */
  #acknowledgedTerm(): number {
    const { commands, leadershipView } = this.common;
    const isLoading = commands.state.leadership === null && leadershipView.leadingTerm !== 0;
    return isLoading ? leadershipView.leadingTerm : this.term();
  }

  /** Builds the status message to the other nodes. It visits every live job, so it is called for nothing else. */
  status(): PeerStatus {
    const { state } = this.common.commands;
    const counts: JobCount[] = [];
    if (state.leadership !== null) {
      for (const [id, job] of state.jobs) {
        if (job.finalStage !== null) continue;
        counts.push({ id, ...(this.countOf(id) ?? { done: 0, running: 0, why: 0 }) });
      }
    }
    return {
      node: this.common.settings.host_name,
      incarnation: this.common.ports.incarnation,
      term: this.#acknowledgedTerm(),
      isLeader: state.leadership !== null,
      storeContactAgeMs: storeContactAgeMs(this.common),
      counts,
      format: FORMAT,
      dependenciesResolvedUntil: this.#dependenciesResolvedUntil(),
      silentZones: this.#silentZoneList(),
      relayedMachines: state.leadership === null ? this.relayedMachines() : [],
      viewConfirmedAt: this.#viewConfirmedAt(),
      acceptsHeartbeats: this.acceptsHeartbeats(),
      ...this.failureDetectorStatus(),
    };
  }

  /** Zones without heartbeats: as this node knows them as the leader, or else from the status of its peers. */
  #silentZoneList(): SilentZone[] {
    const { state } = this.common.commands;
    const now = this.common.ports.clock.monotonicMs();
    const zones = state.leadership === null ? this.#silentZones : state.silentZones;
    return [...zones].map(([zone, since]) => ({ zone, silentMs: Math.max(0, Math.round(now - since)) }));
  }

  /**
   * Merges the silent zones of a peer: a leader's replace the stored ones, of others the later time is kept. Zones that
   * peers no longer list need not be removed: `recentlySilentZones` leaves out old entries.
   */
  #mergeSilentZones(status: PeerStatus, now: number): void {
    if (status.isLeader) this.#silentZones.clear();
    for (const { zone, silentMs } of status.silentZones) {
      const since = now - silentMs;
      if (status.isLeader || (this.#silentZones.get(zone) ?? -Infinity) < since)
        this.#silentZones.set(zone, since);
    }
  }

  /** Epoch milliseconds up to which cancellations have reached all dependent jobs; 0: this node does not lead. */
  #dependenciesResolvedUntil(): number {
    const { state } = this.common.commands;
    if (state.leadership === null) return 0;
    return this.common.ports.clock.epochMs() - (this.common.ports.clock.monotonicMs() - resolvedUntil(state));
  }

  /** Epoch milliseconds of the read that confirmed this leader's view; 0: this node does not lead. */
  #viewConfirmedAt(): number {
    const { leadership } = this.common.commands.state;
    const { clock } = this.common.ports;
    return leadership === null ? 0 : clock.epochMs() - (clock.monotonicMs() - leadership.viewConfirmedAt);
  }

  /**
   * Whether a leader has confirmed, recently enough for the bound on cancellations, that no waiting job depends on a
   * cancelled one. Its status message may have been delayed, so its age is taken from the epoch time that it states.
   */
  areDependenciesResolved(): boolean {
    const maxAgeMs = this.common.timing.cancelTimeoutMs / 2 - 2 * this.common.settings.cluster.clock_error_ms;
    const now = this.common.ports.clock.epochMs();
    if (now - this.#dependenciesResolvedUntil() < maxAgeMs) return true;
    return [...this.#receivedStatuses.values()].some(
      ({ status }) => status.isLeader && now - status.dependenciesResolvedUntil < maxAgeMs,
    );
  }

  /** Processes a peer's status. */
  onPeer(status: PeerStatus): void {
    const now = this.common.ports.clock.monotonicMs();
    this.#receivedStatuses.set(status.node, { status, receivedAt: now });
    if (status.term > this.common.leadershipView.highestTerm) {
      this.common.leadershipView.highestTerm = status.term;
      this.common.commands.push({ kind: 'higherTokenSeen', token: status.term });
    }
    if (status.relayedMachines.length > 0)
      this.common.commands.push({ kind: 'machinesRelayed', machines: status.relayedMachines, ageMs: 0 });
    if (status.term >= this.common.leadershipView.highestTerm) this.#mergeSilentZones(status, now);
    if (!status.isLeader || status.term < this.common.leadershipView.highestTerm) return;
    if (this.common.commands.state.leadership === null) this.common.leadershipView.leader = status.node;
    if (status.viewConfirmedAt > 0)
      this.receiveSnapshot({
        viewConfirmedAt: status.viewConfirmedAt,
        liveJobs: new Set(status.counts.map(({ id }) => id)),
      });
    this.#jobCounts.clear();
    for (const count of status.counts) this.#jobCounts.set(count.id, count);
  }

  /**
   * Whether users should be sent to this node. If the key-value store answers some peer but not this node, the peer
   * serves users better. If the store answers no node, it is better to stay ready: each removal by the load
   * balancer causes a pause, and the pauses grow longer.
   */
  isReady(): boolean {
    const { state } = this.common.commands;
    if (state.machineTypes.size === 0) return false;
    const maxAgeMs = 2 * this.common.timing.storeTimeoutMs;
    if (storeContactAgeMs(this.common) < maxAgeMs) return true;
    const now = this.common.ports.clock.monotonicMs();
    let hasPeerContact = this.#receivedStatuses.size === 0;
    for (const { status, receivedAt } of this.#receivedStatuses.values()) {
      if (now - receivedAt < maxAgeMs / 2 && status.storeContactAgeMs < maxAgeMs / 2) return false;
      hasPeerContact ||= now - receivedAt < maxAgeMs;
    }
    // A node without contact to the key-value store and to any peer is itself partitioned.
    return hasPeerContact;
  }
}
