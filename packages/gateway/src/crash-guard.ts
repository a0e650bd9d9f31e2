/**
 * Keeps requests that are suspected to crash backend servers from being sent, and ends them with a
 * final answer.
 */
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { isRequestSuspect } from '@masticbend/scheduling/request-digest';
import type { CrashWatch, SuspectedRequest } from './crash-watch.js';
import { getDigest, type RequestState, type RunningAttempt } from './request-state.js';

/** Dependencies of the guard. */
export interface CrashGuardOptions {
  crashWatch: Pick<
    CrashWatch,
    'findBlocked' | 'isConfirmed' | 'isAnswered' | 'isTrialDue' | 'recordTrial' | 'isRepeatSafe'
  >;
  /** Ends the placement of a request, and one of its attempts. */
  withdraw: (state: RequestState) => void;
  stopAttempt: (state: RequestState, running: RunningAttempt) => void;
  /** End a request that has not run, or may have run. */
  refuse: (state: RequestState, failure: Failure) => void;
  fail: (state: RequestState, failure: Failure) => void;
}

/** Checks of one entry before requests are sent. */
export interface CrashGuard {
  /**
   * Ends a request that is blocked, unless it may be sent as a trial; attempts that may go on are
   * left running. Returns whether it is blocked.
   */
  refuseBlocked: (state: RequestState) => boolean;
  /** Marks a request that is sent although it has a blocked suspect, once. */
  recordTrial: (state: RequestState) => void;
  isRepeatSafe: (state: RequestState) => boolean;
}

/** Returns the checks of an entry. */
export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { crashWatch, withdraw, stopAttempt, refuse, fail } = options;

  function findRefused(state: RequestState): string | undefined {
    const suspect =
      state.triedSuspect !== undefined
        ? undefined
        : crashWatch.findBlocked(describeSuspected(state));
    const isTried =
      suspect !== undefined && state.sentCount === 0 && crashWatch.isTrialDue(suspect);
    return isTried ? undefined : suspect;
  }

  function finishBlocked(state: RequestState, suspect: string): void {
    state.lastFailureReason = `blocked ${suspect}`;
    if (state.possibleRuns === 0) refuse(state, { kind: chooseRefusal(suspect) });
    else fail(state, { kind: chooseFailure(suspect) });
  }

  /** Sound requests may be lost with several servers: until a trial fails, callers may return. */
  function chooseRefusal(suspect: string): ErrorKind {
    const isConfirmed = crashWatch.isConfirmed(suspect);
    if (isRequestSuspect(suspect)) {
      return isConfirmed ? ErrorKind.RequestBlocked : ErrorKind.RequestSuspected;
    }
    return isConfirmed ? ErrorKind.PromptBlocked : ErrorKind.PromptSuspected;
  }

  function chooseFailure(suspect: string): ErrorKind {
    if (!crashWatch.isConfirmed(suspect)) return ErrorKind.OutcomeUnknown;
    if (isRequestSuspect(suspect)) return ErrorKind.RequestBlockedAfterRun;
    return ErrorKind.PromptBlockedAfterRun;
  }

  /**
   * Returns whether an attempt goes on although its request is blocked now. A blocked part crashes
   * a server when its answer begins; a whole request does so while it runs, or is cleared by its
   * end. A part that was answered of late is probably not the cause, and the request may have run
   * already.
   */
  function isLeftRunning({ attempt, sent }: RunningAttempt, suspect: string): boolean {
    if (isRequestSuspect(suspect)) return attempt.wasSent();
    if (sent.outputAt !== undefined) return true;
    return attempt.wasSent() && crashWatch.isAnswered(suspect);
  }

  return {
    refuseBlocked(state) {
      const suspect = findRefused(state);
      if (suspect === undefined) return false;
      withdraw(state);
      for (const running of [...state.attempts]) {
        if (!isLeftRunning(running, suspect)) {
          if (running.attempt.wasSent()) state.possibleRuns += 1;
          stopAttempt(state, running);
        }
      }
      if (state.attempts.size === 0) finishBlocked(state, suspect);
      return true;
    },
    recordTrial(state) {
      // An attempt that did not reach its server is followed by another one of the same trial.
      if (state.triedSuspect !== undefined) return;
      const suspect = crashWatch.findBlocked(describeSuspected(state));
      state.triedSuspect = suspect;
      if (suspect !== undefined) crashWatch.recordTrial(suspect);
    },
    isRepeatSafe: (state) => crashWatch.isRepeatSafe(describeSuspected(state)),
  };
}

/** Returns a request as the crash watch needs it. */
export function describeSuspected(state: RequestState): SuspectedRequest {
  return { parts: state.parts, getDigest: () => getDigest(state) };
}
