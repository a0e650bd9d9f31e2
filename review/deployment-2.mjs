/**
 * A small deployment on loopback addresses: the store, workers and clients are stand-ins, the
 * entries and agents are the built programs, each a process of its own that is started with the
 * command of `deploy/system.toml`.
 */
import { fork, spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { request as sendRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { startStore } from './store-2.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
export const ROOT = join(HERE, '..');
const ENTRY = ['--max-old-space-size=96', '--max-semi-space-size=4', 'target/masticbend-entry.cjs'];
const AGENT = ['--max-old-space-size=48', '--max-semi-space-size=2', 'target/masticbend-agent.cjs'];
const CONTRACTS = 'base,drain,config,cost,retry,recover,engine,stream,tenants,quota,platform';
/** The bounds of the small deployments in SYSTEM.md. */
const BOUNDS = `[bounds]
graceS = 8
keyFreshnessMs = 5000
configurationMs = 2000
leavingMs = 2000
repeatRatio = 0.2
repeatSlack = 54
repeatWindowS = 10
limitWindowS = 8
`;
const HOST = 'desk.example';
const KEY = 'key-1';
const PING_MS = 1_200;
/** Concurrent requests of a worker, by its service. */
const SLOTS = { desk: 11, ledger: 6 };

export const wait = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

async function findPort(host) {
  const server = createServer();
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/**
 * A configuration with two services, as in SYSTEM.md: `desk`, an engine behind a route of streams
 * that may be resumed, and `ledger`, a plain application behind a route of each other kind.
 */
export function createConfiguration(version) {
  const common = { host: HOST, slo_ms: 400, priority: 1, anonymous: false };
  const plain = { ...common, service: 'ledger', timeout_ms: 4_000 };
  return {
    version,
    routes: [
      { ...plain, name: 'book', prefix: '/book/', route_kind: 'non_idempotent', max_attempts: 1 },
      { ...plain, name: 'look', prefix: '/look/', route_kind: 'idempotent', max_attempts: 2 },
      {
        ...common,
        name: 'draft',
        prefix: '/draft/',
        service: 'desk',
        route_kind: 'streaming',
        timeout_ms: 12_000,
        gap_slo_ms: 300,
        max_attempts: 2,
        resumable: true,
        sticky: true,
      },
    ],
    services: [
      {
        name: 'desk',
        health_path: '/healthz',
        max_conns: 360,
        engine: { slots: 11, kv_capacity: 521_614, stride: 5 },
      },
      { name: 'ledger', health_path: '/healthz', max_conns: 100 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'bakery', api_keys: [KEY], priority: 1 }],
  };
}

/** Returns the text of a request without a body, for clients that write it to a channel. */
export function formatRequest(path, id, deadlineMs = 4_000) {
  const lines = [
    `GET ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Masticbend-Attempt-Id: ${id}`,
    `X-Masticbend-Deadline-Ms: ${deadlineMs}`,
    `X-Masticbend-Key: ${KEY}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** Starts nothing yet; `recordPath` gets what is sent, answered and run. */
export async function createDeployment(recordPath) {
  const startedAt = Date.now();
  writeFileSync(recordPath, '');
  const folder = mkdtempSync(join(tmpdir(), 'review-2-'));
  const children = new Set();
  const runs = [];
  const store = await startStore();
  const meshPort = await findPort('127.0.0.1');
  const metricsPort = await findPort('127.0.0.1');

  function record(line) {
    const at = ((Date.now() - startedAt) / 1_000).toFixed(3).padStart(8);
    appendFileSync(recordPath, `${at} ${line}\n`);
  }

  function recordEnd(child, name) {
    children.add(child);
    child.once('exit', (code, signal) => {
      children.delete(child);
      record(`${name} ended: ${signal ?? code}`);
    });
    return child;
  }

  function startProgram(name, args, settings) {
    const path = join(folder, `${name}.toml`);
    writeFileSync(path, settings);
    const log = join(folder, `${name}.log`);
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, MASTICBEND_CONFIG: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (bytes) => appendFileSync(log, bytes));
    }
    record(`${name} started, process ${child.pid}`);
    return recordEnd(child, name);
  }

  async function startEntry(number, { isFirstStart = true, like } = {}) {
    const host = `127.0.3.${number}`;
    const port = like?.port ?? (await findPort(host));
    const readyPort = like?.readyPort ?? (await findPort(host));
    const settings = `instance = "edge-${number}"
dataCentre = "z1"
callerAddress = "${host}:${port}"
readinessAddress = "${host}:${readyPort}"
meshAddress = "${host}:${meshPort}"
metricsAddress = "${host}:${metricsPort}"
storeAddress = "${store.address}"
isFirstStart = ${isFirstStart}
contracts = "${CONTRACTS}"
${BOUNDS}`;
    const child = startProgram(`edge-${number}`, ENTRY, settings);
    return { child, host, port, readyPort, log: join(folder, `edge-${number}.log`) };
  }

  function startAgent(number) {
    const host = `127.0.2.${number}`;
    const settings = `instance = "side-${number}"
meshAddress = "${host}:${meshPort}"
metricsAddress = "${host}:${metricsPort}"
contracts = "${CONTRACTS}"
`;
    return startProgram(`side-${number}`, AGENT, settings);
  }

  /** Writes the entry of a worker, complete as on the page of the platform. */
  function register(worker) {
    worker.sequence += 1;
    const { service, address, version, bornAt, sequence } = worker;
    store.put('servers', worker.id, {
      service,
      address,
      zone: 'z1',
      version,
      slots: SLOTS[service],
      state: 'ready',
      cold_left_ms: 0,
      born: bornAt,
      sequence,
    });
  }

  function recordRun(message) {
    const { kind, server, request, path, after = '-', event, events } = message;
    runs.push(message);
    if (kind === 'event') record(`worker ${server}: event ${event} of ${request}`);
    else {
      record(`worker ${server}: ${kind} ${request} ${path} after=${after} events=${events ?? 0}`);
    }
  }

  /** Starts a worker, which is registered in the store at each ping until it ends. */
  async function startWorker(service, number, behaviour = {}, { version = 'v1', like } = {}) {
    const id = `i-${service}-${number}`;
    const host = `127.0.2.${number}`;
    const args = [id, host, like?.address.split(':')[1] ?? '0', version];
    const child = recordEnd(fork(join(HERE, 'worker-2.mjs'), args), `worker ${id}`);
    child.send(behaviour);
    const worker = { id, child, service, version, bornAt: Date.now(), sequence: 0 };
    const port = await new Promise((resolve) => {
      child.on('message', (message) => {
        if (message.kind === 'listening') resolve(message.port);
        else recordRun(message);
      });
    });
    worker.address = `${host}:${port}`;
    record(`worker ${id} of ${service}, version ${version}, listens on ${worker.address}`);
    register(worker);
    const pings = setInterval(() => register(worker), PING_MS);
    child.once('exit', () => {
      clearInterval(pings);
      // Its entry is removed after three ping intervals of silence.
      worker.removal = setTimeout(() => store.remove('servers', id), 3 * PING_MS);
      worker.removal.unref();
    });
    clearTimeout(like?.removal);
    if (service === 'desk' && !like) startAgent(number);
    return worker;
  }

  /** Sends one request, and collects its answer until its end, however it ends. */
  function call(entry, path, id, { agent = false, timeoutMs = 12_000 } = {}) {
    const method = path.startsWith('/look/') ? 'GET' : 'POST';
    record(`client: ${id} ${method} ${path} to ${entry.host}`);
    const headers = {
      host: HOST,
      'x-masticbend-attempt-id': id,
      'x-masticbend-deadline-ms': String(timeoutMs),
      'x-masticbend-key': KEY,
    };
    const { host, port } = entry;
    return new Promise((resolve) => {
      let body = '';
      let answer = {};
      function finish(end) {
        const stamp = answer.headers?.['x-masticbend-server-stamp'];
        const bytes = body.length;
        record(`client: ${id} status=${answer.status} stamp=${stamp} bytes=${bytes} end=${end}`);
        resolve({ id, path, ...answer, body, end });
      }
      const request = sendRequest({ host, port, path, method, agent, headers }, (response) => {
        answer = { status: response.statusCode, headers: response.headers };
        response.setEncoding('latin1');
        response.on('data', (text) => {
          body += text;
        });
        response.on('end', () => finish('complete'));
        response.on('error', (error) => finish(error.code ?? error.message));
      });
      request.on('error', (error) => {
        if (!answer.status) finish(error.code ?? error.message);
      });
      request.end(method === 'POST' ? `body of ${id}` : undefined);
    });
  }

  async function isReady(entry) {
    return new Promise((resolve) => {
      const request = sendRequest(
        { host: entry.host, port: entry.readyPort, path: '/v1/readyz', agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('error', () => resolve(false));
      request.end();
    });
  }

  async function waitReady(entry, limitMs = 15_000) {
    const until = Date.now() + limitMs;
    while (!(await isReady(entry))) {
      if (Date.now() > until) throw new Error(`${entry.host} does not become ready`);
      await wait(50);
    }
  }

  /** Resolves at the next ping of a worker. */
  async function waitPing(worker) {
    const { sequence } = worker;
    while (worker.sequence === sequence) await wait(5);
  }

  function kill(child, signal = 'SIGKILL') {
    record(`signal ${signal} to process ${child.pid}`);
    child.kill(signal);
  }

  async function close() {
    const ends = [...children].map(
      (child) =>
        new Promise((resolve) => {
          child.once('exit', resolve);
          child.kill('SIGKILL');
        }),
    );
    await Promise.all(ends);
    store.close();
    if (!process.env.KEEP_LOGS) rmSync(folder, { recursive: true, force: true });
    else record(`logs in ${folder}`);
  }

  return {
    store,
    runs,
    record,
    startEntry,
    startWorker,
    call,
    waitReady,
    waitPing,
    kill,
    close,
  };
}

/** Runs a case: `run` returns whether the rule held. Exits with 0, 1, or 2 if it could not run. */
export async function runCase(recordPath, run) {
  let deployment;
  let code = 2;
  const limit = setTimeout(() => {
    process.stderr.write('the case took too long\n');
    deployment?.close().finally(() => process.exit(2));
  }, 110_000);
  try {
    deployment = await createDeployment(recordPath);
    const isKept = await run(deployment, process.env.TROUBLE !== '0');
    code = isKept ? 0 : 1;
    deployment.record(isKept ? 'the rule held' : 'the rule was broken');
  } catch (error) {
    process.stderr.write(`${error.stack}\n`);
    deployment?.record(`could not run: ${error.message}`);
  }
  clearTimeout(limit);
  await deployment?.close();
  process.exit(code);
}
