/** Reads the body of a request up to a maximum size. */
import type { IncomingMessage } from 'node:http';
import { createBodyBlocks } from '@masticbend/kernel/body-blocks';

/**
 * Resolves to the body, or to undefined once it exceeds `maxBytes`. Rejects if the connection
 * closes before the body is complete.
 */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const blocks = createBodyBlocks();
    request.on('data', (chunk: Buffer) => {
      blocks.add(chunk);
      if (blocks.countBytes() <= maxBytes) return;
      blocks.drop();
      resolve(undefined);
    });
    request.on('end', () => resolve(blocks.take()));
    request.on('error', reject);
    request.on('close', () => reject(new Error('connection closed before the body was complete')));
  });
}
