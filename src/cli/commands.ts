/**
 * The command line. Exit codes: 0 success; 1 the service refused the request or did not answer; 2 wrong use of the
 * command line, or a settings, policy or job file that cannot be read or is invalid.
 */
import { Command, CommanderError, InvalidArgumentError } from 'commander';
import { createLog } from '../observability/logging.js';
import { memoryQuotaFault } from '../observability/memory.js';
import { createPolicy, PolicyError, readPolicy, formatFault } from '../config/policy.js';
import { startService } from '../service.js';
import { parseSettings, readDocument, readText, SettingsError, settingsFaults } from '../config/settings.js';
import { Client, type Output } from './user-client.js';

declare const ROWANFERRY_VERSION: string | undefined;
/** The program's version; `dev` when it runs from its sources. */
const VERSION = typeof ROWANFERRY_VERSION === 'string' ? ROWANFERRY_VERSION : 'dev';

const EXIT_OK = 0;
const EXIT_USAGE_ERROR = 2;

interface FileOptions {
  readonly settings: string;
  readonly policy?: string;
}

interface CheckOptions extends FileOptions {
  /** Number of machines for which the memory quota is checked. */
  readonly machines?: number;
}

/** Starts a controller, which runs until the process ends. */
function serve({ settings: file, policy: policyFile }: FileOptions): void {
  const settings = parseSettings(readDocument(file));
  const log = createLog(process.env['LOG_LEVEL']);
  const policy = createPolicy(settings, policyFile === undefined ? '' : readText(policyFile), log);
  // From here on, uncaught errors are logged and the process continues. Only the errors thrown above (files that
  // cannot be read or are invalid) end it.
  process.on('uncaughtException', (error) =>
    log.error({ error: error.message, stack: error.stack }, 'uncaught exception'),
  );
  process.on('unhandledRejection', (reason) => log.error({ reason: String(reason) }, 'unhandled rejection'));
  startService(settings, policy, log);
}

/**
 * Prints every fault of the files, one per line, and returns the exit code. The policy is checked only if the
 * settings are valid, and the memory quota only if both are.
 */
function check({ settings: file, policy: policyFile, machines }: CheckOptions, output: Output): number {
  const document = readDocument(file);
  const faults = settingsFaults(document).map((fault) => `${file}: ${fault}`);
  if (faults.length === 0 && policyFile !== undefined) {
    const policy = readPolicy(readText(policyFile), parseSettings(document));
    faults.push(...policy.faults.map((fault) => `${policyFile}:${formatFault(fault)}`));
  }
  if (faults.length === 0 && machines !== undefined) {
    const fault = memoryQuotaFault(parseSettings(document).cluster.quota.ram_mb, machines);
    if (fault !== null) faults.push(`${file}: ${fault}`);
  }
  for (const fault of faults) output.err(fault);
  if (faults.length === 0) output.out('no faults');
  return faults.length === 0 ? EXIT_OK : EXIT_USAGE_ERROR;
}

function parseServerAddress(value: string): string {
  if (!/^[\w.-]+:\d{1,5}$/.test(value)) throw new InvalidArgumentError('must be HOST:PORT');
  return value;
}

function parseMachineCount(value: string): number {
  if (!/^[1-9]\d{0,6}$/.test(value)) throw new InvalidArgumentError('must be a number of machines');
  return Number(value);
}

const standardOutput: Output = {
  out: (line) => process.stdout.write(`${line}\n`),
  err: (line) => process.stderr.write(`${line}\n`),
};

/** The output that commands write to, and the exit code that they set: `null` if a controller keeps running. */
interface Invocation {
  readonly output: Output;
  exitCode: number | null;
}

const withFiles = (command: Command): Command =>
  command
    .requiredOption('--settings <file>', "the platform's settings file (JSON)")
    .option('--policy <file>', "the operators' own settings");

const withServer = (command: Command): Command =>
  command.option(
    '--server <host:port>',
    'a controller (default: ROWANFERRY_SERVER)',
    parseServerAddress,
    process.env['ROWANFERRY_SERVER'] ?? '127.0.0.1:8080',
  );

/** Adds the commands that take files and no controller address: `serve` and `check`. */
function addFileCommands(program: Command, invocation: Invocation): void {
  withFiles(program.command('serve').description('run a controller')).action((options: FileOptions) => {
    serve(options);
    invocation.exitCode = null;
  });
  withFiles(program.command('check').description('look for faults in settings and policy'))
    .option('--machines <count>', 'whether the memory quota suffices for so many machines', parseMachineCount)
    .action((options: CheckOptions) => {
      invocation.exitCode = check(options, invocation.output);
    });
}

/** Adds the commands that send requests to a controller. */
function addUserCommands(program: Command, invocation: Invocation): void {
  const add = (name: string, description: string): Command =>
    withServer(program.command(name).description(description));
  const client = (command: Command): Client =>
    new Client(command.opts<{ server: string }>().server, invocation.output);

  const submit = add('submit <file>', 'submit the job that a JSON file describes');
  submit.action(async (file: string) => {
    invocation.exitCode = await client(submit).submit(readDocument(file));
  });
  const show = add('show <id>', 'show a job').option('--follow', 'until it is done or withdrawn');
  show.action(async (id: string, { follow }: { follow?: boolean }) => {
    invocation.exitCode = await client(show).show(id, follow === true);
  });
  // `withdraw` is the earlier name of the command and is kept for users' scripts that call it.
  const cancel = add('cancel <id>', 'cancel a job').alias('withdraw');
  cancel.action(async (id: string) => {
    invocation.exitCode = await client(cancel).cancel(id);
  });
  const status = add('status', "show a controller's view of the service");
  status.action(async () => {
    invocation.exitCode = await client(status).status();
  });
}

/**
 * Prints a usage, settings or policy error and returns the exit code; any other error is rethrown. After help or
 * version output, which Commander also reports as an error, the exit code is 0.
 */
function reportError(error: unknown, output: Output): number {
  if (error instanceof CommanderError) {
    if (error.exitCode === 0) return EXIT_OK;
    output.err(`rowanferry: ${error.message.replace(/^error: /, '').replaceAll('\n', ' ')}`);
    return EXIT_USAGE_ERROR;
  }
  if (error instanceof SettingsError || error instanceof PolicyError) {
    output.err(`rowanferry: ${error.message}`);
    return EXIT_USAGE_ERROR;
  }
  throw error;
}

/** Runs the command line. Resolves to the exit code, or to `null` if a controller keeps running. */
export async function main(args: readonly string[], output: Output = standardOutput): Promise<number | null> {
  const invocation: Invocation = { output, exitCode: EXIT_OK };
  const program = new Command('rowanferry')
    .description('a fault-tolerant cluster scheduler with EASY backfilling')
    .version(VERSION)
    .exitOverride()
    .configureOutput({ writeOut: (text) => output.out(text.trimEnd()), writeErr: () => undefined });
  addFileCommands(program, invocation);
  addUserCommands(program, invocation);
  try {
    await program.parseAsync([...args], { from: 'user' });
  } catch (error) {
    return reportError(error, output);
  }
  return invocation.exitCode;
}
