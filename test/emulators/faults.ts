/**
 * Fault injection: named faults, and simulated runs in which two or three of them overlap. Each fault begins
 * while the previous one still has an effect, at a moment that influences the outcome.
 */
import type { SubmittedJob } from './checker.js';
import { NODES, submitDag, TEAMS, type Simulation } from './simulation.js';

/** Injects a fault and returns its duration in milliseconds. */
type Fault = (world: Simulation) => number;

/** The values that follow from `testSettings`. */
const CANCEL_TIMEOUT_MS = 30_000;
const WORKER_LEASE_MS = 10_000;
const LEADER_LEASE_MS = 2000;

const pick = <T>(world: Simulation, from: readonly T[]): T =>
  from[Math.floor(world.draw() * from.length)] as T;

/** A node that leads, or any node if none does. */
const leaderOf = (world: Simulation): string => pick(world, world.leaders()) ?? pick(world, NODES);
const nodeIndex = (name: string): number => NODES.indexOf(name);
const between = (world: Simulation, from: number, to: number): number => from + (to - from) * world.draw();

/** A random share of the machines: at least one, if there are any. */
function someMachines(world: Simulation, share: number): string[] {
  const names = [...world.cloud.workers.keys()];
  const some = names.filter(() => world.draw() < share);
  return some.length > 0 || names.length === 0 ? some : [pick(world, names)];
}

function partitionFrom(world: Simulation, from: string, to: readonly string[], ms: number): void {
  for (const other of to) if (other !== from) world.network.partition(from, other, ms);
}

/** Partitions zone b from zone a, both ways. */
export function partitionZones(world: Simulation, ms: number): void {
  const isInZoneB = (name: string): boolean => world.zoneOf(name) === 'b';
  const hosts = [...NODES, ...world.cloud.workers.keys()];
  for (const one of hosts.filter(isInZoneB))
    for (const other of hosts) if (!isInZoneB(other)) world.network.partition(one, other, ms);
}

const FAULTS: Readonly<Record<string, Fault>> = {
  'store refuses the leader': (world) => {
    const ms = between(world, 5000, CANCEL_TIMEOUT_MS);
    world.state.refuse(leaderOf(world), ms);
    return ms;
  },
  // The leader still answers workers while other controllers confirm cancellations that it cannot learn of.
  'store refuses the leader, then all': (world) => {
    const delayMs = between(world, 300, LEADER_LEASE_MS + 500);
    const ms = between(world, 0.9 * CANCEL_TIMEOUT_MS, 1.8 * CANCEL_TIMEOUT_MS);
    world.state.refuse(leaderOf(world), delayMs + ms);
    for (let i = 0; i < 3; i += 1) world.clock.in(delayMs * world.draw(), () => world.cancelSome(0.4));
    world.clock.in(delayMs, () => world.state.outage(ms));
    return delayMs + ms;
  },
  'store refuses a node': (world) => {
    const ms = between(world, 2000, CANCEL_TIMEOUT_MS);
    world.state.refuse(pick(world, NODES), ms);
    return ms;
  },
  'store outage': (world) => {
    const ms = between(world, 1000, 1.5 * CANCEL_TIMEOUT_MS);
    world.state.outage(ms);
    return ms;
  },
  'slow store': (world) => {
    const ms = between(world, 5000, 25_000);
    world.state.slow(between(world, 200, 3000), ms);
    return ms;
  },
  'delayed transactions': (world) => {
    const ms = between(world, 5000, 30_000);
    world.state.delayTransactions(between(world, 0.2, 0.9), ms);
    return ms;
  },
  'leader partitioned from store and peers': (world) => {
    const ms = between(world, 5000, 60_000);
    const leader = leaderOf(world);
    partitionFrom(world, leader, [...NODES, 'state'], ms);
    return ms;
  },
  'leader refused by the store, partitioned from peers': (world) => {
    const ms = between(world, 5000, 45_000);
    const leader = leaderOf(world);
    world.state.refuse(leader, ms);
    partitionFrom(world, leader, [...NODES, 'cloud'], ms);
    return ms;
  },
  'leader crash': (world) => {
    world.crash(nodeIndex(leaderOf(world)), between(world, 20, 6000));
    return 6000;
  },
  'leader crash, restart within a second': (world) => {
    world.crash(nodeIndex(leaderOf(world)), between(world, 20, 1000));
    return LEADER_LEASE_MS;
  },
  'flapping node': (world) => {
    const node = nodeIndex(pick(world, NODES));
    for (let i = 0; i < 4; i += 1) world.clock.in(700 * i, () => world.crash(node, between(world, 20, 600)));
    return 4000;
  },
  'all crash, one restarts first': (world) => {
    const first = nodeIndex(pick(world, NODES));
    NODES.forEach((_, i) =>
      world.crash(i, i === first ? between(world, 20, 1000) : between(world, 2000, 15_000)),
    );
    return 15_000;
  },
  'leader paused': (world) => {
    const ms = between(world, 500, 1.2 * WORKER_LEASE_MS);
    world.pause(nodeIndex(leaderOf(world)), ms);
    return ms;
  },
  'slow leader': (world) => {
    const ms = between(world, 5000, 25_000);
    const node = nodeIndex(leaderOf(world));
    world.slowDown(node, between(world, 100, 900));
    world.clock.in(ms, () => world.slowDown(node, 0));
    return ms;
  },
  'peer links refused': (world) => {
    const ms = between(world, 5000, 30_000);
    world.refusePeers(ms);
    return ms;
  },
  'zones partitioned': (world) => {
    const ms = between(world, 3000, 35_000);
    partitionZones(world, ms);
    return ms;
  },
  'machines reach only one node': (world) => {
    const ms = between(world, 5000, 40_000);
    const reachableNode = world.draw() < 0.7 ? leaderOf(world) : pick(world, NODES);
    for (const name of someMachines(world, 0.6))
      for (const node of NODES) if (node !== reachableNode) world.network.partition(name, node, ms);
    return ms;
  },
  'machines unreachable': (world) => {
    const ms = between(world, 3000, 25_000);
    for (const name of someMachines(world, 0.4)) partitionFrom(world, name, NODES, ms);
    return ms;
  },
  'machines paused': (world) => {
    const ms = between(world, 0.3 * WORKER_LEASE_MS, 1.6 * WORKER_LEASE_MS);
    for (const name of someMachines(world, 0.4)) {
      const worker = world.cloud.workers.get(name);
      worker?.pause(ms);
    }
    return ms;
  },
  'machines receive nothing': (world) => {
    const ms = between(world, 2000, 25_000);
    for (const name of someMachines(world, 0.4)) world.network.blockInbound(name, ms);
    return ms;
  },
  'machine lost': (world) => {
    for (const name of someMachines(world, 0.2)) world.cloud.terminate(name);
    return WORKER_LEASE_MS;
  },
  'delayed cloud requests': (world) => {
    const ms = between(world, 5000, 25_000);
    world.cloud.delayRequests(between(world, 0.3, 0.9), ms);
    return ms;
  },
  'cloud outage': (world) => {
    const ms = between(world, 3000, 20_000);
    world.cloud.unavailableUntil = world.clock.now + ms;
    return ms;
  },
  cancellations: (world) => {
    world.cancelSome(0.5);
    return CANCEL_TIMEOUT_MS;
  },
  'lost responses': (world) => {
    const ms = between(world, 5000, 30_000);
    world.state.loseResponses(between(world, 0.2, 0.9), ms);
    return ms;
  },
  'duplicated heartbeats for the next leader': (world) => {
    const ms = between(world, 3000, 30_000);
    world.keepDuplicates(between(world, 0.2, 0.8), ms);
    return ms;
  },
  'machines send nothing': (world) => {
    const ms = between(world, 2000, 4 * WORKER_LEASE_MS);
    for (const name of someMachines(world, 0.4)) world.network.blockOutbound(name, ms);
    return ms;
  },
  'machines boot quickly': (world) => {
    const ms = between(world, 10_000, 40_000);
    world.cloud.bootQuickly(ms);
    for (const name of someMachines(world, 0.4)) world.cloud.terminate(name);
    return ms;
  },
  'cancellations at completion': (world) => {
    const ms = between(world, 5000, 40_000);
    world.cancelOnCompletion(between(world, 0.3, 1), ms);
    return ms;
  },
  // Pauses shorter and longer than the worker lease, and shorter and longer than cancel_s.
  'many cancellations, machines paused': (world) => {
    const ms = pick(world, [
      0.6 * WORKER_LEASE_MS,
      1.3 * WORKER_LEASE_MS,
      0.9 * CANCEL_TIMEOUT_MS,
      1.4 * CANCEL_TIMEOUT_MS,
    ]);
    for (const name of someMachines(world, 0.5)) {
      const worker = world.cloud.workers.get(name);
      worker?.pause(ms);
    }
    for (let i = 0; i < 4; i += 1) world.clock.in(200 * world.draw(), () => world.cancelSome(0.25));
    return ms;
  },
  'reads right after writes': (world) => {
    const ms = between(world, 5000, 40_000);
    world.readAfterWrites(ms);
    return ms;
  },
  'invalid requests': (world) => {
    const ms = between(world, 3000, 20_000);
    world.sendInvalidRequests(ms);
    return ms;
  },
  'all down for longer than a lease': (world) => {
    const ms = between(world, 1.05 * WORKER_LEASE_MS, 2.5 * WORKER_LEASE_MS);
    NODES.forEach((_, i) => world.crash(i, ms + 1500 * world.draw()));
    return ms;
  },
  'ten failovers': (world) => {
    const intervalMs = between(world, 4000, 9000);
    for (let i = 0; i < 10; i += 1)
      world.clock.in(i * intervalMs, () => world.crash(nodeIndex(leaderOf(world)), between(world, 20, 6000)));
    return 10 * intervalMs;
  },
  // Zone b, with its workers and its controller, is partitioned from the store and the cloud as well.
  'zone partitioned': (world) => {
    const ms = between(world, 1.05 * WORKER_LEASE_MS, 3 * WORKER_LEASE_MS);
    partitionZones(world, ms);
    for (const name of [...NODES, ...world.cloud.workers.keys()])
      if (world.zoneOf(name) === 'b') partitionFrom(world, name, ['state', 'cloud'], ms);
    return ms;
  },
};

/** Combinations reported from production; a randomly drawn fault follows each of them. */
const REPORTED_COMBINATIONS: readonly (readonly string[])[] = [
  ['delayed transactions', 'leader crash'],
  ['delayed transactions', 'cancellations'],
  ['delayed transactions', 'delayed transactions', 'leader crash, restart within a second'],
  ['leader partitioned from store and peers', 'cancellations'],
  ['machines paused', 'leader crash'],
  ['machines unreachable', 'leader crash'],
  ['leader crash', 'machines receive nothing'],
  ['slow store', 'cancellations'],
  ['store refuses the leader, then all'],
  ['store refuses the leader, then all', 'leader crash, restart within a second'],
  ['zones partitioned', 'store refuses the leader, then all'],
  ['machines reach only one node', 'store refuses the leader, then all'],
  ['all crash, one restarts first', 'flapping node'],
  ['slow leader', 'all crash, one restarts first'],
  ['reads right after writes', 'cancellations'],
  ['reads right after writes', 'lost responses'],
  ['reads right after writes', 'invalid requests', 'leader crash'],
  ['lost responses', 'leader crash'],
  ['lost responses', 'cancellations', 'leader crash, restart within a second'],
  ['cancellations at completion', 'store refuses the leader'],
  ['many cancellations, machines paused', 'leader crash'],
  ['many cancellations, machines paused', 'store refuses the leader, then all'],
  ['machines unreachable', 'many cancellations, machines paused', 'leader crash'],
  ['machines send nothing', 'leader crash'],
  ['machines send nothing', 'many cancellations, machines paused', 'leader crash'],
  ['machines boot quickly', 'delayed transactions', 'leader crash'],
  ['machines boot quickly', 'lost responses', 'leader crash, restart within a second'],
  ['duplicated heartbeats for the next leader', 'leader crash'],
  ['duplicated heartbeats for the next leader', 'machines unreachable', 'leader crash'],
  ['all down for longer than a lease', 'cancellations'],
  ['ten failovers', 'store outage'],
  ['ten failovers', 'cancellations', 'lost responses'],
  ['zone partitioned', 'cancellations'],
  ['zone partitioned', 'leader crash'],
  ['slow leader', 'cancellations'],
];

/** When the next fault begins, after the start of the current one: moments that influence the outcome. */
const START_MOMENTS: readonly ((world: Simulation, durationMs: number, begin: () => void) => void)[] = [
  (world, _, begin) => world.clock.in(between(world, 0, 2000), begin),
  (world, durationMs, begin) => world.clock.in(durationMs * world.draw(), begin),
  (world, durationMs, begin) => world.clock.in(Math.max(0, durationMs + between(world, -500, 500)), begin),
  (world, _, begin) => world.clock.in(LEADER_LEASE_MS + between(world, -500, 1000), begin),
  (world, _, begin) => world.clock.in(WORKER_LEASE_MS + between(world, -1500, 1500), begin),
  (world, _, begin) =>
    world.onNextLog('leader elected', () => world.clock.in(between(world, 0, 1500), begin)),
  (world, _, begin) =>
    world.onNextLog('leader state loaded', () => world.clock.in(between(world, 0, 300), begin)),
  (world, _, begin) => world.state.onNextWrite('run/', () => world.clock.in(between(world, 0, 20), begin)),
  (world, _, begin) => world.state.onNextDelayedCommit(() => world.clock.in(between(world, 0, 300), begin)),
  (world, _, begin) => world.state.onNextLostResponse(() => world.clock.in(between(world, 0, 300), begin)),
  (world, _, begin) => world.state.onNextWrite('ended/', () => world.clock.in(between(world, 0, 20), begin)),
];

/** Injects faults, each during the effects of the previous one; users sometimes cancel jobs during a fault. */
function injectFaults(world: Simulation, names: readonly string[], onFault: (name: string) => void): void {
  const [name, ...followingFaults] = names;
  if (name === undefined) return;
  onFault(name);
  const durationMs = FAULTS[name]?.(world) ?? 0;
  if (world.draw() < 0.5) world.clock.in(between(world, 0, 3000), () => world.cancelSome(0.2));
  if (followingFaults.length > 0)
    pick(world, START_MOMENTS)(world, durationMs, () => injectFaults(world, followingFaults, onFault));
}

/** The latest start of the first fault of a combination, and the longest runtime of a task, in milliseconds. */
const LATEST_START_MS = 60_000;
export const MAX_RUNTIME_MS = 70_000;

/**
 * Draws a run with `combinations` groups of overlapping faults: jobs of a few tasks that end far apart, so that
 * cancelled tasks would run on for long, and jobs of up to eight short tasks. `onFault` is called with the name of
 * each fault when it begins.
 */
export function drawConcurrentFaults(
  world: Simulation,
  combinations: number,
  onFault: (name: string) => void,
): void {
  const { draw, clock, cloud } = world;
  cloud.capacity = 10;
  for (let i = 0; i < 14; i += 1) {
    const id = `req-${String(i).padStart(6, '0')}`;
    const isLong = draw() < 0.6;
    const job: SubmittedJob = {
      id,
      jobClass: isLong ? 'long' : 'short',
      team: pick(world, TEAMS),
      tasks: isLong ? 1 + Math.floor(3 * draw()) : 1 + Math.floor(8 * draw()),
      cpus: pick(world, [1, 2]),
      memoryGb: 2,
      spot: draw() < 0.7,
      zone: draw() < 0.15 ? pick(world, ['a', 'b']) : null,
      oneZone: draw() < 0.1,
      spread: draw() < 0.15,
    };
    if (isLong) world.runtimes.set(id, [2000 + 0.3 * MAX_RUNTIME_MS * draw(), MAX_RUNTIME_MS * draw()]);
    clock.in(
      LATEST_START_MS * draw() ** 1.5,
      () => void world.user(job, draw() < 0.15 ? 30_000 * draw() : null),
    );
  }
  if (draw() < 0.4)
    for (let i = 0; i < 2; i += 1)
      clock.in(0.7 * LATEST_START_MS * draw(), () => void submitDag(world, i, 3));
  const allNames = Object.keys(FAULTS);
  const drawNames = (): string[] => Array.from({ length: draw() < 0.5 ? 2 : 3 }, () => pick(world, allNames));
  for (let i = 0; i < combinations; i += 1) {
    const names = draw() < 0.5 ? [...pick(world, REPORTED_COMBINATIONS), pick(world, allNames)] : drawNames();
    clock.in(8000 + (LATEST_START_MS - 8000) * draw(), () => injectFaults(world, names, onFault));
  }
}
