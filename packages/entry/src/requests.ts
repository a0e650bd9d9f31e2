/**
 * The task that owns every accepted request from acceptance to its final answer. It reserves a
 * queue place at candidate agents, grants one claim at a time, sends the body with the grant and
 * relays the answer in order. A request is placed again only after the granted agent has reported
 * that the backend call never started.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { createTask } from '@masticbend/kernel/task';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type {
  ClaimMessage,
  QueuedMessage,
  RefusedMessage,
  ReturnedMessage,
  WorkDescription,
} from '@masticbend/protocol/call-message';
import { type Message } from '@masticbend/protocol/message';
import { AgentOutcome, MIN_INITIAL_CANDIDATES, type Router } from '@masticbend/scheduling/router';
import { receiveAnswerMessage } from './answer.js';
import { createBodySender } from './body-sender.js';
import {
  chooseRefusal,
  computeTimeoutAt,
  createRequestState,
  describeRequest,
  isAwaitingCaller,
  isFinalRefusal,
  type ActiveGrant,
  type PlacedRequest,
  type RequestBounds,
  type RequestResult,
  type RequestState,
} from './request-state.js';

/** Replaces the body of a request that will not be placed again. */
const EMPTY_BODY = Buffer.alloc(0);

/** How a request ended, apart from what is known of it before. */
type RequestEnd = Omit<RequestResult, 'id' | 'work' | 'totalMs'>;

/** An event of the requests task. */
export type RequestEvent =
  | { kind: 'place'; request: PlacedRequest }
  | { kind: 'message'; agent: string; message: Message }
  | { kind: 'agent-open'; agent: string }
  | { kind: 'agent-gone'; agent: string }
  /** The agent sends nothing; what it was granted may go on there. */
  | { kind: 'agent-silent'; agent: string }
  | { kind: 'abort'; id: string };

/** Dependencies of the requests task. */
export interface RequestsOptions {
  clock: Clock;
  log: Logger;
  router: Router;
  bounds: RequestBounds;
  send: (agent: string, message: Message) => boolean;
  /** Returns the bytes buffered for sending to an agent. */
  countBufferedBytes: (agent: string) => number;
  /** Takes one retry from the retry budget; returns false if the budget is used up. */
  tryTakeRetry: (now: number) => boolean;
  /** Called once for each request, when it has ended. */
  onResult: (result: RequestResult) => void;
}

/** Handle of the requests task. */
export interface Requests {
  send: (event: RequestEvent) => boolean;
  /** Returns the number of requests accepted and not yet answered. */
  countOpen: () => number;
  /** Returns the number of open requests with a reservation or the active grant at an agent. */
  countOpenAt: (agent: string) => number;
  stop: () => void;
  dump: () => unknown;
}

/** Starts the requests task. */
export function createRequests(options: RequestsOptions): Requests {
  const { clock, log, router, bounds, send, tryTakeRetry, onResult } = options;
  const requests = new Map<string, RequestState>();
  const sendBody = createBodySender(options, bounds.maxBufferedBytes);
  const task = createTask<RequestEvent>('requests', handleEvent);

  function handleEvent(event: RequestEvent): void {
    if (event.kind === 'place') place(event.request);
    else if (event.kind === 'message') handleMessage(event.agent, event.message);
    else if (event.kind === 'agent-open') handleAgentOpen(event.agent);
    else if (event.kind === 'agent-gone') handleAgentGone(event.agent);
    else if (event.kind === 'agent-silent') handleAgentSilent(event.agent);
    else abort(event.id);
  }

  function place(request: PlacedRequest): void {
    const state = createRequestState(clock.now(), request);
    const expire = () => fail(state, { kind: ErrorKind.DeadlineExceeded });
    state.stopTimer = clock.startTimer(request.work.deadlineMs, expire);
    requests.set(request.id, state);
    reserve(state);
  }

  /**
   * Sends reservations to the next candidates until at least one has been sent. Fails the request
   * with its best refusal once no candidate is left.
   */
  function reserve(state: RequestState): void {
    const now = clock.now();
    const work = { ...state.work, deadlineMs: state.deadlineAt - now };
    if (work.deadlineMs <= 0) {
      fail(state, { kind: ErrorKind.DeadlineExceeded });
      return;
    }
    while (state.reserved.size === 0) {
      const candidates = router.chooseCandidates(now, work, state.tried);
      if (candidates.length === 0) break;
      for (const agent of candidates) reserveAt(state, agent, work);
    }
    if (state.reserved.size > 0) return;
    fail(state, state.bestRefusal ?? { kind: ErrorKind.NoBackendServer });
  }

  function reserveAt(state: RequestState, agent: string, work: WorkDescription): void {
    state.tried.add(agent);
    const sent = send(agent, { kind: 'reserve', request: state.id, work, displace: true });
    if (sent) state.reserved.add(agent);
  }

  function handleMessage(agent: string, message: Message): void {
    if (!('request' in message)) return;
    const state = requests.get(message.request);
    if (message.kind === 'claim') handleClaim(state, agent, message);
    else if (!state) abortUnknownRequest(agent, message);
    else if (message.kind === 'refused') handleRefused(state, agent, message);
    else if (message.kind === 'queued') handleQueued(state, agent, message);
    else if (state.grant?.agent === agent) handleGranted(state, state.grant, message);
  }

  function abortUnknownRequest(agent: string, message: Message): void {
    if (message.kind !== 'started' && message.kind !== 'head') return;
    send(agent, { kind: 'abort', request: message.request });
  }

  function handleClaim(state: RequestState | undefined, agent: string, message: ClaimMessage) {
    const { request, claim } = message;
    const now = clock.now();
    if (!state || state.grant || !state.reserved.has(agent) || now >= state.deadlineAt) {
      send(agent, { kind: 'deny', request, claim });
      return;
    }
    state.grant = { agent, claim, started: false, lastProgressAt: now };
    state.grantCount += 1;
    state.reserved.delete(agent);
    cancelReservations(state);
    state.stopTimer();
    checkProgress(state);
    const call = { ...state.call };
    if (call.idempotency) {
      call.idempotency = { ...call.idempotency, attempt: `${state.id}.${state.grantCount}` };
    }
    send(agent, { kind: 'grant', request, claim, deadlineMs: state.deadlineAt - now, call });
    const { grant } = state;
    sendBody(state, agent, () => requests.get(request) === state && state.grant === grant);
  }

  /** Fails a granted request whose agent or caller has made no progress within its timeout. */
  function checkProgress(state: RequestState): void {
    const grant = state.grant!;
    const now = clock.now();
    const timeoutAt = computeTimeoutAt(state, grant, bounds);
    if (now < timeoutAt) {
      const waitMs = Math.min(timeoutAt - now, bounds.agentTimeoutMs);
      state.stopTimer = clock.startTimer(waitMs, () => checkProgress(state));
      return;
    }
    if (!isAwaitingCaller(state)) router.recordOutcome(now, grant.agent, AgentOutcome.NoResponse);
    abortGrant(state);
    fail(state, { kind: ErrorKind.OutcomeUnknown });
  }

  function handleQueued(state: RequestState, agent: string, message: QueuedMessage): void {
    router.recordQueued(clock.now(), agent, state.work.tier, message.startDelayMs);
    if (state.reserved.has(agent)) state.queued.add(agent);
  }

  function handleRefused(state: RequestState, agent: string, message: RefusedMessage): void {
    if (!state.reserved.delete(agent)) return;
    const wasDisplaced = state.queued.delete(agent);
    router.recordOutcome(clock.now(), agent, AgentOutcome.Refused);
    if (isFinalRefusal(message.failure)) {
      fail(state, message.failure);
      return;
    }
    state.bestRefusal = chooseRefusal(state.bestRefusal, message.failure);
    if (state.reserved.size > 0) return;
    if (wasDisplaced && state.passCount < bounds.maxPasses) startPass(state, agent);
    reserve(state);
  }

  function startPass(state: RequestState, excludedAgent: string): void {
    state.passCount += 1;
    state.tried = new Set([excludedAgent]);
    delete state.bestRefusal;
  }

  function handleGranted(state: RequestState, grant: ActiveGrant, message: Message): void {
    grant.lastProgressAt = clock.now();
    if (message.kind === 'started') {
      grant.started = true;
      state.body = EMPTY_BODY;
    } else if (message.kind === 'returned') {
      handleReturned(state, grant, message);
    } else {
      receiveAnswer(state, grant, message);
    }
  }

  function handleReturned(state: RequestState, grant: ActiveGrant, message: ReturnedMessage): void {
    if (message.claim !== grant.claim) return;
    const { agent, started } = grant;
    if (started || state.answer.status !== undefined) {
      fail(state, { kind: ErrorKind.OutcomeUnknown });
      return;
    }
    delete state.grant;
    router.recordOutcome(clock.now(), agent, AgentOutcome.Refused);
    state.stopTimer();
    const { failure } = message;
    const mayRetry = state.grantCount < bounds.maxGrants && !isFinalRefusal(failure);
    if (!mayRetry || !tryTakeRetry(clock.now())) {
      fail(state, failure);
      return;
    }
    const expire = () => fail(state, { kind: ErrorKind.DeadlineExceeded });
    state.stopTimer = clock.startTimer(state.deadlineAt - clock.now(), expire);
    state.tried.delete(agent);
    state.bestRefusal = failure;
    reserve(state);
  }

  function receiveAnswer(state: RequestState, grant: ActiveGrant, message: Message): void {
    const { id, answer, sink } = state;
    const progress = receiveAnswerMessage(answer, sink, message, (credit) => {
      grant.lastProgressAt = clock.now();
      if (credit > 0) send(grant.agent, { kind: 'credit', request: id, bytes: credit });
    });
    if (progress.kind === 'complete') {
      router.recordOutcome(
        clock.now(),
        grant.agent,
        AgentOutcome.Completed,
        progress.usage.totalMs,
      );
      finish(state, { usage: progress.usage, status: answer.status! });
      sink.onEnd(progress.usage);
    } else if (progress.kind === 'failed') {
      router.recordOutcome(clock.now(), grant.agent, AgentOutcome.Failed);
      if (message.kind !== 'failed') abortGrant(state);
      fail(state, progress.failure);
    }
  }

  function handleAgentOpen(agent: string): void {
    for (const state of [...requests.values()]) {
      state.tried.delete(agent);
      if (!state.grant && state.reserved.size < MIN_INITIAL_CANDIDATES) tryReserve(state, agent);
    }
  }

  function tryReserve(state: RequestState, agent: string): void {
    const now = clock.now();
    const work = { ...state.work, deadlineMs: state.deadlineAt - now };
    const candidates = router.chooseCandidates(now, work, state.tried);
    if (work.deadlineMs > 0 && candidates.includes(agent)) reserveAt(state, agent, work);
  }

  function handleAgentGone(agent: string): void {
    for (const state of [...requests.values()]) {
      if (state.grant?.agent === agent) {
        router.recordOutcome(clock.now(), agent, AgentOutcome.NoResponse);
        fail(state, { kind: ErrorKind.OutcomeUnknown });
      } else {
        dropReservation(state, agent);
      }
    }
  }

  function handleAgentSilent(agent: string): void {
    for (const state of [...requests.values()]) {
      if (state.reserved.has(agent)) send(agent, { kind: 'cancel', request: state.id });
      dropReservation(state, agent);
    }
  }

  /** Withdraws a request from an agent, and places it elsewhere if it waits nowhere else. */
  function dropReservation(state: RequestState, agent: string): void {
    state.queued.delete(agent);
    if (state.reserved.delete(agent) && state.reserved.size === 0) reserve(state);
  }

  function abort(id: string): void {
    const state = requests.get(id);
    if (!state) return;
    abortGrant(state);
    finish(state, {});
  }

  function abortGrant(state: RequestState): void {
    if (state.grant) send(state.grant.agent, { kind: 'abort', request: state.id });
  }

  function fail(state: RequestState, failure: Failure): void {
    if (!requests.has(state.id)) return;
    finish(state, { failure });
    state.sink.onFailure(failure);
  }

  function finish(state: RequestState, result: RequestEnd): void {
    const { id, work, acceptedAt } = state;
    state.stopTimer();
    cancelReservations(state);
    requests.delete(id);
    const totalMs = clock.now() - acceptedAt;
    writeClosingLine(id, Math.round(totalMs), result);
    onResult({ id, work, totalMs, ...result });
  }

  /** A request without a failure or an answer was abandoned by its caller. */
  function writeClosingLine(request: string, totalMs: number, result: RequestEnd): void {
    const { failure, status } = result;
    if (failure) log.info(LogEvent.RequestFailed, { request, error: failure.kind, totalMs });
    else if (status !== undefined) log.info(LogEvent.RequestFinished, { request, status, totalMs });
    else log.info(LogEvent.RequestAbandoned, { request, totalMs });
  }

  function cancelReservations(state: RequestState): void {
    for (const agent of state.reserved) send(agent, { kind: 'cancel', request: state.id });
    state.reserved.clear();
    state.queued.clear();
  }

  return {
    send: task.send,
    countOpen: () => requests.size,
    countOpenAt: (agent) =>
      [...requests.values()].filter(
        ({ grant, reserved }) => grant?.agent === agent || reserved.has(agent),
      ).length,
    stop: task.stop,
    dump: () => [...requests.values()].map(describeRequest),
  };
}
