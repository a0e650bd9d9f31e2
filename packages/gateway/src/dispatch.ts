/**
 * Starts attempts and keeps the state of their servers in the server pool up to date: occupied
 * slots, pending prefill work, and the measured times to first output and between events.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type { AttemptEnd, PacedServers } from '@masticbend/scheduling/paced-servers';
import type { PermitOutcome } from '@masticbend/scheduling/permit-queue';
import type { ServerPool } from '@masticbend/scheduling/server-pool';
import { countHeld, type ServerEntry } from '@masticbend/scheduling/server-entry';
import type { BackendServer, ServerNotice } from '@masticbend/settings/routing';
import { Framing, readFraming } from './answer-framing.js';
import { startAttempt } from './attempt.js';
import type { AttemptResult } from './attempt-result.js';
import type { BackendClient } from './backend-client.js';
import { describeSuspected } from './crash-guard.js';
import type { CrashWatch, SentRequest } from './crash-watch.js';
import type { PermitClient } from './permit-client.js';
import type { RequestState, RunningAttempt } from './request-state.js';
import type { RequestRollouts } from './rollout-gate.js';
import { chooseInactivityTimeoutMs } from './request-timing.js';

/** Dependencies of the dispatch. */
export interface DispatchOptions {
  clock: Clock;
  client: BackendClient;
  serverPool: ServerPool;
  /** Undefined where paces are off. */
  paces?: PacedServers;
  permits: Pick<PermitClient, 'findLoad' | 'reportFirstOutput' | 'release' | 'addRunning'>;
  crashWatch: Pick<
    CrashWatch,
    'recordOutput' | 'checkEmptyEnd' | 'checkOpenEnd' | 'recordAnswer' | 'recordLoss' | 'cancel'
  >;
  /** Undefined where the deployment has no rollouts. */
  rollouts?: Pick<RequestRollouts, 'startAttempt' | 'recordSent' | 'recordResult' | 'recordSilent'>;
  /** Called with what a backend server says about itself in an answer. */
  onNotice: (entry: ServerEntry, notice: ServerNotice) => void;
  /** Called when the caller gets the first event of a stream from a server. */
  onStreamStart: (state: RequestState, server: BackendServer) => void;
  /** Called when the server of an attempt is silent, and when it goes on. */
  onSilent: (state: RequestState, running: RunningAttempt) => void;
  onResumed: (state: RequestState, running: RunningAttempt) => void;
  /** Called before a part of the answer goes to the caller. */
  onRelay: (state: RequestState, running: RunningAttempt) => void;
  /** Called when an attempt at a backend server has ended; its slot is free again. */
  onResult: (state: RequestState, running: RunningAttempt, result: AttemptResult) => void;
}

/** Starts an attempt of a request at a server. */
export type Dispatch = (state: RequestState, entry: ServerEntry) => void;

/** Returns a function that starts attempts. */
export function createDispatch(options: DispatchOptions): Dispatch {
  const { clock, client, serverPool, permits, crashWatch, rollouts, paces } = options;

  /** Occupies a slot of the server until `releaseSlot` is called. */
  function takeSlot(state: RequestState, entry: ServerEntry) {
    const { id, work } = state;
    const load = permits.findLoad(entry.server.id);
    const promptKilotokens = serverPool.addRunning(entry, work, load?.pendingTokens);
    // Beyond its slots, an engine begins a request when another ends.
    const hasSlot = (load?.held ?? countHeld(entry)) <= entry.server.slots;
    permits.addRunning(entry.server.id, id);
    let isPrefilling = true;
    const finishPrefill = () => {
      if (isPrefilling) serverPool.removePendingPrompt(entry, work);
      isPrefilling = false;
    };
    const releaseSlot = (outcome?: PermitOutcome) => {
      finishPrefill();
      serverPool.removeRunning(entry);
      permits.release(entry.server.id, id, outcome);
    };
    return { promptKilotokens, hasSlot, finishPrefill, releaseSlot };
  }

  return (state, entry) => {
    const { incoming, delivery, route, account } = state;
    const { server } = entry;
    const startedAt = clock.now();
    const { triedSuspect } = state;
    const sent: SentRequest = { ...describeSuspected(state), server, triedSuspect };
    const { promptKilotokens, hasSlot, finishPrefill, releaseSlot } = takeSlot(state, entry);
    const paced = { sentAt: startedAt, running: entry.running, route: route.name };
    paces?.recordSent(startedAt, entry);
    const running = { entry, startedAt, sent, isSilent: false } as RunningAttempt;
    const tracked = rollouts?.startAttempt(state, server);
    running.tracked = tracked;
    running.releaseSlot = (outcome) => {
      if (running.isSilent) serverPool.removeSilent(entry);
      releaseSlot(outcome);
    };
    state.attempts.add(running);
    running.attempt = startAttempt(
      clock,
      client,
      server,
      {
        requestId: incoming.metadata.requestId,
        method: incoming.method,
        target: incoming.target,
        rawHeaders: incoming.rawHeaders,
        body: incoming.body,
        account: account?.name,
        streamed: route.streamed,
        deadlineMs: state.deadlineAt - startedAt,
        lastEventId: state.lastEventId,
        inactivityTimeoutMs: chooseInactivityTimeoutMs(state),
      },
      delivery,
      {
        onSent() {
          state.sentCount += 1;
          state.repeatTakenAt = undefined;
          state.firstSentAt ??= clock.now();
          if (tracked) rollouts!.recordSent(tracked);
        },
        onNotice: (notice) => options.onNotice(entry, notice),
        onFirstOutput(elapsedMs, status) {
          finishPrefill();
          // The time of a failed answer does not show how fast the server works.
          const isMeasure = !paces || status < 500;
          if (isMeasure) permits.reportFirstOutput(entry.server.id, state.id);
          state.firstByteAt ??= clock.now();
          sent.outputAt = clock.now();
          crashWatch.recordOutput(sent);
          if (!route.streamed || !isMeasure) return;
          paces?.recordOutput(clock.now(), entry, paced, promptKilotokens);
          serverPool.recordFirstEvent(entry, promptKilotokens, elapsedMs);
          if (hasSlot) entry.eventTimes?.recordFirstEvent(promptKilotokens, elapsedMs);
          options.onStreamStart(state, server);
        },
        onEmptyEnd(onResult) {
          const lastEventId = state.lastEventId ?? incoming.metadata.lastEventId;
          crashWatch.checkEmptyEnd(server, lastEventId, onResult);
        },
        onOpenEnd: (onResult) => crashWatch.checkOpenEnd(server, onResult),
        onEventInterval(intervalMs, isHeldBack) {
          serverPool.recordEventInterval(entry, intervalMs);
          if (!isHeldBack) entry.eventTimes?.recordInterval(clock.now(), intervalMs);
        },
        onSilent() {
          if (tracked) rollouts!.recordSilent(tracked);
          options.onSilent(state, running);
        },
        onResumed: () => options.onResumed(state, running),
        onRelay(lastEventId) {
          state.lastEventId = lastEventId;
          options.onRelay(state, running);
        },
        onResult(result) {
          const now = clock.now();
          const end = classifyEnd(result);
          running.releaseSlot(end && paces?.recordEnd(now, entry, paced, end));
          state.attempts.delete(running);
          if (tracked) rollouts!.recordResult(tracked, result);
          if (result.kind === 'broken' && result.isConnectionLost) crashWatch.recordLoss(sent);
          else if (isSuccess(result)) crashWatch.recordAnswer(sent, isFramed(result));
          else crashWatch.cancel(sent, result.kind === 'broken');
          const isMeasure = !paces || end === 'answered';
          if (!route.streamed && result.kind === 'answer' && isMeasure) {
            serverPool.recordAnswerTime(entry, now - startedAt);
            paces?.recordOutput(now, entry, paced, 1);
          }
          options.onResult(state, running, result);
        },
      },
    );
  };
}

/** Returns how an attempt ended for the pace of its server; undefined if that shows nothing. */
function classifyEnd(result: AttemptResult): AttemptEnd | undefined {
  if (result.kind === 'unsendable') return undefined;
  if (result.kind === 'not-run') return 'refused';
  if (result.kind === 'unsent' || result.kind === 'broken') return 'no-response';
  return result.status < 500 ? 'answered' : 'error';
}

/** Returns whether the end of an answer is known apart from that of its connection. */
function isFramed(result: AttemptResult): boolean {
  if (result.kind === 'answer') return readFraming(result.headers) !== Framing.Connection;
  return result.kind === 'delivered' && result.stream?.framing !== Framing.Connection;
}

/** Returns whether a server has answered completely and reports success. */
function isSuccess(result: AttemptResult): boolean {
  const isComplete = result.kind === 'delivered' || result.kind === 'answer';
  return isComplete && result.status < 300;
}
