/**
 * What follows the end of an attempt: the answer goes to the caller, another attempt is made where
 * the request may be repeated, or the request ends without one. The server's share in a failure is
 * recorded.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { isMisdirected } from '@masticbend/platform/ingress';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { ServerPool } from '@masticbend/scheduling/server-pool';
import type { AttemptResult } from './attempt-result.js';
import type { CrashGuard } from './crash-guard.js';
import type { Placement } from './placement.js';
import { isFinalAnswer } from './repeat.js';
import type { RequestLog } from './request-log.js';
import type { RequestState, RunningAttempt } from './request-state.js';
import type { SilentAttempts } from './silent-attempts.js';
import type { UnservedRequests } from './unserved-requests.js';

/** Time for which a server that refused a request for lack of capacity gets no others. */
const FULL_SERVER_PAUSE_MS = 30;
/**
 * Time for which a server that answered a request as misdirected gets no others: another process
 * has its address, and its registration is about to change.
 */
const MISDIRECTED_PAUSE_MS = 8_000;

/** Dependencies. */
export interface AttemptResultsOptions {
  clock: Clock;
  serverPool: Pick<ServerPool, 'recordSuccess' | 'recordFailure' | 'recordNoResponse'>;
  guard: Pick<CrashGuard, 'refuseBlocked'>;
  placement: Pick<Placement, 'place'>;
  silentAttempts: Pick<SilentAttempts, 'tryPlaceRepeat'>;
  requestLog: Pick<
    RequestLog,
    'writeFinished' | 'writeRepeated' | 'writeEjected' | 'writeAttemptFailed'
  >;
  unserved: Pick<UnservedRequests, 'finish'>;
  /** Takes a repeat for a request from the budget; false where it may not be repeated. */
  tryTakeRepeat: (state: RequestState) => boolean;
  /** Called for each answer with a longer pause than its route's objective. */
  recordLongPause: (route: string) => void;
  drawRetryMs: (state: RequestState, waitMs: number) => number;
  /** Ends the placement of a request and its other attempts. */
  stopAttempts: (state: RequestState) => void;
  finish: (state: RequestState, outcome: string, isLogged?: boolean) => void;
  /** Ends a request for which no attempt is in progress or may follow. */
  finishWithoutFurtherAttempt: (state: RequestState, refusal: Failure) => void;
}

/** Handles the end of an attempt. */
export type AttemptResultHandler = (
  state: RequestState,
  running: RunningAttempt,
  result: AttemptResult,
) => void;

/** Returns the handler of the attempts of an entry. */
export function createAttemptResultHandler(options: AttemptResultsOptions): AttemptResultHandler {
  const { clock, serverPool, guard, placement, silentAttempts, tryTakeRepeat } = options;
  const { requestLog, unserved, drawRetryMs, stopAttempts, finish } = options;
  const { finishWithoutFurtherAttempt } = options;

  function handleResult(state: RequestState, running: RunningAttempt, result: AttemptResult): void {
    const { entry } = running;
    if (result.kind === 'delivered') {
      serverPool.recordSuccess(entry);
      requestLog.writeFinished(state, String(result.status), result.stream);
      const { name, pauseMs } = state.route;
      if (result.stream && result.stream.maxPauseMs > pauseMs) options.recordLongPause(name);
      stopAttempts(state);
      finish(state, String(result.status), false);
      return;
    }
    if (result.kind === 'answer' && isFinalAnswer(state, result.status)) {
      if (result.status >= 500) serverPool.recordFailure(entry);
      else serverPool.recordSuccess(entry);
      stopAttempts(state);
      state.delivery.answer(result.status, result.headers, result.body);
      finish(state, String(result.status));
      return;
    }
    recordFailedAttempt(state, running, result);
    if (guard.refuseBlocked(state)) return;
    if (state.isPlacing) return;
    if (state.attempts.size > 0 && result.kind !== 'unsendable') {
      silentAttempts.tryPlaceRepeat(state);
    } else if (result.kind === 'unsendable') {
      failUnsendable(state);
    } else if (result.kind === 'unsent') {
      placement.place(state);
    } else if (tryTakeRepeat(state)) {
      requestLog.writeRepeated(state, entry);
      placement.place(state);
    } else {
      finishWithoutFurtherAttempt(state, {
        kind: ErrorKind.Overloaded,
        retryAfterMs: drawRetryMs(state, 0),
      });
    }
  }

  /** Leaves the outcome to the attempts in progress, if any. */
  function failUnsendable(state: RequestState): void {
    if (state.attempts.size > 0) return;
    unserved.finish(state, { kind: ErrorKind.InvalidRequest }, { kind: ErrorKind.OutcomeUnknown });
  }

  function recordFailedAttempt(
    state: RequestState,
    { entry, startedAt }: RunningAttempt,
    result: AttemptResult,
  ): void {
    const now = clock.now();
    if (result.kind === 'answer') {
      state.possibleRuns += 1;
      state.fallback = result;
      state.lastFailureReason = `status ${result.status}`;
      serverPool.recordFailure(entry);
    } else if (result.kind === 'not-run') {
      state.lastFailureReason = `not run, status ${result.status}`;
      const pauseMs = isMisdirected(result.status) ? MISDIRECTED_PAUSE_MS : FULL_SERVER_PAUSE_MS;
      entry.excludedUntil = Math.max(entry.excludedUntil, now + pauseMs);
    } else if (result.kind !== 'delivered') {
      state.lastFailureReason = result.reason;
      if (result.kind === 'broken') {
        state.possibleRuns += 1;
        state.lastEventId = result.lastEventId;
      }
      const isServerFault = result.kind !== 'unsendable';
      if (isServerFault && serverPool.recordNoResponse(now, entry, startedAt)) {
        requestLog.writeEjected(entry, result.reason, now);
      }
    }
    requestLog.writeAttemptFailed(state, entry, result);
  }

  return handleResult;
}
