/** The record of a case: what was sent, answered and run, one line an event, with the seconds since the start. */
import { writeFileSync } from 'node:fs';

const startedAt = performance.now();

/** Milliseconds since the start of the case, on the steady clock. */
export const nowMs = () => performance.now() - startedAt;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Collects the lines of a record and writes them into a file. */
export class Recorder {
  #lines = [];

  constructor(file) {
    this.file = file;
  }

  note(who, what, detail) {
    const text =
      detail === undefined ? '' : ` ${typeof detail === 'string' ? detail : JSON.stringify(detail)}`;
    this.#lines.push(`${(nowMs() / 1000).toFixed(3).padStart(8)} ${who} ${what}${text}`);
  }

  /** Notes a line and prints it, too. */
  say(what) {
    this.note('case', what);
    process.stdout.write(`${(nowMs() / 1000).toFixed(1).padStart(6)} ${what}\n`);
  }

  write() {
    writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
  }
}
