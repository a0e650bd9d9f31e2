// A stand-in of a worker: `slots` requests at the same time, a queue behind them, and the headers
// that PROTOCOL.md names.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';

const QUEUE = 24;
const BODY = 'x'.repeat(800);

/**
 * Starts a worker and registers it in the store. `run` is called when a request begins to run and
 * returns the status of its answer; `record` gets an event for each arrival, refusal and run.
 */
export async function startWorker({ store, host, port, id, service, slots = 6, workMs, ...rest }) {
  const { record, run = () => 200 } = rest;
  const born = Date.now();
  const waiting = [];
  const sockets = new Set();
  let running = 0;
  let stamps = 0;

  function answer({ response, attempt }, status, headers, body) {
    if (response.destroyed) return;
    response.writeHead(status, {
      'x-masticbend-attempt-id': attempt,
      'x-masticbend-instance-id': id,
      'content-length': Buffer.byteLength(body),
      ...headers,
    });
    response.end(body);
  }

  function refuse(call, status) {
    record({ event: 'rejected', id: call.attempt, worker: id, status });
    answer(call, status, { 'x-masticbend-not-executed': '1' }, '');
  }

  function start(call) {
    const { request, attempt } = call;
    const status = run();
    const tenant = request.headers['x-masticbend-tenant'];
    running += 1;
    stamps += 1;
    const stamp = `${id}.${stamps}`;
    record({ event: 'run', id: attempt, worker: id, status, tenant });
    setTimeout(() => {
      running -= 1;
      answer(call, status, { 'x-masticbend-server-stamp': stamp }, BODY);
      startNext();
    }, workMs);
  }

  function startNext() {
    while (running < slots && waiting.length > 0) {
      const call = waiting.shift();
      // A client that has closed its channel no longer waits.
      if (!call.response.destroyed) {
        if (performance.now() >= call.endsAt) refuse(call, 503);
        else start(call);
      }
    }
  }

  const server = createServer((request, response) => {
    const attempt = request.headers['x-masticbend-attempt-id'] ?? '';
    const expected = request.headers['x-masticbend-expect-instance'];
    const deadlineMs = Number(request.headers['x-masticbend-deadline-ms'] ?? 60_000);
    const call = { request, response, attempt, endsAt: performance.now() + deadlineMs };
    request.resume();
    request.on('end', () => {
      record({ event: 'arrival', id: attempt, worker: id });
      if (expected !== undefined && expected !== id) refuse(call, 421);
      else if (waiting.length >= QUEUE) refuse(call, 503);
      else {
        waiting.push(call);
        startNext();
      }
    });
  });
  server.keepAliveTimeout = 10_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(port, host, resolve);
  });
  const register = (state) =>
    registerWorker(store, { id, host, port, service, slots, born, state });
  register('ready');
  return {
    id,
    register,
    /** Removes the registration and ends the worker. */
    end() {
      store.remove('servers', id);
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Writes the row of a worker. */
export function registerWorker(store, { id, host, port, service, slots = 6, born, state }) {
  store.put('servers', id, {
    service,
    address: `${host}:${port}`,
    zone: 'wien-nord',
    version: 'v1',
    slots,
    state,
    cold_left_ms: 0,
    sequence: 1,
    born,
  });
}
