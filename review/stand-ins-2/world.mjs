/** A small deployment on loopback: the deployed controllers as processes, and stand-ins for all else. */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Client } from './http.mjs';
import { Cloud } from './cloud.mjs';
import { nowMs, Recorder, sleep } from './record.mjs';
import { StateService } from './store.mjs';
import { Worker } from './worker.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Whether the case is played with its disruption. */
export const hasTrouble = process.env['TROUBLE'] !== '0';

function canListen(port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
// Each process has a range of its own, so that cases that run side by side take no port from each other; all are below
// those that the system gives to outgoing connections.
let nextPort = 10_000 + 100 * (process.pid % 220);
/** A free port. */
async function freePort() {
  for (;;) {
    const port = nextPort++;
    if (await canListen(port)) return port;
  }
}

/** The words of the deploy file's line `run`. */
function runCommand() {
  const source = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
  const [, line] = /^run = "(.*)"$/m.exec(source);
  return line.split(' ');
}

export class World {
  jobs = new Map();
  results = new Set();
  controllers = [];
  /** Tasks that are on a machine, and all that have been, in order. */
  starts = [];
  #folder = mkdtempSync(join(tmpdir(), 'rowanferry-review-'));

  /**
   * `platform`: `cluster` of the settings file, `nodeZones`, `types` of the catalog, `capacity(type, zone, spot)`,
   * `bootMs(type)`, `machines` that are up at the start, `runMs(job, task)`.
   */
  constructor(recordFile, platform) {
    this.platform = platform;
    this.recorder = new Recorder(process.env['RECORD_FILE'] ?? recordFile);
    process.on('exit', () => this.end());
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(2));
  }

  async start() {
    const { platform, recorder } = this;
    const { cluster } = platform;
    this.state = new StateService(cluster.state, recorder);
    this.cloud = new Cloud({
      ...platform,
      listLagMs: cluster.cloud.list_lag_s * 1000,
      freePort,
      recorder,
      createWorker: (identity, port) => this.#createWorker(identity, port),
    });
    const cloudPort = await freePort();
    await this.cloud.listen(cloudPort);
    for (const [i, zone] of platform.nodeZones.entries()) {
      const name = `skiff-${i}`;
      const statePort = await freePort();
      await this.state.listen(name, statePort);
      this.controllers.push({ name, zone, port: await freePort(), peerPort: await freePort(), statePort });
    }
    for (const { type, zone, spot } of platform.machines ?? [])
      await this.cloud.add(type, zone, spot, 0, 600_000);
    for (const controller of this.controllers) {
      const others = this.controllers.filter((other) => other !== controller);
      const settings = {
        host_name: controller.name,
        zone: controller.zone,
        public_addr: `127.0.0.1:${controller.port}`,
        peer_bind: `127.0.0.1:${controller.peerPort}`,
        others: others.map(({ name, zone, peerPort }) => ({
          host_name: name,
          zone,
          peer_addr: `127.0.0.1:${peerPort}`,
        })),
        endpoints: { cloud: `127.0.0.1:${cloudPort}`, state: `127.0.0.1:${controller.statePort}` },
        cluster,
      };
      controller.settings = join(this.#folder, `${controller.name}.json`);
      writeFileSync(controller.settings, JSON.stringify(settings, null, 2));
      controller.client = new Client(controller.port);
      this.startController(controller);
    }
  }

  startController(controller) {
    const [program, ...args] = runCommand();
    const log = openSync(join(this.#folder, `${controller.name}.log`), 'a');
    const env = { ...process.env, LOG_LEVEL: process.env['LOG_LEVEL'] ?? 'info' };
    controller.process = spawn(program, [...args, controller.settings], {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'ignore', log],
    });
    this.recorder.note('case', `starts ${controller.name}`);
  }

  /** Sends a signal to a controller's process. */
  signal(controller, signal) {
    this.recorder.say(`${signal} to ${controller.name}`);
    controller.process.kill(signal);
  }

  #createWorker(identity, port) {
    const { platform } = this;
    const worker = new Worker(identity, {
      controllers: this.controllers,
      reportMs: platform.cluster.workers.report_s * 1000,
      leaseMs: platform.cluster.workers.lease_s * 1000,
      type: platform.types.find(({ name }) => name === identity.type),
      recorder: this.recorder,
      job: (id) => this.jobs.get(id),
      runMs: platform.runMs,
      results: this.results,
      onTask: (event, one, task) => this.#onTask(event, one, task),
    });
    void worker.start(port);
    return worker;
  }

  #onTask(event, worker, { id, movement, take }) {
    if (event === 'on') this.starts.push({ at: nowMs(), id, movement, take, machine: worker.identity.name });
  }

  /** The workers of the machines that are up. */
  get workers() {
    return [...this.cloud.machines.values()].map(({ worker }) => worker).filter((one) => one !== null);
  }

  /** Waits until a condition holds; fails the case as not played if it never does. */
  async until(what, timeoutMs, condition) {
    const until = nowMs() + timeoutMs;
    for (;;) {
      const found = await condition();
      if (found) return found;
      if (nowMs() > until) throw new Error(`the case can't be played: ${what} did not come`);
      await sleep(20);
    }
  }

  /** A user's request to a controller, on a connection that is kept open. */
  async ask(controller, method, path, body) {
    const timeoutMs = method === 'GET' ? 2000 : 5000;
    const found = await controller.client.call(method, path, body, timeoutMs);
    this.recorder.note('user', `${method} ${path} at ${controller.name}: ${found.status}`, found.body);
    return found;
  }

  /** Submits a job at the first controller that takes it, as often as the protocol says. */
  async submit(job) {
    this.jobs.set(job.nameId, job);
    const until = nowMs() + 60_000;
    for (let i = 0; nowMs() < until; i += 1) {
      const controller = this.controllers[i % this.controllers.length];
      const { status } = await this.ask(controller, 'POST', '/v2/runs', job);
      if (status === 201 || status === 200) return;
      await sleep(1000);
    }
    throw new Error(`the case can't be played: ${job.nameId} was not accepted`);
  }

  async isReady(controller) {
    return (await controller.client.call('GET', '/ready', undefined, 1000)).status === 200;
  }

  /** The controller that leads, as the workers' reports would find it: by the status page. */
  async leader() {
    for (const controller of this.controllers) {
      const { body } = await controller.client.call('GET', '/status?brief', undefined, 1000);
      const found = this.controllers.find(({ name }) => name === body?.leader);
      if (found !== undefined) return found;
    }
    return null;
  }

  /** Waits until all controllers are ready and the same one has led for 6 s; resolves to it. */
  async settle() {
    for (const controller of this.controllers)
      await this.until(`${controller.name} ready`, 30_000, () => this.isReady(controller));
    let leader = null;
    let since = nowMs();
    await this.until('a settled leader', 40_000, async () => {
      const found = await this.leader();
      if (found !== leader) since = nowMs();
      leader = found;
      return leader !== null && nowMs() - since > 6000;
    });
    this.recorder.say(`${leader.name} leads`);
    return leader;
  }

  /** Polls a job every 5 s, as its user does, each time at another controller. */
  async poll(id) {
    for (let i = 0; ; i += 1) {
      await this.ask(this.controllers[i % this.controllers.length], 'GET', `/v2/runs/${id}`);
      await sleep(5000);
    }
  }

  /** Where the controllers' logs are; they are removed at the end unless KEEP_LOGS is set. */
  get folder() {
    return this.#folder;
  }

  end() {
    for (const { process: child } of this.controllers) child?.kill('SIGKILL');
    for (const { worker } of this.cloud?.machines.values() ?? []) worker?.stop();
    this.recorder.write();
    if (process.env['KEEP_LOGS'] === undefined) rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Plays a case: `play` returns why the rule was broken, or null. Ends the process with the case's result. */
export function playCase(world, play) {
  const limit = setTimeout(() => finish(2, 'the case took too long'), 116_000);
  const finish = (code, why) => {
    clearTimeout(limit);
    world.recorder.say(`result ${code}: ${why}`);
    process.exit(code);
  };
  play().then(
    (broken) => (broken === null ? finish(0, 'the rule held') : finish(1, broken)),
    (error) => finish(2, error instanceof Error ? error.message : String(error)),
  );
}
