/** What the parts of a controller share: settings, ports, the command loop, and who leads. */
import type { Cloud } from '../adapters/cloud.js';
import type { KeyValueStore } from '../adapters/key-value-store.js';
import type { WorkerClient } from '../adapters/worker-client.js';
import type { Clock } from '../adapters/clock.js';
import type { SchedulingPolicy } from '../core/model.js';
import type { Log } from '../observability/logging.js';
import type { PlatformSettings, Timing } from '../config/settings.js';
import type { CommandLoop } from './command-loop.js';

/** Dependencies of a controller: adapters to the outside, the scheduling policy and the identity of its process. */
export interface Ports {
  readonly store: KeyValueStore;
  readonly cloud: Cloud;
  readonly workers: WorkerClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly policy: SchedulingPolicy;
  /** Unique to this run of the process. */
  readonly incarnation: string;
}

/** This node's view of the leadership; updated in place by the election, by peers' messages and on stepping down. */
export interface LeadershipView {
  /** The last known leader (null: none), and the revision of the leader record that was last read. */
  leader: string | null;
  leaderRevision: number;
  highestTerm: number;
  /** The term that this node was elected for and has not given up; 0: none. */
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
export function storeContactAgeMs({ ports: { store, clock } }: ControllerContext): number {
  const contact = store.lastContactAt();
  return contact === null ? 0xffffffff : Math.max(0, Math.round(clock.monotonicMs() - contact));
}
