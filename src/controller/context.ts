/** What the parts of a controller share: settings, ports, the command loop, and who leads. */
import type { Cloud } from '../adapters/cloud.js';
import type { KeyValueStore } from '../adapters/key-value-store.js';
import type { WorkerClient } from '../adapters/worker-client.js';
import type { Clock } from '../adapters/clock.js';
import type { SchedulingPolicy } from '../core/model.js';
import type { Log } from '../observability/logging.js';
import type { PlatformSettings, Timing } from '../config/settings.js';
import type { CommandLoop } from './command-loop.js';

/** What a controller needs of the world around it. */
export interface Ports {
  readonly state: KeyValueStore;
  readonly cloud: Cloud;
  readonly workers: WorkerClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly policy: SchedulingPolicy;
  /** Unique to this run of the process. */
  readonly incarnation: string;
}

/** Who leads, as far as this node knows; the election and peers' statuses change it in place. */
export interface LeadershipView {
  /** The node that leads, as far as this one knows, and the revision of the record that says so. */
  leader: string | null;
  leaderRevision: number;
  highestTerm: number;
  /** The term this node was elected for and still means to lead; 0: none. */
  leadingTerm: number;
}

/** Handed to every part of a controller. */
export interface ControllerContext {
  readonly settings: PlatformSettings;
  readonly timing: Timing;
  readonly ports: Ports;
  readonly commands: CommandLoop;
  readonly leadershipView: LeadershipView;
}

/** Milliseconds since the key-value store last answered this node; 0xffffffff: it never has. */
export function storeContactAgeMs({ ports: { state, clock } }: ControllerContext): number {
  const contact = state.lastContactAt();
  return contact === null ? 0xffffffff : Math.max(0, Math.round(clock.monotonicMs() - contact));
}
