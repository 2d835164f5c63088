/**
 * Promises beyond the head's reservation. The paper guards the first job of the queue alone and proves
 * that the second may be passed without bound; where priorities order the queue, so may every job of low
 * priority, and a large one by small ones. So a job that has not been served for half of a bound gets a
 * reservation of its own, whatever its priority or size, and all others must pass the paper's two tests
 * against it too. A team's guarantee is the other promise: jobs that fit into it wait for no other team.
 */
import { isReady } from '../jobs/jobs.js';
import { isFaultyJob } from './resources.js';
import type { JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';

/** So many reservations at a time for a class beside the head's; more would leave little for the queue's order. */
const MOST_PROMISED = 2;
/** Share of the bound after which a job that has waited so long is promised its room. */
const PROMISED_AFTER = 0.5;
const EPSILON = 1e-6;

/** Milliseconds since a job was ready, or since a task of it was last put on a machine. */
export const waitedMs = (job: JobState, now: Now): number =>
  Math.min(now.epochMs - job.readyAt, now.monotonicMs - job.lastPlacedAt);

/**
 * Works out whose wait nears the bound, longest first. Of those of a class that have begun, only the one
 * that came first is promised more: six arrays served by turns ended all at once, and too late.
 */
export function chooseReserved(state: CoreState, now: Now): void {
  const due: { readonly job: JobState; readonly waited: number }[] = [];
  const first = new Map<string, JobState>();
  for (const job of state.waitingJobs) {
    if (isFaultyJob(job)) continue;
    const { jobClass } = job.spec;
    const waited = waitedMs(job, now);
    if (job.lastPlacedAt > -Infinity && job.modRevision < (first.get(jobClass)?.modRevision ?? Infinity))
      first.set(jobClass, job);
    if (waited > PROMISED_AFTER * state.config.policy.maxWaitMs(job.spec)) due.push({ job, waited });
  }
  due.sort((a, b) => b.waited - a.waited);
  // By class: the backlog of one, waiting longest, kept another's arrays from beginning within the bound.
  const promised = new Map<string, number>();
  state.reservedJobs = due.flatMap(({ job }) => {
    const { jobClass } = job.spec;
    const count = promised.get(jobClass) ?? 0;
    const counts = job.lastPlacedAt === -Infinity || first.get(jobClass) === job;
    if (!counts || count >= MOST_PROMISED) return [];
    promised.set(jobClass, count + 1);
    return [job];
  });
}

/** Why tasks of a job wait, in the words that users are told; null: none does. */
export const REASONS = [
  'fails wherever it is tried',
  'stopped for more urgent work',
  'its room is reserved',
  'first in the queue',
  'waits for room',
] as const;
export type Reason = (typeof REASONS)[number];

export function whyWaits(state: CoreState, job: JobState): Reason | null {
  if (job.finalStage !== null) return null;
  if (isFaultyJob(job)) return 'fails wherever it is tried';
  if (job.waitingCount === 0) return null;
  if (state.reservedJobs.includes(job)) return 'its room is reserved';
  if (state.head?.job === job.spec.id) return 'first in the queue';
  return job.lastPreemptedAt > job.lastPlacedAt ? 'stopped for more urgent work' : 'waits for room';
}

/**
 * Works out which jobs fit into their team's guarantee together with the team's earlier ones that are not
 * finished. Only teams that have a guarantee cost anything.
 */
export function chooseGuaranteed(state: CoreState): void {
  const left = new Map<string, { cpus: number; gpus: number }>();
  for (const [name, { guaranteedCpus, guaranteedGpus }] of state.config.teams)
    if (guaranteedCpus > 0 || guaranteedGpus > 0)
      left.set(name, { cpus: guaranteedCpus, gpus: guaranteedGpus });
  state.guaranteedJobs.clear();
  if (left.size === 0) return;
  for (const job of state.jobs.values()) {
    const { spec, finalStage, doneCount } = job;
    const room = left.get(spec.team);
    if (room === undefined || finalStage !== null || !isReady(job)) continue;
    const tasks = spec.tasks - doneCount;
    room.cpus -= tasks * spec.cpus;
    room.gpus -= tasks * spec.gpus;
    if (room.cpus > -EPSILON && room.gpus > -EPSILON && !isFaultyJob(job)) state.guaranteedJobs.add(job);
  }
}
