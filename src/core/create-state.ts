/** The scheduling state of a controller as it begins, and as it is after leading. */
import { CapacityIndex } from './placement/capacity-index.js';
import type { CoreState } from './state.js';
import type { Priority } from './types.js';
import type { LiveClaim, CoreConfig } from './model.js';

const PRIORITIES: readonly Priority[] = [0, 1, 2, 3];

/** The state of a controller that knows nothing yet. `node`: its name, which request ids carry. */
export function createState(node: string, config: CoreConfig): CoreState {
  return {
    node,
    config,
    layout: config.initialLayout,
    legacyChunkTasks: config.initialLayout.tasksPerChunk,
    pendingLayout: null,
    leadership: null,
    machineTypes: new Map(),
    jobs: new Map(),
    machines: new Map(),
    pendingHeartbeats: new Set(),
    attention: new Set(),
    newAttention: [],
    dirtyJobs: { start: new Set(), end: new Set(), exit: new Set(), clean: new Set() },
    monotonicMs: 0,
    answerable: [],
    waitingJobs: new Set(),
    newlyWaitingJobs: [],
    queue: [],
    reservedJobs: [],
    guaranteedJobs: new Set(),
    claimsByPriority: new Map(PRIORITIES.map((priority) => [priority, new Set<LiveClaim>()])),
    preemptedClaims: new Set(),
    outstandingByClass: new Map(),
    usageByTeam: new Map(),
    machinesByImage: new Map(),
    changedMachines: new Set(),
    capacityIndex: new CapacityIndex(),
    unexpected: [],
    nextMachine: 0,
    terminatedMachines: new Set(),
    provisioningRequests: new Map(),
    provisioningBlockedUntil: new Map(),
    dependents: new Map(),
    finalOutcomes: new Map(),
    unresolvedDependencies: new Map(),
    pendingDependencyQuery: null,
    cancelPending: new Map(),
    writesJobsSingly: false,
    writeBudget: { level: 0, at: 0 },
    nextRequest: 1,
    provisionNotBefore: 0,
    commit: null,
    pendingReconciliation: null,
    commitNotBefore: 0,
    nextCommit: 1,
    deferrablePlacements: Infinity,
    isPlacementDue: false,
    lastPlacementAt: 0,
    nextPlanAt: 0,
    nextDemandSaveAt: 0,
    head: null,
    runTimeRatio: new Map(),
    demand: new Map(),
    silentZones: new Map(),
    isOverloaded: false,
    health: null,
    plannedMachines: new Set(),
  };
}

/**
 * Drops everything a leader knew. Kept is what does not depend on who leads: machine types, how jobs ended,
 * run-time ratios, and counters that must not go back.
 */
export function forgetLeadership(state: CoreState): void {
  state.leadership = null;
  state.jobs.clear();
  state.machines.clear();
  state.pendingHeartbeats.clear();
  state.attention.clear();
  state.newAttention.length = 0;
  for (const jobs of Object.values(state.dirtyJobs)) jobs.clear();
  state.answerable.length = 0;
  state.waitingJobs.clear();
  state.newlyWaitingJobs.length = 0;
  state.queue = [];
  state.reservedJobs = [];
  state.guaranteedJobs.clear();
  for (const claims of state.claimsByPriority.values()) claims.clear();
  state.preemptedClaims.clear();
  state.outstandingByClass.clear();
  state.usageByTeam.clear();
  state.machinesByImage.clear();
  state.changedMachines.clear();
  state.capacityIndex.clear();
  state.unexpected.length = 0;
  state.terminatedMachines.clear();
  state.provisioningRequests.clear();
  state.provisioningBlockedUntil.clear();
  state.dependents.clear();
  state.unresolvedDependencies.clear();
  state.pendingDependencyQuery = null;
  state.cancelPending.clear();
  state.pendingLayout = null;
  state.writesJobsSingly = false;
  state.commit = null;
  state.pendingReconciliation = null;
  state.commitNotBefore = 0;
  state.head = null;
  state.demand.clear();
  state.silentZones.clear();
  state.health = null;
  state.plannedMachines.clear();
  state.nextPlanAt = 0;
}
