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
  /** Returns the number of bytes after the last complete event. */
  countPendingBytes: () => number;
  /** Removes and returns the bytes after the last complete event. */
  takeRemainder: () => Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NO_BYTES = Buffer.alloc(0);

/** Returns a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = NO_BYTES;

  return {
    push(chunk) {
      const bytes = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      let end = 0;
      let count = 0;
      for (let next = findEventEnd(bytes, 0); next > 0; next = findEventEnd(bytes, next)) {
        end = next;
        count += 1;
      }
      pending = end === bytes.length ? NO_BYTES : bytes.subarray(end);
      if (count === 0) return undefined;
      const complete = bytes.subarray(0, end);
      return { bytes: complete, count, lastId: findLastId(complete) };
    },
    countPendingBytes: () => pending.length,
    takeRemainder() {
      const remainder = pending;
      pending = NO_BYTES;
      return remainder;
    },
  };
}

/** Returns the offset after the empty line that ends an event, or 0 if there is none. */
function findEventEnd(bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) return at + 2;
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return 0;
}

function findLastId(events: Buffer): string | undefined {
  const text = events.toString('latin1');
  const at = text.startsWith('id:') ? 0 : -1;
  const last = Math.max(text.lastIndexOf('\nid:') + 1, at);
  if (last < 0 || !text.startsWith('id:', last)) return undefined;
  return /^id: ?([^\r\n]*)/.exec(text.slice(last))?.[1];
}
