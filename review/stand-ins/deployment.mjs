/** A small deployment on loopback: real controllers, started as the deploy file says, among stand-ins. */
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Cloud } from './cloud.mjs';
import { Client } from './http.mjs';
import { Record } from './record.mjs';
import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** A case that cannot run. */
export class CannotRun extends Error {}

/** Ports below those that the system hands out by itself, so that nothing takes one before its controller starts. */
const FIRST_PORT = 14_000;
const LAST_PORT = 31_000;

function isFree(port) {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, '127.0.0.1', () => probe.close(() => resolve(true)));
  });
}

async function freePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

/** The settings of a small site, as DEPLOY and the site pages have them; `change` alters the part `cluster`. */
export function clusterSettings(change = {}) {
  const base = {
    count: 3,
    zones: ['litoral-sul', 'serra-norte'],
    teams: [{ name: 'plantao-partitura', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
    objectives: [],
    workers: { report_s: 1, lease_s: 10, gang_wait_s: 50, gang_peer_s: 4, cancel_s: 30 },
    state: { rps: 250, write_rps: 40, value_kb: 32, txn_ops: 32 },
    cloud: { rps: 4, list_lag_s: 2 },
    quota: { cpu: 0.17, ram_mb: 146, sockets: 500 },
    clock_error_ms: 100,
  };
  return { ...base, ...change };
}

export class Deployment {
  jobs = new Map();
  /** Tasks begun, in order: `{ movement, machine, hall, borrowed, bench, at, endedAt, why }`. */
  runs = [];
  /** Answers to reports with a line longer than 64 KiB. */
  longLines = [];
  nodes = [];
  #children = new Map();
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #onRun = [];

  /** `recordFile`: the path of record.txt. `zonesOfNodes`: the zone of each controller. */
  constructor({ recordFile, cluster, zonesOfNodes, types, capacity, bootMs, listLagMs, peerPortOf }) {
    this.record = new Record(recordFile);
    this.cluster = cluster;
    this.zonesOfNodes = zonesOfNodes;
    this.peerPortOf = peerPortOf;
    this.store = new Store(this.record, { ...cluster.state });
    const site = {
      nodes: this.nodes,
      reportS: cluster.workers.report_s,
      leaseS: cluster.workers.lease_s,
      types,
      jobOf: (id) => this.jobs.get(id),
      onBegin: (worker, task) => this.#begin(worker, task),
      onEnd: (worker, task, why) => this.#end(worker, task, why),
      onLongLine: (worker, bytes) => {
        this.longLines.push({ machine: worker.name, bytes, at: this.record.now() });
        this.record.add(worker.name, `got a line of ${bytes} bytes in answer to its report, and drops it`);
      },
      onReport: (node, body) => this.onReport?.(node, body),
    };
    this.cloud = new Cloud(this.record, {
      types,
      capacity,
      bootMs,
      listLagMs,
      createWorker: (machine) => new Worker(this.record, machine, site).listen(),
    });
    const stop = () => {
      this.end();
      process.exit(COULD_NOT_RUN);
    };
    process.once('SIGINT', stop);
    process.once('SIGTERM', stop);
    process.once('exit', () => this.end());
  }

  #begin(worker, task) {
    const run = {
      movement: task.movement,
      take: task.take,
      job: task.movement.slice(0, task.movement.lastIndexOf('/')),
      index: task.index,
      machine: worker.name,
      hall: worker.machine.hall,
      bench: worker.machine.bench,
      borrowed: worker.machine.borrowed,
      at: this.record.now(),
      endedAt: null,
      why: null,
    };
    task.run = run;
    this.runs.push(run);
    this.record.add(worker.name, `begins ${task.movement}#${task.take}`);
    for (const call of this.#onRun) call(run);
  }

  #end(worker, task, why) {
    if (task.run === undefined) return;
    task.run.endedAt = this.record.now();
    task.run.why = why;
    this.record.add(worker.name, `ends ${task.movement}#${task.take}: ${why}`);
  }

  /** Calls back when a task begins on a machine. */
  onRun(call) {
    this.#onRun.push(call);
  }

  /** Starts the stand-ins and writes the settings; `settingsOf(i)` may alter the part `cluster` of a controller. */
  async startStandIns() {
    const count = this.zonesOfNodes.length;
    const ports = await freePorts(2 * count);
    const cloudPort = await this.cloud.listen();
    for (let i = 0; i < count; i += 1) {
      const name = `skiff-${i}`;
      const storePort = await this.store.listen(name);
      this.nodes.push({
        name,
        zone: this.zonesOfNodes[i],
        port: ports[2 * i],
        peerPort: ports[2 * i + 1],
        storePort,
        cloudPort,
      });
    }
    for (const node of this.nodes) node.client = new Client(node.port);
    this.writeSettings();
  }

  /** Writes the settings files, also after a change of `cluster`: a controller reads its file when it starts. */
  writeSettings() {
    for (const node of this.nodes) {
      const others = this.nodes.filter((other) => other !== node);
      const document = {
        host_name: node.name,
        zone: node.zone,
        public_addr: `127.0.0.1:${node.port}`,
        peer_bind: `127.0.0.1:${node.peerPort}`,
        others: others.map((other) => ({
          host_name: other.name,
          zone: other.zone,
          peer_addr: `127.0.0.1:${this.peerPortOf?.(node, other) ?? other.peerPort}`,
        })),
        endpoints: { cloud: `127.0.0.1:${node.cloudPort}`, state: `127.0.0.1:${node.storePort}` },
        cluster: { ...this.cluster, count: this.nodes.length },
      };
      node.settingsFile = join(this.#folder, `${node.name}.json`);
      writeFileSync(node.settingsFile, JSON.stringify(document, null, 1));
    }
  }

  /** Starts a controller with the line `run` of the deploy file. */
  startController(index) {
    const node = this.nodes[index];
    const [, line] = /^run = "(.*)"$/m.exec(readFileSync('deploy/service.toml', 'utf8')) ?? [];
    if (line === undefined) throw new CannotRun('deploy/service.toml has no line run');
    const [program, ...args] = line.split(' ');
    const log = openSync(join(this.#folder, `${node.name}.log`), 'a');
    const child = spawn(program, [...args, node.settingsFile], {
      stdio: ['ignore', log, log],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    closeSync(log);
    this.#children.set(index, child);
    this.record.add(node.name, 'started');
    child.on('exit', (code, signal) => {
      if (this.#children.get(index) !== child) return;
      this.#children.delete(index);
      this.record.add(node.name, `ended by itself: ${code ?? signal}`);
    });
  }

  /** Sends a signal to a controller; SIGKILL ends it. */
  signal(index, signal) {
    const child = this.#children.get(index);
    if (signal === 'SIGKILL') this.#children.delete(index);
    child?.kill(signal);
    this.record.add(this.nodes[index].name, signal);
  }

  isRunning(index) {
    return this.#children.has(index);
  }

  /** What a controller wrote to standard error. */
  logOf(index) {
    return readFileSync(join(this.#folder, `${this.nodes[index].name}.log`), 'utf8');
  }

  /** Index of the leader that most controllers name, or null. */
  async leader() {
    const votes = new Map();
    await Promise.all(
      this.nodes.map(async ({ client }) => {
        const { status, body } = await client.call('GET', '/status?brief', undefined, 1000);
        if (status === 200 && body?.leader != null) votes.set(body.leader, (votes.get(body.leader) ?? 0) + 1);
      }),
    );
    const [best] = [...votes].sort((a, b) => b[1] - a[1]);
    const index = this.nodes.findIndex(({ name }) => name === best?.[0]);
    return index < 0 || best[1] < 2 ? null : index;
  }

  /** Waits until `test` holds; returns whether it did within `ms`. */
  async until(test, ms, stepMs = 100) {
    const end = performance.now() + ms;
    while (performance.now() < end) {
      if (await test()) return true;
      await sleep(stepMs);
    }
    return false;
  }

  /** Starts everything and waits until all controllers are ready and follow one leader; returns its index. */
  async start() {
    await this.startStandIns();
    for (let i = 0; i < this.nodes.length; i += 1) this.startController(i);
    let leader = null;
    const isUp = await this.until(async () => {
      const ready = await Promise.all(
        this.nodes.map(({ client }) => client.call('GET', '/ready', undefined, 1000)),
      );
      leader = await this.leader();
      return leader !== null && ready.every(({ status }) => status === 200);
    }, 20_000);
    if (!isUp) throw new CannotRun('the controllers did not come up');
    this.record.add('test', `all controllers are ready, ${this.nodes[leader].name} leads`);
    return leader;
  }

  /** A job description with the fields of PROTOCOL; `runS(task)`: how long a task runs, known to workers alone. */
  describe(nameId, fields, runS) {
    const job = {
      nameId,
      repertoire: 'partes-avulsas',
      crew: 'plantao-partitura',
      form: 'array',
      urgency: 'normal',
      movements: 1,
      cores: 2,
      gpus: 0,
      memGb: 3.8,
      edition: 'img-01',
      pullGb: 0.2,
      benches: null,
      hall: null,
      together: false,
      apart: false,
      borrowed: true,
      expectedS: 25,
      bookmarkS: 0,
      bookmarkWriteS: 0,
      curtainS: null,
      ...fields,
    };
    this.jobs.set(nameId, { ...job, runS });
    return job;
  }

  /** One request of a user to one controller, as recorded. */
  async ask(index, method, path, body, timeoutMs) {
    const { name, client } = this.nodes[index];
    const what = `${method} ${path}${body === undefined ? '' : ` ${body.nameId}`}`;
    const sentAt = this.record.now();
    const result = await client.call(method, path, body, timeoutMs);
    this.record.add(
      'user',
      `${what} at ${name} sent ${(sentAt / 1000).toFixed(3)}: ${result.status} ${JSON.stringify(result.body ?? null)}`,
    );
    return { ...result, sentAt, at: this.record.now() };
  }

  /** Submits as PROTOCOL says: repeated for up to 60 s. Returns the last answer. */
  async submit(job, first = 0) {
    const end = performance.now() + 60_000;
    for (let i = first; ; i += 1) {
      const result = await this.ask(i % this.nodes.length, 'POST', '/v2/runs', job, 5000);
      if ([200, 201, 400, 422].includes(result.status) || performance.now() > end) return result;
      await sleep(1000 * Math.max(1, Math.min(30, Number(result.headers?.['retry-after'] ?? 1))));
    }
  }

  /** Cancels as PROTOCOL says. */
  async withdraw(id, first = 0) {
    const end = performance.now() + 60_000;
    for (let i = first; ; i += 1) {
      const result = await this.ask(
        i % this.nodes.length,
        'POST',
        `/v2/runs/${id}/withdraw`,
        undefined,
        5000,
      );
      if (result.status === 200 || performance.now() > end) return result;
      await sleep(1000 * Math.max(1, Math.min(30, Number(result.headers?.['retry-after'] ?? 1))));
    }
  }

  poll(id, index) {
    return this.ask(index, 'GET', `/v2/runs/${id}`, undefined, 2000);
  }

  /** Ends all processes and stand-ins. */
  end() {
    for (const child of this.#children.values()) child.kill('SIGKILL');
    this.#children.clear();
    this.cloud.close();
    this.store.close();
    for (const { client } of this.nodes) client?.close();
    this.record.close();
    if (process.env.REVIEW_KEEP_LOGS === undefined) rmSync(this.#folder, { recursive: true, force: true });
  }

  get folder() {
    return this.#folder;
  }
}

/** Runs a case: `play` resolves to HELD or BROKEN with a line of text. Exits with the case's code. */
export async function runCase(deployment, play) {
  const limit = setTimeout(() => finish(COULD_NOT_RUN, 'the time is over'), 118_000);
  const finish = (code, text) => {
    clearTimeout(limit);
    const verdict = ['HELD', 'BROKEN', 'COULD NOT RUN'][code];
    deployment.record.add('verdict', `${verdict}: ${text}`);
    process.stdout.write(`${verdict}: ${text}\n`);
    deployment.end();
    process.exit(code);
  };
  try {
    const [code, text] = await play(deployment);
    finish(code, text);
  } catch (error) {
    finish(COULD_NOT_RUN, error instanceof Error ? (error.stack ?? error.message) : String(error));
  }
}
