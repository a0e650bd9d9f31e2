/**
 * Body of a request that is being read. Its sender chooses the size of the pieces, and each piece
 * is a view that keeps everything around it in memory; therefore they are copied into blocks, and a
 * body costs little more than its bytes.
 */

/** Sizes of blocks; each is as large as all before it within these limits. */
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

/** Bytes of one body. */
export interface BodyBlocks {
  add: (piece: Buffer) => void;
  /** Returns the bytes that were added. */
  countBytes: () => number;
  /** Returns the memory of all blocks, in bytes. */
  countMemory: () => number;
  /** Returns all bytes as one buffer, and holds them no longer. */
  take: () => Buffer;
  /** Frees what was added; what follows is not kept. */
  drop: () => void;
}

/** Returns an empty body. */
export function createBodyBlocks(): BodyBlocks {
  let blocks: Buffer[] = [];
  let memory = 0;
  let bytes = 0;
  /** Unused bytes of the last block. */
  let free = 0;
  let isDropped = false;

  function addBlock(pieceBytes: number): void {
    const size = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, pieceBytes, memory));
    blocks.push(Buffer.allocUnsafeSlow(size));
    memory += size;
    free = size;
  }

  function clear(): void {
    blocks = [];
    memory = 0;
    free = 0;
  }

  return {
    add(piece) {
      bytes += piece.length;
      let rest = piece;
      while (rest.length > 0 && !isDropped) {
        if (free === 0) addBlock(rest.length);
        const last = blocks[blocks.length - 1]!;
        const copied = rest.copy(last, last.length - free);
        free -= copied;
        rest = rest.subarray(copied);
      }
    },
    countBytes: () => bytes,
    countMemory: () => memory,
    take() {
      const body =
        blocks.length === 1 ? blocks[0]!.subarray(0, bytes) : Buffer.concat(blocks, bytes);
      clear();
      return body;
    },
    drop() {
      isDropped = true;
      clear();
    },
  };
}
