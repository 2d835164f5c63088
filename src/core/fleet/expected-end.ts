/** When running tasks are expected to free their resources. */
import type { LiveClaim, Now } from '../model.js';
import type { CoreState } from '../state.js';

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
