/** Entry point of the program, without the compiled-code cache. */
import { main } from './cli/commands.js';

void main(process.argv.slice(2)).then((code) => {
  if (code !== null) process.exitCode = code;
});
