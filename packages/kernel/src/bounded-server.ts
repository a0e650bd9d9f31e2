/**
 * Bounds the connections of an HTTP server that answers each request by itself. Requests that are
 * sent ahead wait unread until the answers before them were taken, beside those in the same slice
 * of input.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from './clock.js';
import {
  CONNECTION_BYTES,
  FIELD_BYTES,
  REQUEST_BYTES,
  type BoundedConnection,
  type ConnectionBounds,
} from './connection-bounds.js';
import { closeLingering } from './lingering-close.js';
import { createMeteredInput } from './metered-input.js';

const STATUS_PAYLOAD_TOO_LARGE = 413;
const REQUEST_EVENTS = ['request', 'checkContinue'] as const;

type RequestListener = (request: IncomingMessage, response: ServerResponse) => void;

/** Dependencies of the bounds. */
export interface BoundedServerOptions {
  clock: Clock;
  bounds: ConnectionBounds;
  /** No request has a body; one that has is refused. */
  refusesBodies?: boolean;
  /** Time limit for the receipt of a request, in milliseconds; that of the server by default. */
  requestMs?: number;
}

/** A request in progress, and the parsed bytes of its connection before its body. */
interface OpenRequest {
  request: IncomingMessage;
  response: ServerResponse;
  startBytes: number;
}

interface ServerConnection extends BoundedConnection {
  addRequest: (request: IncomingMessage, response: ServerResponse) => void;
}

/** Bounds a server that is not listening yet and has its listeners. */
export function applyServerBounds(server: Server, options: BoundedServerOptions): void {
  const { clock, bounds, refusesBodies = false, requestMs } = options;
  const connections = new Map<Socket, ServerConnection>();
  if (requestMs !== undefined) {
    server.headersTimeout = requestMs;
    server.requestTimeout = requestMs;
  }
  // The server's own listener, which runs first, has prepared the socket.
  server.on('connection', (socket: Socket) => {
    const connection: ServerConnection = createServerConnection(clock, socket, () => {
      bounds.mayTake(connection);
    });
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      bounds.remove(connection);
    });
    bounds.add(connection);
  });
  for (const event of REQUEST_EVENTS) {
    const handlers = server.listeners(event) as RequestListener[];
    server.removeAllListeners(event);
    if (handlers.length > 0) server.on(event, createRequestListener(handlers));
  }

  function createRequestListener(handlers: RequestListener[]): RequestListener {
    return (request, response) => {
      connections.get(request.socket)?.addRequest(request, response);
      if (refusesBodies && hasBody(request)) refuseBody(clock, request, response);
      else for (const handler of handlers) handler.call(server, request, response);
    };
  }
}

function createServerConnection(
  clock: Clock,
  socket: Socket,
  measureNow: () => void,
): ServerConnection {
  const open = new Set<OpenRequest>();
  const input = createMeteredInput(socket, { mayParse: isParsingAllowed, isWithinBody });

  function isWithinBody(): boolean {
    return [...open].at(-1)?.request.complete === false;
  }

  function isParsingAllowed(): boolean {
    measureNow();
    return open.size === 0 || (open.size === 1 && isWithinBody());
  }

  /** Memory of a request; its body takes no more than it had bytes with its framing. */
  function countMemory({ request, startBytes }: OpenRequest): number {
    const bodyBytes = input.countParsed() - startBytes;
    return REQUEST_BYTES + request.rawHeaders.length * FIELD_BYTES + bodyBytes;
  }

  return {
    openedAt: clock.now(),
    addRequest(request, response) {
      const added = { request, response, startBytes: input.countParsed() };
      open.add(added);
      response.once('close', () => {
        open.delete(added);
        if (open.size === 0) input.setBlocked(false);
      });
    },
    measure() {
      let outputBytes = socket.writableLength;
      let otherBytes = input.countMemory();
      for (const each of open) {
        const { response } = each;
        outputBytes += response.writableLength - (response.socket ? socket.writableLength : 0);
        otherBytes += countMemory(each);
      }
      const takenBytes = socket.bytesWritten - socket.writableLength;
      return {
        baseBytes: CONNECTION_BYTES,
        outputBytes,
        dueBytes: socket.writableLength,
        otherBytes,
        movedBytes: socket.bytesRead + takenBytes,
        takenBytes,
        isRefusable: true,
      };
    },
    setBlocked: () => undefined,
    drop: () => socket.destroy(),
  };
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

function refuseBody(clock: Clock, request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(STATUS_PAYLOAD_TOO_LARGE, { connection: 'close', 'content-length': '0' });
  response.end();
  request.resume();
  response.once('finish', () => closeLingering(clock, request.socket));
}
