/**
 * Writes an answer to its caller. A streamed answer is relayed chunk by chunk; any other answer is
 * buffered until it is complete, so that a failure can still be reported with its status. Both are
 * limited in size. An answer that fails part-way is never taken for a complete one: an event stream
 * ends with an error event and without the terminating chunk, any other stream is interrupted.
 */
import { validateHeaderValue, type ServerResponse } from 'node:http';
import { abortAnswer } from '@masticbend/kernel/broken-answer';
import { createFailureAnswer, ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { AnswerSink } from './answer.js';
import { sendFailure } from './failure-answer.js';

/** Time allowed for sending the error event of a failed stream. */
const ERROR_EVENT_TIMEOUT_MS = 1_000;
const EVENT_STREAM = 'text/event-stream';
/** Statuses of responses without a body. */
const BODILESS_STATUSES = new Set([204, 304]);
const HEADER_NAME = /^[a-z0-9!#$%&'*+.^_`|~-]+$/;
/** Headers of a backend server that are not relayed, such as those the entry sets itself. */
const EXCLUDED_HEADERS = new Set(['x-request-id', 'content-length', 'date', 'connection', 'allow']);

/** Options of a sink. */
export interface CallerSinkOptions {
  response: ServerResponse;
  /** Maximum size of the answer body. */
  maxBytes: number;
  /** Aborts the request at its agent. */
  abort: () => void;
}

/** Returns a sink that relays each chunk as it arrives. */
export function createStreamSink(options: CallerSinkOptions): AnswerSink {
  const { response, maxBytes, abort } = options;
  let bytes = 0;
  let hasEvents = false;
  let ended = false;

  function failStream(failure: Failure): void {
    if (ended) return;
    ended = true;
    if (!response.headersSent) sendFailure(response, failure);
    else if (hasEvents) finishWithEvent(response, failure);
    else abortAnswer(response);
  }

  return {
    onHead(status, headers) {
      const selected = selectHeaders(headers);
      hasEvents = (selected['content-type'] ?? '').startsWith(EVENT_STREAM);
      if (hasEvents) selected['cache-control'] = 'no-store';
      response.writeHead(checkStatus(status), selected);
      response.flushHeaders();
    },
    onData(data, release) {
      if (ended) return;
      bytes += data.length;
      if (bytes > maxBytes) {
        failStream({ kind: ErrorKind.StreamTooLarge });
        abort();
        return;
      }
      response.write(data, (error) => {
        if (!error) release();
      });
    },
    onEnd() {
      if (ended) return;
      ended = true;
      response.end();
    },
    onFailure: failStream,
  };
}

/** Returns a sink that buffers the answer and sends it once it is complete. */
export function createBufferedSink(options: CallerSinkOptions): AnswerSink {
  const { response, maxBytes, abort } = options;
  let head = { status: 500, headers: {} as Record<string, string> };
  let chunks: Uint8Array[] = [];
  let bytes = 0;
  let ended = false;

  function failBuffered(failure: Failure): void {
    if (ended) return;
    ended = true;
    chunks = [];
    sendFailure(response, failure);
  }

  return {
    onHead(status, headers, recorded) {
      const selected = selectHeaders(headers);
      if (recorded) selected['idempotent-replay'] = 'true';
      head = { status: checkStatus(status), headers: selected };
    },
    onData(data, release) {
      if (ended) return;
      bytes += data.length;
      if (bytes > maxBytes) {
        failBuffered({ kind: ErrorKind.StreamTooLarge });
        abort();
        return;
      }
      chunks.push(data);
      release();
    },
    onEnd() {
      if (ended) return;
      ended = true;
      const { status, headers } = head;
      if (!BODILESS_STATUSES.has(status)) headers['content-length'] = String(bytes);
      response.writeHead(status, headers);
      response.end(BODILESS_STATUSES.has(status) ? undefined : Buffer.concat(chunks));
    },
    onFailure: failBuffered,
  };
}

/** Sends the error as the last event of a stream, then destroys the connection. */
function finishWithEvent(response: ServerResponse, failure: Failure): void {
  const { body } = createFailureAnswer(failure);
  const timer = setTimeout(() => response.destroy(), ERROR_EVENT_TIMEOUT_MS);
  timer.unref();
  response.write(`\n\nevent: error\ndata: ${JSON.stringify(body)}\n\n`, () => {
    clearTimeout(timer);
    response.destroy();
  });
}

function checkStatus(status: number): number {
  return status >= 200 && status <= 599 ? status : 502;
}

function selectHeaders(headers: Record<string, string>): Record<string, string> {
  const selected: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lower = name.toLowerCase();
    if (EXCLUDED_HEADERS.has(lower) || !HEADER_NAME.test(lower) || !isHeaderValue(value)) continue;
    selected[lower] = value;
  }
  return selected;
}

function isHeaderValue(value: string): boolean {
  try {
    validateHeaderValue('x', value);
    return true;
  } catch {
    return false;
  }
}
