/** A process that hosts hundreds of hollow workers, each with its own address and connections. */
import { createServer } from 'node:http';
import { createServer as createListener, type Server } from 'node:net';
import { parseAddress } from '../../src/config/settings.js';
import { monotonicMs } from '../clock.js';
import type { JobDescription, LabEvent } from '../events.js';
import type { FromWorkerHost, ToWorkerHost, WorkerHostSetup } from '../messages.js';
import { hashShare, seededDraw } from '../random.js';
import { HollowWorker, type MachineIdentity, type WorkerContext } from './hollow-worker.js';
import { answerJson, bytesSince, JsonClient, readJson, TrafficMeter } from './http.js';

/** PROTOCOL's limit on a request's body, and on a line of a response to a worker. */
const MAX_MESSAGE_BYTES = 64 * 1024;
const EVENTS_INTERVAL_MS = 100;
const SAMPLE_INTERVAL_MS = 1000;
const MICROSECONDS_PER_MS = 1000;

const sendToParent = (message: FromWorkerHost): void => void process.send?.(message);

/** The hollow workers of this process, with the jobs, events and statistics that they share. */
class WorkerHost {
  readonly #workers = new Map<
    string,
    { worker: HollowWorker; clients: Map<string, JsonClient>; listener: Server }
  >();
  readonly #byAddress = new Map<string, HollowWorker>();
  readonly #jobs = new Map<string, JobDescription>();
  readonly #meter = new TrafficMeter();
  readonly #context: WorkerContext;
  readonly #http = createServer((request, response) => {
    const worker = this.#byAddress.get(request.socket.localAddress ?? '');
    response.on('finish', () => this.#meter.note('direct', bytesSince(request.socket)));
    void readJson(request).then(({ json, bytes }) => {
      if (worker === undefined) {
        response.destroy();
        return;
      }
      worker.whenAwake(() => {
        if (request.url === '/status') answerJson(response, 200, worker.body());
        else {
          this.#checkSize(worker.identity.name, 'direct command', bytes);
          const { status, heartbeat } = worker.direct(json);
          answerJson(response, status, heartbeat);
        }
      });
    });
  });
  #events: LabEvent[] = [];
  #heartbeatLatenciesMs: number[] = [];
  #leasesLost = 0;
  #simulationMs = 0;
  #processorUsage = process.cpuUsage();

  constructor(private readonly setup: WorkerHostSetup) {
    this.#context = {
      ...setup,
      controllers: setup.controllers.map(({ name }) => name),
      results: new Set(),
      job: (id) => this.#jobs.get(id),
      runMs: ({ id, runS: [min, max] }, task) => 1000 * (min + (max - min) * hashShare(`${id}/${task}`)),
      emit: (event) => void this.#events.push(event),
      recordHeartbeat: (ms) => void this.#heartbeatLatenciesMs.push(ms),
      recordLeaseExpiry: () => {
        this.#leasesLost += 1;
      },
      simulate: (work) => {
        const startedAt = performance.now();
        try {
          return work();
        } finally {
          this.#simulationMs += performance.now() - startedAt;
        }
      },
    };
    setInterval(() => this.#context.simulate(() => this.#sendEvents()), EVENTS_INTERVAL_MS);
    setInterval(() => this.#sendSample(), SAMPLE_INTERVAL_MS);
  }

  /** Whether a message is within PROTOCOL's limit; if not, the violation is reported. */
  #checkSize(
    worker: string,
    message: Extract<LabEvent, { kind: 'oversized' }>['message'],
    bytes: number,
  ): boolean {
    if (bytes <= MAX_MESSAGE_BYTES) return true;
    this.#events.push({ kind: 'oversized', at: monotonicMs(), worker, message, bytes });
    return false;
  }

  handle(message: Exclude<ToWorkerHost, { kind: 'setup' }>): void {
    switch (message.kind) {
      case 'job':
        this.#context.simulate(() => this.#jobs.set(message.job.id, message.job));
        break;
      case 'up':
        for (const machine of message.machines) this.#up(machine);
        break;
      case 'down':
        for (const name of message.names) this.#down(name);
        break;
      case 'hang':
        for (const name of message.names) this.#workers.get(name)?.worker.hang(message.forMs);
        break;
    }
  }

  #up(machine: MachineIdentity): void {
    const { host, port } = parseAddress(machine.address);
    const clients = new Map<string, JsonClient>();
    for (const endpoint of this.setup.controllers)
      clients.set(endpoint.name, new JsonClient(endpoint.host, endpoint.port, 1));
    const send = async (
      controller: string,
      body: unknown,
      timeoutMs: number,
    ): Promise<{ status: number; body: unknown }> => {
      const answer = await clients.get(controller)?.call('POST', '/v1/report', body, timeoutMs);
      if (answer === undefined) return { status: 0, body: undefined };
      this.#meter.note(answer.status === 421 ? 'redirect' : 'report', answer.bytes);
      this.#checkSize(machine.name, 'heartbeat', answer.requestBytes);
      // A worker does not accept an answer that is too long.
      const isAccepted = this.#checkSize(machine.name, 'answer', answer.responseBytes);
      return isAccepted ? answer : { status: 0, body: undefined };
    };
    const draw = seededDraw(this.setup.seed + Math.floor(hashShare(machine.name) * 2 ** 31));
    const worker = new HollowWorker(machine, this.#context, send, draw);
    const listener = createListener((socket) => this.#http.emit('connection', socket));
    listener.on('error', (error) =>
      sendToParent({ kind: 'failed', reason: `${machine.address}: ${error.message}` }),
    );
    listener.listen(port, host);
    this.#workers.set(machine.name, { worker, clients, listener });
    this.#byAddress.set(host, worker);
  }

  #down(name: string): void {
    const hosted = this.#workers.get(name);
    if (hosted === undefined) return;
    hosted.worker.stop();
    hosted.listener.close();
    for (const client of hosted.clients.values()) client.close();
    this.#workers.delete(name);
    this.#byAddress.delete(parseAddress(hosted.worker.identity.address).host);
  }

  #sendEvents(): void {
    if (this.#events.length === 0) return;
    sendToParent({ kind: 'events', events: this.#events });
    this.#events = [];
  }

  #sendSample(): void {
    const used = process.cpuUsage(this.#processorUsage);
    this.#processorUsage = process.cpuUsage();
    let tasks = 0;
    for (const { worker } of this.#workers.values()) tasks += worker.liveTasks;
    sendToParent({
      kind: 'sample',
      sample: {
        workers: this.#workers.size,
        tasks,
        heartbeats: this.#heartbeatLatenciesMs.length,
        heartbeatLatenciesMs: this.#heartbeatLatenciesMs,
        leasesLost: this.#leasesLost,
        traffic: this.#meter.take(),
        processorMs: (used.user + used.system) / MICROSECONDS_PER_MS,
        simulationMs: this.#simulationMs,
      },
    });
    this.#heartbeatLatenciesMs = [];
    this.#leasesLost = 0;
    this.#simulationMs = 0;
  }
}

/** Handles messages of the parent process, and exits when the parent does. */
export function runWorkerHost(): void {
  let host: WorkerHost | null = null;
  process.on('message', (message: ToWorkerHost) => {
    if (message.kind === 'setup') {
      host = new WorkerHost(message.setup);
      sendToParent({ kind: 'ready' });
    } else host?.handle(message);
  });
  process.on('disconnect', () => process.exit(0));
}
