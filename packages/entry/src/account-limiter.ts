/**
 * Enforces the limits of client accounts within one entry: requests per second and tokens per
 * second with token buckets, and the number of open requests, each within the entry's share of the
 * account's limit. The module is a state machine: the current time is passed in as an argument.
 */
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { AccountConfiguration } from '@masticbend/settings/configuration';

/** An account's limit, or a share of it; rates are per second. */
export interface AccountShare {
  requestRate: number;
  tokenRate: number;
  concurrency: number;
}

/** Size of a request and the limits that apply to its admission. */
export interface AdmissionInput {
  /** Estimated tokens of the request, prompt and output. */
  tokens: number;
  /** This entry's share of the limit. */
  share: AccountShare;
  /** The account's limit across all entries. */
  limit: AccountShare;
}

/** Demand of an account in use at this entry, as input of the quota client. */
export interface AccountDemand {
  account: string;
  /** Demand of the callers, including refused requests. */
  demand: AccountShare;
  /** A request was refused since the last call of `collectDemands`. */
  refused: boolean;
}

/** Enforces the limits of the accounts in use at one entry. */
export interface AccountLimiter {
  /** Admits a request, or returns the failure with the time after which to retry. */
  admit: (
    now: number,
    request: string,
    account: string,
    input: AdmissionInput,
  ) => Failure | undefined;
  /** Releases an admitted request that has its final answer; `tokens` is its actual usage. */
  finish: (now: number, request: string, tokens: number) => void;
  /** Returns the demand of each recently used account and evicts the idle accounts. */
  collectDemands: (now: number) => AccountDemand[];
  countAccounts: () => number;
}

/** Time for which a full bucket lasts at its rate. */
const BURST_MS = 1_000;
/** Minimum capacity of the requests bucket. */
const MIN_BURST_REQUESTS = 2;
/** Time constant of the moving average of demand. */
const DEMAND_WINDOW_MS = 1_000;
/** Time without requests after which an account is evicted. */
const IDLE_EVICTION_MS = 30_000;
/** Retry delay reported when the concurrency limit is reached. */
const CONCURRENCY_RETRY_AFTER_MS = 500;
/** Time in which a share grows as far as the limit allows. */
const SHARE_GROWTH_MS = 1_000;
const MS_PER_SECOND = 1_000;

interface Bucket {
  level: number;
  updatedAt: number;
}

interface AccountState {
  requests: Bucket;
  tokens: Bucket;
  open: number;
  /** Moving averages of the demand, per second, as of `demandUpdatedAt`. */
  requestRate: number;
  tokenRate: number;
  demandUpdatedAt: number;
  /** Maximum of open requests since the last `collectDemands`. */
  peakOpen: number;
  /** Requests refused for the concurrency limit since the last `collectDemands`. */
  concurrencyRefusals: number;
  /** A request was refused since the last `collectDemands`. */
  refused: boolean;
  lastUsedAt: number;
}

interface OpenRequest {
  state: AccountState;
  tokens: number;
}

/** Returns the limit of an account from its configuration. */
export function readAccountLimit(settings: AccountConfiguration): AccountShare {
  const { requestsPerSecond, tokensPerSecond, concurrency } = settings;
  return { requestRate: requestsPerSecond, tokenRate: tokensPerSecond, concurrency };
}

/** Returns a limiter without accounts. */
export function createAccountLimiter(): AccountLimiter {
  const accounts = new Map<string, AccountState>();
  const openRequests = new Map<string, OpenRequest>();

  return {
    admit(now, request, account, input) {
      const { tokens, share } = input;
      let state = accounts.get(account);
      if (!state) {
        state = createAccountState(now, share);
        accounts.set(account, state);
      }
      recordDemand(state, now, tokens);
      const failure = tryConsume(state, now, input);
      if (failure) {
        state.refused = true;
        if (failure.kind === ErrorKind.ConcurrencyLimited) state.concurrencyRefusals += 1;
        return failure;
      }
      state.open += 1;
      state.peakOpen = Math.max(state.peakOpen, state.open);
      openRequests.set(request, { state, tokens });
      return undefined;
    },
    finish(now, request, tokens) {
      const open = openRequests.get(request);
      if (!open) return;
      openRequests.delete(request);
      open.state.open -= 1;
      open.state.tokens.level += open.tokens - tokens;
    },
    collectDemands(now) {
      const demands: AccountDemand[] = [];
      for (const [account, state] of accounts) {
        if (state.open === 0 && now - state.lastUsedAt > IDLE_EVICTION_MS) {
          accounts.delete(account);
          continue;
        }
        refreshDemand(state, now);
        const { requestRate, tokenRate, peakOpen, concurrencyRefusals, refused } = state;
        const demand = { requestRate, tokenRate, concurrency: peakOpen + concurrencyRefusals };
        demands.push({ account, demand, refused });
        state.refused = false;
        state.concurrencyRefusals = 0;
        state.peakOpen = state.open;
      }
      return demands;
    },
    countAccounts: () => accounts.size,
  };
}

function createAccountState(now: number, share: AccountShare): AccountState {
  return {
    requests: { level: computeCapacity(share.requestRate, MIN_BURST_REQUESTS), updatedAt: now },
    tokens: { level: computeCapacity(share.tokenRate, 1), updatedAt: now },
    open: 0,
    requestRate: 0,
    tokenRate: 0,
    demandUpdatedAt: now,
    peakOpen: 0,
    concurrencyRefusals: 0,
    refused: false,
    lastUsedAt: now,
  };
}

function tryConsume(state: AccountState, now: number, input: AdmissionInput): Failure | undefined {
  const { requests } = state;
  const { tokens, share, limit } = input;
  refreshBucket(requests, now, share.requestRate, MIN_BURST_REQUESTS);
  refreshBucket(state.tokens, now, share.tokenRate, 1);
  if (state.open >= share.concurrency) {
    return { kind: ErrorKind.ConcurrencyLimited, retryAfterMs: CONCURRENCY_RETRY_AFTER_MS };
  }
  if (requests.level < 1) {
    return createRateFailure(1 - requests.level, share.requestRate, limit.requestRate);
  }
  if (tokens > 0 && state.tokens.level <= 0) {
    return createRateFailure(1 - state.tokens.level, share.tokenRate, limit.tokenRate);
  }
  requests.level -= 1;
  state.tokens.level -= tokens;
  return undefined;
}

/**
 * Returns the failure with its retry delay: the time in which the bucket covers the deficit at the
 * share's rate or, if that is shorter, at the limit's rate after the share has grown.
 */
function createRateFailure(deficit: number, rate: number, limit: number): Failure {
  const atLimitMs = (deficit / limit) * MS_PER_SECOND + SHARE_GROWTH_MS;
  const atShareMs = rate > 0 ? (deficit / rate) * MS_PER_SECOND : Infinity;
  return { kind: ErrorKind.RateLimited, retryAfterMs: Math.min(atShareMs, atLimitMs) };
}

function refreshBucket(bucket: Bucket, now: number, rate: number, minCapacity: number): void {
  const gained = ((now - bucket.updatedAt) / MS_PER_SECOND) * rate;
  bucket.level = Math.min(computeCapacity(rate, minCapacity), bucket.level + gained);
  bucket.updatedAt = now;
}

function computeCapacity(rate: number, minCapacity: number): number {
  return Math.max(minCapacity, (rate * BURST_MS) / MS_PER_SECOND);
}

function recordDemand(state: AccountState, now: number, tokens: number): void {
  refreshDemand(state, now);
  state.lastUsedAt = now;
  state.requestRate += MS_PER_SECOND / DEMAND_WINDOW_MS;
  state.tokenRate += (tokens * MS_PER_SECOND) / DEMAND_WINDOW_MS;
}

function refreshDemand(state: AccountState, now: number): void {
  const factor = Math.exp((state.demandUpdatedAt - now) / DEMAND_WINDOW_MS);
  state.requestRate *= factor;
  state.tokenRate *= factor;
  state.demandUpdatedAt = now;
}
