/** The queue: jobs with waiting tasks, in the order in which they are served. */
import { LOW_PRIORITY } from '../jobs/best-effort.js';
import { countLostObjectives, timeToDeadlineMs } from '../jobs/objectives.js';
import { expectedRun, waitingTasks } from '../jobs/jobs.js';
import type { JobState, Now, QueuePosition } from '../model.js';
import type { CoreState } from '../state.js';

/** The priority next above that of best-effort work. */
const NORMAL_PRIORITY = 2;

/** Group of the jobs that must start soon to be in time; the others follow by lost objectives. */
const URGENT_GROUP = 0;
const FIRST_REGULAR_GROUP = 1;

function positionOf(state: CoreState, job: JobState, now: Now): QueuePosition {
  const { lost, all } = countLostObjectives(state, job, now);
  const runMs = expectedRun(state, job.spec);
  const slackMs = timeToDeadlineMs(job, 1, now) - runMs;
  const rank = state.guaranteedJobs.has(job) ? 0 : 1;
  const { priority, modRevision } = job;
  // Urgent: it has to start within one run time from now to be in time.
  if (lost === 0 && slackMs < runMs) {
    const waitingWork = waitingTasks(job) * runMs * job.spec.cpus;
    return { job, rank, priority, group: URGENT_GROUP, key: waitingWork };
  }
  // A normal job that can no longer meet any objective counts as low priority, and stands among that by arrival.
  if (priority === NORMAL_PRIORITY && all > 0 && lost === all)
    return { job, rank, priority: LOW_PRIORITY, group: FIRST_REGULAR_GROUP, key: modRevision };
  return { job, rank, priority, group: FIRST_REGULAR_GROUP + lost, key: modRevision };
}

/** Negative: `a` is served before `b`. */
const compare = (a: QueuePosition, b: QueuePosition): number =>
  a.rank - b.rank || a.priority - b.priority || a.group - b.group || a.key - b.key;

/**
 * Works out the order anew: higher priority first, then order of arrival (of the job records'
 * revisions). Under overload, arrival order alone would make every job late by the same delay.
 * So a job that can no longer meet some objective stands behind those of its priority that can
 * meet theirs, and one that must start soon to be in time stands before those that need not. Of
 * those, the one with the least work waiting comes first: when not all can be in time, a large
 * job takes the place of many.
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

/** Inserts the jobs that have come to wait since the queue was sorted. */
function insertNewlyWaiting(state: CoreState, now: Now): void {
  for (const job of state.newlyWaitingJobs.splice(0)) {
    if (job.isQueued || job.waitingCount === 0) continue;
    job.isQueued = true;
    const position = positionOf(state, job, now);
    state.queue.splice(insertionIndex(state.queue, position), 0, position);
  }
}

/** Index behind all positions that are served no later; by binary search. */
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

/** Jobs that may be tried now, in the order as of the latest tick, with those that came since in their places. */
export function currentQueue(state: CoreState, now: Now): JobState[] {
  insertNewlyWaiting(state, now);
  const jobs: JobState[] = [];
  for (const { job } of state.queue)
    if (job.waitingCount > 0 && job.retryAt <= now.monotonicMs) jobs.push(job);
  return jobs;
}

/** Jobs that may be tried now, in an order worked out for this moment. */
export function waitingJobs(state: CoreState, now: Now): JobState[] {
  sortQueue(state, now);
  return currentQueue(state, now);
}
