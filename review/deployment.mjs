/* global performance, setTimeout, process, fetch */
/**
 * The project's own programs as separate processes, with the commands of `deploy/system.toml` and
 * settings from the templates in `platform/`. A process that ends is started again, as on the
 * platform. Ends only processes that it started.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const RESTART_DELAY_MS = 300;
const READY_CHECK_MS = 50;

export const BOUNDS = {
  contact_ms: 3000,
  drain_ms: 2000,
  grace_s: 8,
  config_apply_ms: 2000,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  retry_budget_slack: 54,
  budget_window_s: 10,
  quota_window_s: 8,
};
export const CONTRACTS =
  'base,drain,config,cost,retry,recover,engine,stream,tenants,quota,platform';

/** Fills in a template by the rules of DEPLOY.md, as far as the project's templates use them. */
function renderTemplate(text, fields) {
  const find = (name) => name.split('.').reduce((value, key) => value?.[key], fields);
  return text
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, name, inner) =>
      find(name) === undefined || find(name) === false ? '' : inner,
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(find(name) ?? ''));
}

export async function findPorts(host, count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, host, resolve);
    });
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) {
    await new Promise((resolve) => {
      server.close(resolve);
    });
  }
  return ports;
}

export async function createDeployment({ root, storeAddress, record, bounds = {}, ...options }) {
  const { contracts = CONTRACTS } = options;
  const folder = mkdtempSync(join(tmpdir(), 'masticbend-review-'));
  const [front, ready, mesh, metrics] = await findPorts('127.0.0.1', 4);
  const processes = [];
  let isClosing = false;

  function describe(name, host, zone, isFirst) {
    return {
      node_name: name,
      zone,
      ip: host,
      listen: { front: `${host}:${front}`, ready: `${host}:${ready}` },
      internal_ports: [mesh, metrics],
      platform: { address: storeAddress },
      first_start: isFirst,
      contracts,
      bounds: { ...BOUNDS, ...bounds },
    };
  }

  function start(program, name, host, zone, heapFlags, isFirstStart = true) {
    const template = readFileSync(join(root, `platform/${program}.template.toml`), 'utf8');
    const settings = join(folder, `${name}.toml`);
    const log = openSync(join(folder, `${name}.log`), 'a');
    const running = { name, host, zone, starts: 0, exits: [], isHeld: false };
    running.front = { host, port: front };
    running.readLog = () => readFileSync(join(folder, `${name}.log`), 'utf8');
    running.start = () => {
      if (isClosing || running.isHeld) return;
      const isFirst = isFirstStart && running.starts === 0;
      writeFileSync(settings, renderTemplate(template, describe(name, host, zone, isFirst)));
      running.starts += 1;
      running.child = spawn('node', [...heapFlags, `target/masticbend-${program}.cjs`], {
        cwd: root,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, MASTICBEND_CONFIG: settings },
        stdio: ['ignore', log, log],
      });
      record('deployment', `${name} starts (${running.starts})`);
      running.child.once('exit', (code, signal) => {
        running.exits.push({ at: performance.now(), code, signal });
        record('deployment', `${name} ends, code ${code} signal ${signal}`);
        setTimeout(running.start, RESTART_DELAY_MS);
      });
    };
    running.start();
    processes.push(running);
    return running;
  }

  return {
    folder,
    ports: { front, ready, mesh, metrics },
    startEntry: (name, host, zone, isFirstStart) =>
      start(
        'entry',
        name,
        host,
        zone,
        ['--max-old-space-size=96', '--max-semi-space-size=4'],
        isFirstStart,
      ),
    startAgent: (name, host, zone) =>
      start('agent', name, host, zone, ['--max-old-space-size=48', '--max-semi-space-size=2']),
    async waitUntilReady(entry, timeoutMs = 10_000) {
      const endAt = performance.now() + timeoutMs;
      while (performance.now() < endAt) {
        try {
          const answer = await fetch(`http://${entry.host}:${ready}/v1/readyz`);
          if (answer.status === 200) return;
        } catch {
          // It does not listen yet.
        }
        await new Promise((resolve) => {
          setTimeout(resolve, READY_CHECK_MS);
        });
      }
      throw new Error(`${entry.name} is not ready`);
    },
    async close() {
      isClosing = true;
      for (const { child } of processes) child.kill('SIGKILL');
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      if (process.env.KEEP_LOGS) record('deployment', `logs are kept in ${folder}`);
      else rmSync(folder, { recursive: true, force: true });
    },
  };
}
