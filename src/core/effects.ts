/** The inputs of `step`, the commands, and its outputs, the effects. */
import type { Keepalive } from './fleet/keepalives.js';
import type { StartLease } from './fleet/start-lease.js';
import type { ChunkName, ClassDemandRecord } from './persistence/records.js';
import type { RecordLayout } from './model.js';
import type {
  Versioned,
  ChunkRecord,
  JobSpec,
  ListedMachine,
  MachineType,
  Heartbeat,
  WorkerCommand,
  EndedRecord,
  Transaction,
} from './types.js';

/** A chunk record that a new leader has read from the key-value store. */
export interface LoadedChunk {
  /** Id of the job that the chunk belongs to. */
  readonly job: string;
  readonly name: ChunkName;
  readonly record: Versioned<ChunkRecord>;
}

/** The outcome of a transaction. */
export type CommitOutcome =
  /** All mutations are stored, at this revision. */
  | { readonly kind: 'applied'; readonly revision: number }
  /** Nothing is stored: the preconditions on these keys did not hold. */
  | { readonly kind: 'failed'; readonly keys: readonly string[] }
  /** Nothing is stored: the key-value store, or this controller's own request limits, did not admit it now. */
  | { readonly kind: 'refused' }
  /** Nothing is stored, and a retry would fail too: it is too large, malformed, or names an expired lease. */
  | { readonly kind: 'rejected' }
  /** No answer was received: the transaction may have been applied, or may still be. */
  | { readonly kind: 'unknown' };

/** The records that a reconciliation has read. */
export interface ReconciledRecords {
  /** By job id: whether the record of the live job exists, and the record of its end; null: none was found. */
  readonly jobs: ReadonlyMap<string, { readonly live: boolean; readonly ended: EndedRecord | null }>;
  /** Revisions by key; a key that does not exist is left out. */
  readonly chunks: ReadonlyMap<string, number>;
}

/** An input of `step`. Times named `…At` and `since` are in milliseconds of the monotonic clock. */
export type Command =
  /**
   * A periodic timer tick. `isStalled`: this process was paused and has not caught up, so no failure is inferred.
   * `isOverloaded`: its timers run late, so work that can wait is skipped.
   */
  | { readonly kind: 'tick'; readonly isStalled?: boolean; readonly isOverloaded?: boolean }
  /** The leadership is being transferred: placement, scaling and failure detection stop. */
  | { readonly kind: 'transferLeadership' }
  /**
   * A heartbeat whose sender waits for the reply with the id `reply`. `ageMs`: milliseconds since its arrival at the
   * follower that forwarded it; absent: 0.
   */
  | {
      readonly kind: 'heartbeat';
      readonly reply: number;
      readonly heartbeat: Heartbeat;
      readonly ageMs?: number;
    }
  /** The heartbeat with which a worker answered a direct call. */
  | { readonly kind: 'directAnswer'; readonly heartbeat: Heartbeat }
  /** Whether a probe reached a machine; null: the probe could not tell. */
  | { readonly kind: 'probed'; readonly machine: string; readonly isReachable: boolean | null }
  /** This controller has been elected and has read the committed records. */
  | {
      readonly kind: 'becomeLeader';
      readonly term: number;
      /** Revision of the term record. */
      readonly modRevision: number;
      /** Time at which the read of the jobs was sent. */
      readonly viewConfirmedAt: number;
      /** Revision as of which the jobs were read; absent: not known. */
      readonly viewRevision?: number;
      readonly layout: RecordLayout;
      /** Number of tasks in a chunk whose key does not contain the chunk width. */
      readonly legacyChunkTasks: number;
      readonly jobs: readonly Versioned<JobSpec>[];
      readonly chunks: readonly LoadedChunk[];
      readonly demandHistory: readonly ClassDemandRecord[];
      /** Zones that earlier leaders found partitioned, and since when they have been silent. */
      readonly silentZones?: ReadonlyMap<string, number>;
      /** The previous leader may be alive, partitioned from the key-value store and still answering workers. */
      readonly previousLeaderMayBeAlive?: boolean;
    }
  /** These heartbeats reported no change, and followers have answered them in the leader's place. */
  | { readonly kind: 'keepalives'; readonly keepalives: readonly Keepalive[] }
  /**
   * A follower that answers workers for an unreachable leader had contact with these machines, `ageMs` milliseconds
   * ago.
   */
  | { readonly kind: 'machinesRelayed'; readonly machines: readonly string[]; readonly ageMs: number }
  /** Ends this controller's leadership, for this reason. */
  | { readonly kind: 'resign'; readonly reason: string }
  /** A peer has reported this fencing token; a leader with a lower one resigns. */
  | { readonly kind: 'higherTokenSeen'; readonly token: number }
  /**
   * A read sent at this time has confirmed that the leader's view of the jobs is current. `revision`: up to which the
   * view is now complete; absent: not known.
   */
  | { readonly kind: 'viewConfirmed'; readonly sentAt: number; readonly revision?: number }
  /** No start may leave this controller on a view that does not cover this revision; answered by `startsFenced`. */
  | { readonly kind: 'fenceStarts'; readonly revision: number }
  /** A job has been accepted. */
  | { readonly kind: 'jobAdded'; readonly job: Versioned<JobSpec> }
  /** The record of a live job has been removed: the job has ended. */
  | { readonly kind: 'jobRemoved'; readonly id: string }
  /** The complete list of live jobs as of the revision; it replaces the earlier view. */
  | { readonly kind: 'jobsReplaced'; readonly jobs: readonly Versioned<JobSpec>[]; readonly revision: number }
  /**
   * The states of dependencies, by job id: the record of the end, `live`, `none` (no such job was accepted), or
   * `unknown` (no answer, or an unreadable record).
   */
  | {
      readonly kind: 'dependenciesResolved';
      readonly found: ReadonlyMap<string, EndedRecord | 'live' | 'none' | 'unknown'>;
    }
  /** Every controller can read the records of this version, so its record layout is adopted. */
  | { readonly kind: 'adoptLayout'; readonly layout: RecordLayout }
  /** The outcome of the commit with this id. */
  | { readonly kind: 'committed'; readonly id: number; readonly outcome: CommitOutcome }
  /** The records that a reconciliation has read; null: the key-value store did not answer. `id`: as in its request. */
  | { readonly kind: 'reconciled'; readonly id: number; readonly found: ReconciledRecords | null }
  /** The cloud's machine types. */
  | { readonly kind: 'catalog'; readonly types: readonly MachineType[] }
  /** The cloud's list of machines, requested at `requestedAt`. */
  | {
      readonly kind: 'machinesListed';
      readonly requestedAt: number;
      readonly machines: readonly ListedMachine[];
    }
  /** The outcome of a provisioning request: the names of the new machines, or why there are none. */
  | {
      readonly kind: 'provisioned';
      readonly requestId: string;
      readonly outcome: readonly string[] | 'refused' | 'malformed' | 'unknown';
    }
  /** The outcome of a request to terminate machines. */
  | { readonly kind: 'terminated'; readonly machines: readonly string[]; readonly ok: boolean };

/** The type of the commands of one kind. */
export type CommandOf<Kind extends Command['kind']> = Extract<Command, { readonly kind: Kind }>;

/** The answer to a heartbeat. */
export type Reply =
  /** The leader's fencing token, and the commands for the worker; `startLease` is given if there is a start. */
  | {
      readonly kind: 'commands';
      readonly token: number;
      readonly commands: readonly WorkerCommand[];
      readonly startLease?: StartLease;
    }
  /** This controller may not answer: the worker has to try another controller. */
  | { readonly kind: 'unable' };

/** An action to be carried out after a step; the effects of a step are carried out in order. */
export type Effect =
  /** Answers the heartbeat whose sender waits for the reply with this id. */
  | { readonly kind: 'reply'; readonly reply: number; readonly body: Reply }
  /** Sends a transaction; answered by `committed`. */
  | { readonly kind: 'commit'; readonly id: number; readonly transaction: Transaction }
  /** Reads the records of these jobs (ids) and chunks (keys); answered by `reconciled` with the same id. */
  | {
      readonly kind: 'reconcile';
      readonly id: number;
      readonly jobs: readonly string[];
      readonly chunks: readonly string[];
    }
  /** Looks up the states of these jobs; answered by `dependenciesResolved`. */
  | { readonly kind: 'resolveDependencies'; readonly ids: readonly string[] }
  /** Calls a worker directly; answered by `directAnswer` if the worker answers with a heartbeat. */
  | {
      readonly kind: 'sendCommands';
      readonly machine: string;
      readonly address: string;
      readonly token: number;
      readonly agentEpoch: number;
      readonly commands: readonly WorkerCommand[];
    }
  /** Tries to connect to a machine; answered by `probed`. */
  | { readonly kind: 'probe'; readonly machine: string; readonly address: string }
  /** Provisions machines; answered by `provisioned`. */
  | {
      readonly kind: 'provision';
      readonly requestId: string;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }
  /** Terminates machines; answered by `terminated`. */
  | { readonly kind: 'terminate'; readonly machines: readonly string[] }
  /** Saves the demand history for the next leader. A failed write is not retried: the next save replaces it. */
  | { readonly kind: 'saveDemandHistory'; readonly transaction: Transaction }
  /** Requests followers to forward the next heartbeats of these machines: the answers have to carry commands. */
  | { readonly kind: 'attention'; readonly machines: readonly string[] }
  /** From now on no start leaves this controller on a view that does not cover this revision. */
  | { readonly kind: 'startsFenced'; readonly revision: number }
  /** The leadership has ended. */
  | { readonly kind: 'steppedDown'; readonly reason: string }
  /** A line for the log. */
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'debug';
      readonly event: string;
      readonly detail: object;
    };
