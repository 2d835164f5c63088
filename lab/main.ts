/**
 * The scale run: real controllers, the lab's own key-value store and cloud, and hollow workers, on loopback and
 * in real time. Exit codes: 0 success; 1 a rule was violated or the run failed; 2 invalid arguments or scenario.
 */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Command, CommanderError, InvalidArgumentError } from 'commander';
import { cloudAddress, listenError, publicAddress, storeHost, storePort } from './addresses.js';
import type { Variant } from './controllers.js';
import { runStoreProcess } from './emulator/state-process.js';
import { runWorkerHost } from './emulator/worker-host.js';
import { formatFigures } from './report/text.js';
import { writePage } from './report/page.js';
import { Run, runFolder, type RunResult } from './run.js';
import { atSize, readScenario, ScenarioError, type Scenario } from './scenario.js';

const SCENARIOS = 'lab/scenarios';
const PROGRAM = 'target/rowanferry.cjs';
/** Keeps the fleet at the size of the scenario: without this, a leader would return idle machines. */
const POLICY = 'idle_hold_s = 3600.0\n';

interface Options {
  readonly sizes?: readonly number[];
  readonly out: string;
  readonly program: readonly { readonly label: string; readonly file: string }[];
  readonly policy: readonly { readonly label: string; readonly file: string }[];
  readonly duration?: number;
}

const print = (line: string): void => void process.stdout.write(`${line}\n`);

function parseNumbers(value: string): number[] {
  const found = value.split(',').map(Number);
  if (found.some((one) => !Number.isInteger(one) || one < 1))
    throw new InvalidArgumentError('must be whole numbers, separated by commas');
  return found;
}

function parseLabelled(
  value: string,
  before: readonly { label: string; file: string }[],
): { label: string; file: string }[] {
  const [, label = '', file = ''] = /^([a-z0-9-]+)=(.+)$/.exec(value) ?? [];
  if (!existsSync(file)) throw new InvalidArgumentError('must be LABEL=FILE of a file that exists');
  return [...before, { label, file }];
}

function variantsOf({ program, policy }: Options): Variant[] {
  const programs = program.length > 0 ? program : [{ label: 'now', file: PROGRAM }];
  const policyByLabel = new Map(policy.map(({ label, file }) => [label, readFileSync(file, 'utf8')]));
  return programs.map(({ label, file }) => ({
    label,
    program: file,
    policy: POLICY + (policyByLabel.get(label) ?? ''),
  }));
}

function commitName(): string {
  try {
    const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim();
    const changed = execFileSync('git', ['status', '--porcelain', 'src', 'lab'], { encoding: 'utf8' }).trim();
    return changed === '' ? commit : `${commit} with changes`;
  } catch {
    return 'unknown';
  }
}

async function checkPorts(scenario: Scenario): Promise<void> {
  const endpoints = [
    ...Array.from({ length: scenario.controllers }, (_, i) => publicAddress(i)),
    cloudAddress,
    { host: storeHost(0), port: storePort },
  ];
  for (const { host, port } of endpoints) {
    const error = await listenError(host, port);
    if (error !== null) throw new Error(error);
  }
}

/** Runs a scenario at each size with each variant, one after the other; returns the exit code. */
async function scale(name: string, options: Options): Promise<number> {
  const file = name.endsWith('.json') ? name : join(SCENARIOS, `${name}.json`);
  if (!existsSync(file)) {
    const known = readdirSync(SCENARIOS).map((one) => one.replace('.json', ''));
    throw new ScenarioError(`${name}: no such scenario; there are ${known.join(', ')}`);
  }
  const fullScenario = readScenario(file);
  const scenario =
    options.duration === undefined ? fullScenario : { ...fullScenario, durationS: options.duration };
  const label = name.replace(/^.*\//, '').replace('.json', '');
  const results: RunResult[] = [];
  let current: Run | null = null;
  const stop = (code: number): never => {
    current?.end();
    process.exit(code);
  };
  process.on('SIGINT', () => stop(130));
  process.on('SIGTERM', () => stop(143));
  process.on('exit', () => current?.end());
  await checkPorts(scenario);
  mkdirSync(options.out, { recursive: true });
  const commit = commitName();
  for (const workers of options.sizes ?? scenario.sizes)
    for (const variant of variantsOf(options)) {
      print(`${label}: ${workers} workers, ${variant.label}`);
      const folder = runFolder(options.out, label, workers, variant.label);
      current = new Run(
        atSize(scenario, workers),
        variant,
        commit,
        fileURLToPath(import.meta.url),
        folder,
        (line) => print(`  ${line}`),
      );
      const result = await current.execute();
      results.push(result);
      for (const line of formatFigures(result.figures)) print(`  ${line}`);
    }
  const figures = results.map((result) => result.figures);
  writeFileSync(
    join(options.out, `${label}.json`),
    `${JSON.stringify({ scenario: label, commit, runs: figures }, null, 1)}\n`,
  );
  const page = await writePage(options.out, label, results);
  print(`${label}: figures in ${join(options.out, `${label}.json`)}, plots in ${page}`);
  const broken = figures.filter(({ violations }) => Object.keys(violations).length > 0);
  for (const { workers, violations } of broken)
    print(`${label}: ${workers} workers: rules broken: ${JSON.stringify(violations)}`);
  return broken.length === 0 ? 0 : 1;
}

async function main(): Promise<void> {
  const [role] = process.argv.slice(2);
  if (role === 'state' && process.send !== undefined) {
    runStoreProcess();
    return;
  }
  if (role === 'workers' && process.send !== undefined) {
    runWorkerHost();
    return;
  }
  const command = new Command('scale')
    .description('runs controllers with large numbers of hollow workers, measures them and checks the rules')
    .argument('<scenario>', `a scenario of ${SCENARIOS}, or a file`)
    .option(
      '--sizes <workers>',
      "numbers of workers, separated by commas, instead of the scenario's sizes",
      parseNumbers,
    )
    .option(
      '--duration <seconds>',
      "duration of the load in seconds, instead of the scenario's",
      (value) => parseNumbers(value)[0],
    )
    .option('--out <folder>', 'folder for the results', 'target/scale')
    .option(
      '--program <label=file>',
      'a controller program; may be repeated to compare several',
      parseLabelled,
      [],
    )
    .option('--policy <label=file>', "operators' policy for the program with that label", parseLabelled, [])
    .exitOverride();
  try {
    command.parse();
    process.exit(await scale(command.args[0] ?? '', command.opts<Options>()));
  } catch (error) {
    if (error instanceof CommanderError) process.exit(error.exitCode === 0 ? 0 : 2);
    process.stderr.write(`scale: ${error instanceof Error ? error.message : String(error)}\n`);
    process.exit(error instanceof ScenarioError ? 2 : 1);
  }
}

void main();
