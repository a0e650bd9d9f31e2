/** TCP servers and connections by address. */
import { connect, type Server, type Socket } from 'node:net';
import type { Clock } from '@masticbend/kernel/clock';
import { parseAddress } from '@masticbend/settings/address';

/**
 * Connections that may wait to be accepted; the system may set a lower bound. With the default of
 * 511, the system dropped the others of a burst, and these tried again after a second.
 */
const BACKLOG = 4_096;

/** Starts listening on an `IP:port`; resolves once the server listens, rejects if it cannot. */
export function startServer(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, BACKLOG, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** Target and timeout of a connection attempt. */
export interface DialOptions {
  host: string;
  port: number;
  /** Time after which the attempt is aborted, in milliseconds. */
  timeoutMs: number;
}

/** Opens and closes a connection; reports whether the other side refused it. */
export function probeSocket(
  clock: Clock,
  { host, port, timeoutMs }: DialOptions,
  onResult: (isRefused: boolean) => void,
): void {
  const socket = connect({ host, port });
  const stopTimer = clock.startTimer(timeoutMs, () => socket.destroy());
  let isRefused = false;
  socket.once('error', ({ code }: NodeJS.ErrnoException) => {
    isRefused = code === 'ECONNREFUSED';
  });
  socket.once('connect', () => socket.destroy());
  socket.once('close', () => {
    stopTimer();
    onResult(isRefused);
  });
}

/**
 * Opens a connection. `onEnd` is called once the attempt has succeeded or failed, before
 * `onConnect`, and again when a connection that was opened closes.
 */
export function dialSocket(
  clock: Clock,
  { host, port, timeoutMs }: DialOptions,
  onConnect: (socket: Socket) => void,
  onEnd: () => void = () => undefined,
): void {
  const socket = connect({ host, port });
  const stopTimer = clock.startTimer(timeoutMs, () => socket.destroy());
  // The caller of this function retries failed attempts.
  socket.once('error', () => undefined);
  socket.once('close', () => {
    stopTimer();
    onEnd();
  });
  socket.once('connect', () => {
    stopTimer();
    onEnd();
    onConnect(socket);
  });
}
