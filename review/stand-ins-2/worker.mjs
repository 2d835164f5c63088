/** Stand-in of a worker, as the protocol describes it; its tasks are timers. */
import { nowMs, sleep } from './record.mjs';
import { answer, Client, readJson, serve } from './http.mjs';

const RESPONSE_TIMEOUT_MS = 4000;
const NEXT_NODE_MS = 1000;
const MIN_GAP_MS = 500;

export class Worker {
  watch = 1;
  /** The worker fails every task that it starts. */
  isSick = false;
  tasks = new Map();
  #barNo = 0;
  #baton = 0;
  #batonChangedAt = -Infinity;
  #images = new Map();
  #leaseFrom = nowMs();
  #isStopped = false;
  #isChanged = false;
  #sentAt = -Infinity;
  #wake = () => undefined;
  #server = null;

  /**
   * `world`: `controllers` (name to port, in order), `reportMs`, `leaseMs`, `type` (of the catalog), `recorder`,
   * `job(id)` and `runMs(job, task)`, `results` (a set of completed tasks), and `onTask(event, worker, task)`.
   */
  constructor(identity, world) {
    this.identity = identity;
    this.world = world;
    this.clients = new Map(world.controllers.map(({ name, port }) => [name, new Client(port)]));
    const names = world.controllers.map(({ name }) => name);
    this.node = names[Math.floor(Math.random() * names.length)];
  }

  async start(port) {
    this.#server = await serve(port, (request, response) => this.#serveDirect(request, response));
    void this.#reportLoop();
    void this.#leaseLoop();
  }

  stop() {
    if (this.#isStopped) return;
    this.#isStopped = true;
    this.#wake();
    this.#endAll('gone with its machine');
    this.#server?.closeAllConnections();
    this.#server?.close();
    for (const client of this.clients.values()) client.close();
  }

  /** Resources that its tasks leave free; tasks that fetch their image count. */
  get free() {
    const free = { cores: this.world.type.cores, memGb: this.world.type.memGb };
    for (const { stage, job } of this.tasks.values()) {
      if (stage === 'ended') continue;
      free.cores -= job.cores;
      free.memGb -= job.memGb;
    }
    return free;
  }

  #note(what, detail) {
    this.world.recorder.note(this.identity.name, what, detail);
  }

  #report() {
    const { name, address, type, zone, spot } = this.identity;
    this.#barNo += 1;
    const movements = [...this.tasks.values()].map(({ movement, take, stage, cadence, saved }) => ({
      movement,
      take,
      stage,
      ...(cadence === undefined ? {} : { cadence }),
      ...(saved === undefined ? {} : { saved }),
    }));
    return {
      skiff: name,
      address,
      bench: type,
      hall: zone,
      borrowed: spot,
      watch: this.watch,
      barNo: this.#barNo,
      baton: this.#baton,
      recallS: null,
      movements,
    };
  }

  async #reportLoop() {
    await sleep(Math.random() * this.world.reportMs);
    while (!this.#isStopped) {
      const waitMs = await this.#reportOnce();
      await this.#pause(waitMs);
    }
  }

  /** Waits until the next report is due: `waitMs` from now, or sooner if something changes. */
  async #pause({ waitMs, mayBeShortened }) {
    const until = nowMs() + waitMs;
    while (!this.#isStopped) {
      const earliest = Math.max(nowMs(), this.#sentAt + MIN_GAP_MS);
      const at = mayBeShortened && this.#isChanged ? Math.min(until, earliest) : until;
      const leftMs = at - nowMs();
      if (leftMs <= 0) return;
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        this.#wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
  }

  #changed() {
    this.#isChanged = true;
    this.#wake();
  }

  async #reportOnce() {
    this.#checkLease();
    this.#isChanged = false;
    const sentAt = nowMs();
    this.#sentAt = sentAt;
    const { watch, node } = this;
    const { status, body } = await this.clients
      .get(node)
      .call('POST', '/v1/report', this.#report(), RESPONSE_TIMEOUT_MS);
    if (this.#isStopped) return { waitMs: 0, mayBeShortened: false };
    if (status === 200) {
      const baton = Number(body?.baton ?? -1);
      if (watch === this.watch && baton >= this.#baton) {
        this.#leaseFrom = sentAt;
        this.#raiseBaton(baton);
        this.#execute(body.cues, node);
      }
      return { waitMs: this.world.reportMs * (0.75 + 0.5 * Math.random()), mayBeShortened: true };
    }
    const next = body?.conductor;
    if (status === 421 && next !== node && this.clients.has(next)) {
      this.node = next;
      return { waitMs: 500 * Math.random(), mayBeShortened: false };
    }
    const names = [...this.clients.keys()];
    this.node = names[(names.indexOf(node) + 1) % names.length];
    return { waitMs: NEXT_NODE_MS, mayBeShortened: false };
  }

  #raiseBaton(baton) {
    if (baton <= this.#baton) return;
    this.#baton = baton;
    if (nowMs() - this.#batonChangedAt < this.world.leaseMs / 2) return;
    this.#batonChangedAt = nowMs();
    this.#changed();
  }

  async #leaseLoop() {
    while (!this.#isStopped) {
      await sleep(50);
      this.#checkLease();
    }
  }

  #checkLease() {
    if (this.#isStopped || nowMs() - this.#leaseFrom <= this.world.leaseMs) return;
    this.#note('lease expired');
    this.#endAll('killed: the lease expired');
    this.watch += 1;
    this.#leaseFrom = nowMs();
    this.#changed();
  }

  #endAll(why) {
    for (const task of this.tasks.values()) if (task.stage !== 'ended') this.#leave(task, why);
    this.tasks.clear();
  }

  async #serveDirect(request, response) {
    if (request.method === 'GET' && request.url === '/status') {
      answer(response, 200, this.#report());
      return;
    }
    const { baton, watch, cues } = (await readJson(request)) ?? {};
    if (typeof baton !== 'number' || typeof watch !== 'number') answer(response, 400, { error: 'malformed' });
    else if (baton < this.#baton || watch !== this.watch) answer(response, 409, this.#report());
    else {
      this.#raiseBaton(baton);
      this.#execute(cues, 'a direct call');
      answer(response, 200, this.#report());
    }
  }

  #execute(cues, from) {
    for (const { cue, movement, take, fermataS } of Array.isArray(cues) ? cues : []) {
      this.#note('gets', `${cue} ${movement} take ${take} from ${from}`);
      const key = `${movement}#${take}`;
      const task = this.tasks.get(key);
      if (cue === 'start' && task === undefined) this.#start(key, movement, take);
      else if (cue === 'halt' && task !== undefined) this.#halt(task, fermataS);
      else if (cue === 'reap' && task?.stage === 'ended') this.tasks.delete(key);
    }
  }

  #start(key, movement, take) {
    const [id, index] = movement.split('/');
    const job = this.world.job(id);
    const task = { movement, take, id, index: Number(index), job, stage: 'pulling', isOn: false };
    const refuse = (cadence) => {
      this.#note('refuses', `${movement} take ${take}: ${cadence}`);
      this.tasks.set(key, { ...task, stage: 'ended', cadence });
      this.#changed();
    };
    const isHere = [...this.tasks.values()].some((one) => one.movement === movement && one.stage !== 'ended');
    if (job === undefined || task.index >= job.movements) refuse('no_such');
    else if (isHere) refuse('in_use');
    else if (job.cores > this.free.cores + 1e-9 || job.memGb > this.free.memGb + 1e-9) refuse('full');
    else {
      this.tasks.set(key, task);
      const { edition, pullGb } = job;
      const readyAt = this.#images.get(edition) ?? nowMs() + (pullGb / this.world.type.fetchGbPerS) * 1000;
      this.#images.set(edition, readyAt);
      task.timer = setTimeout(() => this.#run(task), Math.max(0, readyAt - nowMs()));
      this.#changed();
    }
  }

  #run(task) {
    if (task.stage !== 'pulling') return;
    task.stage = 'running';
    task.isOn = true;
    this.#note('runs', `${task.movement} take ${task.take}`);
    this.world.onTask('on', this, task);
    const isDone = this.world.results.has(task.movement);
    const runMs = this.isSick ? 100 : isDone ? 0 : this.world.runMs(task.job, task.index);
    const cadence = this.isSick ? 'error' : 'done';
    task.timer = setTimeout(() => this.#end(task, cadence), runMs);
    this.#changed();
  }

  #halt(task, fermataS) {
    if (task.stage === 'ended') return;
    const { bookmarkS, bookmarkWriteS } = task.job;
    clearTimeout(task.timer);
    if (task.stage !== 'running' || bookmarkS === 0 || fermataS < bookmarkWriteS) this.#end(task, 'halted');
    else {
      task.stage = 'flushing';
      task.saved = true;
      task.timer = setTimeout(() => this.#end(task, 'halted'), bookmarkWriteS * 1000);
      this.#changed();
    }
  }

  #end(task, cadence) {
    if (task.stage === 'ended') return;
    if (cadence === 'done') this.world.results.add(task.movement);
    this.#leave(task, cadence);
    task.stage = 'ended';
    task.cadence = cadence;
    this.#changed();
  }

  #leave(task, why) {
    clearTimeout(task.timer);
    this.#note('ends', `${task.movement} take ${task.take}: ${why}`);
    if (task.isOn) this.world.onTask('off', this, task);
    task.isOn = false;
  }
}
