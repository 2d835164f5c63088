/** The queue: jobs with waiting tasks, in the order in which they are served. */
import { waitingTasks } from './ledger.js';
import type { CoreState, JobState, Now } from './state.js';

/** Higher priority first, then order of arrival, which is the order of the stamps. */
export function queueOrder(a: JobState, b: JobState): number {
  return a.spec.priority - b.spec.priority || a.stamp - b.stamp;
}

export function waitingJobs(state: CoreState, now: Now): JobState[] {
  const waiting: JobState[] = [];
  for (const job of state.jobs.values()) {
    if (waitingTasks(job) > 0 && job.retryAt <= now.mono) waiting.push(job);
  }
  return waiting.sort(queueOrder);
}

/** What every team's tasks use that are not proven gone, by team. */
export function teamUse(state: CoreState): Map<string, { cpus: number; gpus: number }> {
  const use = new Map<string, { cpus: number; gpus: number }>();
  for (const { spec, claims } of state.jobs.values()) {
    if (claims.size === 0) continue;
    const sum = use.get(spec.team) ?? { cpus: 0, gpus: 0 };
    sum.cpus += spec.cpus * claims.size;
    sum.gpus += spec.gpus * claims.size;
    use.set(spec.team, sum);
  }
  return use;
}
