/**
 * Digest of a configuration document that can be updated after an edit without hashing the whole
 * document again: the sum of the SHA-256 of each key with its value. Equal documents have equal
 * digests, whatever the order of their keys.
 */
import { createHash } from 'node:crypto';
import {
  applyOperations,
  type ConfigurationDocument,
  type DocumentValue,
  type Operation,
} from './document.js';

const DIGEST_BITS = 256;
const DIGEST_CHARACTERS = DIGEST_BITS / 4;

/** Returns the digest of a document, in hexadecimal. */
export function computeDocumentDigest(document: ConfigurationDocument): string {
  let sum = 0n;
  for (const [section, values] of Object.entries(document)) {
    for (const [key, value] of Object.entries(values)) sum += hashKey(section, key, value);
  }
  return formatDigest(sum);
}

/** Returns the digest after operations on `document`, whose digest is `digest`. */
export function updateDocumentDigest(
  digest: string,
  document: ConfigurationDocument,
  operations: readonly Operation[],
): string {
  let sum = BigInt(`0x${digest}`);
  let current = document;
  for (const operation of operations) {
    const next = applyOperations(current, [operation]);
    sum += sumKeyHashes(next, operation) - sumKeyHashes(current, operation);
    current = next;
  }
  return formatDigest(sum);
}

function sumKeyHashes(document: ConfigurationDocument, { section, key }: Operation): bigint {
  const values = document[section] ?? {};
  if (key !== undefined) {
    return Object.hasOwn(values, key) ? hashKey(section, key, values[key]!) : 0n;
  }
  return Object.entries(values).reduce(
    (sum, [name, value]) => sum + hashKey(section, name, value),
    0n,
  );
}

function hashKey(section: string, key: string, value: DocumentValue): bigint {
  const text = JSON.stringify([section, key, sortKeys(value)]);
  return BigInt(`0x${createHash('sha256').update(text).digest('hex')}`);
}

function formatDigest(sum: bigint): string {
  return BigInt.asUintN(DIGEST_BITS, sum).toString(16).padStart(DIGEST_CHARACTERS, '0');
}

function sortKeys(value: DocumentValue): DocumentValue {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries.map(([name, inner]) => [name, sortKeys(inner)]));
}
