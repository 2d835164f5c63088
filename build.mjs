// Bundles the program into one file and writes a code cache for it. On a twelfth of a core, loading hundreds of
// small modules would take several seconds at every start, and compiling them one second more.
import { execFileSync } from 'node:child_process';
import { readFileSync, rmSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));
const common = {
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  legalComments: 'none',
  define: { ROWANFERRY_VERSION: JSON.stringify(version) },
};
await build({
  ...common,
  entryPoints: ['src/main.ts'],
  outfile: 'target/program.cjs',
  minifySyntax: true,
  minifyWhitespace: true,
});
await build({
  entryPoints: ['src/launch.ts'],
  outfile: 'target/rowanferry.cjs',
  platform: 'node',
  format: 'cjs',
  banner: { js: '#!/usr/bin/env node' },
});
rmSync('target/program.cjs.code', { force: true });
// Settings of a controller that can reach no other process. The functions that it calls in its first 1.5 seconds
// are stored compiled in the code cache.
const nobody = '127.0.0.1:9';
const settings = {
  host_name: 'build',
  zone: 'a',
  public_addr: '127.0.0.1:0',
  peer_bind: '127.0.0.1:0',
  others: [{ host_name: 'nobody', zone: 'a', peer_addr: nobody }],
  endpoints: { cloud: nobody, state: nobody },
  cluster: {
    zones: ['a'],
    teams: [],
    workers: { report_s: 1, lease_s: 10, cancel_s: 30 },
    state: { rps: 100, write_rps: 25, value_kb: 32, txn_ops: 20 },
    cloud: { rps: 5, list_lag_s: 4 },
    quota: { cpu: 1, ram_mb: 200, sockets: 500 },
    clock_error_ms: 100,
  },
};
writeFileSync('target/build.json', JSON.stringify(settings));
// V8 accepts a code cache only under the flags that it was written with, so the deployed flags are used.
const [, flags = ''] = /^run = "node ((?:--\S+ )*)/m.exec(readFileSync('deploy/service.toml', 'utf8')) ?? [];
execFileSync(
  process.execPath,
  [
    ...flags.split(' ').filter((flag) => flag !== ''),
    ...['target/rowanferry.cjs', 'serve', '--settings', 'target/build.json'],
  ],
  { env: { ...process.env, LOG_LEVEL: 'error', ROWANFERRY_KEEP_CODE: '1500' }, stdio: 'ignore' },
);
if (process.argv.includes('--scale'))
  await build({
    entryPoints: ['lab/main.ts'],
    outfile: 'target/scale.mjs',
    bundle: true,
    packages: 'external',
    platform: 'node',
    format: 'esm',
    target: 'node20',
  });
const DEVELOPMENT_PROGRAMS = {
  emulators: 'demo/serve.ts',
  demo: 'demo/main.ts',
  fingerprint: 'test/emulators/fingerprint.ts',
};
for (const [name, entryPoint] of Object.entries(DEVELOPMENT_PROGRAMS)) {
  if (!process.argv.includes(`--${name}`)) continue;
  await build({ ...common, entryPoints: [entryPoint], outfile: `target/${name}.cjs` });
}
