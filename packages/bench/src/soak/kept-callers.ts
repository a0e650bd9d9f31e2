/**
 * Callers that keep connections of their own, until the entry closes them or its process is gone,
 * and use them in unusual ways: next heads that come too early, in pieces or malformed, slow bodies
 * and readers, callers that read nothing and leave, callers that leave at once, half-closed
 * connections, and connections that are idle as long as allowed.
 */
import {
  CALLER_DEADLINE_MS,
  CALLER_PATIENCE_MS,
  formatHeaders,
  type CallRecord,
  type CallTarget,
  type OpenRecord,
} from './call-record.js';
import { LARGE_BODY } from './engine.js';
import { openRawConnection, type RawAnswer, type RawConnection } from './raw-connection.js';

/** Pause between two uses of a connection, and before a closed one is replaced. */
const PAUSE_RANGE_MS = [5, 150] as const;
/** Time from a request to the first bytes of the next one, and from these to the rest. */
const NEXT_HEAD_RANGE_MS = [0, 250] as const;
const HEAD_REST_RANGE_MS = [0, 1_200] as const;
/** Time for which the end of an unfinished head is awaited; the entry ends it before that. */
const HEAD_REFUSAL_MS = 4_500;
/** Requests of a caller that reads nothing, and the time that it stays after each. */
const UNREAD_REQUESTS = 3;
const UNREAD_RANGE_MS = [0, 400] as const;
const BODY_PIECES = 5;
const BODY_PIECE_INTERVAL_MS = 220;
/** Part of the time that a connection may be idle after which it is used again, and the most. */
const IDLE_FRACTION = 0.85;
const MAX_IDLE_MS = 4_000;
/** Bytes in the line of a head that is too large. */
const LARGE_LINE_BYTES = 80 * 1024;
/** Behaviour of requests whose callers leave without waiting. */
export const LEFT_AT_ONCE = 'left at once';
const HEAD_REFUSALS = [400, 408, 431];
const CALL_PATHS = ['/once/', '/again/'];
const PATHS = [...CALL_PATHS, '/stream/', '/resume-stream/'];

/** What the callers share with those that send plain requests. */
export interface KeptCallersOptions {
  count: number;
  drawRandom: () => number;
  openRecord: OpenRecord;
  chooseTarget: () => CallTarget;
}

/** Running callers. */
export interface KeptCallers {
  /** What they received besides answers and refusals of heads. */
  violations: string[];
  /** Waits for all outstanding answers. */
  stop: () => Promise<void>;
}

/** A connection in use, and what is known of it. */
interface Use extends CallTarget {
  connection: RawConnection;
  keepAliveMs: number;
}

/** Starts callers, each with one connection at a time. */
export function startKeptCallers(options: KeptCallersOptions): KeptCallers {
  const { drawRandom, openRecord } = options;
  const violations: string[] = [];
  const state = { isStopping: false };

  function drawMs([least, most]: readonly [number, number]): number {
    return least + drawRandom() * (most - least);
  }

  function chooseOne<Item>(items: readonly Item[]): Item {
    return items[Math.floor(drawRandom() * items.length)]!;
  }

  function formatRequest(record: CallRecord, requestBody: string): string {
    const headers = { ...formatHeaders(record), 'content-length': String(requestBody.length) };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    return `POST ${record.path}x HTTP/1.1\r\n${lines.join('')}\r\n${requestBody}`;
  }

  function openRequest({ entry, key }: Use, behaviour: string, paths = PATHS, start = 'order') {
    const record = openRecord(chooseOne(paths), { entry, key });
    Object.assign(record, { behaviour, isLarge: start === LARGE_BODY });
    return { record, bytes: formatRequest(record, `${start} of ${record.id}`) };
  }

  async function receive(use: Use, record: CallRecord): Promise<RawAnswer> {
    const answer = await use.connection.readAnswer(CALLER_DEADLINE_MS + CALLER_PATIENCE_MS);
    const { status, body, isWhole, keepAliveMs, isClose } = answer;
    const endedAt = performance.now();
    Object.assign(record, { status, body, interrupted: !isWhole, endedAt, isClose });
    Object.assign(use, { keepAliveMs });
    if (!isWhole) use.connection.close();
    return answer;
  }

  /** Sends a whole request at once, and begins the next one while its answer is awaited. */
  async function sendNextHead(use: Use): Promise<void> {
    const kind = chooseOne(['byte', 'half head', 'malformed head', 'large head']);
    const { connection } = use;
    const { record, bytes } = openRequest(use, `then ${kind}`);
    connection.write(bytes);
    record.sentAt = performance.now();
    const answered = receive(use, record);
    await wait(drawMs(NEXT_HEAD_RANGE_MS));
    if (kind === 'byte' || kind === 'half head') {
      await sendHeadInPieces(use, record, kind === 'byte', answered);
      return;
    }
    const line = kind === 'large head' ? `x-large: ${'x'.repeat(LARGE_LINE_BYTES)}` : 'no : head';
    connection.write(`POST /once/x HTTP/1.1\r\n${line}\r\n\r\n`);
    await answered;
    await receiveRefusal(use, record);
  }

  /** Sends the next request in two pieces, or only its first one. */
  async function sendHeadInPieces(
    use: Use,
    behind: CallRecord,
    isByte: boolean,
    answered: Promise<RawAnswer>,
  ): Promise<void> {
    const { connection } = use;
    const { record, bytes } = openRequest(use, 'head in pieces');
    Object.assign(record, { behind, isSplitHead: true, isUnfinished: true });
    const cut = isByte ? 1 : Math.floor(bytes.indexOf('\r\n\r\n') / 2);
    connection.write(bytes.slice(0, cut));
    const isFinished = drawRandom() < 0.5;
    if (isFinished) await wait(drawMs(HEAD_REST_RANGE_MS));
    if (isFinished && connection.isOpen()) {
      connection.write(bytes.slice(cut));
      record.isUnfinished = false;
    }
    record.sentAt = performance.now();
    await answered;
    if (!record.isUnfinished) {
      await receive(use, record);
      return;
    }
    await receiveRefusal(use, record);
    Object.assign(record, { interrupted: true, endedAt: record.sentAt });
  }

  /** Receives the refusal of a head, or the end of the connection. */
  async function receiveRefusal({ connection }: Use, { id }: CallRecord): Promise<void> {
    const { status } = await connection.readAnswer(HEAD_REFUSAL_MS);
    if (status > 0 && !HEAD_REFUSALS.includes(status)) {
      violations.push(`${id} got ${status} for an unfinished or malformed head`);
    }
    if (connection.isOpen()) violations.push(`${id} was left open after such a head`);
    connection.close();
  }

  async function sendSlowBody(use: Use): Promise<void> {
    const { connection } = use;
    const { record, bytes } = openRequest(use, 'slow body', PATHS, 'order '.repeat(BODY_PIECES));
    record.isUnfinished = true;
    const bodyStart = bytes.indexOf('\r\n\r\n') + 4;
    const pieceBytes = Math.ceil((bytes.length - bodyStart) / BODY_PIECES);
    connection.write(bytes.slice(0, bodyStart));
    for (let at = bodyStart; at < bytes.length; at += pieceBytes) {
      await wait(BODY_PIECE_INTERVAL_MS);
      record.isUnfinished = !connection.isOpen() || at + pieceBytes < bytes.length;
      connection.write(bytes.slice(at, at + pieceBytes));
    }
    record.sentAt = performance.now();
    await receive(use, record);
  }

  async function readSlowly(use: Use): Promise<void> {
    const { record, bytes } = openRequest(use, 'slow reader', CALL_PATHS, LARGE_BODY);
    use.connection.setSlowReading(true);
    use.connection.write(bytes);
    record.sentAt = performance.now();
    await receive(use, record);
    use.connection.setSlowReading(false);
  }

  /** Asks for more than it takes, reads nothing and leaves. */
  async function leaveUnread(use: Use): Promise<void> {
    const { connection } = use;
    const unread: CallRecord[] = [];
    connection.stopReading();
    for (let count = 0; count < UNREAD_REQUESTS; count += 1) {
      const { record, bytes } = openRequest(use, 'unread', CALL_PATHS, LARGE_BODY);
      Object.assign(record, { hasLeft: true, interrupted: true });
      connection.write(bytes);
      record.sentAt = performance.now();
      record.endedAt = record.sentAt;
      unread.push(record);
      await wait(drawMs(UNREAD_RANGE_MS));
    }
    connection.close();
    const leftAt = performance.now();
    for (const record of unread) record.leftAt = leftAt;
  }

  /** Leaves as soon as a request was sent, which a busy or stopped entry has not read by then. */
  async function leaveAtOnce(use: Use): Promise<void> {
    const { record, bytes } = openRequest(use, LEFT_AT_ONCE);
    use.connection.write(bytes);
    const sentAt = performance.now();
    Object.assign(record, { hasLeft: true, interrupted: true, sentAt, endedAt: sentAt });
    use.connection.close();
  }

  async function sendHalfClose(use: Use): Promise<void> {
    const { record, bytes } = openRequest(use, 'half-close');
    record.hasLeft = true;
    use.connection.write(bytes);
    use.connection.end();
    record.sentAt = performance.now();
    await receive(use, record);
    use.connection.close();
  }

  async function sendAfterIdle(use: Use): Promise<void> {
    await wait(Math.min(IDLE_FRACTION * use.keepAliveMs, MAX_IDLE_MS));
    if (use.connection.isOpen()) await sendPlain(use, 'after idle');
  }

  async function sendPlain(use: Use, behaviour = 'kept'): Promise<void> {
    const { record, bytes } = openRequest(use, behaviour);
    use.connection.write(bytes);
    record.sentAt = performance.now();
    await receive(use, record);
  }

  const behaviours = [
    sendNextHead,
    sendNextHead,
    sendNextHead,
    sendSlowBody,
    readSlowly,
    leaveUnread,
    leaveAtOnce,
    sendHalfClose,
    sendAfterIdle,
    (use: Use) => sendPlain(use),
  ];

  async function runConnection(): Promise<void> {
    const target = options.chooseTarget();
    const { entry } = target;
    const connection = openRawConnection(entry);
    const use = { ...target, connection, keepAliveMs: 0 };
    while (connection.isOpen() && !state.isStopping) {
      await chooseOne(behaviours)(use);
      await wait(drawMs(PAUSE_RANGE_MS));
      const unread = connection.countUnread();
      if (unread > 0) violations.push(`${unread} bytes came from ${entry} without a request`);
      if (unread > 0) connection.close();
    }
    connection.close();
  }

  async function runCaller(): Promise<void> {
    while (!state.isStopping) {
      await runConnection();
      await wait(drawMs(PAUSE_RANGE_MS));
    }
  }

  const running = Array.from({ length: options.count }, runCaller);
  return {
    violations,
    async stop() {
      state.isStopping = true;
      await Promise.all(running);
    },
  };
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
