/** The node's public port: heartbeats of workers and questions about jobs bypass the router, all else is routed. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import express, { type ErrorRequestHandler, type Express, type RequestHandler } from 'express';
import { parseJson } from '../core/values.js';
import type { LatencyHistograms } from '../observability/latency.js';
import type { EventCounter, Log } from '../observability/logging.js';
import type { Admission, RequestKind } from './admission.js';
import type { UserResponse, UserRequests } from './user-requests.js';

/** Share of the quota's sockets that the public port may take. */
const PORT_SOCKET_SHARE = 0.8;
/** With a larger share of these open, an answer ends its connection, so that all workers take turns. */
const KEEP_ALIVE_SHARE = 0.9;

/** Time after which an idle connection is closed, in milliseconds. */
const KEEP_ALIVE_MS = 120_000;
/** The largest body of a request, in bytes. */
const MAX_BODY_BYTES = 64 * 1024;

/** What the port serves; a controller node implements it. */
export interface PublicApi {
  readonly users: Pick<UserRequests, 'submit' | 'show' | 'cancel'>;
  /** Takes a report's body; `done` is called once with the answer. */
  report(body: unknown, done: (status: number, body: string) => void): void;
  /** Whether the node can serve users and workers now. */
  ready(): boolean;
  /** The status page; `brief` leaves out what takes a walk over jobs and machines. */
  describe(brief?: boolean): object;
  readonly latencies: Pick<LatencyHistograms, 'record'>;
  readonly admission: Admission;
  readonly malformed: Pick<EventCounter, 'count'>;
}

function sendJson(response: ServerResponse, status: number, body: string, retryAfterS = 1): void {
  if (response.writableEnded || response.destroyed) return;
  const headers: Record<string, string | number> = {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
  };
  if (status === 429 || status === 503) headers['Retry-After'] = String(retryAfterS);
  response.writeHead(status, headers).end(body);
}

function receiveReport(api: PublicApi, request: IncomingMessage, response: ServerResponse): void {
  const parts: Buffer[] = [];
  let bytes = 0;
  request.on('data', (part: Buffer) => {
    bytes += part.length;
    if (bytes <= MAX_BODY_BYTES) parts.push(part);
  });
  request.on('end', () => {
    const body = bytes <= MAX_BODY_BYTES ? parseJson(Buffer.concat(parts).toString('utf8')) : undefined;
    api.report(body, (status, text) => sendJson(response, status, text));
  });
  request.on('error', () => response.destroy());
}

const BUSY_BODY = '{"error":"too many requests under way, try again"}';

/** Path of a question about one job. These are the most frequent requests and bypass the router for its cost. */
const JOB_PATH = /^\/v2\/runs\/([^/?#]+)$/;

type ErrorLog = Pick<Log, 'error'>;

const methodNotAllowed: RequestHandler = (_request, response) =>
  sendJson(response, 405, '{"error":"method not allowed"}');

function logFailure(log: ErrorLog | undefined, error: unknown): void {
  const stack = error instanceof Error ? error.stack : undefined;
  log?.error({ error: String(error), stack }, 'request failed');
}

/** Answers 400 to what the sender got wrong (too large, not JSON, a broken encoding), 503 to all else. */
const handleError =
  (api: PublicApi, log: ErrorLog | undefined): ErrorRequestHandler =>
  (error, _request, response, _next) => {
    const status = (error as { status?: unknown }).status;
    const isSendersFault = typeof status === 'number' && status >= 400 && status < 500;
    if (isSendersFault) {
      api.malformed.count('requests');
      sendJson(response, 400, '{"error":"malformed request"}');
      return;
    }
    logFailure(log, error);
    sendJson(response, 503, '{"error":"try again"}');
  };

/** One user request: what it is, how to answer it, and where to. */
interface UserCall {
  readonly kind: RequestKind;
  readonly response: ServerResponse;
  /** The job asked about, if its path names one. */
  readonly job?: string;
  readonly run: () => Promise<UserResponse>;
}

/** Serves a user request if admission lets it in; rejects if `run` does. */
async function serveUser(api: PublicApi, { kind, response, job, run }: UserCall): Promise<void> {
  const { admission } = api;
  const retryAfterS = admission.admit(kind, job);
  if (retryAfterS !== null) {
    sendJson(response, 503, BUSY_BODY, retryAfterS);
    return;
  }
  const startedAt = performance.now();
  try {
    const { status, body } = await run();
    if (status === 400) api.malformed.count('requests');
    sendJson(response, status, JSON.stringify(body), status === 503 ? admission.retryAfterS() : 1);
  } finally {
    admission.release();
    api.latencies.record(kind, performance.now() - startedAt);
  }
}

/** The routes of all requests but heartbeats and questions about one job. */
function createRoutes(api: PublicApi, log: ErrorLog | undefined): Express {
  const { users } = api;
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  const body = express.json({ limit: MAX_BODY_BYTES, strict: false, type: () => true });
  app
    .route('/ready')
    .get((_request, response) => sendJson(response, api.ready() ? 200 : 503, '{}'))
    .all(methodNotAllowed);
  app
    .route('/v2/runs')
    .post(body, (request, response) =>
      serveUser(api, { kind: 'submit', response, run: () => users.submit(request.body as unknown) }),
    )
    .all(methodNotAllowed);
  app.route('/v2/runs/:id').all(methodNotAllowed);
  app
    .route('/v2/runs/:id/withdraw')
    .post((request, response) =>
      serveUser(api, { kind: 'withdraw', response, run: () => users.cancel(request.params.id) }),
    )
    .all(methodNotAllowed);
  app
    .route('/status')
    .get((request, response) => {
      const brief = request.query['brief'] !== undefined;
      sendJson(response, 200, JSON.stringify(api.describe(brief), null, 1));
    })
    .all(methodNotAllowed);
  app.all('/v1/report', methodNotAllowed);
  app.use((_request, response) => sendJson(response, 404, '{"error":"no such path"}'));
  app.use(handleError(api, log));
  return app;
}

/**
 * Creates the public port's server; it does not listen yet.
 * @param api What the port serves.
 * @param sockets Sockets of the process's quota, of which the port takes a share.
 * @param log Where failures of requests are logged; their senders only learn that they may try again.
 */
export function createPublicServer(api: PublicApi, sockets: number, log?: ErrorLog): Server {
  const routes = createRoutes(api, log);
  const maxConnections = Math.floor(PORT_SOCKET_SHARE * sockets);
  let connections = 0;
  const server = createServer({ keepAlive: true, noDelay: true }, (request, response) => {
    if (connections > KEEP_ALIVE_SHARE * maxConnections) response.shouldKeepAlive = false;
    const { method, url = '' } = request;
    const job = method === 'GET' ? JOB_PATH.exec(url)?.[1] : undefined;
    if (method === 'POST' && url === '/v1/report') receiveReport(api, request, response);
    else if (job !== undefined)
      serveUser(api, { kind: 'show', response, job, run: () => api.users.show(job) }).catch(
        (error: unknown) => {
          logFailure(log, error);
          sendJson(response, 503, BUSY_BODY);
        },
      );
    else routes(request, response);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.on('connection', (socket) => {
    connections += 1;
    socket.on('close', () => (connections -= 1));
  });
  server.maxConnections = maxConnections;
  return server;
}
