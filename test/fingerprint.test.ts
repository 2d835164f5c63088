/** Compares one simulated run of each kind with the record; `npm run fingerprint` compares all recorded runs. */
import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import { fingerprintRun, SEEDED_RUNS } from './emulators/fingerprint-days.js';

const recorded = readFileSync(new URL('data/fingerprint.txt', import.meta.url), 'utf8')
  .trimEnd()
  .split('\n');

test('the record holds exactly the simulated runs', () => {
  expect(recorded.map((line) => line.split(' ').slice(0, 2).join(' '))).toEqual(
    SEEDED_RUNS.map(({ seed, kind }) => `${seed} ${kind}`),
  );
});

const kinds = [...new Set(SEEDED_RUNS.map(({ kind }) => kind))];

test.each(kinds)('the traffic of a simulated run of kind %s is as recorded', async (kind) => {
  const run = SEEDED_RUNS.findLast((candidate) => candidate.kind === kind);
  if (run === undefined) throw new Error(`no simulated run of kind ${kind}`);
  expect(recorded).toContain(await fingerprintRun(run));
});
