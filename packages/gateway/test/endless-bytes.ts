/** Writers of bytes without end, for stand-ins of servers and callers in trouble. */
import type { Socket } from 'node:net';

const SLOW_INTERVAL_MS = 5;
const DRAIN_CHECK_MS = 1;

/** Writes pieces until the socket closes, as fast as it takes them. */
export function writeEndlessly(socket: Socket, piece: string | Buffer): void {
  let isOpen = true;
  socket.on('close', () => {
    isOpen = false;
  });
  const write = () => {
    while (isOpen && socket.writable && socket.write(piece));
    if (isOpen) setTimeout(write, DRAIN_CHECK_MS);
  };
  write();
}

/** Writes a piece at short intervals until the socket closes. */
export function writeSlowly(socket: Socket, piece: string): void {
  const timer = setInterval(() => socket.write(piece), SLOW_INTERVAL_MS);
  socket.on('close', () => clearInterval(timer));
}
