/**
 * The caller's side of one request: its answer, begun at most once, and the news that the caller is
 * gone. A failure after the answer began can only be shown by breaking the connection.
 */
import type { ServerResponse } from 'node:http';
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

/** Answer of one request. */
export interface Delivery {
  begin: (status: number, headers: HeaderMap) => void;
  /** Returns false when the caller reads slower than the answer comes. */
  write: (bytes: Buffer) => boolean;
  /** Calls back once the caller has taken what was written. */
  onDrain: (resume: () => void) => void;
  end: () => void;
  /** Sends a whole answer. */
  answer: (status: number, headers: HeaderMap, body: Buffer) => void;
  /** Answers with a failure of the system, or breaks off an answer that began. */
  fail: (failure: Failure) => void;
  hasBegun: () => boolean;
}

/** Wraps a response; `onAbandoned` is called when the caller leaves before its end. */
export function createDelivery(response: ServerResponse, onAbandoned: () => void): Delivery {
  let begun = false;
  let closed = false;

  response.on('close', () => {
    if (closed) return;
    closed = true;
    onAbandoned();
  });
  // The close event that follows says all there is to know.
  response.on('error', () => undefined);

  function startAnswer(status: number, headers: HeaderMap): void {
    begun = true;
    response.writeHead(status, selectAnswerHeaders(headers));
  }

  function finishAnswer(): void {
    closed = true;
    response.end();
  }

  return {
    begin: startAnswer,
    write: (bytes) => response.write(bytes),
    onDrain: (resume) => response.once('drain', resume),
    end: finishAnswer,
    answer(status, headers, body) {
      startAnswer(status, { ...headers, 'content-length': String(body.length) });
      response.write(body);
      finishAnswer();
    },
    fail(failure) {
      if (closed) return;
      if (begun) {
        closed = true;
        response.destroy();
        return;
      }
      const { status, headers, body } = createFailureAnswer(failure);
      const { retry, retryAfterMs } = ANSWERS[failure.kind];
      delete headers['retry-after'];
      if (retry === RetryAdvice.After) {
        headers['retry-after'] = formatRetryAfter(failure.retryAfterMs ?? retryAfterMs);
      }
      begun = true;
      closed = true;
      response.writeHead(status, headers);
      response.end(JSON.stringify(body));
    },
    hasBegun: () => begun,
  };
}
