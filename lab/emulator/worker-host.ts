/** A process that hosts hundreds of hollow workers, each with an address and a connection of its own. */
import { createServer } from 'node:http';
import { createServer as createListener, type Server } from 'node:net';
import { parseAddress } from '../../src/config/settings.js';
import type { JobDescription, LabEvent } from '../events.js';
import type { FromWorkerHost, ToWorkerHost, WorkerHostSetup } from '../messages.js';
import { hashShare, seededDraw } from '../random.js';
import { HollowWorker, type MachineIdentity, type WorkerContext } from './hollow-worker.js';
import { answerJson, bytesSince, JsonClient, readJson, TrafficMeter } from './http.js';

const EVENTS_EVERY_MS = 100;
const SAMPLE_EVERY_MS = 1000;
const MICROSECONDS_PER_MS = 1000;

const tell = (message: FromWorkerHost): void => void process.send?.(message);

/** Jobs, events and figures that the workers of this process share. */
class WorkerHost {
  readonly #workers = new Map<
    string,
    { worker: HollowWorker; client: Map<string, JsonClient>; listener: Server }
  >();
  readonly #byAddress = new Map<string, HollowWorker>();
  readonly #jobs = new Map<string, JobDescription>();
  readonly #meter = new TrafficMeter();
  readonly #context: WorkerContext;
  readonly #http = createServer((request, response) => {
    const worker = this.#byAddress.get(request.socket.localAddress ?? '');
    response.on('finish', () => this.#meter.note('direct', bytesSince(request.socket)));
    void readJson(request).then((body) => {
      if (worker === undefined) response.destroy();
      else
        worker.whenAwake(() => {
          if (request.url === '/status') answerJson(response, 200, worker.body());
          else {
            const { status, report } = worker.direct(body);
            answerJson(response, status, report);
          }
        });
    });
  });
  #events: LabEvent[] = [];
  #reportMs: number[] = [];
  #leasesLost = 0;
  #simulationMs = 0;
  #processor = process.cpuUsage();

  constructor(private readonly setup: WorkerHostSetup) {
    this.#context = {
      ...setup,
      controllers: setup.controllers.map(({ name }) => name),
      results: new Set(),
      job: (id) => this.#jobs.get(id),
      runMs: ({ id, runS: [least, most] }, task) =>
        1000 * (least + (most - least) * hashShare(`${id}/${task}`)),
      emit: (event) => void this.#events.push(event),
      noteReport: (ms) => void this.#reportMs.push(ms),
      noteLapse: () => {
        this.#leasesLost += 1;
      },
      simulate: (work) => {
        const from = performance.now();
        try {
          return work();
        } finally {
          this.#simulationMs += performance.now() - from;
        }
      },
    };
    setInterval(() => this.#context.simulate(() => this.#tellEvents()), EVENTS_EVERY_MS);
    setInterval(() => this.#tellSample(), SAMPLE_EVERY_MS);
  }

  take(message: Exclude<ToWorkerHost, { kind: 'setup' }>): void {
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
    const client = new Map<string, JsonClient>();
    for (const one of this.setup.controllers) client.set(one.name, new JsonClient(one.host, one.port, 1));
    const send = async (
      controller: string,
      body: unknown,
      timeoutMs: number,
    ): Promise<{ status: number; body: unknown }> => {
      const answer = await (client.get(controller)?.call('POST', '/v1/report', body, timeoutMs) ?? {
        status: 0,
        body: undefined,
        bytes: 0,
      });
      this.#meter.note(answer.status === 421 ? 'redirect' : 'report', answer.bytes);
      return answer;
    };
    const draw = seededDraw(this.setup.seed + Math.floor(hashShare(machine.name) * 2 ** 31));
    const worker = new HollowWorker(machine, this.#context, send, draw);
    const listener = createListener((socket) => this.#http.emit('connection', socket));
    listener.on('error', (error) => tell({ kind: 'failed', reason: `${machine.address}: ${error.message}` }));
    listener.listen(port, host);
    this.#workers.set(machine.name, { worker, client, listener });
    this.#byAddress.set(host, worker);
  }

  #down(name: string): void {
    const known = this.#workers.get(name);
    if (known === undefined) return;
    known.worker.stop();
    known.listener.close();
    for (const client of known.client.values()) client.close();
    this.#workers.delete(name);
    this.#byAddress.delete(parseAddress(known.worker.identity.address).host);
  }

  #tellEvents(): void {
    if (this.#events.length === 0) return;
    tell({ kind: 'events', events: this.#events });
    this.#events = [];
  }

  #tellSample(): void {
    const used = process.cpuUsage(this.#processor);
    this.#processor = process.cpuUsage();
    let tasks = 0;
    for (const { worker } of this.#workers.values()) tasks += worker.liveTasks;
    tell({
      kind: 'sample',
      sample: {
        workers: this.#workers.size,
        tasks,
        reports: this.#reportMs.length,
        reportMs: this.#reportMs,
        leasesLost: this.#leasesLost,
        traffic: this.#meter.take(),
        processorMs: (used.user + used.system) / MICROSECONDS_PER_MS,
        simulationMs: this.#simulationMs,
      },
    });
    this.#reportMs = [];
    this.#leasesLost = 0;
    this.#simulationMs = 0;
  }
}

/** Serves the parent process until that ends. */
export function runWorkerHost(): void {
  let host: WorkerHost | null = null;
  process.on('message', (message: ToWorkerHost) => {
    if (message.kind === 'setup') {
      host = new WorkerHost(message.setup);
      tell({ kind: 'ready' });
    } else host?.take(message);
  });
  process.on('disconnect', () => process.exit(0));
}
