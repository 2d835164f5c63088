/** The lab's child processes: starts them, watches for their exit, and kills all of them when the lab ends. */
import { fork, spawn, type ChildProcess } from 'node:child_process';
import { openSync } from 'node:fs';

/** The lab refuses to run more child processes than this at the same time. */
const MAX_PROCESSES = 200;

/** Running child processes by name. */
export class Processes {
  readonly #children = new Map<string, ChildProcess>();

  constructor(
    /** Called when a process exits that this class did not kill. */
    private readonly onExit: (name: string, code: number | null) => void,
  ) {}

  pid(name: string): number | null {
    return this.#children.get(name)?.pid ?? null;
  }

  get pids(): number[] {
    return [...this.#children.values()].flatMap(({ pid }) => (pid === undefined ? [] : [pid]));
  }

  #track(name: string, child: ChildProcess): ChildProcess {
    if (this.#children.size >= MAX_PROCESSES) {
      child.kill('SIGKILL');
      throw new Error(`cannot start ${name}: ${MAX_PROCESSES} child processes are running already`);
    }
    this.#children.set(name, child);
    child.on('exit', (code) => {
      if (this.#children.get(name) !== child) return;
      this.#children.delete(name);
      this.onExit(name, code);
    });
    return child;
  }

  /** Starts this program in another role, with an IPC channel. */
  startRole(name: string, role: string, program: string): ChildProcess {
    return this.#track(name, fork(program, [role], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] }));
  }

  /** Starts a controller; its log goes to a file. */
  startController(name: string, args: readonly string[], logFile: string, logLevel: string): void {
    const log = openSync(logFile, 'a');
    const child = spawn(process.execPath, [...args], {
      stdio: ['ignore', log, log],
      env: { ...process.env, LOG_LEVEL: logLevel },
    });
    this.#track(name, child);
  }

  /** Kills a process with SIGKILL, so that it ends as abruptly as in a power failure. */
  kill(name: string): void {
    const child = this.#children.get(name);
    this.#children.delete(name);
    child?.kill('SIGKILL');
  }

  killAll(): void {
    for (const name of [...this.#children.keys()]) this.kill(name);
  }
}
