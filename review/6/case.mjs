/** A leader that the state service refuses starts tasks of a job whose cancellation was confirmed. See claim.txt. */
import { fileURLToPath } from 'node:url';
import { nowMs, sleep } from '../stand-ins-2/record.mjs';
import { CLUSTER, NODE_ZONES, stopMix, TYPES } from '../stand-ins-2/sadaa.mjs';
import { hasTrouble, playCase, World } from '../stand-ins-2/world.mjs';

/** How long the state service refuses the leader alone; the site files have 30 s. */
const REFUSED_MS = 8000;
/** Commands that come to a worker sooner after the confirmation may have been on their way. */
const ON_ITS_WAY_MS = 150;

const JOB = 'req-000301';
const machine = (zone) => ({ type: 'qasr-8', zone, spot: false });

const world = new World(fileURLToPath(new URL('record.txt', import.meta.url)), {
  cluster: CLUSTER,
  nodeZones: NODE_ZONES,
  types: TYPES,
  capacity: (name, _zone, spot) => (name === 'diwan-64' ? 1 : spot ? 13 : 2),
  bootMs: (name) => (name === 'diwan-64' ? 25_000 : 35_000),
  machines: [machine('amman-east'), machine('aqaba-coast'), machine('amman-east'), machine('aqaba-coast')],
  runMs: () => 30_000,
});

/** Resolves when the claims of the job are stored, at the moment at which the state service may begin to refuse. */
const claimed = (leader) =>
  new Promise((resolve) => {
    world.state.onApplied = (apply, name) => {
      if (name !== leader.name || !apply.some(({ put }) => put?.startsWith(`run/${JOB}/`))) return;
      world.state.onApplied = () => undefined;
      if (hasTrouble) world.state.refuse(leader.name, true);
      resolve();
    };
  });

playCase(world, async () => {
  const { recorder } = world;
  await world.start();
  const leader = await world.until('a leader', 20_000, () => world.leader());
  for (const controller of world.controllers)
    await world.until('a ready controller', 20_000, () => world.isReady(controller));
  const other = world.controllers.find((one) => one !== leader);
  recorder.say(`${leader.name} leads`);
  await sleep(4000);
  const isClaimed = claimed(leader);
  world.jobs.set(JOB, stopMix(JOB, { movements: 4, cores: 6, memGb: 20, pullGb: 0, expectedS: 30 }));
  const accepted = await world.ask(other, 'POST', '/v2/runs', world.jobs.get(JOB));
  if (accepted.status !== 201) throw new Error("the case can't be played: the job was not accepted");
  await isClaimed;
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
