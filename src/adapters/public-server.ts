/** The node's public port: workers' reports and questions about jobs on a short path, all else by express. */
import express, { type ErrorRequestHandler, type RequestHandler } from 'express';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { parseJson } from '../core/values.js';
import type { LatencyHistograms } from '../observability/latency.js';
import type { EventCounter } from '../observability/logging.js';
import type { Admission, RequestKind } from './admission.js';
import type { UserResponse, UserRequests } from './user-requests.js';

/** Share of the quota's sockets that the public port may take. */
const PORT_SOCKET_SHARE = 0.8;
/** With a larger share of these open, an answer ends its connection, so that all workers share them by turns. */
const KEEP_ALIVE_SHARE = 0.9;

const MAX_BODY_BYTES = 64 * 1024;

/** What the port serves; a controller node is one. */
export interface PublicApi {
  readonly users: Pick<UserRequests, 'submit' | 'show' | 'cancel'>;
  /** Takes a report's body; `done` is called once with the answer. */
  report(body: unknown, done: (status: number, body: string) => void): void;
  ready(): boolean;
  /** The status page; brief: without what takes a walk over jobs and machines. */
  describe(brief?: boolean): object;
  readonly latencies: Pick<LatencyHistograms, 'record'>;
  readonly admission: Admission;
  readonly malformed: Pick<EventCounter, 'count'>;
}

function sendJson(response: ServerResponse, status: number, body: string, awayS = 1): void {
  if (response.writableEnded || response.destroyed) return;
  const headers: Record<string, string | number> = {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
  };
  if (status === 429 || status === 503) headers['Retry-After'] = String(awayS);
  response.writeHead(status, headers).end(body);
}

function receiveReport(served: PublicApi, request: IncomingMessage, response: ServerResponse): void {
  const parts: Buffer[] = [];
  let bytes = 0;
  request.on('data', (part: Buffer) => {
    bytes += part.length;
    if (bytes <= MAX_BODY_BYTES) parts.push(part);
  });
  request.on('end', () => {
    const body = bytes <= MAX_BODY_BYTES ? parseJson(Buffer.concat(parts).toString('utf8')) : undefined;
    served.report(body, (status, text) => sendJson(response, status, text));
  });
  request.on('error', () => response.destroy());
}

const BUSY_BODY = '{"error":"too many requests under way, try again"}';

/** Users ask many times as often as all else together, and most of an answer's cost was finding the way. */
const JOB_PATH = /^\/v2\/runs\/([^/?#]+)$/;

const methodNotAllowed: RequestHandler = (_request, response) =>
  sendJson(response, 405, '{"error":"method not allowed"}');

const handleError =
  (served: PublicApi): ErrorRequestHandler =>
  (error, _request, response, _next) => {
    const status = (error as { status?: unknown }).status;
    const faulty = typeof status === 'number' && status >= 400 && status < 500;
    if (faulty) served.malformed.count('requests');
    // Too large, not JSON, a broken encoding: all of it is the sender's mistake.
    sendJson(
      response,
      faulty ? 400 : 503,
      JSON.stringify({ error: faulty ? 'malformed request' : 'try again' }),
    );
  };

export function createPublicServer(served: PublicApi, sockets: number): Server {
  const { users } = served;
  const serve = async (
    kind: RequestKind,
    response: ServerResponse,
    ask: () => Promise<UserResponse>,
    job?: string,
  ): Promise<void> => {
    const { admission } = served;
    const awayS = admission.admit(kind, job);
    if (awayS !== null) {
      sendJson(response, 503, BUSY_BODY, awayS);
      return;
    }
    const from = performance.now();
    try {
      const { status, body } = await ask();
      if (status === 400) served.malformed.count('requests');
      sendJson(response, status, JSON.stringify(body), status === 503 ? admission.retryAfterS() : 1);
    } finally {
      admission.release();
      served.latencies.record(kind, performance.now() - from);
    }
  };
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  const body = express.json({ limit: MAX_BODY_BYTES, strict: false, type: () => true });
  app
    .route('/ready')
    .get((_request, response) => sendJson(response, served.ready() ? 200 : 503, '{}'))
    .all(methodNotAllowed);
  app
    .route('/v2/runs')
    .post(body, (request, response) => serve('submit', response, () => users.submit(request.body as unknown)))
    .all(methodNotAllowed);
  app.route('/v2/runs/:id').all(methodNotAllowed);
  app
    .route('/v2/runs/:id/withdraw')
    .post((request, response) => serve('withdraw', response, () => users.cancel(request.params.id)))
    .all(methodNotAllowed);
  app
    .route('/status')
    .get((request, response) => {
      const brief = request.query['brief'] !== undefined;
      sendJson(response, 200, JSON.stringify(served.describe(brief), null, 1));
    })
    .all(methodNotAllowed);
  app.all('/v1/report', methodNotAllowed);
  app.use((_request, response) => sendJson(response, 404, '{"error":"no such path"}'));
  app.use(handleError(served));

  const maxConnections = Math.floor(PORT_SOCKET_SHARE * sockets);
  let connections = 0;
  const server = createServer({ keepAlive: true, noDelay: true }, (request, response) => {
    if (connections > KEEP_ALIVE_SHARE * maxConnections) response.shouldKeepAlive = false;
    const { method, url = '' } = request;
    const asked = method === 'GET' ? JOB_PATH.exec(url)?.[1] : undefined;
    if (method === 'POST' && url === '/v1/report') receiveReport(served, request, response);
    else if (asked !== undefined)
      serve('show', response, () => users.show(asked), asked).catch(() => sendJson(response, 503, BUSY_BODY));
    else app(request, response);
  });
  server.keepAliveTimeout = 120_000;
  server.on('connection', (socket) => {
    connections += 1;
    socket.on('close', () => (connections -= 1));
  });
  server.maxConnections = maxConnections;
  return server;
}
