/**
 * The configuration in force in one process. It moves to higher revisions only, by a whole
 * document or by the next edit, and checks the digest of either before it is in force.
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

/** Edits kept for peers that are a few revisions behind. */
const RECENT_EDIT_LIMIT = 64;

/** The revision in force. */
export interface HeldRevision {
  revision: number;
  digest: string;
  document: ConfigurationDocument;
  configuration: Configuration;
}

/** A committed edit, as it travels between processes. */
export interface CommittedEdit {
  revision: number;
  /** Digest of the document after the edit. */
  digest: string;
  operations: Operation[];
}

/** What became of a revision that was offered. */
export const ApplyOutcome = {
  Applied: 'applied',
  /** This revision or a higher one is in force already. */
  Stale: 'stale',
  /** Edits before this one are missing. */
  Gap: 'gap',
  /** The content is damaged or invalid. */
  Rejected: 'rejected',
} as const;
export type ApplyOutcome = (typeof ApplyOutcome)[keyof typeof ApplyOutcome];

/** Holder of the configuration in force. */
export interface ConfigurationReplica {
  /** Undefined until a first revision is in force. */
  getConfiguration: () => Configuration | undefined;
  getHeld: () => HeldRevision | undefined;
  /** Revision in force; 0 for none. */
  getRevision: () => number;
  /** Calls the listener now, if a revision is in force, and after each change. */
  subscribe: (listener: (configuration: Configuration, revision: number) => void) => () => void;
  /** Offers a whole document in TOML, with its digest where that is known. */
  applyDocument: (revision: number, text: string, digest?: string) => ApplyOutcome;
  applyEdit: (edit: CommittedEdit) => ApplyOutcome;
  /** Returns the edits after a revision, or undefined when they are no longer kept. */
  listEditsAfter: (revision: number) => CommittedEdit[] | undefined;
  dump: () => unknown;
}

/** Returns a replica that holds no revision. */
export function createConfigurationReplica(log: Logger): ConfigurationReplica {
  const listeners = new Set<(configuration: Configuration, revision: number) => void>();
  let recent: CommittedEdit[] = [];
  let held: HeldRevision | undefined;

  function apply(next: HeldRevision): ApplyOutcome {
    held = next;
    log.info(LogEvent.ConfigurationApplied, { revision: next.revision, digest: next.digest });
    for (const listener of listeners) listener(next.configuration, next.revision);
    return ApplyOutcome.Applied;
  }

  function refuse(revision: number, reason: string): ApplyOutcome {
    log.error(LogEvent.ConfigurationRejected, { revision, reason });
    return ApplyOutcome.Rejected;
  }

  return {
    getConfiguration: () => held?.configuration,
    getHeld: () => held,
    getRevision: () => held?.revision ?? 0,
    subscribe(listener) {
      listeners.add(listener);
      if (held) listener(held.configuration, held.revision);
      return () => listeners.delete(listener);
    },
    applyDocument(revision, text, digest) {
      if (revision <= (held?.revision ?? 0)) return ApplyOutcome.Stale;
      const result = parseConfiguration(text);
      if (!result.ok) return refuse(revision, 'invalid document');
      const document = parseDocument(text);
      const computed = computeDocumentDigest(document);
      if (digest !== undefined && digest !== computed) return refuse(revision, 'digest mismatch');
      recent = [];
      const { configuration } = result;
      return apply({ revision, digest: computed, document, configuration });
    },
    applyEdit(edit) {
      const { revision, digest, operations } = edit;
      if (!held) return ApplyOutcome.Gap;
      if (revision <= held.revision) return ApplyOutcome.Stale;
      if (revision > held.revision + 1) return ApplyOutcome.Gap;
      const computed = updateDocumentDigest(held.digest, held.document, operations);
      if (computed !== digest) return refuse(revision, 'digest mismatch');
      const document = applyOperations(held.document, operations);
      try {
        const configuration = applyCheckedOperations(held.configuration, document, operations);
        recent = [...recent, edit].slice(-RECENT_EDIT_LIMIT);
        return apply({ revision, digest, document, configuration });
      } catch (error) {
        return refuse(revision, (error as Error).message);
      }
    },
    listEditsAfter(revision) {
      const edits = recent.filter((edit) => edit.revision > revision);
      return edits.length === (held?.revision ?? 0) - revision ? edits : undefined;
    },
    dump: () => ({ revision: held?.revision ?? 0, digest: held?.digest }),
  };
}
