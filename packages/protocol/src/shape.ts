/**
 * Shape checks for messages that come from a peer. Each kind lists its fields; a message with a
 * missing or wrongly typed field is refused before any task sees it.
 */
import { ErrorKind } from './error.js';
import { MessageKind, type Message } from './message.js';

/** Longest identifier a peer may send, in characters. */
const IDENTIFIER_LIMIT = 512;
/** Most entries of a list a peer may send. */
const LIST_LIMIT = 4_096;

type FieldCheck = (value: unknown) => boolean;
type Shape = Readonly<Record<string, FieldCheck>>;

/** A field of a shape, in order. */
interface Field {
  name: string;
  check: FieldCheck;
  nested?: Shape;
}

/** Fields of each shape, listed on first use. */
const fieldLists = new Map<Shape, Field[]>();

/** Shapes behind the checks of fields that hold an object of known fields. */
const nestedShapes = new Map<FieldCheck, Shape>();

const ERROR_KINDS: ReadonlySet<unknown> = new Set(Object.values(ErrorKind));

const isText: FieldCheck = (value) => typeof value === 'string' && value.length <= IDENTIFIER_LIMIT;
const isLongText: FieldCheck = (value) => typeof value === 'string';
const isFlag: FieldCheck = (value) => typeof value === 'boolean';
const isNumber: FieldCheck = (value) => typeof value === 'number' && Number.isFinite(value);
const isAmount: FieldCheck = (value) => isNumber(value) && (value as number) >= 0;
const isInteger: FieldCheck = (value) => Number.isSafeInteger(value) && (value as number) >= 0;
const isBytes: FieldCheck = (value) => value instanceof Uint8Array;

const failure: Shape = {
  kind: (value) => ERROR_KINDS.has(value),
  detail: matchOptional(isLongText),
  retryAfterMs: matchOptional(isAmount),
};

const load: Shape = {
  ready: isFlag,
  leaving: isFlag,
  startDelayMs: isAmount,
  prefillRate: isAmount,
  decodeRate: isAmount,
  running: isInteger,
  limit: isInteger,
  waiting: isListOf(isInteger),
  backlogMs: isListOf(isAmount),
  serves: isListOf(isText),
};

const work: Shape = {
  account: isText,
  tier: isInteger,
  target: isText,
  work: isText,
  promptTokens: isAmount,
  prefix: isListOf(isText),
  outputTokens: isAmount,
  outputTokensHigh: isAmount,
  deadlineMs: isNumber,
  weight: isAmount,
  idempotent: isFlag,
};

const idempotency: Shape = { account: isText, key: isText, fingerprint: isText, attempt: isText };

const call: Shape = {
  method: isText,
  path: isLongText,
  headers: isTextMap,
  bodyBytes: isInteger,
  idempotency: matchOptional(matchShape(idempotency)),
  stream: isFlag,
};

const usage: Shape = {
  promptTokens: isAmount,
  cachedTokens: isAmount,
  outputTokens: isAmount,
  firstByteMs: isAmount,
  totalMs: isAmount,
};

const quotas: Shape = {
  accounts: isListOf(isText),
  requestRates: isListOf(isAmount),
  tokenRates: isListOf(isAmount),
  concurrencies: isListOf(isInteger),
};

const SHAPES: Readonly<Record<MessageKind, Shape>> = {
  challenge: { nonce: isText },
  hello: {
    version: isInteger,
    instance: isText,
    dataCentre: isText,
    proof: isText,
    revision: isInteger,
    peers: isInteger,
  },
  welcome: {
    instance: isText,
    backendServer: isText,
    proof: isText,
    revision: isInteger,
    load: matchShape(load),
  },
  heartbeat: {},
  load: { load: matchShape(load) },
  reserve: { request: isText, work: matchShape(work), displace: isFlag },
  queued: { request: isText, startDelayMs: isAmount, cachedTokens: isAmount },
  refused: { request: isText, failure: matchShape(failure) },
  cancel: { request: isText },
  claim: { request: isText, claim: isInteger, validMs: isAmount },
  grant: { request: isText, claim: isInteger, deadlineMs: isNumber, call: matchShape(call) },
  deny: { request: isText, claim: isInteger },
  body: { request: isText, data: isBytes, last: isFlag },
  returned: { request: isText, claim: isInteger, failure: matchShape(failure) },
  started: { request: isText },
  head: { request: isText, status: isInteger, headers: isTextMap, recorded: isFlag },
  data: { request: isText, sequence: isInteger, data: isBytes },
  credit: { request: isText, bytes: isInteger },
  end: { request: isText, chunks: isInteger, bytes: isInteger, usage: matchShape(usage) },
  failed: { request: isText, failure: matchShape(failure) },
  abort: { request: isText },
  revision: { revision: isInteger },
  'revision-request': { revision: isInteger },
  'configuration-edit': { revision: isInteger, digest: isText, operations: isLongText },
  configuration: {
    revision: isInteger,
    digest: isText,
    index: isInteger,
    count: isInteger,
    text: isLongText,
  },
  'quota-request': { ...quotas, validMs: isAmount },
  quota: { ...quotas, validMs: isAmount, entries: isInteger },
  'peer-hello': { instance: isText, incarnation: isText },
  'peer-report': {
    servers: isListOf(isText),
    running: isListOf(isInteger),
    accounts: isListOf(isText),
    units: isListOf(isNumber),
  },
  'permit-hello': {
    instance: isText,
    server: isText,
    slots: isInteger,
    running: isListOf(isText),
  },
  'permit-request': {
    request: isText,
    account: isText,
    rank: isInteger,
    tokens: isAmount,
    holdMs: isAmount,
    waitMs: isAmount,
    agents: isInteger,
  },
  permit: { request: isText, held: isInteger, waitsMs: isListOf(isAmount) },
  'permit-refusal': {
    request: isText,
    waitMs: isAmount,
    held: isInteger,
    waitsMs: isListOf(isAmount),
  },
  'permit-release': { request: isText },
  'permit-report': { held: isInteger, waitsMs: isListOf(isAmount) },
};

const KINDS = Object.keys(SHAPES) as MessageKind[];
const KIND_NUMBERS: ReadonlyMap<string, number> = new Map(
  KINDS.map((kind, number) => [kind, number]),
);

/** Returns a message as its kind's number and its field values in the order of its shape. */
export function listFieldValues(message: Message): unknown[] {
  const values: unknown[] = [KIND_NUMBERS.get(message.kind)];
  return addValues(SHAPES[message.kind], message as unknown as Record<string, unknown>, values);
}

/** Returns the message of a list made by `listFieldValues`, unchecked; undefined if it is none. */
export function buildMessage(values: unknown): Record<string, unknown> | undefined {
  if (!Array.isArray(values) || typeof values[0] !== 'number') return undefined;
  const kind = KINDS[values[0]];
  if (kind === undefined) return undefined;
  return buildObject(SHAPES[kind], values, 1, { kind });
}

/** Returns what is wrong with a decoded message, or undefined when it is well formed. */
export function checkMessage(value: unknown): string | undefined {
  if (!isObject(value)) return 'not a map';
  const { kind } = value;
  if (typeof kind !== 'string' || !Object.hasOwn(SHAPES, kind)) return 'unknown message kind';
  const field = findBadField(SHAPES[kind as MessageKind], value);
  return field === undefined ? undefined : `bad field ${kind}.${field}`;
}

function listFields(shape: Shape): Field[] {
  const known = fieldLists.get(shape);
  if (known) return known;
  const fields = Object.entries(shape).map(([name, check]) => {
    const nested = nestedShapes.get(check);
    return { name, check, nested };
  });
  fieldLists.set(shape, fields);
  return fields;
}

function addValues(shape: Shape, value: Record<string, unknown>, values: unknown[]): unknown[] {
  for (const { name, nested } of listFields(shape)) {
    const field = value[name];
    values.push(nested && isObject(field) ? addValues(nested, field, []) : field);
  }
  return values;
}

function buildObject(
  shape: Shape,
  values: unknown[],
  offset: number,
  object: Record<string, unknown>,
): Record<string, unknown> {
  const fields = listFields(shape);
  for (let index = 0; index < fields.length; index += 1) {
    const { name, nested } = fields[index]!;
    const field = values[index + offset];
    if (field === undefined || field === null) continue;
    object[name] = nested && Array.isArray(field) ? buildObject(nested, field, 0, {}) : field;
  }
  return object;
}

function findBadField(shape: Shape, value: Record<string, unknown>): string | undefined {
  return listFields(shape).find(({ name, check }) => !check(value[name]))?.name;
}

function matchShape(shape: Shape): FieldCheck {
  const check: FieldCheck = (value) => isObject(value) && findBadField(shape, value) === undefined;
  nestedShapes.set(check, shape);
  return check;
}

function matchOptional(check: FieldCheck): FieldCheck {
  const optional: FieldCheck = (value) => value === undefined || check(value);
  const nested = nestedShapes.get(check);
  if (nested) nestedShapes.set(optional, nested);
  return optional;
}

function isListOf(check: FieldCheck): FieldCheck {
  return (value) => Array.isArray(value) && value.length <= LIST_LIMIT && value.every(check);
}

function isTextMap(value: unknown): boolean {
  return isObject(value) && Object.values(value).every((text) => typeof text === 'string');
}

function isObject(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Uint8Array)
  );
}
