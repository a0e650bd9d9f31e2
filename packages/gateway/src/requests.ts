/**
 * The requests of one entry, from their arrival to their final answer: who may call, whether the
 * account has room, where the request goes or how long it waits, and what follows a failed attempt.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type { Logger } from '@masticbend/kernel/log';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { isMisdirected } from '@masticbend/platform/ingress';
import type { RepeatBudget } from '@masticbend/scheduling/repeat-budget';
import { createRetryAdvice, LEAST_RETRY_MS } from '@masticbend/scheduling/retry-advice';
import { createReturnEstimate } from '@masticbend/scheduling/return-estimate';
import type { ServerBoard } from '@masticbend/scheduling/server-board';
import type { ServerEntry } from '@masticbend/scheduling/server-entry';
import { countUnits, type SharedLimits } from '@masticbend/scheduling/shared-limit';
import type { WaitingLine } from '@masticbend/scheduling/waiting-line';
import { checkAccess, checkAccessAgain, type CheckKeys } from './access.js';
import type { AttemptResult } from './attempt.js';
import type { BackendClient } from './backend-client.js';
import type { ConfigurationView } from './configuration-view.js';
import type { Delivery } from './delivery.js';
import { createDispatch } from './dispatch.js';
import type { PermitClient, PermitEvents } from './permit-client.js';
import { createPlacement } from './placement.js';
import { isFinalAnswer, isRepeatAllowed } from './repeat.js';
import { createRequestLog } from './request-log.js';
import {
  createRequestState,
  describeOutcome,
  type IncomingRequest,
  type RequestOutcome,
  type RequestState,
} from './request-state.js';

/** Time left to a backend server's own answer at the deadline, in milliseconds. */
const DEADLINE_MARGIN_MS = 40;
/** Time a server that had no room is passed over, in milliseconds. */
const FULL_PAUSE_MS = 30;
/** Time a server that is not the one meant is left out: its registration is about to change. */
const MISDIRECTED_PAUSE_MS = 8_000;
/** What the requests need from the rest of the entry. */
export interface RequestsOptions {
  clock: Clock;
  log: Logger;
  drawRandom: () => number;
  client: BackendClient;
  board: ServerBoard;
  line: WaitingLine;
  limits: SharedLimits;
  repeats: RepeatBudget;
  permits: Pick<PermitClient, 'findLoad' | 'ask' | 'release' | 'addRunning'>;
  getView: () => ConfigurationView | undefined;
  areKeysFresh: CheckKeys;
  /** Instances that share the limits. */
  countInstances: () => number;
  recordOutcome: (outcome: RequestOutcome) => void;
  /** An attempt at a backend server ended; `result` is the kind of its end. */
  recordAttempt: (server: string, result: string) => void;
}

/** Requests of one entry. */
export interface Requests {
  /** Takes a request; `connect` wraps its response and reports when the caller leaves. */
  accept: (incoming: IncomingRequest, connect: (onAbandoned: () => void) => Delivery) => void;
  /** Sends waiting requests to places that came free. */
  pump: () => void;
  /** Answers of agents. */
  agentEvents: PermitEvents;
  countOpen: () => number;
  dump: () => unknown;
  stop: () => void;
}

/** Returns an entry's requests. */
export function createRequests(options: RequestsOptions): Requests {
  const { clock, drawRandom, board, line, limits, repeats, permits } = options;
  const open = new Map<string, RequestState>();
  let next = 1;
  const advice = createRetryAdvice(drawRandom);
  const returns = createReturnEstimate();
  const lines = createRequestLog(clock, options.log);
  const placement = createPlacement({
    ...options,
    findOpen: (id) => open.get(id),
    drawRetryMs,
    send: sendToServer,
    refuse: finishUnserved,
  });

  const dispatch = createDispatch({
    ...options,
    onResult(state, entry, result) {
      options.recordAttempt(entry.server.id, result.kind);
      handleResult(state, entry, result);
      placement.sendWaiting(state.service);
    },
  });

  function accept(incoming: IncomingRequest, connect: (onAbandoned: () => void) => Delivery): void {
    const view = options.getView();
    let state: RequestState | undefined;
    const delivery = connect(() => state && abortRequest(state));
    const access = checkAccess(view, incoming, options.areKeysFresh);
    if ('kind' in access) {
      lines.writeDenied(incoming, access);
      delivery.fail(access);
      return;
    }
    const id = `${incoming.facts.requestId || 'none'}.${next}`;
    next += 1;
    const { deadlineMs = access.route.timeoutMs } = incoming.facts;
    const returned = returns.recordArrival(access.route.name, deadlineMs);
    state = createRequestState(id, incoming, delivery, access, view!, drawRandom, returned);
    startDeadline(state);
    open.set(state.id, state);
    const limited = checkLimit(state);
    if (limited) {
      refuse(state, limited);
      return;
    }
    repeats.recordRequest(clock.now(), state.service);
    placement.place(state);
  }

  function startDeadline(state: RequestState): void {
    const leftMs = state.deadlineAt - clock.now() + DEADLINE_MARGIN_MS;
    state.stopDeadline = clock.startTimer(leftMs, () => handleDeadline(state));
  }

  function checkLimit(state: RequestState): Failure | undefined {
    const { account, incoming } = state;
    if (!account?.limit) return undefined;
    const { promptTokens, outputTokens } = incoming.facts;
    const units = countUnits(account.limit, promptTokens, outputTokens);
    const waitMs = limits.tryTake(clock.now(), account.name, account.limit, units);
    if (waitMs === undefined) {
      state.units = units;
      return undefined;
    }
    return { kind: ErrorKind.RateLimited, retryAfterMs: drawRetryMs(state, waitMs) };
  }

  function sendToServer(state: RequestState, entry: ServerEntry, finishMs: number): void {
    advice.recordSent();
    const refusal = checkAccessAgain(options.getView(), state, options.areKeysFresh);
    if (refusal) {
      permits.release(entry.server.id, state.id);
      finishUnserved(state, refusal);
      return;
    }
    state.tried.add(entry.server.id);
    lines.writePlaced(state, entry, finishMs);
    dispatch(state, entry);
  }

  function handleResult(state: RequestState, entry: ServerEntry, result: AttemptResult): void {
    if (result.kind === 'delivered') {
      board.recordSuccess(entry);
      finish(state, String(result.status));
      return;
    }
    if (result.kind === 'answer' && isFinalAnswer(state, result.status)) {
      if (result.status >= 500) board.recordFailure(entry);
      else board.recordSuccess(entry);
      state.delivery.answer(result.status, result.headers, result.body);
      finish(state, String(result.status));
      return;
    }
    recordTrouble(state, entry, result);
    if (result.kind === 'unsent') {
      placement.place(state);
    } else if (takeRepeat(state)) {
      lines.writeRepeated(state, entry);
      placement.place(state);
    } else {
      finishUnserved(state, { kind: ErrorKind.Overloaded, retryAfterMs: drawRetryMs(state, 0) });
    }
  }

  function recordTrouble(state: RequestState, entry: ServerEntry, result: AttemptResult): void {
    const now = clock.now();
    if (result.kind === 'answer') {
      state.mayHaveRun += 1;
      state.fallback = result;
      state.lastReason = `status ${result.status}`;
      board.recordFailure(entry);
    } else if (result.kind === 'not-run') {
      state.lastReason = `not run, status ${result.status}`;
      const pauseMs = isMisdirected(result.status) ? MISDIRECTED_PAUSE_MS : FULL_PAUSE_MS;
      entry.ejectedUntil = Math.max(entry.ejectedUntil, now + pauseMs);
    } else if (result.kind !== 'delivered') {
      state.lastReason = result.reason;
      if (result.kind === 'broken') {
        state.mayHaveRun += 1;
        state.lastEventId = result.lastEventId;
      }
      if (board.recordSilence(now, entry)) {
        lines.writeEjected(entry, result.reason, now);
      }
    }
    lines.writeAttemptFailed(state, entry, result.kind);
  }

  function takeRepeat(state: RequestState): boolean {
    const now = clock.now();
    if (!isRepeatAllowed(now, state)) return false;
    return repeats.tryTake(now, state.service, options.countInstances());
  }

  /** Ends a request that gets no further attempt: by what is known of those it had. */
  function finishUnserved(state: RequestState, refusal: Failure): void {
    const { fallback, delivery } = state;
    if (state.mayHaveRun === 0) {
      advice.recordRefused();
      refuse(state, refusal);
    } else if (fallback && !delivery.hasBegun()) {
      delivery.answer(fallback.status, fallback.headers, fallback.body);
      finish(state, String(fallback.status));
    } else {
      fail(state, { kind: ErrorKind.OutcomeUnknown });
    }
  }

  function refuse(state: RequestState, failure: Failure): void {
    lines.writeRefused(state, failure, line.count(state.service));
    returnUnits(state);
    state.delivery.fail(failure);
    finish(state, failure.kind, false);
  }

  /** What did not run does not count against its account's limit. */
  function returnUnits({ account, units }: RequestState): void {
    if (account && units > 0) limits.refund(clock.now(), account.name, units);
  }

  function fail(state: RequestState, failure: Failure): void {
    lines.writeFailed(state, failure);
    state.delivery.fail(failure);
    finish(state, failure.kind, false);
  }

  function finish(state: RequestState, outcome: string, logged = true): void {
    state.stopDeadline();
    placement.withdraw(state);
    open.delete(state.id);
    if (logged) lines.writeFinished(state, outcome);
    options.recordOutcome(describeOutcome(clock.now(), state, outcome));
  }

  function handleDeadline(state: RequestState): void {
    if (!open.has(state.id)) return;
    const wasSent = state.attempt?.wasSent() ?? false;
    stopAttempt(state);
    if (wasSent) state.mayHaveRun += 1;
    if (state.mayHaveRun === 0) {
      refuse(state, { kind: ErrorKind.DeadlineUnreachable, retryAfterMs: LEAST_RETRY_MS });
    } else {
      state.lastReason ||= 'deadline';
      fail(state, { kind: ErrorKind.AnswerTimeout });
    }
    placement.sendWaiting(state.service);
  }

  function abortRequest(state: RequestState): void {
    if (!open.has(state.id)) return;
    const wasSent = state.sent > 0;
    stopAttempt(state);
    if (!wasSent) returnUnits(state);
    lines.writeAbandoned(state);
    finish(state, 'abandoned', false);
    placement.sendWaiting(state.service);
  }

  function stopAttempt(state: RequestState): void {
    placement.withdraw(state);
    if (!state.attempt) return;
    state.attempt.abort();
    state.attempt = undefined;
    state.release();
  }

  function drawRetryMs({ incoming }: RequestState, waitMs: number): number {
    const leftMs = incoming.arrivedAt + (incoming.facts.deadlineMs ?? 0) - clock.now();
    return advice.drawMs(waitMs, leftMs);
  }

  return {
    accept,
    pump: placement.sendAllWaiting,
    agentEvents: placement.agentEvents,
    countOpen: () => open.size,
    dump: () => ({
      open: open.size,
      waiting: Object.fromEntries(line.listServices().map((name) => [name, line.count(name)])),
    }),
    stop: placement.stop,
  };
}
