/**
 * Reads of store tables through peers. In a large deployment only a few entries, the readers, read
 * the store at short intervals; the others read from them, and from the store only when no reader
 * has answered with recent rows. Roles are a preference: any entry answers from what it has read,
 * together with the age of its rows, and an entry that the store does not answer reads from peers,
 * whatever its role.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { TableReadMessage, TableRowsMessage } from '@masticbend/protocol/gateway-message';
import type { Message } from '@masticbend/protocol/message';
import type { ReadResult, StoreRow } from '@masticbend/platform/store';
import { computeRendezvousWeight, hashText } from '@masticbend/scheduling/affinity';
import { ReadRole, type TableFeed } from './table-feed.js';

/** Number of entries that read the store; the loss of all but one delays nobody. */
const READER_COUNT = 3;
/** Number of other entries below which each one reads the store itself. */
const MIN_RELAYED_ENTRIES = 8;
/** Time beyond the requested wait after which a peer's answer is given up. */
const ANSWER_TIMEOUT_MS = 250;
/** Time for which a peer is not asked again after it failed to give recent rows. */
const AVOIDANCE_MS = 3_000;

const NO_ROWS: Omit<TableRowsMessage, 'id'> = {
  kind: 'table-rows',
  result: 'rows',
  era: 0,
  revision: 0,
  ageMs: 0,
  keys: [],
  values: [],
  revisions: [],
  deleted: [],
};

/** A table that this entry follows. */
export type RelayedTable = Pick<TableFeed, 'copy' | 'getAgeMs' | 'maxRelayedAgeMs'>;

/** Reads of tables through peers. */
export interface TableRelay {
  /** Makes a followed table available to peers. */
  addTable: (name: string, table: RelayedTable) => void;
  getReadRole: () => ReadRole;
  /**
   * Reads from a peer: all rows, or the changes after a revision, for the first of which the peer
   * waits up to `waitMs`. Returns undefined when no peer gave recent rows.
   */
  read: (
    table: string,
    position: { era: number; after: number } | undefined,
    waitMs: number,
  ) => Promise<ReadResult | undefined>;
  /** Answers the waiting reads of a table that has been read again. */
  answerWaiting: (table: string) => void;
  receive: (peer: string, message: TableReadMessage | TableRowsMessage) => void;
}

/** Dependencies of the relay. */
export interface TableRelayOptions {
  self: string;
  clock: Clock;
  log: Logger;
  /** Names of all other entries, and of those that are connected. */
  listOthers: () => string[];
  listLive: () => string[];
  send: (peer: string, message: Message) => void;
}

interface WaitingRead {
  peer: string;
  message: TableReadMessage;
  stopTimer: () => void;
}

/** Returns a relay without tables. */
export function createTableRelay(options: TableRelayOptions): TableRelay {
  const { self, clock, log, listOthers, listLive, send } = options;
  const selfHash = hashText(self);
  const tables = new Map<string, RelayedTable>();
  const waitingReads = new Set<WaitingRead>();
  const ownReads = new Map<number, (message: TableRowsMessage | undefined) => void>();
  const avoidedUntil = new Map<string, number>();
  let lastId = 0;

  function listReaders(): string[] {
    return [...listOthers(), self].sort().slice(0, READER_COUNT);
  }

  function getReadRole(): ReadRole {
    if (listOthers().length < MIN_RELAYED_ENTRIES) return ReadRole.Own;
    return listReaders().includes(self) ? ReadRole.ForOthers : ReadRole.FromPeers;
  }

  /** Prefers readers; each entry has its own order of them, so that they share the load. */
  function choosePeer(): string | undefined {
    const now = clock.now();
    const readers = new Set(listReaders());
    const candidates = listLive()
      .filter((peer) => (avoidedUntil.get(peer) ?? 0) <= now)
      .map((peer) => ({
        peer,
        isReader: readers.has(peer),
        weight: computeRendezvousWeight(selfHash, hashText(peer)),
      }));
    candidates.sort(
      (left, right) => Number(right.isReader) - Number(left.isReader) || right.weight - left.weight,
    );
    return candidates[0]?.peer;
  }

  function callPeer(
    peer: string,
    request: Omit<TableReadMessage, 'kind' | 'id'>,
  ): Promise<TableRowsMessage | undefined> {
    lastId += 1;
    const id = lastId;
    return new Promise((resolve) => {
      const stopTimer = clock.startTimer(request.waitMs + ANSWER_TIMEOUT_MS, () => {
        ownReads.delete(id);
        resolve(undefined);
      });
      ownReads.set(id, (message) => {
        stopTimer();
        ownReads.delete(id);
        resolve(message);
      });
      send(peer, { kind: 'table-read', id, ...request });
    });
  }

  function recordFailure(peer: string, table: string, reason: string): undefined {
    avoidedUntil.set(peer, clock.now() + AVOIDANCE_MS);
    log.info(LogEvent.RelayFailed, { peer, table, reason });
  }

  /** Answers a read; returns false where it should wait for newer rows. */
  function tryAnswer(peer: string, message: TableReadMessage, isLastTry: boolean): boolean {
    const { id, table, era, after } = message;
    const followed = tables.get(table);
    const ageMs = followed?.getAgeMs();
    const result = after < 0 ? followed?.copy.read() : followed?.copy.read(era, after);
    if (!result || ageMs === undefined || (result.kind === 'behind' && isLastTry)) {
      send(peer, { ...NO_ROWS, id, result: 'unavailable' });
      return true;
    }
    if (result.kind === 'history-lost') {
      send(peer, { ...NO_ROWS, id, result: 'history-lost', era: result.era });
      return true;
    }
    if (result.kind === 'behind') return false;
    if (after >= 0 && result.rows.length === 0 && !isLastTry) return false;
    send(peer, {
      ...encodeRows(result.rows),
      id,
      era: result.era,
      revision: result.revision,
      ageMs,
    });
    return true;
  }

  function answerRead(peer: string, message: TableReadMessage): void {
    if (tryAnswer(peer, message, message.waitMs <= 0)) return;
    const waiting: WaitingRead = { peer, message, stopTimer: () => {} };
    waiting.stopTimer = clock.startTimer(message.waitMs, () => {
      waitingReads.delete(waiting);
      tryAnswer(peer, message, true);
    });
    waitingReads.add(waiting);
  }

  return {
    addTable(name, table) {
      tables.set(name, table);
    },
    getReadRole,
    async read(table, position, waitMs) {
      const maxAgeMs = tables.get(table)?.maxRelayedAgeMs;
      const peer = choosePeer();
      if (maxAgeMs === undefined || peer === undefined) return undefined;
      const { era, after } = position ?? { era: 0, after: -1 };
      const message = await callPeer(peer, { table, era, after, waitMs });
      if (!message) return recordFailure(peer, table, 'no answer');
      if (message.result === 'unavailable') return recordFailure(peer, table, 'no newer rows');
      if (position && message.era < era) return recordFailure(peer, table, 'earlier era');
      if (message.result === 'history-lost') return { kind: 'history-lost', era: message.era };
      if (message.ageMs > maxAgeMs) return recordFailure(peer, table, 'old rows');
      return {
        kind: 'rows',
        rows: {
          rows: decodeRows(message),
          revision: message.revision,
          era: message.era,
          storeTimeMs: 0,
          ageMs: message.ageMs,
          peer,
        },
      };
    },
    answerWaiting(table) {
      for (const waiting of [...waitingReads]) {
        if (waiting.message.table === table && tryAnswer(waiting.peer, waiting.message, false)) {
          waiting.stopTimer();
          waitingReads.delete(waiting);
        }
      }
    },
    receive(peer, message) {
      if (message.kind === 'table-read') answerRead(peer, message);
      else ownReads.get(message.id)?.(message);
    },
  };
}

function encodeRows(rows: readonly StoreRow[]): Omit<TableRowsMessage, 'id'> {
  return {
    ...NO_ROWS,
    keys: rows.map(({ key }) => key),
    values: rows.map(({ value }) => value),
    revisions: rows.map(({ revision }) => revision),
    deleted: rows.map(({ deleted }) => deleted),
  };
}

function decodeRows({ keys, values, revisions, deleted }: TableRowsMessage): StoreRow[] {
  return keys.map((key, index) => ({
    key,
    value: Buffer.from(values[index] ?? []),
    revision: revisions[index] ?? 0,
    deleted: deleted[index] ?? false,
  }));
}
