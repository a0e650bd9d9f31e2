/**
 * Reads a backend server's answer while it is relayed and checks at its end that it is complete. A
 * stream of events is relayed in complete events only, so that an interrupted stream can be resumed
 * after the last one.
 */
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { BackendCall } from '@masticbend/protocol/call-message';
import { CHAT_PATH } from '@masticbend/protocol/message';

const TERMINAL_EVENT = 'data: [DONE]';
const EVENT_SEPARATOR = /\r?\n\r?\n/;
const STATUS_OK = 200;
/** Statuses of answers that never have a body. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Token counts as reported by the engine. */
export interface TokenUsage {
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
}

/** Reader of one answer. */
export interface AnswerReader {
  /** Takes received bytes and returns those that may be relayed now. */
  read: (chunk: Buffer) => Buffer;
  /** Returns the failure of an incomplete answer, after its last byte was read. */
  check: () => Failure | undefined;
  /** Whether the answer can be resumed after the events relayed so far. */
  resumable: boolean;
  /** Discards the bytes of an incomplete event, before the stream is resumed. */
  reset: () => void;
  /** Returns whether the terminal event of the stream was relayed. */
  isEnded: () => boolean;
  /** Returns the size of the incomplete event, in bytes. */
  countPendingBytes: () => number;
  /** Returns the number of events relayed so far. */
  countEvents: () => number;
  getUsage: () => TokenUsage;
}

const NOT_RESUMABLE = {
  resumable: false,
  reset: () => undefined,
  isEnded: () => false,
  countPendingBytes: () => 0,
  countEvents: () => 0,
} as const;

/** Creates the reader for the answer to a call. */
export function createAnswerReader(
  call: BackendCall,
  status: number,
  headers: Record<string, unknown>,
): AnswerReader {
  if (status === STATUS_OK && call.stream) return createEventReader();
  if (status === STATUS_OK && call.path === CHAT_PATH) return createChatReader();
  return createPlainReader(call, status, headers);
}

function createEventReader(): AnswerReader {
  let incompleteEvent: Buffer = Buffer.alloc(0);
  let events = 0;
  let ended = false;
  let usage: TokenUsage | undefined;

  function readEvent(text: string): void {
    if (!/^data:/m.test(text)) return;
    events += 1;
    if (text.includes(TERMINAL_EVENT)) ended = true;
    else if (text.includes('"usage"')) usage = parseUsage(text.replace(/^data:/, '')) ?? usage;
  }

  return {
    read(chunk) {
      const bytes = incompleteEvent.length > 0 ? Buffer.concat([incompleteEvent, chunk]) : chunk;
      const end = findEventEnd(bytes);
      const completeEvents = bytes.subarray(0, end);
      incompleteEvent = bytes.subarray(end);
      completeEvents.toString('utf8').split(EVENT_SEPARATOR).forEach(readEvent);
      return completeEvents;
    },
    check: () => (ended ? undefined : { kind: ErrorKind.BackendTruncated }),
    resumable: true,
    reset() {
      incompleteEvent = Buffer.alloc(0);
    },
    isEnded: () => ended,
    countPendingBytes: () => incompleteEvent.length,
    countEvents: () => events,
    getUsage: () => usage ?? { promptTokens: 0, cachedTokens: 0, outputTokens: events },
  };
}

function createChatReader(): AnswerReader {
  const chunks: Buffer[] = [];
  let usage: TokenUsage | undefined;
  return {
    read(chunk) {
      chunks.push(chunk);
      return chunk;
    },
    check() {
      const text = Buffer.concat(chunks).toString('utf8');
      const answer = parseObject(text);
      if (!Array.isArray(answer?.choices)) return { kind: ErrorKind.BackendTruncated };
      usage = parseUsage(text);
      return undefined;
    },
    ...NOT_RESUMABLE,
    getUsage: () => usage ?? { promptTokens: 0, cachedTokens: 0, outputTokens: 0 },
  };
}

/**
 * Creates a reader for an answer of unknown format. Without a content length or chunked encoding,
 * the end of the connection does not prove that the answer is complete.
 */
function createPlainReader(
  call: BackendCall,
  status: number,
  headers: Record<string, unknown>,
): AnswerReader {
  const isChunked = String(headers['transfer-encoding'] ?? '').includes('chunked');
  const hasNoBody = call.method === 'HEAD' || BODILESS_STATUSES.has(status);
  const hasExplicitEnd = isChunked || hasNoBody || headers['content-length'] !== undefined;
  return {
    read: (chunk) => chunk,
    check: () => (hasExplicitEnd ? undefined : { kind: ErrorKind.BackendTruncated }),
    ...NOT_RESUMABLE,
    getUsage: () => ({ promptTokens: 0, cachedTokens: 0, outputTokens: 0 }),
  };
}

/** Returns the offset after the last complete event. */
function findEventEnd(bytes: Buffer): number {
  const lfEnd = bytes.lastIndexOf('\n\n');
  const crlfEnd = bytes.lastIndexOf('\r\n\r\n');
  return Math.max(lfEnd < 0 ? 0 : lfEnd + 2, crlfEnd < 0 ? 0 : crlfEnd + 4);
}

function parseUsage(text: string): TokenUsage | undefined {
  const usage = parseObject(text)?.usage as Record<string, unknown> | null | undefined;
  if (typeof usage !== 'object' || usage === null) return undefined;
  const details = usage.prompt_tokens_details as { cached_tokens?: unknown } | undefined;
  return {
    promptTokens: readCount(usage.prompt_tokens),
    cachedTokens: readCount(details?.cached_tokens),
    outputTokens: readCount(usage.completion_tokens),
  };
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null
      ? (value as Record<string, unknown>)
      : undefined;
  } catch {
    return undefined;
  }
}

function readCount(value: unknown): number {
  return typeof value === 'number' && value >= 0 ? value : 0;
}
