/**
 * Records of keyed calls in the table service. A record is inserted by compare-and-set before the
 * backend call and keeps its outcome afterwards, so that a repeat with the same idempotency key
 * gets that outcome and never a second run. Only the attempt that inserted a record may change it.
 */
import { createHash } from 'node:crypto';
import type { Clock } from '@masticbend/kernel/clock';
import type { Failure } from '@masticbend/protocol/error';
import type { IdempotencyReference } from '@masticbend/protocol/message';
import { PlatformError, type Row, type TableClient } from './table.js';

/** Table that holds the records. */
export const CALL_TABLE = 'calls';
/** Time a running attempt is believed to live without renewing its record, in milliseconds. */
export const ATTEMPT_LEASE_MS = 60_000;
/** Time a record is kept after its last change, in milliseconds. */
export const RECORD_RETENTION_MS = 24 * 3_600_000;
/** Time the mark of a released attempt is kept; longer than any insert can be held back. */
const RELEASED_RECORD_RETENTION_MS = 600_000;
/** Difference allowed between the wall clocks of two processes, in milliseconds. */
const MAX_CLOCK_SKEW_MS = 2_000;
/** Compare-and-set attempts on one record before the store counts as unavailable. */
const MAX_WRITE_ATTEMPTS = 3;
/** Records read by one step of the removal of expired ones. */
const REMOVAL_PAGE_ROWS = 50;
/** Characters of a record's key that choose where a removal step begins. */
const REMOVAL_PREFIX_CHARACTERS = 8;

/** How a keyed call ended. */
export type RecordedOutcome =
  | { kind: 'answer'; status: number; headers: Record<string, string>; body: string }
  | { kind: 'answer-too-large'; status: number }
  | { kind: 'failure'; failure: Failure };

/** Row of the table; times are wall time in milliseconds. */
interface CallRecord {
  fingerprint: string;
  attempt: string;
  /** True when a second run would do no harm. */
  idempotent: boolean;
  leaseEndsAt: number;
  expiresAt: number;
  /** Missing while the attempt runs. */
  outcome?: RecordedOutcome;
  /** True when the attempt was not run: another may take its place. */
  released?: boolean;
}

/** Right to run a keyed call once. */
export interface CallAttempt {
  key: string;
  attempt: string;
  fingerprint: string;
  idempotent: boolean;
  /** Version of the row as this attempt last knew it. */
  version: number;
}

/** What a keyed call may do. */
export type StartResult =
  | { kind: 'started'; attempt: CallAttempt }
  | { kind: 'recorded'; outcome: RecordedOutcome }
  | { kind: 'in-progress' }
  | { kind: 'outcome-unknown' }
  | { kind: 'key-reused' }
  /** The store did not answer; an uncertain attempt may be in it and must be released. */
  | { kind: 'unavailable'; uncertain?: CallAttempt | undefined };

/** What became of a change to an attempt's own record. */
export const ChangeResult = {
  Written: 'written',
  /** The record belongs to another attempt or is gone. */
  Superseded: 'superseded',
} as const;
export type ChangeResult = (typeof ChangeResult)[keyof typeof ChangeResult];

/** Records of keyed calls. Changes throw `PlatformError` while the store is unavailable. */
export interface IdempotencyRecords {
  /** Inserts the record of a call unless there is one; `attempt` must be unique for each use. */
  startAttempt: (
    reference: IdempotencyReference,
    attempt: string,
    idempotent: boolean,
  ) => Promise<StartResult>;
  /** Extends the lease of a running attempt. */
  renew: (attempt: CallAttempt) => Promise<ChangeResult>;
  /** Writes the outcome. */
  finish: (attempt: CallAttempt, outcome: RecordedOutcome) => Promise<ChangeResult>;
  /**
   * Marks the record of an attempt that was not run, so that a repeat may run. The mark is written
   * also where there is no record, since an insert that was held back must not land after it.
   */
  release: (attempt: CallAttempt) => Promise<ChangeResult>;
  /** Removes expired records from one page that begins at `position` in [0, 1). */
  removeExpired: (position: number) => Promise<number>;
}

interface InsertResult {
  row?: Row | undefined;
  failure?: PlatformError;
}

/** Returns the records kept by a table service. */
export function createIdempotencyRecords(table: TableClient, clock: Clock): IdempotencyRecords {
  async function startAttempt(
    reference: IdempotencyReference,
    attemptId: string,
    idempotent: boolean,
  ): Promise<StartResult> {
    const { fingerprint } = reference;
    const key = createRecordKey(reference.account, reference.key);
    const attempt: CallAttempt = { key, attempt: attemptId, fingerprint, idempotent, version: 0 };
    let expectedVersion = 0;
    let uncertain = false;
    for (let index = 0; index < MAX_WRITE_ATTEMPTS; index += 1) {
      const { row, failure } = await writeNewRecord(attempt, expectedVersion);
      if (failure) {
        // Inserting the same attempt again tells whether the lost transaction took effect.
        uncertain ||= failure.mayHaveTakenEffect;
        if (!failure.mayHaveTakenEffect) break;
      } else if (row && (row.value as CallRecord).attempt === attemptId) {
        return { kind: 'started', attempt: { ...attempt, version: row.version } };
      } else {
        const record = row?.value as CallRecord | undefined;
        const result = record && checkRecord(record, fingerprint, clock.readWallTime());
        if (result) return result;
        expectedVersion = row?.version ?? 0;
      }
    }
    return { kind: 'unavailable', uncertain: uncertain ? attempt : undefined };
  }

  /** Returns the row as it is after a conditional insert, or why it is not known. */
  async function writeNewRecord(attempt: CallAttempt, version: number): Promise<InsertResult> {
    const row = { table: CALL_TABLE, key: attempt.key };
    const value = createRecord(attempt, clock.readWallTime());
    const conditions = [{ ...row, version }];
    const writes = [{ ...row, value }];
    try {
      const { rows } = await table.transact({ conditions, writes, reads: [row] });
      return { row: rows[0] };
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return { failure: error };
    }
  }

  async function replaceRecord(attempt: CallAttempt, next: CallRecord): Promise<ChangeResult> {
    const row = { table: CALL_TABLE, key: attempt.key };
    for (let index = 0; index < MAX_WRITE_ATTEMPTS; index += 1) {
      const { committed, rows } = await table.transact({
        conditions: [{ ...row, version: attempt.version }],
        writes: [{ ...row, value: next }],
        reads: [row],
      });
      const found = rows[0];
      if (!found) return ChangeResult.Superseded;
      const record = found.value as CallRecord;
      const isOwn = record.attempt === attempt.attempt;
      const isReplaceable =
        next.released === true && isReleasedOrExpired(record, clock.readWallTime());
      if (!isOwn && !isReplaceable) return ChangeResult.Superseded;
      attempt.version = found.version;
      if (isOwn && (committed || record.outcome || record.released)) return ChangeResult.Written;
    }
    throw new PlatformError('the record keeps changing', false);
  }

  return {
    startAttempt,
    renew: (attempt) => replaceRecord(attempt, createRecord(attempt, clock.readWallTime())),
    finish(attempt, outcome) {
      return replaceRecord(attempt, { ...createRecord(attempt, clock.readWallTime()), outcome });
    },
    release(attempt) {
      const now = clock.readWallTime();
      const expiresAt = now + RELEASED_RECORD_RETENTION_MS;
      return replaceRecord(attempt, { ...createRecord(attempt, now), expiresAt, released: true });
    },
    async removeExpired(position) {
      const rows = await table.listRows(CALL_TABLE, formatStartKey(position), REMOVAL_PAGE_ROWS);
      const now = clock.readWallTime();
      const expired = rows.filter(({ value }) => (value as CallRecord).expiresAt <= now);
      let removedCount = 0;
      for (const { key, version } of expired) {
        const row = { table: CALL_TABLE, key };
        const conditions = [{ ...row, version }];
        const result = await table.transact({ conditions, writes: [{ ...row, value: null }] });
        if (result.committed) removedCount += 1;
      }
      return removedCount;
    },
  };
}

/** Returns what a repeat gets, or undefined when it may run. */
function checkRecord(
  record: CallRecord,
  fingerprint: string,
  now: number,
): StartResult | undefined {
  if (isReleasedOrExpired(record, now)) return undefined;
  if (record.fingerprint !== fingerprint) return { kind: 'key-reused' };
  if (record.outcome) return { kind: 'recorded', outcome: record.outcome };
  if (now < record.leaseEndsAt + MAX_CLOCK_SKEW_MS) return { kind: 'in-progress' };
  return record.idempotent ? undefined : { kind: 'outcome-unknown' };
}

function isReleasedOrExpired(record: CallRecord, now: number): boolean {
  return record.released === true || record.expiresAt <= now;
}

function createRecord(attempt: CallAttempt, now: number): CallRecord {
  const { fingerprint, idempotent } = attempt;
  return {
    fingerprint,
    attempt: attempt.attempt,
    idempotent,
    leaseEndsAt: now + ATTEMPT_LEASE_MS,
    expiresAt: now + RECORD_RETENTION_MS,
  };
}

/** Hashing bounds the key's length and spreads records evenly over the table. */
function createRecordKey(account: string, key: string): string {
  return createHash('sha256')
    .update(JSON.stringify([account, key]))
    .digest('hex');
}

function formatStartKey(position: number): string {
  const radix = 16;
  const prefixCount = radix ** REMOVAL_PREFIX_CHARACTERS;
  return Math.floor(position * prefixCount)
    .toString(radix)
    .padStart(REMOVAL_PREFIX_CHARACTERS, '0');
}
