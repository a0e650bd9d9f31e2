/**
 * Task that owns the agent's reservations and granted calls. It passes messages from entries to
 * them in order, expires both at regular intervals, and reports the load to the entries.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { createTask } from '@masticbend/kernel/task';
import { ErrorKind } from '@masticbend/protocol/error';
import type { GrantMessage, ReserveMessage, Usage } from '@masticbend/protocol/call-message';
import type { LoadReport, Message } from '@masticbend/protocol/message';
import type { AgentScheduler } from '@masticbend/scheduling/agent-scheduler';
import { CallOutcome } from './agent-metrics.js';
import { createGrantedCalls, type GrantedCallsOptions } from './granted-calls.js';
import { createLoadReporter } from './load-reporter.js';
import { createReservations, type LeavingReason } from './reservations.js';

/** Interval of the check for expired claims and reservations, and for overdue bodies. */
const EXPIRY_INTERVAL_MS = 20;

/** Events of the dispatcher task. `owner` identifies the connection of an entry. */
export type DispatcherEvent =
  | { kind: 'message'; owner: string; message: Message }
  /** An entry connected; `peers` is the number of agents it is connected to. */
  | { kind: 'open'; owner: string; peers: number }
  /** The connection of an entry closed. */
  | { kind: 'gone'; owner: string }
  | { kind: 'leaving'; reason: LeavingReason; leaving: boolean }
  /** Whether the backend server is ready, from a probe or a failed connection. */
  | { kind: 'health'; ready: boolean }
  /** The set of models or services served here changed. */
  | { kind: 'served' }
  /** A call ended, which frees capacity for the next claim. */
  | { kind: 'room' };

/** Dependencies of the dispatcher. */
export interface DispatcherOptions extends Omit<GrantedCallsOptions, 'observer'> {
  clock: Clock;
  log: Logger;
  scheduler: AgentScheduler;
  onCallEnd: (outcome: CallOutcome, usage?: Usage) => void;
}

/** Running dispatcher task. */
export interface Dispatcher {
  /** Queues an event; returns false when the mailbox is full or the task has stopped. */
  send: (event: DispatcherEvent) => boolean;
  /** Returns the number of calls granted and not yet finished. */
  countOpen: () => number;
  /** Returns whether an open reservation or call needs this model or service. */
  isInUse: (target: string) => boolean;
  report: () => LoadReport;
  stop: () => void;
  dump: () => unknown;
}

/** Starts the dispatcher task. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { clock, log, scheduler, send, onCallEnd } = options;
  const reservations = createReservations(clock, scheduler, send);
  let ready = true;
  const task = createTask<DispatcherEvent>('dispatcher', handleEvent);
  const calls = createGrantedCalls({
    ...options,
    observer: {
      onFirstByte: (request) => scheduler.recordFirstByte(clock.now(), request),
      onFinish(request, usage) {
        scheduler.recordFinish(clock.now(), request, usage);
        finishCall(CallOutcome.Completed, usage);
      },
      onFailure(request) {
        scheduler.recordFailure(clock.now(), request);
        finishCall(CallOutcome.Failed);
      },
      onNotRun(request) {
        scheduler.recordFailure(clock.now(), request);
        finishCall(CallOutcome.NotRun);
      },
      onUnreachable: () => task.send({ kind: 'health', ready: false }),
    },
  });
  let stopExpiry = clock.startTimer(EXPIRY_INTERVAL_MS, expire);
  const reporter = createLoadReporter({
    clock,
    send: (owner, load) => send(owner, { kind: 'load', load }),
    createReport: report,
  });

  function finishCall(outcome: CallOutcome, usage?: Usage): void {
    onCallEnd(outcome, usage);
    task.send({ kind: 'room' });
  }

  function handleEvent(event: DispatcherEvent): void {
    if (event.kind === 'message') handleMessage(event.owner, event.message);
    else if (event.kind === 'open') reporter.addOwner(event.owner, event.peers);
    else if (event.kind === 'gone') handleDisconnect(event.owner);
    else if (event.kind === 'leaving') handleLeaving(event.reason, event.leaving);
    else if (event.kind === 'health') handleHealth(event.ready);
    else if (event.kind === 'served') reporter.sendNow();
    sendClaims();
  }

  function handleMessage(owner: string, message: Message): void {
    if (message.kind === 'reserve') {
      handleReserve(owner, message);
    } else if (message.kind === 'cancel') reservations.cancel(owner, message);
    else if (message.kind === 'deny') reservations.deny(owner, message);
    else if (message.kind === 'grant') handleGrant(owner, message);
    else if (message.kind === 'body') calls.addBody(owner, message);
    else if (message.kind === 'credit') calls.addCredit(owner, message.request, message.bytes);
    else if (message.kind === 'abort') calls.abort(owner, message.request);
  }

  function handleReserve(owner: string, message: ReserveMessage): void {
    const { request } = message;
    if (calls.has(request)) return;
    if (ready) reservations.reserve(owner, message);
    else send(owner, { kind: 'refused', request, failure: { kind: ErrorKind.NoBackendServer } });
  }

  function handleGrant(owner: string, grant: GrantMessage): void {
    const { request, claim } = grant;
    if (calls.has(request)) return;
    const reservation = reservations.grant(owner, grant);
    if (reservation) {
      calls.open(owner, grant, reservation);
      return;
    }
    log.warn(LogEvent.ClaimLapsed, { request, claim });
    send(owner, { kind: 'returned', request, claim, failure: { kind: ErrorKind.Overloaded } });
  }

  function handleDisconnect(owner: string): void {
    reporter.removeOwner(owner);
    reservations.dropOwner(owner);
    calls.dropOwner(owner);
  }

  function handleLeaving(reason: LeavingReason, leaving: boolean): void {
    if (reservations.listLeavingReasons().includes(reason) === leaving) return;
    log.info(LogEvent.LeavingChanged, { reason, leaving });
    reservations.setLeaving(reason, leaving);
    reporter.sendNow();
  }

  function handleHealth(nowReady: boolean): void {
    if (ready === nowReady) return;
    ready = nowReady;
    log.info(LogEvent.BackendStateChanged, { ready });
    if (!ready) reservations.refuseAll({ kind: ErrorKind.NoBackendServer });
    reporter.sendNow();
  }

  function sendClaims(): void {
    if (ready) reservations.sendClaims();
  }

  function report(): LoadReport {
    const load = reservations.report();
    return { ...load, ready: load.ready && ready };
  }

  function expire(): void {
    reservations.expire();
    calls.expire();
    sendClaims();
    stopExpiry = clock.startTimer(EXPIRY_INTERVAL_MS, expire);
  }

  return {
    send: task.send,
    countOpen: calls.count,
    isInUse: (target) => calls.hasTarget(target) || reservations.hasTarget(target),
    report,
    stop() {
      stopExpiry();
      reporter.stop();
      task.stop();
    },
    dump: () => ({
      load: report(),
      leaving: reservations.listLeavingReasons(),
      calls: calls.dump(),
    }),
  };
}
