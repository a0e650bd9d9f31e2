/**
 * Follows one table of the store: reads it whole, then takes its changes, and reads it whole again
 * when the history it needs is lost. Says how fresh its picture is, by the time at which the last
 * answered read was sent.
 */
import { waitFor, type Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { ReadResult, Store, StoreRow, StoreRows } from '@masticbend/platform/store';

/** Part of the time allowed for a change after which the store is read again at the latest. */
export const READ_INTERVAL_PART = 0.55;
/** Longest wait of the store for a change, in milliseconds. */
const CHANGE_WAIT_MS = 1_000;
/** Bounds of the pause after a failed read, in milliseconds. */
const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 500;

/** What the user of a feed is told. */
export interface FeedEvents {
  /** All rows of the table. */
  onTable: (rows: readonly StoreRow[]) => void;
  /** Rows changed or deleted since. */
  onChanges: (rows: readonly StoreRow[]) => void;
  /** The first answer after failed reads, before its rows are told. */
  onRestored?: () => void;
}

/** A running feed. */
export interface TableFeed {
  /** Time since the last answered read was sent, in milliseconds; undefined before the first. */
  getAgeMs: () => number | undefined;
  getRevision: () => number;
  start: () => void;
  stop: () => void;
}

/** What a feed needs. */
export interface FeedOptions {
  /** Least time between the starts of two reads, in milliseconds: bounds the calls to the store. */
  intervalMs: number;
  store: Pick<Store, 'readRows' | 'readChanges'>;
  table: string;
  clock: Clock;
  /** Elapsed time that counts suspension. */
  getElapsed: () => number;
  log: Logger;
  events: FeedEvents;
}

/** Returns a feed that has not read anything. */
export function createTableFeed(options: FeedOptions): TableFeed {
  const { intervalMs, store, table, clock, getElapsed, log, events } = options;
  let revision: number | undefined;
  let confirmedAt: number | undefined;
  let failures = 0;
  let stopped = false;

  async function readNext(): Promise<ReadResult> {
    if (revision === undefined) return store.readRows(table);
    return store.readChanges(table, revision, CHANGE_WAIT_MS);
  }

  function applyRows({ rows, revision: next }: StoreRows): void {
    const isWhole = revision === undefined;
    revision = Math.max(revision ?? 0, next);
    if (isWhole) events.onTable(rows);
    else if (rows.length > 0) events.onChanges(rows);
  }

  function recordFailure(reason: string): void {
    failures += 1;
    if (failures > 1) return;
    const ageMs = getAgeMs();
    log.warn(LogEvent.PlatformUnavailable, {
      table,
      reason,
      revision,
      ageMs: ageMs && Math.round(ageMs),
    });
  }

  function recordAnswer(sentAt: number): void {
    confirmedAt = Math.max(confirmedAt ?? 0, sentAt);
    if (failures === 0) return;
    log.info(LogEvent.PlatformRestored, { table, failures, revision });
    failures = 0;
    events.onRestored?.();
  }

  function getAgeMs(): number | undefined {
    return confirmedAt === undefined ? undefined : getElapsed() - confirmedAt;
  }

  async function readOnce(): Promise<number> {
    const sentAt = getElapsed();
    const result = await readNext();
    if (stopped) return 0;
    if (result.kind === 'unavailable') {
      recordFailure(result.reason);
      return Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * failures);
    }
    if (result.kind === 'history-lost') {
      log.warn(LogEvent.HistoryLost, { table, revision });
      revision = undefined;
      return 0;
    }
    recordAnswer(sentAt);
    applyRows(result.rows);
    return Math.max(0, intervalMs - (getElapsed() - sentAt));
  }

  async function run(): Promise<void> {
    while (!stopped) {
      const pauseMs = await readOnce();
      if (pauseMs > 0) await waitFor(clock, pauseMs);
    }
  }

  return {
    getAgeMs,
    getRevision: () => revision ?? 0,
    start() {
      run().catch((error: Error) => {
        log.error(LogEvent.ProcessFailed, { table, error: error.message });
        process.exitCode = 1;
        throw error;
      });
    },
    stop() {
      stopped = true;
    },
  };
}
