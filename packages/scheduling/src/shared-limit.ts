/**
 * Rate limits of client accounts, enforced across all instances. In any window of the configured
 * length, an account may use its rate times the window plus its burst. Each instance counts what it
 * admits itself and what its peers report, and admits a request within three bounds:
 *
 * - the sum over the window;
 * - a token bucket of the whole limit, which spreads the window's units evenly;
 * - while that bucket is low, a bucket of its own, filled in proportion to its part of the demand.
 *   Otherwise all instances would use the same free units before they hear of each other.
 *
 * An instance that receives reports from only some peers uses the corresponding share of the limit,
 * so that the sides of a network partition together stay within it.
 */
import { LimitUnit, type AccountLimit } from '@masticbend/settings/routing';
import { computeCountedMs, createUsageWindow, type UsageWindow } from './usage-window.js';

/** Maximum advised wait, also used when the limit never admits, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000;
/** Level of the common bucket, as a fraction of the burst, below which an instance's own binds. */
const LOW_LEVEL_FRACTION = 0.5;
/** Time in which an instance's own bucket fills. */
const OWN_BUCKET_MS = 500;

/** Units since an instance's start: those of admitted requests, less refunds, and of all. */
export interface AccountUsage {
  admitted: number;
  asked: number;
}

/** Limits of all accounts. Times are monotonic, in milliseconds. */
export interface SharedLimits {
  /**
   * Applies the accounts' limits; buckets of new accounts start empty, removed accounts are
   * dropped.
   */
  setLimits: (now: number, limits: ReadonlyMap<string, AccountLimit>) => void;
  /** Takes units; if there are too few, returns the milliseconds until there may be enough. */
  tryTake: (now: number, account: string, limit: AccountLimit, units: number) => number | undefined;
  /**
   * Takes units for a request that was admitted under another account: only the sum over the window
   * binds, and what the buckets lack is made up for by later requests.
   */
  tryTakeAdmitted: SharedLimits['tryTake'];
  /** Refunds the units of a request that did not run. */
  refund: (now: number, account: string, units: number) => void;
  /** Records what a peer has used since its last report. */
  recordPeerUsage: (now: number, account: string, usage: AccountUsage) => void;
  /** Sets the fraction of all instances in contact with this one, itself included: 0 to 1. */
  setShare: (now: number, share: number) => void;
  /** What this instance has used since its start, by account. */
  listUsage: () => ReadonlyMap<string, AccountUsage>;
  dump: () => unknown;
}

interface Account {
  limit: AccountLimit;
  /** Level of the common bucket; negative after peers have used more than was left. */
  level: number;
  /**
   * Time for which this instance's own bucket has filled, in milliseconds. Its level is this time
   * at the present rate, so that a bucket is full where no requests arrived for a while.
   */
  ownFilledMs: number;
  filledAt: number;
  /** Units used by all instances. */
  used: UsageWindow;
  /** Units asked for here, and at the peers. */
  asked: UsageWindow;
  askedAtPeers: UsageWindow;
}

/**
 * Returns limits without accounts. New buckets are empty, as usage before a restart is unknown.
 */
export function createSharedLimits(windowMs: number): SharedLimits {
  const accounts = new Map<string, Account>();
  const usage = new Map<string, AccountUsage>();
  let share = 0;

  /** Units that an account may use in one window. */
  function computeWindowUnits({ ratePerSecond, burst }: AccountLimit): number {
    return (ratePerSecond * windowMs) / 1_000 + burst;
  }

  /** Units by which the common bucket is filled in a millisecond; the window allows no more. */
  function computeFillRate(limit: AccountLimit): number {
    return (computeWindowUnits(limit) / computeCountedMs(windowMs)) * share;
  }

  /** Returns this instance's part of the recent demand, 0 to 1. */
  function computeOwnPart(now: number, { asked, askedAtPeers }: Account): number {
    const peerRate = askedAtPeers.getRecentRate(now);
    if (peerRate <= 0) return 1;
    const ownRate = asked.getRecentRate(now);
    return ownRate / (ownRate + peerRate);
  }

  function refreshLevels(now: number, account: Account): void {
    const { limit, filledAt } = account;
    const elapsedMs = Math.max(0, now - filledAt);
    const filled = account.level + elapsedMs * computeFillRate(limit);
    account.level = Math.min(limit.burst * share, filled);
    account.ownFilledMs = Math.min(OWN_BUCKET_MS, account.ownFilledMs + elapsedMs);
    account.filledAt = now;
  }

  function setLimit(now: number, name: string, limit: AccountLimit): Account {
    const known = accounts.get(name);
    if (!known) {
      const account = createAccount(now, limit, windowMs);
      accounts.set(name, account);
      return account;
    }
    refreshLevels(now, known);
    const ratio = computeWindowUnits(limit) / computeWindowUnits(known.limit);
    // Usage under a higher limit was allowed and is not held against the lower one.
    if (ratio < 1) known.used.scale(ratio);
    known.limit = limit;
    known.level = Math.min(known.level, limit.burst * share);
    return known;
  }

  function addUsage(name: string, admitted: number, asked: number): void {
    const known = usage.get(name) ?? { admitted: 0, asked: 0 };
    usage.set(name, { admitted: known.admitted + admitted, asked: known.asked + asked });
  }

  /** Returns the time until the common bucket has enough units, in milliseconds. */
  function computeBucketWaitMs({ limit, level }: Account, units: number): number {
    // A request larger than the bucket is admitted when it is full; the level turns negative.
    const neededUnits = Math.min(units, limit.burst * share);
    return Math.max(0, neededUnits - level) / computeFillRate(limit);
  }

  /** Returns the time in which this instance's own bucket fills by the units, or completely. */
  function computeOwnFillMs(now: number, account: Account, units: number): number {
    if (units <= 0) return 0;
    const ownRate = computeFillRate(account.limit) * computeOwnPart(now, account);
    return Math.min(OWN_BUCKET_MS, units / ownRate);
  }

  function computeOwnWaitMs(now: number, account: Account, units: number): number {
    const { limit, level, ownFilledMs } = account;
    if (level >= limit.burst * share * LOW_LEVEL_FRACTION) return 0;
    return Math.max(0, computeOwnFillMs(now, account, units) - ownFilledMs);
  }

  function computeWindowWaitMs(now: number, { limit, used }: Account, units: number): number {
    return used.findTimeUntil(now, Math.max(0, computeWindowUnits(limit) * share - units));
  }

  /** Takes units unless `computeWaitMs` returns that there are too few. */
  function tryTakeUnits(
    now: number,
    name: string,
    limit: AccountLimit,
    units: number,
    computeWaitMs: (account: Account) => number,
  ): number | undefined {
    const account = accounts.get(name) ?? setLimit(now, name, limit);
    account.asked.add(now, units);
    addUsage(name, 0, units);
    if (account.limit === limit) refreshLevels(now, account);
    else setLimit(now, name, limit);
    if (computeFillRate(limit) <= 0) return MAX_RETRY_AFTER_MS;
    const waitMs = computeWaitMs(account);
    if (waitMs > 0) return Math.min(MAX_RETRY_AFTER_MS, waitMs);
    account.level -= units;
    const takenMs = computeOwnFillMs(now, account, units);
    account.ownFilledMs = Math.max(0, account.ownFilledMs - takenMs);
    account.used.add(now, units);
    addUsage(name, units, 0);
    return undefined;
  }

  return {
    setLimits(now, next) {
      for (const [name, limit] of next) setLimit(now, name, limit);
      for (const name of accounts.keys()) if (!next.has(name)) accounts.delete(name);
    },
    tryTake: (now, name, limit, units) =>
      tryTakeUnits(now, name, limit, units, (account) =>
        Math.max(
          computeBucketWaitMs(account, units),
          computeOwnWaitMs(now, account, units),
          computeWindowWaitMs(now, account, units),
        ),
      ),
    tryTakeAdmitted: (now, name, limit, units) =>
      tryTakeUnits(now, name, limit, units, (account) => computeWindowWaitMs(now, account, units)),
    refund(now, name, units) {
      const account = accounts.get(name);
      if (!account) return;
      refreshLevels(now, account);
      account.level = Math.min(account.limit.burst * share, account.level + units);
      const refundedMs = computeOwnFillMs(now, account, units);
      account.ownFilledMs = Math.min(OWN_BUCKET_MS, account.ownFilledMs + refundedMs);
      account.used.remove(now, units);
      addUsage(name, -units, 0);
    },
    recordPeerUsage(now, name, { admitted, asked }) {
      const account = accounts.get(name);
      if (!account) return;
      refreshLevels(now, account);
      account.level = Math.min(account.limit.burst * share, account.level - admitted);
      account.askedAtPeers.add(now, asked);
      if (admitted > 0) account.used.add(now, admitted);
      else account.used.remove(now, -admitted);
    },
    setShare(now, next) {
      for (const account of accounts.values()) refreshLevels(now, account);
      share = next;
      for (const account of accounts.values()) {
        account.level = Math.min(account.level, account.limit.burst * share);
      }
    },
    listUsage: () => usage,
    dump: () => ({
      share,
      levels: Object.fromEntries([...accounts].map(([name, { level }]) => [name, level])),
    }),
  };
}

function createAccount(now: number, limit: AccountLimit, windowMs: number): Account {
  return {
    limit,
    level: 0,
    ownFilledMs: 0,
    filledAt: now,
    used: createUsageWindow(windowMs),
    asked: createUsageWindow(windowMs),
    askedAtPeers: createUsageWindow(windowMs),
  };
}

/** Returns the units that a request takes from its account's limit. */
export function countUnits(limit: AccountLimit, promptTokens?: number, outputTokens = 0): number {
  if (limit.unit === LimitUnit.Requests) return 1;
  return promptTokens === undefined ? limit.defaultTokens : promptTokens + outputTokens;
}
