/** Listening and dialling by address. */
import { connect, type Server, type Socket } from 'node:net';
import type { Clock } from '@masticbend/kernel/clock';
import { parseAddress } from '@masticbend/settings/address';

/** Resolves once a server listens on an `IP:port`. */
export function startServer(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** Where and how long to dial. */
export interface DialOptions {
  host: string;
  port: number;
  /** Longest wait for the connection, in milliseconds. */
  limitMs: number;
}

/** Dials; `onEnd` is called once the dial has succeeded or failed, before `onConnect`. */
export function dialSocket(
  clock: Clock,
  { host, port, limitMs }: DialOptions,
  onConnect: (socket: Socket) => void,
  onEnd: () => void = () => undefined,
): void {
  const socket = connect({ host, port });
  const stopTimer = clock.startTimer(limitMs, () => socket.destroy());
  // A dial that fails is tried again by its caller.
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
