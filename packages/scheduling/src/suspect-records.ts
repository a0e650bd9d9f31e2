/** The suspects of one instance with their crashes, bounded however callers vary requests. */
import { isRequestSuspect } from './request-digest.js';
import { countOpen, MIN_CRASHES, type Crash, type SuspectRecord } from './suspect-record.js';

/**
 * Suspects of each kind with evidence; the oldest with at most one crash is dropped first, then the
 * one with the fewest.
 */
const MAX_PARTS = 256;
const MAX_REQUESTS = 1_024;
/** Time for which a crash is held against a suspect that is not blocked. */
export const EVIDENCE_MS = 600_000;

/** Records by suspect. Times are monotonic, in milliseconds. */
export interface SuspectRecords {
  find: (suspect: string) => SuspectRecord | undefined;
  /** Returns the record of a suspect, a new one if there is none. */
  add: (now: number, suspect: string) => SuspectRecord;
  /** Marks a record as changed, so that it is dropped later than others. */
  recordChange: (now: number, suspect: string, record: SuspectRecord) => void;
  list: () => [string, SuspectRecord][];
  /** Returns whether there are whole requests; old ones that are not `isKept` are dropped. */
  hasRequests: (now: number, isKept: (record: SuspectRecord) => boolean) => boolean;
}

/** Returns an empty collection. */
export function createSuspectRecords(): SuspectRecords {
  /** By kind, in the order of their last change. */
  const parts = new Map<string, SuspectRecord>();
  const requests = new Map<string, SuspectRecord>();
  let requestChangedAt = -Infinity;

  function getRecords(suspect: string): Map<string, SuspectRecord> {
    return isRequestSuspect(suspect) ? requests : parts;
  }

  function dropLeast(now: number, records: Map<string, SuspectRecord>, maxSize: number): void {
    let least: { suspect: string; crashes: number } | undefined;
    for (const [suspect, record] of records) {
      const crashes = countOpen(record);
      if (crashes < MIN_CRASHES && now - record.changedAt > EVIDENCE_MS) records.delete(suspect);
      else if (!least || crashes < least.crashes) least = { suspect, crashes };
      if (least && least.crashes <= 1) break;
    }
    if (least && records.size >= maxSize) records.delete(least.suspect);
  }

  return {
    find: (suspect) => getRecords(suspect).get(suspect),
    add(now, suspect) {
      const records = getRecords(suspect);
      const known = records.get(suspect);
      if (known) return known;
      const maxSize = records === requests ? MAX_REQUESTS : MAX_PARTS;
      if (records.size >= maxSize) dropLeast(now, records, maxSize);
      const record = {
        crashes: new Map<string, Crash>(),
        trials: 0,
        lostTrials: 0,
        failedTrials: 0,
        changedAt: now,
      };
      records.set(suspect, record);
      return record;
    },
    recordChange(now, suspect, record) {
      const records = getRecords(suspect);
      if (records === requests) requestChangedAt = now;
      record.changedAt = now;
      records.delete(suspect);
      records.set(suspect, record);
    },
    list: () => [...parts, ...requests],
    hasRequests(now, isKept) {
      if (now - requestChangedAt > EVIDENCE_MS) {
        for (const [suspect, record] of requests) {
          if (!isKept(record)) requests.delete(suspect);
        }
        requestChangedAt = now;
      }
      return requests.size > 0;
    },
  };
}
