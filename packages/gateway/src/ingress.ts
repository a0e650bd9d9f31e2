/**
 * HTTP server for callers. Reads requests whole, within the limits of the configuration, and hands
 * them to the requests of the entry. While the entry stops, open connections are still served, and
 * each answer asks the caller to leave.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { readCallerFacts } from '@masticbend/platform/ingress';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { DEFAULT_CALLER_LIMITS, type CallerLimits } from '@masticbend/settings/routing';
import { createDelivery } from './delivery.js';
import { startServer } from './network.js';
import type { Requests } from './requests.js';

/** Bytes of a head that the parser takes, whatever the configuration says. */
const PARSER_HEADER_BYTES = 64 * 1024;
/** Bytes of a header line besides its name and value. */
const HEADER_LINE_BYTES = 4;
/** Longest time for a whole request, in milliseconds. */
const REQUEST_LIMIT_MS = 30_000;
/** Interval of the check for slow callers, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Time by which an unused connection outlives the limit that callers are told, in milliseconds. */
const IDLE_MARGIN_MS = 1_000;
/** Advice to callers of a stopping entry, whose next connection goes elsewhere, in milliseconds. */
const STOPPING_RETRY_MS = 20;

/** What the server needs. */
export interface IngressOptions {
  address: string;
  clock: Clock;
  log: Logger;
  requests: Pick<Requests, 'accept'>;
  getLimits: () => CallerLimits | undefined;
}

/** HTTP server of an entry. */
export interface Ingress {
  start: () => Promise<void>;
  /** Takes over changed limits. */
  applyLimits: () => void;
  /** Asks callers to leave with their next answer. */
  beginStop: () => void;
  /** Takes no new connections and refuses what still comes on open ones. */
  refuseNew: () => void;
  /** Closes unused connections. */
  closeIdle: () => void;
  /** Cuts whatever is still open. */
  stop: () => void;
}

/** Returns a server that does not listen yet. */
export function createIngress(options: IngressOptions): Ingress {
  const { clock, log, requests } = options;
  let stopping = false;
  let refusing = false;

  function getLimits(): CallerLimits {
    return options.getLimits() ?? DEFAULT_CALLER_LIMITS;
  }

  function handleRequest(request: IncomingMessage, response: ServerResponse): void {
    if (stopping) response.setHeader('connection', 'close');
    const fault = refusing
      ? { kind: ErrorKind.Stopping, retryAfterMs: STOPPING_RETRY_MS }
      : checkHead(request, getLimits());
    if (fault) {
      refuse(request, response, fault);
      return;
    }
    if (request.headers.expect !== undefined) response.writeContinue();
    readBody(request, getLimits().bodyBytes, (body) => {
      if (body) acceptRequest(request, response, body);
      else refuse(request, response, { kind: ErrorKind.BodyTooLarge });
    });
  }

  function acceptRequest(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    if (stopping && !response.headersSent) response.setHeader('connection', 'close');
    requests.accept(
      {
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        host: request.headers.host ?? '',
        rawHeaders: request.rawHeaders,
        facts: readCallerFacts(request.headers),
        body,
        arrivedAt: clock.now(),
      },
      (onAbandoned) => createDelivery(response, onAbandoned),
    );
  }

  function refuse(request: IncomingMessage, response: ServerResponse, failure: Failure): void {
    log.info(LogEvent.RequestRefused, { error: failure.kind, path: request.url });
    response.setHeader('connection', 'close');
    createDelivery(response, () => undefined).fail(failure);
    request.resume();
  }

  const server = createServer(
    {
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      requestTimeout: REQUEST_LIMIT_MS,
      noDelay: true,
    },
    handleRequest,
  );
  server.on('checkContinue', handleRequest);

  return {
    start() {
      applyLimits(server, getLimits());
      return startServer(server, options.address);
    },
    applyLimits: () => applyLimits(server, getLimits()),
    beginStop() {
      stopping = true;
    },
    refuseNew() {
      refusing = true;
      server.close();
    },
    closeIdle: () => server.closeIdleConnections(),
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };
}

function applyLimits(server: Server, { headerMs, idleMs }: CallerLimits): void {
  server.headersTimeout = headerMs;
  server.keepAliveTimeout = idleMs + IDLE_MARGIN_MS;
}

function checkHead(request: IncomingMessage, limits: CallerLimits): Failure | undefined {
  const bytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const lines = request.rawHeaders.length / 2;
  if (bytes + lines * HEADER_LINE_BYTES > limits.headerBytes) {
    return { kind: ErrorKind.HeadersTooLarge };
  }
  if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) {
    return { kind: ErrorKind.BodyTooLarge };
  }
  return undefined;
}

/** Reads a body whole; hands over nothing when it is too long, and never when it broke off. */
function readBody(
  request: IncomingMessage,
  limit: number,
  onBody: (body: Buffer | undefined) => void,
): void {
  const pieces: Buffer[] = [];
  let bytes = 0;
  let over = false;
  request.on('data', (piece: Buffer) => {
    if (over) return;
    bytes += piece.length;
    pieces.push(piece);
    if (bytes <= limit) return;
    over = true;
    onBody(undefined);
  });
  request.on('end', () => {
    if (!over) onBody(Buffer.concat(pieces));
  });
  // The connection is gone before the request was whole: nobody waits for an answer.
  request.on('error', () => {
    over = true;
  });
}
