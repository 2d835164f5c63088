/** The leader's role: it loads the records that earlier leaders have committed, then watches the jobs and the cloud. */
import { readJob } from '../adapters/job-reader.js';
import type { CommandOf, LoadedChunk, ReconciledRecords } from '../core/effects.js';
import {
  decodeChunk,
  decodeRelay,
  decodeFormat,
  decodeJob,
  decodeDemand,
  RELAY_PREFIX,
  FORMAT_KEY,
  JOB_PREFIX,
  jobIdOfKey,
  DEMAND_KEY,
  DEMAND_PREFIX,
  parseChunkKey,
  RUN_PREFIX,
  TERM_KEY,
  type ClassDemandRecord,
  type FormatRecord,
} from '../core/persistence/index.js';
import type { EndedRecord, JobSpec, Versioned } from '../core/types.js';
import type { ElectionResult } from '../membership/election.js';
import type { PlatformSettings } from '../config/settings.js';
import { initialLayout, formatRecord, upgradedLayout } from '../config/record-layout.js';
import type { Entry, KeyChange } from '../wire/key-value-store.js';
import type { PeerExchange } from './peer-exchange.js';
import type { FailureDetector } from './failure-detector.js';
import type { ControllerContext } from './context.js';

function decodeJobs(entries: readonly Entry[]): Versioned<JobSpec>[] {
  const jobs: Versioned<JobSpec>[] = [];
  for (const { value, modRevision } of entries) {
    const spec = decodeJob(value);
    if (spec !== null) jobs.push({ value: spec, modRevision });
  }
  return jobs;
}

function decodeChunks(entries: readonly Entry[]): LoadedChunk[] {
  const chunks: LoadedChunk[] = [];
  for (const { key, value, modRevision } of entries) {
    const name = parseChunkKey(key);
    const record = decodeChunk(value);
    if (name !== null && record !== null)
      chunks.push({ job: name.job, name, record: { value: record, modRevision } });
  }
  return chunks;
}

/** The records with which a leadership begins. */
interface LoadedRecords {
  /** Monotonic time (ms) before the first request. */
  readonly sentAt: number;
  /** Revision as of which the jobs were read. */
  readonly revision: number;
  readonly jobs: readonly Versioned<JobSpec>[];
  readonly chunks: readonly LoadedChunk[];
  readonly demandHistory: readonly ClassDemandRecord[];
  /** Null: no format record exists. */
  readonly format: FormatRecord | null;
}

/**
 * Chooses the nodes that are preferred as leaders: those whose next node, by name, is in another zone. A worker that
 * loses contact with its node tries the next one, which takes some seconds for each node. In a partition between
 * zones, workers outside the leader's zone reach a fallback responder within their lease only if the node after the
 * leader is in another zone than the leader. If all nodes are in one zone, all are preferred.
 */
function choosePreferredLeaders(settings: PlatformSettings): Set<string> {
  const { host_name, zone, others } = settings;
  const nodes = [{ host_name, zone }, ...others].sort((a, b) => (a.host_name < b.host_name ? -1 : 1));
  const hasSeveralZones = nodes.some((node) => node.zone !== zone);
  const preferred = nodes.filter(
    (node, i) => !hasSeveralZones || nodes[(i + 1) % nodes.length]?.zone !== node.zone,
  );
  return new Set(preferred.map((node) => node.host_name));
}

/** Does a controller's work as the leader, and knows which nodes are preferred as leaders. */
export class LeaderRole {
  readonly #preferredLeaders: ReadonlySet<string>;
  readonly #startedAt: number;
  /** Monotonic time (ms) at which a zone was last silent. */
  #silentZoneSeenAt = -Infinity;

  constructor(
    private readonly context: ControllerContext,
    private readonly peers: PeerExchange,
    private readonly failureDetector: FailureDetector,
  ) {
    this.#preferredLeaders = choosePreferredLeaders(context.settings);
    this.#startedAt = context.ports.clock.monotonicMs();
  }

  /** The nodes that are preferred as leaders. */
  get preferredLeaders(): ReadonlySet<string> {
    return this.#preferredLeaders;
  }

  /** Whether this node is preferred as the leader. */
  get isPreferredLeader(): boolean {
    return this.#preferredLeaders.has(this.context.settings.host_name);
  }

  /** Starts the loops that refresh the machine types, the cloud's machines and the relayed machines; they never end. */
  start(): void {
    void this.#refreshCatalog();
    void this.#refreshMachines();
    void this.#refreshRelays();
  }

  /**
   * Whether a peer is available that is preferred as the leader while this node is not. Within the longest heartbeat
   * interval after this node's start a peer counts without a status too, unless its link is lost: it may be up.
   */
  hasPreferredPeer(): boolean {
    if (this.isPreferredLeader) return false;
    const now = this.context.ports.clock.monotonicMs();
    const { membership } = this.failureDetector;
    const isStarting = now - this.#startedAt < this.context.timing.maxHeartbeatIntervalMs;
    const isAvailable = (node: string): boolean =>
      membership.linkLostAt(node) === null && (isStarting || membership.hasContact(node, now));
    return [...this.#preferredLeaders].some(isAvailable);
  }

  /**
   * The preferred node to which this leader, if not preferred itself, should transfer the leadership: a peer that has
   * been trusted without a gap for a while; null: there is none, or this is not the time for a transfer.
   */
  preferredSuccessor(): string | null {
    const { leadership, machines } = this.context.commands.state;
    const now = this.context.ports.clock.monotonicMs();
    const settlingMs = 0.4 * this.context.timing.workerLeaseMs;
    if (leadership === null || this.isPreferredLeader) return null;
    if (now - leadership.since < settlingMs) return null;
    // A new leader restarts the wait for silent machines, which delays their tasks. And when a silent zone returns,
    // its heartbeats are best handled by the leader that knows which of its tasks were given up.
    if (this.context.commands.state.silentZones.size > 0) this.#silentZoneSeenAt = now;
    if (now - this.#silentZoneSeenAt < this.context.timing.workerLeaseMs) return null;
    if (
      [...machines.values()].some(
        ({ lastHeartbeatAt, claims }) => lastHeartbeatAt === null && claims.size > 0,
      )
    )
      return null;
    const { membership } = this.failureDetector;
    return [...this.#preferredLeaders].find((node) => membership.isStable(node, settlingMs, now)) ?? null;
  }

  /**
   * Starts no new work and waits until pending writes are committed, so that the next leader loads all of them. The
   * wait is limited to two ticks: workers would notice a longer one.
   */
  async drainForTransfer(): Promise<void> {
    const { commands, ports, timing } = this.context;
    commands.push({ kind: 'transferLeadership' });
    const deadline = ports.clock.monotonicMs() + 2 * timing.tickMs;
    while (ports.clock.monotonicMs() < deadline) {
      await ports.clock.sleep(timing.tickMs / 8);
      const { commit, pendingReconciliation, dirtyJobs } = commands.state;
      if (commit === null && pendingReconciliation === null && dirtyJobs.start.size === 0) return;
    }
  }

  /** Loads the records that earlier leaders have committed, then watches the jobs. */
  async takeLeadership(election: ElectionResult): Promise<void> {
    const { leadershipView, settings, ports, timing, commands } = this.context;
    leadershipView.highestTerm = Math.max(leadershipView.highestTerm, election.term);
    leadershipView.leader = settings.host_name;
    leadershipView.leadingTerm = election.term;
    ports.log.info({ term: election.term }, 'leader elected');
    for (;;) {
      const loaded = await this.#loadRecords(election);
      if (leadershipView.leadingTerm !== election.term || leadershipView.highestTerm > election.term) return;
      if (loaded === null) {
        await ports.clock.sleep(timing.tickMs);
        continue;
      }
      commands.push(this.#becomeLeader(election, loaded));
      await this.#watchJobs(election.term, loaded.revision);
      return;
    }
  }

  /** Reads all records that a new leader needs; null: the store did not answer. */
  async #loadRecords(election: ElectionResult): Promise<LoadedRecords | null> {
    const { store, clock } = this.context.ports;
    const sentAt = clock.monotonicMs();
    const [jobs, runs, demandHistory, format] = await Promise.all([
      store.list(JOB_PREFIX),
      store.list(RUN_PREFIX),
      this.#readDemandHistory(),
      this.#readFormat(election.modRevision),
    ]);
    if (jobs === 'unknown' || runs === 'unknown' || demandHistory === 'unknown' || format === 'unknown')
      return null;
    return {
      sentAt,
      revision: jobs.revision,
      jobs: decodeJobs(jobs.entries),
      chunks: decodeChunks(runs.entries),
      demandHistory,
      format,
    };
  }

  #becomeLeader(
    { term, modRevision, previousLeader }: ElectionResult,
    { sentAt, revision, jobs, chunks, demandHistory, format }: LoadedRecords,
  ): CommandOf<'becomeLeader'> {
    const { settings } = this.context;
    const layout = initialLayout(settings);
    return {
      kind: 'becomeLeader',
      term,
      modRevision,
      viewConfirmedAt: sentAt,
      viewRevision: revision,
      layout: format === null ? layout : upgradedLayout(settings, format),
      legacyChunkTasks: format?.wide ?? layout.tasksPerChunk,
      jobs,
      chunks,
      demandHistory,
      silentZones: this.peers.recentlySilentZones(),
      previousLeaderMayBeAlive: previousLeader === 'unknown' && term > 1,
    };
  }

  /** Reads the job classes' demand history: the record of earlier versions, and the parts that this version writes. */
  async #readDemandHistory(): Promise<ClassDemandRecord[] | 'unknown'> {
    const [legacyRecord, parts] = await Promise.all([
      this.context.ports.store.read(DEMAND_KEY),
      this.context.ports.store.list(DEMAND_PREFIX),
    ]);
    if (legacyRecord === 'unknown' || parts === 'unknown') return 'unknown';
    // If several records contain a class, the last of them takes precedence.
    return [legacyRecord.entry?.value, ...parts.entries.map(({ value }) => value)].flatMap(decodeDemand);
  }

  /**
   * Reads the format record; null: there is none. If its chunk width exceeds what the limits of the key-value store
   * now allow, the record is replaced by one with a smaller width.
   */
  async #readFormat(termRevision: number): Promise<FormatRecord | null | 'unknown'> {
    const read = await this.context.ports.store.read(FORMAT_KEY);
    if (read === 'unknown') return 'unknown';
    const known = decodeFormat(read.entry?.value);
    if (known === null || read.entry === null) return null;
    const record = formatRecord(this.context.settings, known);
    if (record.tasks === known.tasks) return known;
    const outcome = await this.context.ports.store.commit({
      preconditions: [
        { key: TERM_KEY, modRevision: termRevision },
        { key: FORMAT_KEY, modRevision: read.entry.modRevision },
      ],
      mutations: [{ put: FORMAT_KEY, value: record }],
    });
    return outcome.kind === 'applied' ? record : 'unknown';
  }

  /** Watches the jobs while this node leads; each answer confirms the leader's view as of its request. */
  async #watchJobs(term: number, revision: number): Promise<void> {
    const { leadershipView, ports, timing, commands } = this.context;
    let after = revision;
    while (leadershipView.leadingTerm === term) {
      const sentAt = ports.clock.monotonicMs();
      const found = await ports.store.watch(JOB_PREFIX, after, timing.watchTimeoutMs);
      if (found.kind === 'unknown') {
        await ports.clock.sleep(timing.tickMs);
        continue;
      }
      if (found.kind === 'tooOld') {
        const jobs = await ports.store.list(JOB_PREFIX);
        if (jobs === 'unknown') continue;
        after = jobs.revision;
        commands.push({ kind: 'jobsReplaced', jobs: decodeJobs(jobs.entries), revision: after });
      } else {
        after = found.revision;
        this.#applyChanges(found.changes);
      }
      commands.push({ kind: 'viewConfirmed', sentAt, revision: after });
    }
  }

  #applyChanges(changes: readonly KeyChange[]): void {
    const { commands } = this.context;
    for (const { key, value, modRevision } of changes) {
      const spec = decodeJob(value);
      if (value === undefined) commands.push({ kind: 'jobRemoved', id: jobIdOfKey(key) });
      else if (spec !== null) commands.push({ kind: 'jobAdded', job: { value: spec, modRevision } });
    }
  }

  /** Reads the final outcomes of jobs that others depend on. */
  async resolveDependencies(ids: readonly string[]): Promise<void> {
    const found = await Promise.all(
      ids.map(async (id) => {
        const job = await readJob(this.context.ports.store, id);
        return [
          id,
          job.kind === 'ended' ? job.record : job.kind === 'damaged' ? 'unknown' : job.kind,
        ] as const;
      }),
    );
    this.context.commands.push({ kind: 'dependenciesResolved', found: new Map(found) });
  }

  /** Reads the committed records after a write with an unknown outcome; the result is null if a read fails. */
  async reconcile(id: number, jobIds: readonly string[], keys: readonly string[]): Promise<void> {
    const jobs = new Map<string, { live: boolean; ended: EndedRecord | null }>();
    const chunks = new Map<string, number>();
    let isComplete = true;
    for (const jobId of jobIds) {
      const job = await readJob(this.context.ports.store, jobId);
      if (job.kind === 'unknown') isComplete = false;
      else
        jobs.set(jobId, {
          live: job.kind === 'live' || job.kind === 'damaged',
          ended: job.kind === 'ended' ? job.record : null,
        });
      if (!isComplete) break;
    }
    for (const key of isComplete ? keys : []) {
      const read = await this.context.ports.store.read(key);
      if (read === 'unknown') isComplete = false;
      else if (read.entry !== null) chunks.set(key, read.entry.modRevision);
      if (!isComplete) break;
    }
    if (!isComplete) await this.context.ports.clock.sleep(this.context.timing.tickMs);
    this.context.commands.push({
      kind: 'reconciled',
      id,
      found: isComplete ? ({ jobs, chunks } satisfies ReconciledRecords) : null,
    });
  }

  /** While some machine is silent, reads from the key-value store which machines fallback responders answer. */
  async #refreshRelays(): Promise<void> {
    // Older records are ignored. A responder writes its record every two longest heartbeat intervals, and the clocks
    // of two nodes differ by at most twice the clock error.
    const maxAgeMs =
      0.5 * this.context.timing.workerLeaseMs + 2 * this.context.settings.cluster.clock_error_ms;
    for (;;) {
      await this.context.ports.clock.sleep(4 * this.context.timing.tickMs);
      const { leadership, machines } = this.context.commands.state;
      if (leadership === null) continue;
      const now = this.context.ports.clock.monotonicMs();
      let silentMachines = 0;
      for (const { lastHeartbeatAt, discoveredAt, cloudStage } of machines.values())
        if (
          cloudStage !== 'booting' &&
          now - (lastHeartbeatAt ?? discoveredAt) > 1.5 * this.context.timing.maxHeartbeatIntervalMs
        )
          silentMachines += 1;
      if (silentMachines === 0) continue;
      const found = await this.context.ports.store.list(RELAY_PREFIX);
      if (found === 'unknown') continue;
      for (const { value } of found.entries) {
        const record = decodeRelay(value);
        if (record === null) continue;
        const ageMs = Math.max(0, this.context.ports.clock.epochMs() - record.at);
        if (ageMs < maxAgeMs)
          this.context.commands.push({ kind: 'machinesRelayed', machines: record.machines, ageMs });
      }
    }
  }

  async #refreshCatalog(): Promise<void> {
    for (;;) {
      const types = await this.context.ports.cloud.catalog();
      if (types !== null) this.context.commands.push({ kind: 'catalog', types });
      await this.context.ports.clock.sleep(
        types === null ? this.context.timing.tickMs : 6 * this.context.timing.workerLeaseMs,
      );
    }
  }

  async #refreshMachines(): Promise<void> {
    const intervalMs = Math.max(
      this.context.timing.maxHeartbeatIntervalMs,
      (this.context.settings.cluster.cloud.list_lag_s * 1000) / 4,
    );
    for (;;) {
      if (this.context.commands.state.leadership !== null) {
        const requestedAt = this.context.ports.clock.monotonicMs();
        const machines = await this.context.ports.cloud.listMachines();
        if (machines !== null) this.context.commands.push({ kind: 'machinesListed', requestedAt, machines });
      }
      await this.context.ports.clock.sleep(intervalMs);
    }
  }
}
