/** Model checking of the election: every interleaving up to a depth, and a mutant without each guard. */
import { expect, test } from 'vitest';
import { explore, type Bounds, type Mutant } from './emulators/election-explorer.js';

const deep = Number(process.env['DEPTH'] ?? 0);
const BOUNDS: Bounds =
  deep > 0
    ? { depth: deep, faults: 4, states: 700_000, convergenceCheckInterval: 50 }
    : { depth: 9, faults: 3, states: 60_000, convergenceCheckInterval: 20 };

test('in every interleaving up to a depth no two leaders write and leadership settles', () => {
  const found = explore(BOUNDS);
  if (deep > 0) console.log(`${found.states} states`);
  expect(found.path).toEqual([]);
  expect(found.violations).toEqual([]);
  expect(found.states).toBeGreaterThan(20_000);
}, 3_600_000);

const MUTANTS: readonly Mutant[] = [
  'campaigns without the term precondition',
  'transfers leadership without the record precondition',
  'takes an unknown outcome for success',
  'takes any record of the term for its own',
  'continues after its lease has expired',
  'transfers leadership for ever',
  'follows no record',
];

test.each(MUTANTS)('the explorer detects a mutant that %s', (mutant) => {
  const found = explore({ ...BOUNDS, convergenceCheckInterval: 1 }, mutant);
  expect(found.violations.length).toBeGreaterThan(0);
});
