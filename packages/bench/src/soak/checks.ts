/** What must hold in a soak, checked on what callers and backend servers saw. */
import type { CallRecord } from './callers.js';
import { formatBody, formatEvents, type Run } from './engine.js';
import { BOUNDS } from './cluster.js';

/** Time by which the checks may read the clock late, in milliseconds. */
const CLOCK_TOLERANCE_MS = 150;
/** Share of the requests after the last fault that must be served. */
const MIN_SERVED_FRACTION = 0.95;

/** What a soak saw. */
export interface Observations {
  records: readonly CallRecord[];
  runs: readonly Run[];
  /** Times at which keys were taken away. */
  revokedAt: ReadonlyMap<string, number>;
  /** Times at which servers said that they leave, with the store within reach. */
  leavingAt: ReadonlyMap<string, number>;
  /** Time from which no fault was in effect. */
  faultFreeFrom: number;
}

/** Returns one line for each broken promise. */
export function findViolations(observations: Observations): string[] {
  const runs = new Map<string, Run[]>();
  for (const run of observations.runs)
    runs.set(run.request, [...(runs.get(run.request) ?? []), run]);
  return [
    ...observations.records.flatMap((record) => checkRecord(record, runs.get(record.id) ?? [])),
    ...observations.records.flatMap((record) => checkKey(record, observations)),
    ...observations.runs.flatMap((run) => checkLeaving(run, observations)),
    ...checkRecovery(observations),
  ];
}

function checkRecord(record: CallRecord, runs: readonly Run[]): string[] {
  const { id, path, status, body, interrupted } = record;
  const violations: string[] = [];
  const isOnce = path === '/once/' || path === '/stream/';
  if (isOnce && runs.length > 1) violations.push(`${id} ${path} ran ${runs.length} times`);
  if (runs.length > 2) violations.push(`${id} ${path} ran ${runs.length} times, 2 allowed`);
  if (isOnce && [429, 503].includes(status) && runs.length > 0) {
    violations.push(`${id} ${path} was refused as not run, and ran`);
  }
  if (status === 200) violations.push(...checkBody(id, path, body, interrupted));
  return violations;
}

function checkBody(id: string, path: string, body: string, interrupted: boolean): string[] {
  const expectedBody = path.includes('stream') ? formatEvents(id) : formatBody(id);
  if (!interrupted && body !== expectedBody)
    return [`${id} ${path} ended as whole with other bytes`];
  // What broke off must be a beginning of the answer; a stream may end inside an event.
  if (interrupted && !expectedBody.startsWith(body))
    return [`${id} ${path} broke off with other bytes`];
  return [];
}

function checkKey({ id, key, sentAt, status }: CallRecord, { revokedAt }: Observations): string[] {
  const at = revokedAt.get(key);
  if (at === undefined || sentAt < at + BOUNDS.keyFreshnessMs + CLOCK_TOLERANCE_MS) return [];
  return status === 200 ? [`${id} ran ${Math.round(sentAt - at)} ms after its key was taken`] : [];
}

function checkLeaving({ request, server, startedAt }: Run, { leavingAt }: Observations): string[] {
  const at = leavingAt.get(server);
  if (at === undefined || startedAt < at + BOUNDS.leavingMs + CLOCK_TOLERANCE_MS) return [];
  return [`${request} ran at ${server} ${Math.round(startedAt - at)} ms after it said it leaves`];
}

function checkRecovery({ records, faultFreeFrom, revokedAt }: Observations): string[] {
  const faultFreeRecords = records.filter(
    ({ sentAt, key }) => sentAt >= faultFreeFrom && !revokedAt.has(key),
  );
  const served = faultFreeRecords.filter(
    ({ status, interrupted }) => status === 200 && !interrupted,
  ).length;
  if (faultFreeRecords.length === 0 || served / faultFreeRecords.length >= MIN_SERVED_FRACTION)
    return [];
  return [`only ${served} of ${faultFreeRecords.length} requests were served after the last fault`];
}
