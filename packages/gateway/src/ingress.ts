/**
 * HTTP server for callers. Reads complete requests within the limits of the configuration and
 * passes them to the request handling. While the entry stops, open connections are still served,
 * but each answer has the header `connection: close`.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { waitFor, type Clock } from '@masticbend/kernel/clock';
import type { ConnectionBounds } from '@masticbend/kernel/connection-bounds';
import { runAfterReads } from '@masticbend/kernel/event-loop';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { readRequestMetadata } from '@masticbend/platform/ingress';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { DEFAULT_CALLER_LIMITS, type CallerLimits } from '@masticbend/settings/routing';
import { ConnectionKind, createAcceptMonitor } from './accept-monitor.js';
import {
  createCallerConnection,
  readRequestId,
  type CallerConnection,
  type OpenRequest,
} from './caller-connection.js';
import { createDelivery, type DeliveryBounds } from './delivery.js';
import { refuseConnection } from './excess-connections.js';
import { startServer } from './network.js';
import { checkRequestHead, hasMalformedName, isContinueExpected } from './request-head.js';
import { readBody } from './request-body.js';
import { readTarget } from './request-target.js';
import type { Requests } from './requests.js';
import { STOPPED, TOO_MANY_BYTES } from './unserved-requests.js';

/** Largest request head that the parser accepts; the configured limit is checked afterwards. */
const MAX_PARSER_HEADER_BYTES = 64 * 1024;
/** Timeout for receiving a complete request. */
const REQUEST_TIMEOUT_MS = 30_000;
/** The parser's own error for a malformed field name. */
const MALFORMED_NAME = {
  name: 'Error',
  message: 'malformed field name',
  code: 'HPE_INVALID_HEADER_TOKEN',
};
/** Interval at which connections are checked for receive timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Longest time at the end of a stop for which callers may take what was written to them. */
const STOP_CLOSE_MS = 100;
const STOP_CHECK_INTERVAL_MS = 5;

/** Dependencies of the server. */
export interface IngressOptions {
  /** Caller address as `IP:port`. */
  address: string;
  clock: Clock;
  log: Logger;
  drawRandom?: () => number;
  requests: Pick<Requests, 'accept'>;
  getLimits: () => CallerLimits | undefined;
  /** Bounds of all connections of the entry. */
  bounds: ConnectionBounds;
}

/** HTTP server of an entry. */
export interface Ingress {
  start: () => Promise<void>;
  /** Applies the current limits of the configuration. */
  applyLimits: () => void;
  /** Closes each connection after its next answer. */
  beginStop: () => void;
  /**
   * Stops accepting connections and refuses new requests on open ones, and from `lateAt` on also
   * those whose bodies were still being read.
   */
  refuseNew: (lateAt: number) => void;
  /** Closes idle connections. */
  closeIdle: () => void;
  /** Requests whose answers have not been sent, whether their bodies were read or not. */
  countOpen: () => number;
  /** Time that a connection which is accepted now has waited at least, in milliseconds. */
  getAcceptWaitMs: () => number;
  /** Returns whether connections wait too long for their callers to be served. */
  isBehind: () => boolean;
  /** Stops listening, refuses the requests still being read, and closes all connections. */
  stop: () => Promise<void>;
}

/** Returns a server that is not listening yet. */
export function createIngress(options: IngressOptions): Ingress {
  const { clock, log, requests, bounds, drawRandom = Math.random } = options;
  let isStopping = false;
  let isRefusing = false;
  /** Time from which requests that have just been read are refused. */
  let refusesReadAt = Infinity;
  const connections = new Map<Socket, CallerConnection>();
  const monitor = createAcceptMonitor(options);
  function getLimits(): CallerLimits {
    return options.getLimits() ?? DEFAULT_CALLER_LIMITS;
  }

  function closeIdle(): void {
    for (const connection of connections.values()) connection.closeIdle();
  }

  function acceptConnection(socket: Socket): void {
    const waitedMs = monitor.getWaitMs();
    const connection: CallerConnection = createCallerConnection(
      {
        clock,
        log,
        mayTake: () => bounds.mayTake(connection),
        isFull: () => bounds.isFull(connection),
        waitedMs,
        refuseUnread,
      },
      socket,
    );
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      bounds.remove(connection);
    });
    bounds.add(connection);
  }

  function handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = connections.get(request.socket);
    if (hasMalformedName(request)) {
      request.resume();
      connection?.refuse(MALFORMED_NAME);
      return;
    }
    const open = connection?.add(request, response, getLimits().idleMs);
    if (!connection || !open) {
      log.info(LogEvent.CallerRefused, { request: readRequestId(request), reason: 'closing' });
      request.resume();
      return;
    }
    if (isStopping) response.setHeader('connection', 'close');
    const failure = isRefusing ? STOPPED : checkRequestHead(request, getLimits());
    if (failure) {
      refuse(request, response, failure);
      return;
    }
    if (isContinueExpected(request)) response.writeContinue();
    readBody(open, getLimits().bodyBytes, (body) => {
      if (!body) {
        refuse(request, response, { kind: ErrorKind.BodyTooLarge });
        return;
      }
      open.ends = {
        abandon: () => abortUnaccepted(open),
        refuseUnsent: () => refuseUnread(request, response),
        wasSent: () => false,
      };
      // In a busy process, the caller may have left since it sent the request.
      runAfterReads(() => acceptRequest(connection, open, body));
    });
  }

  function abortUnaccepted({ request, response, waitedMs }: OpenRequest): void {
    // It may have been refused before, because the entry holds too many bytes.
    if (response.headersSent) return;
    log.info(LogEvent.RequestAbandoned, {
      request: readRequestId(request),
      sent: 0,
      totalMs: Math.round(waitedMs),
    });
    createDelivery(response, () => undefined).fail({ kind: ErrorKind.CallerEnded });
  }

  function acceptRequest(connection: CallerConnection, open: OpenRequest, body: Buffer): void {
    const { request, response, waitedMs } = open;
    if (response.writableEnded) return;
    if (request.socket.destroyed) {
      abortUnaccepted(open);
      return;
    }
    if (clock.now() > refusesReadAt) {
      refuse(request, response, STOPPED);
      return;
    }
    open.isAccepted = true;
    requests.accept(
      {
        method: request.method ?? 'GET',
        ...readTarget(request),
        metadata: readRequestMetadata(request.headers),
        body,
        arrivedAt: clock.now() - waitedMs,
      },
      (ends) => {
        open.ends = ends;
        return createDelivery(response, ends.abandon, createBounds(connection, open));
      },
    );
  }

  function createBounds(connection: CallerConnection, open: OpenRequest): DeliveryBounds {
    return {
      recordWritten: bounds.recordAdded,
      recordHeldBack(bytes) {
        bounds.recordAdded(Math.max(0, bytes - open.heldBackBytes));
        open.heldBackBytes = bytes;
      },
      isFull: () => bounds.isFullOfAnswers(connection),
    };
  }

  function refuseUnread(request: IncomingMessage, response: ServerResponse): void {
    if (!response.headersSent) refuse(request, response, TOO_MANY_BYTES);
  }

  function refuse(request: IncomingMessage, response: ServerResponse, failure: Failure): void {
    log.info(LogEvent.RequestRefused, {
      request: readRequestId(request),
      error: failure.kind,
      path: request.url,
    });
    response.setHeader('connection', 'close');
    createDelivery(response, () => undefined).fail(failure);
    request.resume();
  }

  const server = createServer(
    {
      maxHeaderSize: MAX_PARSER_HEADER_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      noDelay: true,
      // The library's refusal is unknown to the connection.
      requireHostHeader: false,
    },
    handleRequest,
  );
  // The connection decides what the end of a caller's sending side means.
  (server as { httpAllowHalfOpen?: boolean }).httpAllowHalfOpen = true;
  // The server's own method closes connections whose answers have ended and were not sent yet.
  server.closeIdleConnections = closeIdle;
  server.on('checkContinue', handleRequest);
  server.on('checkExpectation', handleRequest);
  const readConnection = server.listeners('connection') as ((socket: Socket) => void)[];
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => {
    const kind = monitor.classifyConnection(socket);
    if (kind === ConnectionKind.Excess) refuseConnection({ clock, bounds, drawRandom }, socket);
    if (kind !== ConnectionKind.Caller) return;
    for (const listener of readConnection) listener.call(server, socket);
    acceptConnection(socket);
  });
  server.on('timeout', (socket: Socket) => connections.get(socket)?.closeIdle());
  server.on('connect', (_request, socket: Socket) => connections.get(socket)?.refuseTunnel());
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    connections.get(socket)?.refuse(error);
  });

  return {
    start() {
      applyLimits(server, getLimits());
      return startServer(server, options.address);
    },
    applyLimits: () => applyLimits(server, getLimits()),
    beginStop() {
      isStopping = true;
      for (const connection of connections.values()) connection.announceClose();
    },
    refuseNew(lateAt) {
      isRefusing = true;
      refusesReadAt = lateAt;
      server.close();
    },
    closeIdle,
    countOpen: () =>
      [...connections.values()].reduce((sum, connection) => sum + connection.countOpen(), 0),
    getAcceptWaitMs: monitor.getWaitMs,
    isBehind: monitor.isBehind,
    async stop() {
      monitor.stop();
      isStopping = true;
      isRefusing = true;
      server.close();
      const unaccepted = [...connections.values()].flatMap((each) => each.listUnaccepted());
      for (const { request, response } of unaccepted) refuse(request, response, STOPPED);
      for (const connection of connections.values()) connection.stop();
      const closeAt = clock.now() + STOP_CLOSE_MS;
      while (connections.size > 0 && clock.now() < closeAt) {
        await waitFor(clock, STOP_CHECK_INTERVAL_MS);
      }
      for (const connection of connections.values()) connection.abort();
    },
  };
}

function applyLimits(server: Server, { headerMs, idleMs }: CallerLimits): void {
  server.headersTimeout = headerMs;
  server.keepAliveTimeout = idleMs;
}
