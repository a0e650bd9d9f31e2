/**
 * Bounded, non-blocking writer of lines. A reader that stops reading costs lines, never time: what
 * does not fit into the buffer, or exceeds the rate, is counted and reported in a later line.
 */
import { write } from 'node:fs';

/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1;
/** Bytes that may wait for the reader. */
const BUFFER_LIMIT_BYTES = 256 * 1024;
/** Longest line, in characters; the rest is cut off. */
const LINE_LIMIT = 2_048;
/** Bytes a second that a process may write, and bytes it may save up. */
const RATE_BYTES_PER_SECOND = 128 * 1024;
const BURST_BYTES = 512 * 1024;
/** Wait before a write is tried again after the reader could not take it, in milliseconds. */
const RETRY_MS = 20;

/** Writes bytes and calls back with the number that was taken. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Writer of lines. */
export interface LineSink {
  /** Queues a line; false when it was dropped. */
  writeLine: (line: string) => boolean;
  /** Lines dropped since the start. */
  countDropped: () => number;
  /** Resolves once everything queued was taken, or the limit has passed. */
  flush: (limitMs: number) => Promise<void>;
}

/** Options of a sink; `now` is a monotonic clock in milliseconds. */
export interface LineSinkOptions {
  writeBytes?: WriteBytes;
  now?: () => number;
  /** Renders the line that reports dropped lines. */
  describeDropped?: (count: number) => string;
}

/** Returns a sink on standard output. */
export function createLineSink(options: LineSinkOptions = {}): LineSink {
  const { writeBytes = writeStandardOutput, now = () => performance.now() } = options;
  const { describeDropped = (count) => `event=log-lines-dropped count=${count}` } = options;
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  let writing = false;
  let dropped = 0;
  let reported = 0;
  let allowance = BURST_BYTES;
  let countedAt = now();

  function takeAllowance(bytes: number): boolean {
    const time = now();
    const earned = ((time - countedAt) / 1_000) * RATE_BYTES_PER_SECOND;
    allowance = Math.min(BURST_BYTES, allowance + earned);
    countedAt = time;
    if (allowance < bytes) return false;
    allowance -= bytes;
    return true;
  }

  function push(line: string): boolean {
    const bytes = Buffer.from(`${line.slice(0, LINE_LIMIT)}\n`);
    if (pendingBytes + bytes.length > BUFFER_LIMIT_BYTES) return false;
    if (!takeAllowance(bytes.length)) return false;
    pending.push(bytes);
    pendingBytes += bytes.length;
    return true;
  }

  function writePending(): void {
    if (writing || pending.length === 0) return;
    writing = true;
    const bytes = pending.length === 1 ? pending[0]! : Buffer.concat(pending);
    pending = [];
    writeBytes(bytes, (error, written) => {
      writing = false;
      const rest = error ? bytes : bytes.subarray(written);
      pendingBytes -= bytes.length - rest.length;
      if (rest.length > 0) pending.unshift(rest);
      if (error && error.code !== 'EAGAIN') {
        // The reader is gone; nothing can be reported any more.
        pending = [];
        pendingBytes = 0;
      } else if (error) {
        setTimeout(writePending, RETRY_MS).unref();
      } else {
        writePending();
      }
    });
  }

  return {
    writeLine(line) {
      if (dropped > reported && push(describeDropped(dropped - reported))) reported = dropped;
      const kept = push(line);
      if (!kept) dropped += 1;
      setImmediate(writePending);
      return kept;
    },
    countDropped: () => dropped,
    async flush(limitMs) {
      const end = now() + limitMs;
      writePending();
      while (pendingBytes > 0 && now() < end) {
        await new Promise((resolve) => {
          setTimeout(resolve, RETRY_MS);
        });
      }
    },
  };
}

/** A blocked reader holds a thread of the pool, not the event loop. */
function writeStandardOutput(bytes: Buffer, done: Parameters<WriteBytes>[1]): void {
  write(STANDARD_OUTPUT, bytes, done);
}
