/** HTTP server on the node's public port. Heartbeats and polls of single jobs bypass the router; all else is routed. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import express, { type ErrorRequestHandler, type Express, type RequestHandler } from 'express';
import { MAX_MESSAGE_BYTES } from '../core/message-sizes.js';
import { parseJson } from '../core/values.js';
import type { LatencyHistograms } from '../observability/latency.js';
import type { EventCounter, Log } from '../observability/logging.js';
import type { Admission, RequestKind } from './admission.js';
import type { UserResponse, UserRequests } from './user-requests.js';

/** Share of the process's socket quota that the public port may use. */
const PORT_SOCKET_SHARE = 0.8;
/**
 * While more than this share of those sockets is in use, each response closes its connection, so that all workers can
 * connect.
 */
const KEEP_ALIVE_SHARE = 0.9;

/** Time after which an idle connection is closed, in milliseconds. */
const KEEP_ALIVE_MS = 120_000;
/**
 * The largest body of a heartbeat, in bytes. Workers should send no more than `MAX_MESSAGE_BYTES`, but the heartbeat of
 * a machine that a controller of an earlier version has given too many tasks may be longer, and all of them would be
 * lost if it were refused.
 */
const MAX_HEARTBEAT_BYTES = 1.5 * MAX_MESSAGE_BYTES;
const TOO_LONG_BODY = '{"error":"the response is too long"}';

/** The operations that the port exposes; a controller node implements them. */
export interface PublicApi {
  readonly users: Pick<UserRequests, 'submit' | 'show' | 'cancel'>;
  /** Handles a heartbeat's body; `done` is called once with the status and body of the response. */
  handleHeartbeat(body: unknown, done: (status: number, body: string) => void): void;
  /** Whether the node can serve users and workers now. */
  ready(): boolean;
  /** The status page; `brief` omits the parts that require an iteration over all jobs and machines. */
  describe(brief?: boolean): object;
  readonly latencies: Pick<LatencyHistograms, 'record'>;
  readonly admission: Admission;
  readonly malformed: Pick<EventCounter, 'count'>;
}

/** Whether no line of a body exceeds the limit on lines in responses. */
const hasBoundedLines = (body: string): boolean =>
  Buffer.byteLength(body) <= MAX_MESSAGE_BYTES ||
  body.split('\n').every((line) => Buffer.byteLength(line) <= MAX_MESSAGE_BYTES);

function sendJson(response: ServerResponse, status: number, body: string, retryAfterS = 1): void {
  if (response.writableEnded || response.destroyed) return;
  if (!hasBoundedLines(body)) {
    // A success that cannot be reported is not one for the client.
    sendJson(response, status < 400 ? 503 : status, TOO_LONG_BODY, retryAfterS);
    return;
  }
  const headers: Record<string, string | number> = {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
  };
  if (status === 429 || status === 503) headers['Retry-After'] = String(retryAfterS);
  response.writeHead(status, headers).end(body);
}

function receiveHeartbeat(api: PublicApi, request: IncomingMessage, response: ServerResponse): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes <= MAX_HEARTBEAT_BYTES) chunks.push(chunk);
  });
  request.on('end', () => {
    const body = bytes <= MAX_HEARTBEAT_BYTES ? parseJson(Buffer.concat(chunks).toString('utf8')) : undefined;
    api.handleHeartbeat(body, (status, text) => sendJson(response, status, text));
  });
  request.on('error', () => response.destroy());
}

const BUSY_BODY = '{"error":"too many requests under way, try again"}';

/** Path of a poll of one job. Polls are the most frequent requests and bypass the router because of its cost. */
const JOB_PATH = /^\/v2\/runs\/([^/?#]+)$/;

type ErrorLog = Pick<Log, 'error'>;

const methodNotAllowed: RequestHandler = (_request, response) =>
  sendJson(response, 405, '{"error":"method not allowed"}');

function logFailure(log: ErrorLog | undefined, error: unknown): void {
  const stack = error instanceof Error ? error.stack : undefined;
  log?.error({ error: String(error), stack }, 'request failed');
}

/** Responds 400 to an invalid request (body too large, not JSON, broken URL encoding) and 503 to any other error. */
const handleError =
  (api: PublicApi, log: ErrorLog | undefined): ErrorRequestHandler =>
  (error, _request, response, _next) => {
    const status = (error as { status?: unknown }).status;
    const isClientError = typeof status === 'number' && status >= 400 && status < 500;
    if (isClientError) {
      api.malformed.count('requests');
      sendJson(response, 400, '{"error":"malformed request"}');
      return;
    }
    logFailure(log, error);
    sendJson(response, 503, '{"error":"try again"}');
  };

/** A user request: its kind, the operation that serves it, and the response to write the result to. */
interface UserCall {
  readonly kind: RequestKind;
  readonly response: ServerResponse;
  /** Id of the polled job; absent for other requests. */
  readonly job?: string;
  readonly run: () => Promise<UserResponse>;
}

/** Serves a user request if it is admitted, and responds 503 otherwise; rejects if `run` does. */
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
    sendJson(response, status, JSON.stringify(body), status === 503 ? admission.countRefusal() : 1);
  } finally {
    admission.release();
    api.latencies.record(kind, performance.now() - startedAt);
  }
}

/** The routes of all requests except heartbeats and polls of single jobs. */
function createRoutes(api: PublicApi, log: ErrorLog | undefined): Express {
  const { users } = api;
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  const body = express.json({ limit: MAX_MESSAGE_BYTES, strict: false, type: () => true });
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
 * @param api The operations that the port exposes.
 * @param sockets Socket quota of the process; the port uses a share of it.
 * @param log Receives the causes of failed requests; the response only says that the client may try again.
 */
export function createPublicServer(api: PublicApi, sockets: number, log?: ErrorLog): Server {
  const routes = createRoutes(api, log);
  const maxConnections = Math.floor(PORT_SOCKET_SHARE * sockets);
  let connections = 0;
  const server = createServer({ keepAlive: true, noDelay: true }, (request, response) => {
    if (connections > KEEP_ALIVE_SHARE * maxConnections) response.shouldKeepAlive = false;
    const { method, url = '' } = request;
    const job = method === 'GET' ? JOB_PATH.exec(url)?.[1] : undefined;
    if (method === 'POST' && url === '/v1/report') receiveHeartbeat(api, request, response);
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
