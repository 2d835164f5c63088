/** Connections between controllers: each node dials every peer and sends its status to it. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { snapshotIntervalMs } from '../membership/evidence-rules.js';
import type { LinkState } from '../membership/status.js';
import type { Log, EventCounter } from '../observability/logging.js';
import { parseAddress, type PlatformSettings, type Timing } from '../config/settings.js';
import type { IntakeMessage } from '../wire/intake.js';
import { PeerMessageReader } from '../wire/peer-reader.js';
import { encodeIntake, encodeStartFence, encodeStatus, type PeerStatus } from '../wire/peers.js';
import type { StartFenceMessage } from '../wire/start-fence.js';
import type { Clock } from './clock.js';

/** Minimum of the bound on a link's unsent bytes; a link above the bound counts as stalled. */
const MIN_UNSENT_BYTES = 256 * 1024;
/** The bound is at least the size of this many messages of the largest size sent so far. */
const UNSENT_MESSAGES = 4;

/** Messages and bytes written to the peers since the start of the process. */
export interface PeerTraffic {
  readonly sentMessages: number;
  readonly sentBytes: number;
}

/** Settings of the links, and the callbacks of the node that owns them. */
export interface PeerLinksOptions {
  readonly settings: PlatformSettings;
  readonly timing: Timing;
  readonly clock: Clock;
  readonly log: Log;
  /** Counts messages that cannot be decoded. */
  readonly malformed: Pick<EventCounter, 'count'>;
  /** The node's status, as it is sent to the peers. */
  readonly status: () => PeerStatus;
  readonly onStatus: (status: PeerStatus) => void;
  /** Called with the state of the link to a peer whenever a connection to it opens, closes or fails to open. */
  readonly onLink: (peer: string, link: LinkState) => void;
  readonly onIntake: (message: IntakeMessage) => void;
  readonly onStartFence: (message: StartFenceMessage) => void;
}

/** A link that this node dialled. */
interface DialledLink {
  readonly peer: string;
  readonly socket: Socket;
  isOpen: boolean;
  isConnected: boolean;
  /** The state to report if the link closes now. */
  outcome: LinkState;
}

/** Share of a worker's lease within which a connection must be established. */
const CONNECT_LEASE_SHARE = 0.5;

/** One outgoing link to each peer, redialled whenever it closes, and the incoming links from the peers. */
export class PeerLinks {
  #sentMessages = 0;
  #sentBytes = 0;
  #largestMessageBytes = 0;
  readonly #server: Server;
  readonly #acceptedSockets = new Set<Socket>();
  readonly #peerNames: ReadonlySet<string>;
  /** Established outgoing connections, by the peer's name. */
  readonly #openLinks = new Map<string, Socket>();
  #lastBroadcastAt = -Infinity;

  constructor(private readonly options: PeerLinksOptions) {
    this.#peerNames = new Set(options.settings.others.map((other) => other.host_name));
    this.#server = createServer((socket) => this.#accept(socket));
  }

  get traffic(): PeerTraffic {
    return { sentMessages: this.#sentMessages, sentBytes: this.#sentBytes };
  }

  /** Unsent bytes above which a link counts as stalled. The bound grows with the messages, and so with the fleet. */
  get #maxUnsentBytes(): number {
    return Math.max(MIN_UNSENT_BYTES, UNSENT_MESSAGES * this.#largestMessageBytes);
  }

  #write(socket: Socket, frame: Uint8Array): void {
    this.#sentMessages += 1;
    this.#sentBytes += frame.length;
    this.#largestMessageBytes = Math.max(this.#largestMessageBytes, frame.length);
    socket.write(frame);
  }

  /** Listens for connections from the peers, and dials the peers. */
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
    // Each peer needs one connection; the limit leaves room for new ones before dead ones are detected.
    if (this.#acceptedSockets.size >= 4 * Math.max(1, this.#peerNames.size)) {
      const oldest = this.#acceptedSockets.values().next().value;
      oldest?.destroy();
    }
    this.#acceptedSockets.add(socket);
    const reader = new PeerMessageReader(
      (message) => {
        if (this.#peerNames.has(message.node)) this.options.onIntake(message);
      },
      (message) => {
        if (this.#peerNames.has(message.node)) this.options.onStartFence(message);
      },
    );
    socket.setTimeout(4 * this.options.timing.workerLeaseMs, () => socket.destroy());
    socket.on('data', (chunk) => {
      try {
        for (const status of reader.push(chunk)) this.#receiveStatus(status);
      } catch {
        this.options.malformed.count('peer messages');
        socket.destroy();
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#acceptedSockets.delete(socket));
  }

  #receiveStatus(status: PeerStatus): void {
    if (this.#peerNames.has(status.node)) this.options.onStatus(status);
  }

  /**
   * Sends the status immediately instead of at the next interval, on every established link without unsent bytes.
   * Calls less than a quarter of a tick after the previous broadcast are ignored.
   */
  broadcastStatus(): void {
    const now = this.options.clock.monotonicMs();
    if (now - this.#lastBroadcastAt < this.options.timing.tickMs / 4) return;
    this.#lastBroadcastAt = now;
    for (const socket of this.#openLinks.values())
      if (socket.writableLength === 0) this.#write(socket, encodeStatus(this.options.status()));
  }

  /**
   * Sends a message about shared heartbeats. Returns false and sends nothing if there is no link, or too many bytes
   * are unsent on it.
   */
  sendIntake(to: string, message: IntakeMessage): boolean {
    return this.#sendFrame(to, () => encodeIntake(message));
  }

  /** Sends a message about the start fence, under the same conditions. */
  sendStartFence(to: string, message: StartFenceMessage): boolean {
    return this.#sendFrame(to, () => encodeStartFence(message));
  }

  #sendFrame(to: string, encode: () => Uint8Array): boolean {
    const socket = this.#openLinks.get(to);
    if (socket === undefined || socket.writableLength > this.#maxUnsentBytes) return false;
    this.#write(socket, encode());
    return true;
  }

  async #dial(peer: string, address: string): Promise<void> {
    const { clock, timing } = this.options;
    const { host, port } = parseAddress(address);
    let refusals = 0;
    for (;;) {
      const outcome = await this.#holdLink(peer, connect({ host, port, noDelay: true }));
      refusals = outcome === 'refused' ? refusals + 1 : 0;
      // A broken link is redialled without delay, so that a refused connection is observed early. It is part of the
      // evidence for a crash, but not a proof: something between the nodes may also block the connection.
      if (outcome === 'lost') continue;
      await clock.sleep(refusals === 1 ? timing.tickMs : 4 * timing.tickMs);
    }
  }

  /** Sends the status at every second tick until the link breaks or stalls; resolves to the state in which it closed. */
  async #holdLink(peer: string, socket: Socket): Promise<LinkState> {
    const { clock, timing } = this.options;
    const link: DialledLink = { peer, socket, isOpen: true, isConnected: false, outcome: 'silent' };
    const closed = this.#trackLink(link);
    socket.resume();
    const dialledAt = clock.monotonicMs();
    while (link.isOpen) {
      this.#serviceLink(link, clock.monotonicMs() - dialledAt);
      await Promise.race([closed, clock.sleep(snapshotIntervalMs(timing))]);
    }
    return link.outcome;
  }

  /** Updates the link's state on the socket's events; resolves once the socket is closed. */
  #trackLink(link: DialledLink): Promise<void> {
    const { peer, socket } = link;
    const { onLink } = this.options;
    socket.on('connect', () => {
      link.isConnected = true;
      link.outcome = 'lost';
      this.#openLinks.set(peer, socket);
      onLink(peer, 'up');
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      if (!link.isConnected && code === 'ECONNREFUSED') link.outcome = 'refused';
      socket.destroy();
    });
    return new Promise<void>((resolve) => {
      socket.on('close', () => {
        link.isOpen = false;
        if (this.#openLinks.get(peer) === socket) this.#openLinks.delete(peer);
        onLink(peer, link.outcome);
        resolve();
      });
    });
  }

  /**
   * Sends the status, or closes a link that has not connected in time or is stalled. On a link older than a worker's
   * lease, no status is sent while earlier bytes are unsent. `ageMs` is the time in milliseconds since the link was
   * dialled.
   */
  #serviceLink(link: DialledLink, ageMs: number): void {
    const { socket } = link;
    const { status, timing } = this.options;
    if (!link.isConnected) {
      if (ageMs > CONNECT_LEASE_SHARE * timing.workerLeaseMs) socket.destroy();
    } else if (socket.writableLength === 0 || ageMs <= timing.workerLeaseMs) {
      this.#write(socket, encodeStatus(status()));
    } else if (socket.writableLength > this.#maxUnsentBytes) {
      // The unsent messages are becoming stale; a new connection starts with the current status.
      link.outcome = 'silent';
      socket.destroy();
    }
  }
}
