/**
 * Another writer leaves one entry among the workers' whose address can't be read. The platform's
 * stand-in starts a process again that ended by itself, as DEPLOY.md says.
 */
import { Agent } from 'node:http';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { createConfiguration, runCase, wait } from '../deployment-2.mjs';

const ENTRIES = 2;
const OBSERVED_MS = 15_000;
const CALL_INTERVAL_MS = 50;
const RESTART_MS = 300;
/** Work of a request at a worker of average speed or a little less; the sheets have 86 ms. */
const WORK_MS = 120;
/** Fault: processes end by themselves so often, on two machines or more. */
const MAX_ENDS = 2;
const MAX_MACHINES = 1;
/** Lacks nothing but an address that can be read: 08 is no part of an IPv4 address. */
const FOREIGN = {
  service: 'ledger',
  address: '127.000.000.009:9000',
  zone: 'z1',
  version: 'v1',
  slots: 6,
  state: 'ready',
  cold_left_ms: 0,
  born: 1,
  sequence: 1,
};

await runCase(new URL('record.txt', import.meta.url).pathname, async (deployment, hasTrouble) => {
  const { store, record } = deployment;
  store.put('op', 'config', createConfiguration(7));
  for (const number of [1, 2, 3]) {
    await deployment.startWorker('ledger', number, { workMs: WORK_MS });
  }
  const ends = new Array(ENTRIES).fill(0);
  const entries = [];
  let isOver = false;

  async function startAgain(index, like) {
    const entry = await deployment.startEntry(index + 1, { isFirstStart: !like, like });
    entries[index] = entry;
    entry.child.once('exit', () => {
      if (isOver) return;
      ends[index] += 1;
      record(`entry ${index + 1} has ended by itself, ${ends[index]} times so far`);
      setTimeout(() => !isOver && startAgain(index, entry), RESTART_MS);
    });
  }

  for (let index = 0; index < ENTRIES; index += 1) await startAgain(index);
  for (const entry of entries) await deployment.waitReady(entry);
  await wait(1_000);
  if (hasTrouble) {
    record('another writer writes servers/i-foreign');
    store.put('servers', 'i-foreign', FOREIGN);
  }

  const keptChannels = entries.map(() => new Agent({ keepAlive: true }));
  const results = [];
  const until = Date.now() + OBSERVED_MS;
  for (let sent = 0; Date.now() < until; sent += 1) {
    const index = sent % ENTRIES;
    const path = sent % 4 < 2 ? '/look/stock' : '/book/order';
    const options = { agent: keptChannels[index], timeoutMs: 3_000 };
    results.push(deployment.call(entries[index], path, `c${sent}`, options));
    await wait(CALL_INTERVAL_MS);
  }
  await Promise.all(results);
  isOver = true;
  for (const agent of keptChannels) agent.destroy();
  const answers = await Promise.all(results);
  const started = new Set(deployment.runs.map(({ request }) => request));
  const cut = answers.filter(({ id, status }) => status === undefined && started.has(id));
  const unanswered = answers.filter(({ status }) => status === undefined);
  record(`ends by themselves, by entry: ${ends.join(' ')}`);
  record(`${unanswered.length} of ${answers.length} requests without an answer`);
  record(`${cut.length} of them had been passed on to a worker`);
  return ends.filter((count) => count > MAX_ENDS).length <= MAX_MACHINES;
});
