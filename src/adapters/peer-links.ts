/** Links between controllers: each node dials every other one and sends it its status. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { snapshotIntervalMs } from '../membership/evidence-rules.js';
import type { LinkState } from '../membership/status.js';
import type { Log, EventCounter } from '../observability/logging.js';
import { parseAddress, type PlatformSettings, type Timing } from '../config/settings.js';
import type { IntakeMessage } from '../wire/intake.js';
import { encodeIntake, encodeStatus, StatusReader, type PeerStatus } from '../wire/peers.js';
import type { Clock } from './clock.js';

/** A link with more bytes unsent counts as stuck, unless single messages are large. */
const MIN_UNSENT_BYTES = 256 * 1024;
/** Messages of the largest size so far that may lie unsent. */
const UNSENT_MESSAGES = 4;

/** What has been written to other controllers since the start. */
export interface PeerTraffic {
  readonly sentMessages: number;
  readonly sentBytes: number;
}

/** What the links need of the node that they belong to. */
export interface PeerLinksOptions {
  readonly settings: PlatformSettings;
  readonly timing: Timing;
  readonly clock: Clock;
  readonly log: Log;
  /** Counts messages that cannot be read. */
  readonly malformed: Pick<EventCounter, 'count'>;
  /** The node's status, as it is sent to the other controllers. */
  readonly status: () => PeerStatus;
  readonly onStatus: (status: PeerStatus) => void;
  /** What became of the link to a peer, each time that changes or is tried. */
  readonly onLink: (node: string, link: LinkState) => void;
  readonly onIntake: (message: IntakeMessage) => void;
}

/** A link that this node dialled. */
interface DialledLink {
  readonly node: string;
  readonly socket: Socket;
  isOpen: boolean;
  isConnected: boolean;
  /** How the link ends if it is closed now. */
  outcome: LinkState;
}

/** Share of a worker's lease within which a connection has to be made. */
const CONNECT_LEASE_SHARE = 0.5;

/** One link to each other controller, dialled again whenever it ends, and those that the others dialled. */
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

  constructor(private readonly options: PeerLinksOptions) {
    this.#names = new Set(options.settings.others.map((other) => other.host_name));
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Messages and bytes written since the start. */
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

  /** Listens for the other controllers and dials them. */
  start(): void {
    const { host, port } = parseAddress(this.options.settings.peer_bind);
    this.#server.on('error', (error) =>
      this.options.log.error({ error: error.message }, 'peer server failed'),
    );
    this.#server.listen(port, host);
    for (const { host_name, peer_addr } of this.options.settings.others)
      void this.#dial(host_name, peer_addr);
  }

  #accept(socket: Socket): void {
    // One link for each peer, and room for one that replaces a dead one.
    if (this.#accepted.size >= 4 * Math.max(1, this.#names.size)) {
      const oldest = this.#accepted.values().next().value;
      oldest?.destroy();
    }
    this.#accepted.add(socket);
    const reader = new StatusReader((message) => {
      if (this.#names.has(message.node)) this.options.onIntake(message);
    });
    socket.setTimeout(4 * this.options.timing.workerLeaseMs, () => socket.destroy());
    socket.on('data', (part) => {
      try {
        for (const status of reader.push(part)) this.#receiveStatus(status);
      } catch {
        this.options.malformed.count('peer messages');
        socket.destroy();
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#accepted.delete(socket));
  }

  #receiveStatus(status: PeerStatus): void {
    if (this.#names.has(status.node)) this.options.onStatus(status);
  }

  /** Sends the status to every peer at once; calls within a quarter of a tick of the last are ignored. */
  broadcastStatus(): void {
    const now = this.options.clock.monotonicMs();
    if (now - this.#lastBroadcastAt < this.options.timing.tickMs / 4) return;
    this.#lastBroadcastAt = now;
    for (const socket of this.#openLinks.values())
      if (socket.writableLength === 0) this.#write(socket, encodeStatus(this.options.status()));
  }

  /** Sends a message about shared heartbeats; false: there is no link, or too much lies unsent on it. */
  sendIntake(to: string, message: IntakeMessage): boolean {
    const socket = this.#openLinks.get(to);
    if (socket === undefined || socket.writableLength > this.#maxUnsentBytes) return false;
    this.#write(socket, encodeIntake(message));
    return true;
  }

  async #dial(node: string, address: string): Promise<void> {
    const { clock, timing } = this.options;
    const { host, port } = parseAddress(address);
    let refusals = 0;
    for (;;) {
      const outcome = await this.#holdLink(node, connect({ host, port, noDelay: true }));
      refusals = outcome === 'refused' ? refusals + 1 : 0;
      // A link that broke is dialled again at once: a refusal then tells a crash from a partition.
      if (outcome === 'lost') continue;
      await clock.sleep(refusals === 1 ? timing.tickMs : 4 * timing.tickMs);
    }
  }

  /** Sends the status at every second tick, until the link breaks or stops taking it; the result is how it ended. */
  async #holdLink(node: string, socket: Socket): Promise<LinkState> {
    const { clock, timing } = this.options;
    const link: DialledLink = { node, socket, isOpen: true, isConnected: false, outcome: 'silent' };
    const closed = this.#trackLink(link);
    socket.resume();
    const dialledAt = clock.monotonicMs();
    while (link.isOpen) {
      this.#serviceLink(link, clock.monotonicMs() - dialledAt);
      await Promise.race([closed, clock.sleep(snapshotIntervalMs(timing))]);
    }
    return link.outcome;
  }

  /** Follows the socket's events; the result resolves once it is closed. */
  #trackLink(link: DialledLink): Promise<void> {
    const { node, socket } = link;
    const { onLink } = this.options;
    socket.on('connect', () => {
      link.isConnected = true;
      link.outcome = 'lost';
      this.#openLinks.set(node, socket);
      onLink(node, 'up');
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      if (!link.isConnected && code === 'ECONNREFUSED') link.outcome = 'refused';
      socket.destroy();
    });
    return new Promise<void>((resolve) => {
      socket.on('close', () => {
        link.isOpen = false;
        if (this.#openLinks.get(node) === socket) this.#openLinks.delete(node);
        onLink(node, link.outcome);
        resolve();
      });
    });
  }

  /** Sends the status, or closes a link that does not come up or does not move; `ageMs` counts from its dialling. */
  #serviceLink(link: DialledLink, ageMs: number): void {
    const { socket } = link;
    const { status, timing } = this.options;
    if (!link.isConnected) {
      if (ageMs > CONNECT_LEASE_SHARE * timing.workerLeaseMs) socket.destroy();
    } else if (socket.writableLength === 0 || ageMs <= timing.workerLeaseMs) {
      this.#write(socket, encodeStatus(status()));
    } else if (socket.writableLength > this.#maxUnsentBytes) {
      // What lies unsent grows stale; a new link begins afresh.
      link.outcome = 'silent';
      socket.destroy();
    }
  }
}
