/**
 * The committed configuration in the platform's services. The head row holds the latest revision,
 * each edit is a row, and complete documents (snapshots) are objects, one every few revisions. An
 * edit is committed in one transaction on the condition that the head is unchanged, so concurrent
 * edits cannot combine into a document that was never validated.
 */
import { setTimeout } from 'node:timers/promises';
import type { Operation, ConfigurationDocument } from '@masticbend/settings/document';
import { formatDocument } from '@masticbend/settings/document';
import type { ObjectStore } from './object-store.js';
import { PlatformError, type RowWrite, type TableClient, type Transaction } from './table.js';

/** The head row, the table of edits by revision, and the table of revisions by edit id. */
const HEAD_ROW = { table: 'configuration', key: 'head' };
const EDIT_TABLE = 'configuration-edits';
const EDIT_ID_TABLE = 'configuration-edit-ids';

/** Revisions are zero-padded in keys, so that keys sort in numerical order. */
const REVISION_DIGITS = 12;
/** Revisions between two snapshots. */
export const SNAPSHOT_INTERVAL = 64;
/**
 * Edits kept for the history and to recognise repeated edit ids; about one day of edits in a
 * deployment of full size.
 */
const MAX_HISTORY_EDITS = 6_000;
/** Edits removed by one pruning pass, and edits returned by one listing. */
const MAX_PRUNED_EDITS = 100;
const MAX_LISTED_EDITS = 200;
/** Tries of a transaction whose answer is lost, including the first. */
const MAX_TRIES = 4;
/** Half of the back-off before the second try; the back-off doubles with each try. */
const RETRY_BACKOFF_MS = 25;

/** A committed edit with its author and time, as stored. */
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
  /** Wall-clock time of the commit, in milliseconds since 1970. */
  committedAt: number;
}

/** Reference to a complete document in the object store. */
export interface SnapshotReference {
  revision: number;
  digest: string;
  key: string;
}

/** Value of the head row. */
export interface StoredHead {
  revision: number;
  /** Snapshots, the latest first. */
  snapshots: SnapshotReference[];
}

/** The head row and its row version, which the next commit requires. */
export interface HeadRow {
  head: StoredHead;
  version: number;
}

/** Outcome of a commit. */
export const CommitOutcome = {
  Committed: 'committed',
  Conflict: 'conflict',
  /** A conflict, possibly with an earlier attempt at the same commit whose answer was lost. */
  Unsettled: 'unsettled',
} as const;
export type CommitOutcome = (typeof CommitOutcome)[keyof typeof CommitOutcome];

/** The committed configuration. Every call may throw `PlatformError`. */
export interface ConfigurationStore {
  readHead: () => Promise<HeadRow | undefined>;
  /** Returns edits above a revision, in order, at most 200. */
  readEditsAfter: (revision: number) => Promise<EditRecord[]>;
  /** Returns the edit a team committed under an id. */
  findEdit: (team: string, editId: string) => Promise<EditRecord | undefined>;
  /**
   * Commits an edit on a head. Throws `PlatformError` if the platform is unavailable;
   * `mayHaveTakenEffect` is false only when the edit was certainly not committed.
   */
  commitEdit: (previous: HeadRow, record: EditRecord) => Promise<CommitOutcome>;
  /** Commits the initial document as revision 1, if nothing is committed yet. */
  commitInitialDocument: (text: string, digest: string) => Promise<CommitOutcome>;
  readSnapshot: (snapshot: SnapshotReference) => Promise<string | undefined>;
  /** Stores a snapshot and removes edits and snapshots that are no longer needed. */
  commitSnapshot: (
    revision: number,
    digest: string,
    document: ConfigurationDocument,
  ) => Promise<void>;
}

/** Returns a store on top of the clients of the platform's services. */
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

  /** Retries a transaction whose answer is lost; its conditions keep it from committing twice. */
  async function retryTransaction(
    transaction: Transaction,
  ): Promise<{ committed: boolean; tries: number }> {
    for (let tries = 1; ; tries += 1) {
      try {
        const { committed } = await table.transact(transaction);
        return { committed, tries };
      } catch (error) {
        const isLost = error instanceof PlatformError && error.mayHaveTakenEffect;
        if ((!isLost && tries === 1) || tries >= MAX_TRIES) throw createFinalError(error, tries);
        await setTimeout(RETRY_BACKOFF_MS * 2 ** tries);
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
      const { committed, tries } = await retryTransaction({
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
      return tries > 1 ? CommitOutcome.Unsettled : CommitOutcome.Conflict;
    },
    async commitInitialDocument(text, digest) {
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

function createFinalError(error: unknown, tries: number): unknown {
  if (!(error instanceof PlatformError) || tries === 1) return error;
  return new PlatformError(error.message, true);
}
