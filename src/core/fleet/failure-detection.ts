/**
 * Failure detection: which machines are given up, and after how long a silence. A machine whose silence has a
 * common cause with that of others (a network partition, a fault of this node) is given more time, for all of
 * them would have to boot anew.
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

/** Worker leases that a machine of a partitioned zone may be silent for, at most. */
const MAX_PARTITION_LEASES = 3;
/** Boot times after which a machine that never reported has failed to boot. */
const MAX_BOOT_FACTOR = 3;
/** Boot time of a machine of unknown type, in seconds. */
const DEFAULT_BOOT_S = 60;
/** Intervals of silence after which a machine past its termination notice is gone. */
const RECLAIMED_SILENCE_INTERVALS = 1.5;
/** Share of the silence timeout after which a machine that holds tasks of ended jobs is given up. */
const ENDED_WORK_TIMEOUT_SHARE = 0.5;

/** What one pass over the machines goes by. */
interface DetectionPass {
  readonly state: CoreState;
  readonly now: Now;
  readonly health: HealthSummary;
  readonly isMassUnresponsive: boolean;
}

/** Whether some task on a machine loses an objective if it waits for `waitMs` more. */
function losesByWaiting(state: CoreState, machine: Machine, waitMs: number, now: Now): boolean {
  for (const { job } of machine.claims.values())
    if (job.finalStage === null && losesObjectiveWithin(state, job, waitMs, now)) return true;
  return false;
}

/**
 * Whether most tasks of a hanging machine gain by waiting rather than running again now. Its host accepts
 * connections, so the worker may go on at any moment within its lease.
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
 * Milliseconds that a machine of a partitioned zone may be silent. It probably comes back; but once its lease
 * must have expired and no follower relays it either, tasks that would lose an objective need not wait. A
 * leader without contact to any machine presumes that the fault is its own, and waits for all.
 */
function partitionTimeoutMs(pass: DetectionPass, machine: Machine, silentMs: number): number {
  const { state, now, health } = pass;
  const { silenceTimeoutMs, workerLeaseMs } = state.config.timing;
  const longestMs = MAX_PARTITION_LEASES * workerLeaseMs;
  const isGivenUpEarly =
    !health.hearsNobody &&
    silentMs > silenceTimeoutMs &&
    losesByWaiting(state, machine, longestMs - silentMs, now);
  return isGivenUpEarly ? silenceTimeoutMs : longestMs;
}

/**
 * Milliseconds that a machine which never reported to this leader may be silent. Many of them are one event:
 * the previous leader, partitioned but within its authority, may hold them alive. A machine without
 * tasks loses nothing by being given up, and may be a stale entry of the cloud's list.
 */
function neverReportedTimeoutMs(pass: DetectionPass, machine: Machine, silentMs: number): number {
  const { state, health } = pass;
  const { timing } = state.config;
  if (health.partitionedZones.has(machine.zone)) return partitionTimeoutMs(pass, machine, silentMs);
  const mayBeHeldElsewhere =
    health.isMassNeverReported && machine.cloudStage === 'running' && machine.claims.size > 0;
  return mayBeHeldElsewhere
    ? timing.authorityWindowMs + timing.workerLeaseMs + timing.maxHeartbeatIntervalMs
    : timing.silenceTimeoutMs;
}

/**
 * Whether a machine that never reported holds tasks of ended jobs for too long. Each failover begins the wait
 * for heartbeats anew, and cancelled work must end within its limit all the same.
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

/** Why a machine that has never reported to this leader is given up; null: it is not. */
function checkNeverReported(pass: DetectionPass, machine: Machine): TerminationReason | null {
  const { state, now, health } = pass;
  const { lastRelayedAt } = machine;
  if (lastRelayedAt !== null && now.monotonicMs - lastRelayedAt < state.config.timing.silenceTimeoutMs)
    return null;
  const zoneSilentSince = health.partitionedZones.has(machine.zone)
    ? state.silentZones.get(machine.zone)
    : undefined;
  const silentMs = now.monotonicMs - Math.min(machine.discoveredAt, zoneSilentSince ?? Infinity);
  const shouldBeUp = machine.cloudStage === 'running' || machine.claims.size > 0;
  if (!shouldBeUp) return hasFailedToBoot(pass, machine, silentMs) ? TerminationReason.neverBooted : null;
  const isGivenUp =
    silentMs > neverReportedTimeoutMs(pass, machine, silentMs) ||
    holdsEndedWorkTooLong(pass, machine, silentMs);
  return isGivenUp ? TerminationReason.neverReported : null;
}

/** Milliseconds that a machine which has reported before may be silent. */
function silenceTimeoutMs(pass: DetectionPass, machine: Machine, silentMs: number, hangs: boolean): number {
  const { state, now, health } = pass;
  const { timing } = state.config;
  if (health.partitionedZones.has(machine.zone)) return partitionTimeoutMs(pass, machine, silentMs);
  if (hangs && isWorthWaiting(state, machine, timing.silenceTimeoutMs - silentMs, now))
    return timing.silenceTimeoutMs;
  return health.isMassSilence ? timing.silenceTimeoutMs : timing.shortSilenceTimeoutMs;
}

/** Why a machine that has reported before is given up for its silence; null: it is not. */
function checkSilence(pass: DetectionPass, machine: Machine, silentMs: number): TerminationReason | null {
  const { state, now } = pass;
  const hangs = isHanging(state, machine, now);
  if (silentMs > silenceTimeoutMs(pass, machine, silentMs, hangs))
    return hangs ? TerminationReason.hanging : TerminationReason.silent;
  const isOverEndedLimit = silentMs > ENDED_WORK_TIMEOUT_SHARE * state.config.timing.silenceTimeoutMs;
  return isOverEndedLimit && hasEndedWork(machine) ? TerminationReason.silentWithEndedWork : null;
}

/** Why a machine is given up; null: it is not. Tasks are evicted from one that the cloud reclaims. */
function checkMachine(pass: DetectionPass, machine: Machine): TerminationReason | null {
  const { state, now } = pass;
  if (isUnreachable(machine)) return TerminationReason.unreachable;
  if (machine.lastHeartbeatAt === null) return checkNeverReported(pass, machine);
  const silentMs = now.monotonicMs - Math.max(machine.lastHeartbeatAt, machine.lastRelayedAt ?? 0);
  if (machine.reclaimedAt !== null) {
    const goneAfterMs = RECLAIMED_SILENCE_INTERVALS * state.config.timing.maxHeartbeatIntervalMs;
    if (now.monotonicMs > machine.reclaimedAt && silentMs > goneAfterMs) return TerminationReason.reclaimed;
    evictBeforeReclaim(state, machine, machine.reclaimedAt, now);
  }
  if (!pass.isMassUnresponsive && isUnresponsive(state, machine, now)) return TerminationReason.unresponsive;
  return checkSilence(pass, machine, silentMs);
}

/**
 * Marks machines for termination that are silent, unreachable or unresponsive, never came up, or hold
 * cancelled work without contact; probes those whose heartbeat is overdue.
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
