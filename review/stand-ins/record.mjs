/** The record of a run: one line for each thing sent, answered or run, with the time since the start in seconds. */
import { closeSync, openSync, writeSync } from 'node:fs';

export class Record {
  #file;
  #startedAt = performance.now();

  constructor(path) {
    this.#file = openSync(path, 'w');
  }

  /** Milliseconds since the start of the run. */
  now() {
    return performance.now() - this.#startedAt;
  }

  add(who, what) {
    if (this.#file === null) return;
    const text = typeof what === 'string' ? what : JSON.stringify(what);
    writeSync(this.#file, `${(this.now() / 1000).toFixed(3).padStart(8)} ${who}: ${text}\n`);
  }

  close() {
    if (this.#file !== null) closeSync(this.#file);
    this.#file = null;
  }
}
