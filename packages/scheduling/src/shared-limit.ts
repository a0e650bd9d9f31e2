/**
 * Rate limits of client accounts, enforced across all instances. Each instance keeps a token bucket
 * for each account and deducts both what it admits itself and what its peers report. An instance
 * that receives reports from only some peers fills its buckets at the corresponding share of the
 * rate, so that the sides of a network partition together stay within the limit.
 */
import { LimitUnit, type AccountLimit } from '@masticbend/settings/routing';

/** Maximum advised wait, also used when the bucket never fills, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000;

/** Buckets of all accounts. Times are monotonic, in milliseconds. */
export interface SharedLimits {
  /**
   * Applies the accounts' limits; buckets of new accounts start empty, removed accounts are
   * dropped.
   */
  setLimits: (now: number, limits: ReadonlyMap<string, AccountLimit>) => void;
  /** Takes units; if there are too few, returns the milliseconds until there may be enough. */
  tryTake: (now: number, account: string, limit: AccountLimit, units: number) => number | undefined;
  /** Refunds the units of a request that did not run. */
  refund: (now: number, account: string, units: number) => void;
  /** Deducts units that a peer has admitted. */
  recordPeerAdmitted: (now: number, account: string, units: number) => void;
  /** Sets the fraction of all instances in contact with this one, itself included: 0 to 1. */
  setShare: (now: number, share: number) => void;
  /** Units that this instance has admitted since its start, less those refunded. */
  listAdmitted: () => ReadonlyMap<string, number>;
  dump: () => unknown;
}

interface Bucket {
  limit: AccountLimit;
  level: number;
  filledAt: number;
}

/** Returns limits without buckets; a new bucket is empty, as usage before a restart is unknown. */
export function createSharedLimits(): SharedLimits {
  const buckets = new Map<string, Bucket>();
  const admitted = new Map<string, number>();
  let share = 0;

  function refreshLevel(now: number, bucket: Bucket): void {
    const { ratePerSecond, burst } = bucket.limit;
    const elapsedS = Math.max(0, now - bucket.filledAt) / 1_000;
    bucket.level = Math.min(burst * share, bucket.level + elapsedS * ratePerSecond * share);
    bucket.filledAt = now;
  }

  function findBucket(now: number, account: string, limit: AccountLimit): Bucket {
    const known = buckets.get(account);
    if (known) {
      refreshLevel(now, known);
      known.limit = limit;
      known.level = Math.min(known.level, limit.burst * share);
      return known;
    }
    const bucket = { limit, level: 0, filledAt: now };
    buckets.set(account, bucket);
    return bucket;
  }

  function addAdmitted(account: string, units: number): void {
    admitted.set(account, (admitted.get(account) ?? 0) + units);
  }

  return {
    setLimits(now, next) {
      for (const [account, limit] of next) findBucket(now, account, limit);
      for (const account of buckets.keys()) if (!next.has(account)) buckets.delete(account);
    },
    tryTake(now, account, limit, units) {
      const bucket = findBucket(now, account, limit);
      // A request larger than the bucket is admitted when the bucket is full; the level turns
      // negative.
      const neededUnits = Math.min(units, limit.burst * share);
      if (share > 0 && bucket.level >= neededUnits) {
        bucket.level -= units;
        addAdmitted(account, units);
        return undefined;
      }
      const rate = limit.ratePerSecond * share;
      if (rate <= 0) return MAX_RETRY_AFTER_MS;
      return Math.min(MAX_RETRY_AFTER_MS, ((neededUnits - bucket.level) / rate) * 1_000);
    },
    refund(now, account, units) {
      const bucket = buckets.get(account);
      if (!bucket) return;
      refreshLevel(now, bucket);
      bucket.level = Math.min(bucket.limit.burst * share, bucket.level + units);
      addAdmitted(account, -units);
    },
    recordPeerAdmitted(now, account, units) {
      const bucket = buckets.get(account);
      if (!bucket) return;
      refreshLevel(now, bucket);
      bucket.level = Math.min(bucket.limit.burst * share, bucket.level - units);
    },
    setShare(now, next) {
      for (const bucket of buckets.values()) refreshLevel(now, bucket);
      share = next;
      for (const bucket of buckets.values()) {
        bucket.level = Math.min(bucket.level, bucket.limit.burst * share);
      }
    },
    listAdmitted: () => admitted,
    dump: () => ({
      share,
      levels: Object.fromEntries([...buckets].map(([name, { level }]) => [name, level])),
    }),
  };
}

/** Returns the units that a request takes from its account's limit. */
export function countUnits(limit: AccountLimit, promptTokens?: number, outputTokens = 0): number {
  if (limit.unit === LimitUnit.Requests) return 1;
  return promptTokens === undefined ? limit.defaultTokens : promptTokens + outputTokens;
}
