/**
 * Checks from both sides that each request ends once: what its caller received must be what the one
 * closing line in the log of its entry says. A request without an answer needs a line as well, to
 * say why; only a request that its entry has not read has none.
 */
import { LogEvent } from '@masticbend/kernel/log';
import { ANSWERS, ErrorKind } from '@masticbend/protocol/error';
import { isBehindClose, isBehindCut, type CallRecord } from './call-record.js';
import { isOverlapping, type CrossedRequest, type History } from './history.js';

/** Time after a moment within which a process has written its line on it, in milliseconds. */
export const LOG_DELAY_MS = 500;
/** Time after the last byte within which a connection may end unread, in milliseconds. */
const UNREAD_MS = 200;
const REQUEST_TIMEOUT_STATUS = 408;
const CLOSING_EVENTS: readonly string[] = [
  LogEvent.RequestFinished,
  LogEvent.RequestRefused,
  LogEvent.RequestFailed,
  LogEvent.RequestAbandoned,
];

/** The line with which an entry closes a request. */
export interface ClosingLine {
  /** Address of the entry. */
  entry: string;
  event: string;
  /** Undefined if the request was refused before it was read. */
  request: string | undefined;
  /** Status of the answer: as it is logged, or as the kind of error has it. */
  status: number;
  /** The answer had begun, and was cut. */
  isCut: boolean;
}

/** Both sides of a run. */
export interface BothSides {
  records: readonly CallRecord[];
  lines: readonly ClosingLine[];
  history: Pick<History, 'entryOutages' | 'sent' | 'crossed'>;
}

/** Returns the closing lines in the log of an entry. */
export function parseClosingLines(entry: string, log: string): ClosingLine[] {
  return parseLines(log).flatMap((fields) => {
    const event = fields.get('event');
    if (event === undefined || !CLOSING_EVENTS.includes(event)) return [];
    const isCut = event === LogEvent.RequestFailed && fields.get('begun') === 'true';
    return [
      { entry, event, request: fields.get('request'), status: readStatus(event, fields), isCut },
    ];
  });
}

/** Returns the requests that an entry did not pass on behind an announced close, by its log. */
export function parseCrossedRequests(entry: string, log: string): CrossedRequest[] {
  return parseLines(log).flatMap((fields) => {
    const request = fields.get('request');
    const isCrossed =
      fields.get('event') === LogEvent.CallerRefused && fields.get('reason') === 'closing';
    return isCrossed && request !== undefined ? [{ entry, request }] : [];
  });
}

function parseLines(log: string): ReadonlyMap<string, string>[] {
  return log.split('\n').map((line) => {
    const fields = [...line.matchAll(/(?:^| )(\w+)=(\S+)/g)];
    return new Map(fields.map(([, name, value]) => [name!, value!] as const));
  });
}

/** Returns one line for each request on which its caller and its entry disagree. */
export function checkClosingLines({ records, lines, history }: BothSides): string[] {
  const linesOf = new Map<string, ClosingLine[]>();
  for (const line of lines) {
    const { request } = line;
    if (request !== undefined) linesOf.set(request, [...(linesOf.get(request) ?? []), line]);
  }
  const known = new Set(records.map(({ id }) => id));
  const unlogged = records.filter(
    (record) => !linesOf.has(record.id) && !isExcused(record, history),
  );
  return [
    ...records.flatMap((record) => checkRecord(record, linesOf.get(record.id) ?? [], history)),
    ...checkUnlogged(
      unlogged,
      lines.filter(({ request }) => request === undefined),
    ),
    ...[...linesOf.keys()]
      .filter((request) => !known.has(request))
      .map((request) => `${request} has a closing line, but no caller sent it`),
  ];
}

function readStatus(event: string, fields: ReadonlyMap<string, string>): number {
  const kind = fields.get('error');
  if (kind !== undefined) return ANSWERS[kind as ErrorKind].status;
  if (event === LogEvent.RequestAbandoned) {
    const wasSent = fields.get('sent') !== '0';
    return ANSWERS[wasSent ? ErrorKind.OutcomeUnknown : ErrorKind.CallerEnded].status;
  }
  return Number(fields.get('status'));
}

function checkRecord(
  record: CallRecord,
  lines: readonly ClosingLine[],
  history: BothSides['history'],
): string[] {
  const { entry } = record;
  const name = describeRequest(record);
  const events = lines.map(({ event }) => event).join(', ');
  const violations: string[] = [];
  if (lines.length > 1) violations.push(`${name} has ${lines.length} closing lines: ${events}`);
  if (lines.some((line) => line.entry !== entry)) {
    violations.push(`${name} was closed by an entry that never got it`);
  }
  const [line] = lines;
  if (line && !isAgreeing(record, line) && !(record.interrupted && isOut(record, history))) {
    violations.push(`${name} got ${describeReceived(record)}, logged as ${events}`);
  }
  return violations;
}

/** Returns whether the caller received what the entry says that it delivered. */
function isAgreeing(record: CallRecord, { event, status, isCut }: ClosingLine): boolean {
  const { interrupted, hasLeft = false } = record;
  if (interrupted) return hasLeft || isCut || isBehindCut(record);
  const isBlamed = event === LogEvent.RequestAbandoned && !hasLeft;
  return !isCut && !isBlamed && record.status === status;
}

/** Checks requests without a line of their own: some refusals are logged without the request. */
function checkUnlogged(records: readonly CallRecord[], lines: readonly ClosingLine[]): string[] {
  const rest = [...lines];
  return records.flatMap((record) => {
    const { entry, status, interrupted } = record;
    const index = interrupted
      ? -1
      : rest.findIndex((line) => line.entry === entry && line.status === status);
    if (index < 0) {
      return [`${describeRequest(record)} got ${describeReceived(record)}, without a closing line`];
    }
    rest.splice(index, 1);
    return [];
  });
}

/** Returns whether the entry of a request need not have a line on it. */
function isExcused(record: CallRecord, history: BothSides['history']): boolean {
  const { id, status, isSplitHead, isUnfinished, interrupted, sentAt, endedAt } = record;
  // The request crossed the close of its connection, or its connection was refused.
  const isUnread =
    interrupted &&
    status === 0 &&
    (record.isRefused === true || endedAt - sentAt <= UNREAD_MS) &&
    history.sent.every(({ request }) => request !== id);
  // Its head took longer than allowed.
  const isRefusedHead = isSplitHead === true && !interrupted && status === REQUEST_TIMEOUT_STATUS;
  const isUnsent = isUnfinished === true && interrupted && status === 0;
  const isBehindEnd = isBehindCut(record) || isBehindClose(record, history.crossed);
  return isUnsent || isUnread || isRefusedHead || isBehindEnd || isOut(record, history);
}

/** Returns whether the entry was killed, and may have lost its last lines, or frozen. */
function isOut(record: CallRecord, { entryOutages }: BothSides['history']): boolean {
  const { entry, sentAt, endedAt, leftAt = endedAt } = record;
  return entryOutages.some(
    (span) => span.name === entry && isOverlapping(span, sentAt, leftAt + LOG_DELAY_MS),
  );
}

function describeRequest({ id, path, behaviour }: CallRecord): string {
  return behaviour === undefined ? `${id} ${path}` : `${id} ${path} (${behaviour})`;
}

function describeReceived({ status, interrupted }: CallRecord): string {
  if (!interrupted) return `status ${status}`;
  return status > 0 ? `a part of an answer with ${status}` : 'no answer';
}
