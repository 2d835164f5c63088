/** A simulation in which all tasks of a few long jobs are running: the initial state of fault tests. */
import { expect } from 'vitest';
import { NODES, seeded, Simulation } from './simulation.js';

/** The values of cancel_s and of the worker lease in `testSettings`, in milliseconds. */
export const CANCEL_TIMEOUT_MS = 30_000;
export const WORKER_LEASE_MS = 10_000;
/** The virtual time at which `startBusyCluster` returns, in milliseconds. */
export const ALL_RUNNING_AT_MS = 20_000;
/** With this seed n-0 is elected leader. */
export const DEPUTY_SEED = 7;

interface BusyCluster {
  readonly simulation: Simulation;
  readonly leader: number;
  /** The other nodes. */
  readonly others: readonly number[];
  readonly ids: readonly string[];
}

/** Starts long jobs, by default three of three tasks each, and returns when all their tasks run. */
export async function startBusyCluster(
  seed = 3,
  {
    jobs = 3,
    runs = [60_000, 30_000] as readonly [number, number],
    machines = 6,
    tasks = 3,
    /** Duplicates of the heartbeats sent in the first `copies` milliseconds are held for the next leader. */
    copies = 0,
    /** Followers accept heartbeats for the leader. */
    sharing = false,
  } = {},
): Promise<BusyCluster> {
  const simulation = new Simulation(seeded(seed), { keepLog: true, ...(sharing ? { sharing } : {}) });
  if (copies > 0) simulation.keepDuplicates(1, copies);
  simulation.cloud.capacity = machines;
  const ids = Array.from({ length: jobs }, (_, i) => `req-${String(i).padStart(6, '0')}`);
  const placement = {
    team: 'crew',
    cpus: 2,
    memoryGb: 1,
    spot: true,
    zone: null,
    oneZone: false,
    spread: false,
  };
  for (const id of ids) {
    simulation.runtimes.set(id, runs);
    void simulation.simulateUser({ ...placement, id, tasks }, null);
  }
  await simulation.clock.runUntil(ALL_RUNNING_AT_MS);
  expect(simulation.checker.placedTasks()).toBe(jobs * tasks);
  const leader = NODES.indexOf(simulation.leaders()[0] ?? '');
  return { simulation, leader, others: [0, 1, 2].filter((node) => node !== leader), ids };
}

/**
 * Partitions all machines from every node but one: messages between them and the other nodes are lost or held back
 * until the partition ends.
 */
export function partitionMachinesFromAllBut(simulation: Simulation, node: string, ms: number): void {
  for (const machine of simulation.cloud.workers.keys())
    for (const other of NODES) if (other !== node) simulation.network.partition(machine, other, ms);
}

/** Runs the simulation for another `ms`; no rule may be violated and every accepted job must end. */
export async function expectCleanEnd(simulation: Simulation, ms = 250_000): Promise<void> {
  await simulation.clock.runUntil(simulation.clock.now + ms);
  expect(simulation.checker.violations).toEqual([]);
  expect(simulation.checker.unfinishedJobs()).toEqual([]);
}
