/** Runs only the emulators, for controllers that are started by hand. */
import { startEmulators } from './emulators.js';

const folder = process.argv[2] ?? 'target/demo';
void startEmulators(folder).then(() =>
  process.stdout.write(`state service and cloud on 127.0.0.1:7300; settings and a job in ${folder}\n`),
);
