/**
 * The configuration document as data: sections of named values, as written, without defaults. Edits
 * are lists of operations on the keys of a section. Applying them returns a new document that
 * shares its unchanged values with the old one.
 */
import { parse, stringify } from 'smol-toml';
import { Section } from './section.js';

/** Value of a key, restricted to the types that TOML and JSON have in common. */
export type DocumentValue =
  string | number | boolean | DocumentValue[] | { [name: string]: DocumentValue };

/** A section: its keys and their values. */
export type DocumentSection = Readonly<Record<string, DocumentValue>>;

/** A complete document. */
export type ConfigurationDocument = Readonly<Partial<Record<Section, DocumentSection>>>;

/** Change of one key, or of a whole section where the key is missing. */
export interface Operation {
  section: Section;
  key?: string;
  /** The new value; missing when the key or the section is removed. */
  value?: DocumentValue;
}

/** Parses a TOML document, unchecked; throws with line and column when it is not valid TOML. */
export function parseDocument(text: string): ConfigurationDocument {
  return parse(text);
}

/** Returns the document as TOML. */
export function formatDocument(document: ConfigurationDocument): string {
  return stringify(document);
}

/** Returns the document after the operations, applied in order. */
export function applyOperations(
  document: ConfigurationDocument,
  operations: readonly Operation[],
): ConfigurationDocument {
  return operations.reduce(applyOperation, document);
}

/** Returns whether two lists of operations change a common key. */
export function hasOverlap(left: readonly Operation[], right: readonly Operation[]): boolean {
  return left.some((one) => right.some((other) => isSameKey(one, other)));
}

function applyOperation(
  document: ConfigurationDocument,
  { section, key, value }: Operation,
): ConfigurationDocument {
  if (key === undefined) {
    return replaceKey(document, section, value);
  }
  const keys = replaceKey(document[section] ?? {}, key, value) as DocumentSection;
  return { ...document, [section]: keys };
}

function replaceKey(
  record: Readonly<Record<string, unknown>>,
  key: string,
  value: unknown,
): Record<string, unknown> {
  const copy = Object.assign(Object.create(null), record) as Record<string, unknown>;
  if (value === undefined) delete copy[key];
  else copy[key] = value;
  return copy;
}

function isSameKey(left: Operation, right: Operation): boolean {
  if (left.section !== right.section) return false;
  return left.key === undefined || right.key === undefined || left.key === right.key;
}
