/** Operators' policy files: validation, and the effect of a valid policy. */
import { describe, expect, test } from 'vitest';
import { createPolicy, FIGURES, readPolicy, formatFault } from '../src/config/policy.js';
import { job } from './emulators/core-harness.js';
import { testSettings } from './emulators/simulation.js';

const settings = testSettings(0);
const faults = (text: string): string[] => readPolicy(text, settings).faults.map(formatFault);

test('every shipped default is a valid policy', () => {
  const text = Object.entries(FIGURES).map(([name, { source }]) => `${name} = ${source}`);
  expect(faults(text.join('\n'))).toEqual([]);
});

describe('the checker reports line, column and reason of each fault', () => {
  test.each([
    ['no_such = 1.0', '1:1: unknown figure no_such'],
    ['# fine\n\nheadroom = wrong + 1.0', '3:12: Unknown variable: wrong'],
    ['headroom = 2 * cores', '1:12: no such overload: int * double'],
    ['headroom = job_class', '1:12: is a string, where a number is needed'],
    ['headroom = 1.0 +', '1:17: Unexpected token: EOF'],
    ['headroom = 1.0 / 0.0', '1:12: headroom can be Infinity, and must be 0 to 10'],
    ['headroom = cores', '1:12: headroom can be 64, and must be 0 to 10'],
    ['placing_wait_s = cores', '1:18: Unknown variable: cores'],
    ['headroom = 1.0\nheadroom = 2.0', '2:1: headroom is set twice'],
    ['whatever', '1:1: expected `name = expression`'],
  ])('%s', (text, fault) => {
    expect(faults(text)).toEqual([fault]);
  });

  test('all faults are listed, not only the first', () => {
    expect(faults('a = 1.0\nb = 2.0')).toHaveLength(2);
  });
});

test('an expression may depend on the job class', () => {
  const policy = createPolicy(settings, 'estimate_multiplier = job_class == "slow" ? 2.0 : 1.0');
  expect(policy.expectedRunMs(job('req-1', 1, 1, 30, { jobClass: 'slow' }))).toBe(60_000);
  expect(policy.expectedRunMs(job('req-2', 1, 1, 30))).toBe(30_000);
});

test('an expression whose value is out of range for a job falls back to the default', () => {
  // In range for every sample job, but 51 for this one, above the maximum of 10.
  const policy = createPolicy(settings, 'headroom = 1.0 + 10.0 * memory_gb / 1000.0');
  expect(policy.headroomFactor(job('req-1', 1, 1, 30, { memoryGb: 5000 }))).toBe(
    Number(FIGURES.headroom.source),
  );
});
