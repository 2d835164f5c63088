/** HTTP client with bounded connections, response times and response sizes. */
import { Agent, request as sendRequest } from 'node:http';
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

/** An HTTP client for one server. */
export class HttpClient {
  readonly #agent: Agent;
  readonly #address: Address;

  constructor(
    address: Address,
    maxSockets: number,
    keepAlive = true,
    private readonly maxResponseBytes = DEFAULT_MAX_RESPONSE_BYTES,
  ) {
    this.#address = address;
    this.#agent = new Agent({ keepAlive, maxSockets, maxFreeSockets: maxSockets });
  }

  /** Closes all connections, idle or in use. */
  close(): void {
    this.#agent.destroy();
  }

  /** Sends a request; never rejects: every failure resolves to status 0. */
  request(method: string, path: string, body: string | null, timeoutMs: number): Promise<HttpResponse> {
    return new Promise((resolve) => {
      let settled = false;
      const settle = (result: HttpResponse): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        resolve(result);
      };
      const headers =
        body === null
          ? {}
          : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) };
      const request = sendRequest(
        { host: this.#address.host, port: this.#address.port, method, path, headers, agent: this.#agent },
        (response) => {
          const chunks: Buffer[] = [];
          let bytes = 0;
          response.on('data', (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > this.maxResponseBytes) request.destroy();
            else chunks.push(chunk);
          });
          response.on('end', () => {
            const text = Buffer.concat(chunks).toString('utf8');
            settle({ status: response.statusCode ?? 0, body: text === '' ? undefined : parseJson(text) });
          });
          response.on('error', () => settle(NO_RESPONSE));
          response.on('close', () => settle(NO_RESPONSE));
        },
      );
      // Pending input is read before the timeout: a response that arrived while this process was paused still counts.
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
