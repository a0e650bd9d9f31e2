/**
 * The committed configuration in the platform's services. The head row names the revision; each
 * edit is a row; whole documents are objects, one every few revisions. An edit is committed by one
 * transaction that requires the head to be unchanged, so two edits can never combine unchecked.
 */
import { setTimeout } from 'node:timers/promises';
import type { Operation, ConfigurationDocument } from '@masticbend/settings/document';
import { formatDocument } from '@masticbend/settings/document';
import type { ObjectStore } from './object-store.js';
import { PlatformError, type RowWrite, type TableClient, type Transaction } from './table.js';

/** Tables of the head row, the edits by revision, and the revisions by edit id. */
const HEAD_ROW = { table: 'configuration', key: 'head' };
const EDIT_TABLE = 'configuration-edits';
const EDIT_ID_TABLE = 'configuration-edit-ids';

/** Digits of a revision in a key, so that keys sort as numbers do. */
const REVISION_DIGITS = 12;
/** Revisions between two whole documents. */
export const SNAPSHOT_INTERVAL = 64;
/** Edits kept for the history and for repeated edit ids: about a day at full size. */
const MAX_HISTORY_EDITS = 6_000;
/** Most edits removed at a time, and most rows of one listing. */
const MAX_PRUNED_EDITS = 100;
const MAX_LISTED_EDITS = 200;
/** Attempts to learn what became of a commit whose answer was lost. */
const MAX_TRANSACTION_ATTEMPTS = 4;
/** Half of the wait before the second attempt, in milliseconds; it doubles with each. */
const RETRY_BACKOFF_MS = 25;

/** A committed edit with its origin. */
export interface EditRecord {
  revision: number;
  /** Digest of the document after the edit. */
  digest: string;
  operations: Operation[];
  editId: string;
  team: string;
  author: string;
  /** Revision the edit was made against. */
  against: number;
  /** Wall time of the commit, in milliseconds since 1970. */
  committedAt: number;
}

/** Where a whole document is kept. */
export interface SnapshotReference {
  revision: number;
  digest: string;
  key: string;
}

/** The head row. */
export interface StoredHead {
  revision: number;
  /** Whole documents, the latest first. */
  snapshots: SnapshotReference[];
}

/** The head row and its version, for the next commit. */
export interface HeadRow {
  head: StoredHead;
  version: number;
}

/** Outcome of one attempt to commit. */
export const CommitOutcome = {
  Committed: 'committed',
  Conflict: 'conflict',
  /** A conflict, perhaps with an earlier try of the same commit whose answer was lost. */
  Unsettled: 'unsettled',
} as const;
export type CommitOutcome = (typeof CommitOutcome)[keyof typeof CommitOutcome];

/** Committed configuration. Every call may throw `PlatformError`. */
export interface ConfigurationStore {
  readHead: () => Promise<HeadRow | undefined>;
  /** Returns edits above a revision, in order, at most 200. */
  readEditsAfter: (revision: number) => Promise<EditRecord[]>;
  /** Returns the edit a team committed under an id. */
  findEdit: (team: string, editId: string) => Promise<EditRecord | undefined>;
  /** Commits an edit on a head; throws only when it stays unknown whether it took effect. */
  commitEdit: (previous: HeadRow, record: EditRecord) => Promise<CommitOutcome>;
  /** Commits the first document when there is none. */
  commitFirst: (text: string, digest: string) => Promise<CommitOutcome>;
  readSnapshot: (snapshot: SnapshotReference) => Promise<string | undefined>;
  /** Stores a whole document and removes edits and documents no longer needed. */
  commitSnapshot: (
    revision: number,
    digest: string,
    document: ConfigurationDocument,
  ) => Promise<void>;
}

/** Returns a store over the platform's clients. */
export function createConfigurationStore(
  table: TableClient,
  objects: ObjectStore,
): ConfigurationStore {
  async function readHead(): Promise<HeadRow | undefined> {
    const row = await table.readRow(HEAD_ROW);
    return row && { head: row.value as StoredHead, version: row.version };
  }

  async function readEdit(revision: number): Promise<EditRecord | undefined> {
    const row = await table.readRow({ table: EDIT_TABLE, key: formatRevisionKey(revision) });
    return row?.value as EditRecord | undefined;
  }

  async function findEdit(team: string, editId: string): Promise<EditRecord | undefined> {
    const row = await table.readRow({ table: EDIT_ID_TABLE, key: `${team}/${editId}` });
    return row && readEdit((row.value as { revision: number }).revision);
  }

  /** Repeats a transaction until its answer arrives; its conditions keep it from running twice. */
  async function retryTransaction(
    transaction: Transaction,
  ): Promise<{ committed: boolean; attempts: number }> {
    for (let attempts = 1; ; attempts += 1) {
      try {
        const { committed } = await table.transact(transaction);
        return { committed, attempts };
      } catch (error) {
        const isAnswerLost = error instanceof PlatformError && error.mayHaveTakenEffect;
        if ((!isAnswerLost && attempts === 1) || attempts >= MAX_TRANSACTION_ATTEMPTS)
          throw createTransactionError(error, attempts);
        await setTimeout(RETRY_BACKOFF_MS * 2 ** attempts);
      }
    }
  }

  async function removeOldEdits(revision: number): Promise<void> {
    const rows = await table.listRows(EDIT_TABLE, '', MAX_PRUNED_EDITS);
    const oldEdits = rows
      .map(({ value }) => value as EditRecord)
      .filter((edit) => edit.revision <= revision - MAX_HISTORY_EDITS);
    const writes: RowWrite[] = oldEdits.flatMap((edit) => [
      { table: EDIT_TABLE, key: formatRevisionKey(edit.revision), value: null },
      { table: EDIT_ID_TABLE, key: `${edit.team}/${edit.editId}`, value: null },
    ]);
    if (writes.length > 0) await table.transact({ writes });
  }

  return {
    readHead,
    findEdit,
    async readEditsAfter(revision) {
      const rows = await table.listRows(EDIT_TABLE, formatRevisionKey(revision), MAX_LISTED_EDITS);
      return rows.map(({ value }) => value as EditRecord);
    },
    async commitEdit({ head, version }, record) {
      const { revision, team, editId } = record;
      const idReference = { table: EDIT_ID_TABLE, key: `${team}/${editId}` };
      const { committed, attempts } = await retryTransaction({
        conditions: [
          { ...HEAD_ROW, version },
          { ...idReference, version: 0 },
        ],
        writes: [
          { ...HEAD_ROW, value: { ...head, revision } },
          { table: EDIT_TABLE, key: formatRevisionKey(revision), value: record },
          { ...idReference, value: { revision } },
        ],
      });
      if (committed) return CommitOutcome.Committed;
      return attempts > 1 ? CommitOutcome.Unsettled : CommitOutcome.Conflict;
    },
    async commitFirst(text, digest) {
      const snapshot = createSnapshotReference(1, digest);
      await objects.writeObject(snapshot.key, text);
      const head: StoredHead = { revision: 1, snapshots: [snapshot] };
      const { committed } = await retryTransaction({
        conditions: [{ ...HEAD_ROW, version: 0 }],
        writes: [{ ...HEAD_ROW, value: head }],
      });
      return committed ? CommitOutcome.Committed : CommitOutcome.Conflict;
    },
    readSnapshot: ({ key }) => objects.readObject(key),
    async commitSnapshot(revision, digest, document) {
      const snapshot = createSnapshotReference(revision, digest);
      await objects.writeObject(snapshot.key, formatDocument(document));
      const row = await readHead();
      if (!row || row.head.snapshots[0]!.revision >= revision) return;
      const [latest, ...older] = row.head.snapshots;
      const value: StoredHead = { ...row.head, snapshots: [snapshot, latest!] };
      const { committed } = await table.transact({
        conditions: [{ ...HEAD_ROW, version: row.version }],
        writes: [{ ...HEAD_ROW, value }],
      });
      if (!committed) return;
      for (const { key } of older) await objects.removeObject(key);
      await removeOldEdits(latest!.revision);
    },
  };
}

function createSnapshotReference(revision: number, digest: string): SnapshotReference {
  return { revision, digest, key: `configuration-${revision}-${digest}.toml` };
}

function formatRevisionKey(revision: number): string {
  return String(revision).padStart(REVISION_DIGITS, '0');
}

function createTransactionError(error: unknown, attempts: number): unknown {
  if (!(error instanceof PlatformError) || attempts === 1) return error;
  return new PlatformError(error.message, true);
}
