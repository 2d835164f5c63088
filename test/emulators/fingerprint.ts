/**
 * Compares the traffic of seeded simulated runs with the record. Exit codes: 0 all are the same; 1 some differ;
 * 2 usage error.
 *
 *     npm run fingerprint                          compares all runs with the record
 *     npm run fingerprint -- --seed 501 --seed 502   compares only these
 *     npm run fingerprint -- --trace 501           writes the traffic of a run to target/trace-501.txt
 *     npm run fingerprint -- --record              rewrites the record
 *
 * When a line differs, `cmp` or `diff` of the traces of both versions shows the first message that differs.
 */
import { closeSync, openSync, readFileSync, writeFileSync, writeSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { fingerprintRun, SEEDED_RUNS, type SeededRun } from './fingerprint-days.js';

const RECORD = 'test/data/fingerprint.txt';

const print = (line: string): void => void process.stdout.write(`${line}\n`);

function exitWithUsageError(reason: string): never {
  process.stderr.write(`fingerprint: ${reason}\n`);
  process.exit(2);
}

function runOf(seed: string): SeededRun {
  const run = SEEDED_RUNS.find((candidate) => String(candidate.seed) === seed);
  return run ?? exitWithUsageError(`no day has the seed ${seed}`);
}

async function trace(seed: string): Promise<void> {
  const run = runOf(seed);
  const path = `target/trace-${seed}.txt`;
  const file = openSync(path, 'w');
  print(await fingerprintRun(run, (line) => writeSync(file, line)));
  closeSync(file);
  print(`its traffic is in ${path}`);
}

async function record(): Promise<void> {
  const lines: string[] = [];
  for (const run of SEEDED_RUNS) {
    lines.push(await fingerprintRun(run));
    print(lines.at(-1) ?? '');
  }
  writeFileSync(RECORD, `${lines.join('\n')}\n`);
}

async function compare(runs: readonly SeededRun[], isWhole: boolean): Promise<number> {
  const recorded = readFileSync(RECORD, 'utf8').trimEnd().split('\n');
  let differing = isWhole ? Math.abs(recorded.length - runs.length) : 0;
  for (const run of runs) {
    const line = await fingerprintRun(run);
    const isSame = recorded.includes(line);
    if (!isSame) differing += 1;
    print(`${isSame ? 'same   ' : 'DIFFERS'} ${line}`);
  }
  print(differing === 0 ? `all ${runs.length} are as recorded` : `${differing} of ${runs.length} differ`);
  return differing === 0 ? 0 : 1;
}

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', multiple: true },
      trace: { type: 'string' },
      record: { type: 'boolean' },
    },
  });
  if (values.trace !== undefined) await trace(values.trace);
  else if (values.record === true) await record();
  else return compare(values.seed?.map(runOf) ?? SEEDED_RUNS, values.seed === undefined);
  return 0;
}

void main().then(
  (code) => process.exit(code),
  (error: unknown) => exitWithUsageError(error instanceof Error ? error.message : String(error)),
);
