/** Stand-in of the worker of one machine (PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers"). */
import { answer, Client, serve } from './http.mjs';

const REPORT_TIMEOUT_MS = 4000;
const MIN_INTERVAL_MS = 500;
/** How long a task runs on a machine that fails every task. */
const SICK_RUN_MS = 500;
const MAX_LINE_BYTES = 64 * 1024;

export class Worker {
  session = 1;
  sequence = 0;
  token = 0;
  tasks = new Map();
  address = '';
  recallAt = null;
  /** Fails every task that it starts. */
  isSick = false;
  #images = new Set();
  #fetches = new Map();
  #leaseFrom = performance.now();
  #node;
  #isEnded = false;
  #isReporting = false;
  #reportedAt = -Infinity;
  #timer = null;
  #leaseTimer;
  #server = null;
  #hungUntil = 0;

  /**
   * `machine`: as the cloud knows it. `site`: `{ nodes: [{ name, port }], reportS, leaseS, types, jobOf(id),
   * onBegin(worker, task), onEnd(worker, task, why) }`; a job is a submission with `runS(task)`.
   */
  constructor(record, machine, site) {
    Object.assign(this, { record, machine, site });
    this.name = machine.nameId;
    this.type = site.types.find(({ name }) => name === machine.bench);
    this.#node = Math.floor(Math.random() * site.nodes.length);
    this.clients = site.nodes.map(({ port }) => new Client(port));
    this.#leaseTimer = setInterval(() => this.#watchLease(), 50);
  }

  async listen() {
    this.#server = await serve(
      (method, url, body, _bytes, response) => void this.#handle(method, url, body, response),
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.#plan(0);
    return this;
  }

  /** The machine stands still for `ms`; it goes on within its lease, or else kills its tasks first. */
  hang(ms) {
    this.#hungUntil = Math.max(this.#hungUntil, performance.now() + ms);
    this.record.add(this.name, `hangs for ${(ms / 1000).toFixed(1)} s`);
  }

  /** Resolves at once, or when a hanging machine goes on. */
  async #awake() {
    while (performance.now() < this.#hungUntil)
      await new Promise((resolve) => {
        setTimeout(resolve, this.#hungUntil - performance.now() + 1);
      });
    if (!this.#isEnded) this.#watchLease();
  }

  /** The machine is gone. */
  end() {
    if (this.#isEnded) return;
    this.#killAll('machine gone');
    this.#isEnded = true;
    clearTimeout(this.#timer);
    clearInterval(this.#leaseTimer);
    for (const client of this.clients) client.close();
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  #killAll(why) {
    for (const task of this.tasks.values())
      if (task.stage !== 'ended') {
        clearTimeout(task.timer);
        task.stage = 'ended';
        this.site.onEnd(this, task, why);
      }
    this.tasks.clear();
    this.#fetches.clear();
  }

  #watchLease() {
    if (performance.now() < this.#hungUntil) return;
    if (performance.now() - this.#leaseFrom <= 1000 * this.site.leaseS) return;
    this.record.add(this.name, `lease ran out, session ${this.session + 1} begins`);
    this.#killAll('lease');
    this.session += 1;
    this.#leaseFrom = performance.now();
    this.#change();
  }

  #plan(delayMs) {
    clearTimeout(this.#timer);
    if (!this.#isEnded) this.#timer = setTimeout(() => void this.#report(), delayMs);
  }

  /** Something changed: reports at once, but not more often than every half second. */
  #change() {
    if (!this.#isReporting) this.#plan(Math.max(0, this.#reportedAt + MIN_INTERVAL_MS - performance.now()));
    else this.hasChanged = true;
  }

  report() {
    this.sequence += 1;
    return {
      skiff: this.name,
      address: this.address,
      bench: this.machine.bench,
      hall: this.machine.hall,
      borrowed: this.machine.borrowed,
      watch: this.session,
      barNo: this.sequence,
      baton: this.token,
      recallS: this.recallAt === null ? null : Math.max(0, (this.recallAt - performance.now()) / 1000),
      movements: [...this.tasks.values()].map(({ movement, take, stage, cadence }) => ({
        movement,
        take,
        stage,
        ...(cadence === undefined ? {} : { cadence }),
      })),
    };
  }

  async #report() {
    if (this.#isEnded) return;
    this.#isReporting = true;
    await this.#awake();
    if (this.#isEnded) return;
    this.hasChanged = false;
    this.#reportedAt = performance.now();
    const { session } = this;
    const sentAt = this.#reportedAt;
    const node = this.#node;
    const body = this.report();
    this.site.onReport?.(node, body);
    const result = await this.clients[node].call('POST', '/v1/report', body, REPORT_TIMEOUT_MS);
    if ((result.bytes ?? 0) > MAX_LINE_BYTES) this.site.onLongLine?.(this, result.bytes);
    await this.#awake();
    this.#isReporting = false;
    if (this.#isEnded) return;
    const isInTime = performance.now() - sentAt <= REPORT_TIMEOUT_MS;
    if (result.status === 200 && result.bytes <= MAX_LINE_BYTES && isInTime) {
      if (session === this.session && (result.body?.baton ?? -1) >= this.token) {
        this.token = result.body.baton;
        this.#leaseFrom = Math.max(this.#leaseFrom, sentAt);
        this.#execute(result.body.cues ?? []);
      }
      const nextMs = 1000 * this.site.reportS * (0.75 + 0.5 * Math.random());
      this.#plan(
        this.hasChanged
          ? Math.max(0, sentAt + MIN_INTERVAL_MS - performance.now())
          : Math.max(0, sentAt + nextMs - performance.now()),
      );
      return;
    }
    if (result.status !== 421 && result.status !== 503)
      this.record.add(
        this.name,
        `report to ${this.site.nodes[node].name} got ${result.status} (${result.bytes ?? 0} bytes)`,
      );
    const to = this.site.nodes.findIndex(({ name }) => name === result.body?.conductor);
    if (result.status === 421 && to >= 0 && to !== node) {
      this.#node = to;
      this.#plan(500 * Math.random());
    } else {
      this.#node = (node + 1) % this.site.nodes.length;
      this.#plan(1000);
    }
  }

  async #handle(method, url, body, response) {
    await this.#awake();
    if (this.#isEnded) return;
    if (method === 'GET' && url.pathname === '/status') answer(response, 200, this.report());
    else if (method === 'POST' && url.pathname === '/do') {
      if (body?.baton === undefined || body.watch === undefined) answer(response, 400, {});
      else if (body.baton < this.token || body.watch !== this.session) answer(response, 409, this.report());
      else {
        const isHigher = body.baton > this.token;
        this.token = body.baton;
        this.#execute(body.cues ?? []);
        answer(response, 200, this.report());
        if (isHigher) this.#change();
      }
    } else answer(response, 400, {});
  }

  #execute(cues) {
    for (const { cue, movement, take, fermataS } of cues) {
      const key = `${movement}#${take}`;
      const task = this.tasks.get(key);
      if (cue === 'start' && task === undefined) this.#start(movement, take);
      else if (cue === 'halt' && task !== undefined && task.stage !== 'ended') this.#halt(task, fermataS);
      else if (cue === 'reap' && task?.stage === 'ended') this.tasks.delete(key);
    }
  }

  #used() {
    const used = { cores: 0, gpus: 0, memGb: 0 };
    for (const { stage, job } of this.tasks.values()) {
      if (stage === 'ended') continue;
      used.cores += job.cores;
      used.gpus += job.gpus;
      used.memGb += job.memGb;
    }
    return used;
  }

  #start(movement, take) {
    const slash = movement.lastIndexOf('/');
    const job = this.site.jobOf(movement.slice(0, slash));
    const index = Number(movement.slice(slash + 1));
    const task = { movement, take, index, job, stage: 'ended', timer: null };
    const used = this.#used();
    const isHere = [...this.tasks.values()].some(
      (other) => other.movement === movement && other.stage !== 'ended',
    );
    if (job === undefined || index >= job.movements) task.cadence = 'no_such';
    else if (isHere) task.cadence = 'in_use';
    else if (
      used.cores + job.cores > this.type.cores + 1e-6 ||
      used.gpus + job.gpus > this.type.gpus + 1e-6 ||
      used.memGb + job.memGb > this.type.memGb + 1e-6
    )
      task.cadence = 'full';
    else {
      task.stage = 'pulling';
      void this.#fetch(job).then(() => void this.#begin(task));
    }
    this.tasks.set(`${movement}#${take}`, task);
    if (task.cadence !== undefined)
      this.record.add(this.name, `refuses ${movement}#${take}: ${task.cadence}`);
    this.#change();
  }

  #fetch({ edition, pullGb }) {
    if (this.#images.has(edition)) return Promise.resolve();
    const known = this.#fetches.get(edition);
    if (known !== undefined) return known;
    const fetched = new Promise((resolve) => {
      setTimeout(resolve, (1000 * pullGb) / this.type.fetchGbPerS);
    }).then(() => this.#images.add(edition));
    this.#fetches.set(edition, fetched);
    return fetched;
  }

  async #begin(task) {
    await this.#awake();
    if (this.#isEnded || task.stage !== 'pulling') return;
    task.stage = 'running';
    this.site.onBegin(this, task);
    const runMs = this.isSick ? SICK_RUN_MS : 1000 * task.job.runS(task.index);
    const why = this.isSick ? 'error' : 'done';
    if (runMs < Infinity) task.timer = setTimeout(() => void this.#finish(task, why), runMs);
    this.#change();
  }

  #halt(task, fermataS) {
    const { bookmarkS, bookmarkWriteS } = task.job;
    const saves = task.stage === 'running' && bookmarkS > 0 && fermataS >= bookmarkWriteS;
    clearTimeout(task.timer);
    if (saves) {
      task.stage = 'flushing';
      task.timer = setTimeout(() => void this.#finish(task, 'halted'), 1000 * bookmarkWriteS);
    } else void this.#finish(task, 'halted');
    this.#change();
  }

  async #finish(task, why) {
    await this.#awake();
    if (this.#isEnded || task.stage === 'ended') return;
    const hasBegun = task.stage !== 'pulling';
    task.stage = 'ended';
    task.cadence = why;
    if (hasBegun) this.site.onEnd(this, task, why);
    this.#change();
  }
}
