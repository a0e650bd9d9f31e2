/**
 * Hides the hashes of keys and tokens in the output for operators. A hidden hash keeps its first
 * characters. An operator may send it back with an edit; it is then replaced by the full hash.
 */
import type { ConfigurationDocument, DocumentValue, Operation } from './document.js';

/** A hidden hash is this prefix and the first characters of the hash. */
const HIDDEN_PREFIX = 'hidden:';
const SHOWN_CHARACTERS = 8;
const HASH_KEYS: ReadonlySet<string> = new Set(['keyHashes', 'tokenHashes']);

/** Returns a copy of a value with its hashes hidden. */
export function hideHashes<Value extends DocumentValue>(value: Value): Value {
  return replaceHashes(
    value,
    (hash) => `${HIDDEN_PREFIX}${hash.slice(0, SHOWN_CHARACTERS)}`,
  ) as Value;
}

/** Returns a copy of a document with its hashes hidden. */
export function hideDocumentHashes(document: ConfigurationDocument): ConfigurationDocument {
  return hideHashes(document as DocumentValue) as ConfigurationDocument;
}

/** Replaces hidden hashes in operations by the full hashes of the document, where it has them. */
export function resolveHashes(
  operations: readonly Operation[],
  document: ConfigurationDocument,
): Operation[] {
  const hashesByHiddenText = new Map<string, string>();
  replaceHashes(document, (hash) => {
    hashesByHiddenText.set(`${HIDDEN_PREFIX}${hash.slice(0, SHOWN_CHARACTERS)}`, hash);
    return hash;
  });
  return operations.map((operation) =>
    operation.value === undefined
      ? operation
      : {
          ...operation,
          value: replaceHashes(operation.value, (hash) => hashesByHiddenText.get(hash) ?? hash),
        },
  );
}

function replaceHashes(value: DocumentValue, replace: (hash: string) => string): DocumentValue {
  if (Array.isArray(value)) return value.map((inner) => replaceHashes(inner, replace));
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).map(([key, inner]) => {
    const isHashes = HASH_KEYS.has(key) && Array.isArray(inner);
    const replaced = isHashes
      ? inner.map((hash) => (typeof hash === 'string' ? replace(hash) : hash))
      : replaceHashes(inner, replace);
    return [key, replaced] as const;
  });
  return Object.fromEntries(entries);
}
