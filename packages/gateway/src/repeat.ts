/** What may follow a failed attempt: by the kind of the route and what the caller has seen. */
import { Repeat } from '@masticbend/settings/routing';
import type { RequestState } from './request-state.js';

/**
 * Tells whether an answer goes to the caller as it is. A failure of the backend server is worth a
 * repeat where one is allowed, and cannot be shown to a caller whose answer has begun.
 */
export function isFinalAnswer({ route, sent, delivery }: RequestState, status: number): boolean {
  if (delivery.hasBegun()) return false;
  return status < 500 || route.repeat === Repeat.Never || sent >= route.attempts;
}

/** Tells whether a request may be sent once more, if the repeat budget has room. */
export function isRepeatAllowed(now: number, state: RequestState): boolean {
  const { route, sent, mayHaveRun, delivery, lastEventId, deadlineAt } = state;
  if (sent >= route.attempts || now >= deadlineAt) return false;
  if (mayHaveRun > 0 && route.repeat === Repeat.Never) return false;
  return !delivery.hasBegun() || lastEventId !== undefined;
}
