/**
 * Crowds of connections that send as much as a process takes, read no answer and stay open. The
 * sender holds back what the process does not read, so that its own memory stays small.
 */
import { connect, type Socket } from 'node:net';

/** Bytes of one write; a piece is repeated up to it. */
const WRITE_BYTES = 64 * 1024;
/** A crowd is settled once nothing has moved on its connections for this long. */
const SETTLED_MS = 600;
const SETTLE_CHECK_MS = 50;
/** A crowd that is served all the time does not settle. */
const MAX_SETTLE_MS = 20_000;
/** Connections that are opened at the same time. */
const OPENED_AT_ONCE = 50;

/** Bytes of a body in chunks of one byte, with its framing. */
const MAX_TINY_BYTES = 4 * 1024 * 1024;
/** Bytes that each connection sends ahead. */
const MAX_AHEAD_BYTES = 1024 * 1024;

/** What each connection of a crowd sends. */
export interface CrowdForm {
  /** Sent once. */
  head: string;
  /** Sent again and again, up to `maxBytes` together. */
  piece: string;
  maxBytes: number;
}

/** An open crowd. */
export interface Crowd {
  /** Resolves once no connection makes progress any more, or after a while. */
  waitUntilSettled: () => Promise<void>;
  countOpen: () => number;
  close: () => void;
}

/**
 * Opens connections to an address and sends a form on each. A connection that the process closes is
 * opened again, up to `reopens` times.
 */
export async function openCrowd(
  address: string,
  count: number,
  { head, piece, maxBytes }: CrowdForm,
  reopens = 0,
): Promise<Crowd> {
  const [host, port] = address.split(':') as [string, string];
  const repeats = piece === '' ? 0 : Math.max(1, Math.floor(WRITE_BYTES / piece.length));
  const block = Buffer.from(piece.repeat(repeats), 'latin1');
  const blocks = block.length === 0 ? 0 : Math.floor((maxBytes - head.length) / block.length);
  const sockets: Socket[] = [];
  let isClosed = false;

  function sendBlocks(socket: Socket, left: number): void {
    if (left === 0 || socket.destroyed) return;
    const isTaken = socket.write(block);
    if (isTaken) sendBlocks(socket, left - 1);
    else socket.once('drain', () => sendBlocks(socket, left - 1));
  }

  function openConnection(reopensLeft: number): void {
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    socket.pause();
    // The process may close the connection at any time.
    socket.on('error', () => undefined);
    socket.once('connect', () => {
      if (head !== '') socket.write(head, 'latin1');
      sendBlocks(socket, blocks);
    });
    socket.once('close', () => {
      if (!isClosed && reopensLeft > 0) openConnection(reopensLeft - 1);
    });
    sockets.push(socket);
  }

  for (let opened = 0; opened < count; opened += 1) {
    openConnection(reopens);
    if ((opened + 1) % OPENED_AT_ONCE === 0) await waitFor(SETTLE_CHECK_MS);
  }

  function countMoved(): number {
    return sockets.reduce((sum, { bytesWritten, writableLength, destroyed }) => {
      const moved = bytesWritten - writableLength;
      return sum + moved + (destroyed ? 1 : 0);
    }, 0);
  }

  return {
    async waitUntilSettled() {
      const startedAt = performance.now();
      let moved = countMoved();
      let movedAt = startedAt;
      while (performance.now() - movedAt < SETTLED_MS) {
        if (performance.now() - startedAt > MAX_SETTLE_MS) return;
        await waitFor(SETTLE_CHECK_MS);
        const next = countMoved();
        if (next !== moved) movedAt = performance.now();
        moved = next;
      }
    },
    countOpen: () => sockets.filter(({ destroyed }) => !destroyed).length,
    close() {
      isClosed = true;
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Returns requests that are sent ahead. */
export function createRequestsAhead(piece: string): CrowdForm {
  return { head: '', piece, maxBytes: MAX_AHEAD_BYTES };
}

/** Returns bodies without their end, just below a bound on bodies. */
export function createOpenBodies(head: string, maxBodyBytes: number): Record<string, CrowdForm> {
  const maxBytes = maxBodyBytes - 2 * WRITE_BYTES;
  const chunkBytes = WRITE_BYTES - 16;
  const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
  return {
    'bodies in large chunks': {
      head: chunkedHead,
      piece: `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`,
      maxBytes,
    },
    'bodies in chunks of one byte': {
      head: chunkedHead,
      piece: '1\r\nx\r\n',
      maxBytes: MAX_TINY_BYTES,
    },
    'bodies with a length': {
      head: `${head}Content-Length: ${maxBodyBytes}\r\n\r\n`,
      piece: 'x'.repeat(WRITE_BYTES),
      maxBytes,
    },
  };
}

/** A head without its end, of many small fields. */
export const OPEN_HEAD: CrowdForm = {
  head: `POST / HTTP/1.1\r\nHost: a\r\n${'a:\r\n'.repeat(2_500)}`,
  piece: '',
  maxBytes: 0,
};
/** A connection on which nothing is sent. */
export const SILENCE: CrowdForm = { head: '', piece: '', maxBytes: 0 };
/** A frame of 4,128,768 bytes without its end. */
export const OPEN_FRAME: CrowdForm = {
  head: '\x00\x3f\x00\x00',
  piece: 'x'.repeat(WRITE_BYTES),
  maxBytes: 4_100_000,
};
