/**
 * Shares of client accounts' limits, leased to entries for a short time by their demand. One agent
 * holds an account's quota; the shares it has out never add up to more than the limit. A state
 * machine: the time comes in as an argument.
 */

/** What an account may use, or an entry's callers ask for, or an entry's share. */
export interface QuotaAmounts {
  requestRate: number;
  tokenRate: number;
  concurrency: number;
}

/** Leases longer than this get no more than their demand, in milliseconds. */
export const LONG_LEASE_THRESHOLD_MS = 3_000;
/** Longest lease, in milliseconds. */
export const MAX_LEASE_MS = 30_000;
/** Part of what nobody asks for that is shared out; the rest is left for newcomers. */
const SPARE_FRACTION = 0.75;
/** Most room above its demand, as a part of it, of an entry with a long lease. */
const LONG_LEASE_HEADROOM = 0.5;
/** Most accounts remembered. */
const MAX_ACCOUNTS = 16_384;
const AMOUNTS = ['requestRate', 'tokenRate', 'concurrency'] as const;

interface Lease {
  demand: QuotaAmounts;
  share: QuotaAmounts;
  expiresAt: number;
}

/** Holder of the quotas of some accounts. */
export interface QuotaAllocator {
  /** Returns the share of an entry, replacing the one it had. */
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

/** Returns a holder without leases. */
export function createQuotaAllocator(): QuotaAllocator {
  const accounts = new Map<string, Map<string, Lease>>();

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
        const fair = computeFairShare(demand[amount], otherDemands, limit[amount], isLong);
        share[amount] = Math.max(0, Math.min(fair, limit[amount] - leasedAmount));
      }
      share.concurrency = Math.floor(share.concurrency);
      const expiresAt = now + Math.min(validMs, MAX_LEASE_MS);
      leases.set(entry, { demand, share, expiresAt });
      return { ...share };
    },
    dump: () => ({ accounts: accounts.size }),
  };
}

/** Returns the max-min fair share of one demand beside others, and its part of what is spare. */
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
  const headroom = Math.max(0, limit - totalBaseShares) * SPARE_FRACTION * fraction;
  return baseShare + (isLong ? Math.min(headroom, baseShare * LONG_LEASE_HEADROOM) : headroom);
}

/** Returns the level up to which every demand is met when they share the limit. */
function computeWaterLevel(demands: number[], limit: number): number {
  const sorted = [...demands].sort((left, right) => left - right);
  let left = limit;
  for (const [index, demand] of sorted.entries()) {
    const equalShare = left / (sorted.length - index);
    if (demand >= equalShare) return equalShare;
    left -= demand;
  }
  return Infinity;
}
