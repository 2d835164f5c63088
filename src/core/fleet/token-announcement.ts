/**
 * Token announcement: machines that have not seen this leader's fencing token are sent it directly, so that
 * they send their heartbeats here. The calls are limited by a budget, for each costs a connection.
 */
import type { Effect } from '../effects.js';
import type { Leadership, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';

/** Share of an interval's direct calls that go out at once if the previous leader may be alive still. */
const EARLY_CALL_SHARE = 0.25;
/** A machine that sent a heartbeat, or was sent the token, within so many intervals is not called. */
const QUIET_INTERVALS = 2;

/** The agent epoch to send the token with; the worker answers a wrong guess with the right one. */
function presumedAgentEpoch(machine: Machine): number {
  if (machine.agentEpoch > 0) return machine.agentEpoch;
  for (const { agentEpoch } of machine.claims.values()) return agentEpoch;
  return 1;
}

/** Refills the budget of direct calls up to now, and returns it. */
function refillCallBudget(state: CoreState, lead: Leadership, now: Now): Leadership['directCallBudget'] {
  const { timing, maxDirectCallsPerInterval } = state.config;
  const { directCallBudget } = lead;
  const hasSettled = now.monotonicMs - lead.since > timing.maxHeartbeatIntervalMs;
  if (!hasSettled) {
    if (lead.previousLeaderMayBeAlive === true && directCallBudget.at === lead.since) {
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
  return at !== null && now.monotonicMs - at < QUIET_INTERVALS * state.config.timing.maxHeartbeatIntervalMs;
}

/** Whether a machine should be sent the token now. */
function needsToken(state: CoreState, machine: Machine, now: Now): boolean {
  if (machine.isReconciled || machine.address === '' || machine.terminationReason !== null) return false;
  // Only what the cloud lists, or a claim names, is connected to: heartbeats under
  // invented names could otherwise use up every socket.
  if (machine.cloudStage !== 'running' && machine.claims.size === 0) return false;
  // The answer to its heartbeat carries the token by itself.
  if (isRecent(state, machine.lastHeartbeatAt, now)) return false;
  return !isRecent(state, machine.tokenSentAt, now);
}

/**
 * Sends this leader's token to machines that have not seen it. Right after a failover from a leader that may
 * be alive, a few are called: a partitioned leader goes on answering them, and the token that they carry back
 * tells it of its successor. The others get one heartbeat interval to come by themselves: a leader that calls
 * all of them at once has no time left to take in their heartbeats before their leases expire.
 */
export function announceToken(state: CoreState, now: Now, effects: Effect[]): void {
  const lead = state.leadership;
  if (lead === null) return;
  const budget = refillCallBudget(state, lead, now);
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
      token: lead.term,
      agentEpoch: presumedAgentEpoch(machine),
      commands: [],
    });
  }
}
