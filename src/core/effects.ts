/** What goes into `step` and what comes out of it. */
import type { Heartbeat } from './fleet/heartbeats.js';
import type { ChunkName, ClassMemory } from './persistence/records.js';
import type { Layout } from './model.js';
import type {
  Stamped,
  ChunkRecord,
  JobSpec,
  ListedMachine,
  MachineType,
  Report,
  WorkerCommand,
  EndedRecord,
  Transaction,
} from './types.js';

export interface LoadedChunk {
  readonly job: string;
  readonly name: ChunkName;
  readonly record: Stamped<ChunkRecord>;
}

export type CommitOutcome =
  | { readonly kind: 'applied'; readonly revision: number }
  | { readonly kind: 'failed'; readonly keys: readonly string[] }
  | { readonly kind: 'refused' }
  /** Too large, or malformed: sent again as it is, it would be refused again. */
  | { readonly kind: 'rejected' }
  | { readonly kind: 'unknown' };

export interface Recheck {
  readonly jobs: ReadonlyMap<string, { readonly live: boolean; readonly ended: EndedRecord | null }>;
  readonly chunks: ReadonlyMap<string, number>;
}

export type Command =
  /**
   * `doubt`: this node has stood still and not caught up; nobody is judged. `busy`: it is behind its
   * timers; nothing is done that can wait.
   */
  | { readonly kind: 'tick'; readonly doubt?: boolean; readonly busy?: boolean }
  /** The leadership is handed over: nothing new is begun. */
  | { readonly kind: 'yield' }
  /** `ageMs`: how long ago it arrived at the follower that forwards it. */
  | { readonly kind: 'report'; readonly reply: number; readonly report: Report; readonly ageMs?: number }
  | { readonly kind: 'direct'; readonly report: Report }
  /** Whether a knock at a machine met somebody; null: there is no word of it. */
  | { readonly kind: 'probed'; readonly machine: string; readonly met: boolean | null }
  | {
      readonly kind: 'lead';
      readonly term: number;
      readonly stamp: number;
      readonly provenAt: number;
      readonly layout: Layout;
      readonly wide: number;
      readonly jobs: readonly Stamped<JobSpec>[];
      readonly chunks: readonly LoadedChunk[];
      readonly memory: readonly ClassMemory[];
      /** Zones of which the leaders before heard nobody, and the steady time since. */
      readonly quiet?: ReadonlyMap<string, number>;
      /** The leader before may be alive, blind and still answering workers. */
      readonly haunted?: boolean;
    }
  /** Followers have answered these machines' reports, which brought no news. */
  | { readonly kind: 'heartbeats'; readonly heartbeats: readonly Heartbeat[] }
  /** A deputy has heard these machines, so long ago. */
  | { readonly kind: 'relayed'; readonly machines: readonly string[]; readonly ageMs: number }
  | { readonly kind: 'resign'; readonly reason: string }
  | { readonly kind: 'tokenSeen'; readonly token: number }
  | { readonly kind: 'proof'; readonly sentAt: number }
  | { readonly kind: 'jobAdded'; readonly job: Stamped<JobSpec> }
  | { readonly kind: 'jobRemoved'; readonly id: string }
  /** The jobs read anew, complete as of the revision. */
  | { readonly kind: 'jobsReplaced'; readonly jobs: readonly Stamped<JobSpec>[]; readonly revision: number }
  /** How awaited jobs stand: their committed end, still live, never accepted, or no answer. */
  | {
      readonly kind: 'resolved';
      readonly found: ReadonlyMap<string, EndedRecord | 'live' | 'none' | 'unknown'>;
    }
  /** Every controller reads what this version writes. */
  | { readonly kind: 'adopt'; readonly layout: Layout }
  | { readonly kind: 'committed'; readonly id: number; readonly outcome: CommitOutcome }
  | { readonly kind: 'rechecked'; readonly found: Recheck | null }
  | { readonly kind: 'catalog'; readonly types: readonly MachineType[] }
  | { readonly kind: 'listed'; readonly askedAt: number; readonly machines: readonly ListedMachine[] }
  | {
      readonly kind: 'rented';
      readonly request: string;
      readonly outcome: readonly string[] | 'refused' | 'malformed' | 'unknown';
    }
  | { readonly kind: 'returned'; readonly machines: readonly string[]; readonly ok: boolean };

export type Reply =
  | { readonly kind: 'commands'; readonly token: number; readonly commands: readonly WorkerCommand[] }
  | { readonly kind: 'unable' };

export type Effect =
  | { readonly kind: 'reply'; readonly reply: number; readonly body: Reply }
  | { readonly kind: 'commit'; readonly id: number; readonly txn: Transaction }
  | { readonly kind: 'recheck'; readonly jobs: readonly string[]; readonly chunks: readonly string[] }
  | { readonly kind: 'resolve'; readonly ids: readonly string[] }
  | {
      readonly kind: 'direct';
      readonly machine: string;
      readonly address: string;
      readonly token: number;
      readonly session: number;
      readonly commands: readonly WorkerCommand[];
    }
  /** Asks whether anybody is at the address. */
  | { readonly kind: 'probe'; readonly machine: string; readonly address: string }
  | {
      readonly kind: 'rent';
      readonly request: string;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }
  | { readonly kind: 'return'; readonly machines: readonly string[] }
  | { readonly kind: 'remember'; readonly txn: Transaction }
  /** There has come to be something to say to these machines: their next reports are to reach the leader. */
  | { readonly kind: 'attention'; readonly machines: readonly string[] }
  | { readonly kind: 'steppedDown'; readonly reason: string }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'debug';
      readonly event: string;
      readonly detail: object;
    };
