/** Messages between hosts: delayed, and during a partition held back and then delivered in order. */
import type { VirtualClock } from './clock.js';

/** Draws from 0 (inclusive) to 1 (exclusive). */
export type Draw = () => number;

/** Called with each message as its sender encodes it for the wire, or as the emulator that receives it stores it. */
export type MessageListener = (from: string, to: string, message: string) => void;

/** Delivers messages on the virtual clock, with partitions and one-way faults. Durations are in milliseconds. */
export class Network {
  onMessage: MessageListener | null = null;
  readonly #partitions = new Map<string, number>();
  readonly #inboundBlocked = new Map<string, number>();
  readonly #outboundBlocked = new Map<string, number>();

  constructor(
    readonly clock: VirtualClock,
    readonly draw: Draw,
  ) {}

  #key(from: string, to: string): string {
    return from < to ? `${from}|${to}` : `${to}|${from}`;
  }

  /** Holds back all messages between two hosts, both ways. */
  partition(from: string, to: string, forMs: number): void {
    this.#partitions.set(this.#key(from, to), this.clock.now + forMs);
  }

  /** One-way fault: messages to a host are lost; those that it sends arrive. */
  blockInbound(host: string, forMs: number): void {
    this.#inboundBlocked.set(host, this.clock.now + forMs);
  }

  /** One-way fault: a host opens no connections; it still answers those that others open. */
  blockOutbound(host: string, forMs: number): void {
    this.#outboundBlocked.set(host, this.clock.now + forMs);
  }

  isOutboundBlocked(host: string): boolean {
    return (this.#outboundBlocked.get(host) ?? 0) > this.clock.now;
  }

  isInboundBlocked(host: string): boolean {
    return (this.#inboundBlocked.get(host) ?? 0) > this.clock.now;
  }

  isPartitioned(from: string, to: string): boolean {
    return (this.#partitions.get(this.#key(from, to)) ?? 0) > this.clock.now;
  }

  /** Delivers one message, after the partition if there is one. */
  send(from: string, to: string, deliver: () => void): void {
    if (this.isInboundBlocked(to)) return;
    const until = Math.max(this.clock.now, this.#partitions.get(this.#key(from, to)) ?? 0);
    const slow = this.draw() < 0.01 ? 200 : 2;
    this.clock.at(until + slow * (0.5 + this.draw()), deliver);
  }

  /** Sends a request and returns its response, or null after `timeoutMs`; the request may still be executed then. */
  request<T>(
    from: string,
    to: string,
    timeoutMs: number,
    serve: (reply: (response: T) => void) => void,
  ): Promise<T | null> {
    return new Promise((resolve) => {
      this.clock.in(timeoutMs, () => resolve(null));
      // In a partition half of the requests need a new connection, which fails for good; the others are held back.
      if (this.isPartitioned(from, to) && this.draw() < 0.5) return;
      this.send(from, to, () => serve((response) => this.send(to, from, () => resolve(response))));
    });
  }
}
