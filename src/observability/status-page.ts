/** The leader's part of the status page: one object of bounded size. Its field names are those of the page. */
import { freeResources, isFaultyJob, waitingJobs } from '../core/placement/index.js';
import { isReady, waitingTasks } from '../core/jobs/index.js';
import { taskKey, type Machine, type Now } from '../core/model.js';
import type { CoreState } from '../core/state.js';

const MAX_LISTED_MACHINES = 100;
/** Maximum number of entries in each other list. `promised` is bounded per job class where the jobs are chosen. */
const MAX_LISTED = 10;

/** The stage of a machine, as the status page names it. */
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

/** The jobs that wait for dependencies, and the dependencies that they wait for. */
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

/**
 * The part of the status page that only the leader can provide: the queue, the reservation of the queue's head, the
 * teams' usage, and the machines with their price per hour.
 */
export function describeLeaderView(state: CoreState, now: Now): object {
  const queue = waitingJobs(state, now);
  const { headReservation: head } = state;
  let pricePerHour = 0;
  for (const machine of state.machines.values()) {
    const type = state.machineTypes.get(machine.type);
    if (type !== undefined) pricePerHour += machine.spot ? type.spotPrice : type.price;
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
    moneyPerHour: Math.round(pricePerHour * 100) / 100,
    jobs: state.jobs.size,
    machines: [...state.machines.values()]
      .slice(0, MAX_LISTED_MACHINES)
      .map((machine) => describeMachine(state, machine, now)),
    machinesInAll: state.machines.size,
  };
}
