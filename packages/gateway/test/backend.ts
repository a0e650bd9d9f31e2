/** Scripted backend server: answers each request with the bytes that a test specifies. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { REQUEST_ID_HEADER } from '@masticbend/platform/ingress';

/** A request as it was received. */
export interface Arrival {
  /** Request line. */
  line: string;
  headers: Record<string, string>;
  body: string;
  socket: Socket;
  /** Set once the connection is closed. */
  closed: boolean;
}

/** Answers one arrival. */
export type Script = (arrival: Arrival, index: number) => void;

/** A running backend server. */
export interface ScriptedBackend {
  address: string;
  arrivals: Arrival[];
  script: Script;
  /** Ends all connections, and goes on listening. */
  disconnect: () => void;
  close: () => Promise<void>;
}

/** Starts a server; port 0 stands for any free one. */
export async function startBackend(
  script: Script,
  host = '127.0.0.1',
  port = 0,
): Promise<ScriptedBackend> {
  const sockets = new Set<Socket>();
  const arrivals: Arrival[] = [];
  const state = { script };

  function closeSockets(): void {
    for (const socket of sockets) socket.destroy();
  }

  const server = createServer((socket) => {
    let text = '';
    let requestId = '';
    addRequestIds(socket, () => requestId);
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (let arrival = parseRequest(text, socket); arrival;) {
        text = text.slice(arrival.bytes);
        const current = arrival.request;
        requestId = current.headers[REQUEST_ID_HEADER] ?? '';
        socket.on('close', () => {
          current.closed = true;
        });
        arrivals.push(current);
        state.script(current, arrivals.length - 1);
        arrival = parseRequest(text, socket);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(port, host, resolve);
  });
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    arrivals,
    get script() {
      return state.script;
    },
    set script(next) {
      state.script = next;
    },
    disconnect: closeSockets,
    close() {
      closeSockets();
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}

/** Returns a complete answer with the backend server's stamp. */
export function formatAnswer(status: number, body: string, headers: string[] = []): string {
  const lines = [
    `HTTP/1.1 ${status} Any`,
    'X-Masticbend-Server-Stamp: stamp',
    `Content-Length: ${body.length}`,
    ...headers,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Returns the head of a chunked stream of events. */
export function formatStreamHead(headers: string[] = []): string {
  return formatUnframedStreamHead(['Transfer-Encoding: chunked', ...headers]);
}

/** Returns the head of a stream of events that ends with its connection. */
export function formatUnframedStreamHead(headers: string[] = []): string {
  const lines = [
    'HTTP/1.1 200 OK',
    'X-Masticbend-Server-Stamp: stamp',
    'Content-Type: text/event-stream',
    ...headers,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

export function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

export function formatEvent(id: number): string {
  return `id: ${id}\ndata: event ${id}\n\n`;
}

export const LAST_CHUNK = '0\r\n\r\n';

/**
 * Adds the id of the last request to each answer that a text begins and that has none, as servers
 * do; buffers are written as they are.
 */
function addRequestIds(socket: Socket, getId: () => string): void {
  const write = socket.write.bind(socket);
  const end = socket.end.bind(socket);
  const addId = (value: unknown): never => {
    const isAnswer = typeof value === 'string' && /^HTTP\/1\.1 [^1].*\r\n/.test(value);
    const hasId = isAnswer && value.toLowerCase().includes(`${REQUEST_ID_HEADER}:`);
    const result =
      isAnswer && !hasId
        ? value.replace('\r\n', `\r\n${REQUEST_ID_HEADER}: ${getId()}\r\n`)
        : value;
    return result as never;
  };
  socket.write = (value: unknown, ...rest: never[]) => write(addId(value), ...rest);
  socket.end = (value?: unknown, ...rest: never[]) => end(addId(value), ...rest);
}

function parseRequest(text: string, socket: Socket) {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const [line = '', ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers: Record<string, string> = {};
  for (const each of lines) {
    const colon = each.indexOf(':');
    headers[each.slice(0, colon).toLowerCase()] = each.slice(colon + 1).trim();
  }
  const bodyBytes = Number(headers['content-length'] ?? 0);
  const bytes = headEnd + 4 + bodyBytes;
  if (text.length < bytes) return undefined;
  const body = text.slice(headEnd + 4, bytes);
  return { bytes, request: { line, headers, body, socket, closed: false } };
}
