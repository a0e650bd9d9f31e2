/**
 * Stand-in of a worker, a process of its own that is forked by `deployment-2.mjs`. It answers as
 * PROTOCOL.md asks: it echoes the attempt id, signs its answers, answers 421 where another instance
 * is expected, resumes a stream after `Last-Event-Id`, and drops a request whose channel closes. It
 * reports to its parent when a request begins to run and when it ends. `behaviour` messages of the
 * parent say how it runs requests.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import process from 'node:process';
import { setTimeout } from 'node:timers';

const [, , id, host, port, version] = process.argv;
/** How requests run; the parent changes it. */
const behaviour = {
  /** Events of a stream, the time between two of them, and before the first one. */
  events: 20,
  gapMs: 50,
  firstMs: 20,
  /** After this event, the stream pauses for `pauseMs`. */
  pauseAfter: 0,
  pauseMs: 0,
  /** Time of a plain answer, its size, and the parts in which it is sent. */
  workMs: 30,
  bodyBytes: 800,
  parts: 1,
  partMs: 0,
  /** Answers have no length and end with their channel. */
  unframed: false,
  /** Answers announce the close of their channel. */
  closing: false,
};

function report(message) {
  process.send?.({ at: Date.now(), server: id, ...message });
}

function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function describe({ headers, url }) {
  return {
    request: headers['x-masticbend-attempt-id'],
    path: url,
    tenant: headers['x-masticbend-tenant'],
    after: headers['last-event-id'],
  };
}

function openAnswer(request, response, type) {
  const headers = {
    'content-type': type,
    'x-masticbend-attempt-id': request.headers['x-masticbend-attempt-id'] ?? '',
    'x-masticbend-server-stamp': `stamp.${id}`,
  };
  if (behaviour.closing) headers.connection = 'close';
  if (behaviour.unframed) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    headers.connection = 'close';
  }
  return headers;
}

async function runStream(request, response, run) {
  const { events, gapMs, firstMs, pauseAfter, pauseMs } = behaviour;
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  await wait(firstMs);
  if (run.isDropped) return;
  response.writeHead(200, openAnswer(request, response, 'text/event-stream'));
  response.flushHeaders();
  for (let event = first; event <= events; event += 1) {
    if (run.isDropped) return;
    response.write(`id: ${event}\ndata: piece ${event} of ${events} by ${version}\n\n`);
    run.events += 1;
    report({ kind: 'event', event, ...describe(request) });
    await wait(event === pauseAfter ? pauseMs : gapMs);
  }
  if (!run.isDropped) response.end();
}

async function runPlain(request, response, run) {
  const { workMs, bodyBytes, parts, partMs, unframed } = behaviour;
  await wait(workMs);
  if (run.isDropped) return;
  const body = Buffer.alloc(bodyBytes, `${id}.`);
  const headers = openAnswer(request, response, 'application/octet-stream');
  response.writeHead(200, unframed ? headers : { ...headers, 'content-length': bodyBytes });
  const partBytes = Math.ceil(bodyBytes / parts);
  for (let at = 0; at < bodyBytes; at += partBytes) {
    if (run.isDropped) return;
    response.write(body.subarray(at, at + partBytes));
    if (at + partBytes < bodyBytes) await wait(partMs);
  }
  response.end();
}

const server = createServer((request, response) => {
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  request.on('end', async () => {
    if (request.url === '/healthz') {
      response.writeHead(200, { 'x-masticbend-instance-id': id }).end();
      return;
    }
    const expected = request.headers['x-masticbend-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'x-masticbend-instance-id': id }).end();
      return;
    }
    const run = { isDropped: false, events: 0 };
    report({ kind: 'start', ...describe(request) });
    response.on('close', () => {
      run.isDropped = !response.writableFinished;
      report({ kind: run.isDropped ? 'dropped' : 'end', ...describe(request), events: run.events });
    });
    if (request.url.startsWith('/draft/')) await runStream(request, response, run);
    else await runPlain(request, response, run);
  });
});

process.on('message', (message) => Object.assign(behaviour, message));
process.on('disconnect', () => process.exit(0));
server.keepAliveTimeout = 20_000;
server.listen(Number(port), host, () => report({ kind: 'listening', port: server.address().port }));
