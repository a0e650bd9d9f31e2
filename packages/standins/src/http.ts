/** HTTP server of every stand-in, with faults that are injected through `/_control`. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Faults that can be injected into a stand-in. */
export interface Faults {
  /** Closes the connection of every request without an answer. */
  down: boolean;
  /** Delay before each request is handled, in milliseconds. */
  delayMs: number;
  /** Number of answers to lose: the request is executed, then the connection is closed. */
  loseAnswers: number;
}

/** A running stand-in. */
export interface StandIn<FaultSet extends Faults = Faults> {
  url: string;
  port: number;
  faults: FaultSet;
  close: () => Promise<void>;
  /** Closes every open connection; new ones are accepted. */
  cutConnections: () => void;
}

/** Answers one request, whose body has been read completely. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: Buffer,
) => void | Promise<void>;

const CONTROL_PATH = '/_control';
/** Time an idle connection is kept open. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Returns faults that are all off. */
export function createFaults(): Faults {
  return { down: false, delayMs: 0, loseAnswers: 0 };
}

/**
 * Starts a stand-in on loopback; port 0 selects any free port. `onArrival` receives every body that
 * is not empty, also while the stand-in is down.
 */
export async function startStandIn<FaultSet extends Faults = Faults>(
  port: number,
  handle: Handler,
  faults: FaultSet = createFaults() as FaultSet,
  onArrival: (body: Buffer) => void = () => undefined,
): Promise<StandIn<FaultSet>> {
  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    if (request.url === CONTROL_PATH) {
      setFaults(faults, body, response);
      return;
    }
    if (body.length > 0 && request.url !== CONTROL_PATH) onArrival(body);
    if (faults.down) {
      request.socket.destroy();
      return;
    }
    if (faults.delayMs > 0) await waitFor(faults.delayMs);
    await handle(request, response, body);
  }

  const server: Server = createServer((request, response) => {
    handleRequest(request, response).catch(() => request.socket.destroy());
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const boundPort = (server.address() as AddressInfo).port;
  return {
    url: `http://127.0.0.1:${boundPort}`,
    port: boundPort,
    faults,
    cutConnections: () => server.closeAllConnections(),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  });
  response.end(body);
}

export function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** If an answer is to be lost, decrements `loseAnswers`, closes the connection and returns true. */
export function dropAnswer(faults: Faults, response: ServerResponse): boolean {
  if (faults.loseAnswers <= 0) return false;
  faults.loseAnswers -= 1;
  response.destroy();
  return true;
}

function setFaults(faults: Faults, body: Buffer, response: ServerResponse): void {
  const requestedFaults = JSON.parse(body.toString('utf8') || '{}') as object;
  const unknownKey = Object.keys(requestedFaults).find((key) => !Object.hasOwn(faults, key));
  if (unknownKey !== undefined) {
    sendJson(response, 400, { error: `there is no fault "${unknownKey}"` });
    return;
  }
  Object.assign(faults, requestedFaults);
  sendJson(response, 200, faults);
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
}
