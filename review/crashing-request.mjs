/* global performance, setInterval, setTimeout, clearInterval */
/**
 * A request crashes each worker that runs it, and all entries are killed at once after every second
 * crash. Is it kept from the workers after its third crash?
 */
import { createServer } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createClient } from './client.mjs';
import { BOUNDS, createDeployment } from './deployment.mjs';
import { createPlatform, HEARTBEAT_MS } from './platform.mjs';
import { HAS_TROUBLE, ROOT, runScript, wait } from './script.mjs';
import { startStore } from './store.mjs';

const WORKERS = 6;
const LIVES = 5;
const CRASHES_PER_LIFE = 2;
const TRIES_PER_LIFE = 12;
const RUN_MS = 60;
const BACK_AFTER_MS = 2_000;
const KILL_PAUSE_MS = 5_000;
/** Time in which a killed entry is back. */
const RESTART_MS = 700;
const ALLOWED = 3;
const CRASHING_BODY = 'crash';

runScript(dirname(fileURLToPath(import.meta.url)), async (record, cleanups) => {
  const store = await startStore('127.0.0.1');
  cleanups.push(store.close);
  const platform = createPlatform(store, record);
  cleanups.push(platform.close);
  const crashes = [];
  const arrivals = [];
  let lives = 0;

  async function startCrashable(host) {
    lives += 1;
    const id = `i-w${lives}`;
    const born = Date.now();
    const sockets = new Set();
    let isGone = false;
    let beat;
    const server = createServer();
    function closeAll() {
      isGone = true;
      clearInterval(beat);
      server.close();
      for (const socket of sockets) socket.destroy();
    }
    function handleCrash() {
      if (isGone) return;
      crashes.push(performance.now());
      record('worker', `${id} crashes, the ${crashes.length}. crash`);
      closeAll();
      setTimeout(() => startCrashable(host), BACK_AFTER_MS);
    }
    function answer(request, response, body) {
      const attempt = request.headers['x-masticbend-attempt-id'];
      response.setHeader('x-masticbend-attempt-id', attempt);
      if (request.headers['x-masticbend-expect-instance'] !== id) {
        response.writeHead(421);
        response.end();
      } else if (body === CRASHING_BODY) {
        arrivals.push(performance.now());
        record('worker', `${id} gets the crashing request`);
        setTimeout(handleCrash, RUN_MS);
      } else {
        setTimeout(() => {
          if (response.destroyed) return;
          response.writeHead(200, { 'x-masticbend-server-stamp': `stamp.${attempt}` });
          response.end('done');
        }, RUN_MS);
      }
    }
    server.on('request', (request, response) => {
      let body = '';
      response.on('error', () => undefined);
      request.on('data', (chunk) => {
        body += chunk;
      });
      request.on('end', () => answer(request, response, body));
    });
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => sockets.delete(socket));
    });
    await new Promise((resolve) => {
      server.listen(0, host, resolve);
    });
    const address = `${host}:${server.address().port}`;
    const entry = { service: 'ledger', address, zone: 'ota', version: 'v1', slots: 6 };
    const worker = { id, describe: () => ({ ...entry, state: 'ready', cold_left_ms: 0, born }) };
    platform.ping(worker);
    beat = setInterval(() => platform.ping(worker), HEARTBEAT_MS);
    cleanups.push(closeAll);
  }

  for (let index = 1; index <= WORKERS; index += 1) await startCrashable(`127.0.1.${index}`);
  const route = { name: 'r', host: 'ledger.example', prefix: '/look-up/', service: 'ledger' };
  store.put('op', 'config', {
    version: 7,
    routes: [
      {
        ...route,
        route_kind: 'idempotent',
        timeout_ms: 3000,
        slo_ms: 400,
        max_attempts: 2,
        anonymous: true,
      },
    ],
    services: [{ name: 'ledger', health_path: '/healthz', max_conns: 100, protocol: 'h1' }],
    limits: {},
    tenants: [],
  });
  const deployment = await createDeployment({ root: ROOT, storeAddress: store.address, record });
  cleanups.push(deployment.close);
  const entries = [
    deployment.startEntry('edge-1', '127.0.0.11', 'ota'),
    deployment.startEntry('edge-2', '127.0.0.12', 'ikeja'),
  ];
  for (const entry of entries) await deployment.waitUntilReady(entry);
  const client = createClient({ record });
  cleanups.push(client.close);
  await wait(2_000);

  const killedAt = [];
  for (let life = 1; life <= LIVES; life += 1) {
    const known = crashes.length;
    for (let turn = 0; turn < TRIES_PER_LIFE; turn += 1) {
      if (crashes.length >= known + CRASHES_PER_LIFE) break;
      const { front } = entries[turn % entries.length];
      await client.send(front, { path: '/look-up/9', body: CRASHING_BODY, deadlineMs: 3_000 });
      await wait(200);
    }
    if (HAS_TROUBLE && life < LIVES) {
      record('platform', 'all entries are killed');
      killedAt.push(performance.now());
      for (const { child } of entries) child.kill('SIGKILL');
    }
    await wait(KILL_PAUSE_MS);
  }
  if (crashes.length < ALLOWED) throw new Error('the request crashed fewer than three workers');
  const isInTouch = (at) =>
    killedAt.every((killed) => at < killed || at > killed + RESTART_MS + BOUNDS.contact_ms);
  const late = arrivals.filter((at) => at > crashes[2] + BOUNDS.contact_ms && isInTouch(at));
  const text = `${crashes.length} crashes, ${late.length} arrivals later than contact_ms after the third`;
  record('script', text);
  return late.length > ALLOWED ? [`BUDGET: ${text}`] : [];
});
