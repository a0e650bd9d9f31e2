/**
 * The demonstration: stand-ins, two entries and the agents of a small deployment serve dossiers,
 * reply drafts, tags, parcel bookings and lookups. Prints a table by tier, and exits with code 1 if
 * an answer was lost or a booking was not made exactly once.
 */
import { randomUUID } from 'node:crypto';
import { build } from 'hdr-histogram-js';
import { request } from 'undici';
import { startEngine } from '@masticbend/standins/engine';
import { startObjectStore } from '@masticbend/standins/object-store';
import { startInstanceList } from '@masticbend/standins/instance-list';
import { startService } from '@masticbend/standins/service';
import { startTable } from '@masticbend/standins/table';
import { hashKey, startDeployment, type BackendPlan } from './deployment.js';

const API_KEY = 'naschprobe-demo-key';
/** Delay with which the instance list reports changes, in milliseconds. */
const INSTANCE_LAG_MS = 1_000;
/** Number of requests of each kind. */
const REQUESTS_PER_KIND = 20;
/** Interval between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 50;
/** Size of a dossier prompt, in bytes. */
const DOSSIER_BYTES = 12_000;

/** Deadline for the complete answer by tier, in milliseconds. */
const DEADLINES_MS = { fast: 4_000, normal: 12_000, slow: 40_000 } as const;
type TierName = keyof typeof DEADLINES_MS;

const CONFIGURATION = `
[tiers.fast]
rank = 0
deadlineMs = ${DEADLINES_MS.fast}
[tiers.normal]
rank = 1
deadlineMs = ${DEADLINES_MS.normal}
[tiers.slow]
rank = 2
deadlineMs = ${DEADLINES_MS.slow}
[accounts.naschprobe]
keyHashes = ["${hashKey(API_KEY)}"]
tier = "fast"
[models.praline]
[services.parcels]
[[services.parcels.operations]]
method = "POST"
path = "/bookings"
idempotent = false
work = "booking"
[[services.parcels.operations]]
method = "GET"
path = "/parcels/*"
idempotent = true
work = "lookup"
[work.dossier]
target = "praline"
tier = "slow"
outputTokens = 64
[work.reply]
target = "praline"
tier = "normal"
outputTokens = 32
[work.tag]
target = "praline"
tier = "fast"
outputTokens = 4
[work.booking]
target = "parcels"
tier = "fast"
[work.lookup]
target = "parcels"
tier = "fast"
`;

interface Job {
  name: string;
  tier: TierName;
  method: 'GET' | 'POST';
  path: string;
  headers?: Record<string, string>;
  body?: unknown;
  /** Returns whether the text is a complete answer. */
  isCompleteAnswer: (text: string) => boolean;
}

interface Result {
  job: Job;
  status: number;
  complete: boolean;
  totalMs: number;
}

function createChat(
  name: string,
  tier: TierName,
  bytes: number,
  tokens: number,
  stream: boolean,
): Job {
  const content = `${name} ${'allergen '.repeat(bytes / 9)}`;
  return {
    name,
    tier,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { 'x-masticbend-work': name },
    body: { model: 'praline', messages: [{ role: 'user', content }], max_tokens: tokens, stream },
    isCompleteAnswer: (text) =>
      stream ? text.endsWith('data: [DONE]\n\n') : text.includes('"stop"'),
  };
}

function createJobs(round: number): Job[] {
  const reference = `booking-${round}`;
  return [
    createChat('dossier', 'slow', DOSSIER_BYTES, 64, true),
    createChat('reply', 'normal', 1_800, 32, false),
    createChat('tag', 'fast', 180, 4, false),
    {
      name: 'booking',
      tier: 'fast',
      method: 'POST',
      path: '/services/parcels/bookings',
      headers: { 'idempotency-key': randomUUID() },
      body: { reference },
      isCompleteAnswer: (text) => text.includes(reference),
    },
    {
      name: 'lookup',
      tier: 'fast',
      method: 'GET',
      path: `/services/parcels/parcels/${round}`,
      isCompleteAnswer: (text) => text.includes(`"parcel":"${round}"`),
    },
  ];
}

async function sendJob(address: string, job: Job): Promise<Result> {
  const startedAt = performance.now();
  const response = await request(`http://${address}${job.path}`, {
    method: job.method,
    headers: {
      authorization: `Bearer ${API_KEY}`,
      'content-type': 'application/json',
      ...job.headers,
    },
    body: job.body ? JSON.stringify(job.body) : null,
  });
  const text = await response.body.text().catch(() => '');
  const complete = response.statusCode < 300 && job.isCompleteAnswer(text);
  return { job, status: response.statusCode, complete, totalMs: performance.now() - startedAt };
}

function isInTime({ job, complete, totalMs }: Result): boolean {
  return complete && totalMs <= DEADLINES_MS[job.tier];
}

function printTable(results: Result[]): void {
  const tiers = [...new Set(results.map(({ job }) => job.tier))];
  const rows = tiers.map((tier) => {
    const own = results.filter(({ job }) => job.tier === tier);
    const latency = build();
    for (const { complete, totalMs } of own) if (complete) latency.recordValue(Math.round(totalMs));
    return {
      tier,
      sent: own.length,
      whole: own.filter(({ complete }) => complete).length,
      'whole, in time': own.filter(isInTime).length,
      refused: own.filter(({ status }) => status >= 400).length,
      'median ms': latency.getValueAtPercentile(50),
      'p99 ms': latency.getValueAtPercentile(99),
    };
  });
  console.table(rows);
}

async function runDemo(): Promise<number> {
  const instances = await startInstanceList(0, [], INSTANCE_LAG_MS);
  const service = await startService(0, 5);
  const table = await startTable(0);
  const rates = [12_000, 8_000, 4_000];
  const engines = await Promise.all(
    rates.map((prefillRate) =>
      startEngine({ port: 0, prefillRate, stepMs: 8, stepPerCallMs: 0.5 }),
    ),
  );
  const backends: BackendPlan[] = engines.map(({ url }, index) => ({
    name: `engine-${index + 1}`,
    kind: 'model',
    dataCentre: `ostalpen-${index + 1}`,
    serves: ['praline'],
    concurrency: 8,
    url,
  }));
  backends.push({
    name: 'parcels-1',
    kind: 'service',
    dataCentre: 'ostalpen-1',
    serves: ['parcels'],
    concurrency: 8,
    url: service.url,
  });
  const objects = await startObjectStore(0);
  const deployment = await startDeployment({
    configuration: CONFIGURATION,
    entries: 2,
    backends,
    platform: { tableUrl: table.url, objectUrl: objects.url, instancesUrl: instances.url },
  });
  const pending: Promise<Result>[] = [];
  for (let round = 0; round < REQUESTS_PER_KIND; round += 1) {
    for (const job of createJobs(round)) {
      const entry = deployment.entries[pending.length % deployment.entries.length]!;
      pending.push(sendJob(entry.address, job));
      await new Promise((resolve) => {
        setTimeout(resolve, REQUEST_INTERVAL_MS);
      });
    }
  }
  const results = await Promise.all(pending);
  await deployment.stop();
  await Promise.all(
    [service, table, objects, instances, ...engines].map((standIn) => standIn.close()),
  );
  printTable(results);

  const lostResults = results.filter(({ complete }) => !complete);
  const references = service.bookings.map(({ reference }) => reference);
  const duplicateCount = references.length - new Set(references).size;
  if (lostResults.length > 0 || duplicateCount > 0 || references.length !== REQUESTS_PER_KIND) {
    console.log(`failed: ${lostResults.length} answers lost, ${duplicateCount} bookings doubled`);
    return 1;
  }
  console.log(`ok: ${results.length} answers whole, ${references.length} bookings made once`);
  return 0;
}

process.exitCode = await runDemo();
