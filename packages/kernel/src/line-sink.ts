/**
 * Bounded, non-blocking writer of lines. When the reader stops reading, lines are dropped but the
 * process is not delayed. Lines that do not fit into the buffer or exceed the rate limit are
 * dropped and counted, and the count is reported in a later line.
 */
import { write } from 'node:fs';

/** File descriptor. */
const STANDARD_OUTPUT = 1;
/** Bytes that may be queued or in the process of being written. */
const BUFFER_CAPACITY_BYTES = 256 * 1024;
/** Longer lines are truncated. */
const MAX_LINE_CHARACTERS = 2_048;
/** Token bucket that limits the bytes a process may write: refill rate and capacity. */
const RATE_BYTES_PER_SECOND = 128 * 1024;
const BURST_BYTES = 512 * 1024;
/** Delay before a write is retried after the reader's buffer was full. */
const RETRY_DELAY_MS = 20;

/** Writes bytes and calls back with the number of bytes written. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

export interface LineSink {
  /** Queues a line; returns false when it was dropped. */
  writeLine: (line: string) => boolean;
  /** Returns the number of lines dropped since the start. */
  countDropped: () => number;
  /** Resolves once all queued lines are written, or after the timeout. */
  flush: (timeoutMs: number) => Promise<void>;
}

/** Options of a sink; `now` is a monotonic clock in milliseconds. */
export interface LineSinkOptions {
  writeBytes?: WriteBytes;
  now?: () => number;
  /** Renders the line that reports dropped lines. */
  describeDropped?: (count: number) => string;
}

/** Returns a sink that writes to standard output, unless `writeBytes` is given. */
export function createLineSink(options: LineSinkOptions = {}): LineSink {
  const { writeBytes = writeStandardOutput, now = () => performance.now() } = options;
  const { describeDropped = (count) => `event=log-lines-dropped count=${count}` } = options;
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  let isWriting = false;
  let dropped = 0;
  let reported = 0;
  let availableBytes = BURST_BYTES;
  let refilledAt = now();

  function takeBytes(bytes: number): boolean {
    const time = now();
    const refilledBytes = ((time - refilledAt) / 1_000) * RATE_BYTES_PER_SECOND;
    availableBytes = Math.min(BURST_BYTES, availableBytes + refilledBytes);
    refilledAt = time;
    if (availableBytes < bytes) return false;
    availableBytes -= bytes;
    return true;
  }

  function push(line: string): boolean {
    const bytes = Buffer.from(`${line.slice(0, MAX_LINE_CHARACTERS)}\n`);
    if (pendingBytes + bytes.length > BUFFER_CAPACITY_BYTES) return false;
    if (!takeBytes(bytes.length)) return false;
    pending.push(bytes);
    pendingBytes += bytes.length;
    return true;
  }

  function writePending(): void {
    if (isWriting || pending.length === 0) return;
    isWriting = true;
    const bytes = pending.length === 1 ? pending[0]! : Buffer.concat(pending);
    pending = [];
    writeBytes(bytes, (error, written) => {
      isWriting = false;
      const rest = error ? bytes : bytes.subarray(written);
      pendingBytes -= bytes.length - rest.length;
      if (rest.length > 0) pending.unshift(rest);
      if (error && error.code !== 'EAGAIN') {
        // The reader has closed its end: discard the queue, since nothing can be reported any more.
        pending = [];
        pendingBytes = 0;
      } else if (error) {
        setTimeout(writePending, RETRY_DELAY_MS).unref();
      } else {
        writePending();
      }
    });
  }

  return {
    writeLine(line) {
      if (dropped > reported && push(describeDropped(dropped - reported))) reported = dropped;
      const isQueued = push(line);
      if (!isQueued) dropped += 1;
      setImmediate(writePending);
      return isQueued;
    },
    countDropped: () => dropped,
    async flush(timeoutMs) {
      const deadline = now() + timeoutMs;
      writePending();
      while (pendingBytes > 0 && now() < deadline) {
        await new Promise((resolve) => {
          setTimeout(resolve, RETRY_DELAY_MS);
        });
      }
    },
  };
}

/** Writes asynchronously: a blocked reader occupies a pool thread, not the event loop. */
function writeStandardOutput(bytes: Buffer, done: Parameters<WriteBytes>[1]): void {
  write(STANDARD_OUTPUT, bytes, done);
}
