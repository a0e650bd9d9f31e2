/**
 * A message connection over one TCP socket. It frames messages and sends heartbeats. It closes when
 * the peer sends nothing within the heartbeat timeout, unless its owner keeps it, when its own send
 * buffer exceeds the maximum, and on the first invalid frame.
 */
import type { Socket } from 'node:net';
import type { Clock } from '@masticbend/kernel/clock';
import {
  CONNECTION_BYTES,
  type BoundedConnection,
  type ConnectionBounds,
} from '@masticbend/kernel/connection-bounds';
import { createFrameDecoder, encodeFrame, FrameError } from './frame.js';
import { HEARTBEAT_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS, type Message } from './message.js';

/** Unsent bytes beyond which the connection counts as stuck and is closed. */
export const MAX_SEND_BUFFER_BYTES = 64 * 1024 * 1024;

/** Longest time for which `finish` waits until the peer has closed. */
const FINISH_TIMEOUT_MS = 5_000;

/** Time between two checks of the peer from which this process counts as suspended. */
const MAX_CHECK_INTERVAL_MS = 2 * HEARTBEAT_INTERVAL_MS;

/** Callbacks of a connection. */
export interface ConnectionEvents {
  onMessage: (message: Message) => void;
  /**
   * The peer has sent nothing for `silentMs`, longer than the heartbeat timeout; called at each
   * check while it stays so. Returns whether the connection stays open, which it does not without
   * this callback.
   */
  onSilent?: (silentMs: number) => boolean;
  /** The peer has sent something after a silence. */
  onResumed?: () => void;
  /** Called once, with the reason for the close. */
  onClose: (reason: string) => void;
}

/** Bounds of a connection that the peer has opened. */
export interface AcceptedBounds {
  bounds: ConnectionBounds;
  /** Returns whether the peer has said who it is; connections of others are dropped before its. */
  isKnown: () => boolean;
}

/** One end of a message connection. */
export interface Connection {
  /** Queues a message; returns false when the connection is closed or finishing. */
  send: (message: Message) => boolean;
  /** Queues an encoded message, for those that go to many peers. */
  sendFrame: (frame: Buffer) => boolean;
  close: (reason: string) => void;
  /** Sends the queued messages, then closes; resolves when the peer has closed or timed out. */
  finish: () => Promise<void>;
  isOpen: () => boolean;
  /** Address of the peer as `host:port`. */
  peer: string;
  /** Returns the bytes queued and not yet passed to the operating system. */
  countBufferedBytes: () => number;
  /** Returns the bytes transferred since the connection opened. */
  measureTraffic: () => Traffic;
}

/** Bytes transferred over a connection, including framing. */
export interface Traffic {
  receivedBytes: number;
  sentBytes: number;
}

/** Wraps a connected socket. */
export function createConnection(
  socket: Socket,
  clock: Clock,
  events: ConnectionEvents,
  accepted?: AcceptedBounds,
): Connection {
  const decoder = createFrameDecoder();
  let open = true;
  let sentSinceCheck = false;
  let isSilent = false;
  let lastReceivedAt = clock.now();
  let checkedAt = lastReceivedAt;
  let stopCheckTimer = clock.startTimer(HEARTBEAT_INTERVAL_MS, checkPeer);

  const bounded: BoundedConnection = {
    openedAt: lastReceivedAt,
    measure: () => ({
      baseBytes: CONNECTION_BYTES,
      outputBytes: socket.writableLength,
      dueBytes: accepted?.isKnown() ? 0 : socket.writableLength,
      otherBytes: decoder.countMemory(),
      movedBytes: socket.bytesRead + socket.bytesWritten - socket.writableLength,
      takenBytes: socket.bytesWritten - socket.writableLength,
      isRefusable: !accepted?.isKnown(),
    }),
    setBlocked: () => undefined,
    drop: () => close('too much is held for all connections'),
  };

  function checkPeer(): void {
    if (!open) return;
    const now = clock.now();
    // What arrived while this process was suspended has not been read yet.
    if (now - checkedAt > MAX_CHECK_INTERVAL_MS) lastReceivedAt = now;
    checkedAt = now;
    const silentMs = now - lastReceivedAt;
    isSilent = silentMs > HEARTBEAT_TIMEOUT_MS;
    if (isSilent && !events.onSilent?.(silentMs)) {
      close('peer is silent');
      return;
    }
    if (!sentSinceCheck) send({ kind: 'heartbeat' });
    sentSinceCheck = false;
    stopCheckTimer = clock.startTimer(HEARTBEAT_INTERVAL_MS, checkPeer);
  }

  function recordBytes(): void {
    lastReceivedAt = clock.now();
    if (!isSilent) return;
    isSilent = false;
    events.onResumed?.();
  }

  function send(message: Message): boolean {
    return sendFrame(encodeFrame(message));
  }

  function sendFrame(frame: Buffer): boolean {
    if (!open || socket.writableEnded) return false;
    socket.write(frame);
    sentSinceCheck = true;
    if (socket.writableLength > MAX_SEND_BUFFER_BYTES) close('send buffer is full');
    return open;
  }

  function close(reason: string): void {
    if (!open) return;
    open = false;
    stopCheckTimer();
    socket.destroy();
    accepted?.bounds.remove(bounded);
    events.onClose(reason);
  }

  /** Waits for the peer to close too, since closing immediately could discard unread data. */
  function finish(): Promise<void> {
    return new Promise((resolve) => {
      if (socket.destroyed) {
        resolve();
        return;
      }
      const stopTimer = clock.startTimer(FINISH_TIMEOUT_MS, () => socket.destroy());
      socket.once('close', () => {
        stopTimer();
        resolve();
      });
      socket.end();
    });
  }

  socket.setNoDelay(true);
  socket.on('data', (bytes) => {
    recordBytes();
    accepted?.bounds.mayTake(bounded);
    if (!open) return;
    try {
      for (const message of decoder.push(bytes)) {
        if (open && message.kind !== 'heartbeat') events.onMessage(message);
      }
    } catch (error) {
      if (!(error instanceof FrameError)) throw error;
      close(error.message);
    }
  });
  socket.on('error', (error) => close(error.message));
  socket.on('close', () => close('connection closed'));
  accepted?.bounds.add(bounded);

  const peer = `${socket.remoteAddress ?? 'unknown'}:${socket.remotePort ?? 0}`;
  return {
    send,
    sendFrame,
    close,
    finish,
    isOpen: () => open,
    peer,
    countBufferedBytes: () => socket.writableLength,
    measureTraffic: () => ({ receivedBytes: socket.bytesRead, sentBytes: socket.bytesWritten }),
  };
}
