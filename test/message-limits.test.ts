/** Messages stay within 64 KiB however many tiny tasks a job has, and what does not fit follows with a later message. */
import { Agent, createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';
import fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { createPublicServer, type PublicApi } from '../src/adapters/public-server.js';
import { HttpWorkerClient } from '../src/adapters/worker-client.js';
import { timing } from '../src/config/settings.js';
import { FallbackResponder } from '../src/controller/fallback-responder.js';
import { HeartbeatIntake } from '../src/controller/heartbeat-intake.js';
import { SharedHeartbeats } from '../src/controller/shared-heartbeats.js';
import type { ControllerContext } from '../src/controller/context.js';
import type { Effect } from '../src/core/effects.js';
import type { Claim, JobSpec, MachineType, ReportedTask, WorkerCommand } from '../src/core/types.js';
import { encodeTerminateRequest } from '../src/wire/cloud.js';
import { encodeTransaction } from '../src/wire/key-value-store.js';
import { PeerMessageReader } from '../src/wire/peer-reader.js';
import { encodeIntake, MAX_FRAME_BYTES } from '../src/wire/peers.js';
import type { AnswersMessage, ForwardedAnswer, IntakeMessage } from '../src/wire/intake.js';
import { encodeReply, parseHeartbeat } from '../src/wire/workers.js';
import { ProcessClock, VirtualClock } from './emulators/clock.js';
import { CoreHarness, EIGHT_CPU_TYPE, heartbeatOf, job, task, TERM } from './emulators/core-harness.js';
import { EMPTY_SNAPSHOT } from './emulators/peer-messages.js';
import { testSettings } from './emulators/simulation.js';

const MAX_BYTES = 64 * 1024;
const TIMES = timing(testSettings(0));
const TASKS = 2000;
const LARGE_TYPE: MachineType = { ...EIGHT_CPU_TYPE, cpus: 32, memoryGb: 128 };
const tinyJob = (overrides: Partial<JobSpec> = {}): JobSpec =>
  job('req-000002', TASKS, 0.015, 5, { memoryGb: 0.05, ...overrides });

/** A worker's heartbeat as PROTOCOL has it, with each task in its longest stage and with spaces between the fields. */
function longestHeartbeat(tasks: readonly ReportedTask[]): string {
  const movements = tasks.map(
    (one) =>
      `{"movement": "${one.job}/${one.task}", "take": ${one.attempt}, "stage": "ended", "cadence": "no_such", "saved": false}`,
  );
  const identity = `{"skiff": "vm-000231", "address": "10.1.0.232:9000", "bench": "bancada-32", "hall": "serra-norte", "borrowed": false`;
  const numbers = `"watch": 1, "barNo": 9007199254740991, "baton": 9007199254740991, "recallS": 123.45678901234567`;
  return `${identity}, ${numbers}, "movements": [${movements.join(', ')}]}`;
}

const answersIn = (effects: readonly Effect[]): WorkerCommand[][] =>
  effects.flatMap((effect) =>
    effect.kind === 'reply' && effect.body.kind === 'commands' ? [[...effect.body.commands]] : [],
  );

/** A worker that executes the commands of its answers; the test decides when its tasks end. */
class Machine {
  tasks: ReportedTask[] = [];
  #sequence = 0;

  constructor(
    private readonly harness: CoreHarness,
    private readonly name: string,
    private readonly agentEpoch = 1,
  ) {}

  /** Sends a heartbeat, which must fit, and executes the commands of the answer, which must fit too. */
  beat(): WorkerCommand[] {
    expect(Buffer.byteLength(longestHeartbeat(this.tasks))).toBeLessThanOrEqual(MAX_BYTES);
    this.harness.now += 700;
    this.#sequence += 1;
    const more = { agentEpoch: this.agentEpoch };
    const answers = answersIn(
      this.harness.deliverHeartbeat(heartbeatOf(this.name, this.#sequence, this.tasks, more)),
    );
    const commands = answers.at(-1) ?? [];
    expect(Buffer.byteLength(encodeReply(TERM, commands))).toBeLessThanOrEqual(MAX_BYTES);
    for (const command of commands) this.#execute(command);
    return commands;
  }

  #execute(command: WorkerCommand): void {
    const isSame = (one: ReportedTask): boolean =>
      one.job === command.job && one.task === command.task && one.attempt === command.attempt;
    if (command.op === 'start')
      this.tasks.push(task(`${command.job}/${command.task}`, command.attempt, 'running'));
    else if (command.op === 'forget') this.tasks = this.tasks.filter((one) => !isSame(one));
    else
      this.tasks = this.tasks.map((one) =>
        isSame(one) ? { ...one, stage: 'exited', exit: 'stopped' } : one,
      );
  }

  endAll(): void {
    this.tasks = this.tasks.map((one) => ({ ...one, stage: 'exited', exit: 'done' }));
  }
}

/** A leader whose store accepts 30,000 changes per second, so that no test waits for its write budget. */
const harnessOf = (type = LARGE_TYPE): CoreHarness =>
  new CoreHarness(0, [type], { write_rps: 30_000, rps: 30_000 });

/** The only machine of a leader, after it has been given as many of 2,000 tiny tasks as it may hold. */
function loadedMachine(): { harness: CoreHarness; machine: Machine } {
  const harness = harnessOf();
  const machine = new Machine(harness, 'm');
  machine.beat();
  harness.addJob(tinyJob());
  for (let i = 0; i < 4; i += 1) machine.beat();
  return { harness, machine };
}

describe('2,000 tiny tasks, which by their CPUs and memory fit one machine', () => {
  test('are spread so that the heartbeat of each machine fits, also when all tasks have ended', () => {
    const { machine } = loadedMachine();
    const onMachine = machine.tasks.length;
    expect(onMachine).toBeGreaterThan(500);
    expect(onMachine).toBeLessThan(TASKS);
  });

  test('are all done on one machine, one load after the other, also if all of a load end at the same time', () => {
    const harness = harnessOf();
    const machine = new Machine(harness, 'm');
    machine.beat();
    harness.addJob(tinyJob());
    for (let i = 0; i < 60 && harness.state.jobs.size > 0; i += 1) {
      machine.beat();
      if (i % 3 === 2) machine.endAll();
      harness.stepAndCommit({ kind: 'tick' });
    }
    for (let i = 0; i < 2; i += 1) machine.beat();
    expect([...harness.state.finalOutcomes.values()]).toMatchObject([{ stage: 'done' }]);
    expect(machine.tasks).toEqual([]);
  });

  test('leave room for exited tasks that the worker may not forget yet', () => {
    const { harness, machine } = loadedMachine();
    machine.endAll();
    // The exits are not committed yet, so the worker has to keep them.
    harness.now += 700;
    harness.step({ kind: 'heartbeat', reply: 999, heartbeat: heartbeatOf('m', 1000, machine.tasks) });
    harness.now += 1000;
    harness.step({ kind: 'tick' });
    const placed = [...(harness.state.machines.get('m')?.claims.keys() ?? [])];
    const all = [...machine.tasks, ...placed.map((name) => task(name, 1, 'running'))];
    expect(Buffer.byteLength(longestHeartbeat(all))).toBeLessThanOrEqual(MAX_BYTES);
  });

  test('count by their heartbeats when instances are requested', () => {
    const harness = harnessOf();
    harness.now += 60_000;
    harness.addJob(tinyJob());
    const effects = harness.stepAndCommit({ kind: 'tick' });
    const requested = effects.flatMap((effect) => (effect.kind === 'provision' ? [effect.count] : []));
    expect(requested.reduce((sum, count) => sum + count, 0)).toBeGreaterThanOrEqual(3);
  });

  test('are stopped with the answers to the next heartbeats when the job is cancelled', () => {
    const { harness, machine } = loadedMachine();
    harness.stepAndCommit({ kind: 'jobRemoved', id: 'req-000002' });
    for (let i = 0; i < 3; i += 1) machine.beat();
    expect(machine.tasks).toEqual([]);
  });
});

describe('a machine that an earlier version has given 1,000 tasks', () => {
  const HELD = 1000;
  const overfilled = (estimateS = 5): { harness: CoreHarness; tasks: ReportedTask[] } => {
    const harness = harnessOf();
    const claim: Claim = { attempt: 1, machine: 'm', agentEpoch: 1, createdAt: 0 };
    const numbers = Array.from({ length: HELD }, (_, i) => i);
    harness.takeOver(tinyJob({ estimateS }), Object.fromEntries(numbers.map((i) => [i, claim])));
    return { harness, tasks: numbers.map((i) => task(`req-000002/${i}`, 1, 'running')) };
  };

  test('gets no further task until enough of them have ended, and loses none', () => {
    const { harness, tasks } = overfilled();
    const started = (sequence: number, listed: readonly ReportedTask[]): number => {
      harness.now += 700;
      const effects = harness.deliverHeartbeat(heartbeatOf('m', sequence, listed));
      expect(
        answersIn(effects)
          .flat()
          .filter(({ op }) => op === 'stop'),
      ).toEqual([]);
      return CoreHarness.startedTasks(effects).length;
    };
    expect(started(1, tasks)).toBe(0);
    expect(started(2, tasks)).toBe(0);
    expect(harness.state.machines.get('m')?.claims.size).toBe(HELD);
    expect(started(3, tasks.slice(0, 300))).toBeGreaterThan(0);
  });

  test('is not counted on by the capacity plan', () => {
    const { harness, tasks } = overfilled(3600);
    harness.deliverHeartbeat(heartbeatOf('m', 1, tasks));
    harness.now += 10_000;
    harness.deliverHeartbeat(heartbeatOf('m', 2, tasks));
    const effects = harness.stepAndCommit({ kind: 'tick' });
    expect(effects.flatMap((effect) => (effect.kind === 'provision' ? [effect.type] : []))).not.toEqual([]);
  });

  test('sends a heartbeat of more than 64 KiB, which is accepted', async () => {
    const { tasks } = overfilled();
    const body = longestHeartbeat(tasks.slice(0, 800));
    expect(Buffer.byteLength(body)).toBeGreaterThan(MAX_BYTES);
    const received: unknown[] = [];
    const api = {
      handleHeartbeat: (parsed: unknown, done: (status: number, text: string) => void) => {
        received.push(parsed);
        done(200, '{}');
      },
    } as unknown as PublicApi;
    expect(await call(api, 'POST', '/v1/report', body)).toMatchObject({ status: 200 });
    expect(parseHeartbeat(received[0])?.tasks).toHaveLength(800);
  });
});

/** Sends one request to a public server and returns its answer. */
function call(
  api: PublicApi,
  method: string,
  path: string,
  body: string | null,
): Promise<{ status: number | undefined; text: string }> {
  return new Promise((resolve, reject) => {
    const server = createPublicServer(api, 100);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      const agent = new Agent();
      const sent = request({ host: '127.0.0.1', port, method, path, agent }, (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (part: string) => (text += part));
        response.on('end', () => {
          agent.destroy();
          server.close();
          resolve({ status: response.statusCode, text });
        });
      });
      sent.on('error', reject);
      sent.end(body ?? undefined);
    });
  });
}

test('no line of a response to a user exceeds 64 KiB, whatever the request contains', async () => {
  const api = {
    users: { submit: () => Promise.resolve({ status: 422, body: { error: 'x'.repeat(MAX_BYTES) } }) },
    admission: { admit: () => null, release: () => undefined, countRefusal: () => 1 },
    latencies: { record: () => undefined },
    malformed: { count: () => undefined },
  } as unknown as PublicApi;
  const { status, text } = await call(api, 'POST', '/v2/runs', '{}');
  expect(status).toBe(422);
  for (const line of text.split('\n')) expect(Buffer.byteLength(line)).toBeLessThanOrEqual(MAX_BYTES);
});

const longName = 'é"'.repeat(100);
const stopped = (name: string, count: number): ReportedTask[] =>
  Array.from({ length: count }, (_, i) => ({ ...task('x/0', 1, 'running'), job: name, task: i }));

describe('commands that do not fit into one message are cut by', () => {
  test('a follower that answers in the place of its leader', async () => {
    const clock = new ProcessClock(new VirtualClock(), 1, 0);
    const store = { list: () => Promise.resolve('unknown') } as never;
    const responder = new FallbackResponder('n-1', store, clock, TIMES, 32 * 1024, 100);
    responder.receiveSnapshot({ viewConfirmedAt: clock.epochMs(), liveJobs: new Set() });
    const commands = await responder.answer(heartbeatOf('m', 1, stopped('req-1', 2000)));
    expect(commands?.length).toBeGreaterThan(500);
    expect(Buffer.byteLength(encodeReply(TERM, commands ?? []))).toBeLessThanOrEqual(MAX_BYTES);
  });

  test('the sender of direct stops of a large array', async () => {
    const bodies: Buffer[] = [];
    const server = createServer((received, response) => {
      const chunks: Buffer[] = [];
      received.on('data', (chunk: Buffer) => chunks.push(chunk));
      received.on('end', () => {
        bodies.push(Buffer.concat(chunks));
        response.end('{}');
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const stops = stopped('req-000002', TASKS).map(({ job: id, task: index, attempt }): WorkerCommand => ({
      op: 'stop',
      job: id,
      task: index,
      attempt,
      graceS: 0.25,
    }));
    await new HttpWorkerClient(2000, 1000, 4).sendCommands(`127.0.0.1:${port}`, TERM, 1, stops);
    server.close();
    expect(bodies).toHaveLength(1);
    expect(bodies[0]?.length).toBeLessThanOrEqual(MAX_BYTES);
    expect((JSON.parse(String(bodies[0])) as { cues: unknown[] }).cues.length).toBeGreaterThan(500);
  });
});

test('commands that do not fit into one answer follow with the next ones, stops first and starts last', () => {
  const harness = harnessOf();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.addJob(job('req-000001', 3, 1, 50));
  // The tasks of unknown jobs are to be stopped.
  const unknown = stopped(longName, 250);
  const lists: WorkerCommand[][] = [];
  for (let sequence = 2; sequence < 6; sequence += 1) {
    harness.now += 700;
    const sent = new Set(
      lists
        .flat()
        .filter(({ op }) => op === 'stop')
        .map((one) => one.task),
    );
    const left = unknown.filter((one) => !sent.has(one.task));
    const [commands = []] = answersIn(harness.deliverHeartbeat(heartbeatOf('m', sequence, left)));
    expect(Buffer.byteLength(encodeReply(TERM, commands))).toBeLessThanOrEqual(MAX_BYTES);
    const machine = harness.state.machines.get('m');
    const isComplete = commands.some(({ op }) => op === 'start') || commands.length === 0;
    if (!isComplete) expect(machine !== undefined && harness.state.attention.has(machine)).toBe(true);
    lists.push(commands);
    if (commands.some(({ op }) => op === 'start')) break;
  }
  expect(lists.length).toBeGreaterThan(1);
  const operations = lists.flat().map(({ op }) => op);
  expect(operations.filter((op) => op === 'stop')).toHaveLength(250);
  expect(operations.slice(-3)).toEqual(['start', 'start', 'start']);
});

describe('messages between controllers', () => {
  const readFrames = (bytes: Uint8Array): IntakeMessage[] => {
    const found: IntakeMessage[] = [];
    // The reader rejects frames over the limit.
    expect(new PeerMessageReader((message) => found.push(message)).push(bytes)).toEqual([]);
    return found;
  };
  const command = fc.record({
    op: fc.constantFrom('start', 'forget' as const),
    job: fc.oneof(fc.constant('req-000002'), fc.string({ unit: 'grapheme', minLength: 1, maxLength: 300 })),
    task: fc.nat(99_999),
    attempt: fc.nat(2 ** 31),
  }) as fc.Arbitrary<WorkerCommand>;

  test('carry every answer and every name in frames within the limit', async () => {
    const virtualClock = new VirtualClock();
    const clock = new ProcessClock(virtualClock, 1, 0);
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.array(command, { maxLength: 8 }), { maxLength: 40 }),
        fc.nat(1200),
        fc.boolean(),
        async (commandLists, names, hasLargeAnswer) => {
          const harness = new CoreHarness();
          const sent: AnswersMessage[] = [];
          const shared = new SharedHeartbeats(contextOf(harness, clock), {
            candidates: () => [{ node: 'n-1', zone: 'b' }],
            isAccepting: () => true,
            send: (_to, message) => message.kind === 'answers' && sent.push(message) > 0,
            submitHeartbeat: (heartbeat, _ageMs, answer) => {
              const index = heartbeat.sequence;
              const commands = commandLists[index] ?? [];
              const large = Array.from({ length: 1100 }, (_, i) => ({ ...startOf('req-000002'), task: i }));
              answer({
                isAccepted: true,
                needsAttention: false,
                commands: hasLargeAnswer && index === 0 ? large : commands,
              });
            },
          });
          shareAlways(harness);
          shared.sendSnapshots();
          const machines = Array.from({ length: names }, (_, i) => `machine-with-a-long-name-${i}`);
          const keepalives = machines.map((machine) => ({ machine, agentEpoch: 1, sequence: 1, ageMs: 0 }));
          const heartbeats = commandLists.map((_, i) => ({ reference: i, heartbeat: heartbeatOf('m', i) }));
          const envelope = { node: 'n-1', incarnation: 'y', term: TERM, sentAt: clock.epochMs() };
          shared.receive({ kind: 'heartbeats', ...envelope, heartbeats, keepalives });
          shared.announceAttention(machines);
          await virtualClock.runUntil(virtualClock.now + 1);
          shared.sendSnapshots();
          const received = sent.flatMap((message) => readFrames(encodeIntake(message)));
          const answers = received.flatMap((one) => (one.kind === 'answers' ? one.answers : []));
          expect(answers.map(({ reference }: ForwardedAnswer) => reference)).toEqual(
            heartbeats.map(({ reference }) => reference),
          );
          const attention = received.flatMap((one) =>
            one.kind === 'answers' && !one.isSnapshot ? one.attention : [],
          );
          expect(attention).toEqual(machines);
        },
      ),
      { seed: 59, numRuns: 40 },
    );
  });

  test('carry no heartbeat that fits no frame: its worker is sent to the leader', () => {
    const intake = new HeartbeatIntake({
      clock: new ProcessClock(new VirtualClock(), 1, 0),
      timing: TIMES,
      node: 'n-1',
      incarnation: 'y',
      maxClockSkewMs: 200,
      followedLeader: () => ({ leader: 'n-0', term: TERM }),
      startFence: () => 0,
      send: () => true,
      encodeAnswer: () => '',
      encodeRedirect: (to) => to,
      answerWithoutLeader: () => undefined,
      route: () => undefined,
    });
    intake.receive(EMPTY_SNAPSHOT);
    const accepts = (sequence: number, tasks: readonly ReportedTask[]): boolean =>
      intake.accept(heartbeatOf('m', sequence, tasks), () => undefined);
    expect(accepts(1, stopped('req-000002', 1000))).toBe(true);
    expect(accepts(2, stopped(longName, 400))).toBe(false);
  });

  test('carry a snapshot of all machines beside a large answer', () => {
    const commands = Array.from({ length: 1150 }, (_, i) => ({ ...startOf('req-000002'), task: i }));
    const answers = [{ reference: 0, isAccepted: true, needsAttention: false, commands }];
    const attention = Array.from({ length: 1800 }, (_, i) => `machine-with-a-long-name-${i}`);
    const message: AnswersMessage = { ...EMPTY_SNAPSHOT, answers, attention };
    const bytes = encodeIntake(message);
    expect(bytes.length).toBeGreaterThan(MAX_FRAME_BYTES);
    expect(readFrames(bytes)).toEqual([message]);
  });
});

const startOf = (id: string): WorkerCommand => ({ op: 'start', job: id, task: 0, attempt: 1 });

function shareAlways(harness: CoreHarness): void {
  const policy = { ...harness.state.config.policy, sharedHeartbeatsMinMachines: 0 };
  Object.assign(harness.state, { config: { ...harness.state.config, policy } });
}

function contextOf(harness: CoreHarness, clock: ProcessClock): ControllerContext {
  return {
    settings: { host_name: 'n-0', others: [] },
    timing: harness.state.config.timing,
    ports: { clock, incarnation: 'x', log: { info: () => undefined } },
    commands: { state: harness.state, push: () => undefined },
  } as unknown as ControllerContext;
}

test('a transaction with the records of several large chunks stays within 64 KiB', () => {
  const harness = harnessOf();
  for (let i = 0; i < 3; i += 1) harness.deliverHeartbeat(heartbeatOf(`${'machine-'.repeat(5)}${i}`, 1));
  const jobs = [1, 2, 3].map((i) => tinyJob({ id: `req-00000${i}`, tasks: 350 }));
  const effects = harness.stepAndCommit(
    ...jobs.map((value, i) => ({ kind: 'jobAdded', job: { value, modRevision: 200 + i } }) as const),
  );
  const transactions = effects.flatMap((effect) =>
    effect.kind === 'commit' ? [encodeTransaction(effect.transaction)] : [],
  );
  expect(transactions.join('').length).toBeGreaterThan(MAX_BYTES);
  for (const body of transactions) expect(Buffer.byteLength(body)).toBeLessThanOrEqual(MAX_BYTES);
});

test('a termination request stays within 64 KiB with the longest names, and the others follow', () => {
  const harness = new CoreHarness();
  const names = Array.from({ length: 150 }, (_, i) => `${'n'.repeat(900)}-${i}`);
  const listed = names.map((name) => ({
    name,
    address: '',
    type: 'eight',
    zone: 'a',
    spot: true,
    stage: 'failed' as const,
    ageS: 1,
  }));
  const terminated: string[] = [];
  const effects = harness.step({ kind: 'machinesListed', machines: listed, requestedAt: harness.now });
  for (let i = 0; i < 4; i += 1) effects.push(...harness.step({ kind: 'tick' }));
  for (const effect of effects) {
    if (effect.kind !== 'terminate') continue;
    expect(Buffer.byteLength(encodeTerminateRequest(effect.machines))).toBeLessThanOrEqual(MAX_BYTES);
    terminated.push(...effect.machines);
  }
  expect(terminated).toEqual(names);
});
