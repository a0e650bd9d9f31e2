/**
 * One call to the backend server. Sends the request at most once, relays the answer within the
 * receiver's credit, resumes an interrupted stream and checks that the answer is complete.
 */
import type { Dispatcher } from 'undici';
import { waitFor, type Clock } from '@masticbend/kernel/clock';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { BackendCall, Usage } from '@masticbend/protocol/call-message';
import {
  MAX_CHUNK_BYTES,
  FIRST_BYTE_TIMEOUT_MS,
  STREAM_WINDOW_BYTES,
} from '@masticbend/protocol/message';
import { createAnswerReader, type AnswerReader } from './answer-reader.js';
import { createCreditWindow } from './credit-window.js';
import { createCheckedClient } from './start-check.js';

/** Longest wait between two bytes of an answer, and for the head of a resumed stream. */
const IDLE_TIMEOUT_MS = 60_000;
/** Longest wait for the answer to the cancellation of a stream. */
const CANCEL_TIMEOUT_MS = 2_000;

/** Most attempts to resume one stream; attempt n waits n times the delay first. */
const MAX_RESUMES = 3;
const RESUME_DELAY_MS = 50;

/** Error codes of a connection that could not be opened. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/** Header with the id of the request, under which an engine also keeps its stream. */
const REQUEST_HEADER = 'x-request-id';
const STATUS_OK = 200;

/** Headers that apply to one connection only and are not forwarded. */
const UNFORWARDED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'te',
  'trailer',
  'proxy-authenticate',
  'proxy-authorization',
]);

/** Request to send, and the conditions of the call. */
export interface BackendCallOptions {
  client: Dispatcher;
  clock: Clock;
  request: string;
  call: BackendCall;
  body: Uint8Array;
  /** Largest answer, in bytes. */
  maxAnswerBytes: number;
  /** Checked right before the first byte is sent; the request is not sent when it returns false. */
  mayStart: () => boolean;
}

/** Receiver of the answer. The last event is one of `onEnd`, `onFailure` and `onNotStarted`. */
export interface AnswerEvents {
  /** The first byte of the request is about to be sent. */
  onStart: () => void;
  onHead: (status: number, headers: Record<string, string>) => void;
  onData: (sequence: number, data: Uint8Array) => void;
  onEnd: (chunks: number, bytes: number, usage: Usage) => void;
  onFailure: (failure: Failure) => void;
  /** Nothing was sent to the backend server. */
  onNotStarted: (failure: Failure) => void;
}

/** A call in progress. */
export interface RunningCall {
  /** Allows this many more bytes of the answer to be relayed. */
  addCredit: (bytes: number) => void;
  /** Cancels the call at the backend server. */
  cancel: () => void;
}

interface AnswerResult {
  /** Undefined when the answer is complete. */
  failure?: Failure | undefined;
  /** Whether the answer was interrupted before the backend server ended it. */
  interrupted: boolean;
}

/** Starts a call; the result arrives through `events`. */
export function startBackendCall(options: BackendCallOptions, events: AnswerEvents): RunningCall {
  const { client, clock, request, call, body, maxAnswerBytes, mayStart } = options;
  const controller = new AbortController();
  const creditWindow = createCreditWindow(STREAM_WINDOW_BYTES);
  const startedAt = clock.now();
  let started = false;
  let reader: AnswerReader | undefined;
  let chunks = 0;
  let bytes = 0;
  let firstByteMs = 0;

  async function runCall(): Promise<Failure | undefined> {
    let result = await receiveAnswer(sendRequest);
    for (let attempt = 1; attempt <= MAX_RESUMES && isResumable(result); attempt += 1) {
      await waitFor(clock, RESUME_DELAY_MS * attempt);
      result = await receiveAnswer(resumeStream);
    }
    return result.failure;
  }

  function isResumable(result: AnswerResult): boolean {
    if (!result.interrupted || !started || !call.stream || controller.signal.aborted) return false;
    return reader === undefined || reader.resumable;
  }

  async function receiveAnswer(
    send: () => Promise<Dispatcher.ResponseData>,
  ): Promise<AnswerResult> {
    try {
      const response = await send();
      if (!reader) {
        const headers = selectForwardedHeaders(response.headers);
        reader = createAnswerReader(call, response.statusCode, response.headers);
        events.onHead(response.statusCode, headers);
      }
      return { interrupted: false, failure: await relayBody(reader, response.body) };
    } catch (error) {
      if (reader?.isEnded()) return { interrupted: false };
      if (!started) return { interrupted: false, failure: createNotStartedFailure(error) };
      const kind = reader ? ErrorKind.BackendTruncated : ErrorKind.OutcomeUnknown;
      return { interrupted: true, failure: { kind } };
    }
  }

  function sendRequest(): Promise<Dispatcher.ResponseData> {
    return createCheckedClient(client, tryStart).request({
      method: call.method,
      path: call.path,
      headers: { ...call.headers, [REQUEST_HEADER]: request },
      body: body.length > 0 ? body : null,
      signal: controller.signal,
      headersTimeout: FIRST_BYTE_TIMEOUT_MS,
      bodyTimeout: IDLE_TIMEOUT_MS,
    });
  }

  function tryStart(): boolean {
    if (!mayStart()) return false;
    started = true;
    events.onStart();
    return true;
  }

  /** Requests the remaining events of the stream; the engine does not run the request again. */
  async function resumeStream(): Promise<Dispatcher.ResponseData> {
    reader?.reset();
    const after = reader?.countEvents() ?? 0;
    const response = await client.request({
      method: 'GET',
      path: `${createStreamPath(request)}?after=${after}`,
      signal: controller.signal,
      headersTimeout: IDLE_TIMEOUT_MS,
      bodyTimeout: IDLE_TIMEOUT_MS,
    });
    if (response.statusCode === STATUS_OK) return response;
    await response.body.dump();
    throw new Error('the engine did not resume the stream');
  }

  async function relayBody(
    bodyReader: AnswerReader,
    responseBody: AsyncIterable<Buffer>,
  ): Promise<Failure | undefined> {
    for await (const received of responseBody) {
      if (bytes === 0) firstByteMs = clock.now() - startedAt;
      const relayable = bodyReader.read(received);
      // An incomplete event counts too, so that it cannot grow beyond the limit unnoticed.
      const nextBytes = Math.max(relayable.length, bodyReader.countPendingBytes());
      if (bytes + nextBytes > maxAnswerBytes) return { kind: ErrorKind.StreamTooLarge };
      await sendChunks(relayable);
    }
    return bodyReader.check();
  }

  async function sendChunks(relayable: Buffer): Promise<void> {
    for (let offset = 0; offset < relayable.length; offset += MAX_CHUNK_BYTES) {
      const data = relayable.subarray(offset, offset + MAX_CHUNK_BYTES);
      await creditWindow.take(data.length);
      if (controller.signal.aborted) throw new Error('call cancelled');
      events.onData(chunks, data);
      chunks += 1;
      bytes += data.length;
    }
  }

  function cancel(): void {
    controller.abort();
    creditWindow.close();
  }

  function finishCall(failure: Failure | undefined): void {
    if (!started) {
      events.onNotStarted(failure ?? { kind: ErrorKind.Internal });
    } else if (failure) {
      if (call.stream) cancelStream(client, request);
      events.onFailure(failure);
    } else {
      const totalMs = clock.now() - startedAt;
      events.onEnd(chunks, bytes, { ...reader!.getUsage(), firstByteMs, totalMs });
    }
  }

  runCall().then(finishCall);
  return { addCredit: creditWindow.add, cancel };
}

/**
 * Cancels the run of a stream at the engine. An engine that supports resuming keeps running after
 * its connection is closed.
 */
function cancelStream(client: Dispatcher, request: string): void {
  client
    .request({
      method: 'DELETE',
      path: createStreamPath(request),
      signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
    })
    .then(({ body }) => body.dump())
    .catch(() => undefined);
}

function createStreamPath(request: string): string {
  return `/v1/streams/${encodeURIComponent(request)}`;
}

function createNotStartedFailure(error: unknown): Failure {
  const { code = '' } = error as { code?: string };
  return { kind: CONNECT_ERROR_CODES.has(code) ? ErrorKind.NoBackendServer : ErrorKind.Overloaded };
}

function selectForwardedHeaders(headers: Record<string, string | string[] | undefined>) {
  const selected: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || UNFORWARDED_HEADERS.has(name)) continue;
    selected[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return selected;
}
