/**
 * Leases this entry's shares of client accounts' limits. Rendezvous hashing ranks the quota
 * allocators for each account; the first one that is connected allocates the account's quota.
 * Shares are renewed according to demand, at a longer interval for accounts with low demand.
 * Without a lease, the entry uses the equal share: the account's limit divided by the known number
 * of entries.
 */
import type { QuotaMessage, QuotaRequestMessage } from '@masticbend/protocol/configuration-message';
import type { Message } from '@masticbend/protocol/message';
import { rankNames } from '@masticbend/scheduling/rendezvous';
import type { AccountDemand, AccountShare } from './account-limiter.js';

/** Number of agents that allocate quotas; every entry is connected to all of them. */
export const QUOTA_ALLOCATOR_COUNT = 32;
/** Interval between rounds of renewals. */
export const RENEWAL_INTERVAL_MS = 500;
/** Lease duration of an account with high demand. */
const HIGH_DEMAND_LEASE_MS = 2_000;
/** Lease duration of an account with low demand. */
const LOW_DEMAND_LEASE_MS = 24_000;
/** Minimum time between two renewals of an account with high demand. */
const HIGH_DEMAND_RENEWAL_INTERVAL_MS = 400;
/** Minimum time between two renewals of an account with low demand. */
const LOW_DEMAND_RENEWAL_INTERVAL_MS = 8_000;
/** Fraction of the equal share up to which an account's demand is low. */
const LOW_DEMAND_FRACTION = 0.5;
/** Maximum accounts that one entry renews in one interval. */
const MAX_RENEWALS_PER_INTERVAL = 16;
/** Maximum accounts that all entries together renew in one second. */
const MAX_TOTAL_RENEWALS_PER_SECOND = 40 * QUOTA_ALLOCATOR_COUNT;
/** Number of entries assumed until a quota allocator reports the actual number. */
const INITIAL_ENTRY_COUNT = 4;

/** Dependencies of the quota client. */
export interface QuotaClientOptions {
  now: () => number;
  send: (agent: string, message: Message) => boolean;
  isConnected: (agent: string) => boolean;
  /** Returns the limit of an account, or undefined if the account does not exist. */
  findLimit: (account: string) => AccountShare | undefined;
}

/** The leased shares of one entry. */
export interface QuotaClient {
  /** Sets all agents of the configuration, among which the quota allocators are chosen. */
  setAgents: (names: readonly string[]) => void;
  /** Returns the share of a limit that this entry may use now. */
  getShare: (account: string, limit: AccountShare) => AccountShare;
  /** Applies the leases granted by a quota allocator. */
  receive: (message: QuotaMessage) => void;
  hasLease: (account: string) => boolean;
  /** Renews the shares that are due, within the remaining renewals of this interval. */
  renew: (demands: AccountDemand[]) => void;
  /** Starts an interval: renews the shares due, and drops leases of accounts not in `demands`. */
  refresh: (demands: AccountDemand[]) => void;
  dump: () => unknown;
}

interface AccountLease {
  share?: AccountShare;
  /** The account has low demand; it may then use at least the equal share. */
  isLittle: boolean;
  expiresAt: number;
  /** Time of the last renewal request. */
  askedAt: number;
}

interface DueAccount {
  demand: AccountDemand;
  isLowDemand: boolean;
}

type Batches = Map<string, QuotaRequestMessage>;

/** Returns the agents that allocate quotas, out of all agents of the configuration. */
export function chooseQuotaAllocators(names: readonly string[]): string[] {
  return rankNames('quota', names).slice(0, QUOTA_ALLOCATOR_COUNT);
}

/** Returns a client without leases. */
export function createQuotaClient(options: QuotaClientOptions): QuotaClient {
  const { now, send, isConnected, findLimit } = options;
  const leases = new Map<string, AccountLease>();
  let allocators: string[] = [];
  let entryCount = INITIAL_ENTRY_COUNT;
  let remainingRenewals = MAX_RENEWALS_PER_INTERVAL;

  function chooseDueAccounts(demands: AccountDemand[]): DueAccount[] {
    const time = now();
    return demands
      .map((demand) => ({ demand, isLowDemand: hasLowDemand(demand) }))
      .filter(({ demand, isLowDemand }) => isDue(demand, time, isLowDemand))
      .sort(compareDueAccounts)
      .slice(0, remainingRenewals);
  }

  /** Orders high demand before low demand, then the oldest last renewal request first. */
  function compareDueAccounts(left: DueAccount, right: DueAccount): number {
    const order = Number(left.isLowDemand) - Number(right.isLowDemand);
    const getRequestedAt = ({ demand }: DueAccount) => leases.get(demand.account)?.askedAt ?? 0;
    return order || getRequestedAt(left) - getRequestedAt(right);
  }

  function isDue({ account }: AccountDemand, time: number, isLowDemand: boolean): boolean {
    const lease = leases.get(account);
    if (!lease) return true;
    const intervalMs =
      isLowDemand && lease.isLittle
        ? LOW_DEMAND_RENEWAL_INTERVAL_MS
        : HIGH_DEMAND_RENEWAL_INTERVAL_MS;
    return time - lease.askedAt >= intervalMs;
  }

  function hasLowDemand({ account, demand, refused }: AccountDemand): boolean {
    const limit = findLimit(account);
    if (refused || !limit) return false;
    const fraction = LOW_DEMAND_FRACTION / entryCount;
    return (
      demand.requestRate <= limit.requestRate * fraction &&
      demand.tokenRate <= limit.tokenRate * fraction &&
      demand.concurrency <= limit.concurrency * fraction
    );
  }

  function addToBatch(due: DueAccount, batches: Batches): void {
    const { isLowDemand } = due;
    const { account, demand } = due.demand;
    const allocator = rankNames(account, allocators).find(isConnected);
    if (allocator === undefined) return;
    const lease = leases.get(account) ?? { isLittle: isLowDemand, expiresAt: 0, askedAt: 0 };
    lease.askedAt = now();
    leases.set(account, lease);
    const validMs = isLowDemand ? LOW_DEMAND_LEASE_MS : HIGH_DEMAND_LEASE_MS;
    const message = getBatch(batches, allocator, validMs);
    message.accounts.push(account);
    message.requestRates.push(demand.requestRate);
    message.tokenRates.push(demand.tokenRate);
    message.concurrencies.push(demand.concurrency);
  }

  function sendDueRenewals(demands: AccountDemand[]): void {
    const batches: Batches = new Map();
    const due = chooseDueAccounts(demands);
    remainingRenewals -= due.length;
    for (const account of due) addToBatch(account, batches);
    for (const [key, message] of batches) send(key.split('\n')[0]!, message);
  }

  return {
    setAgents(names) {
      allocators = chooseQuotaAllocators(names);
    },
    getShare(account, limit) {
      const equalShare = computeEqualShare(limit, entryCount);
      const lease = leases.get(account);
      if (!lease?.share || lease.expiresAt <= now()) return equalShare;
      return lease.isLittle ? mergeMaximum(lease.share, equalShare) : lease.share;
    },
    hasLease: (account) => (leases.get(account)?.expiresAt ?? 0) > now(),
    receive(message) {
      entryCount = Math.max(1, message.entries);
      for (const [index, account] of message.accounts.entries()) {
        const lease = leases.get(account);
        if (!lease) continue;
        lease.share = {
          requestRate: message.requestRates[index] ?? 0,
          tokenRate: message.tokenRates[index] ?? 0,
          concurrency: message.concurrencies[index] ?? 0,
        };
        lease.isLittle = message.validMs === LOW_DEMAND_LEASE_MS;
        lease.expiresAt = now() + message.validMs;
      }
    },
    renew: sendDueRenewals,
    refresh(demands) {
      const accounts = new Set(demands.map(({ account }) => account));
      for (const account of leases.keys()) if (!accounts.has(account)) leases.delete(account);
      remainingRenewals = computeRenewalBudget(entryCount);
      sendDueRenewals(demands);
    },
    dump: () => ({ entries: entryCount, holders: allocators, leases: Object.fromEntries(leases) }),
  };
}

/** Returns the renewals one entry may send per interval: its part of the allocators' capacity. */
function computeRenewalBudget(entryCount: number): number {
  const budget = Math.floor(
    (MAX_TOTAL_RENEWALS_PER_SECOND / entryCount) * (RENEWAL_INTERVAL_MS / 1_000),
  );
  return Math.min(MAX_RENEWALS_PER_INTERVAL, Math.max(1, budget));
}

/** Returns the limit divided by the number of entries; the concurrency is at least 1. */
function computeEqualShare(limit: AccountShare, entryCount: number): AccountShare {
  return {
    requestRate: limit.requestRate / entryCount,
    tokenRate: limit.tokenRate / entryCount,
    concurrency: Math.max(1, Math.floor(limit.concurrency / entryCount)),
  };
}

function mergeMaximum(left: AccountShare, right: AccountShare): AccountShare {
  return {
    requestRate: Math.max(left.requestRate, right.requestRate),
    tokenRate: Math.max(left.tokenRate, right.tokenRate),
    concurrency: Math.max(left.concurrency, right.concurrency),
  };
}

function getBatch(batches: Batches, allocator: string, validMs: number): QuotaRequestMessage {
  const key = `${allocator}\n${validMs}`;
  const known = batches.get(key);
  if (known) return known;
  const message: QuotaRequestMessage = {
    kind: 'quota-request',
    accounts: [],
    requestRates: [],
    tokenRates: [],
    concurrencies: [],
    validMs,
  };
  batches.set(key, message);
  return message;
}
