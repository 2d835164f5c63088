/** Scenario files define the load, the sizes and the faults of a run; they are validated before anything starts. */
import { readFileSync } from 'node:fs';
import * as v from 'valibot';

const name = v.pipe(v.string(), v.regex(/^[a-z][a-z0-9-]*$/, 'must be a lower-case name'));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));
const share = v.pipe(v.number(), v.minValue(0), v.maxValue(1));

/** Upper bounds that catch mistakes in a scenario file; the largest planned fleet has 8,000 workers. */
const MAX_WORKERS = 64_000;
const MAX_CONTROLLERS = 9;
const MAX_DURATION_S = 1800;

const jobClass = v.strictObject({
  name,
  urgency: v.picklist(['prod', 'high', 'normal', 'best_effort']),
  /** Numbers of the first and of the last team that submit jobs of this class. */
  teams: v.tuple([count, count]),
  tasks: v.tuple([count, count]),
  cpus: positive,
  runS: v.tuple([positive, positive]),
  jobsPerS: nonNegative,
  jobsAtStart: v.pipe(v.number(), v.integer(), v.minValue(0)),
  /** Run time of the tasks of the jobs at the start, in seconds; defaults to `runS`. */
  startRunS: v.optional(v.tuple([positive, positive])),
  images: count,
  imageGb: nonNegative,
  cancelShare: v.optional(share, 0),
  /** Share of the jobs that may run in one zone only. */
  zoneBoundShare: v.optional(share, 0),
});

const fault = v.variant('kind', [
  v.strictObject({ kind: v.literal('workers_die'), atS: nonNegative, count }),
  v.strictObject({ kind: v.literal('workers_hang'), atS: nonNegative, count, forS: positive }),
  v.strictObject({ kind: v.literal('rack'), atS: nonNegative, count }),
  v.strictObject({ kind: v.literal('zone'), atS: nonNegative, zone: count, forS: positive }),
  v.strictObject({
    kind: v.literal('controller'),
    atS: nonNegative,
    which: v.picklist(['leader', 'follower']),
    forS: positive,
  }),
  v.strictObject({
    kind: v.literal('state_refused'),
    atS: nonNegative,
    which: v.picklist(['leader', 'follower']),
    forS: positive,
  }),
  v.strictObject({ kind: v.literal('state_outage'), atS: nonNegative, forS: positive }),
]);

const scenarioSchema = v.strictObject({
  description: v.string(),
  /** Numbers of workers at which the scenario is run one after the other; the last one equals `workers`. */
  sizes: v.pipe(v.array(v.pipe(count, v.maxValue(MAX_WORKERS))), v.nonEmpty()),
  workers: v.pipe(count, v.maxValue(MAX_WORKERS)),
  zones: v.pipe(count, v.maxValue(20)),
  controllers: v.pipe(count, v.maxValue(MAX_CONTROLLERS)),
  /** Number of processes over which the hollow workers are distributed. */
  workerProcesses: v.pipe(count, v.maxValue(16)),
  machine: v.strictObject({
    cpus: positive,
    memoryGb: positive,
    bootS: positive,
    fetchGbPerS: positive,
    cacheGb: positive,
  }),
  /** CPU limits of the teams: each entry describes `count` teams with the limit `cpusMax`. */
  teams: v.pipe(v.array(v.strictObject({ count, cpusMax: nonNegative })), v.nonEmpty()),
  reportS: positive,
  leaseS: positive,
  cancelS: positive,
  state: v.strictObject({ rps: positive, writeRps: positive, valueKb: positive, txnOps: count }),
  cloudRps: positive,
  classes: v.pipe(v.array(jobClass), v.nonEmpty()),
  pollS: positive,
  warmUpS: nonNegative,
  durationS: v.pipe(positive, v.maxValue(MAX_DURATION_S)),
  /** Longest time to wait for open jobs after the load has ended, in seconds. */
  drainS: nonNegative,
  faults: v.optional(v.array(fault), []),
  /** No task may be lost, and every job that is not cancelled has to be done in the end. */
  mustComplete: v.optional(v.boolean(), false),
});

/** A validated scenario. */
export type Scenario = v.InferOutput<typeof scenarioSchema>;
/** A class of jobs that users submit. */
export type JobClass = Scenario['classes'][number];
/** A fault, and the second of the run at which it happens. */
export type Fault = Scenario['faults'][number];

/** A scenario that cannot be run; the message names the file and the field. */
export class ScenarioError extends Error {}

/** Number of teams of a scenario. */
function teamCount(scenario: Scenario): number {
  return scenario.teams.reduce((sum, group) => sum + group.count, 0);
}

/** Validates a scenario document; throws a ScenarioError that names the first invalid field. */
export function parseScenario(document: unknown, source: string): Scenario {
  const result = v.safeParse(scenarioSchema, document);
  if (!result.success) {
    const [issue] = result.issues;
    throw new ScenarioError(`${source}: ${v.getDotPath(issue) ?? 'scenario'}: ${issue.message}`);
  }
  const scenario = result.output;
  const fail = (field: string, reason: string): never => {
    throw new ScenarioError(`${source}: ${field}: ${reason}`);
  };
  const teams = teamCount(scenario);
  scenario.classes.forEach((one, i) => {
    if (one.teams[0] > one.teams[1] || one.teams[1] > teams)
      fail(`classes.${i}.teams`, `must lie within 1 and ${teams}`);
    if (one.tasks[0] > one.tasks[1]) fail(`classes.${i}.tasks`, 'the first number must not be larger');
    if (one.cpus > scenario.machine.cpus) fail(`classes.${i}.cpus`, 'fits no machine');
  });
  scenario.faults.forEach((one, i) => {
    if (one.atS >= scenario.durationS) fail(`faults.${i}.atS`, 'must lie within durationS');
    if (one.kind === 'zone' && one.zone > scenario.zones)
      fail(`faults.${i}.zone`, `must be 1 to ${scenario.zones}`);
  });
  return scenario;
}

/** Reads and validates a scenario file. */
export function readScenario(file: string): Scenario {
  let document: unknown;
  try {
    document = JSON.parse(readFileSync(file, 'utf8'));
  } catch (error) {
    throw new ScenarioError(`${file}: ${error instanceof Error ? error.message : 'cannot be read'}`);
  }
  return parseScenario(document, file);
}

/** Scales a scenario to another number of workers: limits, rates, initial jobs and fault counts grow in proportion. */
export function atSize(scenario: Scenario, workers: number): Scenario {
  const factor = workers / scenario.workers;
  const scaleCount = (value: number): number => Math.max(1, Math.round(value * factor));
  return {
    ...scenario,
    workers,
    teams: scenario.teams.map((group) => ({ ...group, cpusMax: Math.ceil(group.cpusMax * factor) })),
    classes: scenario.classes.map((one) => ({
      ...one,
      jobsPerS: one.jobsPerS * factor,
      jobsAtStart: one.jobsAtStart === 0 ? 0 : scaleCount(one.jobsAtStart),
    })),
    faults: scenario.faults.map((one) => ('count' in one ? { ...one, count: scaleCount(one.count) } : one)),
  };
}
