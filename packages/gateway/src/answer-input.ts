/**
 * Input of a connection to a backend server, before the HTTP library parses it. A server in trouble
 * may send bytes without end that are no answer: their number is bounded, and they are parsed in
 * small pieces, since the library stops within a piece neither for an error nor for a pause.
 */
import type { Socket } from 'node:net';

/** Most bytes that are parsed at once, and before the head of an answer. */
const MAX_PIECE_BYTES = 16 * 1024;
const MAX_HEAD_PIECE_BYTES = 4 * 1024;
/** Bytes beside the body that an answer may bring: several times the largest head. */
const MAX_FRAMING_BYTES = 64 * 1024;
/**
 * Framing that each byte of a body allows for. A chunk for each event of a stream has less than
 * one; chunks of one byte have five, and each costs as much time as a large one.
 */
const FRAMING_PER_BODY_BYTE = 2;

/** Counts of the current answer on one connection. */
export interface AnswerInput {
  /** A new answer is due. */
  start: () => void;
  /** Its head has come. */
  recordHead: () => void;
  /** A part of its body has come. */
  recordBody: (bytes: number) => void;
}

/** Bounds the input of a socket that the HTTP library reads. */
export function createAnswerInput(socket: Socket): AnswerInput {
  const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
  let framingBytes = 0;
  let hasHead = false;

  socket.read = (size?: number): Buffer | null => {
    // The stream calls it with 0 to have more read from the system, and ignores the result.
    if (size === 0) return read(0);
    // A destroyed socket still hands out what it has buffered.
    if (socket.destroyed) return null;
    const maxBytes = hasHead ? MAX_PIECE_BYTES : MAX_HEAD_PIECE_BYTES;
    const bytes = socket.readableLength > maxBytes ? read(maxBytes) : read();
    framingBytes += bytes?.length ?? 0;
    if (framingBytes <= MAX_FRAMING_BYTES) return bytes;
    socket.destroy(new Error('too many bytes without an answer'));
    return null;
  };

  return {
    start() {
      framingBytes = 0;
      hasHead = false;
    },
    recordHead() {
      framingBytes = 0;
      hasHead = true;
    },
    recordBody(bytes) {
      framingBytes = Math.max(0, framingBytes - bytes * (1 + FRAMING_PER_BODY_BYTE));
    },
  };
}
