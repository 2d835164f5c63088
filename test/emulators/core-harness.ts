/** Drives a leader's core step by step and records commands and effects as a trace. */
import { expect } from 'vitest';
import type { Command, Effect } from '../../src/core/effects.js';
import type { CoreState } from '../../src/core/state.js';
import { createState } from '../../src/core/create-state.js';
import { step } from '../../src/core/step.js';
import type { Claim, JobSpec, MachineType, Heartbeat, ReportedTask } from '../../src/core/types.js';
import { createCoreConfig } from '../../src/config/core-config.js';
import { createPolicy } from '../../src/config/policy.js';
import { testSettings } from './simulation.js';

export const TERM = 5;
const TERM_REVISION = 100;

export const EIGHT_CPU_TYPE: MachineType = {
  name: 'eight',
  cpus: 8,
  gpus: 0,
  memoryGb: 64,
  cacheGb: 50,
  fetchGbPerS: 1,
  price: 2,
  spotPrice: 1,
  bootS: 30,
  zones: ['a'],
};

export function job(
  id: string,
  tasks: number,
  cpus: number,
  estimateS: number,
  overrides: Partial<JobSpec> = {},
): JobSpec {
  return {
    id,
    jobClass: 'class',
    team: 'crew',
    form: 'array',
    priority: 2,
    tasks,
    cpus,
    gpus: 0,
    memoryGb: 1,
    image: 'img',
    imageGb: 0,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimateS,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    submittedAt: 0,
    ...overrides,
  };
}

export function heartbeatOf(
  machine: string,
  seq: number,
  tasks: readonly ReportedTask[] = [],
  overrides: Partial<Heartbeat> = {},
): Heartbeat {
  return {
    machine,
    address: '10.0.0.9:1',
    type: 'eight',
    zone: 'a',
    spot: true,
    agentEpoch: 1,
    sequence: seq,
    token: TERM,
    terminationNoticeS: null,
    tasks,
    ...overrides,
  };
}

export function task(
  name: string,
  attempt: number,
  stage: ReportedTask['stage'],
  exit: ReportedTask['exit'] = null,
): ReportedTask {
  const [id, index] = name.split('/');
  return { job: id ?? '', task: Number(index), attempt, stage, exit };
}

function describeTask({ job, task, attempt, stage, exit }: ReportedTask): string {
  return `${job}/${task}#${attempt} ${stage}${exit === null ? '' : ` ${exit}`}`;
}

function describeCommand(command: Command): string | null {
  switch (command.kind) {
    case 'heartbeat':
      return `report of ${command.heartbeat.machine} (session ${command.heartbeat.agentEpoch}, token ${command.heartbeat.token}): ${command.heartbeat.tasks.map(describeTask).join(', ') || 'no tasks'}`;
    case 'jobAdded': {
      const { id, tasks, cpus, estimateS } = command.job.value;
      return `job ${id}: ${tasks} tasks of ${cpus} cpus, estimated ${estimateS} s`;
    }
    case 'jobRemoved':
      return `job ${command.id} is withdrawn`;
    case 'committed':
      return `commit ${command.outcome.kind}`;
    case 'terminated':
      return `the cloud confirms the return of ${command.machines.join(', ')}`;
    default:
      return null;
  }
}

function describeEffect(effect: Effect): string | null {
  switch (effect.kind) {
    case 'commit':
      return `commit ${effect.transaction.mutations.map((write) => ('put' in write ? `put ${write.put}` : `remove ${write.remove}`)).join(', ')} when ${effect.transaction.preconditions.map(({ key, modRevision }) => `${key}@${modRevision}`).join(' ')}`;
    case 'reply':
      return effect.body.kind === 'unable'
        ? 'answer 503'
        : `answer: ${effect.body.commands.map(({ op, job, task, attempt }) => `${op} ${job}/${task}#${attempt}`).join(', ') || 'nothing to do'}`;
    case 'terminate':
      return `give back ${effect.machines.join(', ')}`;
    case 'steppedDown':
      return `step down: ${effect.reason}`;
    case 'reconcile':
      return `read again ${[...effect.jobs, ...effect.chunks].join(', ')}`;
    default:
      return null;
  }
}

/** The core of a leader on a clock that the test advances. */
export class CoreHarness {
  readonly state: CoreState;
  readonly lines: string[] = [];
  now = 100_000;
  /** Whether the store responds: if so, each batch begins with a confirmation of the view. */
  isViewConfirmed = true;
  #modRevision = TERM_REVISION;
  #replyId = 0;

  constructor(cpusMax = 0, types: MachineType[] = [EIGHT_CPU_TYPE], limits: object = {}) {
    const settings = testSettings(0, cpusMax, limits);
    this.state = createState('n-0', createCoreConfig(settings, createPolicy(settings)));
    step(this.state, [{ kind: 'catalog', types }], this.time());
    step(
      this.state,
      [
        {
          kind: 'becomeLeader',
          term: TERM,
          modRevision: TERM_REVISION,
          viewConfirmedAt: this.now,
          layout: this.state.layout,
          legacyChunkTasks: this.state.legacyChunkTasks,
          jobs: [],
          chunks: [],
          demandHistory: [],
        },
      ],
      this.time(),
    );
    this.now += 2000;
  }

  time(): { monotonicMs: number; epochMs: number } {
    return { monotonicMs: this.now, epochMs: this.now };
  }

  /** Steps the core with one batch of commands and returns its effects; its commits get no outcome. */
  step(...batch: Command[]): Effect[] {
    const commands: Command[] = this.isViewConfirmed
      ? [{ kind: 'viewConfirmed', sentAt: this.now }, ...batch]
      : [...batch];
    const record = (mark: string, line: string | null): void => {
      if (line !== null)
        this.lines.push(`${((this.now - 102_000) / 1000).toFixed(1).padStart(6)} ${mark} ${line}`);
    };
    for (const command of commands) record('>', describeCommand(command));
    const effects = step(this.state, commands, this.time());
    for (const effect of effects) record('<', describeEffect(effect));
    return effects;
  }

  /** Steps the core with one batch of commands, applies the commits that follow and returns all effects. */
  stepAndCommit(...commands: Command[]): Effect[] {
    const effects = this.step(...commands);
    for (let commit = effects.find((effect) => effect.kind === 'commit'); commit?.kind === 'commit';) {
      const next = this.step({
        kind: 'committed',
        id: commit.id,
        outcome: { kind: 'applied', revision: ++this.#modRevision },
      });
      effects.push(...next);
      commit = next.find((effect) => effect.kind === 'commit');
    }
    return effects;
  }

  addJob(spec: JobSpec): Effect[] {
    return this.stepAndCommit({ kind: 'jobAdded', job: { value: spec, modRevision: ++this.#modRevision } });
  }

  /** Makes the core a new leader that has loaded one job and its claims from the store. */
  takeOver(spec: JobSpec, claims: Readonly<Record<string, Claim>>): void {
    const { id, team, cpus, gpus, memoryGb } = spec;
    const tasksPerChunk = this.state.legacyChunkTasks;
    const chunkIndexes = new Set(Object.keys(claims).map((task) => Math.floor(Number(task) / tasksPerChunk)));
    const claimsIn = (chunk: number): Record<string, Claim> =>
      Object.fromEntries(
        Object.entries(claims).filter(([task]) => Math.floor(Number(task) / tasksPerChunk) === chunk),
      );
    this.stepAndCommit({
      kind: 'becomeLeader',
      term: TERM,
      modRevision: TERM_REVISION,
      viewConfirmedAt: this.now,
      layout: this.state.layout,
      legacyChunkTasks: this.state.legacyChunkTasks,
      demandHistory: [],
      jobs: [{ value: spec, modRevision: 50 }],
      chunks: [...chunkIndexes].map((index) => ({
        job: id,
        name: { index, width: null },
        record: {
          value: { team, cpus, gpus, memoryGb, done: '', attempts: {}, claims: claimsIn(index) },
          modRevision: 60,
        },
      })),
    });
  }

  /** Delivers one heartbeat and applies the commits that follow. */
  deliverHeartbeat(heartbeat: Heartbeat): Effect[] {
    return this.stepAndCommit({ kind: 'heartbeat', reply: ++this.#replyId, heartbeat });
  }

  /** The tasks started by the commands in these effects, as `job/task#attempt`. */
  static startedTasks(effects: readonly Effect[]): string[] {
    return effects.flatMap((effect) =>
      effect.kind === 'reply' && effect.body.kind === 'commands'
        ? effect.body.commands
            .filter(({ op }) => op === 'start')
            .map(({ job, task, attempt }) => `${job}/${task}#${attempt}`)
        : [],
    );
  }

  /** Compares the trace so far with test/traces/NAME.txt. */
  async expectTrace(name: string): Promise<void> {
    await expect(`${this.lines.join('\n')}\n`).toMatchFileSnapshot(`./traces/${name}.txt`);
  }
}
