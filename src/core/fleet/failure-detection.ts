/**
 * Failure detection: which machines are terminated, and after how long without a heartbeat. Machines whose
 * silence has a common cause (a network partition, a fault of this node) get a longer timeout, because
 * terminating them would cost a boot for each.
 */
import type { Effect } from '../effects.js';
import { losesObjectiveWithin } from '../jobs/objectives.js';
import type { Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { evictBeforeReclaim } from './graceful-eviction.js';
import { summarizeHealth, type HealthSummary } from './health-summary.js';
import { markForTermination } from './machines.js';
import { isHanging, isUnreachable, probeIfOverdue } from './probes.js';
import { isMassUnresponsive, isUnresponsive } from './response-tracking.js';
import { TerminationReason } from './termination-reasons.js';

/** Longest silence of a machine in a partitioned zone, in worker leases. */
const MAX_PARTITION_LEASES = 3;
/** A machine that has not reported within this many boot times has failed to boot. */
const MAX_BOOT_FACTOR = 3;
/** Boot time of a machine of unknown type, in seconds. */
const DEFAULT_BOOT_S = 60;
/** A machine past its termination notice is gone after a silence of this many maximum heartbeat intervals. */
const RECLAIMED_SILENCE_INTERVALS = 1.5;
/** Share of the silence timeout after which a silent machine that holds tasks of ended jobs is terminated. */
const ENDED_WORK_TIMEOUT_SHARE = 0.5;

/** Inputs of one pass over the machines. */
interface DetectionPass {
  readonly state: CoreState;
  readonly now: Now;
  readonly health: HealthSummary;
  readonly isMassUnresponsive: boolean;
}

/** Whether some job with tasks on a machine loses an objective if they wait for another `waitMs`. */
function losesByWaiting(state: CoreState, machine: Machine, waitMs: number, now: Now): boolean {
  for (const { job } of machine.claims.values())
    if (job.finalStage === null && losesObjectiveWithin(state, job, waitMs, now)) return true;
  return false;
}

/**
 * Whether at least half of a hanging machine's tasks lose no objective if they wait for another `waitMs` instead
 * of running again elsewhere now. The machine accepts connections, so its worker may resume at any moment within
 * its lease.
 */
function isWorthWaiting(state: CoreState, machine: Machine, waitMs: number, now: Now): boolean {
  let losing = 0;
  let keeping = 0;
  for (const { job } of machine.claims.values()) {
    if (job.finalStage === null && losesObjectiveWithin(state, job, waitMs, now)) losing += 1;
    else keeping += 1;
  }
  return losing <= keeping;
}

function hasEndedWork({ claims }: Machine): boolean {
  for (const { job } of claims.values()) if (job.finalStage !== null) return true;
  return false;
}

/**
 * Longest silence of a machine in a partitioned zone, in milliseconds. The machine probably comes back. The
 * shorter silence timeout applies only if its tasks would lose an objective by waiting longer: by then its lease
 * must have expired, and no follower has relayed it either. A leader without contact to any machine assumes that
 * the fault is its own, and applies the longer timeout to all of them.
 */
function partitionTimeoutMs(pass: DetectionPass, machine: Machine, silentMs: number): number {
  const { state, now, health } = pass;
  const { silenceTimeoutMs, workerLeaseMs } = state.config.timing;
  const longestMs = MAX_PARTITION_LEASES * workerLeaseMs;
  const timesOutEarly =
    !health.hasLostAllContact &&
    silentMs > silenceTimeoutMs &&
    losesByWaiting(state, machine, longestMs - silentMs, now);
  return timesOutEarly ? silenceTimeoutMs : longestMs;
}

/**
 * Longest silence of a machine that never reported to this leader, in milliseconds. Many such machines have a
 * common cause: the previous leader, partitioned but within its authority window, may still be answering them,
 * so they get a longer timeout. A machine without tasks does not: terminating it loses no work, and it may be
 * a stale entry of the cloud's list.
 */
function neverReportedTimeoutMs(pass: DetectionPass, machine: Machine, silentMs: number): number {
  const { state, health } = pass;
  const { timing } = state.config;
  if (health.partitionedZones.has(machine.zone)) return partitionTimeoutMs(pass, machine, silentMs);
  const mayReportToPreviousLeader =
    health.isMassNeverReported && machine.cloudStage === 'running' && machine.claims.size > 0;
  return mayReportToPreviousLeader
    ? timing.authorityWindowMs + timing.workerLeaseMs + timing.maxHeartbeatIntervalMs
    : timing.silenceTimeoutMs;
}

/**
 * Whether a machine that never reported has held tasks of ended jobs for too long. Each failover restarts the
 * wait for heartbeats, but the tasks of a cancelled job must still end within their time limit.
 */
function holdsEndedWorkTooLong(
  { state, health }: DetectionPass,
  machine: Machine,
  silentMs: number,
): boolean {
  return (
    !health.partitionedZones.has(machine.zone) &&
    !health.isMassNeverReported &&
    silentMs > state.config.timing.shortSilenceTimeoutMs &&
    hasEndedWork(machine)
  );
}

function hasFailedToBoot({ state, now }: DetectionPass, machine: Machine, silentMs: number): boolean {
  const bootMs = (state.machineTypes.get(machine.type)?.bootS ?? DEFAULT_BOOT_S) * 1000;
  return (
    now.monotonicMs - machine.provisionedAt > MAX_BOOT_FACTOR * bootMs &&
    silentMs > state.config.timing.silenceTimeoutMs
  );
}

/** The reason to terminate a machine that has never reported to this leader; null if there is none. */
function checkNeverReported(pass: DetectionPass, machine: Machine): TerminationReason | null {
  const { state, now, health } = pass;
  const { lastContactElsewhereAt } = machine;
  if (
    lastContactElsewhereAt !== null &&
    now.monotonicMs - lastContactElsewhereAt < state.config.timing.silenceTimeoutMs
  )
    return null;
  const zoneSilentSince = health.partitionedZones.has(machine.zone)
    ? state.silentZones.get(machine.zone)
    : undefined;
  const silentMs = now.monotonicMs - Math.min(machine.discoveredAt, zoneSilentSince ?? Infinity);
  const shouldBeUp = machine.cloudStage === 'running' || machine.claims.size > 0;
  if (!shouldBeUp) return hasFailedToBoot(pass, machine, silentMs) ? TerminationReason.neverBooted : null;
  const isTimedOut =
    silentMs > neverReportedTimeoutMs(pass, machine, silentMs) ||
    holdsEndedWorkTooLong(pass, machine, silentMs);
  return isTimedOut ? TerminationReason.neverReported : null;
}

/**
 * Longest silence of a machine that has reported before, in milliseconds. `hangs`: it accepts connections, so it gets
 * the longer timeout if waiting is worthwhile.
 */
function silenceTimeoutMs(pass: DetectionPass, machine: Machine, silentMs: number, hangs: boolean): number {
  const { state, now, health } = pass;
  const { timing } = state.config;
  if (health.partitionedZones.has(machine.zone)) return partitionTimeoutMs(pass, machine, silentMs);
  if (hangs && isWorthWaiting(state, machine, timing.silenceTimeoutMs - silentMs, now))
    return timing.silenceTimeoutMs;
  return health.isMassSilence ? timing.silenceTimeoutMs : timing.shortSilenceTimeoutMs;
}

/** The reason to terminate a machine that has reported before and is silent now; null if there is none. */
function checkSilence(pass: DetectionPass, machine: Machine, silentMs: number): TerminationReason | null {
  const { state, now } = pass;
  const hangs = isHanging(state, machine, now);
  if (silentMs > silenceTimeoutMs(pass, machine, silentMs, hangs))
    return hangs ? TerminationReason.hanging : TerminationReason.silent;
  const isOverEndedLimit = silentMs > ENDED_WORK_TIMEOUT_SHARE * state.config.timing.silenceTimeoutMs;
  return isOverEndedLimit && hasEndedWork(machine) ? TerminationReason.silentWithEndedWork : null;
}

/** The reason to terminate a machine; null if there is none. Also evicts tasks before the cloud reclaims it. */
function checkMachine(pass: DetectionPass, machine: Machine): TerminationReason | null {
  const { state, now } = pass;
  if (isUnreachable(machine)) return TerminationReason.unreachable;
  if (machine.lastHeartbeatAt === null) return checkNeverReported(pass, machine);
  const silentMs = now.monotonicMs - Math.max(machine.lastHeartbeatAt, machine.lastContactElsewhereAt ?? 0);
  if (machine.reclaimedAt !== null) {
    const goneAfterMs = RECLAIMED_SILENCE_INTERVALS * state.config.timing.maxHeartbeatIntervalMs;
    if (now.monotonicMs > machine.reclaimedAt && silentMs > goneAfterMs) return TerminationReason.reclaimed;
    evictBeforeReclaim(state, machine, machine.reclaimedAt, now);
  }
  if (!pass.isMassUnresponsive && isUnresponsive(state, machine, now)) return TerminationReason.unresponsive;
  return checkSilence(pass, machine, silentMs);
}

/**
 * Marks machines for termination that are silent, unreachable or unresponsive, failed to boot, were reclaimed, or
 * hold tasks of ended jobs without contact. Probes machines whose heartbeat is overdue.
 */
export function detectFailures(state: CoreState, now: Now, effects: Effect[]): void {
  const pass: DetectionPass = {
    state,
    now,
    health: summarizeHealth(state, now),
    isMassUnresponsive: isMassUnresponsive(state),
  };
  for (const machine of state.machines.values()) {
    if (machine.terminationReason !== null) continue;
    probeIfOverdue(state, machine, pass.health.reachableZones, now, effects);
    const reason = checkMachine(pass, machine);
    if (reason !== null) markForTermination(machine, reason);
  }
}
