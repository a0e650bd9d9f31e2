/**
 * One attempt of a request at one backend server: sends the request, validates the answer and
 * passes it to the delivery, or reports whether the request may have run. Event streams are relayed
 * event by event. Other answers are buffered until they are complete, so that a request whose
 * answer is truncated can still be repeated.
 */
import type { Clock } from '@masticbend/kernel/clock';
import {
  buildDispatchHeaders,
  isAnswerTo,
  isEncoded,
  isNotRun,
  isSigned,
  readServerNotice,
  type HeaderMap,
} from '@masticbend/platform/ingress';
import type { BackendServer, ServerNotice } from '@masticbend/settings/routing';
import { Framing, readFraming } from './answer-framing.js';
import {
  isUnsendable,
  type BackendClient,
  type Exchange,
  type ExchangeRequest,
} from './backend-client.js';
import type { AttemptResult, StreamTrace } from './attempt-result.js';
import type { Delivery } from './delivery.js';
import { createEventSplitter } from './event-splitter.js';

/** Answers up to this size are buffered until they are complete; longer ones are relayed. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Largest answer, and largest event of a stream. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const MAX_EVENT_BYTES = 256 * 1024;

const NO_BODY = Buffer.alloc(0);

interface AnswerHead {
  status: number;
  headers: HeaderMap;
}

/** The request as one attempt needs it. */
export interface AttemptRequest {
  requestId: string;
  method: ExchangeRequest['method'];
  target: string;
  rawHeaders: readonly string[];
  body: Buffer;
  account?: string;
  streamed: boolean;
  /** Time left until the deadline, in milliseconds. */
  deadlineMs: number;
  /** Last event that an earlier attempt delivered. */
  lastEventId?: string;
  /** Time without data from the server after which it is silent; 0 for no limit. */
  inactivityTimeoutMs: number;
}

/** Events of an attempt. */
export interface AttemptEvents {
  onSent: () => void;
  /** What the server says about itself in an answer to this request, whatever its status. */
  onNotice: (notice: ServerNotice) => void;
  /** First byte of the answer, or first event of a stream; the time is counted from `onSent`. */
  onFirstOutput: (elapsedMs: number, status: number) => void;
  /**
   * The connection has ended behind the head of a stream, as after a crash; calls `onResult` with
   * whether the stream is over.
   */
  onEmptyEnd: (onResult: (isOver: boolean) => void) => void;
  /**
   * An answer without a length has ended with its connection, after a part of its body; calls
   * `onResult` with whether it is complete.
   */
  onOpenEnd: (onResult: (isComplete: boolean) => void) => void;
  /**
   * Mean time per event since the previous complete events; `isHeldBack` tells that the caller did
   * not read meanwhile.
   */
  onEventInterval: (intervalMs: number, isHeldBack: boolean) => void;
  /** The server is silent; repeated while it stays so. The attempt goes on. */
  onSilent: () => void;
  /** The server has sent data after a silence. */
  onResumed: () => void;
  /** The next part of the answer goes to the caller, up to the event with this id. */
  onRelay: (lastEventId: string | undefined) => void;
  /** Called once, as the last event. */
  onResult: (result: AttemptResult) => void;
}

/** A running attempt. */
export interface Attempt {
  /** Ends the attempt without a result. */
  abort: () => void;
  wasSent: () => boolean;
}

/** Starts an attempt. */
export function startAttempt(
  clock: Clock,
  client: BackendClient,
  server: BackendServer,
  request: AttemptRequest,
  delivery: Delivery,
  events: AttemptEvents,
): Attempt {
  const splitter = createEventSplitter();
  let head: AnswerHead | undefined;
  let bufferedChunks: Buffer[] = [];
  let bufferedBytes = 0;
  let maxPauseMs = 0;
  let receivedBytes = 0;
  let isRelaying = false;
  /** The exchange was paused for the caller since the last events. */
  let isHeldBack = false;
  let sentAt: number | undefined;
  let lastOutputAt: number | undefined;
  let eventCount = 0;
  let { lastEventId } = request;
  let hasEnded = false;
  let isSilent = false;
  let stopInactivityTimer = () => {};
  // Assigned below, before any event can occur.
  let exchange: Exchange | undefined;

  function finish(result: AttemptResult): void {
    if (hasEnded) return;
    hasEnded = true;
    stopInactivityTimer();
    exchange?.abort();
    events.onResult(result);
  }

  function failAttempt(reason: string, isConnectionLost = false): void {
    finish({ kind: 'broken', reason, isConnectionLost, lastEventId, stream: describeStream() });
  }

  function describeStream(): StreamTrace | undefined {
    if (!head || !isEventStream()) return undefined;
    const tailBytes = splitter.countPendingBytes();
    const framing = readFraming(head.headers);
    return { framing, events: eventCount, lastEventId, tailBytes, maxPauseMs };
  }

  function startInactivityTimer(): void {
    stopInactivityTimer();
    if (request.inactivityTimeoutMs === 0) return;
    stopInactivityTimer = clock.startTimer(request.inactivityTimeoutMs, () => {
      isSilent = true;
      startInactivityTimer();
      events.onSilent();
    });
  }

  function recordData(): void {
    startInactivityTimer();
    if (!isSilent) return;
    isSilent = false;
    events.onResumed();
  }

  function isEventStream(): boolean {
    return request.streamed && head !== undefined && head.status < 300;
  }

  function handleHead(status: number, headers: HeaderMap): void {
    recordData();
    if (!isAnswerTo(request.requestId, headers)) {
      failAttempt('answer to another request');
      return;
    }
    events.onNotice(readServerNotice(status, headers));
    if (isNotRun(status, headers)) finish({ kind: 'not-run', status });
    else if (status < 300 && !isSigned(headers)) failAttempt('answer without a signature');
    else if (isEncoded(headers)) failAttempt('answer with a content encoding');
    else if (delivery.hasBegun()) acceptRest(status, headers);
    else head = { status, headers };
  }

  /** Takes the answer for the rest of a stream; the caller gets nothing of any other one. */
  function acceptRest(status: number, headers: HeaderMap): void {
    if (delivery.isContinuedBy(status, headers)) head = { status, headers };
    else if (status < 300) failAttempt('answer is not the rest of the stream');
    else finish({ kind: 'answer', status, headers, body: NO_BODY });
  }

  function recordFirstOutput(): void {
    if (lastOutputAt !== undefined || sentAt === undefined) return;
    events.onFirstOutput(clock.now() - sentAt, head!.status);
  }

  function handleEvents(bytes: Buffer): void {
    const batch = splitter.push(bytes);
    if (splitter.countPendingBytes() > MAX_EVENT_BYTES) {
      failAttempt('event too large');
      return;
    }
    if (!batch) return;
    const now = clock.now();
    recordFirstOutput();
    if (lastOutputAt !== undefined) {
      events.onEventInterval((now - lastOutputAt) / batch.count, isHeldBack);
      if (!isHeldBack) maxPauseMs = Math.max(maxPauseMs, now - lastOutputAt);
    }
    isHeldBack = false;
    lastOutputAt = now;
    eventCount += batch.count;
    lastEventId = batch.lastId ?? lastEventId;
    events.onRelay(lastEventId);
    startStream(head!);
    relay(batch.bytes);
  }

  function startStream({ status, headers }: AnswerHead): void {
    if (delivery.hasBegun()) return;
    // Another server may continue the stream, so that the length of this answer does not apply.
    delivery.begin(status, { ...headers, 'content-length': undefined });
  }

  function relay(bytes: Buffer): void {
    if (!delivery.write(bytes)) waitForCaller(delivery.onDrain);
  }

  function waitForCaller(onReady: (resume: () => void) => void): void {
    exchange?.pause();
    isHeldBack = true;
    stopInactivityTimer();
    onReady(() => {
      // Data that was on its way at the pause may have come since.
      isHeldBack = true;
      exchange?.resume();
      if (!hasEnded) startInactivityTimer();
    });
  }

  function handleData(bytes: Buffer): void {
    if (hasEnded || !head) return;
    recordData();
    receivedBytes += bytes.length;
    if (receivedBytes > MAX_ANSWER_BYTES) {
      failAttempt('answer too large');
      return;
    }
    if (isEventStream()) {
      handleEvents(bytes);
      return;
    }
    recordFirstOutput();
    lastOutputAt = clock.now();
    if (isRelaying) {
      relay(bytes);
      return;
    }
    bufferedChunks.push(bytes);
    bufferedBytes += bytes.length;
    if (bufferedBytes <= MAX_BUFFERED_BYTES) {
      if (!delivery.hold(bufferedBytes)) waitForCaller(delivery.onTurn);
      return;
    }
    isRelaying = true;
    delivery.hold(0);
    events.onRelay(undefined);
    delivery.begin(head.status, head.headers);
    relay(Buffer.concat(bufferedChunks));
    bufferedChunks = [];
  }

  function handleEnd(): void {
    if (hasEnded) return;
    if (!head) {
      failAttempt('answer ended before its headers', true);
      return;
    }
    const { status, headers } = head;
    if (isEventStream()) finishStream(head);
    else if (hasBody(request.method, status) && readFraming(headers) === Framing.Connection) {
      checkOpenEnd(() => finishPlain({ status, headers }));
    } else finishPlain(head);
  }

  function finishPlain(answer: AnswerHead): void {
    if (isRelaying) {
      delivery.end();
      finish({ kind: 'delivered', status: answer.status });
    } else {
      finish({ kind: 'answer', ...answer, body: Buffer.concat(bufferedChunks) });
    }
  }

  /** Calls `onComplete` if the server is still there that has ended the answer's connection. */
  function checkOpenEnd(onComplete: () => void): void {
    stopInactivityTimer();
    events.onOpenEnd((isComplete) => {
      if (hasEnded) return;
      if (isComplete) onComplete();
      else failAttempt('ended with its server', true);
    });
  }

  /**
   * Ends a stream whose answer has ended. The end of the answer alone does not show that the stream
   * is complete: a server that breaks off may end its answer regularly.
   */
  function finishStream({ status, headers }: AnswerHead): void {
    if (splitter.isWithinEvent()) {
      failAttempt('ended within an event', true);
      return;
    }
    if (readFraming(headers) !== Framing.Connection) {
      closeStream({ status, headers });
      return;
    }
    if (eventCount === 0) {
      stopInactivityTimer();
      events.onEmptyEnd((isOver) => {
        if (hasEnded) return;
        if (isOver) closeStream({ status, headers });
        else failAttempt('ended before the first event', true);
      });
      return;
    }
    checkOpenEnd(() => closeStream({ status, headers }));
  }

  function closeStream({ status, headers }: AnswerHead): void {
    const stream = describeStream();
    events.onRelay(lastEventId);
    startStream({ status, headers });
    const remainder = splitter.takeRemainder();
    if (remainder.length > 0) delivery.write(remainder);
    delivery.end();
    finish({ kind: 'delivered', status, stream });
  }

  exchange = client.send(
    server,
    {
      method: request.method,
      path: request.target,
      headers: buildDispatchHeaders(request.rawHeaders, {
        server,
        account: request.account,
        deadlineMs: request.deadlineMs,
        lastEventId: request.lastEventId,
      }),
      body: request.body.length > 0 ? request.body : null,
    },
    {
      onSent() {
        sentAt = clock.now();
        startInactivityTimer();
        events.onSent();
      },
      onHead: handleHead,
      onData: handleData,
      onEnd: handleEnd,
      onError(error) {
        const reason = error.code ?? error.message;
        if (sentAt !== undefined) failAttempt(reason, true);
        else finish({ kind: isUnsendable(error) ? 'unsendable' : 'unsent', reason });
      },
    },
  );

  return {
    abort() {
      if (hasEnded) return;
      hasEnded = true;
      stopInactivityTimer();
      exchange.abort();
    },
    wasSent: () => sentAt !== undefined,
  };
}

/** Returns whether an answer can have a body (RFC 9112, section 6.3). */
function hasBody(method: string, status: number): boolean {
  return method !== 'HEAD' && status !== 204 && status !== 304;
}
