/** One controller: the owner and everything around it. */
import type { Cloud } from './adapters/cloud.js';
import type { StateService } from './adapters/state.js';
import { readJob, Users } from './adapters/users.js';
import type { Workers } from './adapters/workers.js';
import type { Clock } from './clock.js';
import type { Effect, LoadedChunk, Recheck } from './core/effects.js';
import { settledUntil } from './core/pipelines.js';
import { createState, type PolicyFigures } from './core/state.js';
import type { EndedRecord, JobSpec, Report, Stamped } from './core/types.js';
import { Deputy } from './deputy.js';
import { describeLead } from './describe.js';
import { Election, type Elected } from './election.js';
import { Latencies } from './latency.js';
import type { Log } from './logging.js';
import { Owner } from './owner.js';
import { rulesFor } from './rules.js';
import { lastingLimits, timing, type PlatformSettings, type Timing } from './settings.js';
import { firstLayout, formatRecord, lastingLayout, Upgrade } from './upgrade.js';
import type { JobCount, PeerStatus, QuietZone } from './wire/peers.js';
import {
  decodeChunk,
  decodeDeputy,
  decodeFormat,
  decodeJob,
  decodeMemory,
  DEPUTY_PREFIX,
  FORMAT,
  FORMAT_KEY,
  JOB_PREFIX,
  jobOfKey,
  LEADER_KEY,
  MEMORY_KEY,
  MEMORY_PREFIX,
  parseChunkKey,
  RUN_PREFIX,
  TERM_KEY,
  type ClassMemory,
  type FormatRecord,
} from './core/records.js';
import type { Entry } from './wire/state.js';
import { encodeRedirect, encodeReply, parseReport } from './wire/workers.js';

const MOST_COUNTS = 500;
const MOST_REDIRECTED = 5000;
/** A peer message holds so many names of machines, beside all else. */
const MOST_HEARD = 2000;

function decodeJobs(entries: readonly Entry[]): Stamped<JobSpec>[] {
  const jobs: Stamped<JobSpec>[] = [];
  for (const { value, stamp } of entries) {
    const spec = decodeJob(value);
    if (spec !== null) jobs.push({ value: spec, stamp });
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

/** What a controller needs of the world around it. */
export interface Ports {
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly workers: Workers;
  readonly clock: Clock;
  readonly log: Log;
  readonly policy: PolicyFigures;
  /** Names this life of the node, and no other. */
  readonly incarnation: string;
}

interface HeardStatus {
  readonly status: PeerStatus;
  readonly at: number;
  /** Steady time from which this life of it has been heard without a gap. */
  readonly since: number;
}

export class ControllerNode {
  readonly users: Users;
  readonly latencies = new Latencies();
  readonly #timing: Timing;
  readonly #wellPlaced: ReadonlySet<string>;
  readonly #state: StateService;
  readonly #cloud: Cloud;
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #election: Election;
  readonly #owner: Owner;
  readonly #replies = new Map<number, (status: number, body: string) => void>();
  readonly #counts = new Map<string, JobCount>();
  readonly #heard = new Map<string, HeardStatus>();
  readonly #redirected = new Map<string, number>();
  /** Zones of which the leader heard nobody, and the steady time since. */
  readonly #quiet = new Map<string, number>();
  readonly #deputy: Deputy;
  readonly #upgrade: Upgrade;
  #nextReply = 1;
  #leader: string | null = null;
  #highestTerm = 0;
  /** The term this node was elected for and still means to lead; 0: none. */
  #leadingTerm = 0;

  constructor(
    private readonly settings: PlatformSettings,
    private readonly ports: Ports,
  ) {
    const { state, clock, log, incarnation } = ports;
    this.#timing = timing(settings);
    this.#wellPlaced = wellPlaced(settings);
    this.#state = state;
    this.#cloud = ports.cloud;
    this.#clock = clock;
    this.#log = log;
    const { value_kb, txn_ops } = lastingLimits(settings);
    this.#deputy = new Deputy(settings.host_name, state, clock, this.#timing, value_kb * 1024);
    const rules = rulesFor(settings, ports.policy);
    this.#owner = new Owner(createState(settings.host_name, rules), clock, log, (effect) =>
      this.#carryOut(effect),
    );
    this.#election = new Election(
      settings.host_name,
      incarnation,
      state,
      clock,
      this.#timing,
      {
        elected: (won) => void this.#lead(won),
        lost: () => {
          this.#leadingTerm = 0;
          this.#owner.push({ kind: 'resign', reason: 'the lease has ended' });
        },
        leaderKnown: (leader) => {
          this.#leader = leader?.node ?? null;
          this.#highestTerm = Math.max(this.#highestTerm, leader?.term ?? 0);
        },
      },
      this.#wellPlaced.has(settings.host_name) ? 0 : 4 * this.#timing.tick,
    );
    this.#upgrade = new Upgrade({
      settings,
      state,
      clock,
      pause: 2 * this.#timing.longestReport,
      termStamp: () => this.#owner.state.leadership?.stamp ?? null,
      hearsEarlier: () =>
        [...this.#heard.values()].some(
          ({ status, at }) => status.format < FORMAT && clock.mono() - at < this.#timing.workerLease,
        ),
      adopted: (record) => {
        log.info(record, 'every controller reads the new format');
        state.keepTo(lastingLimits(settings));
        this.#owner.push({ kind: 'adopt', layout: lastingLayout(settings, record) });
      },
    });
    this.users = new Users({
      valueBytes: value_kb * 1024,
      conditions: 4 * txn_ops,
      knowsPipelines: async () => (await this.#upgrade.look()) !== null,
      isSettled: () => this.#isSettled(),
      state,
      clock,
      teams: rules.teams,
      patience: this.#timing.stateTimeout,
      types: () => this.#owner.state.types,
      counts: (id) => this.#countOf(id),
    });
  }

  start(): void {
    void this.#election.run();
    void this.#keepCatalog();
    void this.#keepList();
    void this.#keepTicking();
    void this.#keepContact();
    void this.#keepRelays();
    void this.#upgrade.run();
    this.#log.info({ node: this.settings.host_name, incarnation: this.ports.incarnation }, 'started');
  }

  /**
   * Keeps the knowledge fresh whether the state service answers this node. A follower
   * without users would otherwise hear of it only as often as its long watch ends, and
   * take itself for refused while the leader is served.
   */
  async #keepContact(): Promise<void> {
    const often = this.#timing.stateTimeout / 2;
    for (;;) {
      await this.#clock.sleep(often);
      if (this.#stateAgeMs() >= often) await this.#state.read(LEADER_KEY);
      if (this.#shouldHandOver())
        this.#owner.push({ kind: 'resign', reason: 'a better placed node is back' });
    }
  }

  /** Whether a node that is to lead rather than this one has been back, and served, for a while. */
  #shouldHandOver(): boolean {
    const { leadership, machines } = this.#owner.state;
    const now = this.#clock.mono();
    const settled = 0.4 * this.#timing.workerLease;
    if (leadership === null || this.#wellPlaced.has(this.settings.host_name)) return false;
    if (now - leadership.since < settled) return false;
    // The next leader would wait anew for machines that are silent, and their tasks with them.
    if ([...machines.values()].some(({ heardAt, claims }) => heardAt === null && claims.size > 0))
      return false;
    return [...this.#heard.values()].some(
      ({ status, at, since }) =>
        this.#wellPlaced.has(status.node) &&
        now - at < this.#timing.longestReport &&
        now - since > settled &&
        status.stateAgeMs < this.#timing.stateTimeout,
    );
  }

  async #keepTicking(): Promise<void> {
    for (;;) {
      await this.#clock.sleep(this.#timing.tick);
      this.#owner.push({ kind: 'tick' });
    }
  }

  #countOf(id: string): { done: number; running: number } | null {
    const job = this.#owner.state.jobs.get(id);
    if (this.#owner.state.leadership === null || job === undefined) return this.#counts.get(id) ?? null;
    return { done: job.doneCount, running: job.running };
  }

  /** Milliseconds since the state service last answered this node. */
  #stateAgeMs(): number {
    const contact = this.#state.contactAt();
    return contact === null ? 0xffffffff : Math.max(0, Math.round(this.#clock.mono() - contact));
  }

  #term(): number {
    return this.#owner.state.leadership?.term ?? this.#highestTerm;
  }

  /** What the other nodes are told; it counts the tasks of all jobs, so nothing else asks for it. */
  status(): PeerStatus {
    const { state } = this.#owner;
    const counts: JobCount[] = [];
    if (state.leadership !== null) {
      for (const [id, job] of state.jobs) {
        if (job.over !== null || counts.length >= MOST_COUNTS) continue;
        counts.push({ id, ...(this.#countOf(id) ?? { done: 0, running: 0 }) });
      }
    }
    return {
      node: this.settings.host_name,
      incarnation: this.ports.incarnation,
      term: this.#term(),
      leading: state.leadership !== null,
      stateAgeMs: this.#stateAgeMs(),
      counts,
      format: FORMAT,
      settledAt: this.#settledAt(),
      quiet: this.#quietZones(),
      hears: state.leadership === null ? this.#deputy.hears().slice(0, MOST_HEARD) : [],
    };
  }

  /** What is known of zones that nobody is heard of: by this node as the leader, or from one. */
  #quietZones(): QuietZone[] {
    const { state } = this.#owner;
    const now = this.#clock.mono();
    const known = state.leadership === null ? this.#quiet : state.quiet;
    return [...known].map(([zone, since]) => ({ zone, ageMs: Math.max(0, Math.round(now - since)) }));
  }

  /** Takes over what a peer knows of quiet zones; it grows old by itself once nobody tells of it. */
  #learnQuiet(status: PeerStatus, now: number): void {
    if (status.leading) this.#quiet.clear();
    for (const { zone, ageMs } of status.quiet) {
      const since = now - ageMs;
      if (status.leading || (this.#quiet.get(zone) ?? -Infinity) < since) this.#quiet.set(zone, since);
    }
  }

  /** Time of day up to which cancellations have gone through their pipelines; 0 without leading. */
  #settledAt(): number {
    const { state } = this.#owner;
    if (state.leadership === null) return 0;
    return this.#clock.wall() - (this.#clock.mono() - settledUntil(state));
  }

  /**
   * Whether a leader vouches, freshly enough for the bound on cancellations, that no waiting
   * job needs one that was cancelled. Its word may have been held back: the time of day tells.
   */
  #isSettled(): boolean {
    const fresh = this.#timing.cancel / 2 - 2 * this.settings.cluster.clock_error_ms;
    const now = this.#clock.wall();
    if (now - this.#settledAt() < fresh) return true;
    return [...this.#heard.values()].some(({ status }) => status.leading && now - status.settledAt < fresh);
  }

  onPeer(status: PeerStatus): void {
    const now = this.#clock.mono();
    const before = this.#heard.get(status.node);
    const same =
      before?.status.incarnation === status.incarnation && now - before.at < 2 * this.#timing.longestReport;
    this.#heard.set(status.node, { status, at: now, since: same ? before.since : now });
    if (status.term > this.#highestTerm) {
      this.#highestTerm = status.term;
      this.#owner.push({ kind: 'tokenSeen', token: status.term });
    }
    if (status.hears.length > 0) this.#owner.push({ kind: 'relayed', machines: status.hears, ageMs: 0 });
    if (status.term >= this.#highestTerm) this.#learnQuiet(status, now);
    if (!status.leading || status.term < this.#highestTerm) return;
    if (this.#owner.state.leadership === null) this.#leader = status.node;
    this.#counts.clear();
    for (const count of status.counts) this.#counts.set(count.id, count);
  }

  /**
   * A node that the state service alone refuses sends users elsewhere. When nobody is
   * served, staying is better: each removal by the load balancer costs a growing pause.
   */
  ready(): boolean {
    const { state } = this.#owner;
    if (state.types.size === 0) return false;
    const stale = 2 * this.#timing.stateTimeout;
    if (this.#stateAgeMs() < stale) return true;
    const now = this.#clock.mono();
    for (const { status, at } of this.#heard.values()) {
      if (now - at < stale / 2 && status.stateAgeMs < stale / 2) return false;
    }
    return true;
  }

  describe(): object {
    const { state } = this.#owner;
    const now = { mono: this.#clock.mono(), wall: this.#clock.wall() };
    return {
      node: this.settings.host_name,
      leader: state.leadership === null ? this.#leader : this.settings.host_name,
      term: this.#term(),
      stateAgeMs: this.#stateAgeMs(),
      ready: this.ready(),
      format: { reads: FORMAT, inForce: this.#upgrade.record?.format ?? 1 },
      latencyMs: this.latencies.describe(),
      ...(state.leadership === null ? {} : { lead: describeLead(state, now) }),
    };
  }

  report(body: unknown, done: (status: number, body: string) => void): void {
    const report = parseReport(body);
    if (report === null) {
      done(400, '{"error":"malformed report"}');
      return;
    }
    if (this.#owner.state.leadership === null) {
      this.#redirect(report, done);
      return;
    }
    const reply = this.#nextReply++;
    const from = this.#clock.mono();
    this.#replies.set(reply, (status, text) => {
      this.latencies.record('report', this.#clock.mono() - from);
      done(status, text);
    });
    this.#owner.push({ kind: 'report', reply, report });
  }

  /** Sends a worker to the leader, or stands in for a leader that it cannot reach. */
  #redirect(report: Report, done: (status: number, body: string) => void): void {
    const leader = this.#leader === this.settings.host_name ? null : this.#leader;
    const now = this.#clock.mono();
    const heard = leader === null ? undefined : this.#heard.get(leader);
    const reachable = heard !== undefined && now - heard.at < this.#timing.longestReport;
    const sent = this.#redirected.get(report.machine);
    // It takes a worker some seconds to try a node that does not answer: back after so long, it
    // has tried the leader in vain, even if this node hears it; as have others of its zone if
    // the leader calls that quiet. It is answered once and then sent again: kept here until its
    // lease had passed by, it was silent to a leader that could hear it again, and given back alive.
    const inVain =
      sent === undefined
        ? this.#quiet.has(report.zone)
        : now - sent < this.#timing.workerLease && now - sent > 1.5 * this.#timing.longestReport;
    const token = this.#highestTerm;
    if (this.#redirected.size > MOST_REDIRECTED) this.#redirected.clear();
    if (leader === null || token === 0 || report.token > token || (reachable && !inVain)) {
      if (leader !== null && (sent === undefined || now - sent > 1.5 * this.#timing.longestReport))
        this.#redirected.set(report.machine, now);
      done(421, encodeRedirect(leader));
      return;
    }
    this.#redirected.set(report.machine, now);
    void this.#deputy.answer(report).then((commands) => {
      if (commands === null || this.#owner.state.leadership !== null || token !== this.#highestTerm)
        done(503, '{}');
      else done(200, encodeReply(token, commands));
    });
  }

  /** Reads, while some machine is silent, which of them deputies hear. */
  async #keepRelays(): Promise<void> {
    // Clocks agree within a bound, and a deputy speaks every other longest report.
    const young = 0.5 * this.#timing.workerLease + 2 * this.settings.cluster.clock_error_ms;
    for (;;) {
      await this.#clock.sleep(4 * this.#timing.tick);
      const { leadership, machines } = this.#owner.state;
      if (leadership === null) continue;
      const now = this.#clock.mono();
      let silent = 0;
      for (const { heardAt, knownAt, listed } of machines.values())
        if (listed !== 'booting' && now - (heardAt ?? knownAt) > 1.5 * this.#timing.longestReport)
          silent += 1;
      if (silent === 0) continue;
      const found = await this.#state.list(DEPUTY_PREFIX);
      if (found === 'unknown') continue;
      for (const { value } of found.entries) {
        const record = decodeDeputy(value);
        if (record === null) continue;
        const ageMs = Math.max(0, this.#clock.wall() - record.at);
        if (ageMs < young) this.#owner.push({ kind: 'relayed', machines: record.machines, ageMs });
      }
    }
  }

  #carryOut(effect: Effect): void {
    switch (effect.kind) {
      case 'reply': {
        const done = this.#replies.get(effect.reply);
        this.#replies.delete(effect.reply);
        if (effect.body.kind === 'commands')
          done?.(200, encodeReply(effect.body.token, effect.body.commands));
        else done?.(503, '{}');
        break;
      }
      case 'commit':
        void this.#state.commit(effect.txn).then((outcome) => {
          this.#owner.push({
            kind: 'committed',
            id: effect.id,
            outcome,
          });
        });
        break;
      case 'resolve':
        void this.#resolve(effect.ids);
        break;
      case 'recheck':
        void this.#recheck(effect.jobs, effect.chunks);
        break;
      case 'direct':
        void this.ports.workers
          .direct(effect.address, effect.token, effect.session, effect.commands)
          .then((report) => {
            if (report !== null) this.#owner.push({ kind: 'direct', report });
          });
        break;
      case 'rent':
        void this.#cloud
          .rent(effect.request, effect.type, effect.zone, effect.spot, effect.count)
          .then((outcome) => this.#owner.push({ kind: 'rented', request: effect.request, outcome }));
        break;
      case 'return':
        void this.#cloud.giveBack(effect.machines).then((ok) => {
          this.#owner.push({ kind: 'returned', machines: effect.machines, ok });
        });
        break;
      case 'remember':
        void this.#state.commit(effect.txn);
        break;
      case 'steppedDown':
        this.#log.info({ reason: effect.reason }, 'stepped down');
        this.#leader = null;
        this.#leadingTerm = 0;
        this.#election.abandon();
        break;
      case 'log':
        this.#log[effect.level](effect.detail, effect.event);
        break;
    }
  }

  /** How awaited jobs stand, by the committed records. */
  async #resolve(ids: readonly string[]): Promise<void> {
    const found = await Promise.all(
      ids.map(async (id) => {
        const job = await readJob(this.#state, id);
        return [id, job.kind === 'ended' ? job.record : job.kind] as const;
      }),
    );
    this.#owner.push({ kind: 'resolved', found: new Map(found) });
  }

  async #recheck(ids: readonly string[], keys: readonly string[]): Promise<void> {
    const jobs = new Map<string, { live: boolean; ended: EndedRecord | null }>();
    const chunks = new Map<string, number>();
    let whole = true;
    for (const id of ids) {
      const job = await readJob(this.#state, id);
      if (job.kind === 'unknown') whole = false;
      else jobs.set(id, { live: job.kind === 'live', ended: job.kind === 'ended' ? job.record : null });
      if (!whole) break;
    }
    for (const key of whole ? keys : []) {
      const read = await this.#state.read(key);
      if (read === 'unknown') whole = false;
      else if (read.entry !== null) chunks.set(key, read.entry.stamp);
      if (!whole) break;
    }
    if (!whole) await this.#clock.sleep(this.#timing.tick);
    this.#owner.push({ kind: 'rechecked', found: whole ? ({ jobs, chunks } satisfies Recheck) : null });
  }

  /** Loads what the leaders before have committed, then follows the jobs. */
  async #lead(won: Elected): Promise<void> {
    this.#highestTerm = Math.max(this.#highestTerm, won.term);
    this.#leader = this.settings.host_name;
    this.#leadingTerm = won.term;
    this.#log.info({ term: won.term }, 'elected');
    for (;;) {
      const sentAt = this.#clock.mono();
      const [jobs, runs, memory, format] = await Promise.all([
        this.#state.list(JOB_PREFIX),
        this.#state.list(RUN_PREFIX),
        this.#readMemory(),
        this.#readFormat(won.stamp),
      ]);
      if (this.#leadingTerm !== won.term || this.#highestTerm > won.term) return;
      if (jobs === 'unknown' || runs === 'unknown' || memory === 'unknown' || format === 'unknown') {
        await this.#clock.sleep(this.#timing.tick);
        continue;
      }
      const chunks: LoadedChunk[] = [];
      for (const { key, value, stamp } of runs.entries) {
        const name = parseChunkKey(key);
        const record = decodeChunk(value);
        if (name !== null && record !== null)
          chunks.push({ job: name.job, name, record: { value: record, stamp } });
      }
      const { term, stamp } = won;
      this.#owner.push({
        kind: 'lead',
        term,
        stamp,
        provenAt: sentAt,
        layout: format === null ? firstLayout(this.settings) : lastingLayout(this.settings, format),
        wide: format?.wide ?? firstLayout(this.settings).tasks,
        jobs: decodeJobs(jobs.entries),
        chunks,
        memory,
        quiet: new Map(
          [...this.#quiet].filter(([, since]) => this.#clock.mono() - since < 3 * this.#timing.workerLease),
        ),
      });
      await this.#follow(term, jobs.revision);
      return;
    }
  }

  /** What classes have shown, as either version keeps it. */
  async #readMemory(): Promise<ClassMemory[] | 'unknown'> {
    const [whole, parts] = await Promise.all([this.#state.read(MEMORY_KEY), this.#state.list(MEMORY_PREFIX)]);
    if (whole === 'unknown' || parts === 'unknown') return 'unknown';
    // The later ones count where a class stands in several.
    return [whole.entry?.value, ...parts.entries.map(({ value }) => value)].flatMap(decodeMemory);
  }

  /** The format in force, null if it is not; one whose width has become too large is written anew. */
  async #readFormat(termStamp: number): Promise<FormatRecord | null | 'unknown'> {
    const read = await this.#state.read(FORMAT_KEY);
    if (read === 'unknown') return 'unknown';
    const known = decodeFormat(read.entry?.value);
    if (known === null || read.entry === null) return null;
    const record = formatRecord(this.settings, known);
    if (record.tasks === known.tasks) return known;
    const outcome = await this.#state.commit({
      when: [
        { key: TERM_KEY, stamp: termStamp },
        { key: FORMAT_KEY, stamp: read.entry.stamp },
      ],
      apply: [{ put: FORMAT_KEY, value: record }],
    });
    return outcome.kind === 'applied' ? record : 'unknown';
  }

  /** Watches the jobs while this node leads; each answer proves how fresh its view is. */
  async #follow(term: number, revision: number): Promise<void> {
    let after = revision;
    while (this.#leadingTerm === term) {
      const sentAt = this.#clock.mono();
      const found = await this.#state.watch(JOB_PREFIX, after, this.#timing.watchWait);
      if (found.kind === 'unknown') {
        await this.#clock.sleep(this.#timing.tick);
      } else if (found.kind === 'tooOld') {
        const jobs = await this.#state.list(JOB_PREFIX);
        if (jobs === 'unknown') continue;
        after = jobs.revision;
        this.#owner.push({ kind: 'jobsReplaced', jobs: decodeJobs(jobs.entries), revision: jobs.revision });
        this.#owner.push({ kind: 'proof', sentAt });
      } else {
        after = found.revision;
        for (const { key, value, stamp } of found.changes) {
          const spec = decodeJob(value);
          if (value === undefined) this.#owner.push({ kind: 'jobRemoved', id: jobOfKey(key) });
          else if (spec !== null) this.#owner.push({ kind: 'jobAdded', job: { value: spec, stamp } });
        }
        this.#owner.push({ kind: 'proof', sentAt });
      }
    }
  }

  async #keepCatalog(): Promise<void> {
    for (;;) {
      const types = await this.#cloud.catalog();
      if (types !== null) this.#owner.push({ kind: 'catalog', types });
      await this.#clock.sleep(types === null ? this.#timing.tick : 6 * this.#timing.workerLease);
    }
  }

  async #keepList(): Promise<void> {
    const pause = Math.max(this.#timing.longestReport, (this.settings.cluster.cloud.list_lag_s * 1000) / 4);
    for (;;) {
      if (this.#owner.state.leadership !== null) {
        const askedAt = this.#clock.mono();
        const machines = await this.#cloud.machines();
        if (machines !== null) this.#owner.push({ kind: 'listed', askedAt, machines });
      }
      await this.#clock.sleep(pause);
    }
  }
}
