// A worker with many slots is emptied. Requests that the entry has sent to it beyond its forty
// channels wait in the HTTP client, and go out to the worker seconds after it reported draining.
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
const SLOTS = 100;
const WORK_MS = 2_500;
const DEADLINE_MS = 12_000;
/** Requests a second of a zone, whose clients have channels to the first entry; in the burst. */
const RATE_PER_S = 28;
const BURST_PER_S = 70;
const BEFORE_MS = 6_000;
/** Time from the start of the burst until the worker reports, and until the burst ends. */
const LEAVING_AFTER_MS = 3_500;
const BURST_MS = 5_000;
/** Time from the report until the worker ends, when all that came in time has been answered. */
const SERVING_MS = BOUNDS.drain_ms + WORK_MS + 300;
const AFTER_MS = 3_000;

await runCase(import.meta.dirname, async ({ record, deployment, client }) => {
  const { store, workerPort: port } = deployment;
  const tenant = { name: 'hule930', api_keys: [KEY], priority: 1 };
  const route = { timeout_ms: DEADLINE_MS, slo_ms: 5_000 };
  store.put('op', 'config', createConfiguration(7, [tenant], route));
  const workers = [];
  for (const index of WORKERS) {
    workers.push(
      await startWorker({
        store,
        host: `127.0.2.${index}`,
        port,
        id: `i-0000000${index}`,
        service: SERVICE,
        slots: SLOTS,
        workMs: WORK_MS,
        record: record.add,
      }),
    );
  }
  const entries = ENTRIES.map((index) => deployment.startEntry(index));
  for (const entry of entries) await deployment.waitReady(entry);
  await waitFor(2_000);

  const load = startLoad(RATE_PER_S, () =>
    client.send({
      to: entries[0].caller,
      host: HOST,
      path: `${PREFIX}2f`,
      headers: { 'x-masticbend-key': KEY },
      body: 'parcel',
      deadlineMs: DEADLINE_MS,
    }),
  );
  await waitFor(BEFORE_MS);
  checkServed(record, record.now());
  load.setRate(BURST_PER_S);
  record.add({ event: 'burst-begins' });
  await waitFor(LEAVING_AFTER_MS);
  const leftAt = record.now();
  const [leaving] = workers;
  if (HAS_TROUBLE) {
    leaving.register('draining');
    record.add({ event: 'draining', worker: leaving.id });
  }
  await waitFor(BURST_MS - LEAVING_AFTER_MS);
  load.setRate(RATE_PER_S);
  record.add({ event: 'burst-ends' });
  await waitFor(SERVING_MS - (BURST_MS - LEAVING_AFTER_MS));
  if (HAS_TROUBLE) {
    leaving.end();
    record.add({ event: 'worker-ended', worker: leaving.id });
  }
  await waitFor(AFTER_MS);
  load.stop();
  await waitFor(WORK_MS);

  const late = record
    .list('arrival')
    .filter(
      ({ worker, at }) => HAS_TROUBLE && worker === leaving.id && at > leftAt + BOUNDS.drain_ms,
    );
  const answers = new Map(record.list('answered').map((event) => [event.id, event]));
  const lost = late.filter(({ id }) => answers.get(id)?.status !== 200);
  const lastMs = late.length > 0 ? late.at(-1).at - leftAt : 0;
  return {
    rule: 'DRAIN',
    isBroken: late.length > 0,
    seen: [
      `requests: ${load.countSent()}`,
      `requests that reached the worker later than drain_ms after its report: ${late.length}, the ` +
        `last after ${lastMs.toFixed(0)} ms`,
      `of these, bookings that were lost at its end: ${lost.length}`,
    ],
  };
});
