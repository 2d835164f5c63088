/** An enormous array of tiny tasks: answers to workers stay within 64 KiB a line, and other work goes on. */
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, CannotRun, clusterSettings, Deployment, HELD, runCase } from '../stand-ins/deployment.mjs';

const trouble = process.env.TROUBLE !== '0';
const TASKS = trouble ? 2000 : 200;
const WATCH_MS = 70_000;
const halls = ['amman-east', 'aqaba-coast'];
const types = [
  {
    name: 'diwan-64',
    cores: 64,
    gpus: 0,
    memGb: 256,
    cacheGb: 100,
    fetchGbPerS: 0.5,
    hourly: 4.11,
    lowPrice: 1.23,
    readyS: 25,
    halls,
  },
];
const deployment = new Deployment({
  recordFile: join(import.meta.dirname, 'record.txt'),
  cluster: clusterSettings({
    zones: halls,
    teams: [
      { name: 'studio-crew', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
      { name: 'petra-partners', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
    ],
    workers: { report_s: 1, lease_s: 10, gang_wait_s: 50, gang_peer_s: 4, cancel_s: 40 },
    state: { rps: 100, write_rps: 25, value_kb: 32, txn_ops: 20 },
    cloud: { rps: 5, list_lag_s: 4 },
    quota: { cpu: 0.085, ram_mb: 114, sockets: 600 },
  }),
  zonesOfNodes: ['amman-east', 'aqaba-coast', 'amman-east'],
  types,
  capacity: () => 1,
  bootMs: () => 2000,
  listLagMs: 4000,
});

await runCase(deployment, async (site) => {
  await site.start();
  const rush = { crew: 'studio-crew', repertoire: 'opening-rush', urgency: 'high', cores: 2, memGb: 7 };
  await site.submit(site.describe('req-000001', { ...rush, expectedS: 30 }, () => 30));
  if (!(await site.until(() => site.runs.length === 1, 20_000)))
    throw new CannotRun('the first job was not started');
  const clips = { crew: 'petra-partners', repertoire: 'clip-previews', movements: TASKS, expectedS: 5 };
  const tiny = { ...clips, cores: 0.03, memGb: 0.1 };
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
