/** Creates the scheduling state of a controller, and clears it when a leadership begins or ends. */
import { CapacityIndex } from './placement/capacity-index.js';
import type { CoreState } from './state.js';
import type { Priority } from './types.js';
import type { LiveClaim, CoreConfig } from './model.js';

const PRIORITIES: readonly Priority[] = [0, 1, 2, 3];

/** The initial state of a controller. `node`: the name of its node. */
export const createState = (node: string, config: CoreConfig): CoreState => ({
  node,
  config,
  monotonicMs: 0,
  leadership: null,
  startFence: 0,
  machineTypes: new Map(),
  jobs: new Map(),
  machines: new Map(),
  nextDiscoveryOrder: 0,
  terminatedMachines: new Set(),
  finalOutcomes: new Map(),
  pendingHeartbeats: new Set(),
  answerCandidates: [],
  attention: new Set(),
  newAttentionNames: [],
  unexpectedMachines: [],
  silentZones: new Map(),
  isOverloaded: false,
  health: null,
  layout: config.initialLayout,
  legacyChunkTasks: config.initialLayout.tasksPerChunk,
  pendingLayout: null,
  dirtyJobs: { start: new Set(), end: new Set(), exit: new Set(), clean: new Set() },
  commit: null,
  nextCommitId: 1,
  commitNotBefore: 0,
  pendingReconciliation: null,
  writesJobsSingly: false,
  writeBudget: { level: 0, at: 0 },
  dependents: new Map(),
  unresolvedDependencies: new Map(),
  pendingDependencyQuery: null,
  cancelPending: new Map(),
  waitingJobs: new Set(),
  newlyWaitingJobs: [],
  queue: [],
  reservedJobs: [],
  guaranteedJobs: new Set(),
  headReservation: null,
  isPlacementDue: false,
  lastPlacementAt: 0,
  deferrablePlacements: Infinity,
  claimsByPriority: new Map(PRIORITIES.map((priority) => [priority, new Set<LiveClaim>()])),
  preemptedClaims: new Set(),
  outstandingByClass: new Map(),
  usageByTeam: new Map(),
  machinesByImage: new Map(),
  changedMachines: new Set(),
  capacityIndex: new CapacityIndex(),
  provisioningRequests: new Map(),
  nextRequestNumber: 1,
  provisionNotBefore: 0,
  provisioningBlockedUntil: new Map(),
  nextPlanAt: 0,
  plannedMachines: new Set(),
  demand: new Map(),
  runTimeRatio: new Map(),
  nextDemandSaveAt: 0,
});

/**
 * Drops the state of a leadership. State that does not depend on which controller leads is kept: machine types,
 * outcomes of jobs, run-time ratios, the start fence, and counters that must not decrease.
 */
export function forgetLeadership(state: CoreState): void {
  state.leadership = null;
  state.jobs.clear();
  state.machines.clear();
  state.terminatedMachines.clear();
  state.pendingHeartbeats.clear();
  state.answerCandidates.length = 0;
  state.attention.clear();
  state.newAttentionNames.length = 0;
  state.unexpectedMachines.length = 0;
  state.silentZones.clear();
  state.health = null;
  state.pendingLayout = null;
  for (const jobs of Object.values(state.dirtyJobs)) jobs.clear();
  state.commit = null;
  state.commitNotBefore = 0;
  state.pendingReconciliation = null;
  state.writesJobsSingly = false;
  state.dependents.clear();
  state.unresolvedDependencies.clear();
  state.pendingDependencyQuery = null;
  state.cancelPending.clear();
  state.waitingJobs.clear();
  state.newlyWaitingJobs.length = 0;
  state.queue = [];
  state.reservedJobs = [];
  state.guaranteedJobs.clear();
  state.headReservation = null;
  for (const claims of state.claimsByPriority.values()) claims.clear();
  state.preemptedClaims.clear();
  state.outstandingByClass.clear();
  state.usageByTeam.clear();
  state.machinesByImage.clear();
  state.changedMachines.clear();
  state.capacityIndex.clear();
  state.provisioningRequests.clear();
  state.provisioningBlockedUntil.clear();
  state.nextPlanAt = 0;
  state.plannedMachines.clear();
  state.demand.clear();
}
