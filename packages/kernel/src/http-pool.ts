/**
 * Connections of HTTP clients. The library's parser throws an error of its own, which ends the
 * process, where a connection ends while the parser is paused. A stream reports its end on a read,
 * also on those by which it only asks the system for more. Here these don't report it, so that the
 * end waits for a read of the parser.
 */
import type { Socket } from 'node:net';
import { buildConnector, Pool } from 'undici';

/** Returns a connector whose connections report their ends when they are read. */
export function createHttpConnector(
  options: buildConnector.BuildOptions,
): buildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      const [, socket] = result;
      if (socket) reportEndOnRead(socket);
      callback(...result);
    });
}

/** Returns a pool of such connections to one server. */
export function createHttpPool(origin: string, options: Pool.Options): Pool {
  return new Pool(origin, {
    ...options,
    connect: createHttpConnector({ timeout: options.connectTimeout }),
  });
}

function reportEndOnRead(socket: Socket): void {
  const push = socket.push.bind(socket);
  const read = socket.read.bind(socket) as (size?: number) => unknown;
  let hasEnded = false;
  socket.push = (chunk, encoding) => {
    if (chunk === null) hasEnded = true;
    return push(chunk, encoding);
  };
  socket.read = (size) => (size === 0 && hasEnded ? null : read(size));
}
