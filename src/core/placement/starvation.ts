/**
 * Starvation reservations. EASY backfilling reserves for the head job only, and it is proven that the
 * second job in the queue may be overtaken without bound. In a queue ordered by priority, the same holds for every
 * job of low priority, and for a large job overtaken by small ones. So a job of which no task has been placed
 * for a share of its maximum wait gets a reservation of its own, whatever its priority or size, and
 * all other jobs must pass the two backfilling tests against it too.
 */
import type { JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { isFaultyJob } from './resources.js';

/** Maximum number of starvation reservations per class; more would override most of the queue order. */
const MAX_RESERVED_JOBS_PER_CLASS = 2;
/** Share of its maximum wait after which a job gets a reservation. */
const RESERVATION_WAIT_SHARE = 0.5;

/** Milliseconds since a job became ready or since a task of it was last placed, whichever is less. */
export const waitedMs = (job: JobState, now: Now): number =>
  Math.min(now.epochMs - job.readyAt, now.monotonicMs - job.lastPlacedAt);

const hasBegun = (job: JobState): boolean => job.lastPlacedAt > -Infinity;

/**
 * Chooses the jobs that get a starvation reservation, those that have waited longest first. The
 * number is limited per class, so that the backlog of one class does not keep another from starting.
 * Of the jobs of a class that have begun, only the earliest is considered: if they were served in
 * turn, all of them would end late.
 */
export function chooseReserved(state: CoreState, now: Now): void {
  const starving: { readonly job: JobState; readonly waited: number }[] = [];
  const firstBegunByClass = new Map<string, JobState>();
  for (const job of state.waitingJobs) {
    if (isFaultyJob(job)) continue;
    const { jobClass } = job.spec;
    const waited = waitedMs(job, now);
    const firstBegun = firstBegunByClass.get(jobClass)?.modRevision ?? Infinity;
    if (hasBegun(job) && job.modRevision < firstBegun) firstBegunByClass.set(jobClass, job);
    if (waited > RESERVATION_WAIT_SHARE * state.config.policy.maxWaitMs(job.spec))
      starving.push({ job, waited });
  }
  starving.sort((a, b) => b.waited - a.waited);
  const countByClass = new Map<string, number>();
  state.reservedJobs = starving.flatMap(({ job }) => {
    const { jobClass } = job.spec;
    const count = countByClass.get(jobClass) ?? 0;
    const isCandidate = !hasBegun(job) || firstBegunByClass.get(jobClass) === job;
    if (!isCandidate || count >= MAX_RESERVED_JOBS_PER_CLASS) return [];
    countByClass.set(jobClass, count + 1);
    return [job];
  });
}
