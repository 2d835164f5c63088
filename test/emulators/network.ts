/** Messages between hosts: delayed, and while a cut lasts held back and then delivered in order. */
import type { VirtualClock } from './clock.js';

export type Draw = () => number;

/** Sees each message as its sender writes it on the wire, or as the emulator that takes it keeps it. */
export type Tap = (from: string, to: string, message: string) => void;

export class Network {
  tap: Tap | null = null;
  readonly #cuts = new Map<string, number>();
  readonly #deaf = new Map<string, number>();
  readonly #mute = new Map<string, number>();

  constructor(
    readonly clock: VirtualClock,
    readonly draw: Draw,
  ) {}

  #key(from: string, to: string): string {
    return from < to ? `${from}|${to}` : `${to}|${from}`;
  }

  cut(from: string, to: string, forMs: number): void {
    this.#cuts.set(this.#key(from, to), this.clock.now + forMs);
  }

  /** What is sent to a host is lost; what it sends arrives. */
  deafen(host: string, forMs: number): void {
    this.#deaf.set(host, this.clock.now + forMs);
  }

  /** It opens no connection; whoever connects to it is answered. */
  silence(host: string, forMs: number): void {
    this.#mute.set(host, this.clock.now + forMs);
  }

  isMute(host: string): boolean {
    return (this.#mute.get(host) ?? 0) > this.clock.now;
  }

  isDeaf(host: string): boolean {
    return (this.#deaf.get(host) ?? 0) > this.clock.now;
  }

  isCut(from: string, to: string): boolean {
    return (this.#cuts.get(this.#key(from, to)) ?? 0) > this.clock.now;
  }

  /** Delivers one message, after the cut if there is one. */
  send(from: string, to: string, deliver: () => void): void {
    if (this.isDeaf(to)) return;
    const until = Math.max(this.clock.now, this.#cuts.get(this.#key(from, to)) ?? 0);
    const slow = this.draw() < 0.01 ? 200 : 2;
    this.clock.at(until + slow * (0.5 + this.draw()), deliver);
  }

  /** A request and its answer; null when none has come in time, though it may still be executed. */
  ask<T>(
    from: string,
    to: string,
    timeoutMs: number,
    serve: (reply: (answer: T) => void) => void,
  ): Promise<T | null> {
    return new Promise((resolve) => {
      this.clock.in(timeoutMs, () => resolve(null));
      // A connection that cannot be made now is never made later; one in use is held back.
      if (this.isCut(from, to) && this.draw() < 0.5) return;
      this.send(from, to, () => serve((answer) => this.send(to, from, () => resolve(answer))));
    });
  }
}
