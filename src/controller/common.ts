/** What the parts of a node have in common: its ports, and who leads as far as it knows. */
import type { Cloud } from '../adapters/cloud.js';
import type { KeyValueStore } from '../adapters/key-value-store.js';
import type { WorkerClient } from '../adapters/worker-client.js';
import type { Clock } from '../adapters/clock.js';
import type { SchedulingPolicy } from '../core/model.js';
import type { Log } from '../observability/logging.js';
import type { Owner } from '../owner.js';
import type { PlatformSettings, Timing } from '../config/settings.js';

/** What a controller needs of the world around it. */
export interface Ports {
  readonly state: KeyValueStore;
  readonly cloud: Cloud;
  readonly workers: WorkerClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly policy: SchedulingPolicy;
  /** Names this life of the node, and no other. */
  readonly incarnation: string;
}

export interface LeadershipView {
  /** The node that leads, as far as this one knows, and the revision of the record that says so. */
  leader: string | null;
  leaderRevision: number;
  highestTerm: number;
  /** The term this node was elected for and still means to lead; 0: none. */
  leadingTerm: number;
}

export interface Common {
  readonly settings: PlatformSettings;
  readonly timing: Timing;
  readonly ports: Ports;
  readonly owner: Owner;
  readonly standing: LeadershipView;
}

/** Milliseconds since the state service last answered this node. */
export function stateAgeMs({ ports: { state, clock } }: Common): number {
  const contact = state.lastContactAt();
  return contact === null ? 0xffffffff : Math.max(0, Math.round(clock.monotonicMs() - contact));
}
