/** Reads the body of a request up to a maximum size. */
import type { IncomingMessage } from 'node:http';

/**
 * Resolves to the body, or to undefined once it exceeds `maxBytes`. Rejects if the connection
 * closes before the body is complete.
 */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    let chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) {
        chunks.push(chunk);
      } else {
        chunks = [];
        resolve(undefined);
      }
    });
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', reject);
    request.on('close', () => reject(new Error('connection closed before the body was complete')));
  });
}
