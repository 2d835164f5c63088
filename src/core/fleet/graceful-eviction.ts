/** Graceful eviction of tasks from a machine that the cloud is about to reclaim. */
import { markForAttention } from '../attention.js';
import type { LiveClaim, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { expectedEnd } from './expected-end.js';

/**
 * Time for a stop command to reach the worker, and for the heartbeat that reports the saved checkpoint to arrive, in
 * maximum heartbeat intervals.
 */
const EVICTION_INTERVALS = 2;

/** Whether a task can keep running for now because there will still be time to save a checkpoint later. */
function canSaveLater(state: CoreState, { job }: LiveClaim, reclaimedAt: number, now: Now): boolean {
  const { checkpointS, saveS } = job.spec;
  const neededMs = saveS * 1000 + EVICTION_INTERVALS * state.config.timing.maxHeartbeatIntervalMs;
  return checkpointS > 0 && neededMs < reclaimedAt - now.monotonicMs;
}

/**
 * Stops the tasks that are not expected to end before `reclaimedAt`, the monotonic time in milliseconds at which
 * the cloud reclaims the machine, so that they run elsewhere sooner. Tasks that can save a checkpoint are stopped
 * as late as is safe.
 */
export function evictBeforeReclaim(state: CoreState, machine: Machine, reclaimedAt: number, now: Now): void {
  for (const claim of machine.claims.values()) {
    if (claim.stopRequested || expectedEnd(state, claim, now) <= reclaimedAt) continue;
    if (canSaveLater(state, claim, reclaimedAt, now)) continue;
    claim.stopRequested = true;
    markForAttention(state, machine.name);
  }
}
