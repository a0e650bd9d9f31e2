/** Answers entries' requests for shares of client accounts' limits. */
import type { Clock } from '@masticbend/kernel/clock';
import type { QuotaMessage, QuotaRequestMessage } from '@masticbend/protocol/configuration-message';
import type { Message } from '@masticbend/protocol/message';
import type { Configuration } from '@masticbend/settings/configuration';
import { createQuotaAllocator, type QuotaAmounts, type QuotaAllocator } from './quota.js';

/** Dependencies of the service. */
export interface QuotaServiceOptions {
  clock: Clock;
  getConfiguration: () => Configuration | undefined;
  send: (owner: string, message: Message) => boolean;
  countEntries: () => number;
}

/** Handler of quota requests; `owner` identifies an entry's connection. */
export interface QuotaService {
  handleRequest: (owner: string, message: QuotaRequestMessage) => void;
  dump: QuotaAllocator['dump'];
}

/** Creates a service without leases. */
export function createQuotaService(options: QuotaServiceOptions): QuotaService {
  const { clock, getConfiguration, send, countEntries } = options;
  const allocator = createQuotaAllocator();

  return {
    handleRequest(owner, message) {
      const accounts = getConfiguration()?.accounts ?? {};
      const { validMs } = message;
      const answer: QuotaMessage = {
        kind: 'quota',
        accounts: [],
        requestRates: [],
        tokenRates: [],
        concurrencies: [],
        validMs,
        entries: countEntries(),
      };
      for (const [index, account] of message.accounts.entries()) {
        if (!Object.hasOwn(accounts, account)) continue;
        const { requestsPerSecond, tokensPerSecond, concurrency } = accounts[account]!;
        const limit = { requestRate: requestsPerSecond, tokenRate: tokensPerSecond, concurrency };
        const demand = readDemand(message, index);
        const share = allocator.lease(clock.now(), account, owner, demand, limit, validMs);
        answer.accounts.push(account);
        answer.requestRates.push(share.requestRate);
        answer.tokenRates.push(share.tokenRate);
        answer.concurrencies.push(share.concurrency);
      }
      send(owner, answer);
    },
    dump: allocator.dump,
  };
}

function readDemand(message: QuotaRequestMessage, index: number): QuotaAmounts {
  return {
    requestRate: message.requestRates[index] ?? 0,
    tokenRate: message.tokenRates[index] ?? 0,
    concurrency: message.concurrencies[index] ?? 0,
  };
}
