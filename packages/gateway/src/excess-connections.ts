/**
 * Refusal of connections that an entry is too far behind to serve. What was sent on them is not
 * read, which costs a fraction of the time of a request, so that the connections behind them are
 * served soon; their callers try again at another entry.
 */
import type { Socket } from 'node:net';
import type { Clock } from '@masticbend/kernel/clock';
import { addPlainConnection, type ConnectionBounds } from '@masticbend/kernel/connection-bounds';
import { closeLingering } from '@masticbend/kernel/lingering-close';
import { formatRetryAfter, RETRY_AFTER_HEADER } from '@masticbend/platform/ingress';

/**
 * Callers return after a random part of this time, so that those refused together do not return
 * together; it is short enough for requests that have a second left.
 */
const MAX_RETRY_AFTER_MS = 300;

/** Dependencies of a refusal. */
export interface RefusalOptions {
  clock: Clock;
  bounds: ConnectionBounds;
  drawRandom: () => number;
}

/** Answers whatever comes on a connection as not run, and closes it. */
export function refuseConnection(
  { clock, bounds, drawRandom }: RefusalOptions,
  socket: Socket,
): void {
  addPlainConnection(clock, bounds, socket);
  const retryAfter = formatRetryAfter(drawRandom() * MAX_RETRY_AFTER_MS);
  // A caller that has left resets the connection.
  socket.on('error', () => undefined);
  socket.on('data', () => undefined);
  socket.write(
    `HTTP/1.1 503 Service Unavailable\r\n${RETRY_AFTER_HEADER}: ${retryAfter}\r\n` +
      'content-length: 0\r\nconnection: close\r\n\r\n',
  );
  closeLingering(clock, socket);
}
