/**
 * How long connections wait until they are accepted, for a process that may be short of processor
 * time. An event loop accepts one connection in a turn, so that a queue builds up where turns are
 * long, and nothing shows since when an accepted connection was open.
 *
 * The queue is served in the order of arrival. A turn without a connection shows that it was empty.
 * Where connections have come in every turn for a while, probes are opened to the own port: what is
 * accepted before a probe was opened before it.
 */

/** Time of turns with a connection each after which some of them may wait. */
const RUN_MS = 100;
/** Interval of the probes, and the greatest error of a wait. */
const PROBE_INTERVAL_MS = 200;
/** How far a process is behind with the connections that wait. */
export const Backlog = { None: 'none', Late: 'late', Excessive: 'excessive' } as const;
export type Backlog = (typeof Backlog)[keyof typeof Backlog];

/**
 * Waits from which connections are late, and from which they are too many to be served. Callers
 * give up requests that are not read within a third of their time or a second.
 */
const LATE_MS = 300;
const EXCESSIVE_MS = 1_000;
/** Wait below which a process has caught up. */
const CAUGHT_UP_MS = 100;

/** Waits of one listening socket. Times are in milliseconds. */
export interface AcceptWait {
  /** A connection was accepted in a turn of the event loop, given by its number. */
  recordAccepted: (now: number, turn: number) => void;
  /** The event loop has reached a turn; none waits if an earlier one had no connection. */
  recordTurn: (turn: number) => void;
  /** Returns whether a probe should be opened now. */
  isProbeDue: (now: number) => boolean;
  /** A probe waits to be accepted. */
  recordProbeOpened: (now: number) => void;
  /** The probe that was opened at this time, and so all before it, was accepted or has failed. */
  recordProbeEnded: (openedAt: number) => void;
  /** Returns the time that a connection which is accepted now has waited at least. */
  getWaitMs: (now: number) => number;
  /** Returns how far the process is behind; it stays so until it has caught up. */
  updateBacklog: (now: number) => Backlog;
}

/** Returns the waits of a socket without connections. */
export function createAcceptWait(): AcceptWait {
  let lastTurn = -Infinity;
  let runStartedAt = Infinity;
  let lastProbeAt = -Infinity;
  /** When the probes that wait were opened, in that order. */
  const waiting = new Set<number>();
  let backlog: Backlog = Backlog.None;

  function getWaitMs(now: number): number {
    const [first = now] = waiting;
    return now - first;
  }

  function recordTurn(turn: number): void {
    if (turn > lastTurn + 1) waiting.clear();
  }

  return {
    recordAccepted(now, turn) {
      recordTurn(turn);
      if (turn > lastTurn + 1) runStartedAt = now;
      lastTurn = turn;
    },
    recordTurn,
    isProbeDue: (now) => now - runStartedAt >= RUN_MS && now - lastProbeAt >= PROBE_INTERVAL_MS,
    recordProbeOpened(now) {
      lastProbeAt = now;
      waiting.add(now);
    },
    recordProbeEnded(openedAt) {
      for (const each of waiting) if (each <= openedAt) waiting.delete(each);
    },
    getWaitMs,
    updateBacklog(now) {
      const waitMs = getWaitMs(now);
      if (waitMs < CAUGHT_UP_MS) backlog = Backlog.None;
      else if (waitMs >= EXCESSIVE_MS) backlog = Backlog.Excessive;
      else if (waitMs >= LATE_MS && backlog === Backlog.None) backlog = Backlog.Late;
      return backlog;
    },
  };
}
