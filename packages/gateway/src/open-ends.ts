/**
 * Decides whether an answer without a length is complete where its connection ends regularly. A
 * crash of the server ends a connection as regularly, and all its other ones in the same moment: a
 * server that has none left is dialled.
 */
import type { BackendServer } from '@masticbend/settings/routing';

/** Time in which the ends of a server's other connections arrive, in milliseconds. */
const SETTLING_MS = 50;

/** Dependencies of the decision. */
export interface OpenEndsOptions {
  /** Returns the number of open connections of this entry to the server. */
  countConnections: (server: BackendServer) => number;
  /** Calls `onResult` with whether the server refuses connections. */
  probe: (server: BackendServer, onResult: (isRefused: boolean) => void) => void;
  /** Returns whether an entry has found that the server crashed. */
  isCrashed: (server: BackendServer) => boolean;
  startTimer: (delayMs: number, run: () => void) => void;
}

/** Calls `onResult` with whether an answer is complete that has ended with its connection. */
export type CheckOpenEnd = (server: BackendServer, onResult: (isComplete: boolean) => void) => void;

/** Returns the decision of one entry. */
export function createOpenEndCheck(options: OpenEndsOptions): CheckOpenEnd {
  const { countConnections, probe, isCrashed, startTimer } = options;

  return (server, onResult) => {
    startTimer(SETTLING_MS, () => {
      if (isCrashed(server)) onResult(false);
      else if (countConnections(server) > 0) onResult(true);
      else probe(server, (isRefused) => onResult(!isRefused && !isCrashed(server)));
    });
  };
}
