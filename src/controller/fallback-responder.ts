/**
 * Lets a follower answer workers in the place of a leader that they cannot reach.
 *
 * During a partition between two zones, the leases of the workers in the zone without the leader would expire, and
 * all their work would be lost. A follower in their zone can keep them alive: an answer with the leader's fencing token renews the lease,
 * whichever controller sends it. The follower never starts a task. It stops tasks of jobs that are no longer live, and
 * answers only while its view of the cancellations is fresh, within the same bound as a leader.
 *
 * That view is the follower's own or else the last one that a leader has sent. The latter is needed if the leader
 * crashes during an outage of the key-value store: no successor is elected before the outage ends, and until then
 * the lease of every worker would expire and its work would be lost.
 */
import type { KeyValueStore } from '../adapters/key-value-store.js';
import type { Clock } from '../adapters/clock.js';
import { MAX_TRACKED_MACHINES } from '../core/limits.js';
import { commandsWithinLimit } from '../core/message-sizes.js';
import type { Heartbeat, WorkerCommand } from '../core/types.js';
import type { Timing } from '../config/settings.js';
import {
  relayKey,
  JOB_PREFIX,
  jobIdOfKey,
  packMachines,
  type RelayRecord,
} from '../core/persistence/index.js';

/** The live jobs in a leader's view, and the epoch milliseconds of the read that confirmed the view. */
export interface LiveJobsSnapshot {
  readonly viewConfirmedAt: number;
  readonly liveJobs: ReadonlySet<string>;
}

/** Answers workers in the place of a leader that they cannot reach. */
export class FallbackResponder {
  #snapshot: LiveJobsSnapshot | null = null;

  readonly #liveJobs = new Set<string>();
  /** The newest heartbeat of each machine. */
  readonly #latestHeartbeats = new Map<
    string,
    { readonly agentEpoch: number; readonly sequence: number; readonly receivedAt: number }
  >();
  #viewConfirmedAt = -Infinity;
  #lastUsedAt = -Infinity;
  #isWatching = false;
  #firstLoad: Promise<void> | null = null;

  constructor(
    private readonly node: string,
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly timing: Timing,
    /** The largest value that the store takes, in bytes: longer lists are split. */
    private readonly valueBytes: number,
    /** By how much the clocks of two nodes may differ, in milliseconds. */
    private readonly maxClockSkewMs: number,
  ) {}

  /** Stores a leader's snapshot, unless one with a later confirmed view is known: messages may be delayed. */
  receiveSnapshot(snapshot: LiveJobsSnapshot): void {
    if (snapshot.viewConfirmedAt > (this.#snapshot?.viewConfirmedAt ?? -Infinity)) this.#snapshot = snapshot;
  }

  /** The live jobs in a view that is fresh enough for an answer based on it; null: there is no such view. */
  #freshLiveJobs(): ReadonlySet<string> | null {
    const { authorityWindowMs } = this.timing;
    if (this.clock.monotonicMs() < this.#viewConfirmedAt + authorityWindowMs) return this.#liveJobs;
    if (
      this.#snapshot === null ||
      this.clock.epochMs() >= this.#snapshot.viewConfirmedAt + authorityWindowMs - this.maxClockSkewMs
    )
      return null;
    return this.#snapshot.liveJobs;
  }

  /** The commands for a worker; null: this node may not answer it. */
  async answer(heartbeat: Heartbeat): Promise<readonly WorkerCommand[] | null> {
    this.#lastUsedAt = this.clock.monotonicMs();
    if (!this.#isWatching) {
      this.#isWatching = true;
      this.#firstLoad = this.#load().then(() => {
        void this.#watchJobs();
        void this.#announceMachines();
      });
    }
    await this.#firstLoad;
    const live = this.#freshLiveJobs();
    if (live === null) return null;
    // A late duplicate does not renew a lease.
    if (!this.#isNewer(heartbeat)) return null;
    const commands: WorkerCommand[] = [];
    for (const { job, task, attempt, stage } of heartbeat.tasks) {
      if (stage !== 'exited' && !live.has(job)) commands.push({ op: 'stop', job, task, attempt, graceS: 0 });
    }
    return commandsWithinLimit(commands);
  }

  /** Machines that this node has answered in the leader's place within the last two longest heartbeat intervals. */
  answeredMachines(): string[] {
    const from = this.clock.monotonicMs() - 2 * this.timing.maxHeartbeatIntervalMs;
    return [...this.#latestHeartbeats].flatMap(([machine, { receivedAt }]) =>
      receivedAt > from ? [machine] : [],
    );
  }

  /** Remembers the newest heartbeat of a machine; false: this one is not newer than that. */
  #isNewer({ machine, agentEpoch, sequence }: Heartbeat): boolean {
    const known = this.#latestHeartbeats.get(machine);
    if (
      known !== undefined &&
      (agentEpoch < known.agentEpoch || (agentEpoch === known.agentEpoch && sequence <= known.sequence))
    )
      return false;
    // The machine becomes the last entry, so that those silent for longest are forgotten first.
    this.#latestHeartbeats.delete(machine);
    this.#latestHeartbeats.set(machine, { agentEpoch, sequence, receivedAt: this.clock.monotonicMs() });
    for (const oldest of this.#latestHeartbeats.keys()) {
      if (this.#latestHeartbeats.size <= MAX_TRACKED_MACHINES) break;
      this.#latestHeartbeats.delete(oldest);
    }
    return true;
  }

  #revision = 0;

  async #load(): Promise<void> {
    const sentAt = this.clock.monotonicMs();
    const jobs = await this.store.list(JOB_PREFIX);
    if (jobs === 'unknown') return;
    this.#liveJobs.clear();
    for (const { key } of jobs.entries) this.#liveJobs.add(jobIdOfKey(key));
    this.#revision = jobs.revision;
    this.#viewConfirmedAt = sentAt;
  }

  async #watchJobs(): Promise<void> {
    while (this.clock.monotonicMs() - this.#lastUsedAt < this.timing.workerLeaseMs) {
      const sentAt = this.clock.monotonicMs();
      const found =
        this.#viewConfirmedAt === -Infinity
          ? 'unread'
          : await this.store.watch(JOB_PREFIX, this.#revision, this.timing.watchTimeoutMs);
      if (found === 'unread' || found.kind === 'tooOld') await this.#load();
      else if (found.kind === 'changes') {
        for (const { key, value } of found.changes) {
          if (value === undefined) this.#liveJobs.delete(jobIdOfKey(key));
          else this.#liveJobs.add(jobIdOfKey(key));
        }
        this.#revision = found.revision;
        this.#viewConfirmedAt = sentAt;
        continue;
      }
      await this.clock.sleep(this.timing.tickMs);
    }
    this.#isWatching = false;
    this.#viewConfirmedAt = -Infinity;
    this.#liveJobs.clear();
    this.#latestHeartbeats.clear();
  }

  /**
   * Lists in the key-value store, for the leader, which machines this node answers. The list is written as soon as it
   * has grown, since the leader treats the added machines as silent until then, and otherwise once every two longest
   * heartbeat intervals.
   */
  async #announceMachines(): Promise<void> {
    let publishedMachines = 0;
    let publishedAt = -Infinity;
    while (this.#isWatching) {
      const machines = this.answeredMachines();
      const isDue = this.clock.monotonicMs() - publishedAt > 2 * this.timing.maxHeartbeatIntervalMs;
      if (machines.length > 0 && (isDue || machines.length > publishedMachines)) {
        const at = this.clock.epochMs();
        for (const [part, names] of packMachines(machines, this.valueBytes).entries()) {
          const value: RelayRecord = { at, machines: names };
          await this.store.commit({
            preconditions: [],
            mutations: [{ put: relayKey(this.node, part), value }],
          });
        }
        publishedAt = this.clock.monotonicMs();
        publishedMachines = machines.length;
      }
      await this.clock.sleep(2 * this.timing.tickMs);
    }
  }
}
