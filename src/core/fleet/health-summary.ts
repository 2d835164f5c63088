/**
 * The fleet's health in one pass over the machines, made at each tick: which zones report, which are
 * partitioned, and whether so many machines are silent together that it is one event.
 */
import type { Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { isExpectedToReport } from './probes.js';

/** A zone of which a smaller share reports may be partitioned, or this node be. */
const MIN_REPORTING_SHARE = 0.5;
/** If more than this share of machines is silent, the fault may be this node's own. */
const MAX_SILENT_SHARE = 0.3;
/** Every machine that can report does so within so many of the longest heartbeat intervals. */
const REPORTING_INTERVALS = 1.1;
/** A machine is silent after so many intervals. */
const SILENT_INTERVALS = 3;
/** A zone is partitioned if more than this share of its running machines is silent, */
const MIN_PARTITION_SHARE = 0.9;
/** and at least so many. */
const MIN_PARTITION_MACHINES = 3;
/** Intervals that a new leader gives machines to report for the first time, once some have done so, */
const FIRST_REPORT_INTERVALS = 3;
/** and while none has. */
const FIRST_REPORT_INTERVALS_WITHOUT_CONTACT = 1.5;

interface ZoneCounts {
  /** Machines that are expected to report, and those of them that do. */
  expected: number;
  reporting: number;
  /** Machines that should be up, and those of them that are silent. */
  running: number;
  silent: number;
  /** Monotonic time at which any of them was last heard of, in milliseconds. */
  lastContactAt: number;
}

interface FleetCounts {
  /** Machines that had time to report to this leader, and those of them that do. */
  expected: number;
  reporting: number;
  /** Machines that should be up, and those of them that never reported to this leader. */
  running: number;
  neverReported: number;
  /** Machines that have reported to this leader, and those of them silent now. */
  known: number;
  silent: number;
  /** Monotonic time of the latest heartbeat, or of the start of the leadership, in milliseconds. */
  lastHeartbeatAt: number;
}

/** What the failure detector asks of the fleet as a whole. */
export interface HealthSummary {
  /** Zones most of whose machines have sent a heartbeat within the longest interval. */
  readonly reachableZones: ReadonlySet<string>;
  /** Zones all of whose machines fell silent together. */
  readonly partitionedZones: ReadonlySet<string>;
  /** Some zone is partitioned, and no machine at all has sent a heartbeat of late. */
  readonly hearsNobody: boolean;
  /** So many of the machines that have reported are silent that it is one event. */
  readonly isMassSilence: boolean;
  /** The same of running machines that never reported to this leader. */
  readonly isMassNeverReported: boolean;
}

/** One pass over the machines: what it goes by, and what it has counted. */
interface SummaryPass {
  readonly state: CoreState;
  readonly now: Now;
  /** Whether this leader has had time to receive a first heartbeat of every machine. */
  readonly isFirstReportDue: boolean;
  readonly fleet: FleetCounts;
  readonly zones: Map<string, ZoneCounts>;
}

/** Whether a machine should be up; one still booting says nothing. */
const shouldBeUp = ({ terminationReason, lastHeartbeatAt, cloudStage, claims }: Machine): boolean =>
  terminationReason === null && (lastHeartbeatAt !== null || cloudStage === 'running' || claims.size > 0);

/**
 * Finds the zones all of whose machines fell silent together: rather a network partition than so many deaths,
 * for a wave of spot reclamations leaves some behind. Terminating them would cost a boot of each, whereas the
 * end of the partition brings proof of their tasks at once.
 */
function findPartitionedZones({ state, now, zones }: SummaryPass): Set<string> {
  const { maxHeartbeatIntervalMs } = state.config.timing;
  const partitioned = new Set<string>();
  for (const [zone, { silent, running, lastContactAt }] of zones) {
    // A machine known from claims alone has no zone, and is probably gone.
    if (zone === '' || silent < MIN_PARTITION_MACHINES || silent <= MIN_PARTITION_SHARE * running) continue;
    partitioned.add(zone);
    // What an earlier leader saw of the partition counts: otherwise each failover would begin the wait anew.
    state.silentZones.set(zone, Math.min(lastContactAt, state.silentZones.get(zone) ?? Infinity));
  }
  for (const zone of state.silentZones.keys()) {
    const silentMs = now.monotonicMs - (zones.get(zone)?.lastContactAt ?? -Infinity);
    if (!partitioned.has(zone) && silentMs <= SILENT_INTERVALS * maxHeartbeatIntervalMs)
      state.silentZones.delete(zone);
  }
  return partitioned;
}

function findReachableZones(zones: ReadonlyMap<string, ZoneCounts>): Set<string> {
  const reachable = new Set<string>();
  for (const [zone, { expected, reporting }] of zones)
    if (expected > 0 && reporting >= MIN_REPORTING_SHARE * expected) reachable.add(zone);
  return reachable;
}

function zoneCountsOf(zones: Map<string, ZoneCounts>, zone: string): ZoneCounts {
  let counts = zones.get(zone);
  if (counts === undefined) {
    counts = { expected: 0, reporting: 0, running: 0, silent: 0, lastContactAt: -Infinity };
    zones.set(zone, counts);
  }
  return counts;
}

/** Counts a machine that is expected to report. */
function countExpected(pass: SummaryPass, zone: ZoneCounts, { lastHeartbeatAt }: Machine): void {
  const { state, now, fleet } = pass;
  const { maxHeartbeatIntervalMs, workerLeaseMs } = state.config.timing;
  const isReporting =
    lastHeartbeatAt !== null &&
    lastHeartbeatAt > now.monotonicMs - REPORTING_INTERVALS * maxHeartbeatIntervalMs;
  zone.expected += 1;
  if (isReporting) zone.reporting += 1;
  // A machine silent for a whole lease is a case of its own, and says nothing of this node's contact.
  const isExpected =
    lastHeartbeatAt === null ? pass.isFirstReportDue : lastHeartbeatAt > now.monotonicMs - workerLeaseMs;
  if (!isExpected) return;
  fleet.expected += 1;
  if (isReporting) fleet.reporting += 1;
}

/** Counts a machine that should be up. */
function countRunning({ state, now, fleet }: SummaryPass, zone: ZoneCounts, machine: Machine): void {
  const lastContactAt = machine.lastHeartbeatAt ?? machine.discoveredAt;
  fleet.running += 1;
  if (machine.lastHeartbeatAt === null) fleet.neverReported += 1;
  zone.running += 1;
  zone.lastContactAt = Math.max(zone.lastContactAt, lastContactAt);
  if (now.monotonicMs - lastContactAt > SILENT_INTERVALS * state.config.timing.maxHeartbeatIntervalMs)
    zone.silent += 1;
}

function countMachine(pass: SummaryPass, machine: Machine): void {
  const { state, now, fleet } = pass;
  const { lastHeartbeatAt, lastRelayedAt } = machine;
  const zone = zoneCountsOf(pass.zones, machine.zone);
  if (lastHeartbeatAt !== null && lastHeartbeatAt > fleet.lastHeartbeatAt)
    fleet.lastHeartbeatAt = lastHeartbeatAt;
  if (isExpectedToReport(machine)) countExpected(pass, zone, machine);
  if (shouldBeUp(machine)) countRunning(pass, zone, machine);
  if (lastHeartbeatAt === null || machine.terminationReason !== null) return;
  fleet.known += 1;
  const silentMs = now.monotonicMs - Math.max(lastHeartbeatAt, lastRelayedAt ?? 0);
  if (silentMs > SILENT_INTERVALS * state.config.timing.maxHeartbeatIntervalMs) fleet.silent += 1;
}

/** An empty pass over the machines, with the time since which this leader has waited for heartbeats. */
function beginPass(state: CoreState, now: Now): SummaryPass {
  const leaderSince = state.leadership?.since ?? now.monotonicMs;
  // A leader without any contact need not wait as long as one whose machines report one after another.
  const hasContact = state.health !== null && state.health.neverReported < state.health.running;
  const firstReportMs =
    (hasContact ? FIRST_REPORT_INTERVALS : FIRST_REPORT_INTERVALS_WITHOUT_CONTACT) *
    state.config.timing.maxHeartbeatIntervalMs;
  return {
    state,
    now,
    isFirstReportDue: now.monotonicMs - leaderSince > firstReportMs,
    fleet: {
      expected: 0,
      reporting: 0,
      running: 0,
      neverReported: 0,
      known: 0,
      silent: 0,
      lastHeartbeatAt: leaderSince,
    },
    zones: new Map(),
  };
}

/** Counts the machines, keeps the counts in `state.health`, and returns what the failure detector needs. */
export function summarizeHealth(state: CoreState, now: Now): HealthSummary {
  const pass = beginPass(state, now);
  for (const machine of state.machines.values()) countMachine(pass, machine);
  const { expected, reporting, running, neverReported, known, silent, lastHeartbeatAt } = pass.fleet;
  const silentMs = now.monotonicMs - lastHeartbeatAt;
  state.health = { reporting, expected, running, neverReported, silentMs };
  const partitionedZones = findPartitionedZones(pass);
  return {
    reachableZones: findReachableZones(pass.zones),
    partitionedZones,
    hearsNobody:
      partitionedZones.size > 0 && silentMs >= SILENT_INTERVALS * state.config.timing.maxHeartbeatIntervalMs,
    isMassSilence: silent > MAX_SILENT_SHARE * known,
    isMassNeverReported: neverReported > MAX_SILENT_SHARE * running,
  };
}
