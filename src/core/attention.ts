/**
 * Which machines have something to be told: a start, or a stop. Where followers answer reports in the leader's
 * place they may do so only for machines that are not among these, so every change that could make an answer
 * carry a command is noted here, when it happens. A machine leaves the set with the answer to its report.
 */
import { isDone, type LiveClaim, type Machine } from './model.js';
import type { CoreState } from './state.js';

/** Whether a claim makes the answer to its machine's report carry a command, now or once it is durable. */
function needsCommand(claim: LiveClaim): boolean {
  const { job, task, startSent, stopRequested } = claim;
  return !startSent || job.finalStage !== null || stopRequested || isDone(job, task);
}

/** The next report of this machine is to reach the leader. */
export function needAttention(state: CoreState, machineName: string): void {
  const machine = state.machines.get(machineName);
  if (machine === undefined || state.attention.has(machine)) return;
  state.attention.add(machine);
  state.newAttention.push(machine.name);
}

/** After an answer: whether the machine's next report is to reach the leader again. */
export function settleAttention(state: CoreState, machine: Machine): boolean {
  const needs = [...machine.claims.values()].some(needsCommand);
  if (needs) state.attention.add(machine);
  else state.attention.delete(machine);
  return needs;
}
