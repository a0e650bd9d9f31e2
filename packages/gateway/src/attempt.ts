/**
 * One attempt of a request at one backend server: sends it, judges the answer and hands it to the
 * delivery, or says what is known about the run. Event streams pass event by event; other answers
 * are kept until they are whole, so that a broken one can still be repeated.
 */
import type { Clock } from '@masticbend/kernel/clock';
import {
  buildDispatchHeaders,
  isAnswerTo,
  isEncoded,
  isNotRun,
  isSigned,
  type HeaderMap,
} from '@masticbend/platform/ingress';
import type { BackendServer } from '@masticbend/settings/routing';
import type { BackendClient, Exchange, ExchangeRequest } from './backend-client.js';
import type { Delivery } from './delivery.js';
import { createEventSplitter } from './event-splitter.js';

/** Bytes of an answer that are kept until it is whole; longer answers pass as they come. */
const KEPT_BYTES = 256 * 1024;

/** What became of an attempt. */
export type AttemptResult =
  /** The answer was delivered whole. */
  | { kind: 'delivered'; status: number }
  /** A whole answer that may be delivered, or replaced by a repeat when it is a failure. */
  | { kind: 'answer'; status: number; headers: HeaderMap; body: Buffer }
  /** The request was never handed to a connection. */
  | { kind: 'unsent'; reason: string }
  /** The server says that it did not run the request. */
  | { kind: 'not-run'; status: number }
  /** The request may have run; what was delivered ends after `lastEventId`. */
  | { kind: 'broken'; reason: string; lastEventId?: string };

/** What an attempt needs to know. */
export interface AttemptRequest {
  requestId: string;
  method: ExchangeRequest['method'];
  target: string;
  rawHeaders: readonly string[];
  body: Buffer;
  account?: string;
  streamed: boolean;
  deadlineMs: number;
  /** Last event that an earlier attempt delivered. */
  lastEventId?: string;
  /** Silence after which the attempt is given up, in milliseconds; 0 for never. */
  silenceMs: number;
}

/** What the owner of an attempt is told. */
export interface AttemptEvents {
  onSent: () => void;
  /** First byte of the answer, or first event of a stream. */
  onFirst: (elapsedMs: number) => void;
  /** Time for each event since the previous ones. */
  onPace: (intervalMs: number) => void;
  /** Called once, last. */
  onResult: (result: AttemptResult) => void;
}

/** A running attempt. */
export interface Attempt {
  /** Ends it without a result. */
  abort: () => void;
  wasSent: () => boolean;
}

/** Starts an attempt. */
export function startAttempt(
  clock: Clock,
  client: BackendClient,
  server: BackendServer,
  request: AttemptRequest,
  delivery: Delivery,
  events: AttemptEvents,
): Attempt {
  const splitter = createEventSplitter();
  let head: { status: number; headers: HeaderMap } | undefined;
  let kept: Buffer[] = [];
  let keptBytes = 0;
  let passing = false;
  let sentAt: number | undefined;
  let lastAt: number | undefined;
  let { lastEventId } = request;
  let over = false;
  let stopSilence = () => {};
  // Assigned below, before any event can come.
  let exchange: Exchange | undefined;

  function finish(result: AttemptResult): void {
    if (over) return;
    over = true;
    stopSilence();
    exchange?.abort();
    events.onResult(result);
  }

  function failAttempt(reason: string): void {
    finish({ kind: 'broken', reason, lastEventId });
  }

  function startSilenceTimer(): void {
    stopSilence();
    if (request.silenceMs > 0) {
      stopSilence = clock.startTimer(request.silenceMs, () => failAttempt('silent'));
    }
  }

  function isStream(): boolean {
    return request.streamed && head !== undefined && head.status < 300;
  }

  function handleHead(status: number, headers: HeaderMap): void {
    startSilenceTimer();
    if (!isAnswerTo(request.requestId, headers)) failAttempt('answer to another request');
    else if (isNotRun(status, headers)) finish({ kind: 'not-run', status });
    else if (status < 300 && !isSigned(headers)) failAttempt('answer without a signature');
    else if (isEncoded(headers)) failAttempt('answer with an encoding');
    else head = { status, headers };
  }

  function recordFirst(): void {
    if (lastAt !== undefined || sentAt === undefined) return;
    events.onFirst(clock.now() - sentAt);
  }

  function handleEvents(bytes: Buffer): void {
    const whole = splitter.push(bytes);
    if (!whole) return;
    const now = clock.now();
    recordFirst();
    if (lastAt !== undefined) events.onPace((now - lastAt) / whole.count);
    lastAt = now;
    lastEventId = whole.lastId ?? lastEventId;
    if (!delivery.hasBegun()) delivery.begin(head!.status, head!.headers);
    relay(whole.bytes);
  }

  function relay(bytes: Buffer): void {
    if (delivery.write(bytes)) return;
    exchange?.pause();
    stopSilence();
    delivery.onDrain(() => {
      exchange?.resume();
      if (!over) startSilenceTimer();
    });
  }

  function handleData(bytes: Buffer): void {
    if (over || !head) return;
    startSilenceTimer();
    if (isStream()) {
      handleEvents(bytes);
      return;
    }
    recordFirst();
    lastAt = clock.now();
    if (passing) {
      relay(bytes);
      return;
    }
    kept.push(bytes);
    keptBytes += bytes.length;
    if (keptBytes <= KEPT_BYTES) return;
    passing = true;
    delivery.begin(head.status, head.headers);
    relay(Buffer.concat(kept));
    kept = [];
  }

  function handleEnd(): void {
    if (over) return;
    if (!head) {
      failAttempt('end without a head');
      return;
    }
    if (isStream()) {
      const rest = splitter.takeRest();
      if (!delivery.hasBegun()) delivery.begin(head.status, head.headers);
      if (rest.length > 0) delivery.write(rest);
    }
    if (isStream() || passing) {
      delivery.end();
      finish({ kind: 'delivered', status: head.status });
    } else {
      finish({ kind: 'answer', ...head, body: Buffer.concat(kept) });
    }
  }

  exchange = client.send(
    server,
    {
      method: request.method,
      path: request.target,
      headers: buildDispatchHeaders(request.rawHeaders, {
        server,
        account: request.account,
        deadlineMs: request.deadlineMs,
        lastEventId: request.lastEventId,
      }),
      body: request.body.length > 0 ? request.body : null,
    },
    {
      onSent() {
        sentAt = clock.now();
        startSilenceTimer();
        events.onSent();
      },
      onHead: handleHead,
      onData: handleData,
      onEnd: handleEnd,
      onError(error) {
        const reason = error.code ?? error.message;
        if (sentAt === undefined) finish({ kind: 'unsent', reason });
        else failAttempt(reason);
      },
    },
  );

  return {
    abort() {
      if (over) return;
      over = true;
      stopSilence();
      exchange.abort();
    },
    wasSent: () => sentAt !== undefined,
  };
}
