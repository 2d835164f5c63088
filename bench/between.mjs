// Compares an earlier version and the current sources in simulated runs with controller faults, on the same seeds:
//   node bench/between.mjs [--against COMMIT] [--days 34]
// Times are seconds of virtual time: median / 90th percentile / worst. A column is empty if a version does not log
// its event.
import { execFile, execFileSync } from 'node:child_process';
import { availableParallelism } from 'node:os';
import { join, resolve } from 'node:path';
import { parseArgs, promisify } from 'node:util';
import { build } from 'esbuild';
import { bundleVersions } from './versions.mjs';

const { values } = parseArgs({
  options: { against: { type: 'string' }, days: { type: 'string', default: '34' } },
});

/** Bundles bench/between.ts of the version whose repository is at `root`. */
async function bundle(name, root) {
  const outfile = join('target', 'bench', `between-${name}.cjs`);
  await build({
    entryPoints: [join(root, 'bench', 'between.ts')],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    nodePaths: [resolve('node_modules')],
  });
  return outfile;
}

const versions = await bundleVersions(values.against, 'between', bundle);

const run = promisify(execFile);
const kinds = JSON.parse(execFileSync('node', [versions[0][1]], { encoding: 'utf8' }));
const pendingRuns = kinds.flatMap((kind) => versions.map(([version, file]) => ({ kind, version, file })));
const rows = new Map();
const workers = Array.from({ length: Math.max(1, availableParallelism() - 2) }, async () => {
  for (let next = pendingRuns.shift(); next !== undefined; next = pendingRuns.shift()) {
    const { stdout, stderr } = await run('node', [next.file, next.kind, values.days], { maxBuffer: 1 << 26 });
    if (stderr !== '') console.error(stderr);
    rows.set(`${next.kind}|${next.version}`, JSON.parse(stdout.trim().split('\n').at(-1)));
  }
});
await Promise.all(workers);
console.log(
  '| fault of the leader | version | suspected | next elected | longest pause in starts | changes | given back alive | leases lost | broken |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- |');
for (const kind of kinds)
  for (const [version] of versions) {
    const row = rows.get(`${kind}|${version}`);
    const cells = [row.suspected, row.elected, row.pause, row.changes, row.givenBack, row.leases, row.broken];
    console.log(`| ${kind} | ${version} | ${cells.join(' | ')} |`);
  }
