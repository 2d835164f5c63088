/**
 * Compares the bytes on the wire and in the store with recorded files. `GOLDEN_RECORD=1` writes missing files; an
 * existing file is never overwritten.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import * as messages from './emulators/golden-messages.js';

const FILES: readonly (readonly [string, () => string[] | Promise<string[]>])[] = [
  ['peers', messages.peers],
  ['start-fence', messages.startFence],
  ['addressed-answers', messages.addressedAnswers],
  ['workers', messages.workers],
  ['reports', messages.reports],
  ['submissions', messages.submissions],
  ['job-views', messages.jobViews],
  ['user-requests', messages.userRequests],
  ['status-pages', messages.statusPages],
  ['state-requests', messages.stateRequests],
  ['cloud-requests', messages.cloudRequests],
  ['direct-request', messages.directRequest],
  ['stored', messages.stored],
  ['settings', messages.settings],
  ['policies', messages.policies],
];

test.each(FILES)('%s are encoded byte for byte as recorded', async (name, encode) => {
  const file = new URL(`golden/${name}.txt`, import.meta.url);
  const text = `${(await encode()).join('\n')}\n`;
  if (!existsSync(file) && process.env['GOLDEN_RECORD'] === '1') writeFileSync(file, text);
  expect(existsSync(file), `${name}.txt is missing`).toBe(true);
  expect(text).toBe(readFileSync(file, 'utf8'));
});
