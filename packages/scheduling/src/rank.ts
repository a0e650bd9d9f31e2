/**
 * Order of service while slots are scarce: first all requests that can be on time, by tier, then
 * late ones of callers that were refused before, then other late ones. A late request takes no slot
 * from one on time, whatever their tiers. A caller that comes back has no further chance, while one
 * that is late at its first request can still come back.
 */

/** Tiers of accounts, and of routes within each, that have a rank; lower ones share the last. */
const ACCOUNT_TIERS = 4;
const ROUTE_TIERS = 4;
/** Tiers with a rank of their own; lower tiers share the last of these. */
const RANKED_TIERS = ACCOUNT_TIERS * ROUTE_TIERS;

/** A request can be on time, is late and returns after a refusal, or is late at first. */
export const Standing = { OnTime: 0, Returning: 1, Late: 2 } as const;
export type Standing = (typeof Standing)[keyof typeof Standing];

/** Number of ranks: one for each tier and standing. */
export const RANK_COUNT = RANKED_TIERS * Object.keys(Standing).length;

/**
 * Returns the tier of a request by both of its tiers: that of the account goes first, that of the
 * route orders the requests of accounts of the same tier. Without it a burst of small requests of
 * the least urgent route takes the slots of the most urgent one.
 */
export function mergeTiers(accountTier: number, routeTier: number): number {
  const major = computeTierWithin(accountTier, ACCOUNT_TIERS);
  return major * ROUTE_TIERS + computeTierWithin(routeTier, ROUTE_TIERS);
}

/** Returns the rank of a request; 0 is served first. */
export function computeRank(tier: number, standing: Standing): number {
  return computeTierWithin(tier, RANKED_TIERS) + RANKED_TIERS * standing;
}

/** Returns whether a rank is one of late requests whose callers were refused before. */
export function isReturningRank(rank: number): boolean {
  return Math.floor(rank / RANKED_TIERS) === Standing.Returning;
}

function computeTierWithin(tier: number, count: number): number {
  return Math.min(count - 1, Math.max(0, Math.floor(tier)));
}
