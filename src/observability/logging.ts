/** Structured logging to standard error, at the level that `LOG_LEVEL` sets. */
import pinoModule, { pino, type Logger } from 'pino';

/** The logger of the process. */
export type Log = Logger;

const LEVELS = new Set(['error', 'info', 'debug']);

/** Counts frequent events, so that one log line reports many of them. */
export class EventCounter {
  readonly #counts = new Map<string, number>();

  /** Counts one event of this kind. */
  count(kind: string): void {
    this.#counts.set(kind, (this.#counts.get(kind) ?? 0) + 1);
  }

  /** Logs the counts since the last call, if there are any, and resets them. */
  flush(log: Log, event: string): void {
    if (this.#counts.size === 0) return;
    log.info(Object.fromEntries(this.#counts), event);
    this.#counts.clear();
  }
}

/** Creates a logger at this level, or at `info` if the level is not one of error, info and debug. */
export function createLog(level: string | undefined): Log {
  return pino(
    { level: level !== undefined && LEVELS.has(level) ? level : 'info', base: null, timestamp: false },
    pinoModule.destination({ dest: 2, sync: true }),
  );
}
