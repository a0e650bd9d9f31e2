/**
 * Follows one table: reads all rows, then their changes, and reads all rows again when the required
 * change history is no longer available or the store was restored from an older copy. The age of
 * the data is the time since the last successful read was sent.
 *
 * After a restoration the writers of the lost rows write them again. Until then a read does not
 * show the newest data, so it does not renew the age.
 */
import { startPause, type Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { REGISTRATION_GRACE_MS } from '@masticbend/scheduling/server-list';
import type { ReadResult, Store, StoreRow, StoreRows } from '@masticbend/platform/store';
import { createTableCopy, type TableCopy } from './table-copy.js';

/** Read interval, as a fraction of the time within which a change must take effect. */
export const READ_INTERVAL_FRACTION = 0.55;
/** Longest time for which a read waits at the store for a change (long poll). */
const MAX_CHANGE_WAIT_MS = 1_000;
/** Read interval of an entry that reads for others, as a fraction of its own interval. */
const READER_INTERVAL_FRACTION = 0.4;
/** Wait for a change of such a read, as a fraction of its interval. */
const READER_WAIT_FRACTION = 0.3;
/** Interval of reads from peers and their wait for a change, as fractions of the own interval. */
const RELAYED_INTERVAL_FRACTION = 0.25;
const RELAYED_WAIT_FRACTION = 0.25;
/** Age up to which rows of a peer are used, as a fraction of the own interval. */
const MAX_RELAYED_AGE_FRACTION = 0.6;
/** Shortest and longest delay after a failed read. */
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 500;

/** Whether an entry reads a table for itself, on behalf of others, or from those that do. */
export const ReadRole = { Own: 'own', ForOthers: 'for-others', FromPeers: 'from-peers' } as const;
export type ReadRole = (typeof ReadRole)[keyof typeof ReadRole];

/** Where the rows of a read came from. */
export interface RowSource {
  /** Name of the peer that gave them; undefined for the store. */
  peer?: string;
  /** Time since the store was asked for them, in milliseconds. */
  ageMs: number;
}

/** Events of a feed. */
export interface FeedEvents {
  /** All rows of the table. */
  onTable: (rows: readonly StoreRow[], source: RowSource) => void;
  /** Rows changed or deleted since the last read. */
  onChanges: (rows: readonly StoreRow[], source: RowSource) => void;
  /** Called on the first successful read after failed ones, before its rows are reported. */
  onReconnected?: () => void;
  /** Called when the store was restored from an older copy, before its rows are reported. */
  onRestored?: () => void;
  /** Called after each read that was applied. */
  onRead?: () => void;
}

/** A running feed. */
export interface TableFeed {
  /** Time since the last successful read was sent, in milliseconds; undefined before the first. */
  getAgeMs: () => number | undefined;
  /** The rows, for peers that read them from this entry. */
  copy: TableCopy;
  /** Age up to which a peer's rows are used in place of the store's, in milliseconds. */
  maxRelayedAgeMs: number;
  /** Newest revision read; 0 before the first read and after a loss of history. */
  getRevision: () => number;
  /** The rows that a restored store had lost are known to be written again. */
  endRewrite: () => void;
  /** Starts the next read now, unless one is in progress. */
  refresh: () => void;
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
  /** How the entry's reads reach the store. */
  getReadRole: () => ReadRole;
  events: FeedEvents;
}

/** Returns a feed that has not read any rows. */
export function createTableFeed(options: FeedOptions): TableFeed {
  const { intervalMs, store, table, clock, getElapsed, log, getReadRole, events } = options;
  const copy = createTableCopy();
  let revision: number | undefined;
  let era: number | undefined;
  let confirmedAt: number | undefined;
  /** End of the time for writing lost rows again; all rows are read once more after it. */
  let rewriteEndsAt: number | undefined;
  let failures = 0;
  let wake = () => {};
  let stopped = false;

  async function readNext(sentAt: number): Promise<ReadResult> {
    if (rewriteEndsAt !== undefined && sentAt >= rewriteEndsAt) {
      rewriteEndsAt = undefined;
      revision = undefined;
    }
    if (revision === undefined) return store.readRows(table);
    return store.readChanges(table, revision, chooseWaitMs());
  }

  function chooseWaitMs(): number {
    const fraction = {
      [ReadRole.Own]: 1,
      [ReadRole.ForOthers]: READER_INTERVAL_FRACTION * READER_WAIT_FRACTION,
      [ReadRole.FromPeers]: RELAYED_WAIT_FRACTION,
    }[getReadRole()];
    return Math.min(MAX_CHANGE_WAIT_MS, Math.round(intervalMs * fraction));
  }

  function chooseIntervalMs({ ageMs }: StoreRows): number {
    if (ageMs !== undefined) return intervalMs * RELAYED_INTERVAL_FRACTION;
    return getReadRole() === ReadRole.ForOthers
      ? intervalMs * READER_INTERVAL_FRACTION
      : intervalMs;
  }

  function applyRows(read: StoreRows, sentAt: number): void {
    const { rows, revision: nextRevision, peer } = read;
    const source = { peer, ageMs: getElapsed() - sentAt };
    const isFullTable = revision === undefined;
    if (isFullTable) copy.setAll(read);
    else copy.apply(read);
    revision = Math.max(revision ?? 0, nextRevision);
    if (isFullTable) events.onTable(rows, source);
    else if (rows.length > 0) events.onChanges(rows, source);
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

  function recordAnswer(): void {
    if (failures === 0) return;
    log.info(LogEvent.PlatformRestored, { table, failures, revision });
    failures = 0;
    events.onReconnected?.();
  }

  function recordConfirmation(sentAt: number): void {
    if (rewriteEndsAt === undefined) confirmedAt = Math.max(confirmedAt ?? 0, sentAt);
  }

  /** Revisions of the earlier era say nothing about this one: all rows have to be read again. */
  function startEra(nextEra: number): void {
    log.warn(LogEvent.StoreRestored, { table, era: nextEra, earlierEra: era, revision });
    revision = undefined;
    rewriteEndsAt = getElapsed() + REGISTRATION_GRACE_MS;
    events.onRestored?.();
  }

  /** Returns the rows of an answer; undefined where all rows have to be read instead. */
  function takeRows(result: Exclude<ReadResult, { kind: 'unavailable' }>): StoreRows | undefined {
    const isChangeRead = revision !== undefined;
    const answerEra = result.kind === 'rows' ? result.rows.era : result.era;
    if (era !== undefined && answerEra !== era) startEra(answerEra);
    era = answerEra;
    if (result.kind === 'history-lost') {
      log.warn(LogEvent.HistoryLost, { table, revision });
      revision = undefined;
      return undefined;
    }
    return isChangeRead && revision === undefined ? undefined : result.rows;
  }

  function getAgeMs(): number | undefined {
    return confirmedAt === undefined ? undefined : getElapsed() - confirmedAt;
  }

  async function readOnce(): Promise<number> {
    const sentAt = getElapsed();
    const result = await readNext(sentAt);
    if (stopped) return 0;
    if (result.kind === 'unavailable') {
      recordFailure(result.reason);
      return Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * failures);
    }
    const rows = takeRows(result);
    if (!rows) return 0;
    recordAnswer();
    const askedAt = sentAt - (rows.ageMs ?? 0);
    applyRows(rows, askedAt);
    recordConfirmation(askedAt);
    events.onRead?.();
    return chooseDelayMs(sentAt, chooseIntervalMs(rows));
  }

  /** Reads once more at the end of a rewrite, so that the age stays low. */
  function chooseDelayMs(sentAt: number, delayMs: number): number {
    const now = getElapsed();
    const nextReadAt = Math.min(sentAt + delayMs, rewriteEndsAt ?? Infinity);
    return Math.max(0, nextReadAt - now);
  }

  async function run(): Promise<void> {
    while (!stopped) {
      const delayMs = await readOnce();
      if (delayMs > 0) {
        const pause = startPause(clock, delayMs);
        wake = pause.end;
        await pause.ended;
      }
    }
  }

  return {
    copy,
    maxRelayedAgeMs: intervalMs * MAX_RELAYED_AGE_FRACTION,
    getAgeMs,
    getRevision: () => revision ?? 0,
    endRewrite() {
      rewriteEndsAt = undefined;
    },
    refresh: () => wake(),
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
