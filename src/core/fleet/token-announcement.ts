/**
 * Token announcement: sends this leader's fencing token directly to machines that have not seen it, so that they
 * send their heartbeats to this leader. A budget limits these calls, because each needs a connection.
 */
import type { Effect } from '../effects.js';
import type { Leadership, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';

/** Share of an interval's direct calls made right after a failover if the previous leader may still be alive. */
const EARLY_CALL_SHARE = 0.25;
/** A machine that sent a heartbeat or was sent the token within this many maximum heartbeat intervals is not called. */
const RECENT_INTERVALS = 2;

/** The agent epoch to send with the token. If it is wrong, the worker's answer contains the right one. */
function presumedAgentEpoch(machine: Machine): number {
  if (machine.agentEpoch > 0) return machine.agentEpoch;
  for (const { agentEpoch } of machine.claims.values()) return agentEpoch;
  return 1;
}

/** Adds the direct calls allowed since the last refill to the budget, and returns it. */
function refillCallBudget(
  state: CoreState,
  leadership: Leadership,
  now: Now,
): Leadership['directCallBudget'] {
  const { timing, maxDirectCallsPerInterval } = state.config;
  const { directCallBudget } = leadership;
  const hasSettled = now.monotonicMs - leadership.since > timing.maxHeartbeatIntervalMs;
  if (!hasSettled) {
    if (leadership.previousLeaderMayBeAlive === true && directCallBudget.at === leadership.since) {
      directCallBudget.left = Math.ceil(EARLY_CALL_SHARE * maxDirectCallsPerInterval);
      directCallBudget.at = now.monotonicMs;
    }
    return directCallBudget;
  }
  directCallBudget.left = Math.min(
    maxDirectCallsPerInterval,
    directCallBudget.left +
      (maxDirectCallsPerInterval * (now.monotonicMs - directCallBudget.at)) / timing.maxHeartbeatIntervalMs,
  );
  directCallBudget.at = now.monotonicMs;
  return directCallBudget;
}

function isRecent(state: CoreState, at: number | null, now: Now): boolean {
  return at !== null && now.monotonicMs - at < RECENT_INTERVALS * state.config.timing.maxHeartbeatIntervalMs;
}

/** Whether a machine should be sent the token now. */
function needsToken(state: CoreState, machine: Machine, now: Now): boolean {
  if (machine.isReconciled || machine.address === '' || machine.terminationReason !== null) return false;
  // Connects only to machines that the cloud lists as running or that hold claims: heartbeats
  // with invented machine names could otherwise exhaust the sockets.
  if (machine.cloudStage !== 'running' && machine.claims.size === 0) return false;
  // The answer to the machine's heartbeat already carries the token.
  if (isRecent(state, machine.lastHeartbeatAt, now)) return false;
  return !isRecent(state, machine.tokenSentAt, now);
}

/**
 * Sends this leader's token to machines that have not seen it. Right after a failover from a leader that may still
 * be alive, only a few are called: a partitioned leader keeps answering them, and learns of its successor from the
 * token in their next heartbeats. The other machines get one maximum heartbeat interval to report on their own: a
 * leader that calls all of them together has no time left to process their heartbeats before their leases expire.
 */
export function announceToken(state: CoreState, now: Now, effects: Effect[]): void {
  const leadership = state.leadership;
  if (leadership === null) return;
  const budget = refillCallBudget(state, leadership, now);
  if (budget.left < 1) return;
  for (const machine of state.machines.values()) {
    if (budget.left < 1) return;
    if (!needsToken(state, machine, now)) continue;
    machine.tokenSentAt = now.monotonicMs;
    budget.left -= 1;
    effects.push({
      kind: 'sendCommands',
      machine: machine.name,
      address: machine.address,
      token: leadership.term,
      agentEpoch: presumedAgentEpoch(machine),
      commands: [],
    });
  }
}
