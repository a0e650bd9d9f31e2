/**
 * Follows one table: reads all rows, then their changes, and reads all rows again when the required
 * change history is no longer available. The age of the data is the time since the last successful
 * read was sent.
 */
import { waitFor, type Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { ReadResult, Store, StoreRow, StoreRows } from '@masticbend/platform/store';

/** Read interval, as a fraction of the time within which a change must take effect. */
export const READ_INTERVAL_FRACTION = 0.55;
/** Longest time for which a read waits at the store for a change (long poll). */
const MAX_CHANGE_WAIT_MS = 1_000;
/** Shortest and longest delay after a failed read. */
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 500;

/** Events of a feed. */
export interface FeedEvents {
  /** All rows of the table. */
  onTable: (rows: readonly StoreRow[]) => void;
  /** Rows changed or deleted since the last read. */
  onChanges: (rows: readonly StoreRow[]) => void;
  /** Called on the first successful read after failed ones, before its rows are reported. */
  onRestored?: () => void;
}

/** A running feed. */
export interface TableFeed {
  /** Time since the last successful read was sent, in milliseconds; undefined before the first. */
  getAgeMs: () => number | undefined;
  /** Newest revision read; 0 before the first read and after a loss of history. */
  getRevision: () => number;
  start: () => void;
  stop: () => void;
}

/** Dependencies of a feed. */
export interface FeedOptions {
  /** Shortest time between the starts of two reads, in milliseconds: bounds the rate of calls. */
  intervalMs: number;
  store: Pick<Store, 'readRows' | 'readChanges'>;
  table: string;
  clock: Clock;
  /** Elapsed milliseconds, including time in which the machine was suspended. */
  getElapsed: () => number;
  log: Logger;
  events: FeedEvents;
}

/** Returns a feed that has not read any rows. */
export function createTableFeed(options: FeedOptions): TableFeed {
  const { intervalMs, store, table, clock, getElapsed, log, events } = options;
  let revision: number | undefined;
  let confirmedAt: number | undefined;
  let failures = 0;
  let stopped = false;

  async function readNext(): Promise<ReadResult> {
    if (revision === undefined) return store.readRows(table);
    return store.readChanges(table, revision, MAX_CHANGE_WAIT_MS);
  }

  function applyRows({ rows, revision: nextRevision }: StoreRows): void {
    const isFullTable = revision === undefined;
    revision = Math.max(revision ?? 0, nextRevision);
    if (isFullTable) events.onTable(rows);
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
      return Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * failures);
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
      const delayMs = await readOnce();
      if (delayMs > 0) await waitFor(clock, delayMs);
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
