/**
 * The demo: starts the emulators and three controllers on loopback, submits a job, kills the leader while the job
 * runs, and follows the job to `done`. Ends all its processes at exit, also on Ctrl-C.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { HttpClient } from '../src/adapters/http-client.js';
import { asObject, isNonEmptyString } from '../src/core/values.js';
import { parseAddress } from '../src/config/settings.js';
import { demoJob, settings, startEmulators } from './emulators.js';

const FOLDER = 'target/demo';
const PROGRAM = 'target/rowanferry.cjs';
const TIMEOUT_MS = 120_000;

const children = new Map<string, ChildProcess>();
const print = (line: string): void => void process.stdout.write(`${line}\n`);

function end(code: number): never {
  for (const child of children.values()) child.kill('SIGKILL');
  process.exit(code);
}

function fail(reason: string): never {
  process.stderr.write(`demo: ${reason}\n`);
  end(1);
}

/** The reason why an address cannot be listened on; null if it can. */
function listenError(address: string): Promise<string | null> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve) => {
    const probe = createServer();
    probe.once('error', (error: NodeJS.ErrnoException) =>
      resolve(error.code === 'EADDRINUSE' ? `${address} is in use by another program` : error.message),
    );
    probe.listen(port, host, () => probe.close(() => resolve(null)));
  });
}

function start(name: string, index: number): void {
  const child = spawn(process.execPath, [PROGRAM, 'serve', '--settings', `${FOLDER}/node-${index}.json`], {
    stdio: 'ignore',
    env: { ...process.env, LOG_LEVEL: 'error' },
  });
  child.on('exit', () => children.delete(name));
  children.set(name, child);
}

const clients = settings.map((one) => new HttpClient(parseAddress(one.public_addr), 2));

/** Sends a request to one controller after the other until one answers with a 2xx status and a JSON object. */
async function requestAny(
  method: string,
  path: string,
  body: string | null,
): Promise<Record<string, unknown>> {
  const until = Date.now() + TIMEOUT_MS;
  for (let attempt = 0; Date.now() < until; attempt += 1) {
    const answer = await clients[attempt % clients.length]?.request(method, path, body, 2000);
    const answerBody = asObject(answer?.body);
    if (answer !== undefined && answer.status >= 200 && answer.status < 300 && answerBody !== null)
      return answerBody;
    await sleep(300);
  }
  fail('no controller answers');
}

async function leader(): Promise<string> {
  const until = Date.now() + TIMEOUT_MS;
  while (Date.now() < until) {
    const name = (await requestAny('GET', '/status', null))['leader'];
    if (isNonEmptyString(name) && children.has(name)) return name;
    await sleep(300);
  }
  fail('no leader was elected');
}

async function main(): Promise<void> {
  for (const one of settings)
    for (const address of [one.public_addr, one.peer_bind, one.endpoints.state]) {
      const reason = await listenError(address);
      if (reason !== null) fail(reason);
    }
  await startEmulators(FOLDER);
  print('emulators of the key-value store and the cloud are up');
  settings.forEach(({ host_name }, i) => start(host_name, i));
  const first = await leader();
  print(`three controllers are up; ${first} leads`);
  const id = demoJob.nameId;
  await requestAny('POST', '/v2/runs', JSON.stringify({ ...demoJob, movements: 24 }));
  print(`${id} is accepted: 24 tasks of ${demoJob.cores} cores`);
  let killed: string | null = null;
  let previousLine = '';
  const until = Date.now() + TIMEOUT_MS;
  while (Date.now() < until) {
    const { stage, done, running } = await requestAny('GET', `/v2/runs/${id}`, null);
    const line = `${String(stage)}: ${Number(done ?? 0)} done, ${Number(running ?? 0)} running`;
    if (line !== previousLine) print(`  ${line}`);
    previousLine = line;
    if (stage === 'done') {
      print(`${id} is done, every task once; ${await leader()} leads`);
      return;
    }
    if (killed === null && stage === 'running') {
      killed = await leader();
      print(`killing ${killed}, which leads`);
      children.get(killed)?.kill('SIGKILL');
    }
    await sleep(1000);
  }
  fail(`${id} was not done within ${TIMEOUT_MS / 1000} s`);
}

process.on('SIGINT', () => end(130));
process.on('SIGTERM', () => end(143));
process.on('exit', () => {
  for (const child of children.values()) child.kill('SIGKILL');
});
void main().then(
  () => end(0),
  (error: unknown) => fail(error instanceof Error ? error.message : String(error)),
);
