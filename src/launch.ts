/**
 * Entry point as deployed: starts the program with the code cache that the build wrote, since compiling the
 * bundle delays the start of a controller with a small share of a core. V8 rejects a cache that was written by
 * another version of Node.js or under other flags; the program is then compiled as usual.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Script } from 'node:vm';

type Program = (load: NodeJS.Require, module: NodeJS.Module, exports: unknown) => void;

const filename = join(__dirname, 'program.cjs');
const cacheFile = `${filename}.code`;

function readCodeCache(): Buffer | undefined {
  try {
    return readFileSync(cacheFile);
  } catch {
    return undefined;
  }
}

const source = `(function (require, module, exports) {${readFileSync(filename, 'utf8')}\n})`;
const cachedData = readCodeCache();
const script = new Script(source, cachedData === undefined ? { filename } : { filename, cachedData });
// Only the build sets this: the time in milliseconds after which the cache is written and the process exits. The
// cache includes the functions that were called by then.
const writeCacheAfterMs = Number(process.env['ROWANFERRY_KEEP_CODE'] ?? 0);
if (writeCacheAfterMs > 0)
  setTimeout(() => {
    writeFileSync(cacheFile, script.createCachedData());
    process.exit(0);
  }, writeCacheAfterMs);
(script.runInThisContext() as Program)(require, module, exports);
