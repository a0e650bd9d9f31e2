/**
 * Shares of client accounts' limits, leased to entries for a short time according to their demand.
 * One agent allocates an account's quota; the shares under lease never add up to more than the
 * limit. A state machine that takes the time as an argument.
 */

/** Limit of an account, demand of an entry's callers or share of an entry; rates per second. */
export interface QuotaAmounts {
  requestRate: number;
  tokenRate: number;
  concurrency: number;
}

/** Leases longer than this count as long and get limited headroom above their demand. */
export const LONG_LEASE_THRESHOLD_MS = 3_000;
/** Longest lease; longer requests are shortened to it. */
export const MAX_LEASE_MS = 30_000;
/** Fraction of a limit's unrequested part that is allocated; the rest is kept for new entries. */
const ALLOCATED_SPARE_FRACTION = 0.75;
/** Most headroom of a long lease, as a fraction of its demand. */
const LONG_LEASE_HEADROOM_FRACTION = 0.5;
/** Most accounts with leases in memory; beyond it the least recently used is evicted. */
const MAX_ACCOUNTS = 16_384;
const AMOUNTS = ['requestRate', 'tokenRate', 'concurrency'] as const;

interface Lease {
  demand: QuotaAmounts;
  share: QuotaAmounts;
  expiresAt: number;
}

/** Allocator of the quotas of some accounts. */
export interface QuotaAllocator {
  /** Leases a share to an entry, in place of its previous one, and returns it. */
  lease: (
    now: number,
    account: string,
    entry: string,
    demand: QuotaAmounts,
    limit: QuotaAmounts,
    validMs: number,
  ) => QuotaAmounts;
  dump: () => unknown;
}

/** Creates an allocator without leases. */
export function createQuotaAllocator(): QuotaAllocator {
  const accounts = new Map<string, Map<string, Lease>>();

  /** Returns the valid leases of an account, which becomes the most recently used one. */
  function findLeases(now: number, account: string): Map<string, Lease> {
    const leases = accounts.get(account) ?? new Map<string, Lease>();
    for (const [entry, { expiresAt }] of leases) if (expiresAt <= now) leases.delete(entry);
    accounts.delete(account);
    accounts.set(account, leases);
    if (accounts.size > MAX_ACCOUNTS) accounts.delete(accounts.keys().next().value!);
    return leases;
  }

  return {
    lease(now, account, entry, demand, limit, validMs) {
      const leases = findLeases(now, account);
      leases.delete(entry);
      const others = [...leases.values()];
      const isLong = validMs > LONG_LEASE_THRESHOLD_MS;
      const share = { requestRate: 0, tokenRate: 0, concurrency: 0 };
      for (const amount of AMOUNTS) {
        const otherDemands = others.map((other) => other.demand[amount]);
        const leasedAmount = others.reduce((sum, other) => sum + other.share[amount], 0);
        const fairShare = computeFairShare(demand[amount], otherDemands, limit[amount], isLong);
        share[amount] = Math.max(0, Math.min(fairShare, limit[amount] - leasedAmount));
      }
      share.concurrency = Math.floor(share.concurrency);
      const expiresAt = now + Math.min(validMs, MAX_LEASE_MS);
      leases.set(entry, { demand, share, expiresAt });
      return { ...share };
    },
    dump: () => ({ accounts: accounts.size }),
  };
}

/** Returns the max-min fair share of one demand among others, plus its headroom. */
function computeFairShare(
  demand: number,
  others: number[],
  limit: number,
  isLong: boolean,
): number {
  const level = computeWaterLevel([demand, ...others], limit);
  const baseShare = Math.min(demand, level);
  const totalBaseShares = others.reduce((sum, other) => sum + Math.min(other, level), baseShare);
  const fraction = totalBaseShares > 0 ? baseShare / totalBaseShares : 1 / (others.length + 1);
  const headroom = Math.max(0, limit - totalBaseShares) * ALLOCATED_SPARE_FRACTION * fraction;
  return (
    baseShare + (isLong ? Math.min(headroom, baseShare * LONG_LEASE_HEADROOM_FRACTION) : headroom)
  );
}

/** Returns the water-filling level: each demand gets at most this much of the shared limit. */
function computeWaterLevel(demands: number[], limit: number): number {
  const sorted = [...demands].sort((left, right) => left - right);
  let remaining = limit;
  for (const [index, demand] of sorted.entries()) {
    const equalShare = remaining / (sorted.length - index);
    if (demand >= equalShare) return equalShare;
    remaining -= demand;
  }
  return Infinity;
}
