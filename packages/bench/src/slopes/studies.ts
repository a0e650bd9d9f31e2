/**
 * Each study varies one cause and measures the resources that entry, agent and table service use
 * for it.
 */
import { createSilentLogger } from '@masticbend/kernel/log';
import { createConfigurationReplica } from '@masticbend/state/configuration-replica';
import { encodeFrame } from '@masticbend/protocol/frame';
import { parseConfiguration } from '@masticbend/settings/configuration';
import type { Operation } from '@masticbend/settings/document';
import { updateDocumentDigest } from '@masticbend/settings/document-digest';
import { waitFor } from '@masticbend/standins/http';
import { computeFittedLine, type FittedLine, type Point } from './fitted-line.js';
import { runSteadyLoad, sendBooking, sendLookup, sendStream } from './load.js';
import {
  formatConfiguration,
  startSlopeDeployment,
  type SlopeDeployment,
} from './slope-deployment.js';
import { computeRate, measureProcess, readUsage } from './usage.js';

/** Time before a measurement in which connections and caches reach a steady state. */
const WARM_UP_MS = 3_000;
const MEASUREMENT_MS = 8_000;
/** Tokens of a measured stream; at 37 ms a token the stream lasts longer than the measurement. */
const STREAM_TOKENS = 400;
/** Number of edits applied one after another. */
const EDIT_COUNT = 200;

const BACKEND_SERVER_SECTION = `
[backendServers.parcels-1]
agent = "127.0.0.1:1"
kind = "service"
dataCentre = "ostalpen-1"
serves = ["parcels"]
`;

/** A fitted line with the names of the measured quantity, its cause and its unit. */
export interface SlopeResult {
  name: string;
  cause: string;
  effect: string;
  line: FittedLine;
}

/** Measures processor time, mesh traffic and memory of an idle entry per connected agent. */
export async function measureAgentsOfEntry(counts: number[]): Promise<SlopeResult[]> {
  const rates = await measureAtSizes(counts, async (agents) => {
    const deployment = await startSlopeDeployment({ entries: 1, agents });
    return { deployment, measuredProcess: deployment.entries[0]! };
  });
  return describePeerCosts('entry', 'connected agents', rates);
}

/** Measures processor time, mesh traffic and memory of an idle agent per connected entry. */
export async function measureEntriesOfAgent(counts: number[]): Promise<SlopeResult[]> {
  const rates = await measureAtSizes(counts, async (entries) => {
    const deployment = await startSlopeDeployment({ entries, agents: 1 });
    return { deployment, measuredProcess: deployment.agents[0]! };
  });
  return describePeerCosts('agent', 'connected entries', rates);
}

/** Measures processor time of the entry and of the agent per call without an idempotency key. */
export async function measureCalls(rates: number[]): Promise<SlopeResult[]> {
  const deployment = await startSlopeDeployment({ entries: 1, agents: 1 });
  const entry = deployment.entries[0]!;
  const agent = deployment.agents[0]!;
  const entryPoints: Point[] = [];
  const agentPoints: Point[] = [];
  await runSteadyLoad(rates.at(-1)!, MEASUREMENT_MS, () => sendLookup(entry.address));
  for (const rate of rates) {
    const before = [await readUsage(entry), await readUsage(agent)] as const;
    const result = await runSteadyLoad(rate, MEASUREMENT_MS, () => sendLookup(entry.address));
    const perSecond = result.succeeded / (MEASUREMENT_MS / 1_000);
    entryPoints.push([perSecond, computeRate(before[0], await readUsage(entry)).coreFraction]);
    agentPoints.push([perSecond, computeRate(before[1], await readUsage(agent)).coreFraction]);
  }
  await deployment.stop();
  return [
    describeSlope('entry processor, plain calls', 'calls/s', 'cores', entryPoints),
    describeSlope('agent processor, plain calls', 'calls/s', 'cores', agentPoints),
  ];
}

/** Measures processor time per streamed token and memory per open stream, of entry and agent. */
export async function measureStreams(counts: number[]): Promise<SlopeResult[]> {
  const deployment = await startSlopeDeployment({ entries: 1, agents: 2 });
  const entry = deployment.entries[0]!;
  const agent = deployment.agents[1]!;
  const entryCore: Point[] = [];
  const agentCore: Point[] = [];
  const entryMemory: Point[] = [];
  const agentMemory: Point[] = [];
  let events = 0;
  const recordEvents = (count: number) => {
    events += count;
  };
  // The first round warms up both processes; its results are discarded.
  for (const [round, count] of [counts.at(-1)!, ...counts].entries()) {
    const streams = Array.from({ length: count }, () =>
      sendStream(entry.address, STREAM_TOKENS, recordEvents),
    );
    await waitFor(WARM_UP_MS);
    const eventsBefore = events;
    const [entryRate, agentRate] = await Promise.all([
      measureProcess(entry, MEASUREMENT_MS),
      measureProcess(agent, MEASUREMENT_MS),
    ]);
    const tokensPerSecond = (events - eventsBefore) / (MEASUREMENT_MS / 1_000);
    await Promise.all(streams);
    if (round === 0) continue;
    entryCore.push([tokensPerSecond, entryRate.coreFraction]);
    agentCore.push([tokensPerSecond, agentRate.coreFraction]);
    entryMemory.push([count, entryRate.residentBytes]);
    agentMemory.push([count, agentRate.residentBytes]);
  }
  await deployment.stop();
  return [
    describeSlope('entry processor, streams', 'tokens/s', 'cores', entryCore),
    describeSlope('agent processor, streams', 'tokens/s', 'cores', agentCore),
    describeSlope('entry memory, streams', 'open streams', 'bytes', entryMemory),
    describeSlope('agent memory, streams', 'open streams', 'bytes', agentMemory),
  ];
}

/** Measures table operations of idle processes and per call with an idempotency key. */
export async function measureTable(rates: number[]): Promise<SlopeResult[]> {
  const deployment = await startSlopeDeployment({ entries: 1, agents: 1 });
  const entry = deployment.entries[0]!;
  const { counters } = deployment.table;
  const reads: Point[] = [];
  const writes: Point[] = [];
  await waitFor(WARM_UP_MS);
  for (const rate of rates) {
    const before = { ...counters };
    const result = await runSteadyLoad(rate, MEASUREMENT_MS, () => sendBooking(entry.address));
    const seconds = MEASUREMENT_MS / 1_000;
    reads.push([result.succeeded / seconds, (counters.reads - before.reads) / seconds]);
    writes.push([result.succeeded / seconds, (counters.writes - before.writes) / seconds]);
  }
  await deployment.stop();
  return [
    describeSlope('table reads, keyed calls', 'keyed calls/s', 'reads/s', reads),
    describeSlope('table writes, keyed calls', 'keyed calls/s', 'writes/s', writes),
  ];
}

/** Measures memory of an entry and the time to validate a complete document, per account. */
export async function measureAccounts(counts: number[]): Promise<SlopeResult[]> {
  const memory: Point[] = [];
  const time: Point[] = [];
  for (const accounts of counts) {
    const deployment = await startSlopeDeployment({ entries: 1, agents: 1, accounts });
    await waitFor(WARM_UP_MS);
    const { residentBytes } = await readUsage(deployment.entries[0]!);
    memory.push([accounts, residentBytes]);
    await deployment.stop();
    time.push([
      accounts,
      measureParse(`${formatConfiguration(accounts)}${BACKEND_SERVER_SECTION}`),
    ]);
  }
  return [
    describeSlope('entry memory, accounts', 'client accounts', 'bytes', memory),
    describeSlope('check of the document', 'client accounts', 'ms', time),
  ];
}

function measureParse(text: string): number {
  const startedAt = performance.now();
  if (!parseConfiguration(text).ok) throw new Error('the generated document is not valid');
  return performance.now() - startedAt;
}

/** Measures the time to apply one edit and the size of its message, per account. */
export function measureEdits(counts: number[]): Promise<SlopeResult[]> {
  const time: Point[] = [];
  const bytes: Point[] = [];
  for (const accounts of counts) {
    const edit = measureEdit(`${formatConfiguration(accounts)}${BACKEND_SERVER_SECTION}`);
    time.push([accounts, edit.durationMs]);
    bytes.push([accounts, edit.messageBytes]);
  }
  return Promise.resolve([
    describeSlope('edit put in force', 'client accounts', 'ms', time),
    describeSlope('edit message', 'client accounts', 'bytes', bytes),
  ]);
}

interface MeasuredEdit {
  durationMs: number;
  messageBytes: number;
}

function measureEdit(text: string): MeasuredEdit {
  const replica = createConfigurationReplica(createSilentLogger());
  replica.applyDocument(1, text);
  let messageBytes = 0;
  const startedAt = performance.now();
  for (let index = 0; index < EDIT_COUNT; index += 1) {
    const { revision, digest, document } = replica.getCurrent()!;
    const value = { ...(document.accounts!.sender as object), weight: 1 + index };
    const operations: Operation[] = [{ section: 'accounts', key: 'sender', value }];
    const next = updateDocumentDigest(digest, document, operations);
    replica.applyEdit({ revision: revision + 1, digest: next, operations });
    messageBytes = encodeFrame({
      kind: 'configuration-edit',
      revision: revision + 1,
      digest: next,
      operations: JSON.stringify(operations),
    }).length;
  }
  if (replica.getRevision() !== EDIT_COUNT + 1) throw new Error('an edit was not applied');
  return { durationMs: (performance.now() - startedAt) / EDIT_COUNT, messageBytes };
}

interface UsageAtSize {
  size: number;
  coreFraction: number;
  meshBytesPerSecond: number;
  residentBytes: number;
}

async function measureAtSizes(
  sizes: number[],
  start: (size: number) => Promise<{
    deployment: SlopeDeployment;
    measuredProcess: SlopeDeployment['entries'][number];
  }>,
): Promise<UsageAtSize[]> {
  const rates: UsageAtSize[] = [];
  for (const size of sizes) {
    const { deployment, measuredProcess } = await start(size);
    await waitFor(WARM_UP_MS);
    rates.push({ size, ...(await measureProcess(measuredProcess, MEASUREMENT_MS)) });
    await deployment.stop();
  }
  return rates;
}

function describePeerCosts(role: string, cause: string, rates: UsageAtSize[]): SlopeResult[] {
  const select = (effect: (rate: UsageAtSize) => number): Point[] =>
    rates.map((rate) => [rate.size, effect(rate)]);
  return [
    describeSlope(
      `${role} processor, idle`,
      cause,
      'cores',
      select(({ coreFraction }) => coreFraction),
    ),
    describeSlope(
      `${role} mesh traffic, idle`,
      cause,
      'bytes/s',
      select((rate) => rate.meshBytesPerSecond),
    ),
    describeSlope(
      `${role} memory, idle`,
      cause,
      'bytes',
      select((rate) => rate.residentBytes),
    ),
  ];
}

function describeSlope(name: string, cause: string, effect: string, points: Point[]): SlopeResult {
  return { name, cause, effect, line: computeFittedLine(points) };
}
