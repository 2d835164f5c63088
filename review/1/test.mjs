/** An enormous array of tiny tasks: answers to workers stay within 64 KiB a line, and other work goes on. */
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, CannotRun, clusterSettings, Deployment, HELD, runCase } from '../stand-ins/deployment.mjs';

const trouble = process.env.TROUBLE !== '0';
const TASKS = trouble ? 2000 : 200;
const WATCH_MS = 70_000;
const halls = ['serra-norte', 'litoral-sul'];
const types = [
  {
    name: 'bancada-32',
    cores: 32,
    gpus: 0,
    memGb: 128,
    cacheGb: 50,
    fetchGbPerS: 0.5,
    hourly: 1.73,
    lowPrice: 0.63,
    readyS: 35,
    halls,
  },
];
const deployment = new Deployment({
  recordFile: join(import.meta.dirname, 'record.txt'),
  cluster: clusterSettings({
    teams: [
      { name: 'plantao-partitura', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
      { name: 'coral-convidado', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
    ],
  }),
  zonesOfNodes: ['serra-norte', 'litoral-sul', 'serra-norte'],
  types,
  // The site's [[capacity]]: 25 and 20 ordinary machines, 60 and 53 spot machines.
  capacity: (_bench, hall, borrowed) => (hall === 'serra-norte' ? (borrowed ? 60 : 25) : borrowed ? 53 : 20),
  bootMs: () => 2000,
  listLagMs: 4000,
});

await runCase(deployment, async (site) => {
  await site.start();
  const rush = { repertoire: 'grade-urgente', urgency: 'high', cores: 2, memGb: 3.8 };
  await site.submit(site.describe('req-000001', { ...rush, expectedS: 30 }, () => 30));
  if (!(await site.until(() => site.runs.length === 1, 20_000)))
    throw new CannotRun('the first job was not started');
  const files = { crew: 'coral-convidado', repertoire: 'midi-avulsos', movements: TASKS, expectedS: 5 };
  const tiny = { ...files, cores: 0.015, memGb: 0.05 };
  const accepted = await site.submit(
    site.describe('req-000002', tiny, () => 5),
    1,
  );
  if (accepted.status !== 201) throw new CannotRun('the array was not accepted');
  const end = site.record.now() + WATCH_MS;
  const stages = {};
  while (site.record.now() < end && (stages['req-000001'] !== 'done' || stages['req-000002'] !== 'done')) {
    await sleep(3000);
    for (const id of ['req-000001', 'req-000002']) stages[id] = (await site.poll(id, 2)).body?.stage;
  }
  const lost = site.runs.filter(({ job, why }) => job === 'req-000001' && why !== null && why !== 'done');
  const begun = site.runs.filter(({ job }) => job === 'req-000002').length;
  const lines = site.longLines.length;
  return [
    lines > 0 ? BROKEN : HELD,
    `${lines} answers to workers had a line over 64 KiB (the longest ${Math.max(0, ...site.longLines.map(({ bytes }) => bytes))} bytes); ` +
      `${begun} of ${TASKS} tasks of req-000002 begun, now ${stages['req-000002']}; ` +
      `the task of req-000001 lost ${lost.length} times (${lost.map(({ why }) => why).join(', ')}), now ${stages['req-000001']}`,
  ];
});
