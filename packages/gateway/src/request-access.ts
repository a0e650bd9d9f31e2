/**
 * The account of a request and what it pays: by the configuration in force at its admission, and by
 * the newest one when it is sent.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { countUnits, type SharedLimits } from '@masticbend/scheduling/shared-limit';
import type { GatewayAccount } from '@masticbend/settings/routing';
import { checkAccessAgain, type KeyFreshnessCheck } from './access.js';
import type { ConfigurationView } from './configuration-view.js';
import type { RankRequest } from './ranking.js';
import type { RequestState } from './request-state.js';

/** Dependencies. */
export interface RequestAccessOptions {
  clock: Clock;
  limits: Pick<SharedLimits, 'tryTake' | 'tryTakeAdmitted' | 'refund'>;
  getView: () => ConfigurationView | undefined;
  areKeysFresh: KeyFreshnessCheck;
  rankRequest: RankRequest;
  drawRetryMs: (state: RequestState, waitMs: number) => number;
}

/** Access of admitted requests. */
export interface RequestAccess {
  /** Takes the units of a request from its account's limit; returns the failure at the limit. */
  takeUnits: (state: RequestState) => Failure | undefined;
  /** Refunds the units of a request that did not run: it does not count against the limit. */
  returnUnits: (state: RequestState) => void;
  /**
   * Checks a request that is to be sent by the newest configuration. If its key belongs to another
   * account since, that one is named to the server, ranks the request and pays for it. Returns the
   * failure if it must not be sent.
   */
  renew: (state: RequestState) => Failure | undefined;
}

/** Returns the access of the requests of an entry. */
export function createRequestAccess(options: RequestAccessOptions): RequestAccess {
  const { clock, limits, getView, areKeysFresh, rankRequest, drawRetryMs } = options;

  function takeUnits(state: RequestState, tryTake: SharedLimits['tryTake']): Failure | undefined {
    const { account, incoming } = state;
    if (!account?.limit) return undefined;
    const { promptTokens, outputTokens } = incoming.metadata;
    const units = countUnits(account.limit, promptTokens, outputTokens);
    const waitMs = tryTake(clock.now(), account.name, account.limit, units);
    if (waitMs === undefined) {
      state.units = units;
      return undefined;
    }
    return { kind: ErrorKind.RateLimited, retryAfterMs: drawRetryMs(state, waitMs) };
  }

  function returnUnits({ account, units }: RequestState): void {
    if (account && units > 0) limits.refund(clock.now(), account.name, units);
  }

  /** The former account pays as well if the request may have run under its name. */
  function moveToAccount(
    state: RequestState,
    account: GatewayAccount | undefined,
  ): Failure | undefined {
    const { route, isCallerRetry } = state;
    if (state.possibleRuns === 0) returnUnits(state);
    state.units = 0;
    state.account = account;
    state.tier = account?.tier ?? route.tier;
    state.ranking = rankRequest({ route, account }, isCallerRetry);
    return takeUnits(state, limits.tryTakeAdmitted);
  }

  return {
    takeUnits: (state) => takeUnits(state, limits.tryTake),
    returnUnits,
    renew(state) {
      const view = getView()!;
      const access = checkAccessAgain(view, state, areKeysFresh);
      if ('kind' in access) return access;
      state.version = view.configuration.version;
      const { account } = access;
      return account?.name === state.account?.name ? undefined : moveToAccount(state, account);
    },
  };
}
