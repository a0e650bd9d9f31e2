// A stand-in of clients: sends requests on kept channels and records what comes back.
import { Buffer } from 'node:buffer';
import { Agent, request as openRequest } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const TICK_MS = 5;
/** Time for which a client waits beyond its time limit. */
const PATIENCE_MS = 500;

/** Returns clients with kept channels to entries; `record` gets each request and its end. */
export function createClient(record) {
  const agent = new Agent({ keepAlive: true, maxSockets: 400 });
  let lastId = 0;

  /** Sends one request with an id of its own; the fields of `note` go into the record. */
  function send({ to, method = 'POST', host, path, headers, body, deadlineMs = 3_000, note }) {
    lastId += 1;
    const id = `c0ffee${String(lastId).padStart(10, '0')}`;
    record({ event: 'sent', id, to: to.host, ...note });
    const state = { isOver: false };
    const finish = (outcome) => {
      if (state.isOver) return;
      state.isOver = true;
      record({ event: 'answered', id, ...outcome });
    };
    const request = openRequest(
      {
        agent,
        host: to.host,
        port: to.port,
        method,
        path,
        headers: {
          host,
          'x-masticbend-attempt-id': id,
          'x-masticbend-deadline-ms': String(deadlineMs),
          ...headers,
          ...(body !== undefined && { 'content-length': Buffer.byteLength(body) }),
        },
      },
      (response) => {
        response.resume();
        response.on('error', () => finish({ status: 0, reason: 'broken off' }));
        response.on('end', () =>
          finish({
            status: response.statusCode,
            stamp: response.headers['x-masticbend-server-stamp'],
          }),
        );
      },
    );
    request.on('error', (error) => finish({ status: 0, reason: error.code }));
    setTimeout(() => {
      if (!state.isOver) request.destroy();
    }, deadlineMs + PATIENCE_MS).unref();
    request.end(body);
  }

  return { send, close: () => agent.destroy() };
}

/** Calls `send` with a running number, `ratePerS` times a second, whatever becomes of it. */
export function startLoad(ratePerS, send) {
  const state = { rate: ratePerS, sent: 0, due: 0, at: performance.now() };
  const timer = setInterval(() => {
    const now = performance.now();
    state.due += ((now - state.at) / 1_000) * state.rate;
    state.at = now;
    while (state.sent < state.due) {
      state.sent += 1;
      send(state.sent);
    }
  }, TICK_MS);
  return {
    setRate(rate) {
      state.rate = rate;
    },
    countSent: () => state.sent,
    stop: () => clearInterval(timer),
  };
}
