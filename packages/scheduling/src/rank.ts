/**
 * Order of service while places are short: strict tiers, and inside a tier those that can still be
 * on time before callers that were refused earlier, whose answers are late in any case.
 */

/** Tiers that are told apart; lower ones share the last. */
const TIERS = 8;
/** Ranks of all tiers: of each, its first arrivals and its returned callers. */
export const RANKS = TIERS * 2;
/** Part of the longest time limit of a route below which a caller has been here before. */
const FIRST_ARRIVAL_PART = 0.85;

/** Tells returned callers from first arrivals. */
export interface ReturnEstimate {
  /** Takes in the time limit that a caller of a route states; true when it has spent some of it. */
  recordArrival: (route: string, limitMs: number) => boolean;
}

/** Returns the rank of a request, from 0, the first to be served. */
export function computeRank(tier: number, returned: boolean): number {
  const told = Math.min(TIERS - 1, Math.max(0, Math.floor(tier)));
  return told + (returned ? TIERS : 0);
}

/**
 * Returns an estimate that knows no routes. Callers of a route allow much the same time, and a
 * returned one states what is left of it: no identity outlives a refusal.
 */
export function createReturnEstimate(): ReturnEstimate {
  const longest = new Map<string, number>();
  return {
    recordArrival(route, limitMs) {
      const longestMs = Math.max(longest.get(route) ?? 0, limitMs);
      longest.set(route, longestMs);
      return limitMs < longestMs * FIRST_ARRIVAL_PART;
    },
  };
}
