/** Compares a day of each kind with the recorded traffic; `npm run fingerprint` compares every recorded day. */
import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import { fingerprintDay, SEEDED_DAYS } from './emulators/fingerprint-days.js';

const recorded = readFileSync(new URL('data/fingerprint.txt', import.meta.url), 'utf8')
  .trimEnd()
  .split('\n');

test('the record holds exactly the days that are simulated', () => {
  expect(recorded.map((line) => line.split(' ').slice(0, 2).join(' '))).toEqual(
    SEEDED_DAYS.map(({ seed, kind }) => `${seed} ${kind}`),
  );
});

const kinds = [...new Set(SEEDED_DAYS.map(({ kind }) => kind))];

test.each(kinds)('the traffic of a day of kind %s is as recorded', async (kind) => {
  const day = SEEDED_DAYS.findLast((candidate) => candidate.kind === kind);
  if (day === undefined) throw new Error(`no day of kind ${kind}`);
  expect(recorded).toContain(await fingerprintDay(day));
});
