/**
 * One connection of a caller: the requests on it whose answers have not been sent, and its end. A
 * connection ends after the answers to all whole requests that were read from it, whatever else
 * arrives on it or does not arrive in time.
 */
import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createBodyBlocks, type BodyBlocks } from '@masticbend/kernel/body-blocks';
import { abortAnswer } from '@masticbend/kernel/broken-answer';
import type { Clock } from '@masticbend/kernel/clock';
import {
  CONNECTION_BYTES,
  FIELD_BYTES,
  REQUEST_BYTES,
  type BoundedConnection,
  type HeldSample,
} from '@masticbend/kernel/connection-bounds';
import { runAfterReads } from '@masticbend/kernel/event-loop';
import { closeLingering } from '@masticbend/kernel/lingering-close';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { createMeteredInput } from '@masticbend/kernel/metered-input';
import { REQUEST_ID_HEADER } from '@masticbend/platform/ingress';

/** Time by which an idle connection stays open longer than its caller was told. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Code of the refusal of a tunnel. */
const TUNNEL = 'TUNNEL';
/** Status of the answer to bytes that the parser rejects, by the code of its error. */
const REJECTION_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  [TUNNEL]: 501,
};
const STATUS_BAD_REQUEST = 400;
/** Code of the parser's error where the caller ends the connection within a request. */
const END_WITHIN_REQUEST = 'HPE_INVALID_EOF_STATE';
const CLOSE = 'close';
/** Memory of a head that is being read, as a multiple of its bytes. */
const UNFINISHED_HEAD_FACTOR = 4;

const NOTHING_HELD: HeldSample = {
  baseBytes: CONNECTION_BYTES,
  outputBytes: 0,
  dueBytes: 0,
  otherBytes: 0,
  movedBytes: 0,
  takenBytes: 0,
  isRefusable: true,
};

/** A request whose answer has not been sent completely. */
export interface OpenRequest {
  request: IncomingMessage;
  response: ServerResponse;
  /** The whole answer was written to the connection. */
  isSent: boolean;
  /** Memory of the request beside its body, in bytes. */
  headBytes: number;
  /** Its body while it is read. */
  blocks: BodyBlocks;
  /** Bytes of its body once it was read, and of an answer that is held back until complete. */
  bodyBytes: number;
  heldBackBytes: number;
  /** Time for which its connection waited to be accepted, in milliseconds. */
  waitedMs: number;
  /** It was passed to the request handling. */
  isAccepted: boolean;
  /** Ways to end the request; undefined until its body was read. */
  ends?: RequestEnds;
}

/** Ways to end a request that was read whole. */
export interface RequestEnds {
  /** Ends the request because its caller has left. */
  abandon: () => void;
  /** Refuses the request as not run, unless it was sent to a server. */
  refuseUnsent: () => void;
  wasSent: () => boolean;
}

/** Handle of a socket: bytes passed to it, and those of them that wait for the caller. */
interface WriteHandle {
  bytesWritten: number;
  writeQueueSize: number;
}

/** Connection of a caller. */
export interface CallerConnection extends BoundedConnection {
  /**
   * Adds a request whose head was read. Returns undefined if it is not to be handled, because an
   * earlier answer has announced the close of the connection or bytes before it were rejected.
   * `keepAliveMs` is the time for which its answer lets the caller keep the connection.
   */
  add: (
    request: IncomingMessage,
    response: ServerResponse,
    keepAliveMs: number,
  ) => OpenRequest | undefined;
  /** Refuses what the parser rejected, after the answers in progress. */
  refuse: (error: NodeJS.ErrnoException) => void;
  /** Refuses a tunnel, after the answers in progress. */
  refuseTunnel: () => void;
  countOpen: () => number;
  /** Requests that were not passed to the request handling, and that have no answer. */
  listUnaccepted: () => OpenRequest[];
  /** Announces the close of the connection with the last answer that is due. */
  announceClose: () => void;
  /** Closes the connection if no answer is due and no request has arrived. */
  closeIdle: () => void;
  /** Breaks off the answers that have not ended, and closes the connection behind the others. */
  stop: () => void;
  /** Breaks off the answers that have not been sent, and closes the connection at once. */
  abort: () => void;
}

/** Dependencies of a connection. */
export interface CallerConnectionOptions {
  clock: Clock;
  log: Logger;
  /** Time for which the connection waited to be accepted, in milliseconds. */
  waitedMs: number;
  /** Measures the connection; returns whether it may hold more. */
  mayTake: () => boolean;
  /** Returns whether no further request is to be read from the connection. */
  isFull: () => boolean;
  /** Refuses a request whose body is being read, because the entry holds too many bytes. */
  refuseUnread: (request: IncomingMessage, response: ServerResponse) => void;
}

/** Returns a connection without requests. */
export function createCallerConnection(
  options: CallerConnectionOptions,
  socket: Socket,
): CallerConnection {
  const { clock, log } = options;
  /** Requests that are read later were not sent while the connection waited. */
  let { waitedMs } = options;
  if (waitedMs > 0) {
    runAfterReads(() => {
      waitedMs = 0;
    });
  }
  /** In the order of their arrival, which is that of their answers. */
  const open = new Set<OpenRequest>();
  /** Status of a refusal that follows the answers in progress. */
  let rejection: number | undefined;
  let isRejected = false;
  let isClosing = false;
  let hasEnded = false;
  let hasCallerLeft = false;
  let isStopping = false;
  const input = createMeteredInput(socket, { mayParse: isParsingAllowed, isWithinBody });
  /** Parsed bytes up to which they belong to requests that were added. */
  let requestsEnd = 0;
  /** Bytes of later requests that had not been read when the caller left. */
  let droppedBytes = 0;

  /** Closes the connection; the caller gets what was written before. */
  function close(): void {
    if (isClosing) return;
    isClosing = true;
    droppedBytes += input.drop();
    const readBytes = socket.bytesRead - droppedBytes;
    socket.once('close', () => reportDropped(socket.bytesRead - readBytes));
    closeLingering(clock, socket);
  }

  /** What a caller sent before it learnt of the close has no answer. */
  function reportDropped(bytes: number): void {
    if (bytes > 0) log.info(LogEvent.CallerRefused, { reason: 'closing', bytes });
  }

  function findLast(): OpenRequest | undefined {
    return [...open].at(-1);
  }

  /** A request that is being read holds bytes until it is complete, so another must free some. */
  function isParsingAllowed(): boolean {
    const isAllowed = options.mayTake();
    return isAllowed || open.size === 0 || (open.size === 1 && isWithinBody());
  }

  function isWithinBody(): boolean {
    return findLast()?.request.complete === false;
  }

  /** Memory of a head of which the end was not read. */
  function countUnfinishedHead(): number {
    if (isWithinBody()) requestsEnd = input.countParsed();
    return (input.countParsed() - requestsEnd) * UNFINISHED_HEAD_FACTOR;
  }

  function finishRequest(each: OpenRequest): void {
    open.delete(each);
    reportCut(each);
    if (open.size > 0) {
      if (!options.isFull()) input.setBlocked(false);
      return;
    }
    // Nothing else on this connection could free what is held for it.
    input.setBlocked(false);
    if (rejection !== undefined) sendRejection(rejection);
    else if (hasCallerLeft || isStopping) close();
  }

  /** The loss of an answer before its end is the caller's own where the caller has left. */
  function reportCut({ request, response, isSent }: OpenRequest): void {
    if (isSent || (hasCallerLeft && !response.writableEnded)) return;
    log.warn(LogEvent.AnswerCut, {
      request: readRequestId(request),
      by: hasCallerLeft ? 'caller' : 'entry',
      begun: response.headersSent,
      ended: response.writableEnded,
      read: request.complete,
    });
  }

  function sendRejection(status: number): void {
    if (socket.writable) {
      socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
    }
    close();
  }

  /** Refuses a request of which only the head was read, unless it was answered already. */
  function refuseUnread({ response }: OpenRequest, status: number): void {
    if (response.headersSent) return;
    response.writeHead(status, { connection: CLOSE, 'content-length': '0' });
    response.end();
  }

  /**
   * An end of the sending side cannot be told from the close of the connection. Within a request it
   * is reported twice: as an error of the parser, and as the end of the connection.
   */
  function handleEnd(): void {
    if (hasEnded) return;
    hasEnded = true;
    // The caller's end may also be its reply to that of the entry.
    hasCallerLeft ||= !isClosing;
    droppedBytes += input.drop();
    for (const { ends } of [...open]) ends?.abandon();
    if (open.size === 0) close();
  }

  /** The answer whose turn it is counts the bytes that wait in the socket as its own. */
  function measure(): HeldSample {
    let outputBytes = socket.writableLength;
    let otherBytes = input.countMemory() + countUnfinishedHead();
    for (const { response, headBytes, blocks, bodyBytes, heldBackBytes } of open) {
      outputBytes += response.writableLength - (response.socket ? socket.writableLength : 0);
      otherBytes += headBytes + blocks.countMemory() + bodyBytes + heldBackBytes;
    }
    // Most connections hold nothing, and are measured often.
    const takenBytes = countTaken(socket);
    const movedBytes = takenBytes + socket.bytesRead;
    if (outputBytes + otherBytes === 0) return { ...NOTHING_HELD, movedBytes, takenBytes };
    const isRefusable = [...open].every(({ ends }) => ends?.wasSent() !== true);
    const dueBytes = socket.writableLength;
    const baseBytes = CONNECTION_BYTES;
    return { baseBytes, outputBytes, dueBytes, otherBytes, movedBytes, takenBytes, isRefusable };
  }

  function abort(): void {
    for (const { response, isSent } of open) {
      if (!isSent) abortAnswer(response);
    }
    socket.destroy();
  }

  function refuse(error: NodeJS.ErrnoException): void {
    if (isRejected || isClosing) return;
    const last = findLast();
    const isAnswering = last?.request.complete === true;
    if (!socket.writable) {
      socket.destroy(error);
    } else if (isAnswering && error.code === END_WITHIN_REQUEST) {
      handleEnd();
    } else {
      isRejected = true;
      input.drop();
      const status = REJECTION_STATUS[error.code ?? ''] ?? STATUS_BAD_REQUEST;
      log.info(LogEvent.CallerRefused, { status, code: error.code, open: open.size });
      if (isAnswering) {
        rejection = status;
        removeClose(last.response);
      } else if (last) {
        refuseUnread(last, status);
      } else {
        sendRejection(status);
      }
    }
  }

  // Node closes a connection by this function after an answer that announces the close.
  socket.destroySoon = close;
  socket.on('end', handleEnd);
  // The library tells only the response whose turn it is.
  socket.once('close', () => {
    for (const { response } of [...open]) {
      if (!response.socket) response.emit('close');
    }
  });
  // A close event follows every error and ends the requests.
  socket.on('error', () => {
    hasCallerLeft ||= !isClosing;
  });

  return {
    add(request, response, keepAliveMs) {
      const last = findLast()?.response;
      if (isRejected || isClosing || (last?.headersSent && isClose(last))) {
        droppedBytes += input.drop();
        return undefined;
      }
      if (last && removeClose(last)) response.setHeader('connection', CLOSE);
      const added: OpenRequest = {
        request,
        response,
        isSent: false,
        headBytes: REQUEST_BYTES + request.rawHeaders.length * FIELD_BYTES,
        blocks: createBodyBlocks(),
        bodyBytes: 0,
        heldBackBytes: 0,
        waitedMs,
        isAccepted: false,
      };
      open.add(added);
      requestsEnd = input.countParsed();
      response.once('finish', () => {
        // The event also occurs when the connection is destroyed with bytes that were not written.
        added.isSent = !socket.destroyed;
        // The configuration may have shortened the time since the caller was told.
        if (open.size === 1) socket.setTimeout(keepAliveMs + KEEP_ALIVE_MARGIN_MS);
      });
      response.once('close', () => finishRequest(added));
      return added;
    },
    openedAt: clock.now(),
    measure,
    setBlocked(isBlocked) {
      input.setBlocked(isBlocked && (!isWithinBody() || open.size > 1));
    },
    drop() {
      const { outputBytes } = measure();
      const isIdle = open.size === 0;
      for (const { request, response, blocks, ends } of [...open]) {
        blocks.drop();
        if (ends) ends.refuseUnsent();
        else if (!request.complete) options.refuseUnread(request, response);
      }
      const isUnanswered = [...open].some(({ response }) => !response.writableEnded);
      if (isIdle || outputBytes > 0 || isUnanswered) abort();
    },
    refuse,
    refuseTunnel() {
      // The server has taken its own listeners from the connection.
      socket.on('drain', () => {
        for (const { response } of open) response.emit('drain');
      });
      refuse({ name: 'Error', message: 'tunnel', code: TUNNEL });
    },
    countOpen: () => open.size,
    listUnaccepted: () =>
      [...open].filter(({ isAccepted, response }) => !isAccepted && !response.headersSent),
    announceClose() {
      // The refusal that is due after the last answer announces the close itself.
      if (rejection !== undefined) return;
      const last = findLast()?.response;
      if (last && !last.headersSent) last.setHeader('connection', CLOSE);
    },
    closeIdle() {
      const { bytesRead } = socket;
      // Bytes that have arrived are read in this turn of the event loop.
      setImmediate(() => {
        if (open.size === 0 && socket.bytesRead === bytesRead && input.countHeld() === 0) close();
      });
    },
    stop() {
      for (const { response } of open) {
        if (response.headersSent && !response.writableEnded) abortAnswer(response);
      }
      isStopping = true;
      // Answers that have ended may still wait for those before them.
      const isAwaited = [...open].some(({ response }) => !response.headersSent);
      if (open.size === 0 || isAwaited) close();
    },
    abort,
  };
}

/** Returns the id that a caller gave its request; empty if it gave none. */
export function readRequestId({ headers }: IncomingMessage): string {
  return String(headers[REQUEST_ID_HEADER] ?? '');
}

/** Returns the bytes that have left for the caller; those that a write still holds do not count. */
function countTaken(socket: Socket): number {
  // Nothing public tells the progress of a write.
  const { _handle: handle } = socket as unknown as { _handle?: WriteHandle | null };
  return handle ? handle.bytesWritten - handle.writeQueueSize : socket.bytesWritten;
}

/** Returns whether an answer announces the close of its connection. */
function isClose(response: ServerResponse): boolean {
  return response.getHeader('connection') === CLOSE;
}

/** Takes back the announced close from an answer that has not begun; returns whether it had one. */
function removeClose(response: ServerResponse): boolean {
  if (response.headersSent || !isClose(response)) return false;
  response.removeHeader('connection');
  return true;
}
