/* global performance, setInterval, clearInterval */
/**
 * One client pins a version of the weights that the workers do not have any more. Are the requests
 * of the others still served?
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createClient } from './client.mjs';
import { createDeployment } from './deployment.mjs';
import { createPlatform } from './platform.mjs';
import { HAS_TROUBLE, ROOT, runScript, wait } from './script.mjs';
import { startStore } from './store.mjs';
import { startWorker } from './worker.mjs';

const INTERVAL_MS = 40;
const PINNED_INTERVAL_MS = 100;
const WATCH_MS = 40_000;
const SETTLE_MS = 4_000;

const ROUTE = {
  host: 'ledger.example',
  slo_ms: 400,
  priority: 1,
  max_attempts: 1,
  anonymous: false,
};
const CONFIGURATION = {
  version: 7,
  routes: [
    {
      ...ROUTE,
      name: 'r-review',
      prefix: '/review/',
      route_kind: 'streaming',
      timeout_ms: 15000,
      service: 'desk',
      sticky: true,
      resumable: false,
      gap_slo_ms: 300,
    },
    {
      ...ROUTE,
      name: 'r-order',
      prefix: '/order/',
      route_kind: 'non_idempotent',
      timeout_ms: 3000,
      service: 'ledger',
    },
  ],
  services: [
    {
      name: 'desk',
      health_path: '/healthz',
      max_conns: 360,
      protocol: 'h1',
      engine: { slots: 11, kv_capacity: 521614, stride: 5, models: [{ name: 'm' }] },
    },
    { name: 'ledger', health_path: '/healthz', max_conns: 100, protocol: 'h1' },
  ],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
  tenants: [{ name: 'clerk', api_keys: ['key-1'], priority: 1, rate_per_s: 0 }],
};

runScript(dirname(fileURLToPath(import.meta.url)), async (record, cleanups) => {
  const store = await startStore('127.0.0.1');
  cleanups.push(store.close);
  const platform = createPlatform(store, record);
  cleanups.push(platform.close);
  for (let index = 1; index <= 6; index += 1) {
    const isEngine = index <= 4;
    const worker = await startWorker({
      id: `i-w${index}`,
      host: `127.0.1.${index}`,
      service: isEngine ? 'desk' : 'ledger',
      platform,
      record,
      ...(isEngine && { slots: 11, events: 10, eventMs: 40, firstMs: 200 }),
    });
    cleanups.push(worker.exit);
  }
  store.put('op', 'config', CONFIGURATION);
  const deployment = await createDeployment({ root: ROOT, storeAddress: store.address, record });
  cleanups.push(deployment.close);
  for (let index = 1; index <= 4; index += 1) {
    deployment.startAgent(`side-${index}`, `127.0.1.${index}`, 'ota');
  }
  const entries = [
    deployment.startEntry('edge-1', '127.0.0.11', 'ota'),
    deployment.startEntry('edge-2', '127.0.0.12', 'ikeja'),
  ];
  for (const entry of entries) await deployment.waitUntilReady(entry);
  const client = createClient({ record });
  cleanups.push(client.close);
  const pinned = createClient({ record });
  cleanups.push(pinned.close);
  let turn = 0;
  const traffic = setInterval(() => {
    turn += 1;
    const { front } = entries[turn % entries.length];
    const path = turn % 4 < 2 ? '/review/1' : '/order/1';
    client.send(front, { path, key: 'key-1', deadlineMs: 12_000 });
  }, INTERVAL_MS);
  cleanups.push(() => clearInterval(traffic));
  await wait(3_000);
  const startedAt = performance.now();
  if (HAS_TROUBLE) {
    let pinnedTurn = 0;
    const pinnedTraffic = setInterval(() => {
      pinnedTurn += 1;
      const { front } = entries[pinnedTurn % entries.length];
      const headers = { 'x-masticbend-expect-version': '0' };
      pinned.send(front, { path: '/review/1', key: 'key-1', deadlineMs: 12_000, headers });
    }, PINNED_INTERVAL_MS);
    cleanups.push(() => clearInterval(pinnedTraffic));
    record('client', 'one client begins to pin version 0');
  }
  await wait(WATCH_MS);
  clearInterval(traffic);
  await wait(2_000);
  const computeServed = (calls) => {
    const served = calls.filter(({ status }) => status === 200).length;
    return { text: `${served} of ${calls.length}`, share: served / calls.length };
  };
  const isReview = ({ path }) => path === '/review/1';
  const all = [...client.sent, ...pinned.sent];
  const whole = computeServed(all);
  const reviews = computeServed(all.filter(isReview));
  const others = computeServed(client.sent.filter(isReview));
  const last = computeServed(
    client.sent.filter((call) => isReview(call) && call.at > startedAt + SETTLE_MS),
  );
  const text = `of all requests ${whole.text} are served, of /review/ ${reviews.text}, of those that pin nothing ${others.text}, of these after the first ${SETTLE_MS} ms ${last.text}`;
  record('script', text);
  return reviews.share < whole.share / 4 ? [`Starved: ${text}`] : [];
});
