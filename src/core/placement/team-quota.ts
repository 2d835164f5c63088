/** Team quotas: the resources that a team is guaranteed, and the limit on what it may use. */
import { isReady } from '../jobs/jobs.js';
import type { JobState, TeamUsage } from '../model.js';
import type { CoreState } from '../state.js';
import { isFaultyJob, RESOURCE_EPSILON } from './resources.js';

/** Whether a job's team stays within its limit with `count` more tasks of the job; a limit of 0 means none. */
export function isWithinTeamQuota(state: CoreState, job: JobState, count: number): boolean {
  const quota = state.config.teams.get(job.spec.team);
  if (quota === undefined) return true;
  const { cpus, gpus } = job.spec;
  const usage: Pick<TeamUsage, 'cpus' | 'gpus'> = state.usageByTeam.get(job.spec.team) ?? {
    cpus: 0,
    gpus: 0,
  };
  return (
    (quota.maxCpus <= 0 || usage.cpus + count * cpus <= quota.maxCpus + RESOURCE_EPSILON) &&
    (quota.maxGpus <= 0 || usage.gpus + count * gpus <= quota.maxGpus + RESOURCE_EPSILON)
  );
}

/**
 * Chooses the jobs within their team's guarantee: those that fit into it together with the team's
 * earlier unfinished jobs. They do not have to wait for jobs of other teams. If no team has a
 * guarantee, the jobs are not visited.
 */
export function chooseGuaranteed(state: CoreState): void {
  const remainingByTeam = new Map<string, { cpus: number; gpus: number }>();
  for (const [team, { guaranteedCpus, guaranteedGpus }] of state.config.teams)
    if (guaranteedCpus > 0 || guaranteedGpus > 0)
      remainingByTeam.set(team, { cpus: guaranteedCpus, gpus: guaranteedGpus });
  state.guaranteedJobs.clear();
  if (remainingByTeam.size === 0) return;
  for (const job of state.jobs.values()) {
    const { spec, finalStage, doneCount } = job;
    const remaining = remainingByTeam.get(spec.team);
    if (remaining === undefined || finalStage !== null || !isReady(job)) continue;
    const tasks = spec.tasks - doneCount;
    remaining.cpus -= tasks * spec.cpus;
    remaining.gpus -= tasks * spec.gpus;
    const fitsGuarantee = remaining.cpus > -RESOURCE_EPSILON && remaining.gpus > -RESOURCE_EPSILON;
    if (fitsGuarantee && !isFaultyJob(job)) state.guaranteedJobs.add(job);
  }
}
