/** Client of the workers: commands sent directly, and reachability probes. */
import { connect } from 'node:net';
import type { Heartbeat, WorkerCommand } from '../core/types.js';
import { parseAddress } from '../config/settings.js';
import { withoutStarts } from '../core/fleet/index.js';
import { commandsWithinLimit } from '../core/message-sizes.js';
import { encodeDirectCommands, parseHeartbeat } from '../wire/workers.js';
import { HttpClient } from './http-client.js';

/** The operations of the workers that the controller uses. */
export interface WorkerClient {
  /**
   * Raises the worker's fencing token and sends it commands, as far as they fit into one message. Resolves to the
   * worker's heartbeat, or to `null` without a valid response.
   */
  sendCommands(
    address: string,
    token: number,
    agentEpoch: number,
    commands: readonly WorkerCommand[],
  ): Promise<Heartbeat | null>;
  /** Whether the address accepts a connection; `null` if this node's limit or another error left it undecided. */
  probe(address: string): Promise<boolean | null>;
}

/** Connection errors after which the address counts as unreachable; any other error leaves the probe undecided. */
const UNREACHABLE_ERRORS: ReadonlySet<string | undefined> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ETIMEDOUT',
]);

/** Client of the workers' HTTP interface; each call opens its own connection. */
export class HttpWorkerClient implements WorkerClient {
  #probes = 0;

  constructor(
    private readonly timeoutMs: number,
    /** Time that a machine has to accept a connection, in milliseconds. */
    private readonly probeTimeoutMs: number,
    /** Maximum number of concurrent probes. */
    private readonly maxProbes: number,
  ) {}

  probe(address: string): Promise<boolean | null> {
    if (this.#probes >= this.maxProbes) return Promise.resolve(null);
    this.#probes += 1;
    return new Promise((resolve) => {
      const socket = connect(parseAddress(address));
      let isReachable: boolean | null = false;
      // Pending events are handled before the timeout: a connection made while this process was paused still counts.
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
    // A start command is never sent directly: a delayed call could execute it minutes late.
    const sent = commandsWithinLimit(withoutStarts(commands));
    const client = new HttpClient(parseAddress(address), 1, false);
    const response = await client.request(
      'POST',
      '/do',
      encodeDirectCommands(token, agentEpoch, sent),
      this.timeoutMs,
    );
    client.close();
    return response.status === 200 || response.status === 409 ? parseHeartbeat(response.body) : null;
  }
}
