/** Logs on standard error, in the amount that LOG_LEVEL asks for. */
import pinoModule, { pino, type Logger } from 'pino';

export type Log = Logger;

const LEVELS = new Set(['error', 'info', 'debug']);

export function createLog(level: string | undefined): Log {
  return pino(
    { level: level !== undefined && LEVELS.has(level) ? level : 'info', base: null, timestamp: false },
    pinoModule.destination({ dest: 2, sync: true }),
  );
}
