/**
 * Commits operators' edits. An edit is applied to the document of the head revision, the resulting
 * document is validated as a whole, and the edit is committed on the condition that the head is
 * unchanged. An edit made against an older revision is rebased onto the head only if no edit since
 * then changes one of its keys. A retry of a committed edit, with the same id, gets the result of
 * the first commit.
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

/** Commit attempts per submission while concurrent edits change the head. */
const MAX_COMMIT_ATTEMPTS = 6;

const UNKNOWN_REVISION = 'There is no such revision yet.';

/** An edit as submitted by a team. */
export interface ProposedEdit {
  /** Unique for each edit of the team; a retry carries the same id. */
  editId: string;
  team: string;
  author: string;
  /** Revision the edit was made against. */
  against: number;
  operations: Operation[];
}

/** Result of a submitted edit. */
export type EditResult =
  | { kind: 'committed'; record: EditRecord }
  /**
   * `edits` were committed since `against`, and at least one of them changes the same keys. Empty
   * if they are too many to list or no longer stored.
   */
  | { kind: 'conflict'; revision: number; edits: EditRecord[] }
  /** The resulting document would be invalid; `edits` were committed since `against`. */
  | { kind: 'invalid'; revision: number; faults: ConfigurationFault[]; edits: EditRecord[] }
  | { kind: 'failed'; failure: Failure };

/** Submits edits through one replica. */
export interface ConfigurationEditor {
  submitEdit: (edit: ProposedEdit) => Promise<EditResult>;
}

/** Returns an editor; `readWallTime` supplies the commit time in milliseconds since 1970. */
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
    const current = replica.getCurrent();
    if (!row || !current) return refuse(ErrorKind.ConfigurationUnavailable);
    if (current.revision !== row.head.revision) return undefined;
    if (edit.against > current.revision) return refuse(ErrorKind.InvalidRequest, UNKNOWN_REVISION);
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
    const current = replica.getCurrent();
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

/** State of one submission across its commit attempts. */
interface SubmissionState {
  /** True if an earlier attempt may have been committed. */
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
