import { main } from './cli.js';

const code = main(process.argv.slice(2));
if (code !== null) process.exitCode = code;
