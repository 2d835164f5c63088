/** When running tasks are expected to free their resources. */
import type { LiveClaim, Machine, Now } from '../model.js';
import { noResources } from '../placement/resources.js';
import type { CoreState } from '../state.js';
import type { ResourceRequest } from '../types.js';

/**
 * Monotonic time in milliseconds at which a claimed task is expected to end; Infinity for a service. A task that
 * is past its expected end is expected to end after the policy's overrun allowance, counted from now.
 */
export function expectedEnd(state: CoreState, claim: LiveClaim, now: Now): number {
  const { spec } = claim.job;
  if (spec.form === 'service') return Infinity;
  if (claim.expectedEnd > now.monotonicMs) return claim.expectedEnd;
  return now.monotonicMs + state.config.policy.overrunAllowanceMs(spec);
}

/** Resources that a machine is expected to free. */
export interface ExpectedRelease {
  /** Monotonic time in milliseconds; Infinity: never. */
  readonly at: number;
  readonly resources: ResourceRequest;
}

/**
 * What a machine is expected to free, earliest first. `endOf`: when a claimed task is expected to end. Tasks without a
 * claim have exited or are being stopped, and disappear from the heartbeat once it has been answered.
 */
export function expectedReleases(
  state: CoreState,
  machine: Machine,
  now: Now,
  endOf: (claim: LiveClaim) => number = (claim) => expectedEnd(state, claim, now),
): ExpectedRelease[] {
  const releases: ExpectedRelease[] = [];
  for (const claim of machine.claims.values())
    releases.push({ at: endOf(claim), resources: claim.job.request });
  if (machine.unclaimedHeartbeatBytes > 0)
    releases.push({
      at: now.monotonicMs + state.config.timing.maxHeartbeatIntervalMs,
      resources: { ...noResources(), heartbeatBytes: machine.unclaimedHeartbeatBytes },
    });
  return releases.sort((a, b) => a.at - b.at);
}
