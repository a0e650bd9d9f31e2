/**
 * Input of a connection that the HTTP library reads. It is passed to the library's parser in small
 * slices, and its owner decides before each whether another may follow: a parser makes objects of a
 * hundred times the bytes that it is given, and cannot be stopped within them.
 *
 * The library stops reading a connection on which many bytes of answers are queued, and a
 * connection that is not read does not show its end. Here it is read on: what arrives is held up to
 * a limit and passed on later, and the end of the connection is seen at once.
 */
import type { Socket } from 'node:net';

/** Input held for one connection; beyond it, the connection is not read. */
const MAX_HELD_BYTES = 64 * 1024;
/** Memory of a piece of input beside its bytes; callers choose the size of pieces. */
const PIECE_BYTES = 128;
/** Bytes that the system keeps for a connection that is not read. */
const WINDOW_BYTES = 64 * 1024;
/** Slices where a head is expected, which may hold many requests, and within a body. */
const HEAD_SLICE_BYTES = 1024;
const BODY_SLICE_BYTES = 4 * 1024;
/** Bytes that a connection has parsed in one turn of the event loop, so that others get theirs. */
const TURN_BYTES = 8 * 1024;

type DataListener = (chunk: Buffer) => void;

/** What the owner of a connection decides. */
export interface MeteredInputOptions {
  /** Called before each slice; returns whether it may be parsed. Otherwise the input is blocked. */
  mayParse: () => boolean;
  /** Returns whether the input continues the body of a request. */
  isWithinBody: () => boolean;
}

/** Input of one connection. */
export interface MeteredInput {
  /** Stops passing input to the library until it is called with false, as if it had paused. */
  setBlocked: (isBlocked: boolean) => void;
  /** Bytes that were received and not passed to the library. */
  countHeld: () => number;
  /** Memory of what was received and not passed to the library, in bytes. */
  countMemory: () => number;
  /** Bytes that were passed to the library so far. */
  countParsed: () => number;
  /**
   * Passes nothing more to the library, which would reject each further piece of a request. Returns
   * the bytes that were held.
   */
  drop: () => number;
}

/** Takes the input of a socket over from the HTTP server, which has just accepted it. */
export function createMeteredInput(
  socket: Socket,
  { mayParse, isWithinBody }: MeteredInputOptions,
): MeteredInput {
  const pauseSocket = socket.pause.bind(socket);
  const resumeSocket = socket.resume.bind(socket);
  const listeners = socket.listeners('data') as DataListener[];
  let held: Buffer[] = [];
  let heldBytes = 0;
  /** Memory of all pieces in `held`; a piece keeps it until its last byte was passed on. */
  let heldMemory = 0;
  /** Bytes of the first piece that were passed on. */
  let offset = 0;
  let parsedBytes = 0;
  let isPaused = false;
  let isBlocked = false;
  let isDropping = false;
  let isPushDue = false;

  function isHolding(): boolean {
    return isPaused || isBlocked;
  }

  /** The parser of a connection that has ended serves another one. */
  function hasEnded(): boolean {
    return isDropping || socket.destroyed;
  }

  function isFull(): boolean {
    return heldMemory >= MAX_HELD_BYTES;
  }

  /** Reads on while nothing is passed to the library. */
  function startHolding(): void {
    if (!isHolding() || hasEnded()) return;
    if (!isFull()) resumeReading();
  }

  function resumeReading(): void {
    resumeSocket();
    // The library stops the handle itself, of which a resumed stream does not know.
    // eslint-disable-next-line no-underscore-dangle -- the method that starts a stream's source
    socket._read(0);
  }

  function receive(chunk: Buffer): void {
    if (isDropping) return;
    held.push(chunk);
    heldBytes += chunk.length;
    heldMemory += chunk.length + PIECE_BYTES;
    if (!isPushDue) pushHeld();
    if (isFull()) pauseSocket();
  }

  function takeSlice(maxBytes: number): Buffer {
    const first = held[0]!;
    const slice = first.subarray(offset, offset + maxBytes);
    offset += slice.length;
    heldBytes -= slice.length;
    if (offset === first.length) {
      held.shift();
      heldMemory -= first.length + PIECE_BYTES;
      offset = 0;
    }
    return slice;
  }

  /** Passes on what is held, and leaves the rest to the next turn. */
  function pushHeld(): void {
    let turnBytes = 0;
    isPushDue = false;
    while (!isHolding() && !hasEnded() && held.length > 0) {
      if (turnBytes >= TURN_BYTES) {
        schedulePush();
        return;
      }
      if (!mayParse()) {
        isBlocked = true;
        return;
      }
      if (hasEnded()) return;
      const slice = takeSlice(isWithinBody() ? BODY_SLICE_BYTES : HEAD_SLICE_BYTES);
      turnBytes += slice.length;
      parsedBytes += slice.length;
      for (const listener of listeners) listener.call(socket, slice);
    }
  }

  function schedulePush(): void {
    if (isPushDue) return;
    isPushDue = true;
    setImmediate(resumeInput);
  }

  function resumeInput(): void {
    pushHeld();
    if (!isHolding() && !isFull() && !socket.destroyed) resumeSocket();
  }

  socket.removeAllListeners('data');
  socket.on('data', receive);
  socket.pause = () => {
    if (isDropping) return socket;
    isPaused = true;
    // The parser may be at work on the chunk that caused the pause.
    setImmediate(startHolding);
    return pauseSocket();
  };
  socket.resume = () => {
    const wasPaused = isPaused;
    isPaused = false;
    if (isDropping || (!wasPaused && held.length === 0)) return resumeSocket();
    // The answer that was sent may have ended within the parser, which admits no second chunk.
    schedulePush();
    return socket;
  };

  return {
    setBlocked(next) {
      if (isBlocked === next || isDropping) return;
      isBlocked = next;
      if (next) setImmediate(startHolding);
      else schedulePush();
    },
    countHeld: () => heldBytes,
    countMemory: () => heldMemory + (isFull() ? WINDOW_BYTES : 0),
    countParsed: () => parsedBytes,
    drop() {
      const droppedBytes = heldBytes;
      isDropping = true;
      held = [];
      heldBytes = 0;
      heldMemory = 0;
      socket.removeAllListeners('data');
      socket.on('data', () => undefined);
      resumeReading();
      return droppedBytes;
    },
  };
}
