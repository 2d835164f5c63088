/** Which starts a leader may send, and until when. */
import type { WorkerCommand } from '../types.js';

/** On which view starts were decided, and until when they may be sent. */
export interface StartLease {
  /** Monotonic time of the leader, in milliseconds. */
  readonly validUntil: number;
  /** Revision of the key-value store up to which the leader's view of the jobs was complete; 0: not known. */
  readonly viewRevision: number;
}

/** The commands that a leader may send at `now`, monotonic time in milliseconds: starts only while their lease is valid. */
export const releasableCommands = (
  commands: readonly WorkerCommand[],
  startLease: StartLease | undefined,
  now: number,
): readonly WorkerCommand[] =>
  startLease !== undefined && now >= startLease.validUntil ? withoutStarts(commands) : commands;

/** The commands other than starts. A start that is left out is sent again with the answer to a later heartbeat. */
export const withoutStarts = (commands: readonly WorkerCommand[]): WorkerCommand[] =>
  commands.filter(({ op }) => op !== 'start');
