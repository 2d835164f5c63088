/** HTTP with JSON bodies: a server with a table of routes, and a client that never rejects. */
import { Agent, createServer, request as sendRequest } from 'node:http';

/** Serves `handle(method, url, body, request, response)` on a free loopback port; resolves to the server. */
export function serve(handle, port = 0) {
  const server = createServer({ keepAlive: true, noDelay: true }, (request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => response.destroy());
    request.on('end', () => {
      const text = Buffer.concat(chunks);
      let body;
      try {
        body = text.length === 0 ? undefined : JSON.parse(text.toString('utf8'));
      } catch {
        answer(response, 400, { error: 'not JSON' });
        return;
      }
      handle(request.method, new URL(request.url, 'http://localhost'), body, text.length, response);
    });
  });
  server.keepAliveTimeout = 120_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

/** Answers a request once; an answer to a closed connection is dropped. */
export function answer(response, status, body, headers = {}) {
  if (response.writableEnded || response.destroyed) return;
  const text = JSON.stringify(body);
  response
    .writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      ...headers,
    })
    .end(text);
}

/** A client of one server. */
export class Client {
  #agent = new Agent({ keepAlive: true, maxSockets: 256 });

  constructor(port, host = '127.0.0.1') {
    this.port = port;
    this.host = host;
  }

  close() {
    this.#agent.destroy();
  }

  /** Resolves to `{ status, body, headers, bytes }`; status 0: no answer within `timeoutMs`. */
  call(method, path, body, timeoutMs) {
    return new Promise((resolve) => {
      const text = body === undefined ? null : JSON.stringify(body);
      const headers =
        text === null
          ? {}
          : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) };
      let settled = false;
      const settle = (result) => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        resolve(result);
      };
      const request = sendRequest(
        { host: this.host, port: this.port, method, path, headers, agent: this.#agent },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', () => settle({ status: 0 }));
          response.on('end', () => {
            const received = Buffer.concat(chunks);
            let parsed;
            try {
              parsed = received.length === 0 ? undefined : JSON.parse(received.toString('utf8'));
            } catch {
              parsed = undefined;
            }
            settle({
              status: response.statusCode,
              body: parsed,
              headers: response.headers,
              bytes: received.length,
            });
          });
        },
      );
      const timer = setTimeout(() => {
        settle({ status: 0 });
        request.destroy();
      }, timeoutMs);
      request.on('error', () => settle({ status: 0 }));
      request.end(text ?? undefined);
    });
  }
}
