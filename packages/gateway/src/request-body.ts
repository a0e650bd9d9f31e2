/** Bodies of callers' requests. */
import type { OpenRequest } from './caller-connection.js';

/**
 * Reads a complete body. Calls `onBody` with undefined when it exceeds `maxBytes`, and not at all
 * when the request is refused or the connection fails before its end.
 */
export function readBody(
  open: OpenRequest,
  maxBytes: number,
  onBody: (body: Buffer | undefined) => void,
): void {
  const { request, response, blocks } = open;
  let isDone = false;

  function finish(): void {
    isDone = true;
    blocks.drop();
  }

  request.on('data', (chunk: Buffer) => {
    if (response.writableEnded) finish();
    if (isDone) return;
    blocks.add(chunk);
    if (blocks.countBytes() <= maxBytes) return;
    finish();
    onBody(undefined);
  });
  request.on('end', () => {
    if (isDone || response.writableEnded) return;
    const body = blocks.take();
    open.bodyBytes = body.length;
    onBody(body);
  });
  // The connection failed before the request was complete: there is no caller left to answer.
  request.on('error', finish);
}
