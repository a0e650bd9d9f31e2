/**
 * Rules for repeating a request after a failed attempt, by the kind of its route and by how much of
 * an answer the caller has received.
 */
import { Repeat } from '@masticbend/settings/routing';
import type { RequestState } from './request-state.js';

/**
 * Returns whether an answer is delivered to the caller unchanged. A backend server's failure is not
 * delivered while a repeat is allowed or another attempt is in progress, and no answer is delivered
 * after another one has begun.
 */
export function isFinalAnswer(
  { route, sentCount, attempts, delivery }: RequestState,
  status: number,
): boolean {
  if (delivery.hasBegun()) return false;
  if (status < 500 || route.repeat === Repeat.Never) return true;
  return sentCount >= route.attempts && attempts.size === 0;
}

/** Returns whether a request may be sent again, provided that the repeat budget allows it. */
export function isRepeatAllowed(now: number, state: RequestState): boolean {
  const { route, sentCount, possibleRuns, delivery, lastEventId, deadlineAt } = state;
  if (state.triedSuspect !== undefined) return false;
  if (sentCount >= route.attempts || now >= deadlineAt) return false;
  if (possibleRuns > 0 && route.repeat === Repeat.Never) return false;
  return !delivery.hasBegun() || lastEventId !== undefined;
}
