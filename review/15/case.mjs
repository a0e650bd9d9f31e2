// All entries are killed at once while workers fail part of their requests. The new processes know
// nothing of the repeats that the old ones sent, and spend the retry budget once more.
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
const WORKERS = [1, 2, 3, 4];
const RATE_PER_S = 100;
/** The rule also counts the requests of the window before. */
const BEFORE_MS = 21_000;
/** Workers fail this share of their requests for this long, with and without the trouble. */
const FAILING_SHARE = 0.45;
const FAILING_MS = 6_500;
/** Time from the first failures until the entries are killed. */
const KILL_AFTER_MS = 3_300;
const AFTER_MS = 6_000;

/** Returns the window in which the repeats exceed the rule's bound by most. */
function findWorstWindow(record) {
  const windowMs = BOUNDS.budget_window_s * 1_000;
  const sent = record.list('sent').map(({ at }) => at);
  const seen = new Set();
  const repeats = [];
  for (const { id, at } of record.list('arrival')) {
    if (seen.has(id)) repeats.push(at);
    seen.add(id);
  }
  const count = (times, from) => times.filter((at) => at >= from && at < from + windowMs).length;
  const windows = repeats.map((from) => {
    const requests = Math.max(
      ...[0, windowMs / 2, windowMs].map((beforeMs) => count(sent, from - beforeMs)),
    );
    const allowed = BOUNDS.retry_budget_ratio * requests + BOUNDS.retry_budget_slack;
    return { from, requests, allowed, repeats: count(repeats, from) };
  });
  const none = { from: 0, requests: 0, allowed: 0, repeats: 0 };
  return windows.reduce(
    (worst, each) =>
      each.repeats - each.allowed > worst.repeats - worst.allowed || worst === none ? each : worst,
    none,
  );
}

await runCase(import.meta.dirname, async ({ record, deployment, client }) => {
  const { store, workerPort: port } = deployment;
  const failing = { isOn: false };
  const tenant = { name: 'hule930', api_keys: [KEY], priority: 1 };
  const route = { route_kind: 'idempotent', max_attempts: 3 };
  store.put('op', 'config', createConfiguration(7, [tenant], route));
  const run = () => (failing.isOn && Math.random() < FAILING_SHARE ? 500 : 200);
  for (const index of WORKERS) {
    await startWorker({
      store,
      host: `127.0.2.${index}`,
      port,
      id: `i-0000000${index}`,
      service: SERVICE,
      workMs: 20,
      record: record.add,
      run,
    });
  }
  const entries = ENTRIES.map((index) => deployment.startEntry(index));
  for (const entry of entries) await deployment.waitReady(entry);
  await waitFor(2_000);

  const load = startLoad(RATE_PER_S, (number) =>
    client.send({
      to: entries[number % entries.length].caller,
      method: 'GET',
      host: HOST,
      path: `${PREFIX}${number}`,
      headers: { 'x-masticbend-key': KEY },
    }),
  );
  await waitFor(BEFORE_MS);
  checkServed(record, record.now());
  failing.isOn = true;
  record.add({ event: 'workers-fail', share: FAILING_SHARE });
  await waitFor(KILL_AFTER_MS);
  if (HAS_TROUBLE) {
    for (const { child } of entries) child.kill('SIGKILL');
    record.add({ event: 'entries-killed' });
  }
  await waitFor(FAILING_MS - KILL_AFTER_MS);
  failing.isOn = false;
  record.add({ event: 'workers-sound' });
  await waitFor(AFTER_MS);
  load.stop();
  await waitFor(1_000);

  const worst = findWorstWindow(record);
  return {
    rule: 'BUDGET',
    isBroken: worst.repeats > worst.allowed,
    seen: [
      `requests: ${load.countSent()}`,
      `worst window: from ${worst.from.toFixed(0)} ms, ${worst.repeats} repeats for ` +
        `${worst.requests} requests, allowed ${worst.allowed.toFixed(1)}`,
    ],
  };
});
