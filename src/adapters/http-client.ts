/** HTTP client with bounded connections, response times and response sizes. */
import { Agent, request as send } from 'node:http';
import type { Address } from '../config/settings.js';
import { parseJson } from '../core/values.js';

/** A response with its body parsed as JSON. */
export interface HttpResponse {
  /** 0: no response; the request may have been executed, or may still be. */
  readonly status: number;
  readonly body: unknown;
}

const NO_RESPONSE: HttpResponse = { status: 0, body: undefined };

/** Default bound on a response's size, in bytes; a larger one counts as no response. */
export const DEFAULT_MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** A client of one server. */
export class HttpClient {
  readonly #agent: Agent;
  readonly #to: Address;

  constructor(
    to: Address,
    sockets: number,
    keep = true,
    private readonly maxAnswerBytes = DEFAULT_MAX_RESPONSE_BYTES,
  ) {
    this.#to = to;
    this.#agent = new Agent({ keepAlive: keep, maxSockets: sockets, maxFreeSockets: sockets });
  }

  /** Closes the idle connections. */
  close(): void {
    this.#agent.destroy();
  }

  /** Sends a request; never rejects: every failure resolves to status 0. */
  request(method: string, path: string, body: string | null, timeoutMs: number): Promise<HttpResponse> {
    return new Promise((resolve) => {
      let settled = false;
      const settle = (answer: HttpResponse): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        resolve(answer);
      };
      const headers =
        body === null
          ? {}
          : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) };
      const request = send(
        { host: this.#to.host, port: this.#to.port, method, path, headers, agent: this.#agent },
        (response) => {
          const parts: Buffer[] = [];
          let bytes = 0;
          response.on('data', (part: Buffer) => {
            bytes += part.length;
            if (bytes > this.maxAnswerBytes) request.destroy();
            else parts.push(part);
          });
          response.on('end', () => {
            const source = Buffer.concat(parts).toString('utf8');
            settle({ status: response.statusCode ?? 0, body: source === '' ? undefined : parseJson(source) });
          });
          response.on('error', () => settle(NO_RESPONSE));
          response.on('close', () => settle(NO_RESPONSE));
        },
      );
      // After a pause of this process, a response that arrived meanwhile is read before the timeout.
      const timer = setTimeout(() => {
        setImmediate(() => {
          settle(NO_RESPONSE);
          request.destroy();
        });
      }, timeoutMs);
      request.on('error', () => settle(NO_RESPONSE));
      request.end(body ?? undefined);
    });
  }
}
