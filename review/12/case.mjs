// An entry is stopped and started again while workers are emptied. The list of workers has two
// pages, and what changes on the first one until the second has been read stays unknown to it.
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
import { registerWorker, startWorker } from '../worker-3.mjs';

const RATE_PER_S = 200;
const BEFORE_MS = 3_000;
/** Workers that serve the route, and those of another service that are registered as well. */
const WORKERS = 70;
const OTHER_WORKERS = 450;
const OTHER_SERVICE = 'huvo11a';
/** Workers that are emptied, and the time between their reports. */
const LEAVING = 9;
const LEAVING_GAP_MS = 2;
/** Time for which they serve on after their reports. */
const SERVING_MS = 9_000;

function registerOthers(store, port) {
  for (let index = 0; index < OTHER_WORKERS; index += 1) {
    registerWorker(store, {
      id: `i-b${String(index).padStart(4, '0')}`,
      host: `127.0.${3 + Math.floor(index / 250)}.${1 + (index % 250)}`,
      port,
      service: OTHER_SERVICE,
      born: Date.now(),
      state: 'ready',
    });
  }
}

/** Observes the reads of the list of workers that come to an address of the store. */
const observed = { address: undefined, onRead: () => undefined };

function handleRead(table, address) {
  if (table === 'servers' && address === observed.address) observed.onRead();
}

await runCase(
  import.meta.dirname,
  async ({ record, deployment, client }) => {
    const { store, storePort, workerPort: port } = deployment;
    observed.address = await store.addAddress('127.0.9.2', storePort);
    const tenant = { name: 'hule930', api_keys: [KEY], priority: 1 };
    store.put('op', 'config', createConfiguration(7, [tenant]));
    const workers = [];
    for (let index = 1; index <= WORKERS; index += 1) {
      workers.push(
        await startWorker({
          store,
          host: `127.0.2.${index}`,
          port,
          id: `i-a${String(index).padStart(4, '0')}`,
          service: SERVICE,
          workMs: 40,
          record: record.add,
        }),
      );
    }
    registerOthers(store, port);
    const entries = [deployment.startEntry(1, observed.address), deployment.startEntry(2)];
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
    let inTouchAt = 0;
    const [restarted] = entries;
    const beginsAt = record.now();
    if (HAS_TROUBLE) {
      let onBegun;
      const hasBegun = new Promise((done) => {
        onBegun = done;
      });
      record.add({ event: 'entry-stops', to: restarted.host });
      restarted.child.once('exit', () => {
        observed.onRead = onBegun;
      });
      restarted.child.kill('SIGTERM');
      // The new process has begun to read the list of workers.
      await hasBegun;
      record.add({ event: 'entry-reads', to: restarted.host });
      observed.onRead = () => undefined;
      inTouchAt = record.now() + BOUNDS.contact_ms;
    }
    const leaving = workers.slice(0, LEAVING);
    const leftAt = new Map();
    for (const worker of leaving) {
      worker.register('draining');
      leftAt.set(worker.id, record.now());
      record.add({ event: 'draining', worker: worker.id });
      await waitFor(LEAVING_GAP_MS);
    }
    await waitFor(SERVING_MS);
    for (const worker of leaving) worker.end();
    record.add({ event: 'workers-ended' });
    await waitFor(1_000);
    load.stop();
    await waitFor(1_000);
    checkServed(record, beginsAt);

    const sent = new Map(record.list('sent').map((event) => [event.id, event]));
    const late = record.list('arrival').filter(({ id, worker, at }) => {
      const isInTouch = sent.get(id).to !== restarted.host || at > inTouchAt;
      return isInTouch && at > leftAt.get(worker) + BOUNDS.drain_ms;
    });
    const names = [...new Set(late.map(({ worker }) => worker))];
    const answers = new Map(record.list('answered').map((event) => [event.id, event]));
    const lost = late.filter(({ id }) => answers.get(id)?.status !== 200);
    return {
      rule: 'DRAIN',
      isBroken: late.length > 0,
      seen: [
        `requests: ${load.countSent()}; workers that reported draining: ${LEAVING}`,
        `requests that an entry in touch sent there later than drain_ms: ${late.length}, to ` +
          `${names.length} workers ${names.join(' ')}`,
        `of these, bookings that were not answered with 200, since their workers ended: ${lost.length}`,
      ],
    };
  },
  { onRead: handleRead },
);
