/** Log lines about requests: one for each decision, with the values on which it was based. */
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { Failure } from '@masticbend/protocol/error';
import type { EventTimes } from '@masticbend/scheduling/event-times';
import { countHeld, estimateFirstMs, type ServerEntry } from '@masticbend/scheduling/server-entry';
import type { AttemptResult, StreamTrace } from './attempt-result.js';
import type { ClosedAgents } from './closed-ranks.js';
import { getDigest, type IncomingRequest, type RequestState } from './request-state.js';

const MAX_LOGGED_PARTS = 12;

/** Writer of log lines about requests. */
export interface RequestLog {
  /** The request was refused before it was admitted. */
  writeDenied: (incoming: IncomingRequest, failure: Failure) => void;
  /** `stage` is that of an order for the software version of the server. */
  writePlaced: (
    state: RequestState,
    entry: ServerEntry,
    finishMs: number,
    stage: string | undefined,
  ) => void;
  writeAttemptFailed: (state: RequestState, entry: ServerEntry, result: AttemptResult) => void;
  /** The server of an attempt is silent; `isRepeated` tells whether another attempt is placed. */
  writeSilent: (state: RequestState, entry: ServerEntry, isRepeated: boolean) => void;
  writeResumed: (state: RequestState, entry: ServerEntry) => void;
  writeEjected: (entry: ServerEntry, reason: string, now: number) => void;
  writeRepeated: (state: RequestState, from: ServerEntry) => void;
  /** `closed` tells where its rank gets no slots. */
  writeRefused: (
    state: RequestState,
    failure: Failure,
    waiting: number,
    closed: ClosedAgents | undefined,
  ) => void;
  writeFailed: (state: RequestState, failure: Failure) => void;
  writeFinished: (state: RequestState, status: string, stream?: StreamTrace) => void;
  writeAbandoned: (state: RequestState) => void;
}

/** Returns a writer that uses a logger. */
export function createRequestLog(clock: Clock, log: Logger): RequestLog {
  const getTotalMs = ({ incoming }: RequestState) => Math.round(clock.now() - incoming.arrivedAt);

  return {
    writeDenied({ host, target, metadata }, failure) {
      const request = metadata.requestId;
      log.info(LogEvent.RequestRefused, {
        request,
        ...describeFailure(failure),
        host,
        path: target,
      });
    },
    writePlaced(state, entry, finishMs, stage) {
      const { server } = entry;
      log.info(LogEvent.RequestPlaced, {
        request: state.incoming.metadata.requestId,
        route: state.route.name,
        server: server.id,
        born: server.bornAt,
        software: server.softwareVersion,
        rollout: stage,
        version: state.version,
        held: countHeld(entry),
        own: entry.running,
        slots: server.slots,
        expectedMs: Math.round(finishMs),
        expectedFirstMs: Math.round(estimateFirstMs(entry, state.work)),
        promptTokens: state.work.promptTokens,
        ...(entry.eventTimes && describeEventTimes(clock.now(), entry.eventTimes)),
        waitedMs: getTotalMs(state),
        attempt: state.sentCount + 1,
        returned: state.isCallerRetry,
        resumes: state.incoming.metadata.resumes,
        after: state.lastEventId ?? state.incoming.metadata.lastEventId,
      });
    },
    writeAttemptFailed(state, { server }, result) {
      log.info(LogEvent.AttemptFailed, {
        request: state.incoming.metadata.requestId,
        server: server.id,
        result: result.kind,
        reason: state.lastFailureReason,
        begun: state.delivery.hasBegun(),
        prompt: describePrompt(state),
        digest: result.kind === 'broken' && result.isConnectionLost ? getDigest(state) : undefined,
        ...('stream' in result && describeStream(result.stream)),
      });
    },
    writeSilent(state, { server }, isRepeated) {
      log.info(LogEvent.AttemptSilent, {
        request: state.incoming.metadata.requestId,
        server: server.id,
        repeated: isRepeated,
        sent: state.sentCount,
        begun: state.delivery.hasBegun(),
        totalMs: getTotalMs(state),
      });
    },
    writeResumed(state, { server }) {
      log.info(LogEvent.AttemptResumed, {
        request: state.incoming.metadata.requestId,
        server: server.id,
        attempts: state.attempts.size,
        totalMs: getTotalMs(state),
      });
    },
    writeEjected({ server, consecutiveFailures, ejectedUntil }, reason, now) {
      log.warn(LogEvent.ServerEjected, {
        server: server.id,
        reason,
        failures: consecutiveFailures,
        forMs: Math.round(ejectedUntil - now),
      });
    },
    writeRepeated(state, { server }) {
      log.info(LogEvent.RequestRepeated, {
        request: state.incoming.metadata.requestId,
        from: server.id,
        reason: state.lastFailureReason,
        after: state.lastEventId,
      });
    },
    writeRefused(state, failure, waiting, closed) {
      log.info(LogEvent.RequestRefused, {
        request: state.incoming.metadata.requestId,
        ...describeFailure(failure),
        route: state.route.name,
        account: state.account?.name,
        version: state.version,
        waitedMs: getTotalMs(state),
        returned: state.isCallerRetry,
        promptTokens: state.work.promptTokens,
        asks: state.permitRequests,
        expectedWaitMs: state.minRefusedWaitMs && Math.round(state.minRefusedWaitMs),
        waiting,
        closedRank: closed?.rank,
        closedAgents: closed?.count,
        closedPlaced: closed?.placed,
        last: state.lastFailureReason,
      });
    },
    writeFailed(state, failure) {
      log.info(LogEvent.RequestFailed, {
        request: state.incoming.metadata.requestId,
        error: failure.kind,
        reason: state.lastFailureReason,
        sent: state.sentCount,
        begun: state.delivery.hasBegun(),
        totalMs: getTotalMs(state),
      });
    },
    writeFinished(state, status, stream) {
      const request = state.incoming.metadata.requestId;
      const { sentCount: sent, firstByteAt, incoming, lastFailureReason } = state;
      const firstMs = firstByteAt && Math.round(firstByteAt - incoming.arrivedAt);
      const totalMs = getTotalMs(state);
      log.info(LogEvent.RequestFinished, {
        request,
        status,
        sent,
        firstMs,
        totalMs,
        last: lastFailureReason || undefined,
        ...describeStream(stream),
      });
    },
    writeAbandoned(state) {
      const request = state.incoming.metadata.requestId;
      log.info(LogEvent.RequestAbandoned, {
        request,
        sent: state.sentCount,
        totalMs: getTotalMs(state),
      });
    },
  };
}

/** Ids of the prompt's parts, up to `MAX_LOGGED_PARTS`. */
function describePrompt({ incoming }: RequestState): string | undefined {
  const ids = incoming.metadata.prompt.slice(0, MAX_LOGGED_PARTS).map(({ id }) => id);
  return ids.length > 0 ? ids.join(',') : undefined;
}

/** Describes the times by which pauses are predicted, as far as they are known. */
function describeEventTimes(now: number, times: EventTimes) {
  const intervalMs = times.getIntervalMs();
  if (intervalMs === undefined) return {};
  return {
    eventMs: Math.round(intervalMs),
    peakMs: Math.round(times.getPeakMs()),
    slowdown: Number(times.getSlowdown(now).toFixed(1)),
  };
}

function describeStream(stream: StreamTrace | undefined) {
  if (!stream) return undefined;
  const { framing, events, lastEventId, tailBytes, maxPauseMs } = stream;
  return {
    framing,
    events,
    lastEvent: lastEventId,
    tailBytes,
    maxPauseMs: Math.round(maxPauseMs),
  };
}

function describeFailure({ kind, retryAfterMs }: Failure) {
  return { error: kind, retryAfterMs: retryAfterMs && Math.round(retryAfterMs) };
}
