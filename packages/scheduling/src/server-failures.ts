/**
 * Failures of one backend server and its ejection after several of them. A server that is silent on
 * open connections may go on at any moment; one that refuses or breaks them has failed. One event,
 * such as a crash, ends many requests at once: those that were sent before a failure became known
 * are part of it and are not counted again.
 */
import { updateMovingAverage } from './moving-average.js';
import { isGoing, type ServerEntry } from './server-entry.js';

/** Smoothing factor of the failure rate: the weight of the latest observation. */
const FAILURE_SMOOTHING = 0.15;
/** Consecutive failures after which a server is ejected. */
const EJECTION_FAILURES = 2;
/** First ejection time; it doubles with each further failure, up to the maximum. */
const EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 8_000;

export function recordSuccess(entry: ServerEntry): void {
  clearFailures(entry);
  entry.failureRate = updateMovingAverage(entry.failureRate, 0, FAILURE_SMOOTHING);
}

/** Records that the server responded with an error. */
export function recordFailure(entry: ServerEntry): void {
  clearFailures(entry);
  entry.failureRate = updateMovingAverage(entry.failureRate, 1, FAILURE_SMOOTHING);
}

/**
 * The server was unreachable or broke its connection for a request that was sent at `sentAt`;
 * returns whether this ejects it.
 */
export function recordNoResponse(now: number, entry: ServerEntry, sentAt: number): boolean {
  entry.isUnreachable = true;
  if (sentAt < entry.failedAt) return false;
  const ejectedUntil = entry.pace ? entry.ejectedUntil : undefined;
  const isEjected = recordEvent(now, entry);
  if (ejectedUntil === undefined) return isEjected;
  // Trial requests take the place of the ejection.
  entry.ejectedUntil = ejectedUntil;
  return false;
}

/**
 * The server is silent about a request in progress; returns whether it is ejected now. Each silent
 * request counts: while all servers hang, a short ejection would let waiting requests reach them,
 * and a server that goes on ends its ejection itself.
 */
export function recordSilent(now: number, entry: ServerEntry): boolean {
  entry.silent += 1;
  return recordEvent(now, entry);
}

/** A silent server goes on: it is no longer ejected. */
export function recordResumed(now: number, entry: ServerEntry): void {
  entry.silent -= 1;
  clearFailures(entry);
  entry.ejectedUntil = Math.min(entry.ejectedUntil, now);
}

/** A request about which the server was silent has ended. */
export function removeSilent(entry: ServerEntry): void {
  entry.silent -= 1;
}

/** Returns whether the server is ejected for nothing but its silence on open connections. */
export function isOnlySilent(now: number, entry: ServerEntry): boolean {
  const { ejectedUntil, excludedUntil, pausedUntil, silent, isUnreachable } = entry;
  if (isGoing(entry) || isUnreachable || silent === 0) return false;
  return ejectedUntil > now && Math.max(excludedUntil, pausedUntil) <= now;
}

/** Counts a failure and ejects the server after several of them. */
function recordEvent(now: number, entry: ServerEntry): boolean {
  entry.failedAt = now;
  entry.consecutiveFailures += 1;
  entry.failureRate = updateMovingAverage(entry.failureRate, 1, FAILURE_SMOOTHING);
  const excessFailures = entry.consecutiveFailures - EJECTION_FAILURES;
  if (excessFailures < 0) return false;
  entry.ejectedUntil = now + Math.min(MAX_EJECTION_MS, EJECTION_MS * 2 ** excessFailures);
  return true;
}

function clearFailures(entry: ServerEntry): void {
  entry.consecutiveFailures = 0;
  entry.isUnreachable = false;
}
