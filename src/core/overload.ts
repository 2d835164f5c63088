/**
 * Who is to be late when not all can be in time. Under overload, serving the most pressed
 * first spends the room on large jobs that end late all the same, and makes everyone late.
 * So of the jobs of a class, in the order of their deadlines, as many are kept in time as
 * can be: whenever the work up to some deadline exceeds what the machines can do by then,
 * the largest of them is given up (the rule of Moore and Hodgson, with the machines taken
 * for one server). Jobs given up stand behind; nothing changes while all can be in time.
 */
import { expectedEnd, onlyType } from './easy.js';
import { waitingTasks } from './ledger.js';
import { ESTIMATE_DOUBT, expectedRun, timeLeft } from './queue.js';
import { fits } from './room.js';
import type { CoreState, JobState, Now } from './state.js';

interface Candidate {
  readonly job: JobState;
  readonly run: number;
  /** Core-milliseconds of its waiting tasks. */
  readonly work: number;
}

/** Cores that jobs like this one may count on: of the machines that take it, less what others hold. */
function coresFor(state: CoreState, like: JobState): number {
  const { spec } = like;
  const choosy = onlyType(state, spec) === null;
  let cores = 0;
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    if (type === undefined || machine.leaving !== null || machine.heardAt === null) continue;
    if (!fits(spec, type) || (choosy && state.scarceTypes.has(type.name))) continue;
    cores += type.cpus;
    for (const { job } of machine.claims.values()) {
      const other = job.spec.jobClass !== spec.jobClass && job.spec.priority <= spec.priority;
      if (other) cores -= job.spec.cpus;
    }
  }
  return cores;
}

/** Of jobs in the order of their deadlines, those that cannot all be in time, the largest first. */
function giveUp(
  jobs: readonly Candidate[],
  times: number,
  before: number,
  cores: number,
  now: Now,
): { late: Candidate[]; work: number } {
  const late: Candidate[] = [];
  const kept: Candidate[] = [];
  let work = before;
  for (const candidate of jobs) {
    kept.push(candidate);
    work += candidate.work;
    // The last task starts when most of the work before it is done, and then runs.
    while (kept.length > 0 && work / cores + candidate.run / 2 > timeLeft(candidate.job.spec, times, now)) {
      const largest = kept.reduce((most, one) => (one.work > most.work ? one : most));
      kept.splice(kept.indexOf(largest), 1);
      work -= largest.work;
      late.push(largest);
      if (largest === candidate) break;
    }
  }
  return { late, work };
}

/** For each job that is not to meet them all, how many of its deadline aims are given up. */
export function chooseLate(state: CoreState, now: Now): Map<JobState, number> {
  const classes = new Map<string, JobState[]>();
  for (const job of state.jobs.values()) {
    if (job.over !== null || job.spec.deadlineS === null || job.spec.form !== 'array') continue;
    const name = `${job.spec.priority}/${job.spec.jobClass}`;
    const list = classes.get(name);
    if (list === undefined) classes.set(name, [job]);
    else list.push(job);
  }
  const givenUp = new Map<JobState, number>();
  for (const jobs of classes.values()) {
    const [first] = jobs;
    if (first === undefined || !jobs.some((job) => waitingTasks(job) > 0)) continue;
    const cores = Math.max(first.spec.cpus, coresFor(state, first));
    let work = 0;
    for (const job of jobs) {
      for (const claim of job.claims.values())
        work += Math.max(0, expectedEnd(state, claim, now) - now.mono) * job.spec.cpus;
    }
    let left = jobs
      .filter((job) => waitingTasks(job) > 0)
      .map((job): Candidate => {
        const run = expectedRun(state, job.spec);
        return { job, run, work: waitingTasks(job) * run * job.spec.cpus };
      });
    const aims = [...(state.rules.deadlineTimes.get(first.spec.jobClass) ?? [1])].sort((a, b) => a - b);
    for (const [index, times] of aims.entries()) {
      const able = left
        .filter(({ job, run }) => timeLeft(job.spec, times, now) >= run * (1 - ESTIMATE_DOUBT))
        .sort((a, b) => timeLeft(a.job.spec, times, now) - timeLeft(b.job.spec, times, now));
      const found = giveUp(able, times, work, cores, now);
      work = found.work;
      for (const { job } of found.late) givenUp.set(job, index + 1);
      const kept = new Set(able.map(({ job }) => job));
      for (const { job } of found.late) kept.delete(job);
      left = left.filter(({ job }) => !kept.has(job));
    }
  }
  return givenUp;
}
