// Bundles the current sources and, if a commit is given, the sources of that commit for a benchmark.
import { execFileSync } from 'node:child_process';
import { mkdirSync } from 'node:fs';
import { resolve } from 'node:path';

/**
 * `bundle(name, root)` returns the path of the bundle; the earlier version comes first in the result. Each version
 * runs with the benchmark and the emulators of its own commit, since names inside the core differ between versions.
 */
export async function bundleVersions(against, folder, bundle) {
  mkdirSync('target/bench', { recursive: true });
  const versions = [];
  if (against !== undefined) {
    const at = resolve('target', 'bench', folder);
    mkdirSync(at, { recursive: true });
    const archive = execFileSync('git', ['archive', against, 'src', 'bench', 'test'], { maxBuffer: 1 << 28 });
    execFileSync('tar', ['-x', '-C', at], { input: archive });
    versions.push(['before', await bundle('before', at)]);
  }
  versions.push(['now', await bundle('now', resolve('.'))]);
  return versions;
}
