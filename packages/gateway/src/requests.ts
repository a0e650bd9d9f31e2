/**
 * Lifecycle of the requests of one entry, from arrival to the final answer: authentication, account
 * limits, placement on a backend server or in the request queue, and the handling of failed
 * attempts.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type { Logger } from '@masticbend/kernel/log';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { formatBoundedId } from '@masticbend/scheduling/bounded-id';
import type { RepeatBudget } from '@masticbend/scheduling/repeat-budget';
import { createRetryAdvisor } from '@masticbend/scheduling/retry-advisor';
import { createRetryDetector } from '@masticbend/scheduling/retry-detector';
import type { PacedServers } from '@masticbend/scheduling/paced-servers';
import type { ServerPool } from '@masticbend/scheduling/server-pool';
import type { ServerEntry } from '@masticbend/scheduling/server-entry';
import type { ServiceDemand } from '@masticbend/scheduling/service-demand';
import type { SharedLimits } from '@masticbend/scheduling/shared-limit';
import type { RequestQueue } from '@masticbend/scheduling/request-queue';
import { checkAccess, type KeyFreshnessCheck } from './access.js';
import { createAttemptResultHandler } from './attempt-results.js';
import type { BackendClient } from './backend-client.js';
import type { RequestEnds } from './caller-connection.js';
import { findClosedAgents } from './closed-ranks.js';
import type { ConfigurationView } from './configuration-view.js';
import { createCrashGuard, type CrashGuardOptions } from './crash-guard.js';
import type { CrashWatch, SentRequest } from './crash-watch.js';
import type { Delivery } from './delivery.js';
import { createDispatch } from './dispatch.js';
import type { PermitClient } from './permit-client.js';
import { createPlacement, type Placement, type PlacementOptions } from './placement.js';
import { isRepeatAllowed } from './repeat.js';
import type { RankRequest } from './ranking.js';
import { createRequestAccess } from './request-access.js';
import { createRequestLog } from './request-log.js';
import {
  createRequestState,
  describeOutcome,
  type IncomingRequest,
  type RequestOutcome,
  type RequestState,
  type RunningAttempt,
} from './request-state.js';
import type { ServerNotices } from './server-notices.js';
import type { RequestRollouts } from './rollout-gate.js';
import { createSilentAttempts } from './silent-attempts.js';
import { createTakenUpStreams, isTakenUp, type TakenUpStreamsOptions } from './taken-up-streams.js';
import { createUnservedRequests, STOPPED, TOO_MANY_BYTES } from './unserved-requests.js';

/** Margin after the deadline in which a backend server's own answer is still delivered. */
const DEADLINE_MARGIN_MS = 40;
/** Dependencies of the request handling. */
export interface RequestsOptions extends TakenUpStreamsOptions {
  clock: Clock;
  log: Logger;
  drawRandom: () => number;
  client: BackendClient;
  serverPool: ServerPool;
  requestQueue: RequestQueue;
  limits: SharedLimits;
  demand: Pick<ServiceDemand, 'recordRequest'>;
  repeatBudget: RepeatBudget;
  /** Undefined where paces are off. */
  paces?: PacedServers;
  permits: Pick<
    PermitClient,
    'findLoad' | 'requestPermit' | 'reportFirstOutput' | 'release' | 'addRunning'
  >;
  crashWatch: CrashGuardOptions['crashWatch'] &
    Pick<
      CrashWatch,
      'recordOutput' | 'checkEmptyEnd' | 'checkOpenEnd' | 'recordAnswer' | 'recordLoss' | 'cancel'
    >;
  /** Called with what a backend server says about itself in an answer. */
  onNotice: ServerNotices['handleAnswer'];
  getView: () => ConfigurationView | undefined;
  areKeysFresh: KeyFreshnessCheck;
  rankRequest: RankRequest;
  /** Callers that are refused together get different times to return. */
  spreadsReturns: boolean;
  /** Returns whether a stream that callers can take up may begin at this software version. */
  isVersionRecorded: (service: string, version: string) => boolean;
  /** Undefined where the deployment has no rollouts. */
  rollouts?: RequestRollouts;
  findMemory?: PlacementOptions['findMemory'];
  /** The pause objectives of routes count in the choice of servers. */
  avoidsPauses?: boolean;
  /** Ranks without a prospect of slots are closed; undefined where that is off. */
  earlyRefusals?: { findClosedRank: PermitClient['findClosedRank'] };
  /** Returns the number of instances that share the slots. */
  countInstances: () => number;
  recordOutcome: (outcome: RequestOutcome) => void;
  /** Called when a complete answer had a pause above the objective of its route. */
  recordLongPause: (route: string) => void;
  /** Called when an attempt at a backend server has ended; `result` is the kind of its result. */
  recordAttempt: (server: string, result: string) => void;
}

/** Request handling of one entry. */
export interface Requests {
  /**
   * Accepts a request; `createDelivery` wraps its response and gets what ends the request before
   * its answer does.
   */
  accept: (incoming: IncomingRequest, createDelivery: (ends: RequestEnds) => Delivery) => void;
  /** Sends queued requests to slots that became free. */
  sendWaiting: () => void;
  /** Ends open requests that are blocked now, unless their attempts may go on. */
  abortBlocked: () => void;
  /** Attempts that have not ended. */
  listSent: () => SentRequest[];
  /** Counts the attempts in progress at a service's servers of other versions than `version`. */
  countElsewhere: (service: string, version: string) => number;
  /** Handlers of the agents' answers. */
  agentEvents: Placement['agentEvents'];
  countOpen: () => number;
  dump: () => unknown;
  /** The process stops at a time; requests that probably end later are not sent any more. */
  beginStop: (stopAt: number) => void;
  /** Refuses new requests and those that no server has got, and sends nothing more. */
  refuseUnsent: () => void;
  /** Ends all open requests and refuses new ones. */
  stopOpen: () => void;
  stop: () => void;
}

/** Returns the request handling of an entry without open requests. */
export function createRequests(options: RequestsOptions): Requests {
  const { clock, drawRandom, serverPool, requestQueue, repeatBudget, permits } = options;
  const { crashWatch } = options;
  const openRequests = new Map<string, RequestState>();
  let nextNumber = 1;
  /** Nothing more is accepted or sent. */
  let isStopped = false;
  /** Time at which the process stops. */
  let stopAt = Infinity;
  const retryAdvisor = createRetryAdvisor(drawRandom);
  const callerRetryDetector = createRetryDetector();
  const requestLog = createRequestLog(clock, options.log);
  const access = createRequestAccess({ ...options, drawRetryMs });
  const placement = createPlacement({
    ...options,
    findOpenRequest: (id) => openRequests.get(id),
    drawRetryMs,
    send: sendToServer,
    refuse: finishPlacing,
    reportsUnplaced: options.earlyRefusals !== undefined,
  });

  const guard = createCrashGuard({
    crashWatch,
    withdraw: placement.withdraw,
    stopAttempt,
    refuse,
    fail,
  });
  const takenUpStreams = createTakenUpStreams(options);
  const unserved = createUnservedRequests({
    sendWaiting: placement.sendWaiting,
    stopAttempts,
    refuse,
    fail,
    finishWithFallback,
  });
  const silentAttempts = createSilentAttempts({
    clock,
    serverPool,
    placement,
    requestLog,
    tryTakeRepeat,
    stopOtherAttempts,
    finishWithFallback,
  });
  const handleResult = createAttemptResultHandler({
    ...options,
    guard,
    placement,
    silentAttempts,
    requestLog,
    unserved,
    tryTakeRepeat,
    drawRetryMs,
    stopAttempts,
    finish,
    finishWithoutFurtherAttempt,
  });
  const dispatch = createDispatch({
    ...options,
    onSilent: silentAttempts.handleSilent,
    onResumed: silentAttempts.handleResumed,
    onRelay: stopOtherAttempts,
    onStreamStart: takenUpStreams.recordStart,
    onResult(state, running, result) {
      options.recordAttempt(running.entry.server.id, result.kind);
      handleResult(state, running, result);
      placement.sendWaiting(state.service);
    },
  });

  function accept(
    incoming: IncomingRequest,
    createDelivery: (ends: RequestEnds) => Delivery,
  ): void {
    const view = options.getView();
    let state: RequestState | undefined;
    const delivery = createDelivery({
      abandon: () => state && abortRequest(state),
      refuseUnsent: () => state && refuseUnsent(state),
      wasSent: () => (state?.sentCount ?? 0) > 0,
    });
    const admission = isStopped ? STOPPED : checkAccess(view, incoming, options.areKeysFresh);
    if ('kind' in admission) {
      const failure = scheduleReturn(incoming, admission);
      requestLog.writeDenied(incoming, failure);
      delivery.fail(failure);
      return;
    }
    const id = `${formatBoundedId(incoming.metadata.requestId || 'none')}.${nextNumber}`;
    nextNumber += 1;
    const { deadlineMs = admission.route.timeoutMs } = incoming.metadata;
    const isCallerRetry = callerRetryDetector.recordArrival(admission.route.name, deadlineMs);
    state = createRequestState(
      id,
      incoming,
      delivery,
      admission,
      view!,
      drawRandom,
      isCallerRetry,
      options.rankRequest(admission, isCallerRetry),
    );
    startDeadlineTimer(state);
    openRequests.set(state.id, state);
    // Its time may have passed before it was read.
    if (state.deadlineAt <= clock.now()) {
      unserved.expire(state);
      return;
    }
    if (guard.refuseBlocked(state)) return;
    const limitFailure = access.takeUnits(state);
    if (limitFailure) {
      refuse(state, limitFailure);
      return;
    }
    if (isTakenUp(state)) placeTakenUp(state);
    else placeAdmitted(state);
  }

  /** Keys become stale at all entries together, and all callers are refused at once. */
  function scheduleReturn({ metadata }: IncomingRequest, failure: Failure): Failure {
    const isShared = failure.kind === ErrorKind.PlatformUnavailable;
    if (!options.spreadsReturns || !isShared) return failure;
    const { retryAfterMs = 0 } = failure;
    const leftMs = metadata.deadlineMs ?? 0;
    return { ...failure, retryAfterMs: retryAdvisor.drawOutageRetryMs(retryAfterMs, leftMs) };
  }

  function placeAdmitted(state: RequestState): void {
    repeatBudget.recordRequest(clock.now(), state.service);
    options.demand.recordRequest(clock.now(), state.service);
    placement.place(state);
  }

  /** Places a request among the servers that may continue its stream, or refuses it. */
  function placeTakenUp(state: RequestState): void {
    takenUpStreams.find(state, (stream) => {
      if (!openRequests.has(state.id)) return;
      if (stream.kind === 'origin') {
        state.origin = stream.origin;
        state.service = stream.origin.service;
        placeAdmitted(state);
        return;
      }
      state.lastFailureReason = stream.reason;
      refuse(state, { kind: ErrorKind.NoBackendServer, retryAfterMs: drawRetryMs(state, 0) });
    });
  }

  function startDeadlineTimer(state: RequestState): void {
    const remainingMs = state.deadlineAt - clock.now() + DEADLINE_MARGIN_MS;
    state.stopDeadlineTimer = clock.startTimer(remainingMs, () => handleDeadline(state));
  }

  /** Returns whether a request must not be sent, since the process would stop before its answer. */
  function isTooLate({ sentCount }: RequestState, finishMs: number): boolean {
    return isStopped || (sentCount === 0 && clock.now() + finishMs > stopAt);
  }

  function sendToServer(state: RequestState, entry: ServerEntry, finishMs: number): void {
    retryAdvisor.recordSent();
    const refusal = isTooLate(state, finishMs) ? STOPPED : access.renew(state);
    if (refusal) {
      permits.release(entry.server.id, state.id);
      finishPlacing(state, refusal);
      return;
    }
    if (guard.refuseBlocked(state)) {
      permits.release(entry.server.id, state.id);
      return;
    }
    if (!serverPool.tryTakeFromLimit(clock.now(), entry)) {
      // The permit came after another request had taken this entry's part of the server's limit.
      permits.release(entry.server.id, state.id);
      placement.place(state);
      return;
    }
    guard.recordTrial(state);
    state.sentServers.add(entry.server.id);
    state.triedServers.add(entry.server.id);
    const stage = options.rollouts?.getStage(state.service, entry.server.softwareVersion);
    requestLog.writePlaced(state, entry, finishMs, stage);
    dispatch(state, entry);
  }

  function tryTakeRepeat(state: RequestState): boolean {
    const now = clock.now();
    if (isStopped || !isRepeatAllowed(now, state) || !guard.isRepeatSafe(state)) return false;
    if (state.repeatTakenAt !== undefined) return true;
    if (!repeatBudget.tryTake(now, state.service)) return false;
    state.repeatTakenAt = now;
    return true;
  }

  /** Ends the placement of a request, and the request unless an attempt is still in progress. */
  function finishPlacing(state: RequestState, refusal: Failure): void {
    if (state.attempts.size === 0) finishWithoutFurtherAttempt(state, refusal);
  }

  function finishWithoutFurtherAttempt(state: RequestState, refusal: Failure): void {
    if (state.possibleRuns === 0) retryAdvisor.recordRefused();
    unserved.finish(state, refusal, { kind: ErrorKind.OutcomeUnknown });
  }

  function finishWithFallback(state: RequestState): void {
    const { status, headers, body } = state.fallback!;
    stopAttempts(state);
    state.delivery.answer(status, headers, body);
    finish(state, String(status));
  }

  function abortBlocked(): void {
    for (const state of [...openRequests.values()]) guard.refuseBlocked(state);
    placement.sendAllWaiting();
  }

  function listSent(): SentRequest[] {
    const running = [...openRequests.values()].flatMap(({ attempts }) => [...attempts]);
    return running.map(({ sent }) => sent);
  }

  function countElsewhere(service: string, version: string): number {
    const running = [...openRequests.values()].flatMap(({ attempts }) => [...attempts]);
    return running.filter(
      ({ sent: { server } }) => server.service === service && server.softwareVersion !== version,
    ).length;
  }

  function refuse(state: RequestState, failure: Failure): void {
    const { earlyRefusals } = options;
    const closed =
      earlyRefusals && failure.kind === ErrorKind.Overloaded
        ? findClosedAgents(state, serverPool.listServers(), earlyRefusals.findClosedRank)
        : undefined;
    requestLog.writeRefused(state, failure, requestQueue.count(state.service), closed);
    access.returnUnits(state);
    state.delivery.fail(failure);
    finish(state, failure.kind, false);
  }

  function fail(state: RequestState, failure: Failure): void {
    requestLog.writeFailed(state, failure);
    state.delivery.fail(failure);
    finish(state, failure.kind, false);
  }

  function finish(state: RequestState, outcome: string, isLogged = true): void {
    state.stopDeadlineTimer();
    placement.withdraw(state);
    const { repeatTakenAt, service } = state;
    if (repeatTakenAt !== undefined) repeatBudget.refund(repeatTakenAt, service);
    openRequests.delete(state.id);
    if (isLogged) requestLog.writeFinished(state, outcome);
    options.recordOutcome(describeOutcome(clock.now(), state, outcome));
  }

  function handleDeadline(state: RequestState): void {
    if (openRequests.has(state.id)) unserved.expire(state);
  }

  function abortRequest(state: RequestState): void {
    if (!openRequests.has(state.id)) return;
    const wasSent = state.sentCount > 0;
    stopAttempts(state);
    if (!wasSent) access.returnUnits(state);
    requestLog.writeAbandoned(state);
    state.delivery.fail({ kind: wasSent ? ErrorKind.OutcomeUnknown : ErrorKind.CallerEnded });
    finish(state, 'abandoned', false);
    placement.sendWaiting(state.service);
  }

  function refuseUnsent(state: RequestState): void {
    if (!openRequests.has(state.id) || state.sentCount > 0) return;
    stopAttempts(state);
    refuse(state, TOO_MANY_BYTES);
  }

  function stopAttempts(state: RequestState): void {
    placement.withdraw(state);
    for (const running of [...state.attempts]) stopAttempt(state, running);
  }

  /** Ends all attempts but the one whose answer goes to the caller. */
  function stopOtherAttempts(state: RequestState, relayed: RunningAttempt): void {
    for (const running of [...state.attempts]) {
      if (running !== relayed) stopAttempt(state, running);
    }
  }

  function stopAttempt(state: RequestState, running: RunningAttempt): void {
    state.attempts.delete(running);
    running.attempt.abort();
    if (running.tracked) options.rollouts?.recordStopped(running.tracked);
    crashWatch.cancel(running.sent, running.attempt.wasSent());
    running.releaseSlot();
  }

  function drawRetryMs({ incoming }: RequestState, waitMs: number): number {
    const remainingMs = incoming.arrivedAt + (incoming.metadata.deadlineMs ?? 0) - clock.now();
    return retryAdvisor.drawRetryAfterMs(waitMs, remainingMs);
  }

  return {
    accept,
    sendWaiting: placement.sendAllWaiting,
    abortBlocked,
    listSent,
    countElsewhere,
    agentEvents: placement.agentEvents,
    countOpen: () => openRequests.size,
    dump: () => ({
      open: openRequests.size,
      waiting: Object.fromEntries(
        requestQueue.listServices().map((name) => [name, requestQueue.count(name)]),
      ),
    }),
    beginStop(at) {
      stopAt = at;
    },
    refuseUnsent() {
      isStopped = true;
      const unsent = [...openRequests.values()].filter(({ attempts }) => attempts.size === 0);
      unserved.stop(unsent);
    },
    stopOpen() {
      isStopped = true;
      unserved.stop([...openRequests.values()]);
    },
    stop: placement.stop,
  };
}
