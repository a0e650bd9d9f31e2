/**
 * Runs one cell: sends the request under test (the subject) and background requests of both tiers,
 * injects the fault at the chosen step, ends it, retries every booking with its key at the other
 * entry, and checks the guarantees.
 */
import { randomBytes } from 'node:crypto';
import { waitFor } from '@masticbend/standins/http';
import { RequestKind, isSuccess, sendTestRequest, type Answer, type SendHooks } from './caller.js';
import { findViolations, type RequestHistory, type BackendRecord } from './checks.js';
import { createRecord } from '../recovery/fleet.js';
import { ACCOUNT_KEYS, type Cluster } from './cluster.js';
import { Fault, formatCell, isStreamStep, TriggerPoint, type Cell } from './matrix.js';
import { getFaultDurationMs, SLOW_DELAY_MS } from './fault-effects.js';
import { createTrigger, type Trigger } from './trigger.js';

/** Outcome of a cell. */
export interface CellResult {
  cell: Cell;
  violations: string[];
  /** Answers to the request under test and its retries, formatted. */
  subjectAnswers: string[];
  durationMs: number;
}

const INJECTION_TIMEOUT_MS = 6_000;
const MAX_BOOKING_RETRIES = 4;
const RETRY_INTERVAL_MS = 400;
const PROBE_TIMEOUT_MS = 12_000;
const PROBE_BOOKINGS_PER_ENTRY = 6;
/** Time for work that a delayed process might still start, in milliseconds. */
const SETTLE_MS = 300;

/** Runs a cell on a healthy cluster and leaves it healthy. */
export async function runCell(cluster: Cluster, cell: Cell): Promise<CellResult> {
  const startedAt = performance.now();
  const { entries } = cluster.deployment;
  const kind = isStreamStep(cell.step) ? RequestKind.Stream : RequestKind.Booking;
  const subject = createHistory(kind, ACCOUNT_KEYS.subject, 0, formatCell(cell));
  const backgroundHistories = createBackgroundRequests(cell);
  const trigger = createTrigger(cell, cluster, entries[0]!, subject.testRequest);
  cluster.setWatcher(trigger.watcher);

  const sending = [
    sendSubject(cluster, cell, subject, trigger),
    ...backgroundHistories.map((history, index) => send(history, entries[index % 2]!.address)),
  ];
  const isInjected = await Promise.race([
    trigger.injected.then(() => true),
    waitFor(INJECTION_TIMEOUT_MS).then(() => false),
  ]);
  if (isInjected) await waitFor(getFaultDurationMs(cell.fault));
  await cluster.reset();
  await Promise.all(sending);
  await waitFor(SETTLE_MS);

  const histories = [subject, ...backgroundHistories];
  const violations = isInjected
    ? []
    : [`not reached: the subject never came to ${formatCell(cell)}`];
  violations.push(...findViolations(histories, readRecord(cluster)));
  await Promise.all(histories.map((history) => retryBooking(history, entries[1]!.address)));
  violations.push(...(await probeRecovery(cluster, formatCell(cell))));
  violations.push(...findViolations(histories, readRecord(cluster)));
  return {
    cell,
    violations: [...new Set(violations)],
    subjectAnswers: subject.answers.map(formatAnswer),
    durationMs: performance.now() - startedAt,
  };
}

function createHistory(
  kind: RequestKind,
  apiKey: string,
  tier: number,
  name: string,
): RequestHistory {
  const marker = `${name.replace('/', '.')}-${randomBytes(4).toString('hex')}`;
  return { testRequest: { kind, marker, apiKey, tier }, sentAt: 0, sendCount: 0, answers: [] };
}

function createBackgroundRequests(cell: Cell): RequestHistory[] {
  const name = formatCell(cell);
  const { high, low } = ACCOUNT_KEYS;
  return [
    createHistory(RequestKind.Booking, high, 0, name),
    createHistory(RequestKind.Booking, low, 1, name),
    createHistory(RequestKind.Stream, low, 1, name),
    createHistory(RequestKind.Stream, high, 0, name),
    createHistory(RequestKind.Chat, high, 0, name),
    createHistory(RequestKind.Lookup, low, 1, name),
  ];
}

async function send(history: RequestHistory, address: string, hooks?: SendHooks): Promise<void> {
  if (history.sendCount === 0) history.sentAt = performance.now();
  history.sendCount += 1;
  history.answers.push(await sendTestRequest(address, history.testRequest, hooks));
}

async function sendSubject(
  cluster: Cluster,
  cell: Cell,
  subject: RequestHistory,
  trigger: Trigger,
): Promise<void> {
  const [first, second] = cluster.deployment.entries;
  const callerAbort = new AbortController();
  const hooks: SendHooks = {
    signal: callerAbort.signal,
    async onHalfSent() {
      if (cell.triggerPoint !== TriggerPoint.Caller) return;
      trigger.injectAtCaller();
      if (cell.fault === Fault.ConnectionCut) callerAbort.abort();
      if (cell.fault === Fault.Slow) await waitFor(SLOW_DELAY_MS);
      if (cell.fault === Fault.AnswerLost) setTimeout(() => callerAbort.abort(), SETTLE_MS / 10);
    },
  };
  const sending = [send(subject, first!.address, hooks)];
  if (cell.triggerPoint === TriggerPoint.Caller && cell.fault === Fault.Duplicated) {
    sending.push(send(subject, second!.address));
  }
  await Promise.all(sending);
}

/** Retries a booking with its key until it succeeds, at most `MAX_BOOKING_RETRIES` times. */
async function retryBooking(history: RequestHistory, address: string): Promise<void> {
  if (history.testRequest.kind !== RequestKind.Booking) return;
  for (let index = 0; index < MAX_BOOKING_RETRIES; index += 1) {
    await send(history, address);
    if (isSuccess(history.answers.at(-1)!)) return;
    await waitFor(RETRY_INTERVAL_MS);
  }
}

/**
 * Checks that both entries serve bookings, lookups and streams again. Several concurrent bookings
 * reach each agent, so that afterwards no agent is still in back-off from the table service.
 */
export async function probeRecovery(cluster: Cluster, name: string): Promise<string[]> {
  const end = performance.now() + PROBE_TIMEOUT_MS;
  const bookings = Array.from({ length: PROBE_BOOKINGS_PER_ENTRY }, () => RequestKind.Booking);
  const kinds = [...bookings, RequestKind.Lookup, RequestKind.Stream];
  const probe = async (address: string, kind: RequestKind): Promise<string[]> => {
    let answer: Answer;
    do {
      const { testRequest } = createHistory(kind, ACCOUNT_KEYS.high, 0, name);
      answer = await sendTestRequest(address, testRequest);
      if (isSuccess(answer)) return [];
      await waitFor(RETRY_INTERVAL_MS);
    } while (performance.now() < end);
    return [`recovery: ${kind} still gets ${formatAnswer(answer)}`];
  };
  const probes = cluster.deployment.entries.flatMap(({ address }) =>
    kinds.map((kind) => probe(address, kind)),
  );
  return (await Promise.all(probes)).flat();
}

function readRecord({ backends }: Cluster): BackendRecord {
  return createRecord(
    backends.flatMap(({ engine }) => engine ?? []),
    backends.flatMap(({ service }) => service ?? []),
  );
}

function formatAnswer({ status, isComplete, error }: Answer): string {
  if (error) return `${status} ${error.kind} (ran: ${error.ran})`;
  return isComplete ? `${status}` : `${status || 'no answer'}, cut`;
}
