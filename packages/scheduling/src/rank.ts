/**
 * Order of service while places are short: what can be on time by tier, then what cannot, by tier.
 * A late answer takes no place from one on time, whatever their tiers.
 */

/** Tiers that are told apart; lower ones share the last. */
const TIERS = 8;
/** Ranks of all tiers, on time and late. */
export const RANKS = TIERS * 2;

/** Returns the rank of a request, from 0, the first to be served. */
export function computeRank(tier: number, late: boolean): number {
  const told = Math.min(TIERS - 1, Math.max(0, Math.floor(tier)));
  return told + (late ? TIERS : 0);
}
