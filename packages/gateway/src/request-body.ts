/** Bodies of callers' requests. */
import type { OpenRequest } from './caller-connection.js';

/**
 * Reads a complete body. Calls `onBody` with undefined when it exceeds `maxBytes`, and not at all
 * when the request is refused or the connection fails before its end.
 */
export function readBody(
  { request, response }: OpenRequest,
  maxBytes: number,
  onBody: (body: Buffer | undefined) => void,
): void {
  let chunks: Buffer[] = [];
  let bytes = 0;
  let isDone = false;
  request.on('data', (chunk: Buffer) => {
    if (response.writableEnded) {
      isDone = true;
      chunks = [];
    }
    if (isDone) return;
    bytes += chunk.length;
    chunks.push(chunk);
    if (bytes <= maxBytes) return;
    isDone = true;
    onBody(undefined);
  });
  request.on('end', () => {
    if (!isDone && !response.writableEnded) onBody(Buffer.concat(chunks));
  });
  // The connection failed before the request was complete: there is no caller left to answer.
  request.on('error', () => {
    isDone = true;
  });
}
