// Bundles the program into one file, and has it compiled ahead: on a twelfth of a core, loading hundreds of
// small modules would cost several seconds at every start, and compiling them one more.
import { execFileSync } from 'node:child_process';
import { readFileSync, rmSync } from 'node:fs';
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
// Compiled code counts only under the flags that it was compiled with.
const [, flags = ''] = /^run = "node ((?:--\S+ )*)/m.exec(readFileSync('deploy/service.toml', 'utf8')) ?? [];
execFileSync(
  process.execPath,
  [...flags.split(' ').filter((flag) => flag !== ''), 'target/rowanferry.cjs', '--help'],
  { env: { ...process.env, ROWANFERRY_KEEP_CODE: '1' }, stdio: ['ignore', 'ignore', 'inherit'] },
);
for (const name of ['standins', 'demo']) {
  if (!process.argv.includes(`--${name}`)) continue;
  await build({ ...common, entryPoints: [`test/standins/${name}.ts`], outfile: `target/${name}.cjs` });
}
