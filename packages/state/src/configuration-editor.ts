/**
 * Commits an operator's edit. The edit is applied to the document at the head, checked with it as
 * a whole, and committed on condition that the head is unchanged. An edit made against an older
 * revision is carried over only when no edit since then touches one of its keys. A repeated edit
 * id is answered with its first result.
 */
import { isDeepStrictEqual } from 'node:util';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { checkConfiguration, type ConfigurationFault } from '@masticbend/settings/configuration';
import { applyOperations, hasOverlap, type Operation } from '@masticbend/settings/document';
import { updateDocumentDigest } from '@masticbend/settings/document-digest';
import { refreshReplica } from './configuration-refresh.js';
import type { ConfigurationReplica } from './configuration-replica.js';
import {
  CommitOutcome,
  SNAPSHOT_INTERVAL,
  type ConfigurationStore,
  type EditRecord,
  type HeadRow,
} from './configuration-store.js';
import { PlatformError } from './table.js';

/** Attempts against a head that other edits keep moving. */
const MAX_COMMIT_ATTEMPTS = 6;

const UNKNOWN_REVISION_DETAIL = 'There is no such revision yet.';

/** An edit as a team asks for it. */
export interface ProposedEdit {
  /** Unique for each edit of the team; a retry carries the same. */
  editId: string;
  team: string;
  author: string;
  against: number;
  operations: Operation[];
}

/** What became of an edit. */
export type EditResult =
  | { kind: 'committed'; record: EditRecord }
  /** Edits since the one it was made against touch the same keys, or are no longer kept. */
  | { kind: 'conflict'; revision: number; edits: EditRecord[] }
  /** The document would be invalid; `edits` came in between. */
  | { kind: 'invalid'; revision: number; faults: ConfigurationFault[]; edits: EditRecord[] }
  | { kind: 'failed'; failure: Failure };

/** Commits edits through one replica. */
export interface ConfigurationEditor {
  submitEdit: (edit: ProposedEdit) => Promise<EditResult>;
}

/** Returns an editor; `readWallTime` dates the commits. */
export function createConfigurationEditor(
  store: ConfigurationStore,
  replica: ConfigurationReplica,
  readWallTime: () => number,
): ConfigurationEditor {
  async function tryCommit(
    edit: ProposedEdit,
    submission: SubmissionState,
  ): Promise<EditResult | undefined> {
    const row = await refreshReplica(store, replica);
    const earlierEdit = await store.findEdit(edit.team, edit.editId);
    if (earlierEdit) return checkRepeatedEdit(earlierEdit, edit);
    submission.mayBeCommitted = false;
    const current = replica.getHeld();
    if (!row || !current) return refuse(ErrorKind.ConfigurationUnavailable);
    if (current.revision !== row.head.revision) return undefined;
    if (edit.against > current.revision)
      return refuse(ErrorKind.InvalidRequest, UNKNOWN_REVISION_DETAIL);
    const edits = await readEditsBetween(edit.against, current.revision);
    if (!edits || edits.some(({ operations }) => hasOverlap(operations, edit.operations))) {
      return { kind: 'conflict', revision: current.revision, edits: edits ?? [] };
    }
    const checked = checkConfiguration(applyOperations(current.document, edit.operations));
    if (!checked.ok) {
      return { kind: 'invalid', revision: current.revision, faults: checked.faults, edits };
    }
    const digest = updateDocumentDigest(current.digest, current.document, edit.operations);
    const revision = current.revision + 1;
    const record: EditRecord = { ...edit, revision, digest, committedAt: readWallTime() };
    const outcome = await store.commitEdit(row, record);
    submission.mayBeCommitted = outcome === CommitOutcome.Unsettled;
    if (outcome !== CommitOutcome.Committed) return undefined;
    replica.applyEdit(record);
    await commitSnapshotWhenDue(row, revision);
    return { kind: 'committed', record };
  }

  async function readEditsBetween(
    baseRevision: number,
    revision: number,
  ): Promise<EditRecord[] | undefined> {
    if (baseRevision === revision) return [];
    const edits = await store.readEditsAfter(baseRevision);
    const lastRevision = edits.at(-1)?.revision ?? 0;
    const isComplete = edits[0]?.revision === baseRevision + 1 && lastRevision >= revision;
    return isComplete ? edits.filter((edit) => edit.revision <= revision) : undefined;
  }

  async function commitSnapshotWhenDue({ head }: HeadRow, revision: number): Promise<void> {
    const current = replica.getHeld();
    const revisionsSinceSnapshot = revision - head.snapshots[0]!.revision;
    if (revisionsSinceSnapshot < SNAPSHOT_INTERVAL || current?.revision !== revision) return;
    await store.commitSnapshot(revision, current.digest, current.document).catch(() => undefined);
  }

  return {
    async submitEdit(edit) {
      const submission: SubmissionState = { mayBeCommitted: false };
      try {
        for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
          const result = await tryCommit(edit, submission);
          if (result) return result;
        }
        if (submission.mayBeCommitted) return refuse(ErrorKind.OutcomeUnknown);
        return refuse(ErrorKind.Overloaded, 'The configuration changes too often; try again.');
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error;
        const isUnknown = error.mayHaveTakenEffect || submission.mayBeCommitted;
        return refuse(isUnknown ? ErrorKind.OutcomeUnknown : ErrorKind.PlatformUnavailable);
      }
    },
  };
}

/** What is known while an edit is tried again. */
interface SubmissionState {
  /** An earlier try may have been committed. */
  mayBeCommitted: boolean;
}

function checkRepeatedEdit(earlierEdit: EditRecord, edit: ProposedEdit): EditResult {
  const isSame =
    earlierEdit.against === edit.against &&
    isDeepStrictEqual(earlierEdit.operations, edit.operations);
  return isSame ? { kind: 'committed', record: earlierEdit } : refuse(ErrorKind.KeyReused);
}

function refuse(kind: ErrorKind, detail?: string): EditResult {
  return { kind: 'failed', failure: detail === undefined ? { kind } : { kind, detail } };
}
