/**
 * The configuration in force in one process. Its revision only ever increases, by a complete
 * document or by the next edit. The digest of either is verified before it is put in force.
 */
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import {
  applyCheckedOperations,
  parseConfiguration,
  type Configuration,
} from '@masticbend/settings/configuration';
import {
  applyOperations,
  parseDocument,
  type ConfigurationDocument,
  type Operation,
} from '@masticbend/settings/document';
import { computeDocumentDigest, updateDocumentDigest } from '@masticbend/settings/document-digest';

/** Edits kept in memory for peers that are a few revisions behind. */
const MAX_RECENT_EDITS = 64;

/** The revision in force, with its document. */
export interface CurrentRevision {
  revision: number;
  digest: string;
  document: ConfigurationDocument;
  configuration: Configuration;
}

/** A committed edit, as sent between processes. */
export interface CommittedEdit {
  revision: number;
  /** Digest of the document after the edit. */
  digest: string;
  operations: Operation[];
}

/** Outcome of applying a document or an edit. */
export const ApplyOutcome = {
  Applied: 'applied',
  /** This revision or a higher one is already in force. */
  Stale: 'stale',
  /** Edits before this one are missing. */
  Gap: 'gap',
  /** The content is damaged or invalid. */
  Rejected: 'rejected',
} as const;
export type ApplyOutcome = (typeof ApplyOutcome)[keyof typeof ApplyOutcome];

/** Replica of the configuration in one process. */
export interface ConfigurationReplica {
  /** Returns undefined until a first revision is in force. */
  getConfiguration: () => Configuration | undefined;
  getCurrent: () => CurrentRevision | undefined;
  /** Returns the revision in force; 0 if there is none. */
  getRevision: () => number;
  /**
   * Calls the listener now, if a revision is in force, and after each change. The returned function
   * removes the listener.
   */
  subscribe: (listener: (configuration: Configuration, revision: number) => void) => () => void;
  /** Applies a complete document in TOML and verifies its digest, if one is given. */
  applyDocument: (revision: number, text: string, digest?: string) => ApplyOutcome;
  applyEdit: (edit: CommittedEdit) => ApplyOutcome;
  /** Returns the edits after a revision, or undefined when they are no longer kept. */
  listEditsAfter: (revision: number) => CommittedEdit[] | undefined;
  dump: () => unknown;
}

/** Returns a replica without a revision in force. */
export function createConfigurationReplica(log: Logger): ConfigurationReplica {
  const listeners = new Set<(configuration: Configuration, revision: number) => void>();
  let recentEdits: CommittedEdit[] = [];
  let current: CurrentRevision | undefined;

  function apply(next: CurrentRevision): ApplyOutcome {
    current = next;
    log.info(LogEvent.ConfigurationApplied, { revision: next.revision, digest: next.digest });
    for (const listener of listeners) listener(next.configuration, next.revision);
    return ApplyOutcome.Applied;
  }

  function refuse(revision: number, reason: string): ApplyOutcome {
    log.error(LogEvent.ConfigurationRejected, { revision, reason });
    return ApplyOutcome.Rejected;
  }

  return {
    getConfiguration: () => current?.configuration,
    getCurrent: () => current,
    getRevision: () => current?.revision ?? 0,
    subscribe(listener) {
      listeners.add(listener);
      if (current) listener(current.configuration, current.revision);
      return () => listeners.delete(listener);
    },
    applyDocument(revision, text, digest) {
      if (revision <= (current?.revision ?? 0)) return ApplyOutcome.Stale;
      const result = parseConfiguration(text);
      if (!result.ok) return refuse(revision, 'invalid document');
      const document = parseDocument(text);
      const computed = computeDocumentDigest(document);
      if (digest !== undefined && digest !== computed) return refuse(revision, 'digest mismatch');
      recentEdits = [];
      const { configuration } = result;
      return apply({ revision, digest: computed, document, configuration });
    },
    applyEdit(edit) {
      const { revision, digest, operations } = edit;
      if (!current) return ApplyOutcome.Gap;
      if (revision <= current.revision) return ApplyOutcome.Stale;
      if (revision > current.revision + 1) return ApplyOutcome.Gap;
      const computed = updateDocumentDigest(current.digest, current.document, operations);
      if (computed !== digest) return refuse(revision, 'digest mismatch');
      const document = applyOperations(current.document, operations);
      try {
        const configuration = applyCheckedOperations(current.configuration, document, operations);
        recentEdits = [...recentEdits, edit].slice(-MAX_RECENT_EDITS);
        return apply({ revision, digest, document, configuration });
      } catch (error) {
        return refuse(revision, (error as Error).message);
      }
    },
    listEditsAfter(revision) {
      const edits = recentEdits.filter((edit) => edit.revision > revision);
      return edits.length === (current?.revision ?? 0) - revision ? edits : undefined;
    },
    dump: () => ({ revision: current?.revision ?? 0, digest: current?.digest }),
  };
}
