/** The lab's child processes: started, watched, and all ended when the lab ends. */
import { fork, spawn, type ChildProcess } from 'node:child_process';
import { openSync } from 'node:fs';

/** Beyond this many the lab refuses to start another. */
const MAX_PROCESSES = 200;

/** Started processes by name. */
export class Processes {
  readonly #children = new Map<string, ChildProcess>();

  constructor(
    /** A process ended that nobody ended here. */
    private readonly onExit: (name: string, code: number | null) => void,
  ) {}

  pid(name: string): number | null {
    return this.#children.get(name)?.pid ?? null;
  }

  get pids(): number[] {
    return [...this.#children.values()].flatMap(({ pid }) => (pid === undefined ? [] : [pid]));
  }

  #keep(name: string, child: ChildProcess): ChildProcess {
    if (this.#children.size >= MAX_PROCESSES) {
      child.kill('SIGKILL');
      throw new Error(`more than ${MAX_PROCESSES} processes`);
    }
    this.#children.set(name, child);
    child.on('exit', (code) => {
      if (this.#children.get(name) !== child) return;
      this.#children.delete(name);
      this.onExit(name, code);
    });
    return child;
  }

  /** Starts a role of this program, with a channel for messages. */
  startRole(name: string, role: string, program: string): ChildProcess {
    return this.#keep(name, fork(program, [role], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] }));
  }

  /** Starts a controller; its log goes to a file. */
  startController(name: string, args: readonly string[], logFile: string, logLevel: string): void {
    const log = openSync(logFile, 'a');
    const child = spawn(process.execPath, [...args], {
      stdio: ['ignore', log, log],
      env: { ...process.env, LOG_LEVEL: logLevel },
    });
    this.#keep(name, child);
  }

  /** Ends a process at once, as a loss of power would. */
  kill(name: string): void {
    const child = this.#children.get(name);
    this.#children.delete(name);
    child?.kill('SIGKILL');
  }

  killAll(): void {
    for (const name of [...this.#children.keys()]) this.kill(name);
  }
}
