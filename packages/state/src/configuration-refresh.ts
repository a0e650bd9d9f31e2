/** Brings a replica up to the committed head, by the missing edits or by a complete document. */
import type { ConfigurationReplica } from './configuration-replica.js';
import type { ConfigurationStore, HeadRow } from './configuration-store.js';

/** Applies all committed revisions; returns the head row, or undefined if nothing is committed. */
export async function refreshReplica(
  store: ConfigurationStore,
  replica: ConfigurationReplica,
): Promise<HeadRow | undefined> {
  const row = await store.readHead();
  if (!row || row.head.revision <= replica.getRevision()) return row;
  if (replica.getRevision() > 0) await applyStoredEdits(store, replica, row.head.revision);
  if (replica.getRevision() >= row.head.revision) return row;
  await applySnapshot(store, replica, row);
  await applyStoredEdits(store, replica, row.head.revision);
  return row;
}

async function applySnapshot(
  store: ConfigurationStore,
  replica: ConfigurationReplica,
  { head }: HeadRow,
): Promise<void> {
  const snapshot = head.snapshots[0]!;
  if (snapshot.revision <= replica.getRevision()) return;
  const text = await store.readSnapshot(snapshot);
  if (text !== undefined) replica.applyDocument(snapshot.revision, text, snapshot.digest);
}

async function applyStoredEdits(
  store: ConfigurationStore,
  replica: ConfigurationReplica,
  targetRevision: number,
): Promise<void> {
  while (replica.getRevision() < targetRevision) {
    const previousRevision = replica.getRevision();
    for (const edit of await store.readEditsAfter(previousRevision)) replica.applyEdit(edit);
    if (replica.getRevision() === previousRevision) return;
  }
}
