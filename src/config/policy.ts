/**
 * The operators' scheduling policy. It sets figures, which are numeric parameters of the scheduler, to expressions
 * in the Common Expression Language (CEL). Each expression is checked when the policy is read. Depending on the
 * figure's scope, it is then evaluated once per job, once per machine type for spot machines and for others, or once
 * when the policy is created.
 */
import { Environment } from '@marcbachmann/cel-js';
import type { SchedulingPolicy } from '../core/model.js';
import type { JobSpec, MachineType } from '../core/types.js';
import type { Log } from '../observability/logging.js';
import type { PlatformSettings } from './settings.js';

type Scope = 'job' | 'machine' | 'cluster';
type Values = Readonly<Record<string, number | string | boolean>>;

interface Figure {
  /** What the figure is evaluated for; sets which variables its expression may use. */
  readonly scope: Scope;
  /** Inclusive bounds of the figure, in its unit. */
  readonly min: number;
  readonly max: number;
  /** The default expression. */
  readonly source: string;
}

const DAY_S = 86_400;
const MS_PER_S = 1000;

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
    // 1,700 heartbeats per second is 0.8 of what a leader can process on one whole core.
    source: 'controllers < 2.0 ? 1000000000.0 : 1700.0 * report_s * cpu_quota',
  },
  headroom_memory_s: { scope: 'cluster', min: 1, max: DAY_S, source: '20.0 * lease_s' },
} as const satisfies Record<string, Figure>;

/** The name of a figure in the policy file. */
type FigureName = keyof typeof FIGURES;

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
  let celEnvironment = environments.get(scope);
  if (celEnvironment === undefined) {
    celEnvironment = new Environment();
    const variables = scope === 'cluster' ? VARIABLES.cluster : { ...VARIABLES.cluster, ...VARIABLES[scope] };
    for (const [name, type] of Object.entries(variables))
      celEnvironment = celEnvironment.registerVariable(name, type);
    environments.set(scope, celEnvironment);
  }
  return celEnvironment;
}

/** A fault in a policy text; line and column count from 1. */
export interface PolicyFault {
  readonly line: number;
  readonly column: number;
  readonly reason: string;
}

/** An invalid policy. */
export class PolicyError extends Error {}

/** A fault as `line:column: reason`. */
export const formatFault = ({ line, column, reason }: PolicyFault): string => `${line}:${column}: ${reason}`;

/** Evaluates a compiled expression over the values of its variables. */
type Evaluate = (values: Values) => number;

/** A compiled expression and its line in the policy file. */
interface CompiledExpression {
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

/** Sample values of a scope's variables. An expression is valid only if its result is in range for all of them. */
function sampleValues(scope: Scope, settings: PlatformSettings): Values[] {
  const cluster = clusterValues(settings);
  if (scope === 'cluster') return [cluster];
  const samples = scope === 'machine' ? sampleMachines() : sampleJobs(settings);
  return samples.map((sample) => ({ ...cluster, ...sample }));
}

function sampleMachines(): Values[] {
  const samples: Values[] = [];
  for (const boot_s of [1, 60, 600])
    for (const spot of [true, false])
      samples.push({ machine_type: 'any', type_cores: 32, price: 1, boot_s, spot });
  return samples;
}

function sampleJobs(settings: PlatformSettings): Values[] {
  const samples: Values[] = [];
  const classes = new Set(settings.cluster.objectives.flatMap((objective) => objective.class ?? []));
  for (const job_class of [...classes, 'any'])
    for (const priority of PRIORITY_NAMES)
      for (const estimate_s of [0, 1, 60, 10_000])
        for (const size of [1, 64]) samples.push(sampleJob(job_class, priority, estimate_s, size));
  return samples;
}

const sampleJob = (job_class: string, priority: string, estimate_s: number, size: number): Values => ({
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

const inRange = ({ min, max }: Figure, value: number): boolean =>
  Number.isFinite(value) && value >= min && value <= max;

const firstLine = (text: string): string => text.split('\n')[0] ?? '';

/**
 * Converts an error of the CEL library to a fault, placed where the error occurred in the expression.
 * `line` and `column` are those of the start of the expression.
 */
function faultOf(error: unknown, line: number, column: number): PolicyFault {
  const { message, node, range } = error as {
    message?: string;
    node?: { pos?: number };
    range?: { start?: number };
  };
  const offset = node?.pos ?? range?.start ?? 0;
  return { line, column: column + offset, reason: firstLine(message ?? String(error)) };
}

/**
 * Compiles one expression.
 * @throws {Error} The CEL library's error if the expression does not parse or type-check.
 * @throws {PolicyError} if the expression's type is not a number, or if the library gives no error for a failed check.
 */
function compile(figure: Figure, source: string): Evaluate {
  const expression = environment(figure.scope).parse(source);
  const checked = expression.check();
  if (!checked.valid) throw checked.error ?? new PolicyError('does not type-check');
  if (checked.type !== 'double' && checked.type !== 'int') {
    throw new PolicyError(`is a ${String(checked.type)}, where a number is needed`);
  }
  return (values) => Number(expression(values));
}

/** The result of parsing a policy: its valid expressions, and every fault of its text. */
export interface ParsedPolicy {
  readonly expressions: Map<FigureName, CompiledExpression>;
  readonly faults: PolicyFault[];
}

/** Reads a policy: lines of `name = expression`; all faults are found, not just the first. */
export function readPolicy(text: string, settings: PlatformSettings): ParsedPolicy {
  const parsed: ParsedPolicy = { expressions: new Map(), faults: [] };
  text.split('\n').forEach((source, index) => {
    if (source.trim() === '' || source.trim().startsWith('#')) return;
    parseLine(source, index + 1, settings, parsed);
  });
  return parsed;
}

/** Parses one line, and adds its expression or its fault to `parsed`. */
function parseLine(text: string, line: number, settings: PlatformSettings, parsed: ParsedPolicy): void {
  const { expressions, faults } = parsed;
  const match = /^(\s*)([A-Za-z_]\w*)(\s*=\s*)(.*)$/.exec(text);
  if (match === null) {
    faults.push({ line, column: 1, reason: 'expected `name = expression`' });
    return;
  }
  const [, indent = '', name = '', equals = '', source = ''] = match;
  const nameColumn = indent.length + 1;
  if (!isFigure(name)) {
    faults.push({ line, column: nameColumn, reason: `unknown figure ${name}` });
    return;
  }
  if (expressions.has(name)) {
    faults.push({ line, column: nameColumn, reason: `${name} is set twice` });
    return;
  }
  const column = indent.length + name.length + equals.length + 1;
  try {
    const evaluate = compile(FIGURES[name], source);
    const reason = rangeFault(name, evaluate, settings);
    if (reason === null) expressions.set(name, { evaluate, line });
    else faults.push({ line, column, reason });
  } catch (error) {
    faults.push(faultOf(error, line, column));
  }
}

/** Why an expression is invalid: its first sample result that is out of range; `null` if all are in range. */
function rangeFault(name: FigureName, evaluate: Evaluate, settings: PlatformSettings): string | null {
  const { scope, min, max } = FIGURES[name];
  const value = sampleValues(scope, settings)
    .map(evaluate)
    .find((sample) => !inRange(FIGURES[name], sample));
  return value === undefined ? null : `${name} can be ${value}, and must be ${min} to ${max}`;
}

/**
 * Evaluates figures by the operators' expressions. Falls back to a figure's default expression if the operators
 * set none, or if theirs fails or gives a value out of range.
 */
class PolicyEvaluator {
  readonly #cluster: Values;
  readonly #defaults: ReadonlyMap<FigureName, Evaluate>;
  /** Figures whose fault has been logged; each is logged once. */
  readonly #loggedFaults = new Set<FigureName>();

  constructor(
    settings: PlatformSettings,
    private readonly expressions: ReadonlyMap<FigureName, CompiledExpression>,
    private readonly log?: Log,
  ) {
    this.#cluster = clusterValues(settings);
    this.#defaults = new Map(NAMES.map((name) => [name, compile(FIGURES[name], FIGURES[name].source)]));
  }

  /** The value of a figure for these values of its scope's variables. */
  evaluate(name: FigureName, values: Values): number {
    const variables = { ...this.#cluster, ...values };
    return this.#evaluateConfigured(name, variables) ?? this.#defaults.get(name)?.(variables) ?? 0;
  }

  /** The value of the operators' expression; `null` if there is none, it fails, or the value is out of range. */
  #evaluateConfigured(name: FigureName, variables: Values): number | null {
    const expression = this.expressions.get(name);
    if (expression === undefined) return null;
    let reason = 'out of range';
    try {
      const value = expression.evaluate(variables);
      if (inRange(FIGURES[name], value)) return value;
    } catch (error) {
      reason = error instanceof Error ? firstLine(error.message) : String(error);
    }
    this.#logFault(name, expression.line, reason);
    return null;
  }

  #logFault(name: FigureName, line: number, reason: string): void {
    if (!this.#loggedFaults.has(name))
      this.log?.info({ figure: name, line, reason }, 'policy expression failed');
    this.#loggedFaults.add(name);
  }

  /** The figure as a function of a job. The value is cached per job, since the core reads it thousands of times. */
  perJob(name: FigureName): (job: JobSpec) => number {
    const cache = new WeakMap<JobSpec, number>();
    return (job) => {
      let value = cache.get(job);
      if (value === undefined) {
        value = this.evaluate(name, jobValues(job));
        cache.set(job, value);
      }
      return value;
    };
  }

  /** The figure as a function of a machine type and of whether the machine is a spot machine; cached for each pair. */
  perMachineType(name: FigureName): (type: MachineType, spot: boolean) => number {
    const cache = new WeakMap<MachineType, Map<boolean, number>>();
    return (type, spot) => {
      const values = cache.get(type) ?? new Map<boolean, number>();
      cache.set(type, values);
      const value = values.get(spot) ?? this.evaluate(name, machineValues(type, spot));
      values.set(spot, value);
      return value;
    };
  }
}

/**
 * Creates the core's scheduling policy: the default expressions, overridden by those of the policy text. If an
 * expression later fails or gives a value out of range, the default applies; this is logged once per figure.
 * @throws {PolicyError} if the text has a fault; the message gives the first one.
 */
export function createPolicy(settings: PlatformSettings, text = '', log?: Log): SchedulingPolicy {
  const { expressions, faults } = readPolicy(text, settings);
  const [firstFault] = faults;
  if (firstFault !== undefined) throw new PolicyError(formatFault(firstFault));
  const evaluator = new PolicyEvaluator(settings, expressions, log);
  const estimateMultiplier = evaluator.perJob('estimate_multiplier');
  const overrunAllowanceS = evaluator.perJob('overrun_allowance_s');
  const startBoundS = evaluator.perJob('start_bound_s');
  const idleHoldS = evaluator.perMachineType('idle_hold_s');
  return {
    expectedRunMs: (job) => job.estimateS * MS_PER_S * estimateMultiplier(job),
    overrunAllowanceMs: (job) => overrunAllowanceS(job) * MS_PER_S,
    maxPlacementDelayMs: evaluator.evaluate('placing_wait_s', {}) * MS_PER_S,
    idleTimeoutMs: (type, spot) => idleHoldS(type, spot) * MS_PER_S,
    maxWaitMs: (job) => startBoundS(job) * MS_PER_S,
    deadlineSlackShare: evaluator.perJob('deadline_slack'),
    headroomFactor: evaluator.perJob('headroom'),
    demandDecayMs: evaluator.evaluate('headroom_memory_s', {}) * MS_PER_S,
    sharedHeartbeatsMinMachines: evaluator.evaluate('shared_reports_from', {}),
  };
}
