/** A job waits for a spot machine whose task overruns, beside an ordinary machine with room. See claim.txt. */
import { fileURLToPath } from 'node:url';
import { nowMs, sleep } from '../stand-ins-2/record.mjs';
import { bootMs, CLUSTER, grownCapacity, NODE_ZONES, stopMix, TYPES } from '../stand-ins-2/sadaa.mjs';
import { hasTrouble, playCase, World } from '../stand-ins-2/world.mjs';

/** "no job is left waiting for 90 s" */
const BOUND_MS = 90_000;

const HELD = 'req-000601';
const OVERRUN = 'req-000602';
const JOB = 'req-000603';
/** The estimate is 60 s in both cases: right without the trouble, wrong by half with it. */
const ESTIMATE_S = 60;
const OVERRUN_MS = (hasTrouble ? 2 : 1) * ESTIMATE_S * 1000;
const CORES = 32;
const MEMORY_GB = 96;

const world = new World(fileURLToPath(new URL('record.txt', import.meta.url)), {
  cluster: CLUSTER,
  nodeZones: NODE_ZONES,
  types: TYPES,
  capacity: grownCapacity,
  bootMs,
  machines: [
    { type: 'diwan-64', zone: 'amman-east', spot: false },
    { type: 'diwan-64', zone: 'aqaba-coast', spot: true },
  ],
  runMs: ({ nameId }) => (nameId === OVERRUN ? OVERRUN_MS : nameId === HELD ? 300_000 : 5000),
});

playCase(world, async () => {
  const { recorder } = world;
  await world.start();
  await world.settle();
  const [ordinary] = world.workers;
  const runs = (id) =>
    world.until(`the start of ${id}`, 20_000, () => world.starts.some((start) => start.id === id));
  await world.submit(stopMix(HELD, { cores: 30, borrowed: false, expectedS: 300, curtainS: 618 }));
  await runs(HELD);
  await world.submit(stopMix(OVERRUN, { cores: 40, expectedS: ESTIMATE_S, curtainS: 138 }));
  await runs(OVERRUN);
  recorder.say(`${HELD} runs on the ordinary machine, ${OVERRUN} on the spot machine`);
  const since = nowMs();
  await world.submit(stopMix(JOB, { cores: CORES, memGb: MEMORY_GB, expectedS: 300, curtainS: 618 }));
  void world.poll(JOB);
  for (;;) {
    if (world.starts.some(({ id }) => id === JOB)) {
      recorder.say(`${JOB} was started after ${Math.round((nowMs() - since) / 1000)} s`);
      return null;
    }
    const hasRoom =
      ordinary.free.cores >= CORES && ordinary.free.memGb >= MEMORY_GB && world.workers.includes(ordinary);
    if (!hasRoom) throw new Error("the case can't be played: the room is gone");
    if (nowMs() - since > BOUND_MS)
      return `${JOB} was not started for ${BOUND_MS / 1000} s, beside ${ordinary.free.cores} free cores of ${ordinary.identity.name}; rentals asked for: ${world.cloud.rentals.filter(({ at }) => at > since).length}`;
    await sleep(50);
  }
});
