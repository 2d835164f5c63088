// Measures the core at several sizes, for an earlier version and the current sources:
//   node bench/run.mjs [--against COMMIT] [--sizes 160,600,2000,6000] [--profile]
// The figures are processor time of this computer: compare the ratios of versions, not the absolute values.
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { build } from 'esbuild';
import { bundleVersions } from './versions.mjs';

const { values } = parseArgs({
  options: {
    against: { type: 'string' },
    sizes: { type: 'string', default: '160,600,2000,6000' },
    profile: { type: 'boolean', default: false },
  },
});

/** Bundles the benchmark of the version whose repository is at `root`. */
async function bundle(name, root) {
  const source = join(root, 'src');
  const at = (...paths) =>
    resolve(
      source,
      paths.find((path) => existsSync(join(source, path))),
    );
  const version = join('target', 'bench', `${name}.version.ts`);
  mkdirSync('target/bench', { recursive: true });
  const from = JSON.stringify;
  writeFileSync(
    version,
    `import { createState } from ${from(at('core/create-state.ts', 'core/state.ts'))};
     import { step } from ${from(at('core/step.ts'))};
     import * as config from ${from(at('config/core-config.ts', 'rules.ts', 'node.ts'))};
     import { createPolicy } from ${from(at('config/policy.ts', 'policy.ts'))};
     import { parseSettings } from ${from(at('config/settings.ts', 'settings.ts'))};
     export * as records from ${from(at('core/persistence/records.ts', 'core/records.ts', 'wire/records.ts'))};
     export const core = { createState, step, rules: (raw) => {
       const settings = parseSettings(raw);
       return (config.createCoreConfig ?? config.rulesFor)(settings, createPolicy(settings)); } };`,
  );
  const outfile = join('target', 'bench', `${name}.cjs`);
  await build({
    entryPoints: [join(root, 'bench', 'fleet.ts')],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    // Each version exports the function that makes the core's configuration under one of two names.
    logOverride: { 'import-is-undefined': 'silent' },
    alias: { '#version': resolve(version) },
    nodePaths: [resolve('node_modules')],
  });
  return outfile;
}

const versions = await bundleVersions(values.against, 'before', bundle);

console.log(
  '| machines | phase | version | placed | ms a report | ms a placed task | ms a tick | worst ms | share of a core |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- |');
for (const size of values.sizes.split(',')) {
  for (const [name, file] of versions) {
    const flags = values.profile ? ['--cpu-prof', '--cpu-prof-dir=target/bench'] : [];
    const out = execFileSync('node', [...flags, file, size], { encoding: 'utf8', maxBuffer: 1 << 26 });
    for (const row of JSON.parse(out.trim().split('\n').at(-1))) {
      const cells = [row.msPerReport, row.msPerPlaced, row.msPerTick, row.worstMs].map((ms) => ms.toFixed(2));
      console.log(
        `| ${size} | ${row.phase} | ${name} | ${row.placed} | ${cells.join(' | ')} | ${row.share.toFixed(2)} |`,
      );
    }
  }
}
