/**
 * Rows of one table as a feed has read them, kept so that peers can read them as well. Deleted rows
 * are kept for a while, so that a peer that follows the table learns of them.
 */
import type { StoreRow, StoreRows } from '@masticbend/platform/store';

/** Deleted rows that are kept; older ones are forgotten. */
const MAX_DELETED_ROWS = 500;

/** Result of a read from the copy. */
export type CopyRead =
  | { kind: 'rows'; rows: StoreRow[]; revision: number; era: number }
  /** The changes after the revision are not known completely, or it is of another era. */
  | { kind: 'history-lost'; era: number }
  /** The copy is older than the revision. */
  | { kind: 'behind' };

/** Copy of a table. */
export interface TableCopy {
  /** Replaces all rows. */
  setAll: (read: Omit<StoreRows, 'storeTimeMs'>) => void;
  /** Applies changes of the same era. */
  apply: (read: Omit<StoreRows, 'storeTimeMs'>) => void;
  /** Returns all rows, or those changed after a revision; undefined before the first read. */
  read: (era?: number, after?: number) => CopyRead | undefined;
}

/** Returns a copy without rows. */
export function createTableCopy(): TableCopy {
  let rows = new Map<string, StoreRow>();
  /** Undefined before the first read. */
  let position: { revision: number; era: number } | undefined;
  /** Revision after which all changes are known. */
  let historyStart = 0;

  function dropOldestDeleted(): void {
    const deleted = [...rows.values()].filter((row) => row.deleted);
    const excess = deleted.length - MAX_DELETED_ROWS;
    if (excess <= 0) return;
    deleted.sort((left, right) => left.revision - right.revision);
    for (const { key, revision } of deleted.slice(0, excess)) {
      rows.delete(key);
      historyStart = Math.max(historyStart, revision);
    }
  }

  return {
    setAll({ rows: all, revision, era }) {
      rows = new Map(all.map((row) => [row.key, row]));
      position = { revision, era };
      historyStart = revision;
    },
    apply({ rows: changed, revision, era }) {
      for (const row of changed) rows.set(row.key, row);
      position = { revision: Math.max(revision, position?.revision ?? 0), era };
      dropOldestDeleted();
    },
    read(era, after) {
      if (!position) return undefined;
      const all = [...rows.values()];
      if (after === undefined) {
        return { kind: 'rows', rows: all.filter((row) => !row.deleted), ...position };
      }
      if (era !== position.era) return { kind: 'history-lost', era: position.era };
      if (after > position.revision) return { kind: 'behind' };
      if (after < historyStart) return { kind: 'history-lost', era };
      const changed = all.filter(({ revision }) => revision > after);
      changed.sort((left, right) => left.revision - right.revision);
      return { kind: 'rows', rows: changed, ...position };
    },
  };
}
