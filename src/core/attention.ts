/**
 * Machines that need the leader's attention: the answer to their next heartbeat has to carry a command. Followers
 * may answer heartbeats in the leader's place only for other machines, so every change that could make an answer
 * carry a command is recorded here when it happens. A machine leaves the set with the answer to its heartbeat.
 */
import { isDone, type LiveClaim, type Machine } from './model.js';
import type { CoreState } from './state.js';

/** Whether a claim makes the answer to its machine's heartbeat carry a command, now or once it is durable. */
function needsCommand(claim: LiveClaim): boolean {
  const { job, task, startSent, stopRequested } = claim;
  return !startSent || job.finalStage !== null || stopRequested || isDone(job, task);
}

/** Marks that the next heartbeat of this machine has to reach the leader; does nothing for an unknown machine. */
export function markForAttention(state: CoreState, machineName: string): void {
  const machine = state.machines.get(machineName);
  if (machine === undefined || state.attention.has(machine)) return;
  state.attention.add(machine);
  state.newAttentionNames.push(machine.name);
}

/**
 * Brings the set up to date after an answer; `hasUnsent`: some commands did not fit into it. Returns whether the
 * machine's next heartbeat has to reach the leader.
 */
export function refreshAttention(state: CoreState, machine: Machine, hasUnsent: boolean): boolean {
  const needs = hasUnsent || [...machine.claims.values()].some(needsCommand);
  if (needs) state.attention.add(machine);
  else state.attention.delete(machine);
  return needs;
}
