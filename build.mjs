// Bundles the program into one file: on a twelfth of a core, loading hundreds of
// small modules would cost several seconds at every start.
import { readFileSync } from 'node:fs';
import { build } from 'esbuild';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));
await build({
  entryPoints: ['src/main.ts'],
  outfile: 'target/rowanferry.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minifySyntax: true,
  legalComments: 'none',
  define: { ROWANFERRY_VERSION: JSON.stringify(version) },
});
