/** The command line as users see it. */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { main } from '../src/cli/commands.js';
import { testSettings } from './emulators/simulation.js';

const folder = mkdtempSync(join(tmpdir(), 'rowanferry-'));
const writeTestFile = (name: string, content: string): string => {
  const path = join(folder, name);
  writeFileSync(path, content);
  return path;
};
const validSettings = writeTestFile('good.json', JSON.stringify(testSettings(0)));

async function run(...args: string[]): Promise<{ code: number | null; out: string[]; err: string[] }> {
  const out: string[] = [];
  const err: string[] = [];
  const code = await main(args, { out: (line) => out.push(line), err: (line) => err.push(line) });
  return { code, out, err };
}

test('help and version exit with 0', async () => {
  const help = await run('--help');
  expect(help.code).toBe(0);
  for (const verb of ['serve', 'check', 'submit', 'show', 'cancel', 'withdraw', 'status'])
    expect(help.out.join()).toContain(verb);
  expect((await run('--version')).code).toBe(0);
});

test.each(['cancel', 'withdraw'])('%s sends the controller a request to cancel a job', async (command) => {
  const paths: (string | undefined)[] = [];
  const server = createServer((request, response) => {
    paths.push(`${request.method} ${request.url}`);
    response.end('{"nameId":"req-000001","stage":"withdrawn"}');
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const { code, out } = await run(command, 'req-000001', '--server', `127.0.0.1:${port}`);
  server.close();
  expect(code).toBe(0);
  expect(out).toEqual(['{"nameId":"req-000001","stage":"withdrawn"}']);
  expect(paths).toEqual(['POST /v2/runs/req-000001/withdraw']);
});

test.each([
  [['nonsense']],
  [['serve']],
  [['show']],
  [['show', 'req-1', '--server', 'nowhere']],
  [['check', '--x']],
])('wrong use %j prints one line to standard error and exits with 2', async (args) => {
  const { code, err } = await run(...args);
  expect(code).toBe(2);
  expect(err).toHaveLength(1);
});

test('serve refuses invalid settings with one line that names the field and exits with 2', async () => {
  const invalidSettings = writeTestFile(
    'bad.json',
    JSON.stringify({ ...testSettings(0), peer_bind: 'here' }),
  );
  expect(await run('serve', '--settings', invalidSettings)).toEqual({
    code: 2,
    out: [],
    err: ['rowanferry: peer_bind: must be IP:PORT'],
  });
  expect((await run('serve', '--settings', join(folder, 'none.json'))).code).toBe(2);
});

test('serve refuses an invalid policy', async () => {
  const policy = writeTestFile('bad.policy', 'headroom = 99.0\n');
  const { code, err } = await run('serve', '--settings', validSettings, '--policy', policy);
  expect(code).toBe(2);
  expect(err).toEqual(['rowanferry: 1:12: headroom can be 99, and must be 0 to 10']);
});

test('check lists every fault, or states that there are none', async () => {
  expect(await run('check', '--settings', validSettings)).toEqual({ code: 0, out: ['no faults'], err: [] });
  const invalidSettings = writeTestFile(
    'two.json',
    JSON.stringify({ ...testSettings(0), host_name: '', zone: 5, more: 'ignored' }),
  );
  const { code, err } = await run('check', '--settings', invalidSettings);
  expect(code).toBe(2);
  expect(err.map((line) => line.split(': ')[1])).toEqual(['host_name', 'zone']);
});

test('an unreachable service is reported in one line and exits with 1', async () => {
  const { code, err } = await run('show', 'req-1', '--server', '127.0.0.1:1');
  expect(code).toBe(1);
  expect(err).toEqual(['rowanferry: no answer from 127.0.0.1:1']);
});
