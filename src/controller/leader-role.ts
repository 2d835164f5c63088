/** The leader's role: it loads what its predecessors have committed, then watches the jobs and the cloud. */
import { readJob } from '../adapters/job-reader.js';
import type { LoadedChunk, ReconciledRecords } from '../core/effects.js';
import {
  decodeChunk,
  decodeRelay,
  decodeFormat,
  decodeJob,
  decodeDemand,
  RELAY_PREFIX,
  FORMAT_KEY,
  JOB_PREFIX,
  jobOfKey,
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
import type { Entry } from '../wire/key-value-store.js';
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

/**
 * Workers that lose their node try the next one, and give each some seconds. When zones
 * part, those of the far zone find a fallback responder within their lease only if the node after
 * the leader is in another zone than the leader. Nodes of which this is so are to lead.
 */
function choosePreferredLeaders(settings: PlatformSettings): Set<string> {
  const { host_name, zone, others } = settings;
  const nodes = [{ host_name, zone }, ...others].sort((a, b) => (a.host_name < b.host_name ? -1 : 1));
  const several = nodes.some((node) => node.zone !== zone);
  const found = nodes.filter((node, i) => !several || nodes[(i + 1) % nodes.length]?.zone !== node.zone);
  return new Set(found.map((node) => node.host_name));
}

/** What a controller does as the leader, and whether it is a preferred one. */
export class LeaderRole {
  readonly #preferredLeaders: ReadonlySet<string>;
  readonly #startedAt: number;
  /** Steady time at which some zone was last silent, in milliseconds. */
  #silentZoneSeenAt = -Infinity;

  constructor(
    private readonly common: ControllerContext,
    private readonly peers: PeerExchange,
    private readonly failureDetector: FailureDetector,
  ) {
    this.#preferredLeaders = choosePreferredLeaders(common.settings);
    this.#startedAt = common.ports.clock.monotonicMs();
  }

  /** The nodes that are to lead rather than others. */
  get preferredLeaders(): ReadonlySet<string> {
    return this.#preferredLeaders;
  }

  /** Whether this node is one of those that are to lead. */
  get isPreferredLeader(): boolean {
    return this.#preferredLeaders.has(this.common.settings.host_name);
  }

  /** Starts the loops that refresh what the leader needs to know; they run as long as the process. */
  start(): void {
    void this.#refreshCatalog();
    void this.#refreshMachines();
    void this.#refreshRelays();
  }

  /** Whether a node that is to lead rather than this one is heard, or may still be after this one's start. */
  hasPreferredPeer(): boolean {
    if (this.isPreferredLeader) return false;
    const now = this.common.ports.clock.monotonicMs();
    const { membership } = this.failureDetector;
    const young = now - this.#startedAt < this.common.timing.maxHeartbeatIntervalMs;
    const heard = (node: string): boolean =>
      membership.linkLostAt(node) === null && (young || membership.hasContact(node, now));
    return [...this.#preferredLeaders].some(heard);
  }

  /** The node that is to lead rather than this one, if it has been back, and served, for a while. */
  preferredSuccessor(): string | null {
    const { leadership, machines } = this.common.commands.state;
    const now = this.common.ports.clock.monotonicMs();
    const settled = 0.4 * this.common.timing.workerLeaseMs;
    if (leadership === null || this.isPreferredLeader) return null;
    if (now - leadership.since < settled) return null;
    // The next leader would wait anew for machines that are silent, and their tasks with them; and what
    // a zone brings back with it is best taken in by whoever knows what was given up meanwhile.
    if (this.common.commands.state.silentZones.size > 0) this.#silentZoneSeenAt = now;
    if (now - this.#silentZoneSeenAt < this.common.timing.workerLeaseMs) return null;
    if (
      [...machines.values()].some(
        ({ lastHeartbeatAt, claims }) => lastHeartbeatAt === null && claims.size > 0,
      )
    )
      return null;
    const { membership } = this.failureDetector;
    return [...this.#preferredLeaders].find((node) => membership.isStable(node, settled, now)) ?? null;
  }

  /**
   * Begins nothing new, and waits until what was begun is written, so that the next leader finds all
   * of it: a moment, and no longer than it takes workers to notice.
   */
  async drainForTransfer(): Promise<void> {
    const { commands, ports, timing } = this.common;
    commands.push({ kind: 'transferLeadership' });
    const until = ports.clock.monotonicMs() + 2 * timing.tickMs;
    while (ports.clock.monotonicMs() < until) {
      await ports.clock.sleep(timing.tickMs / 8);
      const { commit, pendingReconciliation, dirtyJobs } = commands.state;
      if (commit === null && pendingReconciliation === null && dirtyJobs.start.size === 0) return;
    }
  }

  /** Loads what the leaders before have committed, then follows the jobs. */
  async takeLeadership(won: ElectionResult): Promise<void> {
    this.common.leadershipView.highestTerm = Math.max(this.common.leadershipView.highestTerm, won.term);
    this.common.leadershipView.leader = this.common.settings.host_name;
    this.common.leadershipView.leadingTerm = won.term;
    this.common.ports.log.info({ term: won.term }, 'leader elected');
    for (;;) {
      const sentAt = this.common.ports.clock.monotonicMs();
      const [jobs, runs, demandHistory, format] = await Promise.all([
        this.common.ports.state.list(JOB_PREFIX),
        this.common.ports.state.list(RUN_PREFIX),
        this.#readDemandHistory(),
        this.#readFormat(won.modRevision),
      ]);
      if (
        this.common.leadershipView.leadingTerm !== won.term ||
        this.common.leadershipView.highestTerm > won.term
      )
        return;
      if (jobs === 'unknown' || runs === 'unknown' || demandHistory === 'unknown' || format === 'unknown') {
        await this.common.ports.clock.sleep(this.common.timing.tickMs);
        continue;
      }
      const chunks: LoadedChunk[] = [];
      for (const { key, value, modRevision } of runs.entries) {
        const name = parseChunkKey(key);
        const record = decodeChunk(value);
        if (name !== null && record !== null)
          chunks.push({ job: name.job, name, record: { value: record, modRevision } });
      }
      const { term, modRevision } = won;
      this.common.commands.push({
        kind: 'becomeLeader',
        term,
        modRevision,
        viewConfirmedAt: sentAt,
        layout:
          format === null
            ? initialLayout(this.common.settings)
            : upgradedLayout(this.common.settings, format),
        legacyChunkTasks: format?.wide ?? initialLayout(this.common.settings).tasksPerChunk,
        jobs: decodeJobs(jobs.entries),
        chunks,
        demandHistory,
        silentZones: this.peers.recentlySilentZones(),
        previousLeaderMayBeAlive: won.previousLeader === 'unknown' && term > 1,
      });
      await this.#watchJobs(term, jobs.revision);
      return;
    }
  }

  /** What classes have shown, as either version keeps it. */
  async #readDemandHistory(): Promise<ClassDemandRecord[] | 'unknown'> {
    const [legacyRecord, parts] = await Promise.all([
      this.common.ports.state.read(DEMAND_KEY),
      this.common.ports.state.list(DEMAND_PREFIX),
    ]);
    if (legacyRecord === 'unknown' || parts === 'unknown') return 'unknown';
    // The later ones count where a class stands in several.
    return [legacyRecord.entry?.value, ...parts.entries.map(({ value }) => value)].flatMap(decodeDemand);
  }

  /** The format in force, null if it is not; one whose width has become too large is written anew. */
  async #readFormat(termRevision: number): Promise<FormatRecord | null | 'unknown'> {
    const read = await this.common.ports.state.read(FORMAT_KEY);
    if (read === 'unknown') return 'unknown';
    const known = decodeFormat(read.entry?.value);
    if (known === null || read.entry === null) return null;
    const record = formatRecord(this.common.settings, known);
    if (record.tasks === known.tasks) return known;
    const outcome = await this.common.ports.state.commit({
      preconditions: [
        { key: TERM_KEY, modRevision: termRevision },
        { key: FORMAT_KEY, modRevision: read.entry.modRevision },
      ],
      mutations: [{ put: FORMAT_KEY, value: record }],
    });
    return outcome.kind === 'applied' ? record : 'unknown';
  }

  /** Watches the jobs while this node leads; each answer proves how fresh its view is. */
  async #watchJobs(term: number, revision: number): Promise<void> {
    let after = revision;
    while (this.common.leadershipView.leadingTerm === term) {
      const sentAt = this.common.ports.clock.monotonicMs();
      const found = await this.common.ports.state.watch(JOB_PREFIX, after, this.common.timing.watchTimeoutMs);
      if (found.kind === 'unknown') {
        await this.common.ports.clock.sleep(this.common.timing.tickMs);
      } else if (found.kind === 'tooOld') {
        const jobs = await this.common.ports.state.list(JOB_PREFIX);
        if (jobs === 'unknown') continue;
        after = jobs.revision;
        this.common.commands.push({
          kind: 'jobsReplaced',
          jobs: decodeJobs(jobs.entries),
          revision: jobs.revision,
        });
        this.common.commands.push({ kind: 'viewConfirmed', sentAt });
      } else {
        after = found.revision;
        for (const { key, value, modRevision } of found.changes) {
          const spec = decodeJob(value);
          if (value === undefined) this.common.commands.push({ kind: 'jobRemoved', id: jobOfKey(key) });
          else if (spec !== null)
            this.common.commands.push({ kind: 'jobAdded', job: { value: spec, modRevision } });
        }
        this.common.commands.push({ kind: 'viewConfirmed', sentAt });
      }
    }
  }

  /** Reads the final outcomes of jobs that others depend on. */
  async resolveDependencies(ids: readonly string[]): Promise<void> {
    const found = await Promise.all(
      ids.map(async (id) => {
        const job = await readJob(this.common.ports.state, id);
        return [
          id,
          job.kind === 'ended' ? job.record : job.kind === 'damaged' ? 'unknown' : job.kind,
        ] as const;
      }),
    );
    this.common.commands.push({ kind: 'dependenciesResolved', found: new Map(found) });
  }

  /** Reads the committed records after a write with an unknown outcome; null is reported if a read fails. */
  async reconcile(ids: readonly string[], keys: readonly string[]): Promise<void> {
    const jobs = new Map<string, { live: boolean; ended: EndedRecord | null }>();
    const chunks = new Map<string, number>();
    let isComplete = true;
    for (const id of ids) {
      const job = await readJob(this.common.ports.state, id);
      if (job.kind === 'unknown') isComplete = false;
      else
        jobs.set(id, {
          live: job.kind === 'live' || job.kind === 'damaged',
          ended: job.kind === 'ended' ? job.record : null,
        });
      if (!isComplete) break;
    }
    for (const key of isComplete ? keys : []) {
      const read = await this.common.ports.state.read(key);
      if (read === 'unknown') isComplete = false;
      else if (read.entry !== null) chunks.set(key, read.entry.modRevision);
      if (!isComplete) break;
    }
    if (!isComplete) await this.common.ports.clock.sleep(this.common.timing.tickMs);
    this.common.commands.push({
      kind: 'reconciled',
      found: isComplete ? ({ jobs, chunks } satisfies ReconciledRecords) : null,
    });
  }

  /** Reads, while some machine is silent, which of them fallback responders answer. */
  async #refreshRelays(): Promise<void> {
    // Clocks agree within a bound, and a responder writes at every other longest heartbeat interval.
    const young = 0.5 * this.common.timing.workerLeaseMs + 2 * this.common.settings.cluster.clock_error_ms;
    for (;;) {
      await this.common.ports.clock.sleep(4 * this.common.timing.tickMs);
      const { leadership, machines } = this.common.commands.state;
      if (leadership === null) continue;
      const now = this.common.ports.clock.monotonicMs();
      let silent = 0;
      for (const { lastHeartbeatAt, discoveredAt, cloudStage } of machines.values())
        if (
          cloudStage !== 'booting' &&
          now - (lastHeartbeatAt ?? discoveredAt) > 1.5 * this.common.timing.maxHeartbeatIntervalMs
        )
          silent += 1;
      if (silent === 0) continue;
      const found = await this.common.ports.state.list(RELAY_PREFIX);
      if (found === 'unknown') continue;
      for (const { value } of found.entries) {
        const record = decodeRelay(value);
        if (record === null) continue;
        const ageMs = Math.max(0, this.common.ports.clock.epochMs() - record.at);
        if (ageMs < young)
          this.common.commands.push({ kind: 'machinesRelayed', machines: record.machines, ageMs });
      }
    }
  }

  async #refreshCatalog(): Promise<void> {
    for (;;) {
      const types = await this.common.ports.cloud.catalog();
      if (types !== null) this.common.commands.push({ kind: 'catalog', types });
      await this.common.ports.clock.sleep(
        types === null ? this.common.timing.tickMs : 6 * this.common.timing.workerLeaseMs,
      );
    }
  }

  async #refreshMachines(): Promise<void> {
    const pause = Math.max(
      this.common.timing.maxHeartbeatIntervalMs,
      (this.common.settings.cluster.cloud.list_lag_s * 1000) / 4,
    );
    for (;;) {
      if (this.common.commands.state.leadership !== null) {
        const askedAt = this.common.ports.clock.monotonicMs();
        const machines = await this.common.ports.cloud.listMachines();
        if (machines !== null) this.common.commands.push({ kind: 'machinesListed', askedAt, machines });
      }
      await this.common.ports.clock.sleep(pause);
    }
  }
}
