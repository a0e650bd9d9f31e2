/**
 * The requests of one entry, from their arrival to their final answer: who may call, whether the
 * account has room, where the request goes or how long it waits, and what follows a failed attempt.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type { Logger } from '@masticbend/kernel/log';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { RepeatBudget } from '@masticbend/scheduling/repeat-budget';
import { createRetryAdvice, LEAST_RETRY_MS } from '@masticbend/scheduling/retry-advice';
import type {
  AgentLoad,
  Choice,
  ServerBoard,
  ServerEntry,
} from '@masticbend/scheduling/server-board';
import { countUnits, type SharedLimits } from '@masticbend/scheduling/shared-limit';
import type { WaitingLine } from '@masticbend/scheduling/waiting-line';
import { Repeat } from '@masticbend/settings/routing';
import { checkAccess, checkAccessAgain, OUTAGE_RETRY_MS, type CheckKeys } from './access.js';
import { startAttempt, type AttemptResult } from './attempt.js';
import type { BackendClient } from './backend-client.js';
import type { ConfigurationView } from './configuration-view.js';
import type { Delivery } from './delivery.js';
import type { PermitClient } from './permit-client.js';
import { createRequestLog } from './request-log.js';
import {
  createRequestState,
  type IncomingRequest,
  type RequestOutcome,
  type RequestState,
} from './request-state.js';
import { chooseSilence, describeWaiting } from './request-timing.js';

/** Time left to a backend server's own answer at the deadline, in milliseconds. */
const DEADLINE_MARGIN_MS = 40;
/** Interval of the check for requests that waited too long, in milliseconds. */
const EXPIRY_CHECK_MS = 10;
/** Time a server that had no room is passed over, in milliseconds. */
const FULL_PAUSE_MS = 30;
/** Agents asked for one request at a time, and in all. */
const PARALLEL_ASKS = 2;
const MOST_ASKS = 4;
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
}

/** Requests of one entry. */
export interface Requests {
  /** Takes a request; `connect` wraps its response and reports when the caller leaves. */
  accept: (incoming: IncomingRequest, connect: (onAbandoned: () => void) => Delivery) => void;
  /** Sends waiting requests to places that came free. */
  pump: () => void;
  /** Answers of agents. */
  receivePermit: (server: string, id: string) => void;
  receiveRefusal: (server: string, id: string, waitMs: number) => void;
  receiveLoss: (server: string, id: string) => void;
  countOpen: () => number;
  dump: () => unknown;
  stop: () => void;
}

/** Returns an entry's requests. */
export function createRequests(options: RequestsOptions): Requests {
  const { clock, drawRandom, client, board, line, limits, repeats, permits } = options;
  const open = new Map<string, RequestState>();
  let next = 1;
  const advice = createRetryAdvice(drawRandom);
  const lines = createRequestLog(clock, options.log);
  let stopExpiry: (() => void) | undefined;

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
    state = createRequestState(id, incoming, delivery, access, view!, drawRandom);
    startDeadline(state);
    open.set(state.id, state);
    const limited = checkLimit(state);
    if (limited) {
      refuse(state, limited);
      return;
    }
    repeats.recordRequest(clock.now(), state.service);
    place(state);
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

  /** Sends a request to a backend server, asks its agent, or lets it wait, or refuses it. */
  function place(state: RequestState): void {
    const now = clock.now();
    const { service } = state;
    const choice = chooseServer(state);
    if (choice.kind === 'server' && choice.load) {
      reserveBest(state, choice.entry, choice.load);
    } else if (choice.kind === 'none') {
      finishUnserved(state, createPlaceFailure(state));
    } else if (choice.kind === 'full' && choice.waitMs !== undefined) {
      const retryAfterMs = drawRetryMs(state, choice.waitMs);
      finishUnserved(state, { kind: ErrorKind.Overloaded, retryAfterMs });
    } else if (choice.kind === 'server' && line.count(service) === 0) {
      sendToServer(state, choice.entry, choice.finishMs);
    } else {
      waitInLine(state, now);
      if (choice.kind === 'server') sendWaiting(service);
    }
  }

  function chooseServer(state: RequestState): Choice {
    const now = clock.now();
    const { service, work, tier, tried, asked, deadlineAt } = state;
    return board.choose(now, {
      service,
      work,
      tier,
      excluded: new Set([...tried, ...asked]),
      waitMs: describeWaiting(clock.now(), board, state).startBy - now,
      leftMs: deadlineAt - now,
      findLoad: permits.findLoad,
    });
  }

  function createPlaceFailure(state: RequestState): Failure {
    if (state.refusedWaitMs === undefined) {
      return { kind: ErrorKind.NoBackendServer, retryAfterMs: OUTAGE_RETRY_MS };
    }
    return { kind: ErrorKind.Overloaded, retryAfterMs: drawRetryMs(state, state.refusedWaitMs) };
  }

  function waitInLine(state: RequestState, now: number): void {
    const { places } = board.countPlaces(now, state.service);
    const waitMs = line.add(
      now,
      describeWaiting(clock.now(), board, state),
      places / options.countInstances(),
    );
    if (waitMs === undefined) {
      scheduleExpiry();
      return;
    }
    const retryAfterMs = drawRetryMs(state, waitMs);
    finishUnserved(state, { kind: ErrorKind.Overloaded, retryAfterMs });
  }

  /** Asks the agent of the best server; where it would wait, that of the next best as well. */
  function reserveBest(state: RequestState, best: ServerEntry, load: AgentLoad): void {
    reserveAt(state, best);
    if (load.held < best.server.slots || state.asked.size >= PARALLEL_ASKS) return;
    const second = chooseServer(state);
    if (second.kind === 'server' && second.load) reserveAt(state, second.entry);
  }

  function reserveAt(state: RequestState, { server }: ServerEntry): void {
    const { id, account, tier, tokens, costMs, startBy } = describeWaiting(
      clock.now(),
      board,
      state,
    );
    const now = clock.now();
    state.asked.add(server.id);
    state.asks += 1;
    const waitMs = Math.max(0, startBy - now);
    permits.ask(server.id, { request: id, account, tier, tokens, holdMs: costMs, waitMs });
  }

  function receivePermit(serverId: string, id: string): void {
    const state = open.get(id);
    const entry = board.find(serverId);
    state?.asked.delete(serverId);
    if (!state || state.attempt || !entry) {
      permits.release(serverId, id);
      return;
    }
    releaseAsks(state);
    const held = permits.findLoad(serverId)?.held ?? 0;
    sendToServer(state, entry, board.estimateFinishMs(entry, state.work, held));
  }

  function receiveRefusal(serverId: string, id: string, waitMs: number): void {
    const state = open.get(id);
    if (!state) return;
    state.asked.delete(serverId);
    state.refusedWaitMs = Math.min(waitMs, state.refusedWaitMs ?? Infinity);
    if (state.attempt || state.asked.size > 0) return;
    state.tried.add(serverId);
    const isLate = clock.now() >= describeWaiting(clock.now(), board, state).startBy;
    if (isLate || state.asks >= MOST_ASKS) finishUnserved(state, createPlaceFailure(state));
    else place(state);
  }

  function receiveLoss(serverId: string, id: string): void {
    const state = open.get(id);
    if (!state) return;
    state.asked.delete(serverId);
    if (!state.attempt && state.asked.size === 0) place(state);
  }

  function releaseAsks(state: RequestState): void {
    for (const server of state.asked) permits.release(server, state.id);
    state.asked.clear();
  }

  function sendToServer(state: RequestState, entry: ServerEntry, finishMs: number): void {
    const { incoming, delivery, route, account, work } = state;
    const now = clock.now();
    advice.recordSent();
    const refusal = checkAccessAgain(options.getView(), state, options.areKeysFresh);
    if (refusal) {
      permits.release(entry.server.id, state.id);
      finishUnserved(state, refusal);
      return;
    }
    const { server } = entry;
    state.tried.add(server.id);
    lines.writePlaced(state, entry, finishMs);
    board.addRun(entry, work);
    permits.addRunning(server.id, state.id);
    let reading = true;
    const stopReading = () => {
      if (reading) board.dropReading(entry, work);
      reading = false;
    };
    state.release = () => {
      stopReading();
      board.removeRun(entry);
      permits.release(server.id, state.id);
    };
    const startedAt = now;
    state.attempt = startAttempt(
      clock,
      client,
      server,
      {
        requestId: incoming.facts.requestId,
        method: incoming.method,
        target: incoming.target,
        rawHeaders: incoming.rawHeaders,
        body: incoming.body,
        account: account?.name,
        streamed: route.streamed,
        deadlineMs: state.deadlineAt - now,
        lastEventId: state.lastEventId,
        silenceMs: chooseSilence(state),
      },
      delivery,
      {
        onSent() {
          state.sent += 1;
        },
        onFirst(elapsedMs) {
          stopReading();
          if (route.streamed) board.recordFirst(entry, work, elapsedMs);
        },
        onPace: (intervalMs) => board.recordPace(entry, intervalMs),
        onResult(result) {
          state.release();
          state.attempt = undefined;
          if (!route.streamed && result.kind === 'answer') {
            board.recordWork(entry, clock.now() - startedAt);
          }
          handleResult(state, entry, result);
          sendWaiting(state.service);
        },
      },
    );
  }

  function handleResult(state: RequestState, entry: ServerEntry, result: AttemptResult): void {
    const now = clock.now();
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
    recordTrouble(state, entry, result, now);
    if (result.kind === 'unsent') {
      place(state);
    } else if (takeRepeat(state)) {
      lines.writeRepeated(state, entry);
      place(state);
    } else {
      finishUnserved(state, { kind: ErrorKind.Overloaded, retryAfterMs: drawRetryMs(state, 0) });
    }
  }

  function recordTrouble(
    state: RequestState,
    entry: ServerEntry,
    result: AttemptResult,
    now: number,
  ): void {
    if (result.kind === 'answer') {
      state.mayHaveRun += 1;
      state.fallback = result;
      state.lastReason = `status ${result.status}`;
      board.recordFailure(entry);
    } else if (result.kind === 'not-run') {
      state.lastReason = `not run, status ${result.status}`;
      entry.ejectedUntil = Math.max(entry.ejectedUntil, now + FULL_PAUSE_MS);
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

  /**
   * A failure of the backend server is worth a repeat where one is allowed, and cannot be shown
   * to a caller whose answer has begun.
   */
  function isFinalAnswer({ route, sent, delivery }: RequestState, status: number): boolean {
    if (delivery.hasBegun()) return false;
    return status < 500 || route.repeat === Repeat.Never || sent >= route.attempts;
  }

  function takeRepeat(state: RequestState): boolean {
    const { route, sent, mayHaveRun, delivery } = state;
    if (sent >= route.attempts || clock.now() >= state.deadlineAt) return false;
    if (mayHaveRun > 0 && route.repeat === Repeat.Never) return false;
    if (delivery.hasBegun() && state.lastEventId === undefined) return false;
    return repeats.tryTake(clock.now(), state.service, options.countInstances());
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
    if (state.account && state.units > 0) {
      limits.refund(clock.now(), state.account.name, state.units);
    }
    state.delivery.fail(failure);
    finish(state, failure.kind, false);
  }

  function fail(state: RequestState, failure: Failure): void {
    lines.writeFailed(state, failure);
    state.delivery.fail(failure);
    finish(state, failure.kind, false);
  }

  function finish(state: RequestState, outcome: string, logged = true): void {
    state.stopDeadline();
    releaseAsks(state);
    open.delete(state.id);
    const totalMs = clock.now() - state.incoming.arrivedAt;
    if (logged) lines.writeFinished(state, outcome);
    options.recordOutcome({
      route: state.route.name,
      tier: state.tier,
      account: state.account?.name ?? '',
      outcome,
      totalMs,
    });
  }

  function handleDeadline(state: RequestState): void {
    if (!open.has(state.id)) return;
    line.remove(state.service, state.id);
    const wasSent = state.attempt?.wasSent() ?? false;
    stopAttempt(state);
    if (wasSent) state.mayHaveRun += 1;
    if (state.mayHaveRun === 0) {
      refuse(state, { kind: ErrorKind.DeadlineUnreachable, retryAfterMs: LEAST_RETRY_MS });
    } else {
      state.lastReason ||= 'deadline';
      fail(state, { kind: ErrorKind.AnswerTimeout });
    }
    sendWaiting(state.service);
  }

  function abortRequest(state: RequestState): void {
    if (!open.has(state.id)) return;
    line.remove(state.service, state.id);
    const wasSent = state.sent > 0;
    stopAttempt(state);
    if (!wasSent && state.account && state.units > 0) {
      limits.refund(clock.now(), state.account.name, state.units);
    }
    lines.writeAbandoned(state);
    finish(state, 'abandoned', false);
    sendWaiting(state.service);
  }

  function stopAttempt(state: RequestState): void {
    releaseAsks(state);
    if (!state.attempt) return;
    state.attempt.abort();
    state.attempt = undefined;
    state.release();
  }

  function sendWaiting(service: string): void {
    for (let id = line.getFirst(service); id !== undefined; id = line.getFirst(service)) {
      const state = open.get(id);
      if (!state) {
        line.remove(service, id);
      } else {
        const choice = chooseServer(state);
        if (choice.kind === 'full') return;
        line.take(service, id);
        if (choice.kind === 'none') finishUnserved(state, createPlaceFailure(state));
        else if (choice.load) place(state);
        else sendToServer(state, choice.entry, choice.finishMs);
      }
    }
  }

  function sendAllWaiting(): void {
    for (const service of line.listServices()) sendWaiting(service);
  }

  function checkExpiry(): void {
    stopExpiry = undefined;
    for (const id of line.expire(clock.now())) {
      const state = open.get(id);
      if (state) {
        finishUnserved(state, {
          kind: ErrorKind.DeadlineUnreachable,
          retryAfterMs: drawRetryMs(state, 0),
        });
      }
    }
    sendAllWaiting();
    scheduleExpiry();
  }

  /** Runs the check only while something waits: each wake-up costs processor time. */
  function scheduleExpiry(): void {
    if (stopExpiry || line.listServices().length === 0) return;
    stopExpiry = clock.startTimer(EXPIRY_CHECK_MS, checkExpiry);
  }

  function drawRetryMs({ incoming }: RequestState, waitMs: number): number {
    const leftMs = incoming.arrivedAt + (incoming.facts.deadlineMs ?? 0) - clock.now();
    return advice.drawMs(waitMs, leftMs);
  }

  return {
    accept,
    pump: sendAllWaiting,
    receivePermit,
    receiveRefusal,
    receiveLoss,
    countOpen: () => open.size,
    dump: () => ({
      open: open.size,
      waiting: Object.fromEntries(line.listServices().map((name) => [name, line.count(name)])),
    }),
    stop: () => stopExpiry?.(),
  };
}
