/**
 * Benchmarks the real processes on loopback: latency added to direct calls to the same backend
 * servers, calls per second through one entry, and the effect of a slow caller on another stream.
 * Direct calls and calls through the entry alternate in rounds of one run.
 */
import meow from 'meow';
import { hashKey, startDeployment, type BackendPlan } from './deployment.js';
import {
  createLoadPool,
  createLoadResult,
  getPercentileMs,
  runClosedLoad,
  runPacedLoad,
  type LoadTarget,
} from './load.js';
import { measureSlowCaller } from './slow-caller.js';
import { startStandInProcess } from './stand-in-process.js';

const API_KEY = 'bench-key';
const HEADERS = { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' };
const ROUND_COUNT = 5;
const ROUND_MS = 2_000;
const WARM_UP_MS = 1_000;
const PACED_CALLS_PER_SECOND = 500;
const CONCURRENT_CALLERS = 32;
const SERVICE_COUNT = 2;

/** Performance targets of the product. */
const ADDED_P99_TARGET_MS = 5;
const CALLS_PER_SECOND_TARGET = 1_500;
const SLOW_CALLER_RATIO_TARGET = 1.25;

const CONFIGURATION = `
[tiers.fast]
rank = 0
deadlineMs = 3600000
[accounts.bench]
keyHashes = ["${hashKey(API_KEY)}"]
tier = "fast"
requestsPerSecond = 1000000
tokensPerSecond = 1000000000
concurrency = 10000
[models.praline]
[services.parcels]
[[services.parcels.operations]]
method = "GET"
path = "/parcels/*"
idempotent = true
`;

interface TargetResult {
  name: string;
  measured: number;
  target: string;
  met: boolean;
}

const cli = meow(
  `
  Usage
    $ npm run bench -- [--json]
`,
  { importMeta: import.meta, flags: { json: { type: 'boolean', default: false } } },
);

async function measureAddedLatency(direct: LoadTarget, throughEntry: LoadTarget) {
  const directPool = createLoadPool(direct.url);
  const entryPool = createLoadPool(throughEntry.url);
  const discarded = createLoadResult();
  await runPacedLoad(directPool, direct, PACED_CALLS_PER_SECOND, WARM_UP_MS, discarded);
  await runPacedLoad(entryPool, throughEntry, PACED_CALLS_PER_SECOND, WARM_UP_MS, discarded);
  const directResult = createLoadResult();
  const entryResult = createLoadResult();
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    await runPacedLoad(directPool, direct, PACED_CALLS_PER_SECOND, ROUND_MS, directResult);
    await runPacedLoad(entryPool, throughEntry, PACED_CALLS_PER_SECOND, ROUND_MS, entryResult);
  }
  await Promise.all([directPool.close(), entryPool.close()]);
  const describe = (percentile: number) => {
    const directMs = getPercentileMs(directResult, percentile);
    const throughMs = getPercentileMs(entryResult, percentile);
    return { directMs, throughMs, addedMs: Number((throughMs - directMs).toFixed(3)) };
  };
  const failed = directResult.failed + entryResult.failed;
  return { ratePerSecond: PACED_CALLS_PER_SECOND, p50: describe(50), p99: describe(99), failed };
}

async function measureRate(throughEntry: LoadTarget) {
  const pool = createLoadPool(throughEntry.url);
  await runClosedLoad(pool, throughEntry, CONCURRENT_CALLERS, WARM_UP_MS, createLoadResult());
  const result = createLoadResult();
  const perSecond = await runClosedLoad(
    pool,
    throughEntry,
    CONCURRENT_CALLERS,
    ROUND_COUNT * ROUND_MS,
    result,
  );
  await pool.close();
  return {
    callers: CONCURRENT_CALLERS,
    perSecond,
    p99Ms: getPercentileMs(result, 99),
    failed: result.failed,
  };
}

async function runBench(): Promise<void> {
  const services = await Promise.all(
    Array.from({ length: SERVICE_COUNT }, () => startStandInProcess('service')),
  );
  const engine = await startStandInProcess(
    'engine',
    ...['--prefill-rate', '1000000', '--step-ms', '0.02', '--step-per-call-ms', '0'],
  );
  const table = await startStandInProcess('table');
  const objects = await startStandInProcess('objects');
  const commonSettings = { dataCentre: 'ostalpen-1', concurrency: 64 };
  const backends: BackendPlan[] = [
    { ...commonSettings, name: 'engine-1', kind: 'model', serves: ['praline'], url: engine.url },
    ...services.map(({ url }, index) => ({
      ...commonSettings,
      name: `parcels-${index + 1}`,
      kind: 'service' as const,
      serves: ['parcels'],
      url,
    })),
  ];
  const platform = { tableUrl: table.url, objectUrl: objects.url, instancesUrl: table.url };
  const plan = { configuration: CONFIGURATION, entries: 1, backends, platform, logLevel: 'warn' };
  const deployment = await startDeployment(plan);
  try {
    const [entry] = deployment.entries;
    const direct = { url: services[0]!.url, path: '/parcels/1', headers: HEADERS };
    const url = `http://${entry!.address}`;
    const throughEntry = { url, path: '/services/parcels/parcels/1', headers: HEADERS };
    const latency = await measureAddedLatency(direct, throughEntry);
    const rate = await measureRate(throughEntry);
    const slowCaller = await measureSlowCaller(entry!.address, engine.url, HEADERS);
    printResults({ latency, rate, slowCaller });
  } finally {
    await deployment.stop();
    await Promise.all([...services, engine, table, objects].map((standIn) => standIn.stop()));
  }
}

interface BenchResults {
  latency: Awaited<ReturnType<typeof measureAddedLatency>>;
  rate: Awaited<ReturnType<typeof measureRate>>;
  slowCaller: Awaited<ReturnType<typeof measureSlowCaller>>;
}

function printResults(results: BenchResults): void {
  const { latency, rate, slowCaller } = results;
  const failed = latency.failed + rate.failed;
  const verdicts: TargetResult[] = [
    {
      name: `added p99 at ${PACED_CALLS_PER_SECOND} calls/s, ms`,
      measured: latency.p99.addedMs,
      target: `<= ${ADDED_P99_TARGET_MS}`,
      met: latency.p99.addedMs <= ADDED_P99_TARGET_MS,
    },
    {
      name: 'small calls/s through one entry',
      measured: Math.round(rate.perSecond),
      target: `>= ${CALLS_PER_SECOND_TARGET}`,
      met: rate.perSecond >= CALLS_PER_SECOND_TARGET,
    },
    {
      name: 'stream beside a stalled caller, ratio',
      measured: Number(slowCaller.ratio.toFixed(3)),
      target: `<= ${SLOW_CALLER_RATIO_TARGET}`,
      met: slowCaller.ratio <= SLOW_CALLER_RATIO_TARGET,
    },
    { name: 'calls that failed', measured: failed, target: '0', met: failed === 0 },
  ];
  if (cli.flags.json) {
    console.log(JSON.stringify({ ...results, verdicts }, null, 2));
    return;
  }
  const { p50, p99 } = latency;
  console.table({ p50, p99 });
  console.table(verdicts);
}

await runBench();
