/** The command line. Exit codes: 0 done, 1 the service cannot or will not, 2 wrong use. */
import { Command, CommanderError, InvalidArgumentError } from 'commander';
import { Client, type Output } from './user-client.js';
import { createLog } from '../observability/logging.js';
import { memoryQuotaFault } from '../observability/memory.js';
import { createPolicy, PolicyError, readPolicy, formatFault } from '../config/policy.js';
import { startService } from '../service.js';
import { parseSettings, readDocument, readText, SettingsError, settingsFaults } from '../config/settings.js';

declare const ROWANFERRY_VERSION: string | undefined;
export const VERSION = typeof ROWANFERRY_VERSION === 'string' ? ROWANFERRY_VERSION : 'dev';

interface FileOptions {
  readonly settings: string;
  readonly policy?: string;
}

interface CheckOptions extends FileOptions {
  /** The size of the fleet that the quota is checked for. */
  readonly machines?: number;
}

function serve({ settings: file, policy: policyFile }: FileOptions): void {
  const settings = parseSettings(readDocument(file));
  const log = createLog(process.env['LOG_LEVEL']);
  const policy = createPolicy(settings, policyFile === undefined ? '' : readText(policyFile), log);
  // Whatever goes wrong from here on is logged and survived; only a bad start ends the process.
  process.on('uncaughtException', (error) =>
    log.error({ error: error.message, stack: error.stack }, 'uncaught'),
  );
  process.on('unhandledRejection', (reason) => log.error({ reason: String(reason) }, 'unhandled'));
  startService(settings, policy, log);
}

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
  return faults.length === 0 ? 0 : 2;
}

function address(value: string): string {
  if (!/^[\w.-]+:\d{1,5}$/.test(value)) throw new InvalidArgumentError('must be HOST:PORT');
  return value;
}

function machineCount(value: string): number {
  if (!/^[1-9]\d{0,6}$/.test(value)) throw new InvalidArgumentError('must be a number of machines');
  return Number(value);
}

const standardOutput: Output = {
  out: (line) => process.stdout.write(`${line}\n`),
  err: (line) => process.stderr.write(`${line}\n`),
};

/** Runs the command line; the result is the exit code, or null while a controller goes on. */
export async function main(args: readonly string[], output: Output = standardOutput): Promise<number | null> {
  let code: number | null = 0;
  const program = new Command('rowanferry')
    .description('a fault-tolerant cluster scheduler with EASY backfilling')
    .version(VERSION)
    .exitOverride()
    .configureOutput({ writeOut: (text) => output.out(text.trimEnd()), writeErr: () => undefined });
  const command = (name: string, description: string): Command =>
    program.command(name).description(description);
  const withFiles = (made: Command): Command =>
    made
      .requiredOption('--settings <file>', "the platform's settings file (JSON)")
      .option('--policy <file>', "the operators' own settings");
  const client = (made: Command): Client => new Client(made.opts<{ server: string }>().server, output);
  const withServer = (made: Command): Command =>
    made.option(
      '--server <host:port>',
      'a controller (default: ROWANFERRY_SERVER)',
      address,
      process.env['ROWANFERRY_SERVER'] ?? '127.0.0.1:8080',
    );

  withFiles(command('serve', 'run a controller')).action((options: FileOptions) => {
    serve(options);
    code = null;
  });
  withFiles(command('check', 'look for faults in settings and policy'))
    .option('--machines <count>', 'whether the memory quota suffices for so many machines', machineCount)
    .action((options: CheckOptions) => {
      code = check(options, output);
    });
  const submit = withServer(command('submit <file>', 'submit the job that a JSON file describes'));
  submit.action(async (file: string) => {
    code = await client(submit).submit(readDocument(file));
  });
  const show = withServer(command('show <id>', 'show a job')).option(
    '--follow',
    'until it is done or withdrawn',
  );
  show.action(async (id: string, { follow }: { follow?: boolean }) => {
    code = await client(show).show(id, follow === true);
  });
  const withdraw = withServer(command('withdraw <id>', 'cancel a job'));
  withdraw.action(async (id: string) => {
    code = await client(withdraw).cancel(id);
  });
  const status = withServer(command('status', "show a controller's view of the service"));
  status.action(async () => {
    code = await client(status).status();
  });

  try {
    await program.parseAsync([...args], { from: 'user' });
  } catch (error) {
    if (error instanceof CommanderError) {
      if (error.exitCode === 0) return 0;
      output.err(`rowanferry: ${error.message.replace(/^error: /, '').replaceAll('\n', ' ')}`);
      return 2;
    }
    if (error instanceof SettingsError || error instanceof PolicyError) {
      output.err(`rowanferry: ${error.message}`);
      return 2;
    }
    throw error;
  }
  return code;
}
