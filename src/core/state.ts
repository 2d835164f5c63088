/** The leader's whole knowledge, owned by one owner and changed only by `step`. */
import type { CapacityIndex } from './placement/capacity-index.js';
import type { MachineType, Priority } from './types.js';
import type {
  CommitInFlight,
  Demand,
  Final,
  Head,
  Hearing,
  JobState,
  Layout,
  Leadership,
  LiveClaim,
  Machine,
  Rental,
  Rules,
  Standing,
  TeamUse,
  WriteReason,
} from './model.js';

/**
 * Whether a leader's view is fresh enough to act on. What one that is cut off asks for at the cloud may
 * be carried out much later, on machines that its successor uses: a fleet lost a third of its live
 * machines to the returns that a cut had held back. And what it would start may have been cancelled.
 */
export function mayAct(state: CoreState): boolean {
  const lead = state.leadership;
  return lead !== null && state.mono - lead.provenAt < state.rules.timing.leaderLease;
}

export interface CoreState {
  readonly node: string;
  readonly rules: Rules;
  /** Follows what every controller can read. */
  layout: Layout;
  /** Tasks of a chunk whose key tells no width. */
  wide: number;
  /** The layout to change to, once no write is under way. */
  adopting: Layout | null;
  leadership: Leadership | null;
  types: ReadonlyMap<string, MachineType>;
  readonly jobs: Map<string, JobState>;
  readonly machines: Map<string, Machine>;
  /** Machines whose report waits for an answer. */
  readonly held: Set<Machine>;
  /** Machines to which there may be something to say, and those that came to be so in this step. */
  readonly attention: Set<Machine>;
  readonly newAttention: string[];
  /** Of these, those whose report came in with this step. */
  readonly answerable: Machine[];
  /** Jobs of which something may have to be written, by what for; those waiting longest first. */
  readonly dirtyJobs: Readonly<Record<WriteReason, Set<JobState>>>;
  /** Steady time of this step. */
  mono: number;
  /** Jobs with tasks that wait for a machine, and those that came to have some since the last look. */
  readonly waiting: Set<JobState>;
  readonly joined: JobState[];
  /** The order in which waiting jobs are served, as of the latest tick, with those that joined since. */
  queue: Standing[];
  /** Jobs whose wait nears the bound, and those within their team's guarantee, as of the latest tick. */
  promised: readonly JobState[];
  readonly guaranteed: Set<JobState>;
  /** Tasks out, by the priority that their jobs were submitted with; those being stopped to make room. */
  readonly out: ReadonlyMap<Priority, Set<LiveClaim>>;
  readonly halting: Set<LiveClaim>;
  /** Tasks out or waiting, by class. */
  readonly present: Map<string, number>;
  /** What every team's tasks use that are not proven gone. */
  readonly use: Map<string, TeamUse>;
  /** Machines that hold an image, by image. */
  readonly holders: Map<string, Set<Machine>>;
  /** Machines of which something has changed that placing goes by. */
  readonly touched: Set<Machine>;
  readonly capacityIndex: CapacityIndex;
  /** Machines that have reported since the latest tick without being known. */
  readonly unexpected: string[];
  nextMachine: number;
  /** Machines given back, by name, oldest first; bounded. */
  readonly gone: Set<string>;
  readonly rentals: Map<string, Rental>;
  /** Until when a kind of machine is not asked for again, by `type/zone/spot`. */
  readonly refusedUntil: Map<string, number>;
  /** Jobs that wait, by each job that they wait for. */
  readonly dependents: Map<string, Set<JobState>>;
  /** How jobs ended, as read from or written to the state service; bounded. */
  readonly finals: Map<string, Final>;
  /** Awaited jobs whose end has to be read: since when that is so, and when to ask (again). */
  readonly unresolved: Map<string, { readonly since: number; notBefore: number }>;
  asking: readonly string[] | null;
  /** Jobs to be withdrawn because one that they need was, and since when. */
  readonly doomed: Map<JobState, number>;
  /** Each job's changes are written by themselves: some of them were refused for good. */
  lone: boolean;
  /** Changes that may be written now, as of `at`. */
  readonly budget: { level: number; at: number };
  nextRequest: number;
  rentNotBefore: number;
  commit: CommitInFlight | null;
  recheck: readonly string[] | null;
  commitNotBefore: number;
  nextCommit: number;
  /** Tasks that may be placed before the next tick though they could wait. */
  unhurried: number;
  placeDirty: boolean;
  /** Steady time of the latest pass over the queue. */
  placedAt: number;
  planAt: number;
  rememberAt: number;
  head: Head | null;
  /** Run time over estimate, by class, as completed tasks show it. */
  readonly runRatio: Map<string, number>;
  readonly demand: Map<string, Demand>;
  /** Zones of which nobody is heard, and the steady time since which that is so, as far as known. */
  readonly quiet: Map<string, number>;
  /** It is behind its timers, as of the latest tick. */
  busy: boolean;
  /** How the leader hears its machines, as of the latest tick. */
  hearing: Hearing | null;
  /** Machines that the latest plan puts waiting tasks, or room kept ready, on. */
  readonly inPlan: Set<string>;
}
