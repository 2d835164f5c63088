/** The command line. */
import { Command, CommanderError } from 'commander';
import { createLog } from './logging.js';
import { startService } from './service.js';
import { parseSettings, readDocument, SettingsError } from './settings.js';

declare const ROWANFERRY_VERSION: string;
export const VERSION = typeof ROWANFERRY_VERSION === 'string' ? ROWANFERRY_VERSION : 'dev';

function serve(file: string): void {
  const settings = parseSettings(readDocument(file));
  const log = createLog(process.env['LOG_LEVEL']);
  // Whatever goes wrong is logged and survived; only bad settings end a start.
  process.on('uncaughtException', (error) =>
    log.error({ error: error.message, stack: error.stack }, 'uncaught'),
  );
  process.on('unhandledRejection', (reason) => log.error({ reason: String(reason) }, 'unhandled'));
  startService(settings, log);
}

/** Runs the command line; the result is the exit code, or null while the service goes on. */
export function main(args: readonly string[]): number | null {
  let code: number | null = 0;
  const program = new Command('rowanferry')
    .description('a fault-tolerant cluster scheduler with EASY backfilling')
    .version(VERSION)
    .exitOverride()
    .showHelpAfterError(false);
  program
    .command('serve')
    .description('run a controller')
    .requiredOption('--settings <file>', "the platform's settings file (JSON)")
    .action(({ settings }: { settings: string }) => {
      serve(settings);
      code = null;
    });
  try {
    program.parse(args as string[], { from: 'user' });
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? 0 : 2;
    if (error instanceof SettingsError) {
      process.stderr.write(`rowanferry: ${error.message}\n`);
      return 2;
    }
    throw error;
  }
  return code;
}
