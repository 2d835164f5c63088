/** Links between controllers. Each node dials every other and tells it its status. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { Clock } from '../clock.js';
import type { Log } from '../logging.js';
import { parseAddress, type PlatformSettings, type Timing } from '../settings.js';
import { encodeStatus, StatusReader, type PeerStatus } from '../wire/peers.js';

export class Peers {
  readonly #server: Server;
  readonly #accepted = new Set<Socket>();
  readonly #names: ReadonlySet<string>;

  constructor(
    private readonly settings: PlatformSettings,
    private readonly timing: Timing,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly status: () => PeerStatus,
    private readonly onStatus: (status: PeerStatus) => void,
  ) {
    this.#names = new Set(settings.others.map((other) => other.host_name));
    this.#server = createServer((socket) => this.#accept(socket));
  }

  start(): void {
    const { host, port } = parseAddress(this.settings.peer_bind);
    this.#server.on('error', (error) => this.log.error({ error: error.message }, 'peer port'));
    this.#server.listen(port, host);
    for (const other of this.settings.others) void this.#dial(other.peer_addr);
  }

  #accept(socket: Socket): void {
    // One link for each peer, and room for one that replaces a dead one.
    if (this.#accepted.size >= 4 * Math.max(1, this.#names.size)) {
      const oldest = this.#accepted.values().next().value;
      oldest?.destroy();
    }
    this.#accepted.add(socket);
    const reader = new StatusReader();
    socket.setTimeout(4 * this.timing.workerLease, () => socket.destroy());
    socket.on('data', (part) => {
      try {
        for (const status of reader.push(part)) this.#take(status);
      } catch (error) {
        this.log.info({ reason: String(error) }, 'peer link closed');
        socket.destroy();
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#accepted.delete(socket));
  }

  #take(status: PeerStatus): void {
    if (this.#names.has(status.node)) this.onStatus(status);
  }

  async #dial(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    for (;;) {
      await this.#link(connect({ host, port, noDelay: true }));
      await this.clock.sleep(4 * this.timing.tick);
    }
  }

  /** Tells the status at every second tick, until the link breaks or stops taking it. */
  async #link(socket: Socket): Promise<void> {
    let open = true;
    let connected = false;
    socket.on('connect', () => (connected = true));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => (open = false));
    socket.resume();
    const started = this.clock.mono();
    while (open) {
      if (connected) {
        if (socket.writableLength > 0 && this.clock.mono() - started > this.timing.workerLease) {
          // What lies there unsent grows old; a link that moves again begins afresh.
          if (socket.writableLength > 256 * 1024) socket.destroy();
        } else socket.write(encodeStatus(this.status()));
      } else if (this.clock.mono() - started > 0.5 * this.timing.workerLease) socket.destroy();
      await this.clock.sleep(2 * this.timing.tick);
    }
  }
}
