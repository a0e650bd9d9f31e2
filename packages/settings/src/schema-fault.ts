/**
 * Readable validation errors for settings and the configuration document: the key, the value found
 * and the value expected. For an unknown key, the nearest known name is suggested. Secrets are
 * never included.
 */
import { parse, TomlError } from 'smol-toml';
import { z } from 'zod';

/** One validation error in a document or a settings file. */
export interface ConfigurationFault {
  /** Dotted path of the key; empty when the text is not valid TOML. */
  key: string;
  message: string;
}

/** A valid value, or all its faults. */
export type CheckResult<Value> =
  { ok: true; value: Value } | { ok: false; faults: ConfigurationFault[] };

/** Longer values are truncated in a fault's message. */
const MAX_FOUND_CHARACTERS = 60;
/** Largest edit distance of a suggested name, relative to the length of the unknown name. */
const MAX_SUGGESTION_DISTANCE_RATIO = 0.4;
/** Keys whose values are never included in a message. */
const SECRET_KEYS = /^(keyHashes|tokenHashes)$/;

/** Parses TOML and checks it against a schema. */
export function checkToml<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): CheckResult<z.output<Schema>> {
  try {
    return checkValue(parse(text), schema);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const [summary] = error.message.split('\n');
    const message = `line ${error.line}, column ${error.column}: ${summary}`;
    return { ok: false, faults: [{ key: '', message }] };
  }
}

/** Checks a value against a schema. */
export function checkValue<Schema extends z.ZodType>(
  value: unknown,
  schema: Schema,
): CheckResult<z.output<Schema>> {
  const result = schema.safeParse(value);
  if (result.success) return { ok: true, value: result.data };
  return {
    ok: false,
    faults: result.error.issues.flatMap((issue) => describeIssue(issue, value, schema)),
  };
}

/** Returns one line for a fault. */
export function formatFault({ key, message }: ConfigurationFault): string {
  return key === '' ? message : `${key}: ${message}`;
}

function describeIssue(
  issue: z.core.$ZodIssue,
  value: unknown,
  schema: z.ZodType,
): ConfigurationFault[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    const known = listKnownKeys(findSchema(schema, path));
    return issue.keys.map((key) => ({
      key: [...path, key].join('.'),
      message: `unknown key${describeNearest(key, known)}`,
    }));
  }
  return [{ key: path.join('.'), message: `${issue.message}${describeFound(value, path)}` }];
}

function describeFound(value: unknown, path: string[]): string {
  if (path.some((key) => SECRET_KEYS.test(key))) return '';
  const found = path.reduce<unknown>(readKey, value);
  if (found === undefined) return '';
  const text = typeof found === 'object' ? describeKind(found) : JSON.stringify(found);
  return `, found ${text.slice(0, MAX_FOUND_CHARACTERS)}`;
}

function readKey(value: unknown, key: string): unknown {
  if (typeof value !== 'object' || value === null || !Object.hasOwn(value, key)) return undefined;
  return (value as Record<string, unknown>)[key];
}

function describeKind(value: unknown): string {
  return Array.isArray(value) ? 'a list' : 'a table';
}

function findSchema(schema: z.ZodType, path: string[]): z.ZodType {
  return path.reduce((inner, key) => {
    const bare = resolveSchema(inner);
    if (bare instanceof z.ZodObject) return (bare.shape as Record<string, z.ZodType>)[key] ?? bare;
    if (bare instanceof z.ZodRecord) return bare.valueType as z.ZodType;
    if (bare instanceof z.ZodArray) return bare.element as z.ZodType;
    return bare;
  }, schema);
}

function resolveSchema(schema: z.ZodType): z.ZodType {
  const isWrapper =
    schema instanceof z.ZodDefault ||
    schema instanceof z.ZodPrefault ||
    schema instanceof z.ZodOptional;
  return isWrapper ? resolveSchema(schema.unwrap() as z.ZodType) : schema;
}

function listKnownKeys(schema: z.ZodType): string[] {
  const bare = resolveSchema(schema);
  return bare instanceof z.ZodObject ? Object.keys(bare.shape) : [];
}

function describeNearest(name: string, known: string[]): string {
  const ranked = known
    .map((candidate) => ({ candidate, distance: computeDistance(name, candidate) }))
    .sort((left, right) => left.distance - right.distance);
  const [nearest] = ranked;
  if (!nearest) return '';
  const isClose = nearest.distance <= name.length * MAX_SUGGESTION_DISTANCE_RATIO;
  return isClose ? `, expected "${nearest.candidate}"?` : `, expected one of ${known.join(', ')}`;
}

/** Returns the Levenshtein distance of two names. */
function computeDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let row = 1; row <= left.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= right.length; column += 1) {
      const substitutionCost = left[row - 1] === right[column - 1] ? 0 : 1;
      const substitution = previous[column - 1]! + substitutionCost;
      current.push(Math.min(substitution, previous[column]! + 1, current[column - 1]! + 1));
    }
    previous = current;
  }
  return previous.at(-1)!;
}
