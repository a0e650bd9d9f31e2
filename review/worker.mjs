/* global performance, setTimeout, setInterval, clearInterval, Buffer */
/** Stand-in of an application worker, after PROTOCOL.md. */
import { createServer } from 'node:http';
import { HEARTBEAT_MS } from './platform.mjs';

/** Version of the weights of all models. */
const WEIGHT_VERSION = '1';
/** Ends of a stream that a client can recognise as whole. */
const LAST_EVENT = 'last';

export async function startWorker({ id, host, service, platform, record, ...options }) {
  const { slots = 6, workMs = 60, zone = 'ota', version = 'v1' } = options;
  /** Present where the worker answers with streams. */
  const { events = 0, eventMs = 50, firstMs = 0 } = options;
  const state = { isLeaving: false, isPinging: true, isGone: false };
  const born = Date.now();
  const arrivals = [];
  const sockets = new Set();
  let running = 0;
  const waiting = [];

  function startNext() {
    while (running < slots && waiting.length > 0) waiting.shift()();
  }

  function answer(request, response, body) {
    const attempt = String(request.headers['x-masticbend-attempt-id'] ?? '');
    response.setHeader('x-masticbend-attempt-id', attempt);
    if (state.isLeaving) response.setHeader('server-leaving', '1');
    const expected = request.headers['x-masticbend-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'x-masticbend-instance-id': id });
      response.end();
      return;
    }
    const expectedVersion = request.headers['x-masticbend-expect-version'];
    if (expectedVersion !== undefined && expectedVersion !== WEIGHT_VERSION) {
      record('worker', `${id} answers 421 to ${attempt}, which expects version ${expectedVersion}`);
      response.writeHead(421, { 'x-masticbend-instance-id': id });
      response.end();
      return;
    }
    const arrival = { attempt, at: performance.now(), key: request.headers['x-test-key'] };
    arrivals.push(arrival);
    record('worker', `${id} gets ${attempt}`);
    waiting.push(() => {
      if (response.destroyed) return;
      running += 1;
      record('worker', `${id} runs ${attempt}`);
      arrival.hasRun = true;
      if (events > 0) {
        setTimeout(() => sendEvents(request, response, arrival), firstMs);
        return;
      }
      setTimeout(() => {
        running -= 1;
        if (!response.destroyed) {
          response.writeHead(200, {
            'x-masticbend-server-stamp': `stamp.${id}.${attempt}`,
            'content-type': 'text/plain',
          });
          response.end(`done ${attempt} ${body.length}`);
        }
        startNext();
      }, workMs);
    });
    startNext();
  }

  /** Each event names what wrote it. */
  function sendEvents(request, response, { attempt }) {
    if (response.destroyed) {
      running -= 1;
      startNext();
      return;
    }
    if (state.isLeaving) response.setHeader('server-leaving', '1');
    let event = Number(request.headers['last-event-id'] ?? 0);
    response.writeHead(200, {
      'x-masticbend-server-stamp': `stamp.${id}.${attempt}`,
      'content-type': 'text/event-stream',
    });
    const eventTimer = setInterval(() => {
      event += 1;
      const end = event === events ? ` ${LAST_EVENT}` : '';
      response.write(`id: ${event}\ndata: ${service} ${version} ${event}${end}\n\n`);
      if (event >= events) response.end();
    }, eventMs);
    response.once('close', () => {
      clearInterval(eventTimer);
      running -= 1;
      startNext();
    });
  }

  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('end', () => answer(request, response, Buffer.concat(chunks).toString()));
  });
  server.keepAliveTimeout = 20_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const ownAddress = `${host}:${server.address().port}`;
  options.relay?.setTarget(ownAddress);
  const address = options.relay?.address ?? ownAddress;
  let timer;
  const worker = {
    id,
    address,
    state,
    arrivals,
    describe: () => ({
      service,
      address,
      zone,
      version,
      slots,
      state: state.isLeaving ? 'draining' : 'ready',
      cold_left_ms: 0,
      born,
    }),
    /** The process ends: its connections break. */
    exit() {
      if (state.isGone) return;
      state.isGone = true;
      clearInterval(timer);
      server.close();
      for (const socket of sockets) socket.destroy();
      record('worker', `${id} exits`);
    },
  };
  timer = setInterval(() => {
    if (state.isPinging) platform.ping(worker);
  }, HEARTBEAT_MS);
  platform.ping(worker);
  return worker;
}
