/** A caller that writes arbitrary bytes to an entry and records the response. */
import { connect } from 'node:net';
import { waitUntil } from './wait.js';

/** A raw connection to an entry. */
export interface RawCaller {
  write: (text: string) => void;
  /** Returns everything received so far. */
  read: () => string;
  /** Waits until the received text contains `part`. */
  waitFor: (part: string) => Promise<void>;
  isClosed: () => boolean;
  /** Returns whether the entry reset the connection. */
  isReset: () => boolean;
  pause: () => void;
  close: () => void;
}

export function openRawCaller(port: number): RawCaller {
  const socket = connect(port, '127.0.0.1');
  let text = '';
  let closed = false;
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1');
  });
  let reset = false;
  socket.on('error', () => {
    reset = true;
  });
  socket.on('close', () => {
    closed = true;
  });
  return {
    write: (bytes) => socket.write(bytes),
    read: () => text,
    waitFor: (part) => waitUntil(() => text.includes(part), `"${part}" in ${text}`),
    isClosed: () => closed,
    isReset: () => reset,
    pause: () => socket.pause(),
    close: () => socket.destroy(),
  };
}

/** Returns the text of an HTTP request with the API key of the tests. */
export function formatRequest(method: string, path: string, headers: string[], body = ''): string {
  const lines = [`${method} ${path} HTTP/1.1`, 'host: x', 'authorization: Bearer test-key'];
  return `${[...lines, ...headers].join('\r\n')}\r\n\r\n${body}`;
}
