/** What goes into `step` and what comes out of it. */
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

export interface LoadedChunk {
  readonly job: string;
  readonly name: ChunkName;
  readonly record: Versioned<ChunkRecord>;
}

export type CommitOutcome =
  | { readonly kind: 'applied'; readonly revision: number }
  | { readonly kind: 'failed'; readonly keys: readonly string[] }
  | { readonly kind: 'refused' }
  /** Too large, or malformed: sent again as it is, it would be refused again. */
  | { readonly kind: 'rejected' }
  | { readonly kind: 'unknown' };

export interface ReconciledRecords {
  readonly jobs: ReadonlyMap<string, { readonly live: boolean; readonly ended: EndedRecord | null }>;
  readonly chunks: ReadonlyMap<string, number>;
}

export type Command =
  /**
   * `doubt`: this node has stood still and not caught up; nobody is judged. `busy`: it is behind its
   * timers; nothing is done that can wait.
   */
  | { readonly kind: 'tick'; readonly isStalled?: boolean; readonly isOverloaded?: boolean }
  /** The leadership is handed over: nothing new is begun. */
  | { readonly kind: 'transferLeadership' }
  /** `ageMs`: how long ago it arrived at the follower that forwards it. */
  | {
      readonly kind: 'heartbeat';
      readonly reply: number;
      readonly heartbeat: Heartbeat;
      readonly ageMs?: number;
    }
  | { readonly kind: 'directAnswer'; readonly heartbeat: Heartbeat }
  /** Whether a knock at a machine met somebody; null: there is no word of it. */
  | { readonly kind: 'probed'; readonly machine: string; readonly isReachable: boolean | null }
  | {
      readonly kind: 'becomeLeader';
      readonly term: number;
      readonly modRevision: number;
      readonly viewConfirmedAt: number;
      readonly layout: RecordLayout;
      readonly legacyChunkTasks: number;
      readonly jobs: readonly Versioned<JobSpec>[];
      readonly chunks: readonly LoadedChunk[];
      readonly demandHistory: readonly ClassDemandRecord[];
      /** Zones of which the leaders before heard nobody, and the steady time since. */
      readonly silentZones?: ReadonlyMap<string, number>;
      /** The leader before may be alive, blind and still answering workers. */
      readonly previousLeaderMayBeAlive?: boolean;
    }
  /** Followers have answered these machines' reports, which brought no news. */
  | { readonly kind: 'keepalives'; readonly keepalives: readonly Keepalive[] }
  /** A deputy has heard these machines, so long ago. */
  | { readonly kind: 'machinesRelayed'; readonly machines: readonly string[]; readonly ageMs: number }
  | { readonly kind: 'resign'; readonly reason: string }
  | { readonly kind: 'higherTokenSeen'; readonly token: number }
  | { readonly kind: 'viewConfirmed'; readonly sentAt: number }
  | { readonly kind: 'jobAdded'; readonly job: Versioned<JobSpec> }
  | { readonly kind: 'jobRemoved'; readonly id: string }
  /** The jobs read anew, complete as of the revision. */
  | { readonly kind: 'jobsReplaced'; readonly jobs: readonly Versioned<JobSpec>[]; readonly revision: number }
  /** How awaited jobs stand: their committed end, still live, never accepted, or no answer. */
  | {
      readonly kind: 'dependenciesResolved';
      readonly found: ReadonlyMap<string, EndedRecord | 'live' | 'none' | 'unknown'>;
    }
  /** Every controller reads what this version writes. */
  | { readonly kind: 'adoptLayout'; readonly layout: RecordLayout }
  | { readonly kind: 'committed'; readonly id: number; readonly outcome: CommitOutcome }
  | { readonly kind: 'reconciled'; readonly found: ReconciledRecords | null }
  | { readonly kind: 'catalog'; readonly types: readonly MachineType[] }
  | { readonly kind: 'machinesListed'; readonly askedAt: number; readonly machines: readonly ListedMachine[] }
  | {
      readonly kind: 'provisioned';
      readonly requestId: string;
      readonly outcome: readonly string[] | 'refused' | 'malformed' | 'unknown';
    }
  | { readonly kind: 'terminated'; readonly machines: readonly string[]; readonly ok: boolean };

/** The command of a kind. */
export type CommandOf<Kind extends Command['kind']> = Extract<Command, { readonly kind: Kind }>;

export type Reply =
  | { readonly kind: 'commands'; readonly token: number; readonly commands: readonly WorkerCommand[] }
  | { readonly kind: 'unable' };

export type Effect =
  | { readonly kind: 'reply'; readonly reply: number; readonly body: Reply }
  | { readonly kind: 'commit'; readonly id: number; readonly transaction: Transaction }
  | { readonly kind: 'reconcile'; readonly jobs: readonly string[]; readonly chunks: readonly string[] }
  | { readonly kind: 'resolveDependencies'; readonly ids: readonly string[] }
  | {
      readonly kind: 'sendCommands';
      readonly machine: string;
      readonly address: string;
      readonly token: number;
      readonly agentEpoch: number;
      readonly commands: readonly WorkerCommand[];
    }
  /** Asks whether anybody is at the address. */
  | { readonly kind: 'probe'; readonly machine: string; readonly address: string }
  | {
      readonly kind: 'provision';
      readonly requestId: string;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }
  | { readonly kind: 'terminate'; readonly machines: readonly string[] }
  | { readonly kind: 'saveDemandHistory'; readonly transaction: Transaction }
  /** There has come to be something to say to these machines: their next reports are to reach the leader. */
  | { readonly kind: 'attention'; readonly machines: readonly string[] }
  | { readonly kind: 'steppedDown'; readonly reason: string }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'debug';
      readonly event: string;
      readonly detail: object;
    };
