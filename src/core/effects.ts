/** What goes into `step`, the commands, and what comes out of it, the effects. */
import type { Keepalive } from './fleet/keepalives.js';
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

/** A chunk record as a new leader has read it. */
export interface LoadedChunk {
  /** Id of its job. */
  readonly job: string;
  readonly name: ChunkName;
  readonly record: Versioned<ChunkRecord>;
}

/** The outcome of a transaction. */
export type CommitOutcome =
  /** All of it is stored, at this revision. */
  | { readonly kind: 'applied'; readonly revision: number }
  /** Nothing of it is stored: the preconditions on these keys did not hold. */
  | { readonly kind: 'failed'; readonly keys: readonly string[] }
  /** Nothing of it is stored: the key-value store, or a limit kept to, did not admit it now. */
  | { readonly kind: 'refused' }
  /** Nothing of it is stored, nor would be if sent again: it is too large, malformed, or names an expired lease. */
  | { readonly kind: 'rejected' }
  /** There was no answer: it may be stored, or be stored later. */
  | { readonly kind: 'unknown' };

/** What a reconciliation has read. */
export interface ReconciledRecords {
  /** By job id: whether its record is there, and how it ended. */
  readonly jobs: ReadonlyMap<string, { readonly live: boolean; readonly ended: EndedRecord | null }>;
  /** Revisions by key; a key that does not exist is left out. */
  readonly chunks: ReadonlyMap<string, number>;
}

/** An input of `step`. Times named `…At` and `since` are in steady milliseconds. */
export type Command =
  /**
   * A tick of the clock. `isStalled`: this node has stood still and not caught up, so no failure is inferred.
   * `isOverloaded`: it is behind its timers, so what can wait is left out.
   */
  | { readonly kind: 'tick'; readonly isStalled?: boolean; readonly isOverloaded?: boolean }
  /** The leadership is being transferred: nothing new is begun. */
  | { readonly kind: 'transferLeadership' }
  /** A heartbeat that waits for the reply of this id. `ageMs`: since its arrival at the follower that forwards it. */
  | {
      readonly kind: 'heartbeat';
      readonly reply: number;
      readonly heartbeat: Heartbeat;
      readonly ageMs?: number;
    }
  /** The heartbeat with which a worker answered a direct call. */
  | { readonly kind: 'directAnswer'; readonly heartbeat: Heartbeat }
  /** Whether a probe reached a machine; null: it was not carried out. */
  | { readonly kind: 'probed'; readonly machine: string; readonly isReachable: boolean | null }
  /** This controller has been elected, and has read what the key-value store holds. */
  | {
      readonly kind: 'becomeLeader';
      readonly term: number;
      /** Of the term's record. */
      readonly modRevision: number;
      /** When the read of the jobs was sent. */
      readonly viewConfirmedAt: number;
      readonly layout: RecordLayout;
      /** Tasks of a chunk whose key tells no width. */
      readonly legacyChunkTasks: number;
      readonly jobs: readonly Versioned<JobSpec>[];
      readonly chunks: readonly LoadedChunk[];
      readonly demandHistory: readonly ClassDemandRecord[];
      /** Zones of which earlier leaders had contact with no machine, and since when. */
      readonly silentZones?: ReadonlyMap<string, number>;
      /** The leader before may be alive, partitioned from the key-value store and still answering workers. */
      readonly previousLeaderMayBeAlive?: boolean;
    }
  /** Followers have answered these heartbeats, which brought no news. */
  | { readonly kind: 'keepalives'; readonly keepalives: readonly Keepalive[] }
  /** A follower that answers workers for an unreachable leader had contact with these machines, so long ago. */
  | { readonly kind: 'machinesRelayed'; readonly machines: readonly string[]; readonly ageMs: number }
  /** Leads no more, for this reason. */
  | { readonly kind: 'resign'; readonly reason: string }
  /** A peer has seen this fencing token. */
  | { readonly kind: 'higherTokenSeen'; readonly token: number }
  /** A read sent at this time has proved the leader's view of the jobs. */
  | { readonly kind: 'viewConfirmed'; readonly sentAt: number }
  /** A job has been accepted. */
  | { readonly kind: 'jobAdded'; readonly job: Versioned<JobSpec> }
  /** The record of a live job is gone: it has ended. */
  | { readonly kind: 'jobRemoved'; readonly id: string }
  /** The live jobs read anew, complete as of the revision. */
  | { readonly kind: 'jobsReplaced'; readonly jobs: readonly Versioned<JobSpec>[]; readonly revision: number }
  /** How dependencies stand: their committed end, still live, never accepted, or no answer. */
  | {
      readonly kind: 'dependenciesResolved';
      readonly found: ReadonlyMap<string, EndedRecord | 'live' | 'none' | 'unknown'>;
    }
  /** Every controller reads what this version writes: the record layout changes to this one. */
  | { readonly kind: 'adoptLayout'; readonly layout: RecordLayout }
  /** The outcome of the commit of this id. */
  | { readonly kind: 'committed'; readonly id: number; readonly outcome: CommitOutcome }
  /** What a reconciliation has read; null: there was no answer. */
  | { readonly kind: 'reconciled'; readonly found: ReconciledRecords | null }
  /** The cloud's machine types. */
  | { readonly kind: 'catalog'; readonly types: readonly MachineType[] }
  /** The cloud's list of machines, asked for at `askedAt`. */
  | { readonly kind: 'machinesListed'; readonly askedAt: number; readonly machines: readonly ListedMachine[] }
  /** The outcome of a request for machines: the names of those that come, or why there are none. */
  | {
      readonly kind: 'provisioned';
      readonly requestId: string;
      readonly outcome: readonly string[] | 'refused' | 'malformed' | 'unknown';
    }
  /** The outcome of a request to terminate machines. */
  | { readonly kind: 'terminated'; readonly machines: readonly string[]; readonly ok: boolean };

/** The command of a kind. */
export type CommandOf<Kind extends Command['kind']> = Extract<Command, { readonly kind: Kind }>;

/** The answer to a heartbeat. */
export type Reply =
  /** The leader's fencing token, and what the worker is to do. */
  | { readonly kind: 'commands'; readonly token: number; readonly commands: readonly WorkerCommand[] }
  /** This controller may not answer: the worker asks another. */
  | { readonly kind: 'unable' };

/** What is to be carried out after a step, in order. */
export type Effect =
  /** Answers the heartbeat that waits for the reply of this id. */
  | { readonly kind: 'reply'; readonly reply: number; readonly body: Reply }
  /** Sends a transaction; answered by `committed`. */
  | { readonly kind: 'commit'; readonly id: number; readonly transaction: Transaction }
  /** Reads these jobs, by id, and chunks, by key; answered by `reconciled`. */
  | { readonly kind: 'reconcile'; readonly jobs: readonly string[]; readonly chunks: readonly string[] }
  /** Looks up how these jobs stand; answered by `dependenciesResolved`. */
  | { readonly kind: 'resolveDependencies'; readonly ids: readonly string[] }
  /** Calls a worker directly; answered by `directAnswer`, if at all. */
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
  /** Asks the cloud for machines; answered by `provisioned`. */
  | {
      readonly kind: 'provision';
      readonly requestId: string;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }
  /** Asks the cloud to terminate machines; answered by `terminated`. */
  | { readonly kind: 'terminate'; readonly machines: readonly string[] }
  /** Saves the demand for the next leader; its outcome does not matter. */
  | { readonly kind: 'saveDemandHistory'; readonly transaction: Transaction }
  /** Followers are to forward the next heartbeats of these machines: their answers have to carry commands. */
  | { readonly kind: 'attention'; readonly machines: readonly string[] }
  /** The leadership has ended. */
  | { readonly kind: 'steppedDown'; readonly reason: string }
  /** A line for the log. */
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'debug';
      readonly event: string;
      readonly detail: object;
    };
