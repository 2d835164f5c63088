/** The leader's part of the status page: one object, bounded in size. Field names are the page's own. */
import { freeResources, isFaultyJob, waitingJobs } from '../core/placement/index.js';
import { isReady, waitingTasks } from '../core/jobs/index.js';
import { taskKey, type Machine, type Now } from '../core/model.js';
import type { CoreState } from '../core/state.js';

const MAX_LISTED_MACHINES = 100;
/** Entries that any other list of the page holds at most. */
const MAX_LISTED = 10;

/** The stage of a machine, in the page's words. */
function stageOf(machine: Machine): string {
  if (machine.terminationReason !== null) return 'leaving';
  if (machine.reclaimedAt !== null) return 'being taken';
  if (machine.unresponsiveSince !== null) return 'deaf';
  if (machine.lastHeartbeatAt === null) return 'booting';
  return machine.isReconciled ? 'up' : 'unproven';
}

function describeMachine(state: CoreState, machine: Machine, now: Now): object {
  const type = state.machineTypes.get(machine.type);
  const { name, zone, spot, claims, terminationReason, lastHeartbeatAt } = machine;
  return {
    name,
    type: machine.type,
    zone,
    spot,
    stage: stageOf(machine),
    tasks: claims.size,
    ...(type === undefined ? {} : { freeCpus: freeResources(machine, type).cpus }),
    ...(lastHeartbeatAt === null ? {} : { heardMsAgo: Math.round(now.monotonicMs - lastHeartbeatAt) }),
    ...(terminationReason === null ? {} : { leaving: terminationReason }),
  };
}

/** Jobs whose dependencies have not ended, and the dependencies. */
function describeWaiting(state: CoreState): object {
  const waiting = [...state.jobs.values()].filter((job) => job.finalStage === null && !isReady(job));
  return {
    jobs: waiting.length,
    first: waiting.slice(0, MAX_LISTED).map(({ spec, pendingDependencies }) => ({
      id: spec.id,
      awaits: [...pendingDependencies].slice(0, MAX_LISTED),
      of: pendingDependencies.size,
    })),
  };
}

/** What only the leader knows: the queue, its head's reservation, the teams' usage, the machines and their price per hour. */
export function describeLeaderView(state: CoreState, now: Now): object {
  const queue = waitingJobs(state, now);
  const { head } = state;
  let perHour = 0;
  for (const machine of state.machines.values()) {
    const type = state.machineTypes.get(machine.type);
    if (type !== undefined) perHour += machine.spot ? type.spotPrice : type.price;
  }
  return {
    queue: {
      jobs: queue.length,
      tasks: queue.reduce((sum, job) => sum + waitingTasks(job), 0),
      first: queue.slice(0, MAX_LISTED).map(({ spec }) => spec.id),
    },
    waiting: describeWaiting(state),
    head:
      head === null
        ? null
        : {
            job: head.job,
            why: head.reason,
            shadowInMs: head.shadowTime === null ? null : Math.round(head.shadowTime - now.monotonicMs),
            reservedOn: head.machines.slice(0, MAX_LISTED),
          },
    promised: state.reservedJobs.map(({ spec }) => spec.id),
    beingStopped: [...state.preemptedClaims]
      .slice(0, MAX_LISTED)
      .map(({ job, task }) => taskKey(job.spec.id, task)),
    atFault: [...state.jobs.values()]
      .filter((job) => job.finalStage === null && isFaultyJob(job))
      .slice(0, MAX_LISTED)
      .map(({ spec, failedMachines, retryAt }) => ({
        id: spec.id,
        failedOn: failedMachines.size,
        nextTryInMs: Math.max(0, Math.round(retryAt - now.monotonicMs)),
      })),
    teams: Object.fromEntries(
      [...state.usageByTeam].map(([team, { cpus, gpus, tasks }]) => [
        team,
        { cpus: Math.round(cpus), gpus, tasks },
      ]),
    ),
    moneyPerHour: Math.round(perHour * 100) / 100,
    jobs: state.jobs.size,
    machines: [...state.machines.values()]
      .slice(0, MAX_LISTED_MACHINES)
      .map((machine) => describeMachine(state, machine, now)),
    machinesInAll: state.machines.size,
  };
}
