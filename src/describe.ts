/** The operators' view of a controller: one object, bounded in size. */
import { freeRoom, isAtFault, waitingJobs } from './core/placement/index.js';
import { isReady, waitingTasks } from './core/jobs/index.js';
import { taskKey, type Machine, type Now } from './core/model.js';
import type { CoreState } from './core/state.js';

const MOST_LISTED = 100;

function stageOf(machine: Machine): string {
  if (machine.leaving !== null) return 'leaving';
  if (machine.takenAt !== null) return 'being taken';
  if (machine.unresponsiveSince !== null) return 'deaf';
  if (machine.heardAt === null) return 'booting';
  return machine.whole ? 'up' : 'unproven';
}

function describeMachine(state: CoreState, machine: Machine, now: Now): object {
  const type = state.types.get(machine.type);
  const { name, zone, spot, claims, leaving, heardAt } = machine;
  return {
    name,
    type: machine.type,
    zone,
    spot,
    stage: stageOf(machine),
    tasks: claims.size,
    ...(type === undefined ? {} : { freeCpus: freeRoom(machine, type).cpus }),
    ...(heardAt === null ? {} : { heardMsAgo: Math.round(now.mono - heardAt) }),
    ...(leaving === null ? {} : { leaving }),
  };
}

/** Jobs that wait for others, and for which. */
function describeWaiting(state: CoreState): object {
  const waiting = [...state.jobs.values()].filter((job) => job.over === null && !isReady(job));
  return {
    jobs: waiting.length,
    first: waiting
      .slice(0, 10)
      .map(({ spec, waitsFor }) => ({ id: spec.id, awaits: [...waitsFor].slice(0, 10), of: waitsFor.size })),
  };
}

/** What only a leader knows: the queue, its head, the machines and what they cost. */
export function describeLead(state: CoreState, now: Now): object {
  const queue = waitingJobs(state, now);
  const { head } = state;
  let perHour = 0;
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    if (type !== undefined) perHour += machine.spot ? type.spotPrice : type.price;
  }
  return {
    queue: {
      jobs: queue.length,
      tasks: queue.reduce((sum, job) => sum + waitingTasks(job), 0),
      first: queue.slice(0, 10).map(({ spec }) => spec.id),
    },
    waiting: describeWaiting(state),
    head:
      head === null
        ? null
        : {
            job: head.job,
            why: head.reason,
            shadowInMs: head.shadow === null ? null : Math.round(head.shadow - now.mono),
            reservedOn: head.machines.slice(0, 10),
          },
    promised: state.promised.map(({ spec }) => spec.id),
    beingStopped: [...state.halting].slice(0, 10).map(({ job, task }) => taskKey(job.spec.id, task)),
    atFault: [...state.jobs.values()]
      .filter((job) => job.over === null && isAtFault(job))
      .slice(0, 10)
      .map(({ spec, failedOn, retryAt }) => ({
        id: spec.id,
        failedOn: failedOn.size,
        nextTryInMs: Math.max(0, Math.round(retryAt - now.mono)),
      })),
    teams: Object.fromEntries(
      [...state.use].map(([team, { cpus, gpus, tasks }]) => [team, { cpus: Math.round(cpus), gpus, tasks }]),
    ),
    moneyPerHour: Math.round(perHour * 100) / 100,
    jobs: state.jobs.size,
    machines: [...state.machines.values()]
      .slice(0, MOST_LISTED)
      .map((machine) => describeMachine(state, machine, now)),
    machinesInAll: state.machines.size,
  };
}
