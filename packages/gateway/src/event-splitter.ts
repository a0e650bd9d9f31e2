/**
 * Cuts the bytes of an event stream into whole events, so that a stream which breaks off in the
 * middle of one can go on at another backend server without a torn or doubled event.
 */

/** Whole events that a piece of the stream completed. */
export interface WholeEvents {
  bytes: Buffer;
  count: number;
  /** Id of the last one that has an id. */
  lastId?: string;
}

/** Cutter of one stream. */
export interface EventSplitter {
  push: (piece: Buffer) => WholeEvents | undefined;
  /** Bytes after the last whole event. */
  takeRest: () => Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NO_BYTES = Buffer.alloc(0);

/** Returns a cutter for a new stream. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = NO_BYTES;

  return {
    push(piece) {
      const bytes = pending.length === 0 ? piece : Buffer.concat([pending, piece]);
      let end = 0;
      let count = 0;
      for (let next = findEventEnd(bytes, 0); next > 0; next = findEventEnd(bytes, next)) {
        end = next;
        count += 1;
      }
      pending = end === bytes.length ? NO_BYTES : bytes.subarray(end);
      if (count === 0) return undefined;
      const whole = bytes.subarray(0, end);
      return { bytes: whole, count, lastId: findLastId(whole) };
    },
    takeRest() {
      const rest = pending;
      pending = NO_BYTES;
      return rest;
    },
  };
}

/** Returns the offset after the empty line that ends an event, or 0. */
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
