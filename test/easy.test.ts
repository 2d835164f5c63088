import { expect, test } from 'vitest';
import { mayBackfill } from '../src/core/easy.js';

const room = (cpus: number) => ({ cpus, gpus: 0, memoryGb: cpus });

test('a task that ends by the shadow time may pass the head whatever it takes', () => {
  expect(mayBackfill({ shadow: 100, extra: room(0) }, room(8), 100)).toBe(true);
});

test('a task that runs past the shadow time may pass only within the extra room', () => {
  expect(mayBackfill({ shadow: 100, extra: room(4) }, room(4), 500)).toBe(true);
  expect(mayBackfill({ shadow: 100, extra: room(4) }, room(5), 101)).toBe(false);
});
