/**
 * Leases with fencing numbers in the table service. Each grant of a lease increases its fencing
 * number. A new holder may take over once the lease is released, or once it has seen the lease
 * unchanged for the whole duration plus an allowance. It measures that time on its own monotonic
 * clock, so differing wall clocks are harmless. Where the fencing number itself gives protection, a
 * new holder need not wait.
 */
import { randomUUID } from 'node:crypto';
import type { Clock } from '@masticbend/kernel/clock';
import { PlatformError, type Row, type TableClient } from './table.js';

export const LEASE_TABLE = 'leases';
/** Allowance for clocks that run at different rates. */
export const CLOCK_DRIFT_ALLOWANCE_MS = 1_000;

/** A lease held by this process. */
export interface Lease {
  /** Fencing number; higher than that of every earlier holder. */
  fencing: number;
  /** Monotonic time, in milliseconds, from which the holder must no longer act. */
  endsAt: number;
  /** Unique for each grant. */
  token: string;
  /** Row version, required to release the lease. */
  version: number;
}

/** Outcome of one attempt to acquire a lease. */
export type AcquireResult =
  | { kind: 'held'; lease: Lease }
  /** Another process may hold the lease; retry after `waitMs`. */
  | { kind: 'wait'; waitMs: number };

/** Acquires and releases one lease. Both calls may throw `PlatformError`. */
export interface LeaseManager {
  tryAcquire: () => Promise<AcquireResult>;
  /** Releases the lease, so that the next holder need not wait. */
  release: (lease: Lease) => Promise<void>;
}

/** Name and duration of a lease, and dependencies. */
export interface LeaseOptions {
  table: TableClient;
  clock: Clock;
  name: string;
  durationMs: number;
  /** Returns whether a new holder must wait until the previous lease has certainly expired. */
  waitsForExpiry: () => boolean;
}

interface LeaseRecord {
  fencing: number;
  token: string;
  durationMs: number;
  released: boolean;
}

/** Returns a manager that holds no lease. */
export function createLeaseManager(options: LeaseOptions): LeaseManager {
  const { table, clock, name, durationMs, waitsForExpiry } = options;
  const reference = { table: LEASE_TABLE, key: name };
  let lastSeen: { version: number; seenAt: number } | undefined;

  async function tryAcquire(): Promise<AcquireResult> {
    const row = await table.readRow(reference);
    const waitMs = row ? computeWait(row) : 0;
    if (waitMs > 0) return { kind: 'wait', waitMs };
    const token = randomUUID();
    const fencing = ((row?.value as LeaseRecord | undefined)?.fencing ?? 0) + 1;
    const value: LeaseRecord = { fencing, token, durationMs, released: false };
    const startedAt = clock.now();
    const writtenVersion = await writeRecord(row?.version ?? 0, value);
    if (writtenVersion === undefined) return { kind: 'wait', waitMs: CLOCK_DRIFT_ALLOWANCE_MS };
    const lease = { fencing, endsAt: startedAt + durationMs, token, version: writtenVersion };
    return { kind: 'held', lease };
  }

  function computeWait(row: Row): number {
    const record = row.value as LeaseRecord;
    if (record.released || !waitsForExpiry()) return 0;
    const now = clock.now();
    if (lastSeen?.version !== row.version) lastSeen = { version: row.version, seenAt: now };
    return Math.max(0, lastSeen.seenAt + record.durationMs + CLOCK_DRIFT_ALLOWANCE_MS - now);
  }

  /** Returns the new version of the row, or undefined if another process changed it first. */
  async function writeRecord(version: number, value: LeaseRecord): Promise<number | undefined> {
    const conditions = [{ ...reference, version }];
    const writes = [{ ...reference, value }];
    try {
      const { rows } = await table.transact({ conditions, writes, reads: [reference] });
      return findOwnVersion(rows[0], value.token);
    } catch (error) {
      if (!(error instanceof PlatformError) || !error.mayHaveTakenEffect) throw error;
      return findOwnVersion(await table.readRow(reference), value.token);
    }
  }

  return {
    tryAcquire,
    async release(lease) {
      const { fencing, token, version } = lease;
      await writeRecord(version, { fencing, token, durationMs, released: true });
    },
  };
}

function findOwnVersion(row: Row | undefined, token: string): number | undefined {
  return (row?.value as LeaseRecord | undefined)?.token === token ? row!.version : undefined;
}
