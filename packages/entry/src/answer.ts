/**
 * Receives the answer of one granted request from its agent: a head, numbered chunks, and an end
 * message whose chunk and byte counts must match the received data. A message out of order or a
 * mismatch ends the answer as truncated, so that a partial answer is never taken for a complete
 * one.
 */
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type {
  DataMessage,
  EndMessage,
  HeadMessage,
  Usage,
} from '@masticbend/protocol/call-message';
import { STREAM_WINDOW_BYTES, type Message } from '@masticbend/protocol/message';

/** Credit is returned in steps: a credit message per token would cost as much as the token. */
const CREDIT_STEP_BYTES = STREAM_WINDOW_BYTES / 8;

/** Receives the one final answer of a request. */
export interface AnswerSink {
  onHead: (status: number, headers: Record<string, string>, recorded: boolean) => void;
  /** `release` must be called once the bytes have been sent to the caller. */
  onData: (data: Uint8Array, release: () => void) => void;
  onEnd: (usage: Usage) => void;
  onFailure: (failure: Failure) => void;
}

/** Progress of an answer so far. */
export interface AnswerState {
  status?: number;
  chunks: number;
  bytes: number;
  /** Bytes passed to the sink and not yet released by it. */
  unsentBytes: number;
  /** Released bytes for which no credit has been returned yet. */
  uncreditedBytes: number;
}

/** State of the answer after a message. */
export type AnswerProgress =
  { kind: 'open' } | { kind: 'complete'; usage: Usage } | { kind: 'failed'; failure: Failure };

const OPEN: AnswerProgress = { kind: 'open' };
const TRUNCATED: AnswerProgress = {
  kind: 'failed',
  failure: { kind: ErrorKind.BackendTruncated },
};

/** Returns the state of an answer of which nothing has been received yet. */
export function createAnswerState(): AnswerState {
  return { chunks: 0, bytes: 0, unsentBytes: 0, uncreditedBytes: 0 };
}

/**
 * Applies one message of the granted agent. `handleRelease` is called for each released chunk with
 * the credit to return to the agent, in bytes: 0 until a full credit step has accumulated.
 */
export function receiveAnswerMessage(
  answer: AnswerState,
  sink: AnswerSink,
  message: Message,
  handleRelease: (credit: number) => void,
): AnswerProgress {
  if (message.kind === 'head') return receiveHead(answer, sink, message);
  if (message.kind === 'data') return receiveData(answer, sink, message, handleRelease);
  if (message.kind === 'end') return receiveEnd(answer, message);
  if (message.kind === 'failed') return { kind: 'failed', failure: message.failure };
  return OPEN;
}

function receiveHead(answer: AnswerState, sink: AnswerSink, message: HeadMessage): AnswerProgress {
  if (answer.status !== undefined) return TRUNCATED;
  answer.status = message.status;
  sink.onHead(message.status, message.headers, message.recorded);
  return OPEN;
}

function receiveData(
  answer: AnswerState,
  sink: AnswerSink,
  message: DataMessage,
  handleRelease: (credit: number) => void,
): AnswerProgress {
  if (answer.status === undefined || message.sequence !== answer.chunks) return TRUNCATED;
  const { length } = message.data;
  answer.chunks += 1;
  answer.bytes += length;
  answer.unsentBytes += length;
  sink.onData(message.data, () => {
    answer.unsentBytes -= length;
    answer.uncreditedBytes += length;
    const credit = answer.uncreditedBytes >= CREDIT_STEP_BYTES ? answer.uncreditedBytes : 0;
    answer.uncreditedBytes -= credit;
    handleRelease(credit);
  });
  return OPEN;
}

function receiveEnd(answer: AnswerState, message: EndMessage): AnswerProgress {
  const matches = message.chunks === answer.chunks && message.bytes === answer.bytes;
  if (answer.status === undefined || !matches) return TRUNCATED;
  return { kind: 'complete', usage: message.usage };
}
