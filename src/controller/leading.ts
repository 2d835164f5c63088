/** Leading: what the leaders before have committed is loaded, then the jobs are followed. */
import { readJob } from '../adapters/job-reader.js';
import type { Common } from './common.js';
import type { LoadedChunk, ReconciledRecords } from '../core/effects.js';
import {
  decodeChunk,
  decodeDeputy,
  decodeFormat,
  decodeJob,
  decodeDemand,
  DEPUTY_PREFIX,
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
import type { Observing } from './observing.js';
import type { Peering } from './peering.js';
import type { PlatformSettings } from '../config/settings.js';
import { formatRecord, initialLayout, upgradedLayout } from '../config/record-layout.js';
import type { Entry } from '../wire/key-value-store.js';

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
 * part, those of the far zone find a deputy within their lease only if the node after
 * the leader is in another zone than the leader. Nodes of which this is so are to lead.
 */
function wellPlaced(settings: PlatformSettings): Set<string> {
  const { host_name, zone, others } = settings;
  const nodes = [{ host_name, zone }, ...others].sort((a, b) => (a.host_name < b.host_name ? -1 : 1));
  const several = nodes.some((node) => node.zone !== zone);
  const found = nodes.filter((node, i) => !several || nodes[(i + 1) % nodes.length]?.zone !== node.zone);
  return new Set(found.map((node) => node.host_name));
}

export class Leading {
  readonly #wellPlaced: ReadonlySet<string>;
  readonly #startedAt: number;
  /** When some zone was last quiet. */
  #quietAt = -Infinity;

  constructor(
    private readonly common: Common,
    private readonly peering: Peering,
    private readonly observing: Observing,
  ) {
    this.#wellPlaced = wellPlaced(common.settings);
    this.#startedAt = common.ports.clock.monotonicMs();
  }

  /** The nodes that are to lead rather than others. */
  get preferred(): ReadonlySet<string> {
    return this.#wellPlaced;
  }

  /** Whether this node is one of those that are to lead. */
  get isWellPlaced(): boolean {
    return this.#wellPlaced.has(this.common.settings.host_name);
  }

  start(): void {
    void this.#keepCatalog();
    void this.#keepList();
    void this.#keepRelays();
  }

  /** Whether a node that is to lead rather than this one is heard, or may still be after this one's start. */
  hasBetterPlaced(): boolean {
    if (this.isWellPlaced) return false;
    const now = this.common.ports.clock.monotonicMs();
    const { membership } = this.observing;
    const young = now - this.#startedAt < this.common.timing.maxHeartbeatIntervalMs;
    const heard = (node: string): boolean =>
      membership.lostAt(node) === null && (young || membership.isHeard(node, now));
    return [...this.#wellPlaced].some(heard);
  }

  /** The node that is to lead rather than this one, if it has been back, and served, for a while. */
  betterPlaced(): string | null {
    const { leadership, machines } = this.common.owner.state;
    const now = this.common.ports.clock.monotonicMs();
    const settled = 0.4 * this.common.timing.workerLeaseMs;
    if (leadership === null || this.isWellPlaced) return null;
    if (now - leadership.since < settled) return null;
    // The next leader would wait anew for machines that are silent, and their tasks with them; and what
    // a zone brings back with it is best taken in by whoever knows what was given up meanwhile.
    if (this.common.owner.state.silentZones.size > 0) this.#quietAt = now;
    if (now - this.#quietAt < this.common.timing.workerLeaseMs) return null;
    if (
      [...machines.values()].some(
        ({ lastHeartbeatAt, claims }) => lastHeartbeatAt === null && claims.size > 0,
      )
    )
      return null;
    const { membership } = this.observing;
    return [...this.#wellPlaced].find((node) => membership.isSettled(node, settled, now)) ?? null;
  }

  /**
   * Begins nothing new, and waits until what was begun is written, so that the next leader finds all
   * of it: a moment, and no longer than it takes workers to notice.
   */
  async close(): Promise<void> {
    const { owner, ports, timing } = this.common;
    owner.push({ kind: 'transferLeadership' });
    const until = ports.clock.monotonicMs() + 2 * timing.tickMs;
    while (ports.clock.monotonicMs() < until) {
      await ports.clock.sleep(timing.tickMs / 8);
      const { commit, pendingReconciliation, dirtyJobs } = owner.state;
      if (commit === null && pendingReconciliation === null && dirtyJobs.start.size === 0) return;
    }
  }

  /** Loads what the leaders before have committed, then follows the jobs. */
  async lead(won: ElectionResult): Promise<void> {
    this.common.standing.highestTerm = Math.max(this.common.standing.highestTerm, won.term);
    this.common.standing.leader = this.common.settings.host_name;
    this.common.standing.leadingTerm = won.term;
    this.common.ports.log.info({ term: won.term }, 'elected');
    for (;;) {
      const sentAt = this.common.ports.clock.monotonicMs();
      const [jobs, runs, memory, format] = await Promise.all([
        this.common.ports.state.list(JOB_PREFIX),
        this.common.ports.state.list(RUN_PREFIX),
        this.#readMemory(),
        this.#readFormat(won.modRevision),
      ]);
      if (this.common.standing.leadingTerm !== won.term || this.common.standing.highestTerm > won.term)
        return;
      if (jobs === 'unknown' || runs === 'unknown' || memory === 'unknown' || format === 'unknown') {
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
      this.common.owner.push({
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
        demandHistory: memory,
        silentZones: this.peering.quietOfLate(),
        previousLeaderMayBeAlive: won.before === 'unknown' && term > 1,
      });
      await this.#follow(term, jobs.revision);
      return;
    }
  }

  /** What classes have shown, as either version keeps it. */
  async #readMemory(): Promise<ClassDemandRecord[] | 'unknown'> {
    const [whole, parts] = await Promise.all([
      this.common.ports.state.read(DEMAND_KEY),
      this.common.ports.state.list(DEMAND_PREFIX),
    ]);
    if (whole === 'unknown' || parts === 'unknown') return 'unknown';
    // The later ones count where a class stands in several.
    return [whole.entry?.value, ...parts.entries.map(({ value }) => value)].flatMap(decodeDemand);
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
  async #follow(term: number, revision: number): Promise<void> {
    let after = revision;
    while (this.common.standing.leadingTerm === term) {
      const sentAt = this.common.ports.clock.monotonicMs();
      const found = await this.common.ports.state.watch(JOB_PREFIX, after, this.common.timing.watchTimeoutMs);
      if (found.kind === 'unknown') {
        await this.common.ports.clock.sleep(this.common.timing.tickMs);
      } else if (found.kind === 'tooOld') {
        const jobs = await this.common.ports.state.list(JOB_PREFIX);
        if (jobs === 'unknown') continue;
        after = jobs.revision;
        this.common.owner.push({
          kind: 'jobsReplaced',
          jobs: decodeJobs(jobs.entries),
          revision: jobs.revision,
        });
        this.common.owner.push({ kind: 'viewConfirmed', sentAt });
      } else {
        after = found.revision;
        for (const { key, value, modRevision } of found.changes) {
          const spec = decodeJob(value);
          if (value === undefined) this.common.owner.push({ kind: 'jobRemoved', id: jobOfKey(key) });
          else if (spec !== null)
            this.common.owner.push({ kind: 'jobAdded', job: { value: spec, modRevision } });
        }
        this.common.owner.push({ kind: 'viewConfirmed', sentAt });
      }
    }
  }

  /** How awaited jobs stand, by the committed records. */
  async resolve(ids: readonly string[]): Promise<void> {
    const found = await Promise.all(
      ids.map(async (id) => {
        const job = await readJob(this.common.ports.state, id);
        return [
          id,
          job.kind === 'ended' ? job.record : job.kind === 'damaged' ? 'unknown' : job.kind,
        ] as const;
      }),
    );
    this.common.owner.push({ kind: 'dependenciesResolved', found: new Map(found) });
  }

  async recheck(ids: readonly string[], keys: readonly string[]): Promise<void> {
    const jobs = new Map<string, { live: boolean; ended: EndedRecord | null }>();
    const chunks = new Map<string, number>();
    let whole = true;
    for (const id of ids) {
      const job = await readJob(this.common.ports.state, id);
      if (job.kind === 'unknown') whole = false;
      else
        jobs.set(id, {
          live: job.kind === 'live' || job.kind === 'damaged',
          ended: job.kind === 'ended' ? job.record : null,
        });
      if (!whole) break;
    }
    for (const key of whole ? keys : []) {
      const read = await this.common.ports.state.read(key);
      if (read === 'unknown') whole = false;
      else if (read.entry !== null) chunks.set(key, read.entry.modRevision);
      if (!whole) break;
    }
    if (!whole) await this.common.ports.clock.sleep(this.common.timing.tickMs);
    this.common.owner.push({
      kind: 'reconciled',
      found: whole ? ({ jobs, chunks } satisfies ReconciledRecords) : null,
    });
  }

  /** Reads, while some machine is silent, which of them deputies hear. */
  async #keepRelays(): Promise<void> {
    // Clocks agree within a bound, and a deputy speaks every other longest report.
    const young = 0.5 * this.common.timing.workerLeaseMs + 2 * this.common.settings.cluster.clock_error_ms;
    for (;;) {
      await this.common.ports.clock.sleep(4 * this.common.timing.tickMs);
      const { leadership, machines } = this.common.owner.state;
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
      const found = await this.common.ports.state.list(DEPUTY_PREFIX);
      if (found === 'unknown') continue;
      for (const { value } of found.entries) {
        const record = decodeDeputy(value);
        if (record === null) continue;
        const ageMs = Math.max(0, this.common.ports.clock.epochMs() - record.at);
        if (ageMs < young)
          this.common.owner.push({ kind: 'machinesRelayed', machines: record.machines, ageMs });
      }
    }
  }

  async #keepCatalog(): Promise<void> {
    for (;;) {
      const types = await this.common.ports.cloud.catalog();
      if (types !== null) this.common.owner.push({ kind: 'catalog', types });
      await this.common.ports.clock.sleep(
        types === null ? this.common.timing.tickMs : 6 * this.common.timing.workerLeaseMs,
      );
    }
  }

  async #keepList(): Promise<void> {
    const pause = Math.max(
      this.common.timing.maxHeartbeatIntervalMs,
      (this.common.settings.cluster.cloud.list_lag_s * 1000) / 4,
    );
    for (;;) {
      if (this.common.owner.state.leadership !== null) {
        const askedAt = this.common.ports.clock.monotonicMs();
        const machines = await this.common.ports.cloud.listMachines();
        if (machines !== null) this.common.owner.push({ kind: 'machinesListed', askedAt, machines });
      }
      await this.common.ports.clock.sleep(pause);
    }
  }
}
