/**
 * Joins the pieces of a body that arrive together. The HTTP library passes on each chunk of an
 * answer by itself, as a view of all that was read with it: many small chunks would cost as many
 * calls, and keep everything around them in memory.
 */

/** Pieces that were not passed on yet. */
export interface JoinedPieces {
  add: (piece: Buffer) => void;
  /** Passes on what was added, if anything. */
  flush: () => void;
  /** Drops what was added. */
  drop: () => void;
}

/** A view of more than this multiple of its own bytes is copied. */
const MAX_VIEW_FACTOR = 2;

/** Calls `onBytes` with the pieces that are added in one turn, as one buffer of their size. */
export function createJoinedPieces(onBytes: (bytes: Buffer) => void): JoinedPieces {
  let pieces: Buffer[] = [];

  function pushPieces(): void {
    if (pieces.length === 0) return;
    const [first] = pieces as [Buffer];
    const isCompact =
      pieces.length === 1 && first.buffer.byteLength <= first.length * MAX_VIEW_FACTOR;
    const bytes = isCompact ? first : Buffer.concat(pieces);
    pieces = [];
    onBytes(bytes);
  }

  return {
    add(piece) {
      pieces.push(piece);
      if (pieces.length === 1) queueMicrotask(pushPieces);
    },
    flush: pushPieces,
    drop() {
      pieces = [];
    },
  };
}
