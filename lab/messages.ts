/** Messages between the lab's processes. */
import type { JobDescription, LabEvent, WorkerSample } from './events.js';
import type { MachineIdentity, WorkerContext } from './emulator/hollow-worker.js';
import type { StoreSample } from './emulator/state-service.js';
import type { StoreLimits } from './emulator/store.js';

/** Settings of a process of hollow workers. */
export interface WorkerHostSetup extends Pick<
  WorkerContext,
  'heartbeatIntervalMs' | 'leaseMs' | 'cpus' | 'memoryGb' | 'cacheGb' | 'fetchGbPerS'
> {
  /** Names and public addresses of the controllers. */
  readonly controllers: readonly { readonly name: string; readonly host: string; readonly port: number }[];
  readonly seed: number;
}

/** Messages to a process of hollow workers. */
export type ToWorkerHost =
  | { readonly kind: 'setup'; readonly setup: WorkerHostSetup }
  | { readonly kind: 'job'; readonly job: JobDescription }
  | { readonly kind: 'up'; readonly machines: readonly MachineIdentity[] }
  | { readonly kind: 'down'; readonly names: readonly string[] }
  | { readonly kind: 'hang'; readonly names: readonly string[]; readonly forMs: number };

/** Messages from a process of hollow workers. */
export type FromWorkerHost =
  | { readonly kind: 'ready' }
  | { readonly kind: 'events'; readonly events: readonly LabEvent[] }
  | { readonly kind: 'sample'; readonly sample: WorkerSample }
  | { readonly kind: 'failed'; readonly reason: string };

/** Messages to the process of the key-value store. */
export type ToStore =
  | {
      readonly kind: 'setup';
      readonly limits: StoreLimits;
      readonly requestRps: number;
      readonly addresses: readonly string[];
      readonly port: number;
    }
  | { readonly kind: 'refuse'; readonly address: string; readonly forMs: number }
  | { readonly kind: 'outage'; readonly forMs: number };

/** Messages from the process of the key-value store. */
export type FromStore =
  | { readonly kind: 'ready' }
  | { readonly kind: 'sample'; readonly sample: StoreSample }
  | { readonly kind: 'failed'; readonly reason: string };
