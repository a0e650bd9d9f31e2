/**
 * Reads a backend server's answer as it passes and tells at its end whether it came whole. Streams
 * of events are passed on in whole events, so that a cut stream can be resumed after the last one.
 */
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { CHAT_PATH, type BackendCall } from '@masticbend/protocol/message';

const TERMINAL_EVENT = 'data: [DONE]';
const EVENT_SEPARATOR = /\r?\n\r?\n/;
const STATUS_OK = 200;
/** Statuses whose answers never have a body. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Tokens as the engine counted them. */
export interface TokenUsage {
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
}

/** Reader of one answer. */
export interface AnswerReader {
  /** Takes bytes and returns those that may be passed on now. */
  read: (piece: Buffer) => Buffer;
  /** Returns what is wrong with the answer once no more bytes come. */
  check: () => Failure | undefined;
  /** Whether the answer can be resumed after the events passed on. */
  resumable: boolean;
  /** Forgets bytes that were taken and not passed on, before the stream is resumed. */
  reset: () => void;
  /** True once the event that ends a stream was passed on. */
  isEnded: () => boolean;
  /** Bytes of the event that is not whole yet. */
  countPendingBytes: () => number;
  /** Events passed on so far. */
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

/** Returns the reader for the answer to a call. */
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
    read(piece) {
      const bytes = incompleteEvent.length > 0 ? Buffer.concat([incompleteEvent, piece]) : piece;
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
  const pieces: Buffer[] = [];
  let usage: TokenUsage | undefined;
  return {
    read(piece) {
      pieces.push(piece);
      return piece;
    },
    check() {
      const text = Buffer.concat(pieces).toString('utf8');
      const answer = parseObject(text);
      if (!Array.isArray(answer?.choices)) return { kind: ErrorKind.BackendTruncated };
      usage = parseUsage(text);
      return undefined;
    },
    ...NOT_RESUMABLE,
    getUsage: () => usage ?? { promptTokens: 0, cachedTokens: 0, outputTokens: 0 },
  };
}

/** Without a length or chunks, an answer that ends does not prove that it is whole. */
function createPlainReader(
  call: BackendCall,
  status: number,
  headers: Record<string, unknown>,
): AnswerReader {
  const isChunked = String(headers['transfer-encoding'] ?? '').includes('chunked');
  const hasNoBody = call.method === 'HEAD' || BODILESS_STATUSES.has(status);
  const hasExplicitEnd = isChunked || hasNoBody || headers['content-length'] !== undefined;
  return {
    read: (piece) => piece,
    check: () => (hasExplicitEnd ? undefined : { kind: ErrorKind.BackendTruncated }),
    ...NOT_RESUMABLE,
    getUsage: () => ({ promptTokens: 0, cachedTokens: 0, outputTokens: 0 }),
  };
}

/** Returns the offset after the last whole event. */
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
