/**
 * Ends requests that get no further attempt: at their deadline, when nothing may follow a failure,
 * and when the entry stops. Attempts in progress are ended without a result, so that their servers
 * are not held responsible.
 */
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { MIN_RETRY_AFTER_MS } from '@masticbend/scheduling/retry-advisor';
import type { Placement } from './placement.js';
import type { RequestState } from './request-state.js';

/** Failure of a request that was not sent before the entry stopped; others take it at once. */
export const STOPPED: Failure = { kind: ErrorKind.Stopping, retryAfterMs: 20 };
/** Failure of a request that was not sent when the entry held too many bytes for its callers. */
export const TOO_MANY_BYTES: Failure = {
  kind: ErrorKind.Overloaded,
  retryAfterMs: MIN_RETRY_AFTER_MS,
};

const DEADLINE_REASON = 'deadline';
const STOP_REASON = 'stopped';

/** Dependencies. */
export interface UnservedRequestsOptions {
  sendWaiting: Placement['sendWaiting'];
  /** Ends the placement of a request and all its attempts. */
  stopAttempts: (state: RequestState) => void;
  /** End a request that has not run, or may have run. */
  refuse: (state: RequestState, failure: Failure) => void;
  fail: (state: RequestState, failure: Failure) => void;
  /** Ends a request with the failure that one of its servers answered. */
  finishWithFallback: (state: RequestState) => void;
}

/** Ends of requests that were not served. */
export interface UnservedRequests {
  /**
   * Ends a request without attempts in progress. The answer depends on the earlier ones: `refusal`
   * if none can have run, otherwise the failure that a backend server answered, or `unknown`, an
   * unknown outcome.
   */
  finish: (state: RequestState, refusal: Failure, unknown: Failure) => void;
  /** Ends an open request at its deadline. */
  expire: (state: RequestState) => void;
  /** Ends open requests when the entry stops. */
  stop: (states: readonly RequestState[]) => void;
}

/** Returns the ends of requests. */
export function createUnservedRequests(options: UnservedRequestsOptions): UnservedRequests {
  function finish(state: RequestState, refusal: Failure, unknown: Failure): void {
    const { fallback, delivery, possibleRuns } = state;
    if (possibleRuns === 0) options.refuse(state, refusal);
    else if (fallback && !delivery.hasBegun()) options.finishWithFallback(state);
    else options.fail(state, unknown);
  }

  function stopAttempts(state: RequestState): void {
    state.possibleRuns += countSent(state);
    options.stopAttempts(state);
  }

  return {
    finish,
    expire(state) {
      stopAttempts(state);
      state.lastFailureReason ||= DEADLINE_REASON;
      finish(
        state,
        { kind: ErrorKind.DeadlineUnreachable, retryAfterMs: MIN_RETRY_AFTER_MS },
        { kind: ErrorKind.AnswerTimeout },
      );
      options.sendWaiting(state.service);
    },
    stop(states) {
      for (const state of states) {
        stopAttempts(state);
        state.lastFailureReason = STOP_REASON;
        finish(state, STOPPED, { kind: ErrorKind.OutcomeUnknown });
      }
    },
  };
}

/** Returns the number of attempts in progress whose servers got the request. */
function countSent({ attempts }: RequestState): number {
  return [...attempts].filter(({ attempt }) => attempt.wasSent()).length;
}
