/**
 * Starts the program with the code that V8 compiled at the build: compiling 2 MB anew took a node with a
 * twelfth of a core a second of each start. Code of another version of Node.js, or of other flags, is
 * refused by V8, and compiled as usual.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Script } from 'node:vm';

type Program = (load: NodeJS.Require, module: NodeJS.Module, exports: unknown) => void;

const filename = join(__dirname, 'program.cjs');
const kept = `${filename}.code`;

function keptCode(): Buffer | undefined {
  try {
    return readFileSync(kept);
  } catch {
    return undefined;
  }
}

const source = `(function (require, module, exports) {${readFileSync(filename, 'utf8')}\n})`;
const cachedData = keptCode();
const script = new Script(source, cachedData === undefined ? { filename } : { filename, cachedData });
// Only the build sets it, to milliseconds: what has been called by then is kept along with the rest.
const keepAfter = Number(process.env['ROWANFERRY_KEEP_CODE'] ?? 0);
if (keepAfter > 0)
  setTimeout(() => {
    writeFileSync(kept, script.createCachedData());
    process.exit(0);
  }, keepAfter);
(script.runInThisContext() as Program)(require, module, exports);
