/**
 * Distinguishes callers that retry after a refusal from first arrivals. Callers of a route use
 * similar time limits, and a retrying caller states only its remaining time. Requests carry no
 * identity across a refusal, so the time limit is the only sign.
 */

/** A time limit below this fraction of the route's longest one is taken for a retry. */
const FIRST_ARRIVAL_FRACTION = 0.85;
/** Fraction by which each arrival reduces the longest time limit, as callers may change theirs. */
const DECAY_PER_ARRIVAL = 0.0005;

/** Detector for all routes; its state is one number per route. */
export interface RetryDetector {
  /**
   * Records a caller's time limit for a route; returns true when the caller seems to be retrying.
   */
  recordArrival: (route: string, limitMs: number) => boolean;
}

/** Returns a detector without known routes. */
export function createRetryDetector(): RetryDetector {
  const maxLimitsMs = new Map<string, number>();
  return {
    recordArrival(route, limitMs) {
      const knownMs = (maxLimitsMs.get(route) ?? 0) * (1 - DECAY_PER_ARRIVAL);
      const maxLimitMs = Math.max(knownMs, limitMs);
      maxLimitsMs.set(route, maxLimitMs);
      return limitMs < maxLimitMs * FIRST_ARRIVAL_FRACTION;
    },
  };
}
