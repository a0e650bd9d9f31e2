/** Enforces the limits of client accounts at this entry, within the shares leased from agents. */
import type { Clock } from '@masticbend/kernel/clock';
import type { Failure } from '@masticbend/protocol/error';
import type { QuotaMessage } from '@masticbend/protocol/configuration-message';
import type { Message } from '@masticbend/protocol/message';
import type { AccountConfiguration, Configuration } from '@masticbend/settings/configuration';
import { createAccountLimiter, readAccountLimit } from './account-limiter.js';
import { createQuotaClient, RENEWAL_INTERVAL_MS } from './quota-client.js';

/** Dependencies of the account limits. */
export interface AccountLimitsOptions {
  clock: Clock;
  getConfiguration: () => Configuration | undefined;
  send: (agent: string, message: Message) => boolean;
  isConnected: (agent: string) => boolean;
}

/** Enforces the limits of all accounts at one entry. */
export interface AccountLimits {
  /** Admits a request of `tokens` estimated tokens, or returns the reason for its refusal. */
  admit: (
    request: string,
    account: string,
    settings: AccountConfiguration,
    tokens: number,
  ) => Failure | undefined;
  /** Releases a request that has its final answer; `tokens` is its actual usage. */
  finish: (request: string, tokens: number) => void;
  receive: (message: QuotaMessage) => void;
  /** Sets the agents of the configuration, among which the quota allocators are chosen. */
  setAgents: (names: readonly string[]) => void;
  stop: () => void;
  dump: () => unknown;
}

/** Returns the limits and starts the periodic renewal of their shares. */
export function createAccountLimits(options: AccountLimitsOptions): AccountLimits {
  const { clock, getConfiguration, send, isConnected } = options;
  const limiter = createAccountLimiter();
  const quota = createQuotaClient({ now: clock.now, send, isConnected, findLimit });
  let stopTimer = clock.startTimer(RENEWAL_INTERVAL_MS, refreshLeases);

  function findLimit(account: string) {
    const accounts = getConfiguration()?.accounts ?? {};
    return Object.hasOwn(accounts, account) ? readAccountLimit(accounts[account]!) : undefined;
  }

  function refreshLeases(): void {
    quota.refresh(limiter.collectDemands(clock.now()));
    stopTimer = clock.startTimer(RENEWAL_INTERVAL_MS, refreshLeases);
  }

  return {
    admit(request, account, settings, tokens) {
      const limit = readAccountLimit(settings);
      if (!quota.hasLease(account)) {
        // Requests the equal share: one request is not enough to estimate the account's demand.
        quota.renew([{ account, demand: quota.getShare(account, limit), refused: true }]);
      }
      const input = { tokens, limit, share: quota.getShare(account, limit) };
      return limiter.admit(clock.now(), request, account, input);
    },
    finish: (request, tokens) => limiter.finish(clock.now(), request, tokens),
    receive: quota.receive,
    setAgents: quota.setAgents,
    stop: () => stopTimer(),
    dump: () => ({ accounts: limiter.countAccounts(), quota: quota.dump() }),
  };
}
