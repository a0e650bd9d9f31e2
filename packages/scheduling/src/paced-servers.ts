/**
 * Paces of all servers as one instance sees them. Judges how each attempt ended: errors which the
 * other servers of a service show alike do not count against one, and times are compared with those
 * of the same route.
 */
import type { BackendServer } from '@masticbend/settings/routing';
import { updateMovingAverage } from './moving-average.js';
import type { PermitOutcome } from './permit-queue.js';
import { createPace, PaceReason, type Pace } from './server-pace.js';
import type { ServerEntry } from './server-entry.js';

/**
 * Recent failure rate by which a server must exceed its peers to count as failing. With two assumed
 * answers, two failures in a row reach it where peers have none, three where 14 in 100 fail.
 */
const EXCESS_RATE = 0.4;
/** Smoothing factor of the mean time of a route, which makes times of several routes comparable. */
const ROUTE_SMOOTHING = 0.05;

/** How an attempt ended. */
export type AttemptEnd = 'answered' | 'error' | 'refused' | 'no-response';

/** An attempt at a server. */
export interface PacedAttempt {
  sentAt: number;
  /** Requests of this instance in flight there when it was sent, itself included. */
  running: number;
  route: string;
  /** The first output of the attempt has been recorded. */
  hasOutput?: boolean;
}

/** Paces of the servers of one instance. Times are monotonic, in milliseconds. */
export interface PacedServers {
  createPace: (server: BackendServer, isKnown: boolean) => Pace;
  recordSent: (now: number, entry: ServerEntry) => void;
  /** Records an answer or the first output of a stream; `size` is what its time is related to. */
  recordOutput: (now: number, entry: ServerEntry, attempt: PacedAttempt, size: number) => void;
  /** Records the end of an attempt; returns what the server's agent is told of it. */
  recordEnd: (
    now: number,
    entry: ServerEntry,
    attempt: PacedAttempt,
    end: AttemptEnd,
  ) => PermitOutcome;
}

/** Dependencies. */
export interface PacedServersOptions {
  /** Returns this instance's part of the demand for a service, 0 to 1. */
  findPart: (service: string) => number;
  listServers: () => readonly ServerEntry[];
  onChange: (server: BackendServer, limit: number, reason: PaceReason) => void;
}

/** Returns the paces of an instance without servers. */
export function createPacedServers(options: PacedServersOptions): PacedServers {
  const routeMeans = new Map<string, number>();

  /** Returns whether a server fails more than the others of its service. */
  function isFailing(now: number, entry: ServerEntry): boolean {
    const { service } = entry.server;
    const peers = options.listServers().filter((each) => each.server.service === service);
    const rates = peers.filter((each) => each !== entry).map(({ failureRate }) => failureRate);
    if (rates.length === 0) return false;
    const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
    return entry.recentFailures.getRate(now) >= mean + EXCESS_RATE;
  }

  /** Restarts the pace after the end of a pause that the server asked for. */
  function checkPause(now: number, entry: ServerEntry): void {
    if (!entry.hasPaused || entry.pausedUntil > now) return;
    entry.hasPaused = false;
    entry.pace?.restart(now, PaceReason.Paused);
  }

  return {
    createPace(server, isKnown) {
      const pace = createPace({
        slots: server.slots,
        isKnown,
        findPart: () => options.findPart(server.service),
        onChange: (limit, reason) => options.onChange(server, limit, reason),
      });
      if (!isKnown) options.onChange(server, pace.getLimit(), PaceReason.Started);
      return pace;
    },
    recordSent(now, entry) {
      checkPause(now, entry);
      entry.pace?.recordSent(now);
    },
    recordOutput(now, entry, { sentAt, running, route }, size) {
      const elapsedMs = (now - sentAt) / size;
      const meanMs = updateMovingAverage(routeMeans.get(route), elapsedMs, ROUTE_SMOOTHING);
      routeMeans.set(route, meanMs);
      const unitMs = meanMs > 0 ? elapsedMs / meanMs : undefined;
      entry.pace?.recordAnswer(now, { sentAt, running, unitMs });
    },
    recordEnd(now, entry, attempt, end) {
      const { sentAt } = attempt;
      const { pace, recentFailures } = entry;
      if (end === 'refused') {
        pace?.recordRefusal(now, sentAt);
        return 'refused';
      }
      recentFailures.record(now, end !== 'answered', now - sentAt);
      if (end === 'no-response' || (end === 'error' && isFailing(now, entry))) {
        pace?.recordFailure(now, sentAt);
        return 'failed';
      }
      return 'answered';
    },
  };
}
