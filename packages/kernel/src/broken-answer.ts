/**
 * Ends the connection of an HTTP answer that cannot be completed, so that its caller recognises an
 * incomplete answer.
 */
import type { ServerResponse } from 'node:http';

/**
 * Closes the connection of an answer that has begun. Without chunks a regular end can be that of a
 * complete answer, so the connection is reset.
 */
export function abortAnswer(response: ServerResponse): void {
  if (response.chunkedEncoding) response.destroy();
  else response.socket?.resetAndDestroy();
}
