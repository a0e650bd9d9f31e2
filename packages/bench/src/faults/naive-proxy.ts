#!/usr/bin/env node
/**
 * A naive scheduler that shows that the checks of the fault matrix detect violations. It sends each
 * request to the backend server with the fewest open calls, retries it after any failure or
 * inactivity timeout, ignores idempotency keys, and ends a stream properly wherever its backend
 * server stopped.
 *
 * Arguments: port, then `model` or `service` with a URL for each backend server.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { Pool } from 'undici';

/** Time without data from a backend server after which the attempt fails, in milliseconds. */
const INACTIVITY_TIMEOUT_MS = 1_000;
const MAX_ATTEMPTS = 3;
const SERVICE_PREFIX = '/services/parcels';

interface Backend {
  kind: string;
  pool: Pool;
  openCalls: number;
}

const [port, ...pairs] = process.argv.slice(2);
const backends: Backend[] = pairs.map((pair) => {
  const [kind, url] = pair.split('=');
  return { kind: kind!, pool: new Pool(url!, { connections: 64 }), openCalls: 0 };
});

async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  const url = request.url ?? '/';
  if (url === '/readyz') {
    response.end('{}');
    return;
  }
  const kind = url.startsWith(SERVICE_PREFIX) ? 'service' : 'model';
  const path = url.replace(SERVICE_PREFIX, '');
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const isAnswered = await tryBackend(kind, path, request, Buffer.concat(chunks), response);
    if (isAnswered) return;
  }
  response.writeHead(503, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ error: { kind: 'overloaded', ran: 'no' } }));
}

async function tryBackend(
  kind: string,
  path: string,
  request: IncomingMessage,
  body: Buffer,
  response: ServerResponse,
): Promise<boolean> {
  const [backend] = backends
    .filter((candidate) => candidate.kind === kind)
    .sort((left, right) => left.openCalls - right.openCalls);
  if (!backend) return false;
  backend.openCalls += 1;
  try {
    const answer = await backend.pool.request({
      method: request.method ?? 'GET',
      path,
      body: body.length > 0 ? body : null,
      headersTimeout: INACTIVITY_TIMEOUT_MS,
      bodyTimeout: INACTIVITY_TIMEOUT_MS,
    });
    response.writeHead(answer.statusCode, { 'content-type': 'application/json' });
    for await (const chunk of answer.body) response.write(chunk);
    response.end();
    return true;
  } catch {
    if (!response.headersSent) return false;
    response.end();
    return true;
  } finally {
    backend.openCalls -= 1;
  }
}

createServer((request, response) => {
  handleRequest(request, response).catch(() => response.destroy());
}).listen(Number(port), '127.0.0.1');
