/** Requests of the soak test's callers, and what they received. */
import {
  API_KEY_HEADER,
  DEADLINE_HEADER,
  LAST_EVENT_ID_HEADER,
  PREFIX_HASH_HEADER,
  REQUEST_ID_HEADER,
  RESUMES_HEADER,
} from '@masticbend/platform/ingress';
import { CRASHING_PART, STREAM_HEADER } from './engine.js';
import type { CrossedRequest } from './history.js';

/** Time limit of a request, in milliseconds. */
export const CALLER_DEADLINE_MS = 3_000;
/** Time for which callers wait beyond it, so that late answers are seen, in milliseconds. */
export const CALLER_PATIENCE_MS = 1_000;

/** Address of an entry, and the key to use there. */
export interface CallTarget {
  entry: string;
  key: string;
}

/** A request and its answer as recorded by the caller; times are from `performance.now()`. */
export interface CallRecord {
  id: string;
  path: string;
  /** Its prompt has the crashing part. */
  isCrashing: boolean;
  /** Body of the crashing request that it is. */
  crashingBody?: string;
  key: string;
  entry: string;
  sentAt: number;
  endedAt: number;
  /** 0 if no response head was received. */
  status: number;
  body: string;
  /** True if there was no answer or it ended early. */
  interrupted: boolean;
  /** The head of its answer announced the close of the connection. */
  isClose?: boolean;
  /** Its connection was refused, so that nothing was sent. */
  isRefused?: boolean;
  /** How its caller used the connection; undefined for a plain call. */
  behaviour?: string;
  /** The caller ended its sending side after the request, which counts as leaving. */
  hasLeft?: boolean;
  /** When its caller left, which waited for no answer but kept the connection until then. */
  leftAt?: number;
  /** The head was sent in pieces. */
  isSplitHead?: boolean;
  /** The request before it on the same connection, whose answer had not come. */
  behind?: CallRecord;
  /** The request was not sent as a whole. */
  isUnfinished?: boolean;
  /** Its answer is a large one. */
  isLarge?: boolean;
  /** Id of the request whose stream this one takes up, and the events that were received before. */
  resumes?: string;
  /** The request names no other one, as callers that don't keep the id of their first request. */
  isUnnamed?: boolean;
  before: string;
}

/** Opens a record; it counts from the time at which it is opened until it is sent. */
export type OpenRecord = (
  path: string,
  target: CallTarget,
  details?: Partial<CallRecord>,
) => CallRecord;

/** Returns an empty list of records, and the function that adds one with an id of its own. */
export function createCallRecords(): { records: CallRecord[]; openRecord: OpenRecord } {
  const records: CallRecord[] = [];
  return {
    records,
    openRecord(path, target, details = {}) {
      const record: CallRecord = {
        id: `r${records.length + 1}`,
        path,
        isCrashing: false,
        sentAt: performance.now(),
        endedAt: 0,
        status: 0,
        body: '',
        interrupted: false,
        before: '',
        ...target,
        ...details,
      };
      records.push(record);
      return record;
    },
  };
}

/** Formats the headers of a request; `record.before` are the events after which it goes on. */
export function formatHeaders(record: CallRecord): Record<string, string> {
  const { id, key, resumes, isUnnamed, before } = record;
  return {
    host: 'desk.example',
    [API_KEY_HEADER]: key,
    [REQUEST_ID_HEADER]: id,
    [DEADLINE_HEADER]: String(CALLER_DEADLINE_MS),
    ...formatPromptHeaders(record),
    ...(resumes !== undefined && {
      ...(!isUnnamed && { [RESUMES_HEADER]: resumes }),
      [STREAM_HEADER]: resumes,
      [LAST_EVENT_ID_HEADER]: findLastId(before),
    }),
  };
}

/**
 * Requests share the first and the third part; the last is their own. A crashing call has no
 * prompt, so that only the request as a whole tells that it crashes engines.
 */
function formatPromptHeaders(record: CallRecord): Record<string, string> {
  const { id, path, isCrashing, crashingBody } = record;
  if (crashingBody !== undefined && !path.includes('stream')) return {};
  const own = Number(id.slice(1)).toString(16);
  const prompt = `a1:60,${isCrashing ? CRASHING_PART : 'd2'}:90,b3:40,${own}:10`;
  return { [PREFIX_HASH_HEADER]: prompt };
}

function findLastId(events: string): string {
  return [...events.matchAll(/^id: (\d+)$/gm)].at(-1)![1]!;
}

/**
 * Returns whether a request without an answer crossed an announced close: the head of the answer
 * before it had announced the close, and its entry has logged that it did not pass it on.
 */
export function isBehindClose(
  { id, entry, interrupted, status, behind }: CallRecord,
  crossed: readonly CrossedRequest[],
): boolean {
  return (
    interrupted &&
    status === 0 &&
    behind?.isClose === true &&
    crossed.some((each) => each.request === id && each.entry === entry)
  );
}

/** Returns whether the connection ended with the answer to the request before. */
export function isBehindCut({ interrupted, status, behind }: CallRecord): boolean {
  return interrupted && status === 0 && behind?.interrupted === true;
}
