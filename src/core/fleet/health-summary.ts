/**
 * Health of the fleet, determined in one pass over the machines at each tick: which zones report, which are
 * partitioned, and whether so many machines are silent that a common cause is likely.
 */
import type { Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { isExpectedToReport } from './probes.js';

/** If less than this share of a zone's machines reports, the zone or this node may be partitioned. */
const MIN_REPORTING_SHARE = 0.5;
/** If more than this share of machines is silent, the fault may be this node's own. */
const MAX_SILENT_SHARE = 0.3;
/** A machine that is up and in contact with this leader reports within this many maximum heartbeat intervals. */
const REPORTING_INTERVALS = 1.1;
/** A machine is silent after this many maximum heartbeat intervals without contact. */
const SILENT_INTERVALS = 3;
/** A zone is partitioned only if more than this share of its running machines is silent. */
const MIN_PARTITION_SHARE = 0.9;
/** A zone is partitioned only if at least this many of its machines are silent. */
const MIN_PARTITION_MACHINES = 3;
/** Maximum heartbeat intervals that a new leader waits for machines' first heartbeats, once some have reported. */
const FIRST_HEARTBEAT_INTERVALS = 3;
/** Maximum heartbeat intervals that a new leader waits for machines' first heartbeats, while none has reported. */
const FIRST_HEARTBEAT_INTERVALS_WITHOUT_CONTACT = 1.5;

interface ZoneCounts {
  /** Machines that are expected to report, and how many of them do. */
  expected: number;
  reporting: number;
  /** Machines that should be up, and how many of them are silent. */
  running: number;
  silent: number;
  /** Monotonic time in milliseconds of the latest heartbeat of any of these, or discovery of one that sent none. */
  lastContactAt: number;
}

interface FleetCounts {
  /** Machines that have had time to report to this leader, and how many of them do. */
  expected: number;
  reporting: number;
  /** Machines that should be up, and how many of them never reported to this leader. */
  running: number;
  neverReported: number;
  /** Machines that have reported to this leader, and how many of them are silent now. */
  known: number;
  silent: number;
  /** Monotonic time in milliseconds of the latest heartbeat, or of the start of the leadership if that is later. */
  lastHeartbeatAt: number;
}

/** Facts about the whole fleet that failure detection needs. */
export interface HealthSummary {
  /** Zones in which at least `MIN_REPORTING_SHARE` of the machines report. */
  readonly reachableZones: ReadonlySet<string>;
  /** Zones of which nearly all machines are silent. */
  readonly partitionedZones: ReadonlySet<string>;
  /** Some zone is partitioned, and no machine of any zone has sent a heartbeat for `SILENT_INTERVALS`. */
  readonly hasLostAllContact: boolean;
  /** So many of the machines that have reported are silent that a common cause is likely. */
  readonly isMassSilence: boolean;
  /** So many of the machines that should be up never reported to this leader that a common cause is likely. */
  readonly isMassNeverReported: boolean;
}

/** Inputs and counts of one pass over the machines. */
interface SummaryPass {
  readonly state: CoreState;
  readonly now: Now;
  /** Whether this leader has had time to receive a first heartbeat of every machine. */
  readonly isFirstHeartbeatDue: boolean;
  readonly fleet: FleetCounts;
  readonly zones: Map<string, ZoneCounts>;
}

/** Whether a machine should be up. The silence of a machine that is still booting is no evidence. */
const shouldBeUp = ({ terminationReason, lastHeartbeatAt, cloudStage, claims }: Machine): boolean =>
  terminationReason === null && (lastHeartbeatAt !== null || cloudStage === 'running' || claims.size > 0);

/**
 * Finds the zones of which nearly all machines are silent. The likely cause is a network partition and not the
 * failure of so many machines, because a wave of spot reclamations leaves some of them running. Terminating the
 * machines would cost a boot for each, whereas their heartbeats prove which tasks still run as soon as the
 * partition ends.
 */
function findPartitionedZones({ state, now, zones }: SummaryPass): Set<string> {
  const { maxHeartbeatIntervalMs } = state.config.timing;
  const partitioned = new Set<string>();
  for (const [zone, { silent, running, lastContactAt }] of zones) {
    // A machine known only from claims has no zone, and is probably gone.
    if (zone === '' || silent < MIN_PARTITION_MACHINES || silent <= MIN_PARTITION_SHARE * running) continue;
    partitioned.add(zone);
    // A start of the silence that an earlier leader recorded is kept: otherwise each failover would restart the wait.
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
  // The silence of a machine for a whole lease is its own fault, and no evidence about this node's contact.
  const isExpected =
    lastHeartbeatAt === null ? pass.isFirstHeartbeatDue : lastHeartbeatAt > now.monotonicMs - workerLeaseMs;
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
  const { lastHeartbeatAt, lastContactElsewhereAt } = machine;
  const zone = zoneCountsOf(pass.zones, machine.zone);
  if (lastHeartbeatAt !== null && lastHeartbeatAt > fleet.lastHeartbeatAt)
    fleet.lastHeartbeatAt = lastHeartbeatAt;
  if (isExpectedToReport(machine)) countExpected(pass, zone, machine);
  if (shouldBeUp(machine)) countRunning(pass, zone, machine);
  if (lastHeartbeatAt === null || machine.terminationReason !== null) return;
  fleet.known += 1;
  const silentMs = now.monotonicMs - Math.max(lastHeartbeatAt, lastContactElsewhereAt ?? 0);
  if (silentMs > SILENT_INTERVALS * state.config.timing.maxHeartbeatIntervalMs) fleet.silent += 1;
}

/** Creates an empty pass, in which the time without heartbeats counts from the start of the leadership. */
function beginPass(state: CoreState, now: Now): SummaryPass {
  const leaderSince = state.leadership?.since ?? now.monotonicMs;
  // A leader without any contact needs a shorter wait than one whose machines report one after another.
  const hasContact = state.health !== null && state.health.neverReported < state.health.running;
  const firstHeartbeatMs =
    (hasContact ? FIRST_HEARTBEAT_INTERVALS : FIRST_HEARTBEAT_INTERVALS_WITHOUT_CONTACT) *
    state.config.timing.maxHeartbeatIntervalMs;
  return {
    state,
    now,
    isFirstHeartbeatDue: now.monotonicMs - leaderSince > firstHeartbeatMs,
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

/** Counts the machines, stores the counts in `state.health`, and returns what failure detection needs. */
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
    hasLostAllContact:
      partitionedZones.size > 0 && silentMs >= SILENT_INTERVALS * state.config.timing.maxHeartbeatIntervalMs,
    isMassSilence: silent > MAX_SILENT_SHARE * known,
    isMassNeverReported: neverReported > MAX_SILENT_SHARE * running,
  };
}
