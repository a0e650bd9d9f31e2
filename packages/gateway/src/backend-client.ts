/**
 * Connection pools to backend servers, and HTTP exchanges over them. An exchange reports when its
 * request is about to be written to a connection: a request that was never written has not run.
 */
import type { Socket } from 'node:net';
import { Client, Pool, type buildConnector, type Dispatcher } from 'undici';
import { createHttpConnector } from '@masticbend/kernel/http-pool';
import type { HeaderMap } from '@masticbend/platform/ingress';
import { MAX_CONNECTIONS_PER_SERVER } from '@masticbend/scheduling/server-entry';
import type { BackendServer } from '@masticbend/settings/routing';
import { Framing, readFraming } from './answer-framing.js';
import { createAnswerInput, type AnswerInput } from './answer-input.js';
import { createJoinedPieces } from './joined-pieces.js';

/** Timeout of a connection attempt: many round trips between data centres. */
const CONNECT_TIMEOUT_MS = 400;
/** Time after which an idle connection is closed; a server may announce a shorter time. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/** Time before the end of the server's announced keep-alive at which a connection is not reused. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** Events of an exchange, in this order. */
export interface ExchangeEvents {
  /** The request is about to be written; from then on it may run. */
  onSent: () => void;
  onHead: (status: number, headers: HeaderMap) => void;
  onData: (bytes: Buffer) => void;
  /** The answer is complete. */
  onEnd: () => void;
  /** The exchange failed before or after the request was sent. */
  onError: (error: NodeJS.ErrnoException) => void;
}

/** Request as sent to a backend server. */
export interface ExchangeRequest {
  method: Dispatcher.HttpMethod;
  path: string;
  headers: string[];
  body: Buffer | null;
}

/** A running exchange. */
export interface Exchange {
  /** Aborts the exchange and closes its connection; no event follows. */
  abort: () => void;
  pause: () => void;
  resume: () => void;
}

/** Client of all backend servers. */
export interface BackendClient {
  send: (server: BackendServer, request: ExchangeRequest, events: ExchangeEvents) => Exchange;
  /** Returns the number of open connections to a server, idle ones included. */
  countConnections: (server: BackendServer) => number;
  /** Closes the connection pools of all other servers once their exchanges have ended. */
  retainServers: (servers: readonly BackendServer[]) => void;
  close: () => Promise<void>;
}

/** Error code of a request that the HTTP library refuses, as for a header that it cannot write. */
const UNSENDABLE_CODE = 'UND_ERR_INVALID_ARG';
/** Error code that replaces `ECONNRESET`, which undici treats as the regular end of an answer. */
const RESET_CODE = 'RESET';
/** Bytes written at the end of a connection, to distinguish a regular end from a reset. */
const END_PROBE = '\r\n';

/** State of the current answer on one connection. */
interface ConnectionState {
  /** The answer has no declared length and ends with the connection. */
  endsWithConnection: boolean;
  /** Undefined until the connection is open. */
  input?: AnswerInput;
}

/** Dispatch options; the client that handles the dispatch sets `connectionState`. */
type TrackedDispatchOptions = Dispatcher.DispatchOptions & { connectionState?: ConnectionState };

/** Returns a client without connections. */
export function createBackendClient(): BackendClient {
  const pools = new Map<string, Pool>();

  function findPool(server: BackendServer): Pool {
    const key = formatKey(server);
    let pool = pools.get(key);
    if (!pool) {
      pool = new Pool(`http://${server.address}`, {
        connections: MAX_CONNECTIONS_PER_SERVER,
        pipelining: 1,
        factory: createTrackedClient,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      pools.set(key, pool);
    }
    return pool;
  }

  return {
    send: (server, request, events) => startExchange(findPool(server), request, events),
    countConnections: (server) => pools.get(formatKey(server))?.stats.connected ?? 0,
    retainServers(servers) {
      const listedKeys = new Set(servers.map(formatKey));
      for (const [key, pool] of pools) {
        if (!listedKeys.has(key)) {
          pools.delete(key);
          // Closing waits for running exchanges; a failure to close needs no handling.
          pool.close().catch(() => undefined);
        }
      }
    },
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}

/** Returns whether an exchange failed for the request itself, before it was sent to any server. */
export function isUnsendable({ code }: NodeJS.ErrnoException): boolean {
  return code === UNSENDABLE_CODE;
}

/** Creates a client with one connection that sets the connection state on each dispatch. */
function createTrackedClient(origin: URL, options: object): Client {
  const connectionState: ConnectionState = { endsWithConnection: false };
  const client = new Client(origin, { ...options, connect: createConnector(connectionState) });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (dispatched: TrackedDispatchOptions, handler) => {
    connectionState.endsWithConnection = false;
    connectionState.input?.start();
    dispatched.connectionState = connectionState;
    return dispatch(dispatched, handler);
  };
  return client;
}

/** Connects as undici does, and prevents a reset from being treated as the end of an answer. */
function createConnector(connectionState: ConnectionState): buildConnector.connector {
  const connect = createHttpConnector({ timeout: CONNECT_TIMEOUT_MS, allowHalfOpen: true });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error) {
        callback(error, null);
      } else if (socket) {
        socket.prependListener('error', (socketError: NodeJS.ErrnoException) => {
          if (socketError.code === 'ECONNRESET') socketError.code = RESET_CODE;
        });
        probeAtEnd(socket, connectionState);
        connectionState.input = createAnswerInput(socket);
        callback(null, socket);
      }
    });
}

/**
 * Node reports a reset that immediately follows data as a regular end of the connection. Therefore
 * an answer that ends with its connection is complete only if a write still succeeds afterwards,
 * which it does only after a regular end.
 */
function probeAtEnd(socket: Socket, state: ConnectionState): void {
  const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean;
  socket.emit = (event: string | symbol, ...values: unknown[]) => {
    if (event !== 'end' || !state.endsWithConnection) return emit(event as string, ...values);
    socket.write(END_PROBE, (writeError) => {
      if (!writeError) emit('end');
    });
    return true;
  };
}

function startExchange(pool: Pool, request: ExchangeRequest, events: ExchangeEvents): Exchange {
  let controller: Dispatcher.DispatchController | undefined;
  let ended = false;
  let paused = false;
  const pieces = createJoinedPieces((bytes) => {
    if (ended) return;
    try {
      events.onData(bytes);
    } catch (error) {
      // Outside of the library's calls, the process would end with it.
      failExchange(error as Error);
    }
  });

  function failExchange(error: Error): void {
    if (ended) return;
    ended = true;
    controller?.abort(error);
    events.onError(error);
  }

  const options: TrackedDispatchOptions = { ...request };
  pool.dispatch(options, {
    onRequestStart(started) {
      controller = started;
      if (ended) started.abort(new Error('aborted before it was sent'));
      else events.onSent();
    },
    onResponseStart(started, status, headers) {
      controller = started;
      if (ended || status < 200) return;
      if (options.connectionState) {
        options.connectionState.input?.recordHead();
        options.connectionState.endsWithConnection = readFraming(headers) === Framing.Connection;
      }
      events.onHead(status, headers);
      if (paused) started.pause();
    },
    onResponseData(_started, bytes) {
      options.connectionState?.input?.recordBody(bytes.length);
      pieces.add(bytes);
    },
    onResponseEnd() {
      pieces.flush();
      if (ended) return;
      ended = true;
      events.onEnd();
    },
    onResponseError(_started, error) {
      pieces.flush();
      if (ended) return;
      ended = true;
      events.onError(error);
    },
  });

  return {
    abort() {
      if (ended) return;
      ended = true;
      pieces.drop();
      controller?.abort(new Error('aborted'));
    },
    pause() {
      if (ended) return;
      paused = true;
      controller?.pause();
    },
    resume() {
      if (ended) return;
      paused = false;
      controller?.resume();
    },
  };
}

/** Includes the start time: a restarted server may keep its id and address, not its connections. */
function formatKey(server: BackendServer): string {
  return `${server.id} ${server.address} ${server.bornAt}`;
}
