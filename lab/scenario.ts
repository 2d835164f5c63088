/** Scenario files: what is run, at which size, with which faults; checked before anything starts. */
import { readFileSync } from 'node:fs';
import * as v from 'valibot';

const name = v.pipe(v.string(), v.regex(/^[a-z][a-z0-9-]*$/, 'must be a lower-case name'));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));
const share = v.pipe(v.number(), v.minValue(0), v.maxValue(1));

/** Bounds on mistakes in a scenario file; the largest planned fleet has 8,000 workers. */
const MAX_WORKERS = 64_000;
const MAX_CONTROLLERS = 9;
const MAX_DURATION_S = 1800;

const jobClass = v.strictObject({
  name,
  urgency: v.picklist(['prod', 'high', 'normal', 'best_effort']),
  /** Teams that submit it, by the numbers of the first and of the last one. */
  teams: v.tuple([count, count]),
  tasks: v.tuple([count, count]),
  cpus: positive,
  runS: v.tuple([positive, positive]),
  jobsPerS: amount,
  jobsAtStart: v.pipe(v.number(), v.integer(), v.minValue(0)),
  /** Run time of tasks of the jobs at the start; absent: as of the others. */
  startRunS: v.optional(v.tuple([positive, positive])),
  images: count,
  imageGb: amount,
  cancelShare: v.optional(share, 0),
  /** Share of the jobs that only one zone may run. */
  zoneBoundShare: v.optional(share, 0),
});

const fault = v.variant('kind', [
  v.strictObject({ kind: v.literal('workers_die'), atS: amount, count }),
  v.strictObject({ kind: v.literal('workers_hang'), atS: amount, count, forS: positive }),
  v.strictObject({ kind: v.literal('rack'), atS: amount, count }),
  v.strictObject({ kind: v.literal('zone'), atS: amount, zone: count, forS: positive }),
  v.strictObject({
    kind: v.literal('controller'),
    atS: amount,
    which: v.picklist(['leader', 'follower']),
    forS: positive,
  }),
  v.strictObject({
    kind: v.literal('state_refused'),
    atS: amount,
    which: v.picklist(['leader', 'follower']),
    forS: positive,
  }),
  v.strictObject({ kind: v.literal('state_outage'), atS: amount, forS: positive }),
]);

const scenarioSchema = v.strictObject({
  description: v.string(),
  /** Sizes at which it is run, one after the other; the last one is its own. */
  sizes: v.pipe(v.array(v.pipe(count, v.maxValue(MAX_WORKERS))), v.nonEmpty()),
  workers: v.pipe(count, v.maxValue(MAX_WORKERS)),
  zones: v.pipe(count, v.maxValue(20)),
  controllers: v.pipe(count, v.maxValue(MAX_CONTROLLERS)),
  /** Processes that share the hollow workers. */
  workerProcesses: v.pipe(count, v.maxValue(16)),
  machine: v.strictObject({
    cpus: positive,
    memoryGb: positive,
    bootS: positive,
    fetchGbPerS: positive,
    cacheGb: positive,
  }),
  /** Limits of the teams, in cpus: `count` teams each. */
  teams: v.pipe(v.array(v.strictObject({ count, cpusMax: amount })), v.nonEmpty()),
  reportS: positive,
  leaseS: positive,
  cancelS: positive,
  state: v.strictObject({ rps: positive, writeRps: positive, valueKb: positive, txnOps: count }),
  cloudRps: positive,
  classes: v.pipe(v.array(jobClass), v.nonEmpty()),
  pollS: positive,
  warmUpS: amount,
  durationS: v.pipe(positive, v.maxValue(MAX_DURATION_S)),
  /** After the load ends, so long is waited for what is left to be done. */
  drainS: amount,
  faults: v.optional(v.array(fault), []),
});

/** A checked scenario. */
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

/** Checks a scenario document; throws a ScenarioError that names the first field at fault. */
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

/** Reads and checks a scenario file. */
export function readScenario(file: string): Scenario {
  let document: unknown;
  try {
    document = JSON.parse(readFileSync(file, 'utf8'));
  } catch (error) {
    throw new ScenarioError(`${file}: ${error instanceof Error ? error.message : 'cannot be read'}`);
  }
  return parseScenario(document, file);
}

/** The same scenario at another number of workers: limits, rates and what is there at the start grow alike. */
export function atSize(scenario: Scenario, workers: number): Scenario {
  const factor = workers / scenario.workers;
  const whole = (value: number): number => Math.max(1, Math.round(value * factor));
  return {
    ...scenario,
    workers,
    teams: scenario.teams.map((group) => ({ ...group, cpusMax: Math.ceil(group.cpusMax * factor) })),
    classes: scenario.classes.map((one) => ({
      ...one,
      jobsPerS: one.jobsPerS * factor,
      jobsAtStart: one.jobsAtStart === 0 ? 0 : whole(one.jobsAtStart),
    })),
    faults: scenario.faults.map((one) => ('count' in one ? { ...one, count: whole(one.count) } : one)),
  };
}
