/**
 * Compares the traffic of seeded days with the record. Exit codes: 0 all are the same; 1 some differ;
 * 2 usage error.
 *
 *     npm run fingerprint                          compares all days with the record
 *     npm run fingerprint -- --seed 501 --seed 502   compares only these
 *     npm run fingerprint -- --trace 501           writes the traffic of a day to target/trace-501.txt
 *     npm run fingerprint -- --record              rewrites the record
 *
 * When a line differs, `cmp` or `diff` of the traces of both versions shows the first message that differs.
 */
import { closeSync, openSync, readFileSync, writeFileSync, writeSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { fingerprintDay, SEEDED_DAYS, type SeededDay } from './fingerprint-days.js';

const RECORD = 'test/data/fingerprint.txt';

const print = (line: string): void => void process.stdout.write(`${line}\n`);

function exitWithUsageError(reason: string): never {
  process.stderr.write(`fingerprint: ${reason}\n`);
  process.exit(2);
}

function dayOf(seed: string): SeededDay {
  const day = SEEDED_DAYS.find((candidate) => String(candidate.seed) === seed);
  return day ?? exitWithUsageError(`no day has the seed ${seed}`);
}

async function trace(seed: string): Promise<void> {
  const day = dayOf(seed);
  const path = `target/trace-${seed}.txt`;
  const file = openSync(path, 'w');
  print(await fingerprintDay(day, (line) => writeSync(file, line)));
  closeSync(file);
  print(`its traffic is in ${path}`);
}

async function record(): Promise<void> {
  const lines: string[] = [];
  for (const day of SEEDED_DAYS) {
    lines.push(await fingerprintDay(day));
    print(lines.at(-1) ?? '');
  }
  writeFileSync(RECORD, `${lines.join('\n')}\n`);
}

async function compare(days: readonly SeededDay[], isWhole: boolean): Promise<number> {
  const recorded = readFileSync(RECORD, 'utf8').trimEnd().split('\n');
  let differing = isWhole ? Math.abs(recorded.length - days.length) : 0;
  for (const day of days) {
    const line = await fingerprintDay(day);
    const isSame = recorded.includes(line);
    if (!isSame) differing += 1;
    print(`${isSame ? 'same   ' : 'DIFFERS'} ${line}`);
  }
  print(differing === 0 ? `all ${days.length} are as recorded` : `${differing} of ${days.length} differ`);
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
  else return compare(values.seed?.map(dayOf) ?? SEEDED_DAYS, values.seed === undefined);
  return 0;
}

void main().then(
  (code) => process.exit(code),
  (error: unknown) => exitWithUsageError(error instanceof Error ? error.message : String(error)),
);
