/** Logs on standard error, in the amount that LOG_LEVEL asks for. */
import pinoModule, { pino, type Logger } from 'pino';

export type Log = Logger;

const LEVELS = new Set(['error', 'info', 'debug']);

/** Counts what may come in floods, so that one line tells of many. */
export class EventCounter {
  readonly #counts = new Map<string, number>();

  count(what: string): void {
    this.#counts.set(what, (this.#counts.get(what) ?? 0) + 1);
  }

  /** Logs what has been counted since it last did, if anything. */
  flush(log: Log, event: string): void {
    if (this.#counts.size === 0) return;
    log.info(Object.fromEntries(this.#counts), event);
    this.#counts.clear();
  }
}

export function createLog(level: string | undefined): Log {
  return pino(
    { level: level !== undefined && LEVELS.has(level) ? level : 'info', base: null, timestamp: false },
    pinoModule.destination({ dest: 2, sync: true }),
  );
}
