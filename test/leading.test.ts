/** Who leads, and for how long. */
import { expect, test } from 'vitest';
import { seeded, World } from './standins/world.js';

test('a crashed leader is followed by another well within a worker lease', async () => {
  const world = new World(seeded(5));
  await world.clock.runUntil(10_000);
  const [first] = world.leaders();
  const index = Number(first?.slice(2));
  world.crash(index, 60_000);
  await world.clock.runUntil(16_000);
  const [second] = world.leaders().filter((name) => name !== first);
  expect(second).toBeDefined();
});

test('the badly placed node leads only until a better placed one is back', async () => {
  // With the node after the leader in the leader's own zone, workers of a zone that was cut
  // off tried two nodes in vain and lost their leases before they found the deputy.
  const world = new World(seeded(5));
  await world.clock.runUntil(10_000);
  world.crash(0, 5000);
  world.crash(1, 5000);
  await world.clock.runUntil(15_500);
  expect(world.leaders()).toEqual(['n-2']);
  await world.clock.runUntil(30_000);
  expect(world.leaders()).toHaveLength(1);
  expect(world.leaders()).not.toEqual(['n-2']);
});
