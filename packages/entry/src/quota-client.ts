/**
 * This entry's leased shares of client accounts' limits. The first reachable agent of an account's
 * ranking holds its quota; shares are renewed by demand, seldom for accounts that ask for little.
 * While an account has no lease, the entry keeps to the limit divided by the entries it knows of.
 */
import type { Message, QuotaMessage, QuotaRequestMessage } from '@masticbend/protocol/message';
import type { AccountDemand, AccountShare } from './account-limiter.js';
import { rankNames } from './rendezvous.js';

/** Agents that hold quotas; every entry is connected to all of them. */
export const QUOTA_HOLDER_COUNT = 32;
/** Interval of the renewals, in milliseconds. */
export const RENEWAL_INTERVAL_MS = 500;
/** Lease of an account that asks for much, and of one that asks for little, in milliseconds. */
const SHORT_LEASE_MS = 2_000;
const LONG_LEASE_MS = 24_000;
/** Least time between two renewals of an account, in milliseconds. */
const SHORT_RENEWAL_MS = 400;
const LONG_RENEWAL_MS = 8_000;
/** Part of the safe share up to which an account asks for little. */
const LITTLE_PART = 0.5;
/** Most accounts renewed in one interval by one entry, and in one second by all entries. */
const INTERVAL_RENEWALS = 16;
const TOTAL_RENEWALS = 40 * QUOTA_HOLDER_COUNT;
/** Entries assumed before an agent has told how many there are. */
const ASSUMED_ENTRIES = 4;

/** What the client needs from the rest of the entry. */
export interface QuotaClientOptions {
  now: () => number;
  send: (agent: string, message: Message) => boolean;
  isConnected: (agent: string) => boolean;
  /** Returns the limit of an account, or undefined once it is gone. */
  findLimit: (account: string) => AccountShare | undefined;
}

/** Shares of one entry. */
export interface QuotaClient {
  /** Sets the agents that may hold quotas: all agents of the configuration. */
  setAgents: (names: readonly string[]) => void;
  /** Returns what this entry may use of a limit now. */
  getShare: (account: string, limit: AccountShare) => AccountShare;
  receive: (message: QuotaMessage) => void;
  hasLease: (account: string) => boolean;
  /** Asks for the shares that are due, as far as this interval's allowance goes. */
  renew: (demands: AccountDemand[]) => void;
  /** Begins an interval: renews the shares due and forgets every account that is not listed. */
  refresh: (demands: AccountDemand[]) => void;
  dump: () => unknown;
}

interface AccountLease {
  share?: AccountShare;
  /** The account asks for little: its lease binds no tighter than the safe share. */
  isLittle: boolean;
  expiresAt: number;
  askedAt: number;
}

interface DueAccount {
  demand: AccountDemand;
  isLittle: boolean;
}

type Batches = Map<string, QuotaRequestMessage>;

/** Returns the agents that hold quotas among all agents. */
export function chooseQuotaHolders(names: readonly string[]): string[] {
  return rankNames('quota', names).slice(0, QUOTA_HOLDER_COUNT);
}

/** Returns a client without leases. */
export function createQuotaClient(options: QuotaClientOptions): QuotaClient {
  const { now, send, isConnected, findLimit } = options;
  const leases = new Map<string, AccountLease>();
  let holders: string[] = [];
  let entries = ASSUMED_ENTRIES;
  let renewalsLeft = INTERVAL_RENEWALS;

  function chooseDue(demands: AccountDemand[]): DueAccount[] {
    const time = now();
    return demands
      .map((demand) => ({ demand, isLittle: isLittleDemand(demand) }))
      .filter(({ demand, isLittle }) => isDue(demand, time, isLittle))
      .sort(compareDue)
      .slice(0, renewalsLeft);
  }

  /** Those who ask for much come first, and among them who waited longest. */
  function compareDue(left: DueAccount, right: DueAccount): number {
    const order = Number(left.isLittle) - Number(right.isLittle);
    const askedAt = ({ demand }: DueAccount) => leases.get(demand.account)?.askedAt ?? 0;
    return order || askedAt(left) - askedAt(right);
  }

  function isDue({ account }: AccountDemand, time: number, isLittle: boolean): boolean {
    const lease = leases.get(account);
    if (!lease) return true;
    const intervalMs = isLittle && lease.isLittle ? LONG_RENEWAL_MS : SHORT_RENEWAL_MS;
    return time - lease.askedAt >= intervalMs;
  }

  function isLittleDemand({ account, demand, refused }: AccountDemand): boolean {
    const limit = findLimit(account);
    if (refused || !limit) return false;
    const part = LITTLE_PART / entries;
    return (
      demand.requestRate <= limit.requestRate * part &&
      demand.tokenRate <= limit.tokenRate * part &&
      demand.concurrency <= limit.concurrency * part
    );
  }

  function addToBatch(due: DueAccount, batches: Batches): void {
    const { isLittle } = due;
    const { account, demand } = due.demand;
    const holder = rankNames(account, holders).find(isConnected);
    if (holder === undefined) return;
    const lease = leases.get(account) ?? { isLittle, expiresAt: 0, askedAt: 0 };
    lease.askedAt = now();
    leases.set(account, lease);
    const validMs = isLittle ? LONG_LEASE_MS : SHORT_LEASE_MS;
    const message = findBatch(batches, holder, validMs);
    message.accounts.push(account);
    message.requestRates.push(demand.requestRate);
    message.tokenRates.push(demand.tokenRate);
    message.concurrencies.push(demand.concurrency);
  }

  function sendDue(demands: AccountDemand[]): void {
    const batches: Batches = new Map();
    const due = chooseDue(demands);
    renewalsLeft -= due.length;
    for (const one of due) addToBatch(one, batches);
    for (const [key, message] of batches) send(key.split('\n')[0]!, message);
  }

  return {
    setAgents(names) {
      holders = chooseQuotaHolders(names);
    },
    getShare(account, limit) {
      const safe = computeSafeShare(limit, entries);
      const lease = leases.get(account);
      if (!lease?.share || lease.expiresAt <= now()) return safe;
      return lease.isLittle ? chooseLarger(lease.share, safe) : lease.share;
    },
    hasLease: (account) => (leases.get(account)?.expiresAt ?? 0) > now(),
    receive(message) {
      entries = Math.max(1, message.entries);
      for (const [index, account] of message.accounts.entries()) {
        const lease = leases.get(account);
        if (!lease) continue;
        lease.share = {
          requestRate: message.requestRates[index] ?? 0,
          tokenRate: message.tokenRates[index] ?? 0,
          concurrency: message.concurrencies[index] ?? 0,
        };
        lease.isLittle = message.validMs === LONG_LEASE_MS;
        lease.expiresAt = now() + message.validMs;
      }
    },
    renew: sendDue,
    refresh(demands) {
      const accounts = new Set(demands.map(({ account }) => account));
      for (const account of leases.keys()) if (!accounts.has(account)) leases.delete(account);
      renewalsLeft = computeIntervalRenewals(entries);
      sendDue(demands);
    },
    dump: () => ({ entries, holders, leases: Object.fromEntries(leases) }),
  };
}

/** Returns an entry's part of the renewals that the holders can take. */
function computeIntervalRenewals(entries: number): number {
  const part = Math.floor((TOTAL_RENEWALS / entries) * (RENEWAL_INTERVAL_MS / 1_000));
  return Math.min(INTERVAL_RENEWALS, Math.max(1, part));
}

function computeSafeShare(limit: AccountShare, entries: number): AccountShare {
  return {
    requestRate: limit.requestRate / entries,
    tokenRate: limit.tokenRate / entries,
    concurrency: Math.max(1, Math.floor(limit.concurrency / entries)),
  };
}

function chooseLarger(left: AccountShare, right: AccountShare): AccountShare {
  return {
    requestRate: Math.max(left.requestRate, right.requestRate),
    tokenRate: Math.max(left.tokenRate, right.tokenRate),
    concurrency: Math.max(left.concurrency, right.concurrency),
  };
}

function findBatch(batches: Batches, holder: string, validMs: number): QuotaRequestMessage {
  const key = `${holder}\n${validMs}`;
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
