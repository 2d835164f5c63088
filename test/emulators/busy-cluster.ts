/** A simulation in which all tasks of a few long jobs run: the initial state of the tests of faults. */
import { expect } from 'vitest';
import { NODES, seeded, Simulation } from './simulation.js';

/** The emulators' cancel_s and the lease of a worker, in milliseconds. */
export const CANCEL = 30_000;
export const LEASE = 10_000;
export const FROM = 20_000;
/** In the simulation of this seed n-0 leads. */
export const DEPUTY_SEED = 7;

interface BusyCluster {
  readonly world: Simulation;
  readonly leader: number;
  /** The other nodes. */
  readonly others: readonly number[];
  readonly ids: readonly string[];
}

/** Long jobs of three tasks, all of them running, under one leader. */
export async function startBusyCluster(
  seed = 3,
  {
    jobs = 3,
    runs = [60_000, 30_000] as readonly [number, number],
    machines = 6,
    tasks = 3,
    /** Duplicates of the heartbeats of the first `copies` milliseconds are kept for the next leader. */
    copies = 0,
    /** Followers accept heartbeats for the leader. */
    sharing = false,
  } = {},
): Promise<BusyCluster> {
  const world = new Simulation(seeded(seed), { keepLog: true, ...(sharing ? { sharing } : {}) });
  if (copies > 0) world.keepDuplicates(1, copies);
  world.cloud.capacity = machines;
  const ids = Array.from({ length: jobs }, (_, i) => `req-${String(i).padStart(6, '0')}`);
  const place = { team: 'crew', cpus: 2, memoryGb: 1, spot: true, zone: null, oneZone: false, spread: false };
  for (const id of ids) {
    world.runtimes.set(id, runs);
    void world.user({ ...place, id, tasks }, null);
  }
  await world.clock.runUntil(FROM);
  expect(world.checker.placedTasks()).toBe(jobs * tasks);
  const leader = NODES.indexOf(world.leaders()[0] ?? '');
  return { world, leader, others: [0, 1, 2].filter((node) => node !== leader), ids };
}

/** Limits all machines to one node: heartbeats to the others and their responses are held back. */
export function reachOnly(world: Simulation, node: string, ms: number): void {
  for (const name of world.cloud.workers.keys())
    for (const other of NODES) if (other !== node) world.network.partition(name, other, ms);
}

/** Lets the run end; no rule may be violated and every accepted job must end. */
export async function expectCleanEnd(world: Simulation, ms = 250_000): Promise<void> {
  await world.clock.runUntil(world.clock.now + ms);
  expect(world.checker.violations).toEqual([]);
  expect(world.checker.unfinishedJobs()).toEqual([]);
}
