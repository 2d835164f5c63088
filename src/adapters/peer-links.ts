/** Links between controllers. Each node dials every other and tells it its status. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { Clock } from './clock.js';
import { toldEvery } from '../membership/table.js';
import type { Link } from '../membership/views.js';
import type { Log, EventCounter } from '../observability/logging.js';
import { parseAddress, type PlatformSettings, type Timing } from '../config/settings.js';
import type { IntakeMessage } from '../wire/intake.js';
import { encodeIntake, encodeStatus, StatusReader, type PeerStatus } from '../wire/peers.js';

/** A link on which more lies unsent is taken for one that does not move, unless single messages are large. */
const MIN_UNSENT_BYTES = 256 * 1024;
/** Messages as large as the largest so far that may lie unsent. */
const UNSENT_MESSAGES = 4;

/** What has been written to other controllers since the start. */
export interface PeerTraffic {
  readonly sentMessages: number;
  readonly sentBytes: number;
}

export class PeerLinks {
  #sentMessages = 0;
  #sentBytes = 0;
  #largestMessageBytes = 0;
  readonly #server: Server;
  readonly #accepted = new Set<Socket>();
  readonly #names: ReadonlySet<string>;
  /** The links that this node dialled and that are up, by the node at their other end. */
  readonly #openLinks = new Map<string, Socket>();
  #lastBroadcastAt = -Infinity;

  constructor(
    private readonly settings: PlatformSettings,
    private readonly timing: Timing,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly status: () => PeerStatus,
    private readonly onStatus: (status: PeerStatus) => void,
    /** What became of the link to a peer, each time that changes or is tried. */
    private readonly onLink: (node: string, link: Link) => void,
    private readonly malformed: Pick<EventCounter, 'count'>,
    private readonly onIntake: (message: IntakeMessage) => void,
  ) {
    this.#names = new Set(settings.others.map((other) => other.host_name));
    this.#server = createServer((socket) => this.#accept(socket));
  }

  get traffic(): PeerTraffic {
    return { sentMessages: this.#sentMessages, sentBytes: this.#sentBytes };
  }

  /** Bytes that may lie unsent on a link that moves; they follow the messages, and so the fleet. */
  get #maxUnsentBytes(): number {
    return Math.max(MIN_UNSENT_BYTES, UNSENT_MESSAGES * this.#largestMessageBytes);
  }

  #write(socket: Socket, frame: Uint8Array): void {
    this.#sentMessages += 1;
    this.#sentBytes += frame.length;
    this.#largestMessageBytes = Math.max(this.#largestMessageBytes, frame.length);
    socket.write(frame);
  }

  start(): void {
    const { host, port } = parseAddress(this.settings.peer_bind);
    this.#server.on('error', (error) => this.log.error({ error: error.message }, 'peer port'));
    this.#server.listen(port, host);
    for (const { host_name, peer_addr } of this.settings.others) void this.#dial(host_name, peer_addr);
  }

  #accept(socket: Socket): void {
    // One link for each peer, and room for one that replaces a dead one.
    if (this.#accepted.size >= 4 * Math.max(1, this.#names.size)) {
      const oldest = this.#accepted.values().next().value;
      oldest?.destroy();
    }
    this.#accepted.add(socket);
    const reader = new StatusReader((message) => {
      if (this.#names.has(message.node)) this.onIntake(message);
    });
    socket.setTimeout(4 * this.timing.workerLeaseMs, () => socket.destroy());
    socket.on('data', (part) => {
      try {
        for (const status of reader.push(part)) this.#receiveStatus(status);
      } catch {
        this.malformed.count('peer messages');
        socket.destroy();
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#accepted.delete(socket));
  }

  #receiveStatus(status: PeerStatus): void {
    if (this.#names.has(status.node)) this.onStatus(status);
  }

  /** Tells every peer at once what has changed, at most so often. */
  broadcastStatus(): void {
    const now = this.clock.monotonicMs();
    if (now - this.#lastBroadcastAt < this.timing.tickMs / 4) return;
    this.#lastBroadcastAt = now;
    for (const socket of this.#openLinks.values())
      if (socket.writableLength === 0) this.#write(socket, encodeStatus(this.status()));
  }

  /** Sends a message about shared reports; false: there is no link, or it does not take what is sent. */
  sendIntake(to: string, message: IntakeMessage): boolean {
    const socket = this.#openLinks.get(to);
    if (socket === undefined || socket.writableLength > this.#maxUnsentBytes) return false;
    this.#write(socket, encodeIntake(message));
    return true;
  }

  async #dial(node: string, address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    let refusals = 0;
    for (;;) {
      const how = await this.#holdLink(node, connect({ host, port, noDelay: true }));
      refusals = how === 'refused' ? refusals + 1 : 0;
      // A link that broke is tried again at once: whether it is refused then tells a crash from a cut.
      if (how === 'lost') continue;
      await this.clock.sleep(refusals === 1 ? this.timing.tickMs : 4 * this.timing.tickMs);
    }
  }

  /** Tells the status at every second tick, until the link breaks or stops taking it; how it ended. */
  async #holdLink(node: string, socket: Socket): Promise<Link> {
    let open = true;
    let connected = false;
    let ended: Link = 'silent';
    socket.on('connect', () => {
      connected = true;
      ended = 'lost';
      this.#openLinks.set(node, socket);
      this.onLink(node, 'up');
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      if (!connected && code === 'ECONNREFUSED') ended = 'refused';
      socket.destroy();
    });
    const closed = new Promise<void>((resolve) => {
      socket.on('close', () => {
        open = false;
        if (this.#openLinks.get(node) === socket) this.#openLinks.delete(node);
        this.onLink(node, ended);
        resolve();
      });
    });
    socket.resume();
    const started = this.clock.monotonicMs();
    while (open) {
      if (connected) {
        if (socket.writableLength > 0 && this.clock.monotonicMs() - started > this.timing.workerLeaseMs) {
          // What lies there unsent grows old; a link that moves again begins afresh.
          if (socket.writableLength > this.#maxUnsentBytes) {
            ended = 'silent';
            socket.destroy();
          }
        } else this.#write(socket, encodeStatus(this.status()));
      } else if (this.clock.monotonicMs() - started > 0.5 * this.timing.workerLeaseMs) socket.destroy();
      await Promise.race([closed, this.clock.sleep(toldEvery(this.timing))]);
    }
    return ended;
  }
}
