/**
 * Connections to backend servers and single exchanges over them. An exchange reports whether its
 * request was ever handed to a connection: before that it has certainly not run.
 */
import type { Socket } from 'node:net';
import { buildConnector, Client, Pool, type Dispatcher } from 'undici';
import type { HeaderMap } from '@masticbend/platform/ingress';
import type { BackendServer } from '@masticbend/settings/routing';

/** Longest wait for a connection, in milliseconds: many round trips between data centres. */
const CONNECT_LIMIT_MS = 400;
/** Time after which an unused connection is closed, in milliseconds; a server may say less. */
const IDLE_LIMIT_MS = 4_000;
/** Time before the server's own idle limit at which a connection is no longer used. */
const IDLE_MARGIN_MS = 1_000;
/** Connections to one backend server from this process. */
const CONNECTIONS = 40;

/** What an exchange tells its user, in this order. */
export interface ExchangeEvents {
  /** The request is about to be written; from here on it may run. */
  onSent: () => void;
  onHead: (status: number, headers: HeaderMap) => void;
  onData: (bytes: Buffer) => void;
  /** The answer is whole. */
  onEnd: () => void;
  /** The exchange broke off, or was never sent. */
  onError: (error: NodeJS.ErrnoException) => void;
}

/** Request as a backend server is to see it. */
export interface ExchangeRequest {
  method: Dispatcher.HttpMethod;
  path: string;
  headers: string[];
  body: Buffer | null;
}

/** A running exchange. */
export interface Exchange {
  /** Ends it and its connection; no event follows. */
  abort: () => void;
  pause: () => void;
  resume: () => void;
}

/** Client of all backend servers. */
export interface BackendClient {
  send: (server: BackendServer, request: ExchangeRequest, events: ExchangeEvents) => Exchange;
  /** Closes the pools of servers that are no longer listed, once they are idle. */
  retain: (servers: readonly BackendServer[]) => void;
  close: () => Promise<void>;
}

/** Code given to a connection reset, since undici takes `ECONNRESET` as the end of an answer. */
const RESET_CODE = 'RESET';
/** Bytes written when a connection ends, to tell a regular end from a reset. */
const PROBE = '\r\n';

/** What is known of the answer on one connection. */
interface Link {
  /** Its end is the end of the connection. */
  endsWithConnection: boolean;
}

/** Options of a dispatch; the client that takes it notes its connection. */
type LinkedOptions = Dispatcher.DispatchOptions & { link?: Link };

/** Returns a client without connections. */
export function createBackendClient(): BackendClient {
  const pools = new Map<string, Pool>();

  function findPool(server: BackendServer): Pool {
    const key = formatKey(server);
    let pool = pools.get(key);
    if (!pool) {
      pool = new Pool(`http://${server.address}`, {
        connections: CONNECTIONS,
        pipelining: 1,
        factory: createLinkedClient,
        keepAliveTimeout: IDLE_LIMIT_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      pools.set(key, pool);
    }
    return pool;
  }

  return {
    send: (server, request, events) => startExchange(findPool(server), request, events),
    retain(servers) {
      const kept = new Set(servers.map(formatKey));
      for (const [key, pool] of pools) {
        if (!kept.has(key)) {
          pools.delete(key);
          // Closing waits for running exchanges; its failure leaves nothing to be done.
          pool.close().catch(() => undefined);
        }
      }
    },
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}

/** Creates a client of one connection that notes on each dispatch which connection it uses. */
function createLinkedClient(origin: URL, options: object): Client {
  const link: Link = { endsWithConnection: false };
  const client = new Client(origin, { ...options, connect: createConnector(link) });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (dispatched: LinkedOptions, handler) => {
    link.endsWithConnection = false;
    dispatched.link = link;
    return dispatch(dispatched, handler);
  };
  return client;
}

/** Connects as undici does, and keeps a reset from being taken as the end of an answer. */
function createConnector(link: Link): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_LIMIT_MS, allowHalfOpen: true });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error) {
        callback(error, null);
      } else if (socket) {
        socket.prependListener('error', (fault: NodeJS.ErrnoException) => {
          if (fault.code === 'ECONNRESET') fault.code = RESET_CODE;
        });
        probeAtEnd(socket, link);
        callback(null, socket);
      }
    });
}

/**
 * Node reports a reset that follows right after data as the end of the connection. Before an answer
 * counts as ended by it, a write must still be accepted, which it is only after a regular end.
 */
function probeAtEnd(socket: Socket, link: Link): void {
  const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean;
  socket.emit = (event: string | symbol, ...values: unknown[]) => {
    if (event !== 'end' || !link.endsWithConnection) return emit(event as string, ...values);
    socket.write(PROBE, (fault) => {
      if (!fault) emit('end');
    });
    return true;
  };
}

function startExchange(pool: Pool, request: ExchangeRequest, events: ExchangeEvents): Exchange {
  let controller: Dispatcher.DispatchController | undefined;
  let ended = false;
  let paused = false;

  const options: LinkedOptions = { ...request };
  pool.dispatch(options, {
    onRequestStart(started) {
      controller = started;
      if (ended) started.abort(new Error('aborted before it was sent'));
      else events.onSent();
    },
    onResponseStart(started, status, headers) {
      controller = started;
      if (ended || status < 200) return;
      if (options.link) options.link.endsWithConnection = !isFramed(headers);
      events.onHead(status, headers);
      if (paused) started.pause();
    },
    onResponseData(_started, bytes) {
      if (!ended) events.onData(bytes);
    },
    onResponseEnd() {
      if (ended) return;
      ended = true;
      events.onEnd();
    },
    onResponseError(_started, error) {
      if (ended) return;
      ended = true;
      events.onError(error);
    },
  });

  return {
    abort() {
      if (ended) return;
      ended = true;
      controller?.abort(new Error('aborted'));
    },
    pause() {
      paused = true;
      controller?.pause();
    },
    resume() {
      paused = false;
      controller?.resume();
    },
  };
}

/** Tells whether an answer says itself where it ends. */
function isFramed(headers: HeaderMap): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** A restarted server may keep its id and its address; its old connections are of no use. */
function formatKey(server: BackendServer): string {
  return `${server.id} ${server.address} ${server.bornAt}`;
}
