/** JSON over HTTP for the emulated services and workers, which counts messages and bytes by kind. */
import { Agent, request as httpRequest, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Messages and bytes of one kind; the bytes cover requests and responses. */
export interface Traffic {
  messages: number;
  bytes: number;
}

/** Counts traffic by kind. */
export class TrafficMeter {
  readonly kinds = new Map<string, Traffic>();

  note(kind: string, bytes: number): void {
    const known = this.kinds.get(kind);
    if (known === undefined) this.kinds.set(kind, { messages: 1, bytes });
    else {
      known.messages += 1;
      known.bytes += bytes;
    }
  }

  /** Returns the counts since the previous call, and resets them. */
  take(): Record<string, Traffic> {
    const taken = Object.fromEntries(this.kinds);
    this.kinds.clear();
    return taken;
  }
}

const countedBytes = new WeakMap<Socket, number>();

/** Bytes that a connection has carried in both directions since the previous call. */
export function bytesSince(socket: Socket): number {
  const now = socket.bytesRead + socket.bytesWritten;
  const before = countedBytes.get(socket) ?? 0;
  countedBytes.set(socket, now);
  return now - before;
}

/** A body that was read whole; `json` is undefined if it is not valid JSON or the connection failed. */
export interface ReadBody {
  readonly json: unknown;
  readonly bytes: number;
}

/** Reads a whole body as JSON. */
export function readJson(message: IncomingMessage): Promise<ReadBody> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    const end = (): void => {
      const body = Buffer.concat(parts);
      try {
        resolve({ json: JSON.parse(body.toString('utf8')), bytes: body.length });
      } catch {
        resolve({ json: undefined, bytes: body.length });
      }
    };
    message.on('data', (part: Buffer) => parts.push(part));
    message.on('end', end);
    message.on('error', () => resolve({ json: undefined, bytes: 0 }));
    message.on('close', () => resolve({ json: undefined, bytes: 0 }));
  });
}

/** Sends a JSON response, unless the response has ended already. */
export function answerJson(response: ServerResponse, status: number, body: unknown): void {
  if (response.destroyed || response.writableEnded) return;
  const text = JSON.stringify(body);
  response
    .writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
    .end(text);
}

/** A response; status 0 means that the request timed out or the connection failed. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
  /** Bytes that the connection carried for the request and the response. */
  readonly bytes: number;
  /** Sizes of the two bodies. */
  readonly requestBytes: number;
  readonly responseBytes: number;
}

/** A client of one host that keeps its connections open. */
export class JsonClient {
  readonly #agent: Agent;

  constructor(
    private readonly host: string,
    private readonly port: number,
    sockets: number,
    localAddress?: string,
  ) {
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: sockets,
      ...(localAddress === undefined ? {} : { localAddress }),
    });
  }

  close(): void {
    this.#agent.destroy();
  }

  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<JsonAnswer> {
    return new Promise((resolve) => {
      let bytes = 0;
      let responseBytes = 0;
      let settled = false;
      const settle = (status: number, answer: unknown): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        resolve({ status, body: answer, bytes, requestBytes: Buffer.byteLength(text ?? ''), responseBytes });
      };
      const text = body === undefined ? null : JSON.stringify(body);
      const headers =
        text === null
          ? {}
          : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) };
      const { host, port } = this;
      const request = httpRequest({ host, port, method, path, headers, agent: this.#agent }, (response) => {
        const { socket } = response;
        void readJson(response).then((answer) => {
          bytes = bytesSince(socket);
          responseBytes = answer.bytes;
          settle(response.statusCode ?? 0, answer.json);
        });
      });
      const timer = setTimeout(() => {
        settle(0, undefined);
        request.destroy();
      }, timeoutMs);
      request.on('error', () => settle(0, undefined));
      request.end(text ?? undefined);
    });
  }
}
