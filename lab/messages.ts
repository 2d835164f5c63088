/** Messages between the lab's processes. */
import type { JobDescription, LabEvent, WorkerSample } from './events.js';
import type { MachineIdentity, WorkerContext } from './emulator/hollow-worker.js';
import type { StateSample } from './emulator/state-service.js';
import type { StoreLimits } from './emulator/store.js';

/** How a process of hollow workers is set up. */
export interface WorkerHostSetup extends Pick<
  WorkerContext,
  'reportMs' | 'leaseMs' | 'cpus' | 'memoryGb' | 'cacheGb' | 'fetchGbPerS'
> {
  /** Names of the controllers, and where they serve. */
  readonly controllers: readonly { readonly name: string; readonly host: string; readonly port: number }[];
  readonly seed: number;
}

/** To a process of hollow workers. */
export type ToWorkerHost =
  | { readonly kind: 'setup'; readonly setup: WorkerHostSetup }
  | { readonly kind: 'job'; readonly job: JobDescription }
  | { readonly kind: 'up'; readonly machines: readonly MachineIdentity[] }
  | { readonly kind: 'down'; readonly names: readonly string[] }
  | { readonly kind: 'hang'; readonly names: readonly string[]; readonly forMs: number };

/** From a process of hollow workers. */
export type FromWorkerHost =
  | { readonly kind: 'ready' }
  | { readonly kind: 'events'; readonly events: readonly LabEvent[] }
  | { readonly kind: 'sample'; readonly sample: WorkerSample }
  | { readonly kind: 'failed'; readonly reason: string };

/** To the state service's process. */
export type ToStateService =
  | {
      readonly kind: 'setup';
      readonly limits: StoreLimits;
      readonly requestRps: number;
      readonly addresses: readonly string[];
      readonly port: number;
    }
  | { readonly kind: 'refuse'; readonly address: string; readonly forMs: number }
  | { readonly kind: 'outage'; readonly forMs: number };

/** From the state service's process. */
export type FromStateService =
  | { readonly kind: 'ready' }
  | { readonly kind: 'sample'; readonly sample: StateSample }
  | { readonly kind: 'failed'; readonly reason: string };
