/**
 * One bound for all that the connections of a process make it hold, at whichever of its addresses.
 * A connection is measured before each part of its input is parsed, and all of them at an interval
 * while any holds something beside itself. Which of them is dropped is decided elsewhere.
 */
import type { Socket } from 'node:net';
import type { Clock } from './clock.js';
import { LogEvent, type Logger } from './log.js';

/** Memory of an open connection on which nothing is sent, in bytes. */
export const CONNECTION_BYTES = 12 * 1024;
/** Memory of a request that is in progress, beside its head and body, in bytes. */
export const REQUEST_BYTES = 9 * 1024;
/** Memory of a name or value in a head, beside its characters, in bytes. */
export const FIELD_BYTES = 128;

/**
 * Bytes of dropped connections from which their memory is collected at once. Otherwise it is freed
 * up to 64 MiB later, which the process may not have.
 */
const COLLECTED_BYTES = 16 * 1024 * 1024;
const CHECK_INTERVAL_MS = 100;
/** Bytes that may be added between two checks. */
const EARLY_CHECK_BYTES = 8 * 1024 * 1024;

/** What one connection holds. */
export interface HeldSample {
  /** Memory that the connection takes by itself, in bytes. */
  baseBytes?: number;
  /** Bytes of answers that the caller has not taken, also those behind an earlier answer. */
  outputBytes: number;
  /** Bytes that wait for the caller alone. */
  dueBytes: number;
  /**
   * Bytes of request bodies, of answers that are not complete, and of input that waits, and the
   * memory of the requests.
   */
  otherBytes: number;
  /** Bytes that the caller has taken or sent so far. */
  movedBytes: number;
  /** Bytes that the caller has taken so far. */
  takenBytes: number;
  /** None of its requests was sent to a server, so that all can be refused as not run. */
  isRefusable: boolean;
}

/** A connection to be dropped, and why. */
export interface DroppedConnection<Id> {
  id: Id;
  reason: string;
  heldBytes: number;
}

/** Decides about what all connections hold. Times are monotonic, in milliseconds. */
export interface HeldBytes<Id> {
  update: (now: number, id: Id, sample: HeldSample) => void;
  remove: (id: Id) => void;
  /** Returns the bytes held for all connections, beside the connections themselves. */
  count: () => number;
  /** Returns whether a bound of the process is exceeded. */
  isExceeded: () => boolean;
  /**
   * Returns the bytes from which no request is read from one connection. In the upper half of the
   * process bound, nothing is held beyond what waits already.
   */
  getAllowance: () => number;
  /** Returns the bytes from which the servers of one connection are paused. */
  getAnswerAllowance: () => number;
  /** Returns the connections to be dropped now, and removes them. */
  takeDropped: (now: number) => DroppedConnection<Id>[];
}

/** A connection whose memory is bounded. */
export interface BoundedConnection {
  /** Time at which it was opened. */
  openedAt: number;
  measure: () => HeldSample;
  /** Stops reading its requests, or goes on. */
  setBlocked: (isBlocked: boolean) => void;
  /** Refuses the requests on it that did not run, and ends it unless that suffices. */
  drop: () => void;
}

/** Bounds of all connections of a process. */
export interface ConnectionBounds {
  /** Counts a connection that was opened, until it is removed; may drop it or others. */
  add: (connection: BoundedConnection) => void;
  remove: (connection: BoundedConnection) => void;
  /**
   * Measures a connection of which more is to be read. Drops connections, possibly this one, if a
   * bound is exceeded. Returns whether it may hold more.
   */
  mayTake: (connection: BoundedConnection) => boolean;
  /** Bytes were added to what a connection holds. */
  recordAdded: (bytes: number) => void;
  /** Returns whether no further request is to be read from a connection. */
  isFull: (connection: BoundedConnection) => boolean;
  /** Returns whether no further part of an answer is to be held for a connection. */
  isFullOfAnswers: (connection: BoundedConnection) => boolean;
  /** Returns the bytes held for all connections, beside the connections themselves. */
  countBytes: () => number;
  countConnections: () => number;
  stop: () => void;
}

/** Dependencies of the bounds. */
export interface ConnectionBoundsOptions {
  clock: Clock;
  log: Logger;
  held: HeldBytes<BoundedConnection>;
}

/** Counts a connection that holds only what its socket does, until it closes. */
export function addPlainConnection(clock: Clock, bounds: ConnectionBounds, socket: Socket): void {
  const connection: BoundedConnection = {
    openedAt: clock.now(),
    measure: () => ({
      baseBytes: CONNECTION_BYTES,
      outputBytes: socket.writableLength,
      dueBytes: socket.writableLength,
      otherBytes: 0,
      movedBytes: socket.bytesRead + socket.bytesWritten - socket.writableLength,
      takenBytes: socket.bytesWritten - socket.writableLength,
      isRefusable: true,
    }),
    setBlocked: () => undefined,
    drop: () => socket.destroy(),
  };
  socket.once('close', () => bounds.remove(connection));
  bounds.add(connection);
}

/** Collects garbage where the process was started with `--expose-gc`. */
function collectGarbage(): void {
  globalThis.gc?.();
}

/** Returns bounds of a process without connections. */
export function createConnectionBounds({
  clock,
  log,
  held,
}: ConnectionBoundsOptions): ConnectionBounds {
  const connections = new Set<BoundedConnection>();
  let addedBytes = 0;
  /** Bytes of connections that were dropped since garbage was collected. */
  let droppedBytes = 0;
  let stopTimer: (() => void) | undefined;
  let isCheckDue = false;

  function isAbove({ outputBytes, otherBytes }: HeldSample, allowance: number): boolean {
    const heldBytes = outputBytes + otherBytes;
    return heldBytes > 0 && heldBytes >= allowance;
  }

  function check(): void {
    stopTimer?.();
    stopTimer = undefined;
    isCheckDue = false;
    addedBytes = 0;
    const now = clock.now();
    for (const connection of connections) {
      const sample = connection.measure();
      held.update(now, connection, sample);
      if (!isAbove(sample, held.getAllowance())) connection.setBlocked(false);
    }
    for (const { id, reason, heldBytes } of held.takeDropped(now)) {
      const ageMs = Math.round(now - id.openedAt);
      log.warn(LogEvent.ConnectionCut, { reason, heldBytes, ageMs });
      id.drop();
      droppedBytes += heldBytes;
    }
    if (droppedBytes >= COLLECTED_BYTES) {
      droppedBytes = 0;
      setImmediate(collectGarbage);
    }
    if (held.count() > 0) scheduleCheck();
  }

  function scheduleCheck(): void {
    stopTimer ??= clock.startTimer(CHECK_INTERVAL_MS, check);
  }

  /** Measures one connection; the others are measured as well where a bound is exceeded. */
  function update(connection: BoundedConnection): HeldSample {
    const sample = connection.measure();
    // Nothing would remove a connection that has closed.
    if (!connections.has(connection)) return sample;
    held.update(clock.now(), connection, sample);
    if (held.isExceeded()) check();
    else if (held.count() > 0) scheduleCheck();
    return sample;
  }

  return {
    add(connection) {
      connections.add(connection);
      update(connection);
    },
    remove(connection) {
      connections.delete(connection);
      held.remove(connection);
    },
    mayTake: (connection) => !isAbove(update(connection), held.getAllowance()),
    recordAdded(bytes) {
      addedBytes += bytes;
      scheduleCheck();
      if (addedBytes < EARLY_CHECK_BYTES || isCheckDue) return;
      // Not within the write that added the bytes: a check may end its request.
      isCheckDue = true;
      setImmediate(check);
    },
    isFull: (connection) => isAbove(connection.measure(), held.getAllowance()),
    isFullOfAnswers: (connection) => isAbove(connection.measure(), held.getAnswerAllowance()),
    countBytes: held.count,
    countConnections: () => connections.size,
    stop: () => stopTimer?.(),
  };
}
