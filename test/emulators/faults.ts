/**
 * Fault injection: named faults, and simulated runs in which two or three of them overlap. Each fault begins during
 * the previous one or soon after it, at a moment that influences the outcome.
 */
import type { SubmittedJob } from './checker.js';
import { NODES, submitDag, TEAMS, type Simulation } from './simulation.js';

/** Injects a fault and returns its duration in milliseconds. */
type Fault = (simulation: Simulation) => number;

/** The values that follow from `testSettings`. */
const CANCEL_TIMEOUT_MS = 30_000;
const WORKER_LEASE_MS = 10_000;
const LEADER_LEASE_MS = 2000;

const pick = <T>(simulation: Simulation, from: readonly T[]): T =>
  from[Math.floor(simulation.draw() * from.length)] as T;

/** A node that leads, or any node if none does. */
const leaderOf = (simulation: Simulation): string =>
  pick(simulation, simulation.leaders()) ?? pick(simulation, NODES);
const nodeIndex = (name: string): number => NODES.indexOf(name);
const between = (simulation: Simulation, from: number, to: number): number =>
  from + (to - from) * simulation.draw();

/** A random share of the machines: at least one, if there are any. */
function someMachines(simulation: Simulation, share: number): string[] {
  const names = [...simulation.cloud.workers.keys()];
  const some = names.filter(() => simulation.draw() < share);
  return some.length > 0 || names.length === 0 ? some : [pick(simulation, names)];
}

function partitionFrom(simulation: Simulation, from: string, to: readonly string[], ms: number): void {
  for (const other of to) if (other !== from) simulation.network.partition(from, other, ms);
}

/** Partitions zone b from zone a, both ways. */
export function partitionZones(simulation: Simulation, ms: number): void {
  const isInZoneB = (name: string): boolean => simulation.zoneOf(name) === 'b';
  const hosts = [...NODES, ...simulation.cloud.workers.keys()];
  for (const one of hosts.filter(isInZoneB))
    for (const other of hosts) if (!isInZoneB(other)) simulation.network.partition(one, other, ms);
}

const FAULTS: Readonly<Record<string, Fault>> = {
  'store refuses the leader': (simulation) => {
    const ms = between(simulation, 5000, CANCEL_TIMEOUT_MS);
    simulation.store.refuse(leaderOf(simulation), ms);
    return ms;
  },
  // The leader still answers workers while other controllers confirm cancellations that it cannot learn of.
  'store refuses the leader, then all': (simulation) => {
    const delayMs = between(simulation, 300, LEADER_LEASE_MS + 500);
    const ms = between(simulation, 0.9 * CANCEL_TIMEOUT_MS, 1.8 * CANCEL_TIMEOUT_MS);
    simulation.store.refuse(leaderOf(simulation), delayMs + ms);
    for (let i = 0; i < 3; i += 1)
      simulation.clock.in(delayMs * simulation.draw(), () => simulation.cancelSome(0.4));
    simulation.clock.in(delayMs, () => simulation.store.outage(ms));
    return delayMs + ms;
  },
  'store refuses a node': (simulation) => {
    const ms = between(simulation, 2000, CANCEL_TIMEOUT_MS);
    simulation.store.refuse(pick(simulation, NODES), ms);
    return ms;
  },
  'store outage': (simulation) => {
    const ms = between(simulation, 1000, 1.5 * CANCEL_TIMEOUT_MS);
    simulation.store.outage(ms);
    return ms;
  },
  'slow store': (simulation) => {
    const ms = between(simulation, 5000, 25_000);
    simulation.store.slow(between(simulation, 200, 3000), ms);
    return ms;
  },
  'delayed transactions': (simulation) => {
    const ms = between(simulation, 5000, 30_000);
    simulation.store.delayTransactions(between(simulation, 0.2, 0.9), ms);
    return ms;
  },
  'leader partitioned from store and peers': (simulation) => {
    const ms = between(simulation, 5000, 60_000);
    const leader = leaderOf(simulation);
    partitionFrom(simulation, leader, [...NODES, 'state'], ms);
    return ms;
  },
  'leader refused by the store, partitioned from peers': (simulation) => {
    const ms = between(simulation, 5000, 45_000);
    const leader = leaderOf(simulation);
    simulation.store.refuse(leader, ms);
    partitionFrom(simulation, leader, [...NODES, 'cloud'], ms);
    return ms;
  },
  'leader crash': (simulation) => {
    simulation.crash(nodeIndex(leaderOf(simulation)), between(simulation, 20, 6000));
    return 6000;
  },
  'leader crash, restart within a second': (simulation) => {
    simulation.crash(nodeIndex(leaderOf(simulation)), between(simulation, 20, 1000));
    return LEADER_LEASE_MS;
  },
  'flapping node': (simulation) => {
    const node = nodeIndex(pick(simulation, NODES));
    for (let i = 0; i < 4; i += 1)
      simulation.clock.in(700 * i, () => simulation.crash(node, between(simulation, 20, 600)));
    return 4000;
  },
  'all crash, one restarts first': (simulation) => {
    const first = nodeIndex(pick(simulation, NODES));
    NODES.forEach((_, i) =>
      simulation.crash(i, i === first ? between(simulation, 20, 1000) : between(simulation, 2000, 15_000)),
    );
    return 15_000;
  },
  'leader paused': (simulation) => {
    const ms = between(simulation, 500, 1.2 * WORKER_LEASE_MS);
    simulation.pause(nodeIndex(leaderOf(simulation)), ms);
    return ms;
  },
  'slow leader': (simulation) => {
    const ms = between(simulation, 5000, 25_000);
    const node = nodeIndex(leaderOf(simulation));
    simulation.slowDown(node, between(simulation, 100, 900));
    simulation.clock.in(ms, () => simulation.slowDown(node, 0));
    return ms;
  },
  'peer links refused': (simulation) => {
    const ms = between(simulation, 5000, 30_000);
    simulation.refusePeers(ms);
    return ms;
  },
  'zones partitioned': (simulation) => {
    const ms = between(simulation, 3000, 35_000);
    partitionZones(simulation, ms);
    return ms;
  },
  'machines reach only one node': (simulation) => {
    const ms = between(simulation, 5000, 40_000);
    const reachableNode = simulation.draw() < 0.7 ? leaderOf(simulation) : pick(simulation, NODES);
    for (const name of someMachines(simulation, 0.6))
      for (const node of NODES) if (node !== reachableNode) simulation.network.partition(name, node, ms);
    return ms;
  },
  'machines unreachable': (simulation) => {
    const ms = between(simulation, 3000, 25_000);
    for (const name of someMachines(simulation, 0.4)) partitionFrom(simulation, name, NODES, ms);
    return ms;
  },
  'machines paused': (simulation) => {
    const ms = between(simulation, 0.3 * WORKER_LEASE_MS, 1.6 * WORKER_LEASE_MS);
    for (const name of someMachines(simulation, 0.4)) {
      const worker = simulation.cloud.workers.get(name);
      worker?.pause(ms);
    }
    return ms;
  },
  'machines receive nothing': (simulation) => {
    const ms = between(simulation, 2000, 25_000);
    for (const name of someMachines(simulation, 0.4)) simulation.network.blockInbound(name, ms);
    return ms;
  },
  'machine lost': (simulation) => {
    for (const name of someMachines(simulation, 0.2)) simulation.cloud.terminate(name);
    return WORKER_LEASE_MS;
  },
  'delayed cloud requests': (simulation) => {
    const ms = between(simulation, 5000, 25_000);
    simulation.cloud.delayRequests(between(simulation, 0.3, 0.9), ms);
    return ms;
  },
  'cloud outage': (simulation) => {
    const ms = between(simulation, 3000, 20_000);
    simulation.cloud.unavailableUntil = simulation.clock.now + ms;
    return ms;
  },
  cancellations: (simulation) => {
    simulation.cancelSome(0.5);
    return CANCEL_TIMEOUT_MS;
  },
  'lost responses': (simulation) => {
    const ms = between(simulation, 5000, 30_000);
    simulation.store.loseResponses(between(simulation, 0.2, 0.9), ms);
    return ms;
  },
  'duplicated heartbeats for the next leader': (simulation) => {
    const ms = between(simulation, 3000, 30_000);
    simulation.keepDuplicates(between(simulation, 0.2, 0.8), ms);
    return ms;
  },
  'machines send nothing': (simulation) => {
    const ms = between(simulation, 2000, 4 * WORKER_LEASE_MS);
    for (const name of someMachines(simulation, 0.4)) simulation.network.blockOutbound(name, ms);
    return ms;
  },
  'machines boot quickly': (simulation) => {
    const ms = between(simulation, 10_000, 40_000);
    simulation.cloud.bootQuickly(ms);
    for (const name of someMachines(simulation, 0.4)) simulation.cloud.terminate(name);
    return ms;
  },
  'cancellations at completion': (simulation) => {
    const ms = between(simulation, 5000, 40_000);
    simulation.cancelOnCompletion(between(simulation, 0.3, 1), ms);
    return ms;
  },
  // Pauses shorter and longer than the worker lease, and shorter and longer than cancel_s.
  'many cancellations, machines paused': (simulation) => {
    const ms = pick(simulation, [
      0.6 * WORKER_LEASE_MS,
      1.3 * WORKER_LEASE_MS,
      0.9 * CANCEL_TIMEOUT_MS,
      1.4 * CANCEL_TIMEOUT_MS,
    ]);
    for (const name of someMachines(simulation, 0.5)) {
      const worker = simulation.cloud.workers.get(name);
      worker?.pause(ms);
    }
    for (let i = 0; i < 4; i += 1)
      simulation.clock.in(200 * simulation.draw(), () => simulation.cancelSome(0.25));
    return ms;
  },
  'reads right after writes': (simulation) => {
    const ms = between(simulation, 5000, 40_000);
    simulation.readAfterWrites(ms);
    return ms;
  },
  'invalid requests': (simulation) => {
    const ms = between(simulation, 3000, 20_000);
    simulation.sendInvalidRequests(ms);
    return ms;
  },
  'all down for longer than a lease': (simulation) => {
    const ms = between(simulation, 1.05 * WORKER_LEASE_MS, 2.5 * WORKER_LEASE_MS);
    NODES.forEach((_, i) => simulation.crash(i, ms + 1500 * simulation.draw()));
    return ms;
  },
  'ten failovers': (simulation) => {
    const intervalMs = between(simulation, 4000, 9000);
    for (let i = 0; i < 10; i += 1)
      simulation.clock.in(i * intervalMs, () =>
        simulation.crash(nodeIndex(leaderOf(simulation)), between(simulation, 20, 6000)),
      );
    return 10 * intervalMs;
  },
  // Zone b, with its workers and its controller, is partitioned from the store and the cloud as well.
  'zone partitioned': (simulation) => {
    const ms = between(simulation, 1.05 * WORKER_LEASE_MS, 3 * WORKER_LEASE_MS);
    partitionZones(simulation, ms);
    for (const name of [...NODES, ...simulation.cloud.workers.keys()])
      if (simulation.zoneOf(name) === 'b') partitionFrom(simulation, name, ['state', 'cloud'], ms);
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
const START_MOMENTS: readonly ((simulation: Simulation, durationMs: number, begin: () => void) => void)[] = [
  (simulation, _, begin) => simulation.clock.in(between(simulation, 0, 2000), begin),
  (simulation, durationMs, begin) => simulation.clock.in(durationMs * simulation.draw(), begin),
  (simulation, durationMs, begin) =>
    simulation.clock.in(Math.max(0, durationMs + between(simulation, -500, 500)), begin),
  (simulation, _, begin) => simulation.clock.in(LEADER_LEASE_MS + between(simulation, -500, 1000), begin),
  (simulation, _, begin) => simulation.clock.in(WORKER_LEASE_MS + between(simulation, -1500, 1500), begin),
  (simulation, _, begin) =>
    simulation.onNextLog('leader elected', () => simulation.clock.in(between(simulation, 0, 1500), begin)),
  (simulation, _, begin) =>
    simulation.onNextLog('leader state loaded', () =>
      simulation.clock.in(between(simulation, 0, 300), begin),
    ),
  (simulation, _, begin) =>
    simulation.store.onNextWrite('run/', () => simulation.clock.in(between(simulation, 0, 20), begin)),
  (simulation, _, begin) =>
    simulation.store.onNextDelayedCommit(() => simulation.clock.in(between(simulation, 0, 300), begin)),
  (simulation, _, begin) =>
    simulation.store.onNextLostResponse(() => simulation.clock.in(between(simulation, 0, 300), begin)),
  (simulation, _, begin) =>
    simulation.store.onNextWrite('ended/', () => simulation.clock.in(between(simulation, 0, 20), begin)),
];

/** Injects faults, each at one of the START_MOMENTS of the previous one; users sometimes cancel jobs as well. */
function injectFaults(
  simulation: Simulation,
  names: readonly string[],
  onFault: (name: string) => void,
): void {
  const [name, ...followingFaults] = names;
  if (name === undefined) return;
  onFault(name);
  const durationMs = FAULTS[name]?.(simulation) ?? 0;
  if (simulation.draw() < 0.5)
    simulation.clock.in(between(simulation, 0, 3000), () => simulation.cancelSome(0.2));
  if (followingFaults.length > 0)
    pick(simulation, START_MOMENTS)(simulation, durationMs, () =>
      injectFaults(simulation, followingFaults, onFault),
    );
}

/** The latest submission of a job outside DAGs, and the latest start of a combination's first fault, in milliseconds. */
const LATEST_START_MS = 60_000;
/** In long jobs, the maximum by which the later tasks run longer than the first, in milliseconds. */
export const MAX_ADDITIONAL_RUNTIME_MS = 70_000;

/**
 * Draws a run with `combinations` groups of overlapping faults: jobs of a few tasks that end far apart, so that
 * cancelled tasks would run on for long, and jobs of up to eight short tasks. `onFault` is called with the name of
 * each fault when it begins.
 */
export function drawConcurrentFaults(
  simulation: Simulation,
  combinations: number,
  onFault: (name: string) => void,
): void {
  const { draw, clock, cloud } = simulation;
  cloud.capacity = 10;
  for (let i = 0; i < 14; i += 1) {
    const id = `req-${String(i).padStart(6, '0')}`;
    const isLong = draw() < 0.6;
    const job: SubmittedJob = {
      id,
      jobClass: isLong ? 'long' : 'short',
      team: pick(simulation, TEAMS),
      tasks: isLong ? 1 + Math.floor(3 * draw()) : 1 + Math.floor(8 * draw()),
      cpus: pick(simulation, [1, 2]),
      memoryGb: 2,
      spot: draw() < 0.7,
      zone: draw() < 0.15 ? pick(simulation, ['a', 'b']) : null,
      oneZone: draw() < 0.1,
      spread: draw() < 0.15,
    };
    if (isLong)
      simulation.runtimes.set(id, [
        2000 + 0.3 * MAX_ADDITIONAL_RUNTIME_MS * draw(),
        MAX_ADDITIONAL_RUNTIME_MS * draw(),
      ]);
    clock.in(
      LATEST_START_MS * draw() ** 1.5,
      () => void simulation.simulateUser(job, draw() < 0.15 ? 30_000 * draw() : null),
    );
  }
  if (draw() < 0.4)
    for (let i = 0; i < 2; i += 1)
      clock.in(0.7 * LATEST_START_MS * draw(), () => void submitDag(simulation, i, 3));
  const allNames = Object.keys(FAULTS);
  const drawNames = (): string[] =>
    Array.from({ length: draw() < 0.5 ? 2 : 3 }, () => pick(simulation, allNames));
  for (let i = 0; i < combinations; i += 1) {
    const names =
      draw() < 0.5 ? [...pick(simulation, REPORTED_COMBINATIONS), pick(simulation, allNames)] : drawNames();
    clock.in(8000 + (LATEST_START_MS - 8000) * draw(), () => injectFaults(simulation, names, onFault));
  }
}
