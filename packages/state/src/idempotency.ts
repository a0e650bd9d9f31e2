/**
 * Records of calls with an idempotency key, in the table service. A record is inserted by
 * compare-and-set before the backend call and stores the outcome afterwards, so that a retry with
 * the same key gets that outcome and the call does not run twice. Only the attempt that inserted a
 * record may change it. Another attempt may replace the record once it is released or expired, or,
 * for an idempotent call, once the lease has ended.
 */
import { createHash } from 'node:crypto';
import type { Clock } from '@masticbend/kernel/clock';
import type { Failure } from '@masticbend/protocol/error';
import type { IdempotencyReference } from '@masticbend/protocol/call-message';
import { PlatformError, type Row, type TableClient } from './table.js';

export const CALL_TABLE = 'calls';
/** Lease of a running attempt; without renewal the attempt counts as dead once it has expired. */
export const ATTEMPT_LEASE_MS = 60_000;
/** Time a record is kept after its last change. */
export const RECORD_RETENTION_MS = 24 * 3_600_000;
/** Time the record of a released attempt is kept; longer than any insert can be delayed. */
const RELEASED_RECORD_RETENTION_MS = 600_000;
/** Largest tolerated difference between the wall clocks of two processes. */
const MAX_CLOCK_SKEW_MS = 2_000;
/** Compare-and-set attempts on one record before the table service counts as unavailable. */
const MAX_WRITE_ATTEMPTS = 3;
/** Records read in one pass of the removal of expired records. */
const REMOVAL_PAGE_ROWS = 50;
/** Leading characters of a record key that select where a removal pass starts. */
const REMOVAL_PREFIX_CHARACTERS = 8;

/** Recorded outcome of a keyed call. */
export type RecordedOutcome =
  | { kind: 'answer'; status: number; headers: Record<string, string>; body: string }
  | { kind: 'answer-too-large'; status: number }
  | { kind: 'failure'; failure: Failure };

/** Value of a row; times are wall-clock time in milliseconds. */
interface CallRecord {
  fingerprint: string;
  attempt: string;
  /** True if the call may safely run twice. */
  idempotent: boolean;
  leaseEndsAt: number;
  expiresAt: number;
  /** Absent while the attempt is running. */
  outcome?: RecordedOutcome;
  /** True if the attempt did not run; another attempt may then replace the record. */
  released?: boolean;
}

/** One attempt at a keyed call, which holds the right to run it. */
export interface CallAttempt {
  key: string;
  attempt: string;
  fingerprint: string;
  idempotent: boolean;
  /** Row version last seen by this attempt. */
  version: number;
}

/** Result of starting an attempt. */
export type StartResult =
  | { kind: 'started'; attempt: CallAttempt }
  | { kind: 'recorded'; outcome: RecordedOutcome }
  | { kind: 'in-progress' }
  | { kind: 'outcome-unknown' }
  | { kind: 'key-reused' }
  /** The table service is unavailable; an `uncertain` attempt may be stored: release it. */
  | { kind: 'unavailable'; uncertain?: CallAttempt | undefined };

/** Result of a change to an attempt's own record. */
export const ChangeResult = {
  Written: 'written',
  /** The record belongs to another attempt or is gone. */
  Superseded: 'superseded',
} as const;
export type ChangeResult = (typeof ChangeResult)[keyof typeof ChangeResult];

/** Records of keyed calls. Changes throw `PlatformError` if the table service is unavailable. */
export interface IdempotencyRecords {
  /** Inserts the record of a call unless one exists; `attempt` must be unique for each call. */
  startAttempt: (
    reference: IdempotencyReference,
    attempt: string,
    idempotent: boolean,
  ) => Promise<StartResult>;
  /** Extends the lease of a running attempt. */
  renew: (attempt: CallAttempt) => Promise<ChangeResult>;
  /** Records the outcome. */
  finish: (attempt: CallAttempt, outcome: RecordedOutcome) => Promise<ChangeResult>;
  /**
   * Marks the record of an attempt that did not run as released, so that a retry may run. The mark
   * is also written if there is no record, so that a delayed insert cannot take effect later.
   */
  release: (attempt: CallAttempt) => Promise<ChangeResult>;
  /**
   * Removes the expired records of one page of the table, which starts at `position` in [0, 1) of
   * the key range; returns how many were removed.
   */
  removeExpired: (position: number) => Promise<number>;
}

interface InsertResult {
  row?: Row | undefined;
  failure?: PlatformError;
}

/** Returns the records stored in a table service. */
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
        // Inserting the same attempt again shows whether the transaction took effect.
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

  /** Inserts conditionally; returns the row as it is afterwards, or the failure. */
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
    throw new PlatformError('call record changed during every write attempt', false);
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

/** Returns the result of a retry that finds this record, or undefined if the retry may run. */
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

/** Hashes the key, which bounds its length and distributes records evenly over the table. */
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
