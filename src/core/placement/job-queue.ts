/** The queue: jobs with waiting tasks, in the order in which they are served. */
import { LOW_PRIORITY } from '../jobs/best-effort.js';
import { countLostObjectives, timeToDeadlineMs } from '../jobs/objectives.js';
import { expectedRunMs, waitingTasks } from '../jobs/jobs.js';
import type { JobState, Now, QueuePosition } from '../model.js';
import type { CoreState } from '../state.js';

/** The priority directly above that of best-effort work; a lower number is a higher priority. */
const NORMAL_PRIORITY = 2;

/** Group of the jobs that must start soon to meet a deadline; the others follow by lost objectives. */
const URGENT_GROUP = 0;
const FIRST_REGULAR_GROUP = 1;

function positionOf(state: CoreState, job: JobState, now: Now): QueuePosition {
  const { lost, all } = countLostObjectives(state, job, now);
  const runMs = expectedRunMs(state, job.spec);
  const slackMs = timeToDeadlineMs(job, 1, now) - runMs;
  const rank = state.guaranteedJobs.has(job) ? 0 : 1;
  const { priority, modRevision } = job;
  // Urgent: the job must start within one run time from now to meet its deadline.
  if (lost === 0 && slackMs < runMs) {
    const waitingWork = waitingTasks(job) * runMs * job.spec.cpus;
    return { job, rank, priority, group: URGENT_GROUP, key: waitingWork };
  }
  // A job of normal priority that can no longer meet any objective is queued at low priority, by arrival.
  if (priority === NORMAL_PRIORITY && all > 0 && lost === all)
    return { job, rank, priority: LOW_PRIORITY, group: FIRST_REGULAR_GROUP, key: modRevision };
  return { job, rank, priority, group: FIRST_REGULAR_GROUP + lost, key: modRevision };
}

/** Negative: `a` is served before `b`. */
const compare = (a: QueuePosition, b: QueuePosition): number =>
  a.rank - b.rank || a.priority - b.priority || a.group - b.group || a.key - b.key;

/**
 * Sorts the queue again: jobs within their team's guarantee first, then higher priority, then order
 * of arrival (by the revisions of the job records). Under overload, arrival order alone would make
 * every job late by the same delay. So a job that can no longer meet some objective is queued behind
 * the jobs of its priority that can meet theirs, and a job that must start soon to meet its deadline
 * is queued before those that need not. Of such urgent jobs, the one with the least waiting work
 * comes first: when not all can be in time, one large job would make many small ones late.
 */
export function sortQueue(state: CoreState, now: Now): void {
  state.newlyWaitingJobs.length = 0;
  for (const { job } of state.queue) job.isQueued = false;
  state.queue = [];
  for (const job of state.waitingJobs) {
    job.isQueued = true;
    state.queue.push(positionOf(state, job, now));
  }
  state.queue.sort(compare);
}

/** Inserts the jobs whose tasks have begun to wait since the queue was sorted. */
function insertNewlyWaiting(state: CoreState, now: Now): void {
  for (const job of state.newlyWaitingJobs.splice(0)) {
    if (job.isQueued || job.waitingCount === 0) continue;
    job.isQueued = true;
    const position = positionOf(state, job, now);
    state.queue.splice(insertionIndex(state.queue, position), 0, position);
  }
}

/** Index after all positions that sort before `position` or equal to it, by binary search. */
function insertionIndex(queue: readonly QueuePosition[], position: QueuePosition): number {
  let low = 0;
  let high = queue.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const other = queue[middle];
    if (other !== undefined && compare(other, position) <= 0) low = middle + 1;
    else high = middle;
  }
  return low;
}

/**
 * Jobs with waiting tasks whose retry time has passed, in the order of the latest tick, with the jobs
 * that arrived since inserted at their positions.
 */
export function currentQueue(state: CoreState, now: Now): JobState[] {
  insertNewlyWaiting(state, now);
  const jobs: JobState[] = [];
  for (const { job } of state.queue)
    if (job.waitingCount > 0 && job.retryAt <= now.monotonicMs) jobs.push(job);
  return jobs;
}

/** Jobs with waiting tasks whose retry time has passed, in an order computed for the present time. */
export function waitingJobs(state: CoreState, now: Now): JobState[] {
  sortQueue(state, now);
  return currentQueue(state, now);
}
