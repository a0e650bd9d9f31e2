/**
 * Eras of the store. A store that was restored from an older copy has lost its newest changes and
 * assigns their revisions again; each answer carries the era that it was given in. Answers of an
 * earlier era than the newest one seen are dropped, and the services that keep rows are told once
 * of each new era.
 */
import type { ReadResult, Store, WriteResult } from '@masticbend/platform/store';

const OUTDATED_REASON = 'answer of an earlier store era';

/** Store client that drops outdated answers. */
export interface EraStore extends Store {
  /** Newest era seen; undefined before the first answer. */
  getEra: () => number | undefined;
  /** Registers a listener for each later era; the first answer of a process is none. */
  onRestored: (listener: (era: number) => void) => void;
}

/** Wraps a client that has not received any answer. */
export function createEraStore(store: Store): EraStore {
  const listeners: ((era: number) => void)[] = [];
  let newestEra: number | undefined;

  /** Returns false for an answer of an earlier era. */
  function recordEra(era: number): boolean {
    if (newestEra !== undefined && era < newestEra) return false;
    const isRestored = newestEra !== undefined && era > newestEra;
    newestEra = era;
    if (isRestored) listeners.forEach((listener) => listener(era));
    return true;
  }

  async function checkRead(call: Promise<ReadResult>): Promise<ReadResult> {
    const result = await call;
    if (result.kind === 'unavailable') return result;
    const era = result.kind === 'rows' ? result.rows.era : result.era;
    return recordEra(era) ? result : { kind: 'unavailable', reason: OUTDATED_REASON };
  }

  async function checkWrite(call: Promise<WriteResult>): Promise<WriteResult> {
    const result = await call;
    if (result.kind !== 'committed' && result.kind !== 'conflict') return result;
    return recordEra(result.era) ? result : { kind: 'unknown', reason: OUTDATED_REASON };
  }

  return {
    readRows: (table) => checkRead(store.readRows(table)),
    readChanges: (table, after, waitMs) => checkRead(store.readChanges(table, after, waitMs)),
    writeRow: (...row) => checkWrite(store.writeRow(...row)),
    writeRows: (...rows) => checkWrite(store.writeRows(...rows)),
    close: store.close,
    getEra: () => newestEra,
    onRestored(listener) {
      listeners.push(listener);
    },
  };
}
