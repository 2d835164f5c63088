/** The exchange of status with the other controllers: what they are told, and what of theirs is believed. */
import { FORMAT } from '../core/persistence/index.js';
import { resolvedUntil } from '../core/jobs/index.js';
import { WAIT_REASONS, waitReason } from '../core/placement/index.js';
import type { MemberStatus } from '../membership/status.js';
import type { JobCount, PeerStatus, SilentZone } from '../wire/peers.js';
import { storeContactAgeMs, type ControllerContext } from './context.js';
import type { LiveJobsSnapshot } from './fallback-responder.js';

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

/** Puts this node's status together, and keeps what the others have said. */
export class PeerExchange {
  readonly #jobCounts = new Map<string, JobCount>();
  readonly #receivedStatuses = new Map<string, ReceivedStatus>();
  /** Zones of which the leader heard nobody, and the steady time since. */
  readonly #silentZones = new Map<string, number>();

  constructor(
    private readonly common: ControllerContext,
    /** Machines that this node answers in the leader's place. */
    private readonly relayedMachines: () => string[],
    /** Whether this node takes reports for the leader that it follows. */
    private readonly acceptsHeartbeats: () => boolean,
    /** Takes the live jobs of which a leader has told. */
    private readonly receiveSnapshot: (view: LiveJobsSnapshot) => void,
    /** What this node sees of the others, and is asked or answers of machines. */
    private readonly failureDetectorStatus: () => FailureDetectorStatus,
  ) {}

  /** Whether a node has said of late that it takes reports for the leader of this term. */
  isAcceptingHeartbeats(node: string): boolean {
    const heard = this.#receivedStatuses.get(node);
    if (heard === undefined || heard.status.term !== this.term()) return false;
    const { clock } = this.common.ports;
    return (
      heard.status.acceptsHeartbeats &&
      clock.monotonicMs() - heard.receivedAt < this.common.timing.maxHeartbeatIntervalMs
    );
  }

  /** Whether a peer of an earlier format has been heard of late. */
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

  /** Zones of which leaders of late heard nobody, and the steady time since. */
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

  /** What the other nodes are told; it counts the tasks of all jobs, so nothing else asks for it. */
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
      term: this.term(),
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

  /** What is known of zones that nobody is heard of: by this node as the leader, or from one. */
  #silentZoneList(): SilentZone[] {
    const { state } = this.common.commands;
    const now = this.common.ports.clock.monotonicMs();
    const known = state.leadership === null ? this.#silentZones : state.silentZones;
    return [...known].map(([zone, since]) => ({ zone, silentMs: Math.max(0, Math.round(now - since)) }));
  }

  /** Takes over what a peer knows of silent zones; it grows old by itself once nobody tells of it. */
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
   * Whether a leader vouches, freshly enough for the bound on cancellations, that no waiting
   * job needs one that was cancelled. Its word may have been held back: the time of day tells.
   */
  areDependenciesResolved(): boolean {
    const fresh = this.common.timing.cancelTimeoutMs / 2 - 2 * this.common.settings.cluster.clock_error_ms;
    const now = this.common.ports.clock.epochMs();
    if (now - this.#dependenciesResolvedUntil() < fresh) return true;
    return [...this.#receivedStatuses.values()].some(
      ({ status }) => status.isLeader && now - status.dependenciesResolvedUntil < fresh,
    );
  }

  /** Takes in a peer's status. */
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
   * A node that the state service alone refuses sends users elsewhere. When nobody is
   * served, staying is better: each removal by the load balancer costs a growing pause.
   */
  isReady(): boolean {
    const { state } = this.common.commands;
    if (state.machineTypes.size === 0) return false;
    const stale = 2 * this.common.timing.storeTimeoutMs;
    if (storeContactAgeMs(this.common) < stale) return true;
    const now = this.common.ports.clock.monotonicMs();
    let heard = this.#receivedStatuses.size === 0;
    for (const { status, receivedAt } of this.#receivedStatuses.values()) {
      if (now - receivedAt < stale / 2 && status.storeContactAgeMs < stale / 2) return false;
      heard ||= now - receivedAt < stale;
    }
    // Alone without the state service and all peers, it is this node that is cut off.
    return heard;
  }
}
