/** The queue: jobs with waiting tasks, in the order in which they are served. */
import { countLostObjectives, timeLeft } from '../jobs/objectives.js';
import { expectedRun, waitingTasks } from '../jobs/jobs.js';
import type { JobState, Now, QueuePosition } from '../model.js';
import type { CoreState } from '../state.js';

/** Where a job stands within its priority. */
function standing(state: CoreState, job: JobState, now: Now): QueuePosition {
  const { lost, all } = countLostObjectives(state, job, now);
  const run = expectedRun(state, job.spec);
  const slack = timeLeft(job, 1, now) - run;
  const rank = state.guaranteedJobs.has(job) ? 0 : 1;
  // Pressed: it has to start within a run time from now to be in time.
  if (lost === 0 && slack < run)
    return { job, rank, priority: job.priority, group: 0, key: waitingTasks(job) * run * job.spec.cpus };
  // What can no longer be in time at all is idle-time work itself, in its arrival place among that: a
  // backlog of late jobs kept a guest's arrays from room for 400 s, and gained nothing by it.
  if (job.priority === 2 && all > 0 && lost === all)
    return { job, rank, priority: 3, group: 1, key: job.modRevision };
  return { job, rank, priority: job.priority, group: 1 + lost, key: job.modRevision };
}

const before = (a: QueuePosition, b: QueuePosition): number =>
  a.rank - b.rank || a.priority - b.priority || a.group - b.group || a.key - b.key;

/**
 * Works out the order anew: higher priority first, then order of arrival (the order of the
 * stamps). Under overload, arrival order alone would make every job late by the same
 * delay. So a job of which some aim can no longer be met stands behind those of its
 * priority that can still meet theirs, and one that must start soon to be in time stands
 * before those that need not. Of those, the one with the least work waiting comes first:
 * when not all can be in time, a large job takes the room of many.
 */
export function sortQueue(state: CoreState, now: Now): void {
  state.newlyWaitingJobs.length = 0;
  for (const { job } of state.queue) job.isQueued = false;
  state.queue = [];
  for (const job of state.waitingJobs) {
    job.isQueued = true;
    state.queue.push(standing(state, job, now));
  }
  state.queue.sort(before);
}

/** Puts those that have come to wait since into their places. */
function admit(state: CoreState, now: Now): void {
  for (const job of state.newlyWaitingJobs.splice(0)) {
    if (job.isQueued || job.waitingCount === 0) continue;
    job.isQueued = true;
    const own = standing(state, job, now);
    let from = 0;
    let to = state.queue.length;
    while (from < to) {
      const middle = (from + to) >> 1;
      const other = state.queue[middle];
      if (other !== undefined && before(other, own) <= 0) from = middle + 1;
      else to = middle;
    }
    state.queue.splice(from, 0, own);
  }
}

/** The order as of the latest tick, with those that came since in their places; those that may be tried. */
export function currentQueue(state: CoreState, now: Now): JobState[] {
  admit(state, now);
  const jobs: JobState[] = [];
  for (const { job } of state.queue)
    if (job.waitingCount > 0 && job.retryAt <= now.monotonicMs) jobs.push(job);
  return jobs;
}

/** Jobs with waiting tasks that may be tried now, in the order of this moment. */
export function waitingJobs(state: CoreState, now: Now): JobState[] {
  sortQueue(state, now);
  return currentQueue(state, now);
}
