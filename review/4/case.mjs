/** A job that failed on three machines in one spell of trouble gets no machine any more. See claim.txt. */
import { fileURLToPath } from 'node:url';
import { nowMs, sleep } from '../stand-ins-2/record.mjs';
import { bootMs, CLUSTER, nextCapacity, NODE_ZONES, stopMix, TYPES } from '../stand-ins-2/sadaa.mjs';
import { hasTrouble, playCase, World } from '../stand-ins-2/world.mjs';

/** How long the machines fail what they start; the site file has 85 s, for six machines. */
const SICK_MS = 6000;
/** "no job is left waiting for 90 s" */
const BOUND_MS = 90_000;

const LONG = 'req-000201';
const JOB = 'req-000202';
const TASKS = 5;
const ordinary = (zone) => ({ type: 'diwan-64', zone, spot: false });

const world = new World(fileURLToPath(new URL('record.txt', import.meta.url)), {
  cluster: CLUSTER,
  nodeZones: NODE_ZONES,
  types: TYPES,
  capacity: nextCapacity,
  bootMs,
  machines: [ordinary('amman-east'), ordinary('aqaba-coast'), ordinary('amman-east')],
  runMs: ({ nameId }) => (nameId === LONG ? 300_000 : 5000),
});

const completed = () => [...world.results].filter((movement) => movement.startsWith(`${JOB}/`)).length;

playCase(world, async () => {
  const { recorder } = world;
  await world.start();
  await world.settle();
  await world.submit(stopMix(LONG, { borrowed: false, expectedS: 300, curtainS: 618 }));
  await world.until('the start of the long job', 20_000, () => world.starts.some(({ id }) => id === LONG));
  const host = world.workers.find(({ tasks }) => tasks.size > 0);
  recorder.say(`${LONG} runs on ${host.identity.name}, which has room for another task`);
  const { workers } = world;
  if (hasTrouble) {
    for (const worker of workers) worker.isSick = true;
    recorder.say(`${workers.length} machines fail every task that they start, for ${SICK_MS / 1000} s`);
  }
  const sickAt = nowMs();
  await world.submit(stopMix(JOB, { movements: TASKS, borrowed: false }));
  void world.poll(JOB);
  if (hasTrouble) {
    await sleep(sickAt + SICK_MS - nowMs());
    for (const worker of workers) worker.isSick = false;
    const failed = new Set(world.starts.filter(({ id }) => id === JOB).map((start) => start.machine));
    recorder.say(
      `all machines are sound again: the trouble is over; tasks failed on ${failed.size} machines`,
    );
    if (failed.size < 3) throw new Error("the case can't be played: the job did not fail on three machines");
  }
  const overAt = nowMs();
  let roomSince = overAt;
  for (;;) {
    if (completed() === TASKS) {
      recorder.say(`${JOB} is done`);
      return null;
    }
    const hasRoom = world.workers.some(({ free }) => free.cores >= 32 && free.memGb >= 96);
    const wasStarted = world.starts.some(({ id, at }) => id === JOB && at > roomSince);
    if (!hasRoom || wasStarted) roomSince = nowMs();
    if (nowMs() - roomSince > BOUND_MS) {
      const { cores } = host.free;
      const rentals = world.cloud.rentals.filter(({ at }) => at >= overAt).length;
      return `no task of ${JOB} was started for ${BOUND_MS / 1000} s after the trouble, beside ${cores} free cores; rentals asked for: ${rentals}`;
    }
    await sleep(50);
  }
});
