/**
 * A follower that answers workers for a leader they cannot reach.
 *
 * While two zones cannot reach each other, workers of the zone without the leader would
 * lose their leases and all their work. A follower beside them may keep them alive: an
 * answer with the leader's token renews the lease, whoever sends it. A deputy never
 * starts anything; it stops what has been cancelled, and answers only while its
 * view of the cancellations is fresh, under the same bound as a leader.
 *
 * That view is its own, or else the last that a leader has told of: a leader that dies
 * while nobody is served by the state service has no successor until that is over, and
 * every worker would lose its lease and its work meanwhile.
 */
import type { KeyValueStore } from '../adapters/key-value-store.js';
import type { Clock } from '../adapters/clock.js';
import { MAX_TRACKED_MACHINES } from '../core/limits.js';
import type { Heartbeat, WorkerCommand } from '../core/types.js';
import type { Timing } from '../config/settings.js';
import {
  deputyKey,
  JOB_PREFIX,
  jobOfKey,
  packMachines,
  type DeputyRecord,
} from '../core/persistence/index.js';

/** The live jobs as a leader knew them, and the time of day of the read that proved it. */
export interface LiveJobsSnapshot {
  readonly at: number;
  readonly live: ReadonlySet<string>;
}

export class Deputy {
  #snapshot: LiveJobsSnapshot | null = null;

  readonly #live = new Set<string>();
  /** The newest report of each machine. */
  readonly #seen = new Map<string, { readonly session: number; readonly seq: number; readonly at: number }>();
  #provenAt = -Infinity;
  #usedAt = -Infinity;
  #following = false;
  #first: Promise<void> | null = null;

  constructor(
    private readonly node: string,
    private readonly state: KeyValueStore,
    private readonly clock: Clock,
    private readonly timing: Timing,
    /** Its word is split so that it fits values of today and of later. */
    private readonly valueBytes: number,
    /** How far the times of day of two machines may be apart. */
    private readonly clocksApart: number,
  ) {}

  /** Takes in what the leader knows; a word that was held back is older than it is new here. */
  receiveSnapshot(snapshot: LiveJobsSnapshot): void {
    if (snapshot.at > (this.#snapshot?.at ?? -Infinity)) this.#snapshot = snapshot;
  }

  /** The jobs that are known to be live, freshly enough to answer by; null: they are not known. */
  #view(): ReadonlySet<string> | null {
    const { authorityWindowMs } = this.timing;
    if (this.clock.monotonicMs() < this.#provenAt + authorityWindowMs) return this.#live;
    if (
      this.#snapshot === null ||
      this.clock.epochMs() >= this.#snapshot.at + authorityWindowMs - this.clocksApart
    )
      return null;
    return this.#snapshot.live;
  }

  /** What to tell a worker, or null when this node may not answer it. */
  async answer(report: Heartbeat): Promise<WorkerCommand[] | null> {
    this.#usedAt = this.clock.monotonicMs();
    if (!this.#following) {
      this.#following = true;
      this.#first = this.#load().then(() => {
        void this.#follow();
        void this.#tell();
      });
    }
    await this.#first;
    const live = this.#view();
    if (live === null) return null;
    // A late copy is no sign of life.
    if (!this.#isNewer(report)) return null;
    const commands: WorkerCommand[] = [];
    for (const { job, task, attempt, stage } of report.tasks) {
      if (stage !== 'exited' && !live.has(job)) commands.push({ op: 'stop', job, task, attempt, graceS: 0 });
    }
    return commands;
  }

  /** Machines that this node has answered lately, in the leader's place. */
  hears(): string[] {
    const from = this.clock.monotonicMs() - 2 * this.timing.maxHeartbeatIntervalMs;
    return [...this.#seen].flatMap(([machine, { at }]) => (at > from ? [machine] : []));
  }

  /** Remembers the newest report of a machine; false: this one is not newer than it. */
  #isNewer({ machine, agentEpoch, sequence }: Heartbeat): boolean {
    const known = this.#seen.get(machine);
    if (
      known !== undefined &&
      (agentEpoch < known.session || (agentEpoch === known.session && sequence <= known.seq))
    )
      return false;
    // Latest last, so that what has long been silent is forgotten first.
    this.#seen.delete(machine);
    this.#seen.set(machine, { session: agentEpoch, seq: sequence, at: this.clock.monotonicMs() });
    for (const oldest of this.#seen.keys()) {
      if (this.#seen.size <= MAX_TRACKED_MACHINES) break;
      this.#seen.delete(oldest);
    }
    return true;
  }

  #revision = 0;

  async #load(): Promise<void> {
    const sentAt = this.clock.monotonicMs();
    const jobs = await this.state.list(JOB_PREFIX);
    if (jobs === 'unknown') return;
    this.#live.clear();
    for (const { key } of jobs.entries) this.#live.add(jobOfKey(key));
    this.#revision = jobs.revision;
    this.#provenAt = sentAt;
  }

  async #follow(): Promise<void> {
    while (this.clock.monotonicMs() - this.#usedAt < this.timing.workerLeaseMs) {
      const sentAt = this.clock.monotonicMs();
      const found =
        this.#provenAt === -Infinity
          ? 'unread'
          : await this.state.watch(JOB_PREFIX, this.#revision, this.timing.watchTimeoutMs);
      if (found === 'unread' || found.kind === 'tooOld') await this.#load();
      else if (found.kind === 'changes') {
        for (const { key, value } of found.changes) {
          if (value === undefined) this.#live.delete(jobOfKey(key));
          else this.#live.add(jobOfKey(key));
        }
        this.#revision = found.revision;
        this.#provenAt = sentAt;
        continue;
      }
      await this.clock.sleep(this.timing.tickMs);
    }
    this.#following = false;
    this.#provenAt = -Infinity;
    this.#live.clear();
    this.#seen.clear();
  }

  /**
   * Tells the leader, by way of the state service, whose workers are alive here: at once when
   * there are new ones, for until it knows they are silent to it, and else now and then.
   */
  async #tell(): Promise<void> {
    let told = 0;
    let toldAt = -Infinity;
    while (this.#following) {
      const machines = this.hears();
      const due = this.clock.monotonicMs() - toldAt > 2 * this.timing.maxHeartbeatIntervalMs;
      if (machines.length > 0 && (due || machines.length > told)) {
        const at = this.clock.epochMs();
        for (const [part, some] of packMachines(machines, this.valueBytes).entries()) {
          const value: DeputyRecord = { at, machines: some };
          await this.state.commit({
            preconditions: [],
            mutations: [{ put: deputyKey(this.node, part), value }],
          });
        }
        toldAt = this.clock.monotonicMs();
        told = machines.length;
      }
      await this.clock.sleep(2 * this.timing.tickMs);
    }
  }
}
