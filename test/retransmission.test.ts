/** Timeouts for the outcome of a transaction, over real HTTP on loopback. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Worker } from 'node:worker_threads';
import { expect, test } from 'vitest';
import { HttpClient } from '../src/adapters/http-client.js';
import { RetransmissionTimer } from '../src/adapters/retransmission-timer.js';
import { HttpKeyValueStore } from '../src/adapters/key-value-store.js';
import { systemClock } from '../src/adapters/clock.js';
import { timing } from '../src/config/settings.js';
import { testSettings } from './emulators/simulation.js';

test('the timeout follows response times, doubles without a response, and stays within its bounds', () => {
  const timer = new RetransmissionTimer(500, 2000);
  expect(timer.timeoutMs).toBe(2000);
  for (let i = 0; i < 50; i += 1) timer.observeResponse(10);
  expect(timer.timeoutMs).toBe(500);
  timer.observeTimeout();
  expect(timer.timeoutMs).toBe(1000);
  timer.observeTimeout();
  timer.observeTimeout();
  expect(timer.timeoutMs).toBe(2000);
  timer.observeResponse(10);
  expect(timer.timeoutMs).toBe(500);
  // A slow service gets a longer timeout, so that requests to it are not repeated too early.
  for (let i = 0; i < 20; i += 1) timer.observeResponse(i % 2 === 0 ? 300 : 900);
  expect(timer.timeoutMs).toBeGreaterThan(1200);
});

// A write waits for the outcome of the previous one, so a long timeout would delay all writes.
test('a lost response of a service that answers in milliseconds is detected well before the store timeout', async () => {
  let isSilent = false;
  const server = createServer((request, response) => {
    request.resume();
    if (!isSilent) response.end('{"ledgerRev":7}');
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const defaults = testSettings(0);
  const endpoints = { ...defaults.endpoints, state: `127.0.0.1:${(server.address() as AddressInfo).port}` };
  const settings = { ...defaults, endpoints };
  const store = new HttpKeyValueStore(settings, systemClock);
  for (let i = 0; i < 8; i += 1)
    expect(await store.commit({ preconditions: [], mutations: [] })).toMatchObject({ kind: 'applied' });
  isSilent = true;
  const startedAt = performance.now();
  expect(await store.commit({ preconditions: [], mutations: [] })).toEqual({ kind: 'unknown' });
  expect(performance.now() - startedAt).toBeLessThan(0.6 * timing(settings).storeTimeoutMs);
  server.closeAllConnections();
  server.close();
});

// After a pause the timer fires before the response that has already arrived is read.
test('a response that arrived while this process was paused counts', async () => {
  const remoteServer = new Worker(
    `const { createServer } = require('node:http');
     const server = createServer((request, response) => setTimeout(() => response.end('{}'), 20));
     server.listen(0, '127.0.0.1', () => require('node:worker_threads').parentPort.postMessage(server.address().port));`,
    { eval: true },
  );
  const port = await new Promise<number>((resolve) => remoteServer.once('message', resolve));
  const client = new HttpClient({ host: '127.0.0.1', port }, 1);
  expect((await client.request('GET', '/', null, 1000)).status).toBe(200);
  const answer = client.request('GET', '/', null, 60);
  await new Promise((resolve) => setTimeout(resolve, 5));
  // The pause starts in the check phase, so that the event loop runs timers before it reads input again.
  await new Promise<void>((resolve) => {
    setImmediate(() => {
      const until = performance.now() + 200;
      while (performance.now() < until);
      resolve();
    });
  });
  expect((await answer).status).toBe(200);
  client.close();
  await remoteServer.terminate();
});
