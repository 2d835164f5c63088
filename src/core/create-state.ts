/** A controller's knowledge as it begins, and as it is after leading. */
import { CapacityIndex } from './placement/capacity-index.js';
import type { CoreState } from './state.js';
import type { Priority } from './types.js';
import type { LiveClaim, Rules } from './model.js';

const PRIORITIES: readonly Priority[] = [0, 1, 2, 3];

export function createState(node: string, rules: Rules): CoreState {
  return {
    node,
    rules,
    layout: rules.firstLayout,
    wide: rules.firstLayout.tasks,
    adopting: null,
    leadership: null,
    types: new Map(),
    jobs: new Map(),
    machines: new Map(),
    held: new Set(),
    attention: new Set(),
    newAttention: [],
    dirtyJobs: { start: new Set(), end: new Set(), exit: new Set(), clean: new Set() },
    mono: 0,
    answerable: [],
    waiting: new Set(),
    joined: [],
    queue: [],
    promised: [],
    guaranteed: new Set(),
    out: new Map(PRIORITIES.map((priority) => [priority, new Set<LiveClaim>()])),
    halting: new Set(),
    present: new Map(),
    use: new Map(),
    holders: new Map(),
    touched: new Set(),
    capacityIndex: new CapacityIndex(),
    unexpected: [],
    nextMachine: 0,
    gone: new Set(),
    rentals: new Map(),
    refusedUntil: new Map(),
    dependents: new Map(),
    finals: new Map(),
    unresolved: new Map(),
    asking: null,
    doomed: new Map(),
    lone: false,
    budget: { level: 0, at: 0 },
    nextRequest: 1,
    rentNotBefore: 0,
    commit: null,
    recheck: null,
    commitNotBefore: 0,
    nextCommit: 1,
    unhurried: Infinity,
    placeDirty: false,
    placedAt: 0,
    planAt: 0,
    rememberAt: 0,
    head: null,
    runRatio: new Map(),
    demand: new Map(),
    quiet: new Map(),
    busy: false,
    hearing: null,
    inPlan: new Set(),
  };
}

/** Forgets everything a leader knew; machine types are nobody's secret. */
export function forgetLeadership(state: CoreState): void {
  state.leadership = null;
  state.jobs.clear();
  state.machines.clear();
  state.held.clear();
  state.attention.clear();
  state.newAttention.length = 0;
  for (const jobs of Object.values(state.dirtyJobs)) jobs.clear();
  state.answerable.length = 0;
  state.waiting.clear();
  state.joined.length = 0;
  state.queue = [];
  state.promised = [];
  state.guaranteed.clear();
  for (const claims of state.out.values()) claims.clear();
  state.halting.clear();
  state.present.clear();
  state.use.clear();
  state.holders.clear();
  state.touched.clear();
  state.capacityIndex.clear();
  state.unexpected.length = 0;
  state.gone.clear();
  state.rentals.clear();
  state.refusedUntil.clear();
  state.dependents.clear();
  state.unresolved.clear();
  state.asking = null;
  state.doomed.clear();
  state.adopting = null;
  state.lone = false;
  state.commit = null;
  state.recheck = null;
  state.commitNotBefore = 0;
  state.head = null;
  state.demand.clear();
  state.quiet.clear();
  state.hearing = null;
  state.inPlan.clear();
  state.planAt = 0;
}
