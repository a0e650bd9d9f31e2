/**
 * Decides whether a stream that is taken up after an event is over where the connection to its
 * server ends regularly before another event. A crash ends a connection as regularly, so the server
 * must still be there some time later. A server that leaves may break off what it runs as it stops.
 */
import type { BackendServer } from '@masticbend/settings/routing';
import { Registration } from './server-losses.js';

/**
 * Times after the end at which the server is dialled: one that crashes may accept connections for a
 * moment, and another incarnation at its address is registered and read within 0.8 s.
 */
const PROBE_AFTER_MS = [0, 50, 250, 1_000];

/** Dependencies of the decision. */
export interface EmptyEndsOptions {
  /** Calls `onResult` with whether the server refuses connections. */
  probe: (server: BackendServer, onResult: (isRefused: boolean) => void) => void;
  getRegistration: (server: BackendServer) => Registration;
  /** Returns whether an entry has found that the server crashed. */
  isCrashed: (server: BackendServer) => boolean;
  startTimer: (delayMs: number, run: () => void) => void;
}

/**
 * Calls `onResult` with whether a stream is over whose server has sent nothing after the event with
 * the given id; a stream from its start never is.
 */
export type CheckEmptyEnd = (
  server: BackendServer,
  lastEventId: string | undefined,
  onResult: (isOver: boolean) => void,
) => void;

/** Returns the decision of one entry. */
export function createEmptyEndCheck(options: EmptyEndsOptions): CheckEmptyEnd {
  function probe(server: BackendServer, onResult: (isOver: boolean) => void, round = 0): void {
    options.probe(server, (isRefused) => {
      const isServing = options.getRegistration(server) === Registration.Serving;
      const isThere = !isRefused && isServing && !options.isCrashed(server);
      const [afterMs, nextMs] = PROBE_AFTER_MS.slice(round, round + 2);
      if (!isThere || nextMs === undefined) onResult(isThere);
      else options.startTimer(nextMs - afterMs!, () => probe(server, onResult, round + 1));
    });
  }

  return (server, lastEventId, onResult) => {
    if (lastEventId === undefined) onResult(false);
    else probe(server, onResult);
  };
}
