/** A job that failed once on the only machine it may use is never started there again. See claim.txt. */
import { fileURLToPath } from 'node:url';
import { nowMs, sleep } from '../stand-ins-2/record.mjs';
import { capacity, CLUSTER, NODE_ZONES, stopMix, TYPES } from '../stand-ins-2/sadaa.mjs';
import { hasTrouble, playCase, World } from '../stand-ins-2/world.mjs';

/** How long the machine fails what it starts; the site file has 75 s. */
const SICK_MS = 6000;
/** "no job is left waiting for 90 s" */
const BOUND_MS = 90_000;

const LONG = 'req-000101';
const SHORT = 'req-000102';
const onTheOneMachine = { benches: ['diwan-64'], hall: 'amman-east', borrowed: false };

const world = new World(fileURLToPath(new URL('record.txt', import.meta.url)), {
  cluster: CLUSTER,
  nodeZones: NODE_ZONES,
  types: TYPES,
  capacity,
  bootMs: (name) => (name === 'diwan-64' ? 25_000 : 35_000),
  machines: [{ type: 'diwan-64', zone: 'amman-east', spot: false }],
  runMs: ({ nameId }) => (nameId === LONG ? 300_000 : 5000),
});

playCase(world, async () => {
  const { recorder } = world;
  await world.start();
  await world.until('a ready controller', 20_000, () => world.isReady(world.controllers[0]));
  await world.submit(stopMix(LONG, { ...onTheOneMachine, expectedS: 300, curtainS: 618 }));
  await world.until('the start of the long job', 20_000, () => world.starts.some(({ id }) => id === LONG));
  recorder.say(`${LONG} runs on the only machine, which has room for another one`);
  const [worker] = world.workers;
  if (hasTrouble) {
    worker.isSick = true;
    recorder.say(`${worker.identity.name} fails every task that it starts, for ${SICK_MS / 1000} s`);
  }
  const sickAt = nowMs();
  await world.submit(stopMix(SHORT, { ...onTheOneMachine, expectedS: 5, curtainS: 28 }));
  void world.poll(SHORT);
  if (hasTrouble) {
    await world.until('the failed start', SICK_MS - 500, () => world.starts.some(({ id }) => id === SHORT));
    await sleep(sickAt + SICK_MS - nowMs());
    worker.isSick = false;
    recorder.say(`${worker.identity.name} is sound again: the trouble is over`);
  }
  const overAt = nowMs();
  let roomSince = overAt;
  for (;;) {
    const started = world.starts.find(({ id, at }) => id === SHORT && at >= sickAt && at >= overAt - 1);
    const done = world.results.has(`${SHORT}/0`);
    if (started !== undefined || done) {
      await world.until('the end of the short job', 15_000, () => world.results.has(`${SHORT}/0`));
      recorder.say(`${SHORT} ran`);
      return null;
    }
    const { cores, memGb } = worker.free;
    if (cores < 32 || memGb < 96 || !world.workers.includes(worker)) roomSince = nowMs();
    if (nowMs() - roomSince > BOUND_MS)
      return `${SHORT} was not started for ${BOUND_MS / 1000} s after the trouble, beside ${cores} free cores`;
    await sleep(50);
  }
});
