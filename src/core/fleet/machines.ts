/** Registry of machines: creates their records, marks them for termination, and checks if they may get tasks. */
import { noResources } from '../placement/resources.js';
import type { Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { TerminationReason } from './termination-reasons.js';

/** A machine without heartbeats for this many maximum heartbeat intervals gets no new tasks. */
const MAX_HEARTBEAT_AGE_INTERVALS = 2;

function createMachine(name: string, discoveryOrder: number, now: Now): Machine {
  return {
    name,
    address: '',
    type: '',
    zone: '',
    spot: true,
    provisionedAt: now.monotonicMs,
    agentEpoch: 0,
    heartbeatSequence: 0,
    lastHeartbeatAt: null,
    firstHeartbeatAt: null,
    lastAnsweredAt: null,
    unacknowledgedStarts: [],
    unresponsiveSince: null,
    missedResponses: 0,
    lastContactElsewhereAt: null,
    leaseExpired: false,
    discoveredAt: now.monotonicMs,
    isReconciled: false,
    reclaimedAt: null,
    cloudStage: null,
    claims: new Map(),
    allocated: noResources(),
    unclaimedHeartbeatBytes: 0,
    discoveryOrder,
    exits: new Map(),
    reportedTasks: [],
    cachedImages: new Map(),
    idleSince: now.monotonicMs,
    failedJobs: new Set(),
    terminationReason: null,
    terminationRequestedAt: null,
    pendingHeartbeat: null,
    tokenSentAt: null,
    isProbing: false,
    failedProbes: 0,
    lastReachableAt: null,
  };
}

/** The record of the machine with this name; an empty one is registered if there is none. */
export function getOrCreateMachine(state: CoreState, name: string, now: Now): Machine {
  const known = state.machines.get(name);
  if (known !== undefined) return known;
  const machine = createMachine(name, state.nextDiscoveryOrder++, now);
  state.machines.set(name, machine);
  return machine;
}

/** Marks a machine for termination, after which it gets no new tasks. If it is marked already, its reason stays. */
export function markForTermination(machine: Machine, reason: TerminationReason): void {
  machine.terminationReason ??= reason;
}

/** Whether new tasks may be placed on a machine now. */
export function isSchedulable(state: CoreState, machine: Machine, now: Now): boolean {
  return (
    machine.isReconciled &&
    machine.terminationReason === null &&
    machine.unresponsiveSince === null &&
    machine.reclaimedAt === null &&
    machine.lastHeartbeatAt !== null &&
    now.monotonicMs - machine.lastHeartbeatAt <
      MAX_HEARTBEAT_AGE_INTERVALS * state.config.timing.maxHeartbeatIntervalMs &&
    state.machineTypes.has(machine.type)
  );
}
