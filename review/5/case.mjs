/** A leader that the state service refuses starts tasks of a job whose cancellation was confirmed. See claim.txt. */
import { fileURLToPath } from 'node:url';
import { nowMs, sleep } from '../stand-ins-2/record.mjs';
import { bootMs, CLUSTER, grownCapacity, NODE_ZONES, stopMix, TYPES } from '../stand-ins-2/sadaa.mjs';
import { hasTrouble, playCase, World } from '../stand-ins-2/world.mjs';

/** How long the state service refuses the leader alone; the site files have 30 s. */
const REFUSED_MS = 8000;
/** Commands that come to a worker sooner after the confirmation may have been on their way. */
const ON_ITS_WAY_MS = 150;

/** From the submission to the refusal, and from there to the cancellation. */
const REFUSED_AFTER_MS = 400;
const CANCELLED_AFTER_MS = 50;

const JOB = 'req-000301';
const TASKS = 8;
const machine = (zone) => ({ type: 'qasr-8', zone, spot: true });

const world = new World(fileURLToPath(new URL('record.txt', import.meta.url)), {
  cluster: CLUSTER,
  nodeZones: NODE_ZONES,
  types: TYPES,
  capacity: grownCapacity,
  bootMs,
  machines: Array.from({ length: TASKS }, (_, i) => machine(i % 2 === 0 ? 'amman-east' : 'aqaba-coast')),
  runMs: () => 30_000,
});

playCase(world, async () => {
  const { recorder } = world;
  await world.start();
  const leader = await world.settle();
  const other = world.controllers.find((one) => one !== leader);
  world.jobs.set(JOB, stopMix(JOB, { movements: TASKS, cores: 6, memGb: 20, pullGb: 0, expectedS: 30 }));
  const accepted = await world.ask(other, 'POST', '/v2/runs', world.jobs.get(JOB));
  if (accepted.status !== 201) throw new Error("the case can't be played: the job was not accepted");
  await sleep(REFUSED_AFTER_MS);
  if (hasTrouble) world.state.refuse(leader.name, true);
  await sleep(CANCELLED_AFTER_MS);
  const answer = await world.ask(other, 'POST', `/v2/runs/${JOB}/withdraw`);
  if (answer.status !== 200) throw new Error("the case can't be played: the cancellation was not confirmed");
  const confirmedAt = nowMs();
  recorder.say(`the user is told at ${other.name} that ${JOB} is cancelled`);
  await sleep(REFUSED_MS);
  if (hasTrouble) world.state.refuse(leader.name, false);
  await sleep(3000);
  const late = world.starts.filter(({ at }) => at > confirmedAt + ON_ITS_WAY_MS);
  if (late.length === 0) return null;
  const afterMs = late.map(
    ({ movement, machine: name, at }) => `${movement} on ${name} ${Math.round(at - confirmedAt)} ms`,
  );
  return `started after the user was told: ${afterMs.join(', ')}`;
});
