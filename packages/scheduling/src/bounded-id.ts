/**
 * Bounds the ids that callers choose, so that keys and messages with them are bounded too: a peer
 * rejects a message with a longer text and closes the connection.
 */
import { createHash } from 'node:crypto';

/** Longest id that is kept as it is; a longer one is replaced by its hash. */
const MAX_ID_CHARACTERS = 64;

/** Returns an id, or its hash where it is too long. */
export function formatBoundedId(id: string): string {
  if (id.length <= MAX_ID_CHARACTERS) return id;
  return createHash('sha256').update(id).digest('hex');
}
