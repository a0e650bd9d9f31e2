/** How an attempt of a request at a backend server has ended. */
import type { HeaderMap } from '@masticbend/platform/ingress';
import type { Framing } from './answer-framing.js';

/** How an event stream was framed, and how far it was relayed. */
export interface StreamTrace {
  framing: Framing;
  /** Complete events. */
  events: number;
  lastEventId?: string;
  /** Bytes received after the last complete event. */
  tailBytes: number;
  /**
   * Longest time between two reads that completed events, in milliseconds, without those in which
   * the caller did not read.
   */
  maxPauseMs: number;
}

/** Result of an attempt. */
export type AttemptResult =
  /** The complete answer was delivered. */
  | { kind: 'delivered'; status: number; stream?: StreamTrace }
  /** A complete answer, not delivered yet; where it is a failure, the request may be repeated. */
  | { kind: 'answer'; status: number; headers: HeaderMap; body: Buffer }
  /** The request was not written to any connection. */
  | { kind: 'unsent'; reason: string }
  /** No connection can carry the request, whichever server it is for. */
  | { kind: 'unsendable'; reason: string }
  /** The server reports that it did not run the request. */
  | { kind: 'not-run'; status: number }
  /**
   * The request may have run; `lastEventId` is the last event that was delivered. The connection is
   * lost where the server, and not this entry, ended it.
   */
  | {
      kind: 'broken';
      reason: string;
      isConnectionLost: boolean;
      lastEventId?: string;
      stream?: StreamTrace;
    };
