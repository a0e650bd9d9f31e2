/**
 * Close of a connection whose caller may still be sending. Closed with unread bytes, a connection
 * is reset, and the caller may lose the answer before it (RFC 9112, section 9.6). Therefore the
 * answer's direction is ended first, and what arrives for a while after it is discarded.
 */
import type { Socket } from 'node:net';
import type { Clock } from './clock.js';

const LINGER_MS = 200;

/** Ends a connection once all that was written to it has been sent; its input must be dropped. */
export function closeLingering(clock: Clock, socket: Socket): void {
  socket.end(() => {
    const stopTimer = clock.startTimer(LINGER_MS, () => socket.destroy());
    socket.once('close', stopTimer);
  });
}
