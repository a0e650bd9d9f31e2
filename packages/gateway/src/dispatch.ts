/**
 * Starts attempts, and keeps what is believed of their servers in step: the place held, what is
 * read there, how fast events come.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type { ServerBoard } from '@masticbend/scheduling/server-board';
import type { ServerEntry } from '@masticbend/scheduling/server-entry';
import { startAttempt, type AttemptResult } from './attempt.js';
import type { BackendClient } from './backend-client.js';
import type { PermitClient } from './permit-client.js';
import type { RequestState } from './request-state.js';
import { chooseSilence } from './request-timing.js';

/** What a dispatch needs. */
export interface DispatchOptions {
  clock: Clock;
  client: BackendClient;
  board: ServerBoard;
  permits: Pick<PermitClient, 'release' | 'addRunning'>;
  /** An attempt at a backend server ended; its place is free again. */
  onResult: (state: RequestState, entry: ServerEntry, result: AttemptResult) => void;
}

/** Sends a request to a server. */
export type Dispatch = (state: RequestState, entry: ServerEntry) => void;

/** Returns the start of attempts. */
export function createDispatch(options: DispatchOptions): Dispatch {
  const { clock, client, board, permits, onResult } = options;

  /** Counts the request at its server until its release. */
  function takePlace(state: RequestState, entry: ServerEntry) {
    const { id, work } = state;
    const thousands = board.addRun(entry, work);
    permits.addRunning(entry.server.id, id);
    let reading = true;
    const stopReading = () => {
      if (reading) board.dropReading(entry, work);
      reading = false;
    };
    state.release = () => {
      stopReading();
      board.removeRun(entry);
      permits.release(entry.server.id, id);
    };
    return { thousands, stopReading };
  }

  return (state, entry) => {
    const { incoming, delivery, route, account } = state;
    const startedAt = clock.now();
    const { thousands, stopReading } = takePlace(state, entry);
    state.attempt = startAttempt(
      clock,
      client,
      entry.server,
      {
        requestId: incoming.facts.requestId,
        method: incoming.method,
        target: incoming.target,
        rawHeaders: incoming.rawHeaders,
        body: incoming.body,
        account: account?.name,
        streamed: route.streamed,
        deadlineMs: state.deadlineAt - startedAt,
        lastEventId: state.lastEventId,
        silenceMs: chooseSilence(state),
      },
      delivery,
      {
        onSent() {
          state.sent += 1;
          state.sentAt ??= clock.now();
        },
        onFirst(elapsedMs) {
          stopReading();
          state.firstByteAt ??= clock.now();
          if (route.streamed) board.recordFirst(entry, thousands, elapsedMs);
        },
        onPace: (intervalMs) => board.recordPace(entry, intervalMs),
        onResult(result) {
          state.release();
          state.attempt = undefined;
          if (!route.streamed && result.kind === 'answer') {
            board.recordWork(entry, clock.now() - startedAt);
          }
          onResult(state, entry, result);
        },
      },
    );
  };
}
