/** Commands sent straight to workers: they only raise the token, or halt; and knocks at their doors. */
import { connect } from 'node:net';
import type { Heartbeat, WorkerCommand } from '../core/types.js';
import { parseAddress } from '../config/settings.js';
import { encodeDirectCommands, parseHeartbeat } from '../wire/workers.js';
import { HttpClient } from './http-client.js';

export interface WorkerClient {
  sendCommands(
    address: string,
    token: number,
    session: number,
    commands: readonly WorkerCommand[],
  ): Promise<Heartbeat | null>;
  /** Whether the address takes a connection; null: not to be told from here. */
  probe(address: string): Promise<boolean | null>;
}

/** Errors that speak of the other side, not of this one. */
const UNREACHABLE_ERRORS: ReadonlySet<string | undefined> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ETIMEDOUT',
]);

export class HttpWorkerClient implements WorkerClient {
  #probes = 0;

  constructor(
    private readonly timeoutMs: number,
    /** How long a machine has to take a connection, and how many are knocked at, at once. */
    private readonly knockMs: number,
    private readonly mostKnocks: number,
  ) {}

  probe(address: string): Promise<boolean | null> {
    if (this.#probes >= this.mostKnocks) return Promise.resolve(null);
    this.#probes += 1;
    return new Promise((resolve) => {
      const socket = connect(parseAddress(address));
      let met: boolean | null = false;
      // After a time in which this process stood still, what has come meanwhile is looked at first.
      const timer = setTimeout(() => setImmediate(() => socket.destroy()), this.knockMs);
      socket.on('connect', () => {
        met = true;
        socket.destroy();
      });
      socket.on('error', ({ code }: NodeJS.ErrnoException) => {
        if (met === false && !UNREACHABLE_ERRORS.has(code)) met = null;
      });
      socket.on('close', () => {
        clearTimeout(timer);
        this.#probes -= 1;
        resolve(met);
      });
    });
  }

  async sendCommands(
    address: string,
    token: number,
    session: number,
    commands: readonly WorkerCommand[],
  ): Promise<Heartbeat | null> {
    // A start sent this way could be executed minutes late.
    const safe = commands.filter((command) => command.op !== 'start');
    const client = new HttpClient(parseAddress(address), 1, false);
    const answer = await client.request(
      'POST',
      '/do',
      encodeDirectCommands(token, session, safe),
      this.timeoutMs,
    );
    client.close();
    return answer.status === 200 || answer.status === 409 ? parseHeartbeat(answer.body) : null;
  }
}
