/**
 * Probes: connection attempts to machines whose heartbeat is overdue. A machine that accepts no connection while most
 * machines of its zone report counts as dead: its tasks need not wait for as long as a worker without contact to its
 * controller may take to find another one.
 */
import type { Effect } from '../effects.js';
import type { Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';

/** Consecutive failed probes after which a machine counts as unreachable; a single probe may fail by chance. */
const MIN_FAILED_PROBES = 2;
/** A heartbeat is overdue after this many maximum heartbeat intervals. */
const OVERDUE_INTERVALS = 1.25;
/** After a successful probe, a machine counts as reachable for this many maximum heartbeat intervals. */
const REACHABLE_INTERVALS = 2;

const isOverdue = (state: CoreState, machine: Machine, now: Now): boolean =>
  now.monotonicMs -
    Math.max(machine.lastHeartbeatAt ?? machine.discoveredAt, machine.lastContactElsewhereAt ?? 0) >
  OVERDUE_INTERVALS * state.config.timing.maxHeartbeatIntervalMs;

/** Whether a machine should be up and sending heartbeats: it has sent one, or holds claims. */
export const isExpectedToReport = ({ terminationReason, lastHeartbeatAt, claims }: Machine): boolean =>
  terminationReason === null && (lastHeartbeatAt !== null || claims.size > 0);

/** Whether a machine's heartbeat is overdue, and no probe of it is in flight or has recently succeeded. */
function needsProbe(state: CoreState, machine: Machine, now: Now): boolean {
  return (
    !machine.isProbing &&
    (machine.lastReachableAt === null ||
      now.monotonicMs - machine.lastReachableAt > state.config.timing.maxHeartbeatIntervalMs) &&
    machine.address !== '' &&
    isExpectedToReport(machine) &&
    isOverdue(state, machine, now)
  );
}

/** Probes a machine whose heartbeat is overdue, if its zone is among the reachable ones. */
export function probeIfOverdue(
  state: CoreState,
  machine: Machine,
  reachableZones: ReadonlySet<string>,
  now: Now,
  effects: Effect[],
): void {
  // A network partition would explain the failed probes: they must not count against the machine when it ends.
  if (!reachableZones.has(machine.zone)) {
    machine.failedProbes = 0;
  } else if (needsProbe(state, machine, now)) {
    machine.isProbing = true;
    effects.push({ kind: 'probe', machine: machine.name, address: machine.address });
  }
}

/**
 * Records a probe's result. `isReachable`: whether the machine accepted the connection; null if the probe was
 * inconclusive.
 */
export function settleProbe(state: CoreState, name: string, isReachable: boolean | null, now: Now): void {
  const machine = state.machines.get(name);
  if (machine === undefined) return;
  machine.isProbing = false;
  if (isReachable === true) {
    machine.failedProbes = 0;
    machine.lastReachableAt = now.monotonicMs;
  } else if (isReachable === false && isOverdue(state, machine, now)) {
    // A heartbeat that arrived since the probe was sent, directly or through a follower, makes the failure void.
    machine.failedProbes += 1;
  }
}

/** Whether a machine recently accepted a probe: its worker then hangs, or sends heartbeats to another controller. */
export const isHanging = (state: CoreState, { lastReachableAt }: Machine, now: Now): boolean =>
  lastReachableAt !== null &&
  now.monotonicMs - lastReachableAt < REACHABLE_INTERVALS * state.config.timing.maxHeartbeatIntervalMs;

/** Whether enough consecutive probes of a machine have failed for it to count as dead. */
export const isUnreachable = (machine: Machine): boolean => machine.failedProbes >= MIN_FAILED_PROBES;
