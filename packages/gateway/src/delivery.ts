/**
 * Delivery of one request's answer to its caller. The answer is started at most once, and the owner
 * is notified when the caller disconnects before its end. A failure after the start of the answer
 * can only be signalled by closing the connection.
 */
import type { ServerResponse } from 'node:http';
import { abortAnswer } from '@masticbend/kernel/broken-answer';
import {
  formatRetryAfter,
  selectAnswerHeaders,
  type HeaderMap,
} from '@masticbend/platform/ingress';
import {
  ANSWERS,
  createFailureAnswer,
  RetryAdvice,
  type Failure,
} from '@masticbend/protocol/error';

/** Answer to one request. */
export interface Delivery {
  /** Sends the head of an answer. */
  begin: (status: number, headers: HeaderMap) => void;
  /** Writes a part of the body; returns false when the caller reads too slowly (back-pressure). */
  write: (bytes: Buffer) => boolean;
  /** Calls `resume` once the bytes written so far were sent. */
  onDrain: (resume: () => void) => void;
  /**
   * Tells how many bytes of an answer are held back until it is complete. Returns false where more
   * must not be held: the connection is at its bound, and other answers are due before this one.
   */
  hold: (bytes: number) => boolean;
  /** Calls `resume` once this answer is the next that is due. */
  onTurn: (resume: () => void) => void;
  end: () => void;
  /** Sends a complete answer. */
  answer: (status: number, headers: HeaderMap, body: Buffer) => void;
  /** Answers with a failure, or closes the connection if an answer has begun. */
  fail: (failure: Failure) => void;
  hasBegun: () => boolean;
  /**
   * Returns whether an answer with this head can be the rest of the one that has begun: its status
   * and its media type are the same.
   */
  isContinuedBy: (status: number, headers: HeaderMap) => boolean;
}

/** What the owner of the connection counts of an answer, where it bounds the bytes held. */
export interface DeliveryBounds {
  recordWritten: (bytes: number) => void;
  recordHeldBack: (bytes: number) => void;
  /** Returns whether nothing more is to be held for the connection. */
  isFull: () => boolean;
}

/** Wraps a response; `onAbandoned` is called when the caller disconnects before its end. */
export function createDelivery(
  response: ServerResponse,
  onAbandoned: () => void,
  bounds?: DeliveryBounds,
): Delivery {
  let begun = false;
  let begunWith: { status: number; type: string } | undefined;
  let isFinished = false;

  response.on('close', () => {
    if (isFinished) return;
    isFinished = true;
    onAbandoned();
  });
  // A close event follows every error and is handled above.
  response.on('error', () => undefined);

  function startAnswer(status: number, headers: HeaderMap): void {
    begun = true;
    begunWith = { status, type: readMediaType(headers) };
    response.writeHead(status, selectAnswerHeaders(headers));
  }

  function finishAnswer(): void {
    isFinished = true;
    response.end();
  }

  return {
    begin: startAnswer,
    write(bytes) {
      const isTaken = response.write(bytes);
      bounds?.recordWritten(bytes.length);
      // Within the bound, a server is free as soon as it has sent its answer.
      return isTaken || bounds?.isFull() === false;
    },
    // The event may occur while the parser of another answer runs, which admits no second one.
    onDrain: (resume) => response.once('drain', () => setImmediate(resume)),
    hold(bytes) {
      bounds?.recordHeldBack(bytes);
      return !bounds || response.socket !== null || !bounds.isFull();
    },
    onTurn: (resume) => response.once('socket', () => setImmediate(resume)),
    end: finishAnswer,
    answer(status, headers, body) {
      startAnswer(status, { ...headers, 'content-length': String(body.length) });
      response.write(body);
      bounds?.recordHeldBack(0);
      bounds?.recordWritten(body.length);
      finishAnswer();
    },
    fail(failure) {
      if (isFinished) return;
      if (begun) {
        isFinished = true;
        // Bytes written before are sent at the end of this turn of the event loop.
        setImmediate(() => abortAnswer(response));
        return;
      }
      const { status, headers, body } = createFailureAnswer(failure);
      const { retry, retryAfterMs } = ANSWERS[failure.kind];
      delete headers['retry-after'];
      if (retry === RetryAdvice.After) {
        headers['retry-after'] = formatRetryAfter(failure.retryAfterMs ?? retryAfterMs);
      }
      begun = true;
      isFinished = true;
      response.writeHead(status, headers);
      response.end(JSON.stringify(body));
    },
    hasBegun: () => begun,
    isContinuedBy: (status, headers) =>
      begunWith?.status === status && begunWith.type === readMediaType(headers),
  };
}

function readMediaType(headers: HeaderMap): string {
  const [type = ''] = String(headers['content-type'] ?? '').split(';', 1);
  return type.trim().toLowerCase();
}
