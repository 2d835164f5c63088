/** Entry point of the program itself, without the code cache that `launch.ts` adds. */
import { main } from './cli/commands.js';

void main(process.argv.slice(2)).then((code) => {
  if (code !== null) process.exitCode = code;
});
