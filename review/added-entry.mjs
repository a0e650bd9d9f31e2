// A machine is added while it is cut off from the other entries. It takes its share of a tenant's
// usage cap at once; the others read the list of entries only each nine seconds, and use all of it.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';
import { HAS_TROUBLE, runCase } from './case-3.mjs';
import { startLoad } from './client-3.mjs';
import {
  BOUNDS,
  createConfiguration,
  HOST,
  KEY,
  PREFIX,
  SERVICE,
  waitFor,
} from './deployment-3.mjs';
import { startWorker } from './worker-3.mjs';

const WORKERS = [1, 2, 3, 4];
const LIMIT = { unit: 'tokens', uncached_tokens: 200, rate_per_s: 281_523, burst: 281_523 };
const PROMPT_TOKENS = 6_000;
const OUTPUT_TOKENS = 300;
const TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS;
/** Requests a second of the tenant at each entry. */
const RATE_PER_S = 45;
const BEFORE_MS = 5_000;
const CUT_MS = 9_000;
/** Longest time between two reads of the list of entries by one that knows all others. */
const LIST_INTERVAL_MS = 10_000;
const NEW_ENTRY = 'edge-wien-nord-3';
/** Address at which nothing answers; what is sent across the cut goes there. */
const SILENT_HOST = '127.0.8.1';

/** The cut, and the reads of the list of entries that come to an address of the store. */
const cut = { isOn: HAS_TROUBLE, address: undefined, onRead: () => undefined };

function handleRead(table, address) {
  if (table === 'entries' && address === cut.address) cut.onRead();
}

/** Returns the most tokens of requests that were sent and ran within a window. */
function findWorstWindow(runs, windowMs) {
  return runs.reduce(
    (worst, { sentAt: from }) => {
      const counted = runs.filter(({ sentAt, at }) => sentAt >= from && at <= from + windowMs);
      const tokens = counted.length * TOKENS;
      return tokens > worst.tokens ? { tokens, from } : worst;
    },
    { tokens: 0, from: 0 },
  );
}

async function startSilentServer(port) {
  const sockets = new Set();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.resume();
  });
  await new Promise((done) => {
    server.listen(port, SILENT_HOST, done);
  });
  return () => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
}

/** Returns how an entry sees the rows of the store: those across the cut lead nowhere. */
function createTranslation(meshPort, isAcross) {
  return (row) => {
    if (!cut.isOn || row.table !== 'entries' || !isAcross(row.key)) return row;
    const value = JSON.parse(Buffer.from(row.value, 'base64'));
    const changed = { ...value, address: `${SILENT_HOST}:${meshPort}` };
    return { ...row, value: Buffer.from(JSON.stringify(changed)).toString('base64') };
  };
}

await runCase(
  import.meta.dirname,
  async ({ record, deployment, client }) => {
    const { store, storePort, meshPort, workerPort: port } = deployment;
    const stopSilent = await startSilentServer(meshPort);
    const addStore = (host, isAcross) =>
      store.addAddress(host, storePort, createTranslation(meshPort, isAcross));
    const oldStore = await addStore('127.0.9.2', (key) => key === NEW_ENTRY);
    const newStore = await addStore('127.0.9.3', (key) => key !== NEW_ENTRY);
    cut.address = oldStore;
    const tenant = { name: 'hule930', api_keys: [KEY], priority: 1, ...LIMIT };
    store.put('op', 'config', createConfiguration(7, [tenant]));
    for (const index of WORKERS) {
      await startWorker({
        store,
        host: `127.0.2.${index}`,
        port,
        id: `i-0000000${index}`,
        service: SERVICE,
        workMs: 20,
        record: record.add,
      });
    }
    const entries = [1, 2].map((index) => deployment.startEntry(index, oldStore));
    for (const entry of entries) await deployment.waitReady(entry);
    await waitFor(6_000);

    const startTenant = (entry) =>
      startLoad(RATE_PER_S, () =>
        client.send({
          to: entry.caller,
          host: HOST,
          path: `${PREFIX}2f`,
          headers: {
            'x-masticbend-key': KEY,
            'x-masticbend-token-count': `${PROMPT_TOKENS},${OUTPUT_TOKENS}`,
          },
          body: 'dossier',
        }),
      );
    const loads = entries.map(startTenant);
    await waitFor(BEFORE_MS);
    const isListRead = new Promise((done) => {
      cut.onRead = done;
    });
    await Promise.race([isListRead, waitFor(LIST_INTERVAL_MS)]);
    await waitFor(100);
    record.add({ event: 'machine-added', cut: cut.isOn });
    const added = deployment.startEntry(3, newStore);
    await deployment.waitReady(added);
    const addedAt = record.now();
    record.add({ event: 'machine-ready' });
    loads.push(startTenant(added));
    await waitFor(CUT_MS);
    cut.isOn = false;
    record.add({ event: 'cut-ends' });
    for (const load of loads) load.stop();
    await waitFor(1_000);
    stopSilent();
    // Requests above the cap are refused, so that only some are served.
    if (!record.list('run').some(({ at }) => at < addedAt)) throw new Error('nothing ran');

    const sentAt = new Map(record.list('sent').map(({ id, at }) => [id, at]));
    const runs = record.list('run').map(({ id, at }) => ({ sentAt: sentAt.get(id), at }));
    const worst = findWorstWindow(runs, BOUNDS.quota_window_s * 1_000);
    const cap = LIMIT.rate_per_s * BOUNDS.quota_window_s + LIMIT.burst;
    const allowed = cap * (1 + BOUNDS.quota_overshoot) + BOUNDS.quota_slack;
    const sent = loads.reduce((sum, load) => sum + load.countSent(), 0);
    return {
      rule: 'QUOTA',
      isBroken: worst.tokens > allowed,
      seen: [
        `requests: ${sent}, run: ${runs.length}`,
        `worst window: from ${worst.from.toFixed(0)} ms, ${worst.tokens} tokens; cap ${cap}, ` +
          `allowed ${allowed.toFixed(0)}`,
      ],
    };
  },
  { onRead: handleRead },
);
