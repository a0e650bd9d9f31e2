// A version of the configuration removes the only tenant, and its key with it. The entries take
// the configuration for one without tenants: requests with the revoked key run on, and so do those
// with a key that no configuration ever held.
import { checkServed, HAS_TROUBLE, runCase } from '../case-3.mjs';
import { startLoad } from '../client-3.mjs';
import {
  BOUNDS,
  createConfiguration,
  HOST,
  KEY,
  PREFIX,
  SERVICE,
  waitFor,
} from '../deployment-3.mjs';
import { startWorker } from '../worker-3.mjs';

const ENTRIES = [1, 2];
const WORKERS = [1, 2];
const RATE_PER_S = 20;
const BEFORE_MS = 3_000;
const AFTER_MS = 12_000;
/** Each such request has a key that is in no version. */
const UNKNOWN_EACH = 10;
const UNKNOWN_KEY = 'x0x0x0x0x0x0x0x0x0x0';
/** Without the trouble, the key is taken away in the same way, and another tenant is left. */
const OTHER_TENANT = { name: 'mofa112', api_keys: ['q7c0d5m1x8v2b4n6k3ja'], priority: 1 };

await runCase(import.meta.dirname, async ({ record, deployment, client }) => {
  const { store, workerPort: port } = deployment;
  const tenant = { name: 'hule930', api_keys: [KEY], priority: 1 };
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
  const entries = ENTRIES.map((index) => deployment.startEntry(index));
  for (const entry of entries) await deployment.waitReady(entry);
  await waitFor(2_000);

  const load = startLoad(RATE_PER_S, (number) => {
    const key = number % UNKNOWN_EACH === 0 ? UNKNOWN_KEY : KEY;
    client.send({
      to: entries[number % entries.length].caller,
      host: HOST,
      path: `${PREFIX}2f`,
      headers: { 'x-masticbend-key': key },
      body: 'parcel',
      note: { key },
    });
  });
  await waitFor(BEFORE_MS);
  store.put('op', 'config', createConfiguration(9, HAS_TROUBLE ? [] : [OTHER_TENANT]));
  const confirmedAt = record.now();
  record.add({ event: 'configuration', version: 9, tenants: HAS_TROUBLE ? 0 : 1 });
  await waitFor(AFTER_MS);
  load.stop();
  await waitFor(1_000);
  checkServed(record, confirmedAt);

  const sent = new Map(record.list('sent').map((event) => [event.id, event]));
  const runs = record.list('run').map(({ id }) => sent.get(id));
  const revoked = runs.filter(({ key, at }) => key === KEY && at > confirmedAt + BOUNDS.revoke_ms);
  const unknown = runs.filter(({ key }) => key === UNKNOWN_KEY);
  return {
    rule: 'CONFIG',
    isBroken: revoked.length > 0,
    seen: [
      `requests: ${load.countSent()}`,
      `run though sent later than revoke_ms after their key was taken away: ${revoked.length}`,
      `run with a key that no configuration ever held (ROUTE): ${unknown.length}`,
    ],
  };
});
