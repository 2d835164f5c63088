/** A world in which jobs of a few long tasks are all out: what the tests of meetings begin with. */
import { expect } from 'vitest';
import { NODES, seeded, Simulation } from './simulation.js';

/** The emulators' cancel_s and the lease of a worker, in milliseconds. */
export const CANCEL = 30_000;
export const LEASE = 10_000;
export const FROM = 20_000;
/** In the world of this seed n-0 leads. */
export const DEPUTY_SEED = 7;

interface AtWork {
  readonly world: Simulation;
  readonly leader: number;
  /** The other nodes. */
  readonly others: readonly number[];
  readonly ids: readonly string[];
}

/** Jobs of three tasks that run for long, all of them out, under one leader. */
export async function atWork(
  seed = 3,
  {
    jobs = 3,
    runs = [60_000, 30_000] as readonly [number, number],
    machines = 6,
    tasks = 3,
    /** For so long, from the start on, copies of reports are kept for the next leader. */
    copies = 0,
    /** Followers take reports for the leader. */
    sharing = false,
  } = {},
): Promise<AtWork> {
  const world = new Simulation(seeded(seed), { keepLog: true, ...(sharing ? { sharing } : {}) });
  if (copies > 0) world.keepCopies(1, copies);
  world.cloud.capacity = machines;
  const ids = Array.from({ length: jobs }, (_, i) => `req-${String(i).padStart(6, '0')}`);
  const place = { team: 'crew', cpus: 2, memoryGb: 1, spot: true, zone: null, oneZone: false, spread: false };
  for (const id of ids) {
    world.runs.set(id, runs);
    void world.user({ ...place, id, tasks }, null);
  }
  await world.clock.runUntil(FROM);
  expect(world.checker.out()).toBe(jobs * tasks);
  const leader = NODES.indexOf(world.leaders()[0] ?? '');
  return { world, leader, others: [0, 1, 2].filter((node) => node !== leader), ids };
}

/** Machines whose reports, and their answers, pass between them and one node alone. */
export function reachOnly(world: Simulation, node: string, ms: number): void {
  for (const name of world.cloud.workers.keys())
    for (const other of NODES) if (other !== node) world.network.cut(name, other, ms);
}

export async function endsWell(world: Simulation, ms = 250_000): Promise<void> {
  await world.clock.runUntil(world.clock.now + ms);
  expect(world.checker.broken).toEqual([]);
  expect(world.checker.unfinished()).toEqual([]);
}
