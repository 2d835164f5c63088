/**
 * Operators' own settings: one expression for each figure, in the Common Expression
 * Language, checked before it is used and evaluated once for each job or machine type.
 */
import { Environment } from '@marcbachmann/cel-js';
import type { SchedulingPolicy } from '../core/model.js';
import type { JobSpec, MachineType } from '../core/types.js';
import type { Log } from '../observability/logging.js';
import type { PlatformSettings } from './settings.js';

type Scope = 'job' | 'machine' | 'cluster';
type Values = Readonly<Record<string, number | string | boolean>>;

interface Figure {
  readonly scope: Scope;
  readonly min: number;
  readonly max: number;
  /** The measured default. */
  readonly source: string;
}

const DAY_S = 86_400;

/** Every figure that a policy may set. */
export const FIGURES = {
  estimate_multiplier: { scope: 'job', min: 0.01, max: 100, source: '1.0' },
  overrun_allowance_s: { scope: 'job', min: 0.1, max: DAY_S, source: 'lease_s' },
  placing_wait_s: { scope: 'cluster', min: 0, max: 600, source: '1.25 * report_s' },
  idle_hold_s: { scope: 'machine', min: 0, max: DAY_S, source: 'spot ? 0.5 * boot_s : 0.3 * boot_s' },
  start_bound_s: { scope: 'job', min: 1, max: DAY_S, source: '240.0' },
  deadline_slack: { scope: 'job', min: 0, max: 1, source: '0.5' },
  headroom: { scope: 'job', min: 0, max: 10, source: '1.3' },
  shared_reports_from: {
    scope: 'cluster',
    min: 1,
    max: 1_000_000_000,
    // A leader on a whole core hears some 2,100 reports a second (0.47 ms each): from 0.8 of that it shares them.
    source: 'controllers < 2.0 ? 1000000000.0 : 1700.0 * report_s * cpu_quota',
  },
  headroom_memory_s: { scope: 'cluster', min: 1, max: DAY_S, source: '20.0 * lease_s' },
} as const satisfies Record<string, Figure>;

export type FigureName = keyof typeof FIGURES;

const NAMES = Object.keys(FIGURES) as FigureName[];
const isFigure = (name: string): name is FigureName => name in FIGURES;

const VARIABLES: Readonly<Record<Scope, Readonly<Record<string, 'double' | 'string' | 'bool'>>>> = {
  cluster: {
    report_s: 'double',
    lease_s: 'double',
    cancel_s: 'double',
    list_lag_s: 'double',
    controllers: 'double',
    cpu_quota: 'double',
  },
  job: {
    job_class: 'string',
    priority: 'string',
    cores: 'double',
    gpus: 'double',
    memory_gb: 'double',
    image_gb: 'double',
    tasks: 'double',
    estimate_s: 'double',
    deadline_s: 'double',
    checkpoint_s: 'double',
  },
  machine: { machine_type: 'string', type_cores: 'double', price: 'double', boot_s: 'double', spot: 'bool' },
};

const PRIORITY_NAMES = ['prod', 'high', 'normal', 'best_effort'] as const;

const environments = new Map<Scope, Environment>();

function environment(scope: Scope): Environment {
  let made = environments.get(scope);
  if (made === undefined) {
    made = new Environment();
    const variables = scope === 'cluster' ? VARIABLES.cluster : { ...VARIABLES.cluster, ...VARIABLES[scope] };
    for (const [name, type] of Object.entries(variables)) made = made.registerVariable(name, type);
    environments.set(scope, made);
  }
  return made;
}

export interface PolicyFault {
  readonly line: number;
  readonly column: number;
  readonly reason: string;
}

export class PolicyError extends Error {}

export const formatFault = ({ line, column, reason }: PolicyFault): string => `${line}:${column}: ${reason}`;

type Evaluate = (values: Values) => number;

interface Compiled {
  readonly evaluate: Evaluate;
  readonly line: number;
}

function clusterValues(settings: PlatformSettings): Values {
  const { workers, cloud } = settings.cluster;
  return {
    report_s: workers.report_s,
    lease_s: workers.lease_s,
    cancel_s: workers.cancel_s,
    list_lag_s: cloud.list_lag_s,
    controllers: settings.others.length + 1,
    cpu_quota: settings.cluster.quota.cpu,
  };
}

function jobValues(spec: JobSpec): Values {
  return {
    job_class: spec.jobClass,
    priority: PRIORITY_NAMES[spec.priority],
    cores: spec.cpus,
    gpus: spec.gpus,
    memory_gb: spec.memoryGb,
    image_gb: spec.imageGb,
    tasks: spec.tasks,
    estimate_s: spec.estimateS,
    deadline_s: spec.deadlineS ?? 0,
    checkpoint_s: spec.checkpointS,
  };
}

function machineValues(type: MachineType, spot: boolean): Values {
  return {
    machine_type: type.name,
    type_cores: type.cpus,
    price: spot ? type.spotPrice : type.price,
    boot_s: type.bootS,
    spot,
  };
}

/** Cases that a checked expression must answer with a figure in its range. */
function samples(scope: Scope, settings: PlatformSettings): Values[] {
  const cluster = clusterValues(settings);
  if (scope === 'cluster') return [cluster];
  const found: Values[] = [];
  if (scope === 'machine') {
    for (const boot_s of [1, 60, 600]) {
      for (const spot of [true, false]) {
        found.push({ ...cluster, machine_type: 'any', type_cores: 32, price: 1, boot_s, spot });
      }
    }
    return found;
  }
  const classes = new Set(settings.cluster.objectives.flatMap((aim) => aim.class ?? []));
  for (const job_class of [...classes, 'any']) {
    for (const priority of PRIORITY_NAMES) {
      for (const estimate_s of [0, 1, 60, 10_000]) {
        for (const size of [1, 64]) {
          found.push({
            ...cluster,
            job_class,
            priority,
            cores: size,
            gpus: size - 1,
            memory_gb: size,
            image_gb: size - 1,
            tasks: size,
            estimate_s,
            deadline_s: 2 * estimate_s,
            checkpoint_s: estimate_s / 10,
          });
        }
      }
    }
  }
  return found;
}

const inRange = ({ min, max }: Figure, value: number): boolean =>
  Number.isFinite(value) && value >= min && value <= max;

function faultOf(error: unknown, line: number, column: number): PolicyFault {
  const { message, node, range } = error as {
    message?: string;
    node?: { pos?: number };
    range?: { start?: number };
  };
  const at = node?.pos ?? range?.start ?? 0;
  return { line, column: column + at, reason: (message ?? String(error)).split('\n')[0] ?? '' };
}

function compile(figure: Figure, source: string): Evaluate {
  const expression = environment(figure.scope).parse(source);
  const checked = expression.check();
  if (!checked.valid) throw checked.error ?? new Error('does not type-check');
  if (checked.type !== 'double' && checked.type !== 'int') {
    throw new Error(`is a ${String(checked.type)}, where a number is needed`);
  }
  return (values) => Number(expression(values));
}

/** Reads a policy: lines of `name = expression`; all faults are found, not just the first. */
export function readPolicy(
  text: string,
  settings: PlatformSettings,
): { expressions: Map<FigureName, Compiled>; faults: PolicyFault[] } {
  const expressions = new Map<FigureName, Compiled>();
  const faults: PolicyFault[] = [];
  text.split('\n').forEach((raw, index) => {
    const line = index + 1;
    if (raw.trim() === '' || raw.trim().startsWith('#')) return;
    const found = /^(\s*)([A-Za-z_]\w*)(\s*=\s*)(.*)$/.exec(raw);
    if (found === null) {
      faults.push({ line, column: 1, reason: 'expected `name = expression`' });
      return;
    }
    const [, indent = '', name = '', equals = '', source = ''] = found;
    if (!isFigure(name)) {
      faults.push({ line, column: indent.length + 1, reason: `unknown figure ${name}` });
      return;
    }
    if (expressions.has(name)) {
      faults.push({ line, column: indent.length + 1, reason: `${name} is set twice` });
      return;
    }
    const column = indent.length + name.length + equals.length + 1;
    try {
      const evaluate = compile(FIGURES[name], source);
      const bad = samples(FIGURES[name].scope, settings)
        .map(evaluate)
        .find((value) => !inRange(FIGURES[name], value));
      if (bad === undefined) expressions.set(name, { evaluate, line });
      else {
        const { min, max } = FIGURES[name];
        faults.push({ line, column, reason: `${name} can be ${bad}, and must be ${min} to ${max}` });
      }
    } catch (error) {
      faults.push(faultOf(error, line, column));
    }
  });
  return { expressions, faults };
}

/** The figures by which the core goes: the defaults, and what a sound policy puts in their place. */
export function createPolicy(settings: PlatformSettings, text = '', log?: Log): SchedulingPolicy {
  const { expressions, faults } = readPolicy(text, settings);
  const [first] = faults;
  if (first !== undefined) throw new PolicyError(formatFault(first));
  const cluster = clusterValues(settings);
  const defaults = new Map(NAMES.map((name) => [name, compile(FIGURES[name], FIGURES[name].source)]));
  const told = new Set<FigureName>();

  const figure = (name: FigureName, values: Values): number => {
    const all = { ...cluster, ...values };
    const own = expressions.get(name);
    if (own !== undefined) {
      let reason = 'out of range';
      try {
        const value = own.evaluate(all);
        if (inRange(FIGURES[name], value)) return value;
      } catch (error) {
        reason = error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error);
      }
      if (!told.has(name))
        log?.info({ figure: name, line: own.line, reason }, 'policy fault, the default serves');
      told.add(name);
    }
    return defaults.get(name)?.(all) ?? 0;
  };

  // Each job is asked about once; what the core then does thousands of times is a look-up.
  const perJob = (name: FigureName): ((job: JobSpec) => number) => {
    const known = new WeakMap<JobSpec, number>();
    return (job) => {
      let value = known.get(job);
      if (value === undefined) {
        value = figure(name, jobValues(job));
        known.set(job, value);
      }
      return value;
    };
  };
  const perType = (name: FigureName): ((type: MachineType, spot: boolean) => number) => {
    const known = new WeakMap<MachineType, Map<boolean, number>>();
    return (type, spot) => {
      const values = known.get(type) ?? new Map<boolean, number>();
      known.set(type, values);
      const value = values.get(spot) ?? figure(name, machineValues(type, spot));
      values.set(spot, value);
      return value;
    };
  };

  const multiplier = perJob('estimate_multiplier');
  const allowance = perJob('overrun_allowance_s');
  const bound = perJob('start_bound_s');
  const hold = perType('idle_hold_s');
  return {
    expectedRunMs: (job) => job.estimateS * 1000 * multiplier(job),
    overrunAllowanceMs: (job) => allowance(job) * 1000,
    maxPlacementDelayMs: figure('placing_wait_s', {}) * 1000,
    idleTimeoutMs: (type, spot) => hold(type, spot) * 1000,
    maxWaitMs: (job) => bound(job) * 1000,
    deadlineSlackShare: perJob('deadline_slack'),
    headroomFactor: perJob('headroom'),
    demandDecayMs: figure('headroom_memory_s', {}) * 1000,
    sharedHeartbeatsMinMachines: figure('shared_reports_from', {}),
  };
}
