/** The studies: each varies one cause and measures what the roles and the table spend on it. */
import { createSilentLogger } from '@masticbend/kernel/log';
import { createConfigurationReplica } from '@masticbend/state/configuration-replica';
import { encodeFrame } from '@masticbend/protocol/frame';
import { parseConfiguration } from '@masticbend/settings/configuration';
import type { Operation } from '@masticbend/settings/document';
import { updateDocumentDigest } from '@masticbend/settings/document-digest';
import { waitFor } from '@masticbend/standins/http';
import { computeLine, type Line, type Point } from './line.js';
import { runSteadyLoad, sendBooking, sendLookup, sendStream } from './load.js';
import { formatConfiguration, startSlopeDeployment, type SlopeDeployment } from './plan.js';
import { computeRate, measureProcess, readUsage } from './usage.js';

/** Time for connections and caches to settle, in milliseconds. */
const SETTLE_MS = 3_000;
const MEASURE_MS = 8_000;
/** Tokens of a measured stream; at 37 ms a token it outlasts the measurement. */
const STREAM_TOKENS = 400;
/** Edits put in force one after the other. */
const EDIT_COUNT = 200;

const MINIMAL_SERVER = `
[backendServers.parcels-1]
agent = "127.0.0.1:1"
kind = "service"
dataCentre = "ostalpen-1"
serves = ["parcels"]
`;

/** A line with what it says. */
export interface Finding {
  name: string;
  cause: string;
  effect: string;
  line: Line;
}

/** Idle cost of a peer at an entry: processor, bytes and memory for each connected agent. */
export async function measureAgentsOfEntry(counts: number[]): Promise<Finding[]> {
  const rates = await measureAtSizes(counts, async (agents) => {
    const deployment = await startSlopeDeployment({ entries: 1, agents });
    return { deployment, subject: deployment.entries[0]! };
  });
  return describePeers('entry', 'connected agents', rates);
}

/** Idle cost of a peer at an agent: processor, bytes and memory for each connected entry. */
export async function measureEntriesOfAgent(counts: number[]): Promise<Finding[]> {
  const rates = await measureAtSizes(counts, async (entries) => {
    const deployment = await startSlopeDeployment({ entries, agents: 1 });
    return { deployment, subject: deployment.agents[0]! };
  });
  return describePeers('agent', 'connected entries', rates);
}

/** Cost of a plain call at the entry and at the agent. */
export async function measureCalls(rates: number[]): Promise<Finding[]> {
  const deployment = await startSlopeDeployment({ entries: 1, agents: 1 });
  const entry = deployment.entries[0]!;
  const agent = deployment.agents[0]!;
  const entryPoints: Point[] = [];
  const agentPoints: Point[] = [];
  await runSteadyLoad(rates.at(-1)!, MEASURE_MS, () => sendLookup(entry.address));
  for (const rate of rates) {
    const before = [await readUsage(entry), await readUsage(agent)] as const;
    const result = await runSteadyLoad(rate, MEASURE_MS, () => sendLookup(entry.address));
    const perSecond = result.succeeded / (MEASURE_MS / 1_000);
    entryPoints.push([perSecond, computeRate(before[0], await readUsage(entry)).core]);
    agentPoints.push([perSecond, computeRate(before[1], await readUsage(agent)).core]);
  }
  await deployment.stop();
  return [
    describeLine('entry processor, plain calls', 'calls/s', 'cores', entryPoints),
    describeLine('agent processor, plain calls', 'calls/s', 'cores', agentPoints),
  ];
}

/** Cost of open streams and of their tokens at the entry and at the agent. */
export async function measureStreams(counts: number[]): Promise<Finding[]> {
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
  // The first round warms both processes up and is not kept.
  for (const [round, count] of [counts.at(-1)!, ...counts].entries()) {
    const streams = Array.from({ length: count }, () =>
      sendStream(entry.address, STREAM_TOKENS, recordEvents),
    );
    await waitFor(SETTLE_MS);
    const eventsBefore = events;
    const [entryRate, agentRate] = await Promise.all([
      measureProcess(entry, MEASURE_MS),
      measureProcess(agent, MEASURE_MS),
    ]);
    const tokensPerSecond = (events - eventsBefore) / (MEASURE_MS / 1_000);
    await Promise.all(streams);
    if (round === 0) continue;
    entryCore.push([tokensPerSecond, entryRate.core]);
    agentCore.push([tokensPerSecond, agentRate.core]);
    entryMemory.push([count, entryRate.residentBytes]);
    agentMemory.push([count, agentRate.residentBytes]);
  }
  await deployment.stop();
  return [
    describeLine('entry processor, streams', 'tokens/s', 'cores', entryCore),
    describeLine('agent processor, streams', 'tokens/s', 'cores', agentCore),
    describeLine('entry memory, streams', 'open streams', 'bytes', entryMemory),
    describeLine('agent memory, streams', 'open streams', 'bytes', agentMemory),
  ];
}

/** Table operations of keyed calls, and of idle processes. */
export async function measureTable(rates: number[]): Promise<Finding[]> {
  const deployment = await startSlopeDeployment({ entries: 1, agents: 1 });
  const entry = deployment.entries[0]!;
  const { counters } = deployment.table;
  const reads: Point[] = [];
  const writes: Point[] = [];
  await waitFor(SETTLE_MS);
  for (const rate of rates) {
    const before = { ...counters };
    const result = await runSteadyLoad(rate, MEASURE_MS, () => sendBooking(entry.address));
    const seconds = MEASURE_MS / 1_000;
    reads.push([result.succeeded / seconds, (counters.reads - before.reads) / seconds]);
    writes.push([result.succeeded / seconds, (counters.writes - before.writes) / seconds]);
  }
  await deployment.stop();
  return [
    describeLine('table reads, keyed calls', 'keyed calls/s', 'reads/s', reads),
    describeLine('table writes, keyed calls', 'keyed calls/s', 'writes/s', writes),
  ];
}

/** Memory of an entry for the accounts it knows, and the time to check a whole document. */
export async function measureAccounts(counts: number[]): Promise<Finding[]> {
  const memory: Point[] = [];
  const time: Point[] = [];
  for (const accounts of counts) {
    const deployment = await startSlopeDeployment({ entries: 1, agents: 1, accounts });
    await waitFor(SETTLE_MS);
    const { residentBytes } = await readUsage(deployment.entries[0]!);
    memory.push([accounts, residentBytes]);
    await deployment.stop();
    time.push([accounts, measureParse(`${formatConfiguration(accounts)}${MINIMAL_SERVER}`)]);
  }
  return [
    describeLine('entry memory, accounts', 'client accounts', 'bytes', memory),
    describeLine('check of the document', 'client accounts', 'ms', time),
  ];
}

function measureParse(text: string): number {
  const startedAt = performance.now();
  if (!parseConfiguration(text).ok) throw new Error('the document of the study is not valid');
  return performance.now() - startedAt;
}

/** Time to put one edit in force, and bytes of its message, by the accounts in the document. */
export function measureEdits(counts: number[]): Promise<Finding[]> {
  const time: Point[] = [];
  const bytes: Point[] = [];
  for (const accounts of counts) {
    const edit = measureEdit(`${formatConfiguration(accounts)}${MINIMAL_SERVER}`);
    time.push([accounts, edit.durationMs]);
    bytes.push([accounts, edit.messageBytes]);
  }
  return Promise.resolve([
    describeLine('edit put in force', 'client accounts', 'ms', time),
    describeLine('edit message', 'client accounts', 'bytes', bytes),
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
  if (replica.getRevision() !== EDIT_COUNT + 1) throw new Error('an edit of the study failed');
  return { durationMs: (performance.now() - startedAt) / EDIT_COUNT, messageBytes };
}

interface SizedRate {
  size: number;
  core: number;
  meshBytesPerSecond: number;
  residentBytes: number;
}

async function measureAtSizes(
  sizes: number[],
  start: (
    size: number,
  ) => Promise<{ deployment: SlopeDeployment; subject: SlopeDeployment['entries'][number] }>,
): Promise<SizedRate[]> {
  const rates: SizedRate[] = [];
  for (const size of sizes) {
    const { deployment, subject } = await start(size);
    await waitFor(SETTLE_MS);
    rates.push({ size, ...(await measureProcess(subject, MEASURE_MS)) });
    await deployment.stop();
  }
  return rates;
}

function describePeers(role: string, cause: string, rates: SizedRate[]): Finding[] {
  const select = (effect: (rate: SizedRate) => number): Point[] =>
    rates.map((rate) => [rate.size, effect(rate)]);
  return [
    describeLine(
      `${role} processor, idle`,
      cause,
      'cores',
      select(({ core }) => core),
    ),
    describeLine(
      `${role} mesh traffic, idle`,
      cause,
      'bytes/s',
      select((rate) => rate.meshBytesPerSecond),
    ),
    describeLine(
      `${role} memory, idle`,
      cause,
      'bytes',
      select((rate) => rate.residentBytes),
    ),
  ];
}

function describeLine(name: string, cause: string, effect: string, points: Point[]): Finding {
  return { name, cause, effect, line: computeLine(points) };
}
