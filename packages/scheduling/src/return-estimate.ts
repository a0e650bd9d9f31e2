/**
 * Tells callers that were refused earlier from first arrivals. Callers of a route allow much the
 * same time, and a returned one states what is left of it: no identity outlives a refusal.
 */

/** Part of the longest time limit of a route below which a caller has been here before. */
const FIRST_ARRIVAL_PART = 0.85;
/** Part of the longest time limit that each arrival below it forgets: callers may change theirs. */
const FORGET_STEP = 0.0005;

/** Estimate over all routes; its state grows with their number only. */
export interface ReturnEstimate {
  /** Takes in the time limit that a caller of a route states; true when it has spent some of it. */
  recordArrival: (route: string, limitMs: number) => boolean;
}

/** Returns an estimate that knows no routes. */
export function createReturnEstimate(): ReturnEstimate {
  const longest = new Map<string, number>();
  return {
    recordArrival(route, limitMs) {
      const knownMs = (longest.get(route) ?? 0) * (1 - FORGET_STEP);
      const longestMs = Math.max(knownMs, limitMs);
      longest.set(route, longestMs);
      return limitMs < longestMs * FIRST_ARRIVAL_PART;
    },
  };
}
