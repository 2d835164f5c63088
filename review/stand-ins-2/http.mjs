/** JSON over HTTP/1.1 for the stand-ins: a server, and a client that keeps its connections open. */
import { Agent, createServer, request as sendRequest } from 'node:http';

/** Reads a body as JSON; undefined if it is none. */
export async function readJson(message) {
  const parts = [];
  try {
    for await (const part of message) parts.push(part);
    return JSON.parse(Buffer.concat(parts).toString('utf8'));
  } catch {
    return undefined;
  }
}

export function answer(response, status, body) {
  if (response.destroyed || response.writableEnded) return;
  const text = JSON.stringify(body);
  response
    .writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
    .end(text);
}

/** Serves requests on a loopback port; resolves to the server once it listens. */
export function serve(port, handle) {
  const server = createServer({ keepAliveTimeout: 600_000 }, (request, response) => {
    handle(request, response).catch(() => answer(response, 500, { error: 'stand-in failed' }));
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

/** A client of one loopback port. */
export class Client {
  #agent = new Agent({ keepAlive: true, maxSockets: 64 });

  constructor(port) {
    this.port = port;
  }

  /** Sends a request; never rejects: status 0 means that no response came in time. */
  call(method, path, body, timeoutMs) {
    return new Promise((resolve) => {
      const text = body === undefined ? null : JSON.stringify(body);
      const headers =
        text === null
          ? {}
          : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) };
      const settle = (result) => {
        clearTimeout(timer);
        resolve(result);
      };
      const request = sendRequest(
        { host: '127.0.0.1', port: this.port, method, path, headers, agent: this.#agent },
        (response) => {
          void readJson(response).then((found) => settle({ status: response.statusCode ?? 0, body: found }));
        },
      );
      const timer = setTimeout(() => {
        settle({ status: 0, body: undefined });
        request.destroy();
      }, timeoutMs);
      request.on('error', () => settle({ status: 0, body: undefined }));
      request.end(text ?? undefined);
    });
  }

  close() {
    this.#agent.destroy();
  }
}
