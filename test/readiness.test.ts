/** When a node is ready for requests. */
import { expect, test } from 'vitest';
import { seeded, Simulation } from './emulators/simulation.js';

test('followers without traffic stay ready while the store answers them', async () => {
  // Without regular reads the store answers them only when a long watch ends, and they conclude that it refuses them.
  const simulation = new Simulation(seeded(3));
  for (let at = 2000; at <= 40_000; at += 500) {
    await simulation.clock.runUntil(at);
    expect(simulation.ready(), `at ${at} ms`).toEqual([true, true, true]);
  }
});

test('a node that the store refuses becomes unready, and ready again afterwards', async () => {
  const simulation = new Simulation(seeded(3));
  await simulation.clock.runUntil(10_000);
  simulation.store.refuse('n-1', 8000);
  await simulation.clock.runUntil(16_000);
  expect(simulation.ready()).toEqual([true, false, true]);
  await simulation.clock.runUntil(24_000);
  expect(simulation.ready()).toEqual([true, true, true]);
});

test('in a store outage that affects all nodes, they stay ready and answer 503', async () => {
  const simulation = new Simulation(seeded(3));
  await simulation.clock.runUntil(10_000);
  simulation.store.outage(10_000);
  await simulation.clock.runUntil(18_000);
  expect(simulation.ready()).toEqual([true, true, true]);
});

// Once the load balancer has removed it, the other nodes serve its users.
test('a node that reaches neither the store nor a peer is not ready', async () => {
  const simulation = new Simulation(seeded(3));
  await simulation.clock.runUntil(10_000);
  simulation.store.refuse('n-1', 8000);
  for (const other of ['n-0', 'n-2']) simulation.network.partition('n-1', other, 8000);
  await simulation.clock.runUntil(17_000);
  expect(simulation.ready()).toEqual([true, false, true]);
  await simulation.clock.runUntil(28_000);
  expect(simulation.ready()).toEqual([true, true, true]);
});
