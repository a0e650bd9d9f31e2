/**
 * Order of service while slots are scarce: first all requests that can be on time, by tier, then
 * the late ones, by tier. A late request takes no slot from one on time, whatever their tiers.
 */

/** Tiers with a rank of their own; lower tiers share the last of these. */
const RANKED_TIERS = 8;
/** Number of ranks: one on time and one late for each tier. */
export const RANK_COUNT = RANKED_TIERS * 2;

/** Returns the rank of a request; 0 is served first. */
export function computeRank(tier: number, isLate: boolean): number {
  const rankedTier = Math.min(RANKED_TIERS - 1, Math.max(0, Math.floor(tier)));
  return rankedTier + (isLate ? RANKED_TIERS : 0);
}
