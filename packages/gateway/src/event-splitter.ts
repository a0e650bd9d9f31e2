/**
 * Splits the bytes of an event stream at event boundaries, so that a stream which is interrupted
 * within an event can be resumed at another backend server without a truncated or duplicated event.
 */

/** Events that were completed by a chunk of the stream. */
export interface CompleteEvents {
  bytes: Buffer;
  count: number;
  /** Id of the last event that has an id. */
  lastId?: string;
}

/** Splitter of one stream. */
export interface EventSplitter {
  /** Takes the next chunk; returns undefined when it completes no event. */
  push: (chunk: Buffer) => CompleteEvents | undefined;
  /** Returns whether the stream so far ends within an event; blank lines and comments are none. */
  isWithinEvent: () => boolean;
  /** Returns the number of bytes after the last complete event. */
  countPendingBytes: () => number;
  /** Removes and returns the bytes after the last complete event. */
  takeRemainder: () => Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Largest number of bytes of a blank line with the line break before it. */
const EVENT_END_BYTES = 4;
const NO_BYTES = Buffer.alloc(0);
const EVENT_ID = /^id: ?(.*)$/gm;
const BLANK_LINES_AND_COMMENTS = /^(?:(?::[^\r\n]*)?[\r\n])*$/;

/** Returns a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = NO_BYTES;
  /** Length of the start of `pending` in which no event ends. */
  let checkedBytes = 0;

  return {
    push(chunk) {
      const bytes = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      let end = 0;
      let count = 0;
      const start = Math.max(0, checkedBytes - EVENT_END_BYTES);
      for (let next = findEventEnd(bytes, start); next > 0; next = findEventEnd(bytes, next)) {
        end = next;
        count += 1;
      }
      pending = end === bytes.length ? NO_BYTES : bytes.subarray(end);
      checkedBytes = pending.length;
      if (count === 0) return undefined;
      const complete = bytes.subarray(0, end);
      return { bytes: complete, count, lastId: findLastId(complete) };
    },
    isWithinEvent: () => !BLANK_LINES_AND_COMMENTS.test(pending.toString('latin1')),
    countPendingBytes: () => pending.length,
    takeRemainder() {
      const remainder = pending;
      pending = NO_BYTES;
      checkedBytes = 0;
      return remainder;
    },
  };
}

/**
 * Returns the offset after the blank line that ends an event, or 0 if there is none. A line ends
 * with a line feed, a carriage return or both.
 */
function findEventEnd(bytes: Buffer, start: number): number {
  for (let at = start; at < bytes.length; at += 1) {
    if (isLineBreak(bytes[at])) {
      const next = findLineBreakEnd(bytes, at);
      if (isLineBreak(bytes[next])) return findLineBreakEnd(bytes, next);
      at = next - 1;
    }
  }
  return 0;
}

function isLineBreak(byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

function findLineBreakEnd(bytes: Buffer, at: number): number {
  return bytes[at] === CARRIAGE_RETURN && bytes[at + 1] === LINE_FEED ? at + 2 : at + 1;
}

function findLastId(events: Buffer): string | undefined {
  const ids = events.toString('latin1').matchAll(EVENT_ID);
  return [...ids].at(-1)?.[1];
}
