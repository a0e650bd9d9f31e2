/** Sends failure answers to callers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { abortAnswer } from '@masticbend/kernel/broken-answer';
import { createFailureAnswer, type Failure } from '@masticbend/protocol/error';

/** Time a caller has to finish sending the body of a refused request. */
const DISCARD_TIMEOUT_MS = 1_000;

/** Sends the answer to a failure; aborts another answer that has been started. */
export function sendFailure(response: ServerResponse, failure: Failure, allow?: string): void {
  if (response.destroyed || response.writableEnded) return;
  if (response.headersSent) {
    abortAnswer(response);
    return;
  }
  const answer = createFailureAnswer(failure);
  const text = JSON.stringify(answer.body);
  if (allow !== undefined) response.setHeader('allow', allow);
  response.writeHead(answer.status, {
    ...answer.headers,
    'content-length': String(Buffer.byteLength(text)),
  });
  response.end(text);
}

/**
 * Reads and discards the rest of a refused request; destroys the connection if the caller is still
 * sending after the timeout.
 */
export function dropBody(request: IncomingMessage): void {
  if (request.complete) return;
  const timer = setTimeout(() => request.socket.destroy(), DISCARD_TIMEOUT_MS);
  timer.unref();
  request.once('end', () => clearTimeout(timer));
  request.once('close', () => clearTimeout(timer));
  request.resume();
}

/** Answers bytes that could not be parsed as an HTTP request, and closes the connection. */
export function closeWithFailure(socket: Socket, failure: Failure): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const { status, headers, body } = createFailureAnswer(failure);
  const text = JSON.stringify(body);
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const length = Buffer.byteLength(text);
  socket.end(
    `HTTP/1.1 ${status} Refused\r\n${lines.join('')}content-length: ${length}\r\n` +
      `connection: close\r\n\r\n${text}`,
  );
  socket.setTimeout(DISCARD_TIMEOUT_MS, () => socket.destroy());
}
