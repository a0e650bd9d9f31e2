/**
 * Calls granted to this agent, from the grant to the last byte of the answer. Collects the body of
 * each call, checks right before the first byte is sent that the call may still start, and starts
 * it at most once. A call with an idempotency key runs only if its record allows it.
 */
import type { Dispatcher as HttpClient } from 'undici';
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { CallAttempt, RecordedOutcome, StartResult } from '@masticbend/state/idempotency';
import { ErrorKind } from '@masticbend/protocol/error';
import type { BodyMessage, GrantMessage, Usage } from '@masticbend/protocol/call-message';
import type { Message } from '@masticbend/protocol/message';
import { startBackendCall, type AnswerEvents, type RunningCall } from './backend-call.js';
import type { CallRecords } from './call-records.js';
import {
  createOutcomeCollector,
  sendRecordedAnswer,
  finishRecord,
  type OutcomeCollector,
} from './outcome.js';
import { isTarget, type GrantedReservation } from './reservations.js';

/** Longest wait for the next chunk of a granted call's body. */
export const BODY_CHUNK_TIMEOUT_MS = 5_000;

/** Largest sizes of one call, in bytes. */
export interface CallLimits {
  bodyBytes: number;
  streamBytes: number;
}

/** Receives the progress of calls on behalf of the scheduler. */
export interface CallObserver {
  onFirstByte: (request: string) => void;
  onFinish: (request: string, usage: Usage) => void;
  /** The call failed after its request was sent to the backend server. */
  onFailure: (request: string) => void;
  /** The call was returned to its entry unstarted, or answered from its record. */
  onNotRun: (request: string) => void;
  /** No connection to the backend server could be opened. */
  onUnreachable: () => void;
}

/** Dependencies of the granted calls. */
export interface GrantedCallsOptions {
  clock: Clock;
  log: Logger;
  client: HttpClient;
  records: CallRecords;
  send: (owner: string, message: Message) => boolean;
  getLimits: () => CallLimits;
  observer: CallObserver;
}

/** Calls granted to one agent. */
export interface GrantedCalls {
  open: (owner: string, grant: GrantMessage, reservation: GrantedReservation) => void;
  has: (request: string) => boolean;
  addBody: (owner: string, message: BodyMessage) => void;
  addCredit: (owner: string, request: string, bytes: number) => void;
  /** Aborts a call whose caller has disconnected. */
  abort: (owner: string, request: string) => void;
  /** Aborts the calls of an owner whose connection is closed. */
  dropOwner: (owner: string) => void;
  /** Sends back to their entries the calls whose body is incomplete at its timeout or deadline. */
  expire: () => void;
  count: () => number;
  /** Returns whether a call to this model or service, or an adapter of it, is open. */
  hasTarget: (target: string) => boolean;
  dump: () => unknown;
}

interface GrantedCall {
  owner: string;
  request: string;
  grant: GrantMessage;
  target: string;
  idempotent: boolean;
  deadlineAt: number;
  bodyDueAt: number;
  /** Chunks received so far; undefined once the body is complete. */
  body: Uint8Array[] | undefined;
  bodyBytes: number;
  aborted: boolean;
  attempt?: CallAttempt;
  collector?: OutcomeCollector;
  running?: RunningCall;
}

/** Creates an empty set of calls. */
export function createGrantedCalls(options: GrantedCallsOptions): GrantedCalls {
  const { clock, log, client, records, send, getLimits, observer } = options;
  const calls = new Map<string, GrantedCall>();

  function open(owner: string, grant: GrantMessage, reservation: GrantedReservation): void {
    const { request } = grant;
    const now = clock.now();
    const call: GrantedCall = {
      owner,
      request,
      grant,
      target: reservation.work.target,
      idempotent: reservation.work.idempotent,
      deadlineAt: Math.min(reservation.deadlineAt, now + grant.deadlineMs),
      bodyDueAt: now + BODY_CHUNK_TIMEOUT_MS,
      body: [],
      bodyBytes: 0,
      aborted: false,
    };
    calls.set(request, call);
    if (grant.call.bodyBytes > getLimits().bodyBytes) returnCall(call, ErrorKind.BodyTooLarge);
    else if (grant.call.bodyBytes === 0) startCall(call);
  }

  function addBody(owner: string, { request, data, last }: BodyMessage): void {
    const call = findCall(owner, request);
    if (!call?.body) return;
    call.body.push(data);
    call.bodyDueAt = clock.now() + BODY_CHUNK_TIMEOUT_MS;
    call.bodyBytes += data.length;
    const announcedBytes = call.grant.call.bodyBytes;
    const complete = last && call.bodyBytes === announcedBytes;
    if (complete) startCall(call);
    else if (last || call.bodyBytes > announcedBytes) returnCall(call, ErrorKind.InvalidRequest);
  }

  function startCall(call: GrantedCall): void {
    const body = Buffer.concat(call.body!);
    call.body = undefined;
    const { idempotency } = call.grant.call;
    if (!isStartable(call)) {
      returnCall(call, chooseReturnKind(call));
    } else if (idempotency) {
      records.startAttempt(idempotency, call.idempotent).then((result) => {
        handleStartResult(call, body, result);
      });
    } else {
      runCall(call, body);
    }
  }

  function isStartable(call: GrantedCall): boolean {
    return !call.aborted && clock.now() < call.deadlineAt;
  }

  function chooseReturnKind(call: GrantedCall): ErrorKind {
    return call.aborted ? ErrorKind.Overloaded : ErrorKind.DeadlineExceeded;
  }

  function handleStartResult(call: GrantedCall, body: Buffer, result: StartResult): void {
    if (result.kind === 'started') {
      call.attempt = result.attempt;
      call.collector = createOutcomeCollector();
      runCall(call, body);
    } else if (result.kind === 'recorded') {
      sendOutcome(call, result.outcome);
    } else if (result.kind === 'unavailable') {
      if (result.uncertain) records.release(result.uncertain);
      const retryAfterMs = records.computeRetryAfter();
      returnCall(call, ErrorKind.PlatformUnavailable, retryAfterMs);
    } else {
      returnCall(call, result.kind);
    }
  }

  function sendOutcome(call: GrantedCall, outcome: RecordedOutcome): void {
    const { owner, request } = call;
    const failure = sendRecordedAnswer((message) => send(owner, message), request, outcome);
    if (failure) {
      returnCall(call, failure.kind, failure.retryAfterMs, failure.detail);
      return;
    }
    observer.onNotRun(request);
    calls.delete(request);
  }

  function runCall(call: GrantedCall, body: Buffer): void {
    const { request, grant } = call;
    call.running = startBackendCall(
      {
        client,
        clock,
        request,
        call: grant.call,
        body,
        maxAnswerBytes: getLimits().streamBytes,
        mayStart: () => isStartable(call),
      },
      createAnswerEvents(call),
    );
  }

  function createAnswerEvents(call: GrantedCall): AnswerEvents {
    const { request, owner } = call;
    let status = 0;
    return {
      onStart() {
        log.debug(LogEvent.BackendCallStarted, { request });
        send(owner, { kind: 'started', request });
      },
      onHead(headStatus, headers) {
        status = headStatus;
        call.collector?.setHead(status, headers);
        send(owner, { kind: 'head', request, status, headers, recorded: false });
      },
      onData(sequence, data) {
        if (sequence === 0) observer.onFirstByte(request);
        call.collector?.addData(data);
        send(owner, { kind: 'data', request, sequence, data });
      },
      onEnd(chunks, bytes, usage) {
        log.debug(LogEvent.BackendCallFinished, { request, status, bytes });
        observer.onFinish(request, usage);
        const end: Message = { kind: 'end', request, chunks, bytes, usage };
        finishRecord(records, call, status).then(() => finishCall(call, end));
      },
      onFailure(failure) {
        log.warn(LogEvent.BackendCallFailed, { request, error: failure.kind });
        observer.onFailure(request);
        const failed: Message = { kind: 'failed', request, failure };
        finishRecord(records, call, 0, failure).then(() => finishCall(call, failed));
      },
      onNotStarted(failure) {
        if (failure.kind === ErrorKind.NoBackendServer) observer.onUnreachable();
        const kind = isStartable(call) ? failure.kind : chooseReturnKind(call);
        releaseRecord(call).then(() => returnCall(call, kind));
      },
    };
  }

  async function releaseRecord({ attempt }: GrantedCall): Promise<void> {
    if (attempt) await records.release(attempt);
  }

  function finishCall(call: GrantedCall, message: Message): void {
    calls.delete(call.request);
    send(call.owner, message);
  }

  function returnCall(
    call: GrantedCall,
    kind: ErrorKind,
    retryAfterMs?: number,
    detail?: string,
  ): void {
    const { request, owner, grant } = call;
    observer.onNotRun(request);
    calls.delete(request);
    const failure = { kind, retryAfterMs, detail };
    send(owner, { kind: 'returned', request, claim: grant.claim, failure });
  }

  function findCall(owner: string, request: string): GrantedCall | undefined {
    const call = calls.get(request);
    return call?.owner === owner ? call : undefined;
  }

  /**
   * Sends a call back to its entry if its body is incomplete; cancels an idempotent call at the
   * backend server. A call that must not be run twice continues to its end with unlimited credit,
   * so that its record holds the outcome.
   */
  function abortCall(call: GrantedCall): void {
    call.aborted = true;
    if (call.body) returnCall(call, ErrorKind.Overloaded);
    else if (!call.idempotent) call.running?.addCredit(Number.MAX_SAFE_INTEGER);
    else call.running?.cancel();
  }

  return {
    open,
    has: (request) => calls.has(request),
    addBody,
    addCredit: (owner, request, bytes) => findCall(owner, request)?.running?.addCredit(bytes),
    abort(owner, request) {
      const call = findCall(owner, request);
      if (call) abortCall(call);
    },
    dropOwner(owner) {
      for (const call of [...calls.values()]) {
        if (call.owner === owner) abortCall(call);
      }
    },
    expire() {
      for (const call of [...calls.values()]) {
        const expiresAt = Math.min(call.bodyDueAt, call.deadlineAt);
        if (call.body && clock.now() >= expiresAt) returnCall(call, ErrorKind.Overloaded);
      }
    },
    count: () => calls.size,
    hasTarget: (target) => [...calls.values()].some((call) => isTarget(call.target, target)),
    dump: () => [...calls.values()].map(describeCall),
  };
}

function describeCall({
  request,
  owner,
  idempotent,
  aborted,
  body,
  attempt,
  running,
}: GrantedCall) {
  const stage = body ? 'body' : (running && 'running') || 'record';
  return { request, owner, idempotent, aborted, stage, keyed: attempt !== undefined };
}
