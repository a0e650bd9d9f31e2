/**
 * Validation of messages received from a peer. Each message kind lists its fields; a message with a
 * missing or wrongly typed field is rejected before it reaches a task. The order of the kinds and
 * of their fields is the frame format.
 */
import { ErrorKind } from './error.js';
import { MessageKind, type Message } from './message.js';

/** Longest text in a field checked by `isText`. */
const MAX_TEXT_CHARACTERS = 512;
/** Longest list that a peer may send: all accounts or servers of a deployment, with room. */
const MAX_LIST_ITEMS = 16_384;

type FieldCheck = (value: unknown) => boolean;
type Shape = Readonly<Record<string, FieldCheck>>;

/** A field of a shape; `nested` is set where it holds an object of a known shape. */
interface Field {
  name: string;
  check: FieldCheck;
  nested?: Shape;
}

/** Cached field lists by shape, filled on first use. */
const fieldLists = new Map<Shape, Field[]>();

/** Shape of the object that a field holds, by the field's check; only for nested objects. */
const nestedShapes = new Map<FieldCheck, Shape>();

const ERROR_KINDS: ReadonlySet<unknown> = new Set(Object.values(ErrorKind));

const isText: FieldCheck = (value) =>
  typeof value === 'string' && value.length <= MAX_TEXT_CHARACTERS;
const isLongText: FieldCheck = (value) => typeof value === 'string';
const isBoolean: FieldCheck = (value) => typeof value === 'boolean';
const isFiniteNumber: FieldCheck = (value) => typeof value === 'number' && Number.isFinite(value);
const isNonNegativeNumber: FieldCheck = (value) => isFiniteNumber(value) && (value as number) >= 0;
const isNonNegativeInteger: FieldCheck = (value) =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const isBytes: FieldCheck = (value) => value instanceof Uint8Array;

const isPermitOutcome: FieldCheck = (value) =>
  value === 'answered' || value === 'refused' || value === 'failed';

const failure: Shape = {
  kind: (value) => ERROR_KINDS.has(value),
  detail: createOptionalCheck(isLongText),
  retryAfterMs: createOptionalCheck(isNonNegativeNumber),
};

const load: Shape = {
  ready: isBoolean,
  leaving: isBoolean,
  startDelayMs: isNonNegativeNumber,
  prefillRate: isNonNegativeNumber,
  decodeRate: isNonNegativeNumber,
  running: isNonNegativeInteger,
  limit: isNonNegativeInteger,
  waiting: createListCheck(isNonNegativeInteger),
  backlogMs: createListCheck(isNonNegativeNumber),
  serves: createListCheck(isText),
};

const work: Shape = {
  account: isText,
  tier: isNonNegativeInteger,
  target: isText,
  work: isText,
  promptTokens: isNonNegativeNumber,
  prefix: createListCheck(isText),
  outputTokens: isNonNegativeNumber,
  outputTokensHigh: isNonNegativeNumber,
  deadlineMs: isFiniteNumber,
  weight: isNonNegativeNumber,
  idempotent: isBoolean,
};

const idempotency: Shape = { account: isText, key: isText, fingerprint: isText, attempt: isText };

const call: Shape = {
  method: isText,
  path: isLongText,
  headers: isTextMap,
  bodyBytes: isNonNegativeInteger,
  idempotency: createOptionalCheck(createShapeCheck(idempotency)),
  stream: isBoolean,
};

const usage: Shape = {
  promptTokens: isNonNegativeNumber,
  cachedTokens: isNonNegativeNumber,
  outputTokens: isNonNegativeNumber,
  firstByteMs: isNonNegativeNumber,
  totalMs: isNonNegativeNumber,
};

const quotas: Shape = {
  accounts: createListCheck(isText),
  requestRates: createListCheck(isNonNegativeNumber),
  tokenRates: createListCheck(isNonNegativeNumber),
  concurrencies: createListCheck(isNonNegativeInteger),
};

const SHAPES: Readonly<Record<MessageKind, Shape>> = {
  challenge: { nonce: isText },
  hello: {
    version: isNonNegativeInteger,
    instance: isText,
    dataCentre: isText,
    proof: isText,
    revision: isNonNegativeInteger,
    peers: isNonNegativeInteger,
  },
  welcome: {
    instance: isText,
    backendServer: isText,
    proof: isText,
    revision: isNonNegativeInteger,
    load: createShapeCheck(load),
  },
  heartbeat: {},
  load: { load: createShapeCheck(load) },
  reserve: { request: isText, work: createShapeCheck(work), displace: isBoolean },
  queued: { request: isText, startDelayMs: isNonNegativeNumber, cachedTokens: isNonNegativeNumber },
  refused: { request: isText, failure: createShapeCheck(failure) },
  cancel: { request: isText },
  claim: { request: isText, claim: isNonNegativeInteger, validMs: isNonNegativeNumber },
  grant: {
    request: isText,
    claim: isNonNegativeInteger,
    deadlineMs: isFiniteNumber,
    call: createShapeCheck(call),
  },
  deny: { request: isText, claim: isNonNegativeInteger },
  body: { request: isText, data: isBytes, last: isBoolean },
  returned: { request: isText, claim: isNonNegativeInteger, failure: createShapeCheck(failure) },
  started: { request: isText },
  head: { request: isText, status: isNonNegativeInteger, headers: isTextMap, recorded: isBoolean },
  data: { request: isText, sequence: isNonNegativeInteger, data: isBytes },
  credit: { request: isText, bytes: isNonNegativeInteger },
  end: {
    request: isText,
    chunks: isNonNegativeInteger,
    bytes: isNonNegativeInteger,
    usage: createShapeCheck(usage),
  },
  failed: { request: isText, failure: createShapeCheck(failure) },
  abort: { request: isText },
  revision: { revision: isNonNegativeInteger },
  'revision-request': { revision: isNonNegativeInteger },
  'configuration-edit': { revision: isNonNegativeInteger, digest: isText, operations: isLongText },
  configuration: {
    revision: isNonNegativeInteger,
    digest: isText,
    index: isNonNegativeInteger,
    count: isNonNegativeInteger,
    text: isLongText,
  },
  'quota-request': { ...quotas, validMs: isNonNegativeNumber },
  quota: { ...quotas, validMs: isNonNegativeNumber, entries: isNonNegativeInteger },
  'peer-hello': { instance: isText, incarnation: isText },
  'peer-report': {
    servers: createListCheck(isText),
    running: createListCheck(isNonNegativeInteger),
    accounts: createListCheck(isText),
    units: createListCheck(isFiniteNumber),
    askedUnits: createListCheck(isNonNegativeNumber),
    version: isNonNegativeInteger,
    noticeServers: createListCheck(isText),
    noticeBornAt: createListCheck(isFiniteNumber),
    noticeLeaving: createListCheck(isBoolean),
    noticePauseMs: createListCheck(isNonNegativeNumber),
    noticeLimitPerS: createListCheck(isFiniteNumber),
    noticeLimitAgeMs: createListCheck(isNonNegativeNumber),
    demandServices: createListCheck(isText),
    demandPerS: createListCheck(isNonNegativeNumber),
  },
  'table-read': {
    id: isNonNegativeInteger,
    table: isText,
    era: isNonNegativeInteger,
    after: Number.isSafeInteger,
    waitMs: isNonNegativeNumber,
  },
  'table-rows': {
    id: isNonNegativeInteger,
    result: (value) => value === 'rows' || value === 'history-lost' || value === 'unavailable',
    era: isNonNegativeInteger,
    revision: isNonNegativeInteger,
    ageMs: isNonNegativeNumber,
    keys: createListCheck(isText),
    values: createListCheck(isBytes),
    revisions: createListCheck(isNonNegativeInteger),
    deleted: createListCheck(isBoolean),
  },
  'stream-origins': {
    service: isText,
    softwareVersion: isText,
    streams: createListCheck(isText),
  },
  'stream-origin-read': { stream: isText },
  'stream-origin': {
    stream: isText,
    isKnown: isBoolean,
    service: isText,
    softwareVersion: isText,
  },
  'version-record': {
    service: isText,
    era: isNonNegativeInteger,
    revision: isNonNegativeInteger,
    value: isLongText,
  },
  'permit-hello': {
    instance: isText,
    server: isText,
    bornAt: isFiniteNumber,
    leaving: isBoolean,
    slots: isNonNegativeInteger,
    running: createListCheck(isText),
    proven: createOptionalCheck(isNonNegativeInteger),
  },
  'permit-request': {
    request: isText,
    account: isText,
    rank: isNonNegativeInteger,
    tokens: isNonNegativeNumber,
    promptTokens: isNonNegativeNumber,
    holdMs: isNonNegativeNumber,
    waitMs: isNonNegativeNumber,
    agents: isNonNegativeInteger,
    memoryTokens: createOptionalCheck(isNonNegativeNumber),
    repeatable: createOptionalCheck(isBoolean),
    pauseMs: createOptionalCheck(isNonNegativeNumber),
  },
  permit: {
    request: isText,
    held: isNonNegativeInteger,
    pendingTokens: isNonNegativeNumber,
    heldTokens: createOptionalCheck(isNonNegativeNumber),
    prefillMs: createOptionalCheck(isNonNegativeNumber),
    waitsMs: createListCheck(isNonNegativeNumber),
    closedRank: createOptionalCheck(isNonNegativeInteger),
    closedPlaced: createOptionalCheck(isNonNegativeInteger),
  },
  'permit-refusal': {
    request: isText,
    waitMs: isNonNegativeNumber,
    held: isNonNegativeInteger,
    pendingTokens: isNonNegativeNumber,
    heldTokens: createOptionalCheck(isNonNegativeNumber),
    prefillMs: createOptionalCheck(isNonNegativeNumber),
    waitsMs: createListCheck(isNonNegativeNumber),
    leaving: isBoolean,
    closedRank: createOptionalCheck(isNonNegativeInteger),
    closedPlaced: createOptionalCheck(isNonNegativeInteger),
  },
  'permit-leaving': { bornAt: isFiniteNumber },
  'permit-release': {
    request: isText,
    outcome: createOptionalCheck(isPermitOutcome),
    placed: createOptionalCheck(isBoolean),
  },
  'permit-started': { request: isText },
  'permit-report': {
    intervalMs: isNonNegativeNumber,
    held: isNonNegativeInteger,
    pendingTokens: isNonNegativeNumber,
    heldTokens: createOptionalCheck(isNonNegativeNumber),
    prefillMs: createOptionalCheck(isNonNegativeNumber),
    waitsMs: createListCheck(isNonNegativeNumber),
    closedRank: createOptionalCheck(isNonNegativeInteger),
    closedPlaced: createOptionalCheck(isNonNegativeInteger),
  },
  'crash-evidence': {
    parts: createListCheck(isText),
    crashes: createListCheck(isLongText),
    refuted: createListCheck(isLongText),
    trials: createListCheck(isNonNegativeInteger),
    failedTrials: createOptionalCheck(createListCheck(isNonNegativeInteger)),
    lostTrials: createOptionalCheck(createListCheck(isNonNegativeInteger)),
    askedCrash: createOptionalCheck(isText),
    answeredCrash: createOptionalCheck(isText),
    isComplete: createOptionalCheck(isBoolean),
  },
  'rollout-report': {
    service: isText,
    order: isNonNegativeInteger,
    era: isNonNegativeInteger,
    to: isText,
    stage: isText,
    isBad: isBoolean,
    requests: isNonNegativeInteger,
    exposed: isNonNegativeInteger,
    openElsewhere: isNonNegativeInteger,
    isDrained: createOptionalCheck(isBoolean),
    balance: createOptionalCheck(isFiniteNumber),
    routes: createListCheck(isText),
    versions: createListCheck(isText),
    good: createListCheck(isNonNegativeInteger),
    bad: createListCheck(isNonNegativeInteger),
  },
  'exposure-lend': {
    service: isText,
    order: isNonNegativeInteger,
    era: isNonNegativeInteger,
    amount: isNonNegativeInteger,
  },
};

const KINDS = Object.keys(SHAPES) as MessageKind[];
const KIND_NUMBERS: ReadonlyMap<string, number> = new Map(
  KINDS.map((kind, number) => [kind, number]),
);

/** Returns the number of a message's kind and its field values in the order of its shape. */
export function listFieldValues(message: Message): unknown[] {
  const values: unknown[] = [KIND_NUMBERS.get(message.kind)];
  return addValues(SHAPES[message.kind], message as unknown as Record<string, unknown>, values);
}

/** Rebuilds a message from the list of `listFieldValues`, unchecked; undefined if impossible. */
export function buildMessage(values: unknown): Record<string, unknown> | undefined {
  if (!Array.isArray(values) || typeof values[0] !== 'number') return undefined;
  const kind = KINDS[values[0]];
  if (kind === undefined) return undefined;
  return buildObject(SHAPES[kind], values, 1, { kind });
}

/** Describes the first fault of a decoded message; undefined when the message is valid. */
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

function createShapeCheck(shape: Shape): FieldCheck {
  const check: FieldCheck = (value) => isObject(value) && findBadField(shape, value) === undefined;
  nestedShapes.set(check, shape);
  return check;
}

function createOptionalCheck(check: FieldCheck): FieldCheck {
  const optional: FieldCheck = (value) => value === undefined || check(value);
  const nested = nestedShapes.get(check);
  if (nested) nestedShapes.set(optional, nested);
  return optional;
}

function createListCheck(check: FieldCheck): FieldCheck {
  return (value) => Array.isArray(value) && value.length <= MAX_LIST_ITEMS && value.every(check);
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
