/** What must hold in a soak, checked on what callers and backend servers saw. */
import type { CallRecord } from './callers.js';
import { formatBody, formatEvents, type Run } from './engine.js';
import { BOUNDS } from './world.js';

/** Time by which the checks may read the clock late, in milliseconds. */
const READING_MS = 150;
/** Share of the requests after the last fault that must be served. */
const SERVED_SHARE = 0.95;

/** What a soak saw. */
export interface Observations {
  records: readonly CallRecord[];
  runs: readonly Run[];
  /** Times at which keys were taken away. */
  revokedAt: ReadonlyMap<string, number>;
  /** Times at which servers said that they leave, with the store within reach. */
  leavingAt: ReadonlyMap<string, number>;
  /** Time from which no fault was in effect. */
  calmFrom: number;
}

/** Returns one line for each broken promise. */
export function findBroken(seen: Observations): string[] {
  const runs = new Map<string, Run[]>();
  for (const run of seen.runs) runs.set(run.request, [...(runs.get(run.request) ?? []), run]);
  return [
    ...seen.records.flatMap((record) => checkRecord(record, runs.get(record.id) ?? [])),
    ...seen.records.flatMap((record) => checkKey(record, seen)),
    ...seen.runs.flatMap((run) => checkLeaving(run, seen)),
    ...checkRecovery(seen),
  ];
}

function checkRecord(record: CallRecord, runs: readonly Run[]): string[] {
  const { id, path, status, body, broken } = record;
  const faults: string[] = [];
  const isOnce = path === '/once/' || path === '/stream/';
  if (isOnce && runs.length > 1) faults.push(`${id} ${path} ran ${runs.length} times`);
  if (runs.length > 2) faults.push(`${id} ${path} ran ${runs.length} times, 2 allowed`);
  if (isOnce && [429, 503].includes(status) && runs.length > 0) {
    faults.push(`${id} ${path} was refused as not run, and ran`);
  }
  if (status === 200) faults.push(...checkBody(id, path, body, broken));
  return faults;
}

function checkBody(id: string, path: string, body: string, broken: boolean): string[] {
  const whole = path.includes('stream') ? formatEvents(id) : formatBody(id);
  if (!broken && body !== whole) return [`${id} ${path} ended as whole with other bytes`];
  // What broke off must be a beginning of the answer; a stream may end inside an event.
  if (broken && !whole.startsWith(body)) return [`${id} ${path} broke off with other bytes`];
  return [];
}

function checkKey({ id, key, sentAt, status }: CallRecord, { revokedAt }: Observations): string[] {
  const at = revokedAt.get(key);
  if (at === undefined || sentAt < at + BOUNDS.keyFreshnessMs + READING_MS) return [];
  return status === 200 ? [`${id} ran ${Math.round(sentAt - at)} ms after its key was taken`] : [];
}

function checkLeaving({ request, server, startedAt }: Run, { leavingAt }: Observations): string[] {
  const at = leavingAt.get(server);
  if (at === undefined || startedAt < at + BOUNDS.leavingMs + READING_MS) return [];
  return [`${request} ran at ${server} ${Math.round(startedAt - at)} ms after it said it leaves`];
}

function checkRecovery({ records, calmFrom, revokedAt }: Observations): string[] {
  const calm = records.filter(({ sentAt, key }) => sentAt >= calmFrom && !revokedAt.has(key));
  const served = calm.filter(({ status, broken }) => status === 200 && !broken).length;
  if (calm.length === 0 || served / calm.length >= SERVED_SHARE) return [];
  return [`only ${served} of ${calm.length} requests were served after the last fault`];
}
