/**
 * Limits of client accounts that hold over all instances together. Each instance keeps a bucket for
 * each account and takes from it both what it admits itself and what its peers report. An instance
 * that hears only some of its peers fills its buckets with their part of the rate, so that groups
 * that cannot hear each other stay within the limit together.
 */
import { LimitUnit, type AccountLimit } from '@masticbend/settings/routing';

/** Wait that is advised where the bucket would never fill, in milliseconds. */
const LONGEST_WAIT_MS = 10_000;

/** Buckets of all accounts. Times are monotonic, in milliseconds. */
export interface SharedLimits {
  /** Takes over the accounts' limits in force; buckets of new accounts begin to fill. */
  setLimits: (now: number, limits: ReadonlyMap<string, AccountLimit>) => void;
  /** Takes units; returns the time after which they may be there when they are not. */
  tryTake: (now: number, account: string, limit: AccountLimit, units: number) => number | undefined;
  /** Gives back the units of a request that did not run. */
  refund: (now: number, account: string, units: number) => void;
  /** Takes what peers admitted. */
  receive: (now: number, account: string, units: number) => void;
  /** Part of all instances that this one hears, itself included: 0 to 1. */
  setShare: (now: number, share: number) => void;
  /** Units admitted here since the start, less those refunded. */
  listAdmitted: () => ReadonlyMap<string, number>;
  dump: () => unknown;
}

interface Bucket {
  limit: AccountLimit;
  level: number;
  filledAt: number;
}

/** Returns empty buckets: units spent before a restart are not known. */
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
      // A request larger than the whole bucket passes when the bucket is full, and leaves a debt.
      const needed = Math.min(units, limit.burst * share);
      if (share > 0 && bucket.level >= needed) {
        bucket.level -= units;
        addAdmitted(account, units);
        return undefined;
      }
      const rate = limit.ratePerSecond * share;
      if (rate <= 0) return LONGEST_WAIT_MS;
      return Math.min(LONGEST_WAIT_MS, ((needed - bucket.level) / rate) * 1_000);
    },
    refund(now, account, units) {
      const bucket = buckets.get(account);
      if (!bucket) return;
      refreshLevel(now, bucket);
      bucket.level = Math.min(bucket.limit.burst * share, bucket.level + units);
      addAdmitted(account, -units);
    },
    receive(now, account, units) {
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

/** Returns what a request counts against its account's limit. */
export function countUnits(limit: AccountLimit, promptTokens?: number, outputTokens = 0): number {
  if (limit.unit === LimitUnit.Requests) return 1;
  return promptTokens === undefined ? limit.defaultTokens : promptTokens + outputTokens;
}
