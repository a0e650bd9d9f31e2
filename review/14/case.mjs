// A version of the configuration gives a key to another tenant while requests with it wait for a
// worker. The key is in force before and after, and the waiting requests are refused with 401.
import { checkServed, HAS_TROUBLE, runCase } from '../case-3.mjs';
import { startLoad } from '../client-3.mjs';
import { createConfiguration, HOST, KEY, PREFIX, SERVICE, waitFor } from '../deployment-3.mjs';
import { startWorker } from '../worker-3.mjs';

const ENTRIES = [1, 2];
const WORKERS = [1, 2, 3, 4];
const WORK_MS = 85;
/** Requests a second, and in the burst; the workers serve about 280. */
const RATE_PER_S = 160;
const BURST_PER_S = 320;
const BEFORE_MS = 3_000;
const BURST_MS = 3_000;
/** Time from the start of the burst until the configuration changes. */
const CHANGE_AFTER_MS = 2_000;
const AFTER_MS = 7_000;
const OTHER_KEYS = ['n2ctnfzs989anu6wsjnb', 'q7c0d5m1x8v2b4n6k3ja'];
const NEW_KEY = 'z5t8w1y4r7e0u3i6o9pa';
/** Own answers that say that a request has not run. */
const PROMISES = [408, 421, 429];

/** Returns two tenants with these keys. */
function createTenants(firstKeys, secondKeys) {
  return [
    { name: 'hule930', api_keys: firstKeys, priority: 1 },
    { name: 'mofa112', api_keys: secondKeys, priority: 1 },
  ];
}

await runCase(import.meta.dirname, async ({ record, deployment, client }) => {
  const { store, workerPort: port } = deployment;
  const [first, second] = OTHER_KEYS;
  store.put('op', 'config', createConfiguration(7, createTenants([KEY, first], [second])));
  for (const index of WORKERS) {
    await startWorker({
      store,
      host: `127.0.2.${index}`,
      port,
      id: `i-0000000${index}`,
      service: SERVICE,
      workMs: WORK_MS,
      record: record.add,
    });
  }
  const entries = ENTRIES.map((index) => deployment.startEntry(index));
  for (const entry of entries) await deployment.waitReady(entry);
  await waitFor(2_000);

  const load = startLoad(RATE_PER_S, (number) =>
    client.send({
      to: entries[number % entries.length].caller,
      host: HOST,
      path: `${PREFIX}2f`,
      headers: { 'x-masticbend-key': KEY },
      body: 'parcel',
    }),
  );
  await waitFor(BEFORE_MS);
  checkServed(record, record.now());
  load.setRate(BURST_PER_S);
  record.add({ event: 'burst-begins' });
  await waitFor(CHANGE_AFTER_MS);
  // Without the trouble, the same version gives the second tenant a new key.
  const tenants = HAS_TROUBLE
    ? createTenants([first], [second, KEY])
    : createTenants([KEY, first], [second, NEW_KEY]);
  store.put('op', 'config', createConfiguration(9, tenants));
  record.add({ event: 'configuration', version: 9, moved: HAS_TROUBLE });
  await waitFor(BURST_MS - CHANGE_AFTER_MS);
  load.setRate(RATE_PER_S);
  record.add({ event: 'burst-ends' });
  await waitFor(AFTER_MS);
  load.stop();
  await waitFor(3_600);

  const answers = record.list('answered');
  const count = (status) => answers.filter((answer) => answer.status === status).length;
  const denied = answers.filter(
    ({ status, stamp }) =>
      stamp === undefined && status >= 300 && status < 500 && !PROMISES.includes(status),
  );
  const allowed = 5 + load.countSent() / 500;
  return {
    rule: 'DENIED',
    isBroken: denied.length > allowed,
    seen: [
      `requests: ${load.countSent()}, 200: ${count(200)}, 503: ${count(503)}, 401: ${count(401)}`,
      `ended with a 4xx of the system: ${denied.length}, allowed ${allowed.toFixed(1)}`,
    ],
  };
});
