/**
 * Troubles by name, and days on which two or three of them meet: the second begins within the first's
 * effects, at a moment that matters, not merely on the same day.
 */
import type { SubmittedJob } from './checker.js';
import { NODES, playPipeline, TEAMS, type Simulation } from './simulation.js';

/** Begins a trouble and says for how long, in milliseconds, it goes on. */
type Trouble = (world: Simulation) => number;

/** As of the emulators' settings. */
const CANCEL = 30_000;
const WORKER_LEASE = 10_000;
const LEADER_LEASE = 2000;

const pick = <T>(world: Simulation, from: readonly T[]): T =>
  from[Math.floor(world.draw() * from.length)] as T;

/** The node that leads, or any. */
const leaderOf = (world: Simulation): string => pick(world, world.leaders()) ?? pick(world, NODES);
const nodeAt = (name: string): number => NODES.indexOf(name);
const between = (world: Simulation, from: number, to: number): number => from + (to - from) * world.draw();

/** Some of the machines, and at least one. */
function someMachines(world: Simulation, share: number): string[] {
  const names = [...world.cloud.workers.keys()];
  const some = names.filter(() => world.draw() < share);
  return some.length > 0 || names.length === 0 ? some : [pick(world, names)];
}

function cutAll(world: Simulation, from: string, to: readonly string[], ms: number): void {
  for (const other of to) if (other !== from) world.network.cut(from, other, ms);
}

/** Zone b is cut off from all of zone a. */
export function partZones(world: Simulation, ms: number): void {
  const inB = (name: string): boolean => world.zoneOf(name) === 'b';
  const hosts = [...NODES, ...world.cloud.workers.keys()];
  for (const one of hosts.filter(inB))
    for (const other of hosts) if (!inB(other)) world.network.cut(one, other, ms);
}

export const TROUBLES: Readonly<Record<string, Trouble>> = {
  'state refuses the leader': (world) => {
    const ms = between(world, 5000, CANCEL);
    world.state.refuse(leaderOf(world), ms);
    return ms;
  },
  // The users' gap: refused alone, it goes on answering workers, while others confirm what it cannot know.
  'state refuses the leader, then all': (world) => {
    const after = between(world, 300, LEADER_LEASE + 500);
    const ms = between(world, 0.9 * CANCEL, 1.8 * CANCEL);
    world.state.refuse(leaderOf(world), after + ms);
    for (let i = 0; i < 3; i += 1) world.clock.in(after * world.draw(), () => world.cancelSome(0.4));
    world.clock.in(after, () => world.state.outage(ms));
    return after + ms;
  },
  'state refuses a node': (world) => {
    const ms = between(world, 2000, CANCEL);
    world.state.refuse(pick(world, NODES), ms);
    return ms;
  },
  'state is down': (world) => {
    const ms = between(world, 1000, 1.5 * CANCEL);
    world.state.outage(ms);
    return ms;
  },
  'state is slow': (world) => {
    const ms = between(world, 5000, 25_000);
    world.state.slow(between(world, 200, 3000), ms);
    return ms;
  },
  'transactions are late': (world) => {
    const ms = between(world, 5000, 30_000);
    world.state.late(between(world, 0.2, 0.9), ms);
    return ms;
  },
  'leader cut from state and peers': (world) => {
    const ms = between(world, 5000, 60_000);
    const leader = leaderOf(world);
    cutAll(world, leader, [...NODES, 'state'], ms);
    return ms;
  },
  'leader refused, peers gone': (world) => {
    const ms = between(world, 5000, 45_000);
    const leader = leaderOf(world);
    world.state.refuse(leader, ms);
    cutAll(world, leader, [...NODES, 'cloud'], ms);
    return ms;
  },
  'leader ends': (world) => {
    world.crash(nodeAt(leaderOf(world)), between(world, 20, 6000));
    return 6000;
  },
  'leader ends, back within a second': (world) => {
    world.crash(nodeAt(leaderOf(world)), between(world, 20, 1000));
    return LEADER_LEASE;
  },
  'a node flaps': (world) => {
    const node = nodeAt(pick(world, NODES));
    for (let i = 0; i < 4; i += 1) world.clock.in(700 * i, () => world.crash(node, between(world, 20, 600)));
    return 4000;
  },
  'all end, one returns first': (world) => {
    const first = nodeAt(pick(world, NODES));
    NODES.forEach((_, i) =>
      world.crash(i, i === first ? between(world, 20, 1000) : between(world, 2000, 15_000)),
    );
    return 15_000;
  },
  'leader stands still': (world) => {
    const ms = between(world, 500, 1.2 * WORKER_LEASE);
    world.freeze(nodeAt(leaderOf(world)), ms);
    return ms;
  },
  'leader is slow': (world) => {
    const ms = between(world, 5000, 25_000);
    const node = nodeAt(leaderOf(world));
    world.slow(node, between(world, 100, 900));
    world.clock.in(ms, () => world.slow(node, 0));
    return ms;
  },
  'peers refused': (world) => {
    const ms = between(world, 5000, 30_000);
    world.refusePeers(ms);
    return ms;
  },
  'zones part': (world) => {
    const ms = between(world, 3000, 35_000);
    partZones(world, ms);
    return ms;
  },
  'machines reach one node alone': (world) => {
    const ms = between(world, 5000, 40_000);
    const kept = world.draw() < 0.7 ? leaderOf(world) : pick(world, NODES);
    for (const name of someMachines(world, 0.6))
      for (const node of NODES) if (node !== kept) world.network.cut(name, node, ms);
    return ms;
  },
  'machines out of reach': (world) => {
    const ms = between(world, 3000, 25_000);
    for (const name of someMachines(world, 0.4)) cutAll(world, name, NODES, ms);
    return ms;
  },
  'machines hang': (world) => {
    const ms = between(world, 0.3 * WORKER_LEASE, 1.6 * WORKER_LEASE);
    for (const name of someMachines(world, 0.4)) {
      const worker = world.cloud.workers.get(name);
      worker?.hang(ms);
    }
    return ms;
  },
  'machines deaf': (world) => {
    const ms = between(world, 2000, 25_000);
    for (const name of someMachines(world, 0.4)) world.network.deafen(name, ms);
    return ms;
  },
  'a machine dies': (world) => {
    for (const name of someMachines(world, 0.2)) world.cloud.remove(name);
    return WORKER_LEASE;
  },
  'cloud is late': (world) => {
    const ms = between(world, 5000, 25_000);
    world.cloud.late(between(world, 0.3, 0.9), ms);
    return ms;
  },
  'cloud is down': (world) => {
    const ms = between(world, 3000, 20_000);
    world.cloud.troubleUntil = world.clock.now + ms;
    return ms;
  },
  'users cancel': (world) => {
    world.cancelSome(0.5);
    return CANCEL;
  },
  'answers are lost': (world) => {
    const ms = between(world, 5000, 30_000);
    world.state.loseAnswers(between(world, 0.2, 0.9), ms);
    return ms;
  },
  'copies for the next leader': (world) => {
    const ms = between(world, 3000, 30_000);
    world.keepCopies(between(world, 0.2, 0.8), ms);
    return ms;
  },
  'machines mute': (world) => {
    const ms = between(world, 2000, 4 * WORKER_LEASE);
    for (const name of someMachines(world, 0.4)) world.network.silence(name, ms);
    return ms;
  },
  'machines up at once': (world) => {
    const ms = between(world, 10_000, 40_000);
    world.cloud.quick(ms);
    for (const name of someMachines(world, 0.4)) world.cloud.remove(name);
    return ms;
  },
  'cancelled at the end': (world) => {
    const ms = between(world, 5000, 40_000);
    world.cancelAtEnd(between(world, 0.3, 1), ms);
    return ms;
  },
  // Shorter and longer than the lease, and than cancel_s.
  'many cancelled, machines hang': (world) => {
    const ms = pick(world, [0.6 * WORKER_LEASE, 1.3 * WORKER_LEASE, 0.9 * CANCEL, 1.4 * CANCEL]);
    for (const name of someMachines(world, 0.5)) {
      const worker = world.cloud.workers.get(name);
      worker?.hang(ms);
    }
    for (let i = 0; i < 4; i += 1) world.clock.in(200 * world.draw(), () => world.cancelSome(0.25));
    return ms;
  },
  'close looks': (world) => {
    const ms = between(world, 5000, 40_000);
    world.closeLooks(ms);
    return ms;
  },
  'odd requests': (world) => {
    const ms = between(world, 3000, 20_000);
    world.oddRequests(ms);
    return ms;
  },
  'all away for longer than a lease': (world) => {
    const ms = between(world, 1.05 * WORKER_LEASE, 2.5 * WORKER_LEASE);
    NODES.forEach((_, i) => world.crash(i, ms + 1500 * world.draw()));
    return ms;
  },
  'ten leaders': (world) => {
    const every = between(world, 4000, 9000);
    for (let i = 0; i < 10; i += 1)
      world.clock.in(i * every, () => world.crash(nodeAt(leaderOf(world)), between(world, 20, 6000)));
    return 10 * every;
  },
  // With its workers and a controller; from state service and cloud as well.
  'a zone is cut off': (world) => {
    const ms = between(world, 1.05 * WORKER_LEASE, 3 * WORKER_LEASE);
    partZones(world, ms);
    for (const name of [...NODES, ...world.cloud.workers.keys()])
      if (world.zoneOf(name) === 'b') cutAll(world, name, ['state', 'cloud'], ms);
    return ms;
  },
};

/** What the users have told of; each is followed by any other. */
const TOLD_OF: readonly (readonly string[])[] = [
  ['transactions are late', 'leader ends'],
  ['transactions are late', 'users cancel'],
  ['transactions are late', 'transactions are late', 'leader ends, back within a second'],
  ['leader cut from state and peers', 'users cancel'],
  ['machines hang', 'leader ends'],
  ['machines out of reach', 'leader ends'],
  ['leader ends', 'machines deaf'],
  ['state is slow', 'users cancel'],
  ['state refuses the leader, then all'],
  ['state refuses the leader, then all', 'leader ends, back within a second'],
  ['zones part', 'state refuses the leader, then all'],
  ['machines reach one node alone', 'state refuses the leader, then all'],
  ['all end, one returns first', 'a node flaps'],
  ['leader is slow', 'all end, one returns first'],
  ['close looks', 'users cancel'],
  ['close looks', 'answers are lost'],
  ['close looks', 'odd requests', 'leader ends'],
  ['answers are lost', 'leader ends'],
  ['answers are lost', 'users cancel', 'leader ends, back within a second'],
  ['cancelled at the end', 'state refuses the leader'],
  ['many cancelled, machines hang', 'leader ends'],
  ['many cancelled, machines hang', 'state refuses the leader, then all'],
  ['machines out of reach', 'many cancelled, machines hang', 'leader ends'],
  ['machines mute', 'leader ends'],
  ['machines mute', 'many cancelled, machines hang', 'leader ends'],
  ['machines up at once', 'transactions are late', 'leader ends'],
  ['machines up at once', 'answers are lost', 'leader ends, back within a second'],
  ['copies for the next leader', 'leader ends'],
  ['copies for the next leader', 'machines out of reach', 'leader ends'],
  ['all away for longer than a lease', 'users cancel'],
  ['ten leaders', 'state is down'],
  ['ten leaders', 'users cancel', 'answers are lost'],
  ['a zone is cut off', 'users cancel'],
  ['a zone is cut off', 'leader ends'],
  ['leader is slow', 'users cancel'],
];

/** When the next trouble begins, once this one has: a moment that something hangs on. */
const MOMENTS: readonly ((world: Simulation, lasts: number, begin: () => void) => void)[] = [
  (world, _, begin) => world.clock.in(between(world, 0, 2000), begin),
  (world, lasts, begin) => world.clock.in(lasts * world.draw(), begin),
  (world, lasts, begin) => world.clock.in(Math.max(0, lasts + between(world, -500, 500)), begin),
  (world, _, begin) => world.clock.in(LEADER_LEASE + between(world, -500, 1000), begin),
  (world, _, begin) => world.clock.in(WORKER_LEASE + between(world, -1500, 1500), begin),
  (world, _, begin) => world.once('elected', () => world.clock.in(between(world, 0, 1500), begin)),
  (world, _, begin) => world.once('leading', () => world.clock.in(between(world, 0, 300), begin)),
  (world, _, begin) => world.state.onceWritten('run/', () => world.clock.in(between(world, 0, 20), begin)),
  (world, _, begin) => world.state.onceLate(() => world.clock.in(between(world, 0, 300), begin)),
  (world, _, begin) => world.state.onceLost(() => world.clock.in(between(world, 0, 300), begin)),
  (world, _, begin) => world.state.onceWritten('ended/', () => world.clock.in(between(world, 0, 20), begin)),
];

/** Begins troubles one within another; while they last users cancel, now and then. */
export function meet(world: Simulation, names: readonly string[], met: (name: string) => void): void {
  const [name, ...more] = names;
  if (name === undefined) return;
  met(name);
  const lasts = TROUBLES[name]?.(world) ?? 0;
  if (world.draw() < 0.5) world.clock.in(between(world, 0, 3000), () => world.cancelSome(0.2));
  if (more.length > 0) pick(world, MOMENTS)(world, lasts, () => meet(world, more, met));
}

/** The latest that a trouble of a meeting day begins by itself, and how long its tasks run at most. */
const LAST = 60_000;
export const LONGEST_RUN = 70_000;

/**
 * A day on which troubles meet: jobs of a few tasks whose ends lie far apart, so that what is cancelled
 * would run on, and some of many short ones.
 */
export function drawMeetings(world: Simulation, meetings: number, met: (name: string) => void): void {
  const { draw, clock, cloud } = world;
  cloud.capacity = 10;
  for (let i = 0; i < 14; i += 1) {
    const id = `req-${String(i).padStart(6, '0')}`;
    const long = draw() < 0.6;
    const job: SubmittedJob = {
      id,
      jobClass: long ? 'long' : 'short',
      team: pick(world, TEAMS),
      tasks: long ? 1 + Math.floor(3 * draw()) : 1 + Math.floor(8 * draw()),
      cpus: pick(world, [1, 2]),
      memoryGb: 2,
      spot: draw() < 0.7,
      zone: draw() < 0.15 ? pick(world, ['a', 'b']) : null,
      oneZone: draw() < 0.1,
      spread: draw() < 0.15,
    };
    if (long) world.runs.set(id, [2000 + 0.3 * LONGEST_RUN * draw(), LONGEST_RUN * draw()]);
    clock.in(LAST * draw() ** 1.5, () => void world.user(job, draw() < 0.15 ? 30_000 * draw() : null));
  }
  if (draw() < 0.4)
    for (let i = 0; i < 2; i += 1) clock.in(0.7 * LAST * draw(), () => void playPipeline(world, i, 3));
  const names = Object.keys(TROUBLES);
  const draws = (): string[] => Array.from({ length: draw() < 0.5 ? 2 : 3 }, () => pick(world, names));
  for (let i = 0; i < meetings; i += 1) {
    const some = draw() < 0.5 ? [...pick(world, TOLD_OF), pick(world, names)] : draws();
    clock.in(8000 + (LAST - 8000) * draw(), () => meet(world, some, met));
  }
}
