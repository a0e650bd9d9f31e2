/**
 * The requests of one entry, from their arrival to their final answer: who may call, whether the
 * account has room, where the request goes or how long it waits, and what follows a failed attempt.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type LogFields, type Logger } from '@masticbend/kernel/log';
import type { CallerFacts } from '@masticbend/platform/ingress';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { chooseService } from '@masticbend/scheduling/gateway-route';
import type { RepeatBudget } from '@masticbend/scheduling/repeat-budget';
import {
  countHeld,
  type AgentLoad,
  type Choice,
  type PlacedWork,
  type ServerBoard,
  type ServerEntry,
} from '@masticbend/scheduling/server-board';
import { countUnits, type SharedLimits } from '@masticbend/scheduling/shared-limit';
import type { WaitingLine } from '@masticbend/scheduling/waiting-line';
import { Repeat, type GatewayAccount, type GatewayRoute } from '@masticbend/settings/routing';
import { startAttempt, type Attempt, type AttemptResult } from './attempt.js';
import type { BackendClient, ExchangeRequest } from './backend-client.js';
import type { ConfigurationView } from './configuration-view.js';
import type { Delivery } from './delivery.js';
import type { PermitClient } from './permit-client.js';

/** Part of the objective in which a request must be sent, less the time to its first byte. */
const WAIT_PART = 0.85;
/** Least wait that a request is allowed, as a part of its objective. */
const LEAST_WAIT_PART = 0.25;
/** Wait of a request whose first byte will be late in any case, likewise. */
const LATE_WAIT_PART = 2;
/** Time left to a backend server's own answer at the deadline, in milliseconds. */
const DEADLINE_MARGIN_MS = 40;
/** Interval of the check for requests that waited too long, in milliseconds. */
const EXPIRY_CHECK_MS = 10;
/** Silence after which a repeatable request goes elsewhere: parts of objective and pause. */
const SILENT_OBJECTIVES = 2.5;
const SILENT_PAUSES = 4;
const LEAST_SILENCE_MS = 600;
/** Time a server that had no room is passed over, in milliseconds. */
const FULL_PAUSE_MS = 30;
/** Least advice when to come back, in milliseconds, and the part of it that is drawn. */
const LEAST_RETRY_MS = 300;
const RETRY_SPREAD = 0.5;
/** Part of a caller's time left that it waits at most before it comes back. */
const RETRY_TIME_PART = 1 / 3;
/** How far the share of refused requests follows the last one, and what share is an overload. */
const REFUSED_STEP = 0.02;
const OVERLOAD_SHARE = 0.3;
/** Agents asked for one request at a time, and in all. */
const PARALLEL_ASKS = 2;
const MOST_ASKS = 4;
/** Longest wait of a repeat for a permit, as a part of the objective. */
const REPEAT_WAIT_PART = 2;
/** Advice while the store or the servers are away, in milliseconds. */
const OUTAGE_RETRY_MS = 1_000;
/** Output tokens expected of a request that gives no estimate, as a part of its most. */
const EXPECTED_OUTPUT_PART = 0.3;

/** A request as it came in. */
export interface IncomingRequest {
  method: ExchangeRequest['method'];
  /** Path with query, as sent. */
  target: string;
  host: string;
  rawHeaders: readonly string[];
  facts: CallerFacts;
  body: Buffer;
  arrivedAt: number;
}

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
  /** Tells whether the keys in force are known recently enough to admit by them. */
  areKeysFresh: () => boolean;
  /** Instances that share the limits. */
  countInstances: () => number;
  recordOutcome: (outcome: RequestOutcome) => void;
}

/** One answered request, for metrics. */
export interface RequestOutcome {
  route: string;
  tier: number;
  account: string;
  outcome: string;
  totalMs: number;
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

interface RequestState {
  id: string;
  incoming: IncomingRequest;
  delivery: Delivery;
  route: GatewayRoute;
  service: string;
  account?: GatewayAccount;
  tier: number;
  version: number;
  work: PlacedWork;
  units: number;
  deadlineAt: number;
  tried: Set<string>;
  /** Servers whose agents were asked and have not answered. */
  asked: Set<string>;
  /** Agents asked so far, and the least wait that one of them expected. */
  asks: number;
  refusedWaitMs: number | undefined;
  /** Servers that it was sent to. */
  sent: number;
  /** Attempts that may have run. */
  mayHaveRun: number;
  lastEventId?: string;
  attempt?: Attempt;
  /** Frees the place that the attempt holds. */
  release: () => void;
  /** A backend server's failure, delivered when no repeat does better. */
  fallback?: Extract<AttemptResult, { kind: 'answer' }>;
  lastReason: string;
  stopDeadline: () => void;
}

/** Returns an entry's requests. */
export function createRequests(options: RequestsOptions): Requests {
  const { clock, log, drawRandom, client, board, line, limits, repeats, permits } = options;
  const open = new Map<string, RequestState>();
  let next = 1;
  /** Share of the latest requests that were refused for want of places. */
  let refusedShare = 0;
  let stopExpiry: (() => void) | undefined;

  function accept(incoming: IncomingRequest, connect: (onAbandoned: () => void) => Delivery): void {
    const view = options.getView();
    let state: RequestState | undefined;
    const delivery = connect(() => state && abortRequest(state));
    const refusal = checkAccess(view, incoming);
    if ('kind' in refusal) {
      recordRefusal(incoming.facts.requestId, refusal, {
        host: incoming.host,
        path: incoming.target,
      });
      delivery.fail(refusal);
      return;
    }
    state = createState(incoming, delivery, refusal.route, refusal.account, view!);
    open.set(state.id, state);
    const limited = checkLimit(state);
    if (limited) {
      refuse(state, limited);
      return;
    }
    repeats.recordRequest(clock.now(), state.service);
    place(state);
  }

  function checkAccess(
    view: ConfigurationView | undefined,
    { host, target, facts }: IncomingRequest,
  ): Failure | { route: GatewayRoute; account?: GatewayAccount } {
    const retryAfterMs = OUTAGE_RETRY_MS;
    if (!view) return { kind: ErrorKind.ConfigurationUnavailable, retryAfterMs };
    const route = view.routes.find(host, target);
    if (!route) return { kind: ErrorKind.NotFound };
    if (route.anonymous || view.configuration.accounts.length === 0) return { route };
    if (!options.areKeysFresh()) return { kind: ErrorKind.PlatformUnavailable, retryAfterMs };
    const account = view.accounts.get(facts.apiKey ?? '');
    return account ? { route, account } : { kind: ErrorKind.Unauthenticated };
  }

  function createState(
    incoming: IncomingRequest,
    delivery: Delivery,
    route: GatewayRoute,
    account: GatewayAccount | undefined,
    { configuration }: ConfigurationView,
  ): RequestState {
    const { facts, arrivedAt } = incoming;
    const service = chooseService(route, drawRandom);
    const engine = configuration.services.get(service)?.engine;
    const limitMs = Math.min(facts.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    const id = `${facts.requestId || 'none'}.${next}`;
    next += 1;
    const state: RequestState = {
      id,
      incoming,
      delivery,
      route,
      service,
      account,
      tier: account?.tier ?? route.tier,
      version: configuration.version,
      work: describeWork(route, facts, engine?.tokensPerEvent ?? 1),
      units: 0,
      deadlineAt: arrivedAt + limitMs,
      tried: new Set(),
      asked: new Set(),
      asks: 0,
      refusedWaitMs: undefined,
      sent: 0,
      mayHaveRun: 0,
      lastReason: '',
      release: () => {},
      stopDeadline: () => {},
    };
    const leftMs = state.deadlineAt - clock.now() + DEADLINE_MARGIN_MS;
    state.stopDeadline = clock.startTimer(leftMs, () => handleDeadline(state));
    return state;
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
      waitMs: describeWaiting(state).startBy - now,
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
    const waitMs = line.add(now, describeWaiting(state), places / options.countInstances());
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
    const { id, account, tier, tokens, costMs, startBy } = describeWaiting(state);
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
    const isLate = clock.now() >= describeWaiting(state).startBy;
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

  function describeWaiting(state: RequestState) {
    const { id, service, account, tier, route, work, incoming } = state;
    const firstMs = board.estimateFirstMs(service, work);
    const spareMs = route.objectiveMs * WAIT_PART - firstMs;
    const waitMs = chooseWait(route, spareMs);
    const isRepeat = state.mayHaveRun > 0;
    const repeatBy = clock.now() + route.objectiveMs * REPEAT_WAIT_PART;
    return {
      id,
      service,
      account: account?.name ?? '',
      tier,
      arrivedAt: incoming.arrivedAt,
      startBy: isRepeat ? Math.min(state.deadlineAt, repeatBy) : incoming.arrivedAt + waitMs,
      costMs: board.estimateHoldMs(service, work),
      tokens: (incoming.facts.promptTokens ?? 0) + (incoming.facts.outputTokens ?? 0),
    };
  }

  /** What cannot meet its objective loses nothing more by waiting for a place. */
  function chooseWait({ objectiveMs }: GatewayRoute, spareMs: number): number {
    if (spareMs <= 0) return objectiveMs * LATE_WAIT_PART;
    return Math.max(objectiveMs * LEAST_WAIT_PART, spareMs);
  }

  function sendToServer(state: RequestState, entry: ServerEntry, finishMs: number): void {
    const { incoming, delivery, route, account, work } = state;
    const now = clock.now();
    refusedShare -= refusedShare * REFUSED_STEP;
    const refusal = checkAccessAgain(state);
    if (refusal) {
      permits.release(entry.server.id, state.id);
      finishUnserved(state, refusal);
      return;
    }
    const { server } = entry;
    state.tried.add(server.id);
    log.info(LogEvent.RequestPlaced, {
      request: incoming.facts.requestId,
      route: route.name,
      server: server.id,
      born: server.bornAt,
      version: state.version,
      held: countHeld(entry),
      own: entry.running,
      slots: server.slots,
      expectedMs: Math.round(finishMs),
      waitedMs: Math.round(now - incoming.arrivedAt),
      attempt: state.sent + 1,
    });
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

  /** A key or a route may have been taken away while the request waited. */
  function checkAccessAgain(state: RequestState): Failure | undefined {
    const { account, incoming, version } = state;
    if (!account) return undefined;
    if (!options.areKeysFresh()) {
      return { kind: ErrorKind.PlatformUnavailable, retryAfterMs: OUTAGE_RETRY_MS };
    }
    const view = options.getView()!;
    if (view.configuration.version === version) return undefined;
    const isKept = view.accounts.get(incoming.facts.apiKey ?? '')?.name === account.name;
    return isKept ? undefined : { kind: ErrorKind.Unauthenticated };
  }

  function chooseSilence({ route, sent }: RequestState): number {
    if (route.repeat === Repeat.Never || sent + 1 >= route.attempts) return 0;
    const first = route.objectiveMs * SILENT_OBJECTIVES;
    const between = route.streamed ? route.pauseMs * SILENT_PAUSES : 0;
    return Math.max(LEAST_SILENCE_MS, first, between);
  }

  function handleResult(state: RequestState, entry: ServerEntry, result: AttemptResult): void {
    const now = clock.now();
    if (result.kind === 'delivered') {
      board.recordSuccess(entry);
      finish(state, String(result.status));
      return;
    }
    if (result.kind === 'answer' && !isRepeatableAnswer(state, result.status)) {
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
      log.info(LogEvent.RequestRepeated, {
        request: state.incoming.facts.requestId,
        from: entry.server.id,
        reason: state.lastReason,
        after: state.lastEventId,
      });
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
        log.warn(LogEvent.ServerEjected, {
          server: entry.server.id,
          reason: result.reason,
          failures: entry.failuresInRow,
          forMs: Math.round(entry.ejectedUntil - now),
        });
      }
    }
    log.info(LogEvent.AttemptFailed, {
      request: state.incoming.facts.requestId,
      server: entry.server.id,
      result: result.kind,
      reason: state.lastReason,
      begun: state.delivery.hasBegun(),
    });
  }

  /** A failure of the backend server is worth a repeat only where one is allowed. */
  function isRepeatableAnswer({ route, sent }: RequestState, status: number): boolean {
    return status >= 500 && route.repeat !== Repeat.Never && sent < route.attempts;
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
      refusedShare += (1 - refusedShare) * REFUSED_STEP;
      refuse(state, refusal);
    } else if (fallback && !delivery.hasBegun()) {
      delivery.answer(fallback.status, fallback.headers, fallback.body);
      finish(state, String(fallback.status));
    } else {
      fail(state, { kind: ErrorKind.OutcomeUnknown });
    }
  }

  function refuse(state: RequestState, failure: Failure): void {
    recordRefusal(state.incoming.facts.requestId, failure, {
      route: state.route.name,
      account: state.account?.name,
      version: state.version,
      waitedMs: Math.round(clock.now() - state.incoming.arrivedAt),
      waiting: line.count(state.service),
      last: state.lastReason,
    });
    if (state.account && state.units > 0) {
      limits.refund(clock.now(), state.account.name, state.units);
    }
    state.delivery.fail(failure);
    finish(state, failure.kind, false);
  }

  function fail(state: RequestState, failure: Failure): void {
    log.info(LogEvent.RequestFailed, {
      request: state.incoming.facts.requestId,
      error: failure.kind,
      reason: state.lastReason,
      sent: state.sent,
      begun: state.delivery.hasBegun(),
      totalMs: Math.round(clock.now() - state.incoming.arrivedAt),
    });
    state.delivery.fail(failure);
    finish(state, failure.kind, false);
  }

  function recordRefusal(request: string, failure: Failure, fields: LogFields): void {
    log.info(LogEvent.RequestRefused, {
      request,
      error: failure.kind,
      retryAfterMs: failure.retryAfterMs && Math.round(failure.retryAfterMs),
      ...fields,
    });
  }

  function finish(state: RequestState, outcome: string, logged = true): void {
    state.stopDeadline();
    releaseAsks(state);
    open.delete(state.id);
    const totalMs = clock.now() - state.incoming.arrivedAt;
    if (logged) {
      log.info(LogEvent.RequestFinished, {
        request: state.incoming.facts.requestId,
        status: outcome,
        sent: state.sent,
        totalMs: Math.round(totalMs),
      });
    }
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
    log.info(LogEvent.RequestAbandoned, {
      request: state.incoming.facts.requestId,
      sent: state.sent,
      totalMs: Math.round(clock.now() - state.incoming.arrivedAt),
    });
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

  /**
   * Returns when a refused caller should come back. While much is refused, an early return would
   * only be refused again: callers come back as late as they can wait, spread over time.
   */
  function drawRetryMs(state: RequestState, waitMs: number): number {
    const leftMs = state.incoming.arrivedAt + (state.incoming.facts.deadlineMs ?? 0) - clock.now();
    const overload = Math.min(1, refusedShare / OVERLOAD_SHARE);
    const latestMs = Math.max(0, leftMs) * RETRY_TIME_PART;
    const baseMs = Math.max(LEAST_RETRY_MS, waitMs, latestMs * overload);
    return Math.min(baseMs, Math.max(LEAST_RETRY_MS, latestMs)) * (1 - drawRandom() * RETRY_SPREAD);
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

function describeWork(route: GatewayRoute, facts: CallerFacts, tokensPerEvent: number): PlacedWork {
  if (!route.streamed) return { promptTokens: 0, events: 0 };
  const most = facts.outputTokens ?? 0;
  const tokens = facts.expectedTokens ?? most * EXPECTED_OUTPUT_PART;
  return {
    promptTokens: facts.promptTokens ?? 0,
    events: Math.max(1, Math.min(tokens, most || tokens) / tokensPerEvent),
  };
}
