/**
 * Parts of a prompt by which requests are compared: all but the last, which belongs to one request
 * or session.
 */
import { formatBoundedId } from './bounded-id.js';

/** Returns the ids of the shared parts, each once. Ids are hexadecimal, in either case. */
export function listSharedParts(prompt: readonly { id: string }[]): string[] {
  const ids = prompt.slice(0, -1).map(({ id }) => formatBoundedId(id.toLowerCase()));
  return [...new Set(ids)].filter((id) => id !== '');
}
