/**
 * Framing: a four-byte big-endian length, then one CBOR array that holds the number of the message
 * kind and the field values in the order of its shape, without names. The decoder accepts chunks of
 * any size and rejects an oversized frame before buffering its body.
 */
import { Encoder } from 'cbor-x';
import { buildMessage, checkMessage, listFieldValues } from './shape.js';
import type { Message } from './message.js';

/** Size of the length prefix. */
const PREFIX_BYTES = 4;

/** Memory of a piece of a frame beside its bytes; the peer chooses the size of pieces. */
const PIECE_BYTES = 128;

/** Largest frame body accepted. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Why the bytes of a peer were rejected. */
export const FrameFault = {
  TooLarge: 'frame-too-large',
  Malformed: 'frame-malformed',
} as const;
export type FrameFault = (typeof FrameFault)[keyof typeof FrameFault];

/** Thrown by the decoder on an invalid frame; the connection must then be closed. */
export class FrameError extends Error {
  constructor(
    readonly fault: FrameFault,
    detail: string,
  ) {
    super(`${fault}: ${detail}`);
    this.name = 'FrameError';
  }
}

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** Returns a message as one frame, including the length prefix. */
export function encodeFrame(message: Message): Buffer {
  const body = codec.encode(listFieldValues(message));
  const frame = Buffer.allocUnsafe(PREFIX_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, PREFIX_BYTES);
  return frame;
}

/** Decoder of the byte stream of one connection. */
export interface FrameDecoder {
  /** Returns the messages completed by `bytes`; throws `FrameError` on an invalid frame. */
  push: (bytes: Buffer) => Message[];
  /** Returns the memory of a frame that is not complete, in bytes. */
  countMemory: () => number;
}

/** Returns a decoder for one connection; `maxBytes` limits the body of a frame. */
export function createFrameDecoder(maxBytes = MAX_FRAME_BYTES): FrameDecoder {
  let pending: Buffer[] = [];
  let pendingBytes = 0;

  function readLength(): number | undefined {
    if (pendingBytes < PREFIX_BYTES) return undefined;
    if (pending[0]!.length < PREFIX_BYTES) pending = [Buffer.concat(pending)];
    return pending[0]!.readUInt32BE(0);
  }

  return {
    push(bytes) {
      pending.push(bytes);
      pendingBytes += bytes.length;
      const messages: Message[] = [];
      for (;;) {
        const length = readLength();
        if (length === undefined) break;
        if (length > maxBytes) throw new FrameError(FrameFault.TooLarge, `${length} bytes`);
        if (pendingBytes < PREFIX_BYTES + length) break;
        const joined = pending.length === 1 ? pending[0]! : Buffer.concat(pending);
        messages.push(decodeBody(joined.subarray(PREFIX_BYTES, PREFIX_BYTES + length)));
        const rest = joined.subarray(PREFIX_BYTES + length);
        pending = rest.length > 0 ? [rest] : [];
        pendingBytes = rest.length;
      }
      return messages;
    },
    countMemory: () => pendingBytes + pending.length * PIECE_BYTES,
  };
}

function decodeBody(body: Buffer): Message {
  let message: Record<string, unknown> | undefined;
  try {
    message = buildMessage(codec.decode(body));
  } catch (error) {
    throw new FrameError(FrameFault.Malformed, (error as Error).message);
  }
  const fault = checkMessage(message);
  if (fault !== undefined) throw new FrameError(FrameFault.Malformed, fault);
  return message as unknown as Message;
}
