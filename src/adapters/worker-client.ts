/** Client of the agents on worker machines: commands sent directly, and reachability probes. */
import { connect } from 'node:net';
import type { Heartbeat, WorkerCommand } from '../core/types.js';
import { parseAddress } from '../config/settings.js';
import { encodeDirectCommands, parseHeartbeat } from '../wire/workers.js';
import { HttpClient } from './http-client.js';

/** What the controller needs of the workers' agents. */
export interface WorkerClient {
  /** Raises the agent's fencing token and sends it commands; the result is its heartbeat, `null`: no sound answer. */
  sendCommands(
    address: string,
    token: number,
    agentEpoch: number,
    commands: readonly WorkerCommand[],
  ): Promise<Heartbeat | null>;
  /** Whether the address accepts a connection; `null`: undecided, for reasons on this side. */
  probe(address: string): Promise<boolean | null>;
}

/** Errors whose cause is the other side. */
const UNREACHABLE_ERRORS: ReadonlySet<string | undefined> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ETIMEDOUT',
]);

/** The agents' HTTP interface; each call takes a connection of its own. */
export class HttpWorkerClient implements WorkerClient {
  #probes = 0;

  constructor(
    private readonly timeoutMs: number,
    /** Time that a machine has to accept a connection, in milliseconds. */
    private readonly probeTimeoutMs: number,
    /** Probes under way at once, at most. */
    private readonly maxProbes: number,
  ) {}

  probe(address: string): Promise<boolean | null> {
    if (this.#probes >= this.maxProbes) return Promise.resolve(null);
    this.#probes += 1;
    return new Promise((resolve) => {
      const socket = connect(parseAddress(address));
      let isReachable: boolean | null = false;
      // After a pause of this process, events that arrived meanwhile are handled before the timeout.
      const timer = setTimeout(() => setImmediate(() => socket.destroy()), this.probeTimeoutMs);
      socket.on('connect', () => {
        isReachable = true;
        socket.destroy();
      });
      socket.on('error', ({ code }: NodeJS.ErrnoException) => {
        if (isReachable === false && !UNREACHABLE_ERRORS.has(code)) isReachable = null;
      });
      socket.on('close', () => {
        clearTimeout(timer);
        this.#probes -= 1;
        resolve(isReachable);
      });
    });
  }

  async sendCommands(
    address: string,
    token: number,
    agentEpoch: number,
    commands: readonly WorkerCommand[],
  ): Promise<Heartbeat | null> {
    // A start is never sent directly: it could be executed minutes late.
    const withoutStarts = commands.filter((command) => command.op !== 'start');
    const client = new HttpClient(parseAddress(address), 1, false);
    const answer = await client.request(
      'POST',
      '/do',
      encodeDirectCommands(token, agentEpoch, withoutStarts),
      this.timeoutMs,
    );
    client.close();
    return answer.status === 200 || answer.status === 409 ? parseHeartbeat(answer.body) : null;
  }
}
