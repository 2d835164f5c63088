/** The part of the core's interface that the benchmark uses, the same for every version of the core. */
export interface State {
  layout: unknown;
  legacyChunkTasks: number;
  jobs: Map<string, unknown>;
}
export interface Spec {
  readonly id: string;
  readonly image: string;
  readonly imageGb: number;
  readonly estimateS: number;
}
export interface ReportedTask {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly stage: string;
  readonly exit: string | null;
}
interface Write {
  readonly put?: string;
  readonly value?: unknown;
  readonly remove?: string;
}
interface WorkerCommand {
  readonly op: string;
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
}
export type Effect =
  | {
      readonly kind: 'reply';
      readonly reply: number;
      readonly body:
        | { readonly kind: 'commands'; readonly commands: readonly WorkerCommand[] }
        | { readonly kind: 'unable' };
    }
  | {
      readonly kind: 'commit';
      readonly id: number;
      readonly transaction: {
        readonly preconditions: readonly { readonly key: string; readonly modRevision: number }[];
        readonly mutations: readonly Write[];
      };
    }
  | { readonly kind: 'provision'; readonly requestId: string; readonly zone: string; readonly count: number }
  | { readonly kind: 'terminate'; readonly machines: readonly string[] }
  | { readonly kind: 'probe'; readonly machine: string }
  | { readonly kind: 'other' };
export interface Core {
  createState(node: string, rules: unknown): State;
  step(state: State, commands: readonly unknown[], now: { monotonicMs: number; epochMs: number }): Effect[];
  rules(settings: unknown): unknown;
}
export interface Records {
  parseChunkKey(key: string): { readonly job: string } | null;
  decodeChunk(value: unknown): unknown;
}
