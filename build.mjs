// Bundles the program into one file: on a twelfth of a core, loading hundreds of
// small modules would cost several seconds at every start.
import { readFileSync } from 'node:fs';
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
  outfile: 'target/rowanferry.cjs',
  minifySyntax: true,
  banner: { js: '#!/usr/bin/env node' },
});
for (const name of ['standins', 'demo']) {
  if (!process.argv.includes(`--${name}`)) continue;
  await build({ ...common, entryPoints: [`test/standins/${name}.ts`], outfile: `target/${name}.cjs` });
}
